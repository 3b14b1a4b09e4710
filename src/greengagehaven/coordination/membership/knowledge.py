"""Hosts, upstreams, their digests and ages, kept in step with one another."""

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

# Shorter than a lease, so that a host that is cut off doubts itself before
# leases that it cannot hear of run out.
IN_TOUCH_S = 1.5


@dataclasses.dataclass(kw_only=True, slots=True)
class Heard:
    """When an upstream's host or a peer last said that it is alive.

    :param base: sequence of the record that it was unchanged against.
    :param is_direct: whether anything was heard, or the lease only taken over.
    """

    incarnation: int
    sequence: int
    base: int
    at: float
    is_direct: bool

    @property
    def order(self) -> tuple[int, int]:
        """Return (incarnation, sequence)."""
        return (self.incarnation, self.sequence)


class Knowledge:
    """What this host knows, and what of it holds at this moment.

    :param own: the first record of this host.
    :param served: the directory that the query path reads.
    :param lease: seconds that an upstream's announcement holds.
    :param retention: how long news that is no longer used is kept.
    """

    def __init__(
        self,
        *,
        own: membership.HostRecord,
        served: directory.Directory,
        lease: float,
        retention: upstreams.Retention,
    ) -> None:
        self.digests = digests.ZoneDigests()
        self.hosts = hosts.HostTable(own=own, zone_digests=self.digests)
        self.upstreams = upstreams.UpstreamTable(
            served=served, zone_digests=self.digests, retention=retention
        )
        self.ages = freshness.ZoneAges(own_zone=own.zone)
        self.homes = homes.HomeIndex()
        self.homes.add_host(own.id)
        self.heard_by_id: dict[str, Heard] = {}
        self.lapsed_ids: set[str] = set()
        self._own_zone = own.zone
        self._lease = lease
        self._stale_kept_s = retention.stale.total_seconds()
        self._fresh_by_zone: dict[str, bool] = {}
        self._near_at = -math.inf
        self._any_at = -math.inf

    @property
    def own_zone(self) -> str:
        """Return this host's availability zone."""
        return self._own_zone

    def note_contact(self, sender: membership.HostRecord, now: float) -> None:
        """Take in that a message of another host arrived."""
        self._any_at = now
        if sender.zone == self._own_zone:
            self._near_at = now

    def is_in_touch(self, now: float) -> bool:
        """Tell whether some other host was heard lately.

        A host that hears nobody is more likely cut off than alone alive.
        """
        return now - self._any_at <= IN_TOUCH_S

    def is_in_touch_with_zone(self, now: float) -> bool:
        """Tell whether this host hears its zone, or is the only one in it."""
        if len(self.hosts.live_ids(self._own_zone)) <= 1:
            return True
        return now - self._near_at <= IN_TOUCH_S

    def put_host(self, record: membership.HostRecord, now: float) -> None:
        """Take in the record of a host, which has to be news."""
        known = self.hosts.get(record.id)
        self.hosts.put(record, now=now)
        if known is not None and known.zone == self._own_zone != record.zone:
            self.homes.remove_host(record.id)
        if record.zone != self._own_zone:
            return
        if record.is_live:
            self.homes.add_host(record.id)
        else:
            self.homes.remove_host(record.id)

    def put_upstream(self, record: membership.UpstreamRecord, now: float) -> None:
        """Take in the record of an upstream, which has to be news."""
        self.upstreams.put(record, now=now)
        self.lapsed_ids.discard(record.id)
        if record.zone == self._own_zone and not record.is_gone:
            self.homes.add_upstream(record.id)
        else:
            self.homes.remove_upstream(record.id)
        if record.is_gone:
            self.heard_by_id.pop(record.id, None)
        else:
            self.evaluate(record.id, now)

    def evaluate(self, upstream_id: str, now: float) -> None:
        """Serve an upstream or withhold it, by what holds now."""
        record = self.upstreams.get(upstream_id)
        if record is None or record.is_gone:
            return
        if self._is_vouched(record, now):
            self.upstreams.serve(upstream_id)
        else:
            self.upstreams.withhold(upstream_id)

    def zones_by_host_id(self, now: float) -> dict[str, str]:
        """Return the live hosts of zones that vouch for themselves.

        Hosts of a zone that is cut off are left out: an upstream that is known
        here through another zone needs an owner that can be reached. They
        come back with their zone's word.
        """
        return {
            host_id: zone
            for zone in self.hosts.zones
            if zone == self._own_zone or self.is_fresh(zone, now)
            for host_id in sorted(self.hosts.live_ids(zone))
        }

    def refresh(self, now: float) -> list[str]:
        """Serve or withhold whole zones whose word came or ran out.

        :return: the zones that changed.
        """
        changed = []
        for zone in self.digests.zones:
            fresh = self.is_fresh(zone, now)
            if fresh == self._fresh_by_zone.get(zone, False):
                continue
            self._fresh_by_zone[zone] = fresh
            changed.append(zone)
            for upstream_id in list(self.upstreams.live_ids(zone)):
                self.evaluate(upstream_id, now)
        return changed

    def is_fresh(self, zone: str, now: float) -> bool:
        """Tell whether a zone has vouched lately for what is known of it."""
        count = len(self.hosts.live_ids(zone))
        return self.ages.is_fresh(zone, now, hosts=count)

    def drop_stale(self, now: float) -> None:
        """Drop upstreams of zones unheard of for so long that tombstones expire.

        A host that kept them would revive upstreams that left meanwhile.
        """
        for zone in self.digests.zones:
            count = len(self.hosts.live_ids(zone))
            if self.ages.age(zone, now, hosts=count) <= self._stale_kept_s:
                continue
            for upstream_id in list(self.upstreams.live_ids(zone)):
                if not self._is_heard(upstream_id, now):
                    self.upstreams.drop(upstream_id)
                    self.homes.remove_upstream(upstream_id)

    def marks(self, now: float) -> tuple[membership.ZoneMark, ...]:
        """Return the digest and age of each zone, to send to others."""
        return tuple(
            membership.ZoneMark(
                zone=zone,
                digest=self.digests.of_zone(zone),
                age_ms=self.mark_age_ms(zone, now),
            )
            for zone in self.digests.zones
        )

    def mark_age_ms(self, zone: str, now: float) -> int:
        """Return the age of a zone to send to others, in milliseconds."""
        count = len(self.hosts.live_ids(zone))
        return self.ages.mark_age_ms(zone, now, hosts=count)

    def vouch(
        self, zone: str, age_ms: int, sender: membership.HostRecord, now: float
    ) -> None:
        """Take in that a peer knows the same about a zone as is known here.

        For this host's own zone only its other hosts can vouch, whatever age
        they say: the word of another zone may be this host's own, come back to
        it, and hosts that all lost sight of one another would else wait for
        ever for the first one to be certain.
        """
        if zone == self._own_zone:
            if sender.zone != zone:
                return
            age_ms = 0
        self.ages.vouch(zone, now - age_ms / 1000)

    def _is_vouched(self, record: membership.UpstreamRecord, now: float) -> bool:
        if self._is_heard(record.id, now):
            return True
        return record.id not in self.lapsed_ids and self.is_fresh(record.zone, now)

    def _is_heard(self, upstream_id: str, now: float) -> bool:
        heard = self.heard_by_id.get(upstream_id)
        if heard is None or not heard.is_direct:
            return False
        return now - heard.at <= self._lease
