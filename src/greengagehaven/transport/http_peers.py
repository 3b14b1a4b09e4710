"""Calls between hosts over HTTP/1.1, for processes that have little memory.

The same calls as ``transport.peers`` makes over gRPC, whose library alone takes
2.8 MB of a process (peak of a process that imports it, 20.3 against 17.5 MB).
There is no token and no TLS: for hosts whose network lets nobody else in.
"""

import asyncio
import collections
import datetime

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.coordination import peers
from greengagehaven.transport import client_connection, http, http_client, http_server

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
MAX_CLIENTS = 256
OK = 200
REFUSALS = frozenset({404, 503})
# The opening packet to a host that has no power yet is lost and sent again after
# a second. A new attempt after this time reaches a host as soon as it is back.
CONNECT_TIMEOUT = datetime.timedelta(seconds=0.25)


class HttpPeerServer:
    """Takes calls of other hosts and passes them to handlers.

    :param handlers_by_method: handler of each ``SERVICE/METHOD``. A handler
        that began runs to its end even when its caller gave up.
    :param clock: source of time.
    """

    def __init__(
        self, *, handlers_by_method: dict[str, peers.Handler], clock: clocks.Clock
    ) -> None:
        self._handlers_by_method = handlers_by_method
        self._tasks: set[asyncio.Task[bytes]] = set()
        self._server = http_server.HttpServer(
            handler=self._handle,
            clock=clock,
            limits=http_server.Limits(body_bytes=MAX_MESSAGE_BYTES),
        )

    async def start(self, host: str, port: int) -> str:
        """Listen, and return the bound ``IP:PORT``.

        :raises SettingError: the address cannot be bound.
        """
        return await self._server.start(host, port)

    async def stop(self, grace: datetime.timedelta) -> None:
        """Stop accepting, finish what runs for up to ``grace``, then cancel."""
        await self._server.close()
        if not self._tasks:
            return
        _, late = await asyncio.wait(self._tasks, timeout=grace.total_seconds())
        for task in late:
            task.cancel()

    async def _handle(self, request: http.Request) -> http.Response:
        handler = self._handlers_by_method.get(request.path.removeprefix("/"))
        if handler is None:
            raise exceptions.NotFoundError(f"no such method: {request.path}")
        # A caller that gives up cancels this coroutine. A handler that is cut off
        # between writing to disk and noting it in memory would leave the two
        # apart, so it runs shielded in a task of its own.
        task = asyncio.ensure_future(handler(request.body))
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        body = await asyncio.shield(task)
        return http.Response(status=OK, body=body, content_type=None)

    def _forget(self, task: asyncio.Task[bytes]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()


class Traffic:
    """Calls that a host made and had answered, and their bytes with heads.

    Keyed by ``SERVICE/METHOD``.
    """

    def __init__(self) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received_bytes: collections.Counter[str] = collections.Counter()

    def record(self, method: str, reply: client_connection.Reply) -> None:
        """Count a call that was answered."""
        self.calls[method] += 1
        self.sent_bytes[method] += reply.request_size
        self.received_bytes[method] += reply.size


class HttpPeerClient:
    """Calls other hosts; implements ``coordination.peers.PeerChannel``.

    :param clock: source of time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self.traffic = Traffic()
        self._clock = clock
        self._clients_by_address: dict[str, http_client.HttpClient] = {}

    async def call(
        self, address: str, method: str, body: bytes, *, timeout: float
    ) -> bytes:
        """Call ``SERVICE/METHOD`` on the host at ``address`` (``IP:PORT``).

        :param timeout: seconds to wait.
        :raises PeerRefusedError: the host does not take the call.
        :raises PeerError: no answer came in time, or the handler failed.
        """
        client = self._client_of(address)
        try:
            reply = await client.request(
                "POST",
                f"/{method}",
                body=body,
                timeout=datetime.timedelta(seconds=timeout),
            )
        except exceptions.UpstreamError as error:
            raise exceptions.PeerError(f"{method}: {error.detail}") from error
        self.traffic.record(method, reply)
        if reply.status != OK:
            detail = reply.body.decode(errors="replace")
            is_refusal = reply.status in REFUSALS
            kind = exceptions.PeerRefusedError if is_refusal else exceptions.PeerError
            raise kind(f"{address} {method}: {reply.status} {detail}")
        return reply.body

    async def close(self) -> None:
        """Close every connection; calls in flight are cut off."""
        for client in self._clients_by_address.values():
            client.close()
        self._clients_by_address.clear()

    def _client_of(self, address: str) -> http_client.HttpClient:
        client = self._clients_by_address.get(address)
        if client is None:
            if len(self._clients_by_address) >= MAX_CLIENTS:
                unused = next(iter(self._clients_by_address))
                self._clients_by_address.pop(unused).close()
            client = http_client.HttpClient(
                address=address, clock=self._clock, connect_timeout=CONNECT_TIMEOUT
            )
            self._clients_by_address[address] = client
        return client
