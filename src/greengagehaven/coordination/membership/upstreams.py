"""What this host knows of all upstreams, and which of them it may use."""

import dataclasses
import datetime
from collections import abc

from greengagehaven.coordination.membership import digests
from greengagehaven.protocol import membership
from greengagehaven.state import directory

MAX_TOMBSTONES = 20_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Retention:
    """How long news that is no longer good for use is kept.

    A tombstone has to outlive every live copy of older news, so ``stale`` is
    shorter than ``tombstones`` by far more than a message can be under way.

    :param tombstones: for upstreams that are gone.
    :param stale: for upstreams of a zone that does not vouch for them.
    """

    tombstones: datetime.timedelta = datetime.timedelta(hours=2)
    stale: datetime.timedelta = datetime.timedelta(minutes=75)


class UpstreamTable:
    """Records of upstreams by id, tombstones included.

    Records that may get work from here are in the directory as well; the rest
    is withheld: known, but not vouched for at this moment.

    :param served: the directory that the query path reads.
    :param zone_digests: digests to keep in step with the records.
    :param retention: how long tombstones are kept.
    """

    def __init__(
        self,
        *,
        served: directory.Directory,
        zone_digests: digests.ZoneDigests,
        retention: Retention,
    ) -> None:
        self._kept_s = retention.tombstones.total_seconds()
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
        """Return the record of an upstream, ``None`` where it is not known."""
        return self._records_by_id.get(upstream_id)

    def live_ids(self, zone: str) -> abc.Set[str]:
        """Return ids of the live upstreams whose lease a zone keeps."""
        return self._ids_by_zone.get(zone, frozenset())

    def ids_of(self, zone: str) -> list[str]:
        """Return ids of a zone's upstreams, live ones and tombstones."""
        gone = [
            upstream_id
            for upstream_id in self._gone_at_by_id
            if self._records_by_id[upstream_id].zone == zone
        ]
        return [*self.live_ids(zone), *gone]

    def gone_since(self, upstream_id: str) -> float | None:
        """Return when a tombstone was taken in, ``None`` where there is none."""
        return self._gone_at_by_id.get(upstream_id)

    @property
    def tombstone_count(self) -> int:
        """Return the number of tombstones."""
        return len(self._gone_at_by_id)

    @property
    def served_count(self) -> int:
        """Return the number of upstreams that the query path may use."""
        return len(self._served.upstreams_by_id)

    def is_news(self, record: membership.UpstreamRecord) -> bool:
        """Tell whether a record is newer than what is known."""
        known = self._records_by_id.get(record.id)
        return known is None or record.version > known.version

    def put(self, record: membership.UpstreamRecord, *, now: float) -> None:
        """Replace the record of an upstream; it is not served by this alone.

        :param now: monotonic seconds.
        """
        known = self._records_by_id.get(record.id)
        record = membership.compact(record)
        if known is not None and not known.is_gone:
            self._unindex(known)
        self._gone_at_by_id.pop(record.id, None)
        self._records_by_id[record.id] = record
        if record.is_gone:
            self._gone_at_by_id[record.id] = now
            self.withhold(record.id)
            self._bound_tombstones()
        else:
            self._ids_by_zone.setdefault(record.zone, set()).add(record.id)
            self._digests.toggle(record.zone, record.id, _token(record))

    def drop(self, upstream_id: str) -> None:
        """Forget an upstream without a tombstone."""
        record = self._records_by_id.pop(upstream_id)
        self._gone_at_by_id.pop(upstream_id, None)
        if not record.is_gone:
            self._unindex(record)
            self.withhold(upstream_id)

    def serve(self, upstream_id: str) -> None:
        """Let the query path use an upstream, as its record says."""
        record = self._records_by_id[upstream_id]
        if self._served.put_record(record):
            self._changed_ids.add(upstream_id)

    def withhold(self, upstream_id: str) -> None:
        """Keep the query path from using an upstream."""
        if self._served.remove(upstream_id):
            self._changed_ids.add(upstream_id)

    def is_served(self, upstream_id: str) -> bool:
        """Tell whether the query path may use an upstream."""
        return upstream_id in self._served.upstreams_by_id

    def take_changed(self) -> frozenset[str]:
        """Return what changed for the query path since the last call."""
        changed = frozenset(self._changed_ids)
        self._changed_ids.clear()
        return changed

    def forget_gone(self, now: float) -> None:
        """Drop tombstones that no late news can outlive."""
        for upstream_id, gone_at in list(self._gone_at_by_id.items()):
            if now - gone_at <= self._kept_s:
                break
            self.drop(upstream_id)

    def _bound_tombstones(self) -> None:
        while len(self._gone_at_by_id) > MAX_TOMBSTONES:
            self.drop(next(iter(self._gone_at_by_id)))

    def _unindex(self, record: membership.UpstreamRecord) -> None:
        self._ids_by_zone[record.zone].discard(record.id)
        self._digests.toggle(record.zone, record.id, _token(record))


def _token(record: membership.UpstreamRecord) -> str:
    return f"upstream {record.id} {record.incarnation} {record.sequence}"
