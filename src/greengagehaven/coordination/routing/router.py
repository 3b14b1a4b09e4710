"""The router of an entry host, a state machine from events to actions.

A request goes to one upstream of a service or, as a sweep, to one upstream of each
shard.
Straggling attempts are hedged and failed ones retried if the request may run more than
once and the extra-attempt budget, which all entry hosts share, allows it.
"""

import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven import rng as rngs
from greengagehaven.coordination.routing import (
    components,
    events,
    options,
    request,
    request_log,
    state_events,
    timers,
)
from greengagehaven.coordination.shared_budgets import reply_waits
from greengagehaven.protocol import rollouts
from greengagehaven.state import routes

Options = options.Options
"""Settings of the router."""


class Router:
    """Decides where requests are sent and how they are answered.

    It performs no input or output.

    :param options: settings.
    :param clock: monotonic time.
    :param rng: source of randomness for weights, ties and retry delays.
    """

    def __init__(self, *, options: Options, clock: clocks.Clock, rng: rngs.Rng) -> None:
        parts = components.Components(options=options, clock=clock, rng=rng)
        self.fleet = parts.fleet
        self.counts = parts.counts
        self.key_guard = parts.key_guard
        self.usage_limit = parts.usage_limit
        self._used = parts.used
        self._clock = clock
        self._versions = parts.versions
        self._budget = parts.budget
        self._caller_times = parts.caller_times
        self._crashes = parts.crashes
        self._requests_by_number = parts.requests_by_number
        self._waiting_by_number: dict[int, events.RequestArrived] = {}
        self._timers = parts.timers
        self._admission = parts.admission
        self._stop_deadline = parts.stop_deadline
        self._reachability = parts.reachability
        self._partition = parts.partition
        self._delegation = parts.delegation
        self._sender = parts.sender
        self._attempts_by_id = parts.sender.attempts_by_id
        self._availability = parts.availability
        self._planner = parts.planner
        self._borrower = parts.borrower
        self._extra_attempts = parts.extra_attempts
        self._completion = parts.completion
        self._settle = parts.settler.settle
        self._outcomes = parts.outcomes
        self._stranded = parts.stranded
        self._handlers_by_event: dict[type, typing.Callable] = {
            **state_events.StateEvents(parts=parts).handlers_by_event,
            events.RequestArrived: self._on_arrived,
            events.RequestAbandoned: self._on_abandoned,
            events.AnswerWritten: self._on_written,
            events.AttemptStarted: self._on_started,
            events.AttemptEnded: self._on_ended,
            events.AttemptsReported: self._on_reported,
            events.HelperEnded: self._on_helper_ended,
            events.ListenerChecked: self._on_listener_checked,
            events.UpstreamProbed: self._on_probed,
            events.LoanReceived: self._on_loan,
            events.UsageTotalsReceived: self._on_usage_totals,
            events.Stopping: self._on_stopping,
            events.TimeReached: self._on_time,
        }

    @property
    def table(self) -> routes.RoutingTable | None:
        """Return the routing table in force, ``None`` if there is none yet."""
        return self._admission.table

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are not answered yet."""
        return len(self._requests_by_number) + len(self._waiting_by_number)

    @property
    def requests(self) -> abc.Collection[request.RoutedRequest]:
        """Return the requests that were admitted and are not answered yet."""
        return self._requests_by_number.values()

    @property
    def _table_number(self) -> int:
        return 0 if self.table is None else self.table.number

    @property
    def is_cut_off(self) -> bool:
        """Return whether callers are better served by a host of another zone."""
        return self._used.sending_away and self._partition.is_cut_off

    def step(self, event: events.Event) -> list[events.Action]:
        """Apply one event and return the actions to perform, in order."""
        actions: list[events.Action] = []
        self._handlers_by_event[type(event)](event, actions)
        next_at = self._timers.next_at
        if next_at is not None:
            actions.append(events.WakeAt(moment=next_at))
        return actions

    def rollout_reports(self) -> tuple[rollouts.ServiceReport, ...]:
        """Return this host's report on each roll-out in progress."""
        return self._versions.reports(self.fleet.others_in_flight)

    def _on_arrived(
        self, arrived: events.RequestArrived, actions: list[events.Action]
    ) -> None:
        try:
            routed = self._admission.admit(arrived)
        except exceptions.RequestError as error:
            self._refuse(arrived, error, actions)
            return
        if routed is None:
            assert self.usage_limit is not None
            self._waiting_by_number[arrived.number] = arrived
            ends_at = self.usage_limit.waits.ends_at(arrived.number)
            self._timers.add(ends_at, arrived.number)
            return
        self._begin(routed, actions)

    def _refuse(
        self,
        arrived: events.RequestArrived,
        error: exceptions.RequestError,
        actions: list[events.Action],
    ) -> None:
        self.counts.refusals[error.code] += 1
        request_log.log_refusal(arrived, error, table=self._table_number)
        actions.append(events.Refuse(number=arrived.number, error=error))

    def _begin(
        self, routed: request.RoutedRequest, actions: list[events.Action]
    ) -> None:
        """Send the first attempts of an admitted request."""
        self._requests_by_number[routed.number] = routed
        chosen_by_service = self._planner.plan(routed, table=self._table_number)
        if self._is_worth_sending(routed):
            self._sender.send_first(routed, chosen_by_service, actions)
        self._settle(routed, actions)

    def _on_usage_totals(
        self, received: events.UsageTotalsReceived, actions: list[events.Action]
    ) -> None:
        assert self.usage_limit is not None
        now = self._clock.monotonic()
        outcomes = self.usage_limit.waits.apply_totals(received.sent_at, now)
        self._end_waits(outcomes, actions)

    def _end_waits(
        self,
        outcomes: abc.Iterable[reply_waits.Outcome],
        actions: list[events.Action],
    ) -> None:
        """Begin or refuse the requests that have waited for newer usage totals."""
        for outcome in outcomes:
            arrived = self._waiting_by_number.pop(outcome.number)
            try:
                routed = self._admission.resume(arrived, outcome)
            except exceptions.RequestError as error:
                self._refuse(arrived, error, actions)
                continue
            request_log.log_usage_wait(arrived, outcome)
            self._begin(routed, actions)

    def _on_stopping(
        self, stopping: events.Stopping, actions: list[events.Action]
    ) -> None:
        """Bring the deadlines of all requests forward to the end of the host."""
        self._stop_deadline.at = stopping.answer_by
        self._timers.add(stopping.answer_by, timers.STOP_TIMER)
        for routed in list(self._requests_by_number.values()):
            routed.deadline = min(routed.deadline, stopping.answer_by)
            self._settle(routed, actions)

    def _refuse_waiting(self, actions: list[events.Action]) -> None:
        """Refuse the requests that still wait for newer usage totals."""
        assert self.usage_limit is not None
        error = exceptions.DrainingError("the host is stopping")
        for number, arrived in list(self._waiting_by_number.items()):
            del self._waiting_by_number[number]
            self.usage_limit.waits.remove(number)
            self._refuse(arrived, error, actions)

    def _is_worth_sending(self, routed: request.RoutedRequest) -> bool:
        """Return whether a request that has just arrived can still be answered.

        If it has no time left, or too many shards have no upstream, nothing is sent:
        replies would be discarded, and the error to the caller could not state that
        the request did not run.
        """
        if self._clock.monotonic() >= routed.deadline:
            return False
        return routed.can_reach_min_shards or not self._used.early_refusal

    def _on_started(
        self, started: events.AttemptStarted, actions: list[events.Action]
    ) -> None:
        attempt = self._attempts_by_id.get(started.attempt)
        if attempt is not None:
            attempt.started_at = self._clock.monotonic()

    def _on_ended(
        self, ended: events.AttemptEnded, actions: list[events.Action]
    ) -> None:
        routed = self._outcomes.record_end(ended, actions)
        if routed is not None:
            is_success = isinstance(ended.outcome, events.Replied)
            is_success = is_success and ended.outcome.is_success
            self._settle(routed, actions, is_only_part=is_success)

    def _on_reported(
        self, reported: events.AttemptsReported, actions: list[events.Action]
    ) -> None:
        affected = [
            self._outcomes.record_end(ended, actions) for ended in reported.ended
        ]
        now = self._clock.monotonic()
        for attempt_id in reported.straggling:
            attempt = self._attempts_by_id.get(attempt_id)
            if attempt is not None and attempt.is_wanted:
                attempt.is_reported_pending = True
                attempt.shard.hedge_at = min(attempt.shard.hedge_at, now)
                affected.append(attempt.request)
        for routed in dict.fromkeys(affected):
            if routed is not None and not routed.is_over:
                self._extra_attempts.hedge_stragglers(routed, now, actions)
                self._settle(routed, actions)

    def _on_helper_ended(
        self, ended: events.HelperEnded, actions: list[events.Action]
    ) -> None:
        self._delegation.record_call_end(ended.address, failed=ended.failed)
        self.counts.delegations["failed" if ended.failed else "reported"] += 1

    def lend(self, services: abc.Iterable[str]) -> tuple[str, ...]:
        """Lend extra attempts to another host.

        :param services: one entry for each extra attempt that it wants.
        :returns: the entries for which it may send one.
        """
        lent = tuple(service for service in services if self._budget.try_lend(service))
        self.counts.loans["lent"] += len(lent)
        return lent

    def _on_loan(self, loan: events.LoanReceived, actions: list[events.Action]) -> None:
        self.counts.loans["borrowed"] += len(loan.services)
        now = self._clock.monotonic()
        for attempt in self._borrower.record_loan(loan):
            routed, shard = attempt.request, attempt.shard
            if shard.held is attempt:
                self._outcomes.retry_held(attempt, actions)
            elif loan.services and shard.is_pending and not routed.is_over:
                shard.hedge_at = now
                self._extra_attempts.hedge_stragglers(routed, now, actions)
                self._settle(routed, actions)

    def _on_probed(
        self, probed: events.UpstreamProbed, actions: list[events.Action]
    ) -> None:
        if self._reachability.apply_probe(probed):
            self._outcomes.fail_unreachable_attempts(actions)

    def _on_listener_checked(
        self, checked: events.ListenerChecked, actions: list[events.Action]
    ) -> None:
        for attempt in self._crashes.apply_listener_check(checked, actions):
            self._outcomes.retry_held(attempt, actions)

    def _on_abandoned(
        self, abandoned: events.RequestAbandoned, actions: list[events.Action]
    ) -> None:
        if self._waiting_by_number.pop(abandoned.number, None) is not None:
            assert self.usage_limit is not None
            self.usage_limit.waits.remove(abandoned.number)
        routed = self._requests_by_number.get(abandoned.number)
        if routed is not None:
            self._completion.end(routed, "caller_left", actions)

    def _on_written(
        self, written: events.AnswerWritten, actions: list[events.Action]
    ) -> None:
        self._caller_times.record_lateness(written.route, written.late)
        if not written.is_held:
            return
        if self._used.lag:
            self._caller_times.record_lag(written.late)
        request_log.log_lag(written.late, self._caller_times.lag)

    def _on_time(
        self, reached: events.TimeReached, actions: list[events.Action]
    ) -> None:
        now = self._clock.monotonic()
        while (due := self._timers.pop_due(now)) is not None:
            due_at, number = due
            if number == timers.BORROW_TIMER:
                self._borrower.request_loan(actions)
            elif number == timers.KEY_LEASE_TIMER:
                self.key_guard.update(is_timer=True)
            elif number == timers.REACHABILITY_TIMER:
                self._check_upstreams(due_at, actions)
            elif number == timers.STOP_TIMER:
                if self._waiting_by_number:
                    self._refuse_waiting(actions)
            elif number in self._waiting_by_number:
                assert self.usage_limit is not None
                self._end_waits(self.usage_limit.waits.end_due(now), actions)
            elif number in self._requests_by_number:
                self._wake(self._requests_by_number[number], now, actions)

    def _check_upstreams(self, due_at: float, actions: list[events.Action]) -> None:
        """Check which upstreams can be reached and answer.

        :param due_at: when this check was due, in monotonic seconds.
        """
        if self._used.probing:
            self._reachability.check(self._attempts_by_id.values(), actions)
        self._partition.update(self.table, actions)
        self._outcomes.fail_unreachable_attempts(actions)
        self._availability.check(self._attempts_by_id.values(), due_at=due_at)
        self._stranded.end(self._requests_by_number.values(), actions)

    def _wake(
        self, routed: request.RoutedRequest, now: float, actions: list[events.Action]
    ) -> None:
        """Retry and hedge the shards of a request whose timer has come."""
        routed.wake_at = float("inf")
        for shard in routed.pending:
            if shard.held is not None and shard.held_until <= now:
                self._outcomes.retry_held(shard.held, actions)
            if shard.hedge_at <= now:
                self._delegation.record_missed_reports(
                    attempt.helper_address for attempt in shard.attempts
                )
        self._extra_attempts.hedge_stragglers(routed, now, actions)
        self._settle(routed, actions)
