"""Bounded pool of keep-alive connections from this host to one upstream."""

import asyncio
import collections
import dataclasses
import math
import ssl
import typing

from greengagehaven import clock as clocks
from greengagehaven import settings
from greengagehaven.protocol import upstream
from greengagehaven.transport import client_connection

CONNECT_TIMEOUT_S = 1.0
CLOSE_GRACE_S = 0.05
PEAK_LATENCY_DECAY = 0.95
STALL_FACTOR = 10.0


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class SubRequestExchange:
    """One sub-request, queued or in flight.

    :param on_outcome: called with the outcome; ``None`` once it was reported.
    :param connection: connection that carries the exchange, once it has one.
    :param sent_at: monotonic time of sending in seconds, ``None`` while queued.
    :param is_cancellation: whether this is the request that cancels the sub-request.
    """

    sub_request: upstream.SubRequest
    on_outcome: typing.Callable[[upstream.Outcome], None] | None
    connection: client_connection.ClientConnection | None = None
    sent_at: float | None = None
    is_cancellation: bool = False


class ExchangeOwner(typing.Protocol):
    """Receives the events of a pool's exchanges."""

    def exchange_ready(self, exchange: SubRequestExchange) -> None:
        """Send an exchange on its ``connection``."""

    def exchange_replied(
        self, exchange: SubRequestExchange, reply: client_connection.Reply
    ) -> bool:
        """Handle a reply; return whether the connection may be reused."""

    def exchange_failed(
        self, exchange: SubRequestExchange, reason: upstream.FailureReason, detail: str
    ) -> None:
        """Handle an exchange that ended without a reply."""


class UpstreamPool:
    """Connections to one upstream and the sub-requests queued for them.

    :param address: ``IP:PORT`` of the upstream.
    :param owner: sends exchanges and handles their ends.
    :param limit: returns the maximum number of connections at present.
    :param clock: monotonic clock.
    :param stall_range: minimum and maximum stall timeout in seconds. In between, it is
        ``STALL_FACTOR`` times the decaying peak latency of recent replies.
    :param tls: client TLS context, ``None`` for plain TCP.
    """

    def __init__(
        self,
        *,
        address: str,
        owner: ExchangeOwner,
        limit: typing.Callable[[], int],
        clock: clocks.Clock,
        stall_range: tuple[float, float],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self._host, self._port = settings.parse_address("address", address)
        self._owner = owner
        self._limit = limit
        self._clock = clock
        self._stall_range = stall_range
        self._tls = tls
        self._peak_latency = 0.0
        self._idle: list[client_connection.ClientConnection] = []
        self._open: set[client_connection.ClientConnection] = set()
        self._connection_count = 0
        self._opening: set[asyncio.Task] = set()
        self._waiting: collections.deque[SubRequestExchange] = collections.deque()

    @property
    def connection_count(self) -> int:
        """Return the number of connections that the upstream may count as open.

        This includes those being opened and those closed within ``CLOSE_GRACE_S``.
        """
        return self._connection_count

    @property
    def is_unused(self) -> bool:
        """Return whether the pool has no connections and no queued exchanges."""
        return not self._connection_count and not self._waiting

    @property
    def stall_timeout(self) -> float:
        """Return the seconds without progress after which an exchange fails."""
        min_timeout, max_timeout = self._stall_range
        return min(max_timeout, max(min_timeout, STALL_FACTOR * self._peak_latency))

    def submit(self, exchange: SubRequestExchange) -> None:
        """Send an exchange now or as soon as a connection is free."""
        self._waiting.append(exchange)
        self.send_waiting()

    def send_waiting(self) -> None:
        """Assign queued exchanges to idle connections and open new ones as needed."""
        while self._waiting:
            connection = self.pop_idle()
            if connection is None:
                break
            self._assign(self._waiting.popleft(), connection)
        limit = self._limit()
        needed = min(
            limit - self._connection_count, len(self._waiting) - len(self._opening)
        )
        for _ in range(needed):
            self._open_connection()
        if self._waiting and not self._connection_count:
            self._fail_waiting(
                upstream.FailureReason.OVERLOADED, "no connection available"
            )

    def trim(self, min_last_progress: float) -> None:
        """Close idle connections over the limit or unused for too long.

        :param min_last_progress: monotonic time in seconds; connections without
            progress since then are closed.
        """
        excess = self._connection_count - self._limit()
        for connection in list(self._idle):
            if excess <= 0 and connection.last_progress >= min_last_progress:
                break
            self._idle.remove(connection)
            connection.close()
            excess -= 1

    def pop_idle(self) -> client_connection.ClientConnection | None:
        """Remove and return the most recently used idle connection, if any."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        return None

    def withdraw(self, exchange: SubRequestExchange) -> None:
        """Remove a queued exchange."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def retire(self, *, proven_after: float = math.inf) -> None:
        """Close idle connections and do not reuse busy ones.

        :param proven_after: monotonic time in seconds; connections with progress
            after it are known to work and are kept.
        """
        for connection in list(self._open):
            if connection.last_progress > proven_after:
                continue
            connection.reusable = False
            if connection in self._idle:
                self._idle.remove(connection)
                connection.close()

    def close(self, detail: str) -> None:
        """Abort every connection; queued and running exchanges fail."""
        for task in self._opening:
            task.cancel()
        for connection in list(self._open):
            connection.abort(detail)
        self._fail_waiting(upstream.FailureReason.CONNECT, detail)

    def on_reply(
        self,
        connection: client_connection.ClientConnection,
        reply: client_connection.Reply,
    ) -> None:
        """Handle the reply to an exchange and release its connection."""
        exchange = connection.exchange
        connection.exchange = None
        if exchange is None:
            connection.abort("unexpected reply")
            return
        if exchange.sent_at is not None and not exchange.is_cancellation:
            latency = self._clock.monotonic() - exchange.sent_at
            self._peak_latency = max(latency, self._peak_latency * PEAK_LATENCY_DECAY)
        may_reuse = self._owner.exchange_replied(exchange, reply)
        self.release(connection, may_reuse)

    def release(
        self, connection: client_connection.ClientConnection, may_reuse: bool
    ) -> None:
        """Return a connection to the pool after an exchange, or close it."""
        is_within_limit = self._connection_count <= self._limit()
        if may_reuse and is_within_limit and connection.reusable and connection.is_open:
            self._idle.append(connection)
        else:
            connection.close()
        self.send_waiting()

    def on_closed(
        self, connection: client_connection.ClientConnection, detail: str
    ) -> None:
        """Remove a closed connection and fail its exchange."""
        if connection in self._idle:
            self._idle.remove(connection)
        if connection in self._open:
            self._open.discard(connection)
            # The upstream sees the close slightly later than this host. A new
            # connection before that would exceed the upstream's limit.
            asyncio.get_running_loop().call_later(CLOSE_GRACE_S, self._free_slot)
        exchange = connection.exchange
        connection.exchange = None
        if exchange is not None:
            self._owner.exchange_failed(exchange, upstream.FailureReason.RESET, detail)

    def _free_slot(self) -> None:
        self._connection_count -= 1
        self.send_waiting()

    def _assign(
        self,
        exchange: SubRequestExchange,
        connection: client_connection.ClientConnection,
    ) -> None:
        connection.exchange = exchange
        exchange.connection = connection
        exchange.sent_at = self._clock.monotonic()
        self._owner.exchange_ready(exchange)

    def _open_connection(self) -> None:
        self._connection_count += 1
        task = asyncio.get_running_loop().create_task(self._connect())
        self._opening.add(task)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        connection = client_connection.ClientConnection(owner=self, clock=self._clock)
        detail = ""
        try:
            await asyncio.wait_for(
                loop.create_connection(
                    lambda: connection, self._host, self._port, ssl=self._tls
                ),
                CONNECT_TIMEOUT_S,
            )
        except OSError as error:
            detail = str(error) or type(error).__name__
        finally:
            self._opening.discard(typing.cast(asyncio.Task, asyncio.current_task()))
            if not connection.is_open:
                self._connection_count -= 1
        if connection.is_open:
            self._open.add(connection)
            self._idle.append(connection)
            self.send_waiting()
            return
        self._connect_failed(detail or "connection closed immediately")

    def _connect_failed(self, detail: str) -> None:
        if not self._open:
            self._fail_waiting(upstream.FailureReason.CONNECT, detail)
        elif self._waiting:
            exchange = self._waiting.popleft()
            reason = upstream.FailureReason.CONNECT
            self._owner.exchange_failed(exchange, reason, detail)

    def _fail_waiting(self, reason: upstream.FailureReason, detail: str) -> None:
        waiting = list(self._waiting)
        self._waiting.clear()
        for exchange in waiting:
            self._owner.exchange_failed(exchange, reason, detail)
