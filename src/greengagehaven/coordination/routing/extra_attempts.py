"""Attempts beyond the first of a shard: retries of failures, hedges of stragglers.

One upstream in twenty pauses for a moment, some fail or reject a part of their
requests, and a sweep needs nearly all of its shards. All extra attempts are taken from
a budget that is limited over all entry hosts.
"""

from greengagehaven import clock as clocks
from greengagehaven import log
from greengagehaven.coordination.routing import (
    borrowing,
    counts,
    crashes,
    events,
    extra_attempt_budget,
    fleet,
    hedging,
    key_lease,
    mechanisms,
    request,
    sending,
    upstreams,
)

MAX_SENDS = 6
"""Number of attempts of one shard, including rejected ones, after which it is not sent
again to an upstream that rejected it."""

REFUSED_HEDGE_RETRY_S = 0.05
"""Seconds until a hedge that the budget refused is tried again. A loan arrives within
20 ms, and the budget regains room as earlier extra attempts leave its window."""


class ExtraAttemptPolicy:
    """Sends retries and hedges where the request and the budget allow them.

    :param fleet: the known upstreams.
    :param sender: sends the attempts that are decided.
    :param hedging: share of the burst that a hedge leaves to other requests.
    :param crashes: requests that crash upstreams.
    :param borrower: borrows extra attempts from other hosts.
    :param key_guard: keeps attempts of teams back while this host has no lease.
    :param budget: extra-attempt budget of this host.
    :param counts: counts attempts that the budget refused.
    :param used: mechanisms that are enabled.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        fleet: fleet.Fleet,
        sender: sending.AttemptSender,
        hedging: hedging.Hedging,
        crashes: crashes.CrashDetector,
        borrower: borrowing.BudgetBorrower,
        key_guard: key_lease.KeyGuard,
        budget: extra_attempt_budget.ExtraAttemptBudget,
        counts: counts.Counts,
        used: mechanisms.Mechanisms,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = fleet
        self._sender = sender
        self._hedging = hedging
        self._crashes = crashes
        self._borrower = borrower
        self._key_guard = key_guard
        self._budget = budget
        self._counts = counts
        self._used = used
        self._clock = clock

    def retry(
        self,
        attempt: request.Attempt,
        actions: list[events.Action],
        *,
        did_not_run: bool = False,
    ) -> bool:
        """Retry a failed attempt on another upstream, or hold it until a loan arrives.

        :param did_not_run: whether the failed attempt certainly did not run.
        :returns: whether the shard may still get a reply.
        """
        routed, shard = attempt.request, attempt.shard
        if not self._used.retrying:
            return False
        if not (routed.route.is_idempotent or did_not_run):
            return False
        if shard.runs >= routed.route.attempts:
            return False
        if self._crashes.is_quarantined(routed):
            return False
        if self._clock.monotonic() >= routed.deadline:
            return False
        if not self._key_guard.may_send(routed.team_id, "extra"):
            shard.failure += request.NO_KEY_LEASE
            return False
        chosen = self._choose_for_retry(routed, shard)
        if chosen is None:
            shard.failure += "_no_upstream"
            return False
        # The first attempt that reaches the service does not count as an extra one.
        if shard.arrivals and not self._budget.try_spend(shard.service):
            self._counts.extra_refused += 1
            may_borrow = routed.route.is_idempotent and self._used.lending
            if may_borrow and self._borrower.wait_for_loan(attempt):
                return True
            shard.failure += "_no_budget"
            return False
        self._sender.send_extra(chosen, routed, shard, "retry", actions)
        return True

    def hedge_stragglers(
        self,
        routed: request.RoutedRequest,
        now: float,
        actions: list[events.Action],
    ) -> None:
        """Hedge straggling shards once replies have stopped arriving."""
        for shard in routed.pending:
            if shard.hedge_at > now:
                continue
            own = [attempt for attempt in shard.attempts if not attempt.helper_address]
            if routed.is_sweep and own:
                shard.hedge_at = self._hedging.postponed_hedge_at(own[0], now)
            if shard.hedge_at <= now:
                self.hedge(routed, shard, actions)

    def hedge(
        self,
        routed: request.RoutedRequest,
        shard: request.ShardState,
        actions: list[events.Action],
    ) -> None:
        """Hedge a shard on another upstream if a reply could still meet the deadline.

        The shard is not hedged a second time for the same attempt.
        """
        shard.hedge_at = float("inf")
        if self._crashes.is_quarantined(routed):
            return
        if shard.runs >= routed.route.attempts or not shard.attempts:
            return
        chosen = self._choose_untried(routed, shard)
        if chosen is None:
            return
        if not self._key_guard.may_send(routed.team_id, "extra"):
            log.info("hedge_withheld", request=routed.request_id, service=shard.service)
            return
        expected = self._fleet.expected_latency(
            chosen, self._sender.typical_latency(routed)
        )
        if self._clock.monotonic() + expected >= routed.deadline:
            return
        reserved_share = self._hedging.reserved_share(routed)
        if not self._budget.try_spend(shard.service, reserve_share=reserved_share):
            self._counts.extra_refused += 1
            log.info("hedge_refused", request=routed.request_id, service=shard.service)
            self._postpone_hedge(routed, shard)
            return
        self._sender.send_extra(chosen, routed, shard, "hedge", actions)

    def _postpone_hedge(
        self, routed: request.RoutedRequest, shard: request.ShardState
    ) -> None:
        """Hedge a shard later that the budget refused, if the answer needs its part.

        Otherwise a sweep that lacks one part of its minimum coverage would wait for an
        upstream that may never answer, until its deadline.
        """
        if not (self._used.hedge_loans and routed.is_sweep and routed.lacks_coverage):
            return
        self._borrower.queue_loan(shard.attempts[0])
        shard.hedge_at = self._clock.monotonic() + REFUSED_HEDGE_RETRY_S

    def _choose_untried(
        self, routed: request.RoutedRequest, shard: request.ShardState
    ) -> upstreams.Upstream | None:
        """Return an upstream that has not got this request yet, or ``None``."""
        typical_latency = self._sender.typical_latency(routed)
        return self._fleet.choose(shard.service, typical_latency, tried=shard.tried)

    def _choose_for_retry(
        self, routed: request.RoutedRequest, shard: request.ShardState
    ) -> upstreams.Upstream | None:
        """Return an upstream for a retry, or ``None``.

        If every upstream has got the request already, one is chosen that rejected it
        with slots free: whether such an upstream rejects a request does not depend on
        whether it rejected the previous one.
        """
        chosen = self._choose_untried(routed, shard)
        if chosen is None and shard.sends < MAX_SENDS and self._used.asking_again:
            typical_latency = self._sender.typical_latency(routed)
            tried = shard.tried - shard.rejected_by
            chosen = self._fleet.choose(shard.service, typical_latency, tried=tried)
        return chosen
