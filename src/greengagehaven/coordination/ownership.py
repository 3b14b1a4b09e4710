"""Which entry host gathers the work for an upstream.

An upstream of today has 2 slots and 9 entry hosts. No division of 2 among 9
keeps every host supplied, and hosts that do not see each other's requests
overrun the slots together. One owner counts exactly. It is a host of the
upstream's own availability zone while one lives there, so that a partition
between zones cuts off no upstream from its owner.
"""

from collections import abc

from greengagehaven.coordination import rendezvous
from greengagehaven.protocol import upstream


class Ownership:
    """Owner of each upstream, from the live entry hosts.

    :param host_id: this host; it counts as live always.
    :param zone: its availability zone.
    :param enabled: off, this host takes itself for the owner of all upstreams.
    """

    def __init__(self, *, host_id: str, zone: str, enabled: bool = True) -> None:
        self._host_id = host_id
        self._zone = zone
        self._enabled = enabled
        self._zones_by_host_id = {host_id: zone}
        self._host_ids_by_zone: dict[str, list[str]] = {zone: [host_id]}
        self._owners_by_upstream: dict[tuple[str, str], str] = {}

    @property
    def host_ids(self) -> abc.Collection[str]:
        """Return the live entry hosts, this one included."""
        return self._zones_by_host_id.keys()

    @property
    def zones_by_host_id(self) -> abc.Mapping[str, str]:
        """Return the live entry hosts and their availability zones."""
        return self._zones_by_host_id

    def set_hosts(self, zones_by_host_id: abc.Mapping[str, str]) -> None:
        """Take in the live entry hosts."""
        self._zones_by_host_id = {**zones_by_host_id, self._host_id: self._zone}
        self._host_ids_by_zone.clear()
        for host_id, zone in self._zones_by_host_id.items():
            self._host_ids_by_zone.setdefault(zone, []).append(host_id)
        self._owners_by_upstream.clear()

    def owner_of(self, announcement: upstream.Announcement) -> str:
        """Return the id of the host that sends to an upstream."""
        if not self._enabled:
            return self._host_id
        zone = announcement.availability_zone
        key = (announcement.id, zone)
        owner = self._owners_by_upstream.get(key)
        if owner is None:
            in_zone = self._host_ids_by_zone.get(zone)
            candidates = in_zone or list(self._zones_by_host_id)
            owner = rendezvous.pick(announcement.id, candidates)
            self._owners_by_upstream[key] = owner
        return owner

    def is_mine(self, announcement: upstream.Announcement) -> bool:
        """Tell whether this host sends to an upstream itself."""
        return self.owner_of(announcement) == self._host_id
