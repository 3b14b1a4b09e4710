"""Which reports a control host forwards to each other control host."""

import dataclasses
from collections import abc

import msgspec

from greengagehaven.protocol import usage_caps

REFRESH_S = 0.4
"""Seconds after which an unchanged report with usage is forwarded again, so that its
host does not count as silent."""

IDLE_REFRESH_S = 1.0
"""Seconds after which an unchanged report without usage is forwarded again, so that
its host does not count as quiet."""

MAX_FAILURES = 2
"""Calls in a row that may fail before only one at a time is made. Otherwise all reports
are sent again each period to a control host that is down."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DirectReport:
    """The last report that a host sent to this control host.

    :param forwarded_at: when a report with these counts was first queued.
    :param connection: address of the host's side of the connection it came on.
    :param has_ended: whether the host has closed that connection since.
    """

    report: usage_caps.UsageReport
    received_at: float
    forwarded_at: float
    connection: str
    has_ended: bool = False

    def as_of(self, moment: float) -> usage_caps.UsageReport:
        """Return the report with the age that it has at a moment."""
        held_ms = round(1000 * (moment - self.received_at))
        age_ms = self.report.age_ms + held_ms
        return msgspec.structs.replace(self.report, age_ms=age_ms)


def make_exchange(
    directs: abc.Iterable[DirectReport], arrival: float
) -> usage_caps.UsageExchange:
    """Return the message that forwards reports, as of the time of its arrival."""
    return usage_caps.UsageExchange(
        reports=tuple(direct.as_of(arrival) for direct in directs),
        ended_runs=tuple(direct.report.run for direct in directs if direct.has_ended),
    )


class _ForwardQueue:
    """Reports that one other control host still has to get.

    Only the newest of a run is kept, so that the size is bounded by the number of
    hosts, however long the other control host is out of reach.
    """

    def __init__(self) -> None:
        self.directs_by_run: dict[tuple[str, str], DirectReport] = {}
        self.receiver_run = ""
        self.calls_in_flight = 0
        self.failures = 0

    def end_call(self, *, failed: bool) -> None:
        """Record the end of a call."""
        self.calls_in_flight = max(0, self.calls_in_flight - 1)
        self.failures = self.failures + 1 if failed else 0


class ReportForwarder:
    """Keeps the reports that other control hosts still have to get.

    Reports are forwarded as they are and not as sums: a host that changes to another
    control host would be counted in the sums of both.

    :param window: seconds of the usage window.
    """

    def __init__(self, *, window: float) -> None:
        self._window = window
        self._direct_by_run: dict[tuple[str, str], DirectReport] = {}
        self._runs_by_connection: dict[str, tuple[str, str]] = {}
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
        return any(queue.directs_by_run for queue in queues)

    @property
    def unreachable(self) -> tuple[str, ...]:
        """Return the addresses of the control hosts that do not answer."""
        return tuple(
            address
            for address, queue in self._queues_by_address.items()
            if queue.failures >= MAX_FAILURES
        )

    @property
    def connection_count(self) -> int:
        """Return the number of connections whose end would be noticed."""
        return len(self._runs_by_connection)

    def add(
        self, report: usage_caps.UsageReport, now: float, *, connection: str
    ) -> None:
        """Record a report that a host sent to this control host.

        :param connection: address of the host's side of the connection.
        """
        key = report.host_id, report.run
        last = self._direct_by_run.get(key)
        refresh = REFRESH_S if report.teams else IDLE_REFRESH_S
        is_due = (
            last is None
            or now - last.forwarded_at >= refresh
            or report.teams != last.report.teams
        )
        direct = self._direct_by_run[key] = DirectReport(
            report=report,
            received_at=now,
            forwarded_at=now if last is None or is_due else last.forwarded_at,
            connection=connection,
        )
        if last is not None:
            self._runs_by_connection.pop(last.connection, None)
        self._runs_by_connection[connection] = key
        if is_due:
            self._queue(key, direct)

    def end(self, connection: str, now: float) -> usage_caps.UsageReport | None:
        """Record that a host has closed a connection.

        A host that closed the connection of its last report has probably ended. One
        that has not will send another report.

        :returns: the last report, to be counted as that of a host that has ended.
        """
        key = self._runs_by_connection.pop(connection, None)
        if key is None:
            return None
        direct = dataclasses.replace(self._direct_by_run[key], has_ended=True)
        self._direct_by_run[key] = direct
        self._queue(key, direct)
        return direct.as_of(now)

    def _queue(self, key: tuple[str, str], direct: DirectReport) -> None:
        for queue in self._queues_by_address.values():
            queue.directs_by_run[key] = direct

    def expire(self, now: float) -> None:
        """Forget hosts that have not reported here for a window."""
        for key, direct in list(self._direct_by_run.items()):
            if now - direct.received_at > self._window:
                del self._direct_by_run[key]
                self._runs_by_connection.pop(direct.connection, None)

    def take(self, address: str) -> tuple[DirectReport, ...]:
        """Return the reports to forward to a control host, and remove them.

        Each call must end with ``restore`` or ``record_reply``.
        """
        queue = self._queues_by_address[address]
        if queue.failures >= MAX_FAILURES and queue.calls_in_flight:
            return ()
        if queue.directs_by_run:
            queue.calls_in_flight += 1
        directs, queue.directs_by_run = queue.directs_by_run, {}
        return tuple(directs.values())

    def restore(self, address: str, directs: abc.Iterable[DirectReport]) -> None:
        """Queue the newest reports of the runs whose reports could not be forwarded."""
        queue = self._queues_by_address.get(address)
        if queue is not None:
            queue.end_call(failed=True)
            self._enqueue(queue, directs)

    def record_reply(self, address: str, run: str) -> None:
        """Queue all reports again for a control host that has restarted."""
        queue = self._queues_by_address.get(address)
        if queue is None:
            return
        queue.end_call(failed=False)
        if queue.receiver_run != run:
            queue.receiver_run = run
            self._enqueue(queue, self._direct_by_run.values())

    def _enqueue(
        self, queue: _ForwardQueue, directs: abc.Iterable[DirectReport]
    ) -> None:
        """Queue the newest reports of the runs of some reports."""
        for direct in directs:
            key = direct.report.host_id, direct.report.run
            if key in self._direct_by_run:
                queue.directs_by_run.setdefault(key, self._direct_by_run[key])
