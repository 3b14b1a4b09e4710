"""Steps about the time that callers have."""

import behave

from fakes import routing
from greengagehaven.coordination.routing import callers
from greengagehaven.state import routes

SHARDS = [f"shard-{number}" for number in range(4)]


def make_route(timeout_ms):
    return routes.Route(
        name="sweep",
        host=routing.HOST,
        path_prefix="/sweep/",
        shards=tuple(SHARDS),
        timeout=timeout_ms / 1000,
        objective=0.1,
    )


@behave.given("a route whose callers wait for {whole:d} ms, as its timeout says")
def given_equal(context, whole):
    context.route = make_route(whole)
    context.times = callers.CallerTimes()


@behave.given(
    "a route whose callers wait for {whole:d} ms, though its timeout is {timeout:d} ms"
)
def given_longer(context, whole, timeout):
    context.route = make_route(timeout)
    context.times = callers.CallerTimes()


@behave.when("a caller arrives that will wait for {left:d} ms")
def when_caller(context, left):
    context.waited = context.times.observe(context.route, left / 1000)


@behave.then("it has waited for {waited:d} ms")
def then_waited(context, waited):
    assert abs(context.waited - waited / 1000) < 1e-9, context.waited


@behave.then("the way to callers is {way:d} ms")
def then_way(context, way):
    assert abs(context.times.one_way_latency - way / 1000) < 1e-9, (
        context.times.one_way_latency
    )


@behave.given("a sweep whose last part never comes")
def given_missing(context):
    context.tier = routing.RoutingTier()
    context.tier.put_table(routing.table(1, routing.sweep_route(SHARDS)))
    for name in SHARDS:
        context.tier.put(routing.entry(f"{name}-u", name))


@behave.when("{count:d} such sweeps arrive while each timer fires {late:d} ms late")
def when_late(context, count, late):
    play(context, count, late / 1000)


@behave.when("{count:d} such sweeps arrive while each timer fires on time")
def when_on_time(context, count):
    play(context, count, 0.0)


@behave.when(
    "{count:d} such sweeps arrive while each answer takes {late:d} ms to write"
)
def when_written_late(context, count, late):
    context.tier.writing_s = late / 1000
    play(context, count, 0.0)


def play(context, count, late):
    context.took = []
    for _ in range(count):
        started = context.tier.clock.monotonic()
        number = context.tier.request("/sweep/1")
        for send in context.tier.attempts_of(number)[1:]:
            context.tier.reply(send)
        while number not in context.tier.endings_by_number:
            wake_in = context.tier.wake_at - context.tier.clock.monotonic()
            context.tier.wake_at = None
            context.tier.clock.advance(max(0.0, wake_in) + late)
            context.tier.pass_time(0.0)
            context.tier.wake_now()
        written = context.tier.clock.monotonic() + context.tier.writing_s
        context.took.append(written - started)
        context.tier.clock.advance(0.2)


@behave.then(
    "the last {count:d} answers left within {slack:d} ms of the moment that is still "
    "of use"
)
def then_in_time(context, count, slack):
    latest = (
        routing.OBJECTIVE_S - 2 * callers.INITIAL_ONE_WAY_LATENCY_S - callers.OWN_LINK_S
    )
    for took in context.took[-count:]:
        assert abs(took - latest) <= slack / 1000 + 1e-9, (took, latest)
