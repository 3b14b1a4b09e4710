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
    mechanisms,
    observation,
    partition,
    placement,
    reachability,
    refusals,
    request,
    request_log,
    retry_delays,
    sending,
    versions,
    weights,
)
from greengagehaven.protocol import rollouts
from greengagehaven.state import routes

HEDGE_QUANTILE = 0.95
"""Quantile of the latency above which an attempt counts as straggling. One attempt in
twenty is hedged then, half of the least extra-attempt ratio that operators set."""

DEADLINE_MARGIN_S = 0.01
"""Seconds before a caller's deadline at which the request is ended; a packet to the
caller takes 1 to 3 ms, and timers fire up to 1 ms late."""

MAX_LISTENER_CHECK_S = 0.03
"""Seconds for which the retry of a lost attempt waits at most for the check of its
upstream. The check opens one connection, which takes 6 ms at most if the upstream
listens."""

REACHABILITY_TIMER = 0
"""Used in place of a request number for the timer of the reachability checks."""

HOSTS_PER_RECOVERY_CHECK = 16
"""One host in this many keeps sending requests to an outlier, to detect when it has
recovered."""

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
    :param enabled_mechanisms: mechanisms that are enabled; all of them except in
        trials.
    """

    zone: str
    host_id: str = ""
    retry_ratio: float = 0.1
    retry_burst: float = 20.0
    retry_window: float = 10.0
    cold_bound: fleet.ColdRateLimit = fleet.ColdRateLimit()
    exposure_bound: versions.ExposureLimit = versions.ExposureLimit()
    enabled_mechanisms: mechanisms.Mechanisms = mechanisms.Mechanisms()


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
        self.table: routes.RoutingTable | None = None
        self.counts = counts.Counts()
        self._clock = clock
        self._budget = extra_attempt_budget.ExtraAttemptBudget(
            ratio=options.retry_ratio,
            burst=options.retry_burst,
            window=options.retry_window,
            clock=clock,
        )
        self._caller_times = callers.CallerTimes()
        self._crashes = crashes.CrashDetector(
            clock=clock, counts=self.counts, used=used
        )
        self._latencies = latency.LatencyTracker(quantile=HEDGE_QUANTILE)
        self._requests_by_number: dict[int, request.RoutedRequest] = {}
        self._timers: list[tuple[float, int]] = []
        self._weights = weights.Weights(rng=rng)
        self._retry_delays = retry_delays.RetryDelays(rng=rng)
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
        self._consolidation = consolidation.Consolidation(
            fleet=self.fleet, delegation=self._delegation, zone=options.zone
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
            budget=self._budget,
            counts=self.counts,
            used=used,
            clock=clock,
        )
        self._completion = completion.RequestCompletion(
            refusals=refusals.Refusals(
                retry_delays=self._retry_delays, partition=self._partition
            ),
            delegation=self._delegation,
            caller_times=self._caller_times,
            counts=self.counts,
            requests_by_number=self._requests_by_number,
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
        self.table = in_force.table
        self.fleet.set_limits(in_force.table.limits_by_service)
        services = frozenset(
            name for route in in_force.table.routes for name in route.service_names
        )
        self._budget.retain(services)
        names = frozenset(route.name for route in in_force.table.routes)
        self._caller_times.retain(names)
        self._weights.retain(names)

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
            routed = self._admit(arrived)
        except exceptions.RequestError as error:
            request_log.log_refusal(arrived, error.code, table=self._table_number)
            actions.append(events.Refuse(number=arrived.number, error=error))
            return
        self._requests_by_number[routed.number] = routed
        chosen_by_service = {}
        typical_latency = self._sender.typical_latency(routed)
        for shard in routed.shards:
            self._budget.record_request(shard.service)
            chosen = self.fleet.choose(shard.service, typical_latency)
            if chosen is None:
                routed.record_failure(shard, "no_upstream")
            else:
                chosen_by_service[shard.service] = chosen
        if routed.is_sweep and self._used.consolidation and self._used.aggregation:
            self._consolidation.consolidate(chosen_by_service, typical_latency)
        request_log.log_plan(
            routed,
            chosen_by_service,
            table=self._table_number,
            now=self._clock.monotonic(),
        )
        # If too many shards have no upstream, nothing is sent: the replies of the other
        # shards would be discarded, and the error to the caller could not state that
        # the request did not run.
        if routed.can_reach_min_shards or not self._used.early_refusal:
            self._sender.send_first(routed, chosen_by_service, actions)
        self._settle(routed, actions)

    def _admit(self, arrived: events.RequestArrived) -> request.RoutedRequest:
        if self.table is None:
            raise exceptions.NotConfiguredError(
                "no routing table is in force yet",
                retry_after=self._retry_delays.without_table(),
            )
        route = self.table.find(arrived.host, arrived.path)
        if route is None:
            raise exceptions.NotFoundError("no route matches the host and path")
        self._crashes.check(
            arrived.fingerprint, retry_after=self._retry_delays.after_failure()
        )
        now = self._clock.monotonic()
        waited = self._caller_times.observe(route, arrived.time_left)
        time_left = route.timeout
        if arrived.time_left is not None:
            time_left = min(time_left, arrived.time_left)
        services = route.shards or (self._weights.pick(route),)
        return request.RoutedRequest(
            number=arrived.number,
            request_id=arrived.request_id,
            fingerprint=arrived.fingerprint,
            route=route,
            services=services,
            started_at=now,
            deadline=now + time_left - DEADLINE_MARGIN_S,
            answer_by=self._answer_by(route, now, waited),
        )

    def _answer_by(self, route: routes.Route, now: float, waited: float) -> float:
        if not self._used.partial_answers:
            return float("inf")
        return now + self._caller_times.answer_within(route, waited)

    def _on_started(
        self, started: events.AttemptStarted, actions: list[events.Action]
    ) -> None:
        attempt = self._attempts_by_id.get(started.attempt)
        if attempt is not None:
            attempt.started_at = self._clock.monotonic()

    def _on_ended(
        self, ended: events.AttemptEnded, actions: list[events.Action]
    ) -> None:
        routed = self._record_end(ended, actions)
        if routed is not None:
            is_success = isinstance(ended.outcome, events.Replied)
            is_success = is_success and ended.outcome.is_success
            self._settle(routed, actions, is_only_part=is_success)

    def _on_reported(
        self, reported: events.AttemptsReported, actions: list[events.Action]
    ) -> None:
        affected = [self._record_end(ended, actions) for ended in reported.ended]
        now = self._clock.monotonic()
        for attempt_id in reported.straggling:
            attempt = self._attempts_by_id.get(attempt_id)
            if attempt is not None and attempt.is_wanted:
                attempt.shard.hedge_at = min(attempt.shard.hedge_at, now)
                affected.append(attempt.request)
        for routed in dict.fromkeys(affected):
            if routed is not None and not routed.is_over:
                self._hedge_stragglers(routed, now, actions)
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
        for attempt in self._borrower.record_loan(loan):
            self._retry_held(attempt, actions)

    def _record_end(
        self, ended: events.AttemptEnded, actions: list[events.Action]
    ) -> request.RoutedRequest | None:
        """Record the end of an attempt; return its request if that needed its reply."""
        attempt = self._attempts_by_id.pop(ended.attempt, None)
        if attempt is None:
            return None
        if isinstance(ended.outcome, events.Replied) and not attempt.helper_address:
            attempt.request.replied_at = self._clock.monotonic()
        attempt.upstream.sent_at_by_attempt.pop(attempt.id, None)
        if attempt in attempt.shard.attempts:
            attempt.shard.attempts.remove(attempt)
        self._observer.apply_outcome(attempt, ended.outcome, actions)
        routed, outcome = attempt.request, ended.outcome
        is_success = isinstance(outcome, events.Replied) and outcome.is_success
        # Records that were merged with those of other parts cannot be left out any
        # more, so this part is used even if a hedge has delivered another one.
        is_wanted = attempt.is_wanted or (is_success and outcome.is_merged)
        if routed.is_over or not is_wanted:
            return None
        if is_success:
            self._record_part(attempt, outcome, actions)
        else:
            self._record_failure(attempt, outcome, actions)
        return routed

    def _record_part(
        self,
        attempt: request.Attempt,
        reply: events.Replied,
        actions: list[events.Action],
    ) -> None:
        shard = attempt.shard
        attempt.replied_at = self._clock.monotonic()
        attempt.size = reply.size
        attempt.request.record_part(shard, attempt)
        completion.release(shard.attempts, actions)

    def _on_probed(
        self, probed: events.UpstreamProbed, actions: list[events.Action]
    ) -> None:
        if self._reachability.apply_probe(probed):
            self._fail_unreachable_attempts(actions)

    def _fail_unreachable_attempts(self, actions: list[events.Action]) -> None:
        """Fail attempts at unreachable upstreams whose requests are idempotent.

        Other requests keep waiting: they may have run, and must not be sent again.
        """
        for attempt in list(self._attempts_by_id.values()):
            is_stuck = not attempt.upstream.is_reachable and attempt.is_wanted
            if is_stuck and attempt.request.route.is_idempotent:
                self._fail_unreachable(attempt, actions)

    def _fail_unreachable(
        self, attempt: request.Attempt, actions: list[events.Action]
    ) -> None:
        """Release and fail an attempt at an unreachable upstream."""
        completion.release([attempt], actions)
        if attempt.request.is_over:
            return
        attempt.shard.attempts.remove(attempt)
        failed = events.Failed(fault=events.Fault.CANCELLED, detail="out of reach")
        self._record_failure(attempt, failed, actions)
        self._settle(attempt.request, actions)

    def _on_listener_checked(
        self, checked: events.ListenerChecked, actions: list[events.Action]
    ) -> None:
        for attempt in self._crashes.apply_listener_check(checked, actions):
            self._retry_held(attempt, actions)

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

    def _record_failure(
        self,
        attempt: request.Attempt,
        outcome: events.Replied | events.Failed,
        actions: list[events.Action],
    ) -> None:
        routed, shard = attempt.request, attempt.shard
        request_log.log_failed_attempt(attempt, outcome, self._clock.monotonic())
        did_not_run = _did_not_run(outcome)
        if did_not_run:
            shard.runs -= 1
        if isinstance(outcome, events.Replied) and outcome.was_rejected_with_free_slots:
            shard.rejected_by.add(attempt.upstream.entry.id)
        if not self._counts_as_arrived(attempt, outcome):
            shard.arrivals -= 1
        if isinstance(outcome, events.Replied) and not did_not_run:
            shard.reply = attempt
        shard.failure = request.failure_reason(outcome)
        self.counts.failures[shard.failure] += 1
        if shard.attempts:
            return
        if self._crashes.is_under_investigation(attempt) and routed.route.is_idempotent:
            shard.hold(attempt, until=self._clock.monotonic() + MAX_LISTENER_CHECK_S)
            return
        if self._is_final(outcome) or not self._extra_attempts.retry(
            attempt, actions, did_not_run=did_not_run
        ):
            routed.record_failure(shard, shard.failure)

    def _counts_as_arrived(
        self, attempt: request.Attempt, outcome: events.Replied | events.Failed
    ) -> bool:
        """Return whether an attempt counts as having reached its service."""
        if isinstance(outcome, events.Replied):
            return True
        took = self._clock.monotonic() - attempt.sent_at
        return not outcome.is_probably_unread(took, attempt.typical_latency)

    def _retry_held(
        self, attempt: request.Attempt, actions: list[events.Action]
    ) -> None:
        """Retry a failed attempt that was held.

        It waited for a loan, or for the check of its upstream after a lost connection.
        Without that check, if all upstreams of a service crash at once, the retry would
        be sent to the next one before its closed connections are noticed. It would be
        lost as well, and a harmless request would be quarantined for both crashes.
        """
        routed, shard = attempt.request, attempt.shard
        if shard.held is not attempt or routed.is_over:
            return
        shard.resume()
        if not self._extra_attempts.retry(attempt, actions):
            routed.record_failure(shard, shard.failure)
        self._settle(routed, actions)

    def _is_final(self, outcome: events.Replied | events.Failed) -> bool:
        """Return whether a retry on another upstream would get the same reply."""
        is_reply = isinstance(outcome, events.Replied) and not outcome.not_run
        return is_reply and 400 <= outcome.status < 500 and not _did_not_run(outcome)

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
        if self._used.lag:
            self._caller_times.record_lag(written.late)
        request_log.log_lag(written.late, self._caller_times.lag)

    def _on_time(
        self, reached: events.TimeReached, actions: list[events.Action]
    ) -> None:
        now = self._clock.monotonic()
        while self._timers and self._timers[0][0] <= now:
            _, number = heapq.heappop(self._timers)
            if number == BORROW_TIMER:
                self._borrower.request_loan(actions)
                continue
            if number == REACHABILITY_TIMER:
                if self._used.probing:
                    self._reachability.check(self._attempts_by_id.values(), actions)
                self._partition.update(self.table, actions)
                self._fail_unreachable_attempts(actions)
                continue
            routed = self._requests_by_number.get(number)
            if routed is None:
                continue
            routed.wake_at = float("inf")
            for shard in routed.pending:
                if shard.held is not None and shard.held_until <= now:
                    self._retry_held(shard.held, actions)
                if shard.hedge_at <= now:
                    self._record_silent_helpers(shard)
            self._hedge_stragglers(routed, now, actions)
            self._settle(routed, actions)

    def _record_silent_helpers(self, shard: request.ShardState) -> None:
        """Record helpers that have not reported by the time a shard is hedged.

        A helper that reports in time triggers the hedge with its report instead.
        """
        for attempt in shard.attempts:
            if attempt.helper_address:
                self._delegation.record_missed_report(attempt.helper_address)

    def _hedge_stragglers(
        self,
        routed: request.RoutedRequest,
        now: float,
        actions: list[events.Action],
    ) -> None:
        """Hedge straggling shards once replies have stopped arriving."""
        for shard in routed.pending:
            if shard.hedge_at > now:
                continue
            own = [attempt for attempt in shard.attempts if not attempt.helper_address]
            if routed.is_sweep and own:
                shard.hedge_at = self._hedging.postponed_hedge_at(own[0], now)
            if shard.hedge_at <= now:
                self._extra_attempts.hedge(routed, shard, actions)


def _did_not_run(outcome: events.Replied | events.Failed) -> bool:
    if isinstance(outcome, events.Failed):
        return outcome.fault in events.NOT_SENT
    return outcome.not_run or outcome.status == observation.MISDIRECTED
