"""Sends the attempts of a request: the first of each shard, and extra ones."""

import itertools

from greengagehaven import clock as clocks
from greengagehaven.coordination import latency
from greengagehaven.coordination.routing import (
    counts,
    delegation,
    events,
    fleet,
    hedging,
    mechanisms,
    observation,
    reachability,
    request,
    request_log,
    upstreams,
)


class AttemptSender:
    """Creates attempts and the actions that send them, directly or through helpers.

    :param fleet: the known upstreams.
    :param hedging: delay after which a shard is hedged.
    :param delegation: divides sweeps among the hosts of the zone.
    :param latencies: latency distributions by class of request.
    :param reachability: watches upstreams while attempts are in flight.
    :param counts: counts attempts.
    :param used: mechanisms that are enabled.
    :param clock: monotonic time.

    ``attempts_by_id`` holds the attempts in flight.
    """

    def __init__(
        self,
        *,
        fleet: fleet.Fleet,
        hedging: hedging.Hedging,
        delegation: delegation.Delegation,
        latencies: latency.LatencyTracker,
        reachability: reachability.Reachability,
        counts: counts.Counts,
        used: mechanisms.Mechanisms,
        clock: clocks.Clock,
    ) -> None:
        self.attempts_by_id: dict[int, request.Attempt] = {}
        self._fleet = fleet
        self._hedging = hedging
        self._delegation = delegation
        self._latencies = latencies
        self._reachability = reachability
        self._counts = counts
        self._used = used
        self._clock = clock
        self._attempt_ids = itertools.count(1)

    def send_first(
        self,
        routed: request.RoutedRequest,
        chosen_by_service: dict[str, upstreams.Upstream],
        actions: list[events.Action],
    ) -> None:
        """Send the first attempt of each pending shard, directly or through helpers."""
        pending = routed.pending
        addresses = self._helper_addresses(routed, chosen_by_service)
        # The same for all shards, so computed once: with many shards it would take most
        # of the time of planning a request.
        typical_latency = self.typical_latency(routed)
        delay = self._hedging.delay(routed)
        sends_by_address: dict[str, list[events.Action]] = {}
        for shard, address in zip(pending, addresses, strict=True):
            chosen = chosen_by_service[shard.service]
            sends = sends_by_address.setdefault(address, [])
            self._send(
                chosen,
                routed,
                shard,
                "primary",
                sends,
                typical_latency=typical_latency,
                delay=delay,
                helper_address=address,
            )
        own = sends_by_address.pop("", [])
        # Helpers come first, so that they start while this host writes its own
        # attempts.
        for address, sends in sends_by_address.items():
            actions.append(self._delegate(routed, address, sends, delay=delay))
        actions.extend(own)

    def _delegate(
        self,
        routed: request.RoutedRequest,
        address: str,
        sends: list[events.Action],
        *,
        delay: float,
    ) -> events.Delegate:
        """Record and return the call of a helper that is to send attempts.

        :param delay: seconds after which this host would hedge the shards.
        """
        self._delegation.record_call(address)
        self._counts.delegations["asked"] += 1
        request_log.log_delegation(
            routed,
            address,
            shards=len(sends),
            shard_seconds=self._delegation.seconds_per_shard,
        )
        return events.Delegate(
            number=routed.number,
            address=address,
            sends=tuple(sends),
            report_after=min(delay, routed.route.objective),
            top_records=routed.route.top_records,
        )

    def _helper_addresses(
        self,
        routed: request.RoutedRequest,
        chosen_by_service: dict[str, upstreams.Upstream],
    ) -> list[str]:
        """Return the address of the host that sends the first attempt of each shard.

        There is one for each pending shard, in order; it is empty for this host.
        """
        services = [shard.service for shard in routed.pending]
        if not (routed.is_sweep and self._used.delegation):
            return [""] * len(services)
        addresses = [""] * len(services)
        if self._used.aggregation:
            zones = [
                chosen_by_service[service].entry.availability_zone
                for service in services
            ]
            addresses = self._delegation.assign_aggregators(zones)
        pairs = zip(services, addresses, strict=True)
        not_aggregated = [service for service, address in pairs if not address]
        divided = iter(
            self._delegation.assign_hosts(not_aggregated, routed.route.objective)
        )
        return [address or next(divided) for address in addresses]

    def send_extra(
        self,
        chosen: upstreams.Upstream,
        routed: request.RoutedRequest,
        shard: request.ShardState,
        purpose: str,
        actions: list[events.Action],
    ) -> None:
        """Send an attempt beyond the first.

        :param purpose: ``retry`` or ``hedge``, for metrics and the log.
        """
        self._send(
            chosen,
            routed,
            shard,
            purpose,
            actions,
            typical_latency=self.typical_latency(routed),
            delay=self._hedging.delay(routed),
        )

    def typical_latency(self, routed: request.RoutedRequest) -> float:
        """Return the seconds that an attempt of such a request usually takes."""
        return self._latencies.usual(observation.latency_class(routed.route))

    def _send(
        self,
        chosen: upstreams.Upstream,
        routed: request.RoutedRequest,
        shard: request.ShardState,
        purpose: str,
        actions: list[events.Action],
        *,
        typical_latency: float,
        delay: float,
        helper_address: str = "",
    ) -> None:
        now = self._clock.monotonic()
        attempt = request.Attempt(
            id=next(self._attempt_ids),
            request=routed,
            shard=shard,
            upstream=chosen,
            sent_at=now,
            typical_latency=typical_latency,
            helper_address=helper_address,
        )
        self._record_sent(attempt, purpose)
        shard.hedge_at = now + delay
        if helper_address:
            # A helper reports its straggling shards earlier, unless it has failed.
            shard.hedge_at += (
                hedging.MAX_DELAYS - 1
            ) * delay + delegation.REPORT_LATENCY_S
        actions.append(
            events.Send(
                attempt=attempt.id,
                number=routed.number,
                upstream_id=chosen.entry.id,
                address=chosen.entry.address,
                time_left=routed.deadline - now,
                connections=self._fleet.max_connections(chosen),
                team=routed.team_id,
            )
        )

    def _record_sent(self, attempt: request.Attempt, purpose: str) -> None:
        """Count a new attempt, and add it to its upstream and shard."""
        chosen, shard, now = attempt.upstream, attempt.shard, attempt.sent_at
        self._counts.attempts[purpose] += 1
        if purpose != "primary":
            request_log.log_extra_attempt(purpose, attempt.request, shard, chosen, now)
        if chosen.work_time.reported_at >= 0.0:
            self._counts.report_ages.observe(now - chosen.work_time.reported_at)
        self._reachability.schedule_check()
        chosen.record_sent(attempt.id, now)
        self.attempts_by_id[attempt.id] = attempt
        shard.attempts.append(attempt)
        shard.tried.add(chosen.entry.id)
        shard.sends += 1
        shard.arrivals += 1
        shard.runs += 1
