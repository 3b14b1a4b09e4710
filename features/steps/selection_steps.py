"""Steps about load balancing among replicas."""

import heapq
import itertools

import behave

from fakes import core as fake_core
from greengagehaven.protocol import upstream

FIRST_UPSTREAM_ID = "u-0"
INTERVAL_S = 0.02
IDLE = upstream.LoadReport(in_flight=0, queued=0)


class Traffic:
    """Queries at a constant rate to replicas with configurable latency."""

    def __init__(self, count):
        self.tier = fake_core.CoreHarness()
        ids = [f"u-{number}" for number in range(count)]
        self.tier.apply_announcements(
            *(fake_core.announce(upstream_id) for upstream_id in ids)
        )
        self.seconds_by_id = dict.fromkeys(ids, 0.02)
        self.failing = set()
        self.reporting_idle = set()
        self.numbers = itertools.count()
        self.scheduled_ends = []
        self.seen_count = 0

    def run(self, queries):
        """Send queries; return how many first attempts went to the first replica."""
        before = len(self.tier.sent)
        for _ in range(queries):
            self.tier.submit(f"r-{next(self.numbers)}")
            self.pass_time(INTERVAL_S)
        return sum(
            sub_request.attempt == 1 and sub_request.upstream_id == FIRST_UPSTREAM_ID
            for sub_request in self.tier.sent[before:]
        )

    def pass_time(self, seconds):
        end_of_run = self.tier.clock.monotonic() + seconds
        while True:
            self.schedule_new()
            if not self.scheduled_ends or self.scheduled_ends[0][0] > end_of_run:
                break
            end, _, sub_request = heapq.heappop(self.scheduled_ends)
            self.tier.advance(max(0.0, end - self.tier.clock.monotonic()))
            self.finish(sub_request)
        self.tier.advance(max(0.0, end_of_run - self.tier.clock.monotonic()))

    def schedule_new(self):
        new, self.seen_count = self.tier.sent[self.seen_count :], len(self.tier.sent)
        for sub_request in new:
            upstream_id = sub_request.upstream_id
            seconds = self.seconds_by_id[upstream_id]
            if upstream_id in self.failing:
                seconds = 0.001
            end = self.tier.clock.monotonic() + seconds
            heapq.heappush(self.scheduled_ends, (end, next(self.numbers), sub_request))

    def finish(self, sub_request):
        if sub_request.id not in self.tier.in_flight:
            return
        if sub_request.upstream_id in self.failing:
            self.tier.fail(sub_request, upstream.FailureReason.STATUS)
        else:
            load = IDLE if sub_request.upstream_id in self.reporting_idle else None
            self.tier.reply(sub_request, load=load)


@behave.given("load balancing among {count:d} replicas that reply in 20 ms")
def given_replicas(context, count):
    context.traffic = Traffic(count)
    context.traffic.run(200)


@behave.step("for {queries:d} queries the first balanced replica takes 200 ms")
def step_slow(context, queries):
    context.traffic.seconds_by_id[FIRST_UPSTREAM_ID] = 0.2
    context.first_attempts = context.traffic.run(queries)


@behave.when("for {queries:d} queries the first balanced replica fails fast")
def when_fails(context, queries):
    context.traffic.failing.add(FIRST_UPSTREAM_ID)
    context.first_attempts = context.traffic.run(queries)


@behave.when(
    "for {queries:d} queries the first balanced replica reports no load and takes "
    "200 ms"
)
def when_reports_idle(context, queries):
    context.traffic.reporting_idle.add(FIRST_UPSTREAM_ID)
    context.traffic.seconds_by_id[FIRST_UPSTREAM_ID] = 0.2
    context.first_attempts = context.traffic.run(queries)


@behave.when("for {queries:d} queries the first balanced replica has recovered")
def when_recovered(context, queries):
    context.traffic.seconds_by_id[FIRST_UPSTREAM_ID] = 0.02
    context.first_attempts = context.traffic.run(queries)


@behave.when("for {queries:d} queries all balanced replicas fail fast")
def when_all_fail(context, queries):
    traffic = context.traffic
    traffic.failing.update(traffic.seconds_by_id)
    traffic.run(queries)
    traffic.failing.clear()


@behave.then(
    "it got at most {most:d} first attempts and every balanced query was answered"
)
def then_at_most(context, most):
    context.traffic.pass_time(1.0)
    assert context.first_attempts <= most, context.first_attempts
    assert not context.traffic.tier.refusals_by_id


@behave.then("it got at least {least:d} first attempts")
def then_at_least(context, least):
    assert context.first_attempts >= least, context.first_attempts


@behave.then("the next balanced query is answered")
def then_answers(context):
    tier = context.traffic.tier
    before = len(tier.answers_by_id)
    context.traffic.run(1)
    context.traffic.pass_time(0.1)
    assert len(tier.answers_by_id) == before + 1, tier.refusals_by_id
