"""A control host's side of usage caps: sums of hosts' reports."""

import collections
import dataclasses
from collections import abc

from greengagehaven.protocol import usage_caps

BUSY_TEAM_REQUESTS = 10
"""Teams with this many requests in the window over all hosts are in every reply.
A host that has not seen the team yet would otherwise admit its first request as if
there were no others, 77 hosts then 77 requests of a team whose limit is 5."""

SETTLING_S = 1.0
"""Seconds from the start after which every active host has reported: five report
periods."""

PARTITION_SHARE = 0.1
"""Share of hosts that fall silent together from which on a partition is assumed.
Killed and restarted hosts go one at a time; hosts that are cut off keep admitting."""

PARTITION_RETENTION_S = 60.0
"""Seconds for which the demand of hosts behind a partition is counted; they go on
admitting their shares meanwhile."""

QUIET_S = 1.5
"""Seconds without a report after which a host counts as quiet; unchanged reports
arrive every 1.2 s."""

HISTORY_S = 2.5
"""Seconds for which earlier sums are kept: longer than it takes to notice that hosts
are quiet, since a flood may have begun meanwhile."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _HostRun:
    """The last report of one process run of a host.

    :param made_at: estimated time at which the report was made.
    :param counted: the part of its usages that is in the sums.
    :param counted_as_of: time as of which they were counted.
    """

    report: usage_caps.UsageReport
    received_at: float
    made_at: float
    counted: tuple[usage_caps.TeamUsage, ...] = ()
    counted_as_of: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _TeamSum:
    """Usage of a team at all hosts.

    :param recent_as_of: sum over all recent requests of the time as of which each was
        counted.
    """

    offered: int = 0
    admitted: int = 0
    recent: int = 0
    recent_as_of: float = 0.0

    def add(self, usage: usage_caps.TeamUsage, sign: int, as_of: float) -> None:
        """Add the usage at a host, or subtract it."""
        self.offered += sign * usage.offered
        self.admitted += sign * usage.admitted
        self.recent += sign * usage.recent
        self.recent_as_of += sign * usage.recent * as_of

    @property
    def is_empty(self) -> bool:
        return not (self.offered or self.admitted or self.recent)


class ReportSums:
    """Adds up the newest report of each host.

    :param window: seconds of the usage window.
    :param started_at: monotonic time at which this control host began to collect.
    """

    def __init__(self, *, window: float, started_at: float) -> None:
        self._window = window
        self._settled_at = started_at + SETTLING_S
        self._runs_by_host: dict[str, dict[str, _HostRun]] = {}
        self._sums_by_team: dict[str, _TeamSum] = {}
        self._history: collections.deque[tuple[float, dict[str, int]]] = (
            collections.deque()
        )
        self._offered_before: dict[str, int] | None = None

    @property
    def host_count(self) -> int:
        """Return the number of hosts that the sums cover."""
        return len(self._runs_by_host)

    def add(self, report: usage_caps.UsageReport, now: float) -> bool:
        """Record a report; return whether it is newer than the one held."""
        runs = self._runs_by_host.setdefault(report.host_id, {})
        made_at = now - report.age_ms / 1000
        run = runs.get(report.run)
        if run is None:
            run = runs[report.run] = _HostRun(
                report=report, received_at=now, made_at=made_at
            )
        elif report.sequence <= run.report.sequence:
            return False
        run.report, run.received_at, run.made_at = report, now, made_at
        self._count(run, report.teams)
        return True

    def expire(self, now: float) -> None:
        """Remove hosts that are silent for longer than a window.

        If many are silent at once, a partition is assumed, in which they go on
        admitting their shares, so that their demand stays counted.
        """
        silent_since = now - self._window
        # Counted before any of them is given up: hosts that were cut off together fall
        # silent one by one, as their last reports arrived.
        quiet_count = sum(
            _newest(runs).received_at < now - QUIET_S
            for runs in self._runs_by_host.values()
        )
        is_partition = quiet_count >= max(2, PARTITION_SHARE * self.host_count)
        kept_since = now - PARTITION_RETENTION_S
        for host_id, runs in list(self._runs_by_host.items()):
            self._reduce_earlier_runs(runs, now)
            last = _newest(runs).received_at
            if last < (kept_since if is_partition else silent_since):
                for run in runs.values():
                    self._count(run, ())
                del self._runs_by_host[host_id]
        self._extrapolate_quiet(now)

    def _extrapolate_quiet(self, now: float) -> None:
        """Assume that a team's demand at quiet hosts grows as at the others.

        A flood that begins with a partition would otherwise count with its early part
        only, and each side would admit nearly a whole limit. Demand that may only have
        moved from the quiet hosts to the others is no growth.
        """
        quiet = [
            run
            for runs in self._runs_by_host.values()
            if (run := _newest(runs)).received_at < now - QUIET_S
        ]
        if not quiet:
            self._offered_before = None
            self._record_history(now)
            return
        if self._offered_before is None:
            self._offered_before = self._history[0][1] if self._history else {}
        for run in quiet:
            self._count(run, run.report.teams)
        factors_by_team = self._growth_factors(quiet, self._offered_before)
        if factors_by_team:
            for run in quiet:
                self._count(run, _grow(run.report.teams, factors_by_team))

    def _growth_factors(
        self, quiet: list[_HostRun], offered_before: abc.Mapping[str, int]
    ) -> dict[str, tuple[float, float]]:
        """Return the growth of teams at the hosts that report, as for ``_grow``.

        :param quiet: newest runs of the quiet hosts, counted as last reported.
        :param offered_before: requests at all hosts before these became quiet.
        """
        quiet_offered: dict[str, int] = collections.Counter()
        quiet_admitted: dict[str, int] = collections.Counter()
        for run in quiet:
            for usage in run.report.teams:
                quiet_offered[usage.team] += usage.offered
                quiet_admitted[usage.team] += usage.admitted
        factors_by_team: dict[str, tuple[float, float]] = {}
        for team, offered in quiet_offered.items():
            total = self._sums_by_team[team]
            reported, before = total.offered - offered, offered_before.get(team, 0)
            if reported > before > offered:
                growth = reported / (before - offered)
                admitted_share = (total.admitted - quiet_admitted[team]) / reported
                factors_by_team[team] = growth, admitted_share
        return factors_by_team

    def _record_history(self, now: float) -> None:
        offered = {team: total.offered for team, total in self._sums_by_team.items()}
        self._history.append((now, offered))
        while self._history[0][0] < now - HISTORY_S:
            self._history.popleft()

    def _reduce_earlier_runs(self, runs: dict[str, _HostRun], now: float) -> None:
        """Count less of what earlier runs of a restarted host admitted.

        These requests leave the window within its length. If they were not counted, a
        restarted host would grant its share twice; counted in full, they led to 264
        refusals with room left in a simulated case with one host.
        """
        if len(runs) < 2:
            return
        newest = _newest(runs)
        for run_id, run in list(runs.items()):
            if run is newest:
                continue
            weight = 1 - ((now - run.received_at) / self._window) ** 2
            if weight <= 0:
                self._count(run, ())
                del runs[run_id]
            else:
                self._count(run, _scale(run.report.teams, weight))

    def totals_for(
        self, report: usage_caps.UsageReport, now: float
    ) -> usage_caps.UsageTotals:
        """Return the usage at all hosts but the reporting run."""
        own = {usage.team: usage for usage in report.teams}
        # A later report of the run may have arrived before this one.
        run = self._runs_by_host.get(report.host_id, {}).get(report.run)
        counted = {usage.team: usage for usage in run.counted} if run else {}
        names = dict.fromkeys(own)
        for team, total in self._sums_by_team.items():
            if total.offered >= BUSY_TEAM_REQUESTS:
                names[team] = None
        return usage_caps.UsageTotals(
            hosts=self.host_count,
            is_settled=self._is_settled(report, now),
            teams=tuple(
                self._others(team, counted.get(team), run, now) for team in names
            ),
        )

    def _is_settled(self, report: usage_caps.UsageReport, now: float) -> bool:
        """Return whether a report of every active host was received, or enough time
        has passed for it."""
        covers_all = 0 < report.known_hosts <= self.host_count
        return covers_all or now >= self._settled_at

    def _others(
        self,
        team: str,
        own: usage_caps.TeamUsage | None,
        run: _HostRun | None,
        now: float,
    ) -> usage_caps.TeamUsage:
        """Return a team's usage at all hosts, less what is counted of one run."""
        others = dataclasses.replace(self._sums_by_team.get(team, _TeamSum()))
        if own is not None and run is not None:
            others.add(own, -1, run.counted_as_of)
        age = now - others.recent_as_of / others.recent if others.recent > 0 else 0.0
        return usage_caps.TeamUsage(
            team=team,
            offered=max(0, others.offered),
            admitted=max(0, others.admitted),
            recent=max(0, others.recent),
            age_ms=max(0, round(1000 * age)),
        )

    def _count(self, run: _HostRun, usages: tuple[usage_caps.TeamUsage, ...]) -> None:
        """Replace what is counted of a run."""
        before = run.counted
        self._add(before, -1, run.counted_as_of)
        run.counted, run.counted_as_of = usages, run.made_at
        self._add(usages, 1, run.counted_as_of)
        for usage in before:
            total = self._sums_by_team.get(usage.team)
            if total is not None and total.is_empty:
                del self._sums_by_team[usage.team]

    def _add(
        self, usages: tuple[usage_caps.TeamUsage, ...], sign: int, as_of: float
    ) -> None:
        for usage in usages:
            total = self._sums_by_team.setdefault(usage.team, _TeamSum())
            total.add(usage, sign, as_of)


def _newest(runs: abc.Mapping[str, _HostRun]) -> _HostRun:
    return max(runs.values(), key=lambda run: run.received_at)


def _scale(
    usages: tuple[usage_caps.TeamUsage, ...], factor: float
) -> tuple[usage_caps.TeamUsage, ...]:
    """Return a fraction of usages of a run that has ended."""
    return tuple(
        usage_caps.TeamUsage(
            team=usage.team,
            offered=round(usage.offered * factor),
            admitted=round(usage.admitted * factor),
            recent=0,
        )
        for usage in usages
    )


def _grow(
    usages: tuple[usage_caps.TeamUsage, ...],
    factors_by_team: abc.Mapping[str, tuple[float, float]],
) -> tuple[usage_caps.TeamUsage, ...]:
    """Return usages of a quiet host with its teams' growth at the other hosts.

    :param factors_by_team: growth, and the share of requests that the others admit.
    """
    grown = []
    for usage in usages:
        if usage.team in factors_by_team:
            growth, admitted_share = factors_by_team[usage.team]
            usage = usage_caps.TeamUsage(
                team=usage.team,
                offered=round(usage.offered * growth),
                admitted=round(usage.offered * growth * admitted_share),
                recent=0,
            )
        grown.append(usage)
    return tuple(grown)
