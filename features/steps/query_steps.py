"""Steps about a single query in the decision core."""

import behave

from fakes import core as fake_core
from greengagehaven import clock, exceptions
from greengagehaven.coordination import events
from greengagehaven.protocol import upstream

LATENCY_SAMPLES = 60
MAX_READINGS = 10_000


class AdvancingClock(clock.ManualClock):
    """Clock that advances by a microsecond on every reading."""

    readings = 0

    def monotonic(self):
        self.readings += 1
        assert self.readings < MAX_READINGS, "the core keeps reading the clock"
        self.advance(1e-6)
        return super().monotonic()


@behave.given("a tier with shards 0 and 1 of credits-0 at snapshot 41")
def given_two_shards(context):
    context.tier = fake_core.CoreHarness()
    context.tier.apply_announcements(
        fake_core.announce("u-0", shards=(("credits-0", 0, 2),)),
        fake_core.announce("u-1", shards=(("credits-0", 1, 2),)),
    )


@behave.given("a tier whose clock advances on every reading")
def given_advancing_clock(context):
    context.tier = fake_core.CoreHarness(shared_clock=AdvancingClock())
    context.tier.apply_announcements(fake_core.announce("u-0"))


@behave.given("shard 0 of credits-0 also has snapshot 42")
def given_newer_snapshot(context):
    context.tier.apply_announcements(
        fake_core.announce(
            "u-0", shards=(("credits-0", 0, 2),), snapshots=(41, 42), sequence=2
        )
    )


@behave.given("the upstream of shard 1 is withdrawn")
def given_upstream_withdrawn(context):
    context.tier.submit("warm-up")
    for sub_request in list(context.tier.in_flight.values()):
        context.tier.reply(sub_request)
    context.tier.withdraw("u-1")


@behave.given("a tier with two replicas of credits-0 and known latency")
def given_replicas(context):
    context.tier = fake_core.CoreHarness()
    context.tier.apply_announcements(
        fake_core.announce("u-0"), fake_core.announce("u-1")
    )
    for number in range(LATENCY_SAMPLES):
        context.tier.submit(f"warm-up-{number}")
        context.tier.clock.advance(0.01)
        for sub_request in list(context.tier.in_flight.values()):
            context.tier.reply(sub_request)
    context.tier.sent.clear()


@behave.when("a {kind} is submitted and every upstream replies")
def when_all_reply(context, kind):
    context.tier.submit("r-1", kind=kind)
    while context.tier.in_flight:
        context.tier.reply(next(iter(context.tier.in_flight.values())))


@behave.when("a sweep is slow, is hedged, and both upstreams reply")
def when_hedged(context):
    context.tier.submit("r-1")
    context.tier.advance(1.0)
    assert len(context.tier.sent) == 2, context.tier.sent
    first, second = context.tier.sent
    context.tier.reply(second)
    context.tier.reply(first)


@behave.when("a retire is submitted and its connection is reset")
def when_retire_reset(context):
    context.tier.submit("r-1", kind="retire", idempotency_key="k-1")
    context.tier.fail(context.tier.sent[-1], upstream.FailureReason.RESET)


@behave.when("snapshot 42 replaces 41 on all shards after one reply to a sweep")
def when_snapshot_lost(context):
    tier = context.tier
    tier.submit("r-1")
    first, second = tier.sent
    tier.reply(first)
    for number in (0, 1):
        shards = (("credits-0", number, 2),)
        tier.apply_announcements(
            fake_core.announce(
                f"u-{number}", shards=shards, snapshots=(42,), sequence=2
            )
        )
    tier.fail(second, upstream.FailureReason.WRONG_VERSION, not_run=True)
    while tier.in_flight:
        tier.reply(next(iter(tier.in_flight.values())))


@behave.then(
    "the answer has {rows:d} rows from snapshot {snapshot:d} and complete coverage"
)
def then_complete(context, rows, snapshot):
    answer = context.tier.answers_by_id["r-1"]
    assert len(answer.results) == rows, answer
    assert answer.snapshot == snapshot, answer
    assert answer.coverage.complete, answer


@behave.then("the answer covers 1 of 2 shards and lists shard 1 as no_replica")
def then_partial(context):
    coverage = context.tier.answers_by_id["r-1"].coverage
    assert (coverage.answered, coverage.total) == (1, 2), coverage
    assert not coverage.complete
    assert [(each.shard, each.reason) for each in coverage.missing] == [
        (1, "no_replica")
    ]


@behave.then("the query is refused as incomplete with ran no")
def then_refused(context):
    error = context.tier.refusals_by_id["r-1"]
    assert isinstance(error, exceptions.IncompleteError), error
    assert error.ran is exceptions.Ran.NO, error.ran


@behave.then("the answer has 1 row and the slower attempt was cancelled")
def then_one_row(context):
    assert len(context.tier.answers_by_id["r-1"].results) == 1
    assert [cancel.attempt for cancel in context.tier.cancelled] == [
        context.tier.sent[0].attempt
    ]


@behave.then("it was sent once and is refused with an unknown outcome")
def then_unknown(context):
    assert len(context.tier.sent) == 1
    error = context.tier.refusals_by_id["r-1"]
    assert isinstance(error, exceptions.OutcomeUnknownError), error
    assert error.ran is exceptions.Ran.UNKNOWN, error.ran


@behave.when("a sweep gets no reply and its timer fires 0.1 ms early")
def when_timer_early(context):
    tier = context.tier
    tier.submit("r-1")
    timer_at = tier.timer_times[-1]
    tier.clock.advance(timer_at - tier.clock.monotonic() - 0.0001)
    context.timers = [
        action
        for action in tier.step(events.TimeReached())
        if isinstance(action, events.WakeAt)
    ]
    tier.advance(0.001)


@behave.then("the core sets the timer again and the query ends at its deadline")
def then_ends_at_deadline(context):
    assert context.timers, "the core set no further timer"
    error = context.tier.refusals_by_id["r-1"]
    assert isinstance(error, exceptions.DeadlineExceededError), error
