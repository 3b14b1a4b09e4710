"""Steps for calls between hosts over HTTP, on loopback."""

import asyncio
import datetime
from unittest import mock

import behave

from fakes import relays
from greengagehaven import clock, exceptions
from greengagehaven.transport import http_peers

BODY = b"ping"
SHORT_TIMEOUT_S = 0.4
LONG_TIMEOUT_S = 10.0
NO_GRACE = datetime.timedelta()
METHOD = "test/echo"


async def echo(body):
    return body


async def fail(body):
    raise exceptions.QuorumLostError("too few")


def run(context, awaitable):
    return context.peer_loop.run_until_complete(awaitable)


def start(context, handler):
    context.peer_loop = asyncio.new_event_loop()
    context.handler = handler
    context.address = run(context, start_server(context, "127.0.0.1", 0))
    context.target = context.address
    context.client = http_peers.HttpPeerClient(clock=clock.SystemClock())
    context.add_cleanup(stop, context)


async def start_server(context, host, port):
    context.server = http_peers.HttpPeerServer(
        handlers_by_method={METHOD: context.handler}, clock=clock.SystemClock()
    )
    return await context.server.start(host, port)


def stop(context):
    run(context, context.client.close())
    run(context, context.server.stop(NO_GRACE))
    context.peer_loop.close()


@behave.given("an HTTP peer server that echoes bodies")
def given_echo(context):
    start(context, echo)


@behave.given("an HTTP peer server whose handler fails with quorum_lost")
def given_failing(context):
    start(context, fail)


@behave.given(
    "an HTTP peer server whose handler ends two loop iterations after its caller left"
)
def given_slow(context):
    context.ended = asyncio.Event()

    async def handle(body):
        await context.left.wait()
        await asyncio.sleep(0)
        context.ended.set()
        return body

    context.left = asyncio.Event()
    start(context, handle)


@behave.given("a relay in front of the HTTP peer server")
def given_relay(context):
    context.relay = relays.Relay(context.address)
    context.target = run(context, context.relay.start())
    context.add_cleanup(context.relay.stop)


@behave.when("a host calls it over HTTP")
def when_called(context):
    relayed = context.target != context.address
    timeout = SHORT_TIMEOUT_S if relayed else LONG_TIMEOUT_S
    call = context.client.call(context.target, METHOD, BODY, timeout=timeout)
    try:
        context.result = run(context, call)
    except exceptions.PeerError as error:
        context.result = error


@behave.when("the relay blackholes its open connections")
def when_blackholed(context):
    context.relay.blackhole()


@behave.when("the HTTP peer server restarts")
def when_restarts(context):
    run(context, context.server.stop(NO_GRACE))
    host, _, port = context.address.rpartition(":")
    run(context, start_server(context, host, int(port)))


@behave.when("a host calls it over HTTP and times out")
def when_call_times_out(context):
    async def call_and_time_out():
        call = asyncio.ensure_future(
            context.client.call(context.target, METHOD, BODY, timeout=SHORT_TIMEOUT_S)
        )
        await asyncio.wait({call})
        call.exception()
        context.left.set()
        await asyncio.wait_for(context.ended.wait(), LONG_TIMEOUT_S)

    run(context, call_and_time_out())


@behave.then("the HTTP call returns the body")
def then_body(context):
    assert context.result == BODY, context.result


@behave.then("the HTTP call fails and names {text}")
def then_fails(context, text):
    assert isinstance(context.result, exceptions.PeerError), context.result
    assert text in context.result.detail, context.result.detail


@behave.then("the handler still completed")
def then_ended(context):
    assert context.ended.is_set()


@behave.when("a call is cancelled in the loop iteration in which its connection closes")
def when_cancelled(context):
    async def close_and_cancel():
        call = asyncio.ensure_future(
            context.client.call(context.target, METHOD, BODY, timeout=LONG_TIMEOUT_S)
        )
        await asyncio.sleep(SHORT_TIMEOUT_S / 4)
        await context.client.close()
        # Runs after the connection is closed and before the call is resumed.
        asyncio.get_running_loop().call_soon(call.cancel)
        await asyncio.wait({call})
        context.left.set()
        context.call = call

    run(context, close_and_cancel())


@behave.then("the HTTP call was cancelled")
def then_cancelled(context):
    assert context.call.cancelled(), context.call


@behave.when("a host calls it over HTTP for {seconds:d} s")
def when_called_for(context, seconds):
    call = context.client.call(context.target, METHOD, BODY, timeout=seconds)
    with mock.patch.object(asyncio, "timeout", wraps=asyncio.timeout) as timeout:
        run(context, call)
    context.timeouts = [each.args[0] for each in timeout.call_args_list]


@behave.then("the call waited for a connection for at most {ms:d} ms")
def then_connect_timeout(context, ms):
    assert min(context.timeouts) <= ms / 1000, context.timeouts


@behave.then("{count:d} call is counted with more bytes than its bodies contain")
def then_counted(context, count):
    traffic = context.client.call_counts
    assert traffic.calls[METHOD] == count, traffic.calls
    assert traffic.sent_bytes[METHOD] > len(BODY), traffic.sent_bytes
    assert traffic.received_bytes[METHOD] > len(BODY), traffic.received_bytes
