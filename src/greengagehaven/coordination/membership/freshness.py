"""Age of this host's view of each zone.

A host of a zone confirms its current digest with age 0. The age is sent along
with the digest. A receiver that has the same digest, or that has just
synchronized every difference, adopts the age. So a zone that is cut off becomes
stale on all other hosts, an indirect path through a third zone keeps it fresh,
and a host that is partitioned within its own zone detects that as well.
"""

import math

ZONE_CONFIRMATION_TTL_S = 3.0
# A host reports its own view as the zone's for this long after it last had the
# same view as a peer of its zone.
OWN_ZONE_CONFIRMATION_TTL_S = 1.0
MAX_AGE_S = 86_400.0
# A confirmation takes about log2(hosts) probe periods to spread through a zone.
_TTL_PER_DOUBLING_S = 0.5
_MAX_SMALL_ZONE_HOSTS = 8


class ZoneAges:
    """Tracks when each zone last confirmed this host's view of it.

    :param own_zone: this host's zone, which its other hosts confirm.
    """

    def __init__(self, *, own_zone: str) -> None:
        self._own_zone = own_zone
        self._confirmed_at_by_zone: dict[str, float] = {}

    def age(self, zone: str, now: float, *, host_count: int) -> float:
        """Return the seconds since a host of the zone had this host's view of it.

        Infinite if none ever had; 0 for the own zone while it has no other live host.

        :param host_count: number of live hosts of the zone, this one included.
        """
        if zone == self._own_zone and host_count <= 1:
            return 0.0
        return now - self._confirmed_at_by_zone.get(zone, -math.inf)

    def is_fresh(self, zone: str, now: float, *, host_count: int) -> bool:
        """Return whether this host may send new work to a zone's upstreams.

        :param host_count: number of live hosts of the zone; gossip takes longer in
            large zones.
        """
        return self.age(zone, now, host_count=host_count) <= confirmation_ttl(
            host_count
        )

    def reported_age_ms(self, zone: str, now: float, *, host_count: int) -> int:
        """Return the age to report to others, in milliseconds.

        A host reports age 0 for its own zone, unless it has lost contact with the rest
        of the zone and may have missed changes.
        """
        age = self.age(zone, now, host_count=host_count)
        if zone == self._own_zone and age <= OWN_ZONE_CONFIRMATION_TTL_S:
            return 0
        return int(min(age, MAX_AGE_S) * 1000)

    def confirm(self, zone: str, confirmed_at: float) -> None:
        """Record that a zone had this host's view of it at ``confirmed_at``.

        :param confirmed_at: monotonic seconds; older than the last one is ignored.
        """
        previous = self._confirmed_at_by_zone.get(zone, -math.inf)
        self._confirmed_at_by_zone[zone] = max(previous, confirmed_at)


def confirmation_ttl(host_count: int) -> float:
    """Return the seconds for which a confirmation is valid.

    :param host_count: number of live hosts of the zone.
    """
    if host_count <= _MAX_SMALL_ZONE_HOSTS:
        return ZONE_CONFIRMATION_TTL_S
    return ZONE_CONFIRMATION_TTL_S + _TTL_PER_DOUBLING_S * math.log2(
        host_count / _MAX_SMALL_ZONE_HOSTS
    )
