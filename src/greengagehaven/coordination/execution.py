"""Execution of admitted queries: sending, replies, retries, hedges and timeouts."""

import dataclasses
import typing
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven.coordination import (
    admission,
    dispatcher,
    events,
    hedging,
    isolation,
    options,
    plan,
    query,
    refusal,
    retries,
    timers,
)
from greengagehaven.protocol import search, upstream

_MAX_RESTARTS = 2
"""Times that one query may be planned again on other versions."""

_MAX_HEDGES = 2
"""Hedges for one shard of a query."""

_HEDGE_RETRY_DELAY_RATIO = 0.5
"""Delay before an unsent hedge is tried again, as a part of the hedge delay."""


class Execution:
    """Queries in progress on one entry host.

    :param clock: source of time; only ``monotonic`` is read.
    :param planner: selects the snapshot and partitionings of a query.
    :param usable: returns whether an upstream may receive new sub-requests.
    :param dispatcher: sends sub-requests.
    :param timers: timers of the core.
    :param isolation: runs suspected requests apart and rejects quarantined ones.
    :param hedge_policy: delay and budget of hedges.
    :param options: settings of the query path.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        planner: plan.Planner,
        usable: plan.Usable,
        dispatcher: dispatcher.Dispatcher,
        timers: timers.Timers,
        isolation: isolation.Isolation,
        hedge_policy: hedging.HedgePolicy,
        options: options.Options,
    ) -> None:
        self._clock = clock
        self._planner = planner
        self._usable = usable
        self._dispatcher = dispatcher
        self._timers = timers
        self._isolation = isolation
        self._options = options
        self._release_timer_at: float | None = None
        self._queries_by_id: dict[str, query.Query] = {}
        self._retry_budgets = retries.ServiceBudgets(
            ratio=options.retry_budget, enabled=options.retry_limits
        )
        self._restart_budget = retries.Budget(ratio=options.retry_budget)
        self._hedge_policy = hedge_policy

    @property
    def queries_by_id(self) -> abc.Mapping[str, query.Query]:
        """Return the queries in progress, by request id."""
        return self._queries_by_id

    def begin(self, running: query.Query, actions: list[events.Action]) -> None:
        """Start an admitted query and send as much of it as capacity allows."""
        self._queries_by_id[running.request_id] = running
        self._isolation.register(running)
        self._restart_budget.deposit()
        self._arm_deadline(running)
        self._start(running, actions)

    def end(self, running: query.Query, actions: list[events.Action]) -> None:
        """Remove a query and cancel its attempts in flight."""
        del self._queries_by_id[running.request_id]
        self._dispatcher.discard(running)
        self._isolation.unregister(running)
        for attempt in running.attempts_in_flight():
            actions.append(_cancel(running, attempt))

    def on_outcome(
        self,
        attempt: dispatcher.Attempt,
        outcome: upstream.Outcome,
        actions: list[events.Action],
    ) -> None:
        """Apply the outcome of an attempt to its query and send queued sub-requests."""
        convicted = self._isolation.record_outcome(
            attempt.fingerprint,
            outcome,
            incarnation=attempt.incarnation,
            shard_ref=attempt.shard_ref,
        )
        if convicted:
            self.refuse_quarantined(attempt.fingerprint, actions)
        running = self._queries_by_id.get(outcome.request_id)
        if running is not None:
            self._advance(running, attempt, outcome, actions)
        self.release_parked(actions)
        shard_refs = self._dispatcher.shards_on_upstream(attempt.upstream_id)
        self._send_waiting(shard_refs, actions)

    def refuse_quarantined(
        self, fingerprint: str, actions: list[events.Action]
    ) -> None:
        """Refuse the queries in progress whose fingerprint is quarantined."""
        for request_id in self._isolation.request_ids(fingerprint):
            running = self._queries_by_id[request_id]
            error = self._isolation.conviction_error(running)
            if error is not None:
                actions.append(events.RefuseQuery(request_id=request_id, error=error))
                self.end(running, actions)

    def release_parked(self, actions: list[events.Action]) -> None:
        """Queue the parked shards of suspected requests that may now be sent."""
        released = []
        for request_id, shard_ref in self._isolation.take_released():
            running = self._queries_by_id.get(request_id)
            if running is not None and shard_ref in running.progress_by_shard:
                self._dispatcher.enqueue(running, shard_ref)
                released.append(shard_ref)
        if released:
            self._send_waiting(dict.fromkeys(released), actions)
        moment = self._isolation.next_hold_end()
        if moment is not None and moment != self._release_timer_at:
            self._release_timer_at = moment
            self._timers.add(moment, timers.ReleaseTimer())

    def on_timer(self, timer: timers.Timer, actions: list[events.Action]) -> None:
        """Handle a timer of a query that is due."""
        running = self._queries_by_id.get(timer.request_id)
        if running is None:
            return
        if isinstance(timer, timers.DeadlineTimer):
            self._on_deadline(running, actions)
        else:
            self._on_hedge_timer(running, timer, actions)

    def _on_deadline(self, running: query.Query, actions: list[events.Action]) -> None:
        is_final = self._clock.monotonic() >= running.deadline
        if not is_final and not running.answered_count:
            # The time for a partial answer has come, but no shard has answered.
            # Instead of an error, the query is answered with the first reply or
            # refused at its deadline.
            running.answers_on_next_reply = True
            timer = timers.DeadlineTimer(request_id=running.request_id)
            self._timers.add(running.deadline, timer)
            return
        running.mark_rest_missing(search.MissingReason.TIMEOUT)
        self._finish_if_settled(running, actions)

    def reevaluate_waiting(self, actions: list[events.Action]) -> None:
        """Check again every shard without an attempt in flight.

        A shard without an untried upstream restarts its query or is marked as
        missing; the others are sent as far as capacity allows.
        """
        for running in list(self._queries_by_id.values()):
            for shard_ref, progress in list(running.progress_by_shard.items()):
                if progress.settled or progress.upstream_ids_by_attempt:
                    continue
                if self._dispatcher.untried_replica_ids(running, shard_ref):
                    continue
                if self._restart(running, progress.target, actions):
                    break
                running.mark_missing(shard_ref, search.MissingReason.NO_REPLICA)
            self._finish_if_settled(running, actions)
        shard_refs = {
            shard_ref
            for running in self._queries_by_id.values()
            for shard_ref, progress in running.progress_by_shard.items()
            if not progress.settled and not progress.upstream_ids_by_attempt
        }
        self._send_waiting(sorted(shard_refs), actions)

    def _arm_deadline(self, running: query.Query) -> None:
        moment = running.deadline
        answer_after = running.kind.answer_after
        if answer_after is not None and not running.requires_complete:
            moment = min(moment, running.started + answer_after.total_seconds())
        timer = timers.DeadlineTimer(request_id=running.request_id)
        self._timers.add(moment, timer)

    def _start(self, running: query.Query, actions: list[events.Action]) -> None:
        if self._finish_if_settled(running, actions):
            return
        shard_refs = [
            shard_ref
            for shard_ref, progress in running.progress_by_shard.items()
            if not progress.settled
        ]
        for shard_ref in shard_refs:
            self._dispatcher.enqueue(running, shard_ref)
        self._send_waiting(shard_refs, actions)

    def _send_waiting(
        self,
        shard_refs: typing.Iterable[upstream.ShardRef],
        actions: list[events.Action],
    ) -> None:
        batch = self._dispatcher.send_waiting(shard_refs, self._queries_by_id)
        if not batch:
            return
        self._credit_budgets(batch)
        actions.append(events.Dispatch(batch=tuple(batch)))
        self._arm_hedges(batch)

    def _credit_budgets(self, batch: list[upstream.SubRequest]) -> None:
        """Add the first attempts of a batch to the retry and hedge budgets.

        Extra attempts add nothing. Otherwise each retry would pay for a part of
        the next one, and the budget ratio would no longer bound the extra load.
        """
        for sub_request in batch:
            if not self._dispatcher.attempts_by_id[sub_request.id].is_extra:
                self._hedge_policy.deposit()
                self._retry_budgets.deposit(sub_request.shard_ref.service)

    def _arm_hedges(self, batch: list[upstream.SubRequest]) -> None:
        attempts_by_timer: dict[tuple[str, float], list] = {}
        for sub_request in batch:
            attempt = self._dispatcher.attempts_by_id[sub_request.id]
            running = self._queries_by_id[sub_request.request_id]
            if attempt.is_probe or attempt.is_over_share:
                continue
            if not running.kind.idempotent:
                continue
            delay = self._hedge_policy.delay(attempt.latency_class)
            if delay is None:
                continue
            key = (sub_request.request_id, delay)
            attempts = attempts_by_timer.setdefault(key, [])
            attempts.append((sub_request.shard_ref, sub_request.attempt))
        now = self._clock.monotonic()
        for (request_id, delay), attempts in attempts_by_timer.items():
            timer = timers.HedgeTimer(
                request_id=request_id, attempts=tuple(attempts), delay=delay
            )
            self._timers.add(now + delay, timer)

    def _advance(
        self,
        running: query.Query,
        attempt: dispatcher.Attempt,
        outcome: upstream.Outcome,
        actions: list[events.Action],
    ) -> None:
        if isinstance(outcome, upstream.Failed) and outcome.not_run:
            running.record_not_run()
        progress = running.end_attempt(attempt.shard_ref, outcome.attempt)
        if progress is None or progress.settled:
            return
        if isinstance(outcome, upstream.Replied):
            running.set_rows(attempt.shard_ref, outcome.rows)
            for redundant_attempt in progress.upstream_ids_by_attempt:
                actions.append(_cancel(running, redundant_attempt))
            progress.upstream_ids_by_attempt.clear()
            if running.answers_on_next_reply:
                running.mark_rest_missing(search.MissingReason.TIMEOUT)
        else:
            self._retry(running, progress, outcome, actions)
        self._finish_if_settled(running, actions)

    def _retry(
        self,
        running: query.Query,
        progress: query.ShardProgress,
        failed: upstream.Failed,
        actions: list[events.Action],
    ) -> None:
        if progress.upstream_ids_by_attempt:
            return
        shard_ref = progress.target.ref
        allowed = failed.not_run or running.kind.idempotent
        if allowed and self._dispatcher.untried_replica_ids(running, shard_ref):
            if self._retry_budgets.try_withdraw(shard_ref.service):
                self._dispatcher.enqueue(running, shard_ref)
                self._send_waiting([shard_ref], actions)
                return
        elif allowed and self._restart(running, progress.target, actions):
            return
        running.mark_missing(shard_ref, refusal.missing_reason(failed))

    def _restart(
        self,
        running: query.Query,
        unavailable: plan.ShardTarget,
        actions: list[events.Action],
    ) -> bool:
        """Restart an idempotent query on versions that cover it in full.

        :param unavailable: the shard that cannot be answered under the current
            plan.
        :return: whether the query was restarted.
        """
        if not running.kind.idempotent or running.restart_count >= _MAX_RESTARTS:
            return False
        version = plan.Version(
            unavailable.ref.service, running.plan.snapshot, unavailable.partitioning
        )
        excluded_versions = running.excluded_versions | {version}
        pinned = self._planner.pin(
            running.submitted.services,
            usable=self._usable,
            excluded_versions=excluded_versions,
        )
        if (
            pinned is None
            or pinned.uncovered
            or not self._restart_budget.try_withdraw()
        ):
            return False
        for attempt in running.attempts_in_flight():
            actions.append(_cancel(running, attempt))
        running.excluded_versions = excluded_versions
        running.restart_count += 1
        new_plan = admission.select_targets(
            pinned, running.kind, running.submitted.query
        )
        running.pin(new_plan)
        self._start(running, actions)
        return True

    def _finish_if_settled(
        self, running: query.Query, actions: list[events.Action]
    ) -> bool:
        """Answer or refuse a query once its result is certain.

        :return: whether the query has ended.
        """
        if running.request_id not in self._queries_by_id:
            return True
        cannot_complete = running.requires_complete and running.has_missing
        if not running.settled and not cannot_complete:
            return False
        answer = running.answer()
        coverage = answer.coverage
        if coverage.complete or (coverage.answered and not running.requires_complete):
            actions.append(events.AnswerQuery(answer=answer))
        else:
            error = refusal.to_error(running, coverage)
            refused = events.RefuseQuery(request_id=running.request_id, error=error)
            actions.append(refused)
        self.end(running, actions)
        return True

    def _on_hedge_timer(
        self,
        running: query.Query,
        timer: timers.HedgeTimer,
        actions: list[events.Action],
    ) -> None:
        batch = []
        unsent = []
        for shard_ref, attempt in timer.attempts:
            progress = running.progress_by_shard.get(shard_ref)
            if progress is None or attempt not in progress.upstream_ids_by_attempt:
                continue
            if progress.hedge_count >= _MAX_HEDGES:
                continue
            sub_request = self._send_hedge(running, shard_ref)
            if sub_request is None:
                unsent.append((shard_ref, attempt))
                continue
            progress.hedge_count += 1
            batch.append(sub_request)
        if batch:
            actions.append(events.Dispatch(batch=tuple(batch)))
            # The hedges may be slow as well.
            self._arm_hedges(batch)
        if unsent:
            # Capacity or budget may become free before the slow attempt replies.
            retry_timer = dataclasses.replace(timer, attempts=tuple(unsent))
            moment = self._clock.monotonic() + timer.delay * _HEDGE_RETRY_DELAY_RATIO
            self._timers.add(moment, retry_timer)

    def _send_hedge(
        self, running: query.Query, shard_ref: upstream.ShardRef
    ) -> upstream.SubRequest | None:
        if not self._hedge_policy.budget.try_withdraw():
            return None
        sub_request = self._dispatcher.send_extra(running, shard_ref)
        if sub_request is None:
            self._hedge_policy.budget.refund()
        return sub_request


def _cancel(running: query.Query, attempt: int) -> events.Cancel:
    return events.Cancel(request_id=running.request_id, attempt=attempt)
