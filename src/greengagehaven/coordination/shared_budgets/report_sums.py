"""A control host's side of usage caps: sums of hosts' reports."""

import collections
import dataclasses
import math
from collections import abc

from greengagehaven.coordination import rendezvous
from greengagehaven.coordination.shared_budgets import (
    partition_reserve,
    silent_demand,
)
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

SILENT_S = 0.9
"""Seconds without a report after which the demand at a host with usage is estimated;
its unchanged reports arrive every 0.6 s."""

ISOLATION_SETTLING_S = 0.5
"""Seconds after a time without any report for which totals are not settled: those of
most hosts arrive within two exchanges."""

SUBSTITUTE_COUNT = 5
"""Entry hosts that are substitutes. If 17% of the hosts reach no control host, all five
are among them once in 10,000 times."""

MAX_SUBSTITUTED_HOSTS = 200
"""Number of hosts from which on none is a substitute: an entry host can't handle the
reports of more."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _HostRun:
    """The last report of one process run of a host.

    :param made_at: estimated time at which the report was made.
    :param has_ended: whether the host closed the connection after the report.
    :param counted: the part of its usages that is in the sums.
    :param counted_as_of: time as of which they were counted.
    """

    report: usage_caps.UsageReport
    received_at: float
    made_at: float
    has_ended: bool = False
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
    leaving: int = 0

    def add(self, usage: usage_caps.TeamUsage, sign: int, as_of: float) -> None:
        """Add the usage at a host, or subtract it."""
        self.offered += sign * usage.offered
        self.admitted += sign * usage.admitted
        self.recent += sign * usage.recent
        self.leaving += sign * usage.leaving
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
        self._isolated_until = started_at
        self._runs_by_host: dict[str, dict[str, _HostRun]] = {}
        self._sums_by_team: dict[str, _TeamSum] = {}
        self._silent_demand = silent_demand.SilentDemand(window=window)
        self._silent_count = 0
        self._reserve: partition_reserve.PartitionReserve | None = None
        self._substitutes: tuple[str, ...] = ()

    @property
    def host_count(self) -> int:
        """Return the number of hosts that the sums cover."""
        return len(self._runs_by_host)

    def count_heard(self, now: float) -> int:
        """Return the number of hosts whose reports arrive."""
        return sum(
            _newest(runs).received_at >= now - SILENT_S
            for runs in self._runs_by_host.values()
        )

    def add_exchange(self, exchange: usage_caps.UsageExchange, now: float) -> None:
        """Record reports that another control host received."""
        for report in exchange.reports:
            has_ended = report.run in exchange.ended_runs
            self.add(report, now, has_ended=has_ended)

    def add(
        self, report: usage_caps.UsageReport, now: float, *, has_ended: bool = False
    ) -> bool:
        """Record a report; return whether it says more than the one held.

        :param has_ended: whether the host closed the connection after the report.
        """
        runs = self._runs_by_host.setdefault(report.host_id, {})
        made_at = now - report.age_ms / 1000
        run = runs.get(report.run)
        if run is None:
            run = runs[report.run] = _HostRun(
                report=report, received_at=now, made_at=made_at
            )
        elif report.sequence < run.report.sequence or (
            report.sequence == run.report.sequence and has_ended <= run.has_ended
        ):
            return False
        if not has_ended:
            run.received_at = now
            if self._reserve is not None:
                self._reserve.remove(report.host_id)
        run.report, run.made_at, run.has_ended = report, made_at, has_ended
        self._count(run, report.teams)
        return True

    def expire(self, now: float, *, has_lost_controls: bool = False) -> None:
        """Estimate the demand at silent hosts, and remove those that have ended.

        A host that is silent for a window is removed. If many are silent at once, a
        partition is assumed, in which they go on admitting their shares, so that their
        demand stays counted. If control hosts do not answer either, those may hand out
        totals to the silent hosts, and each side keeps to a part of the limits.

        :param has_lost_controls: whether other control hosts do not answer this one.
        """
        # Counted before any of them is given up: hosts that were cut off together fall
        # silent one by one, as their last reports arrived.
        quiet_count = sum(
            _newest(runs).received_at < now - QUIET_S
            for runs in self._runs_by_host.values()
        )
        is_partition = self._is_partition(quiet_count)
        if has_lost_controls and not self.count_heard(now):
            self._isolated_until = now + ISOLATION_SETTLING_S
        retention = PARTITION_RETENTION_S if is_partition else self._window
        for host_id, runs in list(self._runs_by_host.items()):
            self._age_earlier_runs(runs, now)
            if _newest(runs).received_at < now - retention:
                for run in runs.values():
                    self._count(run, ())
                del self._runs_by_host[host_id]
        self._count_silent(now, is_partition, has_lost_controls)
        self._choose_substitutes(now)

    def _choose_substitutes(self, now: float) -> None:
        """Choose the substitutes; all control hosts choose the same."""
        addresses_by_host = {
            host_id: run.report.address
            for host_id, runs in self._runs_by_host.items()
            if (run := _newest(runs)).received_at >= now - QUIET_S
            and run.report.address
            and not run.has_ended
        }
        if len(addresses_by_host) > MAX_SUBSTITUTED_HOSTS:
            addresses_by_host = {}
        chosen = rendezvous.rank("usage", addresses_by_host)[:SUBSTITUTE_COUNT]
        self._substitutes = tuple(addresses_by_host[host_id] for host_id in chosen)

    def _is_partition(self, silent_count: int) -> bool:
        return silent_count >= max(2, PARTITION_SHARE * self.host_count)

    def _count_silent(
        self, now: float, is_partition: bool, has_lost_controls: bool
    ) -> None:
        """Count what silent hosts are estimated to be offered, or reserve it."""
        silent = [
            run
            for runs in self._runs_by_host.values()
            if (run := _newest(runs)).received_at < now - SILENT_S and run.report.teams
        ]
        is_partition = is_partition or self._is_partition(len(silent))
        if not is_partition:
            silent = [run for run in silent if not run.has_ended]
            self._age_ended_hosts(now)
        self._silent_count = len(silent)
        if is_partition and has_lost_controls:
            self._reserve_for(silent, now)
            return
        self._reserve = None
        if not silent:
            self._silent_demand.record_all_heard(now, self._demand_by_team())
            return
        for run in silent:
            self._count(run, ())
        silent_by_team = _reported_demand(silent)
        estimates_by_team = self._silent_demand.estimates_by_team(
            now,
            heard_at=max(run.received_at for run in silent),
            is_partition=is_partition,
            silent_by_team=silent_by_team,
            heard_by_team=self._demand_by_team(),
        )
        admitted_shares = {
            team: total.admitted / total.offered
            for team, total in self._sums_by_team.items()
            if total.offered > 0
        }
        for run in silent:
            usages = tuple(
                _estimated(
                    usage,
                    age=now - run.made_at,
                    window=self._window,
                    estimate=estimates_by_team[usage.team],
                    share=usage.offered / silent_by_team[usage.team].offered,
                    admitted_share=admitted_shares.get(usage.team, 1.0),
                )
                for usage in run.report.teams
            )
            self._count(run, usages)

    def _reserve_for(self, silent: abc.Sequence[_HostRun], now: float) -> None:
        """Keep parts of the limits for silent hosts, and count none of their usage."""
        quiet = [
            run
            for runs in self._runs_by_host.values()
            if (run := _newest(runs)).received_at < now - QUIET_S
            and not run.report.teams
        ]
        for run in silent:
            self._count(run, ())
        demand_by_team = silent_demand.total_by_team(
            self._demand_by_team(), _reported_demand(silent)
        )
        self._silent_demand.record(now, demand_by_team)
        # Hosts that are cut off together are noticed one by one.
        heard_at = max(run.received_at for run in silent or quiet)
        if self._reserve is None or heard_at > self._reserve.heard_at:
            before_by_team = self._silent_demand.demand_at(heard_at)
        else:
            heard_at = self._reserve.heard_at
            before_by_team = self._reserve.before_by_team
        self._reserve = partition_reserve.PartitionReserve(
            heard_at=heard_at,
            before_by_team=before_by_team,
            usages_by_host={
                run.report.host_id: run.report.teams for run in (*silent, *quiet)
            },
            host_count=self.host_count,
        )

    def _age_ended_hosts(self, now: float) -> None:
        """Count no further requests at hosts that have ended.

        In a partition, hosts that are cut off in one direction close their connections
        as well, so that all hosts are taken to go on.
        """
        for runs in self._runs_by_host.values():
            run = _newest(runs)
            if run.has_ended and run.report.teams:
                self._count_aged(run, now)

    def _demand_by_team(self) -> dict[str, silent_demand.Demand]:
        return {
            team: silent_demand.Demand(offered=total.offered, recent=total.recent)
            for team, total in self._sums_by_team.items()
        }

    def _age_earlier_runs(self, runs: dict[str, _HostRun], now: float) -> None:
        """Count less of the requests of earlier runs of a restarted host.

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
            if now - run.made_at >= self._window:
                self._count(run, ())
                del runs[run_id]
            else:
                self._count_aged(run, now)

    def _count_aged(self, run: _HostRun, now: float) -> None:
        """Count what is left in the window of a run without further requests."""
        age = now - run.made_at
        self._count(run, _aged(run.report.teams, age, self._window))

    def totals_for(
        self,
        report: usage_caps.UsageReport,
        now: float,
        *,
        unreachable: tuple[str, ...] = (),
    ) -> usage_caps.UsageTotals:
        """Return the usage at all hosts but the reporting run.

        :param unreachable: the control hosts that reports are not exchanged with.
        """
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
            silent_hosts=self._silent_count,
            unreachable=unreachable,
            substitutes=self._substitutes,
        )

    def _is_settled(self, report: usage_caps.UsageReport, now: float) -> bool:
        """Return whether every active host has reported, or had the time to."""
        covers_all = 0 < report.known_hosts <= self.host_count
        has_settled = covers_all or now >= self._settled_at
        return has_settled and now >= self._isolated_until

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
            leaving=max(0, others.leaving),
            reserved_permille=(
                0
                if self._reserve is None
                else round(1000 * self._reserve.share_of(team))
            ),
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


def _aged(
    usages: tuple[usage_caps.TeamUsage, ...], age: float, window: float
) -> tuple[usage_caps.TeamUsage, ...]:
    """Return what is left in the window of usages without further requests.

    :param age: seconds since they were reported.
    """
    aged = []
    for usage in usages:
        aged.append(
            usage_caps.TeamUsage(
                team=usage.team,
                offered=round(_offered_left(usage, age, window)),
                admitted=math.ceil(_admitted_left(usage, age, window)),
                recent=0,
            )
        )
    return tuple(aged)


def _offered_left(usage: usage_caps.TeamUsage, age: float, window: float) -> float:
    """Return how many offered requests are left in the window after some seconds.

    Those before the recent ones are taken to be spread evenly.
    """
    recent_s = usage_caps.RECENT_S
    earlier = (usage.offered - usage.recent) * max(0.0, 1 - age / (window - recent_s))
    return earlier + usage.recent * min(1.0, max(0.0, (window - age) / recent_s))


def _admitted_left(usage: usage_caps.TeamUsage, age: float, window: float) -> float:
    """Return how many admitted requests are left in the window after some seconds."""
    counts = usage.admitted_by_age
    if not counts:
        return _offered_left(usage, age, window) * usage.admitted / usage.offered
    slot_s = window / len(counts)
    return sum(
        count * min(1.0, max(0.0, (window - age) / slot_s - slot))
        for slot, count in enumerate(counts)
    )


def _reported_demand(
    runs: abc.Iterable[_HostRun],
) -> dict[str, silent_demand.Demand]:
    """Return the demand that runs reported last, added up by team."""
    offered: collections.Counter[str] = collections.Counter()
    recent: collections.Counter[str] = collections.Counter()
    for run in runs:
        for usage in run.report.teams:
            offered[usage.team] += usage.offered
            recent[usage.team] += usage.recent
    return {
        team: silent_demand.Demand(offered=count, recent=recent[team])
        for team, count in offered.items()
    }


def _estimated(
    usage: usage_caps.TeamUsage,
    *,
    age: float,
    window: float,
    estimate: silent_demand.Estimate,
    share: float,
    admitted_share: float,
) -> usage_caps.TeamUsage:
    """Return the estimated usage of a silent host.

    :param usage: its usage as last reported.
    :param age: seconds since then.
    :param share: its share of the requests of all silent hosts.
    :param admitted_share: share of requests that the other hosts admit.
    """
    arrived = estimate.arrived * share
    offered = _offered_left(usage, age, window) + arrived
    admitted = _admitted_left(usage, age, window) + arrived * admitted_share
    return usage_caps.TeamUsage(
        team=usage.team,
        offered=round(max(offered, usage.offered * estimate.min_share)),
        admitted=round(max(admitted, usage.admitted * estimate.min_share)),
        recent=0,
    )
