"""What this host knows of all hosts."""

from collections import abc

from greengagehaven.coordination.membership import digests, rings
from greengagehaven.protocol import membership

# A record of a host that is gone has to outlive every copy of the older news
# that it was alive.
GONE_KEPT_S = 7200.0


class HostTable:
    """Records of hosts by id, this one included.

    :param own: the first record of this host.
    :param zone_digests: digests to keep in step with the records.
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
        """Return all records, those of hosts that are gone included."""
        return self._records_by_id

    def get(self, host_id: str) -> membership.HostRecord | None:
        """Return the record of a host, ``None`` where it is not known."""
        return self._records_by_id.get(host_id)

    def live_ids(self, zone: str) -> abc.Set[str]:
        """Return ids of the live hosts of a zone."""
        return self._live_ids_by_zone.get(zone, frozenset())

    def others(self, zone: str) -> list[membership.HostRecord]:
        """Return the live hosts of a zone without this one, in a fixed order."""
        ids = sorted(self.live_ids(zone) - {self._own_id})
        return [self._records_by_id[host_id] for host_id in ids]

    def partner_ids(self, zone: str) -> list[str]:
        """Return the live hosts of a zone that this one keeps in touch with."""
        live = self.live_ids(zone)
        own = self._records_by_id[self._own_id]
        if zone == own.zone:
            return rings.targets_of(self._own_id, live)
        return rings.partners_of(self._own_id, live)

    @property
    def zones(self) -> list[str]:
        """Return zones that have a live host, in a fixed order."""
        return sorted(zone for zone, ids in self._live_ids_by_zone.items() if ids)

    def is_news(self, record: membership.HostRecord) -> bool:
        """Tell whether a record is newer than what is known."""
        known = self._records_by_id.get(record.id)
        return known is None or record.version > known.version

    def put(self, record: membership.HostRecord, *, now: float) -> None:
        """Replace the record of a host.

        :param now: monotonic seconds.
        """
        known = self._records_by_id.get(record.id)
        if known is not None and known.is_live:
            self._live_ids_by_zone[known.zone].discard(known.id)
            self._digests.toggle(known.zone, known.id, _token(known))
        if record.is_live:
            self._live_ids_by_zone.setdefault(record.zone, set()).add(record.id)
            self._digests.toggle(record.zone, record.id, _token(record))
        self._records_by_id[record.id] = record
        self._changed_at_by_id[record.id] = now
        self.revision += 1

    def silent(self) -> list[membership.HostRecord]:
        """Return hosts that fell silent without leaving."""
        return [
            record
            for record in self._records_by_id.values()
            if record.status is membership.HostStatus.DEAD
        ]

    def forget_gone(self, now: float) -> None:
        """Drop records of hosts that have been gone for long."""
        for host_id, record in list(self._records_by_id.items()):
            age = now - self._changed_at_by_id[host_id]
            if not record.is_live and age > GONE_KEPT_S and host_id != self._own_id:
                del self._records_by_id[host_id]
                del self._changed_at_by_id[host_id]


def _token(record: membership.HostRecord) -> str:
    return f"host {record.id} {record.incarnation}"
