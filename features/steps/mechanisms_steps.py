"""Steps about routers that leave a mechanism out."""

import behave

from fakes import routing
from greengagehaven import exceptions
from greengagehaven.coordination.routing import events, mechanisms

SHARDS = [f"shard-{number}" for number in range(4)]
TRIES = 40


@behave.given("a router that leaves out {mechanism}")
def given_without(context, mechanism):
    context.tier = routing.RoutingTier(used=mechanisms.without(mechanism))
    context.tier.put_table(routing.table(1, routing.sweep_route(SHARDS)))
    for name in SHARDS:
        for zone in "bcd":
            context.tier.put(routing.entry(f"{name}-{zone}", name, zone=zone))


def ask(context):
    context.number = context.tier.request("/sweep/1")
    return context.tier.attempts_of(context.number)


@behave.when("one shard of a sweep straggles")
@behave.when("one shard of a sweep never replies")
def when_straggles(context):
    sent = ask(context)
    for send in sent[1:]:
        context.tier.reply(send)
    context.tier.pass_time(routing.OBJECTIVE_S)


@behave.when("one shard of a sweep fails")
def when_fails(context):
    sent = ask(context)
    context.tier.fail(sent[0], events.Fault.LOST)
    for send in sent[1:]:
        context.tier.reply(send)


@behave.when("a sweep arrives and {count:d} shards are gone")
def when_gone(context, count):
    for name in SHARDS[:count]:
        for zone in "bcd":
            gone = routing.entry(f"{name}-{zone}", name, zone=zone).as_gone()
            context.tier.put(gone)
    ask(context)


@behave.when("nothing outside the zone can be reached")
def when_cut(context):
    for _ in range(TRIES):
        ask(context)
        context.tier.pass_time(0.05)
        probed, context.tier.probed = context.tier.probed, []
        for upstream_id in probed:
            silent = events.UpstreamProbed(
                upstream_id=upstream_id, listener=events.Listener.SILENT
            )
            context.tier.step(silent)


@behave.when("an upstream fails five times in a row")
def when_five(context):
    for name in SHARDS:
        for zone in "cd":
            gone = routing.entry(f"{name}-{zone}", name, zone=zone).as_gone()
            context.tier.put(gone)
    for _ in range(5):
        context.tier.fail(ask(context)[0], events.Fault.LOST)


@behave.then("nothing more is sent for it")
def then_nothing_more(context):
    assert len(context.tier.attempts_of(context.number)) == len(SHARDS)


@behave.then("it is not answered in 100 ms")
def then_not_answered(context):
    assert context.number not in context.tier.endings_by_number


@behave.then("the others are asked")
def then_others(context):
    assert len(context.tier.attempts_of(context.number)) == 1


@behave.then("the host is ready all the same")
def then_ready(context):
    assert not context.tier.router.is_cut_off


@behave.then("it is asked again at once")
def then_asked(context):
    sent = ask(context)
    assert "shard-0-b" in {send.upstream_id for send in sent}


@behave.given("the trial's setting {text}")
def given_setting(context, text):
    try:
        mechanisms.without(text)
    except exceptions.SettingError as error:
        context.error = error


@behave.then("it is refused, naming {name} and what is known")
def then_refused(context, name):
    assert name in context.error.detail, context.error.detail
    assert "hedging" in context.error.detail, context.error.detail
