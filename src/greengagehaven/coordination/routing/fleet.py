"""The upstreams that an entry host knows, and its choice among them."""

import dataclasses
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven.coordination.routing import (
    mechanisms,
    placement,
    upstreams,
    versions,
)
from greengagehaven.protocol import watching
from greengagehaven.state import routes

DEFAULT_CONNECTIONS = 8
"""Connections to an upstream whose service has no limits yet."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ColdBound:
    """How many requests a second a cold upstream bears, over all hosts."""

    factor: float = 1.0
    slack: float = 0.0


class Fleet:
    """Upstreams by id, and which of them gets the next request.

    :param cold_bound: how the rate of a service's cold upstreams is widened.
    :param placed_by: what an upstream costs.
    :param of_versions: says which versions of a service may get a request.
    :param used: mechanisms that are used.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        cold_bound: ColdBound,
        placed_by: placement.Placement,
        of_versions: versions.Versions,
        used: mechanisms.Mechanisms,
        clock: clocks.Clock,
    ) -> None:
        self._versions = of_versions
        self.upstreams_by_id: dict[str, upstreams.Upstream] = {}
        self._cold_bound = cold_bound
        self._placement = placed_by
        self._used = used
        self._clock = clock
        self._orders_by_id: dict[str, tuple] = {}
        # In the order of their coming: each choice draws a number for every one of
        # them, and a set's order differs from process to process, so that the same
        # seed would place the same requests elsewhere.
        self._ids_by_service: dict[str, dict[str, None]] = {}
        self._drained_zones: frozenset[str] = frozenset()
        self._limits_by_service: abc.Mapping[str, routes.ServiceLimits] = {}
        self._hosts = 1

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

    def take(self, entry: watching.UpstreamEntry) -> upstreams.Upstream | None:
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

    def record_outlier(self, outlier: watching.Outlier) -> None:
        """Take what other hosts found of an upstream, if of its present start."""
        upstream = self.upstreams_by_id.get(outlier.upstream_id)
        is_known = upstream is not None
        if is_known and upstream.entry.incarnation == outlier.incarnation:
            upstream.record_outlier(outlier, self._clock.monotonic())

    def forget(self, upstream_id: str) -> upstreams.Upstream | None:
        """Use an upstream no more until a later start of it announces itself."""
        return self._remove(upstream_id)

    def choose(
        self, service: str, usual: float, *, tried: abc.Collection[str] = ()
    ) -> upstreams.Upstream | None:
        """Return the upstream that should get a request, ``None`` for none.

        :param usual: seconds that such a request usually takes.
        :param tried: ids that must not get it.
        """
        return self._choose(service, usual, self._usable(service), tried)

    def choose_in(
        self, zone: str, service: str, usual: float
    ) -> upstreams.Upstream | None:
        """Return the fit upstream of a zone that should get a request, if any."""
        now = self._clock.monotonic()
        known = [
            upstream
            for upstream in self._usable(service)
            if upstream.entry.availability_zone == zone and self._is_fit(upstream, now)
        ]
        return self._choose(service, usual, known, ())

    def _choose(
        self,
        service: str,
        usual: float,
        known: list[upstreams.Upstream],
        tried: abc.Collection[str],
    ) -> upstreams.Upstream | None:
        now = self._clock.monotonic()
        unfit: list[upstreams.Upstream] = []
        groups = self._versions.candidates(service, known, is_first=not tried)
        for candidates in groups:
            usable = [
                upstream
                for upstream in candidates
                if upstream.entry.id not in tried and self._may_take(upstream, now)
            ]
            fit = [upstream for upstream in usable if self._is_fit(upstream, now)]
            if fit:
                return min(
                    fit,
                    key=lambda upstream: self._placement.cost(upstream, usual, now),
                )
            unfit = unfit or usable
        # All look unfit: a bad signal must not empty a shard.
        return min(unfit, key=upstreams.Upstream.unfit_until, default=None)

    def others_in_flight(self, service: str, version: str) -> int:
        """Return the attempts at upstreams of other versions than one."""
        return sum(
            len(upstream.sent_at_by_attempt)
            for upstream_id in self._ids_by_service.get(service, ())
            if (upstream := self.upstreams_by_id[upstream_id]).entry.version != version
        )

    def expected(self, upstream: upstreams.Upstream, usual: float) -> float:
        """Return the seconds that a request to an upstream is likely to take."""
        return self._placement.expected(upstream, usual, self._clock.monotonic())

    def connections(self, upstream: upstreams.Upstream) -> int:
        """Return how many connections this host may hold to an upstream."""
        limits = self._limits_by_service.get(upstream.entry.service)
        if limits is None or limits.connections <= 0:
            return DEFAULT_CONNECTIONS
        return max(1, limits.connections // (self._hosts + 1))

    def is_out_of_reach(self, service: str) -> bool:
        """Tell whether a service has upstreams and none of them can be reached."""
        known = [
            self.upstreams_by_id[upstream_id]
            for upstream_id in self._ids_by_service.get(service, ())
        ]
        return bool(known) and not any(upstream.is_reachable for upstream in known)

    def _usable(self, service: str) -> list[upstreams.Upstream]:
        return [
            upstream
            for upstream_id in self._ids_by_service.get(service, ())
            if (upstream := self.upstreams_by_id[upstream_id]).entry.stage
            is not watching.Stage.DRAINING
            and upstream.is_reachable
            and upstream.entry.availability_zone not in self._drained_zones
        ]

    def _may_take(self, upstream: upstreams.Upstream, now: float) -> bool:
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

    def _is_fit(self, upstream: upstreams.Upstream, now: float) -> bool:
        if upstream.entry.stage is watching.Stage.SILENT:
            return False
        if not self._used.ejection:
            return True
        if now < upstream.unfit_until():
            return False
        # One request tells whether it is back.
        return not (upstream.was_ejected and upstream.sent_at_by_attempt)

    def _add(self, entry: watching.UpstreamEntry, now: float) -> None:
        self.upstreams_by_id[entry.id] = upstreams.Upstream(entry=entry, now=now)
        self._ids_by_service.setdefault(entry.service, {})[entry.id] = None

    def _remove(self, upstream_id: str) -> upstreams.Upstream | None:
        upstream = self.upstreams_by_id.pop(upstream_id, None)
        if upstream is not None:
            ids = self._ids_by_service[upstream.entry.service]
            ids.pop(upstream_id, None)
            if not ids:
                del self._ids_by_service[upstream.entry.service]
        return upstream
