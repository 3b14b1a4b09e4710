"""Which hosts of the zone ask the shards of a sweep.

The replies of a sweep over many shards come together. One host that takes them all
in, over its own link and with its own processor, makes them wait for each other: the
sweep is late, and shards that wait look like stragglers and are hedged in vain. Other
hosts of the zone have nothing to do meanwhile, so they ask a part of the shards each
and hand back the greatest records of their parts.
"""

import dataclasses
import math
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import log
from greengagehaven import rng as rngs

FIRST_REPLY_S = 0.0005
"""Seconds that this host takes for a reply, until some were measured."""

REPLY_WEIGHT = 0.1
"""Weight of each sweep for that time."""

MEASURED_QUANTILE = 0.25
"""Of the gaps between replies; a reply that waited for no other came after a longer."""

LEAST_MEASURED = 5
"""Replies of a sweep; the gaps of fewer say nothing."""

MOST_REPLY_S = 0.004
"""Seconds; a longer gap is an upstream's."""

HOP_S = 0.002
"""Seconds that the way over another host takes."""

CALL_S = 0.001
"""Seconds that this host takes for a call to another one and its report."""

LEAST_GAIN = 0.05
"""Share of the objective that must be won, or shards are asked from here."""

UNFIT_S = 2.0
"""Seconds that a host that failed is not asked; one that restarts is back by then."""

REPORT_S = 0.006
"""Seconds that a shard asked by another host is hedged later: until that host has the
call, and until its report is read here."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZoneHost:
    """An entry host of this zone.

    :param address: where other hosts call it.
    """

    id: str
    address: str


@dataclasses.dataclass(kw_only=True, slots=True)
class _Helper:
    """Another host as this one sees it."""

    address: str
    asked: int = 0
    unfit_until: float = -math.inf


class Delegation:
    """Divides sweeps among the hosts of a zone.

    :param host_id: of this host.
    :param clock: monotonic time.
    :param rng: chooses among hosts that are alike.
    """

    def __init__(self, *, host_id: str, clock: clocks.Clock, rng: rngs.Rng) -> None:
        self._host_id = host_id
        self._clock = clock
        self._rng = rng
        self._hosts: tuple[ZoneHost, ...] = ()
        self._own_place = 0
        self._helpers_by_address: dict[str, _Helper] = {}
        self._reply = FIRST_REPLY_S

    def set_hosts(self, hosts: abc.Iterable[ZoneHost]) -> None:
        """Take the entry hosts of the zone, this one among them or not."""
        others = {host.id: host for host in hosts if host.id != self._host_id}
        ids = sorted([*others, self._host_id])
        self._own_place = ids.index(self._host_id)
        own = ZoneHost(id=self._host_id, address="")
        self._hosts = tuple(others.get(host_id, own) for host_id in ids)
        self._helpers_by_address = {
            host.address: self._helpers_by_address.get(host.address)
            or _Helper(address=host.address)
            for host in others.values()
        }

    def divide(self, services: abc.Sequence[str], objective: float) -> list[str]:
        """Return the address of the host that asks each service.

        It is empty for this host. The same shards go to the same hosts, which
        reuse their connections.

        :param services: shards of one sweep, in the route's order.
        :param objective: seconds within which the sweep should be answered.
        """
        count = self._group_count(len(services), objective)
        if count == 1:
            return [""] * len(services)
        addresses = [self._host_of(group, count) for group in range(count)]
        return [
            addresses[place * count // len(services)] for place in range(len(services))
        ]

    def note_asked(self, address: str) -> None:
        """Count a call to a host."""
        helper = self._helpers_by_address.get(address)
        if helper is not None:
            helper.asked += 1

    def note_ended(self, address: str, *, failed: str = "") -> None:
        """Take in that a call to a host is over.

        :param failed: why it failed, empty where it did not.
        """
        helper = self._helpers_by_address.get(address)
        if helper is None:
            return
        helper.asked = max(0, helper.asked - 1)
        if failed:
            helper.unfit_until = self._clock.monotonic() + UNFIT_S
            log.warning("helper_failed", address=address, reason=failed)

    def note_arrivals(self, moments: abc.Iterable[float]) -> None:
        """Learn how long this host takes for a reply.

        :param moments: monotonic seconds at which replies of one sweep were read.
        """
        came = sorted(moments)
        if len(came) < LEAST_MEASURED:
            return
        gaps = sorted(later - sooner for sooner, later in zip(came, came[1:]))  # noqa: B905
        gap = min(MOST_REPLY_S, gaps[int(MEASURED_QUANTILE * len(gaps))])
        self._reply += REPLY_WEIGHT * (gap - self._reply)

    @property
    def reply_seconds(self) -> float:
        """Return the seconds that this host takes for a reply."""
        return self._reply

    def _group_count(self, shards: int, objective: float) -> int:
        """Return into how many groups a sweep is divided.

        More groups make each smaller but cost this host a call each.
        """
        alone = shards * self._reply
        best, least = 1, alone - LEAST_GAIN * objective
        for count in range(2, min(len(self._hosts), shards) + 1):
            seconds = alone / count + HOP_S + (count - 1) * CALL_S
            if seconds < least:
                best, least = count, seconds
        return best

    def _host_of(self, group: int, count: int) -> str:
        """Return the address of the host that asks a group of shards."""
        if self._own_place % count == group:
            return ""
        now = self._clock.monotonic()
        fit = [
            helper
            for host in self._hosts[group::count]
            if (helper := self._helpers_by_address[host.address]).unfit_until <= now
        ]
        if not fit:
            return ""
        fewest = min(helper.asked for helper in fit)
        idle = [helper for helper in fit if helper.asked == fewest]
        return idle[self._rng.randrange(len(idle))].address
