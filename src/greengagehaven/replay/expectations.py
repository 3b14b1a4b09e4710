"""Checks a finished replay against the expectations of its trace."""

import fnmatch
import functools
import typing

import ddsketch

from greengagehaven.coordination import events
from greengagehaven.protocol import trace
from greengagehaven.replay import hosts, player, reader, upstreams

_RELATIVE_ACCURACY = 0.01


def find_unmet(recorded: reader.Trace, played: player.Player) -> list[str]:
    """Return one line for each expectation or invariant that was not met.

    :param recorded: the trace.
    :param played: its finished run.
    """
    missed = [f"invariant: {violation}" for violation in played.violations]
    missed.extend(_find_unfinished(played))
    for numbered in recorded.expectations:
        reason = _check(numbered.line, played)
        if reason is not None:
            missed.append(f"line {numbered.number}: {reason}")
    return missed


def _find_unfinished(played: player.Player) -> list[str]:
    """Return a line for each request that reached a live host and never ended."""
    lost = played.lost_request_ids
    return [
        f"invariant: {request_id} never ended"
        for request_id in played.searches_by_id
        if request_id not in played.endings_by_id and request_id not in lost
    ]


@functools.singledispatch
def _check(line: typing.Any, played: player.Player) -> str | None:
    raise TypeError(f"no check for {type(line)}")


@_check.register
def _check_answer(line: trace.ExpectAnswer, played: player.Player) -> str | None:
    endings = _endings(line.request, played)
    matching = [ending for ending in endings.values() if _is_expected(line, ending)]
    return _check_share("answered as expected", line, len(matching), len(endings))


@_check.register
def _check_refusal(line: trace.ExpectRefusal, played: player.Player) -> str | None:
    endings = _endings(line.request, played)
    matching = [
        ending
        for ending in endings.values()
        if ending is not None
        and ending.at <= line.at
        and isinstance(ending.result, events.RefuseQuery)
        and ending.result.error.code == line.code
        and line.ran in (None, str(ending.result.error.ran))
    ]
    return _check_share(f"refused as {line.code}", line, len(matching), len(endings))


@_check.register
def _check_latency(line: trace.ExpectLatency, played: player.Player) -> str | None:
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
    return (
        f"quantile {line.quantile} is {value:.1f} ms, "
        f"expected at most {line.at_most_ms} ms"
    )


@_check.register
def _check_no_work(line: trace.ExpectNoWork, played: player.Player) -> str | None:
    count = len(_arrivals(line, played))
    return None if count == 0 else f"{count} sub-requests arrived, expected none"


@_check.register
def _check_work(line: trace.ExpectWork, played: player.Player) -> str | None:
    count = len(_arrivals(line, played))
    if count >= line.at_least:
        return None
    return f"{count} sub-requests arrived, expected at least {line.at_least}"


@_check.register
def _check_concurrency(
    line: trace.ExpectConcurrency, played: player.Player
) -> str | None:
    highest = max(
        (arrival.concurrency for arrival in _arrivals(line, played)), default=0
    )
    if highest <= line.at_most:
        return None
    return f"{highest} concurrent sub-requests, expected at most {line.at_most}"


@_check.register
def _check_runs(line: trace.ExpectRuns, played: player.Player) -> str | None:
    runs: dict[object, int] = {}
    for arrival in played.fleet.arrivals:
        if arrival.ran and arrival.idempotency_key == line.idempotency_key:
            shard_ref = arrival.sub_request.shard_ref
            runs[shard_ref] = runs.get(shard_ref, 0) + 1
    highest = max(runs.values(), default=0)
    if highest <= line.at_most:
        return None
    return f"ran {highest} times on one shard, expected at most {line.at_most}"


@_check.register
def _check_extra_load(line: trace.ExpectExtraLoad, played: player.Player) -> str | None:
    first_attempts = {
        (arrival.sub_request.request_id, arrival.sub_request.shard_ref)
        for arrival in played.fleet.arrivals
    }
    extra = len(played.fleet.arrivals) - len(first_attempts)
    share = extra / len(first_attempts) if first_attempts else 0.0
    if share <= line.at_most:
        return None
    return f"extra load is {share:.3f}, expected at most {line.at_most}"


@_check.register
def _check_crashes(line: trace.ExpectCrashes, played: player.Player) -> str | None:
    crashes = played.fleet.crashes
    if crashes <= line.at_most:
        return None
    return f"{crashes} upstreams crashed, expected at most {line.at_most}"


@_check.register
def _check_changes(line: trace.ExpectChanges, played: player.Player) -> str | None:
    accepted = 0
    for change_id in line.change_ids:
        results = [
            record
            for at, record in played.results_by_change_id.get(change_id, ())
            if at <= line.at
        ]
        if len(results) != line.results:
            return f"change {change_id} got {len(results)} results"
        if any(record != results[0] for record in results):
            return f"change {change_id} got different results"
        accepted += results[0].accepted
        if not results[0].accepted and line.refused_code not in (None, results[0].code):
            return f"change {change_id} was refused as {results[0].code}"
    if accepted == line.accepted:
        return None
    return f"{accepted} of {line.change_ids} accepted, expected {line.accepted}"


@_check.register
def _check_revision(line: trace.ExpectRevision, played: player.Player) -> str | None:
    behind = []
    for host_id in played.live_host_ids:
        if not any(fnmatch.fnmatchcase(host_id, each) for each in line.hosts):
            continue
        applied = [
            each.revision
            for each in played.revisions
            if each.host_id == host_id and each.at <= line.at
        ]
        if max(applied, default=0) < line.revision:
            behind.append(f"{host_id} at {max(applied, default=0)}")
    return f"behind revision {line.revision}: {', '.join(behind)}" if behind else None


def _check_share(
    expected: str, line: typing.Any, matching: int, total: int
) -> str | None:
    if total and matching >= line.share * total:
        return None
    return f"{matching} of {total} requests {line.request}* {expected}, by {line.at} s"


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
    return all(expected in (None, actual) for expected, actual in pairs)


def _endings(prefix: str, played: player.Player) -> dict[str, hosts.Ending | None]:
    """Return how requests ended: the one with this id, or all with this prefix.

    A request that has not ended has ``None``.
    """
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
