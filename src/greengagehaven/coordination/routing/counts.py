"""Counters and histograms of a router, which the metrics endpoint exposes."""

import bisect
import collections

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.04,
    0.05,
    0.075,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)


class Histogram:
    """Histogram of durations in seconds, counted by bucket.

    A duration is counted in the first bucket whose upper bound is not below it.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Record a duration in seconds."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.total += seconds

    def cumulative_counts(self) -> list[tuple[str, int]]:
        """Return the cumulative count of each bucket with its upper bound as text."""
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        total = 0
        cumulated = []
        for bound, count in zip(bounds, self.counts, strict=True):
            total += count
            cumulated.append((bound, total))
        return cumulated


class Counts:
    """Counters of one router since its start.

    They are plain numbers rather than objects of the metrics library: that library
    takes 1.7 MB, and a host whose metrics are never scraped does not load it.

    ``refusals`` counts by error code or by the reason of failed shards. ``report_ages``
    holds, for each attempt, the age of its upstream's last report of work time.
    """

    def __init__(self) -> None:
        self.requests: collections.Counter[tuple[str, str]] = collections.Counter()
        self.attempts: collections.Counter[str] = collections.Counter()
        self.failures: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.upstream_changes: collections.Counter[str] = collections.Counter()
        self.delegations: collections.Counter[str] = collections.Counter()
        self.loans: collections.Counter[str] = collections.Counter()
        self.extra_refused = 0
        self.report_ages = Histogram()
        self.missing_parts = 0
        self.latencies_by_route: dict[str, Histogram] = {}

    def record_end(
        self, route: str, outcome: str, seconds: float, missing: int
    ) -> None:
        """Record a request that ended.

        :param outcome: outcome or error code.
        :param seconds: time since the request arrived.
        :param missing: number of shards without a usable reply when it ended.
        """
        self.requests[route, outcome] += 1
        self.missing_parts += missing
        self.latencies_by_route.setdefault(route, Histogram()).observe(seconds)
