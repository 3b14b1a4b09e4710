"""Steps about connections that upstreams reset or do not take."""

import behave

from fakes import sweeps
from greengagehaven.coordination.routing import events


@behave.when("all upstreams reset the fresh connections of {count:d} sweeps")
def when_fresh_reset(context, count):
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        done = 0
        while done < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[done]
            context.tier.fail(send, events.Fault.LOST, is_mute=True, is_fresh=True)
            context.tier.pass_time(0.03)
            done += 1


@behave.then("no upstream was ejected")
def then_none_ejected(context):
    assert not context.tier.router.counts.upstream_changes["ejected"]


@behave.then("its upstream may get {count:d} connection")
@behave.then("its upstream may get {count:d} connections")
def then_connections(context, count):
    (send,) = context.tier.attempts_of(context.number)
    assert send.connections == count, send.connections


@behave.given("upstreams that take no connection for a while")
def given_no_connection(context):
    context.tier.starts = False


@behave.when("its attempt finds no connection")
def when_no_connection(context):
    sweeps.fail_attempt(context, 0, events.Fault.CONNECT)


@behave.when("its attempt is reset on a fresh connection after {ms:d} ms")
def when_fresh_reset_after(context, ms):
    context.tier.pass_time(ms / 1000)
    (send,) = context.tier.attempts_of(context.number)
    context.full = send.upstream_id
    context.tier.fail(send, events.Fault.LOST, is_mute=True, is_fresh=True)
    # The loss is looked into for a moment before another upstream is asked.
    context.tier.pass_time(0.03)
    for other in context.tier.attempts_of(context.number)[1:]:
        context.tier.reply(other)


def first_choices(context, count):
    return [sweeps.answer_sweep(context, 0.012) for _ in range(count)]


@behave.then("none of the next {count:d} sweeps goes to that upstream")
def then_none_there(context, count):
    assert context.full not in first_choices(context, count)


@behave.then("one of the next {count:d} sweeps goes to that upstream")
def then_one_there(context, count):
    assert context.full in first_choices(context, count)


@behave.when("{count:d} sweeps are lost at it without a byte of reply")
def when_sweeps_lost(context, count):
    numbers = [context.tier.request("/sweep/1") for _ in range(count)]
    for number in numbers:
        (send,) = context.tier.attempts_of(number)
        context.tier.fail(send, events.Fault.LOST, is_mute=True)


@behave.then("it is looked at once")
@behave.then("it is looked at once more")
def then_looked_once(context):
    assert len(context.tier.checked) == 1, context.tier.checked


@behave.when("the look shows that it listens")
def when_listens(context):
    check = context.tier.checked.pop()
    listening = events.Listener.OPEN
    context.tier.step(events.ListenerChecked(attempt=check.attempt, listener=listening))
