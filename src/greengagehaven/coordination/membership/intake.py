"""Taking in what other hosts and upstreams say."""

from greengagehaven.coordination.membership import (
    detector,
    knowledge,
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


class Intake:
    """Judges each record, keeps what is news and passes it on.

    :param knowledge: where news is kept.
    :param leases: what defends upstreams that were heard here.
    :param detector: told of suspicions.
    :param rumors: where news is passed on.
    :param outbox: where events for the log go.
    """

    def __init__(
        self,
        *,
        knowledge: knowledge.Knowledge,
        leases: leases.Leases,
        detector: detector.Detector,
        rumors: rumors.Rumors,
        outbox: outbox.Outbox,
    ) -> None:
        self._known = knowledge
        self._leases = leases
        self._detector = detector
        self._rumors = rumors
        self._outbox = outbox

    def take_records(self, exchange: membership.Exchange, *, push: bool) -> None:
        """Take in the hosts, upstreams and marks of an exchange.

        :param push: whether news is passed on at once.
        """
        self._known.note_contact(exchange.sender, self._outbox.now)
        self._detector.note_answer(exchange.sender.id)
        self.take_host(exchange.sender, push=True)
        for host in exchange.hosts:
            self.take_host(host, push=push)
        for upstream in exchange.upstreams:
            self.take_upstream(upstream, push=push)
        for mark in exchange.marks:
            self._take_mark(mark, exchange.sender)

    def take_host(
        self, record: membership.HostRecord, *, push: bool, is_own: bool = False
    ) -> None:
        """Take in the record of a host, or refute it where it is this one.

        :param is_own: whether this host is the first to say so.
        """
        now = self._outbox.now
        if not self._known.hosts.is_news(record):
            return
        if record.id == self._known.hosts.own.id:
            self._refute(record)
            return
        known = self._known.hosts.get(record.id)
        self._known.put_host(record, now)
        self._detector.watch(record, now)
        if record.zone == self._known.own_zone:
            self._leases.adopt_all(now)
        if push:
            # A suspicion is in no hurry: whoever calls the suspect tells it.
            # Pushed, suspicions of slow hosts would make them slower.
            is_suspicion = record.status is membership.HostStatus.SUSPECT
            self._rumors.add(record, is_own=is_own, push=not is_suspicion)
        if known is None or known.status is not record.status:
            self._outbox.note(
                _EVENTS_BY_STATUS[record.status],
                host=record.id,
                zone=record.zone,
                address=record.address,
            )

    def take_upstream(
        self, record: membership.UpstreamRecord, *, push: bool, is_own: bool = False
    ) -> None:
        """Take in the record of an upstream, or what a lease sets against it.

        :param is_own: whether this host is the first to say so.
        """
        now = self._outbox.now
        if not self._known.upstreams.is_news(record):
            return
        if not record.is_gone and not membership.is_readable(record):
            # Kept, it would fail again with every query that comes across it.
            self._outbox.note("record_unreadable", upstream=record.id)
            return
        refutation = self._leases.refute(record, now)
        if refutation is not None:
            self._outbox.note("upstream_news_refuted", upstream=record.id)
            record, push, is_own = refutation, True, True
        self._known.put_upstream(record, now)
        self._leases.adopt(record.id, now)
        if push:
            self._rumors.add(record, is_own=is_own)

    def _take_mark(
        self, mark: membership.ZoneMark, sender: membership.HostRecord
    ) -> None:
        if mark.digest != self._known.digests.of_zone(mark.zone):
            return
        self._known.vouch(mark.zone, mark.age_ms, sender, self._outbox.now)

    def _refute(self, record: membership.HostRecord) -> None:
        own = self._known.hosts.own
        if own.status is membership.HostStatus.LEFT:
            return
        if record.address != own.address and record.is_live:
            # Both would go on refuting each other; operators see it at once.
            self._outbox.note("host_id_conflict", host=own.id, other=record.address)
        revived = own.revived(record.incarnation + 1)
        self._known.put_host(revived, self._outbox.now)
        self._rumors.add(revived, is_own=False)
        self._outbox.note("refuted", host=own.id, incarnation=revived.incarnation)
