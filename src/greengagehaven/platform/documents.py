"""Parser for the platform's configuration, which becomes a routing table."""

import math

import msgspec

from greengagehaven import exceptions
from greengagehaven.protocol import codec
from greengagehaven.state import routes, teams

_IDEMPOTENT = "idempotent"
_MS_PER_S = 1000.0


class _Weighted(msgspec.Struct, frozen=True):
    backend: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    slo_ms: float = 0.0
    priority: int = 0
    attempts: int = 1
    backend: str | None = None
    weighted_backends: tuple[_Weighted, ...] | None = None
    gather: tuple[str, ...] | None = None
    top_k: int = msgspec.field(default=0, name="topK")
    min_coverage: float = 1.0
    public: bool = False


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    max_conns: int = 0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_000_000
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0


class _Tenant(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Config(msgspec.Struct, frozen=True):
    version: codec.Integer
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


def parse(data: bytes) -> routes.RoutingTable:
    """Return the routing table of a configuration.

    :raises DocumentError: the configuration is malformed or invalid.
    """
    try:
        config = codec.decode_json(data, _Config, place="config")
    except exceptions.InvalidRequestError as error:
        mistake = exceptions.DocumentMistakeError(
            place="config", value="", expected=error.detail
        )
        raise exceptions.DocumentError(mistakes=[mistake]) from error
    mistakes = _find_mistakes(config)
    if mistakes:
        raise exceptions.DocumentError(mistakes=mistakes)
    return routes.RoutingTable(
        number=config.version,
        routes=[_make_route(route) for route in config.routes],
        limits_by_service={
            service.name: routes.ServiceLimits(
                connections=service.max_conns, cold_rate=service.cold_per_s
            )
            for service in config.services
        },
        caller_limits=routes.CallerLimits(
            head_bytes=config.limits.max_header_bytes,
            body_bytes=config.limits.max_body_bytes,
            head_timeout=config.limits.header_timeout_ms / _MS_PER_S,
            idle_timeout=config.limits.idle_timeout_ms / _MS_PER_S,
        ),
        teams=teams.TeamDirectory(_make_team(tenant) for tenant in config.tenants),
    )


def service_names(data: bytes) -> frozenset[str]:
    """Return the names of the configured services, none if there is no document yet."""
    return frozenset(parse(data).limits_by_service) if data else frozenset()


def _make_route(route: _Route) -> routes.Route:
    services = tuple(
        routes.WeightedService(service=part.backend, weight=part.weight)
        for part in route.weighted_backends or ()
        if part.weight > 0
    )
    if route.backend is not None:
        services = (routes.WeightedService(service=route.backend, weight=1.0),)
    return routes.Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        services=() if route.gather else services,
        shards=route.gather or (),
        is_idempotent=bool(route.gather) or route.type == _IDEMPOTENT,
        attempts=max(1, route.attempts),
        timeout=route.timeout_ms / _MS_PER_S,
        objective=(route.slo_ms or route.timeout_ms) / _MS_PER_S,
        priority=route.priority,
        top_records=route.top_k,
        min_coverage=route.min_coverage,
        is_public=route.public,
    )


def _make_team(tenant: _Tenant) -> teams.Team:
    return teams.Team(
        id=tenant.name,
        key_digests=tuple(teams.digest_of_key(key.encode()) for key in tenant.api_keys),
        priority=tenant.priority,
        rate=tenant.rate_per_s,
        burst=tenant.burst,
    )


def _find_mistakes(config: _Config) -> list[exceptions.DocumentMistakeError]:
    mistakes = []
    names = {service.name for service in config.services}
    match_keys: set[tuple[str, str]] = set()
    for number, route in enumerate(config.routes):
        place = f"routes[{number}]"
        match_key = (route.host.lower(), route.path_prefix)
        if match_key in match_keys:
            mistakes.append(_mistake(place, route.path_prefix, "a prefix of its own"))
        match_keys.add(match_key)
        if not math.isfinite(route.timeout_ms) or route.timeout_ms <= 0:
            mistakes.append(
                _mistake(f"{place}.timeoutMs", route.timeout_ms, "more than 0")
            )
        mistakes += _find_service_mistakes(place, route, names)
    return mistakes + _find_tenant_mistakes(config.tenants)


def _find_tenant_mistakes(
    tenants: tuple[_Tenant, ...],
) -> list[exceptions.DocumentMistakeError]:
    """Return the mistakes in the tenants; their values never contain a key."""
    mistakes = []
    names: set[str] = set()
    places_by_key: dict[str, tuple[str, str]] = {}
    for number, tenant in enumerate(tenants):
        place = f"tenants[{number}]"
        if not tenant.name or tenant.name in names:
            mistakes.append(_mistake(f"{place}.name", tenant.name, "a name of its own"))
        names.add(tenant.name)
        for field, value in (
            ("ratePerS", tenant.rate_per_s),
            ("burst", tenant.burst),
        ):
            if not math.isfinite(value) or value < 0:
                mistakes.append(_mistake(f"{place}.{field}", value, "0 or more"))
        for index, key in enumerate(tenant.api_keys):
            key_place = f"{place}.apiKeys[{index}]"
            holder, first_place = places_by_key.setdefault(
                key, (tenant.name, key_place)
            )
            if not key:
                mistakes.append(_mistake(key_place, "", "a key"))
            elif holder != tenant.name:
                expected = f"a key of its own, not that of {first_place}"
                mistakes.append(_mistake(key_place, "(not shown)", expected))
    return mistakes


def _find_service_mistakes(
    place: str, route: _Route, names: set[str]
) -> list[exceptions.DocumentMistakeError]:
    weighted = route.weighted_backends or ()
    service_names_used = [part.backend for part in weighted]
    service_names_used += route.gather or ()
    service_names_used += [] if route.backend is None else [route.backend]
    mistakes = [
        _mistake(place, name, "the name of a service")
        for name in service_names_used
        if name not in names
    ]
    if not service_names_used:
        mistakes.append(_mistake(place, "", "at least one service"))
    is_never_negative = all(part.weight >= 0 for part in weighted)
    if weighted and not (
        is_never_negative and sum(part.weight for part in weighted) > 0
    ):
        mistakes.append(_mistake(f"{place}.weightedBackends", 0, "weights above 0"))
    if route.gather is not None and len(set(route.gather)) != len(route.gather):
        mistakes.append(_mistake(f"{place}.gather", "", "each service once"))
    return mistakes


def _mistake(
    place: str, value: object, expected: str
) -> exceptions.DocumentMistakeError:
    return exceptions.DocumentMistakeError(place=place, value=value, expected=expected)
