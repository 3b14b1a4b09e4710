"""Weighted choice among the services of a route."""

from greengagehaven import rng as rngs
from greengagehaven.state import routes


class Weights:
    """Smooth weighted round robin over the services of each route.

    Each request adds a service's share of the total weight to the service's credit,
    and the one with the most credit is chosen. With random choices, the shares of a few
    hundred requests would deviate from the weights by several percent.

    :param rng: gives the initial credits.
    """

    def __init__(self, *, rng: rngs.Rng) -> None:
        self._rng = rng
        self._credits_by_route: dict[str, dict[str, float]] = {}

    def pick(self, route: routes.Route) -> str:
        """Return the service that gets the next request of a route."""
        if len(route.services) == 1:
            return route.services[0].service
        total = sum(weighted.weight for weighted in route.services)
        credit_by_service = self._credits_by_route.setdefault(route.name, {})
        for weighted in route.services:
            credit = credit_by_service.get(weighted.service)
            if credit is None:
                # With equal initial credits, all hosts would start with the same
                # service.
                credit = self._rng.random()
            credit_by_service[weighted.service] = credit + weighted.weight / total
        chosen = max(
            route.services, key=lambda weighted: credit_by_service[weighted.service]
        )
        credit_by_service[chosen.service] -= 1.0
        return chosen.service

    def retain(self, names: frozenset[str]) -> None:
        """Drop the credits of all routes but those named."""
        for name in set(self._credits_by_route) - names:
            del self._credits_by_route[name]
