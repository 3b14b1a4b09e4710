"""The life of queries after admission: send, take replies, retry, hedge, end."""

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
_MAX_HEDGES = 2
_HEDGE_AGAIN_RATIO = 0.5


class Execution:
    """Queries in progress on one entry host.

    :param clock: time; only ``monotonic`` is read.
    :param planner: pins snapshots and partitionings.
    :param usable: whether an upstream may get new work now.
    :param sender: what sends sub-requests.
    :param pending: timers of the core.
    :param isolation: keeps suspected requests apart and convicted ones out.
    :param hedges: when to send a second attempt.
    :param options: switches of the mechanisms.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        planner: plan.Planner,
        usable: plan.Usable,
        sender: dispatcher.Dispatcher,
        pending: timers.Timers,
        isolation: isolation.Isolation,
        hedges: hedging.HedgePolicy,
        options: options.Options,
    ) -> None:
        self._clock = clock
        self._planner = planner
        self._usable = usable
        self._dispatcher = sender
        self._timers = pending
        self._isolation = isolation
        self._options = options
        self._release_at: float | None = None
        self._queries_by_id: dict[str, query.Query] = {}
        self._retry_budgets = retries.ServiceBudgets(
            ratio=options.retry_budget, enabled=options.retry_limits
        )
        self._restart_budget = retries.Budget(ratio=options.retry_budget)
        self._hedges = hedges

    @property
    def queries_by_id(self) -> abc.Mapping[str, query.Query]:
        """Return the queries that have no answer yet."""
        return self._queries_by_id

    def begin(self, running: query.Query, actions: list[events.Action]) -> None:
        """Take on an admitted query and send what there is room for."""
        self._queries_by_id[running.request_id] = running
        self._isolation.begin(running)
        self._restart_budget.earn()
        self._arm_deadline(running)
        self._start(running, actions)

    def end(self, running: query.Query, actions: list[events.Action]) -> None:
        """Forget a query and give up on its attempts in flight."""
        del self._queries_by_id[running.request_id]
        self._dispatcher.discard(running)
        self._isolation.end(running)
        for attempt in running.attempts_in_flight():
            actions.append(_cancel(running, attempt))

    def take_outcome(
        self,
        attempt: dispatcher.Attempt,
        outcome: upstream.Outcome,
        actions: list[events.Action],
    ) -> None:
        """Advance the query of an attempt that ended, and send what waited."""
        convicted = self._isolation.note_outcome(
            attempt.fingerprint,
            outcome,
            incarnation=attempt.incarnation,
            shard_ref=attempt.shard_ref,
        )
        if convicted:
            self.stop_convicted(attempt.fingerprint, actions)
        running = self._queries_by_id.get(outcome.request_id)
        if running is not None:
            self._advance(running, attempt, outcome, actions)
        self.release_parked(actions)
        shard_refs = self._dispatcher.shards_beside(attempt.upstream_id)
        self._send_waiting(shard_refs, actions)

    def stop_convicted(self, fingerprint: str, actions: list[events.Action]) -> None:
        """Refuse the queries in progress that were convicted, at once."""
        for request_id in self._isolation.request_ids(fingerprint):
            running = self._queries_by_id[request_id]
            error = self._isolation.describe(running)
            if error is not None:
                actions.append(events.RefuseQuery(request_id=request_id, error=error))
                self.end(running, actions)

    def release_parked(self, actions: list[events.Action]) -> None:
        """Let suspected requests go on that may go by now."""
        released = []
        for request_id, shard_ref in self._isolation.take_released():
            running = self._queries_by_id.get(request_id)
            if running is not None and shard_ref in running.progress_by_shard:
                self._dispatcher.enqueue(running, shard_ref)
                released.append(shard_ref)
        if released:
            self._send_waiting(dict.fromkeys(released), actions)
        moment = self._isolation.next_release()
        if moment is not None and moment != self._release_at:
            self._release_at = moment
            self._timers.add(moment, timers.ReleaseTimer())

    def take_timer(self, timer: timers.Timer, actions: list[events.Action]) -> None:
        """Act on a timer of a query whose moment has come."""
        running = self._queries_by_id.get(timer.request_id)
        if running is None:
            return
        if isinstance(timer, timers.DeadlineTimer):
            self._take_deadline(running, actions)
        else:
            self._hedge(running, timer, actions)

    def _take_deadline(
        self, running: query.Query, actions: list[events.Action]
    ) -> None:
        is_final = self._clock.monotonic() >= running.deadline
        if not is_final and not running.answered:
            # Nothing has come yet. An error now helps nobody: the first shard
            # that answers ends the wait.
            running.is_overdue = True
            timer = timers.DeadlineTimer(request_id=running.request_id)
            self._timers.add(running.deadline, timer)
            return
        running.give_up_rest(search.MissingReason.TIMEOUT)
        self._finish_if_settled(running, actions)

    def reconsider_waiting(self, actions: list[events.Action]) -> None:
        """Settle or send every shard that is not in flight."""
        for running in list(self._queries_by_id.values()):
            for shard_ref, progress in list(running.progress_by_shard.items()):
                if progress.settled or progress.attempts_by_id:
                    continue
                if self._dispatcher.holders(running, shard_ref):
                    continue
                if self._start_over(running, progress.target, actions):
                    break
                running.give_up(shard_ref, search.MissingReason.NO_REPLICA)
            self._finish_if_settled(running, actions)
        shard_refs = {
            shard_ref
            for running in self._queries_by_id.values()
            for shard_ref, progress in running.progress_by_shard.items()
            if not progress.settled and not progress.attempts_by_id
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
        self._earn(batch)
        actions.append(events.Dispatch(batch=tuple(batch)))
        self._arm_hedges(batch)

    def _earn(self, batch: list[upstream.SubRequest]) -> None:
        """Fill the budgets by first attempts only.

        Were extra attempts to earn as well, each retry would pay for a part of
        the next, and the load could not be told from the budget.
        """
        for sub_request in batch:
            if not self._dispatcher.attempts_by_id[sub_request.id].extra:
                self._hedges.earn()
                self._retry_budgets.earn(sub_request.shard_ref.service)

    def _arm_hedges(self, batch: list[upstream.SubRequest]) -> None:
        attempts_by_timer: dict[tuple[str, float], list] = {}
        for sub_request in batch:
            attempt = self._dispatcher.attempts_by_id[sub_request.id]
            running = self._queries_by_id[sub_request.request_id]
            if attempt.is_probe or attempt.is_over_share:
                continue
            if not running.kind.idempotent:
                continue
            delay = self._hedges.delay(attempt.latency_class)
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
            running.note_not_run()
        progress = running.end_attempt(attempt.shard_ref, outcome.attempt)
        if progress is None or progress.settled:
            return
        if isinstance(outcome, upstream.Replied):
            running.take_rows(attempt.shard_ref, outcome.rows)
            for loser in progress.attempts_by_id:
                actions.append(_cancel(running, loser))
            progress.attempts_by_id.clear()
            if running.is_overdue:
                running.give_up_rest(search.MissingReason.TIMEOUT)
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
        if progress.attempts_by_id:
            return
        shard_ref = progress.target.ref
        allowed = failed.not_run or running.kind.idempotent
        if allowed and self._dispatcher.holders(running, shard_ref):
            if self._retry_budgets.spend(shard_ref.service):
                self._dispatcher.enqueue(running, shard_ref)
                self._send_waiting([shard_ref], actions)
                return
        elif allowed and self._start_over(running, progress.target, actions):
            return
        running.give_up(shard_ref, refusal.missing_reason(failed))

    def _start_over(
        self,
        running: query.Query,
        lost: plan.ShardTarget,
        actions: list[events.Action],
    ) -> bool:
        """Begin an idempotent query again on other versions, if any cover it.

        :param lost: the shard that cannot be answered as it was pinned.
        """
        if not running.kind.idempotent or running.restarts >= _MAX_RESTARTS:
            return False
        version = plan.Version(
            lost.ref.service, running.plan.snapshot, lost.partitioning
        )
        excluded = running.excluded | {version}
        pinned = self._planner.pin(
            running.submitted.services, usable=self._usable, excluded=excluded
        )
        if pinned is None or pinned.uncovered or not self._restart_budget.spend():
            return False
        for attempt in running.attempts_in_flight():
            actions.append(_cancel(running, attempt))
        running.excluded = excluded
        running.restarts += 1
        targets = admission.select_targets(
            pinned, running.kind, running.submitted.query
        )
        running.pin(targets)
        self._start(running, actions)
        return True

    def _finish_if_settled(
        self, running: query.Query, actions: list[events.Action]
    ) -> bool:
        """Answer or refuse a query as soon as its fate is certain."""
        if running.request_id not in self._queries_by_id:
            return True
        gave_up = running.requires_complete and running.has_missing
        if not running.settled and not gave_up:
            return False
        answer = running.answer()
        coverage = answer.coverage
        if coverage.complete or (coverage.answered and not running.requires_complete):
            actions.append(events.AnswerQuery(answer=answer))
        else:
            error = refusal.describe(running, coverage)
            refused = events.RefuseQuery(request_id=running.request_id, error=error)
            actions.append(refused)
        self.end(running, actions)
        return True

    def _hedge(
        self,
        running: query.Query,
        timer: timers.HedgeTimer,
        actions: list[events.Action],
    ) -> None:
        batch = []
        unserved = []
        for shard_ref, attempt in timer.attempts:
            progress = running.progress_by_shard.get(shard_ref)
            if progress is None or attempt not in progress.attempts_by_id:
                continue
            if progress.hedges >= _MAX_HEDGES:
                continue
            sub_request = self._send_hedge(running, shard_ref)
            if sub_request is None:
                unserved.append((shard_ref, attempt))
                continue
            progress.hedges += 1
            batch.append(sub_request)
        if batch:
            actions.append(events.Dispatch(batch=tuple(batch)))
            # The second one may straggle too.
            self._arm_hedges(batch)
        if unserved:
            # Room or budget may come before the straggler's reply does.
            again = dataclasses.replace(timer, attempts=tuple(unserved))
            moment = self._clock.monotonic() + timer.delay * _HEDGE_AGAIN_RATIO
            self._timers.add(moment, again)

    def _send_hedge(
        self, running: query.Query, shard_ref: upstream.ShardRef
    ) -> upstream.SubRequest | None:
        if not self._hedges.budget.spend():
            return None
        sub_request = self._dispatcher.send_extra(running, shard_ref)
        if sub_request is None:
            self._hedges.budget.refund()
        return sub_request


def _cancel(running: query.Query, attempt: int) -> events.Cancel:
    return events.Cancel(request_id=running.request_id, attempt=attempt)
