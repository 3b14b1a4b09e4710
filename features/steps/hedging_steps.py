"""Steps about when a shard is hedged."""

import behave

from fakes import load, routing
from greengagehaven.coordination.routing import events, mechanisms

STALL_S = 0.5


@behave.given(
    "a sweep over {shards:d} shards whose parts take {usual:d} ms, and {slow:d} ms for "
    "every tenth"
)
def given_sweep(context, shards, usual, slow):
    names = [f"shard-{number}" for number in range(shards)]
    # The limit by the objective has its own scenario.
    used = mechanisms.Mechanisms(timely_hedging=False)
    set_up_router(context, names, used)
    run_usual_load(context, usual, slow)


def set_up_router(context, names, used):
    context.tier = routing.RouterHarness(burst=1000.0, used=used)
    context.tier.apply_routing_table(
        routing.routing_table(1, routing.sweep_route(names))
    )
    for name in names:
        for zone in "ab":
            context.tier.apply_upstream_entries(
                routing.upstream_entry(f"{name}-{zone}", name, zone=zone)
            )


def run_usual_load(context, usual, slow):
    context.is_stalling, context.stalled_id = False, ""
    request_count = [0]

    def work_of(send, now):
        if context.is_stalling and send.upstream_id.startswith("shard-0-"):
            # The upstream that gets the first attempt stalls, whichever it is.
            context.stalled_id = context.stalled_id or send.upstream_id
            if send.upstream_id == context.stalled_id:
                return STALL_S
        request_count[0] += 1
        return (slow if request_count[0] % 10 == 0 else usual) / 1000

    context.load = load.Load(tier=context.tier, work_of=work_of)
    context.load.run(count=60, gap_s=0.1)


@behave.when("one of its upstreams stalls")
def when_stalls(context):
    context.is_stalling = True
    context.load.run(count=1, gap_s=STALL_S)


@behave.then("the shard is hedged on another upstream after {least:d} to {most:d} ms")
def then_hedged(context, least, most):
    sends = [
        (moment, send)
        for moment, send in context.load.sends
        if send.upstream_id.startswith("shard-0-")
    ][-2:]
    (first, attempt), (second, hedge) = sends
    assert attempt.number == hedge.number, sends
    assert attempt.upstream_id == context.stalled_id != hedge.upstream_id, sends
    assert least <= 1000 * (second - first) <= most, second - first


@behave.given(
    "a busy host with a sweep over {shards:d} shards whose parts take {usual:d} ms"
)
def given_busy(context, shards, usual):
    names = [f"shard-{number}" for number in range(shards)]
    set_up_router(context, names, mechanisms.Mechanisms())
    run_usual_load(context, usual, 2 * usual)


@behave.then("the sweep is answered with all parts, within the objective of 100 ms")
def then_within_objective(context):
    number = max(context.tier.final_actions_by_number)
    ending = context.tier.final_actions_by_number[number]
    assert isinstance(ending, events.AnswerParts) and not ending.missing, ending
    assert context.load.latencies[-1] < routing.OBJECTIVE_S
