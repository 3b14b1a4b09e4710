"""The decision core of an entry host: events in, actions out.

It performs no input or output and reads no global clock, so the same code
runs in the daemons, in ``dev`` and in replays.
"""

import typing

from greengagehaven import clock as clock_module
from greengagehaven import exceptions
from greengagehaven import rng as rng_module
from greengagehaven.coordination import (
    admission,
    dispatcher,
    events,
    hedging,
    limits,
    options,
    plan,
    query,
    retries,
    timers,
    waiting,
)
from greengagehaven.protocol import search, upstream
from greengagehaven.state import directory, document

RETRY_AFTER_S = 1.0


class Core:
    """Query path of one entry host.

    :param clock: time; only ``monotonic`` is read.
    :param rng: randomness for the choice of upstreams.
    :param directory: the live upstreams; after a change the core must get
        :class:`~greengagehaven.coordination.events.DirectoryChanged`.
    :param host_id: name of this entry host among its peers.
    :param zone: availability zone of this entry host.
    :param options: switches of the mechanisms.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        rng: rng_module.Rng,
        directory: directory.DirectoryView,
        host_id: str,
        zone: str,
        options: options.Options = options.DEFAULT,
    ) -> None:
        self._clock = clock
        self._host_id = host_id
        self._zone = zone
        self._options = options
        self._directory = directory
        self._environment: document.Environment | None = None
        self._drained_zones: frozenset[str] = frozenset()
        self._queries_by_id: dict[str, query.Query] = {}
        self._timers = timers.Timers()
        self._planner = plan.Planner(directory=directory)
        self._limits = limits.SlotLimits()
        self._retry_budget = retries.Budget(ratio=options.retry_budget)
        self._hedges = hedging.HedgePolicy(
            quantile=options.hedge_quantile,
            budget_ratio=options.hedge_budget if options.hedging else 0.0,
        )
        self._dispatcher = dispatcher.Dispatcher(
            clock=clock,
            rng=rng,
            directory=directory,
            planner=self._planner,
            usable=self._is_usable,
            upstream_limits=self._limits,
            queue=waiting.ArrivalQueue(),
        )
        self._handlers_by_event: dict[type, typing.Callable] = {
            events.QuerySubmitted: self._on_submitted,
            events.QueryAbandoned: self._on_abandoned,
            events.OutcomeReceived: self._on_outcome,
            events.DirectoryChanged: self._on_directory_changed,
            events.DocumentInForce: self._on_document,
            events.ZonesDrained: self._on_zones_drained,
            events.HostsChanged: self._on_hosts_changed,
            events.PeerNotice: self._on_peer_notice,
            events.TimeReached: self._on_time_reached,
        }

    @property
    def queries_in_flight(self) -> int:
        """Return how many queries have no answer yet."""
        return len(self._queries_by_id)

    def step(self, event: events.Event) -> list[events.Action]:
        """Take one event and return what is to be done, in order."""
        actions: list[events.Action] = []
        self._handlers_by_event[type(event)](event, actions)
        moment = self._timers.next_wake()
        if moment is not None:
            actions.append(events.WakeAt(moment=moment))
        return actions

    def _is_usable(self, announcement: upstream.Announcement) -> bool:
        if announcement.availability_zone in self._drained_zones:
            return False
        return announcement.state is upstream.UpstreamState.READY

    def _on_submitted(
        self, submitted: events.QuerySubmitted, actions: list[events.Action]
    ) -> None:
        try:
            running = self._admit(submitted)
        except exceptions.RequestError as error:
            refusal = events.RefuseQuery(request_id=submitted.request_id, error=error)
            actions.append(refusal)
            return
        self._queries_by_id[running.request_id] = running
        self._arm_deadline(running)
        self._start(running, actions)

    def _admit(self, submitted: events.QuerySubmitted) -> query.Query:
        if self._environment is None:
            raise exceptions.NotConfiguredError(
                "no document is in force yet", retry_after=RETRY_AFTER_S
            )
        kind = admission.check(submitted, self._environment)
        if self._dispatcher.waiting_count >= self._options.max_waiting:
            raise exceptions.OverloadedError(
                "too many sub-requests wait", retry_after=RETRY_AFTER_S
            )
        now = self._clock.monotonic()
        deadline = now + kind.deadline.total_seconds()
        if submitted.deadline is not None:
            deadline = min(deadline, submitted.deadline)
        if deadline <= now:
            raise exceptions.DeadlineExceededError("the deadline has passed")
        return query.Query(
            submitted=submitted,
            kind=kind,
            pinned=self._pin(submitted, kind),
            started=now,
            deadline=deadline,
        )

    def _pin(
        self,
        submitted: events.QuerySubmitted,
        kind: document.Kind,
        excluded_snapshots: frozenset[int] = frozenset(),
    ) -> plan.Plan:
        pinned = self._planner.pin(
            submitted.services,
            usable=self._is_usable,
            excluded_snapshots=excluded_snapshots,
        )
        if pinned is None:
            raise exceptions.IncompleteError(
                "no upstream of a service has ever been seen",
                retry_after=RETRY_AFTER_S,
            )
        return admission.select_targets(pinned, kind, submitted.query)

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
        self._hedges.budget.earn(len(batch))
        self._retry_budget.earn(len(batch))
        actions.append(events.Dispatch(batch=tuple(batch)))
        self._arm_hedges(batch)

    def _arm_hedges(self, batch: list[upstream.SubRequest]) -> None:
        delay = self._hedges.delay
        if delay is None or not self._options.hedging:
            return
        attempts_by_request: dict[str, list[int]] = {}
        for sub_request in batch:
            running = self._queries_by_id[sub_request.request_id]
            if running.kind.idempotent:
                attempts = attempts_by_request.setdefault(sub_request.request_id, [])
                attempts.append(sub_request.attempt)
        moment = self._clock.monotonic() + delay
        for request_id, attempts in attempts_by_request.items():
            timer = timers.HedgeTimer(request_id=request_id, attempts=tuple(attempts))
            self._timers.add(moment, timer)

    def _on_abandoned(
        self, abandoned: events.QueryAbandoned, actions: list[events.Action]
    ) -> None:
        running = self._queries_by_id.get(abandoned.request_id)
        if running is not None and running.kind.idempotent:
            self._end_query(running, actions)

    def _on_outcome(
        self, received: events.OutcomeReceived, actions: list[events.Action]
    ) -> None:
        outcome = received.outcome
        attempt = self._dispatcher.end(outcome)
        if attempt is None:
            return
        if isinstance(outcome, upstream.Replied) and not attempt.extra:
            self._hedges.observe(self._clock.monotonic() - attempt.sent_at)
        running = self._queries_by_id.get(outcome.request_id)
        if running is not None:
            self._advance(running, attempt, outcome, actions)
        shard_refs = self._dispatcher.shards_beside(attempt.upstream_id)
        self._send_waiting(shard_refs, actions)

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
                actions.append(self._cancel(running, loser))
            progress.attempts_by_id.clear()
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
            if self._retry_budget.spend():
                self._dispatcher.enqueue(running, shard_ref)
                self._send_waiting([shard_ref], actions)
                return
        elif allowed and self._start_over(running, actions):
            return
        running.give_up(shard_ref, _missing_reason(failed))

    def _start_over(self, running: query.Query, actions: list[events.Action]) -> bool:
        """Begin an idempotent query again on another snapshot, if one covers it."""
        if not running.kind.idempotent:
            return False
        excluded = running.excluded_snapshots | {running.plan.snapshot}
        pinned = self._planner.pin(
            running.submitted.services,
            usable=self._is_usable,
            excluded_snapshots=frozenset(excluded),
        )
        if pinned is None or pinned.uncovered or not self._retry_budget.spend():
            return False
        for attempt in running.attempts_in_flight():
            actions.append(self._cancel(running, attempt))
        running.excluded_snapshots = excluded
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
            error = self._describe_refusal(running, coverage)
            refusal = events.RefuseQuery(request_id=running.request_id, error=error)
            actions.append(refusal)
        self._end_query(running, actions)
        return True

    def _describe_refusal(
        self, running: query.Query, coverage: search.Coverage
    ) -> exceptions.RequestError:
        ran = running.ran
        detail = f"{coverage.answered} of {coverage.total} shards answered"
        if ran is not exceptions.Ran.NO and not running.kind.idempotent:
            return exceptions.OutcomeUnknownError(detail, ran=ran)
        error = (
            exceptions.DeadlineExceededError
            if running.is_late
            else exceptions.IncompleteError
        )
        return error(detail, ran=ran, retry_after=RETRY_AFTER_S)

    def _end_query(self, running: query.Query, actions: list[events.Action]) -> None:
        del self._queries_by_id[running.request_id]
        for attempt in running.attempts_in_flight():
            actions.append(self._cancel(running, attempt))

    def _cancel(self, running: query.Query, attempt: int) -> events.Cancel:
        return events.Cancel(request_id=running.request_id, attempt=attempt)

    def _on_directory_changed(
        self, changed: events.DirectoryChanged, actions: list[events.Action]
    ) -> None:
        self._planner.invalidate()
        self._dispatcher.forget_departed()
        self._reconsider_waiting(actions)

    def _reconsider_waiting(self, actions: list[events.Action]) -> None:
        """Settle or send every shard that is not in flight."""
        for running in list(self._queries_by_id.values()):
            for shard_ref, progress in list(running.progress_by_shard.items()):
                if progress.settled or progress.attempts_by_id:
                    continue
                if self._dispatcher.holders(running, shard_ref):
                    continue
                if self._start_over(running, actions):
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

    def _on_document(
        self, in_force: events.DocumentInForce, actions: list[events.Action]
    ) -> None:
        self._environment = in_force.environment

    def _on_zones_drained(
        self, drained: events.ZonesDrained, actions: list[events.Action]
    ) -> None:
        self._drained_zones = drained.zones
        self._planner.invalidate()
        self._reconsider_waiting(actions)

    def _on_hosts_changed(
        self, changed: events.HostsChanged, actions: list[events.Action]
    ) -> None:
        self._limits.set_hosts(changed.zones_by_host_id)

    def _on_peer_notice(
        self, notice: events.PeerNotice, actions: list[events.Action]
    ) -> None:
        """Take a message of another host's core; none is known yet."""

    def _on_time_reached(
        self, reached: events.TimeReached, actions: list[events.Action]
    ) -> None:
        for timer in self._timers.pop_due(self._clock.monotonic()):
            running = self._queries_by_id.get(timer.request_id)
            if running is None:
                continue
            if isinstance(timer, timers.DeadlineTimer):
                running.give_up_rest(search.MissingReason.TIMEOUT)
                self._finish_if_settled(running, actions)
            else:
                self._hedge(running, timer, actions)

    def _hedge(
        self,
        running: query.Query,
        timer: timers.HedgeTimer,
        actions: list[events.Action],
    ) -> None:
        straggling = set(timer.attempts)
        batch = []
        for shard_ref, progress in running.progress_by_shard.items():
            if progress.hedged or not straggling & progress.attempts_by_id.keys():
                continue
            if not self._hedges.budget.spend():
                break
            sub_request = self._dispatcher.send_extra(running, shard_ref)
            if sub_request is None:
                self._hedges.budget.refund()
                continue
            progress.hedged = True
            batch.append(sub_request)
        if batch:
            actions.append(events.Dispatch(batch=tuple(batch)))


def _missing_reason(failed: upstream.Failed) -> search.MissingReason:
    if failed.reason is upstream.FailureReason.OVERLOADED:
        return search.MissingReason.OVERLOADED
    return search.MissingReason.FAILED
