"""Steps about idempotency keys."""

import collections
import itertools

import behave
import msgspec
from hypothesis import settings, stateful
from hypothesis import strategies as st

from fakes import core as fake_core
from fakes import hosts
from greengagehaven import clock, exceptions
from greengagehaven.coordination.idempotency import claimant, recorder
from greengagehaven.protocol import claims, search, upstream

KEY = "bill-1"


def submit(context, host_id, request_id, query=b'{"debtor": "a", "case": 1}'):
    context.hosts.submit(
        host_id, request_id, kind="retire", idempotency_key=KEY, query=query
    )


def reply_all(context, host_id):
    tier = context.hosts.hosts_by_id[host_id]
    for sub_request in list(tier.in_flight.values()):
        tier.reply(sub_request, b'{"row": 1}')
    context.hosts.deliver_messages()


def refusal(context):
    for tier in context.hosts.hosts_by_id.values():
        if "resend" in tier.refusals_by_id:
            return tier.refusals_by_id["resend"]
    return None


@behave.given("three entry hosts with recorders and one billing upstream")
def given_hosts(context):
    context.hosts = hosts.Hosts(count=3)
    context.hosts.announce_upstreams(
        fake_core.announce("u-1"), fake_core.announce("u-2")
    )


@behave.given("h-2 is cut off from the recorders")
def given_cut_off(context):
    context.hosts.isolated_host_ids = {"h-2"}


@behave.when("the request is sent through h-1 and again through h-2")
def when_resent_running(context):
    submit(context, "h-1", "first")
    context.hosts.deliver_messages()
    context.hosts.advance(0.05)
    submit(context, "h-2", "resend", b'{ "case":1, "debtor":"a"}')
    context.hosts.deliver_messages()


@behave.when("the request is answered through h-1 and sent again through h-2")
def when_resent_answered(context):
    submit(context, "h-1", "first")
    context.hosts.deliver_messages()
    reply_all(context, "h-1")
    submit(context, "h-2", "resend")
    context.hosts.deliver_messages()
    context.hosts.advance(1.1)


@behave.when("the billing upstream replies and no recorder has stored the answer")
def when_replied_unrecorded(context):
    submit(context, "h-1", "first")
    context.hosts.deliver_messages()
    tier = context.hosts.hosts_by_id["h-1"]
    tier.reply(next(iter(tier.in_flight.values())), b'{"row": 1}')


@behave.when("the billing upstream replies while h-1 is cut off from the recorders")
def when_replied_cut_off(context):
    submit(context, "h-1", "first")
    context.hosts.deliver_messages()
    context.hosts.isolated_host_ids = {"h-1"}
    reply_all(context, "h-1")


@behave.when("the recorders store the answer")
def when_recorded(context):
    context.hosts.deliver_messages()


@behave.when("{milliseconds:d} ms pass on the billing hosts")
def when_time_passes(context, milliseconds):
    context.hosts.advance(milliseconds / 1000)


@behave.then("the caller of h-1 has no answer yet")
def then_no_answer(context):
    assert "first" not in context.hosts.hosts_by_id["h-1"].answers_by_id


@behave.then("the caller of h-1 has its answer")
def then_answer(context):
    assert "first" in context.hosts.hosts_by_id["h-1"].answers_by_id


@behave.when("the request is sent through h-1, which restarts, and again there")
def when_restarted(context):
    submit(context, "h-1", "first")
    context.hosts.deliver_messages()
    context.hosts.start("h-1")
    submit(context, "h-1", "resend")
    context.hosts.deliver_messages()


@behave.when(
    "the request is answered through h-1 and, with h-1 gone, resent through h-3"
)
def when_host_gone(context):
    submit(context, "h-1", "first")
    context.hosts.deliver_messages()
    reply_all(context, "h-1")
    del context.hosts.hosts_by_id["h-1"]
    submit(context, "h-3", "resend")
    context.hosts.deliver_messages()


@behave.when("the request is sent through h-1 and h-2 before any message is delivered")
def when_sent_at_once(context):
    submit(context, "h-1", "first")
    submit(context, "h-2", "resend")
    context.hosts.deliver_messages()
    context.hosts.advance(1.1)


@behave.when("the request is answered through h-1 and another is sent with its key")
def when_key_reused(context):
    submit(context, "h-1", "first")
    context.hosts.deliver_messages()
    reply_all(context, "h-1")
    submit(context, "h-2", "resend", b'{"debtor": "b", "case": 1}')
    context.hosts.deliver_messages()


@behave.when("the request is refused as not run through h-1 and sent again through h-2")
def when_not_run(context):
    submit(context, "h-1", "first")
    context.hosts.deliver_messages()
    tier = context.hosts.hosts_by_id["h-1"]
    while tier.in_flight:
        tier.fail(
            next(iter(tier.in_flight.values())),
            upstream.FailureReason.OVERLOADED,
            not_run=True,
        )
        context.hosts.deliver_messages()
    context.refused_count = len(context.hosts.sent_sub_requests)
    submit(context, "h-2", "resend")
    context.hosts.deliver_messages()
    reply_all(context, "h-2")


@behave.then("the billing upstream got it once")
def then_once(context):
    assert len(context.hosts.sent_sub_requests) == 1, context.hosts.sent_sub_requests


@behave.then("the billing upstream got it at most once")
def then_at_most_once(context):
    assert len(context.hosts.sent_sub_requests) <= 1, context.hosts.sent_sub_requests


@behave.then("the billing upstream got it twice, the second time to run it")
def then_again(context):
    assert len(context.hosts.sent_sub_requests) == context.refused_count + 1, (
        context.hosts.sent_sub_requests
    )
    first = context.hosts.hosts_by_id["h-1"].refusals_by_id["first"]
    assert first.ran == "no", first.ran
    assert "resend" in context.hosts.hosts_by_id["h-2"].answers_by_id


@behave.then("the resend was refused as {code} with ran {ran}")
def then_refused(context, code, ran):
    error = refusal(context)
    assert error is not None
    assert (error.code, str(error.ran)) == (code, ran), (error.code, error.ran)


@behave.then("the resend got the recorded answer")
def then_recorded(context):
    answers = [
        tier.answers_by_id["resend"]
        for tier in context.hosts.hosts_by_id.values()
        if "resend" in tier.answers_by_id
    ]
    rows = [msgspec.json.decode(row.row) for row in answers[0].results]
    assert rows == [{"row": 1}], rows


@behave.given("a single entry host")
def given_single_host(context):
    context.tier = fake_core.CoreHarness()
    context.tier.apply_announcements(
        fake_core.announce("u-1"), fake_core.announce("u-2")
    )


@behave.when("it answers a non-idempotent request and gets it again")
def when_single_host_resent(context):
    for request_id in ("first", "resend"):
        context.tier.submit(request_id, kind="retire", idempotency_key=KEY)
        for sub_request in list(context.tier.in_flight.values()):
            context.tier.reply(sub_request, b'{"row": 1}')


@behave.then("it ran once, the resend has the recorded answer, and its status is known")
def then_answered_once(context):
    assert len(context.tier.sent) == 1, context.tier.sent
    answers = [context.tier.answers_by_id[each] for each in ("first", "resend")]
    rows = [
        [msgspec.json.decode(row.row) for row in answer.results] for answer in answers
    ]
    assert rows == [[{"row": 1}], [{"row": 1}]], rows
    status = context.tier.core.request_status("demo", KEY)
    assert status.state is search.RequestState.ANSWERED, status
    try:
        context.tier.core.request_status("other", KEY)
    except exceptions.NotFoundError:
        pass
    else:
        raise AssertionError("another subscriber's key was disclosed")


def make_record(name, **fields):
    return claims.Record(
        record_id=name, fingerprint="f", token=f"t-{name}", run_ms=1000, **fields
    )


@behave.given("a recorder that keeps 2 records for 60 s and 100 bytes of answers")
def given_small_recorder(context):
    context.clock = clock.ManualClock()
    context.recorder = recorder.Recorder(
        clock=context.clock,
        recorder_id="c-1",
        recorder_ids=frozenset({"c-1"}),
        incarnation=1,
        has_complete_state=True,
        limits=recorder.RecorderLimits(
            retention=60.0, max_records=2, max_answers_bytes=100
        ),
    )


def handle_request(context, request):
    reply, _ = context.recorder.handle(request)
    return reply


@behave.when("3 keys are claimed and the first two are answered with 80 bytes each")
def when_full(context):
    for name in ("a", "b"):
        granted = handle_request(
            context, claims.Claim(recorders="c-1", record=make_record(name))
        )
        assert granted.verdict is claims.Verdict.GRANTED, granted
        answered = make_record(
            name, state=claims.RecordState.ANSWERED, answer=b"x" * 80
        )
        handle_request(context, claims.Conclude(recorders="c-1", record=answered))
    claim = claims.Claim(recorders="c-1", record=make_record("c"))
    context.third_verdict = handle_request(context, claim).verdict


@behave.then("the third was rejected and only the newer answer is kept")
def then_full(context):
    assert context.third_verdict is claims.Verdict.FULL, context.third_verdict
    kept = [
        handle_request(context, claims.Lookup(recorders="c-1", record_id=name)).record
        for name in ("a", "b")
    ]
    assert [record.answer for record in kept] == [None, b"x" * 80], kept
    assert {record.state for record in kept} == {claims.RecordState.ANSWERED}
    assert context.recorder.answers_bytes == 80


@behave.then("after 61 s nothing is kept and the third is granted")
def then_expired(context):
    context.clock.advance(61.0)
    claim = claims.Claim(recorders="c-1", record=make_record("c"))
    assert handle_request(context, claim).verdict is claims.Verdict.GRANTED
    assert (len(context.recorder), context.recorder.answers_bytes) == (1, 0)


class AtMostOnceMachine(stateful.RuleBasedStateMachine):
    """Claimants and recorders over a network that loses, doubles and delays."""

    ids = tuple(sorted(hosts.RECORDER_IDS))

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.journals_by_id = {each: [] for each in self.ids}
        self.incarnations_by_id = dict.fromkeys(self.ids, 1)
        self.cursors = collections.defaultdict(str)
        self.recorders_by_id = {
            each: self._start(each, has_memory=True) for each in self.ids
        }
        self.claimants = [self._make_claimant() for _ in range(3)]
        self.network = []
        self.tokens = itertools.count()
        self.claims_by_token = {}
        self.ran_by_key = collections.defaultdict(set)

    def _make_claimant(self):
        return claimant.Claimant(clock=self.clock, recorder_ids=hosts.RECORDER_IDS)

    def _start(self, recorder_id, *, has_memory):
        return recorder.Recorder(
            clock=self.clock,
            recorder_id=recorder_id,
            recorder_ids=hosts.RECORDER_IDS,
            incarnation=self.incarnations_by_id[recorder_id],
            changes=tuple(self.journals_by_id[recorder_id]),
            has_complete_state=has_memory,
        )

    def _carry_out(self, number, steps):
        for step in steps:
            if isinstance(step, claimant.SendToRecorder):
                self.network.append((number, step, None))
            elif isinstance(step, claimant.Granted):
                key = self.claims_by_token[step.token]
                self.ran_by_key[key].add(step.token)

    @stateful.rule(number=st.integers(0, 2), key=st.sampled_from(("k", "l")))
    def claim(self, number, key):
        token = f"t-{next(self.tokens)}"
        self.claims_by_token[token] = key
        steps = self.claimants[number].start_claim(
            record_id=key, fingerprint="f", token=token, deadline=1e9
        )
        self._carry_out(number, steps)

    @stateful.rule(data=st.data(), keep=st.booleans())
    def deliver(self, data, keep):
        if not self.network:
            return
        index = data.draw(st.integers(0, len(self.network) - 1))
        number, ask, reply = self.network[index]
        if not keep:
            self.network.pop(index)
        if reply is None:
            answered, change = self.recorders_by_id[ask.recorder_id].handle(ask.request)
            if change is not None:
                self.journals_by_id[ask.recorder_id].append(change)
            self.network.append((number, ask, answered))
        else:
            self._carry_out(number, self.claimants[number].handle_reply(ask, reply))

    @stateful.rule(number=st.integers(0, 2))
    def deliver_all_in_order(self, number):
        for _ in range(40):
            mine = [entry for entry in self.network if entry[0] == number]
            if not mine:
                return
            self.network.remove(mine[0])
            _, ask, reply = mine[0]
            if reply is None:
                answered, change = self.recorders_by_id[ask.recorder_id].handle(
                    ask.request
                )
                if change is not None:
                    self.journals_by_id[ask.recorder_id].append(change)
                self.network.append((number, ask, answered))
            else:
                self._carry_out(number, self.claimants[number].handle_reply(ask, reply))

    @stateful.rule(data=st.data())
    def lose(self, data):
        if self.network:
            index = data.draw(st.integers(0, len(self.network) - 1))
            self.network.pop(index)

    @stateful.rule(number=st.integers(0, 2), data=st.data())
    def time_out(self, number, data):
        tokens = sorted(self.claims_by_token)
        if tokens:
            token = data.draw(st.sampled_from(tokens))
            self._carry_out(number, self.claimants[number].decide_now(token))

    @stateful.rule(number=st.integers(0, 2), data=st.data(), ran=st.booleans())
    def finish(self, number, data, ran):
        tokens = sorted(
            token
            for token in self.claims_by_token
            if self.claimants[number].is_running(token)
        )
        if not tokens:
            return
        token = data.draw(st.sampled_from(tokens))
        if ran:
            steps = self.claimants[number].conclude(token, b"{}")
        else:
            self.ran_by_key[self.claims_by_token[token]].discard(token)
            steps = self.claimants[number].release(token)
        self._carry_out(number, steps)

    @stateful.rule(number=st.integers(0, 2))
    def restart_host(self, number):
        self.claimants[number] = self._make_claimant()

    @stateful.rule(recorder_id=st.sampled_from(ids))
    def restart_recorder(self, recorder_id):
        if not self.recorders_by_id[recorder_id].abstains:
            self.recorders_by_id[recorder_id] = self._start(
                recorder_id, has_memory=True
            )

    @stateful.rule(recorder_id=st.sampled_from(ids))
    def lose_disk(self, recorder_id):
        if any(each.abstains for each in self.recorders_by_id.values()):
            return
        self.journals_by_id[recorder_id] = []
        self.incarnations_by_id[recorder_id] += 1
        for other in self.ids:
            self.cursors[(recorder_id, other)] = ""
        self.recorders_by_id[recorder_id] = self._start(recorder_id, has_memory=False)

    @stateful.rule(source=st.sampled_from(ids))
    def copy(self, source):
        for recorder_id, each in self.recorders_by_id.items():
            if not each.abstains or recorder_id == source:
                continue
            request = each.build_copy_request(self.cursors[(recorder_id, source)])
            reply, change = self.recorders_by_id[source].handle(request)
            if change is not None:
                self.journals_by_id[source].append(change)
            self.journals_by_id[recorder_id].extend(each.merge_copied_page(reply))
            if reply.records:
                self.cursors[(recorder_id, source)] = reply.records[-1].record_id

    @stateful.invariant()
    def ran_once(self):
        for key, tokens in self.ran_by_key.items():
            assert len(tokens) <= 1, (key, tokens)


@behave.then("a state machine over recorders and claimants finds no key that ran twice")
def then_machine(context):
    stateful.run_state_machine_as_test(
        AtMostOnceMachine,
        settings=settings(
            max_examples=250,
            stateful_step_count=50,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )


class RecorderTrio:
    """One claimant and three recorders that receive its requests one by one."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.recorders_by_id = {
            each: self.make(each, 1, has_memory=True) for each in hosts.RECORDER_IDS
        }
        self.claimant = claimant.Claimant(
            clock=self.clock, recorder_ids=hosts.RECORDER_IDS
        )
        self.granted = []

    def make(self, recorder_id, incarnation, *, has_memory):
        return recorder.Recorder(
            clock=self.clock,
            recorder_id=recorder_id,
            recorder_ids=hosts.RECORDER_IDS,
            incarnation=incarnation,
            has_complete_state=has_memory,
        )

    def begin(self, token):
        steps = self.claimant.start_claim(
            record_id="k", fingerprint="f", token=token, deadline=1e9
        )
        return {step.recorder_id: step for step in steps}

    def ask(self, asked):
        reply, _ = self.recorders_by_id[asked.recorder_id].handle(asked.request)
        for step in self.claimant.handle_reply(asked, reply):
            if isinstance(step, claimant.Granted):
                self.granted.append(step.token)
        return reply

    def lose_disk(self, recorder_id):
        self.recorders_by_id[recorder_id] = self.make(recorder_id, 2, has_memory=False)

    def copy(self, recorder_id, source):
        empty = self.recorders_by_id[recorder_id]
        reply, _ = self.recorders_by_id[source].handle(empty.build_copy_request())
        empty.merge_copied_page(reply)


@behave.given("three recorders and a claim that only c-1 has granted so far")
def given_one_grant(context):
    context.trio = RecorderTrio()
    context.asks = context.trio.begin("t-1")
    context.trio.ask(context.asks["c-1"])


@behave.given("three recorders and a claim that c-1 and c-2 have granted")
def given_two_grants(context):
    given_one_grant(context)
    context.trio.ask(context.asks["c-2"])
    assert context.trio.granted == ["t-1"]


@behave.when("c-1 loses its disk, copies the others, and the claim reaches c-2")
def when_late_grant(context):
    context.trio.lose_disk("c-1")
    context.trio.copy("c-1", "c-2")
    context.trio.copy("c-1", "c-3")
    context.trio.ask(context.asks["c-2"])


@behave.when("c-1 loses its disk and copies c-3 only")
def when_copied_one(context):
    context.trio.lose_disk("c-1")
    context.trio.copy("c-1", "c-3")


@behave.then("the claim is not granted, but a later one through c-1 and c-3 is")
def then_void(context):
    assert context.trio.granted == []
    asks = context.trio.begin("t-2")
    context.trio.ask(asks["c-1"])
    context.trio.ask(asks["c-3"])
    assert context.trio.granted == ["t-2"], context.trio.granted


@behave.then("a later claim through c-1 and c-3 is not granted")
def then_abstains(context):
    asks = context.trio.begin("t-2")
    reply = context.trio.ask(asks["c-1"])
    context.trio.ask(asks["c-3"])
    assert reply.verdict is claims.Verdict.ABSTAINS, reply
    assert context.trio.granted == ["t-1"], context.trio.granted


@behave.when("a host with an older set of recorders claims the same key")
def when_older_set(context):
    request = claims.Claim(recorders="c-1,c-2,c-9", record=make_record("k"))
    context.verdicts = {
        each.handle(request)[0].verdict
        for each in context.trio.recorders_by_id.values()
    }


@behave.then("every recorder abstains")
def then_all_abstain(context):
    assert context.verdicts == {claims.Verdict.ABSTAINS}, context.verdicts
