"""Holds what callers and upstreams saw to what is promised."""

import collections
from collections import abc

import msgspec

from greengagehaven import client, exceptions
from greengagehaven.standin import register, upstream


class Broken(msgspec.Struct, frozen=True, kw_only=True):
    """A promise that was broken.

    :param second: of the run.
    """

    promise: str
    detail: str
    second: float


class Judge:
    """Collects what was seen and names the promises that it breaks.

    :param shard_count: shards of each service.
    :param tally: what all upstreams saw.
    """

    def __init__(self, *, shard_count: int, tally: upstream.Tally) -> None:
        self.broken: list[Broken] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.now = 0.0
        self._shard_count = shard_count
        self._tally = tally
        self._not_run_orders: dict[str, float] = {}
        self._maybe_run_orders: set[str] = set()
        self._acknowledged = 0

    def see_answer(self, answer: client.Answer, services: abc.Sequence[str]) -> None:
        """Hold a sweep's answer to its snapshot and its coverage."""
        self.counts["answers"] += 1
        coverage = answer.coverage
        total = len(services) * self._shard_count
        if coverage.total != total or coverage.answered != total - len(
            coverage.missing
        ):
            self._break("true coverage", f"{coverage} of {total} shards")
        if coverage.complete != (not coverage.missing):
            self._break("true coverage", f"complete {coverage.complete}: {coverage}")
        missing = {(each.service, each.shard) for each in coverage.missing}
        seen = collections.defaultdict(list)
        for result in answer.results:
            seen[result.service, result.shard].append(result.row)
        for service in services:
            for shard in range(self._shard_count):
                held = register.credits_of(service, shard, self._shard_count)
                due = register.search(held, {}, answer.snapshot)
                place = (service, shard)
                if place in missing:
                    due = []
                if seen[place] != due:
                    self._break(
                        "whole answers of one snapshot",
                        f"{place} of snapshot {answer.snapshot}: {seen[place]}",
                    )

    def see_order(self, order: str, error: Exception | None) -> None:
        """Note what a caller was told of a request that may run once.

        :param error: ``None`` where it was answered.
        """
        self.counts["orders"] += 1
        ran = getattr(error, "ran", exceptions.Ran.UNKNOWN)
        if error is not None and ran is exceptions.Ran.NO:
            self._not_run_orders.setdefault(order, self.now)
        else:
            self._maybe_run_orders.add(order)

    def see_planned_cut(self, host_id: str, error: Exception) -> None:
        """Note a request that a planned stop cut off."""
        self._break("a planned stop cuts off nothing", f"{host_id}: {error}")

    def see_acknowledged(self, revision: int) -> None:
        """Note a revision that operators were told is accepted."""
        self.counts["changes"] += 1
        self._acknowledged = max(self._acknowledged, revision)

    def see_revision(self, revision: int) -> None:
        """Hold a revision that a host tells to what was accepted."""
        if revision < self._acknowledged:
            self._break(
                "what was accepted is never lost",
                f"revision {revision} after {self._acknowledged} was accepted",
            )

    def see_not_regained(self, seconds: float) -> None:
        """Note that service was not back a while after the last fault."""
        self._break("service is regained", f"not within {seconds} s")

    def see_stuck(self, host_id: str) -> None:
        """Note a host that a planned stop did not end."""
        self._break("a planned stop ends", host_id)

    def end(self) -> None:
        """Hold what upstreams saw to what callers were told."""
        runs_by_order: collections.Counter[str] = collections.Counter()
        for (order, _, _), runs in self._tally.billed.items():
            runs_by_order[order] += runs
        for order, runs in runs_by_order.items():
            if runs > 1:
                self._break("a billed request runs once", f"{order} ran {runs} times")
            if order in self._not_run_orders and order not in self._maybe_run_orders:
                self._break(
                    "a refusal is true", f"{order} ran and was told not to have"
                )
        after_drain = self._tally.violations_by_name["work_after_drain"]
        if after_drain:
            self._break("what leaves gets no new work", f"{after_drain} requests")

    def _break(self, promise: str, detail: str) -> None:
        self.broken.append(
            Broken(promise=promise, detail=detail[:500], second=round(self.now, 2))
        )
