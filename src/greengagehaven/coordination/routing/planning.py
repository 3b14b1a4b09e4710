"""Plans a request: the upstreams of its first attempts, or that it can't be served."""

from greengagehaven import clock as clocks
from greengagehaven.coordination.routing import (
    availability,
    consolidation,
    extra_attempt_budget,
    fleet,
    mechanisms,
    request,
    request_log,
    sending,
    upstreams,
)


class RequestPlanner:
    """Chooses the upstream of each shard's first attempt.

    :param fleet: the known upstreams.
    :param sender: gives the usual latency of attempts.
    :param consolidation: moves shards without an upstream in this zone to one zone.
    :param availability: which shards have an upstream that answers.
    :param budget: counts requests of each service.
    :param used: mechanisms that are enabled.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        fleet: fleet.Fleet,
        sender: sending.AttemptSender,
        consolidation: consolidation.Consolidation,
        availability: availability.Availability,
        budget: extra_attempt_budget.ExtraAttemptBudget,
        used: mechanisms.Mechanisms,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = fleet
        self._sender = sender
        self._consolidation = consolidation
        self._availability = availability
        self._budget = budget
        self._used = used
        self._clock = clock

    def plan(
        self, routed: request.RoutedRequest, *, table: int
    ) -> dict[str, upstreams.Upstream]:
        """Return the chosen upstream of each service that has one.

        Shards that can't be served are recorded as failed.

        :param table: number of the routing table in force, for the log.
        """
        chosen_by_service = {}
        typical_latency = self._sender.typical_latency(routed)
        for shard in routed.shards:
            self._budget.record_request(shard.service)
            chosen = self._fleet.choose(shard.service, typical_latency)
            if chosen is None:
                routed.record_failure(shard, "no_upstream")
            else:
                chosen_by_service[shard.service] = chosen
        self._fail_unavailable(routed)
        if routed.is_sweep and self._used.consolidation and self._used.aggregation:
            self._consolidation.consolidate(chosen_by_service, typical_latency)
        request_log.log_plan(
            routed, chosen_by_service, table=table, now=self._clock.monotonic()
        )
        return chosen_by_service

    def _fail_unavailable(self, routed: request.RoutedRequest) -> None:
        """Fail unavailable shards if too few remain, unless the request is a probe.

        If enough remain, the unavailable shards are requested too, which detects that
        they have recovered.
        """
        if not self._availability.has_silent_upstreams:
            return
        unavailable = [
            shard
            for shard in routed.pending
            if self._availability.is_unavailable(shard.service)
        ]
        if not unavailable:
            return
        services = [shard.service for shard in unavailable]
        if routed.has_min_shards_without(len(unavailable)):
            self._availability.record_probe(services)
            return
        if routed.route.is_idempotent and self._availability.try_probe(services):
            routed.is_probe = True
        else:
            for shard in unavailable:
                routed.record_failure(shard, availability.UNAVAILABLE)
        request_log.log_unavailable(
            routed,
            "sent_as_probe" if routed.is_probe else "refused",
            self._availability.reply_ages_ms(services),
        )
