"""Components of the router, each constructed from those that it uses."""

import functools

from greengagehaven import clock as clocks
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
    extra_attempt_budget,
    extra_attempts,
    fleet,
    hedging,
    key_lease,
    mechanisms,
    observation,
    options,
    partition,
    placement,
    planning,
    reachability,
    refusals,
    request,
    retry_delays,
    sending,
    service_demand,
    settling,
    stop_deadline,
    stranded,
    timers,
    usage_limit,
    versions,
)

HEDGE_QUANTILE = 0.95
"""Quantile of the latency above which an attempt counts as straggling. One attempt in
twenty is hedged then, half of the least extra-attempt ratio that operators set."""


class Components:
    """Constructs each component once, when it is first used.

    :param options: settings of the router.
    :param clock: monotonic time.
    :param rng: source of randomness for weights, ties and retry delays.
    """

    def __init__(
        self, *, options: options.Options, clock: clocks.Clock, rng: rngs.Rng
    ) -> None:
        self.options = options
        self.used: mechanisms.Mechanisms = options.enabled_mechanisms
        self.clock = clock
        self.rng = rng
        self.timers = timers.Timers()
        self.requests_by_number: dict[int, request.RoutedRequest] = {}

    @functools.cached_property
    def versions(self) -> versions.VersionSelector:
        """Return what chooses among the software versions of a service."""
        return versions.VersionSelector(
            exposure_limit=self.options.exposure_bound,
            demand=self.demand.request_rate,
            clock=self.clock,
            rng=self.rng,
        )

    @functools.cached_property
    def fleet(self) -> fleet.Fleet:
        """Return the known upstreams."""
        return fleet.Fleet(
            cold_rate_limit=self.options.cold_bound,
            cost_model=placement.ExpectedLatencyCost(
                zone=self.options.zone, used=self.used, rng=self.rng
            ),
            versions=self.versions,
            used=self.used,
            clock=self.clock,
        )

    @functools.cached_property
    def counts(self) -> counts.Counts:
        """Return the counts for metrics, which all components share."""
        return counts.Counts()

    @functools.cached_property
    def budget(self) -> extra_attempt_budget.ExtraAttemptBudget:
        """Return the extra-attempt budget of this host."""
        return extra_attempt_budget.ExtraAttemptBudget(
            ratio=self.options.retry_ratio,
            burst=self.options.retry_burst,
            window=self.options.retry_window,
            clock=self.clock,
        )

    @functools.cached_property
    def demand(self) -> service_demand.ServiceDemand:
        """Return the estimate of request rates over all hosts."""
        return service_demand.ServiceDemand(budget=self.budget)

    @functools.cached_property
    def caller_times(self) -> callers.CallerTimes:
        """Return the estimates of callers' timeouts, network latency and lag."""
        return callers.CallerTimes(used=self.used)

    @functools.cached_property
    def crashes(self) -> crashes.CrashDetector:
        """Return the detector of requests that crash upstreams."""
        return crashes.CrashDetector(
            clock=self.clock, counts=self.counts, used=self.used
        )

    @functools.cached_property
    def latencies(self) -> latency.LatencyTracker:
        """Return the latencies of each class of requests."""
        return latency.LatencyTracker(quantile=HEDGE_QUANTILE)

    @functools.cached_property
    def retry_delays(self) -> retry_delays.RetryDelays:
        """Return the delays after which callers may retry."""
        return retry_delays.RetryDelays(rng=self.rng)

    @functools.cached_property
    def key_guard(self) -> key_lease.KeyGuard:
        """Return the guard that refuses requests of teams without a key lease."""
        return key_lease.KeyGuard(
            revoke_within=self.options.revoke_within,
            clock=self.clock,
            retry_delays=self.retry_delays,
            wake_at=lambda moment: self.timers.add(moment, timers.KEY_LEASE_TIMER),
        )

    @functools.cached_property
    def usage_limit(self) -> usage_limit.UsageLimit | None:
        """Return the limits of teams over all hosts, ``None`` without caps."""
        if self.options.usage_caps is None:
            return None
        return usage_limit.UsageLimit(
            caps=self.options.usage_caps, clock=self.clock, rng=self.rng
        )

    @functools.cached_property
    def stop_deadline(self) -> stop_deadline.StopDeadline:
        """Return what limits deadlines once this host is stopping."""
        return stop_deadline.StopDeadline(retry_delays=self.retry_delays)

    @functools.cached_property
    def admission(self) -> admission.RequestAdmission:
        """Return what admits or refuses arrived requests."""
        return admission.RequestAdmission(
            key_guard=self.key_guard,
            caller_times=self.caller_times,
            crashes=self.crashes,
            retry_delays=self.retry_delays,
            stop_deadline=self.stop_deadline,
            used=self.used,
            clock=self.clock,
            rng=self.rng,
            usage_limit=self.usage_limit,
        )

    @functools.cached_property
    def reachability(self) -> reachability.Reachability:
        """Return what checks whether upstreams can be reached."""
        return reachability.Reachability(
            fleet=self.fleet,
            counts=self.counts,
            clock=self.clock,
            wake_at=lambda moment: self.timers.add(moment, timers.REACHABILITY_TIMER),
        )

    @functools.cached_property
    def partition(self) -> partition.PartitionDetector:
        """Return what detects that this host is cut off from other zones."""
        return partition.PartitionDetector(
            fleet=self.fleet, zone=self.options.zone, clock=self.clock
        )

    @functools.cached_property
    def observer(self) -> observation.Observer:
        """Return what applies outcomes of attempts to the state of upstreams."""
        return observation.Observer(
            fleet=self.fleet,
            latencies=self.latencies,
            reachability=self.reachability,
            crashes=self.crashes,
            versions=self.versions,
            counts=self.counts,
            used=self.used,
            clock=self.clock,
        )

    @functools.cached_property
    def hedging(self) -> hedging.Hedging:
        """Return what determines when a straggling attempt is hedged."""
        return hedging.Hedging(latencies=self.latencies, used=self.used)

    @functools.cached_property
    def delegation(self) -> delegation.Delegation:
        """Return what assigns attempts to helpers."""
        return delegation.Delegation(
            host_id=self.options.host_id,
            zone=self.options.zone,
            clock=self.clock,
            rng=self.rng,
        )

    @functools.cached_property
    def sender(self) -> sending.AttemptSender:
        """Return what sends attempts."""
        return sending.AttemptSender(
            fleet=self.fleet,
            hedging=self.hedging,
            delegation=self.delegation,
            latencies=self.latencies,
            reachability=self.reachability,
            counts=self.counts,
            used=self.used,
            clock=self.clock,
        )

    @functools.cached_property
    def availability(self) -> availability.Availability:
        """Return what finds silent upstreams and unavailable shards."""
        return availability.Availability(
            fleet=self.fleet, used=self.used, clock=self.clock
        )

    @functools.cached_property
    def planner(self) -> planning.RequestPlanner:
        """Return what chooses the upstreams of first attempts."""
        return planning.RequestPlanner(
            fleet=self.fleet,
            sender=self.sender,
            consolidation=consolidation.Consolidation(
                fleet=self.fleet, delegation=self.delegation, zone=self.options.zone
            ),
            availability=self.availability,
            budget=self.budget,
            used=self.used,
            clock=self.clock,
        )

    @functools.cached_property
    def borrower(self) -> borrowing.BudgetBorrower:
        """Return what borrows extra attempts from other hosts."""
        return borrowing.BudgetBorrower(
            budget=self.budget,
            clock=self.clock,
            rng=self.rng,
            wake_at=lambda moment: self.timers.add(moment, timers.BORROW_TIMER),
        )

    @functools.cached_property
    def extra_attempts(self) -> extra_attempts.ExtraAttemptPolicy:
        """Return what decides on retries and hedges."""
        return extra_attempts.ExtraAttemptPolicy(
            fleet=self.fleet,
            sender=self.sender,
            hedging=self.hedging,
            crashes=self.crashes,
            borrower=self.borrower,
            key_guard=self.key_guard,
            budget=self.budget,
            counts=self.counts,
            used=self.used,
            clock=self.clock,
        )

    @functools.cached_property
    def completion(self) -> completion.RequestCompletion:
        """Return what decides when a request is answered."""
        return completion.RequestCompletion(
            refusals=refusals.Refusals(
                retry_delays=self.retry_delays,
                partition=self.partition,
                key_guard=self.key_guard,
                stop_deadline=self.stop_deadline,
            ),
            delegation=self.delegation,
            caller_times=self.caller_times,
            stop_deadline=self.stop_deadline,
            counts=self.counts,
            requests_by_number=self.requests_by_number,
            clock=self.clock,
        )

    @functools.cached_property
    def settler(self) -> settling.RequestSettler:
        """Return what answers requests or schedules their next wake-up."""
        return settling.RequestSettler(completion=self.completion, timers=self.timers)

    @functools.cached_property
    def outcomes(self) -> attempt_outcomes.AttemptOutcomes:
        """Return what applies ends of attempts to requests."""
        return attempt_outcomes.AttemptOutcomes(
            attempts_by_id=self.sender.attempts_by_id,
            availability=self.availability,
            observer=self.observer,
            extra_attempts=self.extra_attempts,
            crashes=self.crashes,
            counts=self.counts,
            settler=self.settler,
            clock=self.clock,
        )

    @functools.cached_property
    def stranded(self) -> stranded.StrandedRequests:
        """Return what ends requests that only wait for silent upstreams."""
        return stranded.StrandedRequests(
            availability=self.availability,
            extra_attempts=self.extra_attempts,
            settler=self.settler,
            clock=self.clock,
        )
