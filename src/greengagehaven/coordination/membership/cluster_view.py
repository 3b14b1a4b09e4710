"""This host's view of the cluster: hosts, upstreams, their digests and ages."""

import dataclasses
import math

from greengagehaven.coordination.membership import (
    digests,
    freshness,
    homes,
    hosts,
    upstreams,
)
from greengagehaven.protocol import membership
from greengagehaven.state import directory

# Shorter than an upstream's lease, so that a partitioned host notices the
# partition before leases expire whose renewals it can't receive.
CONTACT_TIMEOUT_S = 1.5


@dataclasses.dataclass(kw_only=True, slots=True)
class Lease:
    """The latest lease renewal of an upstream.

    :param base: sequence of the record whose content the renewal confirmed.
    :param renewed_at: when the lease was renewed or taken over, in monotonic
        seconds.
    :param is_renewed: whether a renewal was received; ``False`` if the lease was
        only taken over from another host.
    """

    incarnation: int
    sequence: int
    base: int
    renewed_at: float
    is_renewed: bool

    @property
    def order(self) -> tuple[int, int]:
        """Return (incarnation, sequence)."""
        return (self.incarnation, self.sequence)


class ClusterView:
    """Replicated state known to this host, and which upstreams are usable now.

    :param own: the initial record of this host.
    :param served: the directory that the query path reads.
    :param lease: seconds for which an upstream's announcement is valid.
    :param retention: how long tombstones and stale records are kept.
    """

    def __init__(
        self,
        *,
        own: membership.HostRecord,
        served: directory.Directory,
        lease: float,
        retention: upstreams.Retention,
    ) -> None:
        self.zone_digests = digests.ZoneDigests()
        self.hosts = hosts.HostTable(own=own, zone_digests=self.zone_digests)
        self.upstreams = upstreams.UpstreamTable(
            served=served, zone_digests=self.zone_digests, retention=retention
        )
        self.zone_ages = freshness.ZoneAges(own_zone=own.zone)
        self.homes = homes.HomeIndex()
        self.homes.add_host(own.id)
        self.leases_by_id: dict[str, Lease] = {}
        # Upstreams homed here whose leases expired while this host was cut off from its
        # zone. They get no tombstone, as other hosts may have received renewals.
        self.lapsed_ids: set[str] = set()
        self._own_zone = own.zone
        self._lease_s = lease
        self._stale_retention_s = retention.stale.total_seconds()
        self._fresh_by_zone: dict[str, bool] = {}
        self._zone_contact_at = -math.inf
        self._any_contact_at = -math.inf

    @property
    def own_zone(self) -> str:
        """Return this host's availability zone."""
        return self._own_zone

    def record_contact(self, sender: membership.HostRecord, now: float) -> None:
        """Record that a message from another host arrived."""
        self._any_contact_at = now
        if sender.zone == self._own_zone:
            self._zone_contact_at = now

    def has_recent_contact(self, now: float) -> bool:
        """Return whether a message from any other host arrived recently.

        A host that receives no messages is more likely partitioned from the others
        than the only one still running.
        """
        return now - self._any_contact_at <= CONTACT_TIMEOUT_S

    def has_recent_zone_contact(self, now: float) -> bool:
        """Return whether this zone's other hosts, if any, sent a message recently."""
        if len(self.hosts.live_ids(self._own_zone)) <= 1:
            return True
        return now - self._zone_contact_at <= CONTACT_TIMEOUT_S

    def put_host(self, record: membership.HostRecord, now: float) -> None:
        """Store a host record, which must be newer than the current one."""
        current = self.hosts.get(record.id)
        self.hosts.put(record, now=now)
        if current is not None and current.zone == self._own_zone != record.zone:
            self.homes.remove_host(record.id)
        if record.zone != self._own_zone:
            return
        if record.is_live:
            self.homes.add_host(record.id)
        else:
            self.homes.remove_host(record.id)

    def put_upstream(self, record: membership.UpstreamRecord, now: float) -> None:
        """Store an upstream record, which must be newer than the current one."""
        self.upstreams.put(record, now=now)
        self.lapsed_ids.discard(record.id)
        if record.zone == self._own_zone and not record.is_gone:
            self.homes.add_upstream(record.id)
        else:
            self.homes.remove_upstream(record.id)
        if record.is_gone:
            self.leases_by_id.pop(record.id, None)
        else:
            self.update_serving(record.id, now)

    def update_serving(self, upstream_id: str, now: float) -> None:
        """Serve or withhold an upstream, depending on its lease and zone."""
        record = self.upstreams.get(upstream_id)
        if record is None or record.is_gone:
            return
        if self._is_usable(record, now):
            self.upstreams.serve(upstream_id)
        else:
            self.upstreams.withhold(upstream_id)

    def zones_by_host_id(self, now: float) -> dict[str, str]:
        """Return the zone of each live host, for this zone and all fresh zones.

        Hosts of a zone that is cut off are left out, because an upstream that is still
        known through another zone needs an owner that can be reached. They return once
        the zone is confirmed again.
        """
        return {
            host_id: zone
            for zone in self.hosts.zones
            if zone == self._own_zone or self.is_fresh(zone, now)
            for host_id in sorted(self.hosts.live_ids(zone))
        }

    def refresh_zones(self, now: float) -> list[str]:
        """Serve or withhold the upstreams of each zone whose freshness changed.

        :return: the zones that changed.
        """
        changed = []
        for zone in self.zone_digests.zones:
            fresh = self.is_fresh(zone, now)
            if fresh == self._fresh_by_zone.get(zone, False):
                continue
            self._fresh_by_zone[zone] = fresh
            changed.append(zone)
            for upstream_id in list(self.upstreams.live_ids(zone)):
                self.update_serving(upstream_id, now)
        return changed

    def is_fresh(self, zone: str, now: float) -> bool:
        """Return whether this host's view of a zone was confirmed recently."""
        count = len(self.hosts.live_ids(zone))
        return self.zone_ages.is_fresh(zone, now, host_count=count)

    def drop_stale(self, now: float) -> None:
        """Drop upstreams of zones that were last confirmed too long ago.

        Tombstones elsewhere may have expired by then, so a host that kept these
        records would bring upstreams that have left back into the directory.
        """
        for zone in self.zone_digests.zones:
            count = len(self.hosts.live_ids(zone))
            if (
                self.zone_ages.age(zone, now, host_count=count)
                <= self._stale_retention_s
            ):
                continue
            for upstream_id in list(self.upstreams.live_ids(zone)):
                if not self._has_renewed_lease(upstream_id, now):
                    self.upstreams.drop(upstream_id)
                    self.homes.remove_upstream(upstream_id)

    def build_zone_digests(self, now: float) -> tuple[membership.ZoneDigest, ...]:
        """Return the digest and age of each zone, to send to other hosts."""
        return tuple(
            membership.ZoneDigest(
                zone=zone,
                digest=self.zone_digests.of_zone(zone),
                age_ms=self.reported_age_ms(zone, now),
            )
            for zone in self.zone_digests.zones
        )

    def reported_age_ms(self, zone: str, now: float) -> int:
        """Return the age of a zone to send to others, in milliseconds."""
        count = len(self.hosts.live_ids(zone))
        return self.zone_ages.reported_age_ms(zone, now, host_count=count)

    def confirm_zone(
        self, zone: str, age_ms: int, sender: membership.HostRecord, now: float
    ) -> None:
        """Record that a peer has the same view of a zone as this host.

        For this host's own zone, only another host of that zone counts, and the age
        that it reports is ignored. A confirmation from another zone may originate from
        this very host. If reported ages were used, hosts that had all lost contact
        with each other would wait forever for one of them to report age 0.

        :param age_ms: age of the peer's view, in milliseconds.
        :param now: monotonic seconds.
        """
        if zone == self._own_zone:
            if sender.zone != zone:
                return
            age_ms = 0
        self.zone_ages.confirm(zone, now - age_ms / 1000)

    def _is_usable(self, record: membership.UpstreamRecord, now: float) -> bool:
        if self._has_renewed_lease(record.id, now):
            return True
        return record.id not in self.lapsed_ids and self.is_fresh(record.zone, now)

    def _has_renewed_lease(self, upstream_id: str, now: float) -> bool:
        lease = self.leases_by_id.get(upstream_id)
        if lease is None or not lease.is_renewed:
            return False
        return now - lease.renewed_at <= self._lease_s
