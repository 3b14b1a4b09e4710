"""Messages about the usage of teams that have a limit over all hosts."""

import msgspec


class TeamUsage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Requests of one team in the window.

    :param offered: requests that passed every other check.
    :param admitted: those that were not refused by the cap.
    :param recent: offered requests in the last part of the window, from which a
        receiver extrapolates.
    """

    team: str
    offered: int
    admitted: int
    recent: int


class UsageReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Totals of one entry host; a lost report is made up for by the next.

    :param run: id of the host's process run.
    :param sequence: increases with each report of the run.
    :param is_urgent: whether a team is near its limit, so that control hosts pass the
        report on sooner.
    :param teams: the teams with requests in the window; all others have none.
    """

    host_id: str
    run: str
    sequence: int
    is_urgent: bool = False
    teams: tuple[TeamUsage, ...] = ()


class UsageTotals(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reply to a report: usage at all other hosts.

    :param hosts: number of hosts that the sums cover.
    :param is_settled: whether the control host has run long enough to have received
        a report of every active host.
    :param teams: the reported teams, and those with many requests over all hosts.
    """

    hosts: int
    is_settled: bool
    teams: tuple[TeamUsage, ...] = ()


class UsageExchange(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reports that a control host received, for the other control hosts."""

    reports: tuple[UsageReport, ...]


class UsageExchanged(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reply to an exchange.

    :param run: id of the receiver's process run; a new one lacks earlier reports.
    """

    run: str
