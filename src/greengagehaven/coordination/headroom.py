"""Slots of a shard that are available to subscribers over their share.

Queue order alone does not protect the other subscribers: a sub-request can't be
interrupted, so if a heavy subscriber occupies every slot, the others wait for the rest
of its work, however far ahead they are in the queue. The number of slots that the
others need to hardly ever wait follows from the average number that they keep busy, by
the square-root staffing rule (Halfin and Whitt 1981). The rest is available to
subscribers over their share: at least their share of all slots and at least one slot.
They are confined to as few upstreams as provide that many slots, in an order that is
the same on all hosts, so that the others find whole upstreams free.
"""

import math
from collections import abc

import xxhash

from greengagehaven.coordination import selection, usage
from greengagehaven.protocol import upstream

SAFETY_FACTOR = 6.0
"""Slots kept free above the average, in square roots of the average. About 3 would
be enough if each host knew the current load of every upstream; reports are late."""

UNCONFINED_LOAD_RATIO = 0.5
"""Load per slot of a shard up to which no subscriber is confined."""


class Headroom:
    """Divides the slots of a shard between subscribers within and over their share.

    :param ledger: tells which subscribers are over their share.
    :param enabled: if false, no subscriber counts as over its share.
    """

    def __init__(self, *, ledger: usage.UsageLedger, enabled: bool) -> None:
        self._ledger = ledger
        self._enabled = enabled

    def is_over_share(self, subscriber_id: str) -> bool:
        """Return whether a subscriber is over its share; :meth:`allot` may limit it."""
        return self._enabled and self._ledger.is_over_share(subscriber_id)

    def record_throttled(self, subscriber_id: str) -> None:
        """Record that a subscriber over its share found no free slot."""
        self._ledger.record_throttled(subscriber_id)

    def allot(
        self,
        shard_ref: upstream.ShardRef,
        subscriber_id: str,
        candidates: abc.Sequence[selection.Candidate],
        now: float,
    ) -> dict[str, int]:
        """Return the slots by upstream id available to a subscriber over its share.

        The result is empty if all slots are available, because the shard is lightly
        loaded.

        :param candidates: the upstreams of the shard.
        :param now: monotonic seconds.
        """
        slots = sum(max(1, each.announcement.slots) for each in candidates)
        busy_slots = sum(each.stats.within_share(now) for each in candidates)
        if not self._ledger.was_throttled(subscriber_id):
            load = sum(each.stats.load(now) for each in candidates)
            if load <= UNCONFINED_LOAD_RATIO * slots:
                return {}
        reserved = math.ceil(busy_slots + SAFETY_FACTOR * math.sqrt(busy_slots))
        share = self._ledger.active_share_ratio(subscriber_id)
        remaining = max(1, int(share * slots), slots - reserved)
        allotted: dict[str, int] = {}
        for each in _order_by_hash(shard_ref, candidates):
            granted = min(remaining, max(1, each.announcement.slots))
            if granted <= 0:
                break
            allotted[each.id] = granted
            remaining -= granted
        return allotted


def _order_by_hash(
    shard_ref: upstream.ShardRef, candidates: abc.Sequence[selection.Candidate]
) -> list[selection.Candidate]:
    prefix = f"{shard_ref.service}/{shard_ref.shard}/"

    def hash_candidate(candidate: selection.Candidate) -> int:
        return xxhash.xxh3_64_intdigest((prefix + candidate.id).encode())

    return sorted(candidates, key=hash_candidate)
