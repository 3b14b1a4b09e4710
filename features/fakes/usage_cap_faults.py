"""Faults that hit many hosts, for the simulation of usage caps; several may overlap."""

import dataclasses
import random

RESTART_S = 0.8

KINDS = (
    "hosts_cut_off",
    "hosts_frozen",
    "hosts_killed",
    "hosts_restarted",
    "controls_down",
    "controls_dark",
    "controls_frozen",
    "controls_split",
    "zone_cut_off",
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault that hits a share of the hosts or control hosts at the same time.

    :param start: seconds from the beginning of the case.
    :param seconds: how long it lasts; killed hosts do not come back.
    :param share: share of the hosts, or of the control hosts, that it hits.
    """

    kind: str
    start: float
    seconds: float
    share: float = 1.0


def random_faults(rng: random.Random) -> tuple[Fault, ...]:
    """Return one to three faults that begin within a few seconds."""
    return tuple(
        Fault(
            kind=rng.choice(KINDS),
            start=rng.uniform(3.0, 9.0),
            seconds=rng.uniform(0.5, 6.0),
            share=rng.choice((0.1, 0.17, 0.34, 1.0)),
        )
        for _ in range(rng.choice((1, 1, 2, 3)))
    )


def plan(simulation, fault: Fault) -> None:
    """Schedule the beginning and the end of a fault."""
    begin = globals()[f"_begin_{fault.kind}"]
    simulation.at(fault.start, lambda: begin(simulation, fault))


def _sample(simulation, members, share):
    return simulation.rng.sample(members, max(1, round(share * len(members))))


def _begin_hosts_cut_off(simulation, fault):
    """Cut hosts off from all control hosts, and not from other hosts."""
    links = {
        frozenset((host.name, control.name))
        for host in _sample(simulation, simulation.hosts, fault.share)
        for control in simulation.controls
    }
    _cut_links(simulation, links, fault)


def _begin_zone_cut_off(simulation, fault):
    members = [
        each for each in (*simulation.hosts, *simulation.controls) if each.zone == 1
    ]
    for each in members:
        simulation.cut[each.name] = "zone"
    simulation.at(fault.seconds, lambda: _heal(simulation, members))


def _begin_controls_split(simulation, fault):
    """Cut one part of the control hosts off from the others; hosts reach both."""
    chosen = _sample(simulation, simulation.controls, min(0.5, fault.share))
    links = {
        frozenset((each.name, other.name))
        for each in chosen
        for other in simulation.controls
        if other not in chosen
    }
    _cut_links(simulation, links, fault)


def _begin_controls_dark(simulation, fault):
    """Cut control hosts off from everything."""
    _cut(simulation, _sample(simulation, simulation.controls, fault.share), fault)


def _begin_hosts_frozen(simulation, fault):
    for host in _sample(simulation, simulation.hosts, fault.share):
        if not host.is_down:
            host.freeze(fault.seconds)


def _begin_controls_frozen(simulation, fault):
    for control in _sample(simulation, simulation.controls, fault.share):
        control.frozen_until = simulation.now + fault.seconds


def _begin_hosts_killed(simulation, fault):
    for host in _sample(simulation, simulation.hosts, min(0.34, fault.share)):
        if not host.is_down:
            host.stop()


def _begin_hosts_restarted(simulation, fault):
    _restart(simulation, _sample(simulation, simulation.hosts, fault.share), RESTART_S)


def _begin_controls_down(simulation, fault):
    chosen = _sample(simulation, simulation.controls, fault.share)
    _restart(simulation, chosen, fault.seconds)


def _restart(simulation, members, seconds):
    members = [each for each in members if not each.is_down]
    for each in members:
        each.stop()
    simulation.at(seconds, lambda: [each.restart() for each in members])


def _cut_links(simulation, links, fault):
    simulation.cut_links |= links
    simulation.at(fault.seconds, lambda: simulation.cut_links.difference_update(links))


def _cut(simulation, members, fault):
    for each in members:
        simulation.cut[each.name] = each.name
    simulation.at(fault.seconds, lambda: _heal(simulation, members))


def _heal(simulation, members):
    for each in members:
        simulation.cut.pop(each.name, None)
