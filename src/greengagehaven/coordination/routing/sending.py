"""Sends the attempts of a request: the first of each shard, and further ones."""

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
    narration,
    observation,
    reachability,
    request,
    upstreams,
)


class Sending:
    """Numbers attempts and says where they go.

    :param of_fleet: the upstreams.
    :param of_hedging: says when a shard straggles.
    :param of_delegation: divides sweeps among the hosts of the zone.
    :param latencies: of each kind of request.
    :param reach: told that something is on its way.
    :param counted: counts attempts.
    :param used: mechanisms that are used.
    :param clock: monotonic time.

    ``attempts_by_id`` holds those that have not ended.
    """

    def __init__(
        self,
        *,
        of_fleet: fleet.Fleet,
        of_hedging: hedging.Hedging,
        of_delegation: delegation.Delegation,
        latencies: latency.LatencyBook,
        reach: reachability.Reachability,
        counted: counts.Counts,
        used: mechanisms.Mechanisms,
        clock: clocks.Clock,
    ) -> None:
        self.attempts_by_id: dict[int, request.Attempt] = {}
        self._fleet = of_fleet
        self._hedging = of_hedging
        self._delegation = of_delegation
        self._latencies = latencies
        self._reach = reach
        self._counts = counted
        self._used = used
        self._clock = clock
        self._attempt_ids = itertools.count(1)

    def first(
        self,
        routed: request.RoutedRequest,
        chosen_by_service: dict[str, upstreams.Upstream],
        actions: list[events.Action],
    ) -> None:
        """Send the first attempt of each shard, from here or over other hosts."""
        pending = routed.pending
        addresses = self._addresses(routed, chosen_by_service)
        # Alike for all shards, and reckoned once: with many shards it would be most of
        # what a plan takes.
        usual, delay = self.usual(routed), self._hedging.delay(routed)
        sends_by_address: dict[str, list[events.Action]] = {}
        for shard, address in zip(pending, addresses, strict=True):
            chosen = chosen_by_service[shard.service]
            sends = sends_by_address.setdefault(address, [])
            self._to(
                chosen,
                routed,
                shard,
                "primary",
                sends,
                usual=usual,
                delay=delay,
                via=address,
            )
        own = sends_by_address.pop("", [])
        # The others first: they begin while this host writes its own.
        for address, sends in sends_by_address.items():
            self._delegation.note_asked(address)
            self._counts.delegations["asked"] += 1
            narration.tell_delegation(
                routed,
                address,
                shards=len(sends),
                shard_seconds=self._delegation.shard_seconds,
            )
            actions.append(
                events.Delegate(
                    number=routed.number,
                    address=address,
                    sends=tuple(sends),
                    report_after=min(delay, routed.route.objective),
                    top_records=routed.route.top_records,
                )
            )
        actions.extend(own)

    def _addresses(
        self,
        routed: request.RoutedRequest,
        chosen_by_service: dict[str, upstreams.Upstream],
    ) -> list[str]:
        """Return the host that asks each pending shard first, empty for this one."""
        services = [shard.service for shard in routed.pending]
        if not (routed.is_sweep and self._used.delegation):
            return [""] * len(services)
        addresses = [""] * len(services)
        if self._used.aggregation:
            zones = [
                chosen_by_service[service].entry.availability_zone
                for service in services
            ]
            addresses = self._delegation.aggregate(zones)
        pairs = zip(services, addresses, strict=True)
        near = [service for service, address in pairs if not address]
        divided = iter(self._delegation.divide(near, routed.route.objective))
        return [address or next(divided) for address in addresses]

    def again(
        self,
        chosen: upstreams.Upstream,
        routed: request.RoutedRequest,
        shard: request.ShardState,
        purpose: str,
        actions: list[events.Action],
    ) -> None:
        """Send an attempt beyond the first."""
        self._to(
            chosen,
            routed,
            shard,
            purpose,
            actions,
            usual=self.usual(routed),
            delay=self._hedging.delay(routed),
        )

    def usual(self, routed: request.RoutedRequest) -> float:
        """Return the seconds that an attempt of such a request usually takes."""
        return self._latencies.usual(observation.latency_class(routed.route))

    def _to(
        self,
        chosen: upstreams.Upstream,
        routed: request.RoutedRequest,
        shard: request.ShardState,
        purpose: str,
        actions: list[events.Action],
        *,
        usual: float,
        delay: float,
        via: str = "",
    ) -> None:
        now = self._clock.monotonic()
        attempt = request.Attempt(
            id=next(self._attempt_ids),
            request=routed,
            shard=shard,
            upstream=chosen,
            sent_at=now,
            usual=usual,
            via=via,
        )
        self._counts.attempts[purpose] += 1
        if purpose != "primary":
            narration.tell_extra(purpose, routed, shard, chosen, now)
        self._reach.watch()
        chosen.note_sent(attempt.id, now)
        self.attempts_by_id[attempt.id] = attempt
        shard.attempts.append(attempt)
        shard.tried.add(chosen.entry.id)
        shard.sends += 1
        shard.arrivals += 1
        shard.runs += 1
        shard.hedge_at = now + delay
        if via:
            # Its host says sooner which of its shards straggle, unless it is silent.
            shard.hedge_at += (hedging.MOST_DELAYS - 1) * delay + delegation.REPORT_S
        actions.append(
            events.Send(
                attempt=attempt.id,
                number=routed.number,
                upstream_id=chosen.entry.id,
                address=chosen.entry.address,
                time_left=routed.deadline - now,
                connections=self._fleet.connections(chosen),
            )
        )
