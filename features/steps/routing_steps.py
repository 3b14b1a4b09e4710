"""Steps about the router of an entry host."""

import collections

import behave

from fakes import load, routing
from greengagehaven.coordination.routing import events, merging
from greengagehaven.protocol import watching

ZONES = "abc"
SHARD_NAMES = [f"shard-{number}" for number in range(10)]


def upstreams_of(service, count, **fields):
    return [
        routing.entry(f"{service}-u{number}", service, zone=ZONES[number], **fields)
        for number in range(count)
    ]


def start_sweeps(
    context,
    shards,
    upstreams,
    *,
    cold_rate=0.0,
    has_budget=True,
    uptime=routing.UPTIME_S,
    **fields,
):
    budget = {} if has_budget else {"burst": 0.0, "ratio": 0.0}
    context.tier = routing.RoutingTier(uptime=uptime, **budget)
    names = SHARD_NAMES[:shards]
    route = routing.sweep_route(names)
    context.tier.put_table(routing.table(1, route, cold_rate=cold_rate))
    for name in names:
        context.tier.put(*upstreams_of(name, upstreams, **fields))


@behave.given(
    "a router whose routes are /reg/ to service short and /reg/deep/ to service long"
)
def given_two_routes(context):
    context.tier = routing.RoutingTier()
    short = routing.single_route(("short", 1.0), prefix="/reg/")
    long = routing.single_route(("long", 1.0), prefix="/reg/deep/")
    context.tier.put_table(routing.table(1, short, long))
    context.tier.put(*upstreams_of("short", 2), *upstreams_of("long", 2))


@behave.given("a router without a table")
def given_no_table(context):
    context.tier = routing.RoutingTier()


@behave.given(
    "a router with a sweep over {shards:d} shards of {count:d} upstreams each"
)
def given_sweeps(context, shards, count):
    start_sweeps(context, shards, count)


@behave.given("a router that has just started, with a sweep over 1 shard")
def given_just_started(context):
    start_sweeps(context, 1, 3, uptime=0.0)


@behave.given(
    "a router with a sweep over {shards:d} shards of {count:d} cold upstreams "
    "that bear {rate:d} a second"
)
def given_cold_sweeps(context, shards, count, rate):
    start_sweeps(context, shards, count, cold_rate=float(rate), cold_left_ms=60_000)


@behave.given("a router with requests that run once")
def given_run_once(context):
    context.tier = routing.RoutingTier()
    route = routing.single_route(("billed", 1.0), is_idempotent=False)
    context.tier.put_table(routing.table(1, route))
    context.tier.put(*upstreams_of("billed", 3))


@behave.given("a router whose route gives service one 3 parts and service two 1 part")
def given_weights(context):
    context.tier = routing.RoutingTier()
    route = routing.single_route(("one", 3.0), ("two", 1.0))
    context.tier.put_table(routing.table(1, route))
    context.tier.put(*upstreams_of("one", 3), *upstreams_of("two", 3))


@behave.given("all upstreams of {count:d} shards are gone")
def given_gone(context, count):
    for name in SHARD_NAMES[:count]:
        context.tier.put(*(each.as_gone() for each in upstreams_of(name, 3)))


@behave.given("{count:d} entry hosts share a burst of 20 and a ratio of 0.2")
def given_hosts(context, count):
    context.tier.step(events.HostsCounted(count=count))


@behave.given("{count:d} entry hosts share them")
def given_sharing_hosts(context, count):
    context.tier.step(events.HostsCounted(count=count))


@behave.given("operators take zone {zone} out")
def given_drained(context, zone):
    context.tier.step(events.ZonesDrained(zones=frozenset({zone})))


@behave.given("the first upstream of the first shard drains")
def given_draining(context):
    first = routing.entry(
        "shard-0-u0",
        "shard-0",
        sequence=2,
        stage=watching.Stage.DRAINING,
    )
    context.tier.put(first)


@behave.when("a request for {path} arrives")
def when_request(context, path):
    context.number = context.tier.request(path)


@behave.when("a sweep arrives")
def when_sweep(context):
    context.number = context.tier.request("/sweep/1")


@behave.when("a request that runs once arrives")
def when_run_once(context):
    context.number = context.tier.request("/single/1")


@behave.when("all its attempts are answered")
def when_all_answered(context):
    for send in context.tier.attempts_of(context.number):
        context.tier.reply(send)


@behave.when("all its attempts but the first are answered")
def when_all_but_first(context):
    for send in context.tier.attempts_of(context.number)[1:]:
        context.tier.reply(send)


@behave.when("{count:d} ms pass")
def when_time(context, count):
    context.tier.pass_time(count / 1000)


@behave.when("the second attempt is answered")
def when_second_answered(context):
    context.tier.reply(context.tier.attempts_of(context.number)[-1])


@behave.when("a table with 5 other shards comes into force")
def when_other_table(context):
    names = SHARD_NAMES[5:]
    context.tier.put_table(routing.table(2, routing.sweep_route(names)))


@behave.when("its attempt is lost")
def when_lost(context):
    fail_attempt(context, 0, events.Fault.LOST)


def fail_attempt(context, place, fault, **fields):
    send = context.tier.attempts_of(context.number)[place]
    context.tier.fail(send, fault, **fields)


@behave.when("its attempt is rejected as not run")
def when_rejected(context):
    send = context.tier.attempts_of(context.number)[0]
    context.tier.reply(send, status=503, not_run=True)


@behave.when("every attempt is rejected as not run")
def when_all_rejected(context):
    done = 0
    while done < len(context.tier.attempts_of(context.number)):
        send = context.tier.attempts_of(context.number)[done]
        context.tier.reply(send, status=503, not_run=True)
        done += 1


@behave.when("its attempt is answered with {status:d}")
def when_status(context, status):
    send = context.tier.attempts_of(context.number)[0]
    context.tier.reply(send, status=status)


@behave.when("{count:d} sweeps arrive and wait {wait:d} ms each")
def when_slow_sweeps(context, count, wait):
    context.first_attempts = count
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        context.tier.pass_time(wait / 1000)
        for send in context.tier.attempts_of(number):
            context.tier.reply(send)


@behave.when("{count:d} sweeps arrive and are answered")
def when_sweeps(context, count):
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        context.tier.pass_time(0.01)
        for send in context.tier.attempts_of(number):
            context.tier.reply(send)


@behave.when("{count:d} requests arrive and are answered")
def when_requests(context, count):
    for _ in range(count):
        number = context.tier.request("/single/1")
        context.tier.reply(context.tier.attempts_of(number)[0])


@behave.when("{count:d} sweeps arrive within a second")
def when_burst(context, count):
    for _ in range(count):
        context.tier.request("/sweep/1")
        context.tier.pass_time(0.9 / count)


@behave.when("the first upstream loses each of {count:d} sweeps {gap:d} ms apart")
def when_first_fails(context, count, gap):
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        context.tier.pass_time(0.001)
        done = 0
        while done < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[done]
            done += 1
            if send.upstream_id == "shard-0-u0":
                context.tier.fail(send, events.Fault.LOST)
            else:
                context.tier.reply(send)
        context.tier.pass_time(gap / 1000)


@behave.when("every upstream has failed 4 times")
def when_all_fail(context):
    for _ in range(12):
        number = context.tier.request("/sweep/1")
        done = 0
        while done < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[done]
            context.tier.fail(send, events.Fault.LOST)
            done += 1


@behave.when("its caller leaves")
def when_leaves(context):
    context.tier.step(events.RequestAbandoned(number=context.number))


@behave.when(
    "parts with records 5 1, 9 5 and 2 with a remainder are merged for the top 3"
)
def when_merged(context):
    parts = [record(5) + record(1), record(9) + record(5), record(2) + b"\xff" * 7]
    context.merged = merging.greatest_records(parts, 3)


def record(value):
    return bytes([value]) * merging.RECORD_BYTES


@behave.then("it goes to an upstream of service {service}")
def then_service(context, service):
    (send,) = context.tier.attempts_of(context.number)
    assert send.upstream_id.startswith(service), send


@behave.then("the request is refused with {code} and told when to come back")
def then_refused_with_time(context, code):
    ending = context.tier.endings_by_number[context.number]
    assert ending.error.code == code, ending
    assert ending.error.retry_after > 0


@behave.then("the request is refused with {code}")
def then_refused(context, code):
    ending = context.tier.endings_by_number[context.number]
    assert ending.error.code == code, ending


@behave.then("it is answered with {parts:d} parts and {missing:d} missing")
def then_answered(context, parts, missing):
    ending = context.tier.endings_by_number[context.number]
    assert isinstance(ending, events.AnswerParts), ending
    assert len(set(ending.attempts)) == parts, ending
    assert ending.missing == missing, ending


@behave.then("a second attempt of the first shard went to another upstream")
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


@behave.then("the reply is passed on")
def then_passed_on(context):
    ending = context.tier.endings_by_number[context.number]
    assert isinstance(ending, events.PassOn), ending
    assert ending.attempt == context.tier.attempts_of(context.number)[-1].attempt


@behave.then("at most {count:d} extra attempts were sent")
def then_extra(context, count):
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


@behave.then("the upstream of the first attempt gets nothing more")
def then_forgotten(context):
    first = context.tier.attempts_of(context.number)[0]
    assert first.address in context.tier.forgotten
    for _ in range(20):
        number = context.tier.request("/sweep/1")
        (send, *_) = context.tier.attempts_of(number)
        assert send.upstream_id != first.upstream_id
        context.tier.reply(send)


@behave.then("it got at most {count:d} attempts")
def then_few(context, count):
    sends = [s for s in context.tier.sent if s.upstream_id == "shard-0-u0"]
    assert 0 < len(sends) <= count, len(sends)


@behave.then("all its attempts are released")
def then_all_released(context):
    sends = context.tier.attempts_of(context.number)
    assert {send.attempt for send in sends} == set(context.tier.released)


@behave.then("nothing is kept of it")
def then_nothing_kept(context):
    assert context.tier.router.in_flight == 0


@behave.then("no upstream got more than {count:d} attempt")
def then_cold(context, count):
    counts = collections.Counter(send.upstream_id for send in context.tier.sent)
    assert len(counts) == 3, counts
    assert max(counts.values()) <= count, counts


@behave.then("the merged records are 9 5 5")
def then_merged(context):
    assert context.merged == record(9) + record(5) + record(5)


@behave.given("a sweep that crashes each upstream that runs it")
def given_crashing(context):
    context.fingerprint = "crashing"


@behave.when("its caller sends it {count:d} times, {gap:d} ms apart")
def when_resent(context, count, gap):
    context.numbers = []
    for _ in range(count):
        number = context.tier.request("/sweep/1", fingerprint=context.fingerprint)
        context.numbers.append(number)
        done = 0
        while done < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[done]
            context.tier.lose(send, listener=events.Listener.CLOSED)
            done += 1
        context.tier.pass_time(gap / 1000)


@behave.then("no shard lost more than {count:d} upstreams")
def then_lost(context, count):
    lost = collections.defaultdict(set)
    for send in context.tier.sent:
        shard = send.upstream_id.rpartition("-")[0]
        lost[shard].add(send.upstream_id)
    assert max(len(ids) for ids in lost.values()) <= count, lost


@behave.then("its caller was told that it is quarantined")
def then_quarantined(context):
    endings = [context.tier.endings_by_number[number] for number in context.numbers]
    codes = [ending.error.code for ending in endings]
    assert codes[-20:] == ["quarantined"] * 20, codes


@behave.when("another sweep arrives")
def when_another_sweep(context):
    context.number = context.tier.request("/sweep/other")


@behave.then("it goes to every shard")
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
def when_same(context):
    context.number = context.tier.request("/sweep/1", fingerprint=context.fingerprint)


@behave.then("nothing of it was sent")
def then_nothing_sent(context):
    assert context.tier.attempts_of(context.number) == []


@behave.when("the answers to {count:d} sweeps with one fingerprint are lost")
def when_answers_lost(context, count):
    lose_sweeps(context, count, listener=events.Listener.OPEN)


@behave.when(
    "a partition swallows the answers to {count:d} sweeps with one fingerprint"
)
def when_answers_swallowed(context, count):
    lose_sweeps(context, count, listener=events.Listener.SILENT)


def lose_sweeps(context, count, *, listener):
    context.fingerprint = "good"
    for _ in range(count):
        number = context.tier.request("/sweep/1", fingerprint=context.fingerprint)
        done = 0
        while done < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[done]
            context.tier.lose(send, listener=listener)
            done += 1


@behave.when("{count:d} seconds pass")
def when_seconds(context, count):
    context.tier.pass_time(float(count))


@behave.given(
    "callers who wait for {whole:d} ms, of whom most have just connected in {ms:d} ms"
)
def given_callers(context, whole, ms):
    context.whole = whole
    for left in [whole, *[whole - ms] * 60]:
        number = context.tier.request("/sweep/1", time_left=left / 1000)
        for send in context.tier.attempts_of(number):
            context.tier.reply(send)


@behave.when("a sweep arrives whose caller has waited {ms:d} ms")
def when_waited(context, ms):
    left = (context.whole - ms) / 1000
    context.number = context.tier.request("/sweep/1", time_left=left)


@behave.when(
    "the first upstream rejects {count:d} sweeps {gap:d} ms apart with slots free"
)
def when_first_rejects(context, count, gap):
    idle = events.Load(running=0, waiting=0, slots=2)
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        context.tier.pass_time(0.001)
        done = 0
        while done < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[done]
            done += 1
            if send.upstream_id == "shard-0-u0":
                context.tier.reply(send, status=503, not_run=True, load=idle)
            else:
                context.tier.reply(send)
        context.tier.pass_time(gap / 1000)


@behave.when(
    "{count:d} sweeps take {usual:d} ms and one takes {ms:d} ms at the first upstream"
)
def when_one_slow(context, count, usual, ms):
    take_slow_sweeps(context, count, usual, ms, slow=1)


@behave.when(
    "{count:d} sweeps take {usual:d} ms and four take {ms:d} ms at the first upstream"
)
def when_four_slow(context, count, usual, ms):
    take_slow_sweeps(context, count, usual, ms, slow=4)


def take_slow_sweeps(context, count, usual, ms, *, slow):
    for _ in range(count):
        answer_sweep(context, usual / 1000)

    def work_of(send, now):
        is_first = send.upstream_id == "shard-0-u0"
        return (ms if is_first else usual) / 1000

    played = load.Load(tier=context.tier, work_of=work_of)
    played.play(count=slow, gap_s=(ms + 50) / 1000)


def answer_sweep(context, seconds):
    number = context.tier.request("/sweep/1")
    (send,) = context.tier.attempts_of(number)
    context.tier.pass_time(seconds)
    context.tier.reply(send)
    context.tier.pass_time(0.01)
    return send.upstream_id


@behave.then("at least {least:d} of the next {count:d} sweeps go to the first upstream")
def then_first_goes_on(context, least, count):
    asked = [answer_sweep(context, 0.012) for _ in range(count)]
    assert asked.count("shard-0-u0") >= least, asked


@behave.then("at least {least:d} of the next {count:d} sweeps go to other upstreams")
def then_others(context, least, count):
    asked = [answer_sweep(context, 0.012) for _ in range(count)]
    assert count - asked.count("shard-0-u0") >= least, asked


@behave.when(
    "two upstreams reject every other of {count:d} sweeps and the third is crowded"
)
def when_two_reject(context, count):
    idle = events.Load(running=0, waiting=0, slots=2)
    crowded = events.Load(running=2, waiting=1, slots=2)
    context.asked_of_two = 0
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        done = 0
        while done < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[done]
            done += 1
            if send.upstream_id == "shard-0-u2":
                context.tier.pass_time(0.012)
                context.tier.reply(send, load=crowded)
                continue
            context.asked_of_two += 1
            if context.asked_of_two % 2:
                context.tier.reply(send, status=503, not_run=True, load=idle)
            else:
                context.tier.pass_time(0.012)
                context.tier.reply(send)
        context.tier.pass_time(0.012)


@behave.then("these two got at most {count:d} attempts")
def then_two_got(context, count):
    assert context.asked_of_two <= count, context.asked_of_two


@behave.given("the first two shards answer nothing from now on")
def given_silent(context):
    context.silent = ("shard-0", "shard-1")


@behave.when("the upstreams of the first two shards can be reached again")
def when_reached(context):
    context.silent = ()


@behave.when("{count:d} sweeps arrive {gap:d} ms apart")
def when_sweeps_apart(context, count, gap):
    context.numbers = []
    context.moments = []
    answered = set()
    for _ in range(count):
        before = context.tier.clock.monotonic()
        number = context.tier.request("/sweep/1")
        context.numbers.append(number)
        context.moments.append(before)
        answer_audible(context, answered)
        context.tier.pass_time(gap / 1000)
        answer_audible(context, answered)


def answer_audible(context, answered):
    """Reply for every upstream that is not silent, and to its probes."""
    for send in list(context.tier.sent):
        is_silent = send.upstream_id.startswith(tuple(context.silent) or ("none",))
        if send.attempt not in answered and not is_silent:
            answered.add(send.attempt)
            context.tier.reply(send)
    answer_probes(context)


def answer_probes(context):
    """Answer the probes of upstreams that are not silent."""
    probed, context.tier.probed = context.tier.probed, []
    for upstream_id in probed:
        is_silent = upstream_id.startswith(tuple(context.silent) or ("none",))
        listener = events.Listener.SILENT if is_silent else events.Listener.OPEN
        context.tier.step(
            events.UpstreamProbed(upstream_id=upstream_id, listener=listener)
        )


@behave.then(
    "the last {count:d} of them were refused at once and told when to come back"
)
def then_refused_at_once(context, count):
    for number in context.numbers[-count:]:
        ending = context.tier.endings_by_number[number]
        assert isinstance(ending, events.Refuse), ending
        assert ending.error.code in ("incomplete", "upstreams_failed"), ending
        assert ending.error.retry_after > 0


@behave.then("the last {count:d} of them were answered in full")
def then_answered_in_full(context, count):
    for number in context.numbers[-count:]:
        ending = context.tier.endings_by_number[number]
        assert isinstance(ending, events.AnswerParts) and not ending.missing, ending


@behave.given("a router with single requests")
def given_single(context):
    context.tier = routing.RoutingTier()
    route = routing.single_route(("one", 1.0), attempts=1)
    context.tier.put_table(routing.table(1, route))
    context.tier.put(*upstreams_of("one", 3))


@behave.when("a single request arrives")
def when_single(context):
    context.number = context.tier.request("/single/1")


@behave.when("{count:d} ms pass while its upstream can be connected to")
def when_time_probed(context, count):
    context.silent = ()
    for _ in range(count // 50):
        context.tier.pass_time(0.05)
        answer_probes(context)


@behave.when("its attempt is answered")
def when_attempt_answered(context):
    context.tier.reply(context.tier.attempts_of(context.number)[0])


@behave.when("all upstreams reset the fresh connections of {count:d} sweeps")
def when_fresh_reset(context, count):
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        done = 0
        while done < len(context.tier.attempts_of(number)):
            send = context.tier.attempts_of(number)[done]
            context.tier.fail(send, events.Fault.LOST, is_mute=True, is_fresh=True)
            context.tier.pass_time(0.03)
            done += 1


@behave.then("no upstream was ejected")
def then_none_ejected(context):
    assert not context.tier.router.counts.upstream_changes["ejected"]


@behave.when("its attempt is lost without a byte of reply")
def when_mute(context):
    fail_attempt(context, 0, events.Fault.LOST, is_mute=True)


@behave.when("its upstream is found to listen no more")
def when_closed(context):
    check = context.tier.checked.pop()
    closed = events.Listener.CLOSED
    context.tier.step(events.ListenerChecked(attempt=check.attempt, listener=closed))


@behave.when(
    "other hosts report that each of {count:d} sweeps was lost with 2 upstreams"
)
def when_many_crashes(context, count):
    context.fingerprints = [f"cut-{number}" for number in range(count)]
    for number, fingerprint in enumerate(context.fingerprints):
        report_crashes(context, fingerprint, f"shard-{number}", range(2))


@behave.when(
    "another host reports that the first of them was lost with a third upstream"
)
def when_third_crash(context):
    context.fingerprint = context.fingerprints[0]
    report_crashes(context, context.fingerprint, "shard-0", [2])


@behave.then("none of these sweeps is refused")
def then_none_refused(context):
    for fingerprint in context.fingerprints:
        number = context.tier.request("/sweep/1", fingerprint=fingerprint)
        assert context.tier.attempts_of(number), fingerprint


@behave.given("a router without any budget and a sweep over {count:d} shards")
def given_no_budget_for(context, count):
    start_sweeps(context, count, 3, has_budget=False)


@behave.when("its first {count:d} attempts are lost and the others answered")
def when_some_lost(context, count):
    sent = context.tier.attempts_of(context.number)
    for send in sent[:count]:
        context.tier.fail(send, events.Fault.LOST)
    for send in sent[count:]:
        context.tier.reply(send)


@behave.then("its upstream may get {count:d} connection")
@behave.then("its upstream may get {count:d} connections")
def then_connections(context, count):
    (send,) = context.tier.attempts_of(context.number)
    assert send.connections == count, send.connections


@behave.given("upstreams that take no connection for a while")
def given_no_connection(context):
    context.tier.starts = False


@behave.then("its attempt is released")
def then_released(context):
    (send,) = context.tier.attempts_of(context.number)
    assert send.attempt in context.tier.released


@behave.when("its attempt finds no connection")
def when_no_connection(context):
    fail_attempt(context, 0, events.Fault.CONNECT)


@behave.when("the second attempt is lost")
def when_second_lost(context):
    fail_attempt(context, 1, events.Fault.LOST)


@behave.then("the request is not over")
def then_not_over(context):
    assert context.number not in context.tier.endings_by_number


@behave.when("its attempt is reset on a fresh connection after {ms:d} ms")
def when_fresh_reset_after(context, ms):
    context.tier.pass_time(ms / 1000)
    (send,) = context.tier.attempts_of(context.number)
    context.full = send.upstream_id
    context.tier.fail(send, events.Fault.LOST, is_mute=True, is_fresh=True)
    # The loss is looked into for a moment before another upstream is asked.
    context.tier.pass_time(0.03)
    for other in context.tier.attempts_of(context.number)[1:]:
        context.tier.reply(other)


def first_choices(context, count):
    return [answer_sweep(context, 0.012) for _ in range(count)]


@behave.then("none of the next {count:d} sweeps goes to that upstream")
def then_none_there(context, count):
    assert context.full not in first_choices(context, count)


@behave.then("one of the next {count:d} sweeps goes to that upstream")
def then_one_there(context, count):
    assert context.full in first_choices(context, count)


@behave.when("{count:d} sweeps are lost at it without a byte of reply")
def when_sweeps_lost(context, count):
    numbers = [context.tier.request("/sweep/1") for _ in range(count)]
    for number in numbers:
        (send,) = context.tier.attempts_of(number)
        context.tier.fail(send, events.Fault.LOST, is_mute=True)


@behave.then("it is looked at once")
@behave.then("it is looked at once more")
def then_looked_once(context):
    assert len(context.tier.checked) == 1, context.tier.checked


@behave.when("the look shows that it listens")
def when_listens(context):
    check = context.tier.checked.pop()
    listening = events.Listener.OPEN
    context.tier.step(events.ListenerChecked(attempt=check.attempt, listener=listening))
