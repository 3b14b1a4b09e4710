"""When to send a second attempt beside one that straggles.

The delay is a quantile of the latency observed lately for the same class of
sub-requests ("The Tail at Scale", Dean and Barroso 2013), so that about
``1 - quantile`` of them qualify; the budget bounds what is really sent.
"""

from greengagehaven.coordination import latency, retries

_MIN_DELAY_S = 0.002
_PROBE_PART = 0.2
_MAX_HEDGE_TOKENS = 10.0
_MAX_PROBE_TOKENS = 3.0


class HedgePolicy:
    """Delay and budget of hedges.

    :param latencies: observed latency; its quantile is the delay.
    :param budget_ratio: hedges and probes allowed for each first attempt, all
        together.
    """

    def __init__(self, *, latencies: latency.LatencyBook, budget_ratio: float) -> None:
        self._latencies = latencies
        self._enabled = budget_ratio > 0
        self.budget = retries.Budget(
            ratio=budget_ratio * (1.0 - _PROBE_PART), max_tokens=_MAX_HEDGE_TOKENS
        )
        self._probes = retries.Budget(
            ratio=budget_ratio * _PROBE_PART, max_tokens=_MAX_PROBE_TOKENS
        )

    def earn(self, first_attempts: int = 1) -> None:
        """Count first attempts."""
        self.budget.earn(first_attempts)
        self._probes.earn(first_attempts)

    def may_probe(self) -> bool:
        """Take a probe out of its part of the budget, if there is one.

        Probes have their own part, so that a shard with many unfit replicas
        leaves hedges their budget.
        """
        return self._probes.spend()

    def delay(self, latency_class: latency.LatencyClass) -> float | None:
        """Return seconds to wait before a hedge, ``None`` for no hedge."""
        if not self._enabled:
            return None
        delay = self._latencies.straggling_after(latency_class)
        return None if delay is None else max(_MIN_DELAY_S, delay)
