"""Sends sub-requests: waiting, room at upstreams, choice, attempts in flight."""

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

MayProbe = typing.Callable[[], bool]

_MAX_PASSED_OVER = 8
"""Sub-requests of one shard that are passed over for a later one that can go."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """A sub-request in flight.

    :param latency_class: sub-requests that take alike.
    :param sent_at: monotonic seconds.
    :param usual: what its class usually takes, in seconds.
    :param charged: upstream time charged for it in advance, in seconds.
    :param extra: whether it is a hedge, a retry or a probe rather than a first
        attempt.
    :param is_probe: whether it was sent to see how its upstream does; it runs
        to its end although another one answers.
    :param is_over_share: whether it may wait at the owner behind all others.
    """

    upstream_id: str
    incarnation: int
    shard_ref: upstream.ShardRef
    subscriber_id: str
    fingerprint: str
    latency_class: latency.LatencyClass
    sent_at: float
    usual: float
    charged: float
    extra: bool
    is_probe: bool = False
    is_over_share: bool = False


class Dispatcher:
    """Attempts of all queries of one host.

    :param planner: knows which upstreams can answer a pinned shard.
    :param usable: whether an upstream may get new work now.
    :param candidates: replicas with room and what was seen of them.
    :param latencies: latency of each class of sub-requests.
    :param queue: order of the sub-requests that wait for room.
    :param ledger: gets charged with what each subscriber uses.
    :param isolation: keeps suspected requests apart.
    :param reserve: keeps subscribers over their share off the last place.
    :param may_probe: takes a probe out of the budget, if there is one.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        directory: directory.DirectoryView,
        planner: plan.Planner,
        usable: plan.Usable,
        candidates: replicas.Replicas,
        latencies: latency.LatencyBook,
        queue: fair_queue.WaitingQueue,
        ledger: usage.UsageLedger,
        reserve: headroom.Headroom,
        isolation: isolation.Isolation,
        may_probe: MayProbe,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._planner = planner
        self._usable = usable
        self._replicas = candidates
        self._latencies = latencies
        self._queue = queue
        self._order = itertools.count()
        self._ledger = ledger
        self._reserve = reserve
        self._isolation = isolation
        self._may_probe = may_probe
        self._attempts_by_id: dict[tuple[str, int], Attempt] = {}

    @property
    def waiting_count(self) -> int:
        """Return how many sub-requests wait for room."""
        return len(self._queue) + self._isolation.parked_count

    @property
    def attempts_by_id(self) -> abc.Mapping[tuple[str, int], Attempt]:
        """Return the attempts in flight by (request id, attempt)."""
        return self._attempts_by_id

    @property
    def stats_by_id(self) -> abc.Mapping[str, upstream_stats.UpstreamStats]:
        """Return what this host has seen of each upstream."""
        return self._replicas.stats_by_id

    def enqueue(self, running: query.Query, shard_ref: upstream.ShardRef) -> None:
        """Let a shard of a query wait for room."""
        self._queue.push(
            fair_queue.Waiting(
                request_id=running.request_id,
                subscriber_id=running.submitted.subscriber_id,
                shard_ref=shard_ref,
                standing=running.kind.standing,
                arrived=running.started,
                since=self._clock.monotonic(),
                order=next(self._order),
            )
        )

    def discard(self, running: query.Query) -> None:
        """Forget what waits of a query that is over."""
        self._queue.discard(running.request_id)

    def holders(
        self, running: query.Query, shard_ref: upstream.ShardRef
    ) -> tuple[str, ...]:
        """Return the untried upstreams that can answer a shard of a query."""
        progress = running.progress_by_shard[shard_ref]
        holders = self._planner.holders(
            progress.target, running.plan.snapshot, usable=self._usable
        )
        if not progress.tried:
            return holders
        return tuple(held for held in holders if held not in progress.tried)

    def send_waiting(
        self,
        shard_refs: abc.Iterable[upstream.ShardRef],
        queries_by_id: abc.Mapping[str, query.Query],
    ) -> list[upstream.SubRequest]:
        """Send what waits for these shards, as far as there is room."""
        batch: list[upstream.SubRequest] = []
        for shard_ref in self._queue.sort(shard_refs):
            self._send_shard(shard_ref, queries_by_id, batch)
        return batch

    def send_extra(
        self, running: query.Query, shard_ref: upstream.ShardRef
    ) -> upstream.SubRequest | None:
        """Send a further attempt at once, where an untried upstream has room."""
        if self._isolation.is_suspect(running):
            return None
        holders = self.holders(running, shard_ref)
        prospect = self._consider(running, shard_ref, holders)
        if not prospect.with_room or prospect.over_share_slots_by_id:
            return None
        target = self._replicas.choose(prospect)
        return self._send(running, shard_ref, target, extra=True)

    def end(self, outcome: upstream.Outcome) -> Attempt | None:
        """Take an attempt out of flight and learn from its outcome.

        :return: the attempt, ``None`` where its outcome had come before.
        """
        key = (outcome.request_id, outcome.attempt)
        attempt = self._attempts_by_id.get(key)
        if attempt is None or attempt.upstream_id != outcome.upstream_id:
            return None
        del self._attempts_by_id[key]
        self._settle_charge(attempt, outcome)
        now = self._clock.monotonic()
        took = now - attempt.sent_at
        is_plain = not attempt.extra and not attempt.is_over_share
        if isinstance(outcome, upstream.Replied) and is_plain:
            self._latencies.observe(attempt.latency_class, took, now)
        slowness = took / attempt.usual
        self._replicas.end(
            key, attempt.incarnation, outcome, slowness, is_probe=attempt.is_probe
        )
        return attempt

    def shards_beside(self, upstream_id: str) -> list[upstream.ShardRef]:
        """Return the shards that an upstream holds, in a random order."""
        announcement = self._directory.upstreams_by_id.get(upstream_id)
        if announcement is None or not self._queue:
            return []
        shard_refs = list({hosted.ref: None for hosted in announcement.shards})
        self._replicas.shuffle(shard_refs)
        return shard_refs

    def upstreams_changed(self) -> None:
        """Look at the directory anew; drop what is known of departed ones."""
        self._replicas.upstreams_changed()

    def _send_shard(
        self,
        shard_ref: upstream.ShardRef,
        queries_by_id: abc.Mapping[str, query.Query],
        batch: list[upstream.SubRequest],
    ) -> None:
        passed_over: list[fair_queue.Waiting] = []
        held_back: set[str] = set()
        while len(passed_over) < _MAX_PASSED_OVER:
            item = self._queue.pop(shard_ref, held_back)
            if item is None:
                break
            running = queries_by_id.get(item.request_id)
            if running is None or not _still_wanted(running, shard_ref):
                continue
            if not self._isolation.may_go(running, shard_ref):
                continue
            holders = self.holders(running, shard_ref)
            crowded = self._isolation.crowded(running)
            if crowded:
                apart = tuple(held for held in holders if held not in crowded)
                if holders and not apart:
                    self._isolation.park(running, shard_ref)
                    continue
                holders = apart
            prospect = self._consider(running, shard_ref, holders)
            if prospect.with_room:
                self._send_item(item, running, prospect, batch)
                continue
            passed_over.append(item)
            if prospect.over_share_slots_by_id:
                held_back.add(item.subscriber_id)
                self._reserve.note_held(item.subscriber_id)
            elif not running.progress_by_shard[shard_ref].tried:
                # It could go to any upstream of the shard: none has room.
                break
        for item in passed_over:
            self._queue.push(item)

    def _send_item(
        self,
        item: fair_queue.Waiting,
        running: query.Query,
        prospect: replicas.Prospect,
        batch: list[upstream.SubRequest],
    ) -> None:
        extra = bool(running.progress_by_shard[item.shard_ref].tried)
        target = self._replicas.choose(prospect)
        slots = prospect.over_share_slots_by_id.get(target.id, 0)
        sub_request = self._send(
            running, item.shard_ref, target, extra=extra, over_share_slots=slots
        )
        batch.append(sub_request)
        self._queue.note_sent(item, self._clock.monotonic())
        if prospect.probe is not None:
            self._probe(running, item.shard_ref, prospect.probe, batch)

    def _probe(
        self,
        running: query.Query,
        shard_ref: upstream.ShardRef,
        target: selection.Candidate,
        batch: list[upstream.SubRequest],
    ) -> None:
        if not running.kind.idempotent or self._isolation.is_suspect(running):
            return
        if not self._may_probe():
            return
        target.stats.probed_at = self._clock.monotonic()
        batch.append(self._send(running, shard_ref, target, extra=True, is_probe=True))

    def _consider(
        self,
        running: query.Query,
        shard_ref: upstream.ShardRef,
        holders: tuple[str, ...],
    ) -> replicas.Prospect:
        subscriber_id = running.submitted.subscriber_id
        if not self._reserve.is_over_share(subscriber_id):
            return self._replicas.consider(holders)
        target = running.progress_by_shard[shard_ref].target
        slots_by_id = self._reserve.allot(
            shard_ref,
            subscriber_id,
            self._replicas.alive(target.upstream_ids),
            self._clock.monotonic(),
        )
        if not slots_by_id:
            return self._replicas.consider(holders)
        return self._replicas.consider_over_share(holders, slots_by_id)

    def _settle_charge(self, attempt: Attempt, outcome: upstream.Outcome) -> None:
        """Put the measured upstream time in place of the estimate.

        What was never run costs nothing. Where the owner tells how long the
        upstream took, waiting at the owner is not charged: those who wait
        longest would seem to use most.
        """
        elapsed = self._clock.monotonic() - attempt.sent_at
        if isinstance(outcome, upstream.Replied) and outcome.took is not None:
            elapsed = outcome.took
        if isinstance(outcome, upstream.Failed) and outcome.not_run:
            self._ledger.charge(attempt.subscriber_id, -attempt.charged)
            return
        self._ledger.charge(attempt.subscriber_id, elapsed - attempt.charged)
        self._ledger.learn(attempt.subscriber_id, attempt.latency_class.kind, elapsed)

    def _send(
        self,
        running: query.Query,
        shard_ref: upstream.ShardRef,
        target: selection.Candidate,
        *,
        extra: bool,
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
        charged = self._ledger.estimate(subscriber_id, running.submitted.kind)
        self._ledger.charge(subscriber_id, charged)
        usual = self._latencies.usual(latency_class)
        if over_share_slots:
            target.stats.over_share_ids.add(key)
        else:
            target.stats.outstanding_by_id[key] = upstream_stats.Outstanding(
                sent_at=now, usual=usual
            )
            target.stats.note_in_flight(now)
        self._attempts_by_id[key] = Attempt(
            upstream_id=announcement.id,
            incarnation=announcement.incarnation,
            shard_ref=shard_ref,
            subscriber_id=subscriber_id,
            fingerprint=running.fingerprint,
            latency_class=latency_class,
            sent_at=now,
            usual=usual,
            charged=charged,
            extra=extra,
            is_probe=is_probe,
            is_over_share=over_share_slots > 0,
        )
        self._isolation.note_sent(running, number, announcement.id)
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


def _still_wanted(running: query.Query, shard_ref: upstream.ShardRef) -> bool:
    progress = running.progress_by_shard.get(shard_ref)
    if progress is None or progress.settled:
        return False
    return not progress.attempts_by_id
