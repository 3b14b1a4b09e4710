"""Reports of an entry host on the roll-outs in progress."""

import asyncio
import secrets
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.protocol import codec, rollouts
from greengagehaven.transport import background_tasks

REPORT_METHOD = "rollout/report"
REPORT_PERIOD_S = 0.25
REPORT_TIMEOUT_S = 0.6

ACKNOWLEDGEMENT_TIMEOUT_S = 1.5
"""Seconds without an accepted report after which this host counts as cut off."""

RUN_ID_BYTES = 6


class Reporter:
    """Reports this host's counts of roll-outs to the control hosts that it follows.

    Each report holds all counts since the start of the roll-out, so the loss of one
    does no harm.

    :param host_id: id of this host.
    :param channel: calls to control hosts.
    :param addresses: returns the peer addresses of the control hosts to report to.
    :param collect: returns the counts to report.
    :param on_acknowledged: called with whether control hosts accept the reports.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        host_id: str,
        channel: peers.PeerChannel,
        addresses: abc.Callable[[], abc.Iterable[str]],
        collect: abc.Callable[[], tuple[rollouts.ServiceReport, ...]],
        on_acknowledged: abc.Callable[[bool], None],
        clock: clocks.Clock,
    ) -> None:
        self._host_id = host_id
        self._channel = channel
        self._addresses = addresses
        self._collect = collect
        self._on_acknowledged = on_acknowledged
        self._clock = clock
        self._run_id = secrets.token_hex(RUN_ID_BYTES)
        self._sequence = 0
        self._acknowledged_at = 0.0
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def set_running(self, running: tuple[rollouts.Rollout, ...]) -> None:
        """Report while roll-outs are in progress, and at once when one changes."""
        if not running:
            if self._task is not None:
                self._task.cancel()
                self._task = None
            return
        self._changed.set()
        if self._task is None or self._task.done():
            self._acknowledged_at = self._clock.monotonic()
            self._task = background_tasks.start(
                self._report_forever, task="report_rollouts"
            )

    async def close(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _report_forever(self) -> None:
        while True:
            self._changed.clear()
            addresses = tuple(self._addresses())
            body = self._encode_report()
            results = await asyncio.gather(
                *(self._send(address, body) for address in addresses)
            )
            now = self._clock.monotonic()
            if any(results):
                self._acknowledged_at = now
            self._on_acknowledged(
                now - self._acknowledged_at < ACKNOWLEDGEMENT_TIMEOUT_S
            )
            try:
                async with asyncio.timeout(REPORT_PERIOD_S):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _encode_report(self) -> bytes:
        self._sequence += 1
        report = rollouts.RolloutReport(
            host_id=self._host_id,
            run=self._run_id,
            sequence=self._sequence,
            services=self._collect(),
        )
        return codec.encode_msgpack(rollouts.RolloutReports(reports=(report,)))

    async def _send(self, address: str, body: bytes) -> bool:
        try:
            await self._channel.call(
                address, REPORT_METHOD, body, timeout=REPORT_TIMEOUT_S
            )
        except exceptions.PeerError as error:
            log.debug("rollout_report_failed", address=address, error=error.detail)
            return False
        return True
