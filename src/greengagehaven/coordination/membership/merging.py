"""Merging received records into this host's view."""

from greengagehaven.coordination.membership import (
    cluster_view,
    detector,
    leases,
    outbox,
    rumors,
)
from greengagehaven.protocol import membership

_EVENTS_BY_STATUS = {
    membership.HostStatus.ALIVE: "host_alive",
    membership.HostStatus.SUSPECT: "host_suspected",
    membership.HostStatus.DEAD: "host_dead",
    membership.HostStatus.LEFT: "host_left",
}


class Merger:
    """Stores each record that is newer than the current one and gossips it.

    :param view: where records are stored.
    :param leases: refutes outdated records of upstreams homed here.
    :param detector: tracks suspicions.
    :param rumors: where records are queued for gossip.
    :param outbox: where log events are added.
    """

    def __init__(
        self,
        *,
        view: cluster_view.ClusterView,
        leases: leases.Leases,
        detector: detector.Detector,
        rumors: rumors.Rumors,
        outbox: outbox.Outbox,
    ) -> None:
        self._view = view
        self._leases = leases
        self._detector = detector
        self._rumors = rumors
        self._outbox = outbox

    def merge_exchange(self, exchange: membership.Exchange, *, push: bool) -> None:
        """Merge the hosts, upstreams and zone digests of an exchange.

        :param push: whether newer records are gossiped.
        """
        self._view.record_contact(exchange.sender, self._outbox.now)
        self._detector.record_answer(exchange.sender.id)
        self.merge_host(exchange.sender, push=True)
        for host in exchange.hosts:
            self.merge_host(host, push=push)
        for upstream in exchange.upstreams:
            self.merge_upstream(upstream, push=push)
        for zone_digest in exchange.zone_digests:
            self._apply_zone_digest(zone_digest, exchange.sender)

    def merge_host(
        self, record: membership.HostRecord, *, push: bool, is_own: bool = False
    ) -> None:
        """Merge a host record, or refute it if it is about this host.

        :param push: whether a newer record is gossiped.
        :param is_own: whether the record originates from this host.
        """
        now = self._outbox.now
        if not self._view.hosts.is_newer(record):
            return
        if record.id == self._view.hosts.own.id:
            self._refute(record)
            return
        current = self._view.hosts.get(record.id)
        self._view.put_host(record, now)
        self._detector.track_suspicion(record, now)
        if record.zone == self._view.own_zone:
            self._leases.adopt_missing(now)
        if push:
            # Suspicions aren't pushed, as every exchange with a suspect informs
            # it. Pushing them would put more load on hosts that are slow already.
            is_suspicion = record.status is membership.HostStatus.SUSPECT
            self._rumors.add(record, is_own=is_own, push=not is_suspicion)
        if current is None or current.status is not record.status:
            self._outbox.log_event(
                _EVENTS_BY_STATUS[record.status],
                host=record.id,
                zone=record.zone,
                address=record.address,
            )

    def merge_upstream(
        self, record: membership.UpstreamRecord, *, push: bool, is_own: bool = False
    ) -> None:
        """Merge an upstream record, or the record that refutes it.

        :param push: whether a newer record is gossiped.
        :param is_own: whether the record originates from this host.
        """
        now = self._outbox.now
        if not self._view.upstreams.is_newer(record):
            return
        if not record.is_gone and not membership.has_valid_body(record):
            # If stored, it would raise an error in every query that reads it.
            self._outbox.log_event("record_unreadable", upstream=record.id)
            return
        refutation = self._leases.refute(record, now)
        if refutation is not None:
            self._outbox.log_event("upstream_news_refuted", upstream=record.id)
            record, push, is_own = refutation, True, True
        self._view.put_upstream(record, now)
        self._leases.adopt(record.id, now)
        if push:
            self._rumors.add(record, is_own=is_own)

    def _apply_zone_digest(
        self, reported: membership.ZoneDigest, sender: membership.HostRecord
    ) -> None:
        if reported.digest != self._view.zone_digests.of_zone(reported.zone):
            return
        self._view.confirm_zone(
            reported.zone, reported.age_ms, sender, self._outbox.now
        )

    def _refute(self, record: membership.HostRecord) -> None:
        own = self._view.hosts.own
        if own.status is membership.HostStatus.LEFT:
            return
        if record.address != own.address and record.is_live:
            # Two hosts with the same id refute each other endlessly; the log
            # event makes the conflict visible to operators.
            self._outbox.log_event(
                "host_id_conflict", host=own.id, other=record.address
            )
        revived = own.revived(record.incarnation + 1)
        self._view.put_host(revived, self._outbox.now)
        self._rumors.add(revived, is_own=False)
        self._outbox.log_event("refuted", host=own.id, incarnation=revived.incarnation)
