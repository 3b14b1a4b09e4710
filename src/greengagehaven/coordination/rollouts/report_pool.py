"""Aggregates the rollout reports of all entry hosts."""

import dataclasses
from collections import abc

from greengagehaven.coordination.rollouts import sequential_test
from greengagehaven.protocol import rollouts

MAX_REPORT_AGE_S = 1.5
"""Age in seconds after which a host's last report no longer counts as current."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ReceivedReport:
    report: rollouts.RolloutReport
    received_at: float


class ReportPool:
    """The newest report of each entry host, and one test per rollout."""

    def __init__(self) -> None:
        self._reports_by_host: dict[str, _ReceivedReport] = {}
        self._counts_by_source: dict[
            tuple[int, str, str, str, str], tuple[int, int]
        ] = {}
        self._tests_by_number: dict[int, sequential_test.SequentialTest] = {}

    def add(self, report: rollouts.RolloutReport, now: float) -> bool:
        """Add a report; return whether it is newer than the stored one.

        Its counts are cumulative since the rollout was ordered, so a lost report does
        no harm, and a report that arrives twice is counted once.
        """
        held = self._reports_by_host.get(report.host_id)
        is_same_run = held is not None and held.report.run == report.run
        if is_same_run and held.report.sequence >= report.sequence:
            return False
        self._reports_by_host[report.host_id] = _ReceivedReport(
            report=report, received_at=now
        )
        for service_report in report.services:
            for tally in service_report.answer_counts:
                self._count(report, service_report.number, tally)
        return True

    def verdict(self, rollout: rollouts.Rollout) -> sequential_test.Verdict:
        """Return the verdict on the answers seen by all hosts."""
        return self._test_for(rollout.number).verdict()

    def unconfirmed_hosts(
        self, rollout: rollouts.Rollout, hosts: abc.Iterable[str], now: float
    ) -> list[str]:
        """Return the hosts that may still have requests at other versions.

        :param hosts: ids of the hosts known to accept requests.
        :param now: time at which the age of reports is measured, in seconds.
        """
        return [
            host_id
            for host_id in hosts
            if not self._has_confirmed(rollout, host_id, now)
        ]

    def discard_except(self, running: abc.Iterable[rollouts.Rollout]) -> None:
        """Discard the state of all rollouts that are not in progress."""
        numbers = {each.number for each in running}
        for number in set(self._tests_by_number) - numbers:
            del self._tests_by_number[number]
        if any(key[0] not in numbers for key in self._counts_by_source):
            self._counts_by_source = {
                key: counts
                for key, counts in self._counts_by_source.items()
                if key[0] in numbers
            }
        if not numbers:
            self._reports_by_host.clear()

    def _count(
        self, report: rollouts.RolloutReport, number: int, tally: rollouts.AnswerCounts
    ) -> None:
        key = number, report.host_id, report.run, tally.route, tally.upstream_id
        answers, bad = self._counts_by_source.get(key, (0, 0))
        if tally.answers <= answers:
            return
        self._counts_by_source[key] = tally.answers, tally.bad
        self._test_for(number).add(
            rollouts.AnswerCounts(
                route=tally.route,
                upstream_id=tally.upstream_id,
                answers=tally.answers - answers,
                bad=tally.bad - bad,
            )
        )

    def _test_for(self, number: int) -> sequential_test.SequentialTest:
        return self._tests_by_number.setdefault(
            number, sequential_test.SequentialTest()
        )

    def _has_confirmed(
        self, rollout: rollouts.Rollout, host_id: str, now: float
    ) -> bool:
        received = self._reports_by_host.get(host_id)
        if received is None or now - received.received_at > MAX_REPORT_AGE_S:
            return False
        return any(
            each.number == rollout.number
            and each.phase is rollouts.Phase.RETIRING
            and not each.others_in_flight
            for each in received.report.services
        )
