"""Steps about connections that upstreams reset or do not accept."""

import behave

from fakes import sweeps
from greengagehaven.coordination.routing import events


@behave.when("all upstreams reset the new connections of {count:d} sweeps")
def when_new_reset(context, count):
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        index = 0
        while index < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[index]
            context.tier.fail_attempt(
                send, events.Fault.LOST, received_nothing=True, is_first_use=True
            )
            context.tier.advance_clock(0.03)
            index += 1


@behave.then("no upstream was ejected")
def then_none_ejected(context):
    assert not context.tier.router.counts.upstream_changes["ejected"]


@behave.then("the host may open {count:d} connection to its upstream")
@behave.then("the host may open {count:d} connections to its upstream")
def then_connections(context, count):
    (send,) = context.tier.attempts_of(context.number)
    assert send.connections == count, send.connections


@behave.given("upstreams that accept no connections")
def given_no_connection(context):
    context.tier.starts_attempts = False


@behave.when("its attempt fails to connect")
def when_no_connection(context):
    sweeps.fail_attempt(context, 0, events.Fault.CONNECT)


@behave.when("its attempt is reset on a new connection after {ms:d} ms")
def when_new_reset_after(context, ms):
    context.tier.advance_clock(ms / 1000)
    (send,) = context.tier.attempts_of(context.number)
    context.resetting_id = send.upstream_id
    context.tier.fail_attempt(
        send, events.Fault.LOST, received_nothing=True, is_first_use=True
    )
    # The listener is checked for a moment before the request is sent elsewhere.
    context.tier.advance_clock(0.03)
    for other in context.tier.attempts_of(context.number)[1:]:
        context.tier.answer_attempt(other)


def chosen_upstreams(context, count):
    return [sweeps.run_sweep(context, 0.012) for _ in range(count)]


@behave.then("none of the next {count:d} sweeps goes to that upstream")
def then_none_there(context, count):
    assert context.resetting_id not in chosen_upstreams(context, count)


@behave.then("one of the next {count:d} sweeps goes to that upstream")
def then_one_there(context, count):
    assert context.resetting_id in chosen_upstreams(context, count)


@behave.when("{count:d} sweeps are lost there without a byte of a reply")
def when_sweeps_lost(context, count):
    numbers = [context.tier.request("/sweep/1") for _ in range(count)]
    for number in numbers:
        (send,) = context.tier.attempts_of(number)
        context.tier.fail_attempt(send, events.Fault.LOST, received_nothing=True)


@behave.then("one listener check is made")
@behave.then("one more listener check is made")
def then_checked_once(context):
    assert len(context.tier.checked) == 1, context.tier.checked


@behave.when("the check shows that it listens")
def when_listens(context):
    check = context.tier.checked.pop()
    listening = events.Listener.OPEN
    context.tier.step(events.ListenerChecked(attempt=check.attempt, listener=listening))
