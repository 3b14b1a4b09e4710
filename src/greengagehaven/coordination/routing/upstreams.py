"""State of one upstream as observed by an entry host."""

import collections
import math

from greengagehaven.coordination.routing import events, slowness, work_time
from greengagehaven.protocol import watching

FAULT_WEIGHT = 0.15
"""Weight of each request in the fault rate, which thus covers about seven requests."""

FAULT_HALF_LIFE_S = 3.0
"""Seconds in which the fault rate decays by half; upstreams with partial failures
recover after 5 to 7 s."""

FULL_FAULT_WEIGHT = 0.2
"""Weight as a fault of a rejection by an upstream whose slots are all taken; the next
reply frees one."""

CONNECTION_LIMIT_FAULT_WEIGHT = 0.6
"""Weight as a fault of a new connection that was reset."""

CONNECTION_LIMIT_BACKOFF_S = 0.5
"""Seconds for which an upstream is avoided after such a reset while others can answer.
The connections that fill it up end within some seconds."""

MIN_EJECTION_FAULTS = 2
"""Consecutive faults that eject an upstream; a single one may be due to the request."""

INITIAL_EJECTION_S = 0.4
"""Seconds of the first ejection, doubled by each further fault, as a process that
crashed needs some seconds to restart."""

MAX_EJECTION_S = 4.0
"""Seconds of the longest ejection."""

MIN_SILENCE_S = 0.3
"""Minimum of seconds without a response after which an upstream is probed: twice the
length of a pause."""

SILENCE_FACTOR = 8.0
"""Multiples of the usual latency without a response after which an upstream is probed;
tail latencies are five times the usual one."""

RECENTLY_HEARD_S = 0.5
"""Seconds since the last response within which an upstream counts as reachable."""

RECENTLY_SENT_S = 1.0
"""Seconds after which an earlier attempt no longer counts for the current silence."""

PROBE_PERIOD_S = 0.5
"""Seconds between two probes of one upstream; each takes one of its connections."""


REPORTED_SLOWNESS = 4.0
"""Multiple of the usual latency expected of an upstream that other hosts found slow."""

REPORTED_FAULT_RATE = 0.5
"""Fault rate expected of an upstream that other hosts found faulty."""


class Upstream:
    """One upstream, with what this host has observed of it.

    :param entry: its last announcement.
    :param now: monotonic seconds.
    """

    def __init__(self, *, entry: watching.UpstreamEntry, now: float) -> None:
        self.entry = entry
        self.cold_until = now + entry.cold_left_ms / 1000
        self.sent_at_by_attempt: dict[int, float] = {}
        self._slowness_average = slowness.SlownessEstimate(now=now)
        self._reported_slow_until = -math.inf
        self._reported_faulty_until = -math.inf
        self._fault_rate = 0.0
        self._fault_rate_at = now
        self.faults_in_row = 0
        self.ejected_until = -math.inf
        self.connection_limited_until = -math.inf
        self.heard_at = now
        self.replied_at = now
        self._unanswered_since = now
        self._last_sent_at = -math.inf
        self.is_reachable = True
        self.probe_at = -math.inf
        self.load: events.Load | None = None
        self.load_at = -math.inf
        self.work_time = work_time.WorkTime()
        self.cold_sent_at: collections.deque[float] = collections.deque()

    def is_silent(self, usual: float, now: float) -> bool:
        """Return whether it has sent nothing at all for too long.

        A slow upstream still answers some requests, or at least accepts a connection,
        which counts as a response.

        :param usual: seconds that an attempt in flight to it usually takes.
        """
        silence = now - max(self._unanswered_since, self.heard_at)
        return silence > max(MIN_SILENCE_S, SILENCE_FACTOR * usual)

    def record_sent(self, attempt: int, now: float) -> None:
        """Record that an attempt is sent."""
        if (
            now - self._last_sent_at > RECENTLY_SENT_S
            or self.heard_at > self._unanswered_since
        ):
            # Silence starts with the first attempt after the last response. It includes
            # the time of cancelled attempts, but not that of attempts sent long ago.
            self._unanswered_since = now
        self._last_sent_at = now
        self.sent_at_by_attempt[attempt] = now
        if now < self.cold_until:
            self.cold_sent_at.append(now)

    def mark_unreachable(self, now: float) -> None:
        """Mark it as unreachable until a probe succeeds."""
        self.is_reachable = False
        self.probe_at = now + PROBE_PERIOD_S

    def avoided_until(self) -> float:
        """Return until when it is avoided while other upstreams can answer."""
        return max(self.ejected_until, self.connection_limited_until)

    def mark_reachable(self, now: float) -> None:
        """Mark it as reachable, and end its ejection, after a successful probe."""
        self.is_reachable = True
        # What was sent to it before says nothing about it any more.
        self.replied_at = now
        self.faults_in_row = 0
        self.ejected_until = now

    def record_outlier(self, outlier: watching.Outlier, now: float) -> None:
        """Apply an outlier report of another host for a while."""
        until = now + watching.OUTLIER_LIFETIME_S
        if outlier.kind is watching.OutlierKind.SLOW:
            self._reported_slow_until = until
        else:
            self._reported_faulty_until = until

    def expected_slowness(self, now: float) -> float:
        """Return its expected latency as a multiple of the usual one."""
        observed = self._slowness_average.decayed_slowness(now)
        if now < self._reported_slow_until:
            return max(observed, REPORTED_SLOWNESS)
        return observed

    def oldest_sent_at(self) -> float | None:
        """Return when its oldest request in flight was sent, ``None`` without any."""
        return next(iter(self.sent_at_by_attempt.values()), None)

    @property
    def was_ejected(self) -> bool:
        """Return whether its consecutive faults are enough to eject an upstream."""
        return self.faults_in_row >= MIN_EJECTION_FAULTS

    @property
    def slowness(self) -> float:
        """Return its average latency as a multiple of the usual one, without decay."""
        return self._slowness_average.slowness

    def record_latency(self, ratio: float, now: float) -> None:
        """Record a latency as a multiple of the usual one.

        One that is not slow ends the effect of other hosts' reports that it is slow.
        """
        if ratio <= slowness.SLOW_RATIO:
            self._reported_slow_until = -math.inf
        self._slowness_average.record(ratio, now)

    def fault_rate(self, now: float) -> float:
        """Return the share of its recent requests that failed, or that is expected to.

        It decays with time: an upstream that is avoided because of it gets no requests
        that could lower it.
        """
        observed = self._observed_fault_rate(now)
        if now < self._reported_faulty_until:
            return max(observed, REPORTED_FAULT_RATE)
        return observed

    def _observed_fault_rate(self, now: float) -> float:
        if not self._fault_rate:
            return 0.0
        age = now - self._fault_rate_at
        return self._fault_rate * 0.5 ** (age / FAULT_HALF_LIFE_S)

    def _update_fault_rate(self, weight: float, now: float) -> None:
        rate = self._observed_fault_rate(now)
        self._fault_rate = rate + FAULT_WEIGHT * (weight - rate)
        self._fault_rate_at = now

    def record_success(self, now: float) -> None:
        """Record a successful reply."""
        self.faults_in_row = 0
        self._update_fault_rate(0.0, now)

    def record_rejection(self, load: events.Load | None, now: float) -> None:
        """Record that it rejected a request without running it.

        An upstream whose slots are all taken soon has a free one again. One that
        rejects requests with free slots seems idle and fast and would go on rejecting
        them, so this counts as a full fault.
        """
        is_full = load is not None and load.running >= load.slots
        self._update_fault_rate(FULL_FAULT_WEIGHT if is_full else 1.0, now)

    def record_connection_limit(self, now: float) -> None:
        """Record that it refused or reset a connection that had brought no reply yet.

        It has reached its connection limit, often with connections of hosts that lost
        power. An ejection would take a healthy upstream out of use for seconds, so it
        is only avoided for a moment while others can answer.
        """
        self._update_fault_rate(CONNECTION_LIMIT_FAULT_WEIGHT, now)
        self.connection_limited_until = now + CONNECTION_LIMIT_BACKOFF_S

    def record_fault(self, now: float) -> bool:
        """Record a fault; return whether it is ejected for it."""
        self._update_fault_rate(1.0, now)
        self.faults_in_row += 1
        if self.faults_in_row < MIN_EJECTION_FAULTS:
            return False
        excess_faults = self.faults_in_row - MIN_EJECTION_FAULTS
        duration = min(
            MAX_EJECTION_S, INITIAL_EJECTION_S * 2.0 ** min(excess_faults, 8)
        )
        self.ejected_until = now + duration
        return True
