"""Attempts beyond the first of a shard: retries of failures, hedges of stragglers.

The load they answer: one upstream in twenty stands still for a moment, some fail or
reject a part of their requests, and a sweep needs nearly all of its shards. All of
them take room of a budget that is bounded over all entry hosts.
"""

from greengagehaven import clock as clocks
from greengagehaven import log
from greengagehaven.coordination.routing import (
    counts,
    crashes,
    events,
    extra,
    fleet,
    hedging,
    lending,
    mechanisms,
    request,
    sending,
    upstreams,
)

MAX_SENDS = 6
"""Attempts of one shard, rejected ones too, after which no upstream is asked again
that rejected it."""


class Further:
    """Sends further attempts where the request may run again and there is room.

    :param of_fleet: the upstreams.
    :param of_sending: sends what is decided.
    :param of_hedging: how much room a hedge leaves to others.
    :param of_crashes: requests that crash upstreams.
    :param of_lending: asks other hosts for room.
    :param budget: room of this host.
    :param counted: counts what found no room.
    :param used: mechanisms that are used.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        of_fleet: fleet.Fleet,
        of_sending: sending.Sending,
        of_hedging: hedging.Hedging,
        of_crashes: crashes.Crashes,
        of_lending: lending.Lending,
        budget: extra.ExtraAttempts,
        counted: counts.Counts,
        used: mechanisms.Mechanisms,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = of_fleet
        self._sending = of_sending
        self._hedging = of_hedging
        self._crashes = of_crashes
        self._lending = of_lending
        self._budget = budget
        self._counts = counted
        self._used = used
        self._clock = clock

    def retry(
        self,
        attempt: request.Attempt,
        actions: list[events.Action],
        *,
        did_not_run: bool = False,
    ) -> bool:
        """Ask another upstream, or wait for room to; return whether it does.

        :param did_not_run: whether the upstream of the failed attempt said so.
        """
        routed, shard = attempt.request, attempt.shard
        if not self._used.retrying:
            return False
        if not (routed.route.is_idempotent or did_not_run):
            return False
        if shard.runs >= routed.route.attempts:
            return False
        if self._crashes.is_convicted(routed):
            return False
        if self._clock.monotonic() >= routed.deadline:
            return False
        chosen = self._choose_again(routed, shard)
        if chosen is None:
            shard.failure += "_no_upstream"
            return False
        # The first that reaches the service is no extra one.
        if shard.arrivals and not self._budget.spend(shard.service):
            self._counts.extra_refused += 1
            may_wait = routed.route.is_idempotent and self._used.lending
            if may_wait and self._lending.wait(attempt):
                return True
            shard.failure += "_no_budget"
            return False
        self._sending.again(chosen, routed, shard, "retry", actions)
        return True

    def hedge(
        self,
        routed: request.RoutedRequest,
        shard: request.ShardState,
        actions: list[events.Action],
    ) -> None:
        """Ask another upstream as well, where that may still be in time."""
        shard.hedge_at = float("inf")
        if self._crashes.is_convicted(routed):
            return
        if shard.runs >= routed.route.attempts or not shard.attempts:
            return
        chosen = self._choose(routed, shard)
        if chosen is None:
            return
        expected = self._fleet.expected(chosen, self._sending.usual(routed))
        if self._clock.monotonic() + expected >= routed.deadline:
            return
        keep = self._hedging.keep(routed)
        if not self._budget.spend(shard.service, keep=keep):
            self._counts.extra_refused += 1
            log.info("hedge_refused", request=routed.request_id, service=shard.service)
            return
        self._sending.again(chosen, routed, shard, "hedge", actions)

    def _choose(
        self, routed: request.RoutedRequest, shard: request.ShardState
    ) -> upstreams.Upstream | None:
        """Return an upstream that has not had this request yet."""
        usual = self._sending.usual(routed)
        return self._fleet.choose(shard.service, usual, tried=shard.tried)

    def _choose_again(
        self, routed: request.RoutedRequest, shard: request.ShardState
    ) -> upstreams.Upstream | None:
        """Return an upstream for a retry.

        Where all have had the request it is one that rejected it with slots free: such
        a one rejects the next request or not, whatever it did with the last.
        """
        chosen = self._choose(routed, shard)
        if chosen is None and shard.sends < MAX_SENDS and self._used.asking_again:
            usual = self._sending.usual(routed)
            tried = shard.tried - shard.rejected_by
            chosen = self._fleet.choose(shard.service, usual, tried=tried)
        return chosen
