"""Sends sub-requests to upstreams over direct HTTP connections."""

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
from greengagehaven.transport import (
    background_tasks,
    client_connection,
    upstream_pool,
    upstream_wire,
)

TICK_INTERVAL_S = 0.01
TRIM_INTERVAL_S = 0.5
IDLE_TIMEOUT = datetime.timedelta(seconds=30)
MIN_STALL_TIMEOUT = datetime.timedelta(milliseconds=300)
MAX_STALL_TIMEOUT = datetime.timedelta(seconds=1)
DEFAULT_MAX_CONNECTIONS = 8


class CancellationMode(enum.StrEnum):
    """What is done with a running sub-request that is cancelled.

    ``CLOSE``: abort its connection. ``DELETE``: send a ``DELETE`` request on another
    idle connection, if there is one, and keep the connection until the reply has been
    read. ``DRAIN``: only keep the connection until then. See docs/design/doors.md.
    """

    CLOSE = "close"
    DELETE = "delete"
    DRAIN = "drain"


class DirectChannel:
    """Sends sub-requests over this host's own connections.

    Implements ``protocol.upstream.UpstreamChannel``. An exchange without progress for
    the stall timeout fails as stalled and its connection is aborted. Other connections
    to that upstream without progress since the exchange was sent are closed if idle,
    and otherwise not reused.

    :param clock: monotonic clock.
    :param max_connections_of: returns the maximum number of connections to an upstream
        at present; sub-requests beyond it are queued.
    :param cancellation: what is done with a running sub-request that is cancelled.
    :param stall_timeout_range: minimum and maximum stall timeout.
    :param detects_stalls: whether stalled exchanges are detected.
    :param tls: client TLS context, ``None`` for plain TCP.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock | None = None,
        max_connections_of: typing.Callable[[str], int] = lambda upstream_id: (
            DEFAULT_MAX_CONNECTIONS
        ),
        cancellation: CancellationMode = CancellationMode.DELETE,
        stall_timeout_range: tuple[datetime.timedelta, datetime.timedelta] = (
            MIN_STALL_TIMEOUT,
            MAX_STALL_TIMEOUT,
        ),
        detects_stalls: bool = True,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._clock = clock or clocks.SystemClock()
        self._limit_of = max_connections_of
        self._cancellation = cancellation
        self._stall_range = tuple(
            bound.total_seconds() for bound in stall_timeout_range
        )
        self._checks_stalls = detects_stalls
        self._tls = tls
        self._pools_by_upstream_id: dict[str, upstream_pool.UpstreamPool] = {}
        self._exchanges_by_id: dict[
            tuple[str, int], upstream_pool.SubRequestExchange
        ] = {}
        self._checks: list[tuple[float, int, upstream_pool.SubRequestExchange]] = []
        self._check_numbers = itertools.count()
        self._tick_task: asyncio.Task | None = None
        self._next_trim = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of sub-requests without an outcome."""
        return len(self._exchanges_by_id)

    def connection_count(self, upstream_id: str) -> int:
        """Return the number of connections that an upstream may count as open."""
        pool = self._pools_by_upstream_id.get(upstream_id)
        return 0 if pool is None else pool.connection_count

    def dispatch(
        self,
        batch: typing.Sequence[upstream.SubRequest],
        on_outcome: typing.Callable[[upstream.Outcome], None],
    ) -> None:
        """Send every sub-request; report each outcome exactly once."""
        if self._tick_task is None:
            self._tick_task = background_tasks.start(
                self._tick_forever, task="check_stalls"
            )
        now = self._clock.monotonic()
        for sub_request in batch:
            exchange = upstream_pool.SubRequestExchange(
                sub_request=sub_request, on_outcome=on_outcome
            )
            self._exchanges_by_id[sub_request.id] = exchange
            self._schedule_check(
                min(sub_request.deadline, now + self._stall_range[0]), exchange
            )
            try:
                pool = self._pool_for(sub_request)
            except exceptions.SettingError as error:
                reason = upstream.FailureReason.CONNECT
                self.exchange_failed(exchange, reason, error.detail)
                continue
            pool.submit(exchange)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel a sub-request; its outcome is ``Failed`` with reason ``CANCELLED``."""
        exchange = self._exchanges_by_id.get((request_id, attempt))
        if exchange is not None:
            self._abandon(exchange, upstream.FailureReason.CANCELLED)

    def retire_connections(self, upstream_id: str) -> None:
        """Close idle connections to an upstream and do not reuse busy ones."""
        pool = self._pools_by_upstream_id.get(upstream_id)
        if pool is not None:
            pool.retire()

    def on_limits_changed(self) -> None:
        """Apply changed connection limits to every pool."""
        for pool in list(self._pools_by_upstream_id.values()):
            pool.trim(-1.0)
            pool.send_waiting()

    def close(self) -> None:
        """Abort every connection; all remaining sub-requests fail."""
        if self._tick_task is not None:
            self._tick_task.cancel()
            self._tick_task = None
        for pool in list(self._pools_by_upstream_id.values()):
            pool.close("channel was closed")

    def exchange_ready(self, exchange: upstream_pool.SubRequestExchange) -> None:
        """Send an exchange on its connection."""
        sub_request = exchange.sub_request
        connection = typing.cast(
            client_connection.ClientConnection, exchange.connection
        )
        headers = upstream_wire.build_headers(sub_request, self._clock.monotonic())
        body = upstream_wire.build_body(sub_request)
        connection.send("POST", upstream_wire.SEARCH_PATH, headers, body)

    def exchange_replied(
        self, exchange: upstream_pool.SubRequestExchange, reply: client_connection.Reply
    ) -> bool:
        """Validate and report a reply; return whether to reuse the connection."""
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
            self._report(exchange, upstream_wire.parse_reply(sub_request, reply))
        return True

    def exchange_failed(
        self,
        exchange: upstream_pool.SubRequestExchange,
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
        self, exchange: upstream_pool.SubRequestExchange, outcome: upstream.Outcome
    ) -> None:
        on_outcome = exchange.on_outcome
        if on_outcome is None:
            return
        exchange.on_outcome = None
        del self._exchanges_by_id[exchange.sub_request.id]
        on_outcome(outcome)

    def _pool_for(self, sub_request: upstream.SubRequest) -> upstream_pool.UpstreamPool:
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

    def _abandon(
        self, exchange: upstream_pool.SubRequestExchange, reason: upstream.FailureReason
    ) -> None:
        sub_request = exchange.sub_request
        pool = self._pools_by_upstream_id.get(sub_request.upstream_id)
        if exchange.sent_at is None:
            if pool is not None:
                pool.withdraw(exchange)
        else:
            self._stop_running(exchange, pool)
        not_run = exchange.sent_at is None
        self._report(
            exchange, upstream.failure_of(sub_request, reason, not_run=not_run)
        )

    def _stop_running(
        self,
        exchange: upstream_pool.SubRequestExchange,
        pool: upstream_pool.UpstreamPool | None,
    ) -> None:
        # Replacing a connection costs the upstream up to 6 ms, so it is kept and the
        # reply is read and discarded. With DELETE, the upstream is told to stop only
        # if another connection is idle.
        connection = exchange.connection
        if connection is None or pool is None:
            return
        if self._cancellation is CancellationMode.CLOSE:
            connection.exchange = None
            connection.abort("cancelled")
            return
        if self._cancellation is CancellationMode.DRAIN:
            return
        idle_connection = pool.pop_idle()
        if idle_connection is None:
            return
        sub_request = exchange.sub_request
        cancellation = upstream_pool.SubRequestExchange(
            sub_request=sub_request,
            on_outcome=None,
            connection=idle_connection,
            sent_at=self._clock.monotonic(),
            is_cancellation=True,
        )
        idle_connection.exchange = cancellation
        self._schedule_check(cancellation.sent_at + self._stall_range[0], cancellation)
        target = f"{upstream_wire.SEARCH_PATH}/{sub_request.request_id}"
        headers = [("Host", sub_request.address)]
        idle_connection.send("DELETE", f"{target}/{sub_request.attempt}", headers, b"")

    def _schedule_check(
        self, check_time: float, exchange: upstream_pool.SubRequestExchange
    ) -> None:
        heapq.heappush(self._checks, (check_time, next(self._check_numbers), exchange))

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clock.monotonic()
            while self._checks and self._checks[0][0] <= now:
                self._check_exchange(heapq.heappop(self._checks)[2], now)
            if now >= self._next_trim:
                self._next_trim = now + TRIM_INTERVAL_S
                self._trim_pools(now)

    def _check_exchange(
        self, exchange: upstream_pool.SubRequestExchange, now: float
    ) -> None:
        connection = exchange.connection
        is_pending = exchange.on_outcome is not None
        may_stall = connection is not None and connection.exchange is exchange
        may_stall = may_stall and self._checks_stalls
        if not is_pending and not may_stall:
            return
        deadline = exchange.sub_request.deadline
        if is_pending and now >= deadline:
            self._abandon(exchange, upstream.FailureReason.TIMEOUT)
            is_pending = False
        next_check = deadline if is_pending else now + self._stall_range[0]
        if may_stall:
            stall_deadline = self._stall_deadline(exchange)
            if now >= stall_deadline:
                self._fail_stalled(exchange)
                return
            next_check = min(next_check, stall_deadline)
        if is_pending or may_stall:
            self._schedule_check(next_check, exchange)

    def _stall_deadline(self, exchange: upstream_pool.SubRequestExchange) -> float:
        pool = self._pools_by_upstream_id.get(exchange.sub_request.upstream_id)
        timeout = self._stall_range[1] if pool is None else pool.stall_timeout
        connection = typing.cast(
            client_connection.ClientConnection, exchange.connection
        )
        sent_at = typing.cast(float, exchange.sent_at)
        return max(sent_at, connection.last_progress) + timeout

    def _fail_stalled(self, exchange: upstream_pool.SubRequestExchange) -> None:
        # A network device may have dropped the state of connections: requests are
        # sent, nothing is received and no error is reported. Without this, query after
        # query would time out on connections that look open. Connections that
        # received data since the exchange was sent are known to work.
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
        self.exchange_failed(
            exchange,
            upstream.FailureReason.STALLED,
            "no data received within the stall timeout",
        )

    def _trim_pools(self, now: float) -> None:
        min_last_progress = now - IDLE_TIMEOUT.total_seconds()
        for upstream_id, pool in list(self._pools_by_upstream_id.items()):
            pool.trim(min_last_progress)
            pool.send_waiting()
            if pool.is_unused:
                del self._pools_by_upstream_id[upstream_id]
