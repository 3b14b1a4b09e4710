"""Estimates the requests to a service over all entry hosts."""

from greengagehaven.coordination.routing import extra_attempt_budget


class ServiceDemand:
    """Extrapolates the request rate of this host to all entry hosts.

    :param budget: counts this host's requests to each service.
    """

    def __init__(self, *, budget: extra_attempt_budget.ExtraAttemptBudget) -> None:
        self._budget = budget
        self._host_count = 1

    def set_host_count(self, count: int) -> None:
        """Update the number of entry hosts."""
        self._host_count = max(1, count)

    def request_rate(self, service: str) -> float:
        """Return the requests per second for a service over all hosts."""
        return self._host_count * self._budget.request_rate(service)
