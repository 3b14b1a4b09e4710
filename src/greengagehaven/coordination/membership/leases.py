"""Leases of upstreams: what an announcement means, and who fell silent."""

import dataclasses

import msgspec.structs

from greengagehaven import exceptions
from greengagehaven.coordination.membership import arrivals, knowledge
from greengagehaven.protocol import membership, upstream

LEASE_S = 3.0
RENEW_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """An announcement that holds.

    :param record: what it says.
    :param is_change: whether it differs from what is known.
    """

    record: membership.UpstreamRecord
    is_change: bool


class Leases:
    """Judges announcements and keeps the leases whose home this host is.

    :param knowledge: what this host knows.
    :param lease: seconds that an announcement holds.
    """

    def __init__(
        self, *, knowledge: knowledge.Knowledge, lease: float = LEASE_S
    ) -> None:
        self._knowledge = knowledge
        self._lease = lease
        self._arrivals = arrivals.Arrivals()

    def judge(self, announcement: upstream.Announcement, now: float) -> Accepted | None:
        """Return what an announcement means, ``None`` where it is late news.

        :raises UpstreamConflictError: another upstream holds the id.
        """
        known = self._knowledge.upstreams.get(announcement.id)
        incarnation = self._effective_incarnation(announcement, known, now)
        if incarnation is None:
            return None
        zone = self._choose_zone(announcement, known, now)
        record = membership.record_of(announcement, incarnation=incarnation, zone=zone)
        if known is None:
            return Accepted(record=record, is_change=True)
        order = (record.incarnation, record.sequence)
        if order < (known.incarnation, known.sequence):
            return None
        if known.is_gone and record.version <= known.version:
            return None
        _check_address(announcement, known)
        is_change = known.is_gone or _content(record) != _content(known)
        if is_change and record.version <= known.version:
            return None
        return Accepted(record=record, is_change=is_change)

    def renew(self, renewal: membership.Renewal, now: float) -> bool:
        """Extend a lease; return whether it was news.

        An upstream that does not raise its sequence renews as well: a copy
        that comes late extends the lease by less than one term.
        """
        record = self._knowledge.upstreams.get(renewal.id)
        if record is None or record.is_gone:
            return False
        if renewal.incarnation != record.incarnation:
            return False
        heard = self._knowledge.heard_by_id.get(renewal.id)
        order = (renewal.incarnation, renewal.sequence)
        if heard is not None and heard.is_direct and order < heard.order:
            return False
        # Moved to the end, so that the dict stays in the order of expiry.
        self._knowledge.heard_by_id.pop(renewal.id, None)
        self._knowledge.heard_by_id[renewal.id] = knowledge.Heard(
            incarnation=renewal.incarnation,
            sequence=renewal.sequence,
            base=renewal.base,
            at=now,
            is_direct=True,
        )
        self._knowledge.lapsed_ids.discard(renewal.id)
        return True

    def adopt_all(self, now: float) -> None:
        """Start leases for upstreams whose home this host has become."""
        own_id = self._knowledge.hosts.own.id
        for upstream_id in self._knowledge.homes.upstreams_of(own_id):
            if upstream_id not in self._knowledge.heard_by_id:
                self.adopt(upstream_id, now)

    def adopt(self, upstream_id: str, now: float) -> None:
        """Start the lease of an upstream on the word of another host."""
        record = self._knowledge.upstreams.get(upstream_id)
        own_id = self._knowledge.hosts.own.id
        if record is None or self._knowledge.homes.home(upstream_id) != own_id:
            return
        heard_by_id = self._knowledge.heard_by_id
        heard = heard_by_id.get(upstream_id)
        if upstream_id in self._knowledge.lapsed_ids:
            return
        if heard is not None and heard.order >= (record.incarnation, record.sequence):
            return
        heard_by_id.pop(upstream_id, None)
        heard_by_id[upstream_id] = knowledge.Heard(
            incarnation=record.incarnation,
            sequence=record.sequence,
            base=record.sequence,
            at=now,
            is_direct=False,
        )

    def expire(self, now: float) -> list[membership.UpstreamRecord]:
        """End leases that ran out; return the tombstones to spread."""
        tombstones = []
        heard_by_id = self._knowledge.heard_by_id
        while heard_by_id:
            upstream_id, heard = next(iter(heard_by_id.items()))
            if now - heard.at <= self._lease:
                break
            del heard_by_id[upstream_id]
            tombstone = self._end(upstream_id, heard, now)
            if tombstone is not None:
                tombstones.append(tombstone)
            self._knowledge.evaluate(upstream_id, now)
        return tombstones

    def retry_lapsed(self, now: float) -> None:
        """Give lapsed upstreams a new term once this host hears its zone again.

        While it was cut off it could not know whether others heard them.
        """
        if not self._knowledge.is_in_touch_with_zone(now):
            return
        lapsed = list(self._knowledge.lapsed_ids)
        self._knowledge.lapsed_ids.clear()
        self.adopt_all(now)
        for upstream_id in lapsed:
            self._knowledge.evaluate(upstream_id, now)

    def refute(
        self, record: membership.UpstreamRecord, now: float
    ) -> membership.UpstreamRecord | None:
        """Return the record that a lease held here sets against older news.

        A host that was cut off, or an entry host with a late announcement, may
        spread what this host knows to be out of date.
        """
        known = self._knowledge.upstreams.get(record.id)
        heard = self._knowledge.heard_by_id.get(record.id)
        if known is None or known.is_gone or heard is None or not heard.is_direct:
            return None
        if now - heard.at > self._lease or heard.base != known.sequence:
            return None
        if heard.order <= (record.incarnation, record.sequence):
            return None
        return msgspec.structs.replace(known, sequence=heard.sequence)

    def withdraw(
        self, upstream_id: str, announced_incarnation: int
    ) -> membership.UpstreamRecord | None:
        """Return the tombstone of an upstream that takes itself back.

        :return: ``None`` where a newer start of it is known.
        """
        known = self._knowledge.upstreams.get(upstream_id)
        if known is not None and announced_incarnation < known.announced_incarnation:
            return None
        incarnation = announced_incarnation
        if known is not None:
            incarnation = max(incarnation, known.incarnation)
        return membership.UpstreamRecord(
            id=upstream_id,
            incarnation=incarnation,
            sequence=membership.MAX_SEQUENCE,
            announced_incarnation=announced_incarnation,
            zone=self._knowledge.own_zone if known is None else known.zone,
            is_gone=True,
        )

    def _end(
        self, upstream_id: str, heard: knowledge.Heard, now: float
    ) -> membership.UpstreamRecord | None:
        own_id = self._knowledge.hosts.own.id
        record = self._knowledge.upstreams.get(upstream_id)
        if record is None or self._knowledge.homes.home(upstream_id) != own_id:
            return None
        if not self._knowledge.is_in_touch_with_zone(now):
            self._knowledge.lapsed_ids.add(upstream_id)
            return None
        return membership.UpstreamRecord(
            id=upstream_id,
            incarnation=record.incarnation,
            sequence=max(record.sequence, heard.sequence),
            announced_incarnation=record.announced_incarnation,
            zone=record.zone,
            is_gone=True,
        )

    def _choose_zone(
        self,
        announcement: upstream.Announcement,
        known: membership.UpstreamRecord | None,
        now: float,
    ) -> str:
        """Return whose hosts keep the lease: the upstream's zone, if it can."""
        wanted = announcement.availability_zone
        is_lasting = self._arrivals.is_lasting(wanted, now)
        candidates = [wanted]
        if known is not None and not known.is_gone:
            candidates.append(known.zone)
        for zone in candidates:
            if self._knowledge.hosts.live_ids(zone) and (
                zone == self._knowledge.own_zone or self._knowledge.is_fresh(zone, now)
            ):
                return zone
        if known is not None and not known.is_gone and not is_lasting:
            return known.zone
        return self._knowledge.own_zone

    def _effective_incarnation(
        self,
        announcement: upstream.Announcement,
        known: membership.UpstreamRecord | None,
        now: float,
    ) -> int | None:
        if known is None:
            return announcement.incarnation
        if announcement.incarnation == known.announced_incarnation:
            return known.incarnation
        if announcement.incarnation > known.announced_incarnation:
            return max(announcement.incarnation, known.incarnation + 1)
        if not known.is_gone:
            raise exceptions.UpstreamConflictError(
                f"id {announcement.id} is held by incarnation "
                f"{known.announced_incarnation}, got {announcement.incarnation}",
                known_address=membership.unpack(known).address,
            )
        if self._is_alive_again(announcement, now):
            return known.incarnation + 1
        return None

    def _is_alive_again(self, announcement: upstream.Announcement, now: float) -> bool:
        gone_since = self._knowledge.upstreams.gone_since(announcement.id)
        if gone_since is None or now - gone_since < self._lease:
            return False
        return self._arrivals.prove_life(announcement, now)


def _check_address(
    announcement: upstream.Announcement, known: membership.UpstreamRecord
) -> None:
    if known.is_gone or announcement.incarnation != known.announced_incarnation:
        return
    address = membership.unpack(known).address
    if address != announcement.address:
        raise exceptions.UpstreamConflictError(
            f"id {announcement.id} is held by {address}, got {announcement.address}",
            known_address=address,
        )


def _content(record: membership.UpstreamRecord) -> tuple[int, str, bytes]:
    return (record.incarnation, record.zone, record.body)
