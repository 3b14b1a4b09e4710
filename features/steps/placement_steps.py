"""Steps about which upstream gets a request, under a load that is played."""

import behave

from fakes import load, routing

USUAL_S = 0.02
SLOW_FACTOR = 10
GAP_S = 1.0


@behave.given("a host among many that gets a sweep over {shards:d} shards each second")
def given_host(context, shards):
    names = [f"shard-{number}" for number in range(shards)]
    context.tier = routing.RoutingTier(burst=100.0)
    context.tier.put_table(routing.table(1, routing.sweep_route(names)))
    for name in names:
        for number in range(3):
            entry = routing.entry(f"{name}-u{number}", name, zone="abc"[number])
            context.tier.put(entry)
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
