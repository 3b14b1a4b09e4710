"""Steps about which upstream gets a request, under a load that is played."""

import behave

from fakes import load, routing

USUAL_S = 0.02
SLOW_FACTOR = 10
GAP_S = 1.0


def start_host(context, shards):
    names = [f"shard-{number}" for number in range(shards)]
    context.tier = routing.RoutingTier(burst=100.0)
    context.tier.put_table(routing.table(1, routing.sweep_route(names)))
    for name in names:
        for number in range(3):
            entry = routing.entry(f"{name}-u{number}", name, zone="abc"[number])
            context.tier.put(entry)
    return names


@behave.given("a host among many that gets a sweep over {shards:d} shards each second")
def given_host(context, shards):
    names = start_host(context, shards)
    # Those of the own zone, which the host prefers.
    context.slow = {f"{name}-u0" for name in names[::2]}
    context.is_slow = False

    def work_of(send, now):
        is_slow = context.is_slow and send.upstream_id in context.slow
        return USUAL_S * (SLOW_FACTOR if is_slow else 1)

    context.load = load.Load(tier=context.tier, work_of=work_of)
    context.load.play(count=10, gap_s=GAP_S)


@behave.when("one upstream in six takes ten times as long for {seconds:d} seconds")
def when_slow(context, seconds):
    context.is_slow = True
    context.slow_since = context.load.now
    context.load.play(count=seconds, gap_s=GAP_S)


@behave.when("all take as long as usual for {seconds:d} seconds")
def when_well(context, seconds):
    context.is_slow = False
    context.load.play(count=seconds, gap_s=GAP_S)


def share_of_slow(context, seconds):
    since = context.load.now - seconds
    late = [send for moment, send in context.load.sends if moment >= since]
    return sum(send.upstream_id in context.slow for send in late) / len(late)


@behave.then("no slow one was asked a third time within {seconds:d} seconds")
def then_not_asked(context, seconds):
    moments_by_id = {}
    for moment, send in context.load.sends:
        if moment >= context.slow_since and send.upstream_id in context.slow:
            moments_by_id.setdefault(send.upstream_id, []).append(moment)
    thirds = [m[2] - m[1] for m in moments_by_id.values() if len(m) > 2]
    assert moments_by_id, "none was asked at all"
    assert all(gap >= seconds for gap in thirds), thirds


@behave.then(
    "at least {least:d} in 100 of the attempts of the last {seconds:d} seconds went "
    "to them"
)
def then_back(context, least, seconds):
    share = share_of_slow(context, seconds)
    assert share >= least / 100, share


@behave.then("at most {most:d} answer left parts out")
def then_whole(context, most):
    assert context.load.partial <= most, context.load.partial


@behave.given("a host that gets {rate:d} sweeps a second over {shards:d} shards")
def given_busy_host(context, rate, shards):
    start_host(context, shards)
    context.gap_s = 1.0 / rate


@behave.when(
    "of each shard's upstreams either those of its own zone or the others take "
    "{slow:d} ms instead of {fast:d} ms"
)
def when_either(context, slow, fast):
    def work_of(send, now):
        shard, _, upstream = send.upstream_id.rpartition("-")
        is_own = upstream == "u0"
        is_own_slow = int(shard.removeprefix("shard-")) % 2 == 0
        return (slow if is_own == is_own_slow else fast) / 1000

    play_firsts(context, work_of)


@behave.when(
    "those of its own zone take {own:d} ms and those of other zones {other:d} ms"
)
def when_they_take(context, own, other):
    def work_of(send, now):
        return (own if send.upstream_id.endswith("-u0") else other) / 1000

    play_firsts(context, work_of)


def play_firsts(context, work_of):
    played = load.Load(tier=context.tier, work_of=work_of)
    played.play(count=50, gap_s=context.gap_s)
    before = len(played.sends)
    numbers = context.tier.next_number
    played.play(count=100, gap_s=context.gap_s)
    firsts = {}
    for _, send in played.sends[before:]:
        if send.number >= numbers:
            shard = send.upstream_id.rpartition("-")[0]
            firsts.setdefault((send.number, shard), send.upstream_id)
    own_zone = [each.endswith("-u0") for each in firsts.values()]
    context.own_share = sum(own_zone) / len(own_zone)


@behave.then("at least 9 in 10 of the first attempts stay in its own zone")
def then_most_stay(context):
    assert context.own_share >= 0.9, context.own_share


@behave.then("at most 1 in 5 of the first attempts stay in its own zone")
def then_few_stay(context):
    assert context.own_share <= 0.2, context.own_share
