"""Messages about the usage of teams that have a limit over all hosts."""

import msgspec

RECENT_S = 0.5
"""Seconds of the last part of the window, over which recent requests are counted."""

LEAVING_S = 0.15
"""Seconds for which a report tells what leaves the window after it was made: the usual
age of totals."""

AGE_SLOTS = 10
"""Parts of the window in which admitted requests are reported."""


class TeamUsage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Requests of one team in the window.

    :param offered: requests that passed every other check.
    :param admitted: those that were not refused by the cap.
    :param recent: offered requests in the last ``RECENT_S`` seconds, from which a
        receiver extrapolates.
    :param age_ms: in totals, milliseconds since the recent requests were counted at
        their hosts, on average.
    :param admitted_by_age: in reports of a team of which requests were refused, the
        admitted requests in each tenth of the window, the newest first.
    :param leaving: offered requests that leave the window within ``LEAVING_S``.
    :param reserved_permille: in totals, thousandths of the team's limit that are kept
        for hosts behind a partition. Their requests are not counted then.
    """

    team: str
    offered: int
    admitted: int
    recent: int
    age_ms: int = 0
    admitted_by_age: tuple[int, ...] = ()
    leaving: int = 0
    reserved_permille: int = 0


class UsageReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Totals of one entry host; a lost report is made up for by the next.

    :param run: id of the host's process run.
    :param sequence: increases with each report of the run.
    :param is_urgent: whether a team is near its limit, so that control hosts pass the
        report on sooner.
    :param teams: the teams with requests in the window; all others have none.
    :param known_hosts: number of entry hosts that the host knows of, 0 if it was not
        told.
    :param age_ms: milliseconds since the report was made, as estimated by its sender
        for the moment of arrival.
    :param address: peer address of the host, empty if no other host can report to it.
    """

    host_id: str
    run: str
    sequence: int
    is_urgent: bool = False
    teams: tuple[TeamUsage, ...] = ()
    known_hosts: int = 0
    age_ms: int = 0
    address: str = ""


class UsageTotals(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reply to a report: usage at all other hosts.

    :param hosts: number of hosts that the sums cover.
    :param is_settled: whether the control host has received a report of every active
        host, or has run long enough to.
    :param teams: the reported teams, and those with many requests over all hosts.
    :param silent_hosts: number of these hosts whose reports do not arrive. Their usage
        is estimated, or a part of each limit is reserved for them.
    :param unreachable: peer addresses of the control hosts that do not answer the
        replying one, so that reports are not exchanged with them.
    :param substitutes: peer addresses of the entry hosts that get reports while no
        control host answers.
    """

    hosts: int
    is_settled: bool
    teams: tuple[TeamUsage, ...] = ()
    silent_hosts: int = 0
    unreachable: tuple[str, ...] = ()
    substitutes: tuple[str, ...] = ()


class UsageExchange(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reports that a control host received, for the other control hosts.

    :param ended_runs: runs of these reports whose hosts have closed the connection
        since, as a process that ended does.
    """

    reports: tuple[UsageReport, ...]
    ended_runs: tuple[str, ...] = ()


class UsageExchanged(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reply to an exchange.

    :param run: id of the receiver's process run; a new one lacks earlier reports.
    """

    run: str
