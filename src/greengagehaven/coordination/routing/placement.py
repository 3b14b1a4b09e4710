"""What it costs to send a request to an upstream, in seconds.

The load it answers: replicas that differ in speed, stand still for a moment or are
slow for seconds, beside the way to other availability zones. The request goes where
it costs least.
"""

import typing

from greengagehaven import rng as rngs
from greengagehaven.coordination.routing import mechanisms, upstreams

CROSS_ZONE_S = 0.008
"""Seconds that another zone costs: the way there and back, and a new connection."""

CROSS_ZONE_SHARE = 1.0
"""Multiple of the usual latency that another zone costs besides. Sound ones differ
by half of it (speeds of 0.8 to 1.3), which no caller notices; without it, 45 in 100
first attempts went to another zone where 25 in 100 had no replica in their own."""

COLD_FACTOR = 2.0
"""Multiple of the usual latency to expect of a cold upstream; 1.6 is declared."""

LOAD_LIFETIME_S = 0.25
"""Seconds after which a report of load says nothing: ten usual latencies."""

CROWD_SHARE = 0.1
"""Share by which each request that runs beside slows one down."""

GREY_RATE = 0.15
"""Rate of faults above which an upstream is avoided; lost answers are some in 100."""

GREY_COST_S = 0.3
"""Seconds that certain failure would cost: more than any objective of a sweep."""

OVERDUE_FACTOR = 2.0
"""Multiples of what was to be expected after which a request is overdue."""

OVERDUE_LEAST_S = 0.02
"""Seconds after which it is overdue at least."""

NOISE = 0.1
"""Part by which costs are varied, or all hosts would choose the same upstream."""


class Placement(typing.Protocol):
    """Says what an upstream costs."""

    def expected(self, upstream: upstreams.Upstream, usual: float, now: float) -> float:
        """Return the seconds that a request sent now is likely to take."""

    def cost(self, upstream: upstreams.Upstream, usual: float, now: float) -> float:
        """Return the seconds that sending a request there costs."""


class ExpectedLatency:
    """Costs by the latency to be expected, faults and the way.

    :param zone: availability zone of this host.
    :param used: mechanisms that are used.
    :param rng: varies costs.
    """

    def __init__(
        self, *, zone: str, used: mechanisms.Mechanisms, rng: rngs.Rng
    ) -> None:
        self._zone = zone
        self._used = used
        self._rng = rng

    def expected(self, upstream: upstreams.Upstream, usual: float, now: float) -> float:
        """Return the seconds that a request sent now is likely to take.

        :param usual: seconds that such a request takes at a usual upstream.
        """
        pace = upstream.pace(now) if self._used.pace else 1.0
        if now < upstream.cold_until:
            pace = max(pace, COLD_FACTOR)
        slots = upstream.entry.slots
        ahead = max(len(upstream.sent_at_by_attempt), self._reported(upstream, now))
        queued = max(0.0, ahead + 1 - slots) / slots
        crowd = CROWD_SHARE * min(ahead, slots)
        running = usual * pace
        return running * (1.0 + queued + crowd) + self._overdue(upstream, running, now)

    def cost(self, upstream: upstreams.Upstream, usual: float, now: float) -> float:
        """Return the seconds that sending a request there costs."""
        cost = self.expected(upstream, usual, now)
        if self._used.own_zone and upstream.entry.availability_zone != self._zone:
            cost += CROSS_ZONE_S + CROSS_ZONE_SHARE * usual
        fault_rate = upstream.fault_rate(now)
        if self._used.grey and fault_rate > GREY_RATE:
            cost += GREY_COST_S * fault_rate
        return cost * (1.0 + NOISE * self._rng.random())

    def _reported(self, upstream: upstreams.Upstream, now: float) -> float:
        """Return the requests ahead by its own report, fading with its age."""
        if upstream.load is None or not self._used.load_reports:
            return 0.0
        age = now - upstream.load_at
        reported = max(0, upstream.load.running - 1) + upstream.load.waiting
        return reported * max(0.0, 1.0 - age / LOAD_LIFETIME_S)

    def _overdue(
        self, upstream: upstreams.Upstream, running: float, now: float
    ) -> float:
        """Return how long its oldest request has been late; it may be pausing."""
        oldest = upstream.oldest_sent_at()
        if oldest is None or not self._used.overdue:
            return 0.0
        late = now - oldest - max(OVERDUE_LEAST_S, OVERDUE_FACTOR * running)
        return max(0.0, late)
