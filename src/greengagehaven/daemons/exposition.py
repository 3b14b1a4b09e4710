"""Metrics in the Prometheus text format, collected on each scrape."""

import collections
import typing
from collections import abc

from greengagehaven import exceptions, log
from greengagehaven.coordination.routing import counts, key_lease
from greengagehaven.transport import (
    background_tasks,
    http,
    http_peers,
    http_server,
    http_server_connection,
)

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
METRIC_PREFIX = "greengagehaven"


class GatewayCollector:
    """Metric families of an entry host that routes requests.

    :param counted: counters of its router.
    :param gauges: help text and reader of each gauge, by name.
    """

    def __init__(
        self,
        *,
        counted: counts.Counts,
        gauges: abc.Mapping[str, tuple[str, abc.Callable[[], float]]],
    ) -> None:
        self._counted = counted
        self._gauges = gauges

    def collect(self) -> abc.Iterator[typing.Any]:
        """Yield every metric family; imports the Prometheus library on first use."""
        from prometheus_client import core

        yield from self._labelled_counters(core)
        yield core.CounterMetricFamily(
            f"{METRIC_PREFIX}_routed_extra_refused",
            "Hedges and retries that the shared budget refused",
            value=self._counted.extra_refused,
        )
        yield core.CounterMetricFamily(
            f"{METRIC_PREFIX}_routed_missing_parts",
            "Shards missing from answers",
            value=self._counted.missing_parts,
        )
        yield from self._histograms(core)
        for name, (text, read) in self._gauges.items():
            yield core.GaugeMetricFamily(f"{METRIC_PREFIX}_{name}", text, value=read())

    def describe(self) -> list[typing.Any]:
        """Return an empty list, so that registering does not call ``collect``."""
        return []

    def _labelled_counters(self, core: typing.Any) -> abc.Iterator[typing.Any]:
        counted = self._counted
        family = core.CounterMetricFamily(
            f"{METRIC_PREFIX}_routed_requests",
            "Requests that were answered",
            labels=("route", "outcome"),
        )
        for (route, outcome), count in counted.requests.items():
            family.add_metric((route, outcome), count)
        yield family
        labelled = (
            ("attempts", "purpose", "Attempts sent", counted.attempts),
            ("refusals", "reason", "Requests answered with an error", counted.refusals),
            ("attempt_failures", "reason", "Attempts failed", counted.failures),
            (
                "delegations",
                "state",
                "Calls that delegate part of a sweep's shards to other hosts",
                counted.delegations,
            ),
            (
                "loans",
                "side",
                "Extra attempts lent between hosts of the zone",
                counted.loans,
            ),
            (
                "upstream_changes",
                "change",
                "Upstreams ejected, out of reach, reached again or crashed",
                counted.upstream_changes,
            ),
        )
        for name, label, text, values in labelled:
            family = core.CounterMetricFamily(
                f"{METRIC_PREFIX}_routed_{name}", text, labels=(label,)
            )
            for value, count in values.items():
                family.add_metric((value,), count)
            yield family

    def _histograms(self, core: typing.Any) -> abc.Iterator[typing.Any]:
        histogram = core.HistogramMetricFamily(
            f"{METRIC_PREFIX}_routed_seconds",
            "Time from a request's arrival to its answer",
            labels=("route",),
        )
        for route, latencies in self._counted.latencies_by_route.items():
            histogram.add_metric(
                (route,), latencies.cumulative_counts(), latencies.total
            )
        yield histogram
        ages = self._counted.report_ages
        yield core.HistogramMetricFamily(
            f"{METRIC_PREFIX}_routed_report_age_seconds",
            "Age of the work time of the upstream that a request is sent to",
            buckets=ages.cumulative_counts(),
            sum_value=ages.total,
        )


class KeyLeaseCollector:
    """Metric families of the lease under which a host accepts keys of teams.

    :param guard: holds the lease.
    """

    def __init__(self, *, guard: key_lease.KeyGuard) -> None:
        self._guard = guard

    def collect(self) -> abc.Iterator[typing.Any]:
        """Yield every metric family; imports the Prometheus library on first use."""
        from prometheus_client import core

        lease = self._guard.lease
        yield core.GaugeMetricFamily(
            f"{METRIC_PREFIX}_routed_key_lease_seconds",
            "Time until the lease for keys of teams expires, 0 without a lease",
            value=0.0 if lease is None else lease.remaining,
        )
        refused = core.CounterMetricFamily(
            f"{METRIC_PREFIX}_routed_key_lease_refused",
            "Requests refused and attempts not sent for lack of the lease",
            labels=("reason",),
        )
        for reason, count in self._guard.refusals.items():
            refused.add_metric((reason,), count)
        yield refused

    def describe(self) -> list[typing.Any]:
        """Return an empty list, so that registering does not call ``collect``."""
        return []


class TrafficCollector:
    """Metric families of the calls that a host makes to other hosts.

    :param traffic: counters of its client.
    """

    def __init__(self, *, traffic: http_peers.PeerCallCounts) -> None:
        self._traffic = traffic

    def collect(self) -> abc.Iterator[typing.Any]:
        """Yield every metric family; imports the Prometheus library on first use."""
        from prometheus_client import core

        calls = core.CounterMetricFamily(
            f"{METRIC_PREFIX}_peer_calls",
            "Calls to other hosts that were answered",
            labels=("method",),
        )
        for method, count in self._traffic.calls.items():
            calls.add_metric((method,), count)
        yield calls
        size = core.CounterMetricFamily(
            f"{METRIC_PREFIX}_peer_bytes",
            "Bytes of calls to other hosts and of the responses, including heads",
            labels=("method", "direction"),
        )
        for direction, counted in (
            ("sent", self._traffic.sent_bytes),
            ("received", self._traffic.received_bytes),
        ):
            for method, count in counted.items():
                size.add_metric((method, direction), count)
        yield size

    def describe(self) -> list[typing.Any]:
        """Return an empty list, so that registering does not call ``collect``."""
        return []


class SettingsCollector:
    """Metric family that shows whether a changed settings file is refused.

    :param is_refused: returns whether it is refused now.
    """

    def __init__(self, *, is_refused: abc.Callable[[], bool]) -> None:
        self._is_refused = is_refused

    def collect(self) -> abc.Iterator[typing.Any]:
        """Yield the metric family; imports the Prometheus library on first use."""
        from prometheus_client import core

        yield core.GaugeMetricFamily(
            f"{METRIC_PREFIX}_settings_refused",
            "1 if the settings file is invalid and the previous settings stay in force",
            value=self._is_refused(),
        )

    def describe(self) -> list[typing.Any]:
        """Return an empty list, so that registering does not call ``collect``."""
        return []


class ServerCollector:
    """Metric families of the connections of callers and of the stop of a host.

    :param server: server of the callers.
    """

    def __init__(self, *, server: http_server.HttpServer) -> None:
        self._server = server

    def collect(self) -> abc.Iterator[typing.Any]:
        """Yield every metric family; imports the Prometheus library on first use."""
        from prometheus_client import core

        connections = core.GaugeMetricFamily(
            f"{METRIC_PREFIX}_caller_connections",
            "Open connections of callers",
            labels=("state",),
        )
        counts = collections.Counter(self._server.connection_states)
        for state in http_server_connection.State:
            connections.add_metric((state.value,), counts[state.value])
        yield connections
        report = self._server.report
        yield core.GaugeMetricFamily(
            f"{METRIC_PREFIX}_stopping",
            "1 once the host drains",
            value=report.draining_since is not None,
        )
        yield core.GaugeMetricFamily(
            f"{METRIC_PREFIX}_stopping_seconds",
            "Time since the drain began, 0 before it",
            value=report.since_drain,
        )
        yield core.CounterMetricFamily(
            f"{METRIC_PREFIX}_requests_cut",
            "Requests that were read and cut off without a complete response",
            value=report.cut_count,
        )

    def describe(self) -> list[typing.Any]:
        """Return an empty list, so that registering does not call ``collect``."""
        return []


class TaskCollector:
    """Metric family of unexpected errors of tasks in this process."""

    def collect(self) -> abc.Iterator[typing.Any]:
        """Yield the metric family; imports the Prometheus library on first use."""
        from prometheus_client import core

        family = core.CounterMetricFamily(
            f"{METRIC_PREFIX}_task_failures",
            "Unexpected errors of tasks that run in the background",
            labels=("task",),
        )
        for task, count in background_tasks.failures_by_task.items():
            family.add_metric((task,), count)
        yield family

    def describe(self) -> list[typing.Any]:
        """Return an empty list, so that registering does not call ``collect``."""
        return []


class UsageCollector:
    """Metric family of requests refused above their team's limit.

    Teams without a refused request are left out.

    :param refused_by_team: refused requests by the team's id.
    """

    def __init__(self, *, refused_by_team: abc.Mapping[str, int]) -> None:
        self._refused_by_team = refused_by_team

    def collect(self) -> abc.Iterator[typing.Any]:
        """Yield the metric family; imports the Prometheus library on first use."""
        from prometheus_client import core

        family = core.CounterMetricFamily(
            f"{METRIC_PREFIX}_usage_cap_refused",
            "Requests refused because their team exceeds its limit over all hosts",
            labels=("team",),
        )
        for team_id, count in self._refused_by_team.items():
            family.add_metric((team_id,), count)
        yield family

    def describe(self) -> list[typing.Any]:
        """Return an empty list, so that registering does not call ``collect``."""
        return []


class MetricsServer:
    """Serves the metrics of one process.

    :param registry: returns the registry; called on each scrape.
    """

    def __init__(self, *, registry: abc.Callable[[], typing.Any]) -> None:
        self._registry = registry
        self._server = http_server.HttpServer(handler=self._handle)

    async def start(self, host: str, port: int) -> None:
        """Start listening; if the port is in use, log it and run without metrics."""
        try:
            await self._server.start(host, port)
        except exceptions.SettingError as error:
            log.warning("metrics_not_served", error=error.detail)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _handle(self, request: http.Request) -> http.Response:
        if request.path != METRICS_PATH:
            raise exceptions.NotFoundError("no such path")
        import prometheus_client

        body = prometheus_client.generate_latest(self._registry())
        return http.Response(status=200, body=body, content_type=CONTENT_TYPE)


def make_registry(*collectors: typing.Any) -> typing.Any:
    """Return a new registry with these collectors registered."""
    import prometheus_client

    registry = prometheus_client.CollectorRegistry()
    for collector in collectors:
        registry.register(collector)
    return registry
