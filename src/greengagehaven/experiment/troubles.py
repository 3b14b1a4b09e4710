"""Fault injection: applies and ends the troubles of a simulated day."""

import typing
from collections import abc

import numpy

from greengagehaven.experiment import environment, event_loop, host, upstreams
from greengagehaven.protocol import watching


class Simulation(typing.Protocol):
    """The parts of a simulation that troubles affect."""

    loop: event_loop.Loop
    declared: environment.Environment
    day: environment.Day
    partitioned_zones: set[str]
    load: float
    hosts: list[host.Host]
    upstreams_by_id: dict[str, upstreams.Upstream]

    def publish_stage(
        self, upstream: upstreams.Upstream, stage: watching.Stage
    ) -> None:
        """Send all hosts a new stage of an upstream."""

    def restart_host(self, each: host.Host) -> None:
        """Restart a host that crashed."""

    def fail_requests(self, request_numbers: abc.Iterable[int]) -> None:
        """Fail the requests whose host has crashed."""


def schedule(
    simulation: Simulation, trouble: environment.Trouble, rng: numpy.random.Generator
) -> None:
    """Schedule the start and end of a trouble.

    :param rng: selects the hosts, upstreams or zone that it affects.
    """
    apply = _FAULTS_BY_KIND[trouble.kind]
    start = simulation.loop.time + trouble.at

    def begin() -> None:
        undo = apply(simulation, trouble, rng)
        simulation.loop.call_later(trouble.for_s, undo)

    simulation.loop.call_at(start, begin)


Undo = abc.Callable[[], None]


def _pick_upstreams(
    simulation: Simulation, trouble: environment.Trouble, rng: numpy.random.Generator
) -> list[upstreams.Upstream]:
    candidates = [
        each
        for each in simulation.upstreams_by_id.values()
        if not trouble.zone or each.zone == trouble.zone
    ]
    if trouble.shards:
        services = sorted({each.id.rpartition("-")[0] for each in candidates})
        affected = {
            services[index]
            for index in rng.permutation(len(services))[: trouble.shards]
        }
        return [each for each in candidates if each.id.rpartition("-")[0] in affected]
    count = max(1, round(trouble.share * len(candidates)))
    return [candidates[index] for index in rng.permutation(len(candidates))[:count]]


def _pick_hosts(
    simulation: Simulation, trouble: environment.Trouble, rng: numpy.random.Generator
) -> list[host.Host]:
    candidates = [
        each
        for each in simulation.hosts
        if not trouble.zone or each.zone == trouble.zone
    ]
    count = max(1, round(trouble.share * len(candidates)))
    return [candidates[index] for index in rng.permutation(len(candidates))[:count]]


def _slow(
    simulation: Simulation, trouble: environment.Trouble, rng: typing.Any
) -> Undo:
    affected = _pick_upstreams(simulation, trouble, rng)
    for each in affected:
        each.slow_factor *= trouble.factor

    def undo() -> None:
        for each in affected:
            each.slow_factor /= trouble.factor

    return undo


def _rate_fault(field: str) -> abc.Callable[..., Undo]:
    """Return a fault that sets an upstream's rate attribute of this name."""

    def apply(
        simulation: Simulation, trouble: environment.Trouble, rng: typing.Any
    ) -> Undo:
        affected = _pick_upstreams(simulation, trouble, rng)
        for each in affected:
            setattr(each, field, trouble.rate)

        def undo() -> None:
            for each in affected:
                setattr(each, field, 0.0)

        return undo

    return apply


def _crash_fault(state: upstreams.State) -> abc.Callable[..., Undo]:
    """Return a fault that crashes upstreams into this state."""

    def apply(
        simulation: Simulation, trouble: environment.Trouble, rng: typing.Any
    ) -> Undo:
        affected = _pick_upstreams(simulation, trouble, rng)
        for each in affected:
            each.crash(state)

        def undo() -> None:
            for each in affected:
                each.state = upstreams.State.UP

        return undo

    return apply


def _hang(
    simulation: Simulation, trouble: environment.Trouble, rng: numpy.random.Generator
) -> Undo:
    affected = _pick_upstreams(simulation, trouble, rng)
    for each in affected:
        each.hang()

    def undo() -> None:
        for each in affected:
            each.resume()

    return undo


def _burst(
    simulation: Simulation, trouble: environment.Trouble, rng: typing.Any
) -> Undo:
    simulation.load *= trouble.factor

    def undo() -> None:
        simulation.load /= trouble.factor

    return undo


def _partition_zone(
    simulation: Simulation, trouble: environment.Trouble, rng: typing.Any
) -> Undo:
    zone = trouble.zone or str(rng.choice(simulation.declared.zones))
    simulation.partitioned_zones.add(zone)
    return lambda: simulation.partitioned_zones.discard(zone)


def _crash_hosts(simulation: Simulation, affected: abc.Sequence[host.Host]) -> Undo:
    for each in affected:
        simulation.fail_requests(each.crash())

    def undo() -> None:
        for each in affected:
            simulation.loop.call_later(
                simulation.declared.restart_s, simulation.restart_host, each
            )

    return undo


def _power_off(
    simulation: Simulation, trouble: environment.Trouble, rng: typing.Any
) -> Undo:
    return _crash_hosts(simulation, simulation.hosts)


def _kill_hosts(
    simulation: Simulation, trouble: environment.Trouble, rng: typing.Any
) -> Undo:
    return _crash_hosts(simulation, _pick_hosts(simulation, trouble, rng))


def _freeze_hosts(
    simulation: Simulation, trouble: environment.Trouble, rng: typing.Any
) -> Undo:
    affected = _pick_hosts(simulation, trouble, rng)
    for each in affected:
        each.is_frozen = True

    def undo() -> None:
        for each in affected:
            each.unfreeze()

    return undo


def _drain(
    simulation: Simulation, trouble: environment.Trouble, rng: typing.Any
) -> Undo:
    affected = _pick_upstreams(simulation, trouble, rng)
    for each in affected:
        simulation.publish_stage(each, watching.Stage.DRAINING)

    def undo() -> None:
        for each in affected:
            simulation.publish_stage(each, watching.Stage.READY)

    return undo


_FAULTS_BY_KIND: dict[str, abc.Callable[..., Undo]] = {
    "slow": _slow,
    "grey": _rate_fault("grey_rate"),
    "lost": _rate_fault("lost_rate"),
    "shed": _rate_fault("shed_rate"),
    "crash": _crash_fault(upstreams.State.CLOSED),
    "dark": _crash_fault(upstreams.State.UNRESPONSIVE),
    "hang": _hang,
    "burst": _burst,
    "zone_cut": _partition_zone,
    "power_off": _power_off,
    "kill_hosts": _kill_hosts,
    "freeze_hosts": _freeze_hosts,
    "drain": _drain,
}
