"""Selects upstreams for requests.

Holds the upstreams known to an entry host, and leaves out those that are draining, in
a drained zone, unreachable, or cold and at their rate limit. Ejected ones are used only
if all are unhealthy.
"""

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
"""Connection limit for an upstream whose service has no configured limits."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ColdRateLimit:
    """Adjustment of the request rate that a cold upstream gets from all hosts together.

    The limit is ``factor`` times the configured rate plus ``slack``, in requests a
    second.
    """

    factor: float = 1.0
    slack: float = 0.0


class Fleet:
    """The known upstreams, and the selection of one for each request.

    :param cold_rate_limit: adjusts the request rate of cold upstreams.
    :param cost_model: estimates the cost of a request to an upstream.
    :param versions: selects the versions of a service that may get a request.
    :param used: mechanisms that are enabled.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        cold_rate_limit: ColdRateLimit,
        cost_model: placement.CostModel,
        versions: versions.VersionSelector,
        used: mechanisms.Mechanisms,
        clock: clocks.Clock,
    ) -> None:
        self._versions = versions
        self.upstreams_by_id: dict[str, upstreams.Upstream] = {}
        self._cold_rate_limit = cold_rate_limit
        self._cost_model = cost_model
        self._used = used
        self._clock = clock
        self._latest_orders_by_id: dict[str, tuple] = {}
        # A dict keeps the order of arrival. Each selection draws a random number for
        # every upstream; with a set, whose order differs between processes, the same
        # seed would send the same requests to other upstreams.
        self._ids_by_service: dict[str, dict[str, None]] = {}
        self._drained_zones: frozenset[str] = frozenset()
        self._limits_by_service: abc.Mapping[str, routes.ServiceLimits] = {}
        self._host_count = 1

    def set_limits(
        self, limits_by_service: abc.Mapping[str, routes.ServiceLimits]
    ) -> None:
        """Set the limits of each service's upstreams."""
        self._limits_by_service = limits_by_service

    def set_hosts(self, count: int) -> None:
        """Set the number of entry hosts that share each upstream."""
        self._host_count = max(1, count)

    def set_drained_zones(self, zones: frozenset[str]) -> None:
        """Set the availability zones that get no new requests."""
        self._drained_zones = zones

    def apply_entry(self, entry: watching.UpstreamEntry) -> upstreams.Upstream | None:
        """Apply an announcement, unless an equally new or newer one is known.

        Return the previous upstream if it left, restarted or changed its service.
        """
        latest_order = self._latest_orders_by_id.get(entry.id)
        if latest_order is not None and entry.order <= latest_order:
            return None
        self._latest_orders_by_id[entry.id] = entry.order
        upstream = self.upstreams_by_id.get(entry.id)
        if entry.stage is watching.Stage.GONE:
            return self._remove(entry.id)
        now = self._clock.monotonic()
        if upstream is None:
            self._add(entry, now)
            return None
        is_restarted = entry.incarnation != upstream.entry.incarnation
        if is_restarted or entry.service != upstream.entry.service:
            self._remove(entry.id)
            self._add(entry, now)
            return upstream
        upstream.entry = entry
        upstream.cold_until = now + entry.cold_left_ms / 1000
        return None

    def record_outlier(self, outlier: watching.Outlier) -> None:
        """Apply another host's outlier report, unless the upstream has restarted."""
        upstream = self.upstreams_by_id.get(outlier.upstream_id)
        is_known = upstream is not None
        if is_known and upstream.entry.incarnation == outlier.incarnation:
            upstream.record_outlier(outlier, self._clock.monotonic())

    def remove(self, upstream_id: str) -> upstreams.Upstream | None:
        """Remove an upstream until a newer announcement of it arrives."""
        return self._remove(upstream_id)

    def choose(
        self, service: str, usual: float, *, tried: abc.Collection[str] = ()
    ) -> upstreams.Upstream | None:
        """Return the upstream that should get a request, ``None`` if there is none.

        :param usual: seconds that such a request usually takes.
        :param tried: ids of upstreams to exclude.
        """
        return self._select(service, usual, self.available(service), tried)

    def choose_in(
        self, zone: str, service: str, usual: float
    ) -> upstreams.Upstream | None:
        """Return the healthy upstream of a zone that should get a request, if any."""
        now = self._clock.monotonic()
        available = [
            upstream
            for upstream in self.available(service)
            if upstream.entry.availability_zone == zone
            and self._is_healthy(upstream, now)
        ]
        return self._select(service, usual, available, ())

    def _select(
        self,
        service: str,
        usual: float,
        available: list[upstreams.Upstream],
        tried: abc.Collection[str],
    ) -> upstreams.Upstream | None:
        now = self._clock.monotonic()
        unhealthy: list[upstreams.Upstream] = []
        groups = self._versions.candidates(service, available, is_first=not tried)
        for candidates in groups:
            untried = [
                upstream
                for upstream in candidates
                if upstream.entry.id not in tried
                and self._is_below_cold_limit(upstream, now)
            ]
            healthy = [
                upstream for upstream in untried if self._is_healthy(upstream, now)
            ]
            if healthy:
                return min(
                    healthy,
                    key=lambda upstream: self._cost_model.cost(upstream, usual, now),
                )
            unhealthy = unhealthy or untried
        # All seem unhealthy. They are used nevertheless, as a false signal must not
        # make a shard unavailable.
        return min(unhealthy, key=upstreams.Upstream.avoided_until, default=None)

    def others_in_flight(self, service: str, version: str) -> int:
        """Return the number of attempts in flight to upstreams of other versions."""
        return sum(
            len(upstream.sent_at_by_attempt)
            for upstream_id in self._ids_by_service.get(service, ())
            if (upstream := self.upstreams_by_id[upstream_id]).entry.version != version
        )

    def expected_latency(self, upstream: upstreams.Upstream, usual: float) -> float:
        """Return the expected latency of a request to an upstream, in seconds."""
        return self._cost_model.expected_latency(
            upstream, usual, self._clock.monotonic()
        )

    def max_connections(self, upstream: upstreams.Upstream) -> int:
        """Return how many connections this host may hold to an upstream.

        The service's limit is divided by the number of entry hosts plus one; without
        a limit, ``DEFAULT_CONNECTIONS`` are allowed.
        """
        limits = self._limits_by_service.get(upstream.entry.service)
        if limits is None or limits.connections <= 0:
            return DEFAULT_CONNECTIONS
        return max(1, limits.connections // (self._host_count + 1))

    def is_unreachable(self, service: str) -> bool:
        """Return whether a service has upstreams but none of them is reachable."""
        known = [
            self.upstreams_by_id[upstream_id]
            for upstream_id in self._ids_by_service.get(service, ())
        ]
        return bool(known) and not any(upstream.is_reachable for upstream in known)

    def available(self, service: str) -> list[upstreams.Upstream]:
        """Return the reachable upstreams of a service that get new requests."""
        return [
            upstream
            for upstream_id in self._ids_by_service.get(service, ())
            if (upstream := self.upstreams_by_id[upstream_id]).entry.stage
            is not watching.Stage.DRAINING
            and upstream.is_reachable
            and upstream.entry.availability_zone not in self._drained_zones
        ]

    def _is_below_cold_limit(self, upstream: upstreams.Upstream, now: float) -> bool:
        """Return whether this host may send a request to an upstream that may be cold.

        A cold upstream is limited to a number of requests in the last second, divided
        by the number of entry hosts plus one.
        """
        if now >= upstream.cold_until:
            return True
        limits = self._limits_by_service.get(upstream.entry.service)
        if limits is None or limits.cold_rate <= 0:
            return True
        sent_at = upstream.cold_sent_at
        while sent_at and now - sent_at[0] >= 1.0:
            sent_at.popleft()
        limit = (
            limits.cold_rate * self._cold_rate_limit.factor
            + self._cold_rate_limit.slack
        )
        return len(sent_at) + 1 <= limit / (self._host_count + 1)

    def _is_healthy(self, upstream: upstreams.Upstream, now: float) -> bool:
        if upstream.entry.stage is watching.Stage.SILENT:
            return False
        if not self._used.ejection:
            return True
        if now < upstream.avoided_until():
            return False
        # After an ejection, one request at a time shows whether it has recovered.
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
