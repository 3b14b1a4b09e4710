"""Statistics of each upstream as observed by this host: load and slowness.

Slowness is latency divided by the usual latency of the same class of sub-requests, so
that an upstream that serves expensive queries does not look slow beside one that serves
cheap ones. Its average is peak-sensitive: it rises at once with a slow reply and falls
over about a second of faster ones. Attempts in flight count by their age, so that a
straggler is detected before its first reply, and a dead upstream although it never
replies.
"""

import dataclasses
import math

from greengagehaven.coordination import time_average

_SLOWNESS_DECAY_S = 1.0
_FAILURE_DECAY_S = 2.0
_FAILURES_TO_EJECT = 2.0
_MIN_RECENT_FAILURES = 0.5
_INITIAL_EJECTION_S = 0.5
_MAX_EJECTION_S = 30.0
_MAX_DOUBLINGS = 8
_FAILURE_COST_WEIGHT = 4.0
_STRAGGLING_RATIO = 1.5
_LOAD_MAX_AGE_S = 0.2
_WITHIN_SHARE_DECAY_S = 1.0
_SHARES_MAX_AGE_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptInFlight:
    """An attempt in flight.

    :param sent_at: monotonic seconds.
    :param usual: usual latency of its class, in seconds.
    """

    sent_at: float
    usual: float


@dataclasses.dataclass(kw_only=True, slots=True)
class UpstreamStats:
    """Statistics of one incarnation of an upstream.

    :param known_since: when this host first learned of the incarnation, in monotonic
        seconds.
    :param is_fresh: whether the incarnation started while this host was running and may
        therefore be cold; earlier ones are assumed to be warm.
    :param slowness: latency in multiples of the usual, ``None`` while unknown.
    :param in_flight_by_id: attempts in flight, oldest first, without those of
        subscribers over their share: these may be queued for long at the owner and do
        not reflect the upstream.
    :param over_share_ids: attempts in flight of subscribers over their share.
    :param probed_at: when it last got a probe, in monotonic seconds.
    """

    incarnation: int
    known_since: float
    is_fresh: bool = False
    slowness: float | None = None
    in_flight_by_id: dict[tuple[str, int], AttemptInFlight] = dataclasses.field(
        default_factory=dict
    )
    over_share_ids: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    probed_at: float = -math.inf
    _observed_at: float = -math.inf
    _failures: float = 0.0
    _failed_at: float = -math.inf
    _ejections: int = 0
    _ejected_until: float = -math.inf
    _reported_other_load: int = 0
    _load_reported_at: float = -math.inf
    _own_within_share: time_average.TimeAverage = dataclasses.field(
        default_factory=lambda: time_average.TimeAverage(decay=_WITHIN_SHARE_DECAY_S)
    )
    _reported_within_share: float = 0.0
    _reported_over_share: float = 0.0
    _shares_reported_at: float = -math.inf

    @property
    def is_untried(self) -> bool:
        """Return whether it may be cold and its slowness is not known yet."""
        return self.is_fresh and self.slowness is None

    @property
    def in_flight(self) -> int:
        """Return the number of attempts in flight of subscribers within their share."""
        return len(self.in_flight_by_id)

    @property
    def last_observed_at(self) -> float:
        """Return when the slowness was last observed, at least ``known_since``."""
        return max(self.known_since, self._observed_at)

    def record_reply(self, slowness: float, now: float) -> None:
        """Record a reply that took ``slowness`` times the usual latency."""
        if self.slowness is None or slowness > self.slowness:
            self.slowness = slowness
        else:
            weight = 1.0 - math.exp((self._observed_at - now) / _SLOWNESS_DECAY_S)
            self.slowness += max(0.05, weight) * (slowness - self.slowness)
        self._observed_at = now
        # A reply offsets a failure: a single failure ejects nothing, while an
        # upstream that mostly fails is ejected.
        self._failures = max(0.0, self._decayed_failures(now) - 1.0)
        self._failed_at = now
        self._ejected_until = -math.inf
        if not self._failures:
            self._ejections = 0

    def reset_slowness(self) -> None:
        """Let the next reply alone determine the slowness.

        An unfit replica gets only an occasional probe. If its average fell as slowly as
        it does under load, it would stay unfit long after its recovery.
        """
        self.slowness = None

    def record_abandoned(self, age: float, now: float) -> None:
        """Record an attempt without a reply after ``age`` times the usual latency.

        Its reply would have taken even longer. If the attempt was a straggler already,
        twice its age is assumed.
        """
        if age > _STRAGGLING_RATIO:
            age *= 2.0
        if self.slowness is None or age > self.slowness:
            self.slowness = age
            self._observed_at = now

    def record_failure(self, now: float) -> None:
        """Record a failure; consecutive failures eject the upstream for a while.

        The ejection time doubles with each ejection until the upstream replies.
        """
        self._failures = self._decayed_failures(now) + 1.0
        self._failed_at = now
        if self._failures < _FAILURES_TO_EJECT or now < self._ejected_until:
            return
        seconds = _INITIAL_EJECTION_S * 2**self._ejections
        self._ejected_until = now + min(_MAX_EJECTION_S, seconds)
        self._ejections = min(_MAX_DOUBLINGS, self._ejections + 1)
        # A single failure soon after the ejection ejects the upstream again.
        self._failures = _FAILURES_TO_EJECT - 0.5

    def record_load(self, load: int, now: float) -> None:
        """Record the load of all hosts at the upstream, as its owner reports it.

        A report can only raise the cost. One that reports an idle upstream attracts no
        sub-requests, as it may be outdated or wrong.
        """
        self._reported_other_load = max(0, load - self.in_flight)
        self._load_reported_at = now

    def record_shares(self, within: float, over: float, now: float) -> None:
        """Record the owner's :meth:`within_share` and :meth:`over_share`."""
        self._reported_within_share = within
        self._reported_over_share = over
        self._shares_reported_at = now

    def update_in_flight_average(self, now: float) -> None:
        """Update the average after a change of ``in_flight_by_id``."""
        self._own_within_share.set(len(self.in_flight_by_id), now)

    def within_share(self, now: float) -> float:
        """Return the average slots in use by subscribers within their share.

        It is the owner's average over all hosts if reported recently, otherwise the
        average of this host over about a second.
        """
        if now - self._shares_reported_at < _SHARES_MAX_AGE_S:
            return self._reported_within_share
        return self._own_within_share.at(now)

    def over_share(self, now: float) -> float:
        """Return the average slots in use by subscribers over their share.

        The average is the owner's latest report; 0 if that is outdated.
        """
        if now - self._shares_reported_at < _SHARES_MAX_AGE_S:
            return self._reported_over_share
        return 0.0

    def expected_slowness(self, now: float) -> float | None:
        """Return the slowness of a reply as expected now; ``None`` if unknown."""
        if not self.in_flight_by_id:
            return self.slowness
        oldest = next(iter(self.in_flight_by_id.values()))
        age = (now - oldest.sent_at) / oldest.usual
        return max(self.slowness or 0.0, age)

    def load(self, now: float) -> int:
        """Return the known load of the upstream, in sub-requests."""
        other_load = 0
        if now - self._load_reported_at < _LOAD_MAX_AGE_S:
            other_load = self._reported_other_load
        own_over_share = len(self.over_share_ids)
        over_share = max(own_over_share, round(self.over_share(now)))
        return self.in_flight + max(other_load, over_share)

    def cost(self, now: float, slots: int) -> float:
        """Return the cost of sending one more sub-request, for comparison of replicas.

        It is the expected latency in multiples of the usual, raised by recent failures.
        """
        slowness = self.expected_slowness(now) or 1.0
        queue_factor = 1.0 + self.load(now) / max(1, slots)
        return (
            slowness
            * queue_factor
            * (1.0 + _FAILURE_COST_WEIGHT * self._decayed_failures(now))
        )

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream is ejected for its failures."""
        return now < self._ejected_until

    def has_recent_failures(self, now: float) -> bool:
        """Return whether recent failures are not yet offset by replies."""
        return self._decayed_failures(now) >= _MIN_RECENT_FAILURES

    def _decayed_failures(self, now: float) -> float:
        if not self._failures:
            return 0.0
        return self._failures * math.exp((self._failed_at - now) / _FAILURE_DECAY_S)
