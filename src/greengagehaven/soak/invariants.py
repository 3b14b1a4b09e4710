"""Checks the invariants of a soak against what callers and upstreams observed."""

import collections
from collections import abc

import msgspec

from greengagehaven import client, exceptions
from greengagehaven.standin import dataset, upstream


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """A violated invariant, as written to ``verdict.json``.

    :param promise: name of the invariant.
    :param detail: what was observed, 500 characters at most.
    :param second: seconds from the start of the load.
    """

    promise: str
    detail: str
    second: float


class InvariantChecker:
    """Collects observations and records the invariants that they violate.

    ``now`` is set by the runner, in seconds from the start of the load.

    :param shard_count: number of shards of each service.
    :param counters: counts of all stand-in upstreams.
    """

    def __init__(self, *, shard_count: int, counters: upstream.Counters) -> None:
        self.violations: list[Violation] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.now = 0.0
        self._shard_count = shard_count
        self._counters = counters
        self._maybe_run_orders: set[str] = set()
        self._refusals_by_order: dict[str, list[str]] = {}
        self._acknowledged_revision = 0

    def check_answer(self, answer: client.Answer, services: abc.Sequence[str]) -> None:
        """Check that a sweep's rows match its snapshot and its stated coverage."""
        self.counts["answers"] += 1
        coverage = answer.coverage
        total = len(services) * self._shard_count
        if coverage.total != total or coverage.answered != total - len(
            coverage.missing
        ):
            self._record_violation("true coverage", f"{coverage} of {total} shards")
        if coverage.complete != (not coverage.missing):
            self._record_violation(
                "true coverage", f"complete {coverage.complete}: {coverage}"
            )
        missing = {(each.service, each.shard) for each in coverage.missing}
        rows_by_shard = collections.defaultdict(list)
        for result in answer.results:
            rows_by_shard[result.service, result.shard].append(result.row)
        for service in services:
            for shard in range(self._shard_count):
                held_credits = dataset.credits_of(service, shard, self._shard_count)
                expected_rows = dataset.find_rows(held_credits, {}, answer.snapshot)
                key = (service, shard)
                if key in missing:
                    expected_rows = []
                if rows_by_shard[key] != expected_rows:
                    self._record_violation(
                        "whole answers of one snapshot",
                        f"{key} of snapshot {answer.snapshot}: {rows_by_shard[key]}",
                    )

    def record_order(
        self, order: str, error: Exception | None, *, attempt: str = ""
    ) -> None:
        """Record the result of one attempt at an order, which must run at most once.

        :param error: ``None`` if the attempt was answered.
        :param attempt: host and request id, quoted if the order violates an invariant.
        """
        self.counts["orders"] += 1
        ran = getattr(error, "ran", exceptions.Ran.UNKNOWN)
        if error is not None and ran is exceptions.Ran.NO:
            code = getattr(error, "code", type(error).__name__)
            refusals = self._refusals_by_order.setdefault(order, [])
            refusals.append(f"{attempt} {code}")
        else:
            self._maybe_run_orders.add(order)

    def record_cut_off(self, host_id: str, error: Exception) -> None:
        """Record a request that a planned stop cut off, which violates an invariant."""
        self._record_violation("a planned stop cuts off nothing", f"{host_id}: {error}")

    def record_acknowledged(self, revision: int) -> None:
        """Record a revision that was acknowledged to an operator."""
        self.counts["changes"] += 1
        self._acknowledged_revision = max(self._acknowledged_revision, revision)

    def check_revision(self, revision: int) -> None:
        """Check that a reported revision is not older than an acknowledged one."""
        if revision < self._acknowledged_revision:
            self._record_violation(
                "what was accepted is never lost",
                f"revision {revision} after {self._acknowledged_revision} was accepted",
            )

    def record_not_recovered(self, seconds: float) -> None:
        """Record that service did not recover in time after the last fault.

        :param seconds: how long it was waited for.
        """
        self._record_violation("service is regained", f"not within {seconds} s")

    def record_stuck(self, host_id: str) -> None:
        """Record a host that did not exit after a planned stop."""
        self._record_violation("a planned stop ends", host_id)

    def check_orders(self) -> None:
        """Check billed runs and work after a drain, once all requests have ended."""
        runs_by_order: collections.Counter[str] = collections.Counter()
        for (order, _, _), runs in self._counters.billed.items():
            runs_by_order[order] += runs
        for order, runs in runs_by_order.items():
            if runs > 1:
                self._record_violation(
                    "a billed request runs once", f"{order} ran {runs} times"
                )
            refusals = "; ".join(self._refusals_by_order.get(order, ()))
            if refusals and order not in self._maybe_run_orders:
                self._record_violation(
                    "a refusal is true",
                    f"{order} ran and was told not to have: {refusals}",
                )
        after_drain = self._counters.violations_by_name["work_after_drain"]
        if after_drain:
            self._record_violation(
                "what leaves gets no new work", f"{after_drain} requests"
            )

    def _record_violation(self, promise: str, detail: str) -> None:
        self.violations.append(
            Violation(promise=promise, detail=detail[:500], second=round(self.now, 2))
        )
