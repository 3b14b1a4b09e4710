"""Assignment of each upstream to one owning entry host.

A typical upstream has 2 slots and is used by 9 entry hosts. Two slots cannot be
divided among nine hosts without starving some of them, and hosts that do not
see each other's requests would exceed the slots together. A single owner knows
the exact number of requests in flight. The owner is a host of the upstream's own
availability zone while one is alive there, so that a partition between zones
does not separate an upstream from its owner.
"""

from collections import abc

from greengagehaven.coordination import rendezvous
from greengagehaven.protocol import upstream


class Ownership:
    """Chooses the owner of each upstream among the live entry hosts.

    :param host_id: id of this host, which always counts as live.
    :param zone: availability zone of this host.
    :param enabled: if false, this host owns all upstreams.
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
        """Return the ids of the live entry hosts, including this one."""
        return self._zones_by_host_id.keys()

    @property
    def zones_by_host_id(self) -> abc.Mapping[str, str]:
        """Return the availability zone of each live entry host, including this one."""
        return self._zones_by_host_id

    def set_hosts(self, zones_by_host_id: abc.Mapping[str, str]) -> None:
        """Replace the set of live entry hosts."""
        self._zones_by_host_id = {**zones_by_host_id, self._host_id: self._zone}
        self._host_ids_by_zone.clear()
        for host_id, zone in self._zones_by_host_id.items():
            self._host_ids_by_zone.setdefault(zone, []).append(host_id)
        self._owners_by_upstream.clear()

    def owner_of(self, announcement: upstream.Announcement) -> str:
        """Return the id of the host that owns an upstream."""
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

    def is_owned_here(self, announcement: upstream.Announcement) -> bool:
        """Return whether this host owns an upstream."""
        return self.owner_of(announcement) == self._host_id
