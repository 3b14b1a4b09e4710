"""Reports of an entry host on crashed and outlying upstreams to control hosts."""

import asyncio
from collections import abc

from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.daemons import roster_feed
from greengagehaven.protocol import codec, watching

BATCH_PERIOD_S = 0.1
CALL_TIMEOUT_S = 1.0


class FaultReporter:
    """Reports crashes and outliers; a report that fails is not repeated.

    :param channel: calls to control hosts.
    :param host_id: id of this host.
    :param known: returns the peer addresses of all control hosts.
    :param followed: returns those of the followed ones.
    """

    def __init__(
        self,
        *,
        channel: peers.PeerChannel,
        host_id: str,
        known: abc.Callable[[], abc.Iterable[str]],
        followed: abc.Callable[[], abc.Iterable[str]],
    ) -> None:
        self._channel = channel
        self._host_id = host_id
        self._known = known
        self._followed = followed
        self._is_closed = False
        self._calls: set[asyncio.Task[None]] = set()
        self._outliers: set[watching.Outlier] = set()

    def report_crash(self, crash: watching.Crash) -> None:
        """Report a crash to every control host; they pass it on to other hosts."""
        body = codec.encode_msgpack(crash)
        for address in self._known():
            self._spawn(address, roster_feed.CRASH_METHOD, body)

    def report_outlier(self, outlier: watching.Outlier) -> None:
        """Report an outlier to the followed control hosts, in a batch with others."""
        if not self._outliers:
            loop = asyncio.get_running_loop()
            loop.call_later(BATCH_PERIOD_S, self._report_outliers)
        self._outliers.add(outlier)

    async def close(self) -> None:
        """Cancel the calls in flight."""
        self._is_closed = True
        calls = list(self._calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    def _report_outliers(self) -> None:
        found, self._outliers = self._outliers, set()
        if self._is_closed:
            return
        message = watching.OutlierReport(host_id=self._host_id, outliers=tuple(found))
        body = codec.encode_msgpack(message)
        for address in self._followed():
            self._spawn(address, roster_feed.OUTLIERS_METHOD, body)

    def _spawn(self, address: str, method: str, body: bytes) -> None:
        call = asyncio.ensure_future(self._call(address, method, body))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _call(self, address: str, method: str, body: bytes) -> None:
        try:
            await self._channel.call(address, method, body, timeout=CALL_TIMEOUT_S)
        except exceptions.PeerError as error:
            log.debug(
                "report_failed", address=address, method=method, error=error.detail
            )
