"""Host records."""

from collections import abc

from greengagehaven.coordination.membership import digests, rings
from greengagehaven.protocol import membership

# The record of a host that is gone must be kept longer than any copy of an older
# record that says it is alive may be in circulation.
GONE_RETENTION_S = 7200.0


class HostTable:
    """Host records by id, including this host's.

    :param own: the initial record of this host.
    :param zone_digests: digests that are updated with the records.
    """

    def __init__(
        self, *, own: membership.HostRecord, zone_digests: digests.ZoneDigests
    ) -> None:
        self._own_id = own.id
        self._digests = zone_digests
        self._records_by_id: dict[str, membership.HostRecord] = {}
        self._changed_at_by_id: dict[str, float] = {}
        self._live_ids_by_zone: dict[str, set[str]] = {}
        self.revision = 0
        self.put(own, now=0.0)

    @property
    def own(self) -> membership.HostRecord:
        """Return this host's record."""
        return self._records_by_id[self._own_id]

    @property
    def records_by_id(self) -> abc.Mapping[str, membership.HostRecord]:
        """Return all records, including those of dead hosts and of hosts that left."""
        return self._records_by_id

    def get(self, host_id: str) -> membership.HostRecord | None:
        """Return the record of a host, ``None`` if it is unknown."""
        return self._records_by_id.get(host_id)

    def live_ids(self, zone: str) -> abc.Set[str]:
        """Return the ids of the live hosts of a zone."""
        return self._live_ids_by_zone.get(zone, frozenset())

    def others(self, zone: str) -> list[membership.HostRecord]:
        """Return the live hosts of a zone except this one, sorted by id."""
        ids = sorted(self.live_ids(zone) - {self._own_id})
        return [self._records_by_id[host_id] for host_id in ids]

    def partner_ids(self, zone: str) -> list[str]:
        """Return the ids of the live hosts of a zone that this host regularly contacts.

        In its own zone these are the hosts that it probes.
        """
        live = self.live_ids(zone)
        own = self._records_by_id[self._own_id]
        if zone == own.zone:
            return rings.targets_of(self._own_id, live)
        return rings.partners_of(self._own_id, live)

    @property
    def zones(self) -> list[str]:
        """Return the zones that have a live host, sorted."""
        return sorted(zone for zone, ids in self._live_ids_by_zone.items() if ids)

    def is_newer(self, record: membership.HostRecord) -> bool:
        """Return whether a record is newer than the current one."""
        current = self._records_by_id.get(record.id)
        return current is None or record.version > current.version

    def put(self, record: membership.HostRecord, *, now: float) -> None:
        """Store or replace the record of a host.

        :param now: monotonic seconds.
        """
        current = self._records_by_id.get(record.id)
        if current is not None and current.is_live:
            self._live_ids_by_zone[current.zone].discard(current.id)
            self._digests.toggle(current.zone, current.id, _token(current))
        if record.is_live:
            self._live_ids_by_zone.setdefault(record.zone, set()).add(record.id)
            self._digests.toggle(record.zone, record.id, _token(record))
        self._records_by_id[record.id] = record
        self._changed_at_by_id[record.id] = now
        self.revision += 1

    def dead_hosts(self) -> list[membership.HostRecord]:
        """Return the hosts that were declared dead, without those that left."""
        return [
            record
            for record in self._records_by_id.values()
            if record.status is membership.HostStatus.DEAD
        ]

    def purge_gone(self, now: float) -> None:
        """Remove records of hosts that have been gone for ``GONE_RETENTION_S``."""
        for host_id, record in list(self._records_by_id.items()):
            age = now - self._changed_at_by_id[host_id]
            if (
                not record.is_live
                and age > GONE_RETENTION_S
                and host_id != self._own_id
            ):
                del self._records_by_id[host_id]
                del self._changed_at_by_id[host_id]


def _token(record: membership.HostRecord) -> str:
    return f"host {record.id} {record.incarnation}"
