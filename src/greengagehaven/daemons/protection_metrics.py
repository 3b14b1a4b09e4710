"""Gauges of what protects upstreams and subscribers, for Prometheus."""

import dataclasses
import functools
import typing

import prometheus_client

from greengagehaven.coordination import protection

_HELP_BY_FIELD = {
    "waiting": "Sub-requests that wait for room",
    "parked": "Sub-requests of suspected queries that are held",
    "suspects": "Queries that were in flight when an upstream was lost",
    "quarantined": "Queries that are refused for bringing upstreams down",
    "over_share": "Subscribers over their share",
    "claims_waiting": "Requests that wait for their idempotency key",
    "claims_unconfirmed": "Outcomes that a recorder has not confirmed",
}


def register(
    registry: prometheus_client.CollectorRegistry,
    read: typing.Callable[[], protection.Protection],
) -> None:
    """Register a gauge for each count.

    :param read: returns the counts of now.
    """

    def read_field(name: str) -> float:
        return float(getattr(read(), name))

    for field in dataclasses.fields(protection.Protection):
        gauge = prometheus_client.Gauge(
            f"greengagehaven_protection_{field.name}",
            _HELP_BY_FIELD[field.name],
            registry=registry,
        )
        gauge.set_function(functools.partial(read_field, field.name))
