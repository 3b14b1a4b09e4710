"""Estimate of how slow one upstream is, from the latencies that this host measured.

Some upstreams take ten times as long for seconds, while others pause once and recover
at once. With many entry hosts each host measures an upstream only once in some
seconds, so an average with a fixed small weight would notice a slow upstream only
after it has recovered, and every sweep would meet several slow ones. Here the weight
of a latency grows with the time since the previous one, and the estimate decays.
"""

MIN_WEIGHT = 0.2
"""Weight of a latency that directly follows another, so that their mean counts."""

MEMORY_HALF_LIFE_S = 1.0
"""Seconds after which a new latency has half of the weight. An upstream becomes slow
abruptly and stays slow for seconds."""

MAX_RATIO = 5.0
"""Limit of the ratio that is recorded. A pause of 120 ms is nine times the usual
latency; without the limit a single pause would make another zone look better for
seconds, though the upstream has recovered. Two slow latencies in a row still do."""

SLOW_RATIO = 2.0
"""Multiple of the usual latency above which a latency is slow. The work of requests
varies by a third."""

DECAY_HALF_LIFE_S = 2.0
"""Seconds in which the recorded slowness halves. Without decay an upstream that is
avoided would never show that it has recovered."""

MAX_DOUBLINGS = 2
"""Maximum number of times that the decay half-life is doubled. A single slow latency
may have been a pause; each further one in a row doubles the half-life, up to 8 s,
which is about as long as upstreams stay slow."""


class SlownessEstimate:
    """Recent latency of one upstream as a multiple of the usual latency.

    :param now: monotonic seconds.
    """

    def __init__(self, *, now: float) -> None:
        self.slowness = 1.0
        self._updated_at = now
        self._consecutive_slow = 0

    def record(self, ratio: float, now: float) -> None:
        """Record a latency.

        :param ratio: multiple of the usual latency.
        :param now: monotonic seconds.
        """
        decayed = self.decayed_slowness(now)
        elapsed_weight = 1.0 - 0.5 ** ((now - self._updated_at) / MEMORY_HALF_LIFE_S)
        weight = max(MIN_WEIGHT, elapsed_weight)
        self.slowness = decayed + weight * (min(ratio, MAX_RATIO) - decayed)
        self._consecutive_slow = self._consecutive_slow + 1 if ratio > SLOW_RATIO else 0
        self._updated_at = now

    def decayed_slowness(self, now: float) -> float:
        """Return the slowness decayed to the given time, in monotonic seconds."""
        if self.slowness == 1.0:
            return 1.0
        doublings = min(MAX_DOUBLINGS, max(0, self._consecutive_slow - 1))
        half_life = DECAY_HALF_LIFE_S * 2.0**doublings
        return 1.0 + (self.slowness - 1.0) * 0.5 ** (
            (now - self._updated_at) / half_life
        )
