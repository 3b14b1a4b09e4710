"""Hedging policy: delay and budget of hedged attempts.

The delay is a quantile of the latency recently observed for the same class of
sub-requests ("The Tail at Scale", Dean and Barroso 2013), so that about
``1 - quantile`` of them qualify for a hedge. The budget limits how many are sent.
"""

from greengagehaven.coordination import latency, retries

_MIN_DELAY_S = 0.002
_PROBE_BUDGET_SHARE = 0.2
_MAX_HEDGE_TOKENS = 10.0
_MAX_PROBE_TOKENS = 3.0


class HedgePolicy:
    """Delay and budget of hedges, and the budget of probes.

    :param latencies: observed latency, of which a quantile is the delay.
    :param budget_ratio: hedges and probes together that are allowed per first
        attempt; 0 disables hedging.
    """

    def __init__(
        self, *, latencies: latency.LatencyTracker, budget_ratio: float
    ) -> None:
        self._latencies = latencies
        self._enabled = budget_ratio > 0
        self.budget = retries.Budget(
            ratio=budget_ratio * (1.0 - _PROBE_BUDGET_SHARE),
            max_tokens=_MAX_HEDGE_TOKENS,
        )
        self._probe_budget = retries.Budget(
            ratio=budget_ratio * _PROBE_BUDGET_SHARE, max_tokens=_MAX_PROBE_TOKENS
        )

    def deposit(self, first_attempts: int = 1) -> None:
        """Add the tokens of ``first_attempts`` first attempts to both budgets."""
        self.budget.deposit(first_attempts)
        self._probe_budget.deposit(first_attempts)

    def take_probe_token(self) -> bool:
        """Take a token for one probe; return whether one was available.

        Probes have a budget of their own, so that a shard with many ejected
        replicas does not use up the budget of hedges.
        """
        return self._probe_budget.try_withdraw()

    def delay(self, latency_class: latency.LatencyClass) -> float | None:
        """Return the seconds to wait before a hedge, ``None`` for no hedge."""
        if not self._enabled:
            return None
        delay = self._latencies.straggler_threshold(latency_class)
        return None if delay is None else max(_MIN_DELAY_S, delay)
