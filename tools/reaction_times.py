"""Measure how soon all hosts know of a change, in virtual time.

    python tools/reaction_times.py [--seeds 20]

Three zones of three hosts and four upstreams each, on the fake wire of the
features (1 ms one way). Prints one JSON object: for each event the least, the
median and the greatest of the seconds until every host has acted on it.
"""

import argparse
import json
import pathlib
import sys
import typing

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "features"))

from fakes import wire  # noqa: E402
from greengagehaven import exceptions  # noqa: E402

ZONES = "abc"
CUT_S = 120.0
PATIENCE_S = 60.0
STEP_S = 0.01
RACK = ("a1", "a2", "b1", "b3", "c2", "c3")


class OlderStart(wire.Upstream):
    """An upstream that goes on where it is refused."""

    def announce(self, host_id: str | None = None) -> None:
        """Announce; a conflict is the upstream's to live with."""
        try:
            super().announce(host_id)
        except exceptions.UpstreamConflictError:
            return


class Tier:
    """Nine hosts and twelve upstreams that have settled."""

    def __init__(self, seed: int) -> None:
        self.wire = wire.Wire(seed=seed)
        names = [f"{zone}{number}" for number in (1, 2, 3) for zone in ZONES]
        for name in names:
            self.wire.start_host(name, name[0], seeds=("a1", "b1", "c1"))
        self.wire.run(3)
        self.upstreams = [
            wire.Upstream(self.wire, f"u-{zone}{number}", zone, hosts=self.near(zone))
            for zone in ZONES
            for number in range(4)
        ]
        self.wire.run(5)

    @property
    def hosts(self) -> list[wire.Host]:
        """Return the hosts that run."""
        return list(self.wire.hosts_by_id.values())

    def near(self, zone: str) -> tuple[str, ...]:
        """Return the hosts of a zone."""
        return tuple(sorted(each for each in self.wire.hosts_by_id if each[0] == zone))

    def until(self, holds: typing.Callable[[], bool]) -> float:
        """Let time pass until something holds; return how long it took."""
        started = self.wire.clock.monotonic()
        while not holds() and self.wire.clock.monotonic() - started < PATIENCE_S:
            self.wire.run(STEP_S)
        return self.wire.clock.monotonic() - started

    def is_gone(self) -> bool:
        """Tell whether no host serves the first upstream."""
        return not any("u-a0" in host.upstream_ids for host in self.hosts)


def measure_goodbye(tier: Tier) -> float:
    """An upstream withdraws at one host."""
    tier.upstreams[0].withdraw("a2")
    return tier.until(tier.is_gone)


def measure_silence(tier: Tier) -> float:
    """An upstream falls silent."""
    tier.upstreams[0].stop()
    return tier.until(tier.is_gone)


def measure_host_death(tier: Tier) -> float:
    """A host dies."""
    tier.wire.kill("a1")
    return tier.until(lambda: not any("a1" in host.counted for host in tier.hosts))


def measure_rack(tier: Tier) -> float:
    """Two of three hosts of every zone die at once."""
    for name in RACK:
        tier.wire.kill(name)
    return tier.until(lambda: all(len(host.counted) == 3 for host in tier.hosts))


def cut(tier: Tier) -> None:
    """Cut zone a off, both ways."""
    inside = set(tier.near("a"))
    outside = set(tier.wire.hosts_by_id) - inside
    tier.wire.cut(inside, outside)
    tier.wire.cut(outside, inside)


def measure_cut(tier: Tier) -> float:
    """A zone is cut off: until each side uses only what it can vouch for."""
    cut(tier)
    return tier.until(
        lambda: all(
            len(host.upstream_ids) == (4 if name[0] == "a" else 8)
            for name, host in tier.wire.hosts_by_id.items()
        )
    )


def measure_healing(tier: Tier) -> float:
    """A zone comes back after a cut: until there is one view."""
    cut(tier)
    tier.wire.run(CUT_S)
    tier.wire.heal()
    return tier.until(
        lambda: all(
            len(host.upstream_ids) == 12 and len(host.counted) == 9
            for host in tier.hosts
        )
    )


def measure_older_clock(tier: Tier) -> float:
    """An upstream crashes and restarts with a lower incarnation."""
    known = tier.upstreams[0]
    known.stop()
    later = OlderStart(tier.wire, known.id, "a", hosts=known.hosts, incarnation=50)

    def is_back() -> bool:
        announcements = [
            host.directory.upstreams_by_id.get(later.id) for host in tier.hosts
        ]
        return all(
            announcement is not None and announcement.address == later.address
            for announcement in announcements
        )

    return tier.until(is_back)


MEASURES = {
    "an upstream says goodbye": measure_goodbye,
    "an upstream falls silent": measure_silence,
    "a host dies": measure_host_death,
    "two of three hosts of every zone die": measure_rack,
    "a zone is cut off": measure_cut,
    "a zone comes back after 120 s": measure_healing,
    "an upstream restarts with an older clock": measure_older_clock,
}


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=20)
    seeds = range(1, parser.parse_args().seeds + 1)
    report = {}
    for name, measure in MEASURES.items():
        times = sorted(measure(Tier(seed)) for seed in seeds)
        median = times[len(times) // 2]
        report[name] = [round(each, 2) for each in (times[0], median, times[-1])]
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
