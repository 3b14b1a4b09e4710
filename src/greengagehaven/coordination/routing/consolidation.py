"""Consolidation of the remote shards of a sweep in one other availability zone.

Some services have replicas in most zones, but not in all of them. A sweep over 36
shards may find nine of them without a replica in its own zone and be sent three in
each other zone: too few for an aggregator there, so that the headers and records of
each shard cross the zone boundary. Sent to one zone, the nine shards take one call,
which returns only the greatest records of all of them.
"""

import collections
from collections import abc

from greengagehaven.coordination.routing import (
    delegation,
    fleet,
    upstreams,
)

MAX_EXTRA_SHARE = 0.25
"""Share of the expected latency of the chosen upstream by which an upstream in the
target zone may be slower. Parts of a sweep differ by as much."""

MAX_EXTRA_S = 0.002
"""Seconds by which it may be slower in addition."""


class Consolidation:
    """Moves choices in zones with few shards of a sweep to one zone.

    :param fleet: the known upstreams.
    :param delegation: the known aggregators.
    :param zone: availability zone of this host.
    """

    def __init__(
        self, *, fleet: fleet.Fleet, delegation: delegation.Delegation, zone: str
    ) -> None:
        self._fleet = fleet
        self._delegation = delegation
        self._zone = zone

    def consolidate(
        self,
        chosen_by_service: dict[str, upstreams.Upstream],
        typical_latency: float,
    ) -> None:
        """Replace choices of a sweep that are scattered over other zones.

        :param chosen_by_service: the upstream chosen for each shard; changed in place.
        :param typical_latency: seconds that an attempt of this request usually takes.
        """
        zones = collections.Counter(map(_zone_of, chosen_by_service.values()))
        del zones[self._zone]
        scattered = [
            service
            for service, chosen in chosen_by_service.items()
            if 0 < zones[_zone_of(chosen)] < delegation.MIN_REMOTE_SHARDS
        ]
        if len(scattered) < delegation.MIN_REMOTE_SHARDS:
            return
        target = self._target_zone(zones)
        if not target:
            return
        for service in scattered:
            other = self._fleet.choose_in(target, service, typical_latency)
            if other is not None and self._is_comparable(
                chosen_by_service[service], other, typical_latency
            ):
                chosen_by_service[service] = other

    def _target_zone(self, zones: abc.Mapping[str, int]) -> str:
        """Return the most chosen zone that has an aggregator, or an empty string."""
        candidates = [zone for zone in zones if self._delegation.has_aggregator(zone)]
        return max(candidates, key=lambda zone: zones[zone], default="")

    def _is_comparable(
        self,
        chosen: upstreams.Upstream,
        other: upstreams.Upstream,
        typical_latency: float,
    ) -> bool:
        """Return whether an upstream may replace the one that was chosen.

        It has to run the same version and to be about as fast.
        """
        if chosen.entry.version != other.entry.version:
            return False
        expected = self._fleet.expected_latency(chosen, typical_latency)
        limit = expected * (1.0 + MAX_EXTRA_SHARE) + MAX_EXTRA_S
        return self._fleet.expected_latency(other, typical_latency) <= limit


def _zone_of(upstream: upstreams.Upstream) -> str:
    return upstream.entry.availability_zone
