"""Steps about the moment of a hedge."""

import behave

from fakes import load, routing
from greengagehaven.coordination.routing import events, mechanisms

STILL_S = 0.5


@behave.given(
    "a sweep over {shards:d} shards whose parts take {usual:d} ms, or {slow:d} ms at "
    "some"
)
def given_sweep(context, shards, usual, slow):
    names = [f"shard-{number}" for number in range(shards)]
    # The bound by the objective has scenarios of its own.
    used = mechanisms.Mechanisms(timely_hedging=False)
    put_sweep(context, names, used)
    play_usual(context, usual, slow)


def put_sweep(context, names, used):
    context.tier = routing.RoutingTier(burst=1000.0, used=used)
    context.tier.put_table(routing.table(1, routing.sweep_route(names)))
    for name in names:
        for zone in "ab":
            context.tier.put(routing.entry(f"{name}-{zone}", name, zone=zone))


def play_usual(context, usual, slow):
    context.is_still, context.still = False, ""
    sent = [0]

    def work_of(send, now):
        if context.is_still and send.upstream_id.startswith("shard-0-"):
            # The one that is asked first stands still, whichever that is.
            context.still = context.still or send.upstream_id
            if send.upstream_id == context.still:
                return STILL_S
        sent[0] += 1
        return (slow if sent[0] % 10 == 0 else usual) / 1000

    context.load = load.Load(tier=context.tier, work_of=work_of)
    context.load.play(count=60, gap_s=0.1)


@behave.when("one of its upstreams stands still")
def when_still(context):
    context.is_still = True
    context.load.play(count=1, gap_s=STILL_S)


@behave.then("another one is asked after {least:d} to {most:d} ms")
def then_asked(context, least, most):
    sends = [
        (moment, send)
        for moment, send in context.load.sends
        if send.upstream_id.startswith("shard-0-")
    ][-2:]
    (first, asked), (second, hedge) = sends
    assert asked.number == hedge.number, sends
    assert asked.upstream_id == context.still != hedge.upstream_id, sends
    assert least <= 1000 * (second - first) <= most, second - first


@behave.given(
    "a busy host with a sweep over {shards:d} shards whose parts take {usual:d} ms"
)
def given_busy(context, shards, usual):
    names = [f"shard-{number}" for number in range(shards)]
    put_sweep(context, names, mechanisms.Mechanisms())
    play_usual(context, usual, 2 * usual)


@behave.then("the sweep is answered with all parts, within the objective of 100 ms")
def then_in_time(context):
    number = max(context.tier.endings_by_number)
    ending = context.tier.endings_by_number[number]
    assert isinstance(ending, events.AnswerParts) and not ending.missing, ending
    assert context.load.latencies[-1] < routing.OBJECTIVE_S
