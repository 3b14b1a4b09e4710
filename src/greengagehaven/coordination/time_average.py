"""Time-weighted moving average of a value that changes in steps."""

import math


class TimeAverage:
    """Exponential moving average over time.

    :param decay: seconds after which an old value has a weight of 1/e.
    """

    def __init__(self, *, decay: float) -> None:
        self._decay = decay
        self._value = 0.0
        self._average = 0.0
        self._updated_at: float | None = None

    def set(self, value: float, now: float) -> None:
        """Set the value from ``now`` on (monotonic seconds)."""
        self._average = self.at(now)
        self._value = value
        self._updated_at = now

    def at(self, now: float) -> float:
        """Return the average as of ``now`` (monotonic seconds)."""
        if self._updated_at is None:
            return 0.0
        old_weight = math.exp((self._updated_at - now) / self._decay)
        return self._value + (self._average - self._value) * old_weight
