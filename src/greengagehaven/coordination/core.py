"""The decision core of an entry host: events in, actions out.

It performs no input or output and reads no global clock, so the same code
runs in the daemons, in ``dev`` and in replays.
"""

import dataclasses
import typing
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven import exceptions
from greengagehaven import rng as rng_module
from greengagehaven.coordination import (
    admission,
    events,
    fingerprint,
    gates,
    keyed,
    options,
    ownership,
    parts,
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
    """Query path of one entry host.

    :param clock: time; only ``monotonic`` is read.
    :param rng: randomness for the choice of upstreams.
    :param directory: the live upstreams; after a change the core must get
        :class:`~greengagehaven.coordination.events.DirectoryChanged`.
    :param host_id: name of this entry host among its peers.
    :param zone: availability zone of this entry host.
    :param options: switches of the mechanisms.
    :param recorder_ids: the fixed set of hosts that remember idempotency keys,
        the same on every entry host; empty for a host that is alone.
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
        self._reports_usage = False
        self._last_report = notices.UsageReport(usages=())
        made = parts.build(
            clock=clock,
            rng=rng,
            directory=directory,
            host_id=host_id,
            zone=zone,
            options=options,
            usable=self.is_usable,
            pending=self._timers,
        )
        self._planner = made.planner
        self._ledger = made.ledger
        self._cases = made.cases
        self._isolation = made.isolation
        self._shedding = made.shedding
        self._owners = made.owners
        self._limits = made.limits
        self._gates = made.gates
        self._dispatcher = made.dispatcher
        self._execution = made.execution
        self._keyed = keyed.KeyedRequests(
            clock=clock,
            recorder_ids=recorder_ids,
            pending=self._timers,
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
    def queries_in_flight(self) -> int:
        """Return how many queries have no answer yet."""
        return len(self._execution.queries_by_id)

    def step(self, event: events.Event) -> list[events.Action]:
        """Take one event and return what is to be done, in order."""
        actions: list[events.Action] = []
        self._handlers_by_event[type(event)](event, actions)
        self._keyed.note_results(actions)
        for notice in self._cases.take_notices():
            actions.append(events.NotifyPeers(payload=notice))
        moment = self._timers.next_wake()
        if moment is not None:
            actions.append(events.WakeAt(moment=moment))
        return actions

    @property
    def attempts_in_flight(self) -> int:
        """Return how many sub-requests have no outcome yet."""
        return len(self._dispatcher.attempts_by_id)

    @property
    def stats_by_id(self) -> abc.Mapping[str, upstream_stats.UpstreamStats]:
        """Return what this host has seen of each upstream."""
        return self._dispatcher.stats_by_id

    @property
    def protection(self) -> protection.Protection:
        """Return what protects the upstreams and subscribers now."""
        return protection.Protection(
            waiting=self._dispatcher.waiting_count,
            parked=self._isolation.parked_count,
            suspects=self._cases.suspect_count,
            quarantined=self._cases.ban_count,
            over_share=self._ledger.count_over_share(),
            claims_waiting=self._keyed.waiting_count,
            claims_unconfirmed=self._keyed.unconfirmed_count,
        )

    def look_up(self, subscriber_id: str, key: str) -> search.RequestStatus:
        """Return what became of an idempotency key, on a host that is alone.

        :raises NotFoundError: no request with this key is known here.
        """
        return self._keyed.look_up(subscriber_id, key)

    @property
    def gates(self) -> gates.Gates:
        """Return the gates of the upstreams that this host owns."""
        return self._gates

    @property
    def owners(self) -> ownership.Ownership:
        """Return which entry host sends to which upstream."""
        return self._owners

    def is_usable(self, announcement: upstream.Announcement) -> bool:
        """Tell whether an upstream may get new work now."""
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
        # The claim takes its time out of the caller's, not on top of it.
        submitted = dataclasses.replace(submitted, deadline=deadline)
        self._keyed.begin(submitted, deadline=deadline, actions=actions)

    def _run(
        self, submitted: events.QuerySubmitted, actions: list[events.Action]
    ) -> None:
        """Admit a query and begin it; nothing was sent where this raises."""
        running = self._admit(submitted, self._check(submitted))
        self._execution.begin(running, actions)

    def _check(self, submitted: events.QuerySubmitted) -> document.Kind:
        if self._environment is None:
            raise exceptions.NotConfiguredError(
                "no document is in force yet", retry_after=refusal.RETRY_AFTER_S
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
            raise exceptions.DeadlineExceededError("the deadline has passed")
        return deadline

    def _admit(
        self, submitted: events.QuerySubmitted, kind: document.Kind
    ) -> query.Query:
        name = fingerprint.of_query(submitted.kind, submitted.query)
        self._isolation.check(name)
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
            pinned=self._pin(submitted, kind),
            started=now,
            deadline=deadline,
            fingerprint=name,
        )

    def _pin(
        self,
        submitted: events.QuerySubmitted,
        kind: document.Kind,
    ) -> plan.Plan:
        pinned = self._planner.pin(submitted.services, usable=self.is_usable)
        if pinned is None:
            raise exceptions.IncompleteError(
                "no upstream of a service has ever been seen",
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
        self._execution.take_outcome(attempt, outcome, actions)

    def _on_directory_changed(
        self, changed: events.DirectoryChanged, actions: list[events.Action]
    ) -> None:
        self._planner.invalidate(changed.upstream_ids)
        self._dispatcher.upstreams_changed()
        self._execution.reconsider_waiting(actions)

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
        self._execution.reconsider_waiting(actions)

    def _on_hosts_changed(
        self, changed: events.HostsChanged, actions: list[events.Action]
    ) -> None:
        self._owners.set_hosts(changed.zones_by_host_id)
        self._limits.set_hosts(changed.zones_by_host_id)
        self._ledger.set_hosts(changed.zones_by_host_id)
        self._cases.set_hosts(changed.zones_by_host_id)
        if not self._reports_usage:
            self._reports_usage = True
            self._arm_usage_report()

    def _on_peer_notice(
        self, notice: events.PeerNotice, actions: list[events.Action]
    ) -> None:
        """Take a message of another host's core."""
        payload = notice.payload
        if isinstance(payload, notices.UsageReport):
            self._ledger.take_report(notice.host_id, payload)
            return
        if not self._options.quarantine:
            return
        if isinstance(payload, notices.InFlightReport):
            self._cases.take_in_flight(payload)
        elif isinstance(payload, notices.LossCleared):
            self._cases.take_cleared(payload)
        elif isinstance(payload, notices.QuarantineReport):
            self._cases.take_ban(payload)
            self._execution.stop_convicted(payload.fingerprint, actions)
        elif isinstance(payload, notices.LossReport):
            is_here = bool(self._isolation.request_ids(payload.fingerprint))
            if self._cases.take_loss(payload, in_flight=is_here):
                self._execution.stop_convicted(payload.fingerprint, actions)
        self._execution.release_parked(actions)

    def _on_recorder_replied(
        self, replied: events.RecorderReplied, actions: list[events.Action]
    ) -> None:
        self._keyed.take_reply(replied, actions)

    def _arm_usage_report(self) -> None:
        moment = self._clock.monotonic() + usage.REPORT_INTERVAL_S
        self._timers.add(moment, timers.UsageTimer())

    def _report_usage(self, actions: list[events.Action]) -> None:
        """Tell the other hosts what subscribers used, unless all is quiet."""
        self._arm_usage_report()
        report = self._ledger.make_report()
        if report.usages or self._last_report.usages:
            actions.append(events.NotifyPeers(payload=report))
        self._last_report = report

    def _on_time_reached(
        self, reached: events.TimeReached, actions: list[events.Action]
    ) -> None:
        for timer in self._timers.pop_due(self._clock.monotonic()):
            if isinstance(timer, timers.UsageTimer):
                self._report_usage(actions)
            elif isinstance(timer, timers.ClaimTimer):
                self._keyed.take_claim_timer(timer.request_id, actions)
            elif isinstance(timer, timers.ConfirmTimer):
                self._keyed.release_answer(timer.request_id, actions)
            elif isinstance(timer, timers.ResendTimer):
                self._keyed.take_resend_timer(actions)
            elif isinstance(timer, timers.ReleaseTimer):
                self._execution.release_parked(actions)
            else:
                self._execution.take_timer(timer, actions)
