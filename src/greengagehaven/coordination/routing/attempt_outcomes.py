"""Applies the ends of attempts to their requests: parts, failures and retries."""

from greengagehaven import clock as clocks
from greengagehaven.coordination.routing import (
    availability,
    completion,
    counts,
    crashes,
    events,
    extra_attempts,
    observation,
    request,
    request_log,
    settling,
)

MAX_LISTENER_CHECK_S = 0.03
"""Seconds for which the retry of a lost attempt waits at most for the check of its
upstream. The check opens one connection, which takes 6 ms at most if the upstream
listens."""


class AttemptOutcomes:
    """Records how attempts end, and retries those that failed.

    :param attempts_by_id: attempts in flight; one that ends is removed.
    :param availability: marks upstreams as silent.
    :param observer: applies outcomes to the state of upstreams.
    :param extra_attempts: decides on retries.
    :param crashes: lost attempts whose upstream is being checked.
    :param counts: counts failures by reason.
    :param settler: answers a request if its outcome is certain.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        attempts_by_id: dict[int, request.Attempt],
        availability: availability.Availability,
        observer: observation.Observer,
        extra_attempts: extra_attempts.ExtraAttemptPolicy,
        crashes: crashes.CrashDetector,
        counts: counts.Counts,
        settler: settling.RequestSettler,
        clock: clocks.Clock,
    ) -> None:
        self._attempts_by_id = attempts_by_id
        self._availability = availability
        self._observer = observer
        self._extra_attempts = extra_attempts
        self._crashes = crashes
        self._counts = counts
        self._settler = settler
        self._clock = clock

    def record_end(
        self, ended: events.AttemptEnded, actions: list[events.Action]
    ) -> request.RoutedRequest | None:
        """Record the end of an attempt; return its request if that needed its reply."""
        attempt = self._attempts_by_id.pop(ended.attempt, None)
        if attempt is None:
            return None
        routed, outcome = attempt.request, ended.outcome
        if isinstance(outcome, events.Replied) and not attempt.helper_address:
            routed.replied_at = self._clock.monotonic()
        attempt.upstream.sent_at_by_attempt.pop(attempt.id, None)
        if attempt in attempt.shard.attempts:
            attempt.shard.attempts.remove(attempt)
        self._availability.record_end(attempt, outcome)
        self._observer.apply_outcome(attempt, outcome, actions)
        is_success = isinstance(outcome, events.Replied) and outcome.is_success
        # Records that were merged with those of other parts cannot be left out any
        # more, so this part is used even if a hedge has delivered another one.
        is_wanted = attempt.is_wanted or (is_success and outcome.is_merged)
        if routed.is_over:
            return None
        if not is_wanted:
            # It was given up while its upstream was unreachable, and counted as run.
            if not attempt.is_unsent and _did_not_run(outcome):
                attempt.shard.runs -= 1
            return None
        if is_success:
            self._record_part(attempt, outcome, actions)
        else:
            self._record_failure(attempt, outcome, actions)
        return routed

    def retry_held(
        self, attempt: request.Attempt, actions: list[events.Action]
    ) -> None:
        """Retry a failed attempt that was held.

        It waited for a loan, or for the check of its upstream after a lost connection.
        Without that check, if all upstreams of a service crash at once, the retry would
        be sent to the next one before its closed connections are noticed. It would be
        lost as well, and a harmless request would be quarantined for both crashes.
        """
        routed, shard = attempt.request, attempt.shard
        if shard.held is not attempt or routed.is_over:
            return
        shard.resume()
        if not self._extra_attempts.retry(attempt, actions):
            routed.record_failure(shard, shard.failure)
        self._settler.settle(routed, actions)

    def fail_unreachable_attempts(self, actions: list[events.Action]) -> None:
        """Fail attempts at unreachable upstreams that may be sent again.

        Attempts that were sent of requests that are not idempotent keep waiting: they
        may have run.
        """
        for attempt in list(self._attempts_by_id.values()):
            is_stuck = not attempt.upstream.is_reachable and attempt.is_wanted
            is_repeatable = attempt.request.route.is_idempotent
            if is_stuck and (is_repeatable or attempt.is_unsent):
                self._fail_unreachable(attempt, actions)

    def _record_part(
        self,
        attempt: request.Attempt,
        reply: events.Replied,
        actions: list[events.Action],
    ) -> None:
        shard = attempt.shard
        attempt.replied_at = self._clock.monotonic()
        attempt.size = reply.size
        if reply.took is not None:
            attempt.held_s = attempt.replied_at - attempt.sent_at - reply.took
        attempt.request.record_part(shard, attempt)
        completion.release(shard.attempts, actions)

    def _fail_unreachable(
        self, attempt: request.Attempt, actions: list[events.Action]
    ) -> None:
        """Release and fail an attempt at an unreachable upstream."""
        completion.release([attempt], actions)
        if attempt.request.is_over:
            return
        attempt.shard.attempts.remove(attempt)
        failed = events.Failed(fault=events.Fault.CANCELLED, detail="out of reach")
        self._record_failure(attempt, failed, actions)
        self._settler.settle(attempt.request, actions)

    def _record_failure(
        self,
        attempt: request.Attempt,
        outcome: events.Replied | events.Failed,
        actions: list[events.Action],
    ) -> None:
        routed, shard = attempt.request, attempt.shard
        request_log.log_failed_attempt(attempt, outcome, self._clock.monotonic())
        # An attempt at an unreachable upstream is failed while it may still wait for a
        # connection; it is withdrawn in the same step.
        did_not_run = _did_not_run(outcome) or attempt.is_unsent
        if did_not_run:
            shard.runs -= 1
        if isinstance(outcome, events.Replied) and outcome.was_rejected_with_free_slots:
            shard.rejected_by.add(attempt.upstream.entry.id)
        if attempt.is_unsent or not self._counts_as_arrived(attempt, outcome):
            shard.arrivals -= 1
        if isinstance(outcome, events.Replied) and not did_not_run:
            shard.reply = attempt
        shard.failure = request.failure_reason(outcome)
        self._counts.failures[shard.failure] += 1
        if shard.attempts:
            return
        if self._crashes.is_under_investigation(attempt) and routed.route.is_idempotent:
            shard.hold(attempt, until=self._clock.monotonic() + MAX_LISTENER_CHECK_S)
            return
        if self._is_final(outcome) or not self._extra_attempts.retry(
            attempt, actions, did_not_run=did_not_run
        ):
            routed.record_failure(shard, shard.failure)

    def _counts_as_arrived(
        self, attempt: request.Attempt, outcome: events.Replied | events.Failed
    ) -> bool:
        """Return whether an attempt counts as having reached its service."""
        if isinstance(outcome, events.Replied):
            return True
        took = self._clock.monotonic() - attempt.sent_at
        return not outcome.is_probably_unread(took, attempt.typical_latency)

    def _is_final(self, outcome: events.Replied | events.Failed) -> bool:
        """Return whether a retry on another upstream would get the same reply."""
        is_reply = isinstance(outcome, events.Replied) and not outcome.not_run
        return is_reply and 400 <= outcome.status < 500 and not _did_not_run(outcome)


def _did_not_run(outcome: events.Replied | events.Failed) -> bool:
    if isinstance(outcome, events.Failed):
        return outcome.fault in events.NOT_SENT
    return outcome.not_run or outcome.status == observation.MISDIRECTED
