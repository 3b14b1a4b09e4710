"""What this host has seen of each upstream: work in flight and slowness.

Slowness is latency over the usual latency of the same class of sub-requests,
so that one that serves heavy queries does not look slow beside one that serves
light ones. Its average is sensitive to peaks: it rises at once with a slow
reply and comes down over about a second of faster ones. Attempts that have no
reply yet tell by their age: a straggler shows before its first reply, and an
upstream that died shows although it never replies.
"""

import dataclasses
import math

from greengagehaven.coordination import time_average

_DECAY_S = 1.0
_FAILURE_DECAY_S = 2.0
_FAILURES_TO_EJECT = 2.0
_FAILURES_TO_DOUBT = 0.5
_FIRST_EJECTION_S = 0.5
_LONGEST_EJECTION_S = 30.0
_MOST_EJECTIONS = 8
_FAILURE_WEIGHT = 4.0
_STRAGGLING_AGE = 1.5
_LOAD_HINT_S = 0.2
_WITHIN_DECAY_S = 1.0
_SHARES_HINT_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outstanding:
    """An attempt in flight: when it was sent, what it usually takes."""

    sent_at: float
    usual: float


@dataclasses.dataclass(kw_only=True, slots=True)
class UpstreamStats:
    """Own observations of one incarnation of an upstream.

    :param known_since: when this host first knew of the incarnation.
    :param is_fresh: whether the incarnation came up while this host ran, so that
        it may be cold; what was there before is taken for warm.
    :param slowness: latency in multiples of the usual, ``None`` while unknown.
    :param outstanding_by_id: attempts in flight, oldest first; not those of
        subscribers over their share, which may wait long at the owner and tell
        nothing of the upstream.
    :param over_share_ids: the attempts of those subscribers.
    :param probed_at: when it last got work only to see how it does.
    """

    incarnation: int
    known_since: float
    is_fresh: bool = False
    slowness: float | None = None
    outstanding_by_id: dict[tuple[str, int], Outstanding] = dataclasses.field(
        default_factory=dict
    )
    over_share_ids: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    probed_at: float = -math.inf
    _seen_at: float = -math.inf
    _failures: float = 0.0
    _failed_at: float = -math.inf
    _ejections: int = 0
    _ejected_until: float = -math.inf
    _others_load: int = 0
    _load_at: float = -math.inf
    _own_within: time_average.TimeAverage = dataclasses.field(
        default_factory=lambda: time_average.TimeAverage(decay=_WITHIN_DECAY_S)
    )
    _told_within: float = 0.0
    _told_over: float = 0.0
    _told_shares_at: float = -math.inf

    @property
    def is_untried(self) -> bool:
        """Tell whether it may be cold and nothing is known of it yet."""
        return self.is_fresh and self.slowness is None

    @property
    def in_flight(self) -> int:
        """Return how many sub-requests of this host have not ended."""
        return len(self.outstanding_by_id)

    @property
    def seen_at(self) -> float:
        """Return when an attempt last told something of it."""
        return max(self.known_since, self._seen_at)

    def record_reply(self, slowness: float, now: float) -> None:
        """Take in a reply that took ``slowness`` times the usual."""
        if self.slowness is None or slowness > self.slowness:
            self.slowness = slowness
        else:
            weight = 1.0 - math.exp((self._seen_at - now) / _DECAY_S)
            self.slowness += max(0.05, weight) * (slowness - self.slowness)
        self._seen_at = now
        # A reply makes up for a failure: one odd failure ejects nothing, while
        # an upstream that mostly fails is passed over.
        self._failures = max(0.0, self._failures_at(now) - 1.0)
        self._failed_at = now
        self._ejected_until = -math.inf
        if not self._failures:
            self._ejections = 0

    def forget_slowness(self) -> None:
        """Let the next reply alone tell how slow the upstream is.

        A replica that was set aside gets a probe now and then only. Were its
        average to come down as it does under load, it would stay out for long
        after it is well again.
        """
        self.slowness = None

    def record_abandoned(self, age: float, now: float) -> None:
        """Take in that an attempt had no reply for ``age`` times the usual.

        Its reply would have taken longer still. Where it had straggled already,
        twice as long is assumed.
        """
        if age > _STRAGGLING_AGE:
            age *= 2.0
        if self.slowness is None or age > self.slowness:
            self.slowness = age
            self._seen_at = now

    def record_failure(self, now: float) -> None:
        """Take in a failure; several in a row eject for a while.

        The while doubles with each ejection until the upstream replies.
        """
        self._failures = self._failures_at(now) + 1.0
        self._failed_at = now
        if self._failures < _FAILURES_TO_EJECT or now < self._ejected_until:
            return
        seconds = _FIRST_EJECTION_S * 2**self._ejections
        self._ejected_until = now + min(_LONGEST_EJECTION_S, seconds)
        self._ejections = min(_MOST_EJECTIONS, self._ejections + 1)
        # What comes after the ejection is one try, not several.
        self._failures = _FAILURES_TO_EJECT - 0.5

    def record_load(self, load: int, now: float) -> None:
        """Take in how much work of all hosts the upstream has.

        A report only ever adds to the cost. One that says idle draws no work:
        it may be late or a lie.
        """
        self._others_load = max(0, load - self.in_flight)
        self._load_at = now

    def record_shares(self, within: float, over: float, now: float) -> None:
        """Take in the owner's :meth:`within_share` and :meth:`over_share`."""
        self._told_within = within
        self._told_over = over
        self._told_shares_at = now

    def note_in_flight(self, now: float) -> None:
        """Take in that ``outstanding_by_id`` has changed."""
        self._own_within.set(len(self.outstanding_by_id), now)

    def within_share(self, now: float) -> float:
        """Return how many slots subscribers within their share keep busy.

        It is an average over about a second, of all hosts where the owner has
        lately told it, else of this host.
        """
        if now - self._told_shares_at < _SHARES_HINT_S:
            return self._told_within
        return self._own_within.at(now)

    def over_share(self, now: float) -> float:
        """Return how many slots subscribers over their share keep busy.

        It is an average over about a second, as the owner has lately told it.
        """
        if now - self._told_shares_at < _SHARES_HINT_S:
            return self._told_over
        return 0.0

    def expected_slowness(self, now: float) -> float | None:
        """Return what a reply takes by the signs of now; ``None`` if unknown."""
        if not self.outstanding_by_id:
            return self.slowness
        oldest = next(iter(self.outstanding_by_id.values()))
        age = (now - oldest.sent_at) / oldest.usual
        return max(self.slowness or 0.0, age)

    def load(self, now: float) -> int:
        """Return the work that the upstream has, as far as it is known."""
        others = 0
        if now - self._load_at < _LOAD_HINT_S:
            others = self._others_load
        own_over_share = len(self.over_share_ids)
        over_share = max(own_over_share, round(self.over_share(now)))
        return self.in_flight + max(others, over_share)

    def cost(self, now: float, slots: int) -> float:
        """Return the expected wait for one more, in multiples of the usual."""
        slowness = self.expected_slowness(now) or 1.0
        queue = 1.0 + self.load(now) / max(1, slots)
        return slowness * queue * (1.0 + _FAILURE_WEIGHT * self._failures_at(now))

    def is_failing(self, now: float) -> bool:
        """Tell whether the upstream is ejected for its failures."""
        return now < self._ejected_until

    def is_doubtful(self, now: float) -> bool:
        """Tell whether a failure of late is not made up for yet."""
        return self._failures_at(now) >= _FAILURES_TO_DOUBT

    def _failures_at(self, now: float) -> float:
        if not self._failures:
            return 0.0
        return self._failures * math.exp((self._failed_at - now) / _FAILURE_DECAY_S)
