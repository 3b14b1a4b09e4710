"""Requests as bytes to upstreams, over capped connections that are kept."""

import asyncio
import collections
import dataclasses
import math
import typing

from greengagehaven import clock as clocks
from greengagehaven import settings
from greengagehaven.coordination.routing import events
from greengagehaven.protocol import exchange as names_module
from greengagehaven.transport import client_connection, request_head

CONNECT_TIMEOUT_S = 0.4
RELEASE_GRACE_S = 0.3
DEFAULT_KEEP_ALIVE_S = 4.0
KEEP_ALIVE_MARGIN_S = 0.7
SWEEP_PERIOD_S = 1.0
CROWDED_S = 0.5
NOT_FORWARDED = frozenset(
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
_NO_ENCODING = ("", "identity")

OnEnd = typing.Callable[["Exchange", events.Replied | events.Failed], None]
OnStart = typing.Callable[["Exchange"], None]
OnChecked = typing.Callable[[events.Listener], None]


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Exchange:
    """One attempt on its way.

    :param request_id: what the reply has to echo.
    :param head: of the request, without the headers of one upstream.
    :param upstream_id: that is expected at the address.
    :param send_by: monotonic seconds after which nobody waits.
    :param on_start: called before its first byte is written.
    :param reply: once it is in.
    """

    attempt: int
    address: str
    request_id: str
    head: request_head.RequestHead
    upstream_id: str
    body: bytes
    send_by: float
    on_start: OnStart
    on_end: OnEnd
    connection: client_connection.ClientConnection | None = None
    reply: client_connection.Reply | None = None
    is_over: bool = False


class ExchangeChannel:
    """Connections to every upstream.

    :param names: names of headers.
    :param clock: source of time.
    """

    def __init__(self, *, names: names_module.HeaderNames, clock: clocks.Clock) -> None:
        self.names = names
        self.connections_opened = 0
        self._clock = clock
        self._pools_by_address: dict[str, _Pool] = {}
        self._exchanges_by_attempt: dict[int, Exchange] = {}
        self._sweeper: asyncio.TimerHandle | None = None

    def send(self, exchange: Exchange, *, connections: int) -> None:
        """Send an exchange now or as soon as a connection is free.

        :param connections: how many connections may be open to its upstream.
        """
        if exchange.is_over:
            # It was withdrawn before it came here.
            exchange.on_end(exchange, events.Failed(fault=events.Fault.UNSENT))
            return
        self._exchanges_by_attempt[exchange.attempt] = exchange
        self._pool_of(exchange.address).submit(exchange, connections)

    def holds(self, attempt: int) -> bool:
        """Tell whether an exchange was sent here and is not over."""
        return attempt in self._exchanges_by_attempt

    def release(self, attempt: int, *, may_cut: bool) -> None:
        """Note that nobody waits for an attempt.

        It may end by itself for a while, since a connection that is cut takes
        the upstream's time to set up anew.
        """
        exchange = self._exchanges_by_attempt.get(attempt)
        if exchange is None:
            return
        if exchange.connection is None:
            self._pools_by_address[exchange.address].withdraw(exchange)
            self.end(exchange, events.Failed(fault=events.Fault.UNSENT))
        elif may_cut:
            loop = asyncio.get_running_loop()
            loop.call_later(RELEASE_GRACE_S, self._cut, exchange)

    def check_listener(self, address: str, on_checked: OnChecked) -> None:
        """Tell whether an address still listens, by a connection that is kept."""
        self._pool_of(address).check_listener(on_checked)

    def forget(self, address: str) -> None:
        """Close idle connections to an address and reuse none in use."""
        pool = self._pools_by_address.get(address)
        if pool is not None:
            pool.retire()

    async def close(self) -> None:
        """Cut every connection."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None
        for pool in self._pools_by_address.values():
            pool.close()
        self._pools_by_address.clear()

    def end(self, exchange: Exchange, outcome: events.Replied | events.Failed) -> None:
        """Tell the outcome of an exchange, once."""
        if exchange.is_over:
            return
        exchange.is_over = True
        self._exchanges_by_attempt.pop(exchange.attempt, None)
        exchange.on_end(exchange, outcome)

    def take_reply(
        self, exchange: Exchange, reply: client_connection.Reply
    ) -> tuple[events.Replied | events.Failed, bool]:
        """Return what a reply says, and whether its connection may be reused."""
        names = self.names
        headers = reply.headers
        echoed = headers.get(names.request_id)
        is_2xx = 200 <= reply.status < 300
        is_mine = echoed == exchange.request_id or (echoed is None and not is_2xx)
        if not is_mine:
            detail = f"reply to {echoed}"
            return events.Failed(fault=events.Fault.GARBLED, detail=detail), False
        encoding = headers.get("content-encoding", "") or ""
        is_signed = bool(headers.get(names.signature))
        if is_2xx and not (is_signed and encoding in _NO_ENCODING):
            detail = "no signature" if not is_signed else f"encoded as {encoding}"
            return events.Failed(fault=events.Fault.GARBLED, detail=detail), False
        exchange.reply = reply
        outcome = events.Replied(
            status=reply.status,
            is_success=is_2xx,
            not_run=names.not_run in headers,
            load=_read_load(headers.get(names.load)),
            size=reply.size,
        )
        return outcome, True

    def _pool_of(self, address: str) -> "_Pool":
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = _Pool(address=address, channel=self, clock=self._clock)
            self._pools_by_address[address] = pool
        if self._sweeper is None:
            self._sweep_later()
        return pool

    def _cut(self, exchange: Exchange) -> None:
        if not exchange.is_over and exchange.connection is not None:
            self.end(exchange, events.Failed(fault=events.Fault.SILENT))
            exchange.connection.abort("nobody waits for it")

    def _sweep(self) -> None:
        now = self._clock.monotonic()
        for address, pool in list(self._pools_by_address.items()):
            pool.sweep(now)
            if pool.is_unused:
                del self._pools_by_address[address]
        self._sweep_later()

    def _sweep_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_PERIOD_S, self._sweep)


class _Pool:
    """Connections to one address and the exchanges that wait for one."""

    def __init__(
        self, *, address: str, channel: ExchangeChannel, clock: clocks.Clock
    ) -> None:
        self._address = address
        self._host, self._port = settings.parse_address("address", address)
        self._channel = channel
        self._clock = clock
        self._limit = 1
        self._crowded_until = -math.inf
        self._idle: list[client_connection.ClientConnection] = []
        self._expiry_by_connection: dict[client_connection.ClientConnection, float] = {}
        self._open: set[client_connection.ClientConnection] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._waiting: collections.deque[Exchange] = collections.deque()

    @property
    def is_unused(self) -> bool:
        """Tell whether the pool holds and waits for nothing."""
        return not (self._open or self._opening or self._waiting)

    def submit(self, exchange: Exchange, limit: int) -> None:
        """Send an exchange as soon as a connection is free."""
        self._limit = limit
        self._waiting.append(exchange)
        self._pump()

    def check_listener(self, on_checked: OnChecked) -> None:
        """Open a connection and tell whether that worked."""
        task = asyncio.get_running_loop().create_task(self._connect(on_checked))
        self._opening.add(task)

    def withdraw(self, exchange: Exchange) -> None:
        """Forget an exchange that waits."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def retire(self) -> None:
        """Close idle connections and reuse none in use."""
        for connection in list(self._open):
            connection.reusable = False
            if connection in self._idle:
                self._idle.remove(connection)
                connection.close()

    def sweep(self, now: float) -> None:
        """Close idle connections that the upstream is about to close."""
        for connection in list(self._idle):
            if self._expiry_by_connection.get(connection, math.inf) <= now:
                self._idle.remove(connection)
                connection.close()

    def close(self) -> None:
        """Cut every connection."""
        for task in self._opening:
            task.cancel()
        for connection in list(self._open):
            connection.abort("this host is stopping")

    def replied(
        self,
        connection: client_connection.ClientConnection,
        reply: client_connection.Reply,
    ) -> None:
        """Pass a reply on and free its connection."""
        exchange, connection.exchange = connection.exchange, None
        if exchange is None:
            connection.abort("a reply that nobody asked for")
            return
        outcome, may_reuse = self._channel.take_reply(exchange, reply)
        if may_reuse and connection.reusable and connection.is_open:
            keep_alive = _read_keep_alive(reply.headers.get("keep-alive"))
            self._expiry_by_connection[connection] = (
                self._clock.monotonic() + keep_alive
            )
            self._idle.append(connection)
        else:
            connection.abort("not to be used again")
        self._channel.end(exchange, outcome)
        self._pump()

    def closed(
        self, connection: client_connection.ClientConnection, detail: str
    ) -> None:
        """Fail the exchange of a connection that ended."""
        if connection in self._idle:
            self._idle.remove(connection)
        self._open.discard(connection)
        self._expiry_by_connection.pop(connection, None)
        exchange, connection.exchange = connection.exchange, None
        is_fresh = connection.is_mute and not connection.has_replied
        if is_fresh and connection.was_reset:
            self._note_crowd()
        if exchange is not None:
            lost = events.Failed(
                fault=events.Fault.LOST,
                detail=detail,
                is_mute=connection.is_mute,
                is_fresh=is_fresh,
            )
            self._channel.end(exchange, lost)
        self._pump()

    def _pump(self) -> None:
        while self._waiting:
            connection = self._take_idle()
            if connection is None:
                break
            self._start(self._waiting.popleft(), connection)
        limit = self._limit
        if self._clock.monotonic() < self._crowded_until:
            limit = min(1, limit)
        room = limit - len(self._open) - len(self._opening)
        wanted = len(self._waiting) - len(self._opening)
        for _ in range(min(room, wanted)):
            task = asyncio.get_running_loop().create_task(self._connect())
            self._opening.add(task)

    def _take_idle(self) -> client_connection.ClientConnection | None:
        now = self._clock.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if self._expiry_by_connection.get(connection, math.inf) <= now:
                connection.close()
            elif connection.is_open and connection.reusable:
                return connection
        return None

    def _start(
        self, exchange: Exchange, connection: client_connection.ClientConnection
    ) -> None:
        connection.exchange = exchange
        exchange.connection = connection
        left_ms = max(1, round((exchange.send_by - self._clock.monotonic()) * 1000))
        names = self._channel.names
        extra = (
            (names.expected_upstream, exchange.upstream_id),
            (names.time_left, str(left_ms)),
        )
        exchange.on_start(exchange)
        connection.send_head(exchange.head, extra, exchange.body)

    async def _connect(self, on_checked: OnChecked | None = None) -> None:
        loop = asyncio.get_running_loop()
        connection = client_connection.ClientConnection(owner=self, clock=self._clock)
        listener, detail = events.Listener.OPEN, ""
        self._channel.connections_opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, self._host, self._port)
        except OSError as error:
            listener = _listener_of(error)
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
        self._pump()

    def _connect_failed(self, listener: events.Listener, detail: str) -> None:
        """Fail the exchange that waits longest, unless a connection will be free."""
        fault = events.Fault.CONNECT
        if listener is events.Listener.OPEN:
            fault = events.Fault.CROWDED
            self._note_crowd()
        if self._waiting and not (self._open and fault is events.Fault.CROWDED):
            failed = events.Failed(fault=fault, detail=detail)
            self._channel.end(self._waiting.popleft(), failed)

    def _note_crowd(self) -> None:
        """Open no further connection for a while: the upstream resets them."""
        self._crowded_until = self._clock.monotonic() + CROWDED_S


def _listener_of(error: OSError) -> events.Listener:
    """Return what a failure to connect shows of the other side."""
    if isinstance(error, ConnectionResetError):
        return events.Listener.OPEN
    if isinstance(error, ConnectionRefusedError):
        return events.Listener.CLOSED
    return events.Listener.SILENT


def _read_keep_alive(value: str | None) -> float:
    """Return how many seconds an idle connection may be used."""
    seconds = DEFAULT_KEEP_ALIVE_S
    for part in (value or "").split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isdecimal():
            seconds = float(number)
    return max(seconds / 2, seconds - KEEP_ALIVE_MARGIN_S)


def _read_load(value: str | None) -> events.Load | None:
    parts = (value or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return events.Load(running=running, waiting=waiting, slots=slots)
