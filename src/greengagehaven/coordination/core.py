"""The decision core of an entry host: a state machine from events to actions.

The core performs no I/O and reads no global clock, so that the daemons,
``dev`` and replays all run the same code.
"""

import dataclasses
import typing
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven import exceptions
from greengagehaven import rng as rng_module
from greengagehaven.coordination import (
    admission,
    components,
    events,
    fingerprint,
    gates,
    keyed,
    options,
    ownership,
    plan,
    protection,
    query,
    refusal,
    timers,
    upstream_stats,
    usage,
)
from greengagehaven.protocol import notices, search, upstream
from greengagehaven.state import directory, document


class Core:
    """State machine of the query path of one entry host.

    :param clock: source of time; only ``monotonic`` is read.
    :param rng: random numbers for load balancing.
    :param directory: the live upstreams; each change must be followed by a
        :class:`~greengagehaven.coordination.events.DirectoryChanged` event.
    :param host_id: id of this entry host, unique among its peers.
    :param zone: availability zone of this entry host.
    :param options: settings of the query path.
    :param recorder_ids: the fixed set of hosts that store idempotency keys,
        the same on every entry host; empty on a standalone host.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        rng: rng_module.Rng,
        directory: directory.DirectoryView,
        host_id: str,
        zone: str,
        options: options.Options = options.DEFAULT,
        recorder_ids: frozenset[str] = frozenset(),
    ) -> None:
        self._clock = clock
        self._options = options
        self._environment: document.Environment | None = None
        self._drained_zones: frozenset[str] = frozenset()
        self._timers = timers.Timers()
        self._usage_reports_started = False
        self._last_usage_report = notices.UsageReport(usages=())
        built = components.build(
            clock=clock,
            rng=rng,
            directory=directory,
            host_id=host_id,
            zone=zone,
            options=options,
            usable=self.is_usable,
            timers=self._timers,
        )
        self._planner = built.planner
        self._ledger = built.ledger
        self._quarantine = built.quarantine
        self._isolation = built.isolation
        self._shedding = built.shedding
        self._owners = built.owners
        self._limits = built.limits
        self._gates = built.gates
        self._dispatcher = built.dispatcher
        self._execution = built.execution
        self._keyed = keyed.KeyedRequests(
            clock=clock,
            recorder_ids=recorder_ids,
            timers=self._timers,
            run=self._run,
        )
        self._handlers_by_event: dict[type, typing.Callable] = {
            events.QuerySubmitted: self._on_submitted,
            events.QueryAbandoned: self._on_abandoned,
            events.OutcomeReceived: self._on_outcome,
            events.DirectoryChanged: self._on_directory_changed,
            events.DocumentInForce: self._on_document,
            events.ZonesDrained: self._on_zones_drained,
            events.HostsChanged: self._on_hosts_changed,
            events.PeerNotice: self._on_peer_notice,
            events.RecorderReplied: self._on_recorder_replied,
            events.TimeReached: self._on_time_reached,
        }

    @property
    def in_flight_query_count(self) -> int:
        """Return the number of queries in progress."""
        return len(self._execution.queries_by_id)

    def step(self, event: events.Event) -> list[events.Action]:
        """Process one event and return the resulting actions, in order."""
        actions: list[events.Action] = []
        self._handlers_by_event[type(event)](event, actions)
        self._keyed.record_results(actions)
        for notice in self._quarantine.take_notices():
            actions.append(events.NotifyPeers(payload=notice))
        moment = self._timers.next_wake()
        if moment is not None:
            actions.append(events.WakeAt(moment=moment))
        return actions

    @property
    def in_flight_attempt_count(self) -> int:
        """Return the number of sub-requests without an outcome."""
        return len(self._dispatcher.attempts_by_id)

    @property
    def stats_by_id(self) -> abc.Mapping[str, upstream_stats.UpstreamStats]:
        """Return the statistics that this host keeps of each upstream, by id."""
        return self._dispatcher.stats_by_id

    @property
    def protection(self) -> protection.ProtectionCounts:
        """Return the current counters of the protection mechanisms."""
        return protection.ProtectionCounts(
            waiting=self._dispatcher.waiting_count,
            parked=self._isolation.parked_count,
            suspects=self._quarantine.suspect_count,
            quarantined=self._quarantine.ban_count,
            over_share=self._ledger.count_over_share(),
            claims_waiting=self._keyed.waiting_count,
            claims_unconfirmed=self._keyed.unconfirmed_count,
        )

    def request_status(self, subscriber_id: str, key: str) -> search.RequestStatus:
        """Return the status of an idempotency key, on a standalone host.

        :raises NotFoundError: this host has no record of the key.
        """
        return self._keyed.look_up(subscriber_id, key)

    @property
    def gates(self) -> gates.Gates:
        """Return the admission queues of the upstreams that this host owns."""
        return self._gates

    @property
    def ownership(self) -> ownership.Ownership:
        """Return the assignment of upstreams to entry hosts."""
        return self._owners

    def is_usable(self, announcement: upstream.Announcement) -> bool:
        """Return whether an upstream may receive new sub-requests now."""
        if announcement.availability_zone in self._drained_zones:
            return False
        return announcement.state is upstream.UpstreamState.READY

    def _on_submitted(
        self, submitted: events.QuerySubmitted, actions: list[events.Action]
    ) -> None:
        try:
            kind = self._check(submitted)
            if kind.idempotent or not self._options.at_most_once:
                self._run(submitted, actions)
                return
            deadline = self._deadline_of(submitted, kind)
        except exceptions.RequestError as error:
            refused = events.RefuseQuery(request_id=submitted.request_id, error=error)
            actions.append(refused)
            return
        # Time spent claiming the key counts against the caller's deadline.
        submitted = dataclasses.replace(submitted, deadline=deadline)
        self._keyed.begin(submitted, deadline=deadline, actions=actions)

    def _run(
        self, submitted: events.QuerySubmitted, actions: list[events.Action]
    ) -> None:
        """Admit a query and start it.

        :raises RequestError: the query was rejected; nothing was sent.
        """
        running = self._admit(submitted, self._check(submitted))
        self._execution.begin(running, actions)

    def _check(self, submitted: events.QuerySubmitted) -> document.Kind:
        if self._environment is None:
            raise exceptions.NotConfiguredError(
                "no environment document has been loaded yet",
                retry_after=refusal.RETRY_AFTER_S,
            )
        return admission.check(submitted, self._environment)

    def _deadline_of(
        self, submitted: events.QuerySubmitted, kind: document.Kind
    ) -> float:
        now = self._clock.monotonic()
        deadline = now + kind.deadline.total_seconds()
        if submitted.deadline is not None:
            deadline = min(deadline, submitted.deadline)
        if deadline <= now:
            raise exceptions.DeadlineExceededError(
                "the deadline expired before the query started"
            )
        return deadline

    def _admit(
        self, submitted: events.QuerySubmitted, kind: document.Kind
    ) -> query.Query:
        query_fingerprint = fingerprint.of_query(submitted.kind, submitted.query)
        self._isolation.check(query_fingerprint)
        now = self._clock.monotonic()
        deadline = self._deadline_of(submitted, kind)
        self._shedding.check(
            submitted,
            kind,
            waiting_count=self._dispatcher.waiting_count,
            now=now,
            deadline=deadline,
        )
        return query.Query(
            submitted=submitted,
            kind=kind,
            pinned=self._make_plan(submitted, kind),
            started=now,
            deadline=deadline,
            fingerprint=query_fingerprint,
        )

    def _make_plan(
        self,
        submitted: events.QuerySubmitted,
        kind: document.Kind,
    ) -> plan.Plan:
        pinned = self._planner.pin(submitted.services, usable=self.is_usable)
        if pinned is None:
            raise exceptions.IncompleteError(
                "no upstream has ever announced a requested service",
                retry_after=refusal.RETRY_AFTER_S,
            )
        return admission.select_targets(pinned, kind, submitted.query)

    def _on_abandoned(
        self, abandoned: events.QueryAbandoned, actions: list[events.Action]
    ) -> None:
        if self._keyed.abandon(abandoned.request_id, actions):
            return
        running = self._execution.queries_by_id.get(abandoned.request_id)
        if running is not None and running.kind.idempotent:
            self._execution.end(running, actions)

    def _on_outcome(
        self, received: events.OutcomeReceived, actions: list[events.Action]
    ) -> None:
        outcome = received.outcome
        attempt = self._dispatcher.end(outcome)
        if attempt is None:
            return
        self._execution.on_outcome(attempt, outcome, actions)

    def _on_directory_changed(
        self, changed: events.DirectoryChanged, actions: list[events.Action]
    ) -> None:
        self._planner.invalidate(changed.upstream_ids)
        self._dispatcher.on_upstreams_changed()
        self._execution.reevaluate_waiting(actions)

    def _on_document(
        self, in_force: events.DocumentInForce, actions: list[events.Action]
    ) -> None:
        self._environment = in_force.environment
        self._ledger.set_shares(
            {
                subscriber.id: subscriber.share
                for subscriber in in_force.environment.subscribers_by_id.values()
            }
        )

    def _on_zones_drained(
        self, drained: events.ZonesDrained, actions: list[events.Action]
    ) -> None:
        self._drained_zones = drained.zones
        self._planner.invalidate()
        self._execution.reevaluate_waiting(actions)

    def _on_hosts_changed(
        self, changed: events.HostsChanged, actions: list[events.Action]
    ) -> None:
        self._owners.set_hosts(changed.zones_by_host_id)
        self._limits.set_hosts(changed.zones_by_host_id)
        self._ledger.set_hosts(changed.zones_by_host_id)
        self._quarantine.set_hosts(changed.zones_by_host_id)
        if not self._usage_reports_started:
            self._usage_reports_started = True
            self._arm_usage_report()

    def _on_peer_notice(
        self, notice: events.PeerNotice, actions: list[events.Action]
    ) -> None:
        """Apply a notice from the core of another entry host."""
        payload = notice.payload
        if isinstance(payload, notices.UsageReport):
            self._ledger.apply_report(notice.host_id, payload)
            return
        if not self._options.quarantine:
            return
        if isinstance(payload, notices.InFlightReport):
            self._quarantine.apply_in_flight(payload)
        elif isinstance(payload, notices.LossCleared):
            self._quarantine.apply_cleared(payload)
        elif isinstance(payload, notices.QuarantineReport):
            self._quarantine.apply_ban(payload)
            self._execution.refuse_quarantined(payload.fingerprint, actions)
        elif isinstance(payload, notices.LossReport):
            is_in_flight = bool(self._isolation.request_ids(payload.fingerprint))
            if self._quarantine.apply_loss(payload, in_flight=is_in_flight):
                self._execution.refuse_quarantined(payload.fingerprint, actions)
        self._execution.release_parked(actions)

    def _on_recorder_replied(
        self, replied: events.RecorderReplied, actions: list[events.Action]
    ) -> None:
        self._keyed.on_reply(replied, actions)

    def _arm_usage_report(self) -> None:
        moment = self._clock.monotonic() + usage.REPORT_INTERVAL_S
        self._timers.add(moment, timers.UsageTimer())

    def _report_usage(self, actions: list[events.Action]) -> None:
        """Send subscribers' usage to the other hosts.

        Nothing is sent if this report and the previous one are both empty. The
        first empty report is sent, since it resets the figures of the peers.
        """
        self._arm_usage_report()
        report = self._ledger.make_report()
        if report.usages or self._last_usage_report.usages:
            actions.append(events.NotifyPeers(payload=report))
        self._last_usage_report = report

    def _on_time_reached(
        self, reached: events.TimeReached, actions: list[events.Action]
    ) -> None:
        for timer in self._timers.pop_due(self._clock.monotonic()):
            if isinstance(timer, timers.UsageTimer):
                self._report_usage(actions)
            elif isinstance(timer, timers.ClaimTimer):
                self._keyed.on_claim_timeout(timer.request_id, actions)
            elif isinstance(timer, timers.ConfirmTimer):
                self._keyed.release_answer(timer.request_id, actions)
            elif isinstance(timer, timers.ResendTimer):
                self._keyed.on_resend_due(actions)
            elif isinstance(timer, timers.ReleaseTimer):
                self._execution.release_parked(actions)
            else:
                self._execution.on_timer(timer, actions)
