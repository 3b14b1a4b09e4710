"""Concurrency limit and queue of one upstream, kept by its owner.

Only the owner sends to an upstream, so the limit holds for all hosts together. Slow
start: a new incarnation, or a warm one whose service time jumps, gets one sub-request
at a time. The limit grows by one after a number of replies, a larger number while
replies are still slow.
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
_OVERDUE_RATIO = 3.0
_WITHIN_SHARE_DECAY_S = 4.0
_OVER_SHARE_DECAY_S = 0.3

ReferenceTime = typing.Callable[[str], float | None]


@dataclasses.dataclass(kw_only=True, slots=True)
class _InFlight:
    """A sub-request that was sent to the upstream."""

    kind: str
    sent_at: float
    is_over_share: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Queued:
    """A queued sub-request; stands in for :class:`fair_queue.QueuedSubRequest`."""

    sub_request: upstream.SubRequest
    queued_at: float
    order: int

    @property
    def request_id(self) -> str:
        """Return the id to discard it by, unique for this sub-request."""
        return f"{self.sub_request.request_id}/{self.sub_request.attempt}"

    @property
    def key(self) -> tuple[str, str]:
        """Return the key that identifies the sub-request in the queue."""
        return (self.request_id, self.shard_ref)

    @property
    def subscriber_id(self) -> str:
        """Return the subscriber whose usage ranks it."""
        return self.sub_request.subscriber_id

    @property
    def shard_ref(self) -> str:
        """Return the name of its queue: the upstream id."""
        return self.sub_request.upstream_id

    @property
    def standing(self) -> int:
        """Return the standing of its kind."""
        return self.sub_request.standing

    @property
    def query_arrived_at(self) -> float:
        """Return when it was queued here, in monotonic seconds."""
        return self.queued_at

    @property
    def wait_class(self) -> wait_times.WaitClass:
        """Return the class whose waiting times are tracked together."""
        return wait_times.WaitClass(self.subscriber_id, self.shard_ref, self.standing)


class Gate:
    """Concurrency limit, sub-requests in flight and queue of one upstream.

    :param announcement: the latest announcement of the upstream.
    :param reference: returns the usual service time of a kind at other upstreams, in
        seconds.
    :param order: ranks subscribers by usage; with ``None``, only arrival counts within
        a standing.
    :param standing: if false, all kinds are treated alike.
    :param slow_start: if false, a new incarnation gets all its slots at once.
    """

    def __init__(
        self,
        *,
        announcement: upstream.Announcement,
        reference: ReferenceTime,
        order: usage.UsageOrder | None = None,
        standing: bool = True,
        slow_start: bool = True,
    ) -> None:
        self._reference = reference
        self._slow_start = slow_start
        self._queue_numbers = itertools.count()
        self._within_share = time_average.TimeAverage(decay=_WITHIN_SHARE_DECAY_S)
        self._over_share = time_average.TimeAverage(decay=_OVER_SHARE_DECAY_S)
        self._queued_within_share = 0
        self._over_share_in_flight = 0
        self._queue = fair_queue.FairQueue(
            order=order, waits=wait_times.WaitTimes(), standing=standing
        )
        self._queued_by_id: dict[tuple[str, int], _Queued] = {}
        self._in_flight_by_id: dict[tuple[str, int], _InFlight] = {}
        self._times_by_kind: dict[str, service_time.ServiceTime] = {}
        self.announcement = announcement
        self._slots = max(1, announcement.slots)
        self._limit = 1 if slow_start else self._slots
        self._replies_at_limit = 0

    @property
    def limit(self) -> int:
        """Return how many sub-requests may be in flight at the upstream."""
        return self._limit

    @property
    def load(self) -> upstream.LoadReport:
        """Return the sub-requests in flight at the upstream and queued here.

        Queued sub-requests of subscribers over their share are left out, as any other
        subscriber's sub-request goes before them.
        """
        return upstream.LoadReport(
            in_flight=len(self._in_flight_by_id), queued=self._queued_within_share
        )

    @property
    def is_unused(self) -> bool:
        """Return whether no sub-request is in flight or queued."""
        return not self._in_flight_by_id and not self._queued_by_id

    def usual_time(self, kind: str) -> float | None:
        """Return the usual service time of a kind in seconds, ``None`` if unknown."""
        times = self._times_by_kind.get(kind)
        return None if times is None else times.usual

    def update_announcement(self, announcement: upstream.Announcement) -> None:
        """Apply the latest announcement; a new incarnation restarts slow start."""
        is_fresh = announcement.incarnation != self.announcement.incarnation
        self.announcement = announcement
        self._slots = max(1, announcement.slots)
        self._limit = min(self._limit, self._slots)
        if is_fresh:
            self._restart_slow_start()
            for times in self._times_by_kind.values():
                times.reset_recent()
        if not self._slow_start:
            self._limit = self._slots

    def enqueue(self, sub_request: upstream.SubRequest, now: float) -> None:
        """Queue a sub-request."""
        queued = _Queued(
            sub_request=sub_request, queued_at=now, order=next(self._queue_numbers)
        )
        self._queue.push(queued)
        self._queued_by_id[sub_request.id] = queued
        self._queued_within_share += sub_request.over_share_slots == 0

    def withdraw(self, sub_request_id: tuple[str, int]) -> bool:
        """Remove a queued sub-request; return whether it was queued."""
        queued = self._queued_by_id.pop(sub_request_id, None)
        if queued is None:
            return False
        self._queued_within_share -= queued.sub_request.over_share_slots == 0
        self._queue.discard(queued.request_id)
        return True

    def drain_queue(self) -> list[upstream.SubRequest]:
        """Remove and return all queued sub-requests."""
        drained = [queued.sub_request for queued in self._queued_by_id.values()]
        for sub_request in drained:
            self.withdraw(sub_request.id)
        return drained

    def pop_next(self, now: float) -> upstream.SubRequest | None:
        """Remove and return the next sub-request to send, ``None`` if none may go."""
        free = self._current_limit(now) - len(self._in_flight_by_id)
        if free <= 0:
            return None
        over_limit: list[_Queued] = []
        excluded: set[str] = set()
        sendable = None
        while sendable is None:
            queued = self._queue.pop(self.announcement.id, excluded)
            if queued is None:
                break
            if self._exceeds_over_share_slots(queued.sub_request):
                over_limit.append(queued)
                excluded.add(queued.subscriber_id)
            else:
                sendable = queued
        for queued in over_limit:
            self._queue.push(queued)
        if sendable is None:
            return None
        self._queue.record_sent(sendable, now)
        self._start(sendable.sub_request, now)
        return sendable.sub_request

    def within_share(self, now: float) -> float:
        """Return the average slots in use by subscribers within their share."""
        return self._within_share.at(now)

    def over_share(self, now: float) -> float:
        """Return the average slots in use by subscribers over their share."""
        return self._over_share.at(now)

    def _start(self, sub_request: upstream.SubRequest, now: float) -> None:
        del self._queued_by_id[sub_request.id]
        is_over_share = sub_request.over_share_slots > 0
        self._queued_within_share -= not is_over_share
        in_flight = _InFlight(
            kind=sub_request.kind, sent_at=now, is_over_share=is_over_share
        )
        self._in_flight_by_id[sub_request.id] = in_flight
        self._over_share_in_flight += is_over_share
        self._update_shares(now)

    def _exceeds_over_share_slots(self, sub_request: upstream.SubRequest) -> bool:
        slots = sub_request.over_share_slots
        return bool(slots) and self._over_share_in_flight >= slots

    def _update_shares(self, now: float) -> None:
        within = len(self._in_flight_by_id) - self._over_share_in_flight
        self._within_share.set(within, now)
        self._over_share.set(self._over_share_in_flight, now)

    def end(self, outcome: upstream.Outcome, now: float) -> float | None:
        """Record an outcome; return its service time in seconds if it was in flight."""
        in_flight = self._in_flight_by_id.pop(
            (outcome.request_id, outcome.attempt), None
        )
        if in_flight is None:
            return None
        self._over_share_in_flight -= in_flight.is_over_share
        self._update_shares(now)
        if isinstance(outcome, upstream.Replied):
            self._record_reply(in_flight, now - in_flight.sent_at)
        elif outcome.reason in _OVERLOAD_REASONS:
            self._restart_slow_start()
        return now - in_flight.sent_at

    def _current_limit(self, now: float) -> int:
        if not self._slow_start or not self._in_flight_by_id:
            return self._limit
        oldest = next(iter(self._in_flight_by_id.values()))
        usual = self.usual_time(oldest.kind)
        if usual is not None and now - oldest.sent_at > _OVERDUE_RATIO * usual:
            # An overdue sub-request shows that the upstream has become cold or
            # straggles, sooner than its reply would.
            return 1
        return self._limit

    def _record_reply(self, in_flight: _InFlight, seconds: float) -> None:
        times = self._times_by_kind.setdefault(
            in_flight.kind, service_time.ServiceTime()
        )
        reference = times.usual or self._reference(in_flight.kind)
        times.observe(seconds)
        if not self._slow_start:
            return
        is_slow = times.is_slow(reference)
        if is_slow and self._limit > 1:
            self._restart_slow_start()
        elif self._limit < self._slots:
            self._replies_at_limit += 1
            if self._replies_at_limit >= _replies_per_step(reference, is_slow=is_slow):
                self._limit += 1
                self._replies_at_limit = 0

    def _restart_slow_start(self) -> None:
        if self._slow_start:
            self._limit = 1
            self._replies_at_limit = 0


_OVERLOAD_REASONS = frozenset(
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
