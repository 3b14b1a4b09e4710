"""Estimates of the demand at hosts that cannot be heard."""

import collections
import dataclasses
import math
from collections import abc

from greengagehaven.protocol import usage_caps

HISTORY_S = 2.5
"""Seconds for which the demand at all hosts is kept: longer than it takes to notice
that hosts are silent."""

NOISE_DEVIATIONS = 3.0
"""Standard deviations of a count up to which a difference may be chance."""

SMOOTHING_S = 1.5
"""Seconds over which the rate at the hosts that are heard is averaged."""

MOVING_S = 0.5
"""Seconds within which callers of hosts that ended use other hosts."""

MIN_HEARD_REQUESTS = 5
"""Requests in a window at the hosts that are heard, below which their trend says
nothing about the others."""


def is_above(count: float, expected: float) -> bool:
    """Return whether a count exceeds the expected one by more than chance explains."""
    return count > expected + NOISE_DEVIATIONS * math.sqrt(expected) + 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Requests of a team in the window, and in its last ``RECENT_S`` seconds."""

    offered: int = 0
    recent: int = 0

    def expected_recent(self, window: float) -> float:
        """Return the requests that are expected in the next ``RECENT_S`` seconds.

        The average of the window is less noisy, unless the rate has changed in it.
        """
        average = self.offered * usage_caps.RECENT_S / window
        has_changed = is_above(self.recent, average) or is_above(average, self.recent)
        return float(self.recent) if has_changed else average


def total_by_team(
    first: abc.Mapping[str, Demand], second: abc.Mapping[str, Demand]
) -> dict[str, Demand]:
    """Return the sums of the demands of each team."""
    total = dict(first)
    for team, demand in second.items():
        known = total.get(team, Demand())
        total[team] = Demand(
            offered=known.offered + demand.offered,
            recent=known.recent + demand.recent,
        )
    return total


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Estimate:
    """What silent hosts are offered.

    :param arrived: requests in the window that arrived since they were heard.
    :param min_share: share of their last reported requests that they have at least.
    """

    arrived: float
    min_share: float


class _TeamEstimator:
    """Estimates what one team's silent hosts are offered since they were heard.

    :param before: demand at all hosts when the silent ones were last heard.
    """

    def __init__(self, *, before: Demand, started_at: float, window: float) -> None:
        self._offered_before = max(1, before.offered)
        self._recent_before = before.expected_recent(window)
        self._window = window
        self._advanced_at = started_at
        self._arrivals: collections.deque[tuple[float, float]] = collections.deque()
        self._kept_share = 1.0
        self._heard_recent: float | None = None
        self._smoothed_s = 0.0

    def advance(
        self, now: float, *, silent: int, heard: Demand, is_partition: bool
    ) -> Estimate:
        """Return what the silent hosts are offered now.

        :param silent: requests at the silent hosts when they were last heard. It grows
            while further hosts fall silent.
        :param heard: demand at all other hosts now.
        """
        heard_recent = heard.recent
        seconds = now - self._advanced_at
        self._advanced_at = now
        share = min(1.0, silent / self._offered_before)
        recent = self._smoothed(heard_recent, seconds)
        arrived = self._silent_recent(share, heard_recent, recent)
        if not is_partition and self._may_have_moved(share, heard_recent, recent):
            self._record_moved(share, recent, seconds)
        self._arrivals.append((now, arrived / share * seconds / usage_caps.RECENT_S))
        while self._arrivals[0][0] <= now - self._window:
            self._arrivals.popleft()
        return Estimate(
            arrived=share * sum(arrived for _, arrived in self._arrivals),
            min_share=self._kept_share * self._fall(share, heard.offered),
        )

    def _fall(self, share: float, heard: int) -> float:
        """Return how far the demand at the hosts that are heard has fallen, up to 1."""
        heard_before = self._offered_before * (1 - share)
        if heard_before < MIN_HEARD_REQUESTS:
            return 1.0
        return min(1.0, heard / heard_before)

    def _silent_recent(self, share: float, heard_recent: int, smoothed: float) -> float:
        """Return the requests in ``RECENT_S`` seconds at the silent hosts.

        Hosts that have ended serve no one, and their callers use the others. Hosts that
        are cut off serve as before, and demand grows and falls there as at the others.
        While the others serve no more than all hosts did, callers may have moved.

        :param share: share of the demand that the silent hosts had.
        """
        before, kept_share = self._recent_before, share * self._kept_share
        if self._is_flood(heard_recent, smoothed):
            return self._in_proportion(smoothed, kept_share)
        if self._may_have_moved(share, heard_recent, smoothed):
            return max(0.0, before - smoothed)
        if self._has_risen(before * (1 - share), smoothed):
            return self._in_proportion(smoothed, kept_share)
        return before * kept_share

    def _is_flood(self, heard_recent: int, smoothed: float) -> bool:
        """Return whether the hosts that are heard serve more than all did before."""
        before = self._recent_before
        return is_above(heard_recent, before) or self._has_risen(smoothed, before)

    def _may_have_moved(self, share: float, heard_recent: int, smoothed: float) -> bool:
        """Return whether callers of the silent hosts may be at the others.

        A share that is too small to show there says nothing.
        """
        before, heard_before = self._recent_before, self._recent_before * (1 - share)
        return (
            self._has_risen(before, heard_before)
            and self._has_risen(smoothed, heard_before)
            and not self._is_flood(heard_recent, smoothed)
        )

    def _record_moved(self, share: float, smoothed: float, seconds: float) -> None:
        """Reduce the share of silent hosts by the callers that seem to have moved."""
        before = self._recent_before
        kept = max(0.0, before - smoothed) / (before * share)
        if kept < self._kept_share:
            weight = 1 - math.exp(-seconds / MOVING_S)
            self._kept_share += weight * (kept - self._kept_share)

    def _has_risen(self, recent: float, before: float) -> bool:
        """Return whether an average rate exceeds another, given its samples."""
        periods = max(1.0, min(self._smoothed_s, 2 * SMOOTHING_S) / usage_caps.RECENT_S)
        return is_above(recent * periods, before * periods)

    def _in_proportion(self, heard_recent: float, share: float) -> float:
        """Return the requests at the silent hosts if they have a share of all."""
        if self._offered_before * (1 - share) < MIN_HEARD_REQUESTS:
            return share * self._recent_before
        return heard_recent * share / (1 - share)

    def _smoothed(self, heard_recent: int, seconds: float) -> float:
        """Return the average rate at the hosts that are heard, unless it has jumped."""
        average = self._heard_recent
        if (
            average is None
            or is_above(heard_recent, average)
            or is_above(average, heard_recent)
        ):
            average = float(heard_recent)
            self._smoothed_s = 0.0
        self._smoothed_s += seconds
        weight = 1 - math.exp(-seconds / SMOOTHING_S)
        self._heard_recent = average + weight * (heard_recent - average)
        return self._heard_recent


class SilentDemand:
    """Estimates what arrives at hosts whose reports do not arrive.

    :param window: seconds of the usage window.
    """

    def __init__(self, *, window: float) -> None:
        self._window = window
        self._history: collections.deque[tuple[float, dict[str, Demand]]] = (
            collections.deque()
        )
        self._started_at: float | None = None
        self._estimators_by_team: dict[str, _TeamEstimator] = {}

    def record_all_heard(self, now: float, demand_by_team: dict[str, Demand]) -> None:
        """Record the demand at all hosts while none is silent."""
        self._started_at = None
        self._estimators_by_team.clear()
        self.record(now, demand_by_team)

    def record(self, now: float, demand_by_team: dict[str, Demand]) -> None:
        """Record the demand at all hosts, as they reported it last."""
        self._history.append((now, demand_by_team))
        while self._history[0][0] < now - HISTORY_S:
            self._history.popleft()

    def estimates_by_team(
        self,
        now: float,
        *,
        heard_at: float,
        is_partition: bool,
        silent_by_team: abc.Mapping[str, Demand],
        heard_by_team: abc.Mapping[str, Demand],
    ) -> dict[str, Estimate]:
        """Return what the silent hosts are estimated to be offered now.

        :param heard_at: when the last of the silent hosts was heard.
        :param silent_by_team: demand at the silent hosts, as last reported.
        :param heard_by_team: demand at all other hosts now.
        """
        if self._started_at is None:
            self._started_at = heard_at
        before_by_team = self.demand_at(self._started_at)
        estimates_by_team = {}
        for team, silent in silent_by_team.items():
            estimator = self._estimators_by_team.get(team)
            if estimator is None:
                estimator = self._estimators_by_team[team] = _TeamEstimator(
                    before=before_by_team.get(team, silent),
                    started_at=self._started_at,
                    window=self._window,
                )
            estimates_by_team[team] = estimator.advance(
                now,
                silent=silent.offered,
                heard=heard_by_team.get(team, Demand()),
                is_partition=is_partition,
            )
        return estimates_by_team

    def demand_at(self, moment: float) -> dict[str, Demand]:
        """Return the demand at all hosts that was known at a moment."""
        known: dict[str, Demand] = {}
        for recorded_at, demand_by_team in self._history:
            if recorded_at > moment and known:
                break
            known = demand_by_team
        return known
