"""Sums of reports at an entry host, for hosts that no control host answers."""

import msgspec

from greengagehaven.coordination.shared_budgets import report_schedule, report_sums
from greengagehaven.protocol import usage_caps

MIN_HEARD_SHARE = 0.9
"""Share of the known hosts whose reports must arrive for the sums to be used. If only
some reach no control host, these sums lack the others."""


class SubstituteSums:
    """Adds up reports that other entry hosts send while no control host answers.

    :param window: seconds of the usage window.
    """

    def __init__(self, *, window: float) -> None:
        self._window = window
        self._sums = report_sums.ReportSums(window=window, started_at=0.0)
        self._heard_count = 0
        self._received_at = float("-inf")
        self._updated_at = float("-inf")

    def add(self, report: usage_caps.UsageReport, now: float) -> usage_caps.UsageTotals:
        """Record a report; return the usage at all other hosts that have reported."""
        if now - self._received_at > self._window:
            # What was reported before has left the window.
            self._sums = report_sums.ReportSums(window=self._window, started_at=now)
        self._received_at = now
        self._sums.add(report, now)
        if now - self._updated_at >= report_schedule.URGENT_PERIOD_S:
            self._updated_at = now
            self._sums.expire(now)
            self._heard_count = self._sums.count_heard(now)
        is_settled = self._heard_count >= MIN_HEARD_SHARE * report.known_hosts > 0
        totals = self._sums.totals_for(report, now)
        return msgspec.structs.replace(totals, is_settled=is_settled)
