"""How long callers have waited before a request arrives here, and still will.

A caller's time runs from before it connects, and until the answer has come back.
It says how long it will still wait; the most that is seen on a route is its whole
time, and what lacks is what it has waited already.
"""

from greengagehaven.state import routes

WAY_WEIGHT = 0.1
"""Weight of each later measurement of the way; the first replaces the guess."""

FIRST_WAY_S = 0.003
"""Seconds, until a caller has connected: the longest way that is known. An answer
that leaves too early lacks a part, one that leaves too late is late as a whole."""

MOST_CONNECTING_S = 0.05
"""Seconds; who waited longer was refused elsewhere before."""

LEAST_CONNECTING_S = 0.0005
"""Seconds; who waited less came on an open connection."""

OWN_LINK_S = 0.003
"""Seconds that an answer takes on this host's link, behind requests that leave too."""

FIRST_LAG_S = 0.002
"""Seconds; a timer fires up to 1 ms late, and parts take about as long to merge."""

RISING_LAG_WEIGHT = 0.2
FALLING_LAG_WEIGHT = 0.02
"""Weights of a lag above and below the one that is known: nine in ten are below."""

MOST_LAG_S = 0.02
"""Seconds; a host that stood still for longer is no measure for the next answer."""


class CallerTimes:
    """What is learned of callers' time on each route."""

    def __init__(self) -> None:
        self._whole_by_route: dict[str, float] = {}
        self._way: float | None = None
        self._lag = FIRST_LAG_S

    @property
    def way(self) -> float:
        """Return the seconds that a packet takes between a caller and here."""
        return FIRST_WAY_S if self._way is None else self._way

    @property
    def lag(self) -> float:
        """Return the seconds by which answers leave later than they should."""
        return self._lag

    def observe(self, route: routes.Route, time_left: float | None) -> float:
        """Take in what a caller says; return what it has waited already.

        :param time_left: seconds that it will still wait.
        """
        if time_left is None:
            return 0.0
        whole = max(self._whole_by_route.get(route.name, 0.0), time_left)
        if 0 < route.timeout - time_left < MOST_CONNECTING_S:
            # All who come here may have just connected: then none says its whole
            # time, which operators mostly make the route's.
            whole = max(whole, route.timeout)
        self._whole_by_route[route.name] = whole
        waited = whole - time_left
        if LEAST_CONNECTING_S < waited < MOST_CONNECTING_S:
            # It has just connected, which takes a way there and one back.
            known = waited / 2 if self._way is None else self._way
            self._way = known + WAY_WEIGHT * (waited / 2 - known)
        return waited

    def note_lag(self, seconds: float) -> None:
        """Take in by how much an answer was written later than it should have been.

        Where the processor is busy timers fire late, and what else is due in that
        turn comes before the answer's merging and writing. All answers that wait for
        their last moment would be too late by that.
        """
        lag = min(seconds, MOST_LAG_S)
        weight = RISING_LAG_WEIGHT if lag > self._lag else FALLING_LAG_WEIGHT
        self._lag += weight * (lag - self._lag)

    def answer_within(self, route: routes.Route, waited: float) -> float:
        """Return the seconds after which an answer sent now meets the objective.

        :param waited: what the caller had waited when it sent the request.
        """
        return route.objective - waited - 2 * self.way - OWN_LINK_S - self._lag

    def retain(self, names: frozenset[str]) -> None:
        """Forget routes that are in force no more."""
        for name in set(self._whole_by_route) - names:
            del self._whole_by_route[name]
