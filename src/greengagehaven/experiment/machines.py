"""Simulated machines, which are slow for a moment for all upstreams on them."""

import math
from collections import abc

from greengagehaven.experiment import event_loop, randomness, upstreams

LENGTH_SPREAD = 0.5
"""Share by which the length of a slow period differs from the mean at most."""


class Machine:
    """A machine whose upstreams are slow for some periods.

    :param affected: its upstreams, all of the same service.
    :param rng: draws when the periods begin and how long they last.
    """

    def __init__(
        self,
        *,
        affected: abc.Sequence[upstreams.Upstream],
        loop: event_loop.Loop,
        rng: randomness.HostRng,
    ) -> None:
        self._affected = affected
        self._service = affected[0].service
        self._loop = loop
        self._rng = rng

    def start(self) -> None:
        """Begin with a period that is slow with the share of time that is declared."""
        if self._rng.random() < self._service.slow_share:
            self._become_slow()
        else:
            self._schedule_slow_period()

    def _schedule_slow_period(self) -> None:
        share = self._service.slow_share
        mean_gap = self._service.slow_ms / 1000 * (1.0 - share) / share
        gap = -math.log(1.0 - self._rng.random()) * mean_gap
        self._loop.call_later(gap, self._become_slow)

    def _become_slow(self) -> None:
        for each in self._affected:
            each.slow_factor *= self._service.slow_factor
        spread = self._rng.uniform(1.0 - LENGTH_SPREAD, 1.0 + LENGTH_SPREAD)
        self._loop.call_later(self._service.slow_ms / 1000 * spread, self._recover)

    def _recover(self) -> None:
        for each in self._affected:
            each.slow_factor /= self._service.slow_factor
        self._schedule_slow_period()


def create(
    all_upstreams: abc.Iterable[upstreams.Upstream],
    *,
    loop: event_loop.Loop,
    seed: int,
) -> list[Machine]:
    """Return the machines of the services whose upstreams become slow.

    Upstreams that follow each other share a machine, so one is seldom shared by the
    replicas of a shard only.
    """
    grouped: dict[str, list[upstreams.Upstream]] = {}
    for each in all_upstreams:
        if each.service.slow_share:
            grouped.setdefault(each.service.name, []).append(each)
    machines = []
    for members in grouped.values():
        size = members[0].service.machine_upstreams
        count = math.ceil(len(members) / size)
        for number in range(count):
            generator = randomness.stream(seed, "machines", len(machines))
            rng = randomness.HostRng(generator=generator)
            machines.append(
                Machine(affected=members[number::count], loop=loop, rng=rng)
            )
    return machines
