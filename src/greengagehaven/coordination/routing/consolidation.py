"""Which other zone the shards of a sweep are asked in that the own zone lacks.

The load it answers: replicas in most zones, but not in each. A sweep over 36 shards
then finds nine without a replica at home, three in each other zone: too few for an
aggregator there, so that the heads and records of each cross the border. Asked in one
zone, they are one call and the greatest records of all of them.
"""

import collections
from collections import abc

from greengagehaven.coordination.routing import (
    delegation,
    fleet,
    upstreams,
)

MAX_EXTRA_SHARE = 0.25
"""Share of the time to be expected elsewhere by which an upstream of that zone may take
longer; parts of a sweep differ by as much."""

MAX_EXTRA_S = 0.002
"""Seconds by which it may take longer besides."""


class Consolidation:
    """Moves choices in zones with few shards of a sweep to one zone.

    :param of_fleet: the upstreams.
    :param of_delegation: knows the aggregators.
    :param zone: availability zone of this host.
    """

    def __init__(
        self, *, of_fleet: fleet.Fleet, of_delegation: delegation.Delegation, zone: str
    ) -> None:
        self._fleet = of_fleet
        self._delegation = of_delegation
        self._zone = zone

    def consolidate(
        self, chosen_by_service: dict[str, upstreams.Upstream], usual: float
    ) -> None:
        """Replace choices of a sweep that are strewn over other zones.

        :param chosen_by_service: the upstream of each shard.
        :param usual: seconds that such a request usually takes.
        """
        zones = collections.Counter(map(_zone_of, chosen_by_service.values()))
        del zones[self._zone]
        strewn = [
            service
            for service, chosen in chosen_by_service.items()
            if 0 < zones[_zone_of(chosen)] < delegation.MIN_REMOTE_SHARDS
        ]
        if len(strewn) < delegation.MIN_REMOTE_SHARDS:
            return
        target = self._target(zones)
        if not target:
            return
        for service in strewn:
            other = self._fleet.choose_in(target, service, usual)
            if other is not None and self._is_fair(
                chosen_by_service[service], other, usual
            ):
                chosen_by_service[service] = other

    def _target(self, zones: abc.Mapping[str, int]) -> str:
        """Return the zone with an aggregator that was chosen most, empty for none."""
        fit = [zone for zone in zones if self._delegation.has_aggregator(zone)]
        return max(fit, key=lambda zone: zones[zone], default="")

    def _is_fair(
        self, chosen: upstreams.Upstream, other: upstreams.Upstream, usual: float
    ) -> bool:
        """Tell whether another upstream is about as good as the one that was chosen."""
        if chosen.entry.version != other.entry.version:
            return False
        expected = self._fleet.expected(chosen, usual)
        most = expected * (1.0 + MAX_EXTRA_SHARE) + MAX_EXTRA_S
        return self._fleet.expected(other, usual) <= most


def _zone_of(upstream: upstreams.Upstream) -> str:
    return upstream.entry.availability_zone
