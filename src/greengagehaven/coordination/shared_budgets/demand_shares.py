"""An entry host's side of usage caps: its share of each team's limit.

While a team offers no more than its target over all hosts, everything is admitted.
Above it, each host admits in proportion to the part of the demand that it sees.
"""

import dataclasses
import heapq
import math
from collections import abc

from greengagehaven import rng as rngs
from greengagehaven.coordination.shared_budgets import window
from greengagehaven.protocol import usage_caps
from greengagehaven.state import teams as teams_module

TARGET_POSITION = 0.4
"""Where in the tolerance the target lies. In 120 random floods, the middle (0.5) was
exceeded by up to 14.5 requests after restarts, 0.35 by 5.5; requests that were offered
within the limit were refused with neither."""

LONGEST_EXTRAPOLATION_S = 1.0
"""Age of totals, in seconds, up to which they are extrapolated by the current rate;
beyond, a burst at the time of the report would be taken to last."""

GROWTH_SHARE = 0.8
"""Share of a team's growth by which totals are extrapolated. Requests that came all at
once look like growth for a while, so that the whole of it refuses them."""

ISOLATED_AFTER_S = 1.0
"""Seconds without totals after which this host counts as isolated: five periods in
which reports are sent and answered."""

MIN_COVERAGE = 0.5
"""Share of the hosts covered before, below which totals are not used. A control host
that has restarted covers few hosts until the others have sent it all reports again."""

SHORTEST_RETRY_S = 0.02
RETRY_SPREAD_S = 0.1
"""Bounds in seconds of the random delay added to the time at which a refused caller may
retry, so that callers that were refused together do not return together."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CapSettings:
    """How usage is counted, and how far sums may exceed a team's limit.

    :param window: seconds.
    :param overage: share of the limit that is tolerated above it.
    :param slack: requests that are tolerated in addition.
    """

    window: float
    overage: float
    slack: float

    def limit_of(self, team: teams_module.Team) -> float:
        """Return the requests that a team may send in a window."""
        return team.rate * self.window + team.burst

    def target_of(self, team: teams_module.Team) -> float:
        """Return the requests to admit in a window, within the tolerance."""
        overage = self.overage * TARGET_POSITION
        return self.limit_of(team) * (1 + overage) + self.slack * TARGET_POSITION


@dataclasses.dataclass(kw_only=True, slots=True)
class _TeamState:
    """Usage of one team.

    :param others: usage at all other hosts, as of ``others_at``.
    :param own_offered_before: offered requests here when ``others`` was received.
    :param rounding: part of a request below which a fraction of a share is rounded
        down, drawn anew for each window.
    :param promised_moments: heap of the moments at which refused callers were told to
        return; at most as many as this host's share.
    """

    offered: window.WindowCount
    admitted: window.WindowCount
    others: usage_caps.TeamUsage | None = None
    others_at: float = 0.0
    own_offered_before: int = 0
    rounding: float = 0.0
    rounding_until: float = -math.inf
    promised_moments: list[float] = dataclasses.field(default_factory=list)
    target: float = math.inf

    def is_near_target(self, now: float) -> bool:
        """Return whether the team reaches its target soon, at its current rate."""
        own = self.offered.count(now)
        if not own:
            return False
        soon = own + self.offered.count_recent(now, usage_caps.RECENT_S)
        if self.others is not None:
            soon += self.others.offered + self.others.recent
        return soon >= self.target


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """What a refusal or admission was based on.

    :param now: time of the decision, in monotonic seconds.
    :param others: estimated offered requests at other hosts.
    :param others_admitted: estimated admitted requests at other hosts.
    :param age: seconds since the totals of other hosts were requested, infinite if
        none were received.
    :param limit: requests that the team may send in a window, less what is reserved.
    :param target: requests to admit in a window, less what is reserved.
    :param reserved_share: share of the team's limit that is reserved for hosts behind
        a partition.
    :param share: requests that this host may admit in a window if the target is
        exceeded.
    :param silent_hosts: number of other hosts whose usage was estimated.
    """

    now: float
    own_offered: int
    own_admitted: int
    others: float
    others_admitted: float
    age: float
    limit: float
    target: float
    reserved_share: float
    share: float
    silent_hosts: int


class DemandShares:
    """Decides whether a request of a team is within the limit over all hosts.

    :param caps: window and tolerance.
    :param rng: rounds shares; hosts must draw independently of each other.
    """

    def __init__(self, *, caps: CapSettings, rng: rngs.Rng) -> None:
        self.caps = caps
        self.last_decision: Decision | None = None
        self._rng = rng
        self._states_by_team: dict[str, _TeamState] = {}
        self._known_hosts = 0
        self._has_totals = False
        self._started_at: float | None = None
        self._reported_at = math.inf
        self._has_resumed = False
        self._totals_at = -math.inf
        self._most_covered = 0
        self._most_covered_at = -math.inf
        self._silent_hosts = 0

    @property
    def known_hosts(self) -> int:
        """Return the number of entry hosts, 0 if it is not known."""
        return self._known_hosts

    def set_host_count(self, count: int) -> None:
        """Update the number of entry hosts."""
        self._known_hosts = count

    def retain(self, team_ids: abc.Container[str]) -> None:
        """Discard the usage of all teams but those given."""
        for team_id in list(self._states_by_team):
            if team_id not in team_ids:
                del self._states_by_team[team_id]

    def try_admit(self, team: teams_module.Team, now: float) -> float | None:
        """Count a request and return ``None`` if it is admitted.

        :returns: the seconds after which a refused caller may retry.
        """
        if team.rate <= 0:
            return None
        if self._started_at is None:
            self._started_at = now
        state = self._state_of(team.id)
        state.offered.add(now)
        if self.try_again(team, now):
            return None
        assert self.last_decision is not None
        return self._retry_delay(state, self.last_decision, now)

    def try_again(self, team: teams_module.Team, now: float) -> bool:
        """Return whether a request that ``try_admit`` refused is admitted now."""
        state = self._state_of(team.id)
        state.target = self.caps.target_of(team)
        decision = self._decide(team, state, now)
        self.last_decision = decision
        is_admitted = self._is_admitted(team, state, decision)
        if is_admitted:
            state.admitted.add(now)
        return is_admitted

    def try_unanswered(self, team: teams_module.Team, now: float) -> bool:
        """Return whether a refused request is admitted though no totals came.

        A host that was frozen for a window doesn't know what the others have admitted
        since. It admits what it would without totals.
        """
        state = self._state_of(team.id)
        self.last_decision = decision = self._decide(team, state, now)
        is_admitted = self._has_old_totals(
            decision
        ) and decision.own_admitted < self._share_without_totals(team)
        if is_admitted:
            state.admitted.add(now)
        return is_admitted

    def may_be_wrong(self, team: teams_module.Team, now: float) -> bool:
        """Return whether newer totals may show that the last refusal was wrong.

        The totals may be missing since the start or since this host was frozen, and
        requests that are counted may have left the window since.
        """
        decision = self.last_decision
        if decision is None:
            return False
        state = self._state_of(team.id)
        room = decision.limit - decision.own_offered
        room += state.offered.count_leaving(now, 0.0)
        if room < 0:
            return False
        if not self._has_totals:
            assert self._started_at is not None
            return now - self._started_at < ISOLATED_AFTER_S
        if decision.age > ISOLATED_AFTER_S:
            return self._was_frozen(now)
        others = state.others
        return others is None or others.offered - others.leaving <= room

    def near_target(self, now: float) -> tuple[str, ...]:
        """Return the teams that are above their target or reach it soon.

        Reports are sent more often while there are any.
        """
        return tuple(
            team_id
            for team_id, state in self._states_by_team.items()
            if state.is_near_target(now)
        )

    def is_near_target(self, team_id: str, now: float) -> bool:
        """Return whether a team is above its target or reaches it soon."""
        state = self._states_by_team.get(team_id)
        return state is not None and state.is_near_target(now)

    def reports(self, now: float) -> tuple[usage_caps.TeamUsage, ...]:
        """Return this host's usage of each team with requests in the window."""
        self._has_resumed |= now - self._reported_at > ISOLATED_AFTER_S
        self._reported_at = now
        usages = []
        for team_id, state in self._states_by_team.items():
            offered = state.offered.count(now)
            if not offered:
                continue
            admitted = state.admitted.count(now)
            by_age: tuple[int, ...] = ()
            if admitted < offered:
                by_age = state.admitted.count_by_age(now, usage_caps.AGE_SLOTS)
            usages.append(
                usage_caps.TeamUsage(
                    team=team_id,
                    offered=offered,
                    admitted=admitted,
                    recent=state.offered.count_recent(now, usage_caps.RECENT_S),
                    admitted_by_age=by_age,
                    leaving=state.offered.count_leaving(now, usage_caps.LEAVING_S),
                )
            )
        return tuple(usages)

    def apply_totals(
        self, totals: usage_caps.UsageTotals, *, sent_at: float, now: float
    ) -> bool:
        """Use the usage at other hosts; return whether it covers enough of them.

        :param sent_at: when the report was sent that the totals reply to.
        """
        if now - self._most_covered_at > self.caps.window:
            self._most_covered = 0
        if not totals.is_settled or totals.hosts < MIN_COVERAGE * self._most_covered:
            return False
        if totals.hosts >= self._most_covered:
            self._most_covered, self._most_covered_at = totals.hosts, now
        self._has_totals, self._has_resumed = True, False
        self._totals_at = max(self._totals_at, sent_at)
        self._silent_hosts = totals.silent_hosts
        usages_by_team = {usage.team: usage for usage in totals.teams}
        for team_id in usages_by_team.keys() | self._states_by_team.keys():
            state = self._state_of(team_id)
            if sent_at < state.others_at:
                continue
            # A team that is not named has few requests at other hosts.
            state.others, state.others_at = usages_by_team.get(team_id), sent_at
            state.own_offered_before = state.offered.count(now)
        self._discard_idle(usages_by_team, now)
        return True

    def _discard_idle(self, busy: abc.Container[str], now: float) -> None:
        """Discard teams without requests here, except those that are busy elsewhere."""
        for team_id, state in list(self._states_by_team.items()):
            if team_id not in busy and not state.offered.count(now):
                del self._states_by_team[team_id]

    def _state_of(self, team_id: str) -> _TeamState:
        state = self._states_by_team.get(team_id)
        if state is None:
            state = self._states_by_team[team_id] = _TeamState(
                offered=window.WindowCount(window=self.caps.window),
                admitted=window.WindowCount(window=self.caps.window),
            )
        return state

    def _decide(
        self, team: teams_module.Team, state: _TeamState, now: float
    ) -> Decision:
        own = state.offered.count(now)
        reserved = 0.0
        if state.others is not None:
            reserved = state.others.reserved_permille / 1000
        target = self.caps.target_of(team) * (1 - reserved)
        others, others_admitted = self._estimate_others(state, own, now)
        share = target * own / (own + others) - self._rounding(state, now)
        if not self._has_totals:
            share = self._share_without_totals(team)
        return Decision(
            now=now,
            own_offered=own,
            own_admitted=state.admitted.count(now),
            others=others,
            others_admitted=others_admitted,
            age=now - self._totals_at,
            limit=self.caps.limit_of(team) * (1 - reserved),
            target=target,
            reserved_share=reserved,
            share=share,
            silent_hosts=self._silent_hosts,
        )

    def _is_admitted(
        self, team: teams_module.Team, state: _TeamState, decision: Decision
    ) -> bool:
        if not self._has_totals:
            return decision.own_admitted < decision.share
        others = state.others
        if self._has_old_totals(decision) and others is not None and others.offered:
            return False
        target = decision.target
        if decision.own_offered + decision.others <= target:
            return True
        if decision.age > ISOLATED_AFTER_S or others is None:
            return decision.own_admitted < decision.share
        # Most of what was offered may have been refused, for example in a flood that
        # has ended. Then there is room although much is offered in the window.
        admitted = decision.own_admitted + decision.others_admitted
        if admitted + 1 <= decision.limit:
            return True
        # Shares drift as counts grow, and what a host admitted above its new share is
        # not taken back: without this bound, the sum over 77 hosts rose to 130% of
        # the target within 2 s of a flood.
        growth = decision.others / max(1, others.offered)
        if decision.own_admitted + others.admitted * growth >= target:
            return False
        return decision.own_admitted < decision.share

    def _has_old_totals(self, decision: Decision) -> bool:
        """Return whether this host was frozen for a window and not answered since.

        Others have taken over its share by then. Requests that waited meanwhile arrive
        together, and with the old totals 64 of them ran above the tolerance.
        """
        return self._was_frozen(decision.now) and decision.age > self.caps.window

    def _was_frozen(self, now: float) -> bool:
        """Return whether this host was frozen and has received no totals since."""
        return self._has_resumed or now - self._reported_at > ISOLATED_AFTER_S

    def _share_without_totals(self, team: teams_module.Team) -> float:
        """Return the share of a host without usable totals of the others.

        The target is divided by one more than the known hosts.
        """
        return max(1.0, self.caps.target_of(team) / (max(1, self._known_hosts) + 1))

    def _estimate_others(
        self, state: _TeamState, own: int, now: float
    ) -> tuple[float, float]:
        """Return the estimated offered and admitted requests at other hosts now.

        :param own: requests offered to this host in the window.
        """
        if state.others is None:
            return 0.0, 0.0
        others = state.others
        age = now - state.others_at
        unseen_for = min(age + others.age_ms / 1000, LONGEST_EXTRAPOLATION_S)
        rate = others.recent / usage_caps.RECENT_S
        steady_rate = others.offered / self.caps.window
        offered = (
            others.offered + max(0.0, rate - steady_rate) * unseen_for * GROWTH_SHARE
        )
        if age > ISOLATED_AFTER_S:
            # Demand at other hosts is assumed to grow and to fall as here. Two standard
            # deviations are left out, since a host's own counts of a team are small.
            noise = 2 * math.sqrt(own)
            growth = (own - noise) / (state.own_offered_before + 1)
            fall = (own + noise + 1) / (state.own_offered_before + 1)
            offered = max(offered, others.offered * growth)
            offered = min(offered, others.offered * max(fall, growth))
        admitted = others.admitted + rate * unseen_for
        return offered, min(admitted, offered)

    def _rounding(self, state: _TeamState, now: float) -> float:
        """Return the fraction of a share that is rounded down.

        Many hosts have shares below 1. If each rounded up, the sum would exceed the
        target by half a request for each host.
        """
        if now >= state.rounding_until:
            state.rounding = self._rng.uniform(0.0, 1.0)
            state.rounding_until = now + self.caps.window
        return state.rounding

    def _retry_delay(self, state: _TeamState, decision: Decision, now: float) -> float:
        """Return the seconds until there is room for a refused caller.

        Each refused caller is promised one of the places that become free. Those for
        which none is left are told to retry after a window, spread over another.
        """
        promised = state.promised_moments
        while promised and promised[0] <= now:
            heapq.heappop(promised)
        max_others = math.ceil(max(0.0, decision.share)) - 1 - len(promised)
        if max_others < 0:
            return self.caps.window * self._rng.uniform(1.0, 2.0)
        room_in = state.admitted.seconds_until_at_most(max_others, now)
        moment = now + room_in + self._rng.uniform(SHORTEST_RETRY_S, RETRY_SPREAD_S)
        heapq.heappush(promised, moment)
        return moment - now
