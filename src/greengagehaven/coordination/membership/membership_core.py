"""Membership of one host: an event-driven core without I/O."""

import typing

from greengagehaven import clock as clocks
from greengagehaven import rng as rngs
from greengagehaven.coordination import events
from greengagehaven.coordination.membership import (
    anti_entropy,
    calls,
    cluster_view,
    core_events,
    detector,
    leases,
    merging,
    notice_delivery,
    outbox,
    probing,
    pushing,
    renewal_forwarding,
    rumors,
    syncing,
    upstreams,
)
from greengagehaven.protocol import membership
from greengagehaven.state import directory

# A host that finds no peer within this time serves on its own.
JOIN_TIMEOUT_S = 3.0
MAINTENANCE_INTERVAL_S = 1.0
# Ticks arrive every 0.1 s; a longer gap than this counts as slow.
SLOW_TICK_S = 0.3
STALL_S = 1.0
DEFAULT_RETENTION = upstreams.Retention()


class MembershipCore:
    """One host's membership and its replica of the upstream directory.

    Driven by :meth:`step`; it does no I/O of its own.

    :param own_record: this host's id, zone and address. Its incarnation should be
        higher than at the last start; if it is not, it is increased automatically.
    :param served_directory: the directory that the query path reads; only this class
        writes to it.
    :param seeds: addresses of hosts to join through.
    :param clock: source of time.
    :param rng: source of randomness.
    :param lease: seconds for which an upstream's announcement is valid.
    :param retention: how long tombstones and stale records are kept.
    """

    def __init__(
        self,
        *,
        own_record: membership.HostRecord,
        served_directory: directory.Directory,
        seeds: typing.Sequence[str] = (),
        clock: clocks.Clock,
        rng: rngs.Rng,
        lease: float = leases.LEASE_S,
        retention: upstreams.Retention = DEFAULT_RETENTION,
    ) -> None:
        self._clock = clock
        seeds = [seed for seed in seeds if seed != own_record.address]
        view = cluster_view.ClusterView(
            own=own_record, served=served_directory, lease=lease, retention=retention
        )
        self._view = view
        self._rumors = rumors.Rumors()
        self._leases = leases.Leases(view=view, lease=lease)
        self._detector = detector.Detector(table=view.hosts, rng=rng)
        self._outbox = outbox.Outbox(view=view, rumors=self._rumors)
        self._merger = merging.Merger(
            view=view,
            leases=self._leases,
            detector=self._detector,
            rumors=self._rumors,
            outbox=self._outbox,
        )
        self._prober = probing.Prober(
            view=view,
            detector=self._detector,
            merger=self._merger,
            outbox=self._outbox,
            seeds=seeds,
            rng=rng,
        )
        self._renewal_forwarder = renewal_forwarding.RenewalForwarder(
            view=view, leases=self._leases, outbox=self._outbox
        )
        self._synchronizer = syncing.Synchronizer(
            view=view, outbox=self._outbox, rng=rng
        )
        self._notice_delivery = notice_delivery.NoticeDelivery(
            view=view, outbox=self._outbox, rng=rng
        )
        self._started_at = clock.monotonic()
        self._stepped_at = self._started_at
        self._rumor_pusher = pushing.RumorPusher(
            view=view,
            rumors=self._rumors,
            outbox=self._outbox,
            rng=rng,
            now=self._started_at,
        )
        self._maintenance_at = 0.0
        self._is_joined = not seeds
        self._reported: tuple[int, dict[str, str]] = (-1, {})
        self._handlers_by_type: dict[type, typing.Callable[[typing.Any], None]] = {
            core_events.Ticked: self._on_ticked,
            core_events.ExchangeReceived: self._on_exchange,
            core_events.SyncReceived: self._on_sync,
            core_events.CallAnswered: self._on_answered,
            core_events.CallFailed: self._on_failed,
            core_events.UpstreamAnnounced: self._on_announced,
            core_events.UpstreamWithdrew: self._on_withdrew,
            core_events.NoticePosted: self._on_posted,
            core_events.LeaveRequested: self._on_leave,
        }
        self._answer_handlers_by_purpose: dict[type, typing.Callable] = {
            calls.Probe: self._prober.on_answered,
            calls.RelayedProbe: self._prober.on_answered,
            calls.CompareZone: self._synchronizer.on_compared,
            calls.ForwardRenewals: self._renewal_forwarder.on_answered,
            calls.TransferRecords: self._on_transferred,
        }
        self._failure_handlers_by_purpose: dict[type, typing.Callable] = {
            calls.Probe: self._prober.on_probe_failed,
            calls.RelayedProbe: self._prober.on_relay_failed,
            calls.Contact: self._prober.on_contact_failed,
            calls.ForwardRenewals: self._renewal_forwarder.on_failed,
            calls.SendNotices: self._notice_delivery.on_failed,
            calls.CompareZone: self._synchronizer.on_failed,
            calls.TransferRecords: self._synchronizer.on_failed,
        }

    @property
    def view(self) -> cluster_view.ClusterView:
        """Return this host's view of the cluster, read-only."""
        return self._view

    @property
    def is_joined(self) -> bool:
        """Return whether this host has synchronized with a peer, or found none.

        Until then it would consider itself the only host and use the full capacity of
        every upstream.
        """
        return self._is_joined

    @property
    def has_left(self) -> bool:
        """Return whether this host has announced that it leaves."""
        return self._view.hosts.own.status is membership.HostStatus.LEFT

    def has_live_address(self, address: str) -> bool:
        """Return whether a live host has this address."""
        records = self._view.hosts.records_by_id.values()
        return any(each.address == address and each.is_live for each in records)

    def has_host_left(self, host_id: str) -> bool:
        """Return whether a host announced that it leaves, rather than failed."""
        record = self._view.hosts.get(host_id)
        return record is not None and record.status is membership.HostStatus.LEFT

    def step(self, event: core_events.Event) -> list[core_events.Action]:
        """Handle one event and return the resulting actions, in order.

        :raises UpstreamConflictError: the announced id is held by another upstream.
        """
        self._outbox.now = self._clock.monotonic()
        self._handle_elapsed_time()
        self._handlers_by_type[type(event)](event)
        if not self.has_left:
            self._rumor_pusher.push()
        self._report()
        return self._outbox.take_actions()

    def _on_ticked(self, event: core_events.Ticked) -> None:
        if self.has_left:
            return
        for tombstone in self._leases.expire(self._outbox.now):
            self._outbox.log_event("upstream_lease_ended", upstream=tombstone.id)
            self._merger.merge_upstream(tombstone, push=True, is_own=True)
        self._prober.tick()
        self._renewal_forwarder.tick()
        self._notice_delivery.tick()
        if self._outbox.now >= self._maintenance_at:
            self._maintenance_at = self._outbox.now + MAINTENANCE_INTERVAL_S
            self._run_maintenance()

    def _on_exchange(self, event: core_events.ExchangeReceived) -> None:
        exchange = event.exchange
        unknown = self._merge(exchange, push=True)
        fields = self._outbox.requested_records(exchange)
        message = self._outbox.compose(
            exchange.sender.id,
            with_zone_digests=bool(exchange.zone_digests),
            wanted_upstreams=unknown,
            notices=self._notice_delivery.take_report_for(exchange.sender.id),
            **fields,
        )
        self._outbox.add(core_events.Reply(message=message))

    def _on_sync(self, event: core_events.SyncReceived) -> None:
        reply = anti_entropy.build_reply(self._view, event.request, self._outbox.now)
        self._outbox.add(core_events.Reply(message=reply))

    def _on_answered(self, event: core_events.CallAnswered) -> None:
        purpose = self._outbox.end_call(event.call_id)
        answer = event.answer
        is_exchange = isinstance(answer, membership.Exchange)
        if is_exchange:
            is_bulk = (
                isinstance(purpose, calls.TransferRecords) and purpose.sync.is_bulk
            )
            self._merge(answer, push=not is_bulk)
        handler = self._answer_handlers_by_purpose.get(type(purpose))
        if handler is not None:
            handler(purpose, answer)
        if is_exchange:
            self._send_wanted_records(answer)
            if answer.zone_digests:
                self._is_joined |= self._synchronizer.start_unless_equal(answer)

    def _on_failed(self, event: core_events.CallFailed) -> None:
        purpose = self._outbox.end_call(event.call_id)
        handler = self._failure_handlers_by_purpose.get(type(purpose))
        if handler is not None:
            handler(purpose)

    def _on_transferred(
        self, purpose: calls.TransferRecords, answer: membership.Exchange
    ) -> None:
        self._synchronizer.advance(purpose.sync)

    def _on_announced(self, event: core_events.UpstreamAnnounced) -> None:
        accepted = self._leases.evaluate_announcement(
            event.announcement, self._outbox.now
        )
        if accepted is None:
            return
        record = accepted.record
        if accepted.is_change:
            self._merger.merge_upstream(record, push=True, is_own=True)
        base = self._view.upstreams.records_by_id[record.id].sequence
        renewal = membership.Renewal(
            id=record.id,
            incarnation=record.incarnation,
            sequence=record.sequence,
            base=base,
        )
        self._renewal_forwarder.add(renewal)

    def _on_withdrew(self, event: core_events.UpstreamWithdrew) -> None:
        record = self._leases.withdraw(event.upstream_id, event.incarnation)
        if record is not None:
            self._merger.merge_upstream(record, push=True, is_own=True)

    def _on_posted(self, event: core_events.NoticePosted) -> None:
        if event.is_report:
            self._notice_delivery.post_report(event.payload)
        else:
            self._notice_delivery.post(event.payload)

    def _on_leave(self, event: core_events.LeaveRequested) -> None:
        left = self._view.hosts.own.with_status(membership.HostStatus.LEFT)
        self._view.put_host(left, self._outbox.now)
        self._rumor_pusher.announce_leave()

    def _merge(self, exchange: membership.Exchange, *, push: bool) -> tuple[str, ...]:
        self._merger.merge_exchange(exchange, push=push)
        self._notice_delivery.deliver(exchange.notices)
        return self._renewal_forwarder.receive(exchange)

    def _send_wanted_records(self, answer: membership.Exchange) -> None:
        if answer.wanted_hosts or answer.wanted_upstreams:
            fields = self._outbox.requested_records(answer)
            message = self._outbox.compose_plain(answer.sender.id, **fields)
            self._outbox.call(calls.Push(), answer.sender, message)

    def _handle_elapsed_time(self) -> None:
        """Account for the time since the last step, before sending or serving."""
        now = self._outbox.now
        gap = now - self._stepped_at
        self._stepped_at = now
        if gap > SLOW_TICK_S:
            self._detector.record_slow_tick()
        if gap > STALL_S:
            # The process was suspended. Other hosts may have removed the
            # tombstones of upstreams that left meanwhile, so stale records must
            # not be gossiped.
            self._view.drop_stale(now)
            self._outbox.log_event("stalled", seconds=round(gap, 3))
        self._refresh_zones()

    def _refresh_zones(self) -> None:
        for zone in self._view.refresh_zones(self._outbox.now):
            self._view.hosts.revision += 1
            is_fresh = self._view.is_fresh(zone, self._outbox.now)
            self._outbox.log_event(
                "zone_fresh" if is_fresh else "zone_stale", zone=zone
            )

    def _run_maintenance(self) -> None:
        now = self._outbox.now
        self._view.drop_stale(now)
        self._view.upstreams.purge_gone(now)
        self._view.hosts.purge_gone(now)
        self._leases.retry_lapsed(now)
        if not self._is_joined and now - self._started_at > JOIN_TIMEOUT_S:
            self._is_joined = True
            self._outbox.log_event("joined_without_peer")

    def _report(self) -> None:
        self._refresh_zones()
        changed = self._view.upstreams.take_changed()
        if changed:
            self._outbox.add(events.DirectoryChanged(upstream_ids=changed))
        revision, reported = self._reported
        if revision == self._view.hosts.revision or not self._is_joined:
            return
        hosts = self._view.zones_by_host_id(self._outbox.now)
        self._reported = (self._view.hosts.revision, hosts)
        if hosts != reported:
            self._outbox.add(events.HostsChanged(zones_by_host_id=hosts))
