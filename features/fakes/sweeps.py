"""Helpers for steps that send sweeps through one router."""

from fakes import routing

ZONES = "abc"
SHARD_NAMES = [f"shard-{number}" for number in range(10)]


def upstream_entries(service, count, **fields):
    return [
        routing.upstream_entry(
            f"{service}-u{number}", service, zone=ZONES[number], **fields
        )
        for number in range(count)
    ]


def set_up_sweep_router(
    context,
    shards,
    upstreams,
    *,
    cold_rate=0.0,
    has_budget=True,
    uptime=routing.UPTIME_S,
    **fields,
):
    budget = {} if has_budget else {"burst": 0.0, "ratio": 0.0}
    context.tier = routing.RouterHarness(uptime=uptime, **budget)
    names = SHARD_NAMES[:shards]
    route = routing.sweep_route(names)
    context.tier.apply_routing_table(
        routing.routing_table(1, route, cold_rate=cold_rate)
    )
    for name in names:
        context.tier.apply_upstream_entries(
            *upstream_entries(name, upstreams, **fields)
        )


def fail_attempt(context, index, fault, **fields):
    send = context.tier.attempts_of(context.number)[index]
    context.tier.fail_attempt(send, fault, **fields)


def run_sweep(context, seconds):
    """Send a sweep to one shard and answer it; return the upstream it went to.

    :param seconds: time until the reply.
    """
    number = context.tier.request("/sweep/1")
    (send,) = context.tier.attempts_of(number)
    context.tier.advance_clock(seconds)
    context.tier.answer_attempt(send)
    context.tier.advance_clock(0.01)
    return send.upstream_id
