"""How long callers have waited before a request arrives here, and still will.

A caller's time runs from before it connects, and until the answer has come back.
It says how long it will still wait; the most that is seen on a route is its whole
time, and what lacks is what it has waited already.
"""

from greengagehaven.state import routes

WAY_WEIGHT = 0.1
FIRST_WAY_S = 0.002
MOST_CONNECTING_S = 0.05
LEAST_CONNECTING_S = 0.0005
OWN_PART_S = 0.004


class CallerTimes:
    """What is learned of callers' time on each route."""

    def __init__(self) -> None:
        self._whole_by_route: dict[str, float] = {}
        self._way = FIRST_WAY_S

    @property
    def way(self) -> float:
        """Return the seconds that a packet takes between a caller and here."""
        return self._way

    def observe(self, route: routes.Route, time_left: float | None) -> float:
        """Take in what a caller says; return what it has waited already.

        :param time_left: seconds that it will still wait.
        """
        if time_left is None:
            return 0.0
        whole = max(self._whole_by_route.get(route.name, 0.0), time_left)
        self._whole_by_route[route.name] = whole
        waited = whole - time_left
        if LEAST_CONNECTING_S < waited < MOST_CONNECTING_S:
            # It has just connected, which takes a way there and one back.
            self._way += WAY_WEIGHT * (waited / 2 - self._way)
        return waited

    def answer_within(self, route: routes.Route, waited: float) -> float:
        """Return the seconds after which an answer sent now meets the objective.

        :param waited: what the caller had waited when it sent the request.
        """
        return route.objective - waited - 2 * self._way - OWN_PART_S

    def retain(self, names: frozenset[str]) -> None:
        """Forget routes that are in force no more."""
        for name in set(self._whole_by_route) - names:
            del self._whole_by_route[name]
