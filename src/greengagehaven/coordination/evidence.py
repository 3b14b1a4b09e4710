"""Which request is suspected of crashing upstreams, and how strongly.

A connection that is lost in mid-request is one sign against the request, and
against every other that was in flight on that upstream. Only a request that was
there at two crashes is convicted. Signs that have one cause count once: the
shards of one sweep that were sent side by side are lost together when a zone
goes down, and that says nothing about the sweep.
"""

import collections
import dataclasses

from greengagehaven.protocol import upstream

CONVICTING_SIGNS = 2
MAX_LOSSES = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """A connection lost in mid-request.

    :param group: attempts that were sent side by side for one query share it.
    """

    upstream_id: str
    incarnation: int
    shard_ref: upstream.ShardRef
    group: str

    @property
    def place(self) -> tuple[str, int]:
        """Return which start of which upstream was lost."""
        return (self.upstream_id, self.incarnation)


class Evidence:
    """Losses under one fingerprint; further ones beyond a bound add nothing."""

    def __init__(self) -> None:
        self._losses_by_place: dict[tuple[str, int], Loss] = {}

    def __bool__(self) -> bool:
        return bool(self._losses_by_place)

    @property
    def upstream_ids(self) -> tuple[str, ...]:
        """Return the upstreams that were lost."""
        return tuple(sorted({loss.upstream_id for loss in self._losses()}))

    @property
    def count(self) -> int:
        """Return how many losses there are."""
        return len(self._losses_by_place)

    def add(self, loss: Loss) -> bool:
        """Add a loss; return whether it is a new one.

        The same start of an upstream counts once: several connections to it
        break in one crash, and a bad path to one upstream breaks many.
        """
        if loss.place in self._losses_by_place or self.count >= MAX_LOSSES:
            return False
        self._losses_by_place[loss.place] = loss
        return True

    def clear(self, shard_ref: upstream.ShardRef) -> bool:
        """Drop the losses of a shard that answered; return whether any."""
        answered = [
            place
            for place, loss in self._losses_by_place.items()
            if loss.shard_ref == shard_ref
        ]
        for place in answered:
            del self._losses_by_place[place]
        return bool(answered)

    def signs(self) -> int:
        """Return how many independent signs the losses make.

        Within a group it is the largest number of upstreams lost for one shard:
        a hedge that is lost beside its first attempt is a sign of its own.
        """
        counts_by_group: dict[str, collections.Counter[upstream.ShardRef]] = {}
        for loss in self._losses():
            counts = counts_by_group.setdefault(loss.group, collections.Counter())
            counts[loss.shard_ref] += 1
        return sum(max(counts.values()) for counts in counts_by_group.values())

    def _losses(self) -> list[Loss]:
        return list(self._losses_by_place.values())
