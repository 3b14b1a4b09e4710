"""Steps about what refusals state."""

import asyncio
import collections
import socket

import behave

from fakes import gathering, refusal_model, routing, sweeps
from greengagehaven import clock
from greengagehaven.coordination.routing import events
from greengagehaven.transport import client_connection


@behave.when("{count:d} random sequences of {length:d} events are played")
def when_played(context, count, length):
    context.violations = []
    context.statuses = collections.Counter()
    for seed in range(count):
        play = refusal_model.Play(seed)
        play.run(length)
        context.violations += [f"seed {seed}: {each}" for each in play.violations]
        context.statuses += play.statuses


@behave.then("no request that was offered to an upstream got a 503")
def then_no_false_not_run(context):
    found = [each for each in context.violations if "to no upstream" not in each]
    assert not found, found[:5]


@behave.then(
    "every refused request that was offered to none got a 503 with a retry-after"
)
def then_no_false_may_have_run(context):
    found = [each for each in context.violations if "to no upstream" in each]
    assert not found, found[:5]


@behave.then("refusals of both kinds occurred")
def then_both(context):
    assert all(context.statuses[status] > 20 for status in (502, 503, 504)), (
        context.statuses
    )


@behave.given(
    "a router with a route for non-idempotent requests, and no free connection"
)
def given_no_connection(context):
    context.tier = routing.RouterHarness()
    context.tier.starts_attempts = False
    route = routing.single_route(("billed", 1.0), is_idempotent=False)
    context.tier.apply_routing_table(routing.routing_table(1, route))
    context.tier.apply_upstream_entries(*sweeps.upstream_entries("billed", 2))


@behave.when("a request arrives and no upstream can be reached")
def when_unreachable(context):
    context.number = context.tier.request("/single/1")
    for number in range(2):
        context.tier.step(
            events.UpstreamProbed(
                upstream_id=f"billed-u{number}", listener=events.Listener.NO_RESPONSE
            )
        )


@behave.then(
    "it is refused with incomplete and a retry-after, and its attempts are released"
)
def then_refused_unsent(context):
    ending = context.tier.final_actions_by_number[context.number]
    assert ending.error.code == "incomplete" and ending.error.retry_after > 0, ending
    sent = {send.attempt for send in context.tier.attempts_of(context.number)}
    assert sent == set(context.tier.released), (sent, context.tier.released)


@behave.given("a helper that cannot be connected to")
def given_unconnectable(context):
    context.started = []


class _NeverConnects:
    """A channel whose calls wait for a connection until they are cancelled."""

    async def call(self, address, method, body, *, timeout, on_sending=None):
        await asyncio.Event().wait()


@behave.when("attempts are delegated to it and released before a byte was sent")
def when_released_unsent(context):
    async def scenario(setup):
        setup.delegating._channel = _NeverConnects()
        setup.sink.on_attempt_started = context.started.append
        setup.delegate()
        await asyncio.sleep(0)
        setup.delegating.release(range(3))
        async with asyncio.timeout(gathering.TIME_LEFT_S):
            await setup.sink.reported.wait()

    context.setup = gathering.run_scenario(3, scenario)


@behave.then("they are reported as unsent, and none of them counted as started")
def then_reported_unsent(context):
    (report,) = context.setup.sink.reports
    assert {each.fault for each in report.values()} == {events.Fault.UNSENT}, report
    assert len(report) == 3 and not context.started
    assert not context.setup.sink.ends[0].failed


class _ConnectsLate:
    """A channel whose calls wait for a connection until ``connected`` is set."""

    def __init__(self, channel):
        self.channel = channel
        self.connected = asyncio.Event()

    async def call(self, address, method, body, *, timeout, on_sending=None):
        await self.connected.wait()
        return await self.channel.call(
            address, method, body, timeout=timeout, on_sending=on_sending
        )


@behave.given("a helper that is connected to after a while")
def given_connected_late(context):
    context.started = []


@behave.when("attempts are delegated to it and one is released before a byte was sent")
def when_one_released(context):
    async def scenario(setup):
        channel = setup.delegating._channel = _ConnectsLate(setup.peer_client)
        setup.sink.on_attempt_started = context.started.append
        setup.delegate()
        await asyncio.sleep(0)
        setup.delegating.release([2])
        channel.connected.set()
        async with asyncio.timeout(gathering.TIME_LEFT_S):
            await setup.sink.ended.wait()

    context.setup = gathering.run_scenario(3, scenario)


@behave.then("it is reported as unsent, and the helper sends only the other ones")
def then_left_out(context):
    withdrawn, answered = context.setup.sink.reports
    assert withdrawn[2].fault is events.Fault.UNSENT, withdrawn
    assert set(answered) == {0, 1} == set(context.started), answered
    assert context.setup.upstreams.request_count == 2


class _Owner:
    """Records the end of a connection."""

    def __init__(self):
        self.closed = asyncio.Event()

    def on_closed(self, connection, detail):
        self.closed.set()


@behave.when("a request is sent on a connection whose first write fails")
def when_write_fails(context):
    async def scenario():
        first, second = socket.socketpair()
        owner = _Owner()
        loop = asyncio.get_running_loop()
        connection = client_connection.ClientConnection(
            owner=owner, clock=clock.SystemClock()
        )
        await loop.create_connection(lambda: connection, sock=first)
        second.close()
        connection.send("GET", "/", [("Host", "x")], b"")
        await owner.closed.wait()
        return connection.wrote_nothing

    context.wrote_nothing = asyncio.run(scenario())


@behave.then("its attempt ends as unsent")
def then_wrote_nothing(context):
    assert context.wrote_nothing


@behave.when("a sweep arrives with {milliseconds:d} ms left")
def when_late(context, milliseconds):
    context.number = context.tier.request("/sweep/1", time_left=milliseconds / 1000)


@behave.then("it is refused as incomplete and nothing is sent")
def then_refused_unsent(context):
    ending = context.tier.final_actions_by_number[context.number]
    assert isinstance(ending, events.Refuse), ending
    assert ending.error.status == 503, ending
    assert not context.tier.attempts_of(context.number)
