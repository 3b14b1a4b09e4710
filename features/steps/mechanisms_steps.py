"""Steps about routers with a mechanism disabled."""

import behave

from fakes import routing
from greengagehaven import exceptions
from greengagehaven.coordination.routing import callers, events, mechanisms

SHARDS = [f"shard-{number}" for number in range(4)]
SWEEP_COUNT = 40


@behave.given("a router with {mechanism} disabled")
def given_disabled(context, mechanism):
    context.tier = routing.RouterHarness(used=mechanisms.all_except(mechanism))
    context.tier.apply_routing_table(
        routing.routing_table(1, routing.sweep_route(SHARDS))
    )
    for name in SHARDS:
        for zone in "bcd":
            context.tier.apply_upstream_entries(
                routing.upstream_entry(f"{name}-{zone}", name, zone=zone)
            )


def send_sweep(context):
    context.number = context.tier.request("/sweep/1")
    return context.tier.attempts_of(context.number)


@behave.when("one shard of a sweep straggles")
@behave.when("one shard of a sweep never replies")
def when_straggles(context):
    sends = send_sweep(context)
    for send in sends[1:]:
        context.tier.answer_attempt(send)
    context.tier.advance_clock(routing.OBJECTIVE_S)


@behave.when("one shard of a sweep fails")
def when_fails(context):
    sends = send_sweep(context)
    context.tier.fail_attempt(sends[0], events.Fault.LOST)
    for send in sends[1:]:
        context.tier.answer_attempt(send)


@behave.when("a sweep arrives and {count:d} shards are gone")
def when_gone(context, count):
    for name in SHARDS[:count]:
        for zone in "bcd":
            gone = routing.upstream_entry(f"{name}-{zone}", name, zone=zone).as_gone()
            context.tier.apply_upstream_entries(gone)
    send_sweep(context)


@behave.when("nothing outside the zone is reachable")
def when_unreachable(context):
    for _ in range(SWEEP_COUNT):
        send_sweep(context)
        context.tier.advance_clock(0.05)
        probed, context.tier.probed = context.tier.probed, []
        for upstream_id in probed:
            no_response = events.UpstreamProbed(
                upstream_id=upstream_id, listener=events.Listener.NO_RESPONSE
            )
            context.tier.step(no_response)


@behave.when("an upstream fails five times in a row")
def when_fails_repeatedly(context):
    for name in SHARDS:
        for zone in "cd":
            gone = routing.upstream_entry(f"{name}-{zone}", name, zone=zone).as_gone()
            context.tier.apply_upstream_entries(gone)
    for _ in range(5):
        context.tier.fail_attempt(send_sweep(context)[0], events.Fault.LOST)


@behave.then("nothing more is sent for it")
def then_nothing_more(context):
    assert len(context.tier.attempts_of(context.number)) == len(SHARDS)


@behave.then("it is not answered in 100 ms")
def then_not_answered(context):
    assert context.number not in context.tier.final_actions_by_number


@behave.then("the remaining shard is requested")
def then_remaining_requested(context):
    assert len(context.tier.attempts_of(context.number)) == 1


@behave.then("the host is ready all the same")
def then_ready(context):
    assert not context.tier.router.is_cut_off


@behave.then("it gets the next request")
def then_gets_next(context):
    sends = send_sweep(context)
    assert "shard-0-b" in {send.upstream_id for send in sends}


@behave.given("the experiment's setting {text}")
def given_setting(context, text):
    try:
        mechanisms.all_except(text)
    except exceptions.SettingError as error:
        context.error = error


@behave.then("it is refused with an error that names {name} and the known mechanisms")
def then_refused(context, name):
    assert name in context.error.detail, context.error.detail
    assert "hedging" in context.error.detail, context.error.detail


@behave.when("an upstream reports a slow machine")
def when_slow_machine(context):
    context.chosen = []
    for _ in range(SWEEP_COUNT):
        sends = send_sweep(context)
        context.tier.clock.advance(0.02)
        for send in sends:
            is_slow = send.upstream_id == "shard-0-b"
            load = events.Load(
                running=1, waiting=0, slots=4, work_percent=1000 if is_slow else 100
            )
            context.tier.answer_attempt(send, load=load)
        context.chosen += [send.upstream_id for send in sends]


@behave.then("it gets its share of requests")
def then_gets_share(context):
    assert context.chosen.count("shard-0-b") >= SWEEP_COUNT / 5, context.chosen


@behave.when("many answers are written late")
def when_written_late(context):
    # Complete answers: they don't change the lag, which is a mechanism of its own.
    context.tier.answer_writing_s = 0.008
    for _ in range(SWEEP_COUNT):
        for send in send_sweep(context):
            context.tier.answer_attempt(send)
    context.sent_at = context.tier.clock.monotonic()
    for send in send_sweep(context)[1:]:
        context.tier.answer_attempt(send)


@behave.then("they leave at the usual moment")
def then_usual_moment(context):
    usual = callers.CallerTimes().answer_within(
        context.tier.router.table.routes[0], 0.0
    )
    context.tier.advance_clock(usual - 0.001)
    assert context.number not in context.tier.final_actions_by_number
    context.tier.advance_clock(0.002)
    assert context.number in context.tier.final_actions_by_number
