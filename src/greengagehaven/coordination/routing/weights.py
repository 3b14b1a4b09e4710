"""Parts of a route's requests that its services get by their weights."""

from greengagehaven import rng as rngs
from greengagehaven.state import routes


class Weights:
    """What each service of each route is owed.

    Drawn at random, the parts of a few hundred requests would stray from their
    weights by several in a hundred.

    :param rng: where a route begins.
    """

    def __init__(self, *, rng: rngs.Rng) -> None:
        self._rng = rng
        self._debts_by_route: dict[str, dict[str, float]] = {}

    def pick(self, route: routes.Route) -> str:
        """Return the service that gets the next request of a route."""
        if len(route.services) == 1:
            return route.services[0].service
        total = sum(weighted.weight for weighted in route.services)
        owed = self._debts_by_route.setdefault(route.name, {})
        for weighted in route.services:
            known = owed.get(weighted.service)
            if known is None:
                # All hosts would begin with the same service otherwise.
                known = self._rng.random()
            owed[weighted.service] = known + weighted.weight / total
        chosen = max(route.services, key=lambda weighted: owed[weighted.service])
        owed[chosen.service] -= 1.0
        return chosen.service

    def retain(self, names: frozenset[str]) -> None:
        """Forget routes that are in force no more."""
        for name in set(self._debts_by_route) - names:
            del self._debts_by_route[name]
