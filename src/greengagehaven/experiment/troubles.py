"""What goes wrong on a simulated day, when and where."""

import typing
from collections import abc

import numpy

from greengagehaven.experiment import environment, events_loop, host, upstreams
from greengagehaven.protocol import watching


class World(typing.Protocol):
    """What troubles strike."""

    loop: events_loop.Loop
    declared: environment.Environment
    day: environment.Day
    cuts: set[str]
    load: float
    hosts: list[host.Host]
    upstreams_by_id: dict[str, upstreams.Upstream]

    def tell(self, upstream: upstreams.Upstream, stage: watching.Stage) -> None:
        """Let every host hear of a change."""

    def restart(self, each: host.Host) -> None:
        """Start a host that was stopped."""

    def cut_off_callers(self, lost: abc.Iterable[int]) -> None:
        """Let callers notice that their host is gone."""


def schedule(
    world: World, trouble: environment.Trouble, rng: numpy.random.Generator
) -> None:
    """Let a trouble begin and end at its moments.

    :param rng: draws where it strikes.
    """
    strike = _STRIKES_BY_KIND[trouble.kind]
    start = world.loop.time + trouble.at

    def begin() -> None:
        undo = strike(world, trouble, rng)
        world.loop.after(trouble.for_s, undo)

    world.loop.at(start, begin)


Undo = abc.Callable[[], None]


def _some_upstreams(
    world: World, trouble: environment.Trouble, rng: numpy.random.Generator
) -> list[upstreams.Upstream]:
    known = [
        each
        for each in world.upstreams_by_id.values()
        if not trouble.zone or each.zone == trouble.zone
    ]
    count = max(1, round(trouble.share * len(known)))
    return [known[index] for index in rng.permutation(len(known))[:count]]


def _some_hosts(
    world: World, trouble: environment.Trouble, rng: numpy.random.Generator
) -> list[host.Host]:
    known = [
        each for each in world.hosts if not trouble.zone or each.zone == trouble.zone
    ]
    count = max(1, round(trouble.share * len(known)))
    return [known[index] for index in rng.permutation(len(known))[:count]]


def _slow(world: World, trouble: environment.Trouble, rng: typing.Any) -> Undo:
    struck = _some_upstreams(world, trouble, rng)
    for each in struck:
        each.slow_factor *= trouble.factor

    def undo() -> None:
        for each in struck:
            each.slow_factor /= trouble.factor

    return undo


def _rated(field: str) -> abc.Callable[..., Undo]:
    """Return a trouble that sets a rate of upstreams."""

    def strike(world: World, trouble: environment.Trouble, rng: typing.Any) -> Undo:
        struck = _some_upstreams(world, trouble, rng)
        for each in struck:
            setattr(each, field, trouble.rate)

        def undo() -> None:
            for each in struck:
                setattr(each, field, 0.0)

        return undo

    return strike


def _fallen(state: upstreams.State) -> abc.Callable[..., Undo]:
    """Return a trouble that takes upstreams down."""

    def strike(world: World, trouble: environment.Trouble, rng: typing.Any) -> Undo:
        struck = _some_upstreams(world, trouble, rng)
        for each in struck:
            each.fall(state)

        def undo() -> None:
            for each in struck:
                each.state = upstreams.State.UP

        return undo

    return strike


def _burst(world: World, trouble: environment.Trouble, rng: typing.Any) -> Undo:
    world.load *= trouble.factor

    def undo() -> None:
        world.load /= trouble.factor

    return undo


def _zone_cut(world: World, trouble: environment.Trouble, rng: typing.Any) -> Undo:
    zone = trouble.zone or str(rng.choice(world.declared.zones))
    world.cuts.add(zone)
    return lambda: world.cuts.discard(zone)


def _stop(world: World, struck: abc.Sequence[host.Host]) -> Undo:
    for each in struck:
        world.cut_off_callers(each.stop())

    def undo() -> None:
        for each in struck:
            world.loop.after(world.declared.restart_s, world.restart, each)

    return undo


def _power_off(world: World, trouble: environment.Trouble, rng: typing.Any) -> Undo:
    return _stop(world, world.hosts)


def _kill_hosts(world: World, trouble: environment.Trouble, rng: typing.Any) -> Undo:
    return _stop(world, _some_hosts(world, trouble, rng))


def _freeze_hosts(world: World, trouble: environment.Trouble, rng: typing.Any) -> Undo:
    struck = _some_hosts(world, trouble, rng)
    for each in struck:
        each.is_frozen = True

    def undo() -> None:
        for each in struck:
            each.thaw()

    return undo


def _drain(world: World, trouble: environment.Trouble, rng: typing.Any) -> Undo:
    struck = _some_upstreams(world, trouble, rng)
    for each in struck:
        world.tell(each, watching.Stage.DRAINING)

    def undo() -> None:
        for each in struck:
            world.tell(each, watching.Stage.READY)

    return undo


_STRIKES_BY_KIND: dict[str, abc.Callable[..., Undo]] = {
    "slow": _slow,
    "grey": _rated("grey_rate"),
    "lost": _rated("lost_rate"),
    "shed": _rated("shed_rate"),
    "crash": _fallen(upstreams.State.CLOSED),
    "dark": _fallen(upstreams.State.DARK),
    "burst": _burst,
    "zone_cut": _zone_cut,
    "power_off": _power_off,
    "kill_hosts": _kill_hosts,
    "freeze_hosts": _freeze_hosts,
    "drain": _drain,
}
