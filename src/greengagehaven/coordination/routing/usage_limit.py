"""Applies the usage caps of teams to arrived requests, and logs who is near a limit."""

import collections
import math
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven import rng as rngs
from greengagehaven.coordination.shared_budgets import demand_shares, reply_waits
from greengagehaven.state import teams

SUMMARY_PERIOD_S = 1.0
"""Seconds between two summaries of a team that is near its limit."""

NEAR_LIMIT_SHARE = 0.8
"""Share of its limit from which a team is logged, so that operators learn of it before
requests are refused."""


class UsageLimit:
    """Refuses requests of teams that exceed their limit over all hosts.

    :param caps: window and tolerance.
    :param clock: monotonic time.
    :param rng: rounds this host's shares.

    ``on_request`` is called with the id of a limited team that sent a request,
    ``on_wait`` when a request begins to wait for newer totals. ``waits`` holds those
    requests.
    """

    def __init__(
        self, *, caps: demand_shares.CapSettings, clock: clocks.Clock, rng: rngs.Rng
    ) -> None:
        self.on_request: abc.Callable[[str], None] = lambda team_id: None
        self.on_wait: abc.Callable[[], None] = lambda: None
        self.shares = demand_shares.DemandShares(caps=caps, rng=rng)
        self.waits = reply_waits.ReplyWaits(shares=self.shares)
        self.refused_by_team: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._summarized_at_by_team: dict[str, float] = {}

    def set_teams(self, directory: teams.TeamDirectory) -> None:
        """Forget the usage of teams that are not in the document any more."""
        known = directory.teams_by_id
        self.shares.retain(known)
        for team_id in self._summarized_at_by_team.keys() - known.keys():
            del self._summarized_at_by_team[team_id]
        for team_id in self.refused_by_team.keys() - known.keys():
            del self.refused_by_team[team_id]

    def check(self, team: teams.Team, *, number: int, max_wait: float) -> bool:
        """Count a request of a team; return whether it is admitted.

        If not, it waits for newer totals in ``waits``.

        :param number: number of the request.
        :param max_wait: longest wait in seconds.
        :raises UsageCapExceededError: the team is above its limit.
        """
        if team.rate <= 0:
            return True
        now = self._clock.monotonic()
        retry_after = self.shares.try_admit(team, now)
        decision = self.shares.last_decision
        assert decision is not None
        self.on_request(team.id)
        total = decision.own_offered + decision.others
        if total >= NEAR_LIMIT_SHARE * decision.limit:
            self._summarize(team, decision, now)
        if retry_after is None:
            return True
        if not self.shares.may_be_wrong(team, now):
            raise self.refusal(team, decision, retry_after=retry_after, waited=0.0)
        self.waits.add(number, team, now, retry_after=retry_after, max_wait=max_wait)
        self.on_wait()
        return False

    def refusal(
        self,
        team: teams.Team,
        decision: demand_shares.Decision,
        *,
        retry_after: float,
        waited: float,
    ) -> exceptions.UsageCapExceededError:
        """Count a refused request and return its error.

        :param retry_after: seconds after which its caller may retry.
        :param waited: seconds that it waited for newer totals.
        """
        self.refused_by_team[team.id] += 1
        return exceptions.UsageCapExceededError(
            f"team {team.id} is above its limit",
            retry_after=retry_after,
            log_fields={
                "team": team.id,
                **_decision_fields(decision),
                "waited_ms": round(waited * 1000),
                "retry_after_ms": round(retry_after * 1000),
            },
        )

    def _summarize(
        self, team: teams.Team, decision: demand_shares.Decision, now: float
    ) -> None:
        """Log a team that is near its limit, at most once in each period."""
        logged_at = self._summarized_at_by_team.get(team.id, float("-inf"))
        if now - logged_at < SUMMARY_PERIOD_S:
            return
        self._summarized_at_by_team[team.id] = now
        log.info(
            "usage_near_limit",
            team=team.id,
            **_decision_fields(decision),
            refused=self.refused_by_team[team.id],
        )


def _decision_fields(decision: demand_shares.Decision) -> dict[str, float | None]:
    """Return what a decision was based on, as fields of a log line."""
    return {
        "limit": round(decision.limit, 1),
        "own_offered": decision.own_offered,
        "own_admitted": decision.own_admitted,
        "others_offered": round(decision.others, 1),
        "others_admitted": round(decision.others_admitted, 1),
        "share": round(decision.share, 1),
        "totals_age_ms": (
            round(decision.age * 1000) if math.isfinite(decision.age) else None
        ),
        "silent_hosts": decision.silent_hosts,
        "reserved_share": round(decision.reserved_share, 2),
    }
