"""When a shard that has not answered is asked at another upstream as well.

The load it answers: one upstream in twenty stands still for a moment, one in six is
slow for seconds, and a sweep needs nearly all of its shards.
"""

from greengagehaven.coordination import latency
from greengagehaven.coordination.routing import mechanisms, observation, request

FIRST_SHARE = 0.4
"""Share of the objective after which to hedge where no latency is known yet: the
hedge then has half of the objective left."""

LEAST_S = 0.006
"""Seconds; a new connection to an upstream takes as long, so that a sooner hedge
would not be sooner there."""

KEEP = 0.2
"""Share of the burst that less urgent requests leave to the urgent ones."""

URGENT_PRIORITY = 1
"""Requests of this rank and higher may use all of the burst."""


class Hedging:
    """Decides when to hedge.

    :param latencies: of each kind of request.
    :param used: mechanisms that are used.
    """

    def __init__(
        self, *, latencies: latency.LatencyBook, used: mechanisms.Mechanisms
    ) -> None:
        self._latencies = latencies
        self._used = used

    def moment(self, routed: request.RoutedRequest, now: float) -> float:
        """Return when a shard that is sent now counts as straggling.

        :param now: monotonic seconds.
        """
        route = routed.route
        may_hedge = route.is_idempotent and route.attempts > 1
        if not (may_hedge and self._used.hedging):
            return float("inf")
        key = observation.latency_class(route)
        delay = self._latencies.straggling_after(key)
        if delay is None:
            delay = route.objective * FIRST_SHARE
        return now + max(LEAST_S, delay)

    def keep(self, routed: request.RoutedRequest) -> float:
        """Return the part of the burst that a hedge has to leave to others."""
        return KEEP if routed.route.priority > URGENT_PRIORITY else 0.0
