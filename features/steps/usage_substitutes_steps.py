"""Steps about entry hosts that get reports of usage while no control host answers."""

import asyncio
import random

import behave

from fakes import usage_cap_members
from greengagehaven import clock
from greengagehaven.coordination.shared_budgets import demand_shares, substitute_sums
from greengagehaven.daemons import usage_reports
from greengagehaven.protocol import codec, usage_caps

START = 100.0
CAPS = usage_cap_members.CAPS
CONTROL = "control:1"
FIRST_CONNECTION = "first:40000"


def report(host_id, requests):
    usage = usage_caps.TeamUsage(
        team="t", offered=requests, admitted=requests, recent=0
    )
    return usage_caps.UsageReport(
        host_id=host_id, run=f"{host_id}-1", sequence=1, teams=(usage,)
    )


def others(totals):
    """Return the requests that totals count at other hosts."""
    return sum(usage.offered for usage in totals.teams)


class Channel:
    """Calls the handlers of one control host."""

    def __init__(self):
        self.handlers_by_method = {}

    async def call(self, address, method, body, *, timeout):
        assert address == CONTROL, address
        return await self.handlers_by_method[method](body)


@behave.given("an entry host that a control host answers, and one that none answers")
def given_substitute(context):
    channel, now = Channel(), clock.ManualClock()
    context.control = usage_reports.UsageAggregator(
        window=CAPS.window, channel=channel, addresses=lambda: (), clock=now
    )
    channel.handlers_by_method = context.control.handlers_by_method
    context.substitute = usage_reports.UsageReporter(
        host_id="first",
        channel=channel,
        followed=lambda: (CONTROL,),
        known=lambda: (CONTROL,),
        shares=demand_shares.DemandShares(caps=CAPS, rng=random.Random(1)),
        clock=now,
    )


@behave.when("the second reports {count:d} requests to the first as its substitute")
def when_reported(context, count):
    async def run():
        body = codec.encode_msgpack(report("first", 0))
        await context.control.handle_report(body, FIRST_CONNECTION)
        body = codec.encode_msgpack(report("second", count))
        handler = context.substitute.handlers_by_method[usage_reports.SUBSTITUTE_METHOD]
        await handler(body)
        await context.control.close()

    asyncio.run(run())


@behave.then("the control host counts {count:d} requests of the second")
def then_counted(context, count):
    async def run():
        body = codec.encode_msgpack(report("third", 0))
        reply = await context.control.handle_report(body, "third:40000")
        await context.control.close()
        return codec.decode_msgpack(reply, usage_caps.UsageTotals)

    assert others(asyncio.run(run())) == count


@behave.then("the end of the first is not taken for the end of the second")
def then_not_ended(context):
    ended = context.control._forwarder.end(FIRST_CONNECTION, START)
    assert ended.host_id == "first", ended


@behave.given("an entry host that was a substitute for a report of {count:d} requests")
def given_used_substitute(context, count):
    context.sums = substitute_sums.SubstituteSums(window=CAPS.window)
    context.sums.add(report("first", count), START)


@behave.when("another host reports {count:d} requests to it {seconds:d} seconds later")
def when_reported_later(context, count, seconds):
    context.now = START + seconds
    context.sums.add(report("second", count), context.now)


@behave.then("a third host is told of {count:d} requests")
def then_told(context, count):
    assert others(context.sums.add(report("third", 0), context.now)) == count
