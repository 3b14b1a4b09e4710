"""Retry budgets, which bound the extra load caused by retries and hedges.

A budget is a token bucket. Each first attempt adds a fraction of a token, and each
extra attempt takes one token. During a full outage the extra load is limited to
that fraction, and the initial tokens allow retries on a host with little load. The
bucket size is bounded; otherwise tokens saved over a quiet hour would allow a retry
storm in the first seconds of an outage.
"""

import collections

INITIAL_TOKENS = 10.0
MAX_TOKENS = 20.0
MAX_SERVICES = 10_000
"""Services with a budget; beyond it the budget that was created first is dropped."""


class Budget:
    """Token bucket for extra attempts.

    :param ratio: tokens added per first attempt.
    :param max_tokens: size of the bucket.
    """

    def __init__(self, *, ratio: float, max_tokens: float = MAX_TOKENS) -> None:
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = min(INITIAL_TOKENS, max_tokens) if ratio > 0 else 0.0

    def deposit(self, first_attempts: int = 1) -> None:
        """Add the tokens of ``first_attempts`` first attempts."""
        tokens = self._tokens + self._ratio * first_attempts
        self._tokens = min(self._max_tokens, tokens)

    def try_withdraw(self) -> bool:
        """Take a token for one extra attempt; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return the token of an attempt that was not sent."""
        self._tokens += 1.0


class ServiceBudgets:
    """One budget per service, so that an outage uses up only its own budget.

    :param ratio: tokens added per first attempt.
    :param enabled: if false, a token is always available.
    """

    def __init__(self, *, ratio: float, enabled: bool = True) -> None:
        self._ratio = ratio
        self._enabled = enabled
        self._budgets_by_service: collections.OrderedDict[str, Budget] = (
            collections.OrderedDict()
        )

    def deposit(self, service: str, first_attempts: int = 1) -> None:
        """Add the tokens of ``first_attempts`` first attempts at a service."""
        self._budget_of(service).deposit(first_attempts)

    def try_withdraw(self, service: str) -> bool:
        """Take a token of a service; return whether one was available."""
        return not self._enabled or self._budget_of(service).try_withdraw()

    def _budget_of(self, service: str) -> Budget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = Budget(ratio=self._ratio)
            if len(self._budgets_by_service) > MAX_SERVICES:
                self._budgets_by_service.popitem(last=False)
        return budget
