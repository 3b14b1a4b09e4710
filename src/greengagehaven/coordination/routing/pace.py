"""How fast one upstream is, from what this host saw of it.

The load it answers: some upstreams take ten times as long for seconds, beside
others that stand still for a moment and are well again. With many entry hosts each
sees an upstream once in some seconds, so that a fixed small weight for each latency
never learns of a slow one while it is slow, and every sweep meets several.
"""

LEAST_WEIGHT = 0.2
"""Weight of a latency that follows another at once: their mean counts."""

MEMORY_S = 1.0
"""Seconds after which a latency outweighs all earlier ones by half; an upstream
turns slow from one moment to the next and stays so for seconds."""

MOST_RATIO = 5.0
"""A pause of 120 ms is nine times the usual: taken whole, one would outweigh the way
to another zone for seconds, though the upstream is well again. Two slow latencies in
a row do outweigh it."""

SLOW_RATIO = 2.0
"""Multiples of the usual above which a latency is slow; work varies by a third."""

LIFETIME_S = 2.0
"""Seconds in which what is known loses half of its weight, or one that is avoided
would never show that it is well."""

MOST_DOUBLINGS = 2
"""One slow latency may have been a pause; each further one in a row doubles the
lifetime, up to 8 s, in the order of the slow spells that are known."""


class Pace:
    """Latency of one upstream as a multiple of the usual one.

    :param now: monotonic seconds.
    """

    def __init__(self, *, now: float) -> None:
        self.slowness = 1.0
        self._at = now
        self._slow_in_row = 0

    def note(self, ratio: float, now: float) -> None:
        """Take in a latency.

        :param ratio: multiple of the usual one.
        """
        known = self.faded(now)
        forgotten = 1.0 - 0.5 ** ((now - self._at) / MEMORY_S)
        weight = max(LEAST_WEIGHT, forgotten)
        self.slowness = known + weight * (min(ratio, MOST_RATIO) - known)
        self._slow_in_row = self._slow_in_row + 1 if ratio > SLOW_RATIO else 0
        self._at = now

    def faded(self, now: float) -> float:
        """Return the slowness that is to be expected now."""
        if self.slowness == 1.0:
            return 1.0
        doublings = min(MOST_DOUBLINGS, max(0, self._slow_in_row - 1))
        lifetime = LIFETIME_S * 2.0**doublings
        return 1.0 + (self.slowness - 1.0) * 0.5 ** ((now - self._at) / lifetime)
