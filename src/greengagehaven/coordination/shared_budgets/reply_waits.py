"""Requests that wait for newer totals before they are refused."""

import dataclasses

from greengagehaven.coordination.shared_budgets import demand_shares
from greengagehaven.state import teams as teams_module

MAX_WAIT_S = 0.3
"""Longest wait in seconds: the limit of the call that brings the totals."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Wait:
    """A request that waits.

    :param retry_at: when its caller may retry if it is refused.
    :param is_answered: whether totals arrived that were requested after it had begun.
    """

    team: teams_module.Team
    started_at: float
    ends_at: float
    retry_at: float
    is_answered: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """How a wait ended.

    :param number: number of the request.
    :param waited: seconds.
    :param retry_after: seconds after which a refused caller may retry, ``None`` if the
        request is admitted.
    :param decision: what the last decision about the request was based on.
    """

    number: int
    team: teams_module.Team
    waited: float
    retry_after: float | None
    decision: demand_shares.Decision


class ReplyWaits:
    """Decides again about requests whose refusal may be wrong, once totals are newer.

    :param shares: decides.
    """

    def __init__(self, *, shares: demand_shares.DemandShares) -> None:
        self._shares = shares
        self._waits_by_number: dict[int, _Wait] = {}

    def __len__(self) -> int:
        return len(self._waits_by_number)

    def ends_at(self, number: int) -> float:
        """Return when the wait of a request ends without an answer."""
        return self._waits_by_number[number].ends_at

    def add(
        self,
        number: int,
        team: teams_module.Team,
        now: float,
        *,
        retry_after: float,
        max_wait: float = MAX_WAIT_S,
    ) -> None:
        """Let a request wait that ``DemandShares.try_admit`` refused.

        :param retry_after: what it returned.
        :param max_wait: seconds; ``MAX_WAIT_S`` at most.
        """
        self._waits_by_number[number] = _Wait(
            team=team,
            started_at=now,
            ends_at=now + min(max_wait, MAX_WAIT_S),
            retry_at=now + retry_after,
        )

    def remove(self, number: int) -> None:
        """Forget a request, if it waits."""
        self._waits_by_number.pop(number, None)

    def apply_totals(self, sent_at: float, now: float) -> list[Outcome]:
        """Decide about the requests that waited when totals were requested.

        :param sent_at: when the report was sent that the totals reply to.
        """
        outcomes = []
        for number, wait in list(self._waits_by_number.items()):
            if wait.started_at > sent_at:
                continue
            wait.is_answered = True
            is_admitted = self._shares.try_again(wait.team, now)
            if is_admitted or not self._shares.may_be_wrong(wait.team, now):
                outcomes.append(self._end(number, now, is_admitted=is_admitted))
        return outcomes

    def end_due(self, now: float) -> list[Outcome]:
        """End the waits that have lasted too long.

        Without newer totals the first decision holds, except on a host that was frozen.
        """
        outcomes = []
        for number, wait in list(self._waits_by_number.items()):
            if wait.ends_at > now:
                continue
            decide = self._shares.try_unanswered
            if wait.is_answered:
                decide = self._shares.try_again
            is_admitted = decide(wait.team, now)
            outcomes.append(self._end(number, now, is_admitted=is_admitted))
        return outcomes

    def _end(self, number: int, now: float, *, is_admitted: bool) -> Outcome:
        wait = self._waits_by_number.pop(number)
        decision = self._shares.last_decision
        assert decision is not None
        retry_after = max(demand_shares.SHORTEST_RETRY_S, wait.retry_at - now)
        return Outcome(
            number=number,
            team=wait.team,
            waited=now - wait.started_at,
            retry_after=None if is_admitted else retry_after,
            decision=decision,
        )
