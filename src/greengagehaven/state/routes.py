"""Routing table: the services that answer a request, and the limits that apply.

A table is built from one document and is immutable, so that a request keeps the
table it started with when the next document is applied.
"""

import dataclasses
import math
from collections import abc

from greengagehaven.state import teams as teams_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests proportional to ``weight``."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How requests to one host under one path prefix are routed.

    :param services: services of which one answers each request; empty if the route
        has ``shards``.
    :param shards: services that each answer a part of every request, which is then
        called a sweep.
    :param is_idempotent: whether a request may run more than once.
    :param attempts: maximum number of upstreams of a service that a request runs on.
    :param timeout: seconds after which a caller has its final answer.
    :param objective: latency objective in seconds; a later answer is worth less.
    :param priority: 0 is the most urgent.
    :param top_records: number of greatest records that a sweep returns.
    :param min_coverage: minimum fraction of the shards in a sweep's answer.
    :param is_public: whether requests need no key even if the table has teams.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    is_idempotent: bool = True
    attempts: int = 1
    timeout: float
    objective: float
    priority: int = 0
    top_records: int = 0
    min_coverage: float = 1.0
    is_public: bool = False

    @property
    def min_shards(self) -> int:
        """Return the minimum number of shards in an answer."""
        # The fraction is a decimal; as a binary float it may be slightly too large,
        # which would round the product up to one shard too many.
        return max(1, math.ceil(self.min_coverage * len(self.shards) - 1e-9))

    @property
    def service_names(self) -> tuple[str, ...]:
        """Return all services to which requests of this route may be sent."""
        return self.shards or tuple(weighted.service for weighted in self.services)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLimits:
    """Limits per upstream of a service, over all entry hosts together.

    :param connections: maximum number of open connections.
    :param cold_rate: maximum requests per second during a cold start, 0 for no limit.
    """

    connections: int
    cold_rate: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Size limits in bytes and timeouts in seconds of callers' connections."""

    head_bytes: int = 16_384
    body_bytes: int = 1_000_000
    head_timeout: float = 10.0
    idle_timeout: float = 75.0


class RoutingTable:
    """Routes, service limits and teams of one document.

    :param number: the operator's number of the document.
    :param teams: teams whose keys requests need; without teams no key is needed.
    """

    def __init__(
        self,
        *,
        number: int,
        routes: abc.Iterable[Route],
        limits_by_service: abc.Mapping[str, ServiceLimits],
        caller_limits: CallerLimits,
        teams: teams_module.TeamDirectory | None = None,
    ) -> None:
        self.number = number
        self.teams = teams_module.TeamDirectory() if teams is None else teams
        self.limits_by_service = limits_by_service
        self.caller_limits = caller_limits
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @property
    def routes(self) -> tuple[Route, ...]:
        """Return all routes."""
        return tuple(
            route
            for host_routes in self._routes_by_host.values()
            for route in host_routes
        )
