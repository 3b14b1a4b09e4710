"""Which reports a control host forwards to each other control host."""

import dataclasses
from collections import abc

from greengagehaven.protocol import usage_caps

REFRESH_S = 1.0
"""Seconds after which an unchanged report is forwarded again, so that its host does
not count as silent, which takes a window."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _DirectReport:
    """The last report that a host sent to this control host."""

    report: usage_caps.UsageReport
    received_at: float
    forwarded_at: float


class _ForwardQueue:
    """Reports that one other control host still has to get.

    Only the newest of a run is kept, so that the size is bounded by the number of
    hosts, however long the other control host is out of reach.
    """

    def __init__(self) -> None:
        self.reports_by_run: dict[tuple[str, str], usage_caps.UsageReport] = {}
        self.receiver_run = ""


class ReportForwarder:
    """Keeps the reports that other control hosts still have to get.

    Reports are forwarded as they are and not as sums: a host that changes to another
    control host would be counted in the sums of both.

    :param window: seconds of the usage window.
    """

    def __init__(self, *, window: float) -> None:
        self._window = window
        self._direct_by_run: dict[tuple[str, str], _DirectReport] = {}
        self._queues_by_address: dict[str, _ForwardQueue] = {}

    def set_addresses(self, addresses: abc.Iterable[str]) -> None:
        """Set the other control hosts."""
        self._queues_by_address = {
            address: self._queues_by_address.get(address) or _ForwardQueue()
            for address in addresses
        }

    @property
    def has_unsent(self) -> bool:
        """Return whether any report is to be forwarded."""
        queues = self._queues_by_address.values()
        return any(queue.reports_by_run for queue in queues)

    def add(self, report: usage_caps.UsageReport, now: float) -> None:
        """Record a report that a host sent to this control host."""
        key = report.host_id, report.run
        direct = self._direct_by_run.get(key)
        is_due = direct is None or now - direct.forwarded_at >= REFRESH_S
        is_due = is_due or report.teams != direct.report.teams
        forwarded_at = now if is_due else direct.forwarded_at
        self._direct_by_run[key] = _DirectReport(
            report=report, received_at=now, forwarded_at=forwarded_at
        )
        if is_due:
            for queue in self._queues_by_address.values():
                queue.reports_by_run[key] = report

    def expire(self, now: float) -> None:
        """Forget hosts that have not reported here for a window."""
        for key, direct in list(self._direct_by_run.items()):
            if now - direct.received_at > self._window:
                del self._direct_by_run[key]

    def take(self, address: str) -> tuple[usage_caps.UsageReport, ...]:
        """Return the reports to forward to a control host, and remove them."""
        queue = self._queues_by_address[address]
        reports = tuple(queue.reports_by_run.values())
        queue.reports_by_run = {}
        return reports

    def restore(
        self, address: str, reports: abc.Iterable[usage_caps.UsageReport]
    ) -> None:
        """Keep reports that could not be forwarded, unless newer ones arrived."""
        queue = self._queues_by_address.get(address)
        if queue is not None:
            for report in reports:
                queue.reports_by_run.setdefault((report.host_id, report.run), report)

    def record_reply(self, address: str, run: str) -> None:
        """Queue all reports again for a control host that has restarted."""
        queue = self._queues_by_address.get(address)
        if queue is not None and queue.receiver_run != run:
            queue.receiver_run = run
            self.restore(
                address, (direct.report for direct in self._direct_by_run.values())
            )
