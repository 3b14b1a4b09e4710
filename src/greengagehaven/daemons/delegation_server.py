"""Sends attempts of a sweep for another entry host and reports their outcomes."""

import asyncio
import contextlib
import dataclasses
import datetime
import functools
import itertools
import math
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.coordination.routing import delegation, events, hedging, merging
from greengagehaven.protocol import codec, delegation_messages
from greengagehaven.transport import exchanges, request_head

GATHER_METHOD = "gather/ask"
NEXT_REPORT_METHOD = "gather/rest"
RELEASE_METHOD = "gather/release"

MAX_GATHERS = 1024
"""Calls held at a time, at most a second of work; further calls are refused."""

RETENTION_S = 0.5
"""Seconds past its deadline for which a call is kept, to report what is left."""

_MS = 1000.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Result:
    """Outcome of an attempt, its exchange, and the seconds that it took."""

    attempt: int
    took: float
    exchange: exchanges.Exchange
    outcome: events.Replied | events.Failed


class _Gather:
    """The attempts of one call from another host.

    :param request: body of the call.
    :param signature_name: name of the header with the signature of a response.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        request: delegation_messages.DelegationRequest,
        signature_name: str,
        clock: clocks.Clock,
    ) -> None:
        self.request = request
        self._signature_name = signature_name
        self.head = request_head.RequestHead(
            method=request.method,
            target=request.target,
            headers=request.headers,
            body_size=len(request.body),
        )
        self.exchanges_by_attempt: dict[int, exchanges.Exchange] = {}
        self.released: set[int] = set()
        self.started_at = clock.monotonic()
        self._clock = clock
        self._first_ended_at = self._last_ended_at = self.started_at
        self._remaining = len(request.attempts)
        self._unreported: list[_Result] = []
        self._ended_event = asyncio.Event()
        self._is_hedge_due = False
        self._may_report_early = False
        self._has_reported_early = False
        self._has_failure = False
        # Set once all attempts have ended, once one failed and is not reported yet, and
        # once enough have ended for an early report.
        self._report_event = asyncio.Event()

    @property
    def is_over(self) -> bool:
        """Return whether all attempts have ended and were reported."""
        return not self._remaining and not self._unreported

    @property
    def _early_at(self) -> float:
        """Return when the attempts that have ended are reported before the others."""
        attempts = len(self.request.attempts)
        return hedging.early_report_at(
            first_at=self._first_ended_at,
            last_at=self._last_ended_at,
            replies=attempts - self._remaining,
            attempts=attempts,
        )

    def record_outcome(
        self,
        attempt: int,
        exchange: exchanges.Exchange,
        outcome: events.Replied | events.Failed,
    ) -> None:
        """Record the outcome of an attempt."""
        self._last_ended_at = self._clock.monotonic()
        if self._remaining == len(self.request.attempts):
            self._first_ended_at = self._last_ended_at
        took = self._last_ended_at - self.started_at
        self._unreported.append(
            _Result(attempt=attempt, took=took, exchange=exchange, outcome=outcome)
        )
        self._remaining -= 1
        self._ended_event.set()
        is_success = isinstance(outcome, events.Replied) and outcome.is_success
        if not is_success and attempt not in self.released:
            self._has_failure = True
        if self._has_failure or not self._remaining:
            self._report_event.set()
        elif not self._may_report_early and self._early_at < math.inf:
            self._may_report_early = True
            self._report_event.set()

    async def report(self) -> delegation_messages.AttemptReport:
        """Return the outcomes since the last report.

        A report is made when all attempts have ended or when the delegating host would
        hedge a shard, whichever comes first; later ones as further attempts end. Once
        before, the replies to most attempts are reported when no more arrive for a
        while. A failure is reported at once, as its shard has to be retried within the
        same deadline.
        """
        if self._is_hedge_due:
            await self._ended_event.wait()
            if self._remaining:
                await asyncio.sleep(delegation.REPORT_BATCH_S)
            return self._build_report(is_early=False)
        while self._remaining and not self._has_failure:
            until = hedging.report_at(
                started_at=self.started_at,
                replied_at=self._last_ended_at,
                after=self.request.report_ms / _MS,
            )
            now = self._clock.monotonic()
            if until <= now:
                self._is_hedge_due = True
                return self._build_report(is_early=False)
            if not self._has_reported_early:
                if self._early_at <= now:
                    self._has_reported_early = True
                    return self._build_report(is_early=True)
                until = min(until, self._early_at)
            self._report_event.clear()
            wait = until - now
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._report_event.wait()
        if self._remaining:
            await asyncio.sleep(delegation.REPORT_BATCH_S)
        return self._build_report(is_early=bool(self._remaining))

    def _build_report(self, *, is_early: bool) -> delegation_messages.AttemptReport:
        results, self._unreported = self._unreported, []
        self._ended_event.clear()
        self._report_event.clear()
        self._has_failure = False
        parts = [result for result in results if self._is_part(result)]
        bodies = (
            result.exchange.reply.body
            for result in parts
            if result.exchange.reply is not None
        )
        return delegation_messages.AttemptReport(
            ended=tuple(
                self._to_ended(result, is_part=result in parts) for result in results
            ),
            records=merging.greatest_records(bodies, self.request.top_records),
            is_last=not self._remaining,
            is_early=is_early,
        )

    def _is_part(self, result: _Result) -> bool:
        outcome = result.outcome
        is_success = isinstance(outcome, events.Replied) and outcome.is_success
        return is_success and result.attempt not in self.released

    def _signature_of(self, result: _Result) -> str:
        reply = result.exchange.reply
        return "" if reply is None else reply.headers[self._signature_name]

    def _to_ended(
        self, result: _Result, *, is_part: bool
    ) -> delegation_messages.AttemptResult:
        outcome, took_ms = result.outcome, round(result.took * _MS, 3)
        if isinstance(outcome, events.Failed):
            return delegation_messages.AttemptResult(
                attempt=result.attempt,
                took_ms=took_ms,
                fault=str(outcome.fault),
                detail=outcome.detail,
                received_nothing=outcome.received_nothing,
                is_first_use=outcome.is_first_use,
            )
        load = outcome.load
        return delegation_messages.AttemptResult(
            attempt=result.attempt,
            took_ms=took_ms,
            status=outcome.status,
            is_success=outcome.is_success,
            not_run=outcome.not_run,
            signature=self._signature_of(result) if is_part else "",
            load=() if load is None else (load.running, load.waiting, load.slots),
            size=outcome.size,
            work_percent=0.0 if load is None else load.work_percent or 0.0,
        )


class DelegationServer:
    """Handles calls from the other entry hosts of the zone.

    It decides nothing: the host that serves the caller chooses the upstreams, hedges
    attempts and releases them.

    :param channel: connections to upstreams, shared with this host's own requests.
    :param may_send: returns whether an attempt for a team, named by its id, may be
        sent now; this host may have lost the lease that the delegating host holds.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        channel: exchanges.ExchangeChannel,
        may_send: abc.Callable[[str], bool] = lambda team_id: True,
        clock: clocks.Clock,
    ) -> None:
        self.is_stopping = False
        self._may_send = may_send
        self._channel = channel
        self._clock = clock
        # Negative, as this host's own attempts count up from 1 on the same channel.
        self._attempt_ids = itertools.count(-1, -1)
        self._gathers_by_key: dict[str, _Gather] = {}
        self._idle_event = asyncio.Event()
        self._idle_event.set()

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handler of each method."""
        return {
            GATHER_METHOD: self.handle_gather,
            NEXT_REPORT_METHOD: self.handle_next_report,
            RELEASE_METHOD: self.handle_release,
        }

    @property
    def in_flight(self) -> int:
        """Return the number of calls with attempts that are not reported yet."""
        return len(self._gathers_by_key)

    async def wait_idle(self, timeout: datetime.timedelta) -> None:
        """Wait until no call is in flight, at most for ``timeout``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                await self._idle_event.wait()

    async def handle_gather(self, body: bytes) -> bytes:
        """Send the attempts and return the first report.

        :raises OverloadedError: this host is stopping or holds too many calls;
            nothing was sent.
        :raises KeyLeaseExpiredError: the request is of a team, and this host has no
            key lease; nothing was sent.
        """
        request = codec.decode_msgpack(body, delegation_messages.DelegationRequest)
        if self.is_stopping or len(self._gathers_by_key) >= MAX_GATHERS:
            raise exceptions.OverloadedError("no further attempts are accepted")
        team_id = self._team_of(request)
        if not self._may_send(team_id):
            raise exceptions.KeyLeaseExpiredError("this host has no key lease")
        gather = _Gather(
            request=request,
            signature_name=self._channel.names.signature,
            clock=self._clock,
        )
        self._gathers_by_key[request.key] = gather
        self._idle_event.clear()
        retention = request.left_ms / _MS + RETENTION_S
        asyncio.get_running_loop().call_later(retention, self._expire, request.key)
        for planned in request.attempts:
            self._send(gather, planned, team_id)
        return self._encode_report(gather, await gather.report())

    async def handle_next_report(self, body: bytes) -> bytes:
        """Return the next report, once an attempt has ended since the last one.

        :raises NotFoundError: no call with this key is held.
        """
        request = codec.decode_msgpack(body, delegation_messages.NextReportRequest)
        gather = self._gathers_by_key.get(request.key)
        if gather is None:
            raise exceptions.NotFoundError("no call with this key")
        return self._encode_report(gather, await gather.report())

    async def handle_release(self, body: bytes) -> bytes:
        """Release attempts that nobody waits for any more."""
        request = codec.decode_msgpack(body, delegation_messages.CancelRequest)
        gather = self._gathers_by_key.get(request.key)
        if gather is not None:
            self._release(gather, request.attempts)
        return b""

    def _team_of(self, request: delegation_messages.DelegationRequest) -> str:
        """Return the id of the team that sent a request, empty if there is none.

        The headers are those for upstreams; the team's is set by the query tier only.
        """
        name = self._channel.names.team
        return next((value for key, value in request.headers if key == name), "")

    def _send(
        self,
        gather: _Gather,
        planned: delegation_messages.PlannedAttempt,
        team_id: str,
    ) -> None:
        request = gather.request

        def on_end(
            exchange: exchanges.Exchange, outcome: events.Replied | events.Failed
        ) -> None:
            gather.record_outcome(planned.attempt, exchange, outcome)

        exchange = exchanges.Exchange(
            attempt=next(self._attempt_ids),
            address=planned.address,
            request_id=request.request_id,
            head=gather.head,
            upstream_id=planned.upstream_id,
            body=request.body,
            deadline=gather.started_at + request.left_ms / _MS,
            on_start=lambda exchange: None,
            on_end=on_end,
            may_start=functools.partial(self._may_send, team_id) if team_id else None,
        )
        gather.exchanges_by_attempt[planned.attempt] = exchange
        self._channel.send(exchange, max_connections=planned.max_connections)

    def _encode_report(
        self, gather: _Gather, report: delegation_messages.AttemptReport
    ) -> bytes:
        if gather.is_over:
            self._remove(gather.request.key)
        return codec.encode_msgpack(report)

    def _release(self, gather: _Gather, attempts: tuple[int, ...]) -> None:
        gather.released.update(attempts)
        for attempt in attempts:
            exchange = gather.exchanges_by_attempt.get(attempt)
            if exchange is not None:
                self._channel.release(exchange.attempt, may_cancel=True)

    def _remove(self, key: str) -> _Gather | None:
        gather = self._gathers_by_key.pop(key, None)
        if not self._gathers_by_key:
            self._idle_event.set()
        return gather

    def _expire(self, key: str) -> None:
        """Discard a call whose host never fetched the remaining outcomes."""
        gather = self._remove(key)
        if gather is not None:
            log.info("gather_expired", key=key, request=gather.request.request_id)
            self._release(gather, tuple(gather.exchanges_by_attempt))
