"""Evidence that a request crashes the upstreams that run it.

A connection lost in mid-request counts against that request and against every other
request in flight on the same upstream, so only a request that was present at two
crashes is convicted. Losses with a common cause count once: when a zone goes down, the
sub-requests that one query sent at the same time to several shards are all lost, and
that says nothing about the query.
"""

import collections
import dataclasses

from greengagehaven.protocol import upstream

MIN_LOSSES_TO_CONVICT = 2
MAX_LOSSES = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """A connection lost in mid-request.

    :param group: shared by the attempts that were sent concurrently for one query.
    """

    upstream_id: str
    incarnation: int
    shard_ref: upstream.ShardRef
    group: str

    @property
    def incarnation_key(self) -> tuple[str, int]:
        """Return the upstream id and the incarnation that was lost."""
        return (self.upstream_id, self.incarnation)


class Evidence:
    """Losses recorded for one fingerprint, at most ``MAX_LOSSES``."""

    def __init__(self) -> None:
        self._losses_by_incarnation: dict[tuple[str, int], Loss] = {}

    def __bool__(self) -> bool:
        return bool(self._losses_by_incarnation)

    @property
    def upstream_ids(self) -> tuple[str, ...]:
        """Return the sorted ids of the upstreams that were lost."""
        return tuple(sorted({loss.upstream_id for loss in self._losses()}))

    @property
    def count(self) -> int:
        """Return the number of recorded losses."""
        return len(self._losses_by_incarnation)

    def add(self, loss: Loss) -> bool:
        """Record a loss; return whether it was new.

        An incarnation of an upstream counts once: a crash breaks several connections to
        it, and a bad network path to one upstream breaks many.
        """
        if (
            loss.incarnation_key in self._losses_by_incarnation
            or self.count >= MAX_LOSSES
        ):
            return False
        self._losses_by_incarnation[loss.incarnation_key] = loss
        return True

    def clear(self, shard_ref: upstream.ShardRef) -> bool:
        """Remove the losses of a shard that replied; return whether there were any."""
        cleared = [
            incarnation_key
            for incarnation_key, loss in self._losses_by_incarnation.items()
            if loss.shard_ref == shard_ref
        ]
        for incarnation_key in cleared:
            del self._losses_by_incarnation[incarnation_key]
        return bool(cleared)

    def count_independent(self) -> int:
        """Return the number of independent losses.

        A group counts as the largest number of upstreams lost for one of its shards, so
        a hedge that is lost as well as its first attempt counts separately.
        """
        counts_by_group: dict[str, collections.Counter[upstream.ShardRef]] = {}
        for loss in self._losses():
            counts = counts_by_group.setdefault(loss.group, collections.Counter())
            counts[loss.shard_ref] += 1
        return sum(max(counts.values()) for counts in counts_by_group.values())

    def _losses(self) -> list[Loss]:
        return list(self._losses_by_incarnation.values())
