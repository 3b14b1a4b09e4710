"""Budgets of extra attempts, so that faults never multiply the load.

A token bucket filled by first attempts: each adds a fraction of a token, each
extra attempt takes one. Under a full outage the extra load stays at that
fraction, while a single failure on a quiet host can still be retried. What is
saved up is bounded, or the first seconds of an outage after a quiet hour would
bring a storm.
"""

import collections

INITIAL_TOKENS = 10.0
MAX_TOKENS = 20.0
MAX_SERVICES = 10_000


class Budget:
    """Tokens for extra attempts.

    :param ratio: extra attempts allowed for each first attempt.
    :param max_tokens: most that can be saved up.
    """

    def __init__(self, *, ratio: float, max_tokens: float = MAX_TOKENS) -> None:
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = min(INITIAL_TOKENS, max_tokens) if ratio > 0 else 0.0

    def earn(self, first_attempts: int = 1) -> None:
        """Count first attempts."""
        tokens = self._tokens + self._ratio * first_attempts
        self._tokens = min(self._max_tokens, tokens)

    def spend(self) -> bool:
        """Take a token for one extra attempt; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Give back a token whose attempt was not sent."""
        self._tokens += 1.0


class ServiceBudgets:
    """A budget for each service, so that one outage uses up only its own.

    :param ratio: extra attempts allowed for each first attempt.
    :param enabled: off, there is always a token.
    """

    def __init__(self, *, ratio: float, enabled: bool = True) -> None:
        self._ratio = ratio
        self._enabled = enabled
        self._budgets_by_service: collections.OrderedDict[str, Budget] = (
            collections.OrderedDict()
        )

    def earn(self, service: str, first_attempts: int = 1) -> None:
        """Count first attempts at a service."""
        self._of(service).earn(first_attempts)

    def spend(self, service: str) -> bool:
        """Take a token of a service; return whether there was one."""
        return not self._enabled or self._of(service).spend()

    def _of(self, service: str) -> Budget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = Budget(ratio=self._ratio)
            if len(self._budgets_by_service) > MAX_SERVICES:
                self._budgets_by_service.popitem(last=False)
        return budget
