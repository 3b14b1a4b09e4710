"""Detects whether this host is cut off by a network partition.

A partition that leaves an availability zone without any upstream of some shards leaves
its entry hosts unable to answer sweeps, while callers still reach them. All of the
zone's sweeps would be refused for as long as the partition lasts, though the other
zones could serve them. A host that reports itself cut off to its load balancer gets no
new callers until it reaches the other zones again.

If upstreams are down for every host, none serves callers better than another. So
unreachable shards are not enough: nothing outside the own zone may be reachable at all,
which is established by probes.
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

REACHABLE_S = 0.5
"""Seconds for which a zone counts as reachable after an upstream there was heard from.
Upstreams in use are heard from several times within it; probes are answered in a few
ms."""

CONFIRM_S = 0.3
"""Seconds for which sweeps must have lacked shards before this host counts as cut off;
longer than a probe takes to fail, 0.25 s."""

PROBES_PER_ZONE = 2
"""Upstreams of each other zone that are probed; a single one may have crashed."""


class PartitionDetector:
    """Detects that this host reaches nothing outside its own availability zone.

    :param fleet: the known upstreams.
    :param zone: availability zone of this host.
    :param clock: monotonic time.
    """

    def __init__(self, *, fleet: fleet.Fleet, zone: str, clock: clocks.Clock) -> None:
        self._fleet = fleet
        self._zone = zone
        self._clock = clock
        self._suspected_at: float | None = None
        self._cut_off_at: float | None = None

    @property
    def is_cut_off(self) -> bool:
        """Return whether this host is cut off, so that others serve callers better."""
        return self._cut_off_at is not None

    def cut_off_seconds(self) -> float | None:
        """Return for how many seconds this host has been cut off, ``None`` if not."""
        if self._cut_off_at is None:
            return None
        return self._clock.monotonic() - self._cut_off_at

    def update(
        self, table: routes.RoutingTable | None, actions: list[events.Action]
    ) -> None:
        """Update the state by when upstreams were last heard from; probe if in doubt.

        :param table: routes in force, ``None`` while there are none.
        """
        now = self._clock.monotonic()
        if table is None or not self._lacks_shards(table):
            self._suspected_at = None
            self._set_cut_off(False, now)
            return
        if self._suspected_at is None:
            self._suspected_at = now
        others = self._upstreams_by_other_zone()
        reachable_zones = [
            zone for zone, known in others.items() if _is_reachable(known, now)
        ]
        if reachable_zones or not others:
            self._set_cut_off(False, now)
            return
        for known in others.values():
            self._probe(known, now, actions)
        if now - self._suspected_at >= CONFIRM_S:
            self._set_cut_off(True, now)

    def _lacks_shards(self, table: routes.RoutingTable) -> bool:
        """Return whether the sweeps of some route can reach too few of their shards."""
        known = self._fleet.upstreams_by_id.values()
        if all(upstream.is_reachable for upstream in known):
            # The usual case, which avoids a scan of hundreds of routes.
            return False
        requirements = {(route.shards, route.min_shards) for route in table.routes}
        return any(
            sum(not self._fleet.is_unreachable(shard) for shard in shards) < min_parts
            for shards, min_parts in requirements
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
        """Probe the upstreams that were heard from last.

        Unreachable ones are left out, as they are probed by ``Reachability`` anyway.
        """
        reachable = [upstream for upstream in known if upstream.is_reachable]
        reachable.sort(key=lambda upstream: upstream.heard_at, reverse=True)
        for upstream in reachable[:PROBES_PER_ZONE]:
            reachability.probe(upstream, now, actions)

    def _set_cut_off(self, is_cut_off: bool, now: float) -> None:
        if is_cut_off == self.is_cut_off:
            return
        lasted = 0.0 if self._cut_off_at is None else now - self._cut_off_at
        self._cut_off_at = now if is_cut_off else None
        event = "cut_off" if is_cut_off else "cut_off_ended"
        log.warning(event, zone=self._zone, lasted_ms=round(lasted * 1000))


def _is_reachable(known: abc.Iterable[upstreams.Upstream], now: float) -> bool:
    return any(
        upstream.is_reachable and now - upstream.heard_at < REACHABLE_S
        for upstream in known
    )
