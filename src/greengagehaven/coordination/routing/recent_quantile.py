"""A high quantile of the most recent samples of a time."""

import collections
import math

SAMPLES = 64
"""Number of samples that are kept. A host among 133 gets an answer of a kind every
three to ten seconds, so they cover some minutes."""

MIN_SAMPLES = 4
"""Number of samples below which the quantile is 0. Such a host has this many after
half a minute; a single one may be a stall that does not repeat."""

QUANTILE = 0.9
"""The estimate of the lag of timers settles at the same quantile."""


class RecentQuantile:
    """Quantile of the last samples; 0 while there are few."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(maxlen=SAMPLES)
        self.value = 0.0

    def record(self, seconds: float) -> None:
        """Record a sample, in seconds."""
        self._samples.append(seconds)
        if len(self._samples) >= MIN_SAMPLES:
            rank = math.ceil(QUANTILE * len(self._samples)) - 1
            self.value = sorted(self._samples)[rank]
