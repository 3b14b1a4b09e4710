"""The lines that a router logs of a request, with what it knew then."""

import math
from collections import abc

from greengagehaven import log
from greengagehaven.coordination.routing import events, request, upstreams


def tell_plan(
    routed: request.RoutedRequest,
    chosen_by_service: abc.Mapping[str, upstreams.Upstream],
    *,
    table: int,
    now: float,
) -> None:
    """Log a request's route and its first choices, all in one line."""
    plan = []
    for shard in routed.shards:
        chosen = chosen_by_service.get(shard.service)
        described = "none" if chosen is None else _described(chosen, now)
        plan.append(f"{shard.service}>{described}")
    log.info(
        "planned",
        request=routed.request_id,
        route=routed.route.name,
        table=table,
        left_ms=round((routed.deadline - routed.started) * 1000),
        objective_ms=round(routed.route.objective * 1000),
        plan=" ".join(plan),
    )


def tell_refusal(arrived: events.RequestArrived, code: str, *, table: int) -> None:
    """Log that a request was not taken up."""
    log.info(
        "refused",
        request=arrived.request_id,
        code=code,
        host=arrived.host,
        table=table,
    )


def tell_lag(late: float, lag: float) -> None:
    """Log how late an answer at its last moment was written, and what is expected."""
    log.info("answer_lag", late_ms=round(late * 1000, 1), lag_ms=round(lag * 1000, 1))


def tell_delegation(
    routed: request.RoutedRequest, address: str, *, shards: int, shard_seconds: float
) -> None:
    """Log that another host asks some shards.

    :param shard_seconds: that this host was seen to take for each.
    """
    log.info(
        "delegated",
        request=routed.request_id,
        helper=address,
        shards=shards,
        shard_us=round(shard_seconds * 1_000_000),
    )


def tell_extra(
    purpose: str,
    routed: request.RoutedRequest,
    shard: request.ShardState,
    chosen: upstreams.Upstream,
    now: float,
) -> None:
    """Log an attempt beyond the first."""
    log.info(
        purpose,
        request=routed.request_id,
        service=shard.service,
        upstream=_described(chosen, now),
        after_ms=age_ms(now, routed.started),
    )


def tell_failed(
    attempt: request.Attempt, outcome: events.Replied | events.Failed, now: float
) -> None:
    """Log an attempt that brought nothing."""
    log.info(
        "attempt_failed",
        request=attempt.request.request_id,
        service=attempt.shard.service,
        upstream=attempt.upstream.entry.id,
        reason=request.kind_of_failure(outcome),
        detail=getattr(outcome, "detail", ""),
        took_ms=age_ms(now, attempt.sent_at),
    )


def tell_end(
    routed: request.RoutedRequest,
    outcome: str,
    *,
    took: float,
    lag: float,
    detail: str,
) -> None:
    """Log what became of a request.

    :param lag: seconds by which answers were last seen to leave late.
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
        **_arrivals(routed),
        detail=detail,
        is_urgent=outcome != "answered" or took > routed.route.objective,
    )


def age_ms(now: float, moment: float) -> int | None:
    """Return the ms since a moment, ``None`` where it never was."""
    return None if moment == float("-inf") else round((now - moment) * 1000)


def _due_ms(routed: request.RoutedRequest) -> int | None:
    """Return the ms after which an answer with enough parts leaves."""
    left = routed.answer_by - routed.started
    return round(left * 1000) if routed.is_sweep and left < math.inf else None


def _arrivals(routed: request.RoutedRequest) -> dict[str, object]:
    """Return when the parts of a sweep came, and how much they were.

    They tell apart upstreams that take long, attempts that wait for a connection,
    and parts that wait for each other on this host's link: those come evenly, in
    ``bytes`` by the time between the first and the last.
    """
    parts = routed.parts
    if not routed.is_sweep or not parts:
        return {}
    came = sorted(part.replied_at or routed.started for part in parts)
    connected = [(part.started_at or part.sent_at) - part.sent_at for part in parts]
    return {
        "first_ms": age_ms(came[0], routed.started),
        "half_ms": age_ms(came[len(came) // 2], routed.started),
        "last_ms": age_ms(came[-1], routed.started),
        "connected_ms": round(max(connected) * 1000),
        "bytes": sum(part.size for part in parts),
    }


def _described(chosen: upstreams.Upstream, now: float) -> str:
    """Return an upstream with what is known of it, for the log.

    Requests of this host ahead, multiple of the usual time, rate of faults,
    and the age in ms of what it said of its load.
    """
    return (
        f"{chosen.entry.id}:{len(chosen.sent_at_by_attempt)}"
        f":{chosen.slowness:.1f}:{chosen.fault_rate(now):.1f}"
        f":{age_ms(now, chosen.load_at)}"
    )
