"""Sub-requests that wait for upstream capacity, in dispatch order.

Each shard has its own queue. The ``standing`` of the kind, its priority, comes first.
Within a standing, the subscriber that has used the least of its share of upstream time
goes first (weighted fair queueing over measured usage: Demers, Keshav and Shenker 1989,
with decayed usage instead of virtual time). Within a subscriber, the query that arrived
first goes first. A retry keeps the position of its query, so it neither overtakes nor
falls behind.
"""

import collections
import dataclasses
import heapq
import itertools
import typing
from collections import abc

from greengagehaven.coordination import usage, wait_times
from greengagehaven.protocol import upstream

STARVATION_BOUND = 16
"""At least one in this many sub-requests sent from a queue is of a lower standing
that was waiting; otherwise a steady stream of the highest would starve the rest."""

_MIN_DISCARDED_TO_COMPACT = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueuedSubRequest:
    """A sub-request in the queue.

    :param standing: standing of its kind; higher goes first.
    :param query_arrived_at: arrival of its query, in monotonic seconds; a retry keeps
        it and therefore its position.
    :param queued_at: when the sub-request was queued, in monotonic seconds.
    :param order: tie-breaker for equal ``query_arrived_at``.
    """

    request_id: str
    subscriber_id: str
    shard_ref: upstream.ShardRef
    standing: int
    query_arrived_at: float
    queued_at: float
    order: int

    @property
    def key(self) -> tuple[str, upstream.ShardRef]:
        """Return the key that identifies the sub-request in the queue."""
        return (self.request_id, self.shard_ref)

    @property
    def wait_class(self) -> wait_times.WaitClass:
        """Return the class whose waiting times are tracked together."""
        return wait_times.WaitClass(
            self.subscriber_id, self.shard_ref.service, self.standing
        )


class SubRequestQueue(typing.Protocol):
    """Order of the queued sub-requests of each shard."""

    def __len__(self) -> int:
        """Return the number of queued sub-requests of all shards."""

    def push(self, waiting: QueuedSubRequest) -> None:
        """Add a sub-request; it keeps its position if it was queued before."""

    def pop(
        self, shard_ref: upstream.ShardRef, excluded: abc.Container[str] = ()
    ) -> QueuedSubRequest | None:
        """Remove and return the next sub-request of a shard, or ``None``."""

    def record_sent(self, waiting: QueuedSubRequest, now: float) -> None:
        """Record that a popped sub-request was sent at ``now``."""

    def discard(self, request_id: str) -> None:
        """Remove all queued sub-requests of a query."""

    def sort_by_urgency(self, shard_refs: abc.Iterable[upstream.ShardRef]) -> list:
        """Return the shards with queued sub-requests, most urgent first."""


class _PriorityLevel:
    """Queued sub-requests of one standing at one shard."""

    def __init__(self, *, order: usage.UsageOrder | None) -> None:
        self._order = order
        self._ranks: list[tuple[float, int, str]] = []
        self._items_by_subscriber: dict[str, list] = {}
        self._tie_breakers = itertools.count()

    def __bool__(self) -> bool:
        return bool(self._items_by_subscriber)

    def push(self, waiting: QueuedSubRequest) -> None:
        """Add a sub-request."""
        subscriber_key = "" if self._order is None else waiting.subscriber_id
        items = self._items_by_subscriber.get(subscriber_key)
        if items is None:
            items = self._items_by_subscriber[subscriber_key] = []
            self._push_rank(subscriber_key)
        heapq.heappush(items, (waiting.query_arrived_at, waiting.order, waiting))

    def pop(
        self,
        is_live: typing.Callable[[QueuedSubRequest], bool],
        excluded: abc.Container[str],
    ) -> QueuedSubRequest | None:
        """Remove and return the next one whose subscriber is not excluded."""
        skipped: list[tuple[float, int, str]] = []
        reranked: set[str] = set()
        found = None
        while found is None and self._ranks:
            rank, tie_breaker, subscriber_key = heapq.heappop(self._ranks)
            if not self._drop_discarded(subscriber_key, is_live):
                continue
            current = self._rank(subscriber_key)
            if current > rank and subscriber_key not in reranked:
                # The subscriber was charged since it was ranked, so another may go
                # first. It is reranked only once: with a rank that grows at every
                # look, the loop would not end.
                reranked.add(subscriber_key)
                heapq.heappush(self._ranks, (current, tie_breaker, subscriber_key))
            elif subscriber_key in excluded:
                skipped.append((rank, tie_breaker, subscriber_key))
            else:
                found = self._pop_head(subscriber_key)
        for entry in skipped:
            heapq.heappush(self._ranks, entry)
        return found

    def items(self) -> abc.Iterator[QueuedSubRequest]:
        """Yield all queued sub-requests, discarded ones included, in no order."""
        for items in self._items_by_subscriber.values():
            for entry in items:
                yield entry[2]

    def _pop_head(self, subscriber_key: str) -> QueuedSubRequest:
        items = self._items_by_subscriber[subscriber_key]
        waiting = heapq.heappop(items)[2]
        if items:
            self._push_rank(subscriber_key)
        else:
            del self._items_by_subscriber[subscriber_key]
        return waiting

    def _drop_discarded(
        self, subscriber_key: str, is_live: typing.Callable[[QueuedSubRequest], bool]
    ) -> bool:
        """Drop discarded sub-requests at the head; return whether any remain."""
        items = self._items_by_subscriber[subscriber_key]
        while items and not is_live(items[0][2]):
            heapq.heappop(items)
        if not items:
            del self._items_by_subscriber[subscriber_key]
        return bool(items)

    def _push_rank(self, subscriber_key: str) -> None:
        heapq.heappush(
            self._ranks,
            (self._rank(subscriber_key), next(self._tie_breakers), subscriber_key),
        )

    def _rank(self, subscriber_key: str) -> float:
        return 0.0 if self._order is None else self._order.rank(subscriber_key)


class _ShardQueue:
    """Queued sub-requests of one shard, by standing."""

    def __init__(self) -> None:
        self.levels_by_standing: dict[int, _PriorityLevel] = {}
        self.skips_by_standing: collections.Counter[int] = collections.Counter()
        self.live_count = 0
        self.discarded_count = 0

    def standings(self) -> list[int]:
        """Return the standings in the order in which they are served."""
        return sorted(self.levels_by_standing, key=self._urgency)

    def _urgency(self, standing: int) -> tuple[int, int]:
        skips = self.skips_by_standing[standing]
        overdue = skips if skips >= STARVATION_BOUND - 1 else 0
        return (-overdue, -standing)


class FairQueue:
    """Queue ordered by standing, the subscriber's usage and arrival.

    Pushing and popping take logarithmic time in the number of sub-requests queued for
    the shard. The sub-requests of a finished query leave the counts at once; their
    memory is reclaimed once they outnumber the live ones.

    :param order: ranks subscribers by usage; with ``None``, only arrival counts within
        a standing.
    :param waits: tracks waiting times; told of each addition and removal.
    :param standing: if false, all kinds are treated alike.
    """

    def __init__(
        self,
        *,
        order: usage.UsageOrder | None,
        waits: wait_times.WaitTimes,
        standing: bool = True,
    ) -> None:
        self._order = order
        self._uses_standing = standing
        self._queues_by_shard: dict[upstream.ShardRef, _ShardQueue] = {}
        self._live_by_key: dict[tuple[str, upstream.ShardRef], QueuedSubRequest] = {}
        self._shards_by_request: dict[str, set[upstream.ShardRef]] = {}
        self._waits = waits

    def __len__(self) -> int:
        return len(self._live_by_key)

    def push(self, waiting: QueuedSubRequest) -> None:
        """Add a sub-request; it keeps its position if it was queued before."""
        if waiting.key in self._live_by_key:
            return
        self._live_by_key[waiting.key] = waiting
        shard_refs = self._shards_by_request.setdefault(waiting.request_id, set())
        shard_refs.add(waiting.shard_ref)
        self._waits.record_added(waiting.wait_class, queued_at=waiting.queued_at)
        queue = self._queues_by_shard.get(waiting.shard_ref)
        if queue is None:
            queue = self._queues_by_shard[waiting.shard_ref] = _ShardQueue()
        queue.live_count += 1
        self._insert(queue, waiting)

    def pop(
        self, shard_ref: upstream.ShardRef, excluded: abc.Container[str] = ()
    ) -> QueuedSubRequest | None:
        """Remove and return the next sub-request of a shard, or ``None``.

        :param excluded: ids of subscribers to skip.
        """
        queue = self._queues_by_shard.get(shard_ref)
        if queue is None:
            return None
        for standing in queue.standings():
            level = queue.levels_by_standing[standing]
            waiting = level.pop(self._is_live, excluded)
            if not level:
                del queue.levels_by_standing[standing]
                del queue.skips_by_standing[standing]
            if waiting is not None:
                self._remove(waiting)
                queue.live_count -= 1
                self._drop_if_empty(shard_ref, queue)
                return waiting
        self._drop_if_empty(shard_ref, queue)
        return None

    def record_sent(self, waiting: QueuedSubRequest, now: float) -> None:
        """Record that a popped sub-request was sent.

        Every lower standing that still waits at the shard is counted as skipped once
        more; the count of the standing that was served is reset.

        :param now: monotonic seconds.
        """
        self._waits.record_sent(waiting.wait_class, now=now)
        queue = self._queues_by_shard.get(waiting.shard_ref)
        if queue is None:
            return
        served_standing = self._effective_standing(waiting)
        queue.skips_by_standing[served_standing] = 0
        for standing in queue.levels_by_standing:
            if standing < served_standing:
                queue.skips_by_standing[standing] += 1

    def discard(self, request_id: str) -> None:
        """Remove all queued sub-requests of a query."""
        for shard_ref in list(self._shards_by_request.get(request_id, ())):
            waiting = self._live_by_key[(request_id, shard_ref)]
            self._remove(waiting)
            queue = self._queues_by_shard[shard_ref]
            queue.live_count -= 1
            queue.discarded_count += 1
            if queue.live_count == 0:
                del self._queues_by_shard[shard_ref]
            elif queue.discarded_count >= max(
                _MIN_DISCARDED_TO_COMPACT, queue.live_count
            ):
                self._compact(shard_ref)

    def sort_by_urgency(
        self, shard_refs: abc.Iterable[upstream.ShardRef]
    ) -> list[upstream.ShardRef]:
        """Return the shards with queued sub-requests, most urgent first.

        If an upstream holds several shards, its free capacity must go to the highest
        standing among all of them.
        """
        waiting = [ref for ref in shard_refs if ref in self._queues_by_shard]
        return sorted(waiting, key=self._highest_standing, reverse=True)

    def _highest_standing(self, shard_ref: upstream.ShardRef) -> int:
        return max(self._queues_by_shard[shard_ref].levels_by_standing)

    def _effective_standing(self, waiting: QueuedSubRequest) -> int:
        return waiting.standing if self._uses_standing else 0

    def _is_live(self, waiting: QueuedSubRequest) -> bool:
        return self._live_by_key.get(waiting.key) is waiting

    def _insert(self, queue: _ShardQueue, waiting: QueuedSubRequest) -> None:
        standing = self._effective_standing(waiting)
        level = queue.levels_by_standing.get(standing)
        if level is None:
            level = _PriorityLevel(order=self._order)
            queue.levels_by_standing[standing] = level
        level.push(waiting)

    def _remove(self, waiting: QueuedSubRequest) -> None:
        del self._live_by_key[waiting.key]
        shard_refs = self._shards_by_request[waiting.request_id]
        shard_refs.discard(waiting.shard_ref)
        if not shard_refs:
            del self._shards_by_request[waiting.request_id]
        self._waits.record_removed(waiting.wait_class)

    def _drop_if_empty(self, shard_ref: upstream.ShardRef, queue: _ShardQueue) -> None:
        if queue.live_count == 0:
            del self._queues_by_shard[shard_ref]

    def _compact(self, shard_ref: upstream.ShardRef) -> None:
        old = self._queues_by_shard[shard_ref]
        compacted = _ShardQueue()
        compacted.live_count = old.live_count
        compacted.skips_by_standing = old.skips_by_standing
        for level in old.levels_by_standing.values():
            for waiting in level.items():
                if self._is_live(waiting):
                    self._insert(compacted, waiting)
        self._queues_by_shard[shard_ref] = compacted
