"""Assigns the shards of a sweep to the entry hosts that send their requests.

The replies of a sweep over many shards arrive together. If one host reads them all, its
link and its processor make them queue: the sweep is late, and shards whose replies are
queued look like stragglers and are hedged in vain. The other hosts of the zone are idle
meanwhile, so each of them requests a part of the shards and returns the greatest
records of its part.

If the replicas are in other zones, each shard also costs the headers of a request and a
reply across the zone boundary, and a connection from every host to every upstream.
These shards are requested by a host in the upstreams' zone, which acts as their
aggregator.
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

INITIAL_SECONDS_PER_SHARD = 0.0005
"""Seconds that this host is assumed to spend on each shard until it has measured it."""

SECONDS_PER_SHARD_WEIGHT = 0.1
"""Weight of each sweep in the moving average of that time."""

GAP_QUANTILE = 0.25
"""Quantile of the gaps between sends or replies that is taken as the time per shard;
longer gaps are those of sends or replies that did not queue behind another one."""

MIN_OWN_SHARDS = 5
"""Shards that this host always requests itself: the gaps between fewer are too few to
measure the time per shard."""

MAX_GAP_S = 0.004
"""Seconds; a longer gap is due to an upstream."""

HOP_S = 0.002
"""Seconds that the detour over another host takes."""

SHARDS_PER_CALL = 1.5
"""Shards that this host could request in the time that a call to a helper costs it."""

MIN_GAIN = 0.05
"""Share of the objective that delegation must save; otherwise this host requests all
shards itself."""

INITIAL_BACKOFF_S = 2.0
"""Seconds that a helper is not used after a failure; a host that restarts is back by
then."""

MAX_BACKOFF_S = 16.0
"""Seconds after several failures in a row; a host that has ended stays in the list of
hosts for 9 s."""

MAX_FAILURES = 8
"""Consecutive failures that are counted; the backoff has long reached its maximum."""

MIN_REMOTE_SHARDS = 5
"""Shards of one zone for which an aggregator is worthwhile; with fewer, the headers of
the call take as many bytes as it saves."""

REPORT_BATCH_S = 0.001
"""Seconds that a late reply is held back so that further ones join the same report."""

REPORT_LATENCY_S = 0.006
"""Seconds that a call takes to reach a helper and its report to be read here."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Helper:
    """Another host that sends requests on behalf of this one.

    :param calls: calls to it that are in progress.
    :param failures: consecutive failures.
    :param backoff_until: it is not used until then, monotonic seconds.
    """

    address: str
    calls: int = 0
    failures: int = 0
    backoff_until: float = -math.inf


class Delegation:
    """Divides the shards of sweeps among the hosts of this zone and other zones.

    :param host_id: id of this host.
    :param zone: availability zone of this host.
    :param clock: monotonic time.
    :param rng: chooses among equally loaded hosts.
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
        self._own_index = 0
        self._helpers_by_address: dict[str, _Helper] = {}
        self._seconds_per_shard = INITIAL_SECONDS_PER_SHARD

    def set_hosts(self, hosts: abc.Iterable[watching.HostEntry]) -> None:
        """Set the known entry hosts, with or without this one.

        :param hosts: all of this zone and some of each other zone.
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
        self._own_index = ids.index(self._host_id)
        own = watching.HostEntry(id=self._host_id, address="")
        self._hosts = tuple(others.get(host_id, own) for host_id in ids)
        self._helpers_by_address = {
            host.address: self._helpers_by_address.get(host.address)
            or _Helper(address=host.address)
            for host in (*others.values(), *remote.values())
        }
        self._aggregators_by_zone = {}
        # Each host prefers a different aggregator, which spreads the load over them.
        for host_id in rendezvous.rank(self._host_id, remote):
            host = remote[host_id]
            helper = self._helpers_by_address[host.address]
            aggregators = self._aggregators_by_zone
            aggregators.setdefault(host.availability_zone, []).append(helper)

    @property
    def peer_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the other hosts of this zone."""
        return tuple(host.address for host in self._hosts if host.address)

    def assign_aggregators(self, zones: abc.Sequence[str]) -> list[str]:
        """Return the address of the aggregator for each shard.

        The address is empty for a shard in this zone, in a zone without a usable
        aggregator, or in a zone with fewer than ``MIN_REMOTE_SHARDS`` shards.

        :param zones: zone of the upstream chosen for each shard of a sweep.
        """
        address_by_zone = {
            zone: self._aggregator_address(zone)
            for zone, count in collections.Counter(zones).items()
            if count >= MIN_REMOTE_SHARDS and zone != self._zone
        }
        return [address_by_zone.get(zone, "") for zone in zones]

    def has_aggregator(self, zone: str) -> bool:
        """Return whether a zone has an aggregator that can be used now."""
        return bool(self._aggregator_address(zone))

    def assign_hosts(self, services: abc.Sequence[str], objective: float) -> list[str]:
        """Return the address of the host that sends each shard's request.

        It is empty for this host. The same shards go to the same group of hosts, so
        that these can reuse their connections.

        :param services: shards of one sweep, in the route's order.
        :param objective: seconds within which the sweep should be answered.
        """
        count = self._group_count(len(services), objective)
        if count == 1:
            return [""] * len(services)
        own = self._own_index % count
        delegated = len(services) - _own_shard_count(len(services), count)
        addresses = []
        for group in range(count):
            if group == own:
                size, address = _own_shard_count(len(services), count), ""
            else:
                index = group - (group > own)
                size = _group_size(delegated, index, count - 1)
                address = self._helper_address(group, count)
            addresses += [address] * size
        return addresses

    def record_call(self, address: str) -> None:
        """Record that a call to a host was started."""
        helper = self._helpers_by_address.get(address)
        if helper is not None:
            helper.calls += 1

    def record_call_end(self, address: str, *, failed: str = "") -> None:
        """Record that a call to a host has ended.

        :param failed: reason of its failure, empty for a success.
        """
        helper = self._helpers_by_address.get(address)
        if helper is None:
            return
        helper.calls = max(0, helper.calls - 1)
        if failed:
            self._back_off(helper, failed)
        elif helper.backoff_until <= self._clock.monotonic():
            helper.failures = 0

    def record_missed_reports(self, addresses: abc.Iterable[str]) -> None:
        """Record hosts that have not reported by the time a shard is hedged.

        A helper that reports in time triggers the hedge with its report instead.

        :param addresses: addresses of helpers; empty for attempts of this host.
        """
        for address in filter(None, addresses):
            self._record_missed_report(address)

    def _record_missed_report(self, address: str) -> None:
        """Record that a host has not sent its report in time, and back off from it.

        A call to a host that is stalled or partitioned fails only at its timeout. Each
        sweep that used the host until then would lack a whole group of shards.
        """
        helper = self._helpers_by_address.get(address)
        if helper is not None and helper.backoff_until <= self._clock.monotonic():
            self._back_off(helper, "no report")

    def _back_off(self, helper: _Helper, reason: str) -> None:
        seconds = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**helper.failures)
        helper.failures = min(helper.failures + 1, MAX_FAILURES)
        helper.backoff_until = self._clock.monotonic() + seconds
        log.warning("helper_failed", address=helper.address, reason=reason)

    def record_shard_times(
        self, sent: abc.Iterable[float], replied: abc.Iterable[float]
    ) -> None:
        """Update the time that this host spends on a shard.

        :param sent: monotonic seconds at which it sent the attempts of one sweep.
        :param replied: monotonic seconds at which their replies were read.
        """
        gaps = [_queueing_gap(sent), _queueing_gap(replied)]
        if None not in gaps:
            self._seconds_per_shard += SECONDS_PER_SHARD_WEIGHT * (
                sum(filter(None, gaps)) - self._seconds_per_shard
            )

    @property
    def seconds_per_shard(self) -> float:
        """Return the seconds that this host spends on a shard, as measured."""
        return self._seconds_per_shard

    def _group_count(self, shards: int, objective: float) -> int:
        """Return the number of groups that minimises the duration of a sweep.

        More groups are smaller each, but each costs this host a call.
        """
        alone = shards * self._seconds_per_shard
        best_count, best_seconds = 1, alone - MIN_GAIN * objective
        for count in range(2, min(len(self._hosts), shards // MIN_OWN_SHARDS) + 1):
            own = _own_shard_count(shards, count)
            here = own + SHARDS_PER_CALL * (count - 1)
            there = math.ceil((shards - own) / (count - 1))
            seconds = max(here, there) * self._seconds_per_shard + HOP_S
            if seconds < best_seconds:
                best_count, best_seconds = count, seconds
        return best_count

    def _aggregator_address(self, zone: str) -> str:
        """Return the address of the preferred usable aggregator of a zone, if any."""
        now = self._clock.monotonic()
        for helper in self._aggregators_by_zone.get(zone, ()):
            if helper.backoff_until <= now:
                return helper.address
        return ""

    def _helper_address(self, group: int, count: int) -> str:
        """Return the address of the least loaded usable host for a group, if any."""
        now = self._clock.monotonic()
        usable = [
            helper
            for host in self._hosts[group::count]
            if (helper := self._helpers_by_address[host.address]).backoff_until <= now
        ]
        if not usable:
            return ""
        min_calls = min(helper.calls for helper in usable)
        least_loaded = [helper for helper in usable if helper.calls == min_calls]
        return least_loaded[self._rng.randrange(len(least_loaded))].address


def _own_shard_count(shards: int, count: int) -> int:
    """Return how many shards the delegating host keeps, given what its calls cost."""
    calls = SHARDS_PER_CALL * (count - 1)
    even_size = (shards + calls) / count
    return max(MIN_OWN_SHARDS, round(even_size - calls))


def _group_size(total: int, index: int, count: int) -> int:
    """Return the size of the group at ``index`` of ``count`` nearly equal groups."""
    return total * (index + 1) // count - total * index // count


def _queueing_gap(moments: abc.Iterable[float]) -> float | None:
    """Return the gap between moments that queued, ``None`` for too few moments."""
    ordered = sorted(moments)
    if len(ordered) < MIN_OWN_SHARDS:
        return None
    gaps = sorted(later - earlier for earlier, later in itertools.pairwise(ordered))
    return min(MAX_GAP_S, gaps[int(GAP_QUANTILE * len(gaps))])
