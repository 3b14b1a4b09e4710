"""Steps about upstreams that cannot be reached."""

import behave

from fakes import routing, sweeps
from greengagehaven.coordination.routing import events


@behave.given("no upstream of the first two shards responds")
def given_unreachable(context):
    context.unreachable_shards = ("shard-0", "shard-1")


@behave.when("the upstreams of the first two shards are reachable again")
def when_reachable(context):
    context.unreachable_shards = ()


@behave.when("{count:d} sweeps arrive {gap:d} ms apart")
def when_sweeps_apart(context, count, gap):
    context.numbers = []
    context.moments = []
    answered = set()
    for _ in range(count):
        started_at = context.tier.clock.monotonic()
        number = context.tier.request("/sweep/1")
        context.numbers.append(number)
        context.moments.append(started_at)
        answer_reachable(context, answered)
        context.tier.advance_clock(gap / 1000)
        answer_reachable(context, answered)


def answer_reachable(context, answered):
    """Answer the attempts and probes of all reachable upstreams."""
    for send in list(context.tier.sent):
        is_unreachable = send.upstream_id.startswith(
            tuple(context.unreachable_shards) or ("none",)
        )
        if send.attempt not in answered and not is_unreachable:
            answered.add(send.attempt)
            context.tier.answer_attempt(send)
    answer_probes(context)


def answer_probes(context):
    """Answer the probes; those of unreachable upstreams get no response."""
    probed, context.tier.probed = context.tier.probed, []
    for upstream_id in probed:
        is_unreachable = upstream_id.startswith(
            tuple(context.unreachable_shards) or ("none",)
        )
        listener = (
            events.Listener.NO_RESPONSE if is_unreachable else events.Listener.OPEN
        )
        context.tier.step(
            events.UpstreamProbed(upstream_id=upstream_id, listener=listener)
        )


@behave.then("the last {count:d} of them were refused immediately with a retry-after")
def then_refused_at_once(context, count):
    for number in context.numbers[-count:]:
        ending = context.tier.final_actions_by_number[number]
        assert isinstance(ending, events.Refuse), ending
        assert ending.error.code in ("incomplete", "upstreams_failed"), ending
        assert ending.error.retry_after > 0


@behave.then("the last {count:d} of them were answered completely")
def then_answered_completely(context, count):
    for number in context.numbers[-count:]:
        ending = context.tier.final_actions_by_number[number]
        assert isinstance(ending, events.AnswerParts) and not ending.missing, ending


@behave.given("a router with a route to a single service")
def given_single(context):
    context.tier = routing.RouterHarness()
    route = routing.single_route(("one", 1.0), attempts=1)
    context.tier.apply_routing_table(routing.routing_table(1, route))
    context.tier.apply_upstream_entries(*sweeps.upstream_entries("one", 3))


@behave.when("a request to the single service arrives")
def when_single(context):
    context.number = context.tier.request("/single/1")


@behave.when("{count:d} ms pass while its upstream accepts connections")
def when_ms_pass_probed(context, count):
    context.unreachable_shards = ()
    for _ in range(count // 50):
        context.tier.advance_clock(0.05)
        answer_probes(context)
