"""Steps about hosts that are cut off from the other availability zones."""

import behave

from fakes import routing
from greengagehaven.coordination.routing import events

SHARDS = [f"shard-{number}" for number in range(4)]
LOCAL = "local"
GAP_S = 0.05
MAX_WAIT_S = 5.0


def set_up_router(context, shard_zones):
    context.tier = routing.RouterHarness()
    context.is_unreachable = lambda upstream_id: False
    context.answered = set()
    sweep = routing.sweep_route(SHARDS)
    single = routing.single_route((LOCAL, 1.0))
    context.tier.apply_routing_table(routing.routing_table(1, sweep, single))
    for service, zones in [*((name, shard_zones) for name in SHARDS), (LOCAL, "abc")]:
        for zone in zones:
            entry = routing.upstream_entry(f"{service}-{zone}", service, zone=zone)
            context.tier.apply_upstream_entries(entry)


@behave.given("a router in a zone without upstreams of the shards")
def given_no_own_upstreams(context):
    set_up_router(context, "bc")


@behave.given("a router in a zone with an upstream of each shard")
def given_own_upstreams(context):
    set_up_router(context, "abc")


@behave.when("nothing outside its zone responds")
def when_cut(context):
    context.is_unreachable = lambda upstream_id: not upstream_id.endswith("-a")


@behave.when("no upstream of the shards responds")
def when_shards_lost(context):
    context.is_unreachable = lambda upstream_id: upstream_id.startswith("shard-")


@behave.when("the other zones respond again")
def when_reachable(context):
    context.is_unreachable = lambda upstream_id: False


def run_interval(context):
    """Send a sweep; reachable upstreams answer their attempts and probes."""
    context.number = context.tier.request("/sweep/1")
    for send in list(context.tier.sent):
        is_unanswered = send.attempt not in context.answered
        if is_unanswered and not context.is_unreachable(send.upstream_id):
            context.answered.add(send.attempt)
            context.tier.answer_attempt(send)
    context.tier.advance_clock(GAP_S)
    probed, context.tier.probed = context.tier.probed, []
    for upstream_id in probed:
        is_unreachable = context.is_unreachable(upstream_id)
        listener = (
            events.Listener.NO_RESPONSE if is_unreachable else events.Listener.OPEN
        )
        context.tier.step(
            events.UpstreamProbed(upstream_id=upstream_id, listener=listener)
        )


@behave.when("sweeps arrive for {seconds:d} second")
@behave.when("sweeps arrive for {seconds:d} seconds")
def when_sweeps(context, seconds):
    for _ in range(round(seconds / GAP_S)):
        run_interval(context)


@behave.when("sweeps arrive until the host is cut off")
def when_until_cut_off(context):
    for _ in range(round(MAX_WAIT_S / GAP_S)):
        run_interval(context)
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
    ending = context.tier.final_actions_by_number[context.number]
    assert isinstance(ending, events.AnswerParts), ending


@behave.then(
    "the next sweep is refused with a retry-after of {least:g} to {most:g} seconds"
)
def then_retry_after(context, least, most):
    number = context.tier.request("/sweep/1")
    ending = context.tier.final_actions_by_number[number]
    assert isinstance(ending, events.Refuse), ending
    assert least <= ending.error.retry_after <= most, ending.error.retry_after
