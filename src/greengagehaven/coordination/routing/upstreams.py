"""What an entry host has seen of one upstream."""

import collections
import math

from greengagehaven.coordination.routing import events, pace
from greengagehaven.protocol import watching

FAULT_WEIGHT = 0.15
"""Weight of each request for the rate of faults: some seven count."""

FAULT_LIFETIME_S = 3.0
"""Seconds in which that rate fades by half; upstreams fail some of their requests for
5 to 7 s."""

FULL_FAULT = 0.2
"""Weight as a fault of a rejection with all slots taken: room comes with the next
reply."""

CROWD_FAULT = 0.6
"""Weight as a fault of a connection that was reset at once."""

CROWDED_S = 0.5
"""Seconds that it gets nothing then where others can answer; what holds its
connections ends them within some seconds."""

EJECT_FAULTS = 2
"""Faults in a row that eject; a single one may be the request's own."""

EJECT_FIRST_S = 0.4
"""Seconds of the first ejection, doubled by each further fault: a process that
crashed needs some seconds to be back."""

EJECT_MOST_S = 4.0
"""Seconds of the longest ejection."""

SILENCE_S = 0.3
"""Seconds without a word at least after which an upstream is probed: twice a pause."""

SILENCE_FACTOR = 8.0
"""Multiples of the usual latency after which it is probed; tails are five times."""

HEARD_LATELY_S = 0.5
"""Seconds; one that was heard of since can be reached."""

SENT_LATELY_S = 1.0
"""Seconds after which an earlier attempt says nothing of silence now."""

PROBE_PERIOD_S = 0.5
"""Seconds between two probes of one upstream; each takes a connection there."""


REPORTED_PACE = 4.0
"""Multiple of the usual latency to expect of one that other hosts found slow."""

REPORTED_FAULT_RATE = 0.5
"""Part of its requests that one is expected to fail that other hosts found faulty."""


class Upstream:
    """One upstream as this host sees it.

    :param entry: what it said of itself.
    :param now: monotonic seconds.
    """

    def __init__(self, *, entry: watching.UpstreamEntry, now: float) -> None:
        self.entry = entry
        self.cold_until = now + entry.cold_left_ms / 1000
        self.sent_at_by_attempt: dict[int, float] = {}
        self._pace = pace.Pace(now=now)
        self._reported_slow_until = -math.inf
        self._reported_faulty_until = -math.inf
        self._fault_rate = 0.0
        self._fault_rate_at = now
        self.faults_in_row = 0
        self.ejected_until = -math.inf
        self.crowded_until = -math.inf
        self.heard_at = now
        self._waiting_since = now
        self._sent_at = -math.inf
        self.is_reachable = True
        self.probe_at = -math.inf
        self.load: events.Load | None = None
        self.load_at = -math.inf
        self.cold_sent: collections.deque[float] = collections.deque()

    def is_silent(self, usual: float, now: float) -> bool:
        """Tell whether nothing at all has come from it for too long.

        One that is slow answers something now and then, or at least takes a
        connection, which counts as heard.

        :param usual: seconds that its oldest request usually takes.
        """
        silence = now - max(self._waiting_since, self.heard_at)
        return silence > max(SILENCE_S, SILENCE_FACTOR * usual)

    def note_sent(self, attempt: int, now: float) -> None:
        """Count an attempt that is sent."""
        if now - self._sent_at > SENT_LATELY_S or self.heard_at > self._waiting_since:
            # Attempts that were cut off count on, those of long ago do not.
            self._waiting_since = now
        self._sent_at = now
        self.sent_at_by_attempt[attempt] = now
        if now < self.cold_until:
            self.cold_sent.append(now)

    def lose(self, now: float) -> None:
        """Note that it is out of reach until a probe gets through."""
        self.is_reachable = False
        self.probe_at = now + PROBE_PERIOD_S

    def unfit_until(self) -> float:
        """Return until when it should get nothing where others can answer."""
        return max(self.ejected_until, self.crowded_until)

    def regain(self, now: float) -> None:
        """Note that a probe got through."""
        self.is_reachable = True
        self.faults_in_row = 0
        self.ejected_until = now

    def record_outlier(self, outlier: watching.Outlier, now: float) -> None:
        """Expect for a while what other hosts found."""
        until = now + watching.OUTLIER_LIFETIME_S
        if outlier.kind is watching.OutlierKind.SLOW:
            self._reported_slow_until = until
        else:
            self._reported_faulty_until = until

    def pace(self, now: float) -> float:
        """Return the multiple of the usual latency that is to be expected."""
        seen = self._pace.faded(now)
        if now < self._reported_slow_until:
            return max(seen, REPORTED_PACE)
        return seen

    def oldest_sent_at(self) -> float | None:
        """Return when its oldest request on the way was sent, ``None`` for none."""
        return next(iter(self.sent_at_by_attempt.values()), None)

    @property
    def was_ejected(self) -> bool:
        """Tell whether it failed as often in a row as ejects an upstream."""
        return self.faults_in_row >= EJECT_FAULTS

    @property
    def slowness(self) -> float:
        """Return its latency as a multiple of the usual one, as last judged."""
        return self._pace.slowness

    def note_latency(self, ratio: float, now: float) -> None:
        """Take in a latency as a multiple of the usual one."""
        if ratio <= pace.SLOW_RATIO:
            self._reported_slow_until = -math.inf
        self._pace.note(ratio, now)

    def fault_rate(self, now: float) -> float:
        """Return the part of its requests that failed lately.

        It fades, or one that is avoided for it would never show that it is well.
        """
        seen = self._seen_fault_rate(now)
        if now < self._reported_faulty_until:
            return max(seen, REPORTED_FAULT_RATE)
        return seen

    def _seen_fault_rate(self, now: float) -> float:
        if not self._fault_rate:
            return 0.0
        age = now - self._fault_rate_at
        return self._fault_rate * 0.5 ** (age / FAULT_LIFETIME_S)

    def _note_rate(self, weight: float, now: float) -> None:
        rate = self._seen_fault_rate(now)
        self._fault_rate = rate + FAULT_WEIGHT * (weight - rate)
        self._fault_rate_at = now

    def note_success(self, now: float) -> None:
        """Take in a reply that counts."""
        self.faults_in_row = 0
        self._note_rate(0.0, now)

    def note_rejection(self, load: events.Load | None, now: float) -> None:
        """Take in that it did not run a request.

        One that is full says so truly and will have room soon. One that rejects
        with slots free would go on rejecting while it looks idle and quick.
        """
        is_full = load is not None and load.running >= load.slots
        self._note_rate(FULL_FAULT if is_full else 1.0, now)

    def note_crowd(self, now: float) -> None:
        """Take in that it reset a connection that had brought no reply yet.

        It holds as many as it bears, often those of hosts that lost their power.
        To eject it for that would take a sound upstream away for seconds; but it
        gets no further connection for a moment where others can answer.
        """
        self._note_rate(CROWD_FAULT, now)
        self.crowded_until = now + CROWDED_S

    def note_fault(self, now: float) -> bool:
        """Take in a failure; return whether it is ejected for it."""
        self._note_rate(1.0, now)
        self.faults_in_row += 1
        if self.faults_in_row < EJECT_FAULTS:
            return False
        times = self.faults_in_row - EJECT_FAULTS
        duration = min(EJECT_MOST_S, EJECT_FIRST_S * 2.0 ** min(times, 8))
        self.ejected_until = now + duration
        return True
