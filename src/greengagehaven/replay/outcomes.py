"""Holds what a replay did against the outcomes that its trace states."""

import fnmatch
import functools
import typing

import ddsketch

from greengagehaven.coordination import events
from greengagehaven.protocol import trace
from greengagehaven.replay import hosts, player, reader, upstreams

_RELATIVE_ACCURACY = 0.01


def find_missed(recorded: reader.Trace, played: player.Player) -> list[str]:
    """Return one line for each outcome that was missed.

    :param recorded: the trace.
    :param played: its finished run.
    """
    missed = [f"invariant: {violation}" for violation in played.violations]
    missed.extend(_find_endless(played))
    for numbered in recorded.expectations:
        reason = _judge(numbered.line, played)
        if reason is not None:
            missed.append(f"line {numbered.number}: {reason}")
    return missed


def _find_endless(played: player.Player) -> list[str]:
    """Every request that reached a live host must end by its deadline."""
    lost = played.lost_request_ids
    return [
        f"invariant: {request_id} never ended"
        for request_id in played.searches_by_id
        if request_id not in played.endings_by_id and request_id not in lost
    ]


@functools.singledispatch
def _judge(line: typing.Any, played: player.Player) -> str | None:
    raise TypeError(f"no judgement of {type(line)}")


@_judge.register
def _judge_answer(line: trace.ExpectAnswer, played: player.Player) -> str | None:
    endings = _endings(line.request, played)
    good = [ending for ending in endings.values() if _is_expected(line, ending)]
    return _judge_share("answered as stated", line, len(good), len(endings))


@_judge.register
def _judge_refusal(line: trace.ExpectRefusal, played: player.Player) -> str | None:
    endings = _endings(line.request, played)
    good = [
        ending
        for ending in endings.values()
        if ending is not None
        and ending.at <= line.at
        and isinstance(ending.result, events.RefuseQuery)
        and ending.result.error.code == line.code
        and line.ran in (None, str(ending.result.error.ran))
    ]
    return _judge_share(f"refused as {line.code}", line, len(good), len(endings))


@_judge.register
def _judge_latency(line: trace.ExpectLatency, played: player.Player) -> str | None:
    sketch = ddsketch.DDSketch(_RELATIVE_ACCURACY)
    for request_id, ending in _endings(line.request, played).items():
        if ending is not None and isinstance(ending.result, events.AnswerQuery):
            started = played.searches_by_id[request_id][0]
            sketch.add((ending.at - started) * 1000)
    if not sketch.count:
        return f"no request {line.request}* was answered"
    value = sketch.get_quantile_value(line.quantile)
    if value <= line.at_most_ms:
        return None
    return f"quantile {line.quantile} is {value:.1f} ms, at most {line.at_most_ms} ms"


@_judge.register
def _judge_no_work(line: trace.ExpectNoWork, played: player.Player) -> str | None:
    count = len(_arrivals(line, played))
    return None if count == 0 else f"{count} sub-requests came, expected none"


@_judge.register
def _judge_work(line: trace.ExpectWork, played: player.Player) -> str | None:
    count = len(_arrivals(line, played))
    if count >= line.at_least:
        return None
    return f"{count} sub-requests came, expected at least {line.at_least}"


@_judge.register
def _judge_concurrency(
    line: trace.ExpectConcurrency, played: player.Player
) -> str | None:
    highest = max(
        (arrival.concurrency for arrival in _arrivals(line, played)), default=0
    )
    if highest <= line.at_most:
        return None
    return f"{highest} sub-requests at once, at most {line.at_most}"


@_judge.register
def _judge_runs(line: trace.ExpectRuns, played: player.Player) -> str | None:
    runs: dict[object, int] = {}
    for arrival in played.fleet.arrivals:
        if arrival.ran and arrival.idempotency_key == line.idempotency_key:
            place = arrival.sub_request.shard_ref
            runs[place] = runs.get(place, 0) + 1
    highest = max(runs.values(), default=0)
    if highest <= line.at_most:
        return None
    return f"ran {highest} times on one shard, at most {line.at_most}"


@_judge.register
def _judge_extra_load(line: trace.ExpectExtraLoad, played: player.Player) -> str | None:
    first = {
        (arrival.sub_request.request_id, arrival.sub_request.shard_ref)
        for arrival in played.fleet.arrivals
    }
    extra = len(played.fleet.arrivals) - len(first)
    share = extra / len(first) if first else 0.0
    if share <= line.at_most:
        return None
    return f"extra load is {share:.3f}, at most {line.at_most}"


@_judge.register
def _judge_crashes(line: trace.ExpectCrashes, played: player.Player) -> str | None:
    crashes = played.fleet.crashes
    if crashes <= line.at_most:
        return None
    return f"{crashes} upstreams crashed, at most {line.at_most}"


@_judge.register
def _judge_changes(line: trace.ExpectChanges, played: player.Player) -> str | None:
    accepted = 0
    for change_id in line.change_ids:
        results = [
            record
            for at, record in played.results_by_change_id.get(change_id, ())
            if at <= line.at
        ]
        if len(results) != line.results:
            return f"change {change_id} was answered {len(results)} times"
        if any(record != results[0] for record in results):
            return f"change {change_id} got different results"
        accepted += results[0].accepted
        if not results[0].accepted and line.refused_code not in (None, results[0].code):
            return f"change {change_id} was refused as {results[0].code}"
    if accepted == line.accepted:
        return None
    return f"{accepted} of {line.change_ids} accepted, expected {line.accepted}"


@_judge.register
def _judge_revision(line: trace.ExpectRevision, played: player.Player) -> str | None:
    behind = []
    for host_id in played.live_host_ids:
        if not any(fnmatch.fnmatchcase(host_id, each) for each in line.hosts):
            continue
        held = [
            each.revision
            for each in played.revisions
            if each.host_id == host_id and each.at <= line.at
        ]
        if max(held, default=0) < line.revision:
            behind.append(f"{host_id} at {max(held, default=0)}")
    return f"behind revision {line.revision}: {', '.join(behind)}" if behind else None


def _judge_share(what: str, line: typing.Any, good: int, total: int) -> str | None:
    if total and good >= line.share * total:
        return None
    return f"{good} of {total} requests {line.request}* {what}, by {line.at} s"


def _is_expected(line: trace.ExpectAnswer, ending: hosts.Ending | None) -> bool:
    if ending is None or ending.at > line.at:
        return False
    if not isinstance(ending.result, events.AnswerQuery):
        return False
    answer = ending.result.answer
    coverage = answer.coverage
    pairs = (
        (line.complete, coverage.complete),
        (line.answered, coverage.answered),
        (line.total, coverage.total),
        (line.snapshot, answer.snapshot),
        (line.rows, len(answer.results)),
    )
    return all(stated in (None, actual) for stated, actual in pairs)


def _endings(prefix: str, played: player.Player) -> dict[str, hosts.Ending | None]:
    """Return the endings of the request with this id, else of this prefix."""
    if prefix in played.searches_by_id:
        return {prefix: played.endings_by_id.get(prefix)}
    return {
        request_id: played.endings_by_id.get(request_id)
        for request_id in played.searches_by_id
        if request_id.startswith(prefix)
    }


def _arrivals(line: typing.Any, played: player.Player) -> list[upstreams.Arrival]:
    return [
        arrival
        for arrival in played.fleet.arrivals
        if line.at <= arrival.at < line.until
        and any(
            fnmatch.fnmatchcase(arrival.upstream_id, pattern)
            for pattern in line.upstreams
        )
    ]
