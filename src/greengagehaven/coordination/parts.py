"""The parts of the decision core, made and connected for one entry host."""

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
class Parts:
    """The parts that the core's events go to.

    :param planner: pins snapshots and partitionings.
    :param ledger: who used how much.
    :param cases: suspicions and bans of requests.
    :param isolation: keeps suspected requests apart.
    :param shedding: refuses early under overload.
    :param owners: which host sends to which upstream.
    :param limits: room at upstreams, as seen from here.
    :param gates: the way to the upstreams that this host owns.
    :param dispatcher: attempts in flight and what waits.
    :param execution: the lives of the queries.
    """

    planner: plan.Planner
    ledger: usage.UsageLedger
    cases: quarantine.Quarantine
    isolation: isolation.Isolation
    shedding: shedding.Shedding
    owners: ownership.Ownership
    limits: limits.Limits
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
    pending: timers.Timers,
) -> Parts:
    """Make the parts of a core.

    :param usable: whether an upstream may get new work now.
    :param pending: the core's timers.
    """
    planner = plan.Planner(directory=directory)
    ledger = usage.UsageLedger(clock=clock)
    order = ledger if options.fairness else None
    waits = wait_times.WaitTimes()
    cases = quarantine.Quarantine(clock=clock, host_id=host_id)
    apart = isolation.Isolation(cases=cases, enabled=options.quarantine)
    owners = ownership.Ownership(
        host_id=host_id, zone=zone, enabled=options.shared_limits
    )
    room = limits.SharedLimits() if options.shared_limits else limits.SlotLimits()
    latencies = latency.LatencyBook(quantile=options.hedge_quantile)
    hedges = hedging.HedgePolicy(
        latencies=latencies,
        budget_ratio=options.hedge_budget if options.hedging else 0.0,
    )
    candidates = replicas.Replicas(
        clock=clock,
        directory=directory,
        upstream_limits=room,
        selector=selection.Selector(
            rng=rng,
            zone=zone if options.zone_preference else None,
            ejection=options.ejection,
            owners=owners,
        ),
    )
    sender = dispatcher.Dispatcher(
        clock=clock,
        directory=directory,
        planner=planner,
        usable=usable,
        candidates=candidates,
        latencies=latencies,
        queue=fair_queue.FairQueue(order=order, waits=waits, standing=options.standing),
        ledger=ledger,
        reserve=headroom.Headroom(ledger=ledger, enabled=options.fairness),
        isolation=apart,
        may_probe=hedges.may_probe,
    )
    return Parts(
        planner=planner,
        ledger=ledger,
        cases=cases,
        isolation=apart,
        shedding=shedding.Shedding(ledger=ledger, waits=waits, options=options),
        owners=owners,
        limits=room,
        gates=gates.Gates(
            clock=clock,
            directory=directory,
            usable=usable,
            order=order,
            standing=options.standing,
            slow_start=options.slow_start,
        ),
        dispatcher=sender,
        execution=execution.Execution(
            clock=clock,
            planner=planner,
            usable=usable,
            sender=sender,
            pending=pending,
            isolation=apart,
            hedges=hedges,
            options=options,
        ),
    )
