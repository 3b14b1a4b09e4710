"""One upstream at its owner: exactly what runs there and what waits.

Slow start: a fresh incarnation, and a warm one whose service time jumps, gets
one sub-request at a time. Its limit grows by one after a number of replies, a
large number while they are still slow. Only the owner sends, so this limit
holds for all hosts together.
"""

import dataclasses
import itertools
import typing

from greengagehaven.coordination import (
    fair_queue,
    service_time,
    time_average,
    usage,
    wait_times,
)
from greengagehaven.protocol import upstream

_REPLIES_PER_STEP = 4
_UNKNOWN_REPLIES_PER_STEP = 10
_SLOW_REPLIES_PER_STEP = 60
_AGE_RATIO = 3.0
_WITHIN_DECAY_S = 4.0
_OVER_DECAY_S = 0.3

Reference = typing.Callable[[str], float | None]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Run:
    """A sub-request that the upstream has."""

    kind: str
    sent_at: float
    is_over_share: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Queued:
    """A sub-request that waits here; see :class:`fair_queue.Waiting`."""

    sub_request: upstream.SubRequest
    since: float
    order: int

    @property
    def request_id(self) -> str:
        """Return what it is discarded by: this one sub-request."""
        return f"{self.sub_request.request_id}/{self.sub_request.attempt}"

    @property
    def key(self) -> tuple[str, str]:
        """Return what tells it from every other one that waits."""
        return (self.request_id, self.shard_ref)

    @property
    def subscriber_id(self) -> str:
        """Return whose usage decides its turn."""
        return self.sub_request.subscriber_id

    @property
    def shard_ref(self) -> str:
        """Return the name of its queue: the upstream."""
        return self.sub_request.upstream_id

    @property
    def standing(self) -> int:
        """Return the standing of its kind."""
        return self.sub_request.standing

    @property
    def arrived(self) -> float:
        """Return when it came."""
        return self.since

    @property
    def lane(self) -> wait_times.Lane:
        """Return whose waiting times it shares."""
        return wait_times.Lane(self.subscriber_id, self.shard_ref, self.standing)


class Gate:
    """Limit, runs and waiting sub-requests of one upstream.

    :param announcement: what the upstream last said.
    :param reference: usual service time of a kind at other upstreams.
    :param order: ranks the subscribers of those that wait; ``None``, arrival
        decides among them.
    :param standing: off, all kinds stand alike.
    :param slow_start: off, a fresh upstream gets all its slots at once.
    """

    def __init__(
        self,
        *,
        announcement: upstream.Announcement,
        reference: Reference,
        order: usage.UsageOrder | None = None,
        standing: bool = True,
        slow_start: bool = True,
    ) -> None:
        self._reference = reference
        self._slow_start = slow_start
        self._order = itertools.count()
        self._within_share = time_average.TimeAverage(decay=_WITHIN_DECAY_S)
        self._over_share = time_average.TimeAverage(decay=_OVER_DECAY_S)
        self._queued_within_share = 0
        self._over_share_runs = 0
        self._queue = fair_queue.FairQueue(
            order=order, waits=wait_times.WaitTimes(), standing=standing
        )
        self._queued_by_id: dict[tuple[str, int], _Queued] = {}
        self._runs_by_id: dict[tuple[str, int], _Run] = {}
        self._times_by_kind: dict[str, service_time.ServiceTime] = {}
        self.announcement = announcement
        self._slots = max(1, announcement.slots)
        self._limit = 1 if slow_start else self._slots
        self._replies = 0

    @property
    def limit(self) -> int:
        """Return how many sub-requests the upstream may have now."""
        return self._limit

    @property
    def load(self) -> upstream.LoadReport:
        """Return what runs at the upstream and what waits here for it.

        What waits over its share is not counted: whoever asks goes before it.
        """
        return upstream.LoadReport(
            in_flight=len(self._runs_by_id), queued=self._queued_within_share
        )

    @property
    def is_unused(self) -> bool:
        """Tell whether nothing runs and nothing waits."""
        return not self._runs_by_id and not self._queued_by_id

    def usual_time(self, kind: str) -> float | None:
        """Return the usual service time of a kind, in seconds, where known."""
        times = self._times_by_kind.get(kind)
        return None if times is None else times.usual

    def renew(self, announcement: upstream.Announcement) -> None:
        """Take in what the upstream says now; a fresh incarnation is cold."""
        is_fresh = announcement.incarnation != self.announcement.incarnation
        self.announcement = announcement
        self._slots = max(1, announcement.slots)
        self._limit = min(self._limit, self._slots)
        if is_fresh:
            self._turn_cold()
            for times in self._times_by_kind.values():
                times.forget_recent()
        if not self._slow_start:
            self._limit = self._slots

    def enqueue(self, sub_request: upstream.SubRequest, now: float) -> None:
        """Let a sub-request wait for its turn."""
        queued = _Queued(sub_request=sub_request, since=now, order=next(self._order))
        self._queue.push(queued)
        self._queued_by_id[sub_request.id] = queued
        self._queued_within_share += sub_request.over_share_slots == 0

    def withdraw(self, sub_request_id: tuple[str, int]) -> bool:
        """Forget a sub-request that waits; return whether it did."""
        queued = self._queued_by_id.pop(sub_request_id, None)
        if queued is None:
            return False
        self._queued_within_share -= queued.sub_request.over_share_slots == 0
        self._queue.discard(queued.request_id)
        return True

    def withdraw_all(self) -> list[upstream.SubRequest]:
        """Forget and return every sub-request that waits."""
        left = [queued.sub_request for queued in self._queued_by_id.values()]
        for sub_request in left:
            self.withdraw(sub_request.id)
        return left

    def next(self, now: float) -> upstream.SubRequest | None:
        """Take the next sub-request that may be sent, or ``None``."""
        free = self._allowed(now) - len(self._runs_by_id)
        if free <= 0:
            return None
        held_back: list[_Queued] = []
        passed_over: set[str] = set()
        found = None
        while found is None:
            queued = self._queue.pop(self.announcement.id, passed_over)
            if queued is None:
                break
            if self._is_held_back(queued.sub_request):
                held_back.append(queued)
                passed_over.add(queued.subscriber_id)
            else:
                found = queued
        for queued in held_back:
            self._queue.push(queued)
        if found is None:
            return None
        self._queue.note_sent(found, now)
        self._begin_run(found.sub_request, now)
        return found.sub_request

    def within_share(self, now: float) -> float:
        """Return the slots kept busy on average by those within their share."""
        return self._within_share.at(now)

    def over_share(self, now: float) -> float:
        """Return the slots kept busy on average by those over their share."""
        return self._over_share.at(now)

    def _begin_run(self, sub_request: upstream.SubRequest, now: float) -> None:
        del self._queued_by_id[sub_request.id]
        is_over_share = sub_request.over_share_slots > 0
        self._queued_within_share -= not is_over_share
        run = _Run(kind=sub_request.kind, sent_at=now, is_over_share=is_over_share)
        self._runs_by_id[sub_request.id] = run
        self._over_share_runs += is_over_share
        self._note_shares(now)

    def _is_held_back(self, sub_request: upstream.SubRequest) -> bool:
        slots = sub_request.over_share_slots
        return bool(slots) and self._over_share_runs >= slots

    def _note_shares(self, now: float) -> None:
        within = len(self._runs_by_id) - self._over_share_runs
        self._within_share.set(within, now)
        self._over_share.set(self._over_share_runs, now)

    def end(self, outcome: upstream.Outcome, now: float) -> float | None:
        """Take in the end of a run; return its seconds, ``None`` if unknown."""
        run = self._runs_by_id.pop((outcome.request_id, outcome.attempt), None)
        if run is None:
            return None
        self._over_share_runs -= run.is_over_share
        self._note_shares(now)
        if isinstance(outcome, upstream.Replied):
            self._take_reply(run, now - run.sent_at)
        elif outcome.reason in _OVERLOAD_SIGNS:
            self._turn_cold()
        return now - run.sent_at

    def _allowed(self, now: float) -> int:
        if not self._slow_start or not self._runs_by_id:
            return self._limit
        oldest = next(iter(self._runs_by_id.values()))
        usual = self.usual_time(oldest.kind)
        if usual is not None and now - oldest.sent_at > _AGE_RATIO * usual:
            # Sooner than its reply can tell, a run that is far too old tells
            # that the upstream turned cold or straggles.
            return 1
        return self._limit

    def _take_reply(self, run: _Run, seconds: float) -> None:
        times = self._times_by_kind.setdefault(run.kind, service_time.ServiceTime())
        reference = times.usual or self._reference(run.kind)
        times.observe(seconds)
        if not self._slow_start:
            return
        is_slow = times.is_slow(reference)
        if is_slow and self._limit > 1:
            self._turn_cold()
        elif self._limit < self._slots:
            self._replies += 1
            if self._replies >= _replies_per_step(reference, is_slow=is_slow):
                self._limit += 1
                self._replies = 0

    def _turn_cold(self) -> None:
        if self._slow_start:
            self._limit = 1
            self._replies = 0


_OVERLOAD_SIGNS = frozenset(
    {
        upstream.FailureReason.OVERLOADED,
        upstream.FailureReason.RESET,
        upstream.FailureReason.STALLED,
        upstream.FailureReason.CONNECT,
    }
)


def _replies_per_step(reference: float | None, *, is_slow: bool) -> int:
    if is_slow:
        return _SLOW_REPLIES_PER_STEP
    if reference is None:
        return _UNKNOWN_REPLIES_PER_STEP
    return _REPLIES_PER_STEP
