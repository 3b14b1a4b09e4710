"""Sends sub-requests: waiting, room at upstreams, choice, attempts in flight."""

import dataclasses
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven import rng as rng_module
from greengagehaven.coordination import (
    limits,
    plan,
    query,
    selection,
    upstream_stats,
    waiting,
)
from greengagehaven.protocol import upstream
from greengagehaven.state import directory


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """A sub-request in flight.

    :param sent_at: monotonic seconds.
    :param extra: whether it is a hedge or a retry rather than a first attempt.
    """

    upstream_id: str
    incarnation: int
    shard_ref: upstream.ShardRef
    subscriber_id: str
    sent_at: float
    extra: bool


class Dispatcher:
    """Attempts of all queries of one host.

    :param planner: knows which upstreams can answer a pinned shard.
    :param usable: whether an upstream may get new work now.
    :param queue: order of the sub-requests that wait for room.
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
        queue: waiting.WaitingQueue,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._planner = planner
        self._usable = usable
        self._limits = upstream_limits
        self._queue = queue
        self._attempts_by_id: dict[tuple[str, int], Attempt] = {}
        self._stats_by_id: dict[str, upstream_stats.UpstreamStats] = {}

    @property
    def waiting_count(self) -> int:
        """Return how many sub-requests wait for room."""
        return len(self._queue)

    def enqueue(self, running: query.Query, shard_ref: upstream.ShardRef) -> None:
        """Let a shard of a query wait for room."""
        self._queue.push(
            waiting.Waiting(
                request_id=running.request_id,
                subscriber_id=running.submitted.subscriber_id,
                shard_ref=shard_ref,
                standing=running.kind.standing,
            )
        )

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
        for shard_ref in shard_refs:
            self._send_shard(shard_ref, queries_by_id, batch)
        return batch

    def send_extra(
        self, running: query.Query, shard_ref: upstream.ShardRef
    ) -> upstream.SubRequest | None:
        """Send a further attempt at once, where an untried upstream has room."""
        upstream_id = self._choose(self.holders(running, shard_ref))
        if upstream_id is None:
            return None
        return self._send(running, shard_ref, upstream_id, extra=True)

    def end(self, outcome: upstream.Outcome) -> Attempt | None:
        """Take an attempt out of flight and learn from its outcome.

        :return: the attempt, ``None`` where its outcome had come before.
        """
        key = (outcome.request_id, outcome.attempt)
        attempt = self._attempts_by_id.pop(key, None)
        if attempt is None:
            return None
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
        blocked: list[waiting.Waiting] = []
        while (item := self._queue.pop(shard_ref)) is not None:
            running = queries_by_id.get(item.request_id)
            if running is None or not _still_wanted(running, shard_ref):
                continue
            upstream_id = self._choose(self.holders(running, shard_ref))
            if upstream_id is None:
                blocked.append(item)
                break
            extra = bool(running.progress_by_shard[shard_ref].tried)
            batch.append(self._send(running, shard_ref, upstream_id, extra=extra))
        for item in blocked:
            self._queue.push(item)

    def _choose(self, upstream_ids: abc.Sequence[str]) -> str | None:
        with_room = []
        for upstream_id in upstream_ids:
            announcement = self._directory.upstreams_by_id[upstream_id]
            stats = self._stats_of(announcement)
            if self._limits.has_room(announcement, stats.in_flight):
                with_room.append(upstream_id)
        if not with_room:
            return None
        return selection.choose(with_room, stats_by_id=self._stats_by_id, rng=self._rng)

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
        self._attempts_by_id[(running.request_id, number)] = Attempt(
            upstream_id=upstream_id,
            incarnation=announcement.incarnation,
            shard_ref=shard_ref,
            subscriber_id=running.submitted.subscriber_id,
            sent_at=self._clock.monotonic(),
            extra=extra,
        )
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
