"""Steps about requests that crash the upstreams that run them."""

import collections

import behave

from fakes import sweeps
from greengagehaven.coordination.routing import events
from greengagehaven.protocol import watching


@behave.given("a sweep that crashes each upstream that runs it")
def given_crashing(context):
    context.fingerprint = "crashing"


@behave.when("its caller sends it {count:d} times, {gap:d} ms apart")
def when_resent(context, count, gap):
    context.numbers = []
    for _ in range(count):
        number = context.tier.request("/sweep/1", fingerprint=context.fingerprint)
        context.numbers.append(number)
        index = 0
        while index < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[index]
            context.tier.lose_connection(send, listener=events.Listener.CLOSED)
            index += 1
        context.tier.advance_clock(gap / 1000)


@behave.then("no shard lost more than {count:d} upstreams")
def then_lost(context, count):
    lost = collections.defaultdict(set)
    for send in context.tier.sent:
        shard = send.upstream_id.rpartition("-")[0]
        lost[shard].add(send.upstream_id)
    assert max(len(ids) for ids in lost.values()) <= count, lost


@behave.then("its caller got the error quarantined")
def then_quarantined(context):
    endings = [
        context.tier.final_actions_by_number[number] for number in context.numbers
    ]
    codes = [ending.error.code for ending in endings]
    assert codes[-20:] == ["quarantined"] * 20, codes


@behave.when("another sweep arrives")
def when_another_sweep(context):
    context.number = context.tier.request("/sweep/other")


@behave.then("it is sent to every shard")
def then_every_shard(context):
    assert len(context.tier.attempts_of(context.number)) == 10


@behave.given("another host reported that a sweep crashed 2 upstreams of a shard")
def given_reported(context):
    context.fingerprint = "crashing"
    report_crashes(context, context.fingerprint, "shard-3", range(2))


def report_crashes(context, fingerprint, service, upstreams):
    crashes = tuple(
        watching.Crash(
            fingerprint=fingerprint,
            service=service,
            upstream_id=f"{service}-u{number}",
            incarnation=1,
        )
        for number in upstreams
    )
    context.tier.step(events.CrashesReported(crashes=crashes))


@behave.when("that sweep arrives here")
@behave.when("a sweep with that fingerprint arrives")
def when_same_sweep(context):
    context.number = context.tier.request("/sweep/1", fingerprint=context.fingerprint)


@behave.then("no attempt was sent for it")
def then_nothing_sent(context):
    assert context.tier.attempts_of(context.number) == []


@behave.when("the answers to {count:d} sweeps with one fingerprint are lost")
def when_answers_lost(context, count):
    lose_sweeps(context, count, listener=events.Listener.OPEN)


@behave.when("a partition drops the answers to {count:d} sweeps with one fingerprint")
def when_answers_dropped(context, count):
    lose_sweeps(context, count, listener=events.Listener.NO_RESPONSE)


def lose_sweeps(context, count, *, listener):
    context.fingerprint = "good"
    for _ in range(count):
        number = context.tier.request("/sweep/1", fingerprint=context.fingerprint)
        index = 0
        while index < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[index]
            context.tier.lose_connection(send, listener=listener)
            index += 1


@behave.when("its attempt is lost without a byte of a reply")
def when_lost_without_reply(context):
    sweeps.fail_attempt(context, 0, events.Fault.LOST, received_nothing=True)


@behave.when("the check shows that its upstream no longer listens")
def when_not_listening(context):
    check = context.tier.checked.pop()
    closed = events.Listener.CLOSED
    context.tier.step(events.ListenerChecked(attempt=check.attempt, listener=closed))


@behave.when("other hosts report 2 upstream crashes for each of {count:d} sweeps")
def when_many_crashes(context, count):
    context.fingerprints = [f"cut-{number}" for number in range(count)]
    for number, fingerprint in enumerate(context.fingerprints):
        report_crashes(context, fingerprint, f"shard-{number}", range(2))


@behave.when("another host reports a third upstream crash for the first of them")
def when_third_crash(context):
    context.fingerprint = context.fingerprints[0]
    report_crashes(context, context.fingerprint, "shard-0", [2])


@behave.then("none of these sweeps is refused")
def then_none_refused(context):
    for fingerprint in context.fingerprints:
        number = context.tier.request("/sweep/1", fingerprint=fingerprint)
        assert context.tier.attempts_of(number), fingerprint
