"""Steps about a host that asks shards for another one."""

import asyncio

import behave

from fakes import gathering
from greengagehaven.coordination.routing import events


@behave.given("a host that gathers from {count:d} upstreams, of which one replies late")
def given_gatherer(context, count):
    context.count = count


@behave.when("it is asked to report after a while")
def when_asked(context):
    async def story(pair):
        pair.ask()
        await pair.told.reported.wait()
        pair.upstreams.may_reply_late.set()
        await pair.told.over.wait()

    context.pair = gathering.play(context.count, story)


@behave.then("it reports 2 parts, then 1, each with their greatest records")
def then_reported(context):
    first, second = context.pair.told.reports
    assert set(first) == {0, 1} and set(second) == {2}, context.pair.told.reports
    outcomes = [*first.values(), *second.values()]
    assert all(each.is_success and each.is_merged for each in outcomes), outcomes
    assert first[0].took < second[2].took, outcomes
    parts = [context.pair.delegating.merged_part(number) for number in range(3)]
    assert [each.signature for each in parts] == ["s-0", "s-1", "s-2"], parts
    merged = bytes([1]) * gathering.RECORD_BYTES + bytes([0]) * gathering.RECORD_BYTES
    assert parts[0].report is parts[1].report, parts
    assert parts[0].report.records == merged, parts
    assert parts[2].report.records == bytes([2]) * gathering.RECORD_BYTES
    (end,) = context.pair.told.ends
    assert not end.failed and context.pair.gatherer.in_flight == 0


@behave.when("it is asked to report after a long time and the first one rejects")
def when_rejected(context):
    async def story(pair):
        pair.upstreams.rejecting = 0
        pair.ask(report_s=gathering.LEFT_S)
        async with asyncio.timeout(gathering.LEFT_S / 2):
            await pair.told.reported.wait()
        pair.upstreams.may_reply_late.set()
        await pair.told.over.wait()

    context.pair = gathering.play(context.count, story)


@behave.then(
    "the rejection is reported before the late one replied, which is not hedged"
)
def then_told_early(context):
    told = context.pair.told
    assert told.reports[0][0].status == 503, told.reports
    assert all(2 not in report for report in told.reports[:-1]), told.reports
    assert not any(told.open[:-1]), told.open


@behave.when("it is asked to report after a while and the late one is released")
def when_released(context):
    async def story(pair):
        pair.ask()
        await pair.told.reported.wait()
        pair.delegating.release([2])
        await pair.released.wait()
        pair.upstreams.may_reply_late.set()
        await pair.told.over.wait()

    context.pair = gathering.play(context.count, story)


@behave.then("it reports 2 parts, then the late attempt without its part")
def then_left_out(context):
    first, second = context.pair.told.reports
    assert set(first) == {0, 1} and set(second) == {2}
    assert not second[2].is_merged, second
    assert context.pair.delegating.merged_part(2) is None


@behave.when("it is asked while it stops")
def when_stopping(context):
    async def story(pair):
        pair.gatherer.is_stopping = True
        pair.ask()
        await pair.told.over.wait()

    context.pair = gathering.play(context.count, story)


@behave.then("the attempts are told not to have been sent, and no upstream was asked")
def then_unsent(context):
    (report_,) = context.pair.told.reports
    faults = {outcome.fault for outcome in report_.values()}
    assert faults == {events.Fault.UNSENT} and len(report_) == context.count
    assert context.pair.upstreams.asked == 0
    assert context.pair.told.ends[0].failed


@behave.when("it is asked to report after a while and ends after the first report")
def when_ends(context):
    async def story(pair):
        pair.ask()
        await pair.told.reported.wait()
        await pair.server.stop(gathering.NO_GRACE)
        await pair.told.over.wait()

    context.pair = gathering.play(context.count, story)


@behave.then("it reports 2 parts, and the third attempt failed by its helper")
def then_helper_failed(context):
    first, second = context.pair.told.reports
    assert set(first) == {0, 1}
    assert second[2].fault is events.Fault.HELPER, second
    assert context.pair.told.ends[0].failed


@behave.when("it is asked for a moment by a host that is gone then")
def when_gone(context):
    async def story(pair):
        pair.ask(left_s=0.05)
        await pair.told.reported.wait()
        await pair.delegating.close()
        context.kept = pair.gatherer.in_flight
        pair.upstreams.may_reply_late.set()
        while pair.gatherer.in_flight:  # noqa: ASYNC110
            await asyncio.sleep(0.02)

    context.pair = gathering.play(context.count, story)


@behave.then("nothing of it is left after a while")
def then_nothing_left(context):
    assert context.kept == 1 and context.pair.gatherer.in_flight == 0
