"""HTTP/1.1 server: h11 on asyncio transports, with a bound on everything."""

import asyncio
import collections
import dataclasses
import datetime
import typing

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log, settings
from greengagehaven.transport import http, http_server_connection

if typing.TYPE_CHECKING:
    import ssl

SWEEP_INTERVAL_S = 0.1
BACKLOG = 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Bounds of one listener.

    :param body_bytes: longest body of a request.
    :param head_bytes: longest request line with headers.
    :param buffered_bytes: bodies that are held at once, over all connections.
    :param connections: open connections; above it the longest idle one makes
        room, and where none is idle the new one is closed.
    :param idle_connections: open connections without a request.
    :param request_timeout: from the first byte of a request to its last.
    :param idle_timeout: without a byte of a next request.
    :param write_timeout: for a caller to read a whole response.
    :param linger: how long input is thrown away after a response that ends the
        connection, and how long idle connections outlive the start of a drain.
    """

    body_bytes: int = 1_000_000
    head_bytes: int = 16_384
    buffered_bytes: int = 64_000_000
    connections: int = 4096
    idle_connections: int = 2048
    request_timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=75)
    write_timeout: datetime.timedelta = datetime.timedelta(seconds=20)
    linger: datetime.timedelta = datetime.timedelta(seconds=1)


class HttpServer:
    """One listener that answers requests through a handler.

    A failure of the project's tree that the handler raises becomes its
    problem+json; any other exception is logged and becomes code ``internal``.
    A handler is cancelled when its caller closes the connection.

    :param handler: coroutine function from request to response.
    :param clock: source of time for every bound.
    :param limits: the bounds.
    :ivar sends_away: whether each answer asks its caller to connect anew.
    :param tls: server context; ``None`` for plain TCP.
    """

    def __init__(
        self,
        *,
        handler: http.Handler,
        clock: clocks.Clock | None = None,
        limits: Limits | None = None,
        tls: "ssl.SSLContext | None" = None,
    ) -> None:
        self.handler = handler
        self.clock = clock or clocks.SystemClock()
        self.limits = limits or Limits()
        self.buffered_bytes = 0
        self.draining = False
        self.sends_away = False
        self._tls = tls
        self._listener: asyncio.Server | None = None
        self._sweeper: asyncio.Task | None = None
        self._connections: set[http_server_connection.ServerConnection] = set()
        self._idle: collections.OrderedDict[
            http_server_connection.ServerConnection, None
        ] = collections.OrderedDict()

    @property
    def connection_count(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """Return how many connections have a request that is not answered."""
        return len(self._connections) - len(self._idle)

    @property
    def blocked_count(self) -> int:
        """Return connections whose other side does not read its response."""
        return sum(connection.is_blocked for connection in self._connections)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and return the bound ``IP:PORT``.

        :param port: 0 for any free port.
        :raises SettingError: the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        handshake = self.limits.request_timeout.total_seconds() if self._tls else None
        try:
            self._listener = await loop.create_server(
                lambda: http_server_connection.ServerConnection(owner=self),
                host,
                port,
                ssl=self._tls,
                ssl_handshake_timeout=handshake,
                backlog=BACKLOG,
            )
        except OSError as error:
            raise exceptions.SettingError(
                place="address",
                value=settings.format_address(host, port),
                expected=f"an address that can be bound ({error.strerror or error})",
            ) from error
        self._sweeper = loop.create_task(self._sweep_forever())
        bound_host, bound_port = self._listener.sockets[0].getsockname()[:2]
        return settings.format_address(bound_host, bound_port)

    async def drain(
        self,
        bound: datetime.timedelta = datetime.timedelta(seconds=30),
        *,
        accept_for: datetime.timedelta = datetime.timedelta(),
    ) -> int:
        """Stop accepting, let requests finish, close connections.

        Connections that are idle live on for ``limits.linger``: a request that
        was already under way when the drain began is still answered.

        :param bound: longest wait.
        :param accept_for: how long new connections are still taken, each for one
            request. A balancer goes on sending some until it has noticed.
        :return: requests that were not finished; ``close`` cuts them off.
        """
        self.draining = True
        now = self.clock.monotonic()
        end = now + bound.total_seconds()
        if accept_for:
            await asyncio.sleep(accept_for.total_seconds())
        self._stop_listening()
        now = self.clock.monotonic()
        idle_end = now + min(bound - accept_for, self.limits.linger).total_seconds()
        while self._connections and self.clock.monotonic() < end:
            if self.clock.monotonic() >= idle_end:
                for connection in list(self._idle):
                    connection.close()
            if not self._connections:
                break
            await asyncio.sleep(SWEEP_INTERVAL_S / 5)
        return self.busy_count

    async def close(self) -> None:
        """Stop at once: cut every connection and cancel every handler."""
        self._stop_listening()
        tasks = [connection.abort() for connection in list(self._connections)]
        if self._sweeper is not None:
            self._sweeper.cancel()
            tasks.append(self._sweeper)
            self._sweeper = None
        # A handler that stops its own server cannot wait for itself.
        own = asyncio.current_task()
        waited = [task for task in tasks if task is not None and task is not own]
        await asyncio.gather(*waited, return_exceptions=True)

    def cut(self, fraction: float = 1.0) -> int:
        """Let a part of the open connections go silent, for fault injection.

        :param fraction: part of the connections, from 0 to 1.
        :return: how many went silent: they stay open and are never read again.
        """
        chosen = list(self._connections)[: round(len(self._connections) * fraction)]
        for connection in chosen:
            connection.go_silent()
        return len(chosen)

    def connection_opened(
        self, connection: http_server_connection.ServerConnection
    ) -> bool:
        """Count a new connection; return whether there is room for it."""
        if len(self._connections) >= self.limits.connections:
            if not self._idle:
                log.debug("connection_refused", open=len(self._connections))
                return False
            next(iter(self._idle)).close()
        self._connections.add(connection)
        return True

    def connection_closed(
        self, connection: http_server_connection.ServerConnection
    ) -> None:
        """Forget a connection."""
        self._connections.discard(connection)
        self._idle.pop(connection, None)

    def connection_idle(
        self, connection: http_server_connection.ServerConnection
    ) -> None:
        """Note that a connection waits for a request."""
        self._idle[connection] = None
        if len(self._idle) > self.limits.idle_connections:
            next(iter(self._idle)).close()

    def connection_busy(
        self, connection: http_server_connection.ServerConnection
    ) -> None:
        """Note that a connection began a request."""
        self._idle.pop(connection, None)

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def _sweep_forever(self) -> None:
        # One sweep over all connections instead of a timer for each request:
        # at thousands of requests a second the timers would cost more than
        # what they guard.
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self.clock.monotonic()
            late: typing.Iterable = [
                connection
                for connection in self._connections
                if connection.deadline <= now
            ]
            for connection in late:
                connection.expire()
