"""When to send a second attempt beside one that straggles.

The delay is a quantile of the latency observed lately for the same class of
sub-requests ("The Tail at Scale", Dean and Barroso 2013), so that about
``1 - quantile`` of them qualify; the budget bounds what is really sent.
"""

from greengagehaven.coordination import latency, retries

_MIN_DELAY_S = 0.002


class HedgePolicy:
    """Delay and budget of hedges.

    :param latencies: observed latency; its quantile is the delay.
    :param budget_ratio: hedges and probes allowed for each first attempt.
    """

    def __init__(self, *, latencies: latency.LatencyBook, budget_ratio: float) -> None:
        self._latencies = latencies
        self._enabled = budget_ratio > 0
        self.budget = retries.Budget(ratio=budget_ratio)

    def delay(self, latency_class: latency.LatencyClass) -> float | None:
        """Return seconds to wait before a hedge, ``None`` for no hedge."""
        if not self._enabled:
            return None
        value = self._latencies.quantile_of(latency_class)
        return None if value is None else max(_MIN_DELAY_S, value)
