"""State machine that checks the decision core against an independent model."""

import collections

import msgspec
from hypothesis import stateful
from hypothesis import strategies as st

from fakes import core as fake_core
from greengagehaven import exceptions
from greengagehaven.coordination import events
from greengagehaven.protocol import upstream

SERVICES = ("credits-0", "credits-1")
SHARD_COUNTS = {1: 2, 2: 3}
UPSTREAM_IDS = tuple(f"u-{number}" for number in range(6))
KINDS = ("sweep", "scan", "lookup", "retire")
SETTLE_S = 30.0


class QueryMachine(stateful.RuleBasedStateMachine):
    """Drives a core at random and holds every action against the records."""

    def __init__(self):
        super().__init__()
        self.tier = fake_core.CoreHarness()
        self.versions = collections.Counter()
        self.kinds_by_request = {}
        self.endings = collections.Counter()
        self.ended = []
        self.not_run_ids = set()
        self.sent_by_request = collections.defaultdict(list)
        self.drained = frozenset()

    def check(self, actions):
        """Hold the actions of one step against the records."""
        for action in actions:
            if isinstance(action, events.Dispatch):
                for sub_request in action.batch:
                    self.check_dispatch(sub_request)
            elif isinstance(action, events.AnswerQuery):
                self.endings[action.answer.request_id] += 1
                self.check_answer(action.answer)
            elif isinstance(action, events.RefuseQuery):
                self.endings[action.request_id] += 1
                self.check_refusal(action)
            elif isinstance(action, events.Cancel):
                key = (action.request_id, action.attempt)
                assert key in self.tier.in_flight, f"cancelled what had ended: {key}"
        assert max(self.endings.values(), default=1) <= 1, self.endings

    def check_dispatch(self, sub_request):
        """Check that the upstream holds what it is asked for, and only once."""
        announcement = self.tier.directory.upstreams_by_id[sub_request.upstream_id]
        assert announcement.state is upstream.UpstreamState.READY
        assert announcement.availability_zone not in self.drained
        assert announcement.incarnation == sub_request.incarnation
        assert sub_request.snapshot in announcement.snapshots
        assert any(
            (hosted.ref, hosted.partitioning)
            == (sub_request.shard_ref, sub_request.partitioning)
            for hosted in announcement.shards
        )
        sent = self.sent_by_request[sub_request.request_id]
        if self.kinds_by_request[sub_request.request_id] == "retire":
            for earlier in sent:
                if earlier.shard_ref == sub_request.shard_ref:
                    assert earlier.id in self.not_run_ids, "may run twice"
        sent.append(sub_request)

    def check_answer(self, answer):
        """Check rows and coverage of an answer."""
        versions_by_service = {}
        answered = set()
        for result in answer.results:
            row = msgspec.json.decode(result.row)
            assert row["request"] == answer.request_id, "rows of another request"
            assert row["snapshot"] == answer.snapshot, "two index versions mixed"
            assert (row["service"], row["shard"]) == (result.service, result.shard)
            versions = versions_by_service.setdefault(result.service, set())
            versions.add(row["partitioning"])
            assert len(versions) == 1, "two partitionings mixed"
            shard = (result.service, result.shard)
            assert shard not in answered, "a shard was taken twice"
            answered.add(shard)
        coverage = answer.coverage
        missing = [(miss.service, miss.shard) for miss in coverage.missing]
        assert len(set(missing)) == len(missing)
        assert not answered & set(missing)
        assert coverage.answered == len(answered)
        assert coverage.total == len(answered) + len(missing)
        assert coverage.complete == (not missing)
        if self.kinds_by_request[answer.request_id] != "scan":
            assert coverage.complete, "a partial search is an error here"
        if self.kinds_by_request[answer.request_id] != "lookup":
            self.check_total(versions_by_service, answered | set(missing))

    def check_total(self, versions_by_service, shards):
        """Check that all shards of the pinned partitionings are named."""
        for service, versions in versions_by_service.items():
            (partitioning,) = versions
            named = {shard for name, shard in shards if name == service}
            assert named == set(range(SHARD_COUNTS[partitioning])), named

    def check_refusal(self, refused):
        """Check that a refusal that says "not run" is true."""
        sent = self.sent_by_request[refused.request_id]
        may_have_run = [item for item in sent if item.id not in self.not_run_ids]
        if refused.error.ran is exceptions.Ran.NO:
            assert not may_have_run, "it may have run"

    @stateful.initialize()
    def begin(self):
        """Start with every shard covered."""
        for number, upstream_id in enumerate(UPSTREAM_IDS):
            self.announce(upstream_id, 1, (41,), "ab"[number % 2], False, "ready")

    @stateful.rule(
        upstream_id=st.sampled_from(UPSTREAM_IDS),
        partitioning=st.sampled_from((1, 1, 2)),
        snapshots=st.sampled_from(((41,), (41, 42), (42,))),
        zone=st.sampled_from("ab"),
        restarted=st.booleans(),
        state=st.sampled_from(("ready", "ready", "ready", "draining", "starting")),
    )
    def announce(self, upstream_id, partitioning, snapshots, zone, restarted, state):
        """An upstream comes or changes what it holds."""
        incarnation, sequence = divmod(self.versions[upstream_id], 1000)
        if restarted:
            incarnation, sequence = incarnation + 1, 0
        self.versions[upstream_id] = incarnation * 1000 + sequence + 1
        number = UPSTREAM_IDS.index(upstream_id)
        count = SHARD_COUNTS[partitioning]
        shards = tuple((name, number % count, count) for name in SERVICES)
        announcement = fake_core.announce(
            upstream_id,
            shards=shards,
            partitioning=partitioning,
            snapshots=snapshots,
            zone=zone,
            incarnation=incarnation,
            sequence=sequence + 1,
            state=upstream.UpstreamState(state),
        )
        self.tier.directory.apply_announcement(announcement)
        self.directory_changed(upstream_id)

    @stateful.rule(upstream_id=st.sampled_from(UPSTREAM_IDS))
    def withdraw(self, upstream_id):
        """An upstream leaves or its lease ends."""
        known = self.tier.directory.upstreams_by_id.get(upstream_id)
        if known is not None:
            self.tier.directory.withdraw(upstream_id, known.version)
            self.directory_changed(upstream_id)

    def directory_changed(self, upstream_id):
        """Tell the core of a change."""
        changed = events.DirectoryChanged(upstream_ids=frozenset((upstream_id,)))
        self.check(self.tier.step(changed))

    @stateful.rule(zones=st.sampled_from((frozenset(), frozenset("a"))))
    def drain_zones(self, zones):
        """Operators drain a zone or restore it."""
        self.drained = zones
        self.check(self.tier.step(events.ZonesDrained(zones=zones)))

    @stateful.rule(count=st.integers(1, 3))
    def change_hosts(self, count):
        """Entry hosts come and go."""
        zones = {f"h-{number}": "ab"[number % 2] for number in range(1, count + 1)}
        self.check(self.tier.step(events.HostsChanged(zones_by_host_id=zones)))

    @stateful.rule(
        kind=st.sampled_from(KINDS),
        services=st.sampled_from((SERVICES, SERVICES[:1])),
        key=st.integers(0, 9),
    )
    def submit(self, kind, services, key):
        """A caller's query arrives."""
        request_id = f"r-{len(self.kinds_by_request)}"
        self.kinds_by_request[request_id] = kind
        actions = self.tier.submit(
            request_id,
            kind=kind,
            services=services,
            query=b'{"key": "%d"}' % key,
            idempotency_key=request_id if kind == "retire" else None,
        )
        self.check(actions)

    def draw_in_flight(self, data):
        """Return one of the sub-requests in flight, or ``None``."""
        keys = sorted(self.tier.in_flight)
        if not keys:
            return None
        return self.tier.in_flight[data.draw(st.sampled_from(keys))]

    def finish(self, outcome):
        """Hand an outcome to the core; it may come again later."""
        self.ended.append(outcome)
        key = (outcome.request_id, outcome.attempt)
        self.tier.in_flight.pop(key, None)
        if isinstance(outcome, upstream.Failed) and outcome.not_run:
            self.not_run_ids.add(key)
        self.check(self.tier.step(events.OutcomeReceived(outcome=outcome)))

    def reply_to(self, sub_request):
        """Return the reply to a sub-request; its row names what it answers."""
        row = {
            "request": sub_request.request_id,
            "service": sub_request.shard_ref.service,
            "shard": sub_request.shard_ref.shard,
            "snapshot": sub_request.snapshot,
            "partitioning": sub_request.partitioning,
        }
        return upstream.Replied(
            request_id=sub_request.request_id,
            attempt=sub_request.attempt,
            upstream_id=sub_request.upstream_id,
            rows=(msgspec.Raw(msgspec.json.encode(row)),),
            load=upstream.LoadReport(in_flight=1, queued=0),
        )

    @stateful.rule(data=st.data())
    def reply(self, data):
        """An upstream replies, in any order."""
        sub_request = self.draw_in_flight(data)
        if sub_request is not None:
            self.finish(self.reply_to(sub_request))

    @stateful.rule(
        data=st.data(),
        reason=st.sampled_from(upstream.FailureReason),
        not_run=st.booleans(),
    )
    def fail(self, data, reason, not_run):
        """A sub-request fails: truncated, mis-echoed, reset or refused."""
        sub_request = self.draw_in_flight(data)
        if sub_request is not None:
            self.finish(fail_of(sub_request, reason, not_run=not_run))

    @stateful.rule(data=st.data())
    def repeat(self, data):
        """An outcome comes a second time."""
        if self.ended:
            outcome = data.draw(st.sampled_from(self.ended))
            self.check(self.tier.step(events.OutcomeReceived(outcome=outcome)))

    @stateful.rule(data=st.data(), attempt=st.integers(1, 9))
    def misdirect(self, data, attempt):
        """A reply comes from an upstream that the attempt was not sent to."""
        sub_request = self.draw_in_flight(data)
        if sub_request is None:
            return
        foreign = msgspec.structs.replace(
            self.reply_to(sub_request), attempt=attempt, upstream_id="u-foreign"
        )
        self.check(self.tier.step(events.OutcomeReceived(outcome=foreign)))

    @stateful.rule(seconds=st.sampled_from((0.005, 0.05, 0.3, 1.0, 3.0)))
    def wait(self, seconds):
        """Time passes; hedges and deadlines fire."""
        end = self.tier.clock.monotonic() + seconds
        wakes = sorted(moment for moment in self.tier.timer_times if moment <= end)
        for moment in wakes:
            self.tier.timer_times.remove(moment)
            ahead = moment - self.tier.clock.monotonic()
            self.tier.clock.advance(max(0.0, ahead))
            self.check(self.tier.step(events.TimeReached()))
        self.tier.clock.advance(max(0.0, end - self.tier.clock.monotonic()))

    @stateful.rule(data=st.data())
    def abandon(self, data):
        """A caller closes its connection."""
        if self.kinds_by_request:
            request_id = data.draw(st.sampled_from(sorted(self.kinds_by_request)))
            if not self.endings[request_id]:
                if self.kinds_by_request[request_id] != "retire":
                    # No caller is left to receive an answer, so none is expected.
                    self.endings[request_id] = 1
                event = events.QueryAbandoned(request_id=request_id)
                self.check(self.tier.step(event))

    def teardown(self):
        """Let everything end: nothing may be left in flight."""
        for _ in range(20):
            for sub_request in list(self.tier.in_flight.values()):
                reason = upstream.FailureReason.CANCELLED
                self.finish(fail_of(sub_request, reason, not_run=False))
            self.wait(SETTLE_S / 20)
        assert self.tier.core.in_flight_query_count == 0
        assert self.tier.core.in_flight_attempt_count == 0
        assert all(self.endings[request_id] for request_id in self.kinds_by_request)
        assert not any(
            stats.in_flight for stats in self.tier.core.stats_by_id.values()
        ), "a slot was not given back"


def fail_of(sub_request, reason, *, not_run):
    """Return a failed outcome for a sub-request."""
    return upstream.Failed(
        request_id=sub_request.request_id,
        attempt=sub_request.attempt,
        upstream_id=sub_request.upstream_id,
        reason=reason,
        not_run=not_run,
    )
