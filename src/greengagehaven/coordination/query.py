"""State of one query in progress: its plan and the progress of each shard."""

import dataclasses
import typing

import msgspec

from greengagehaven import exceptions
from greengagehaven.coordination import events, plan
from greengagehaven.protocol import search, upstream
from greengagehaven.state import document


@dataclasses.dataclass(kw_only=True, slots=True)
class ShardProgress:
    """Progress of one shard of a query.

    :param target: the shard in the plan of the query.
    :param upstream_ids_by_attempt: upstream of each attempt in flight, without
        probes.
    :param probe_attempts: probes in flight. They measure their upstreams; the
        query does not wait for them.
    :param tried_upstream_ids: upstreams that were sent an attempt of this shard.
    :param rows: the rows of the first reply.
    :param missing: why the shard is missing, once it is given up.
    :param hedge_count: number of hedges sent.
    """

    target: plan.ShardTarget
    upstream_ids_by_attempt: dict[int, str] = dataclasses.field(default_factory=dict)
    probe_attempts: set[int] = dataclasses.field(default_factory=set)
    tried_upstream_ids: set[str] = dataclasses.field(default_factory=set)
    rows: tuple[msgspec.Raw, ...] | None = None
    missing: search.MissingReason | None = None
    hedge_count: int = 0

    @property
    def settled(self) -> bool:
        """Return whether the shard is answered or given up as missing."""
        return self.rows is not None or self.missing is not None


class Query:
    """State of one query; when and where its attempts are sent is decided elsewhere.

    :param submitted: the caller's query.
    :param kind: its kind in the current environment document.
    :param pinned: its plan.
    :param started: when it was admitted, in monotonic seconds.
    :param deadline: monotonic seconds.
    :param fingerprint: identifies the query across resends; it does not depend
        on the requested services.
    """

    def __init__(
        self,
        *,
        submitted: events.QuerySubmitted,
        kind: document.Kind,
        pinned: plan.Plan,
        started: float,
        deadline: float,
        fingerprint: str = "",
    ) -> None:
        self.submitted = submitted
        self.kind = kind
        self.started = started
        self.deadline = deadline
        self.fingerprint = fingerprint
        self.excluded_versions: frozenset[plan.Version] = frozenset()
        self.restart_count = 0
        self.answers_on_next_reply = False
        self._last_attempt = 0
        self._possible_runs = 0
        self.pin(pinned)

    @property
    def request_id(self) -> str:
        """Return the request id."""
        return self.submitted.request_id

    @property
    def requires_complete(self) -> bool:
        """Return whether this caller gets an error instead of a partial result."""
        if self.submitted.require_complete is not None:
            return self.submitted.require_complete
        return self.kind.coverage is document.CoveragePolicy.COMPLETE

    @property
    def settled(self) -> bool:
        """Return whether every shard is answered or given up as missing."""
        return self._unsettled_count == 0

    @property
    def has_missing(self) -> bool:
        """Return whether a shard was given up as missing."""
        return self._missing_count > 0

    @property
    def has_timed_out(self) -> bool:
        """Return whether a shard is missing because of a timeout."""
        return any(
            progress.missing is search.MissingReason.TIMEOUT
            for progress in self.progress_by_shard.values()
        )

    @property
    def answered_count(self) -> int:
        """Return the number of shards that are answered."""
        progresses = self.progress_by_shard.values()
        return sum(1 for progress in progresses if progress.rows is not None)

    def pin(self, pinned: plan.Plan) -> None:
        """Start or restart the query on a plan and discard earlier replies.

        An answer must not mix rows of different snapshots.
        """
        self.plan = pinned
        self.progress_by_shard = {
            target.ref: ShardProgress(target=target) for target in pinned.targets
        }
        self._unsettled_count = len(self.progress_by_shard)
        self._missing_count = 0
        for target in pinned.uncovered:
            self.mark_missing(target.ref, search.MissingReason.NO_REPLICA)

    def begin_attempt(
        self,
        shard_ref: upstream.ShardRef,
        upstream_id: str,
        *,
        is_probe: bool = False,
    ) -> int:
        """Record a new attempt for a shard and return its number."""
        self._last_attempt += 1
        self._possible_runs += 1
        progress = self.progress_by_shard[shard_ref]
        if is_probe:
            progress.probe_attempts.add(self._last_attempt)
        else:
            progress.upstream_ids_by_attempt[self._last_attempt] = upstream_id
        progress.tried_upstream_ids.add(upstream_id)
        return self._last_attempt

    def end_attempt(
        self, shard_ref: upstream.ShardRef, attempt: int
    ) -> ShardProgress | None:
        """Remove an attempt from flight.

        :return: the shard's progress, or ``None`` if the attempt belongs to an
            earlier plan or has already ended, so that its reply must not be used.
        """
        progress = self.progress_by_shard.get(shard_ref)
        if progress is None:
            return None
        if attempt in progress.probe_attempts:
            progress.probe_attempts.discard(attempt)
            return progress
        if progress.upstream_ids_by_attempt.pop(attempt, None) is None:
            return None
        return progress

    def set_rows(
        self, shard_ref: upstream.ShardRef, rows: tuple[msgspec.Raw, ...]
    ) -> bool:
        """Store the rows of a shard; return ``False`` if it is settled already."""
        progress = self.progress_by_shard[shard_ref]
        if progress.settled:
            return False
        progress.rows = rows
        self._unsettled_count -= 1
        return True

    def mark_missing(
        self, shard_ref: upstream.ShardRef, reason: search.MissingReason
    ) -> None:
        """Give up a shard as missing, unless it is settled already."""
        progress = self.progress_by_shard[shard_ref]
        if progress.settled:
            return
        progress.missing = reason
        self._missing_count += 1
        self._unsettled_count -= 1

    def mark_rest_missing(self, reason: search.MissingReason) -> None:
        """Give up every shard that is not settled."""
        for shard_ref in self.progress_by_shard:
            self.mark_missing(shard_ref, reason)

    def attempts_in_flight(self) -> typing.Iterator[int]:
        """Yield the numbers of the attempts in flight, without probes."""
        for progress in self.progress_by_shard.values():
            yield from progress.upstream_ids_by_attempt

    def record_not_run(self) -> None:
        """Record that an attempt was definitely not run by its upstream."""
        self._possible_runs -= 1

    @property
    def ran(self) -> exceptions.Ran:
        """Return what is known about whether an upstream ran the query."""
        if self._possible_runs == 0:
            return exceptions.Ran.NO
        if self.answered_count:
            return exceptions.Ran.PARTLY
        return exceptions.Ran.UNKNOWN

    def answer(self) -> search.Answer:
        """Return the answer with all rows received so far and its coverage."""
        results = []
        missing = []
        for ref, progress in self.progress_by_shard.items():
            if progress.rows is None:
                missing.append(_describe_missing(ref, progress))
                continue
            results.extend(
                search.ResultRow(service=ref.service, shard=ref.shard, row=row)
                for row in progress.rows
            )
        total = len(self.progress_by_shard)
        coverage = search.Coverage(
            answered=total - len(missing),
            total=total,
            complete=not missing,
            missing=tuple(missing),
        )
        return search.Answer(
            request_id=self.request_id,
            snapshot=self.plan.snapshot,
            results=tuple(results),
            coverage=coverage,
        )


def _describe_missing(
    ref: upstream.ShardRef, progress: ShardProgress
) -> search.MissingShard:
    reason = progress.missing or search.MissingReason.TIMEOUT
    return search.MissingShard(service=ref.service, shard=ref.shard, reason=reason)
