"""What a caller is told whose request was given up.

A refusal that says not run is true: it is given only where no byte of the request
left, or each upstream that got it said that it had not run it.
"""

from greengagehaven import exceptions
from greengagehaven.coordination.routing import partition, request, returns


class Refusals:
    """Makes the error that ends a request.

    :param of_returns: when the caller is to come back.
    :param of_partition: whether this host is cut off.
    """

    def __init__(
        self, *, of_returns: returns.Returns, of_partition: partition.Partition
    ) -> None:
        self._returns = of_returns
        self._partition = of_partition

    def failed(self, routed: request.RoutedRequest) -> exceptions.RequestError:
        """Return the error where too few shards can still answer."""
        reasons = sorted({shard.failure for shard in routed.shards if shard.failure})
        parts = f"{len(routed.parts)} of {len(routed.shards)} shards"
        detail = f"{parts}: {', '.join(reasons)}"
        if routed.may_have_run:
            return exceptions.UpstreamsFailedError(
                detail, ran=exceptions.Ran.UNKNOWN, retry_after=self._returns.at_once()
            )
        if any(shard.sends for shard in routed.shards):
            retry_after = self._returns.at_once()
        else:
            retry_after = self._returns.out_of_reach(self._partition.seconds())
        return exceptions.IncompleteError(detail, retry_after=retry_after)

    def late(self, routed: request.RoutedRequest) -> exceptions.RequestError:
        """Return the error where the caller's time is over."""
        detail = f"{len(routed.parts)} of {len(routed.shards)} shards in time"
        if not routed.may_have_run:
            # What waits for a connection is withdrawn with this answer.
            return exceptions.IncompleteError(
                detail, retry_after=self._returns.at_once()
            )
        return exceptions.DeadlineExceededError(detail, ran=exceptions.Ran.UNKNOWN)
