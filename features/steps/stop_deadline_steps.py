"""Steps for a router whose host is stopping."""

import behave

from greengagehaven.coordination.routing import events


@behave.when("{count:d} requests have taken {ms:d} ms each")
def when_have_taken(context, count, ms):
    numbers = [context.tier.request("/single/1") for _ in range(count)]
    context.tier.advance_clock(ms / 1000)
    for number in numbers:
        context.tier.answer_attempt(context.tier.attempts_of(number)[0])


@behave.then("the error says that the host is stopping")
def then_says(context):
    error = context.tier.final_actions_by_number[context.number].error
    assert error.detail.endswith(", the host is stopping"), error.detail


@behave.when("the host stops in {ms:d} ms")
def when_stopping(context, ms):
    answer_by = context.tier.clock.monotonic() + ms / 1000
    context.tier.step(events.Stopping(answer_by=answer_by))
