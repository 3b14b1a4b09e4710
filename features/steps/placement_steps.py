"""Steps about which upstream gets a request, under a simulated load."""

import behave

from fakes import load, routing

USUAL_LATENCY_S = 0.02
SLOW_FACTOR = 10
GAP_S = 1.0


def set_up_host(context, shards):
    names = [f"shard-{number}" for number in range(shards)]
    context.tier = routing.RouterHarness(burst=100.0)
    context.tier.apply_routing_table(
        routing.routing_table(1, routing.sweep_route(names))
    )
    for name in names:
        for number in range(3):
            entry = routing.upstream_entry(
                f"{name}-u{number}", name, zone="abc"[number]
            )
            context.tier.apply_upstream_entries(entry)
    return names


@behave.given("a host among many that gets a sweep over {shards:d} shards each second")
def given_host(context, shards):
    names = set_up_host(context, shards)
    # These are in the host's own zone, which it prefers.
    context.slow_ids = {f"{name}-u0" for name in names[::2]}
    context.is_slow = False

    def work_of(send, now):
        is_slow = context.is_slow and send.upstream_id in context.slow_ids
        return USUAL_LATENCY_S * (SLOW_FACTOR if is_slow else 1)

    context.load = load.Load(tier=context.tier, work_of=work_of)
    context.load.run(count=10, gap_s=GAP_S)


@behave.when("one upstream in six takes ten times as long for {seconds:d} seconds")
def when_slow(context, seconds):
    context.is_slow = True
    context.slow_since = context.load.now
    context.load.run(count=seconds, gap_s=GAP_S)


@behave.when("all upstreams take the usual time for {seconds:d} seconds")
def when_recovered(context, seconds):
    context.is_slow = False
    context.load.run(count=seconds, gap_s=GAP_S)


def share_of_slow(context, seconds):
    since = context.load.now - seconds
    recent = [send for moment, send in context.load.sends if moment >= since]
    return sum(send.upstream_id in context.slow_ids for send in recent) / len(recent)


@behave.then("no slow upstream got a third attempt within {seconds:d} seconds")
def then_no_third_attempt(context, seconds):
    moments_by_id = {}
    for moment, send in context.load.sends:
        if moment >= context.slow_since and send.upstream_id in context.slow_ids:
            moments_by_id.setdefault(send.upstream_id, []).append(moment)
    third_gaps = [
        moments[2] - moments[1]
        for moments in moments_by_id.values()
        if len(moments) > 2
    ]
    assert moments_by_id, "no slow upstream got an attempt"
    assert all(gap >= seconds for gap in third_gaps), third_gaps


@behave.then(
    "at least {least:d} in 100 of the attempts of the last {seconds:d} seconds went "
    "to the upstreams that had been slow"
)
def then_used_again(context, least, seconds):
    share = share_of_slow(context, seconds)
    assert share >= least / 100, share


@behave.then("at most {most:d} answer lacked parts")
def then_complete(context, most):
    assert context.load.partial <= most, context.load.partial


@behave.given("a host that gets {rate:d} sweeps a second over {shards:d} shards")
def given_busy_host(context, rate, shards):
    set_up_host(context, shards)
    context.gap_s = 1.0 / rate


@behave.when(
    "of each shard's upstreams either the one of its own zone or the others take "
    "{slow:d} ms, not {fast:d} ms"
)
def when_either(context, slow, fast):
    def work_of(send, now):
        shard, _, upstream = send.upstream_id.rpartition("-")
        is_own = upstream == "u0"
        is_own_slow = int(shard.removeprefix("shard-")) % 2 == 0
        return (slow if is_own == is_own_slow else fast) / 1000

    run_load(context, work_of)


@behave.when(
    "the upstreams of its own zone take {own:d} ms and those of other zones {other:d} "
    "ms"
)
def when_zones_take(context, own, other):
    def work_of(send, now):
        return (own if send.upstream_id.endswith("-u0") else other) / 1000

    run_load(context, work_of)


def run_load(context, work_of):
    simulated = load.Load(tier=context.tier, work_of=work_of)
    simulated.run(count=50, gap_s=context.gap_s)
    before = len(simulated.sends)
    first_number = context.tier.next_number
    simulated.run(count=100, gap_s=context.gap_s)
    first_choices = {}
    for _, send in simulated.sends[before:]:
        if send.number >= first_number:
            shard = send.upstream_id.rpartition("-")[0]
            first_choices.setdefault((send.number, shard), send.upstream_id)
    own_zone = [each.endswith("-u0") for each in first_choices.values()]
    context.own_share = sum(own_zone) / len(own_zone)


@behave.then("at least 9 in 10 of the first attempts stay in its own zone")
def then_most_stay(context):
    assert context.own_share >= 0.9, context.own_share


@behave.then("at most 1 in 5 of the first attempts stay in its own zone")
def then_few_stay(context):
    assert context.own_share <= 0.2, context.own_share
