"""Steps for the channel to upstreams, with a test upstream on loopback."""

import asyncio
import collections
import datetime

import behave
import msgspec

from greengagehaven import clock
from greengagehaven.protocol import upstream
from greengagehaven.transport import direct_channel, http, http_server

CONNECTION_LIMIT = 3
WAIT_S = 10
ECHOED = ("request-id", "attempt", "service", "shard", "snapshot", "partitioning")
ROWS = b'{"rows": [{"n": 1}]}'
NOT_RUN = (("Not-Run", "true"),)
STATUSES = {
    "refuses without running": (503, NOT_RUN),
    "lacks the snapshot": (409, NOT_RUN),
    "sends a bare 503": (503, ()),
    "sends 500 and Not-Run": (500, NOT_RUN),
}


class TestUpstream:
    """Answers as its behaviour says; does not enforce the connection limit."""

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.most_connections = 0
        self.server = http_server.HttpServer(handler=self.handle)
        self.gate = asyncio.Event()
        self.entered = asyncio.Event()

    async def handle(self, request):
        connections = self.server.connection_count
        self.most_connections = max(self.most_connections, connections)
        if request.method == "DELETE":
            return http.Response(status=200)
        self.entered.set()
        echo = [(name, request.headers[name]) for name in ECHOED]
        if self.behaviour in STATUSES:
            status, headers = STATUSES[self.behaviour]
            return http.Response(status=status, headers=(*headers, *echo))
        if self.behaviour == "resets in mid-request":
            await self.server.close()
        if self.behaviour == "waits before it answers":
            await self.gate.wait()
        if self.behaviour == "mixes up its replies":
            echo[0] = ("request-id", "another")
        await asyncio.sleep(0.001)
        body = b"<html>" if self.behaviour == "sends no JSON" else ROWS
        return http.Response(status=200, body=body, headers=tuple(echo))


class ChannelFixture:
    """A channel, its upstream and the outcomes that the channel reported."""

    def __init__(self, behaviour):
        self.upstream = TestUpstream(behaviour)
        self.clock = clock.SystemClock()
        self.stall_range = (datetime.timedelta(milliseconds=60),) * 2
        self.channel = direct_channel.DirectChannel(
            clock=self.clock,
            max_connections_of=lambda upstream_id: CONNECTION_LIMIT,
            stall_timeout_range=self.stall_range,
        )
        self.outcomes = collections.defaultdict(list)
        self.sent = 0

    async def start(self):
        self.address = await self.upstream.server.start()
        if self.upstream.behaviour == "is not there":
            await self.upstream.server.close()

    async def close(self):
        self.channel.close()
        await self.upstream.server.close()

    def dispatch(self, count):
        batch = []
        for _ in range(count):
            self.sent += 1
            batch.append(self.build_sub_request(self.sent))
        self.channel.dispatch(batch, self.record_outcome)
        return [each.id for each in batch]

    def build_sub_request(self, attempt):
        return upstream.SubRequest(
            request_id="r-1",
            attempt=attempt,
            upstream_id="u-1",
            incarnation=1,
            address=self.address,
            shard_ref=upstream.ShardRef("credits-0", 0),
            snapshot=42,
            partitioning=3,
            deadline=self.clock.monotonic() + WAIT_S,
            kind="sweep",
            query=msgspec.Raw(b"{}"),
        )

    def record_outcome(self, outcome):
        self.outcomes[(outcome.request_id, outcome.attempt)].append(outcome)

    async def wait_for(self, ids):
        for _ in range(WAIT_S * 200):
            if all(self.outcomes[each] for each in ids):
                return
            await asyncio.sleep(0.005)
        raise AssertionError("a sub-request has no outcome")

    async def run(self, count):
        ids = self.dispatch(count)
        await self.wait_for(ids)
        return [self.outcomes[each][0] for each in ids]


@behave.given("a channel to an upstream that {behaves}")
def given_channel(context, behaves):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)

    async def build():
        context.fixture = ChannelFixture(behaves)
        await context.fixture.start()

    context.runner.run(build())
    context.add_cleanup(lambda: context.runner.run(context.fixture.close()))


@behave.given("the channel has {count:d} idle connections")
def given_idle(context, count):
    context.runner.run(context.fixture.run(count))
    assert context.fixture.channel.connection_count("u-1") == count


@behave.when("these connections stop carrying data")
def when_stalled(context):
    async def stall():
        assert (
            context.fixture.upstream.server.blackhole_connections() == CONNECTION_LIMIT
        )

    context.runner.run(stall())


@behave.when("{count:d} sub-request is dispatched on the channel")
@behave.when("{count:d} sub-requests are dispatched on the channel")
def when_dispatched(context, count):
    context.outcomes = context.runner.run(context.fixture.run(count))


@behave.when("a sub-request is dispatched on the channel and cancelled")
def when_cancelled(context):
    fixture = context.fixture

    async def cancel():
        ids = fixture.dispatch(1)
        await asyncio.wait_for(fixture.upstream.entered.wait(), WAIT_S)
        fixture.channel.cancel(*ids[0])
        assert len(fixture.outcomes[ids[0]]) == 1, "the outcome was not immediate"
        fixture.upstream.gate.set()
        await asyncio.sleep(0.02)
        return fixture.outcomes[ids[0]]

    context.outcomes = context.runner.run(cancel())


@behave.then("the channel reports {reason} with not_run {flag} at least {least:d} time")
def then_reports_least(context, reason, flag, least):
    found = [each for each in context.outcomes if _is_failure(each, reason, flag)]
    assert len(found) >= least, context.outcomes


@behave.then("the channel reports {reason} with not_run {flag} {count:d} time")
def then_reports(context, reason, flag, count):
    assert len(context.outcomes) == count, context.outcomes
    assert all(_is_failure(each, reason, flag) for each in context.outcomes), (
        context.outcomes
    )


def _is_failure(outcome, reason, flag):
    if isinstance(outcome, upstream.Replied):
        return False
    return outcome.reason == reason and outcome.not_run == (flag == "true")


@behave.then("the channel has closed the connection")
def then_closed(context):
    async def wait():
        server = context.fixture.upstream.server
        for _ in range(200):
            if server.connection_count == 0:
                return
            await asyncio.sleep(0.005)
        raise AssertionError("the connection is still open")

    context.runner.run(wait())


@behave.then("every sub-request of the channel is answered once")
def then_answered_once(context):
    for outcomes in context.fixture.outcomes.values():
        assert len(outcomes) == 1, outcomes
        assert isinstance(outcomes[0], upstream.Replied), outcomes


@behave.then("the upstream never saw more than {count:d} connections")
def then_connections(context, count):
    assert context.fixture.upstream.most_connections <= count


@behave.then("the next {count:d} sub-requests on the channel are answered")
def then_next_answered(context, count):
    for outcome in context.runner.run(context.fixture.run(count)):
        assert isinstance(outcome, upstream.Replied), outcome
