"""Steps about the remaining time of callers."""

import dataclasses

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


@behave.given("a route whose timeout and whose callers' timeout are {whole:d} ms")
def given_equal_timeouts(context, whole):
    context.route = make_route(whole)
    context.caller_times = callers.CallerTimes()


@behave.given(
    "a route whose callers' timeout is {whole:d} ms and whose own is {timeout:d} ms"
)
def given_longer_route_timeout(context, whole, timeout):
    context.route = make_route(timeout)
    context.caller_times = callers.CallerTimes()


@behave.when("a caller arrives that will wait for another {left:d} ms")
def when_caller(context, left):
    context.waited = context.caller_times.observe(context.route, left / 1000)


@behave.then("it has already waited for {waited:d} ms")
def then_waited(context, waited):
    assert abs(context.waited - waited / 1000) < 1e-9, context.waited


@behave.then("the one-way latency to callers is {way:d} ms")
def then_one_way_latency(context, way):
    assert abs(context.caller_times.one_way_latency - way / 1000) < 1e-9, (
        context.caller_times.one_way_latency
    )


@behave.given("a sweep whose last part never arrives")
def given_missing_part(context):
    context.tier = routing.RouterHarness()
    context.tier.apply_routing_table(
        routing.routing_table(1, routing.sweep_route(SHARDS))
    )
    for name in SHARDS:
        context.tier.apply_upstream_entries(routing.upstream_entry(f"{name}-u", name))


@behave.when("{count:d} such sweeps arrive while each timer fires {late:d} ms late")
def when_timers_late(context, count, late):
    run_sweeps(context, count, late / 1000)


@behave.when("{count:d} such sweeps arrive while each timer fires on time")
def when_on_time(context, count):
    run_sweeps(context, count, 0.0)


@behave.when(
    "{count:d} such sweeps arrive while each answer takes {late:d} ms to write"
)
def when_written_late(context, count, late):
    context.tier.answer_writing_s = late / 1000
    run_sweeps(context, count, 0.0)


@behave.when(
    "{count:d} such sweeps are read {age:d} ms after they arrived, while each timer "
    "fires {late:d} ms late"
)
def when_read_late(context, count, age, late):
    run_sweeps(context, count, late / 1000, age=age / 1000)


def run_sweeps(context, count, timer_lateness, *, age=0.0):
    context.answer_times = []
    for _ in range(count):
        started = context.tier.clock.monotonic() - age
        number = context.tier.request("/sweep/1", age=age)
        for send in context.tier.attempts_of(number)[1:]:
            context.tier.answer_attempt(send)
        while number not in context.tier.final_actions_by_number:
            wake_in = context.tier.wake_at - context.tier.clock.monotonic()
            context.tier.wake_at = None
            context.tier.clock.advance(max(0.0, wake_in) + timer_lateness)
            context.tier.advance_clock(0.0)
            context.tier.process_due_events()
        written = context.tier.clock.monotonic() + context.tier.answer_writing_s
        context.answer_times.append(written - started)
        context.tier.clock.advance(0.2)


@behave.then(
    "the last {count:d} answers left within {slack:d} ms of the latest useful moment"
)
def then_latest_useful(context, count, slack):
    latest = (
        routing.OBJECTIVE_S
        - 2 * callers.INITIAL_ONE_WAY_LATENCY_S
        - callers.OUTBOUND_QUEUE_S
    )
    for answer_time in context.answer_times[-count:]:
        assert abs(answer_time - latest) <= slack / 1000 + 1e-9, (answer_time, latest)


@behave.when(
    "{count:d} such sweeps are complete and each answer takes {late:d} ms to write"
)
def when_complete_late(context, count, late):
    context.tier.answer_writing_s = late / 1000
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        for send in context.tier.attempts_of(number):
            context.tier.answer_attempt(send)
        assert not context.tier.final_actions_by_number[number].missing
        context.tier.clock.advance(0.2)


@behave.given("2 routes of the same objective")
def given_two_routes(context):
    context.caller_times = callers.CallerTimes()
    first = make_route(500)
    context.routes = {
        "first": first,
        "second": dataclasses.replace(first, name="second"),
    }
    context.within_before = context.caller_times.answer_within(first, 0.0)


@behave.when("{count:d} answers of the first one take {late:d} ms to write")
def when_answers_take(context, count, late):
    for _ in range(count):
        context.caller_times.record_lateness("sweep", late / 1000)


@behave.then("answers of the {which} one leave {earlier:d} ms earlier than before")
def then_leave_earlier(context, which, earlier):
    within = context.caller_times.answer_within(context.routes[which], 0.0)
    moved = context.within_before - within
    assert abs(moved - earlier / 1000) < 1e-9, moved


@behave.when(
    "of {count:d} callers that connect, each fourth needs {slow:d} ms and the others "
    "{fast:d} ms"
)
def when_callers_connect(context, count, slow, fast):
    route = context.routes["first"]
    for number in range(count):
        needed = slow if number % 4 == 0 else fast
        context.caller_times.observe(route, route.timeout - needed / 1000)


@behave.then("the margin for the network is between {least:d} and {most:d} ms")
def then_network_margin(context, least, most):
    margin = context.caller_times.network_margin() * 1000
    assert least - 1e-6 <= margin <= most + 1e-6, margin
