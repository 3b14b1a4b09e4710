"""Routes: which services answer which requests, and within what bounds.

A table is made whole from one document and never changed, so that a request
that pinned one is not touched by the next.
"""

import dataclasses
import math
from collections import abc


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """A service that gets its ``weight``'s part of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Requests to one host under one path prefix.

    :param services: one of them answers each request; empty where ``shards`` do.
    :param shards: services that each answer a part of every request.
    :param is_idempotent: whether a request may run more than once.
    :param attempts: upstreams of a service on which a request may run.
    :param timeout: seconds after which a caller has its final answer.
    :param objective: seconds within which an answer is worth most.
    :param priority: rank, 0 is the most urgent.
    :param top_records: how many of the greatest records answer a sweep.
    :param least_coverage: share of the shards that a sweep's answer needs.
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
    least_coverage: float = 1.0

    @property
    def least_parts(self) -> int:
        """Return how many shards an answer needs."""
        # The share is a decimal that binary floats hold a little too large.
        return max(1, math.ceil(self.least_coverage * len(self.shards) - 1e-9))

    @property
    def service_names(self) -> tuple[str, ...]:
        """Return every service that requests of this route may reach."""
        return self.shards or tuple(weighted.service for weighted in self.services)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLimits:
    """What one upstream of a service bears, from all hosts together.

    :param connections: open connections.
    :param cold_rate: requests a second while it is cold, 0 for no bound.
    """

    connections: int
    cold_rate: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What callers may send, in bytes and seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 1_000_000
    head_timeout: float = 10.0
    idle_timeout: float = 75.0


class RoutingTable:
    """All routes and services of one document.

    :param number: the operator's number of the document.
    """

    def __init__(
        self,
        *,
        number: int,
        routes: abc.Iterable[Route],
        limits_by_service: abc.Mapping[str, ServiceLimits],
        caller_limits: CallerLimits,
    ) -> None:
        self.number = number
        self.limits_by_service = limits_by_service
        self.caller_limits = caller_limits
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for of_host in self._routes_by_host.values():
            of_host.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path`` at ``host``."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @property
    def routes(self) -> tuple[Route, ...]:
        """Return every route."""
        return tuple(
            route for of_host in self._routes_by_host.values() for route in of_host
        )
