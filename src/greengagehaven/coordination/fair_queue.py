"""Sub-requests that wait for room, in the order in which they shall go.

Each shard has its own queue. Within it the standing of the kind comes first;
inside one standing the subscriber goes first that has used least of its share
of upstream time (weighted fair queueing over measured usage: Demers, Keshav and
Shenker 1989, with the decayed usage in place of virtual time); inside one
subscriber the query that arrived first. A retry keeps the place of its query,
so that it neither overtakes nor falls behind.
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
"""Of so many sub-requests sent from one queue, at least one is of a standing
that had to wait; else a steady stream of the highest would stop all others."""

_COMPACT_AT = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """A sub-request that waits.

    :param standing: standing of its kind; the higher goes first.
    :param arrived: monotonic seconds at which its query arrived; a retry keeps
        it and with it its place.
    :param since: monotonic seconds at which it began to wait.
    :param order: decides where ``arrived`` is the same.
    """

    request_id: str
    subscriber_id: str
    shard_ref: upstream.ShardRef
    standing: int
    arrived: float
    since: float
    order: int

    @property
    def key(self) -> tuple[str, upstream.ShardRef]:
        """Return what tells it from every other waiting sub-request."""
        return (self.request_id, self.shard_ref)

    @property
    def lane(self) -> wait_times.Lane:
        """Return whose waiting times it shares."""
        return wait_times.Lane(
            self.subscriber_id, self.shard_ref.service, self.standing
        )


class WaitingQueue(typing.Protocol):
    """Order of waiting sub-requests, by shard."""

    def __len__(self) -> int:
        """Return how many wait, over all shards."""

    def push(self, waiting: Waiting) -> None:
        """Add a sub-request; it keeps its place if it waited before."""

    def pop(
        self, shard_ref: upstream.ShardRef, passed_over: abc.Container[str] = ()
    ) -> Waiting | None:
        """Take the next sub-request of a shard, or ``None``."""

    def note_sent(self, waiting: Waiting, now: float) -> None:
        """Count a sub-request that was popped and sent at ``now``."""

    def discard(self, request_id: str) -> None:
        """Drop all that waits of a query."""

    def sort(self, shard_refs: abc.Iterable[upstream.ShardRef]) -> list:
        """Return shards with waiting work, the most urgent first."""


class _Level:
    """What waits of one standing at one shard."""

    def __init__(self, *, order: usage.UsageOrder | None) -> None:
        self._order = order
        self._ranks: list[tuple[float, int, str]] = []
        self._items_by_subscriber: dict[str, list] = {}
        self._count = itertools.count()

    def __bool__(self) -> bool:
        return bool(self._items_by_subscriber)

    def push(self, waiting: Waiting) -> None:
        """Add a sub-request."""
        lane = "" if self._order is None else waiting.subscriber_id
        items = self._items_by_subscriber.get(lane)
        if items is None:
            items = self._items_by_subscriber[lane] = []
            self._enter(lane)
        heapq.heappush(items, (waiting.arrived, waiting.order, waiting))

    def pop(
        self, is_live: typing.Callable[[Waiting], bool], passed_over: abc.Container[str]
    ) -> Waiting | None:
        """Take the next one whose subscriber is not passed over."""
        aside: list[tuple[float, int, str]] = []
        ranked_anew: set[str] = set()
        found = None
        while found is None and self._ranks:
            rank, count, lane = heapq.heappop(self._ranks)
            if not self._prune(lane, is_live):
                continue
            current = self._rank(lane)
            if current > rank and lane not in ranked_anew:
                # Charged since it entered: another may be due before it. Once is
                # enough: a rank that grew with each look would never be found.
                ranked_anew.add(lane)
                heapq.heappush(self._ranks, (current, count, lane))
            elif lane in passed_over:
                aside.append((rank, count, lane))
            else:
                found = self._take(lane)
        for entry in aside:
            heapq.heappush(self._ranks, entry)
        return found

    def items(self) -> abc.Iterator[Waiting]:
        """Yield all that was pushed and not popped, in no order."""
        for items in self._items_by_subscriber.values():
            for entry in items:
                yield entry[2]

    def _take(self, lane: str) -> Waiting:
        items = self._items_by_subscriber[lane]
        waiting = heapq.heappop(items)[2]
        if items:
            self._enter(lane)
        else:
            del self._items_by_subscriber[lane]
        return waiting

    def _prune(self, lane: str, is_live: typing.Callable[[Waiting], bool]) -> bool:
        """Drop discarded sub-requests at the head; tell whether one is left."""
        items = self._items_by_subscriber[lane]
        while items and not is_live(items[0][2]):
            heapq.heappop(items)
        if not items:
            del self._items_by_subscriber[lane]
        return bool(items)

    def _enter(self, lane: str) -> None:
        heapq.heappush(self._ranks, (self._rank(lane), next(self._count), lane))

    def _rank(self, lane: str) -> float:
        return 0.0 if self._order is None else self._order.rank(lane)


class _ShardQueue:
    """What waits at one shard, by standing."""

    def __init__(self) -> None:
        self.levels_by_standing: dict[int, _Level] = {}
        self.passed_by_standing: collections.Counter[int] = collections.Counter()
        self.live = 0
        self.dead = 0

    def standings(self) -> list[int]:
        """Return the standings in the order in which they are due."""
        return sorted(self.levels_by_standing, key=self._urgency)

    def _urgency(self, standing: int) -> tuple[int, int]:
        passed = self.passed_by_standing[standing]
        overdue = passed if passed >= STARVATION_BOUND - 1 else 0
        return (-overdue, -standing)


class FairQueue:
    """Waiting sub-requests by standing, usage of the subscriber and arrival.

    Pushing and popping cost the logarithm of what waits at one shard. What a
    finished query left behind is dropped from the counts at once and from
    memory before it outgrows what really waits.

    :param order: ranks subscribers by usage; ``None``, arrival decides inside a
        standing.
    :param waits: gets told of all that comes and goes.
    :param standing: off, all kinds stand alike.
    """

    def __init__(
        self,
        *,
        order: usage.UsageOrder | None,
        waits: wait_times.WaitTimes,
        standing: bool = True,
    ) -> None:
        self._order = order
        self._standing = standing
        self._queues_by_shard: dict[upstream.ShardRef, _ShardQueue] = {}
        self._live_by_key: dict[tuple[str, upstream.ShardRef], Waiting] = {}
        self._shards_by_request: dict[str, set[upstream.ShardRef]] = {}
        self._waits = waits

    def __len__(self) -> int:
        return len(self._live_by_key)

    def push(self, waiting: Waiting) -> None:
        """Add a sub-request; it keeps its place if it waited before."""
        if waiting.key in self._live_by_key:
            return
        self._live_by_key[waiting.key] = waiting
        shard_refs = self._shards_by_request.setdefault(waiting.request_id, set())
        shard_refs.add(waiting.shard_ref)
        self._waits.note_added(waiting.lane, since=waiting.since)
        queue = self._queues_by_shard.get(waiting.shard_ref)
        if queue is None:
            queue = self._queues_by_shard[waiting.shard_ref] = _ShardQueue()
        queue.live += 1
        self._insert(queue, waiting)

    def pop(
        self, shard_ref: upstream.ShardRef, passed_over: abc.Container[str] = ()
    ) -> Waiting | None:
        """Take the next sub-request of a shard, or ``None``.

        :param passed_over: subscribers whose turn it is not now.
        """
        queue = self._queues_by_shard.get(shard_ref)
        if queue is None:
            return None
        for standing in queue.standings():
            level = queue.levels_by_standing[standing]
            waiting = level.pop(self._is_live, passed_over)
            if not level:
                del queue.levels_by_standing[standing]
                del queue.passed_by_standing[standing]
            if waiting is not None:
                self._forget(waiting)
                queue.live -= 1
                self._drop_if_empty(shard_ref, queue)
                return waiting
        self._drop_if_empty(shard_ref, queue)
        return None

    def note_sent(self, waiting: Waiting, now: float) -> None:
        """Count a sub-request that was popped and sent.

        Every lower standing that still waits at the shard was passed over once
        more; the one that was served starts to count anew.

        :param now: monotonic seconds.
        """
        self._waits.note_sent(waiting.lane, now=now)
        queue = self._queues_by_shard.get(waiting.shard_ref)
        if queue is None:
            return
        served = self._level_of(waiting)
        queue.passed_by_standing[served] = 0
        for standing in queue.levels_by_standing:
            if standing < served:
                queue.passed_by_standing[standing] += 1

    def discard(self, request_id: str) -> None:
        """Drop all that waits of a query."""
        for shard_ref in list(self._shards_by_request.get(request_id, ())):
            waiting = self._live_by_key[(request_id, shard_ref)]
            self._forget(waiting)
            queue = self._queues_by_shard[shard_ref]
            queue.live -= 1
            queue.dead += 1
            if queue.live == 0:
                del self._queues_by_shard[shard_ref]
            elif queue.dead >= max(_COMPACT_AT, queue.live):
                self._compact(shard_ref)

    def sort(
        self, shard_refs: abc.Iterable[upstream.ShardRef]
    ) -> list[upstream.ShardRef]:
        """Return shards with waiting work, the most urgent first.

        Where an upstream holds several shards, the room that it gets must go to
        the highest standing among all of them.
        """
        waiting = [ref for ref in shard_refs if ref in self._queues_by_shard]
        return sorted(waiting, key=self._highest_standing, reverse=True)

    def _highest_standing(self, shard_ref: upstream.ShardRef) -> int:
        return max(self._queues_by_shard[shard_ref].levels_by_standing)

    def _level_of(self, waiting: Waiting) -> int:
        return waiting.standing if self._standing else 0

    def _is_live(self, waiting: Waiting) -> bool:
        return self._live_by_key.get(waiting.key) is waiting

    def _insert(self, queue: _ShardQueue, waiting: Waiting) -> None:
        standing = self._level_of(waiting)
        level = queue.levels_by_standing.get(standing)
        if level is None:
            level = _Level(order=self._order)
            queue.levels_by_standing[standing] = level
        level.push(waiting)

    def _forget(self, waiting: Waiting) -> None:
        del self._live_by_key[waiting.key]
        shard_refs = self._shards_by_request[waiting.request_id]
        shard_refs.discard(waiting.shard_ref)
        if not shard_refs:
            del self._shards_by_request[waiting.request_id]
        self._waits.note_removed(waiting.lane)

    def _drop_if_empty(self, shard_ref: upstream.ShardRef, queue: _ShardQueue) -> None:
        if queue.live == 0:
            del self._queues_by_shard[shard_ref]

    def _compact(self, shard_ref: upstream.ShardRef) -> None:
        old = self._queues_by_shard[shard_ref]
        fresh = _ShardQueue()
        fresh.live = old.live
        fresh.passed_by_standing = old.passed_by_standing
        for level in old.levels_by_standing.values():
            for waiting in level.items():
                if self._is_live(waiting):
                    self._insert(fresh, waiting)
        self._queues_by_shard[shard_ref] = fresh
