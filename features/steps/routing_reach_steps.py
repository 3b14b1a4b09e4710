"""Steps about upstreams that cannot be reached."""

import behave

from fakes import routing, sweeps
from greengagehaven.coordination.routing import events


@behave.given("the first two shards answer nothing from now on")
def given_silent(context):
    context.silent = ("shard-0", "shard-1")


@behave.when("the upstreams of the first two shards can be reached again")
def when_reached(context):
    context.silent = ()


@behave.when("{count:d} sweeps arrive {gap:d} ms apart")
def when_sweeps_apart(context, count, gap):
    context.numbers = []
    context.moments = []
    answered = set()
    for _ in range(count):
        before = context.tier.clock.monotonic()
        number = context.tier.request("/sweep/1")
        context.numbers.append(number)
        context.moments.append(before)
        answer_audible(context, answered)
        context.tier.pass_time(gap / 1000)
        answer_audible(context, answered)


def answer_audible(context, answered):
    """Reply for every upstream that is not silent, and to its probes."""
    for send in list(context.tier.sent):
        is_silent = send.upstream_id.startswith(tuple(context.silent) or ("none",))
        if send.attempt not in answered and not is_silent:
            answered.add(send.attempt)
            context.tier.reply(send)
    answer_probes(context)


def answer_probes(context):
    """Answer the probes of upstreams that are not silent."""
    probed, context.tier.probed = context.tier.probed, []
    for upstream_id in probed:
        is_silent = upstream_id.startswith(tuple(context.silent) or ("none",))
        listener = events.Listener.SILENT if is_silent else events.Listener.OPEN
        context.tier.step(
            events.UpstreamProbed(upstream_id=upstream_id, listener=listener)
        )


@behave.then(
    "the last {count:d} of them were refused at once and told when to come back"
)
def then_refused_at_once(context, count):
    for number in context.numbers[-count:]:
        ending = context.tier.endings_by_number[number]
        assert isinstance(ending, events.Refuse), ending
        assert ending.error.code in ("incomplete", "upstreams_failed"), ending
        assert ending.error.retry_after > 0


@behave.then("the last {count:d} of them were answered in full")
def then_answered_in_full(context, count):
    for number in context.numbers[-count:]:
        ending = context.tier.endings_by_number[number]
        assert isinstance(ending, events.AnswerParts) and not ending.missing, ending


@behave.given("a router with single requests")
def given_single(context):
    context.tier = routing.RoutingTier()
    route = routing.single_route(("one", 1.0), attempts=1)
    context.tier.put_table(routing.table(1, route))
    context.tier.put(*sweeps.upstreams_of("one", 3))


@behave.when("a single request arrives")
def when_single(context):
    context.number = context.tier.request("/single/1")


@behave.when("{count:d} ms pass while its upstream can be connected to")
def when_time_probed(context, count):
    context.silent = ()
    for _ in range(count // 50):
        context.tier.pass_time(0.05)
        answer_probes(context)
