"""When to send a second attempt beside one that straggles.

The delay is a quantile of the observed latency ("The Tail at Scale", Dean and
Barroso 2013), so that about ``1 - quantile`` of the sub-requests qualify; the
budget bounds what is really sent.
"""

import ddsketch

from greengagehaven.coordination import retries

_RELATIVE_ACCURACY = 0.02
_MIN_SAMPLES = 50
_MIN_DELAY_S = 0.002
_SAMPLES_PER_WINDOW = 2000


class HedgePolicy:
    """Observed latency of sub-requests and the budget for hedges.

    :param quantile: quantile of the latency after which to hedge.
    :param budget_ratio: hedges allowed for each first attempt.
    """

    def __init__(self, *, quantile: float, budget_ratio: float) -> None:
        self._quantile = quantile
        self.budget = retries.Budget(ratio=budget_ratio)
        self._current = ddsketch.DDSketch(_RELATIVE_ACCURACY)
        self._delay: float | None = None

    @property
    def delay(self) -> float | None:
        """Return seconds to wait before a hedge, ``None`` while unknown."""
        return self._delay

    def observe(self, latency: float) -> None:
        """Take in the latency of a first attempt, in seconds."""
        self._current.add(latency)
        count = self._current.count
        if count >= _MIN_SAMPLES and count % _MIN_SAMPLES == 0:
            value = self._current.get_quantile_value(self._quantile)
            self._delay = max(_MIN_DELAY_S, value)
        if count >= _SAMPLES_PER_WINDOW:
            self._current = ddsketch.DDSketch(_RELATIVE_ACCURACY)
