"""Steps about shares, priorities (``standing``) and load shedding."""

import collections
import itertools

import behave
import msgspec
from hypothesis import settings, stateful
from hypothesis import strategies as st

from fakes import core as fake_core
from fakes import timed_upstreams
from greengagehaven import exceptions
from greengagehaven.coordination import events, fair_queue, options, wait_times
from greengagehaven.protocol import notices, upstream

DOCUMENT = f"""
version = 1
[subscribers.heavy]
key_sha256 = ["{"a" * 64}"]
[subscribers.light]
key_sha256 = ["{"b" * 64}"]
[subscribers.triple]
share = 3.0
key_sha256 = ["{"c" * 64}"]
[services.credits-0]
[kinds.sweep]
standing = 20
deadline_ms = 60000
[kinds.check]
standing = 10
deadline_ms = 60000
[kinds.lookup]
deadline_ms = 60000
[kinds.brief]
deadline_ms = 2000
"""


class SubscriberLoad:
    """Submits queries to one tier and keeps a number of them in progress."""

    def __init__(self, tier, durations_by_subscriber):
        self.tier = tier
        self.durations_by_subscriber = durations_by_subscriber
        self.queries_by_id = {}
        self.numbers = itertools.count()
        self.upstreams = timed_upstreams.TimedUpstreams(
            tier=tier, duration_of=self.duration_of, on_served=self.resubmit
        )
        self.replenished = set()
        self.served_at_by_id = {}

    def submit(self, subscriber_id, kind="lookup"):
        request_id = f"{subscriber_id}-{next(self.numbers)}"
        self.queries_by_id[request_id] = (subscriber_id, kind, self.now)
        self.tier.submit(request_id, kind=kind, subscriber_id=subscriber_id)
        return request_id

    def keep(self, subscriber_id, count, kind="lookup"):
        self.replenished.add((subscriber_id, kind))
        for _ in range(count):
            self.submit(subscriber_id, kind)

    def resubmit(self, served):
        self.served_at_by_id[served.request_id] = self.now
        subscriber_id, kind, _ = self.queries_by_id[served.request_id]
        if (subscriber_id, kind) in self.replenished:
            self.submit(subscriber_id, kind)

    def duration_of(self, sub_request):
        subscriber_id, _, _ = self.queries_by_id[sub_request.request_id]
        return self.durations_by_subscriber[subscriber_id]

    @property
    def now(self):
        return self.tier.clock.monotonic()

    def seconds_used(self):
        seconds = collections.Counter()
        for sub_request in self.upstreams.served:
            subscriber_id, _, _ = self.queries_by_id[sub_request.request_id]
            seconds[subscriber_id] += self.durations_by_subscriber[subscriber_id]
        return seconds


@behave.given("the fairness tier with {count:d} upstream of {slots:d} slots")
def given_tier(context, count, slots):
    context.tier = fake_core.CoreHarness(
        document_text=DOCUMENT, core_options=options.Options(slow_start=False)
    )
    context.tier.apply_announcements(
        *(fake_core.announce(f"u-{number}", slots=slots) for number in range(count))
    )
    context.load = SubscriberLoad(
        context.tier, {"heavy": 0.1, "light": 0.01, "triple": 0.02}
    )


@behave.given("heavy has 40 lookups in progress that take 100 ms each")
def given_backlog(context):
    context.load.keep("heavy", 40)
    context.load.upstreams.run(1.0)


@behave.when("light submits a lookup and the fairness tier runs for 150 ms")
def when_light_submits(context):
    context.request_id = context.load.submit("light")
    context.started = context.load.now
    context.load.upstreams.run(0.15)


@behave.then("light was answered within 110 ms")
def then_light_answered(context):
    assert context.request_id in context.tier.answers_by_id
    waited = context.load.served_at_by_id[context.request_id] - context.started
    assert waited <= 0.111, waited


@behave.when(
    "heavy keeps 20 lookups of {heavy:d} ms and light 20 of {light:d} ms"
    " for {seconds:d} s"
)
def when_two_kept(context, heavy, light, seconds):
    context.load.durations_by_subscriber.update(heavy=heavy / 1000, light=light / 1000)
    context.load.keep("heavy", 20)
    context.load.keep("light", 20)
    context.load.upstreams.run(seconds)


@behave.when("triple and light each keep 20 lookups of 20 ms for {seconds:d} s")
def when_weighted(context, seconds):
    context.load.durations_by_subscriber.update(triple=0.02, light=0.02)
    context.load.keep("triple", 20)
    context.load.keep("light", 20)
    context.load.upstreams.run(seconds)


@behave.then("each used between {low:d} and {high:d} percent of the upstream time")
def then_heavy_percentage(context, low, high):
    seconds = context.load.seconds_used()
    percentage = 100 * seconds["heavy"] / sum(seconds.values())
    assert low <= percentage <= high, seconds


@behave.then("triple used between {low:d} and {high:d} percent of the upstream time")
def then_triple_percentage(context, low, high):
    seconds = context.load.seconds_used()
    percentage = 100 * seconds["triple"] / sum(seconds.values())
    assert low <= percentage <= high, seconds


@behave.given("another host reports that heavy used 5 s of upstream time there")
def given_report(context):
    context.tier.step(events.HostsChanged(zones_by_host_id={"h-1": "a", "h-2": "b"}))
    usages = (notices.SubscriberUsage("heavy", 5.0),)
    report = notices.UsageReport(usages=usages)
    context.tier.step(events.PeerNotice(host_id="h-2", payload=report))


@behave.given("the other host sends no more reports for 8 s")
def given_no_reports(context):
    context.tier.advance(8.0)


@behave.given("light has used 1 s through the fairness tier")
def given_light_used(context):
    context.load.durations_by_subscriber["light"] = 0.5
    for _ in range(2):
        context.load.submit("light")
    context.load.upstreams.run(0.5)


@behave.when("heavy and then light wait for the only free slot")
def when_both_wait(context):
    for _ in range(2):
        context.load.submit("triple")
    context.load.submit("heavy")
    context.load.submit("light")
    context.load.upstreams.run(0.03)


@behave.then("light gets the slot")
def then_light_gets_slot(context):
    requests = [started.request_id for started in context.load.upstreams.started]
    assert requests[4].startswith("light"), requests


@behave.when("heavy alone keeps 30 lookups of 50 ms for 2 s")
def when_alone(context):
    context.load.durations_by_subscriber["heavy"] = 0.05
    context.load.keep("heavy", 30)
    context.load.upstreams.run(2.0)


@behave.then("6 of its lookups were in flight all the time and none was refused")
def then_all_slots_used(context):
    assert len(context.tier.in_flight) == 6
    assert len(context.load.upstreams.served) >= 6 * 39
    assert not context.tier.refusals_by_id


@behave.given("heavy keeps 40 lookups of 300 ms while light had to wait once")
def given_waited_once(context):
    context.load.durations_by_subscriber["heavy"] = 0.3
    context.load.keep("heavy", 40)
    context.load.upstreams.run(1.0)
    context.load.submit("light")
    context.load.upstreams.run(0.7)


@behave.when("light submits a lookup every 700 ms for 4 s")
def when_light_regular(context):
    context.sent_immediately = []
    for _ in range(6):
        before = len(context.load.upstreams.started)
        request_id = context.load.submit("light")
        context.load.upstreams.run(0.0)
        started = context.load.upstreams.started[before:]
        context.sent_immediately.append(
            request_id in {each.request_id for each in started}
        )
        context.load.upstreams.run(0.7)


@behave.then("each lookup of light was sent immediately")
def then_at_once(context):
    assert all(context.sent_immediately), context.sent_immediately


@behave.when("heavy goes on sending 100 lookups a second for 3 s beside light's 2")
def when_overload(context):
    for number in range(300):
        context.load.submit("heavy", "brief")
        if number % 50 == 0:
            context.load.submit("light", "brief")
        context.load.upstreams.run(0.01)
    context.load.upstreams.run(0.2)


@behave.then("heavy was refused as share_exceeded with ran no and a retry time")
def then_heavy_refused(context):
    errors = [
        error
        for request_id, error in context.tier.refusals_by_id.items()
        if request_id.startswith("heavy")
    ]
    shed = [error for error in errors if error.code == "share_exceeded"]
    assert len(shed) > 100, collections.Counter(error.code for error in errors)
    assert {error.ran for error in shed} == {exceptions.Ran.NO}
    assert all(0 < error.retry_after < 20 for error in shed)


@behave.then("every lookup of light was answered")
def then_light_all_answered(context):
    light = [key for key in context.load.queries_by_id if key.startswith("light")]
    missing = [key for key in light if key not in context.tier.answers_by_id]
    assert light and not missing, missing


@behave.when("light keeps 30 sweeps and 30 name checks of 10 ms waiting for 2 s")
def when_two_standings(context):
    context.load.keep("light", 30, "check")
    context.load.keep("light", 30, "sweep")
    context.load.upstreams.run(2.0)


@behave.then("of 16 sub-requests 15 were sweeps and 1 was a name check")
def then_order(context):
    kinds = [started.kind for started in context.load.upstreams.started[16:336]]
    for start in range(0, 320, 16):
        counts = collections.Counter(kinds[start : start + 16])
        assert counts == {"sweep": 15, "check": 1}, (start, counts)


@behave.when("a sweep is refused by one upstream while later sweeps wait")
def when_retry(context):
    context.first = context.load.submit("light", "sweep")
    for _ in range(6):
        context.tier.advance(0.001)
        context.load.submit("light", "sweep")
    first = context.tier.sent[0]
    context.tier.fail(first, upstream.FailureReason.OVERLOADED, not_run=True)
    context.tier.reply(context.tier.sent[1])


@behave.then("it is sent next")
def then_next(context):
    upstream_id = context.tier.sent[1].upstream_id
    order = [
        sent.request_id
        for sent in context.tier.sent[2:]
        if sent.upstream_id == upstream_id
    ]
    assert order[0] == context.first, order


class Ranks:
    """A subscriber order whose ranks the test sets."""

    def __init__(self):
        self.ranks_by_id = collections.defaultdict(float)

    def rank(self, subscriber_id):
        return self.ranks_by_id[subscriber_id]


class FairQueueMachine(stateful.RuleBasedStateMachine):
    """Compares the fair queue with a search over a plain list."""

    shards = (upstream.ShardRef("s", 0), upstream.ShardRef("s", 1))

    def __init__(self):
        super().__init__()
        self.ranks = Ranks()
        self.waits = wait_times.WaitTimes()
        self.queue = fair_queue.FairQueue(order=self.ranks, waits=self.waits)
        self.model = []
        self.passed = collections.Counter()
        self.numbers = itertools.count()

    @stateful.rule(
        subscriber_id=st.sampled_from("abc"),
        standing=st.integers(0, 2),
        both=st.booleans(),
    )
    def push(self, subscriber_id, standing, both):
        number = next(self.numbers)
        for shard_ref in self.shards[: 2 if both else 1]:
            waiting = fair_queue.QueuedSubRequest(
                request_id=f"r-{number}",
                subscriber_id=subscriber_id,
                shard_ref=shard_ref,
                standing=standing,
                query_arrived_at=float(number),
                queued_at=float(number),
                order=number,
            )
            self.queue.push(waiting)
            self.queue.push(waiting)
            self.model.append(waiting)

    @stateful.rule(subscriber_id=st.sampled_from("abc"), seconds=st.floats(0.1, 9.0))
    def charge(self, subscriber_id, seconds):
        self.ranks.ranks_by_id[subscriber_id] += seconds

    @stateful.rule(
        number=st.integers(0, 1),
        passed_over=st.sets(st.sampled_from("abc"), max_size=2),
        sent=st.booleans(),
    )
    def pop(self, number, passed_over, sent):
        shard_ref = self.shards[number]
        waiting = self.queue.pop(shard_ref, passed_over)
        candidates = [
            item
            for item in self.model
            if item.shard_ref == shard_ref and item.subscriber_id not in passed_over
        ]
        if not candidates:
            assert waiting is None, waiting
            return
        due = min(candidates, key=self._turn)
        assert waiting is not None
        assert self._turn(waiting)[:-1] == self._turn(due)[:-1], (waiting, due)
        if not sent:
            self.queue.push(waiting)
            return
        self.model.remove(waiting)
        self.queue.record_sent(waiting, 0.0)
        self._count_passed(waiting)

    @stateful.rule(data=st.data())
    def discard(self, data):
        if not self.model:
            return
        chosen = data.draw(st.sampled_from(self.model)).request_id
        self.queue.discard(chosen)
        self.model = [item for item in self.model if item.request_id != chosen]
        self._forget_gone_standings()

    @stateful.invariant()
    def same_size(self):
        assert len(self.queue) == len(self.model)

    def teardown(self):
        for shard_ref in self.shards:
            while self.queue.pop(shard_ref) is not None:
                pass
        assert len(self.queue) == 0
        assert not self.queue.sort_by_urgency(self.shards)

    def _turn(self, item):
        passed = self.passed[(item.shard_ref, item.standing)]
        overdue = passed if passed >= fair_queue.STARVATION_BOUND - 1 else 0
        rank = self.ranks.rank(item.subscriber_id)
        return (-overdue, -item.standing, rank, item.query_arrived_at)

    def _count_passed(self, served):
        self.passed[(served.shard_ref, served.standing)] = 0
        lower = {
            item.standing
            for item in self.model
            if item.shard_ref == served.shard_ref and item.standing < served.standing
        }
        for standing in lower:
            self.passed[(served.shard_ref, standing)] += 1
        self._forget_gone_standings()

    def _forget_gone_standings(self):
        live = {(item.shard_ref, item.standing) for item in self.model}
        for key in [known for known in self.passed if known not in live]:
            del self.passed[key]


@behave.then("a state machine over the fair queue finds no difference to a plain list")
def then_machine(context):
    stateful.run_state_machine_as_test(
        FairQueueMachine,
        settings=settings(
            max_examples=60,
            stateful_step_count=60,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )


class OwnerGates:
    """The gates of one owner host and the sub-requests it sent."""

    def __init__(self):
        self.tier = fake_core.CoreHarness(
            document_text=DOCUMENT, core_options=options.Options(slow_start=False)
        )
        self.tier.apply_announcements(fake_core.announce("u-0", slots=2))
        self.gates = self.tier.core.gates
        self.numbers = itertools.count()
        self.sent = []

    def offer(self, subscriber_id, over_share_slots=0):
        number = next(self.numbers)
        sub_request = upstream.SubRequest(
            request_id=f"{subscriber_id}-{number}",
            attempt=1,
            upstream_id="u-0",
            incarnation=1,
            address="127.0.0.1:9",
            shard_ref=upstream.ShardRef("credits-0", 0),
            snapshot=41,
            partitioning=1,
            deadline=1e9,
            kind="lookup",
            query=msgspec.Raw(b"{}"),
            subscriber_id=subscriber_id,
            over_share_slots=over_share_slots,
        )
        self.sent.extend(self.gates.submit([sub_request]).to_send)

    def end_oldest(self, seconds=0.1):
        self.tier.clock.advance(seconds)
        ended = self.sent.pop(0)
        outcome = upstream.Replied(
            request_id=ended.request_id, attempt=1, upstream_id="u-0", rows=()
        )
        self.sent.extend(self.gates.complete(outcome).to_send)

    def report(self, **seconds_by_id):
        usages = tuple(
            notices.SubscriberUsage(each, seconds)
            for each, seconds in seconds_by_id.items()
        )
        report = notices.UsageReport(usages=usages)
        self.tier.step(events.PeerNotice(host_id="h-2", payload=report))
        self.tier.clock.advance(0.05)


@behave.given("an owner of an upstream with 2 slots, and 9 sub-requests of heavy there")
def given_owner(context):
    context.owner = OwnerGates()
    for _ in range(9):
        context.owner.offer("heavy")
    context.owner.report(heavy=0.15, light=0.1)


@behave.when("light sends a sub-request to the owner and one of heavy ends")
def when_owner_light(context):
    context.owner.offer("light")
    context.owner.end_oldest()


@behave.then("the owner sends the sub-request of light next")
def then_owner_light(context):
    assert context.owner.sent[-1].subscriber_id == "light", context.owner.sent


@behave.given(
    "an owner of an upstream with 2 slots, and 9 of heavy over its share there"
)
def given_owner_over_share(context):
    context.owner = OwnerGates()
    for _ in range(9):
        context.owner.offer("heavy", over_share_slots=1)
    context.before = [sent.subscriber_id for sent in context.owner.sent]


@behave.when("light sends a sub-request to the owner")
def when_owner_light_comes(context):
    context.owner.offer("light")


@behave.then("the owner has sent that of light immediately beside one of heavy")
def then_owner_beside(context):
    after = [sent.subscriber_id for sent in context.owner.sent]
    assert context.before == ["heavy"], context.before
    assert after == ["heavy", "light"], after
