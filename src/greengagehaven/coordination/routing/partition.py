"""Tells whether a host is cut off, so that callers are better served elsewhere.

A partition that leaves an availability zone without any upstream of some shards
leaves its entry hosts nothing to answer sweeps with, while callers reach them as
before. The load it answers: all of the zone's sweeps, for as long as the partition
lasts, refused here though the other zones could serve them. A host that says so to
its balancer gets no new callers until it reaches the others again.

Where upstreams are down for everybody, no host serves them better than another.
So it is not enough that shards are out of reach: nothing at all outside the own
zone may be reachable, which is found out by probes.
"""

from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import log
from greengagehaven.coordination.routing import (
    events,
    fleet,
    reachability,
    upstreams,
)
from greengagehaven.state import routes

ALIVE_S = 0.5
"""Seconds; a zone something came from this lately can be reached. Upstreams that
are in use are heard of several times in it, probes answer within some ms."""

CONFIRM_S = 0.3
"""Seconds; longer than a probe takes to fail, 0.25 s."""

PROBES_A_ZONE = 2
"""Upstreams of each other zone that are probed; one may have crashed itself."""


class Partition:
    """Whether this host reaches nothing outside its own availability zone.

    :param of_fleet: the upstreams that are known.
    :param zone: availability zone of this host.
    :param clock: monotonic time.
    """

    def __init__(
        self, *, of_fleet: fleet.Fleet, zone: str, clock: clocks.Clock
    ) -> None:
        self._fleet = of_fleet
        self._zone = zone
        self._clock = clock
        self._suspected_at: float | None = None
        self._cut_off_at: float | None = None

    @property
    def is_cut_off(self) -> bool:
        """Tell whether callers are better served by another host."""
        return self._cut_off_at is not None

    def seconds(self) -> float | None:
        """Return for how long this host has been cut off, ``None`` if it is not."""
        if self._cut_off_at is None:
            return None
        return self._clock.monotonic() - self._cut_off_at

    def look(
        self, table: routes.RoutingTable | None, actions: list[events.Action]
    ) -> None:
        """Judge anew, from what upstreams have said or not said lately."""
        now = self._clock.monotonic()
        if table is None or not self._lacks_shards(table):
            self._suspected_at = None
            self._set(False, now)
            return
        if self._suspected_at is None:
            self._suspected_at = now
        others = self._upstreams_by_other_zone()
        alive = [zone for zone, known in others.items() if _is_alive(known, now)]
        if alive or not others:
            self._set(False, now)
            return
        for known in others.values():
            self._probe(known, now, actions)
        if now - self._suspected_at >= CONFIRM_S:
            self._set(True, now)

    def _lacks_shards(self, table: routes.RoutingTable) -> bool:
        """Tell whether some sweep can reach too few of its shards."""
        known = self._fleet.upstreams_by_id.values()
        if all(upstream.is_reachable for upstream in known):
            # Nearly always so; hundreds of routes need not be gone through for it.
            return False
        needs = {(route.shards, route.least_parts) for route in table.routes}
        return any(
            sum(not self._fleet.is_out_of_reach(shard) for shard in shards) < least
            for shards, least in needs
            if shards
        )

    def _upstreams_by_other_zone(self) -> dict[str, list[upstreams.Upstream]]:
        known: dict[str, list[upstreams.Upstream]] = {}
        for upstream in self._fleet.upstreams_by_id.values():
            zone = upstream.entry.availability_zone
            if zone != self._zone and upstream.entry.is_live:
                known.setdefault(zone, []).append(upstream)
        return known

    def _probe(
        self,
        known: abc.Iterable[upstreams.Upstream],
        now: float,
        actions: list[events.Action],
    ) -> None:
        """Ask those that would be used next; the lost are probed as it is."""
        untried = [upstream for upstream in known if upstream.is_reachable]
        untried.sort(key=lambda upstream: upstream.heard_at, reverse=True)
        for upstream in untried[:PROBES_A_ZONE]:
            reachability.probe(upstream, now, actions)

    def _set(self, is_cut_off: bool, now: float) -> None:
        if is_cut_off == self.is_cut_off:
            return
        lasted = 0.0 if self._cut_off_at is None else now - self._cut_off_at
        self._cut_off_at = now if is_cut_off else None
        event = "cut_off" if is_cut_off else "cut_off_ended"
        log.warning(event, zone=self._zone, lasted_ms=round(lasted * 1000))


def _is_alive(known: abc.Iterable[upstreams.Upstream], now: float) -> bool:
    return any(
        upstream.is_reachable and now - upstream.heard_at < ALIVE_S
        for upstream in known
    )
