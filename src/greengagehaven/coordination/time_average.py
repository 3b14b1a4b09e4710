"""The average over time of a number that changes in steps."""

import math


class TimeAverage:
    """Exponentially weighted average over time.

    :param decay: seconds after which an old value weighs 1/e.
    """

    def __init__(self, *, decay: float) -> None:
        self._decay = decay
        self._value = 0.0
        self._average = 0.0
        self._moment: float | None = None

    def set(self, value: float, now: float) -> None:
        """Take in that the number is ``value`` from now on."""
        self._average = self.at(now)
        self._value = value
        self._moment = now

    def at(self, now: float) -> float:
        """Return the average as of ``now``."""
        if self._moment is None:
            return 0.0
        kept = math.exp((self._moment - now) / self._decay)
        return self._value + (self._average - self._value) * kept
