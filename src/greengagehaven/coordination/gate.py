"""One upstream at its owner: exactly what runs there and what waits.

Slow start: a fresh incarnation, and a warm one whose service time jumps, gets
one sub-request at a time. Its limit grows by one after a number of replies, a
large number while they are still slow. Only the owner sends, so this limit
holds for all hosts together.
"""

import dataclasses
import heapq
import itertools
import typing

from greengagehaven.coordination import service_time
from greengagehaven.protocol import upstream

_REPLIES_PER_STEP = 4
_UNKNOWN_REPLIES_PER_STEP = 10
_SLOW_REPLIES_PER_STEP = 60
_AGE_RATIO = 3.0

Reference = typing.Callable[[str], float | None]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Run:
    """A sub-request that the upstream has."""

    kind: str
    sent_at: float


class Gate:
    """Limit, runs and waiting sub-requests of one upstream.

    :param announcement: what the upstream last said.
    :param reference: usual service time of a kind at other upstreams.
    :param slow_start: off, a fresh upstream gets all its slots at once.
    """

    def __init__(
        self,
        *,
        announcement: upstream.Announcement,
        reference: Reference,
        slow_start: bool = True,
    ) -> None:
        self._reference = reference
        self._slow_start = slow_start
        self._order = itertools.count()
        self._queue: list[tuple[int, int, upstream.SubRequest]] = []
        self._queued_ids: set[tuple[str, int]] = set()
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
        """Return what runs at the upstream and what waits here for it."""
        return upstream.LoadReport(
            in_flight=len(self._runs_by_id), queued=len(self._queued_ids)
        )

    @property
    def is_unused(self) -> bool:
        """Tell whether nothing runs and nothing waits."""
        return not self._runs_by_id and not self._queued_ids

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

    def enqueue(self, sub_request: upstream.SubRequest, standing: int) -> None:
        """Let a sub-request wait; the higher ``standing`` goes first."""
        entry = (-standing, next(self._order), sub_request)
        heapq.heappush(self._queue, entry)
        self._queued_ids.add(sub_request.id)

    def withdraw(self, sub_request_id: tuple[str, int]) -> bool:
        """Forget a sub-request that waits; return whether it did."""
        if sub_request_id not in self._queued_ids:
            return False
        self._queued_ids.discard(sub_request_id)
        return True

    def withdraw_all(self) -> list[upstream.SubRequest]:
        """Forget and return every sub-request that waits."""
        left = [entry[2] for entry in self._queue if entry[2].id in self._queued_ids]
        self._queue.clear()
        self._queued_ids.clear()
        return left

    def next(self, now: float) -> upstream.SubRequest | None:
        """Take the next sub-request that may be sent, or ``None``."""
        if len(self._runs_by_id) >= self._allowed(now):
            return None
        while self._queue:
            sub_request = heapq.heappop(self._queue)[2]
            if sub_request.id not in self._queued_ids:
                continue
            self._queued_ids.discard(sub_request.id)
            run = _Run(kind=sub_request.kind, sent_at=now)
            self._runs_by_id[sub_request.id] = run
            return sub_request
        return None

    def end(self, outcome: upstream.Outcome, now: float) -> bool:
        """Take in the end of a run; return whether it was known."""
        run = self._runs_by_id.pop((outcome.request_id, outcome.attempt), None)
        if run is None:
            return False
        if isinstance(outcome, upstream.Replied):
            self._take_reply(run, now - run.sent_at)
        elif outcome.reason in _OVERLOAD_SIGNS:
            self._turn_cold()
        return True

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
