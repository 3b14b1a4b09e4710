"""Decides when a request is answered: completely, partially or with an error."""

import collections
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.coordination.routing import (
    callers,
    counts,
    delegation,
    events,
    refusals,
    request,
    request_log,
    stop_deadline,
)

ANSWERED_OUTCOMES = ("answered", "partial", "upstream_error")


class RequestCompletion:
    """Ends requests whose outcome is certain and releases their attempts.

    :param refusals: creates the errors.
    :param delegation: records how long this host takes for a shard.
    :param caller_times: measured timer lag, for the log.
    :param stop_deadline: records how long requests take.
    :param counts: counts requests.
    :param requests_by_number: requests in flight; a request that ends is removed.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        refusals: refusals.Refusals,
        delegation: delegation.Delegation,
        caller_times: callers.CallerTimes,
        stop_deadline: stop_deadline.StopDeadline,
        counts: counts.Counts,
        requests_by_number: dict[int, request.RoutedRequest],
        clock: clocks.Clock,
    ) -> None:
        self._refusals = refusals
        self._delegation = delegation
        self._caller_times = caller_times
        self._stop_deadline = stop_deadline
        self._counts = counts
        self._requests_by_number = requests_by_number
        self._clock = clock

    def settle(
        self, routed: request.RoutedRequest, actions: list[events.Action]
    ) -> None:
        """Answer a request if its outcome is certain or its deadline has passed."""
        now = self._clock.monotonic()
        if routed.is_sweep:
            self._settle_sweep(routed, now, actions)
        else:
            self._settle_single(routed, actions)
        if not routed.is_over and now >= routed.deadline:
            self._refuse(routed, self._refusals.timeout_error(routed), actions)

    def end(
        self,
        routed: request.RoutedRequest,
        outcome: str,
        actions: list[events.Action],
        *,
        detail: str = "",
    ) -> None:
        """End a request and release the attempts that are still in flight.

        :param outcome: outcome or error code, for metrics and the log.
        :param detail: explanation of an error, for the log.
        """
        routed.is_over = True
        for shard in routed.shards:
            # A held retry would otherwise be counted when extra attempts are borrowed.
            shard.resume()
        self._requests_by_number.pop(routed.number, None)
        took = self._clock.monotonic() - routed.started_at
        missing = len(routed.shards) - routed.part_count
        self._counts.record_end(routed.route.name, outcome, took, missing)
        if outcome in ANSWERED_OUTCOMES:
            self._stop_deadline.record_time(routed.route.name, took)
        own = [part for part in routed.parts if not part.helper_address]
        self._delegation.record_shard_times(
            sent=(part.started_at for part in own if part.started_at is not None),
            replied=(part.replied_at for part in own if part.replied_at is not None),
        )
        request_log.log_end(
            routed,
            outcome,
            took=took,
            lag=self._caller_times.writing_margin(routed.route),
            detail=detail,
        )
        unfinished = [attempt for shard in routed.shards for attempt in shard.attempts]
        release(unfinished, actions)

    def _settle_single(
        self, routed: request.RoutedRequest, actions: list[events.Action]
    ) -> None:
        shard = routed.shards[0]
        if shard.is_pending:
            return
        replied = shard.part or shard.reply
        if replied is not None:
            actions.append(
                events.ForwardReply(number=routed.number, attempt=replied.id)
            )
            self.end(routed, "answered" if shard.part else "upstream_error", actions)
            return
        self._refuse(routed, self._refusals.failure_error(routed), actions)

    def _settle_sweep(
        self,
        routed: request.RoutedRequest,
        now: float,
        actions: list[events.Action],
    ) -> None:
        if not routed.can_reach_min_shards:
            self._refuse(routed, self._refusals.failure_error(routed), actions)
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
                due_at=routed.due_at() if routed.pending_count else now,
                route=routed.route.name,
                is_held=bool(routed.pending_count),
            )
        )
        self.end(routed, "answered" if not missing else "partial", actions)

    def _refuse(
        self,
        routed: request.RoutedRequest,
        error: exceptions.RequestError,
        actions: list[events.Action],
    ) -> None:
        self._counts.refusals[_refusal_reason(routed, error)] += 1
        actions.append(events.Refuse(number=routed.number, error=error))
        self.end(routed, error.code, actions, detail=error.detail)


def _refusal_reason(
    routed: request.RoutedRequest, error: exceptions.RequestError
) -> str:
    """Return the most frequent reason of the failed shards, else the error's code."""
    reasons = collections.Counter(
        shard.failure for shard in routed.shards if shard.is_failed
    )
    return reasons.most_common(1)[0][0] if reasons else error.code


def release(
    attempts: abc.Iterable[request.Attempt], actions: list[events.Action]
) -> None:
    """Release attempts of one request whose replies are no longer needed."""
    wanted = [attempt for attempt in attempts if attempt.is_wanted]
    for attempt in wanted:
        attempt.is_wanted = False
    if wanted:
        ids = tuple(attempt.id for attempt in wanted)
        may_cancel = wanted[0].request.route.is_idempotent
        actions.append(events.ReleaseAttempts(attempts=ids, may_cancel=may_cancel))
