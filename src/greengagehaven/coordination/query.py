"""One query in progress: its pinned plan and what came of each shard."""

import dataclasses
import typing

import msgspec

from greengagehaven import exceptions
from greengagehaven.coordination import events, plan
from greengagehaven.protocol import search, upstream
from greengagehaven.state import document


@dataclasses.dataclass(kw_only=True, slots=True)
class ShardProgress:
    """What came of one shard of a query.

    :param attempts_by_id: upstream by attempt, for attempts in flight.
    :param probes: attempts in flight that only show how their upstream does;
        nothing waits for them.
    :param tried: upstreams that got an attempt of this shard.
    :param rows: the rows of the one reply that was taken.
    :param missing: why there will be no rows, once that is certain.
    :param hedges: attempts that were sent beside straggling ones.
    """

    target: plan.ShardTarget
    attempts_by_id: dict[int, str] = dataclasses.field(default_factory=dict)
    probes: set[int] = dataclasses.field(default_factory=set)
    tried: set[str] = dataclasses.field(default_factory=set)
    rows: tuple[msgspec.Raw, ...] | None = None
    missing: search.MissingReason | None = None
    hedges: int = 0

    @property
    def settled(self) -> bool:
        """Tell whether the shard is answered or certainly missing."""
        return self.rows is not None or self.missing is not None


class Query:
    """State of one query; it decides nothing about time or upstreams.

    :param submitted: the caller's query.
    :param kind: its kind in the document in force.
    :param pinned: its plan.
    :param deadline: monotonic seconds.
    :param fingerprint: the same for every resend, whatever its services.
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
        self.excluded: frozenset[plan.Version] = frozenset()
        self.restarts = 0
        self.is_overdue = False
        self._last_attempt = 0
        self._possible_runs = 0
        self.pin(pinned)

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.submitted.request_id

    @property
    def requires_complete(self) -> bool:
        """Tell whether a partial search is an error for this caller."""
        if self.submitted.require_complete is not None:
            return self.submitted.require_complete
        return self.kind.coverage is document.CoveragePolicy.COMPLETE

    @property
    def settled(self) -> bool:
        """Tell whether every shard is answered or certainly missing."""
        return self._unsettled == 0

    @property
    def has_missing(self) -> bool:
        """Tell whether a shard is certainly missing."""
        return self._missing > 0

    @property
    def is_late(self) -> bool:
        """Tell whether time ran out for a shard."""
        return any(
            progress.missing is search.MissingReason.TIMEOUT
            for progress in self.progress_by_shard.values()
        )

    @property
    def answered(self) -> int:
        """Return how many shards are answered."""
        progresses = self.progress_by_shard.values()
        return sum(1 for progress in progresses if progress.rows is not None)

    def pin(self, pinned: plan.Plan) -> None:
        """Start, or start over, on a plan; earlier replies are dropped.

        Rows of another snapshot must never stand beside those of this one.
        """
        self.plan = pinned
        self.progress_by_shard = {
            target.ref: ShardProgress(target=target) for target in pinned.targets
        }
        self._unsettled = len(self.progress_by_shard)
        self._missing = 0
        for target in pinned.uncovered:
            self.give_up(target.ref, search.MissingReason.NO_REPLICA)

    def begin_attempt(
        self,
        shard_ref: upstream.ShardRef,
        upstream_id: str,
        *,
        is_probe: bool = False,
    ) -> int:
        """Note an attempt on a shard and return its number."""
        self._last_attempt += 1
        self._possible_runs += 1
        progress = self.progress_by_shard[shard_ref]
        if is_probe:
            progress.probes.add(self._last_attempt)
        else:
            progress.attempts_by_id[self._last_attempt] = upstream_id
        progress.tried.add(upstream_id)
        return self._last_attempt

    def end_attempt(
        self, shard_ref: upstream.ShardRef, attempt: int
    ) -> ShardProgress | None:
        """Take an attempt out of flight.

        :return: the shard's progress, or ``None`` where the attempt belongs to
            an earlier plan or ended before: its reply must not be used.
        """
        progress = self.progress_by_shard.get(shard_ref)
        if progress is None:
            return None
        if attempt in progress.probes:
            progress.probes.discard(attempt)
            return progress
        if progress.attempts_by_id.pop(attempt, None) is None:
            return None
        return progress

    def take_rows(
        self, shard_ref: upstream.ShardRef, rows: tuple[msgspec.Raw, ...]
    ) -> bool:
        """Take the rows of a shard; return whether they were the first."""
        progress = self.progress_by_shard[shard_ref]
        if progress.settled:
            return False
        progress.rows = rows
        self._unsettled -= 1
        return True

    def give_up(
        self, shard_ref: upstream.ShardRef, reason: search.MissingReason
    ) -> None:
        """Count a shard as missing; it may not be answered any more."""
        progress = self.progress_by_shard[shard_ref]
        if progress.settled:
            return
        progress.missing = reason
        self._missing += 1
        self._unsettled -= 1

    def give_up_rest(self, reason: search.MissingReason) -> None:
        """Count every shard that is not settled as missing."""
        for shard_ref in self.progress_by_shard:
            self.give_up(shard_ref, reason)

    def attempts_in_flight(self) -> typing.Iterator[int]:
        """Yield the attempts that have not ended, probes left out."""
        for progress in self.progress_by_shard.values():
            yield from progress.attempts_by_id

    def note_not_run(self) -> None:
        """Count one attempt that certainly was not run."""
        self._possible_runs -= 1

    @property
    def ran(self) -> exceptions.Ran:
        """Return what a refusal may truthfully say."""
        if self._possible_runs == 0:
            return exceptions.Ran.NO
        if self.answered:
            return exceptions.Ran.PARTLY
        return exceptions.Ran.UNKNOWN

    def answer(self) -> search.Answer:
        """Return the answer with what there is and its true coverage."""
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
