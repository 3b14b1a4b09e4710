"""What all entry hosts reported of the roll-outs in progress."""

import dataclasses
from collections import abc

from greengagehaven.coordination.rollouts import verdict
from greengagehaven.protocol import rollouts

HOST_LIFETIME_S = 1.5
"""Seconds after which the last report of a host says nothing of what it does now."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Heard:
    report: rollouts.HostReport
    heard_at: float


class ReportPool:
    """The newest report of each entry host, and a test of each roll-out."""

    def __init__(self) -> None:
        self._heard_by_host: dict[str, _Heard] = {}
        self._counted: dict[tuple[int, str, str, str, str], tuple[int, int]] = {}
        self._tests_by_number: dict[int, verdict.SequentialTest] = {}

    def add(self, report: rollouts.HostReport, now: float) -> bool:
        """Record a report; return whether it is newer than the one that is held.

        Its counts hold all since the order, so that a report may be lost, and one that
        comes by two ways counts once.
        """
        held = self._heard_by_host.get(report.host_id)
        is_same_run = held is not None and held.report.run == report.run
        if is_same_run and held.report.sequence >= report.sequence:
            return False
        self._heard_by_host[report.host_id] = _Heard(report=report, heard_at=now)
        for of_service in report.services:
            for tally in of_service.tallies:
                self._count(report, of_service.number, tally)
        return True

    def judge(self, rollout: rollouts.Rollout) -> verdict.Verdict:
        """Return what the answers at all hosts say of a roll-out."""
        return self._test_of(rollout.number).verdict()

    def unconfirmed(
        self, rollout: rollouts.Rollout, hosts: abc.Iterable[str], now: float
    ) -> list[str]:
        """Return the hosts that may still have requests at other versions.

        :param hosts: that are known to take requests.
        """
        return [
            host_id
            for host_id in hosts
            if not self._has_confirmed(rollout, host_id, now)
        ]

    def retain(self, running: abc.Iterable[rollouts.Rollout]) -> None:
        """Forget what is of no roll-out in progress."""
        numbers = {each.number for each in running}
        for number in set(self._tests_by_number) - numbers:
            del self._tests_by_number[number]
        if any(key[0] not in numbers for key in self._counted):
            self._counted = {
                key: counts
                for key, counts in self._counted.items()
                if key[0] in numbers
            }
        if not numbers:
            self._heard_by_host.clear()

    def _count(
        self, report: rollouts.HostReport, number: int, tally: rollouts.Tally
    ) -> None:
        key = number, report.host_id, report.run, tally.route, tally.upstream_id
        answers, bad = self._counted.get(key, (0, 0))
        if tally.answers <= answers:
            return
        self._counted[key] = tally.answers, tally.bad
        self._test_of(number).add(
            rollouts.Tally(
                route=tally.route,
                upstream_id=tally.upstream_id,
                answers=tally.answers - answers,
                bad=tally.bad - bad,
            )
        )

    def _test_of(self, number: int) -> verdict.SequentialTest:
        return self._tests_by_number.setdefault(number, verdict.SequentialTest())

    def _has_confirmed(
        self, rollout: rollouts.Rollout, host_id: str, now: float
    ) -> bool:
        heard = self._heard_by_host.get(host_id)
        if heard is None or now - heard.heard_at > HOST_LIFETIME_S:
            return False
        return any(
            each.number == rollout.number
            and each.phase is rollouts.Phase.RETIRING
            and not each.others_in_flight
            for each in heard.report.services
        )
