"""Steps about the choice among replicas."""

import heapq
import itertools

import behave

from fakes import core as fake_core
from greengagehaven.protocol import upstream

FIRST = "u-0"
INTERVAL_S = 0.02
IDLE = upstream.LoadReport(in_flight=0, queued=0)


class Traffic:
    """Queries at a steady pace to replicas that take as long as they are told."""

    def __init__(self, count):
        self.tier = fake_core.FakeTier()
        ids = [f"u-{number}" for number in range(count)]
        self.tier.put(*(fake_core.announce(known) for known in ids))
        self.seconds_by_id = dict.fromkeys(ids, 0.02)
        self.failing = set()
        self.lying = set()
        self.numbers = itertools.count()
        self.ends = []
        self.seen = 0

    def run(self, queries):
        """Send queries; return the first attempts at the first replica."""
        before = len(self.tier.sent)
        for _ in range(queries):
            self.tier.submit(f"r-{next(self.numbers)}")
            self.pass_time(INTERVAL_S)
        return sum(
            sub_request.attempt == 1 and sub_request.upstream_id == FIRST
            for sub_request in self.tier.sent[before:]
        )

    def pass_time(self, seconds):
        target = self.tier.clock.monotonic() + seconds
        while True:
            self.take_new()
            if not self.ends or self.ends[0][0] > target:
                break
            moment, _, sub_request = heapq.heappop(self.ends)
            self.tier.advance(max(0.0, moment - self.tier.clock.monotonic()))
            self.end(sub_request)
        self.tier.advance(max(0.0, target - self.tier.clock.monotonic()))

    def take_new(self):
        new, self.seen = self.tier.sent[self.seen :], len(self.tier.sent)
        for sub_request in new:
            upstream_id = sub_request.upstream_id
            seconds = self.seconds_by_id[upstream_id]
            if upstream_id in self.failing:
                seconds = 0.001
            end = self.tier.clock.monotonic() + seconds
            heapq.heappush(self.ends, (end, next(self.numbers), sub_request))

    def end(self, sub_request):
        if sub_request.id not in self.tier.in_flight:
            return
        if sub_request.upstream_id in self.failing:
            self.tier.fail(sub_request, upstream.FailureReason.STATUS)
        else:
            load = IDLE if sub_request.upstream_id in self.lying else None
            self.tier.reply(sub_request, load=load)


@behave.given("a selection among {count:d} replicas that reply in 20 ms")
def given_replicas(context, count):
    context.traffic = Traffic(count)
    context.traffic.run(200)


@behave.step("for {queries:d} queries the first replica of the selection takes 200 ms")
def step_slow(context, queries):
    context.traffic.seconds_by_id[FIRST] = 0.2
    context.first = context.traffic.run(queries)


@behave.when("for {queries:d} queries the first replica of the selection fails at once")
def when_fails(context, queries):
    context.traffic.failing.add(FIRST)
    context.first = context.traffic.run(queries)


@behave.when(
    "for {queries:d} queries the first replica of the selection lies and takes 200 ms"
)
def when_lies(context, queries):
    context.traffic.lying.add(FIRST)
    context.traffic.seconds_by_id[FIRST] = 0.2
    context.first = context.traffic.run(queries)


@behave.when("for {queries:d} queries the first replica of the selection is well")
def when_well(context, queries):
    context.traffic.seconds_by_id[FIRST] = 0.02
    context.first = context.traffic.run(queries)


@behave.when("for {queries:d} queries all replicas of the selection fail at once")
def when_all_fail(context, queries):
    traffic = context.traffic
    traffic.failing.update(traffic.seconds_by_id)
    traffic.run(queries)
    traffic.failing.clear()


@behave.then(
    "the selection sent it at most {most:d} first attempts and every query was answered"
)
def then_few(context, most):
    context.traffic.pass_time(1.0)
    assert context.first <= most, context.first
    assert not context.traffic.tier.refusals_by_id


@behave.then("the selection sent it at least {least:d} first attempts")
def then_many(context, least):
    assert context.first >= least, context.first


@behave.then("the selection answers the next query")
def then_answers(context):
    tier = context.traffic.tier
    before = len(tier.answers_by_id)
    context.traffic.run(1)
    context.traffic.pass_time(0.1)
    assert len(tier.answers_by_id) == before + 1, tier.refusals_by_id
