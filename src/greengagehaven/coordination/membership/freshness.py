"""How old this host's knowledge of each zone is.

A host of a zone vouches for the zone's digest at this moment. The age of that
word travels with the digest; whoever holds the same digest, or has just made
up every difference, takes over the age. So a zone that is cut off grows stale
everywhere else, a path over a third zone keeps it fresh, and a host that is cut
off inside its own zone notices as well.
"""

import math

ZONE_LEASE_S = 3.0
# For this long after it last agreed with a peer of its zone, a host takes its
# own word for the zone's.
OWN_WORD_S = 1.0
MAX_AGE_S = 86_400.0
# A word takes about log2(hosts) probes to spread through a zone.
_SPREAD_S = 0.5
_SMALL_ZONE = 8


class ZoneAges:
    """When each zone last vouched for what this host knows of it.

    :param own_zone: this host's zone; the other hosts of it vouch for it.
    """

    def __init__(self, *, own_zone: str) -> None:
        self._own_zone = own_zone
        self._vouched_at_by_zone: dict[str, float] = {}

    def age(self, zone: str, now: float, *, hosts: int) -> float:
        """Return seconds since a host of the zone held just what is known here.

        :param hosts: live hosts of the zone, this one included.
        """
        if zone == self._own_zone and hosts <= 1:
            return 0.0
        return now - self._vouched_at_by_zone.get(zone, -math.inf)

    def is_fresh(self, zone: str, now: float, *, hosts: int) -> bool:
        """Tell whether upstreams of a zone may get new work from here.

        :param hosts: live hosts of the zone; news needs longer in large ones.
        """
        return self.age(zone, now, hosts=hosts) <= lease(hosts)

    def mark_age_ms(self, zone: str, now: float, *, hosts: int) -> int:
        """Return the age to tell others, in milliseconds.

        A host vouches for its own zone with age 0, unless it is cut off from
        the rest of the zone and may have missed something.
        """
        age = self.age(zone, now, hosts=hosts)
        if zone == self._own_zone and age <= OWN_WORD_S:
            return 0
        return int(min(age, MAX_AGE_S) * 1000)

    def vouch(self, zone: str, vouched_at: float) -> None:
        """Take in that a zone held at ``vouched_at`` what is known here."""
        known = self._vouched_at_by_zone.get(zone, -math.inf)
        self._vouched_at_by_zone[zone] = max(known, vouched_at)


def lease(hosts: int) -> float:
    """Return seconds for which a zone's word holds, by its number of hosts."""
    if hosts <= _SMALL_ZONE:
        return ZONE_LEASE_S
    return ZONE_LEASE_S + _SPREAD_S * math.log2(hosts / _SMALL_ZONE)
