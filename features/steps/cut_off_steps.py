"""Steps about hosts that are cut off from the other availability zones."""

import behave

from fakes import routing
from greengagehaven.coordination.routing import events

SHARDS = [f"shard-{number}" for number in range(4)]
LOCAL = "local"
GAP_S = 0.05
LONGEST_S = 5.0


def start(context, shard_zones):
    context.tier = routing.RoutingTier()
    context.is_silent = lambda upstream_id: False
    context.answered = set()
    sweep = routing.sweep_route(SHARDS)
    single = routing.single_route((LOCAL, 1.0))
    context.tier.put_table(routing.table(1, sweep, single))
    for service, zones in [*((name, shard_zones) for name in SHARDS), (LOCAL, "abc")]:
        for zone in zones:
            entry = routing.entry(f"{service}-{zone}", service, zone=zone)
            context.tier.put(entry)


@behave.given("a router in a zone without upstreams of the shards")
def given_without(context):
    start(context, "bc")


@behave.given("a router in a zone with an upstream of each shard")
def given_with(context):
    start(context, "abc")


@behave.when("nothing outside its zone answers any more")
def when_cut(context):
    context.is_silent = lambda upstream_id: not upstream_id.endswith("-a")


@behave.when("no upstream of the shards answers any more")
def when_shards_lost(context):
    context.is_silent = lambda upstream_id: upstream_id.startswith("shard-")


@behave.when("the other zones answer again")
def when_healed(context):
    context.is_silent = lambda upstream_id: False


def pass_gap(context):
    """Let a sweep arrive; upstreams that are not silent reply, also to probes."""
    context.number = context.tier.request("/sweep/1")
    for send in list(context.tier.sent):
        is_open = send.attempt not in context.answered
        if is_open and not context.is_silent(send.upstream_id):
            context.answered.add(send.attempt)
            context.tier.reply(send)
    context.tier.pass_time(GAP_S)
    probed, context.tier.probed = context.tier.probed, []
    for upstream_id in probed:
        silent = context.is_silent(upstream_id)
        listener = events.Listener.SILENT if silent else events.Listener.OPEN
        context.tier.step(
            events.UpstreamProbed(upstream_id=upstream_id, listener=listener)
        )


@behave.when("sweeps arrive for {seconds:d} second")
@behave.when("sweeps arrive for {seconds:d} seconds")
def when_sweeps(context, seconds):
    for _ in range(round(seconds / GAP_S)):
        pass_gap(context)


@behave.when("sweeps arrive until the host is cut off")
def when_until_cut_off(context):
    for _ in range(round(LONGEST_S / GAP_S)):
        pass_gap(context)
        if context.tier.router.is_cut_off:
            return
    raise AssertionError("the host never counted as cut off")


@behave.then("the host is cut off")
def then_cut_off(context):
    assert context.tier.router.is_cut_off


@behave.then("the host is not cut off")
def then_not_cut_off(context):
    assert not context.tier.router.is_cut_off


@behave.then("the last sweep was answered")
def then_answered(context):
    ending = context.tier.endings_by_number[context.number]
    assert isinstance(ending, events.AnswerParts), ending


@behave.then("the next sweep is told to come back after {least:g} to {most:g} seconds")
def then_told(context, least, most):
    number = context.tier.request("/sweep/1")
    ending = context.tier.endings_by_number[number]
    assert isinstance(ending, events.Refuse), ending
    assert least <= ending.error.retry_after <= most, ending.error.retry_after
