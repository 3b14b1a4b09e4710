"""Steps for gRPC calls between hosts over loopback sockets."""

import asyncio
import datetime

import behave
from click import testing

from fakes import relays
from greengagehaven import cli, clock, exceptions, settings
from greengagehaven.transport import grpc_peers

BODY = b"ping"
CALL_TIMEOUT_S = 0.3
NO_GRACE = datetime.timedelta()


async def echo(body: bytes) -> bytes:
    return body


def run(context, awaitable):
    return context.loop.run_until_complete(awaitable)


def start_server(context, handler, token) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    system_clock = clock.SystemClock()
    context.server = grpc_peers.GrpcPeerServer(
        handlers_by_method={"test/echo": handler}, token=token, clock=system_clock
    )
    context.address = run(context, context.server.start("127.0.0.1", 0))
    context.add_cleanup(lambda: run(context, context.server.stop(NO_GRACE)))
    context.clients_by_token = {}


def client_for_token(context, token: str) -> grpc_peers.GrpcPeerClient:
    async def make() -> grpc_peers.GrpcPeerClient:
        return grpc_peers.GrpcPeerClient(token=token, clock=clock.SystemClock())

    if token not in context.clients_by_token:
        client = run(context, make())
        context.add_cleanup(lambda: run(context, client.close()))
        context.clients_by_token[token] = client
    return context.clients_by_token[token]


def call(context, address: str, token: str) -> None:
    client = client_for_token(context, token)
    request = client.call(address, "test/echo", BODY, timeout=CALL_TIMEOUT_S)
    try:
        context.result = run(context, request)
    except exceptions.PeerError as error:
        context.result = error.code


@behave.given('a peer server that expects the token "{token}" and echoes bodies')
def given_server(context, token):
    start_server(context, echo, token)


@behave.given("a relay in front of the peer server")
def given_relay(context):
    context.relay = relays.Relay(context.address)
    context.relay_address = run(context, context.relay.start())
    context.add_cleanup(context.relay.stop)


@behave.given(
    "a peer server whose handler ends two loop iterations after its caller left"
)
def given_slow_server(context):
    context.caller_left = asyncio.Event()
    context.ended = asyncio.Event()

    async def handle(body: bytes) -> bytes:
        await context.caller_left.wait()
        await asyncio.sleep(0)
        context.ended.set()
        return body

    start_server(context, handle, None)


@behave.when('a peer calls it with the token "{token}"')
def when_called(context, token):
    call(context, context.address, token)


@behave.when('a peer calls through the relay with the token "{token}"')
def when_called_through_relay(context, token):
    call(context, context.relay_address, token)


@behave.when("the relay drops traffic on its open connections without closing them")
def when_relay_blackholes(context):
    context.relay.blackhole()


@behave.when("a peer calls it and times out")
def when_caller_times_out(context):
    call(context, context.address, "any")
    # Leaves time for the cancellation to arrive before the handler continues.
    run(context, asyncio.sleep(CALL_TIMEOUT_S))
    context.caller_left.set()


@behave.when("a second peer server starts on the same address")
def when_second_server(context):
    second = grpc_peers.GrpcPeerServer(
        handlers_by_method={}, token=None, clock=clock.SystemClock()
    )
    host, port = settings.parse_address("peer", context.address)
    try:
        run(context, second.start(host, port))
        context.result = "started"
    except exceptions.SettingError as error:
        context.result = error.code


@behave.then('the peer call ends with "{code}"')
def then_failed(context, code):
    assert context.result == code, context.result


@behave.then("the peer call returns the body")
def then_returned(context):
    assert context.result == BODY, context.result


@behave.then("the peer handler still completed")
def then_handler_completed(context):
    run(context, asyncio.wait_for(context.ended.wait(), 5))


ARGUMENTS_BY_COMMAND = {
    "entry": ["entry", "--host-id", "h-1", "--zone", "a", "--peer-listen"],
    "control": [
        "control",
        "--host-id",
        "c-1",
        "--data-folder",
        "unused",
        "--peer-address",
    ],
}


@behave.when("{command} is started without a peer token on {address}")
def when_started_without_token(context, command, address):
    arguments = [*ARGUMENTS_BY_COMMAND[command], address]
    context.cli_result = testing.CliRunner().invoke(cli.greengagehaven, arguments)


@behave.then("it does not start and names the {setting} in a one-line error")
def then_names_setting(context, setting):
    assert context.cli_result.exit_code == 2, context.cli_result.output
    lines = [
        line for line in context.cli_result.output.splitlines() if "Error:" in line
    ]
    assert len(lines) == 1 and f"{setting}: got" in lines[0], context.cli_result.output
