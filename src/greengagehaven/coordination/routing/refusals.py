"""Errors returned to callers whose requests could not be answered.

An error states that the request did not run only where that is certain: no byte of it
was written, or every upstream that received it reported that it did not run it.
"""

from greengagehaven import exceptions
from greengagehaven.coordination.routing import (
    availability,
    key_lease,
    partition,
    request,
    retry_delays,
    stop_deadline,
)


class Refusals:
    """Creates the error that ends a request.

    :param retry_delays: delays after which callers may retry.
    :param partition: whether this host is cut off from all other zones.
    :param key_guard: creates the error for lack of a key lease.
    :param stop_deadline: when this host stops.
    """

    def __init__(
        self,
        *,
        retry_delays: retry_delays.RetryDelays,
        partition: partition.PartitionDetector,
        key_guard: key_lease.KeyGuard,
        stop_deadline: stop_deadline.StopDeadline,
    ) -> None:
        self._retry_delays = retry_delays
        self._partition = partition
        self._key_guard = key_guard
        self._stop_deadline = stop_deadline

    def failure_error(self, routed: request.RoutedRequest) -> exceptions.RequestError:
        """Return the error for a request for which too few shards can still reply."""
        reasons = sorted({shard.failure for shard in routed.shards if shard.failure})
        coverage = f"{len(routed.parts)} of {len(routed.shards)} shards"
        detail = f"{coverage}: {', '.join(reasons)}"
        is_out_of_reach = availability.UNAVAILABLE in reasons
        if is_out_of_reach or not any(shard.sends for shard in routed.shards):
            retry_after = self._retry_delays.out_of_reach(
                self._partition.cut_off_seconds()
            )
        else:
            retry_after = self._retry_delays.after_failure()
        if routed.may_have_run:
            return exceptions.UpstreamsFailedError(
                detail, ran=exceptions.Ran.UNKNOWN, retry_after=retry_after
            )
        if routed.lacked_key_lease:
            return self._key_guard.expired_error(detail)
        return exceptions.IncompleteError(detail, retry_after=retry_after)

    def timeout_error(self, routed: request.RoutedRequest) -> exceptions.RequestError:
        """Return the error for a request whose deadline has passed."""
        detail = f"{len(routed.parts)} of {len(routed.shards)} shards in time"
        if routed.deadline == self._stop_deadline.at:
            detail += ", the host is stopping"
        if not routed.may_have_run:
            # Attempts that still wait for a connection are withdrawn together with
            # this answer, so none of them can run later.
            return exceptions.IncompleteError(
                detail, retry_after=self._retry_delays.after_failure()
            )
        return exceptions.DeadlineExceededError(detail, ran=exceptions.Ran.UNKNOWN)
