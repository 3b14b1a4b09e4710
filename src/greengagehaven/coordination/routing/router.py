"""The router of an entry host, a state machine from events to actions.

A request goes to one upstream of a service or, as a sweep, to one upstream of each
shard.
Straggling attempts are hedged and failed ones retried if the request may run more than
once and the extra-attempt budget, which all entry hosts share, allows it.
"""

import dataclasses
import heapq
import typing
from collections import abc

import xxhash

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven import rng as rngs
from greengagehaven.coordination import latency
from greengagehaven.coordination.routing import (
    admission,
    attempt_outcomes,
    availability,
    borrowing,
    callers,
    completion,
    consolidation,
    counts,
    crashes,
    delegation,
    events,
    extra_attempt_budget,
    extra_attempts,
    fleet,
    hedging,
    key_lease,
    mechanisms,
    observation,
    partition,
    placement,
    planning,
    reachability,
    refusals,
    request,
    request_log,
    retry_delays,
    sending,
    stranded,
    usage_limit,
    versions,
)
from greengagehaven.coordination.shared_budgets import demand_shares
from greengagehaven.protocol import rollouts
from greengagehaven.state import routes

HEDGE_QUANTILE = 0.95
"""Quantile of the latency above which an attempt counts as straggling. One attempt in
twenty is hedged then, half of the least extra-attempt ratio that operators set."""

REACHABILITY_TIMER = 0
"""Used in place of a request number for the timer of the reachability checks."""

HOSTS_PER_RECOVERY_CHECK = 16
"""One host in this many keeps sending requests to an outlier, to detect when it has
recovered."""

KEY_LEASE_TIMER = -2
"""Used in place of a request number for the timer at the end of the key lease."""

BORROW_TIMER = -1
"""Used in place of a request number for the timer that sends a ``RequestLoan``."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Settings of the router.

    :param zone: availability zone of this host.
    :param host_id: id of this host, unique in its zone.
    :param retry_ratio: extra attempts allowed for each request of a service.
    :param retry_burst: extra attempts allowed in addition, over all hosts.
    :param retry_window: seconds over which they are counted.
    :param cold_bound: factor and slack on the request rate of cold upstreams, over all
        hosts.
    :param exposure_bound: limit, over all hosts, of the requests to a software version
        of a service that is not proved.
    :param usage_caps: how teams' usage is counted over all hosts, ``None`` for no caps.
    :param enabled_mechanisms: mechanisms that are enabled; all of them except in
        trials.
    :param revoke_within: seconds after the revocation of a key from which no host may
        accept it, ``None`` for no such limit.
    """

    zone: str
    host_id: str = ""
    retry_ratio: float = 0.1
    retry_burst: float = 20.0
    retry_window: float = 10.0
    cold_bound: fleet.ColdRateLimit = fleet.ColdRateLimit()
    exposure_bound: versions.ExposureLimit = versions.ExposureLimit()
    usage_caps: demand_shares.CapSettings | None = None
    enabled_mechanisms: mechanisms.Mechanisms = mechanisms.Mechanisms()
    revoke_within: float | None = None


class Router:
    """Decides where requests are sent and how they are answered.

    It performs no input or output.

    :param options: settings.
    :param clock: monotonic time.
    :param rng: source of randomness for weights, ties and retry delays.
    """

    def __init__(self, *, options: Options, clock: clocks.Clock, rng: rngs.Rng) -> None:
        used = options.enabled_mechanisms
        self._used = used
        self._host_id = options.host_id
        self._host_count = 1
        self._versions = versions.VersionSelector(
            exposure_limit=options.exposure_bound,
            demand=self._request_rate,
            clock=clock,
            rng=rng,
        )
        self.fleet = fleet.Fleet(
            cold_rate_limit=options.cold_bound,
            cost_model=placement.ExpectedLatencyCost(
                zone=options.zone, used=used, rng=rng
            ),
            versions=self._versions,
            used=used,
            clock=clock,
        )
        self.counts = counts.Counts()
        self._clock = clock
        self._budget = extra_attempt_budget.ExtraAttemptBudget(
            ratio=options.retry_ratio,
            burst=options.retry_burst,
            window=options.retry_window,
            clock=clock,
        )
        self._caller_times = callers.CallerTimes(used=used)
        self._crashes = crashes.CrashDetector(
            clock=clock, counts=self.counts, used=used
        )
        self._latencies = latency.LatencyTracker(quantile=HEDGE_QUANTILE)
        self._requests_by_number: dict[int, request.RoutedRequest] = {}
        self._timers: list[tuple[float, int]] = []
        self._retry_delays = retry_delays.RetryDelays(rng=rng)
        self.key_guard = key_lease.KeyGuard(
            revoke_within=options.revoke_within,
            clock=clock,
            retry_delays=self._retry_delays,
            wake_at=lambda moment: heapq.heappush(
                self._timers, (moment, KEY_LEASE_TIMER)
            ),
        )
        self.usage_limit = (
            None
            if options.usage_caps is None
            else usage_limit.UsageLimit(caps=options.usage_caps, clock=clock, rng=rng)
        )
        self._admission = admission.RequestAdmission(
            key_guard=self.key_guard,
            caller_times=self._caller_times,
            crashes=self._crashes,
            retry_delays=self._retry_delays,
            used=used,
            clock=clock,
            rng=rng,
            usage_limit=self.usage_limit,
        )
        self._reachability = reachability.Reachability(
            fleet=self.fleet,
            counts=self.counts,
            clock=clock,
            wake_at=lambda moment: heapq.heappush(
                self._timers, (moment, REACHABILITY_TIMER)
            ),
        )
        self._partition = partition.PartitionDetector(
            fleet=self.fleet, zone=options.zone, clock=clock
        )
        self._observer = observation.Observer(
            fleet=self.fleet,
            latencies=self._latencies,
            reachability=self._reachability,
            crashes=self._crashes,
            versions=self._versions,
            counts=self.counts,
            used=used,
            clock=clock,
        )
        self._hedging = hedging.Hedging(latencies=self._latencies, used=used)
        self._delegation = delegation.Delegation(
            host_id=options.host_id, zone=options.zone, clock=clock, rng=rng
        )
        self._sender = sending.AttemptSender(
            fleet=self.fleet,
            hedging=self._hedging,
            delegation=self._delegation,
            latencies=self._latencies,
            reachability=self._reachability,
            counts=self.counts,
            used=used,
            clock=clock,
        )
        self._attempts_by_id = self._sender.attempts_by_id
        self._availability = availability.Availability(
            fleet=self.fleet, used=used, clock=clock
        )
        self._planner = planning.RequestPlanner(
            fleet=self.fleet,
            sender=self._sender,
            consolidation=consolidation.Consolidation(
                fleet=self.fleet, delegation=self._delegation, zone=options.zone
            ),
            availability=self._availability,
            budget=self._budget,
            used=used,
            clock=clock,
        )
        self._borrower = borrowing.BudgetBorrower(
            budget=self._budget,
            clock=clock,
            rng=rng,
            wake_at=lambda moment: heapq.heappush(self._timers, (moment, BORROW_TIMER)),
        )
        self._extra_attempts = extra_attempts.ExtraAttemptPolicy(
            fleet=self.fleet,
            sender=self._sender,
            hedging=self._hedging,
            crashes=self._crashes,
            borrower=self._borrower,
            key_guard=self.key_guard,
            budget=self._budget,
            counts=self.counts,
            used=used,
            clock=clock,
        )
        self._completion = completion.RequestCompletion(
            refusals=refusals.Refusals(
                retry_delays=self._retry_delays,
                partition=self._partition,
                key_guard=self.key_guard,
            ),
            delegation=self._delegation,
            caller_times=self._caller_times,
            counts=self.counts,
            requests_by_number=self._requests_by_number,
            clock=clock,
        )
        self._outcomes = attempt_outcomes.AttemptOutcomes(
            attempts_by_id=self._attempts_by_id,
            availability=self._availability,
            observer=self._observer,
            extra_attempts=self._extra_attempts,
            crashes=self._crashes,
            counts=self.counts,
            settle=self._settle,
            clock=clock,
        )
        self._stranded = stranded.StrandedRequests(
            availability=self._availability,
            extra_attempts=self._extra_attempts,
            settle=self._settle,
            clock=clock,
        )
        self._handlers_by_event: dict[type, typing.Callable] = {
            events.RequestArrived: self._on_arrived,
            events.RequestAbandoned: self._on_abandoned,
            events.AnswerWritten: self._on_written,
            events.AttemptStarted: self._on_started,
            events.AttemptEnded: self._on_ended,
            events.AttemptsReported: self._on_reported,
            events.HelperEnded: self._on_helper_ended,
            events.EntryHostsChanged: self._on_entry_hosts,
            events.RoutingTableChanged: self._on_table,
            events.ConfigurationConfirmed: self._on_confirmed,
            events.ZonesDrained: self._on_zones_drained,
            events.RolloutsChanged: self._on_rollouts,
            events.RolloutReportsAcknowledged: self._on_rollout_reports,
            events.UpstreamsChanged: self._on_upstreams,
            events.HostCountChanged: self._on_hosts_counted,
            events.ListenerChecked: self._on_listener_checked,
            events.UpstreamProbed: self._on_probed,
            events.CrashesReported: self._on_crashes,
            events.OutliersReported: self._on_outliers,
            events.LoanReceived: self._on_loan,
            events.TimeReached: self._on_time,
        }

    @property
    def table(self) -> routes.RoutingTable | None:
        """Return the routing table in force, ``None`` if there is none yet."""
        return self._admission.table

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are not answered yet."""
        return len(self._requests_by_number)

    @property
    def _table_number(self) -> int:
        return 0 if self.table is None else self.table.number

    @property
    def is_cut_off(self) -> bool:
        """Return whether callers are better served by a host of another zone."""
        return self._used.sending_away and self._partition.is_cut_off

    def step(self, event: events.Event) -> list[events.Action]:
        """Apply one event and return the actions to perform, in order."""
        actions: list[events.Action] = []
        self._handlers_by_event[type(event)](event, actions)
        if self._timers:
            actions.append(events.WakeAt(moment=self._timers[0][0]))
        return actions

    def _on_table(
        self, in_force: events.RoutingTableChanged, actions: list[events.Action]
    ) -> None:
        self._admission.set_table(in_force.table)
        self.key_guard.set_teams(in_force.table.teams)
        self.fleet.set_limits(in_force.table.limits_by_service)
        services = frozenset(
            name for route in in_force.table.routes for name in route.service_names
        )
        self._budget.retain(services)

    def _on_confirmed(
        self, confirmed: events.ConfigurationConfirmed, actions: list[events.Action]
    ) -> None:
        self.key_guard.renew(confirmed.confirmed_at)

    def _on_zones_drained(
        self, drained: events.ZonesDrained, actions: list[events.Action]
    ) -> None:
        self.fleet.set_drained_zones(drained.zones)

    def _on_hosts_counted(
        self, counted: events.HostCountChanged, actions: list[events.Action]
    ) -> None:
        self._host_count = max(1, counted.count)
        self.fleet.set_hosts(counted.count)
        self._budget.set_hosts(counted.count)
        if self.usage_limit is not None:
            self.usage_limit.shares.set_host_count(counted.count)

    def _on_rollouts(
        self, changed: events.RolloutsChanged, actions: list[events.Action]
    ) -> None:
        self._versions.set_rollouts(changed.rollouts)

    def _on_rollout_reports(
        self, reports: events.RolloutReportsAcknowledged, actions: list[events.Action]
    ) -> None:
        self._versions.set_acknowledged(reports.is_acknowledged)

    def rollout_reports(self) -> tuple[rollouts.ServiceReport, ...]:
        """Return this host's report on each roll-out in progress."""
        return self._versions.reports(self.fleet.others_in_flight)

    def _request_rate(self, service: str) -> float:
        """Return the requests per second for a service over all hosts.

        They are extrapolated from those of this host.
        """
        return self._host_count * self._budget.request_rate(service)

    def _on_upstreams(
        self, changed: events.UpstreamsChanged, actions: list[events.Action]
    ) -> None:
        for entry in changed.entries:
            removed = self.fleet.apply_entry(entry)
            if removed is not None:
                address = removed.entry.address
                actions.append(events.CloseUpstreamConnections(address=address))

    def _on_arrived(
        self, arrived: events.RequestArrived, actions: list[events.Action]
    ) -> None:
        try:
            routed = self._admission.admit(arrived)
        except exceptions.RequestError as error:
            self.counts.refusals[error.code] += 1
            request_log.log_refusal(arrived, error, table=self._table_number)
            actions.append(events.Refuse(number=arrived.number, error=error))
            return
        self._requests_by_number[routed.number] = routed
        chosen_by_service = self._planner.plan(routed, table=self._table_number)
        # If too many shards have no upstream, nothing is sent: the replies of the other
        # shards would be discarded, and the error to the caller could not state that
        # the request did not run.
        if routed.can_reach_min_shards or not self._used.early_refusal:
            self._sender.send_first(routed, chosen_by_service, actions)
        self._settle(routed, actions)

    def _on_started(
        self, started: events.AttemptStarted, actions: list[events.Action]
    ) -> None:
        attempt = self._attempts_by_id.get(started.attempt)
        if attempt is not None:
            attempt.started_at = self._clock.monotonic()

    def _on_ended(
        self, ended: events.AttemptEnded, actions: list[events.Action]
    ) -> None:
        routed = self._outcomes.record_end(ended, actions)
        if routed is not None:
            is_success = isinstance(ended.outcome, events.Replied)
            is_success = is_success and ended.outcome.is_success
            self._settle(routed, actions, is_only_part=is_success)

    def _on_reported(
        self, reported: events.AttemptsReported, actions: list[events.Action]
    ) -> None:
        affected = [
            self._outcomes.record_end(ended, actions) for ended in reported.ended
        ]
        now = self._clock.monotonic()
        for attempt_id in reported.straggling:
            attempt = self._attempts_by_id.get(attempt_id)
            if attempt is not None and attempt.is_wanted:
                attempt.is_reported_pending = True
                attempt.shard.hedge_at = min(attempt.shard.hedge_at, now)
                affected.append(attempt.request)
        for routed in dict.fromkeys(affected):
            if routed is not None and not routed.is_over:
                self._extra_attempts.hedge_stragglers(routed, now, actions)
                self._settle(routed, actions)

    def _on_helper_ended(
        self, ended: events.HelperEnded, actions: list[events.Action]
    ) -> None:
        self._delegation.record_call_end(ended.address, failed=ended.failed)
        self.counts.delegations["failed" if ended.failed else "reported"] += 1

    def _on_entry_hosts(
        self, changed: events.EntryHostsChanged, actions: list[events.Action]
    ) -> None:
        self._delegation.set_hosts(changed.hosts)
        self._borrower.set_hosts(self._delegation.peer_addresses)

    def lend(self, services: abc.Iterable[str]) -> tuple[str, ...]:
        """Lend extra attempts to another host.

        :param services: one entry for each extra attempt that it wants.
        :returns: the entries for which it may send one.
        """
        lent = tuple(service for service in services if self._budget.try_lend(service))
        self.counts.loans["lent"] += len(lent)
        return lent

    def _on_loan(self, loan: events.LoanReceived, actions: list[events.Action]) -> None:
        self.counts.loans["borrowed"] += len(loan.services)
        now = self._clock.monotonic()
        for attempt in self._borrower.record_loan(loan):
            routed, shard = attempt.request, attempt.shard
            if shard.held is attempt:
                self._outcomes.retry_held(attempt, actions)
            elif loan.services and shard.is_pending and not routed.is_over:
                shard.hedge_at = now
                self._extra_attempts.hedge_stragglers(routed, now, actions)
                self._settle(routed, actions)

    def _on_probed(
        self, probed: events.UpstreamProbed, actions: list[events.Action]
    ) -> None:
        if self._reachability.apply_probe(probed):
            self._outcomes.fail_unreachable_attempts(actions)

    def _on_listener_checked(
        self, checked: events.ListenerChecked, actions: list[events.Action]
    ) -> None:
        for attempt in self._crashes.apply_listener_check(checked, actions):
            self._outcomes.retry_held(attempt, actions)

    def _on_crashes(
        self, reported: events.CrashesReported, actions: list[events.Action]
    ) -> None:
        self._crashes.record_reports(reported.crashes)

    def _on_outliers(
        self, reported: events.OutliersReported, actions: list[events.Action]
    ) -> None:
        for outlier in reported.outliers:
            key = f"{self._host_id}\0{outlier.upstream_id}".encode()
            if xxhash.xxh64_intdigest(key) % HOSTS_PER_RECOVERY_CHECK:
                self.fleet.record_outlier(outlier)

    def _settle(
        self,
        routed: request.RoutedRequest,
        actions: list[events.Action],
        *,
        is_only_part: bool = False,
    ) -> None:
        """Answer a request if its outcome is certain, else schedule its next wake-up.

        :param is_only_part: whether the only change was that a part arrived.
        """
        if routed.is_over:
            return
        self._completion.settle(routed, actions)
        if routed.is_over:
            return
        has_just_enough = routed.part_count == routed.route.min_shards
        if is_only_part and not has_just_enough and routed.wake_at < float("inf"):
            # A part only removes wake-up times, so the scheduled one is early enough.
            return
        wake_at = routed.next_wake_at()
        if wake_at < routed.wake_at:
            routed.wake_at = wake_at
            heapq.heappush(self._timers, (wake_at, routed.number))

    def _on_abandoned(
        self, abandoned: events.RequestAbandoned, actions: list[events.Action]
    ) -> None:
        routed = self._requests_by_number.get(abandoned.number)
        if routed is not None:
            self._completion.end(routed, "caller_left", actions)

    def _on_written(
        self, written: events.AnswerWritten, actions: list[events.Action]
    ) -> None:
        self._caller_times.record_lateness(written.route, written.late)
        if not written.is_held:
            return
        if self._used.lag:
            self._caller_times.record_lag(written.late)
        request_log.log_lag(written.late, self._caller_times.lag)

    def _on_time(
        self, reached: events.TimeReached, actions: list[events.Action]
    ) -> None:
        now = self._clock.monotonic()
        while self._timers and self._timers[0][0] <= now:
            due_at, number = heapq.heappop(self._timers)
            if number == BORROW_TIMER:
                self._borrower.request_loan(actions)
                continue
            if number == KEY_LEASE_TIMER:
                self.key_guard.update(is_timer=True)
                continue
            if number == REACHABILITY_TIMER:
                if self._used.probing:
                    self._reachability.check(self._attempts_by_id.values(), actions)
                self._partition.update(self.table, actions)
                self._outcomes.fail_unreachable_attempts(actions)
                self._availability.check(self._attempts_by_id.values(), due_at=due_at)
                self._stranded.end(self._requests_by_number.values(), actions)
                continue
            routed = self._requests_by_number.get(number)
            if routed is None:
                continue
            routed.wake_at = float("inf")
            for shard in routed.pending:
                if shard.held is not None and shard.held_until <= now:
                    self._outcomes.retry_held(shard.held, actions)
                if shard.hedge_at <= now:
                    self._delegation.record_missed_reports(
                        attempt.helper_address for attempt in shard.attempts
                    )
            self._extra_attempts.hedge_stragglers(routed, now, actions)
            self._settle(routed, actions)
