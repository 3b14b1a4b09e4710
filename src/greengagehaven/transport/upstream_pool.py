"""Connections of this host to one upstream: capped, kept alive, proven."""

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
PEAK_DECAY = 0.95
STALL_FACTOR = 10.0


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Exchange:
    """One sub-request on its way.

    :param on_outcome: what takes the outcome; ``None`` once it was told.
    :param sent_at: when its bytes left, ``None`` while it waits.
    :param is_cancellation: whether it only tells the upstream to stop another.
    """

    sub_request: upstream.SubRequest
    on_outcome: typing.Callable[[upstream.Outcome], None] | None
    connection: client_connection.ClientConnection | None = None
    sent_at: float | None = None
    is_cancellation: bool = False


class ExchangeOwner(typing.Protocol):
    """What a pool tells of its exchanges."""

    def exchange_ready(self, exchange: Exchange) -> None:
        """Send an exchange, whose ``connection`` is set."""

    def exchange_replied(
        self, exchange: Exchange, reply: client_connection.Reply
    ) -> bool:
        """Take a reply; return whether the connection may be used again."""

    def exchange_failed(
        self, exchange: Exchange, reason: upstream.FailureReason, detail: str
    ) -> None:
        """Take the end of an exchange without a reply."""


class UpstreamPool:
    """Connections to one upstream and the sub-requests that wait for one.

    :param owner: what sends exchanges and takes their ends.
    :param limit: returns how many connections this host may hold now.
    :param stall_range: least and greatest bound on a reply without progress,
        in seconds; between them it follows the slowest recent reply.
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
        self._held = 0
        self._opening: set[asyncio.Task] = set()
        self._waiting: collections.deque[Exchange] = collections.deque()

    @property
    def held_count(self) -> int:
        """Return connections that the upstream may count against this host."""
        return self._held

    @property
    def is_unused(self) -> bool:
        """Tell whether the pool holds and waits for nothing."""
        return not self._held and not self._waiting

    @property
    def stall_bound(self) -> float:
        """Return seconds without progress after which a reply is given up."""
        least, greatest = self._stall_range
        return min(greatest, max(least, STALL_FACTOR * self._peak_latency))

    def submit(self, exchange: Exchange) -> None:
        """Send an exchange now or as soon as a connection is free."""
        self._waiting.append(exchange)
        self.pump()

    def pump(self) -> None:
        """Match waiting exchanges with idle, then with new connections."""
        while self._waiting:
            connection = self.take_idle()
            if connection is None:
                break
            self._start(self._waiting.popleft(), connection)
        limit = self._limit()
        wanted = min(limit - self._held, len(self._waiting) - len(self._opening))
        for _ in range(wanted):
            self._open_connection()
        if self._waiting and not self._held:
            self._fail_waiting(upstream.FailureReason.OVERLOADED, "no connection")

    def trim(self, oldest_useful: float) -> None:
        """Close idle connections above the limit or unused for long."""
        excess = self._held - self._limit()
        for connection in list(self._idle):
            if excess <= 0 and connection.last_progress >= oldest_useful:
                break
            self._idle.remove(connection)
            connection.close()
            excess -= 1

    def take_idle(self) -> client_connection.ClientConnection | None:
        """Take the connection that was used last, where one is idle."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        return None

    def withdraw(self, exchange: Exchange) -> None:
        """Forget an exchange that waits."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def retire(self, *, proven_after: float = math.inf) -> None:
        """Close idle connections and reuse none in use.

        :param proven_after: a connection with progress after this moment is
            known to work and stays.
        """
        for connection in list(self._open):
            if connection.last_progress > proven_after:
                continue
            connection.reusable = False
            if connection in self._idle:
                self._idle.remove(connection)
                connection.close()

    def close(self, detail: str) -> None:
        """Cut every connection; what waits or runs fails."""
        for task in self._opening:
            task.cancel()
        for connection in list(self._open):
            connection.abort(detail)
        self._fail_waiting(upstream.FailureReason.CONNECT, detail)

    def replied(
        self,
        connection: client_connection.ClientConnection,
        reply: client_connection.Reply,
    ) -> None:
        """Pass a reply on and free its connection."""
        exchange = connection.exchange
        connection.exchange = None
        if exchange is None:
            connection.abort("a reply that nobody asked for")
            return
        if exchange.sent_at is not None and not exchange.is_cancellation:
            latency = self._clock.monotonic() - exchange.sent_at
            self._peak_latency = max(latency, self._peak_latency * PEAK_DECAY)
        may_reuse = self._owner.exchange_replied(exchange, reply)
        self.release(connection, may_reuse)

    def release(
        self, connection: client_connection.ClientConnection, may_reuse: bool
    ) -> None:
        """Take a connection back from an exchange."""
        within = self._held <= self._limit()
        if may_reuse and within and connection.reusable and connection.is_open:
            self._idle.append(connection)
        else:
            connection.close()
        self.pump()

    def closed(
        self, connection: client_connection.ClientConnection, detail: str
    ) -> None:
        """Fail the exchange of a connection that ended."""
        if connection in self._idle:
            self._idle.remove(connection)
        if connection in self._open:
            self._open.discard(connection)
            # The upstream sees the end a little later than this side. A new
            # connection in that moment would be one more than it allows.
            asyncio.get_running_loop().call_later(CLOSE_GRACE_S, self._free)
        exchange = connection.exchange
        connection.exchange = None
        if exchange is not None:
            self._owner.exchange_failed(exchange, upstream.FailureReason.RESET, detail)

    def _free(self) -> None:
        self._held -= 1
        self.pump()

    def _start(
        self, exchange: Exchange, connection: client_connection.ClientConnection
    ) -> None:
        connection.exchange = exchange
        exchange.connection = connection
        exchange.sent_at = self._clock.monotonic()
        self._owner.exchange_ready(exchange)

    def _open_connection(self) -> None:
        self._held += 1
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
                self._held -= 1
        if connection.is_open:
            self._open.add(connection)
            self._idle.append(connection)
            self.pump()
            return
        self._connect_failed(detail or "closed at once")

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
