"""Direct connections to upstreams behind ``protocol.upstream.UpstreamChannel``."""

import asyncio
import datetime
import enum
import heapq
import itertools
import ssl
import typing

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.protocol import upstream
from greengagehaven.transport import client_connection, upstream_pool, upstream_wire

TICK_S = 0.01
TRIM_INTERVAL_S = 0.5
IDLE_TIMEOUT = datetime.timedelta(seconds=30)
LEAST_STALL = datetime.timedelta(milliseconds=300)
GREATEST_STALL = datetime.timedelta(seconds=1)
DEFAULT_LIMIT = 8


class Cancellation(enum.StrEnum):
    """How a running sub-request is given up (docs/design/doors.md)."""

    CLOSE = "close"
    DELETE = "delete"
    DRAIN = "drain"


class DirectChannel:
    """Sends sub-requests over this host's own connections.

    An exchange without progress within the stall bound fails as stalled; its
    connection is closed, and idle ones of that upstream that brought nothing
    since it was sent are closed with it.

    :param limit_of: returns how many connections this host may hold to an
        upstream now; over it a sub-request waits for a connection.
    :param cancellation: what is done about a running sub-request that nobody
        waits for any more.
    :param stall_range: least and greatest stall bound.
    :param checks_stalls: whether stalled exchanges are found at all.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock | None = None,
        limit_of: typing.Callable[[str], int] = lambda upstream_id: DEFAULT_LIMIT,
        cancellation: Cancellation = Cancellation.DELETE,
        stall_range: tuple[datetime.timedelta, datetime.timedelta] = (
            LEAST_STALL,
            GREATEST_STALL,
        ),
        checks_stalls: bool = True,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._clock = clock or clocks.SystemClock()
        self._limit_of = limit_of
        self._cancellation = cancellation
        self._stall_range = tuple(bound.total_seconds() for bound in stall_range)
        self._checks_stalls = checks_stalls
        self._tls = tls
        self._pools_by_upstream_id: dict[str, upstream_pool.UpstreamPool] = {}
        self._exchanges_by_id: dict[tuple[str, int], upstream_pool.Exchange] = {}
        self._checks: list[tuple[float, int, upstream_pool.Exchange]] = []
        self._numbers = itertools.count()
        self._ticker: asyncio.Task | None = None
        self._next_trim = 0.0

    @property
    def in_flight(self) -> int:
        """Return sub-requests whose outcome is not told yet."""
        return len(self._exchanges_by_id)

    def held_connections(self, upstream_id: str) -> int:
        """Return connections that an upstream may count against this host."""
        pool = self._pools_by_upstream_id.get(upstream_id)
        return 0 if pool is None else pool.held_count

    def dispatch(
        self,
        batch: typing.Sequence[upstream.SubRequest],
        on_outcome: typing.Callable[[upstream.Outcome], None],
    ) -> None:
        """Send every sub-request; report each outcome exactly once."""
        if self._ticker is None:
            self._ticker = asyncio.get_running_loop().create_task(self._tick_forever())
        now = self._clock.monotonic()
        for sub_request in batch:
            exchange = upstream_pool.Exchange(
                sub_request=sub_request, on_outcome=on_outcome
            )
            self._exchanges_by_id[sub_request.id] = exchange
            self._check_at(
                min(sub_request.deadline, now + self._stall_range[0]), exchange
            )
            try:
                pool = self._pool_of(sub_request)
            except exceptions.SettingError as error:
                reason = upstream.FailureReason.CONNECT
                self.exchange_failed(exchange, reason, error.detail)
                continue
            pool.submit(exchange)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Give up on a sub-request; its outcome is ``Failed`` (cancelled)."""
        exchange = self._exchanges_by_id.get((request_id, attempt))
        if exchange is not None:
            self._give_up(exchange, upstream.FailureReason.CANCELLED)

    def retire_connections(self, upstream_id: str) -> None:
        """Close idle connections of an upstream and reuse none in use."""
        pool = self._pools_by_upstream_id.get(upstream_id)
        if pool is not None:
            pool.retire()

    def limits_changed(self) -> None:
        """Look at every connection limit again."""
        for pool in list(self._pools_by_upstream_id.values()):
            pool.trim(-1.0)
            pool.pump()

    def close(self) -> None:
        """Cut every connection; every sub-request that is left fails."""
        if self._ticker is not None:
            self._ticker.cancel()
            self._ticker = None
        for pool in list(self._pools_by_upstream_id.values()):
            pool.close("the channel was closed")

    def exchange_ready(self, exchange: upstream_pool.Exchange) -> None:
        """Send an exchange on the connection that it was given."""
        sub_request = exchange.sub_request
        connection = typing.cast(
            client_connection.ClientConnection, exchange.connection
        )
        headers = upstream_wire.write_headers(sub_request, self._clock.monotonic())
        body = upstream_wire.write_body(sub_request)
        connection.send("POST", upstream_wire.SEARCH_PATH, headers, body)

    def exchange_replied(
        self, exchange: upstream_pool.Exchange, reply: client_connection.Reply
    ) -> bool:
        """Check a reply and report it; return whether to keep the connection."""
        if exchange.is_cancellation:
            return True
        sub_request = exchange.sub_request
        if not upstream_wire.echo_matches(sub_request, reply):
            log.warning(
                "upstream_echo_mismatch",
                upstream=sub_request.upstream_id,
                request=sub_request.request_id,
            )
            reason = upstream.FailureReason.MISMATCH
            self._report(exchange, upstream.failure_of(sub_request, reason))
            return False
        if exchange.on_outcome is not None:
            self._report(exchange, upstream_wire.read_reply(sub_request, reply))
        return True

    def exchange_failed(
        self,
        exchange: upstream_pool.Exchange,
        reason: upstream.FailureReason,
        detail: str,
    ) -> None:
        """Report an exchange that ended without a reply."""
        not_run = exchange.sent_at is None
        failed = upstream.failure_of(
            exchange.sub_request, reason, not_run=not_run, detail=detail
        )
        self._report(exchange, failed)

    def _report(
        self, exchange: upstream_pool.Exchange, outcome: upstream.Outcome
    ) -> None:
        on_outcome = exchange.on_outcome
        if on_outcome is None:
            return
        exchange.on_outcome = None
        del self._exchanges_by_id[exchange.sub_request.id]
        on_outcome(outcome)

    def _pool_of(self, sub_request: upstream.SubRequest) -> upstream_pool.UpstreamPool:
        upstream_id = sub_request.upstream_id
        pool = self._pools_by_upstream_id.get(upstream_id)
        if pool is not None:
            if pool.address == sub_request.address:
                return pool
            pool.retire()
        pool = upstream_pool.UpstreamPool(
            address=sub_request.address,
            owner=self,
            limit=lambda: self._limit_of(upstream_id),
            clock=self._clock,
            stall_range=typing.cast(tuple[float, float], self._stall_range),
            tls=self._tls,
        )
        self._pools_by_upstream_id[upstream_id] = pool
        return pool

    def _give_up(
        self, exchange: upstream_pool.Exchange, reason: upstream.FailureReason
    ) -> None:
        sub_request = exchange.sub_request
        pool = self._pools_by_upstream_id.get(sub_request.upstream_id)
        if exchange.sent_at is None:
            if pool is not None:
                pool.withdraw(exchange)
        else:
            self._stop_work(exchange, pool)
        not_run = exchange.sent_at is None
        self._report(
            exchange, upstream.failure_of(sub_request, reason, not_run=not_run)
        )

    def _stop_work(
        self,
        exchange: upstream_pool.Exchange,
        pool: upstream_pool.UpstreamPool | None,
    ) -> None:
        # A connection costs the upstream up to 6 ms to replace, so it is kept
        # and the reply drains; the upstream hears of it where another
        # connection is free anyway.
        connection = exchange.connection
        if connection is None or pool is None:
            return
        if self._cancellation is Cancellation.CLOSE:
            connection.exchange = None
            connection.abort("cancelled")
            return
        if self._cancellation is Cancellation.DRAIN:
            return
        messenger = pool.take_idle()
        if messenger is None:
            return
        sub_request = exchange.sub_request
        cancellation = upstream_pool.Exchange(
            sub_request=sub_request,
            on_outcome=None,
            connection=messenger,
            sent_at=self._clock.monotonic(),
            is_cancellation=True,
        )
        messenger.exchange = cancellation
        self._check_at(cancellation.sent_at + self._stall_range[0], cancellation)
        target = f"{upstream_wire.SEARCH_PATH}/{sub_request.request_id}"
        headers = [("Host", sub_request.address)]
        messenger.send("DELETE", f"{target}/{sub_request.attempt}", headers, b"")

    def _check_at(self, moment: float, exchange: upstream_pool.Exchange) -> None:
        heapq.heappush(self._checks, (moment, next(self._numbers), exchange))

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = self._clock.monotonic()
            while self._checks and self._checks[0][0] <= now:
                self._check(heapq.heappop(self._checks)[2], now)
            if now >= self._next_trim:
                self._next_trim = now + TRIM_INTERVAL_S
                self._trim(now)

    def _check(self, exchange: upstream_pool.Exchange, now: float) -> None:
        connection = exchange.connection
        waits = exchange.on_outcome is not None
        holds = connection is not None and connection.exchange is exchange
        holds = holds and self._checks_stalls
        if not waits and not holds:
            return
        deadline = exchange.sub_request.deadline
        if waits and now >= deadline:
            self._give_up(exchange, upstream.FailureReason.TIMEOUT)
            waits = False
        next_check = deadline if waits else now + self._stall_range[0]
        if holds:
            stall_end = self._stall_end(exchange)
            if now >= stall_end:
                self._stalled(exchange)
                return
            next_check = min(next_check, stall_end)
        if waits or holds:
            self._check_at(next_check, exchange)

    def _stall_end(self, exchange: upstream_pool.Exchange) -> float:
        pool = self._pools_by_upstream_id.get(exchange.sub_request.upstream_id)
        bound = self._stall_range[1] if pool is None else pool.stall_bound
        connection = typing.cast(
            client_connection.ClientConnection, exchange.connection
        )
        sent_at = typing.cast(float, exchange.sent_at)
        return max(sent_at, connection.last_progress) + bound

    def _stalled(self, exchange: upstream_pool.Exchange) -> None:
        # Something between the two ends may have lost track of connections:
        # bytes go out, nothing comes back, and no error ever arrives. One
        # notices queries that time out one after the other on connections that
        # look open. Connections that brought a reply since then are proven.
        sub_request = exchange.sub_request
        log.warning("upstream_stalled", upstream=sub_request.upstream_id)
        pool = self._pools_by_upstream_id.get(sub_request.upstream_id)
        if pool is not None:
            pool.retire(proven_after=typing.cast(float, exchange.sent_at))
        connection = typing.cast(
            client_connection.ClientConnection, exchange.connection
        )
        connection.exchange = None
        connection.abort("stalled")
        self.exchange_failed(exchange, upstream.FailureReason.STALLED, "no progress")

    def _trim(self, now: float) -> None:
        oldest_useful = now - IDLE_TIMEOUT.total_seconds()
        for upstream_id, pool in list(self._pools_by_upstream_id.items()):
            pool.trim(oldest_useful)
            pool.pump()
            if pool.is_unused:
                del self._pools_by_upstream_id[upstream_id]
