"""Estimates the cost of sending a request to an upstream, in seconds.

A request goes to the upstream with the lowest cost. Replicas differ in speed, pause for
a moment or are slow for seconds, and other availability zones add network latency; the
cost combines all of this.
"""

import typing

from greengagehaven import rng as rngs
from greengagehaven.coordination.routing import mechanisms, upstreams

CROSS_ZONE_S = 0.008
"""Seconds added for another zone: a round trip and a new connection."""

CROSS_ZONE_SHARE = 1.0
"""Multiple of the usual latency added as well for another zone. Healthy upstreams
differ by half of it (speeds of 0.8 to 1.3), which callers don't notice. Without it, 45%
of first attempts went to another zone where only 25% had no replica in their own."""

SLOW_MACHINE_SHARE = 1.0
"""Multiple of the usual latency added for each multiple by which a machine is slower
than usual. The last shard decides when a sweep is answered, and with the expected
latency alone the share added for another zone outweighs a machine 2.5 times slower:
the simulated heavy day of `villacres` earned 0.975 of its worth instead of 0.983."""

COLD_FACTOR = 2.0
"""Multiple of the usual latency expected of a cold upstream; 1.6 is declared."""

LOAD_LIFETIME_S = 0.25
"""Seconds after which a load report is outdated: ten usual latencies."""

CONCURRENCY_SLOWDOWN = 0.1
"""Share by which each request that runs concurrently slows another one down."""

GREY_FAULT_RATE = 0.15
"""Fault rate above which an upstream is avoided; a few percent of answers are lost
anyway."""

GREY_FAULT_COST_S = 0.3
"""Seconds added at a fault rate of 1: more than the objective of any sweep."""

OVERDUE_FACTOR = 2.0
"""Multiples of the expected latency after which a request is overdue."""

MIN_OVERDUE_S = 0.02
"""Minimum of seconds after which a request is overdue."""

COST_JITTER = 0.1
"""Share by which costs are randomly increased; otherwise all hosts would choose the
same upstream."""


class CostModel(typing.Protocol):
    """Estimates the cost of requests to upstreams."""

    def expected_latency(
        self, upstream: upstreams.Upstream, usual: float, now: float
    ) -> float:
        """Return the expected latency of a request sent now, in seconds."""

    def cost(self, upstream: upstreams.Upstream, usual: float, now: float) -> float:
        """Return the cost of a request to an upstream, in seconds."""


class ExpectedLatencyCost:
    """Cost from the expected latency, the fault rate and the distance of an upstream.

    :param zone: availability zone of this host.
    :param used: mechanisms that are enabled.
    :param rng: adds jitter to costs.
    """

    def __init__(
        self, *, zone: str, used: mechanisms.Mechanisms, rng: rngs.Rng
    ) -> None:
        self._zone = zone
        self._used = used
        self._rng = rng

    def expected_latency(
        self, upstream: upstreams.Upstream, usual: float, now: float
    ) -> float:
        """Return the expected latency of a request sent now, in seconds.

        :param usual: seconds that such a request takes at a typical upstream.
        """
        slowness = upstream.expected_slowness(now) if self._used.pace else 1.0
        if now < upstream.cold_until:
            slowness = max(slowness, COLD_FACTOR)
        slots = upstream.entry.slots
        ahead = max(
            len(upstream.sent_at_by_attempt), self._reported_ahead(upstream, now)
        )
        queued = max(0.0, ahead + 1 - slots) / slots
        slowdown = CONCURRENCY_SLOWDOWN * min(ahead, slots)
        service_time = usual * slowness
        if self._used.work_time:
            service_time *= upstream.work_time.expected(now)
        return service_time * (1.0 + queued + slowdown) + self._overdue_seconds(
            upstream, service_time, now
        )

    def cost(self, upstream: upstreams.Upstream, usual: float, now: float) -> float:
        """Return the cost of a request to an upstream, in seconds."""
        cost = self.expected_latency(upstream, usual, now)
        if self._used.own_zone and upstream.entry.availability_zone != self._zone:
            cost += CROSS_ZONE_S + CROSS_ZONE_SHARE * usual
        if self._used.work_time:
            excess = max(0.0, upstream.work_time.expected(now) - 1.0)
            cost += SLOW_MACHINE_SHARE * usual * excess
        fault_rate = upstream.fault_rate(now)
        if self._used.grey and fault_rate > GREY_FAULT_RATE:
            cost += GREY_FAULT_COST_S * fault_rate
        return cost * (1.0 + COST_JITTER * self._rng.random())

    def _reported_ahead(self, upstream: upstreams.Upstream, now: float) -> float:
        """Return the requests ahead according to its load report, discounted by age."""
        if upstream.load is None or not self._used.load_reports:
            return 0.0
        age = now - upstream.load_at
        reported_requests = max(0, upstream.load.running - 1) + upstream.load.waiting
        return reported_requests * max(0.0, 1.0 - age / LOAD_LIFETIME_S)

    def _overdue_seconds(
        self, upstream: upstreams.Upstream, service_time: float, now: float
    ) -> float:
        """Return for how many seconds its oldest request has been overdue.

        The upstream may be paused.
        """
        oldest_sent_at = upstream.oldest_sent_at()
        if oldest_sent_at is None or not self._used.overdue:
            return 0.0
        overdue_seconds = (
            now - oldest_sent_at - max(MIN_OVERDUE_S, OVERDUE_FACTOR * service_time)
        )
        return max(0.0, overdue_seconds)
