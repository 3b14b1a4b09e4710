"""Ends requests in flight that only wait for upstreams that do not answer."""

from collections import abc

from greengagehaven import clock as clocks
from greengagehaven.coordination.routing import (
    availability,
    completion,
    events,
    extra_attempts,
    request,
    request_log,
    settling,
)


class StrandedRequests:
    """Fails the shards of requests that can't be answered any more.

    A request that must not be repeated keeps waiting: its caller could not send it
    again, and a late reply is the only way to learn what became of it.

    :param availability: which upstreams answer.
    :param extra_attempts: sends attempts that the budget did not allow before.
    :param settler: answers a request if its outcome is certain.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        availability: availability.Availability,
        extra_attempts: extra_attempts.ExtraAttemptPolicy,
        settler: settling.RequestSettler,
        clock: clocks.Clock,
    ) -> None:
        self._availability = availability
        self._extra_attempts = extra_attempts
        self._settler = settler
        self._clock = clock

    def end(
        self,
        requests: abc.Iterable[request.RoutedRequest],
        actions: list[events.Action],
    ) -> None:
        """End the requests whose remaining shards are too few.

        :param requests: all requests in flight.
        """
        if not self._availability.has_silent_upstreams:
            return
        for routed in list(requests):
            if not routed.is_over and routed.route.is_idempotent:
                self._end_if_stranded(routed, actions)

    def _end_if_stranded(
        self, routed: request.RoutedRequest, actions: list[events.Action]
    ) -> None:
        """End a request unless hedges on other upstreams leave it enough shards."""
        stranded = self._stranded_shards(routed)
        if not stranded or routed.has_min_shards_without(len(stranded)):
            return
        for shard in stranded:
            if self._has_extra_attempt(routed, shard):
                self._extra_attempts.hedge(routed, shard, actions)
        stranded = self._stranded_shards(routed)
        if routed.has_min_shards_without(len(stranded)):
            return
        services = [shard.service for shard in stranded]
        request_log.log_unavailable(
            routed, "ended", self._availability.reply_ages_ms(services)
        )
        for shard in stranded:
            routed.record_failure(shard, availability.UNAVAILABLE)
            completion.release(shard.attempts, actions)
        self._settler.settle(routed, actions)

    def _stranded_shards(
        self, routed: request.RoutedRequest
    ) -> list[request.ShardState]:
        return [shard for shard in routed.pending if self._is_stranded(routed, shard)]

    def _is_stranded(
        self, routed: request.RoutedRequest, shard: request.ShardState
    ) -> bool:
        """Return whether a shard only waits for upstreams that do not answer."""
        if shard.held is not None or not shard.attempts:
            return False
        if self._has_extra_attempt(routed, shard) and shard.hedge_at < float("inf"):
            return False
        if not all(self._is_stuck(attempt) for attempt in shard.attempts):
            return False
        # A request whose work takes unusually long makes its upstreams look silent.
        # That is ruled out if half of its shards have replied, or if no upstream of
        # this shard answers.
        has_replies = routed.part_count >= len(routed.shards) / 2
        return has_replies or self._availability.is_unavailable(shard.service)

    def _has_extra_attempt(
        self, routed: request.RoutedRequest, shard: request.ShardState
    ) -> bool:
        """Return whether another upstream may still get a request."""
        may_run = shard.runs < routed.route.attempts
        return may_run and self._availability.has_untried_upstream(shard)

    def _is_stuck(self, attempt: request.Attempt) -> bool:
        """Return whether no reply to an attempt is expected.

        A request that was sent as a probe waits until its own attempt is overdue. That
        may be due to a pause, and then the next probe succeeds.
        """
        if attempt.request.is_probe:
            now = self._clock.monotonic()
            return self._availability.is_overdue(attempt, now, pause=0.0)
        return self._availability.is_silent(attempt.upstream)
