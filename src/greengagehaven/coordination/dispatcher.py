"""Queues sub-requests, selects their upstreams and tracks attempts in flight."""

import dataclasses
import itertools
import typing
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven.coordination import (
    fair_queue,
    headroom,
    isolation,
    latency,
    plan,
    query,
    replicas,
    selection,
    upstream_stats,
    usage,
)
from greengagehaven.protocol import upstream
from greengagehaven.state import directory

TakeProbeToken = typing.Callable[[], bool]

_MAX_SKIPPED = 8
"""Waiting sub-requests of one shard that may be skipped for a later sendable one."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """A sub-request in flight.

    :param latency_class: class of sub-requests of similar latency.
    :param sent_at: monotonic seconds.
    :param usual_latency: usual latency of its class when it was sent, in
        seconds.
    :param estimated_charge: upstream time charged to the subscriber in advance,
        in seconds.
    :param is_extra: whether it is a hedge, a retry or a probe rather than a
        first attempt.
    :param is_probe: whether it was sent to measure its upstream; it is not
        cancelled when another attempt answers the shard.
    :param is_over_share: whether it was sent as work over the subscriber's
        share, which the owner may queue behind all other work.
    """

    upstream_id: str
    incarnation: int
    shard_ref: upstream.ShardRef
    subscriber_id: str
    fingerprint: str
    latency_class: latency.LatencyClass
    sent_at: float
    usual_latency: float
    estimated_charge: float
    is_extra: bool
    is_probe: bool = False
    is_over_share: bool = False


class Dispatcher:
    """Sends the sub-requests of all queries of one entry host.

    :param planner: returns the upstreams that can answer a pinned shard.
    :param usable: returns whether an upstream may receive new sub-requests.
    :param replicas: selects upstreams and keeps their statistics.
    :param latencies: observed latency of each class of sub-requests.
    :param queue: sub-requests that wait for upstream capacity, in fair order.
    :param ledger: is charged with the upstream time of each subscriber.
    :param headroom: reserves capacity against subscribers over their share.
    :param isolation: runs suspected requests apart from others.
    :param take_probe_token: takes a token from the probe budget and returns
        whether there was one.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        directory: directory.DirectoryView,
        planner: plan.Planner,
        usable: plan.Usable,
        replicas: replicas.Replicas,
        latencies: latency.LatencyTracker,
        queue: fair_queue.SubRequestQueue,
        ledger: usage.UsageLedger,
        headroom: headroom.Headroom,
        isolation: isolation.Isolation,
        take_probe_token: TakeProbeToken,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._planner = planner
        self._usable = usable
        self._replicas = replicas
        self._latencies = latencies
        self._queue = queue
        self._queue_numbers = itertools.count()
        self._ledger = ledger
        self._headroom = headroom
        self._isolation = isolation
        self._take_probe_token = take_probe_token
        self._attempts_by_id: dict[tuple[str, int], Attempt] = {}

    @property
    def waiting_count(self) -> int:
        """Return the number of sub-requests that wait to be sent."""
        return len(self._queue) + self._isolation.parked_count

    @property
    def attempts_by_id(self) -> abc.Mapping[tuple[str, int], Attempt]:
        """Return the attempts in flight, by request id and attempt number."""
        return self._attempts_by_id

    @property
    def stats_by_id(self) -> abc.Mapping[str, upstream_stats.UpstreamStats]:
        """Return the statistics that this host keeps of each upstream, by id."""
        return self._replicas.stats_by_id

    def enqueue(self, running: query.Query, shard_ref: upstream.ShardRef) -> None:
        """Queue a shard of a query until an upstream has capacity for it."""
        self._queue.push(
            fair_queue.QueuedSubRequest(
                request_id=running.request_id,
                subscriber_id=running.submitted.subscriber_id,
                shard_ref=shard_ref,
                standing=running.kind.standing,
                query_arrived_at=running.started,
                queued_at=self._clock.monotonic(),
                order=next(self._queue_numbers),
            )
        )

    def discard(self, running: query.Query) -> None:
        """Remove the queued sub-requests of a query that has ended."""
        self._queue.discard(running.request_id)

    def untried_replica_ids(
        self, running: query.Query, shard_ref: upstream.ShardRef
    ) -> tuple[str, ...]:
        """Return the upstreams that can answer a shard and were not tried yet."""
        progress = running.progress_by_shard[shard_ref]
        replica_ids = self._planner.replica_ids(
            progress.target, running.plan.snapshot, usable=self._usable
        )
        if not progress.tried_upstream_ids:
            return replica_ids
        return tuple(
            replica_id
            for replica_id in replica_ids
            if replica_id not in progress.tried_upstream_ids
        )

    def send_waiting(
        self,
        shard_refs: abc.Iterable[upstream.ShardRef],
        queries_by_id: abc.Mapping[str, query.Query],
    ) -> list[upstream.SubRequest]:
        """Send queued sub-requests of these shards, as far as capacity allows.

        :return: the sub-requests to send.
        """
        batch: list[upstream.SubRequest] = []
        for shard_ref in self._queue.sort_by_urgency(shard_refs):
            self._send_shard(shard_ref, queries_by_id, batch)
        return batch

    def send_extra(
        self, running: query.Query, shard_ref: upstream.ShardRef
    ) -> upstream.SubRequest | None:
        """Send one more attempt for a shard without queueing it.

        :return: ``None`` if no untried upstream has capacity, if the request is a
            suspect, or if its subscriber is confined to a part of the slots.
        """
        if self._isolation.is_suspect(running):
            return None
        replica_ids = self.untried_replica_ids(running, shard_ref)
        eligible = self._evaluate_replicas(running, shard_ref, replica_ids)
        if not eligible.available or eligible.over_share_slots_by_id:
            return None
        target = self._replicas.choose(eligible)
        return self._send(running, shard_ref, target, is_extra=True)

    def end(self, outcome: upstream.Outcome) -> Attempt | None:
        """Remove an attempt from flight and record its outcome.

        :return: the attempt, or ``None`` if it is not in flight, for instance
            because its outcome was processed before.
        """
        key = (outcome.request_id, outcome.attempt)
        attempt = self._attempts_by_id.get(key)
        if attempt is None or attempt.upstream_id != outcome.upstream_id:
            return None
        del self._attempts_by_id[key]
        self._settle_charge(attempt, outcome)
        now = self._clock.monotonic()
        took = now - attempt.sent_at
        is_representative = not attempt.is_extra and not attempt.is_over_share
        if isinstance(outcome, upstream.Replied) and is_representative:
            self._latencies.observe(attempt.latency_class, took, now)
        latency_ratio = took / attempt.usual_latency
        self._replicas.complete_attempt(
            key, attempt.incarnation, outcome, latency_ratio, is_probe=attempt.is_probe
        )
        return attempt

    def shards_on_upstream(self, upstream_id: str) -> list[upstream.ShardRef]:
        """Return the shards that an upstream hosts, in random order.

        The result is empty if nothing is queued.
        """
        announcement = self._directory.upstreams_by_id.get(upstream_id)
        if announcement is None or not self._queue:
            return []
        shard_refs = list({hosted.ref: None for hosted in announcement.shards})
        self._replicas.shuffle(shard_refs)
        return shard_refs

    def on_upstreams_changed(self) -> None:
        """Synchronise with the directory and drop statistics of removed upstreams."""
        self._replicas.on_upstreams_changed()

    def _send_shard(
        self,
        shard_ref: upstream.ShardRef,
        queries_by_id: abc.Mapping[str, query.Query],
        batch: list[upstream.SubRequest],
    ) -> None:
        skipped: list[fair_queue.QueuedSubRequest] = []
        held_back_ids: set[str] = set()
        while len(skipped) < _MAX_SKIPPED:
            item = self._queue.pop(shard_ref, held_back_ids)
            if item is None:
                break
            running = queries_by_id.get(item.request_id)
            if running is None or not _needs_attempt(running, shard_ref):
                continue
            if not self._isolation.admit_or_park(running, shard_ref):
                continue
            replica_ids = self.untried_replica_ids(running, shard_ref)
            ids_to_avoid = self._isolation.upstreams_to_avoid(running)
            if ids_to_avoid:
                allowed_ids = tuple(
                    replica_id
                    for replica_id in replica_ids
                    if replica_id not in ids_to_avoid
                )
                if replica_ids and not allowed_ids:
                    self._isolation.park(running, shard_ref)
                    continue
                replica_ids = allowed_ids
            eligible = self._evaluate_replicas(running, shard_ref, replica_ids)
            if eligible.available:
                self._send_queued(item, running, eligible, batch)
                continue
            skipped.append(item)
            if eligible.over_share_slots_by_id:
                held_back_ids.add(item.subscriber_id)
                self._headroom.record_throttled(item.subscriber_id)
            elif not running.progress_by_shard[shard_ref].tried_upstream_ids:
                # It may go to any upstream of the shard, and none has capacity.
                break
        for item in skipped:
            self._queue.push(item)

    def _send_queued(
        self,
        item: fair_queue.QueuedSubRequest,
        running: query.Query,
        eligible: replicas.EligibleReplicas,
        batch: list[upstream.SubRequest],
    ) -> None:
        is_extra = bool(running.progress_by_shard[item.shard_ref].tried_upstream_ids)
        target = self._replicas.choose(eligible)
        slots = eligible.over_share_slots_by_id.get(target.id, 0)
        sub_request = self._send(
            running, item.shard_ref, target, is_extra=is_extra, over_share_slots=slots
        )
        batch.append(sub_request)
        self._queue.record_sent(item, self._clock.monotonic())
        if eligible.probe is not None:
            self._probe(running, item.shard_ref, eligible.probe, batch)

    def _probe(
        self,
        running: query.Query,
        shard_ref: upstream.ShardRef,
        target: selection.Candidate,
        batch: list[upstream.SubRequest],
    ) -> None:
        if not running.kind.idempotent or self._isolation.is_suspect(running):
            return
        if not self._take_probe_token():
            return
        target.stats.probed_at = self._clock.monotonic()
        batch.append(
            self._send(running, shard_ref, target, is_extra=True, is_probe=True)
        )

    def _evaluate_replicas(
        self,
        running: query.Query,
        shard_ref: upstream.ShardRef,
        replica_ids: tuple[str, ...],
    ) -> replicas.EligibleReplicas:
        subscriber_id = running.submitted.subscriber_id
        if not self._headroom.is_over_share(subscriber_id):
            return self._replicas.find_eligible(replica_ids)
        target = running.progress_by_shard[shard_ref].target
        slots_by_id = self._headroom.allot(
            shard_ref,
            subscriber_id,
            self._replicas.without_ejected(target.upstream_ids),
            self._clock.monotonic(),
        )
        if not slots_by_id:
            return self._replicas.find_eligible(replica_ids)
        return self._replicas.find_eligible_over_share(replica_ids, slots_by_id)

    def _settle_charge(self, attempt: Attempt, outcome: upstream.Outcome) -> None:
        """Replace the estimated charge of an attempt by its measured time.

        A sub-request that was not run is not charged. If the owner reports how
        long the upstream took, that time is charged without the time queued at
        the owner; otherwise the subscribers that wait longest would appear to
        use the most.
        """
        elapsed = self._clock.monotonic() - attempt.sent_at
        if isinstance(outcome, upstream.Replied) and outcome.took is not None:
            elapsed = outcome.took
        if isinstance(outcome, upstream.Failed) and outcome.not_run:
            self._ledger.charge(attempt.subscriber_id, -attempt.estimated_charge)
            return
        self._ledger.charge(attempt.subscriber_id, elapsed - attempt.estimated_charge)
        self._ledger.record_cost(
            attempt.subscriber_id, attempt.latency_class.kind, elapsed
        )

    def _send(
        self,
        running: query.Query,
        shard_ref: upstream.ShardRef,
        target: selection.Candidate,
        *,
        is_extra: bool,
        is_probe: bool = False,
        over_share_slots: int = 0,
    ) -> upstream.SubRequest:
        announcement = target.announcement
        number = running.begin_attempt(shard_ref, announcement.id, is_probe=is_probe)
        now = self._clock.monotonic()
        key = (running.request_id, number)
        latency_class = latency.LatencyClass(
            service=shard_ref.service, kind=running.submitted.kind
        )
        subscriber_id = running.submitted.subscriber_id
        estimated_charge = self._ledger.estimate_cost(
            subscriber_id, running.submitted.kind
        )
        self._ledger.charge(subscriber_id, estimated_charge)
        usual = self._latencies.usual(latency_class)
        if over_share_slots:
            target.stats.over_share_ids.add(key)
        else:
            target.stats.in_flight_by_id[key] = upstream_stats.AttemptInFlight(
                sent_at=now, usual=usual
            )
            target.stats.update_in_flight_average(now)
        self._attempts_by_id[key] = Attempt(
            upstream_id=announcement.id,
            incarnation=announcement.incarnation,
            shard_ref=shard_ref,
            subscriber_id=subscriber_id,
            fingerprint=running.fingerprint,
            latency_class=latency_class,
            sent_at=now,
            usual_latency=usual,
            estimated_charge=estimated_charge,
            is_extra=is_extra,
            is_probe=is_probe,
            is_over_share=over_share_slots > 0,
        )
        self._isolation.record_sent(running, number, announcement.id)
        return upstream.SubRequest(
            request_id=running.request_id,
            attempt=number,
            upstream_id=announcement.id,
            incarnation=announcement.incarnation,
            address=announcement.address,
            shard_ref=shard_ref,
            snapshot=running.plan.snapshot,
            partitioning=running.progress_by_shard[shard_ref].target.partitioning,
            deadline=running.deadline,
            kind=running.submitted.kind,
            query=running.submitted.query,
            subscriber_id=subscriber_id,
            standing=running.kind.standing,
            over_share_slots=over_share_slots,
        )


def _needs_attempt(running: query.Query, shard_ref: upstream.ShardRef) -> bool:
    progress = running.progress_by_shard.get(shard_ref)
    if progress is None or progress.settled:
        return False
    return not progress.upstream_ids_by_attempt
