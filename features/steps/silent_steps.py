"""Steps for blackholed connections of callers and entry hosts."""

import asyncio
import datetime
import random
import tempfile

import behave

import greengagehaven
from fakes import environment as environments
from fakes import relays
from greengagehaven import clock, exceptions, log
from greengagehaven.commands import client
from greengagehaven.daemons import control_daemon, control_host, dev, entry
from greengagehaven.protocol import operator

SERVICES = ("credits-0",)
OPEN_CONNECTIONS = 4
LONG_TIMEOUT = datetime.timedelta(seconds=10)
SHORT_TIMEOUT = datetime.timedelta(milliseconds=300)
POLL_COUNT = 300
POLL_INTERVAL_S = 0.1


async def _search(context, timeout):
    return await context.session.search(SERVICES, "sweep", timeout=timeout)


@behave.given("a caller's session with several connections through a relay")
def given_session(context):
    async def start():
        address = context.dev.entries[0].address
        context.relay = relays.Relay(address)
        url = f"http://{await context.relay.start()}"
        context.session = greengagehaven.Session(url, key=dev.DEMO_KEY)
        searches = [_search(context, LONG_TIMEOUT) for _ in range(OPEN_CONNECTIONS)]
        await asyncio.gather(*searches)

    context.runner.run(start())

    async def stop():
        context.session.close()
        context.relay.stop()

    context.add_cleanup(lambda: context.runner.run(stop()))


@behave.when("all connections of the session are blackholed and it searches")
def when_blackholed(context):
    context.relay.blackhole()
    try:
        context.runner.run(_search(context, SHORT_TIMEOUT))
        context.error = None
    except exceptions.UpstreamError as error:
        context.error = error


@behave.then("this search times out and is reported as possibly run")
def then_times_out(context):
    assert isinstance(context.error, exceptions.ConnectionLostError), context.error


@behave.then("the session's next search gets a complete answer")
def then_next_answered(context):
    answer = context.runner.run(_search(context, LONG_TIMEOUT))
    assert answer.coverage.complete, answer.coverage


@behave.given("an entry host that reaches its control host through a relay")
def given_relayed_entry(context):
    log.configure(level="CRITICAL")
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.runner.run(_start_hosts(context, folder.name))
    context.add_cleanup(lambda: context.runner.run(_stop_hosts(context)))


async def _start_hosts(context, folder):
    context.control = control_daemon.ControlDaemon(
        settings=control_host.ControlSettings(
            host_id="c0",
            data_folder=folder,
            peer_address="127.0.0.1:0",
            bootstrap=True,
        ),
        clock=clock.SystemClock(),
        rng=random.Random(1),
    )
    await context.control.start()
    context.relay = relays.Relay(context.control.peer_address)
    entry_settings = entry.EntrySettings(
        host_id="e0",
        zone="a",
        listen="127.0.0.1:0",
        control_addresses=(await context.relay.start(),),
    )
    context.entry = entry.EntryHost(entry_settings=entry_settings)
    await context.entry.start()


async def _stop_hosts(context):
    context.relay.stop()
    await context.entry.close()
    await context.control.close()


async def _call_control(context, call, *arguments):
    control_client = client.ControlClient(addresses=[context.control.operator_address])
    return await asyncio.to_thread(getattr(control_client, call), *arguments)


async def _apply(context, number):
    body = operator.DocumentBody(
        change_id=f"silent-{number}", document=environments.document_with(number)
    )
    result = await _call_control(
        context, "post", "/v1/changes", body, operator.ChangeBody
    )
    for _ in range(POLL_COUNT):
        if await _reported_revision(context) == result.revision:
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"revision {result.revision} is not applied")


async def _reported_revision(context):
    status = await _call_control(context, "get", "/v1/status", operator.Status)
    return next((host.revision for host in status.hosts), None)


@behave.when(
    "its connections to the control host are blackholed after document {number:d}"
)
def when_control_blackholed(context, number):
    context.runner.run(_apply(context, number))
    context.relay.blackhole()


@behave.then("the entry host still applies document {number:d} and reports it")
def then_applies(context, number):
    context.runner.run(_apply(context, number))
