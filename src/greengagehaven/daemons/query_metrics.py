"""Prometheus metrics of the queries and sub-requests of one entry host."""

import prometheus_client

from greengagehaven.protocol import search

LATENCY_BUCKETS_S = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.04,
    0.06,
    0.08,
    0.1,
    0.15,
    0.22,
    0.3,
    0.5,
    1.0,
    2.0,
    5.0,
)
COVERAGE_BUCKETS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0)


class QueryMetrics:
    """Counters and histograms of queries and sub-requests.

    :param registry: registry for the metrics; a new one by default.
    """

    def __init__(
        self, *, registry: prometheus_client.CollectorRegistry | None = None
    ) -> None:
        self.registry = registry or prometheus_client.CollectorRegistry()
        self._latency = prometheus_client.Histogram(
            "greengagehaven_query_seconds",
            "Time from a query's arrival to its answer or refusal",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._coverage = prometheus_client.Histogram(
            "greengagehaven_coverage_ratio",
            "Share of the pinned shards that are covered, for each answer",
            ("kind",),
            buckets=COVERAGE_BUCKETS,
            registry=self.registry,
        )
        self._queries = prometheus_client.Counter(
            "greengagehaven_queries",
            "Queries by the code they ended with; ok for an answer",
            ("kind", "code"),
            registry=self.registry,
        )
        self._sub_requests = prometheus_client.Counter(
            "greengagehaven_sub_requests",
            "Sub-requests sent; all but primary are extra load on upstreams",
            ("purpose",),
            registry=self.registry,
        )
        self._zones = prometheus_client.Counter(
            "greengagehaven_zone_outcomes",
            "Outcomes of sub-requests by the upstream's availability zone",
            ("zone", "outcome"),
            registry=self.registry,
        )
        self._zone_children: dict[tuple[str, str], prometheus_client.Counter] = {}
        self._purpose_children = {
            purpose: self._sub_requests.labels(purpose)
            for purpose in ("primary", "hedge", "retry")
        }

    def count_sub_request(self, purpose: str) -> None:
        """Count a sub-request: ``primary``, ``hedge`` or ``retry``."""
        self._purpose_children[purpose].inc()

    def count_outcome(self, zone: str, outcome: str) -> None:
        """Count the outcome of a sub-request to an upstream of a zone."""
        child = self._zone_children.get((zone, outcome))
        if child is None:
            child = self._zones.labels(zone, outcome)
            self._zone_children[(zone, outcome)] = child
        child.inc()

    def observe_answer(
        self, kind: str, seconds: float, coverage: search.Coverage
    ) -> None:
        """Record an answer and its latency."""
        self._queries.labels(kind, "ok").inc()
        self._latency.labels(kind).observe(seconds)
        ratio = coverage.answered / coverage.total if coverage.total else 1.0
        self._coverage.labels(kind).observe(ratio)

    def observe_refusal(self, kind: str, seconds: float, code: str) -> None:
        """Record an error and its latency; ``kind`` is empty if it is unknown."""
        self._queries.labels(kind, code).inc()
        self._latency.labels(kind).observe(seconds)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
