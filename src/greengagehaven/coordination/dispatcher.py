"""Sends sub-requests: waiting, room at upstreams, choice, attempts in flight."""

import dataclasses
import itertools
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven import rng as rng_module
from greengagehaven.coordination import (
    fair_queue,
    headroom,
    isolation,
    limits,
    plan,
    query,
    selection,
    upstream_stats,
    usage,
)
from greengagehaven.protocol import upstream
from greengagehaven.state import directory

_MAX_PASSED_OVER = 8
"""Sub-requests of one shard that are passed over for a later one that can go."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """A sub-request in flight.

    :param sent_at: monotonic seconds.
    :param charged: upstream time charged for it in advance, in seconds.
    :param extra: whether it is a hedge or a retry rather than a first attempt.
    """

    upstream_id: str
    incarnation: int
    shard_ref: upstream.ShardRef
    subscriber_id: str
    kind: str
    fingerprint: str
    sent_at: float
    charged: float
    extra: bool


class Dispatcher:
    """Attempts of all queries of one host.

    :param planner: knows which upstreams can answer a pinned shard.
    :param usable: whether an upstream may get new work now.
    :param queue: order of the sub-requests that wait for room.
    :param ledger: gets charged with what each subscriber uses.
    :param isolation: keeps suspected requests apart.
    :param reserve: keeps subscribers over their share off the last place.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        rng: rng_module.Rng,
        directory: directory.DirectoryView,
        planner: plan.Planner,
        usable: plan.Usable,
        upstream_limits: limits.Limits,
        queue: fair_queue.WaitingQueue,
        ledger: usage.UsageLedger,
        reserve: headroom.Headroom,
        isolation: isolation.Isolation,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._planner = planner
        self._usable = usable
        self._limits = upstream_limits
        self._queue = queue
        self._order = itertools.count()
        self._ledger = ledger
        self._reserve = reserve
        self._isolation = isolation
        self._attempts_by_id: dict[tuple[str, int], Attempt] = {}
        self._stats_by_id: dict[str, upstream_stats.UpstreamStats] = {}

    @property
    def waiting_count(self) -> int:
        """Return how many sub-requests wait for room."""
        return len(self._queue) + self._isolation.parked_count

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
        with_room = self._with_room(self.holders(running, shard_ref))
        if not with_room or self._must_leave(running, shard_ref, with_room):
            return None
        return self._send(running, shard_ref, self._choose(with_room), extra=True)

    def end(self, outcome: upstream.Outcome) -> Attempt | None:
        """Take an attempt out of flight and learn from its outcome.

        :return: the attempt, ``None`` where its outcome had come before.
        """
        key = (outcome.request_id, outcome.attempt)
        attempt = self._attempts_by_id.pop(key, None)
        if attempt is None:
            return None
        self._settle_charge(attempt)
        stats = self._stats_by_id.get(attempt.upstream_id)
        if stats is None or stats.incarnation != attempt.incarnation:
            return attempt
        stats.in_flight -= 1
        if isinstance(outcome, upstream.Replied):
            stats.record_reply(self._clock.monotonic() - attempt.sent_at)
        elif outcome.reason is not upstream.FailureReason.CANCELLED:
            stats.record_failure()
        return attempt

    def shards_beside(self, upstream_id: str) -> list[upstream.ShardRef]:
        """Return the shards that an upstream holds, in a random order."""
        announcement = self._directory.upstreams_by_id.get(upstream_id)
        if announcement is None:
            return []
        shard_refs = list({hosted.ref: None for hosted in announcement.shards})
        self._rng.shuffle(shard_refs)
        return shard_refs

    def forget_departed(self) -> None:
        """Drop observations of upstreams that left the directory."""
        live = self._directory.upstreams_by_id
        for upstream_id in [known for known in self._stats_by_id if known not in live]:
            del self._stats_by_id[upstream_id]

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
            with_room = self._with_room(self.holders(running, shard_ref))
            crowded = self._isolation.crowded(running)
            if crowded.intersection(with_room):
                with_room = [held for held in with_room if held not in crowded]
                if not with_room:
                    self._isolation.park(running, shard_ref)
                    continue
            if with_room and not self._must_leave(running, shard_ref, with_room):
                self._send_item(item, running, with_room, batch)
                continue
            passed_over.append(item)
            if with_room:
                held_back.add(item.subscriber_id)
                continue
            self._reserve.note_wait(
                shard_ref, item.subscriber_id, self._clock.monotonic()
            )
            if not running.progress_by_shard[shard_ref].tried:
                # It could go to any upstream of the shard: none has room.
                break
        for item in passed_over:
            self._queue.push(item)

    def _send_item(
        self,
        item: fair_queue.Waiting,
        running: query.Query,
        with_room: abc.Sequence[str],
        batch: list[upstream.SubRequest],
    ) -> None:
        extra = bool(running.progress_by_shard[item.shard_ref].tried)
        upstream_id = self._choose(with_room)
        batch.append(self._send(running, item.shard_ref, upstream_id, extra=extra))
        self._queue.note_sent(item, self._clock.monotonic())

    def _must_leave(
        self,
        running: query.Query,
        shard_ref: upstream.ShardRef,
        with_room: abc.Sequence[str],
    ) -> bool:
        holders = running.progress_by_shard[shard_ref].target.upstream_ids
        stats = (self._stats_by_id.get(upstream_id) for upstream_id in holders)
        return self._reserve.must_leave(
            shard_ref,
            running.submitted.subscriber_id,
            free=len(with_room),
            busy=sum(known.in_flight for known in stats if known is not None),
            now=self._clock.monotonic(),
        )

    def _with_room(self, upstream_ids: abc.Sequence[str]) -> list[str]:
        with_room = []
        for upstream_id in upstream_ids:
            announcement = self._directory.upstreams_by_id[upstream_id]
            stats = self._stats_of(announcement)
            if self._limits.has_room(announcement, stats.in_flight):
                with_room.append(upstream_id)
        return with_room

    def _choose(self, with_room: abc.Sequence[str]) -> str:
        return selection.choose(with_room, stats_by_id=self._stats_by_id, rng=self._rng)

    def _settle_charge(self, attempt: Attempt) -> None:
        """Put the measured upstream time in place of the estimate."""
        elapsed = self._clock.monotonic() - attempt.sent_at
        self._ledger.charge(attempt.subscriber_id, elapsed - attempt.charged)
        self._ledger.learn(attempt.subscriber_id, attempt.kind, elapsed)

    def _stats_of(
        self, announcement: upstream.Announcement
    ) -> upstream_stats.UpstreamStats:
        stats = self._stats_by_id.get(announcement.id)
        if stats is None or stats.incarnation != announcement.incarnation:
            stats = upstream_stats.UpstreamStats(incarnation=announcement.incarnation)
            self._stats_by_id[announcement.id] = stats
        return stats

    def _send(
        self,
        running: query.Query,
        shard_ref: upstream.ShardRef,
        upstream_id: str,
        *,
        extra: bool,
    ) -> upstream.SubRequest:
        announcement = self._directory.upstreams_by_id[upstream_id]
        number = running.begin_attempt(shard_ref, upstream_id)
        self._stats_of(announcement).in_flight += 1
        subscriber_id = running.submitted.subscriber_id
        charged = self._ledger.estimate(subscriber_id, running.submitted.kind)
        self._ledger.charge(subscriber_id, charged)
        self._attempts_by_id[(running.request_id, number)] = Attempt(
            upstream_id=upstream_id,
            incarnation=announcement.incarnation,
            shard_ref=shard_ref,
            subscriber_id=subscriber_id,
            kind=running.submitted.kind,
            fingerprint=running.fingerprint,
            sent_at=self._clock.monotonic(),
            charged=charged,
            extra=extra,
        )
        self._isolation.note_sent(running, number, upstream_id)
        return upstream.SubRequest(
            request_id=running.request_id,
            attempt=number,
            upstream_id=upstream_id,
            incarnation=announcement.incarnation,
            address=announcement.address,
            shard_ref=shard_ref,
            snapshot=running.plan.snapshot,
            partitioning=running.progress_by_shard[shard_ref].target.partitioning,
            deadline=running.deadline,
            kind=running.submitted.kind,
            query=running.submitted.query,
        )


def _still_wanted(running: query.Query, shard_ref: upstream.ShardRef) -> bool:
    progress = running.progress_by_shard.get(shard_ref)
    if progress is None or progress.settled:
        return False
    return not progress.attempts_by_id
