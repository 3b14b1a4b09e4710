"""Log lines of a request, with the state of upstreams that its routing relied on."""

import math
from collections import abc

from greengagehaven import exceptions, log
from greengagehaven.coordination.routing import events, request, upstreams
from greengagehaven.coordination.shared_budgets import reply_waits

MAX_LOGGED_SHARDS = 8
"""Unavailable shards named in one log line; a cut-off zone may hide hundreds."""


def log_plan(
    routed: request.RoutedRequest,
    chosen_by_service: abc.Mapping[str, upstreams.Upstream],
    *,
    table: int,
    now: float,
) -> None:
    """Log a request's route and the upstreams chosen for its first attempts.

    :param table: number of the routing table in force.
    """
    plan = []
    for shard in routed.shards:
        chosen = chosen_by_service.get(shard.service)
        formatted = "none" if chosen is None else _format_upstream(chosen, now)
        plan.append(f"{shard.service}>{formatted}")
    log.info(
        "planned",
        request=routed.request_id,
        route=routed.route.name,
        team=routed.team_id,
        table=table,
        age_ms=round((now - routed.started_at) * 1000, 1),
        left_ms=round((routed.deadline - routed.started_at) * 1000),
        objective_ms=round(routed.route.objective * 1000),
        plan=" ".join(plan),
    )


def log_refusal(
    arrived: events.RequestArrived, error: exceptions.RequestError, *, table: int
) -> None:
    """Log that a request was refused, and what that was based on."""
    log.info(
        "refused",
        request=arrived.request_id,
        code=error.code,
        host=arrived.host,
        table=table,
        detail=error.detail,
        **error.log_fields,
    )


def log_usage_wait(
    arrived: events.RequestArrived, outcome: reply_waits.Outcome
) -> None:
    """Log that a request was admitted after it had waited for newer usage totals."""
    log.info(
        "usage_waited",
        request=arrived.request_id,
        team=outcome.team.id,
        waited_ms=round(outcome.waited * 1000, 1),
    )


def log_lag(late: float, lag: float) -> None:
    """Log how late an answer was written, and the lag that is now expected.

    :param late: seconds after its scheduled time.
    :param lag: estimated seconds for the next answer.
    """
    log.info("answer_lag", late_ms=round(late * 1000, 1), lag_ms=round(lag * 1000, 1))


def log_delegation(
    routed: request.RoutedRequest, address: str, *, shards: int, shard_seconds: float
) -> None:
    """Log that another host sends the requests to some shards.

    :param address: of that host.
    :param shard_seconds: time that this host itself spends on a shard, as measured.
    """
    log.info(
        "delegated",
        request=routed.request_id,
        helper=address,
        shards=shards,
        shard_us=round(shard_seconds * 1_000_000),
    )


def log_unavailable(
    routed: request.RoutedRequest,
    decision: str,
    ages_ms_by_service: abc.Mapping[str, int],
) -> None:
    """Log what is done with a request whose shards have no upstream that answers.

    At most ``MAX_LOGGED_SHARDS`` of the shards are named.

    :param decision: ``refused``, ``sent_as_probe`` or ``ended``.
    :param ages_ms_by_service: milliseconds since any of its upstreams last replied.
    """
    named = list(ages_ms_by_service.items())[:MAX_LOGGED_SHARDS]
    log.info(
        "unavailable",
        request=routed.request_id,
        decision=decision,
        shards=len(ages_ms_by_service),
        parts=routed.part_count,
        needed=routed.route.min_shards if routed.is_sweep else 1,
        of=len(routed.shards),
        replied_ms_ago=",".join(f"{service}:{age}" for service, age in named),
    )


def log_extra_attempt(
    purpose: str,
    routed: request.RoutedRequest,
    shard: request.ShardState,
    chosen: upstreams.Upstream,
    now: float,
) -> None:
    """Log an attempt beyond the first, e.g. a hedge.

    :param purpose: the log event, which says why it is sent.
    """
    log.info(
        purpose,
        request=routed.request_id,
        service=shard.service,
        upstream=_format_upstream(chosen, now),
        after_ms=age_ms(now, routed.started_at),
    )


def log_failed_attempt(
    attempt: request.Attempt, outcome: events.Replied | events.Failed, now: float
) -> None:
    """Log an attempt that failed."""
    log.info(
        "attempt_failed",
        request=attempt.request.request_id,
        service=attempt.shard.service,
        upstream=attempt.upstream.entry.id,
        reason=request.failure_reason(outcome),
        detail=getattr(outcome, "detail", ""),
        took_ms=age_ms(now, attempt.sent_at),
    )


def log_end(
    routed: request.RoutedRequest,
    outcome: str,
    *,
    took: float,
    lag: float,
    detail: str,
) -> None:
    """Log the outcome of a request.

    :param took: seconds from its arrival.
    :param lag: estimated seconds by which answers are written too late.
    """
    log.info(
        "ended",
        request=routed.request_id,
        route=routed.route.name,
        outcome=outcome,
        parts=len(routed.parts),
        missing=",".join(
            f"{shard.service}:{shard.failure or 'waiting'}"
            for shard in routed.shards
            if shard.part is None
        ),
        sends=sum(shard.sends for shard in routed.shards),
        took_ms=round(took * 1000),
        due_ms=_due_ms(routed),
        lag_ms=round(lag * 1000, 1),
        **_part_fields(routed),
        detail=detail,
        is_urgent=outcome != "answered" or took > routed.route.objective,
    )


def age_ms(now: float, moment: float) -> int | None:
    """Return the milliseconds since a moment, ``None`` if it is minus infinity."""
    return None if moment == float("-inf") else round((now - moment) * 1000)


def _due_ms(routed: request.RoutedRequest) -> int | None:
    """Return the ms from arrival at which a sweep with enough parts is answered."""
    left = routed.answer_by - routed.started_at
    return round(left * 1000) if routed.is_sweep and left < math.inf else None


def _part_fields(routed: request.RoutedRequest) -> dict[str, object]:
    """Return the arrival times and the total size of a sweep's parts.

    These tell apart slow upstreams, attempts that waited for a connection, parts that
    helpers held back, and parts that queued on this host's link. Queued parts arrive
    evenly, and ``bytes`` divided by the time between the first and the last is the
    throughput of the link.
    """
    parts = routed.parts
    if not routed.is_sweep or not parts:
        return {}
    arrived_at = sorted(part.replied_at or routed.started_at for part in parts)
    connect_seconds = [
        (part.started_at or part.sent_at) - part.sent_at for part in parts
    ]
    held_seconds = sorted(part.held_s for part in parts if part.helper_address)
    return {
        "first_ms": age_ms(arrived_at[0], routed.started_at),
        "half_ms": age_ms(arrived_at[len(arrived_at) // 2], routed.started_at),
        "last_ms": age_ms(arrived_at[-1], routed.started_at),
        "connected_ms": round(max(connect_seconds) * 1000),
        "helped": len(held_seconds),
        "held_ms": (
            round(held_seconds[len(held_seconds) // 2] * 1000) if held_seconds else None
        ),
        "bytes": sum(part.size for part in parts),
    }


def _format_upstream(chosen: upstreams.Upstream, now: float) -> str:
    """Return an upstream's id and state for the log.

    The state consists of this host's requests in flight to it, its latency as a
    multiple of the usual one, its fault rate and the age of its load report in ms, and
    the work time expected of it as a multiple of the usual one if it reports one.
    """
    work_time = ""
    if chosen.work_time.reported_at > -math.inf:
        work_time = f":{chosen.work_time.expected(now):.1f}"
    return (
        f"{chosen.entry.id}:{len(chosen.sent_at_by_attempt)}"
        f":{chosen.slowness:.1f}:{chosen.fault_rate(now):.1f}"
        f":{age_ms(now, chosen.load_at)}{work_time}"
    )
