"""Which hosts ask the shards of a sweep.

The replies of a sweep over many shards come together. One host that takes them all
in, over its own link and with its own processor, makes them wait for each other: the
sweep is late, and shards that wait look like stragglers and are hedged in vain. Other
hosts of the zone have nothing to do meanwhile, so they ask a part of the shards each
and hand back the greatest records of their parts.

Where the replicas stand in other zones, each shard also costs the heads of a request
and of a reply across the border, and a connection of every host to every upstream. A
host of the upstreams' zone asks these shards instead, as their aggregator.
"""

import collections
import dataclasses
import itertools
import math
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import log
from greengagehaven import rng as rngs
from greengagehaven.coordination import rendezvous
from greengagehaven.protocol import watching

FIRST_SHARD_S = 0.0005
"""Seconds that this host takes for each shard it asks, until some were measured."""

SHARD_WEIGHT = 0.1
"""Weight of each sweep for that time."""

MEASURED_QUANTILE = 0.25
"""Of the gaps between sends or replies; one that waited for no other came after a
longer gap."""

LEAST_OWN = 5
"""Shards that this host asks itself at least: the gaps of fewer say nothing."""

MOST_GAP_S = 0.004
"""Seconds; a longer gap is an upstream's."""

HOP_S = 0.002
"""Seconds that the way over another host takes."""

CALL_SHARDS = 1.5
"""Shards that this host could ask in the time of a call to another one."""

LEAST_GAIN = 0.05
"""Share of the objective that must be won, or shards are asked from here."""

UNFIT_S = 2.0
"""Seconds that a host that failed is not asked; one that restarts is back by then."""

MAX_UNFIT_S = 16.0
"""Seconds after several failures in a row; a host is named for 9 s after its end."""

MAX_FAILURES = 8
"""Failures in a row that are counted; more change nothing."""

MIN_REMOTE_SHARDS = 5
"""Shards of one zone; for fewer the heads of a call take as many bytes as they save."""

TOGETHER_S = 0.001
"""Seconds that a late reply waits for others, so that they are reported together."""

REPORT_S = 0.006
"""Seconds until another host has a call, and until its report is read here."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Helper:
    """Another host as this one sees it."""

    address: str
    asked: int = 0
    failures: int = 0
    unfit_until: float = -math.inf


class Delegation:
    """Divides sweeps among the hosts of a zone, and among zones.

    :param host_id: of this host.
    :param zone: availability zone of this host.
    :param clock: monotonic time.
    :param rng: chooses among hosts that are alike.
    """

    def __init__(
        self, *, host_id: str, zone: str, clock: clocks.Clock, rng: rngs.Rng
    ) -> None:
        self._host_id = host_id
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._hosts: tuple[watching.HostEntry, ...] = ()
        self._aggregators_by_zone: dict[str, list[_Helper]] = {}
        self._own_place = 0
        self._helpers_by_address: dict[str, _Helper] = {}
        self._shard = FIRST_SHARD_S

    def set_hosts(self, hosts: abc.Iterable[watching.HostEntry]) -> None:
        """Take the entry hosts of the zone, this one among them or not.

        :param hosts: with some of each other zone.
        """
        hosts = tuple(hosts)
        own_zones = ("", self._zone)
        others = {
            host.id: host
            for host in hosts
            if host.id != self._host_id and host.availability_zone in own_zones
        }
        remote = {
            host.id: host for host in hosts if host.availability_zone not in own_zones
        }
        ids = sorted([*others, self._host_id])
        self._own_place = ids.index(self._host_id)
        own = watching.HostEntry(id=self._host_id, address="")
        self._hosts = tuple(others.get(host_id, own) for host_id in ids)
        self._helpers_by_address = {
            host.address: self._helpers_by_address.get(host.address)
            or _Helper(address=host.address)
            for host in (*others.values(), *remote.values())
        }
        self._aggregators_by_zone = {}
        # Each host prefers another one, so that all take part.
        for host_id in rendezvous.rank(self._host_id, remote):
            host = remote[host_id]
            helper = self._helpers_by_address[host.address]
            aggregators = self._aggregators_by_zone
            aggregators.setdefault(host.availability_zone, []).append(helper)

    @property
    def zone_addresses(self) -> tuple[str, ...]:
        """Return where the other hosts of the zone are called."""
        return tuple(host.address for host in self._hosts if host.address)

    def aggregate(self, zones: abc.Sequence[str]) -> list[str]:
        """Return the address of the host that asks each shard in its upstream's zone.

        It is empty where no such host is known, or too few shards are of its zone.

        :param zones: of the upstreams that one sweep asks.
        """
        address_by_zone = {
            zone: self._aggregator_of(zone)
            for zone, count in collections.Counter(zones).items()
            if count >= MIN_REMOTE_SHARDS and zone != self._zone
        }
        return [address_by_zone.get(zone, "") for zone in zones]

    def has_aggregator(self, zone: str) -> bool:
        """Tell whether a host of another zone may be asked for its shards."""
        return bool(self._aggregator_of(zone))

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
        own = self._own_place % count
        left = len(services) - _own_size(len(services), count)
        addresses = []
        for group in range(count):
            if group == own:
                size, address = _own_size(len(services), count), ""
            else:
                place = group - (group > own)
                size = _share(left, place, count - 1)
                address = self._host_of(group, count)
            addresses += [address] * size
        return addresses

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
            self._pass_over(helper, failed)
        elif helper.unfit_until <= self._clock.monotonic():
            helper.failures = 0

    def note_silent(self, address: str) -> None:
        """Take in that a host did not report in time.

        One that stands still or is cut off answers nothing until a call's time is
        over; each sweep that asks it until then would lack a group of shards.
        """
        helper = self._helpers_by_address.get(address)
        if helper is not None and helper.unfit_until <= self._clock.monotonic():
            self._pass_over(helper, "no report")

    def _pass_over(self, helper: _Helper, reason: str) -> None:
        seconds = min(MAX_UNFIT_S, UNFIT_S * 2.0**helper.failures)
        helper.failures = min(helper.failures + 1, MAX_FAILURES)
        helper.unfit_until = self._clock.monotonic() + seconds
        log.warning("helper_failed", address=helper.address, reason=reason)

    def note_times(self, sent: abc.Iterable[float], came: abc.Iterable[float]) -> None:
        """Learn how long this host takes for a shard.

        :param sent: monotonic seconds at which it sent the attempts of one sweep.
        :param came: monotonic seconds at which their replies were read.
        """
        gaps = [_usual_gap(sent), _usual_gap(came)]
        if None not in gaps:
            self._shard += SHARD_WEIGHT * (sum(filter(None, gaps)) - self._shard)

    @property
    def shard_seconds(self) -> float:
        """Return the seconds that this host takes for a shard."""
        return self._shard

    def _group_count(self, shards: int, objective: float) -> int:
        """Return into how many groups a sweep is divided.

        More groups make each smaller but cost this host a call each.
        """
        alone = shards * self._shard
        best, least = 1, alone - LEAST_GAIN * objective
        for count in range(2, min(len(self._hosts), shards // LEAST_OWN) + 1):
            own = _own_size(shards, count)
            here = own + CALL_SHARDS * (count - 1)
            there = math.ceil((shards - own) / (count - 1))
            seconds = max(here, there) * self._shard + HOP_S
            if seconds < least:
                best, least = count, seconds
        return best

    def _aggregator_of(self, zone: str) -> str:
        """Return the address of the first fit host of another zone."""
        now = self._clock.monotonic()
        for helper in self._aggregators_by_zone.get(zone, ()):
            if helper.unfit_until <= now:
                return helper.address
        return ""

    def _host_of(self, group: int, count: int) -> str:
        """Return the address of the host that asks a group of shards."""
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


def _own_size(shards: int, count: int) -> int:
    """Return how many shards the host asks itself that makes the calls as well."""
    calls = CALL_SHARDS * (count - 1)
    even = (shards + calls) / count
    return max(LEAST_OWN, round(even - calls))


def _share(total: int, place: int, count: int) -> int:
    """Return the size of one of ``count`` shares that differ by one at most."""
    return total * (place + 1) // count - total * place // count


def _usual_gap(moments: abc.Iterable[float]) -> float | None:
    """Return the gap between moments that follow each other closely."""
    ordered = sorted(moments)
    if len(ordered) < LEAST_OWN:
        return None
    gaps = sorted(later - sooner for sooner, later in itertools.pairwise(ordered))
    return min(MOST_GAP_S, gaps[int(MEASURED_QUANTILE * len(gaps))])
