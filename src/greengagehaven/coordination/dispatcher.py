"""Sends sub-requests: waiting, room at upstreams, choice, attempts in flight."""

import dataclasses
import typing
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven.coordination import (
    latency,
    limits,
    plan,
    query,
    selection,
    upstream_stats,
    waiting,
)
from greengagehaven.protocol import upstream
from greengagehaven.state import directory

_HEALTHY_FAILURES = frozenset(
    {
        upstream.FailureReason.CANCELLED,
        upstream.FailureReason.WRONG_VERSION,
    }
)

MayProbe = typing.Callable[[], bool]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """A sub-request in flight.

    :param latency_class: sub-requests that take alike.
    :param sent_at: monotonic seconds.
    :param usual: what its class usually takes, in seconds.
    :param extra: whether it is a hedge, a retry or a probe rather than a first
        attempt.
    :param is_probe: whether it was sent to see how its upstream does; it runs
        to its end although another one answers.
    """

    upstream_id: str
    incarnation: int
    shard_ref: upstream.ShardRef
    subscriber_id: str
    latency_class: latency.LatencyClass
    sent_at: float
    usual: float
    extra: bool
    is_probe: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Choice:
    """Where a sub-request goes, and which replica is due for a probe."""

    target: selection.Candidate
    probe: selection.Candidate | None = None


class Dispatcher:
    """Attempts of all queries of one host.

    :param planner: knows which upstreams can answer a pinned shard.
    :param usable: whether an upstream may get new work now.
    :param upstream_limits: room of this host at each upstream.
    :param selector: chooses among replicas.
    :param latencies: latency of each class of sub-requests.
    :param queue: order of the sub-requests that wait for room.
    :param may_probe: takes a probe out of the budget, if there is one.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        directory: directory.DirectoryView,
        planner: plan.Planner,
        usable: plan.Usable,
        upstream_limits: limits.Limits,
        selector: selection.Selector,
        latencies: latency.LatencyBook,
        queue: waiting.WaitingQueue,
        may_probe: MayProbe,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._planner = planner
        self._usable = usable
        self._limits = upstream_limits
        self._selector = selector
        self._latencies = latencies
        self._queue = queue
        self._may_probe = may_probe
        self._attempts_by_id: dict[tuple[str, int], Attempt] = {}
        self._stats_by_id: dict[str, upstream_stats.UpstreamStats] = {}
        self._candidates_by_ids: dict[
            tuple[str, ...], tuple[selection.Candidate, ...]
        ] = {}

    @property
    def waiting_count(self) -> int:
        """Return how many sub-requests wait for room."""
        return len(self._queue)

    @property
    def attempts_by_id(self) -> abc.Mapping[tuple[str, int], Attempt]:
        """Return the attempts in flight by (request id, attempt)."""
        return self._attempts_by_id

    @property
    def stats_by_id(self) -> abc.Mapping[str, upstream_stats.UpstreamStats]:
        """Return what this host has seen of each upstream."""
        return self._stats_by_id

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
        for shard_ref in shard_refs:
            self._send_shard(shard_ref, queries_by_id, batch)
        return batch

    def send_extra(
        self, running: query.Query, shard_ref: upstream.ShardRef
    ) -> upstream.SubRequest | None:
        """Send a further attempt at once, where an untried upstream has room."""
        choice = self._choose(running, shard_ref)
        if choice is None:
            return None
        return self._send(running, shard_ref, choice.target, extra=True)

    def end(self, outcome: upstream.Outcome) -> Attempt | None:
        """Take an attempt out of flight and learn from its outcome.

        :return: the attempt, ``None`` where its outcome had come before.
        """
        key = (outcome.request_id, outcome.attempt)
        attempt = self._attempts_by_id.get(key)
        if attempt is None or attempt.upstream_id != outcome.upstream_id:
            return None
        del self._attempts_by_id[key]
        now = self._clock.monotonic()
        took = now - attempt.sent_at
        if isinstance(outcome, upstream.Replied) and not attempt.extra:
            self._latencies.observe(attempt.latency_class, took, now)
        stats = self._stats_by_id.get(attempt.upstream_id)
        if stats is None or stats.incarnation != attempt.incarnation:
            return attempt
        stats.outstanding_by_id.pop(key, None)
        _learn(stats, outcome, took / attempt.usual, now)
        return attempt

    def shards_beside(self, upstream_id: str) -> list[upstream.ShardRef]:
        """Return the shards that an upstream holds, in a random order."""
        if not self._queue:
            return []
        announcement = self._directory.upstreams_by_id.get(upstream_id)
        if announcement is None:
            return []
        shard_refs = list({hosted.ref: None for hosted in announcement.shards})
        self._selector.shuffle(shard_refs)
        return shard_refs

    def upstreams_changed(self) -> None:
        """Look at the directory anew; drop what is known of departed ones."""
        self._candidates_by_ids.clear()
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
            choice = self._choose(running, shard_ref)
            if choice is None:
                blocked.append(item)
                break
            extra = bool(running.progress_by_shard[shard_ref].tried)
            batch.append(self._send(running, shard_ref, choice.target, extra=extra))
            if choice.probe is not None:
                self._probe(running, shard_ref, choice.probe, batch)
        for item in blocked:
            self._queue.push(item)

    def _probe(
        self,
        running: query.Query,
        shard_ref: upstream.ShardRef,
        target: selection.Candidate,
        batch: list[upstream.SubRequest],
    ) -> None:
        if not running.kind.idempotent or not self._may_probe():
            return
        target.stats.probed_at = self._clock.monotonic()
        batch.append(self._send(running, shard_ref, target, extra=True, is_probe=True))

    def _choose(
        self, running: query.Query, shard_ref: upstream.ShardRef
    ) -> _Choice | None:
        candidates = self._candidates(self.holders(running, shard_ref))
        if not candidates:
            return None
        now = self._clock.monotonic()
        fit = self._selector.fit(candidates, now)
        with_room = [
            each
            for each in fit
            if self._limits.has_room(each.announcement, each.stats, now)
        ]
        if not with_room:
            return None
        target = self._selector.choose(with_room, now)
        probe = None
        if len(fit) < len(candidates):
            probe = self._selector.probe_target(candidates, fit, now)
        return _Choice(target=target, probe=probe)

    def _candidates(
        self, upstream_ids: tuple[str, ...]
    ) -> tuple[selection.Candidate, ...]:
        candidates = self._candidates_by_ids.get(upstream_ids)
        if candidates is None:
            candidates = tuple(
                selection.Candidate(
                    announcement=announcement, stats=self._stats_of(announcement)
                )
                for upstream_id in upstream_ids
                if (announcement := self._directory.upstreams_by_id.get(upstream_id))
            )
            self._candidates_by_ids[upstream_ids] = candidates
        return candidates

    def _stats_of(
        self, announcement: upstream.Announcement
    ) -> upstream_stats.UpstreamStats:
        stats = self._stats_by_id.get(announcement.id)
        if stats is None or stats.incarnation != announcement.incarnation:
            stats = upstream_stats.UpstreamStats(
                incarnation=announcement.incarnation,
                known_since=self._clock.monotonic(),
            )
            self._stats_by_id[announcement.id] = stats
        return stats

    def _send(
        self,
        running: query.Query,
        shard_ref: upstream.ShardRef,
        target: selection.Candidate,
        *,
        extra: bool,
        is_probe: bool = False,
    ) -> upstream.SubRequest:
        announcement = target.announcement
        number = running.begin_attempt(shard_ref, announcement.id, is_probe=is_probe)
        now = self._clock.monotonic()
        key = (running.request_id, number)
        latency_class = latency.LatencyClass(
            service=shard_ref.service, kind=running.submitted.kind
        )
        usual = self._latencies.usual(latency_class)
        target.stats.outstanding_by_id[key] = upstream_stats.Outstanding(
            sent_at=now, usual=usual
        )
        self._attempts_by_id[key] = Attempt(
            upstream_id=announcement.id,
            incarnation=announcement.incarnation,
            shard_ref=shard_ref,
            subscriber_id=running.submitted.subscriber_id,
            latency_class=latency_class,
            sent_at=now,
            usual=usual,
            extra=extra,
            is_probe=is_probe,
        )
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
        )


def _learn(
    stats: upstream_stats.UpstreamStats,
    outcome: upstream.Outcome,
    slowness: float,
    now: float,
) -> None:
    if isinstance(outcome, upstream.Replied):
        stats.record_reply(slowness, now)
        if outcome.load is not None:
            stats.record_load(outcome.load.in_flight + outcome.load.queued, now)
        return
    stats.record_abandoned(slowness, now)
    if outcome.reason is upstream.FailureReason.TIMEOUT and outcome.not_run:
        return
    if outcome.reason not in _HEALTHY_FAILURES:
        stats.record_failure(now)


def _still_wanted(running: query.Query, shard_ref: upstream.ShardRef) -> bool:
    progress = running.progress_by_shard.get(shard_ref)
    if progress is None or progress.settled:
        return False
    return not progress.attempts_by_id
