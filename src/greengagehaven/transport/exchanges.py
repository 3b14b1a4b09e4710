"""HTTP exchanges with upstreams over pooled keep-alive connections.

They carry the attempts of routed requests; the sub-requests of searches are sent by
``direct_channel``.

The number of connections to each upstream is limited. An exchange that finds no free
connection waits in the pool of its address.
"""

import asyncio
import collections
import dataclasses
import math
import typing

from greengagehaven import clock as clocks
from greengagehaven import settings
from greengagehaven.coordination.routing import events
from greengagehaven.protocol import header_names as names_module
from greengagehaven.transport import (
    client_connection,
    memory_budget,
    reply_headers,
    request_head,
)

CONNECT_TIMEOUT_S = 0.4
MAX_INCOMPLETE_BYTES = 32_000_000

OVERDUE_AFTER_S = 1.0
"""Seconds after its deadline at which even an exchange that must not be cancelled ends:
its reply may be without end, and its upstream stops working at the deadline."""

RELEASE_GRACE_S = 0.3
EXPIRY_CHECK_PERIOD_S = 1.0
# After the upstream rejected a new connection, at most one is opened for this time.
CONNECTION_LIMIT_BACKOFF_S = 0.5
MAX_DECLINED_IDS = 256
"""Unsuccessful replies after which a connection is not reused, to bound the memory for
their request ids."""

NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
_IDENTITY_ENCODINGS = ("", "identity")

OnEnd = typing.Callable[["Exchange", events.Replied | events.Failed], None]
MayStart = typing.Callable[[], bool]
OnStart = typing.Callable[["Exchange"], None]
OnListenerChecked = typing.Callable[[events.Listener], None]


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Exchange:
    """One attempt of a request, queued or in flight.

    :param request_id: id that the reply must echo.
    :param head: request head without the headers added for each upstream.
    :param upstream_id: upstream that is expected at ``address``.
    :param deadline: deadline of the attempt, in monotonic seconds.
    :param on_start: called before the first byte is written.
    :param on_end: called once with the outcome.
    :param may_start: asked before the first byte is written whether the exchange may
        still be sent; ``None`` if it always may.
    :param connection: connection that carries the exchange, once it has started.
    :param reply: the reply, once it has been received and accepted.
    :param is_over: whether the exchange has ended or was withdrawn.
    """

    attempt: int
    address: str
    request_id: str
    head: request_head.RequestHead
    upstream_id: str
    body: bytes
    deadline: float
    on_start: OnStart
    on_end: OnEnd
    may_start: MayStart | None = None
    connection: client_connection.ClientConnection | None = None
    reply: client_connection.Reply | None = None
    is_over: bool = False


class ExchangeChannel:
    """Sends exchanges through one connection pool for each upstream address.

    :param names: header names of the routing protocol.
    :param clock: monotonic clock.
    :ivar connections_opened: number of connection attempts so far.
    :ivar budget: memory of the replies that are being received.
    """

    def __init__(self, *, names: names_module.HeaderNames, clock: clocks.Clock) -> None:
        self.names = names
        self.connections_opened = 0
        self.budget = memory_budget.MemoryBudget(
            limit=MAX_INCOMPLETE_BYTES, messages="incomplete replies"
        )
        self._clock = clock
        self._pools_by_address: dict[str, _Pool] = {}
        self._exchanges_by_attempt: dict[int, Exchange] = {}
        self._expiry_timer: asyncio.TimerHandle | None = None

    def send(self, exchange: Exchange, *, max_connections: int) -> None:
        """Send an exchange now or as soon as a connection is free.

        :param max_connections: maximum number of connections to the upstream.
        """
        if exchange.is_over:
            # It was withdrawn before it reached this channel.
            exchange.on_end(exchange, events.Failed(fault=events.Fault.UNSENT))
            return
        self._exchanges_by_attempt[exchange.attempt] = exchange
        self._pool_of(exchange.address).submit(exchange, max_connections)

    def has_attempt(self, attempt: int) -> bool:
        """Return whether an attempt is queued or in flight on this channel."""
        return attempt in self._exchanges_by_attempt

    def release(self, attempt: int, *, may_cancel: bool) -> None:
        """Withdraw an attempt whose reply is no longer needed.

        A queued attempt ends as unsent. One in flight is given ``RELEASE_GRACE_S`` to
        finish, because replacing an aborted connection costs the upstream time.

        :param may_cancel: whether an attempt in flight is aborted after that time.
        """
        exchange = self._exchanges_by_attempt.get(attempt)
        if exchange is None:
            return
        if exchange.connection is None:
            self._pools_by_address[exchange.address].withdraw(exchange)
            self.finish(exchange, events.Failed(fault=events.Fault.UNSENT))
        elif may_cancel:
            asyncio.get_running_loop().call_later(RELEASE_GRACE_S, self.abort, exchange)

    def abort(self, exchange: Exchange) -> None:
        """End an exchange in flight and close its connection."""
        if exchange.connection is not None and exchange.connection.exchange is exchange:
            if not exchange.is_over:
                self.finish(exchange, events.Failed(fault=events.Fault.CANCELLED))
            exchange.connection.abort("exchange was withdrawn")

    def check_listener(self, address: str, on_checked: OnListenerChecked) -> None:
        """Open a connection to an address and report whether it is accepted.

        The connection is added to the pool.
        """
        self._pool_of(address).check_listener(on_checked)

    def retire_connections(self, address: str) -> None:
        """Close idle connections to an address and do not reuse busy ones."""
        pool = self._pools_by_address.get(address)
        if pool is not None:
            pool.retire()

    async def close(self) -> None:
        """Abort every connection."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        for pool in self._pools_by_address.values():
            pool.close()
        self._pools_by_address.clear()

    def finish(
        self, exchange: Exchange, outcome: events.Replied | events.Failed
    ) -> None:
        """Report the outcome of an exchange unless it has ended already."""
        if exchange.is_over:
            return
        exchange.is_over = True
        self._exchanges_by_attempt.pop(exchange.attempt, None)
        exchange.on_end(exchange, outcome)

    def evaluate_reply(
        self, exchange: Exchange, reply: client_connection.Reply
    ) -> tuple[events.Replied | events.Failed, bool]:
        """Return the outcome of a reply and whether its connection may be reused.

        A reply that does not echo the request id is rejected as malformed, since it may
        be a late one that says nothing about this request. So is a successful one
        without a signature or with a content encoding.
        """
        names = self.names
        headers = reply.headers
        echoed = headers.get(names.request_id)
        is_2xx = 200 <= reply.status < 300
        if (echoed or "") != exchange.request_id:
            detail = f"reply to another request: {echoed}"
            return events.Failed(fault=events.Fault.MALFORMED, detail=detail), False
        encoding = headers.get("content-encoding", "") or ""
        is_signed = bool(headers.get(names.signature))
        if is_2xx and not (is_signed and encoding in _IDENTITY_ENCODINGS):
            detail = (
                "missing signature" if not is_signed else f"content encoding {encoding}"
            )
            return events.Failed(fault=events.Fault.MALFORMED, detail=detail), False
        exchange.reply = reply
        outcome = events.Replied(
            status=reply.status,
            is_success=is_2xx,
            not_run=names.not_run in headers,
            load=reply_headers.parse_load(headers.get(names.load)),
            size=reply.size,
        )
        return outcome, True

    def _pool_of(self, address: str) -> "_Pool":
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = _Pool(address=address, channel=self, clock=self._clock)
            self._pools_by_address[address] = pool
        if self._expiry_timer is None:
            self._schedule_expiry()
        return pool

    def _close_expired(self) -> None:
        # First, so that an unexpected error does not end the checks.
        self._schedule_expiry()
        now = self._clock.monotonic()
        for address, pool in list(self._pools_by_address.items()):
            pool.close_expired(now)
            if pool.is_unused:
                del self._pools_by_address[address]

    def _schedule_expiry(self) -> None:
        loop = asyncio.get_running_loop()
        self._expiry_timer = loop.call_later(EXPIRY_CHECK_PERIOD_S, self._close_expired)


class _Pool:
    """Connections to one address and the exchanges queued for them."""

    def __init__(
        self, *, address: str, channel: ExchangeChannel, clock: clocks.Clock
    ) -> None:
        self._address = address
        self._host, self._port = settings.parse_address("address", address)
        self._channel = channel
        self._clock = clock
        self._limit = 1
        self._single_connection_until = -math.inf
        self._idle: list[client_connection.ClientConnection] = []
        self._expiry_by_connection: dict[client_connection.ClientConnection, float] = {}
        self._declined_ids_by_connection: dict[
            client_connection.ClientConnection, set[str]
        ] = {}
        self._open: set[client_connection.ClientConnection] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._waiting: collections.deque[Exchange] = collections.deque()

    @property
    def is_unused(self) -> bool:
        """Return whether the pool has no connections and no queued exchanges."""
        return not (self._open or self._opening or self._waiting)

    def submit(self, exchange: Exchange, limit: int) -> None:
        """Queue an exchange and send it as soon as a connection is free.

        :param limit: maximum number of connections from now on.
        """
        self._limit = limit
        self._waiting.append(exchange)
        self._send_waiting()

    def check_listener(self, on_checked: OnListenerChecked) -> None:
        """Open a connection and report whether it was accepted."""
        task = asyncio.get_running_loop().create_task(self._connect(on_checked))
        self._opening.add(task)

    def withdraw(self, exchange: Exchange) -> None:
        """Remove a queued exchange."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def retire(self) -> None:
        """Close idle connections and do not reuse busy ones."""
        for connection in list(self._open):
            connection.reusable = False
            if connection in self._idle:
                self._idle.remove(connection)
                connection.close()

    def close_expired(self, now: float) -> None:
        """Close connections that are near their keep-alive timeout, or overdue."""
        for connection in list(self._open):
            exchange = connection.exchange
            if exchange is not None and now > exchange.deadline + OVERDUE_AFTER_S:
                self._channel.abort(exchange)
        for connection in list(self._idle):
            if self._expiry_by_connection.get(connection, math.inf) <= now:
                self._idle.remove(connection)
                connection.close()

    def close(self) -> None:
        """Cancel pending connects and abort every connection."""
        for task in self._opening:
            task.cancel()
        for connection in list(self._open):
            connection.abort("host is stopping")

    def on_reply(
        self,
        connection: client_connection.ClientConnection,
        reply: client_connection.Reply,
    ) -> None:
        """Finish the exchange of a reply and free its connection."""
        exchange, connection.exchange = connection.exchange, None
        if exchange is None:
            connection.abort("unexpected reply")
            return
        outcome, may_reuse = self._channel.evaluate_reply(exchange, reply)
        if not isinstance(outcome, events.Replied) or not outcome.is_success:
            may_reuse = may_reuse and self._record_declined(connection, exchange)
        if may_reuse and connection.reusable and connection.is_open:
            keep_alive = reply_headers.parse_keep_alive(reply.headers.get("keep-alive"))
            self._expiry_by_connection[connection] = (
                self._clock.monotonic() + keep_alive
            )
            self._idle.append(connection)
        else:
            connection.abort("connection not reusable")
        self._channel.finish(exchange, outcome)
        self._send_waiting()

    def on_closed(
        self, connection: client_connection.ClientConnection, detail: str
    ) -> None:
        """Remove a closed connection and fail its exchange."""
        if connection in self._idle:
            self._idle.remove(connection)
        self._open.discard(connection)
        self._expiry_by_connection.pop(connection, None)
        self._declined_ids_by_connection.pop(connection, None)
        exchange, connection.exchange = connection.exchange, None
        is_fresh = connection.received_nothing and not connection.has_replied
        if is_fresh and connection.was_reset:
            self._record_rejected_connection()
        if exchange is not None:
            fault = (
                events.Fault.UNSENT if connection.wrote_nothing else events.Fault.LOST
            )
            lost = events.Failed(
                fault=fault,
                detail=detail,
                received_nothing=connection.received_nothing,
                is_first_use=is_fresh,
            )
            self._channel.finish(exchange, lost)
        self._send_waiting()

    def _record_declined(
        self, connection: client_connection.ClientConnection, exchange: Exchange
    ) -> bool:
        """Record that a request failed here; return whether to reuse the connection.

        The request may be sent to this upstream again. If it was sent on the same
        connection, a late copy of this reply would be taken for the next one, as both
        have the same request id.
        """
        ids = self._declined_ids_by_connection.setdefault(connection, set())
        ids.add(exchange.request_id)
        return len(ids) < MAX_DECLINED_IDS

    def _send_waiting(self) -> None:
        if not self._waiting:
            return
        for exchange in tuple(self._waiting):
            if not self._idle:
                break
            if exchange.is_over:
                # Withdrawn as an earlier one was started.
                continue
            connection = self._pop_idle(exchange)
            if connection is None:
                continue
            self._waiting.remove(exchange)
            if exchange.may_start is not None and not exchange.may_start():
                self._idle.append(connection)
                failed = events.Failed(fault=events.Fault.UNSENT, detail="withheld")
                self._channel.finish(exchange, failed)
                continue
            self._start(exchange, connection)
        if self._waiting:
            self._open_connections()

    def _open_connections(self) -> None:
        """Open connections for queued exchanges, as far as the limit allows."""
        limit = self._limit
        if self._clock.monotonic() < self._single_connection_until:
            limit = min(1, limit)
        available = limit - len(self._open) - len(self._opening)
        needed = len(self._waiting) - len(self._opening)
        for _ in range(min(available, needed)):
            task = asyncio.get_running_loop().create_task(self._connect())
            self._opening.add(task)
        is_full = available <= 0 and all(open_.is_open for open_ in self._open)
        if needed > 0 and is_full and self._idle:
            # No idle connection may carry a queued exchange. A new one is opened once
            # this one has closed.
            self._idle.pop(0).close()

    def _pop_idle(
        self, exchange: Exchange
    ) -> client_connection.ClientConnection | None:
        """Remove and return an idle connection that may carry an exchange, if any."""
        now = self._clock.monotonic()
        for connection in reversed(tuple(self._idle)):
            if self._expiry_by_connection.get(connection, math.inf) <= now:
                self._idle.remove(connection)
                connection.close()
            elif not (connection.is_open and connection.reusable):
                self._idle.remove(connection)
            elif exchange.request_id not in self._declined_ids_by_connection.get(
                connection, ()
            ):
                self._idle.remove(connection)
                return connection
        return None

    def _start(
        self, exchange: Exchange, connection: client_connection.ClientConnection
    ) -> None:
        connection.exchange = exchange
        exchange.connection = connection
        left_ms = max(1, round((exchange.deadline - self._clock.monotonic()) * 1000))
        names = self._channel.names
        extra_headers = (
            (names.expected_upstream, exchange.upstream_id),
            (names.time_left, str(left_ms)),
        )
        exchange.on_start(exchange)
        connection.send_with_head(exchange.head, extra_headers, exchange.body)

    async def _connect(self, on_checked: OnListenerChecked | None = None) -> None:
        loop = asyncio.get_running_loop()
        connection = client_connection.ClientConnection(
            owner=self, clock=self._clock, budget=self._channel.budget
        )
        listener, detail = events.Listener.OPEN, ""
        self._channel.connections_opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, self._host, self._port)
        except OSError as error:
            listener = _classify_connect_error(error)
            detail = str(error) or type(error).__name__
        finally:
            self._opening.discard(typing.cast(asyncio.Task, asyncio.current_task()))
        if connection.is_open:
            self._open.add(connection)
            self._idle.append(connection)
        elif on_checked is None:
            self._connect_failed(listener, detail)
        if on_checked is not None:
            on_checked(listener)
        self._send_waiting()

    def _connect_failed(self, listener: events.Listener, detail: str) -> None:
        """Fail the oldest queued exchange, unless an open connection may take it."""
        fault = events.Fault.CONNECT
        if listener is events.Listener.OPEN:
            fault = events.Fault.CONNECTION_LIMIT
            self._record_rejected_connection()
        if self._waiting and not (
            self._open and fault is events.Fault.CONNECTION_LIMIT
        ):
            failed = events.Failed(fault=fault, detail=detail)
            self._channel.finish(self._waiting.popleft(), failed)

    def _record_rejected_connection(self) -> None:
        """Limit the pool to one connection for a while after a rejected one."""
        self._single_connection_until = (
            self._clock.monotonic() + CONNECTION_LIMIT_BACKOFF_S
        )


def _classify_connect_error(error: OSError) -> events.Listener:
    """Return the listener state that a failed connection attempt indicates."""
    if isinstance(error, ConnectionResetError):
        return events.Listener.OPEN
    if isinstance(error, ConnectionRefusedError):
        return events.Listener.CLOSED
    return events.Listener.NO_RESPONSE
