"""HTTP/1.1 server on asyncio and h11.

Connections, sizes, buffered bytes and waiting times are all limited, so that clients
cannot exhaust the memory or the sockets of a host.
"""

import asyncio
import collections
import contextlib
import dataclasses
import datetime
import socket
import typing

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log, settings
from greengagehaven.transport import (
    background_tasks,
    connection_report,
    http,
    http_server_connection,
    memory_budget,
)

if typing.TYPE_CHECKING:
    import ssl

DEADLINE_CHECK_INTERVAL_S = 0.1
DRAIN_CHECK_INTERVAL_S = 0.02
MAX_ANSWER_TIME_S = 0.2
"""Seconds in which the last responses of a drain are passed to the kernel."""

LISTEN_BACKLOG = 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerLimits:
    """Limits of one HTTP server.

    :param body_bytes: maximum size of a request body.
    :param head_bytes: maximum size of the request line and headers.
    :param buffered_bytes: maximum total size of request bodies held at once, over
        all connections.
    :param connections: maximum number of open connections. Beyond it, the
        connection that has been idle longest is closed, or the new one if none is
        idle.
    :param idle_connections: maximum number of open connections without a request.
    :param pipelining_connections: maximum number of connections whose clients have
        sent more than ``head_bytes`` behind an unanswered request. Beyond it, such a
        connection is closed after the response in progress.
    :param unsent_bytes: maximum total size of responses that wait for their clients to
        read them. Beyond it, the connection with the largest is aborted.
    :param request_timeout: maximum time from the first to the last byte of a
        request.
    :param idle_timeout: maximum time that a connection may wait for a request.
    :param write_timeout: maximum time for a client to read a complete response.
    :param linger: time for which input is discarded after a response that ends the
        connection, and for which idle connections stay open once draining starts.
    """

    body_bytes: int = 1_000_000
    head_bytes: int = 16_384
    buffered_bytes: int = 64_000_000
    connections: int = 4096
    idle_connections: int = 2048
    pipelining_connections: int = 64
    unsent_bytes: int = 64_000_000
    request_timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=75)
    write_timeout: datetime.timedelta = datetime.timedelta(seconds=20)
    linger: datetime.timedelta = datetime.timedelta(seconds=1)


class HttpServer:
    """HTTP server that passes requests to one handler.

    A ``GreengagehavenError`` raised by the handler becomes a problem+json response;
    any other exception is logged and becomes one with code ``internal``. The handler
    is cancelled when the client closes the connection.

    :param handler: coroutine function that returns the response to a request.
    :param clock: monotonic clock for all timeouts.
    :param limits: limits of connections, sizes and times.
    :param tls: server TLS context, ``None`` for plain TCP.
    :param on_closed_by_client: called with the ``IP:PORT`` of a client that has closed
        or reset its connection; not if the server closed it or the network failed.
    :param id_header: name of the header with the id of a request, for the log.
    :ivar report: logs and counts requests that are cut off.
    :ivar buffered_bytes: total size of the request bodies held now.
    :ivar unsent: counts the bytes of responses that wait to be read.
    :ivar draining: whether the server is draining.
    :ivar is_ending: whether a drain has run out of time, so that requests are refused.
    :ivar close_after_response: whether each response closes its connection, so that
        clients reconnect, possibly to another host.
    """

    def __init__(
        self,
        *,
        handler: http.Handler,
        clock: clocks.Clock | None = None,
        limits: ServerLimits | None = None,
        tls: "ssl.SSLContext | None" = None,
        on_closed_by_client: typing.Callable[[str], None] | None = None,
        id_header: str = "",
    ) -> None:
        self.handler = handler
        self.clock = clock or clocks.SystemClock()
        self.limits = limits or ServerLimits()
        self.id_header = id_header.lower().encode()
        self.report = connection_report.ConnectionReport(clock=self.clock)
        self.buffered_bytes = 0
        self.unsent = memory_budget.MemoryBudget(
            limit=self.limits.unsent_bytes, messages="unread responses"
        )
        self.draining = False
        self.is_ending = False
        self.close_after_response = False
        self._tls = tls
        self._on_closed_by_client = on_closed_by_client
        self._listener: asyncio.Server | None = None
        self._deadline_task: asyncio.Task | None = None
        self._connections: set[http_server_connection.ServerConnection] = set()
        self._idle: collections.OrderedDict[
            http_server_connection.ServerConnection, None
        ] = collections.OrderedDict()
        self._pipelining: set[http_server_connection.ServerConnection] = set()

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def busy_connection_count(self) -> int:
        """Return the number of connections with an unanswered request."""
        return len(self._connections) - len(self._idle)

    @property
    def connection_states(self) -> list[str]:
        """Return the state of each open connection."""
        return [connection.state.value for connection in self._connections]

    @property
    def unanswered_count(self) -> int:
        """Return the number of requests whose response is not sent completely."""
        return sum(
            connection.has_unanswered_request for connection in self._connections
        )

    @property
    def closes_connections(self) -> bool:
        """Return whether a connection is closed once its requests are answered."""
        return self.draining or self.close_after_response

    @property
    def blocked_connection_count(self) -> int:
        """Return the number of connections whose client is not reading its response."""
        return sum(connection.is_blocked for connection in self._connections)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start listening and return the bound ``IP:PORT``.

        :param host: IP address to bind.
        :param port: port to bind, 0 for any free one.
        :raises SettingError: the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        handshake_timeout = (
            self.limits.request_timeout.total_seconds() if self._tls else None
        )
        try:
            self._listener = await loop.create_server(
                self._make_connection,
                host,
                port,
                ssl=self._tls,
                ssl_handshake_timeout=handshake_timeout,
                backlog=LISTEN_BACKLOG,
            )
        except OSError as error:
            raise exceptions.SettingError(
                place="address",
                value=settings.format_address(host, port),
                expected=f"an address that can be bound ({error.strerror or error})",
            ) from error
        self._deadline_task = background_tasks.start(
            self._check_deadlines_forever, task="check_deadlines"
        )
        bound_host, bound_port = self._listener.sockets[0].getsockname()[:2]
        self.report.address = settings.format_address(bound_host, bound_port)
        return self.report.address

    async def drain(
        self,
        timeout: datetime.timedelta = datetime.timedelta(seconds=30),
        *,
        accept_for: datetime.timedelta = datetime.timedelta(),
    ) -> int:
        """Stop accepting connections and wait for requests to finish.

        Idle connections stay open for ``limits.linger``, so that a request already
        on the network when draining starts is still answered. Requests that are left
        at the end are answered with an error.

        :param timeout: time after which requests are ended.
        :param accept_for: time for which new connections are still accepted, each
            for one request, because a load balancer keeps sending them until its
            health check fails.
        :return: number of requests whose clients have not read their response by the
            end; ``close`` aborts them.
        """
        self.draining = True
        now = self.clock.monotonic()
        self.report.drain_began(now)
        end = now + timeout.total_seconds()
        accept_for = min(accept_for, timeout)
        if accept_for:
            await asyncio.sleep(accept_for.total_seconds())
        waiting = self._stop_listening()
        self.report.listener_closed(self.connection_states, unaccepted=len(waiting))
        await self._serve_waiting(waiting)
        now = self.clock.monotonic()
        idle_end = now + min(timeout - accept_for, self.limits.linger).total_seconds()
        while self._connections and self.clock.monotonic() < end:
            if self.clock.monotonic() >= idle_end:
                for connection in list(self._idle):
                    connection.close()
            if not self._connections:
                break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        is_timed_out = bool(self._connections)
        ended_count = await self._end_requests()
        left = self.unanswered_count
        self.report.drain_ended(
            self.connection_states,
            ended=ended_count,
            left=left,
            is_timed_out=is_timed_out,
        )
        return left

    async def _end_requests(self) -> int:
        """Answer the requests that are left with an error; return their number."""
        # Responses that are due in this iteration of the event loop go first.
        await asyncio.sleep(0)
        self.is_ending = True
        for connection in list(self._idle):
            connection.close()
        error = exceptions.HostStoppedError("the host is stopping")
        ended_count = sum(
            connection.end_request(error) for connection in list(self._connections)
        )
        end = self.clock.monotonic() + MAX_ANSWER_TIME_S
        while self.unanswered_count:
            if self.clock.monotonic() >= end:
                break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        return ended_count

    async def close(self) -> None:
        """Stop immediately: abort every connection and cancel every handler."""
        for waiting in self._stop_listening():
            waiting.close()
        tasks = [connection.abort() for connection in list(self._connections)]
        self.report.flush()
        if self._deadline_task is not None:
            self._deadline_task.cancel()
            tasks.append(self._deadline_task)
            self._deadline_task = None
        # A handler that closes its own server must not wait for itself.
        current = asyncio.current_task()
        pending = [task for task in tasks if task is not None and task is not current]
        await asyncio.gather(*pending, return_exceptions=True)

    def blackhole_connections(self, fraction: float = 1.0) -> int:
        """Stop reading from a fraction of the connections, for fault injection.

        The connections stay open but are never read or answered again.

        :param fraction: fraction of the open connections, from 0 to 1.
        :return: number of connections affected.
        """
        chosen = list(self._connections)[: round(len(self._connections) * fraction)]
        for connection in chosen:
            connection.blackhole()
        return len(chosen)

    def connection_opened(
        self, connection: http_server_connection.ServerConnection
    ) -> bool:
        """Register a new connection; return whether it is within the limit."""
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
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._idle.pop(connection, None)
        self._pipelining.discard(connection)
        if connection.closed_by_client and self._on_closed_by_client is not None:
            self._on_closed_by_client(connection.peer)

    def connection_idle(
        self, connection: http_server_connection.ServerConnection
    ) -> None:
        """Mark a connection as idle; close the longest idle one over the limit."""
        self._idle[connection] = None
        if len(self._idle) > self.limits.idle_connections:
            next(iter(self._idle)).close()

    def connection_busy(
        self, connection: http_server_connection.ServerConnection
    ) -> None:
        """Mark a connection as busy with a request."""
        self._idle.pop(connection, None)

    def may_pipeline(self, connection: http_server_connection.ServerConnection) -> bool:
        """Return whether a client that sends ahead may wait to be answered."""
        if len(self._pipelining) < self.limits.pipelining_connections:
            self._pipelining.add(connection)
        return connection in self._pipelining

    def pipelining_ended(
        self, connection: http_server_connection.ServerConnection
    ) -> None:
        """Record that little of what a client has sent ahead is left."""
        self._pipelining.discard(connection)

    def _stop_listening(self) -> list[socket.socket]:
        """Close the listener; return the connections that waited to be accepted.

        The kernel resets the connections that wait when the listening socket is closed,
        although their clients may have sent requests.
        """
        if self._listener is None:
            return []
        listening = [each.dup() for each in self._listener.sockets]
        self._listener.close()
        self._listener = None
        waiting = []
        for each in listening:
            with contextlib.suppress(OSError):
                while True:
                    waiting.append(each.accept()[0])
            each.close()
        return waiting

    async def _serve_waiting(self, waiting: list[socket.socket]) -> None:
        """Serve accepted connections, with TLS if their handshakes end in time."""
        loop = asyncio.get_running_loop()
        for each in waiting:
            each.setblocking(False)
        connecting = asyncio.gather(
            *(
                loop.connect_accepted_socket(self._make_connection, each, ssl=self._tls)
                for each in waiting
            ),
            return_exceptions=True,
        )
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(connecting, self.limits.linger.total_seconds())

    def _make_connection(self) -> http_server_connection.ServerConnection:
        return http_server_connection.ServerConnection(owner=self)

    async def _check_deadlines_forever(self) -> None:
        # All deadlines are checked in one periodic pass. At thousands of requests a
        # second, a timer for each request would cost more than the requests it limits.
        while True:
            await asyncio.sleep(DEADLINE_CHECK_INTERVAL_S)
            now = self.clock.monotonic()
            expired: typing.Iterable = [
                connection
                for connection in self._connections
                if connection.deadline <= now
            ]
            for connection in expired:
                connection.expire()
