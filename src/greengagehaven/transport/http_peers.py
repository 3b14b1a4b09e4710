"""Calls between hosts over HTTP/1.1, for processes with little memory.

Replaces ``transport.grpc_peers``, where importing the gRPC library alone raises the
peak memory of a process by 2.8 MB (20.3 instead of 17.5 MB). Calls carry no token and
no TLS, so the network must not be reachable by anyone but the hosts.
"""

import asyncio
import collections
import datetime
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.coordination import peers
from greengagehaven.transport import client_connection, http, http_client, http_server

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
MAX_CLIENTS = 256
HTTP_OK = 200
REFUSAL_STATUSES = frozenset({404, 503})
# A SYN to a host that is still down is lost and retransmitted only after a second.
# A new attempt after this timeout reaches the host as soon as it is back.
CONNECT_TIMEOUT = datetime.timedelta(seconds=0.25)


class HttpPeerServer:
    """Server for calls from other hosts.

    :param handlers_by_method: handler of each ``SERVICE/METHOD``. A handler that
        was started runs to its end even if the caller cancels the call.
    :param clock: monotonic clock.
    :param connection_handlers_by_method: the same for handlers that also get the
        caller's ``IP:PORT``.
    :param on_connection_closed: called with the ``IP:PORT`` of a caller that has closed
        its connection.
    """

    def __init__(
        self,
        *,
        handlers_by_method: dict[str, peers.Handler],
        clock: clocks.Clock,
        connection_handlers_by_method: abc.Mapping[str, peers.ConnectionHandler]
        | None = None,
        on_connection_closed: abc.Callable[[str], None] | None = None,
    ) -> None:
        self._handlers_by_method = handlers_by_method
        self._connection_handlers_by_method = connection_handlers_by_method or {}
        self._tasks: set[asyncio.Task[bytes]] = set()
        self._server = http_server.HttpServer(
            handler=self._handle,
            clock=clock,
            limits=http_server.ServerLimits(body_bytes=MAX_MESSAGE_BYTES),
            on_closed_by_client=on_connection_closed,
        )

    async def start(self, host: str, port: int) -> str:
        """Start listening and return the bound ``IP:PORT``.

        :raises SettingError: the address cannot be bound.
        """
        return await self._server.start(host, port)

    async def drain(self, timeout: datetime.timedelta) -> None:
        """Stop accepting calls and wait for those in flight within ``timeout``."""
        await self._server.drain(timeout)

    async def stop(self, grace: datetime.timedelta) -> None:
        """Stop the server; cancel handlers still running after ``grace``."""
        await self._server.close()
        if not self._tasks:
            return
        _, running = await asyncio.wait(self._tasks, timeout=grace.total_seconds())
        for task in running:
            task.cancel()

    async def _handle(self, request: http.Request) -> http.Response:
        call = self._start_handler(request)
        # This coroutine is cancelled when the caller disconnects. A handler that was
        # interrupted between writing to disk and updating memory would leave the two
        # inconsistent, so it runs shielded in its own task.
        task = asyncio.ensure_future(call)
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)
        body = await asyncio.shield(task)
        return http.Response(status=HTTP_OK, body=body, content_type=None)

    def _start_handler(self, request: http.Request) -> abc.Awaitable[bytes]:
        method = request.path.removeprefix("/")
        if method in self._connection_handlers_by_method:
            handler = self._connection_handlers_by_method[method]
            return handler(request.body, request.peer)
        if method in self._handlers_by_method:
            return self._handlers_by_method[method](request.body)
        raise exceptions.NotFoundError(f"unknown method: {request.path}")

    def _discard_task(self, task: asyncio.Task[bytes]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()


class PeerCallCounts:
    """Counts of answered calls and of their bytes, keyed by ``SERVICE/METHOD``.

    :ivar calls: calls that received a reply of any status.
    :ivar sent_bytes: bytes of their requests, including HTTP heads.
    :ivar received_bytes: bytes of their replies, including HTTP heads.
    """

    def __init__(self) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received_bytes: collections.Counter[str] = collections.Counter()

    def record(self, method: str, reply: client_connection.Reply) -> None:
        """Count an answered call."""
        self.calls[method] += 1
        self.sent_bytes[method] += reply.request_size
        self.received_bytes[method] += reply.size


class HttpPeerClient:
    """Client for calls to other hosts; implements ``coordination.peers.PeerChannel``.

    At most ``MAX_CLIENTS`` addresses are kept; beyond that the one added first is
    closed.

    :param clock: monotonic clock.
    :ivar call_counts: counts of the calls made.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self.call_counts = PeerCallCounts()
        self._clock = clock
        self._clients_by_address: dict[str, http_client.HttpClient] = {}

    async def call(
        self,
        address: str,
        method: str,
        body: bytes,
        *,
        timeout: float,
        on_sending: abc.Callable[[], None] | None = None,
    ) -> bytes:
        """Call ``SERVICE/METHOD`` on the host at ``address`` (``IP:PORT``).

        :param timeout: seconds to wait for the reply.
        :param on_sending: called before the first byte of the call is written.
        :raises PeerRefusedError: the host replied with status 404 or 503.
        :raises PeerError: no reply arrived in time, or the handler failed.
        """
        client = self._client_for(address)
        try:
            reply = await client.request(
                "POST",
                f"/{method}",
                body=body,
                timeout=datetime.timedelta(seconds=timeout),
                on_sending=on_sending,
            )
        except exceptions.UpstreamError as error:
            raise exceptions.PeerError(f"{method}: {error.detail}") from error
        self.call_counts.record(method, reply)
        if reply.status != HTTP_OK:
            detail = reply.body.decode(errors="replace")
            is_refusal = reply.status in REFUSAL_STATUSES
            kind = exceptions.PeerRefusedError if is_refusal else exceptions.PeerError
            raise kind(f"{address} {method}: {reply.status} {detail}")
        return reply.body

    async def close(self) -> None:
        """Abort every connection; calls in flight fail."""
        for client in self._clients_by_address.values():
            client.close()
        self._clients_by_address.clear()

    def _client_for(self, address: str) -> http_client.HttpClient:
        client = self._clients_by_address.get(address)
        if client is None:
            if len(self._clients_by_address) >= MAX_CLIENTS:
                oldest_address = next(iter(self._clients_by_address))
                self._clients_by_address.pop(oldest_address).close()
            client = http_client.HttpClient(
                address=address, clock=self._clock, connect_timeout=CONNECT_TIMEOUT
            )
            self._clients_by_address[address] = client
        return client
