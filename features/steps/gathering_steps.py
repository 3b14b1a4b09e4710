"""Steps about a helper that gathers parts for another host."""

import asyncio

import behave

from fakes import gathering
from greengagehaven.coordination.routing import events, hedging


@behave.given(
    "a helper that gathers from {count:d} upstreams, of which one replies late"
)
def given_gatherer(context, count):
    context.count = count


@behave.when("it is called with a short report delay")
def when_called(context):
    async def scenario(setup):
        setup.delegate()
        await setup.sink.reported.wait()
        setup.upstreams.may_reply_late.set()
        await setup.sink.ended.wait()

    context.setup = gathering.run_scenario(context.count, scenario)


@behave.then("it reports 2 parts, then 1, each with their greatest records")
def then_reported(context):
    first, second = context.setup.sink.reports
    assert set(first) == {0, 1} and set(second) == {2}, context.setup.sink.reports
    outcomes = [*first.values(), *second.values()]
    assert all(each.is_success and each.is_merged for each in outcomes), outcomes
    assert first[0].took < second[2].took, outcomes
    parts = [context.setup.delegating.merged_part(number) for number in range(3)]
    assert [each.signature for each in parts] == ["s-0", "s-1", "s-2"], parts
    merged = bytes([1]) * gathering.RECORD_BYTES + bytes([0]) * gathering.RECORD_BYTES
    assert parts[0].report is parts[1].report, parts
    assert parts[0].report.records == merged, parts
    assert parts[2].report.records == bytes([2]) * gathering.RECORD_BYTES
    (end,) = context.setup.sink.ends
    assert not end.failed and context.setup.gatherer.in_flight == 0


@behave.when("it is called with a long report delay")
def when_called_with_long_delay(context):
    run_with_long_delay(context, rejecting_number=None)


@behave.when("it is called with a long report delay and the first upstream rejects")
def when_rejected(context):
    run_with_long_delay(context, rejecting_number=0)


def run_with_long_delay(context, *, rejecting_number):
    async def scenario(setup):
        setup.upstreams.rejecting_number = rejecting_number
        setup.delegate(report_after_s=gathering.TIME_LEFT_S)
        async with asyncio.timeout(gathering.TIME_LEFT_S / 2):
            await setup.sink.reported.wait()
        setup.upstreams.may_reply_late.set()
        await setup.sink.ended.wait()

    context.setup = gathering.run_scenario(context.count, scenario)


@behave.then(
    "the rejection is reported before the late upstream replied, which is not hedged"
)
def then_reported_early(context):
    sink = context.setup.sink
    assert sink.reports[0][0].status == 503, sink.reports
    assert all(2 not in report for report in sink.reports[:-1]), sink.reports
    assert not any(sink.straggling[:-1]), sink.straggling


@behave.then(
    "{count:d} parts are reported before the late upstream replied, which is not hedged"
)
def then_parts_reported_early(context, count):
    sink = context.setup.sink
    assert sum(map(len, sink.reports[:-1])) == count, sink.reports
    assert all(2 not in report for report in sink.reports[:-1]), sink.reports
    assert not any(sink.straggling[:-1]), sink.straggling


@behave.given("{replies:d} of {attempts:d} replies, one each {gap:d} ms")
def given_replies(context, replies, attempts, gap):
    context.last_at = (replies - 1) * gap / 1000
    context.early_at = hedging.early_report_at(
        first_at=0.0, last_at=context.last_at, replies=replies, attempts=attempts
    )


@behave.then("a helper reports them {after:g} ms after the last one")
def then_early(context, after):
    found = (context.early_at - context.last_at) * 1000
    assert found == after or abs(found - after) < 1e-6, found


@behave.when("it is called with a short report delay and the late attempt is released")
def when_released(context):
    async def scenario(setup):
        setup.delegate()
        await setup.sink.reported.wait()
        setup.delegating.release([2])
        await setup.released.wait()
        setup.upstreams.may_reply_late.set()
        await setup.sink.ended.wait()

    context.setup = gathering.run_scenario(context.count, scenario)


@behave.then("it reports 2 parts, then the late attempt without its part")
def then_part_left_out(context):
    first, second = context.setup.sink.reports
    assert set(first) == {0, 1} and set(second) == {2}
    assert not second[2].is_merged, second
    assert context.setup.delegating.merged_part(2) is None


@behave.when("it is called while it stops")
def when_stopping(context):
    async def scenario(setup):
        setup.gatherer.is_stopping = True
        setup.delegate()
        await setup.sink.ended.wait()

    context.setup = gathering.run_scenario(context.count, scenario)


@behave.then("the attempts are reported as unsent, and no upstream got a request")
def then_unsent(context):
    (report,) = context.setup.sink.reports
    faults = {outcome.fault for outcome in report.values()}
    assert faults == {events.Fault.UNSENT} and len(report) == context.count
    assert context.setup.upstreams.request_count == 0
    assert context.setup.sink.ends[0].failed


@behave.when("it is called with a short report delay and stops after the first report")
def when_stopped(context):
    async def scenario(setup):
        setup.delegate()
        await setup.sink.reported.wait()
        await setup.server.stop(gathering.NO_GRACE)
        await setup.sink.ended.wait()

    context.setup = gathering.run_scenario(context.count, scenario)


@behave.then("it reports 2 parts, and the third attempt fails with its helper")
def then_helper_failed(context):
    first, second = context.setup.sink.reports
    assert set(first) == {0, 1}
    assert second[2].fault is events.Fault.HELPER, second
    assert context.setup.sink.ends[0].failed


@behave.when("it is called with a short timeout by a host that then goes away")
def when_caller_gone(context):
    async def scenario(setup):
        setup.delegate(time_left_s=0.05)
        await setup.sink.reported.wait()
        await setup.delegating.close()
        context.calls_kept = setup.gatherer.in_flight
        setup.upstreams.may_reply_late.set()
        while setup.gatherer.in_flight:  # noqa: ASYNC110
            await asyncio.sleep(0.02)

    context.setup = gathering.run_scenario(context.count, scenario)


@behave.then("it keeps no state for the call after a while")
def then_no_state(context):
    assert context.calls_kept == 1 and context.setup.gatherer.in_flight == 0


@behave.when("it is called for a team while it has no key lease")
def when_called_without_lease(context):
    async def scenario(setup):
        setup.sends_left = 0
        setup.delegate(team="north")
        await setup.sink.ended.wait()

    context.setup = gathering.run_scenario(context.count, scenario)


@behave.when("it is called for a team, and its key lease expires after {count:d} sends")
def when_lease_expires(context, count):
    async def scenario(setup):
        # The call itself is checked before its attempts.
        setup.sends_left = 1 + count
        setup.upstreams.may_reply_late.set()
        setup.delegate(team="north")
        await setup.sink.ended.wait()

    context.setup = gathering.run_scenario(context.count, scenario)


@behave.then("it reports {parts:d} part, and {unsent:d} attempts as not sent")
def then_some_unsent(context, parts, unsent):
    outcomes = {}
    for report in context.setup.sink.reports:
        outcomes |= report
    faults = [getattr(each, "fault", None) for each in outcomes.values()]
    assert faults.count(events.Fault.UNSENT) == unsent, outcomes
    assert faults.count(None) == parts, outcomes
    assert context.setup.upstreams.request_count == parts


@behave.when("it is called for no team while it has no key lease")
def when_called_public(context):
    async def scenario(setup):
        setup.sends_left = 0
        setup.upstreams.may_reply_late.set()
        setup.delegate()
        await setup.sink.ended.wait()

    context.setup = gathering.run_scenario(context.count, scenario)


@behave.then("it reports every part")
def then_every_part(context):
    reports = context.setup.sink.reports
    outcomes = [outcome for report in reports for outcome in report.values()]
    assert len(outcomes) == context.count
    assert all(each.is_success for each in outcomes), outcomes
