"""What a request is answered, and when: whole, with what there is, or refused."""

from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.coordination.routing import (
    callers,
    counts,
    delegation,
    events,
    narration,
    refusals,
    request,
)


class Answering:
    """Ends requests whose fate is certain, and lets go of what they wait for.

    :param of_refusals: makes the errors.
    :param of_delegation: learns how long this host takes for a shard.
    :param of_callers: what is known of callers' time, for the log.
    :param counted: counts requests.
    :param requests_by_number: those in flight; one that ends is taken out.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        of_refusals: refusals.Refusals,
        of_delegation: delegation.Delegation,
        of_callers: callers.CallerTimes,
        counted: counts.Counts,
        requests_by_number: dict[int, request.RoutedRequest],
        clock: clocks.Clock,
    ) -> None:
        self._refusals = of_refusals
        self._delegation = of_delegation
        self._callers = of_callers
        self._counts = counted
        self._requests_by_number = requests_by_number
        self._clock = clock

    def settle(
        self, routed: request.RoutedRequest, actions: list[events.Action]
    ) -> None:
        """Answer a request whose fate is certain, or whose time is over."""
        now = self._clock.monotonic()
        if routed.is_sweep:
            self._settle_sweep(routed, now, actions)
        else:
            self._settle_single(routed, actions)
        if not routed.is_over and now >= routed.deadline:
            self._refuse(routed, self._refusals.late(routed), actions)

    def end(
        self,
        routed: request.RoutedRequest,
        outcome: str,
        actions: list[events.Action],
        *,
        detail: str = "",
    ) -> None:
        """End a request and release the attempts that it waits for."""
        routed.is_over = True
        self._requests_by_number.pop(routed.number, None)
        took = self._clock.monotonic() - routed.started
        missing = len(routed.shards) - routed.part_count
        self._counts.end(routed.route.name, outcome, took, missing)
        own = [part for part in routed.parts if not part.via]
        self._delegation.note_times(
            sent=(part.started_at for part in own if part.started_at is not None),
            came=(part.replied_at for part in own if part.replied_at is not None),
        )
        narration.tell_end(
            routed, outcome, took=took, lag=self._callers.lag, detail=detail
        )
        left = [attempt for shard in routed.shards for attempt in shard.attempts]
        release(left, actions)

    def _settle_single(
        self, routed: request.RoutedRequest, actions: list[events.Action]
    ) -> None:
        shard = routed.shards[0]
        if shard.is_pending:
            return
        whole = shard.part or shard.reply
        if whole is not None:
            actions.append(events.PassOn(number=routed.number, attempt=whole.id))
            self.end(routed, "answered" if shard.part else "upstream_error", actions)
            return
        self._refuse(routed, self._refusals.failed(routed), actions)

    def _settle_sweep(
        self,
        routed: request.RoutedRequest,
        now: float,
        actions: list[events.Action],
    ) -> None:
        if not routed.can_be_complete_enough:
            self._refuse(routed, self._refusals.failed(routed), actions)
            return
        if routed.pending_count and not routed.is_answer_due(now):
            return
        parts = routed.parts
        missing = len(routed.shards) - len(parts)
        actions.append(
            events.AnswerParts(
                number=routed.number,
                attempts=tuple(attempt.id for attempt in parts),
                missing=missing,
                top_records=routed.route.top_records,
                due_at=routed.due_at() if routed.pending_count else None,
            )
        )
        self.end(routed, "answered" if not missing else "partial", actions)

    def _refuse(
        self,
        routed: request.RoutedRequest,
        error: exceptions.RequestError,
        actions: list[events.Action],
    ) -> None:
        actions.append(events.Refuse(number=routed.number, error=error))
        self.end(routed, error.code, actions, detail=error.detail)


def release(
    attempts: abc.Iterable[request.Attempt], actions: list[events.Action]
) -> None:
    """Let go of attempts that nobody waits for any more."""
    wanted = [attempt for attempt in attempts if attempt.is_wanted]
    for attempt in wanted:
        attempt.is_wanted = False
    if wanted:
        ids = tuple(attempt.id for attempt in wanted)
        may_cut = wanted[0].request.route.is_idempotent
        actions.append(events.Release(attempts=ids, may_cut=may_cut))
