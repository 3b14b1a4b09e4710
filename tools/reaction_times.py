"""Measure the time until every host has applied a change, in virtual time.

    python tools/reaction_times.py [--seeds 20]

Simulates three zones of three hosts and four upstreams each on the simulated
network of the features (1 ms one-way latency). Prints one JSON object: for each
event the minimum, median and maximum, over all seeds, of the seconds until every
host has acted on it.
"""

import argparse
import json
import pathlib
import sys
import typing

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "features"))

from fakes import network  # noqa: E402
from greengagehaven import exceptions  # noqa: E402

ZONES = "abc"
PARTITION_S = 120.0
TIMEOUT_S = 60.0
STEP_S = 0.01
FAILED_HOSTS = ("a1", "a2", "b1", "b3", "c2", "c3")


class RestartedUpstream(network.Upstream):
    """An upstream that keeps running after a host has rejected its announcement."""

    def announce(self, host_id: str | None = None) -> None:
        """Announce to a host and ignore an incarnation conflict."""
        try:
            super().announce(host_id)
        except exceptions.UpstreamConflictError:
            return


class Simulation:
    """A converged simulation of nine hosts and twelve upstreams."""

    def __init__(self, seed: int) -> None:
        self.network = network.Network(seed=seed)
        names = [f"{zone}{number}" for number in (1, 2, 3) for zone in ZONES]
        for name in names:
            self.network.start_host(name, name[0], seeds=("a1", "b1", "c1"))
        self.network.run(3)
        self.upstreams = [
            network.Upstream(
                self.network, f"u-{zone}{number}", zone, hosts=self.host_ids_in(zone)
            )
            for zone in ZONES
            for number in range(4)
        ]
        self.network.run(5)

    @property
    def hosts(self) -> list[network.Host]:
        """Return the running hosts."""
        return list(self.network.hosts_by_id.values())

    def host_ids_in(self, zone: str) -> tuple[str, ...]:
        """Return the ids of the running hosts of a zone."""
        return tuple(
            sorted(each for each in self.network.hosts_by_id if each[0] == zone)
        )

    def run_until(self, condition: typing.Callable[[], bool]) -> float:
        """Advance time until a condition holds; return the seconds it took.

        Gives up after ``TIMEOUT_S`` and then returns about that time.
        """
        started = self.network.clock.monotonic()
        while not condition() and self.network.clock.monotonic() - started < TIMEOUT_S:
            self.network.run(STEP_S)
        return self.network.clock.monotonic() - started

    def is_first_upstream_removed(self) -> bool:
        """Return whether no host routes to the first upstream any more."""
        return not any("u-a0" in host.upstream_ids for host in self.hosts)


def measure_withdrawal(simulation: Simulation) -> float:
    """Measure the removal of an upstream that withdraws at one host."""
    simulation.upstreams[0].withdraw("a2")
    return simulation.run_until(simulation.is_first_upstream_removed)


def measure_upstream_stop(simulation: Simulation) -> float:
    """Measure the removal of an upstream that stops without withdrawing."""
    simulation.upstreams[0].stop()
    return simulation.run_until(simulation.is_first_upstream_removed)


def measure_host_failure(simulation: Simulation) -> float:
    """Measure the removal of a failed host."""
    simulation.network.kill("a1")
    return simulation.run_until(
        lambda: not any("a1" in host.zones_by_host_id for host in simulation.hosts)
    )


def measure_correlated_failure(simulation: Simulation) -> float:
    """Measure the removal of two of three hosts of every zone, failed at once."""
    for name in FAILED_HOSTS:
        simulation.network.kill(name)
    return simulation.run_until(
        lambda: all(len(host.zones_by_host_id) == 3 for host in simulation.hosts)
    )


def partition_zone_a(simulation: Simulation) -> None:
    """Partition zone a from the others, in both directions."""
    inside = set(simulation.host_ids_in("a"))
    outside = set(simulation.network.hosts_by_id) - inside
    simulation.network.cut(inside, outside)
    simulation.network.cut(outside, inside)


def measure_partition(simulation: Simulation) -> float:
    """Measure the time until each side of a partition uses only its own upstreams."""
    partition_zone_a(simulation)
    return simulation.run_until(
        lambda: all(
            len(host.upstream_ids) == (4 if name[0] == "a" else 8)
            for name, host in simulation.network.hosts_by_id.items()
        )
    )


def measure_partition_heal(simulation: Simulation) -> float:
    """Measure the time until all views agree again after a partition heals."""
    partition_zone_a(simulation)
    simulation.network.run(PARTITION_S)
    simulation.network.heal()
    return simulation.run_until(
        lambda: all(
            len(host.upstream_ids) == 12 and len(host.zones_by_host_id) == 9
            for host in simulation.hosts
        )
    )


def measure_older_incarnation(simulation: Simulation) -> float:
    """Measure the return of an upstream that restarts with a lower incarnation."""
    original = simulation.upstreams[0]
    original.stop()
    restarted = RestartedUpstream(
        simulation.network, original.id, "a", hosts=original.hosts, incarnation=50
    )

    def is_back() -> bool:
        announcements = [
            host.directory.upstreams_by_id.get(restarted.id)
            for host in simulation.hosts
        ]
        return all(
            announcement is not None and announcement.address == restarted.address
            for announcement in announcements
        )

    return simulation.run_until(is_back)


MEASUREMENTS_BY_EVENT = {
    "an upstream says goodbye": measure_withdrawal,
    "an upstream falls silent": measure_upstream_stop,
    "a host dies": measure_host_failure,
    "two of three hosts of every zone die": measure_correlated_failure,
    "a zone is cut off": measure_partition,
    "a zone comes back after 120 s": measure_partition_heal,
    "an upstream restarts with an older clock": measure_older_incarnation,
}


def main() -> None:
    """Run every measurement and print the results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=20)
    seeds = range(1, parser.parse_args().seeds + 1)
    report = {}
    for name, measure in MEASUREMENTS_BY_EVENT.items():
        times = sorted(measure(Simulation(seed)) for seed in seeds)
        median = times[len(times) // 2]
        report[name] = [round(each, 2) for each in (times[0], median, times[-1])]
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
