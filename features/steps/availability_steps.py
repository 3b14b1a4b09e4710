"""Steps about shards none of whose upstreams answers."""

import behave

from greengagehaven.coordination.routing import events


@behave.given("the processes of the first two shards hang")
def given_two_hang(context):
    context.hung_shards = ("shard-0", "shard-1")


@behave.given("the processes of the first shard hang")
def given_one_hangs(context):
    context.hung_shards = ("shard-0",)


@behave.when("the processes of the first two shards resume")
def when_resumed(context):
    context.hung_shards = ()


@behave.when("{count:d} sweeps arrive {gap:d} ms apart while probes succeed")
def when_sweeps(context, count, gap):
    context.answered = getattr(context, "answered", set())
    context.ended_at = getattr(context, "ended_at", {})
    context.started_at = getattr(context, "started_at", {})
    context.numbers = []
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        context.started_at[number] = context.tier.clock.monotonic()
        context.numbers.append(number)
        for _ in range(gap // 10):
            answer_working(context)
            record_endings(context)
            context.tier.advance_clock(0.01)


def let_end(context):
    """Let the sweeps in flight end."""
    for _ in range(30):
        answer_working(context)
        record_endings(context)
        context.tier.advance_clock(0.05)


def answer_working(context):
    """Answer the attempts at upstreams that do not hang, and all probes."""
    for send in list(context.tier.sent):
        hangs = send.upstream_id.startswith(tuple(context.hung_shards) or ("none",))
        if send.attempt not in context.answered and not hangs:
            context.answered.add(send.attempt)
            context.tier.answer_attempt(send)
    probed, context.tier.probed = context.tier.probed, []
    for upstream_id in probed:
        is_open = events.UpstreamProbed(
            upstream_id=upstream_id, listener=events.Listener.OPEN
        )
        context.tier.step(is_open)


def record_endings(context):
    now = context.tier.clock.monotonic()
    for number in context.tier.final_actions_by_number:
        context.ended_at.setdefault(number, now)


@behave.then(
    "at least {least:d} of the last {count:d} of them were refused without being sent"
)
def then_refused_unsent(context, least, count):
    let_end(context)
    refused = 0
    for number in context.numbers[-count:]:
        ending = context.tier.final_actions_by_number[number]
        assert isinstance(ending, events.Refuse), ending
        assert ending.error.retry_after > 0, ending
        is_unsent = not context.tier.attempts_of(number)
        assert is_unsent == (ending.error.status == 503), ending
        refused += is_unsent
    assert refused >= least, refused


@behave.then("no sweep was held for longer than {limit:d} ms")
def then_not_held(context, limit):
    held = [
        context.ended_at[each] - context.started_at[each] for each in context.numbers
    ]
    assert max(held) <= limit / 1000, max(held)


@behave.then("every sweep was answered")
def then_all_answered(context):
    let_end(context)
    for number, ending in context.tier.final_actions_by_number.items():
        assert isinstance(ending, events.AnswerParts), (number, ending)
    assert len(context.tier.final_actions_by_number) == len(context.started_at)


@behave.when("the host freezes for {count:d} ms and handles its timers first")
def when_frozen(context, count):
    context.tier.clock.advance(count / 1000)
    context.tier.wake_at = None
    context.tier.process_due_events()
    context.tier.advance_clock(0.1)


@behave.then("it is answered")
def then_answered(context):
    ending = context.tier.final_actions_by_number[context.number]
    assert isinstance(ending, events.AnswerParts), ending
