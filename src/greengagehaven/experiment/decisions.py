"""What hosts knew of an upstream when they sent it a sub-request."""

import math

import msgspec
import numpy


class DecisionStats(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of the decisions of a day on services that have slow periods.

    :param sends: sub-requests sent to them.
    :param slow_share: share of them sent to an upstream in a slow period.
    :param age_p50_ms: median age of the newest load report on the chosen upstream;
        ``age_p99_ms`` is the 99th percentile. Ages are cut off at 10 s.
    """

    sends: int
    slow_share: float
    age_p50_ms: float
    age_p99_ms: float


MAX_AGE_S = 10.0
"""Age recorded for an upstream without a report and for older reports."""


class DecisionLog:
    """Collects the decisions of all hosts."""

    def __init__(self) -> None:
        self._slow = 0
        self._ages: list[float] = []

    def record(self, *, is_slow: bool, report_age: float) -> None:
        """Record one sub-request that is sent."""
        self._slow += is_slow
        age = MAX_AGE_S if math.isinf(report_age) else min(MAX_AGE_S, report_age)
        self._ages.append(age)

    def summarize(self) -> DecisionStats | None:
        """Return the summary, ``None`` without any decision."""
        if not self._ages:
            return None
        median, tail = numpy.percentile(numpy.array(self._ages) * 1000, (50, 99))
        return DecisionStats(
            sends=len(self._ages),
            slow_share=round(self._slow / len(self._ages), 4),
            age_p50_ms=round(float(median), 1),
            age_p99_ms=round(float(tail), 1),
        )
