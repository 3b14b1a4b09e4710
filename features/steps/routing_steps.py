"""Steps about the router of an entry host."""

import collections

import behave

from fakes import load, routing, sweeps
from greengagehaven.coordination.routing import events, merging
from greengagehaven.protocol import watching


@behave.given(
    "a router whose routes are /reg/ to service short and /reg/deep/ to service long"
)
def given_two_routes(context):
    context.tier = routing.RouterHarness()
    short = routing.single_route(("short", 1.0), prefix="/reg/")
    long = routing.single_route(("long", 1.0), prefix="/reg/deep/")
    context.tier.apply_routing_table(routing.routing_table(1, short, long))
    context.tier.apply_upstream_entries(
        *sweeps.upstream_entries("short", 2), *sweeps.upstream_entries("long", 2)
    )


@behave.given("a router without a routing table")
def given_no_routing_table(context):
    context.tier = routing.RouterHarness()


@behave.given(
    "a router with a sweep over {shards:d} shards of {count:d} upstreams each"
)
def given_sweeps(context, shards, count):
    sweeps.set_up_sweep_router(context, shards, count)


@behave.given("a router that has just started, with a sweep over 1 shard")
def given_just_started(context):
    sweeps.set_up_sweep_router(context, 1, 3, uptime=0.0)


@behave.given(
    "a router with a sweep over {shards:d} shards of {count:d} cold upstreams, limited "
    "to {rate:d} requests a second"
)
def given_cold_sweeps(context, shards, count, rate):
    sweeps.set_up_sweep_router(
        context, shards, count, cold_rate=float(rate), cold_left_ms=60_000
    )


@behave.given("a router with a route for non-idempotent requests")
def given_non_idempotent(context):
    context.tier = routing.RouterHarness()
    route = routing.single_route(("billed", 1.0), is_idempotent=False)
    context.tier.apply_routing_table(routing.routing_table(1, route))
    context.tier.apply_upstream_entries(*sweeps.upstream_entries("billed", 3))


@behave.given(
    "a router whose route gives service one a weight of 3 and service two a weight of 1"
)
def given_weights(context):
    context.tier = routing.RouterHarness()
    route = routing.single_route(("one", 3.0), ("two", 1.0))
    context.tier.apply_routing_table(routing.routing_table(1, route))
    context.tier.apply_upstream_entries(
        *sweeps.upstream_entries("one", 3), *sweeps.upstream_entries("two", 3)
    )


@behave.given("all upstreams of {count:d} shards are gone")
def given_gone(context, count):
    for name in sweeps.SHARD_NAMES[:count]:
        context.tier.apply_upstream_entries(
            *(each.as_gone() for each in sweeps.upstream_entries(name, 3))
        )


@behave.given(
    "{count:d} entry hosts share a budget with a burst of 20 and a ratio of 0.2"
)
def given_hosts(context, count):
    context.tier.step(events.HostCountChanged(count=count))


@behave.given("{count:d} entry hosts share the upstreams")
def given_sharing_hosts(context, count):
    context.tier.step(events.HostCountChanged(count=count))


@behave.given("operators drain zone {zone}")
def given_drained_zone(context, zone):
    context.tier.step(events.ZonesDrained(zones=frozenset({zone})))


@behave.given("the first upstream of the first shard is draining")
def given_draining(context):
    first = routing.upstream_entry(
        "shard-0-u0",
        "shard-0",
        sequence=2,
        stage=watching.Stage.DRAINING,
    )
    context.tier.apply_upstream_entries(first)


@behave.when("a request for {path} arrives")
def when_request(context, path):
    context.number = context.tier.request(path)


@behave.when("a sweep arrives")
def when_sweep(context):
    context.number = context.tier.request("/sweep/1")


@behave.when("a non-idempotent request arrives")
def when_non_idempotent(context):
    context.number = context.tier.request("/single/1")


@behave.when("all its attempts are answered")
def when_all_answered(context):
    for send in context.tier.attempts_of(context.number):
        context.tier.answer_attempt(send)


@behave.when("all its attempts but the first are answered")
def when_all_but_first(context):
    for send in context.tier.attempts_of(context.number)[1:]:
        context.tier.answer_attempt(send)


@behave.when("{count:d} ms pass")
def when_ms_pass(context, count):
    context.tier.advance_clock(count / 1000)


@behave.when("the second attempt is answered")
def when_second_answered(context):
    context.tier.answer_attempt(context.tier.attempts_of(context.number)[-1])


@behave.when("a routing table with 5 other shards takes effect")
def when_other_routing_table(context):
    names = sweeps.SHARD_NAMES[5:]
    context.tier.apply_routing_table(
        routing.routing_table(2, routing.sweep_route(names))
    )


@behave.when("its attempt is lost")
def when_lost(context):
    sweeps.fail_attempt(context, 0, events.Fault.LOST)


@behave.when("its attempt is rejected as not run")
def when_rejected(context):
    send = context.tier.attempts_of(context.number)[0]
    context.tier.answer_attempt(send, status=503, not_run=True)


@behave.when("every attempt is rejected as not run")
def when_all_rejected(context):
    index = 0
    while index < len(context.tier.attempts_of(context.number)):
        send = context.tier.attempts_of(context.number)[index]
        context.tier.answer_attempt(send, status=503, not_run=True)
        index += 1


@behave.when("its attempt is answered with {status:d}")
def when_answered_with(context, status):
    send = context.tier.attempts_of(context.number)[0]
    context.tier.answer_attempt(send, status=status)


@behave.when("{count:d} sweeps arrive and wait {wait:d} ms each")
def when_slow_sweeps(context, count, wait):
    context.first_attempts = count
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        context.tier.advance_clock(wait / 1000)
        for send in context.tier.attempts_of(number):
            context.tier.answer_attempt(send)


@behave.when("{count:d} sweeps arrive and are answered")
def when_sweeps(context, count):
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        context.tier.advance_clock(0.01)
        for send in context.tier.attempts_of(number):
            context.tier.answer_attempt(send)


@behave.when("{count:d} requests arrive and are answered")
def when_requests(context, count):
    for _ in range(count):
        number = context.tier.request("/single/1")
        context.tier.answer_attempt(context.tier.attempts_of(number)[0])


@behave.when("{count:d} sweeps arrive within a second")
def when_burst(context, count):
    for _ in range(count):
        context.tier.request("/sweep/1")
        context.tier.advance_clock(0.9 / count)


@behave.when(
    "the first upstream loses its connection for each of {count:d} sweeps {gap:d} ms "
    "apart"
)
def when_first_loses(context, count, gap):
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        context.tier.advance_clock(0.001)
        index = 0
        while index < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[index]
            index += 1
            if send.upstream_id == "shard-0-u0":
                context.tier.fail_attempt(send, events.Fault.LOST)
            else:
                context.tier.answer_attempt(send)
        context.tier.advance_clock(gap / 1000)


@behave.when("every upstream has failed 4 times")
def when_all_fail(context):
    for _ in range(12):
        number = context.tier.request("/sweep/1")
        index = 0
        while index < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[index]
            context.tier.fail_attempt(send, events.Fault.LOST)
            index += 1


@behave.when("its caller disconnects")
def when_disconnects(context):
    context.tier.step(events.RequestAbandoned(number=context.number))


@behave.when(
    "parts with records 5 1, 9 5 and 2 with an incomplete record are merged for the "
    "top 3"
)
def when_merged(context):
    parts = [
        record_of(5) + record_of(1),
        record_of(9) + record_of(5),
        record_of(2) + b"\xff" * 7,
    ]
    context.merged = merging.greatest_records(parts, 3)


def record_of(value):
    return bytes([value]) * merging.RECORD_BYTES


@behave.then("it goes to an upstream of service {service}")
def then_service(context, service):
    (send,) = context.tier.attempts_of(context.number)
    assert send.upstream_id.startswith(service), send


@behave.then("the request is refused with {code} and a retry-after")
def then_refused_with_retry_after(context, code):
    ending = context.tier.final_actions_by_number[context.number]
    assert ending.error.code == code, ending
    assert ending.error.retry_after > 0


@behave.then("the request is refused with {code}")
def then_refused(context, code):
    ending = context.tier.final_actions_by_number[context.number]
    assert ending.error.code == code, ending


@behave.then("it is answered with {parts:d} parts and {missing:d} missing")
def then_answered(context, parts, missing):
    ending = context.tier.final_actions_by_number[context.number]
    assert isinstance(ending, events.AnswerParts), ending
    assert len(set(ending.attempts)) == parts, ending
    assert ending.missing == missing, ending


@behave.then("a second attempt for the first shard went to another upstream")
def then_hedged(context):
    sends = context.tier.attempts_of(context.number)
    assert len(sends) == 5, sends
    assert sends[4].upstream_id.startswith("shard-0"), sends
    assert sends[4].upstream_id != sends[0].upstream_id, sends


@behave.then("the first attempt is released")
def then_first_released(context):
    first = context.tier.attempts_of(context.number)[0]
    assert first.attempt in context.tier.released


@behave.then("{count:d} attempt was sent")
@behave.then("{count:d} attempts were sent")
@behave.then("{count:d} attempt was sent for it")
def then_sent(context, count):
    sends = context.tier.attempts_of(context.number)
    assert len(sends) == count, sends


@behave.then("the reply is forwarded to the caller")
def then_forwarded(context):
    ending = context.tier.final_actions_by_number[context.number]
    assert isinstance(ending, events.ForwardReply), ending
    assert ending.attempt == context.tier.attempts_of(context.number)[-1].attempt


@behave.then("at most {count:d} extra attempts were sent")
def then_extra_attempts(context, count):
    extra = len(context.tier.sent) - context.first_attempts
    assert 0 < extra <= count, extra


@behave.then("service one got between {least:d} and {most:d} of them")
def then_share(context, least, most):
    counts = collections.Counter(send.upstream_id[:3] for send in context.tier.sent)
    assert least <= counts["one"] <= most, counts


@behave.then("no attempt went to zone b")
def then_not_zone(context):
    assert not [send for send in context.tier.sent if send.upstream_id.endswith("u1")]


@behave.then("no attempt went to the first upstream")
def then_not_first(context):
    ids = {send.upstream_id for send in context.tier.sent}
    assert ids and "shard-0-u0" not in ids, ids


@behave.then("the upstream of the first attempt gets no further attempts")
def then_avoided(context):
    first = context.tier.attempts_of(context.number)[0]
    assert first.address in context.tier.forgotten
    for _ in range(20):
        number = context.tier.request("/sweep/1")
        (send, *_) = context.tier.attempts_of(number)
        assert send.upstream_id != first.upstream_id
        context.tier.answer_attempt(send)


@behave.then("the first upstream got at most {count:d} attempts")
def then_first_got(context, count):
    sends = [s for s in context.tier.sent if s.upstream_id == "shard-0-u0"]
    assert 0 < len(sends) <= count, len(sends)


@behave.then("all its attempts are released")
def then_all_released(context):
    sends = context.tier.attempts_of(context.number)
    assert {send.attempt for send in sends} == set(context.tier.released)


@behave.then("the router keeps no state for it")
def then_no_state(context):
    assert context.tier.router.in_flight == 0


@behave.then("no upstream got more than {count:d} attempt")
def then_cold_limit(context, count):
    counts = collections.Counter(send.upstream_id for send in context.tier.sent)
    assert len(counts) == 3, counts
    assert max(counts.values()) <= count, counts


@behave.then("the merged records are 9 5 5")
def then_merged(context):
    assert context.merged == record_of(9) + record_of(5) + record_of(5)


@behave.when("{count:d} seconds pass")
def when_seconds_pass(context, count):
    context.tier.advance_clock(float(count))


@behave.given(
    "callers with a timeout of {whole:d} ms, most of whom have just connected in "
    "{ms:d} ms"
)
def given_callers(context, whole, ms):
    context.caller_timeout = whole
    for left in [whole, *[whole - ms] * 60]:
        number = context.tier.request("/sweep/1", time_left=left / 1000)
        for send in context.tier.attempts_of(number):
            context.tier.answer_attempt(send)


@behave.when("a sweep arrives whose caller has already waited {ms:d} ms")
def when_caller_waited(context, ms):
    left = (context.caller_timeout - ms) / 1000
    context.number = context.tier.request("/sweep/1", time_left=left)


@behave.when(
    "the first upstream rejects {count:d} sweeps {gap:d} ms apart with free slots"
)
def when_first_rejects(context, count, gap):
    idle = events.Load(running=0, waiting=0, slots=2)
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        context.tier.advance_clock(0.001)
        index = 0
        while index < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[index]
            index += 1
            if send.upstream_id == "shard-0-u0":
                context.tier.answer_attempt(send, status=503, not_run=True, load=idle)
            else:
                context.tier.answer_attempt(send)
        context.tier.advance_clock(gap / 1000)


@behave.when(
    "{count:d} sweeps take {usual:d} ms and one takes {ms:d} ms at the first upstream"
)
def when_one_slow(context, count, usual, ms):
    run_slow_sweeps(context, count, usual, ms, slow=1)


@behave.when(
    "{count:d} sweeps take {usual:d} ms and four take {ms:d} ms at the first upstream"
)
def when_four_slow(context, count, usual, ms):
    run_slow_sweeps(context, count, usual, ms, slow=4)


def run_slow_sweeps(context, count, usual, ms, *, slow):
    for _ in range(count):
        sweeps.run_sweep(context, usual / 1000)

    def work_of(send, now):
        is_first = send.upstream_id == "shard-0-u0"
        return (ms if is_first else usual) / 1000

    simulated = load.Load(tier=context.tier, work_of=work_of)
    simulated.run(count=slow, gap_s=(ms + 50) / 1000)


@behave.then("at least {least:d} of the next {count:d} sweeps go to the first upstream")
def then_first_preferred(context, least, count):
    chosen = [sweeps.run_sweep(context, 0.012) for _ in range(count)]
    assert chosen.count("shard-0-u0") >= least, chosen


@behave.then("at least {least:d} of the next {count:d} sweeps go to other upstreams")
def then_others(context, least, count):
    chosen = [sweeps.run_sweep(context, 0.012) for _ in range(count)]
    assert count - chosen.count("shard-0-u0") >= least, chosen


@behave.when(
    "two upstreams reject every other one of {count:d} sweeps and the third is busy"
)
def when_two_reject(context, count):
    idle = events.Load(running=0, waiting=0, slots=2)
    busy = events.Load(running=2, waiting=1, slots=2)
    context.attempts_at_two = 0
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        index = 0
        while index < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[index]
            index += 1
            if send.upstream_id == "shard-0-u2":
                context.tier.advance_clock(0.012)
                context.tier.answer_attempt(send, load=busy)
                continue
            context.attempts_at_two += 1
            if context.attempts_at_two % 2:
                context.tier.answer_attempt(send, status=503, not_run=True, load=idle)
            else:
                context.tier.advance_clock(0.012)
                context.tier.answer_attempt(send)
        context.tier.advance_clock(0.012)


@behave.then("the two rejecting upstreams got at most {count:d} attempts")
def then_two_got(context, count):
    assert context.attempts_at_two <= count, context.attempts_at_two


@behave.when("its attempt is answered")
def when_attempt_answered(context):
    context.tier.answer_attempt(context.tier.attempts_of(context.number)[0])


@behave.given("a router without budget and a sweep over {count:d} shards")
def given_no_budget(context, count):
    sweeps.set_up_sweep_router(context, count, 3, has_budget=False)


@behave.when("its first {count:d} attempts are lost and the others answered")
def when_some_lost(context, count):
    sent = context.tier.attempts_of(context.number)
    for send in sent[:count]:
        context.tier.fail_attempt(send, events.Fault.LOST)
    for send in sent[count:]:
        context.tier.answer_attempt(send)


@behave.then("its attempt is released")
def then_released(context):
    (send,) = context.tier.attempts_of(context.number)
    assert send.attempt in context.tier.released


@behave.when("the second attempt is lost")
def when_second_lost(context):
    sweeps.fail_attempt(context, 1, events.Fault.LOST)


@behave.then("the request is still in progress")
def then_in_progress(context):
    assert context.number not in context.tier.final_actions_by_number
