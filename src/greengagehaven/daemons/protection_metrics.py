"""Prometheus gauges of the mechanisms that protect upstreams and subscribers."""

import dataclasses
import functools
import typing

import prometheus_client

from greengagehaven.coordination import protection

_HELP_BY_FIELD = {
    "waiting": "Sub-requests that are queued for capacity",
    "parked": "Sub-requests of suspected queries that are held back",
    "suspects": "Queries that were in flight when an upstream was lost",
    "quarantined": "Queries that are refused because they crash upstreams",
    "over_share": "Subscribers over their share",
    "claims_waiting": "Requests that wait for their idempotency key",
    "claims_unconfirmed": "Outcomes that a recorder has not confirmed",
}


def register(
    registry: prometheus_client.CollectorRegistry,
    read: typing.Callable[[], protection.ProtectionCounts],
) -> None:
    """Register a gauge for each count.

    :param read: returns the current counts.
    """

    def read_field(name: str) -> float:
        return float(getattr(read(), name))

    for field in dataclasses.fields(protection.ProtectionCounts):
        gauge = prometheus_client.Gauge(
            f"greengagehaven_protection_{field.name}",
            _HELP_BY_FIELD[field.name],
            registry=registry,
        )
        gauge.set_function(functools.partial(read_field, field.name))
