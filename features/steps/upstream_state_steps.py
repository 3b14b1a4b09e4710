"""Steps about the work time that upstreams report."""

import behave
import msgspec

from fakes import gathering, routing
from greengagehaven.coordination.routing import events
from greengagehaven.protocol import codec, delegation_messages
from greengagehaven.transport import reply_headers

USUAL_LATENCY_S = 0.02
IDS = ["u-1", "u-2"]


class EarlierAttemptResult(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The message as of the version before work times."""

    attempt: int
    took_ms: float
    status: int = 0
    is_success: bool = False
    not_run: bool = False
    signature: str = ""
    load: tuple[int, ...] = ()
    size: int = 0
    fault: str = ""
    detail: str = ""
    received_nothing: bool = False
    is_first_use: bool = False


@behave.when('an upstream reports the load "{text}"')
def when_reported(context, text):
    context.load_read = reply_headers.parse_load(text)


@behave.then("the load read is none")
def then_no_load(context):
    assert context.load_read is None, context.load_read


@behave.then("the load read is {running:d}, {waiting:d}, {slots:d} and no work time")
def then_no_work_time(context, running, waiting, slots):
    expected = events.Load(running=running, waiting=waiting, slots=slots)
    assert context.load_read == expected, context.load_read


@behave.then("the load read is {running:d}, {waiting:d}, {slots:d} and {percent:g}")
def then_load(context, running, waiting, slots, percent):
    expected = events.Load(
        running=running, waiting=waiting, slots=slots, work_percent=percent
    )
    assert context.load_read == expected, context.load_read


def reported_load(percent):
    return events.Load(running=1, waiting=0, slots=4, work_percent=percent)


@behave.given("a service with 2 equal upstreams")
def given_service(context):
    context.tier = routing.RouterHarness()
    context.tier.apply_routing_table(
        routing.routing_table(1, routing.single_route(("s", 1.0)))
    )
    for upstream_id in IDS:
        entry = routing.upstream_entry(upstream_id, "s")
        context.tier.apply_upstream_entries(entry)
    for _ in range(30):
        run_request(context, lambda upstream_id: (USUAL_LATENCY_S, 100))


def run_request(context, behaviour):
    """Send one request; return the upstream that replied as ``behaviour`` says."""
    number = context.tier.request("/single/1")
    (send,) = context.tier.attempts_of(number)
    seconds, percent = behaviour(send.upstream_id)
    context.tier.clock.advance(seconds)
    context.tier.answer_attempt(send, load=reported_load(percent))
    return send.upstream_id


def run_until_chosen(context, upstream_id, behaviour):
    for _ in range(200):
        if run_request(context, behaviour) == upstream_id:
            return
        context.tier.clock.advance(0.05)
    raise AssertionError(f"{upstream_id} was never chosen")


@behave.when(
    "one of them replies that work takes {percent:d} percent of the usual time"
)
def when_slow_report(context, percent):
    def behave_as(upstream_id):
        return USUAL_LATENCY_S, percent if upstream_id == IDS[0] else 100

    run_until_chosen(context, IDS[0], behave_as)


@behave.then("the next {count:d} requests go to the other one")
def then_other(context, count):
    chosen = [
        run_request(context, lambda upstream_id: (0.005, 100)) for _ in range(count)
    ]
    assert set(chosen) == {IDS[1]}, chosen


@behave.then("{seconds:d} seconds later both get requests")
def then_both(context, seconds):
    context.tier.clock.advance(seconds)
    chosen = [
        run_request(context, lambda upstream_id: (USUAL_LATENCY_S, 100))
        for _ in range(40)
    ]
    assert set(chosen) == set(IDS), chosen


@behave.when(
    "one of them replies after {factor:g} times the usual time, reporting "
    "{percent:d} percent"
)
def when_one_late(context, factor, percent):
    reply_late(context, IDS[0], factor, percent)


@behave.when(
    "the other one replies after {factor:g} times the usual time, reporting "
    "{percent:d} percent"
)
def when_other_late(context, factor, percent):
    reply_late(context, IDS[1], factor, percent)


def reply_late(context, late_id, factor, percent):
    def behave_as(upstream_id):
        if upstream_id == late_id:
            return factor * USUAL_LATENCY_S, percent
        return USUAL_LATENCY_S, 100

    run_until_chosen(context, late_id, behave_as)
    upstream = context.tier.router.fleet.upstreams_by_id[late_id]
    context.slowness = upstream.slowness


@behave.then("its slowness is below {limit:g}")
def then_slowness_below(context, limit):
    assert context.slowness < limit, context.slowness


@behave.then("its slowness is above {limit:g}")
def then_slowness_above(context, limit):
    assert context.slowness > limit, context.slowness


@behave.when(
    "it is called while the upstreams report a work time of {percent:d} percent"
)
def when_gathered(context, percent):
    async def scenario(setup):
        setup.upstreams.load_text = f"1,0,4,{percent}"
        setup.upstreams.may_reply_late.set()
        setup.delegate()
        await setup.sink.ended.wait()

    context.setup = gathering.run_scenario(context.count, scenario)


@behave.then("the work time of all {count:d} parts is {percent:d} percent")
def then_gathered(context, count, percent):
    outcomes = [
        outcome for report in context.setup.sink.reports for outcome in report.values()
    ]
    work_times = [outcome.load.work_percent for outcome in outcomes]
    assert work_times == [percent] * count, outcomes


@behave.when("a report with a work time is read by a host of an earlier version")
def when_read_by_earlier(context):
    result = delegation_messages.AttemptResult(
        attempt=7, took_ms=1.0, status=200, load=(1, 2, 4), work_percent=250.0
    )
    context.result = codec.decode_msgpack(
        codec.encode_msgpack(result), EarlierAttemptResult
    )


@behave.then("it finds the load with three values")
def then_three_values(context):
    assert context.result.load == (1, 2, 4), context.result


@behave.when("a report of a host of an earlier version is read")
def when_read_from_earlier(context):
    result = EarlierAttemptResult(attempt=7, took_ms=1.0, status=200, load=(1, 2, 4))
    context.result = codec.decode_msgpack(
        codec.encode_msgpack(result), delegation_messages.AttemptResult
    )


@behave.then("it has no work time")
def then_none(context):
    assert context.result.work_percent == 0.0, context.result


@behave.when("its upstreams reply with three values only")
def when_three_values(context):
    for _ in range(4):
        run_request(context, lambda upstream_id: (USUAL_LATENCY_S, None))


@behave.given("a service with 2 equal upstreams, the second in another zone")
def given_two_zones(context):
    given_service(context)
    entry = routing.upstream_entry(IDS[1], "s", sequence=2, zone="other")
    context.tier.apply_upstream_entries(entry)


@behave.then("{seconds:d} seconds later the first one gets requests again")
def then_first_again(context, seconds):
    context.tier.clock.advance(seconds)
    chosen = run_request(context, lambda upstream_id: (USUAL_LATENCY_S, 100))
    assert chosen == IDS[0], chosen


@behave.then("the ages of {least:d} to {most:d} reports were measured")
def then_ages(context, least, most):
    count = sum(context.tier.router.counts.report_ages.counts)
    assert least <= count <= most, count
