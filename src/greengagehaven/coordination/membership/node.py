"""Membership of one host: the parts together, driven by events."""

import typing

from greengagehaven import clock as clocks
from greengagehaven import rng as rngs
from greengagehaven.coordination import events
from greengagehaven.coordination.membership import (
    antientropy,
    calls,
    detector,
    intake,
    knowledge,
    leases,
    outbox,
    probing,
    pushing,
    renewing,
    rumors,
    signals,
    syncing,
    telling,
    upstreams,
)
from greengagehaven.protocol import membership
from greengagehaven.state import directory

# A host that finds no peer for this long serves by itself.
JOIN_PATIENCE_S = 3.0
SLOW_CHECK_S = 1.0
# Ticks come every tenth of a second.
SLOW_S = 0.3
STALL_S = 1.0
DEFAULT_RETENTION = upstreams.Retention()


class Membership:
    """One host's part in membership and the directory of upstreams.

    Drive it with :meth:`step`; it has no input or output of its own.

    :param own: this host's id, zone and address; its incarnation should be
        higher than at its last start, and is raised by itself where it is not.
    :param served: the directory that the query path reads; only this class
        writes to it.
    :param seeds: addresses to ask for other hosts.
    :param clock: source of time.
    :param rng: source of choices.
    :param lease: seconds that an upstream's announcement holds.
    :param retention: how long news that is no longer used is kept.
    """

    def __init__(
        self,
        *,
        own: membership.HostRecord,
        served: directory.Directory,
        seeds: typing.Sequence[str] = (),
        clock: clocks.Clock,
        rng: rngs.Rng,
        lease: float = leases.LEASE_S,
        retention: upstreams.Retention = DEFAULT_RETENTION,
    ) -> None:
        self._clock = clock
        seeds = [seed for seed in seeds if seed != own.address]
        known = knowledge.Knowledge(
            own=own, served=served, lease=lease, retention=retention
        )
        self._known = known
        self._rumors = rumors.Rumors()
        self._leases = leases.Leases(knowledge=known, lease=lease)
        self._detector = detector.Detector(table=known.hosts, rng=rng)
        self._outbox = outbox.Outbox(knowledge=known, rumors=self._rumors)
        self._intake = intake.Intake(
            knowledge=known,
            leases=self._leases,
            detector=self._detector,
            rumors=self._rumors,
            outbox=self._outbox,
        )
        self._probing = probing.Probing(
            knowledge=known,
            detector=self._detector,
            intake=self._intake,
            outbox=self._outbox,
            seeds=seeds,
            rng=rng,
        )
        self._renewing = renewing.Renewing(
            knowledge=known, leases=self._leases, outbox=self._outbox
        )
        self._syncing = syncing.Syncing(knowledge=known, outbox=self._outbox, rng=rng)
        self._telling = telling.Telling(knowledge=known, outbox=self._outbox, rng=rng)
        self._started_at = clock.monotonic()
        self._stepped_at = self._started_at
        self._pushing = pushing.Pushing(
            knowledge=known,
            rumors=self._rumors,
            outbox=self._outbox,
            rng=rng,
            now=self._started_at,
        )
        self._slow_check_at = 0.0
        self._is_joined = not seeds
        self._reported: tuple[int, dict[str, str]] = (-1, {})
        self._handlers_by_type: dict[type, typing.Callable[[typing.Any], None]] = {
            signals.Ticked: self._on_ticked,
            signals.ExchangeReceived: self._on_exchange,
            signals.SyncReceived: self._on_sync,
            signals.CallAnswered: self._on_answered,
            signals.CallFailed: self._on_failed,
            signals.UpstreamAnnounced: self._on_announced,
            signals.UpstreamWithdrew: self._on_withdrew,
            signals.NoticePosted: self._on_posted,
            signals.LeaveRequested: self._on_leave,
        }
        self._answers_by_purpose: dict[type, typing.Callable] = {
            calls.Probe: self._probing.on_answered,
            calls.RelayedProbe: self._probing.on_answered,
            calls.Compare: self._syncing.on_compared,
            calls.Forward: self._renewing.on_answered,
            calls.Transfer: self._on_transferred,
        }
        self._failures_by_purpose: dict[type, typing.Callable] = {
            calls.Probe: self._probing.on_probe_failed,
            calls.RelayedProbe: self._probing.on_relay_failed,
            calls.Contact: self._probing.on_contact_failed,
            calls.Forward: self._renewing.on_failed,
            calls.Tell: self._telling.on_failed,
            calls.Compare: self._syncing.on_failed,
            calls.Transfer: self._syncing.on_failed,
        }

    @property
    def knowledge(self) -> knowledge.Knowledge:
        """Return what this host knows, to be read only."""
        return self._known

    @property
    def is_joined(self) -> bool:
        """Tell whether this host has started from a peer, or found none.

        Before, it would take itself for the only host and use the whole of
        every upstream.
        """
        return self._is_joined

    @property
    def has_left(self) -> bool:
        """Tell whether this host has said that it leaves."""
        return self._known.hosts.own.status is membership.HostStatus.LEFT

    def knows_address(self, address: str) -> bool:
        """Tell whether a live host has this address."""
        records = self._known.hosts.records_by_id.values()
        return any(each.address == address and each.is_live for each in records)

    def has_host_left(self, host_id: str) -> bool:
        """Tell whether a host said that it leaves, rather than fell silent."""
        record = self._known.hosts.get(host_id)
        return record is not None and record.status is membership.HostStatus.LEFT

    def step(self, event: signals.Event) -> list[signals.Action]:
        """Take one event and return what is to be done, in order.

        :raises UpstreamConflictError: an announcement lost its id to another.
        """
        self._outbox.now = self._clock.monotonic()
        self._catch_up()
        self._handlers_by_type[type(event)](event)
        if not self.has_left:
            self._pushing.push()
        self._report()
        return self._outbox.take()

    def _on_ticked(self, event: signals.Ticked) -> None:
        if self.has_left:
            return
        for tombstone in self._leases.expire(self._outbox.now):
            self._outbox.note("upstream_lease_ended", upstream=tombstone.id)
            self._intake.take_upstream(tombstone, push=True, is_own=True)
        self._probing.tick()
        self._renewing.tick()
        self._telling.tick()
        if self._outbox.now >= self._slow_check_at:
            self._slow_check_at = self._outbox.now + SLOW_CHECK_S
            self._check_slowly()

    def _on_exchange(self, event: signals.ExchangeReceived) -> None:
        exchange = event.exchange
        unknown = self._take(exchange, push=True)
        fields = self._outbox.records_for(exchange)
        message = self._outbox.compose(
            exchange.sender.id,
            marked=bool(exchange.marks),
            wanted_upstreams=unknown,
            notices=self._telling.report_for(exchange.sender.id),
            **fields,
        )
        self._outbox.add(signals.Reply(message=message))

    def _on_sync(self, event: signals.SyncReceived) -> None:
        reply = antientropy.answer(self._known, event.request, self._outbox.now)
        self._outbox.add(signals.Reply(message=reply))

    def _on_answered(self, event: signals.CallAnswered) -> None:
        purpose = self._outbox.end_call(event.call_id)
        answer = event.answer
        is_exchange = isinstance(answer, membership.Exchange)
        if is_exchange:
            is_bulk = isinstance(purpose, calls.Transfer) and purpose.sync.is_bulk
            self._take(answer, push=not is_bulk)
        handler = self._answers_by_purpose.get(type(purpose))
        if handler is not None:
            handler(purpose, answer)
        if is_exchange:
            self._answer_wants(answer)
            if answer.marks:
                self._is_joined |= self._syncing.consider(answer)

    def _on_failed(self, event: signals.CallFailed) -> None:
        purpose = self._outbox.end_call(event.call_id)
        handler = self._failures_by_purpose.get(type(purpose))
        if handler is not None:
            handler(purpose)

    def _on_transferred(
        self, purpose: calls.Transfer, answer: membership.Exchange
    ) -> None:
        self._syncing.advance(purpose.sync)

    def _on_announced(self, event: signals.UpstreamAnnounced) -> None:
        accepted = self._leases.judge(event.announcement, self._outbox.now)
        if accepted is None:
            return
        record = accepted.record
        if accepted.is_change:
            self._intake.take_upstream(record, push=True, is_own=True)
        base = self._known.upstreams.records_by_id[record.id].sequence
        renewal = membership.Renewal(
            id=record.id,
            incarnation=record.incarnation,
            sequence=record.sequence,
            base=base,
        )
        self._renewing.add(renewal)

    def _on_withdrew(self, event: signals.UpstreamWithdrew) -> None:
        record = self._leases.withdraw(event.upstream_id, event.incarnation)
        if record is not None:
            self._intake.take_upstream(record, push=True, is_own=True)

    def _on_posted(self, event: signals.NoticePosted) -> None:
        if event.is_report:
            self._telling.post_report(event.payload)
        else:
            self._telling.post(event.payload)

    def _on_leave(self, event: signals.LeaveRequested) -> None:
        left = self._known.hosts.own.with_status(membership.HostStatus.LEFT)
        self._known.put_host(left, self._outbox.now)
        self._pushing.say_goodbye()

    def _take(self, exchange: membership.Exchange, *, push: bool) -> tuple[str, ...]:
        self._intake.take_records(exchange, push=push)
        self._telling.take(exchange.notices)
        return self._renewing.take(exchange)

    def _answer_wants(self, answer: membership.Exchange) -> None:
        if answer.wanted_hosts or answer.wanted_upstreams:
            fields = self._outbox.records_for(answer)
            message = self._outbox.plain(answer.sender.id, **fields)
            self._outbox.call(calls.Push(), answer.sender, message)

    def _catch_up(self) -> None:
        """Take in the time that passed, before anything is sent or served."""
        now = self._outbox.now
        gap = now - self._stepped_at
        self._stepped_at = now
        if gap > SLOW_S:
            self._detector.note_slow()
        if gap > STALL_S:
            # The process stood still. What it knows may have outlived the
            # tombstones of what left meanwhile, and must not be spread.
            self._known.drop_stale(now)
            self._outbox.note("stalled", seconds=round(gap, 3))
        self._refresh_zones()

    def _refresh_zones(self) -> None:
        for zone in self._known.refresh(self._outbox.now):
            self._known.hosts.revision += 1
            is_fresh = self._known.is_fresh(zone, self._outbox.now)
            self._outbox.note("zone_fresh" if is_fresh else "zone_stale", zone=zone)

    def _check_slowly(self) -> None:
        now = self._outbox.now
        self._known.drop_stale(now)
        self._known.upstreams.forget_gone(now)
        self._known.hosts.forget_gone(now)
        self._leases.retry_lapsed(now)
        if not self._is_joined and now - self._started_at > JOIN_PATIENCE_S:
            self._is_joined = True
            self._outbox.note("joined_without_peer")

    def _report(self) -> None:
        self._refresh_zones()
        changed = self._known.upstreams.take_changed()
        if changed:
            self._outbox.add(events.DirectoryChanged(upstream_ids=changed))
        revision, reported = self._reported
        if revision == self._known.hosts.revision or not self._is_joined:
            return
        hosts = self._known.zones_by_host_id(self._outbox.now)
        self._reported = (self._known.hosts.revision, hosts)
        if hosts != reported:
            self._outbox.add(events.HostsChanged(zones_by_host_id=hosts))
