"""What an entry host knows of upstreams, and its choice among them."""

import collections
import dataclasses
import math
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import rng as rngs
from greengagehaven.coordination.routing import events, pace
from greengagehaven.protocol import watching
from greengagehaven.state import routes

CROSS_ZONE_S = 0.008
"""Seconds that another zone costs: the way there and back, and a new connection."""

CROSS_ZONE_SHARE = 0.5
"""Share of the usual latency that another zone costs besides. Sound replicas differ
by as much (speeds of 0.8 to 1.3), which no caller notices; without it, 45 in 100 first
attempts went to another zone where 25 in 100 had no replica in their own."""

COLD_FACTOR = 2.0
LOAD_LIFETIME_S = 0.25
FAULT_WEIGHT = 0.15
EJECT_FAULTS = 2
EJECT_FIRST_S = 0.4
EJECT_MOST_S = 4.0
GREY_RATE = 0.15
GREY_COST_S = 0.3
FAULT_LIFETIME_S = 3.0
FULL_FAULT = 0.2
CROWD_FAULT = 0.6
NOISE = 0.1
SILENCE_S = 0.3
SILENCE_FACTOR = 8.0
HEARD_LATELY_S = 0.5
SENT_LATELY_S = 1.0
PROBE_PERIOD_S = 0.5
OVERDUE_FACTOR = 2.0
OVERDUE_LEAST_S = 0.02
DEFAULT_CONNECTIONS = 8
SETTLE_S = 6.0
ASSUMED_HOSTS = 8
OLD_CONNECTIONS_FACTOR = 2


class Upstream:
    """One upstream as this host sees it.

    :param entry: what it said of itself.
    :param now: monotonic seconds.
    """

    def __init__(self, *, entry: watching.UpstreamEntry, now: float) -> None:
        self.entry = entry
        self.cold_until = now + entry.cold_left_ms / 1000
        self.sent_at_by_attempt: dict[int, float] = {}
        self._pace = pace.Pace(now=now)
        self._fault_rate = 0.0
        self._fault_rate_at = now
        self.faults_in_row = 0
        self.ejected_until = -math.inf
        self.heard_at = now
        self._waiting_since = now
        self._sent_at = -math.inf
        self.is_reachable = True
        self.probe_at = -math.inf
        self.load: events.Load | None = None
        self.load_at = -math.inf
        self.cold_sent: collections.deque[float] = collections.deque()

    def is_silent(self, usual: float, now: float) -> bool:
        """Tell whether nothing at all has come from it for too long.

        One that is slow answers something now and then, or at least takes a
        connection, which counts as heard.

        :param usual: seconds that its oldest request usually takes.
        """
        silence = now - max(self._waiting_since, self.heard_at)
        return silence > max(SILENCE_S, SILENCE_FACTOR * usual)

    def note_sent(self, attempt: int, now: float) -> None:
        """Count an attempt that is sent."""
        if now - self._sent_at > SENT_LATELY_S or self.heard_at > self._waiting_since:
            # Attempts that were cut off count on, those of long ago do not.
            self._waiting_since = now
        self._sent_at = now
        self.sent_at_by_attempt[attempt] = now
        if now < self.cold_until:
            self.cold_sent.append(now)

    def lose(self, now: float) -> None:
        """Note that it is out of reach until a probe gets through."""
        self.is_reachable = False
        self.probe_at = now + PROBE_PERIOD_S

    def regain(self, now: float) -> None:
        """Note that a probe got through."""
        self.is_reachable = True
        self.faults_in_row = 0
        self.ejected_until = now

    def expected(self, usual: float, now: float) -> float:
        """Return the seconds that a request sent now is likely to take.

        :param usual: seconds that such a request takes at a usual upstream.
        """
        faded = self._pace.faded(now)
        if now < self.cold_until:
            faded = max(faded, COLD_FACTOR)
        own = len(self.sent_at_by_attempt)
        ahead = max(own, self._reported_load(now))
        queued = max(0.0, ahead + 1 - self.entry.slots) / self.entry.slots
        crowd = 0.1 * min(ahead, self.entry.slots)
        return usual * faded * (1.0 + queued + crowd) + self._overdue(
            usual * faded, now
        )

    def _reported_load(self, now: float) -> float:
        if self.load is None:
            return 0.0
        age = now - self.load_at
        reported = max(0, self.load.running - 1) + self.load.waiting
        return reported * max(0.0, 1.0 - age / LOAD_LIFETIME_S)

    def _overdue(self, usual: float, now: float) -> float:
        """Return how long its oldest request has been late; it may be pausing."""
        if not self.sent_at_by_attempt:
            return 0.0
        oldest = next(iter(self.sent_at_by_attempt.values()))
        late = now - oldest - max(OVERDUE_LEAST_S, OVERDUE_FACTOR * usual)
        return max(0.0, late)

    @property
    def slowness(self) -> float:
        """Return its latency as a multiple of the usual one, as last judged."""
        return self._pace.slowness

    def note_latency(self, ratio: float, now: float) -> None:
        """Take in a latency as a multiple of the usual one."""
        self._pace.note(ratio, now)

    def fault_rate(self, now: float) -> float:
        """Return the part of its requests that failed lately.

        It fades, or one that is avoided for it would never show that it is well.
        """
        age = now - self._fault_rate_at
        return self._fault_rate * 0.5 ** (age / FAULT_LIFETIME_S)

    def _note_rate(self, weight: float, now: float) -> None:
        rate = self.fault_rate(now)
        self._fault_rate = rate + FAULT_WEIGHT * (weight - rate)
        self._fault_rate_at = now

    def note_success(self, now: float) -> None:
        """Take in a reply that counts."""
        self.faults_in_row = 0
        self._note_rate(0.0, now)

    def note_rejection(self, load: events.Load | None, now: float) -> None:
        """Take in that it did not run a request.

        One that is full says so truly and will have room soon. One that rejects
        with slots free would go on rejecting while it looks idle and quick.
        """
        is_full = load is not None and load.running >= load.slots
        self._note_rate(FULL_FAULT if is_full else 1.0, now)

    def note_crowd(self, now: float) -> None:
        """Take in that it reset a connection that had brought no reply yet.

        It holds as many as it bears, often those of hosts that lost their power.
        To eject it for that would take a sound upstream away for seconds.
        """
        self._note_rate(CROWD_FAULT, now)

    def note_fault(self, now: float) -> bool:
        """Take in a failure; return whether it is ejected for it."""
        self._note_rate(1.0, now)
        self.faults_in_row += 1
        if self.faults_in_row < EJECT_FAULTS:
            return False
        times = self.faults_in_row - EJECT_FAULTS
        duration = min(EJECT_MOST_S, EJECT_FIRST_S * 2.0 ** min(times, 8))
        self.ejected_until = now + duration
        return True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ColdBound:
    """How many requests a second a cold upstream bears, over all hosts."""

    factor: float = 1.0
    slack: float = 0.0


class Fleet:
    """Upstreams by id, and which of them gets the next request.

    :param zone: availability zone of this host.
    :param cold_bound: how the rate of a service's cold upstreams is widened.
    :param clock: monotonic time.
    :param rng: breaks ties.
    """

    def __init__(
        self,
        *,
        zone: str,
        cold_bound: ColdBound,
        clock: clocks.Clock,
        rng: rngs.Rng,
    ) -> None:
        self.upstreams_by_id: dict[str, Upstream] = {}
        self._zone = zone
        self._cold_bound = cold_bound
        self._clock = clock
        self._rng = rng
        self._orders_by_id: dict[str, tuple] = {}
        self._ids_by_service: dict[str, set[str]] = {}
        self._drained_zones: frozenset[str] = frozenset()
        self._limits_by_service: abc.Mapping[str, routes.ServiceLimits] = {}
        self._hosts = 1
        # A host that has just started may not have heard of the others, and after
        # a loss of power upstreams hold its old connections until they find them
        # idle. With too many new ones they reset whatever is above their cap.
        self._settles_at = clock.monotonic() + SETTLE_S

    def set_limits(
        self, limits_by_service: abc.Mapping[str, routes.ServiceLimits]
    ) -> None:
        """Take what upstreams of each service bear."""
        self._limits_by_service = limits_by_service

    def set_hosts(self, count: int) -> None:
        """Take the number of entry hosts that share each upstream."""
        self._hosts = max(1, count)

    def set_drained_zones(self, zones: frozenset[str]) -> None:
        """Take the availability zones that get no new work."""
        self._drained_zones = zones

    def take(self, entry: watching.UpstreamEntry) -> Upstream | None:
        """Take news of an upstream; return it where it left or began anew."""
        known_order = self._orders_by_id.get(entry.id)
        if known_order is not None and entry.order <= known_order:
            return None
        self._orders_by_id[entry.id] = entry.order
        upstream = self.upstreams_by_id.get(entry.id)
        if entry.stage is watching.Stage.GONE:
            return self._remove(entry.id)
        now = self._clock.monotonic()
        if upstream is None:
            self._add(entry, now)
            return None
        is_new = entry.incarnation != upstream.entry.incarnation
        if is_new or entry.service != upstream.entry.service:
            self._remove(entry.id)
            self._add(entry, now)
            return upstream
        upstream.entry = entry
        upstream.cold_until = now + entry.cold_left_ms / 1000
        return None

    def forget(self, upstream_id: str) -> Upstream | None:
        """Use an upstream no more until a later start of it announces itself."""
        return self._remove(upstream_id)

    def choose(
        self, service: str, usual: float, *, tried: abc.Container[str] = ()
    ) -> Upstream | None:
        """Return the upstream that should get a request, ``None`` for none.

        :param usual: seconds that such a request usually takes.
        :param tried: ids that must not get it.
        """
        now = self._clock.monotonic()
        usable = [
            upstream
            for upstream in self._usable(service)
            if upstream.entry.id not in tried and self._may_take(upstream, now)
        ]
        fit = [upstream for upstream in usable if self._is_fit(upstream, now)]
        if fit:
            return min(fit, key=lambda upstream: self._cost(upstream, usual, now))
        # All look unfit: a bad signal must not empty a shard.
        return min(usable, key=lambda upstream: upstream.ejected_until, default=None)

    def expected(self, upstream: Upstream, usual: float) -> float:
        """Return the seconds that a request to an upstream is likely to take."""
        return upstream.expected(usual, self._clock.monotonic())

    def connections(self, upstream: Upstream) -> int:
        """Return how many connections this host may hold to an upstream."""
        limits = self._limits_by_service.get(upstream.entry.service)
        if limits is None or limits.connections <= 0:
            return DEFAULT_CONNECTIONS
        if self._clock.monotonic() < self._settles_at:
            hosts = OLD_CONNECTIONS_FACTOR * (max(self._hosts, ASSUMED_HOSTS) + 1)
            return max(1, limits.connections // hosts)
        return max(1, limits.connections // (self._hosts + 1))

    def is_out_of_reach(self, service: str) -> bool:
        """Tell whether a service has upstreams and none of them can be reached."""
        known = [
            self.upstreams_by_id[upstream_id]
            for upstream_id in self._ids_by_service.get(service, ())
        ]
        return bool(known) and not any(upstream.is_reachable for upstream in known)

    def _usable(self, service: str) -> list[Upstream]:
        return [
            upstream
            for upstream_id in self._ids_by_service.get(service, ())
            if (upstream := self.upstreams_by_id[upstream_id]).entry.stage
            is not watching.Stage.DRAINING
            and upstream.is_reachable
            and upstream.entry.availability_zone not in self._drained_zones
        ]

    def _may_take(self, upstream: Upstream, now: float) -> bool:
        """Tell whether a cold upstream bears one more from this host."""
        if now >= upstream.cold_until:
            return True
        limits = self._limits_by_service.get(upstream.entry.service)
        if limits is None or limits.cold_rate <= 0:
            return True
        sent = upstream.cold_sent
        while sent and now - sent[0] >= 1.0:
            sent.popleft()
        bound = limits.cold_rate * self._cold_bound.factor + self._cold_bound.slack
        return len(sent) + 1 <= bound / (self._hosts + 1)

    def _is_fit(self, upstream: Upstream, now: float) -> bool:
        if upstream.entry.stage is watching.Stage.SILENT:
            return False
        if now < upstream.ejected_until:
            return False
        # One request tells whether it is back.
        was_ejected = upstream.faults_in_row >= EJECT_FAULTS
        return not (was_ejected and upstream.sent_at_by_attempt)

    def _cost(self, upstream: Upstream, usual: float, now: float) -> float:
        cost = upstream.expected(usual, now)
        if upstream.entry.availability_zone != self._zone:
            cost += CROSS_ZONE_S + CROSS_ZONE_SHARE * usual
        fault_rate = upstream.fault_rate(now)
        if fault_rate > GREY_RATE:
            cost += GREY_COST_S * fault_rate
        return cost * (1.0 + NOISE * self._rng.random())

    def _add(self, entry: watching.UpstreamEntry, now: float) -> None:
        self.upstreams_by_id[entry.id] = Upstream(entry=entry, now=now)
        self._ids_by_service.setdefault(entry.service, set()).add(entry.id)

    def _remove(self, upstream_id: str) -> Upstream | None:
        upstream = self.upstreams_by_id.pop(upstream_id, None)
        if upstream is not None:
            ids = self._ids_by_service[upstream.entry.service]
            ids.discard(upstream_id)
            if not ids:
                del self._ids_by_service[upstream.entry.service]
        return upstream
