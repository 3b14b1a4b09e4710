"""The router of an entry host: events in, actions out.

A request goes to one upstream of a service, or to one of each shard. Stragglers
are hedged and failures retried, where the request may run again and the budget
that all entry hosts share allows it.
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
    answering,
    callers,
    consolidation,
    counts,
    crashes,
    delegation,
    events,
    extra,
    fleet,
    further,
    hedging,
    lending,
    mechanisms,
    narration,
    observation,
    partition,
    placement,
    reachability,
    refusals,
    request,
    returns,
    sending,
    versions,
    weights,
)
from greengagehaven.protocol import rollouts
from greengagehaven.state import routes

HEDGE_QUANTILE = 0.95
"""Latency above which a sub-request counts as straggling: one in twenty, which is
half of the extra attempts that operators allow at least."""

DEADLINE_MARGIN_S = 0.01
"""Seconds before a caller's deadline at which it gets its final answer; the way to
callers takes 1 to 3 ms, timers fire up to 1 ms late."""

HOLD_S = 0.03
"""Seconds that a lost attempt waits at most for a look at its upstream, which takes
one connection, 6 ms at most where it listens."""

WATCH_NUMBER = 0
"""Stands among the numbers of requests for the look at silent upstreams."""

CANARY_HOSTS = 16
"""One host in so many goes on asking an outlier, and finds out when it is well."""

LOAN_NUMBER = -1
"""Stands among them for a call to a host that may lend."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """What the router is told.

    :param zone: availability zone of this host.
    :param host_id: name of this host among those of its zone.
    :param retry_ratio: extra attempts allowed for each request of a service.
    :param retry_burst: extra attempts allowed besides, over all hosts.
    :param retry_window: seconds over which they are counted.
    :param cold_bound: how the rate of cold upstreams is widened.
    :param exposure_bound: of requests to a version of a service's software that is
        not proved, over all hosts.
    :param used: mechanisms that are used, all but in trials.
    """

    zone: str
    host_id: str = ""
    retry_ratio: float = 0.1
    retry_burst: float = 20.0
    retry_window: float = 10.0
    cold_bound: fleet.ColdBound = fleet.ColdBound()
    exposure_bound: versions.ExposureBound = versions.ExposureBound()
    used: mechanisms.Mechanisms = mechanisms.Mechanisms()


class Router:
    """Decides what becomes of each request; performs no input or output.

    :param options: what it is told.
    :param clock: monotonic time.
    :param rng: for weights, ties and the spread of returns.
    """

    def __init__(self, *, options: Options, clock: clocks.Clock, rng: rngs.Rng) -> None:
        used = options.used
        self._used = used
        self._host_id = options.host_id
        self._hosts = 1
        self._versions = versions.Versions(
            bound=options.exposure_bound, demand=self._demand, clock=clock, rng=rng
        )
        self.fleet = fleet.Fleet(
            cold_bound=options.cold_bound,
            placed_by=placement.ExpectedLatency(zone=options.zone, used=used, rng=rng),
            of_versions=self._versions,
            used=used,
            clock=clock,
        )
        self.table: routes.RoutingTable | None = None
        self.counts = counts.Counts()
        self._clock = clock
        self._extra = extra.ExtraAttempts(
            ratio=options.retry_ratio,
            burst=options.retry_burst,
            window=options.retry_window,
            clock=clock,
        )
        self._callers = callers.CallerTimes()
        self._crashes = crashes.Crashes(clock=clock, counted=self.counts, used=used)
        self._latencies = latency.LatencyBook(quantile=HEDGE_QUANTILE)
        self._requests_by_number: dict[int, request.RoutedRequest] = {}
        self._timers: list[tuple[float, int]] = []
        self._weights = weights.Weights(rng=rng)
        self._returns = returns.Returns(rng=rng)
        self._reach = reachability.Reachability(
            of_fleet=self.fleet,
            counted=self.counts,
            clock=clock,
            wake_at=lambda moment: heapq.heappush(self._timers, (moment, WATCH_NUMBER)),
        )
        self._partition = partition.Partition(
            of_fleet=self.fleet, zone=options.zone, clock=clock
        )
        self._observer = observation.Observer(
            of_fleet=self.fleet,
            latencies=self._latencies,
            reach=self._reach,
            of_crashes=self._crashes,
            of_versions=self._versions,
            counted=self.counts,
            used=used,
            clock=clock,
        )
        self._hedging = hedging.Hedging(latencies=self._latencies, used=used)
        self._delegation = delegation.Delegation(
            host_id=options.host_id, zone=options.zone, clock=clock, rng=rng
        )
        self._consolidation = consolidation.Consolidation(
            of_fleet=self.fleet, of_delegation=self._delegation, zone=options.zone
        )
        self._sending = sending.Sending(
            of_fleet=self.fleet,
            of_hedging=self._hedging,
            of_delegation=self._delegation,
            latencies=self._latencies,
            reach=self._reach,
            counted=self.counts,
            used=used,
            clock=clock,
        )
        self._attempts_by_id = self._sending.attempts_by_id
        self._lending = lending.Lending(
            budget=self._extra,
            clock=clock,
            rng=rng,
            wake_at=lambda moment: heapq.heappush(self._timers, (moment, LOAN_NUMBER)),
        )
        self._further = further.Further(
            of_fleet=self.fleet,
            of_sending=self._sending,
            of_hedging=self._hedging,
            of_crashes=self._crashes,
            of_lending=self._lending,
            budget=self._extra,
            counted=self.counts,
            used=used,
            clock=clock,
        )
        self._answering = answering.Answering(
            of_refusals=refusals.Refusals(
                of_returns=self._returns, of_partition=self._partition
            ),
            of_delegation=self._delegation,
            of_callers=self._callers,
            counted=self.counts,
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
            events.TableInForce: self._on_table,
            events.ZonesDrained: self._on_zones_drained,
            events.RolloutsChanged: self._on_rollouts,
            events.RolloutReportsAcknowledged: self._on_rollout_reports,
            events.UpstreamsChanged: self._on_upstreams,
            events.HostsCounted: self._on_hosts_counted,
            events.ListenerChecked: self._on_listener_checked,
            events.UpstreamProbed: self._on_probed,
            events.CrashesReported: self._on_crashes,
            events.OutliersReported: self._on_outliers,
            events.LoanCame: self._on_loan,
            events.TimeReached: self._on_time,
        }

    @property
    def in_flight(self) -> int:
        """Return how many requests have no answer yet."""
        return len(self._requests_by_number)

    @property
    def _table_number(self) -> int:
        return 0 if self.table is None else self.table.number

    @property
    def is_cut_off(self) -> bool:
        """Tell whether callers are better served by a host of another zone."""
        return self._used.sending_away and self._partition.is_cut_off

    def step(self, event: events.Event) -> list[events.Action]:
        """Take one event and return what is to be done, in order."""
        actions: list[events.Action] = []
        self._handlers_by_event[type(event)](event, actions)
        if self._timers:
            actions.append(events.WakeAt(moment=self._timers[0][0]))
        return actions

    def _on_table(
        self, in_force: events.TableInForce, actions: list[events.Action]
    ) -> None:
        self.table = in_force.table
        self.fleet.set_limits(in_force.table.limits_by_service)
        services = frozenset(
            name for route in in_force.table.routes for name in route.service_names
        )
        self._extra.retain(services)
        names = frozenset(route.name for route in in_force.table.routes)
        self._callers.retain(names)
        self._weights.retain(names)

    def _on_zones_drained(
        self, drained: events.ZonesDrained, actions: list[events.Action]
    ) -> None:
        self.fleet.set_drained_zones(drained.zones)

    def _on_hosts_counted(
        self, counted: events.HostsCounted, actions: list[events.Action]
    ) -> None:
        self._hosts = max(1, counted.count)
        self.fleet.set_hosts(counted.count)
        self._extra.set_hosts(counted.count)

    def _on_rollouts(
        self, changed: events.RolloutsChanged, actions: list[events.Action]
    ) -> None:
        self._versions.set_rollouts(changed.rollouts)

    def _on_rollout_reports(
        self, reports: events.RolloutReportsAcknowledged, actions: list[events.Action]
    ) -> None:
        self._versions.set_acknowledged(reports.is_acknowledged)

    def rollout_reports(self) -> tuple[rollouts.ServiceReport, ...]:
        """Return what this host has of each roll-out in progress."""
        return self._versions.reports(self.fleet.others_in_flight)

    def _demand(self, service: str) -> float:
        """Return the requests a second for a service, by those of this host."""
        return self._hosts * self._extra.request_rate(service)

    def _on_upstreams(
        self, changed: events.UpstreamsChanged, actions: list[events.Action]
    ) -> None:
        for entry in changed.entries:
            left = self.fleet.take(entry)
            if left is not None:
                address = left.entry.address
                actions.append(events.ForgetUpstream(address=address))

    def _on_arrived(
        self, arrived: events.RequestArrived, actions: list[events.Action]
    ) -> None:
        try:
            routed = self._admit(arrived)
        except exceptions.RequestError as error:
            narration.tell_refusal(arrived, error.code, table=self._table_number)
            actions.append(events.Refuse(number=arrived.number, error=error))
            return
        self._requests_by_number[routed.number] = routed
        chosen_by_service = {}
        usual = self._sending.usual(routed)
        for shard in routed.shards:
            self._extra.earn(shard.service)
            chosen = self.fleet.choose(shard.service, usual)
            if chosen is None:
                routed.record_failure(shard, "no_upstream")
            else:
                chosen_by_service[shard.service] = chosen
        if routed.is_sweep and self._used.consolidation and self._used.aggregation:
            self._consolidation.consolidate(chosen_by_service, usual)
        narration.tell_plan(
            routed,
            chosen_by_service,
            table=self._table_number,
            now=self._clock.monotonic(),
        )
        # Where too many shards have no upstream nothing is sent: what the others
        # run would be thrown away, and the caller be told that it may have run.
        if routed.can_be_complete_enough or not self._used.early_refusal:
            self._sending.first(routed, chosen_by_service, actions)
        self._settle(routed, actions)

    def _admit(self, arrived: events.RequestArrived) -> request.RoutedRequest:
        if self.table is None:
            raise exceptions.NotConfiguredError(
                "no table of routes is in force yet",
                retry_after=self._returns.without_table(),
            )
        route = self.table.find(arrived.host, arrived.path)
        if route is None:
            raise exceptions.NotFoundError("no route matches host and path")
        self._crashes.check(arrived.fingerprint, retry_after=self._returns.at_once())
        now = self._clock.monotonic()
        waited = self._callers.observe(route, arrived.time_left)
        left = route.timeout
        if arrived.time_left is not None:
            left = min(left, arrived.time_left)
        services = route.shards or (self._weights.pick(route),)
        return request.RoutedRequest(
            number=arrived.number,
            request_id=arrived.request_id,
            fingerprint=arrived.fingerprint,
            route=route,
            services=services,
            started=now,
            deadline=now + left - DEADLINE_MARGIN_S,
            answer_by=self._answer_by(route, now, waited),
        )

    def _answer_by(self, route: routes.Route, now: float, waited: float) -> float:
        if not self._used.partial_answers:
            return float("inf")
        return now + self._callers.answer_within(route, waited)

    def _on_started(
        self, started: events.AttemptStarted, actions: list[events.Action]
    ) -> None:
        attempt = self._attempts_by_id.get(started.attempt)
        if attempt is not None:
            attempt.started_at = self._clock.monotonic()

    def _on_ended(
        self, ended: events.AttemptEnded, actions: list[events.Action]
    ) -> None:
        routed = self._take_end(ended, actions)
        if routed is not None:
            is_part = isinstance(ended.outcome, events.Replied)
            is_part = is_part and ended.outcome.is_success
            self._settle(routed, actions, is_only_part=is_part)

    def _on_reported(
        self, reported: events.AttemptsReported, actions: list[events.Action]
    ) -> None:
        concerned = [self._take_end(ended, actions) for ended in reported.ended]
        now = self._clock.monotonic()
        for number in reported.open:
            attempt = self._attempts_by_id.get(number)
            if attempt is not None and attempt.is_wanted:
                attempt.shard.hedge_at = min(attempt.shard.hedge_at, now)
                concerned.append(attempt.request)
        for routed in dict.fromkeys(concerned):
            if routed is not None and not routed.is_over:
                self._hedge_due(routed, now, actions)
                self._settle(routed, actions)

    def _on_helper_ended(
        self, ended: events.HelperEnded, actions: list[events.Action]
    ) -> None:
        self._delegation.note_ended(ended.address, failed=ended.failed)
        self.counts.delegations["failed" if ended.failed else "reported"] += 1

    def _on_entry_hosts(
        self, changed: events.EntryHostsChanged, actions: list[events.Action]
    ) -> None:
        self._delegation.set_hosts(changed.hosts)
        self._lending.set_hosts(self._delegation.zone_addresses)

    def lend(self, services: abc.Iterable[str]) -> tuple[str, ...]:
        """Return for which services another host may send an extra attempt each."""
        lent = tuple(service for service in services if self._extra.lend(service))
        self.counts.loans["lent"] += len(lent)
        return lent

    def _on_loan(self, came: events.LoanCame, actions: list[events.Action]) -> None:
        self.counts.loans["borrowed"] += len(came.services)
        for attempt in self._lending.on_loan(came):
            self._resume(attempt, actions)

    def _take_end(
        self, ended: events.AttemptEnded, actions: list[events.Action]
    ) -> request.RoutedRequest | None:
        """Take the end of an attempt; return the request that waited for it."""
        attempt = self._attempts_by_id.pop(ended.attempt, None)
        if attempt is None:
            return None
        if isinstance(ended.outcome, events.Replied) and not attempt.via:
            attempt.request.replied_at = self._clock.monotonic()
        attempt.upstream.sent_at_by_attempt.pop(attempt.id, None)
        if attempt in attempt.shard.attempts:
            attempt.shard.attempts.remove(attempt)
        self._observer.take(attempt, ended.outcome, actions)
        routed, outcome = attempt.request, ended.outcome
        is_part = isinstance(outcome, events.Replied) and outcome.is_success
        # Records that were merged with those of other parts cannot be left out any
        # more, so that part counts, also where a hedge brought another one.
        is_wanted = attempt.is_wanted or (is_part and outcome.is_merged)
        if routed.is_over or not is_wanted:
            return None
        if is_part:
            self._take_part(attempt, outcome, actions)
        else:
            self._take_failure(attempt, outcome, actions)
        return routed

    def _take_part(
        self,
        attempt: request.Attempt,
        reply: events.Replied,
        actions: list[events.Action],
    ) -> None:
        shard = attempt.shard
        attempt.replied_at = self._clock.monotonic()
        attempt.size = reply.size
        attempt.request.record_part(shard, attempt)
        answering.release(shard.attempts, actions)

    def _on_probed(
        self, probed: events.UpstreamProbed, actions: list[events.Action]
    ) -> None:
        if self._reach.take(probed):
            self._give_up_unreachable(actions)

    def _give_up_unreachable(self, actions: list[events.Action]) -> None:
        """Fail what may be sent again and waits for upstreams out of reach."""
        for attempt in list(self._attempts_by_id.values()):
            is_lost = not attempt.upstream.is_reachable and attempt.is_wanted
            if is_lost and attempt.request.route.is_idempotent:
                self._give_up(attempt, actions)

    def _give_up(self, attempt: request.Attempt, actions: list[events.Action]) -> None:
        """Fail an attempt at an upstream that is out of reach."""
        answering.release([attempt], actions)
        if attempt.request.is_over:
            return
        attempt.shard.attempts.remove(attempt)
        failed = events.Failed(fault=events.Fault.SILENT, detail="out of reach")
        self._take_failure(attempt, failed, actions)
        self._settle(attempt.request, actions)

    def _on_listener_checked(
        self, checked: events.ListenerChecked, actions: list[events.Action]
    ) -> None:
        for attempt in self._crashes.take_listener(checked, actions):
            self._resume(attempt, actions)

    def _on_crashes(
        self, reported: events.CrashesReported, actions: list[events.Action]
    ) -> None:
        self._crashes.take_reports(reported.crashes)

    def _on_outliers(
        self, reported: events.OutliersReported, actions: list[events.Action]
    ) -> None:
        for outlier in reported.outliers:
            key = f"{self._host_id}\0{outlier.upstream_id}".encode()
            if xxhash.xxh64_intdigest(key) % CANARY_HOSTS:
                self.fleet.record_outlier(outlier)

    def _take_failure(
        self,
        attempt: request.Attempt,
        outcome: events.Replied | events.Failed,
        actions: list[events.Action],
    ) -> None:
        routed, shard = attempt.request, attempt.shard
        narration.tell_failed(attempt, outcome, self._clock.monotonic())
        did_not_run = _did_not_run(outcome)
        if did_not_run:
            shard.runs -= 1
        if isinstance(outcome, events.Replied) and outcome.has_room:
            shard.rejected_by.add(attempt.upstream.entry.id)
        if not self._has_arrived(attempt, outcome):
            shard.arrivals -= 1
        if isinstance(outcome, events.Replied) and not did_not_run:
            shard.reply = attempt
        shard.failure = request.kind_of_failure(outcome)
        self.counts.failures[shard.failure] += 1
        if shard.attempts:
            return
        if self._crashes.is_looked_into(attempt) and routed.route.is_idempotent:
            shard.hold(attempt, until=self._clock.monotonic() + HOLD_S)
            return
        if self._is_final(outcome) or not self._further.retry(
            attempt, actions, did_not_run=did_not_run
        ):
            routed.record_failure(shard, shard.failure)

    def _has_arrived(
        self, attempt: request.Attempt, outcome: events.Replied | events.Failed
    ) -> bool:
        """Tell whether an attempt counts as one that reached its service."""
        if isinstance(outcome, events.Replied):
            return True
        took = self._clock.monotonic() - attempt.sent_at
        return not outcome.is_turned_away(took, attempt.usual)

    def _resume(self, attempt: request.Attempt, actions: list[events.Action]) -> None:
        """Send a request again that was held.

        It waited for room for an extra attempt, or for a look at its loss. Where all
        upstreams of a service crash at once, the next one would be lost too if it
        were asked at once, before the ends of its connections are seen, and a good
        request be convicted of both crashes.
        """
        routed, shard = attempt.request, attempt.shard
        if shard.held is not attempt or routed.is_over:
            return
        shard.resume()
        if not self._further.retry(attempt, actions):
            routed.record_failure(shard, shard.failure)
        self._settle(routed, actions)

    def _is_final(self, outcome: events.Replied | events.Failed) -> bool:
        """Tell whether another upstream would say the same."""
        is_reply = isinstance(outcome, events.Replied) and not outcome.not_run
        return is_reply and 400 <= outcome.status < 500 and not _did_not_run(outcome)

    def _settle(
        self,
        routed: request.RoutedRequest,
        actions: list[events.Action],
        *,
        is_only_part: bool = False,
    ) -> None:
        """Answer a request whose fate is certain, or wait for its next moment.

        :param is_only_part: whether nothing happened but that a part came.
        """
        if routed.is_over:
            return
        self._answering.settle(routed, actions)
        if routed.is_over:
            return
        is_enough_now = routed.part_count == routed.route.least_parts
        if is_only_part and not is_enough_now and routed.wake_at < float("inf"):
            # A part takes moments away; the wake-up that is set comes soon enough.
            return
        moment = routed.next_moment()
        if moment < routed.wake_at:
            routed.wake_at = moment
            heapq.heappush(self._timers, (moment, routed.number))

    def _on_abandoned(
        self, abandoned: events.RequestAbandoned, actions: list[events.Action]
    ) -> None:
        routed = self._requests_by_number.get(abandoned.number)
        if routed is not None:
            self._answering.end(routed, "caller_left", actions)

    def _on_written(
        self, written: events.AnswerWritten, actions: list[events.Action]
    ) -> None:
        if self._used.lag:
            self._callers.note_lag(written.late)
        narration.tell_lag(written.late, self._callers.lag)

    def _on_time(
        self, reached: events.TimeReached, actions: list[events.Action]
    ) -> None:
        now = self._clock.monotonic()
        while self._timers and self._timers[0][0] <= now:
            _, number = heapq.heappop(self._timers)
            if number == LOAN_NUMBER:
                self._lending.ask(actions)
                continue
            if number == WATCH_NUMBER:
                if self._used.probing:
                    self._reach.look(self._attempts_by_id.values(), actions)
                self._partition.look(self.table, actions)
                self._give_up_unreachable(actions)
                continue
            routed = self._requests_by_number.get(number)
            if routed is None:
                continue
            routed.wake_at = float("inf")
            for shard in routed.pending:
                if shard.held is not None and shard.held_until <= now:
                    self._resume(shard.held, actions)
                if shard.hedge_at <= now:
                    self._note_silent_helpers(shard)
            self._hedge_due(routed, now, actions)
            self._settle(routed, actions)

    def _note_silent_helpers(self, shard: request.ShardState) -> None:
        """Note hosts that have said nothing of a shard when it is hedged by the clock.

        One that reports makes it be hedged at its report.
        """
        for attempt in shard.attempts:
            if attempt.via:
                self._delegation.note_silent(attempt.via)

    def _hedge_due(
        self,
        routed: request.RoutedRequest,
        now: float,
        actions: list[events.Action],
    ) -> None:
        """Hedge the shards that straggle, once no replies come any more."""
        for shard in routed.pending:
            if shard.hedge_at > now:
                continue
            own = [attempt for attempt in shard.attempts if not attempt.via]
            if routed.is_sweep and own:
                shard.hedge_at = self._hedging.postponed(own[0], now)
            if shard.hedge_at <= now:
                self._further.hedge(routed, shard, actions)


def _did_not_run(outcome: events.Replied | events.Failed) -> bool:
    if isinstance(outcome, events.Failed):
        return outcome.fault in events.NOT_SENT
    return outcome.not_run or outcome.status == observation.MISDIRECTED
