"""What a router counts: plain numbers, exposed by who holds the router."""

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
    """Counts of seconds, each in the first bucket that holds it."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Count a duration."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.total += seconds

    def cumulated(self) -> list[tuple[str, int]]:
        """Return how many durations were at most each bucket's bound."""
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        seen = 0
        cumulated = []
        for bound, count in zip(bounds, self.counts, strict=True):
            seen += count
            cumulated.append((bound, seen))
        return cumulated


class Counts:
    """Counters of one router since its start.

    They are plain numbers: the library that writes them out takes 1.7 MB, which
    a host that nobody asks for its metrics does not load.
    """

    def __init__(self) -> None:
        self.requests: collections.Counter[tuple[str, str]] = collections.Counter()
        self.attempts: collections.Counter[str] = collections.Counter()
        self.failures: collections.Counter[str] = collections.Counter()
        self.upstream_changes: collections.Counter[str] = collections.Counter()
        self.delegations: collections.Counter[str] = collections.Counter()
        self.loans: collections.Counter[str] = collections.Counter()
        self.extra_refused = 0
        self.missing_parts = 0
        self.latencies_by_route: dict[str, Histogram] = {}

    def end(self, route: str, outcome: str, seconds: float, missing: int) -> None:
        """Count a request that got its answer."""
        self.requests[route, outcome] += 1
        self.missing_parts += missing
        self.latencies_by_route.setdefault(route, Histogram()).observe(seconds)
