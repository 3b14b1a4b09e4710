"""Outcomes of the callers of a simulated day, and their summary."""

import collections
import dataclasses
import typing
from collections import abc

import msgspec
import numpy

from greengagehaven.experiment import decisions, environment
from greengagehaven.explain import causes

WINDOW_S = 2.0
"""Length of the windows over time in the summary."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Caller:
    """One caller's request, retries after refusals included.

    :param sent_at: when it was first sent, in simulated seconds.
    :param ended_at: when its last answer arrived, its connection was lost or its
        deadline passed, in simulated seconds.
    :param coverage: share of the shards that are in the answer.
    :param refusals: number of earlier refusals or lost connections.
    """

    number: int
    kind: environment.Kind
    zone: str
    sent_at: float
    ended_at: float = 0.0
    fate: causes.Fate | None = None
    cause: causes.Cause = causes.Cause.UNKNOWN
    coverage: float = 0.0
    refusals: int = 0

    @property
    def earned(self) -> float:
        """Return the share of the request's worth that was earned."""
        if self.fate in (causes.Fate.REFUSED, causes.Fate.FAILED, None):
            return 0.0
        is_late = self.ended_at - self.sent_at > self.kind.objective_ms / 1000
        return self.coverage**2 * (self.kind.late_worth if is_late else 1.0)


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of the callers of one kind, zone or window.

    :param asked: number of callers.
    :param earned: share of their worth that was earned.
    """

    key: str
    asked: int
    earned: float
    on_time: int
    late: int
    partial: int
    refused: int
    failed: int


class Loss(msgspec.Struct, frozen=True, kw_only=True):
    """Worth that was lost to one cause.

    :param callers: number of callers that lost worth to it.
    :param lost: lost worth as a share of all worth.
    """

    cause: str
    callers: int
    lost: float


class Result(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Summary of a simulated day; the same seed gives the same bytes.

    :param earned: share of all worth that was earned.
    :param worst_windows: mean share earned in the two worst windows of two seconds.
    :param tail_ms: 50th, 95th and 99th percentile of the latency of answered sweeps.
    :param coverage: mean share of the shards in answers to sweeps.
    :param extra_load: runs beyond one per request and shard, as a share.
    :param connections: number of connections opened to upstreams.
    :param chosen: how upstreams with slow periods were chosen, ``None`` without any.
    :param refusals: number of errors that hosts answered with.
    :param held_refusals: those that came after more than a quarter of the objective.
    :param mean_hold_ms: mean time from sending a request to its refusal.
    :param unavailable_refusals: those because upstreams did not answer.
    :param false_refusals: those of them while enough upstreams worked.
    """

    environment: str
    day: str
    seed: int
    callers: int
    earned: float
    worst_windows: float
    tail_ms: tuple[float, float, float]
    coverage: float
    extra_load: float
    connections: int
    refusals: int
    held_refusals: int
    mean_hold_ms: float
    unavailable_refusals: int
    false_refusals: int
    kinds: tuple[Row, ...]
    zones: tuple[Row, ...]
    windows: tuple[Row, ...]
    losses: tuple[Loss, ...]
    latencies_ms: tuple[float, ...] = ()
    chosen: decisions.DecisionStats | None = None


def summarize(callers: abc.Sequence[Caller], **fields: typing.Any) -> Result:
    """Return the summary of all callers of a day.

    :param fields: the fields of the result that don't follow from the callers.
    """
    windows = _group_rows(
        callers, lambda each: f"{each.sent_at // WINDOW_S * WINDOW_S:.0f}"
    )
    windows.sort(key=lambda row: float(row.key))
    sweeps = [each for each in callers if each.kind.is_sweep]
    answered = [each for each in sweeps if each.coverage > 0]
    latencies = [1000 * (each.ended_at - each.sent_at) for each in answered]
    tail = numpy.percentile(latencies or [0.0], (50, 95, 99))
    worst_shares = sorted(row.earned for row in windows)[:2] or [0.0]
    return Result(
        callers=len(callers),
        earned=_round(_earned(callers)),
        worst_windows=_round(sum(worst_shares) / len(worst_shares)),
        tail_ms=tuple(round(float(each), 1) for each in tail),
        coverage=_round(_mean([each.coverage for each in answered])),
        kinds=tuple(_group_rows(callers, lambda each: each.kind.name)),
        zones=tuple(_group_rows(callers, lambda each: each.zone)),
        windows=tuple(windows),
        losses=_losses(callers),
        latencies_ms=tuple(round(each, 1) for each in latencies),
        **fields,
    )


def _group_rows(
    callers: abc.Iterable[Caller], key_of: abc.Callable[[Caller], str]
) -> list[Row]:
    grouped: dict[str, list[Caller]] = collections.defaultdict(list)
    for each in callers:
        grouped[key_of(each)].append(each)
    return [_build_row(key, group) for key, group in sorted(grouped.items())]


def _build_row(key: str, group: abc.Sequence[Caller]) -> Row:
    counts_by_fate = collections.Counter(each.fate for each in group)
    return Row(
        key=key,
        asked=len(group),
        earned=_round(_earned(group)),
        on_time=counts_by_fate[causes.Fate.ON_TIME],
        late=counts_by_fate[causes.Fate.LATE],
        partial=counts_by_fate[causes.Fate.PARTIAL],
        refused=counts_by_fate[causes.Fate.REFUSED],
        failed=counts_by_fate[causes.Fate.FAILED] + counts_by_fate[None],
    )


def _losses(callers: abc.Sequence[Caller]) -> tuple[Loss, ...]:
    total_worth = sum(each.kind.worth for each in callers) or 1.0
    lost: collections.Counter[str] = collections.Counter()
    counts: collections.Counter[str] = collections.Counter()
    for each in callers:
        if each.earned < 1.0:
            lost[str(each.cause)] += (1.0 - each.earned) * each.kind.worth
            counts[str(each.cause)] += 1
    return tuple(
        Loss(cause=cause, callers=counts[cause], lost=_round(lost_worth / total_worth))
        for cause, lost_worth in sorted(
            lost.items(), key=lambda pair: (-pair[1], pair[0])
        )
    )


def _earned(callers: abc.Iterable[Caller]) -> float:
    total_worth = earned = 0.0
    for each in callers:
        total_worth += each.kind.worth
        earned += each.kind.worth * each.earned
    return earned / total_worth if total_worth else 1.0


def _mean(values: abc.Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _round(value: float) -> float:
    return round(value, 4)
