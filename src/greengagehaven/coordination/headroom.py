"""Slots of a shard that are open to subscribers over their share.

Order alone does not protect the others: a sub-request can't be interrupted, so
whoever finds every slot taken by work of a heavy subscriber waits for the rest
of it, however far ahead in the queue. How many slots the others need so that
they hardly ever wait follows from how many they keep busy on average, by the
square-root staffing rule (Halfin and Whitt 1981); the rest is open to those
over their share, at least their share of all and at least one. They are
confined to as few upstreams as hold so many slots, in an order that all hosts
agree on, so that the others find whole upstreams free.
"""

import math
from collections import abc

import xxhash

from greengagehaven.coordination import selection, usage
from greengagehaven.protocol import upstream

SAFETY = 6.0
"""Slots kept free above the average, in square roots of it. About 3 would do if
each host knew the load of every upstream at every moment; they learn it late."""

SPARE = 0.5
"""Part of a shard's slots up to which nobody needs to be confined."""


class Headroom:
    """Divides the slots of a shard between those within and over their share.

    :param ledger: knows who is over its share.
    :param enabled: off, nobody counts as over its share.
    """

    def __init__(self, *, ledger: usage.UsageLedger, enabled: bool) -> None:
        self._ledger = ledger
        self._enabled = enabled

    def is_over_share(self, subscriber_id: str) -> bool:
        """Tell whether a subscriber gets only the slots that others leave."""
        return self._enabled and self._ledger.is_over_share(subscriber_id)

    def note_held(self, subscriber_id: str) -> None:
        """Take in that a subscriber over its share found no slot."""
        self._ledger.note_held(subscriber_id)

    def allot(
        self,
        shard_ref: upstream.ShardRef,
        subscriber_id: str,
        candidates: abc.Sequence[selection.Candidate],
        now: float,
    ) -> dict[str, int]:
        """Return slots by upstream that are open to a subscriber over its share.

        It is empty where all are, because the shard has slots to spare.

        :param candidates: the upstreams of the shard.
        :param now: monotonic seconds.
        """
        slots = sum(max(1, each.announcement.slots) for each in candidates)
        busy = sum(each.stats.within_share(now) for each in candidates)
        if not self._ledger.was_held(subscriber_id):
            load = sum(each.stats.load(now) for each in candidates)
            if load <= SPARE * slots:
                return {}
        needed = math.ceil(busy + SAFETY * math.sqrt(busy))
        share = self._ledger.share_of_all(subscriber_id)
        left = max(1, int(share * slots), slots - needed)
        allotted: dict[str, int] = {}
        for each in _in_agreed_order(shard_ref, candidates):
            taken = min(left, max(1, each.announcement.slots))
            if taken <= 0:
                break
            allotted[each.id] = taken
            left -= taken
        return allotted


def _in_agreed_order(
    shard_ref: upstream.ShardRef, candidates: abc.Sequence[selection.Candidate]
) -> list[selection.Candidate]:
    prefix = f"{shard_ref.service}/{shard_ref.shard}/"

    def weigh(candidate: selection.Candidate) -> int:
        return xxhash.xxh3_64_intdigest((prefix + candidate.id).encode())

    return sorted(candidates, key=weigh)
