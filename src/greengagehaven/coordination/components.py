"""Construction and wiring of the components of the decision core."""

import dataclasses

from greengagehaven import clock as clock_module
from greengagehaven import rng as rng_module
from greengagehaven.coordination import (
    dispatcher,
    execution,
    fair_queue,
    gates,
    headroom,
    hedging,
    isolation,
    latency,
    limits,
    options,
    ownership,
    plan,
    quarantine,
    replicas,
    selection,
    shedding,
    timers,
    usage,
    wait_times,
)
from greengagehaven.state import directory


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Components:
    """The components to which the core passes its events.

    :param planner: selects the snapshot and partitionings of a query.
    :param ledger: upstream time used by each subscriber.
    :param quarantine: suspected and quarantined requests.
    :param isolation: runs suspected requests apart from others.
    :param shedding: rejects queries early under overload.
    :param owners: assignment of upstreams to entry hosts.
    :param limits: concurrency limits of upstreams, as this host sees them.
    :param gates: admission queues of the upstreams that this host owns.
    :param dispatcher: attempts in flight and the queue of waiting sub-requests.
    :param execution: queries in progress.
    """

    planner: plan.Planner
    ledger: usage.UsageLedger
    quarantine: quarantine.Quarantine
    isolation: isolation.Isolation
    shedding: shedding.LoadShedder
    owners: ownership.Ownership
    limits: limits.UpstreamLimits
    gates: gates.Gates
    dispatcher: dispatcher.Dispatcher
    execution: execution.Execution


def build(
    *,
    clock: clock_module.Clock,
    rng: rng_module.Rng,
    directory: directory.DirectoryView,
    host_id: str,
    zone: str,
    options: options.Options,
    usable: plan.Usable,
    timers: timers.Timers,
) -> Components:
    """Build and connect the components of a core.

    :param usable: returns whether an upstream may receive new sub-requests.
    :param timers: timers of the core.
    """
    planner = plan.Planner(directory=directory)
    ledger = usage.UsageLedger(clock=clock)
    order = ledger if options.fairness else None
    waits = wait_times.WaitTimes()
    request_quarantine = quarantine.Quarantine(clock=clock, host_id=host_id)
    request_isolation = isolation.Isolation(
        quarantine=request_quarantine, enabled=options.quarantine
    )
    owners = ownership.Ownership(
        host_id=host_id, zone=zone, enabled=options.shared_limits
    )
    upstream_limits = (
        limits.SharedLimits() if options.shared_limits else limits.SlotLimits()
    )
    latencies = latency.LatencyTracker(quantile=options.hedge_quantile)
    hedge_policy = hedging.HedgePolicy(
        latencies=latencies,
        budget_ratio=options.hedge_budget if options.hedging else 0.0,
    )
    upstream_replicas = replicas.Replicas(
        clock=clock,
        directory=directory,
        upstream_limits=upstream_limits,
        selector=selection.Selector(
            rng=rng,
            zone=zone if options.zone_preference else None,
            ejection=options.ejection,
            owners=owners,
        ),
    )
    sub_request_dispatcher = dispatcher.Dispatcher(
        clock=clock,
        directory=directory,
        planner=planner,
        usable=usable,
        replicas=upstream_replicas,
        latencies=latencies,
        queue=fair_queue.FairQueue(order=order, waits=waits, standing=options.standing),
        ledger=ledger,
        headroom=headroom.Headroom(ledger=ledger, enabled=options.fairness),
        isolation=request_isolation,
        take_probe_token=hedge_policy.take_probe_token,
    )
    return Components(
        planner=planner,
        ledger=ledger,
        quarantine=request_quarantine,
        isolation=request_isolation,
        shedding=shedding.LoadShedder(ledger=ledger, waits=waits, options=options),
        owners=owners,
        limits=upstream_limits,
        gates=gates.Gates(
            clock=clock,
            directory=directory,
            usable=usable,
            order=order,
            standing=options.standing,
            slow_start=options.slow_start,
        ),
        dispatcher=sub_request_dispatcher,
        execution=execution.Execution(
            clock=clock,
            planner=planner,
            usable=usable,
            dispatcher=sub_request_dispatcher,
            timers=timers,
            isolation=request_isolation,
            hedge_policy=hedge_policy,
            options=options,
        ),
    )
