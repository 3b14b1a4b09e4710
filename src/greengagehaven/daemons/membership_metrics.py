"""Metrics of membership and the upstream directory, collected on each scrape."""

import collections
from collections import abc

import prometheus_client
from prometheus_client import metrics_core, registry

from greengagehaven import clock as clocks
from greengagehaven.coordination.membership import membership_core
from greengagehaven.protocol import membership

_PREFIX = "greengagehaven"


class MembershipMetrics(registry.Collector):
    """Metrics of the hosts, zones, upstreams and events that this host knows of.

    :param core: membership core to read.
    :param prometheus: registry to register with; ``None`` for none.
    """

    def __init__(
        self,
        *,
        core: membership_core.MembershipCore,
        clock: clocks.Clock,
        prometheus: prometheus_client.CollectorRegistry | None = None,
    ) -> None:
        self._core = core
        self._clock = clock
        self._counts_by_event: collections.Counter[str] = collections.Counter()
        if prometheus is not None:
            prometheus.register(self)

    def count(self, event: str) -> None:
        """Count an event that the core logged."""
        self._counts_by_event[event] += 1

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Yield the current metrics."""
        yield self._hosts()
        yield self._zone_ages()
        yield self._upstreams()
        events = metrics_core.CounterMetricFamily(
            f"{_PREFIX}_membership_events",
            "Events of membership, as in the log.",
            labels=("event",),
        )
        for event, count in sorted(self._counts_by_event.items()):
            events.add_metric((event,), count)
        yield events

    def _hosts(self) -> metrics_core.Metric:
        family = metrics_core.GaugeMetricFamily(
            f"{_PREFIX}_membership_hosts",
            "Entry hosts by zone and status, as this host knows them.",
            labels=("zone", "status"),
        )
        records = self._core.view.hosts.records_by_id.values()
        counts = collections.Counter((each.zone, each.status) for each in records)
        for zone in sorted({zone for zone, _ in counts}):
            for status in membership.HostStatus:
                labels = (zone, status.name.lower())
                family.add_metric(labels, counts[zone, status])
        return family

    def _zone_ages(self) -> metrics_core.Metric:
        family = metrics_core.GaugeMetricFamily(
            f"{_PREFIX}_zone_age_seconds",
            "Time since a zone confirmed what this host knows of it.",
            labels=("zone",),
        )
        view = self._core.view
        now = self._clock.monotonic()
        for zone in view.zone_digests.zones:
            hosts = len(view.hosts.live_ids(zone))
            family.add_metric((zone,), view.zone_ages.age(zone, now, host_count=hosts))
        return family

    def _upstreams(self) -> metrics_core.Metric:
        family = metrics_core.GaugeMetricFamily(
            f"{_PREFIX}_directory_upstreams",
            "Upstreams that are served to the query path, withheld or gone.",
            labels=("state",),
        )
        table = self._core.view.upstreams
        gone = table.tombstone_count
        served = table.served_count
        family.add_metric(("served",), served)
        family.add_metric(("withheld",), len(table.records_by_id) - gone - served)
        family.add_metric(("gone",), gone)
        return family
