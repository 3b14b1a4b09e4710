"""Keeps subscribers over their share off the last free place of a shard.

Order alone does not protect the others: a sub-request can't be interrupted, so
whoever finds every place taken by costly work of a heavy subscriber waits for
the rest of it, however far ahead in the queue. Where that has lately happened,
a subscriber over its share leaves one place free. Where nobody had to wait, or
where there is only one place, it may take all, so idle capacity is not lost.
"""

from greengagehaven.coordination import usage
from greengagehaven.protocol import upstream

HOLD_S = 5.0
"""How long a place is kept free after somebody had to wait for one."""

_PRUNE_AT = 4096


class Headroom:
    """Shards at which a place is kept free.

    :param ledger: knows who is over its share.
    :param enabled: off, nobody is held back.
    """

    def __init__(self, *, ledger: usage.UsageLedger, enabled: bool) -> None:
        self._ledger = ledger
        self._enabled = enabled
        self._kept_until_by_shard: dict[upstream.ShardRef, float] = {}

    def note_wait(
        self, shard_ref: upstream.ShardRef, subscriber_id: str, now: float
    ) -> None:
        """Take in that a subscriber found no free place at a shard."""
        if not self._enabled or self._ledger.is_over_share(subscriber_id):
            return
        if len(self._kept_until_by_shard) >= _PRUNE_AT:
            self._prune(now)
        self._kept_until_by_shard[shard_ref] = now + HOLD_S

    def must_leave(
        self,
        shard_ref: upstream.ShardRef,
        subscriber_id: str,
        *,
        free: int,
        busy: int,
        now: float,
    ) -> bool:
        """Tell whether a subscriber may not take one of the free places.

        :param free: upstreams of the shard that have room.
        :param busy: sub-requests of this host in flight at the shard's
            upstreams.
        """
        if not self._enabled or free > 1 or busy == 0:
            return False
        if self._kept_until_by_shard.get(shard_ref, now) <= now:
            return False
        return self._ledger.is_over_share(subscriber_id)

    def _prune(self, now: float) -> None:
        over = [ref for ref, end in self._kept_until_by_shard.items() if end <= now]
        for shard_ref in over:
            del self._kept_until_by_shard[shard_ref]
