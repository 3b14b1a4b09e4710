"""Upstream records, and which of them the query path may use."""

import dataclasses
import datetime
from collections import abc

from greengagehaven.coordination.membership import digests
from greengagehaven.protocol import membership
from greengagehaven.state import directory

MAX_TOMBSTONES = 20_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Retention:
    """How long records that are no longer in use are kept.

    A tombstone must outlive every live copy of an older record, so ``stale`` is
    shorter than ``tombstones`` by far more than a message can be in transit.

    :param tombstones: for upstreams that are gone.
    :param stale: for upstreams of a zone that no longer confirms them.
    """

    tombstones: datetime.timedelta = datetime.timedelta(hours=2)
    stale: datetime.timedelta = datetime.timedelta(minutes=75)


class UpstreamTable:
    """Upstream records by id, tombstones included.

    Upstreams that may receive work from this host are also in the directory. Other
    live records are withheld: known, but not confirmed at the moment.

    :param served: the directory that the query path reads.
    :param zone_digests: digests that are updated with the records.
    :param retention: how long tombstones are kept.
    """

    def __init__(
        self,
        *,
        served: directory.Directory,
        zone_digests: digests.ZoneDigests,
        retention: Retention,
    ) -> None:
        self._tombstone_retention_s = retention.tombstones.total_seconds()
        self._served = served
        self._digests = zone_digests
        self._records_by_id: dict[str, membership.UpstreamRecord] = {}
        self._ids_by_zone: dict[str, set[str]] = {}
        self._gone_at_by_id: dict[str, float] = {}
        self._changed_ids: set[str] = set()

    @property
    def records_by_id(self) -> abc.Mapping[str, membership.UpstreamRecord]:
        """Return all records, tombstones included."""
        return self._records_by_id

    def get(self, upstream_id: str) -> membership.UpstreamRecord | None:
        """Return the record of an upstream, ``None`` if it is unknown."""
        return self._records_by_id.get(upstream_id)

    def live_ids(self, zone: str) -> abc.Set[str]:
        """Return the ids of the live upstreams whose leases a zone keeps."""
        return self._ids_by_zone.get(zone, frozenset())

    def ids_with_tombstones(self, zone: str) -> list[str]:
        """Return the ids of a zone's upstreams, live ones and tombstones."""
        gone = [
            upstream_id
            for upstream_id in self._gone_at_by_id
            if self._records_by_id[upstream_id].zone == zone
        ]
        return [*self.live_ids(zone), *gone]

    def gone_since(self, upstream_id: str) -> float | None:
        """Return when a tombstone was stored, ``None`` if there is none.

        The time is in monotonic seconds.
        """
        return self._gone_at_by_id.get(upstream_id)

    @property
    def tombstone_count(self) -> int:
        """Return the number of tombstones."""
        return len(self._gone_at_by_id)

    @property
    def served_count(self) -> int:
        """Return the number of upstreams that the query path may use."""
        return len(self._served.upstreams_by_id)

    def is_newer(self, record: membership.UpstreamRecord) -> bool:
        """Return whether a record is newer than the current one."""
        current = self._records_by_id.get(record.id)
        return current is None or record.version > current.version

    def put(self, record: membership.UpstreamRecord, *, now: float) -> None:
        """Store or replace the record of an upstream, without serving it.

        :param now: monotonic seconds.
        """
        current = self._records_by_id.get(record.id)
        record = membership.share_values(record)
        if current is not None and not current.is_gone:
            self._unindex(current)
        self._gone_at_by_id.pop(record.id, None)
        self._records_by_id[record.id] = record
        if record.is_gone:
            self._gone_at_by_id[record.id] = now
            self.withhold(record.id)
            self._limit_tombstones()
        else:
            self._ids_by_zone.setdefault(record.zone, set()).add(record.id)
            self._digests.toggle(record.zone, record.id, _token(record))

    def drop(self, upstream_id: str) -> None:
        """Remove an upstream without leaving a tombstone."""
        record = self._records_by_id.pop(upstream_id)
        self._gone_at_by_id.pop(upstream_id, None)
        if not record.is_gone:
            self._unindex(record)
            self.withhold(upstream_id)

    def serve(self, upstream_id: str) -> None:
        """Add or update an upstream in the directory of the query path."""
        record = self._records_by_id[upstream_id]
        if self._served.apply_record(record):
            self._changed_ids.add(upstream_id)

    def withhold(self, upstream_id: str) -> None:
        """Remove an upstream from the directory of the query path."""
        if self._served.remove_without_tombstone(upstream_id):
            self._changed_ids.add(upstream_id)

    def is_served(self, upstream_id: str) -> bool:
        """Return whether the query path may use an upstream."""
        return upstream_id in self._served.upstreams_by_id

    def take_changed(self) -> frozenset[str]:
        """Return and clear the ids whose directory entries changed."""
        changed = frozenset(self._changed_ids)
        self._changed_ids.clear()
        return changed

    def purge_gone(self, now: float) -> None:
        """Remove expired tombstones."""
        for upstream_id, gone_at in list(self._gone_at_by_id.items()):
            if now - gone_at <= self._tombstone_retention_s:
                break
            self.drop(upstream_id)

    def _limit_tombstones(self) -> None:
        while len(self._gone_at_by_id) > MAX_TOMBSTONES:
            self.drop(next(iter(self._gone_at_by_id)))

    def _unindex(self, record: membership.UpstreamRecord) -> None:
        self._ids_by_zone[record.zone].discard(record.id)
        self._digests.toggle(record.zone, record.id, _token(record))


def _token(record: membership.UpstreamRecord) -> str:
    return f"upstream {record.id} {record.incarnation} {record.sequence}"
