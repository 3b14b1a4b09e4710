"""Sub-requests that wait for room at an upstream of their shard."""

import dataclasses
import heapq
import itertools
import typing

from greengagehaven.protocol import upstream


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """A sub-request that waits.

    :param standing: standing of its kind; the higher goes first.
    """

    request_id: str
    subscriber_id: str
    shard_ref: upstream.ShardRef
    standing: int


class WaitingQueue(typing.Protocol):
    """Order of waiting sub-requests, by shard."""

    def __len__(self) -> int:
        """Return how many wait, over all shards."""

    def push(self, waiting: Waiting) -> None:
        """Add a sub-request."""

    def pop(self, shard_ref: upstream.ShardRef) -> Waiting | None:
        """Take the next sub-request of a shard, or ``None``."""


class ArrivalQueue:
    """Waiting sub-requests by standing, then by arrival."""

    def __init__(self) -> None:
        self._heaps_by_shard: dict[upstream.ShardRef, list] = {}
        self._arrivals = itertools.count()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, waiting: Waiting) -> None:
        """Add a sub-request."""
        heap = self._heaps_by_shard.setdefault(waiting.shard_ref, [])
        heapq.heappush(heap, (-waiting.standing, next(self._arrivals), waiting))
        self._size += 1

    def pop(self, shard_ref: upstream.ShardRef) -> Waiting | None:
        """Take the next sub-request of a shard, or ``None``."""
        heap = self._heaps_by_shard.get(shard_ref)
        if not heap:
            return None
        waiting = heapq.heappop(heap)[2]
        self._size -= 1
        if not heap:
            del self._heaps_by_shard[shard_ref]
        return waiting
