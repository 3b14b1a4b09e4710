"""Upstream leases: evaluating announcements, renewing and expiring."""

import dataclasses

import msgspec.structs

from greengagehaven import exceptions
from greengagehaven.coordination.membership import announcement_history, cluster_view
from greengagehaven.protocol import membership, upstream

# Seconds for which an upstream's announcement is valid.
LEASE_S = 3.0
RENEW_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """A valid announcement.

    :param record: the upstream record that results from it.
    :param is_change: whether the record differs from the current one.
    """

    record: membership.UpstreamRecord
    is_change: bool


class Leases:
    """Evaluates announcements and tracks the leases of upstreams homed here.

    :param view: this host's view of the cluster.
    :param lease: seconds for which an announcement is valid.
    """

    def __init__(
        self, *, view: cluster_view.ClusterView, lease: float = LEASE_S
    ) -> None:
        self._view = view
        self._lease_s = lease
        self._announcement_history = announcement_history.AnnouncementHistory()

    def evaluate_announcement(
        self, announcement: upstream.Announcement, now: float
    ) -> Accepted | None:
        """Return the record of an announcement, ``None`` if it is out of date.

        :param now: monotonic seconds.
        :raises UpstreamConflictError: another upstream holds the id.
        """
        current = self._view.upstreams.get(announcement.id)
        incarnation = self._effective_incarnation(announcement, current, now)
        if incarnation is None:
            return None
        zone = self._choose_zone(announcement, current, now)
        record = membership.record_of(announcement, incarnation=incarnation, zone=zone)
        if current is None:
            return Accepted(record=record, is_change=True)
        order = (record.incarnation, record.sequence)
        if order < (current.incarnation, current.sequence):
            return None
        if current.is_gone and record.version <= current.version:
            return None
        _check_address(announcement, current)
        is_change = current.is_gone or _content(record) != _content(current)
        if is_change and record.version <= current.version:
            return None
        return Accepted(record=record, is_change=is_change)

    def renew(self, renewal: membership.Renewal, now: float) -> bool:
        """Extend a lease; return whether the renewal was accepted.

        A renewal whose sequence did not increase is accepted as well. A delayed
        duplicate therefore extends the lease, but by less than one lease duration.
        """
        record = self._view.upstreams.get(renewal.id)
        if record is None or record.is_gone:
            return False
        if renewal.incarnation != record.incarnation:
            return False
        lease = self._view.leases_by_id.get(renewal.id)
        order = (renewal.incarnation, renewal.sequence)
        if lease is not None and lease.is_renewed and order < lease.order:
            return False
        # Reinserted at the end, so that the dict stays ordered by expiry.
        self._view.leases_by_id.pop(renewal.id, None)
        self._view.leases_by_id[renewal.id] = cluster_view.Lease(
            incarnation=renewal.incarnation,
            sequence=renewal.sequence,
            base=renewal.base,
            renewed_at=now,
            is_renewed=True,
        )
        self._view.lapsed_ids.discard(renewal.id)
        return True

    def adopt_missing(self, now: float) -> None:
        """Start leases for upstreams homed here that have none yet."""
        own_id = self._view.hosts.own.id
        for upstream_id in self._view.homes.upstreams_of(own_id):
            if upstream_id not in self._view.leases_by_id:
                self.adopt(upstream_id, now)

    def adopt(self, upstream_id: str, now: float) -> None:
        """Start a lease for an upstream homed here, based on its current record.

        The lease doesn't count as renewed until this host receives a renewal. Nothing
        is done if the lease lapsed or already covers the record.
        """
        record = self._view.upstreams.get(upstream_id)
        own_id = self._view.hosts.own.id
        if record is None or self._view.homes.home_host_id(upstream_id) != own_id:
            return
        leases_by_id = self._view.leases_by_id
        lease = leases_by_id.get(upstream_id)
        if upstream_id in self._view.lapsed_ids:
            return
        if lease is not None and lease.order >= (record.incarnation, record.sequence):
            return
        leases_by_id.pop(upstream_id, None)
        leases_by_id[upstream_id] = cluster_view.Lease(
            incarnation=record.incarnation,
            sequence=record.sequence,
            base=record.sequence,
            renewed_at=now,
            is_renewed=False,
        )

    def expire(self, now: float) -> list[membership.UpstreamRecord]:
        """Remove expired leases; return the tombstones to gossip.

        Without recent messages from this zone, an upstream is marked as lapsed instead.
        """
        tombstones = []
        leases_by_id = self._view.leases_by_id
        while leases_by_id:
            upstream_id, lease = next(iter(leases_by_id.items()))
            if now - lease.renewed_at <= self._lease_s:
                break
            del leases_by_id[upstream_id]
            tombstone = self._expire_lease(upstream_id, lease, now)
            if tombstone is not None:
                tombstones.append(tombstone)
            self._view.update_serving(upstream_id, now)
        return tombstones

    def retry_lapsed(self, now: float) -> None:
        """Restart lapsed leases once this host receives messages from its zone again.

        While it was partitioned it could not know whether other hosts received
        renewals.
        """
        if not self._view.has_recent_zone_contact(now):
            return
        lapsed = list(self._view.lapsed_ids)
        self._view.lapsed_ids.clear()
        self.adopt_missing(now)
        for upstream_id in lapsed:
            self._view.update_serving(upstream_id, now)

    def refute(
        self, record: membership.UpstreamRecord, now: float
    ) -> membership.UpstreamRecord | None:
        """Return the record that refutes an older one, ``None`` if none is needed.

        A host that was partitioned, or an entry host with a delayed announcement, may
        gossip a record that a valid lease on this host shows to be out of date.
        """
        current = self._view.upstreams.get(record.id)
        lease = self._view.leases_by_id.get(record.id)
        if current is None or current.is_gone or lease is None or not lease.is_renewed:
            return None
        if now - lease.renewed_at > self._lease_s or lease.base != current.sequence:
            return None
        if lease.order <= (record.incarnation, record.sequence):
            return None
        return msgspec.structs.replace(current, sequence=lease.sequence)

    def withdraw(
        self, upstream_id: str, announced_incarnation: int
    ) -> membership.UpstreamRecord | None:
        """Return the tombstone of an upstream that withdraws its announcement.

        :return: ``None`` if a newer incarnation is known.
        """
        current = self._view.upstreams.get(upstream_id)
        if (
            current is not None
            and announced_incarnation < current.announced_incarnation
        ):
            return None
        incarnation = announced_incarnation
        if current is not None:
            incarnation = max(incarnation, current.incarnation)
        return membership.UpstreamRecord(
            id=upstream_id,
            incarnation=incarnation,
            sequence=membership.MAX_SEQUENCE,
            announced_incarnation=announced_incarnation,
            zone=self._view.own_zone if current is None else current.zone,
            is_gone=True,
        )

    def _expire_lease(
        self, upstream_id: str, lease: cluster_view.Lease, now: float
    ) -> membership.UpstreamRecord | None:
        own_id = self._view.hosts.own.id
        record = self._view.upstreams.get(upstream_id)
        if record is None or self._view.homes.home_host_id(upstream_id) != own_id:
            return None
        if not self._view.has_recent_zone_contact(now):
            self._view.lapsed_ids.add(upstream_id)
            return None
        return membership.UpstreamRecord(
            id=upstream_id,
            incarnation=record.incarnation,
            sequence=max(record.sequence, lease.sequence),
            announced_incarnation=record.announced_incarnation,
            zone=record.zone,
            is_gone=True,
        )

    def _choose_zone(
        self,
        announcement: upstream.Announcement,
        current: membership.UpstreamRecord | None,
        now: float,
    ) -> str:
        """Return the zone whose hosts keep the lease.

        That is the announced zone, or else the zone that keeps it now, provided that
        the zone has live hosts and is fresh. If neither qualifies, this host's zone
        takes the lease over. For a live upstream it does so only once upstreams of the
        announced zone have kept announcing here for a while.
        """
        announced_zone = announcement.availability_zone
        is_lasting = self._announcement_history.record_and_check_lasting(
            announced_zone, now
        )
        candidates = [announced_zone]
        if current is not None and not current.is_gone:
            candidates.append(current.zone)
        for zone in candidates:
            if self._view.hosts.live_ids(zone) and (
                zone == self._view.own_zone or self._view.is_fresh(zone, now)
            ):
                return zone
        if current is not None and not current.is_gone and not is_lasting:
            return current.zone
        return self._view.own_zone

    def _effective_incarnation(
        self,
        announcement: upstream.Announcement,
        current: membership.UpstreamRecord | None,
        now: float,
    ) -> int | None:
        if current is None:
            return announcement.incarnation
        if announcement.incarnation == current.announced_incarnation:
            return current.incarnation
        if announcement.incarnation > current.announced_incarnation:
            return max(announcement.incarnation, current.incarnation + 1)
        if not current.is_gone:
            raise exceptions.UpstreamConflictError(
                f"id {announcement.id} is held by incarnation "
                f"{current.announced_incarnation}, got {announcement.incarnation}",
                known_address=membership.decode_announcement(current).address,
            )
        if self._is_alive_again(announcement, now):
            return current.incarnation + 1
        return None

    def _is_alive_again(self, announcement: upstream.Announcement, now: float) -> bool:
        gone_since = self._view.upstreams.gone_since(announcement.id)
        if gone_since is None or now - gone_since < self._lease_s:
            return False
        return self._announcement_history.record_and_check_alive(announcement, now)


def _check_address(
    announcement: upstream.Announcement, current: membership.UpstreamRecord
) -> None:
    if current.is_gone or announcement.incarnation != current.announced_incarnation:
        return
    address = membership.decode_announcement(current).address
    if address != announcement.address:
        raise exceptions.UpstreamConflictError(
            f"id {announcement.id} is held by {address}, got {announcement.address}",
            known_address=address,
        )


def _content(record: membership.UpstreamRecord) -> tuple[int, str, bytes]:
    return (record.incarnation, record.zone, record.body)
