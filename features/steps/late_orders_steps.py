"""Steps for orders of operators that arrive late."""

import asyncio
import json
import re
import signal

import behave

from fakes import platform_deployment
from greengagehaven import exceptions, settings
from greengagehaven.daemons import orders
from greengagehaven.platform import names

ZONE = "midt-a"
ZONE_PATH = names.EVACUATE_PATH + ZONE
RESTORED, EVACUATED = "DELETE", "POST"
OPERATOR_TIMEOUT_S = 1.0
PAUSE_S = 4.0
LATE_S = 1.0
AUDITED_ZONE_CHANGE = re.compile(r'event=audit number=(\d+) .*action="zone (\w+) ')


def run(context, coroutine):
    return context.runner_loop.run_until_complete(coroutine)


async def order(processes, method, hosts):
    """Send an order for the zone to the hosts in turn until one accepts it."""

    async def attempt():
        for host in hosts:
            reply = await processes.call(host.operator_address, method, ZONE_PATH, b"")
            if reply is not None and reply.status == 200:
                return True
        return False

    await processes.wait_until(attempt)


def newest_zone_change(processes):
    """Return the newest change of a zone in the logs of the control hosts."""
    changes = (
        (int(number), verb)
        for host in processes.controls
        for number, verb in AUDITED_ZONE_CHANGE.findall(host.log_text)
    )
    return max(changes, default=(0, ""))


async def leader_of(processes):
    """Return the control host that logged the highest term as a leader."""
    terms = [
        (int(term), number)
        for number, host in enumerate(processes.controls)
        for term in re.findall(r"role=leader term=(\d+)", host.log_text)
    ]
    return processes.controls[max(terms)[1]]


async def connect(address):
    """Return the writer of an operator's connection that has been used."""
    reader, writer = await asyncio.open_connection(
        *settings.parse_address("operator", address)
    )
    writer.write(request_bytes("GET", names.CONFIG_PATH))
    await reader.readuntil(b"\r\n\r\n")
    return writer


def request_bytes(method, path):
    return f"{method} {path} HTTP/1.1\r\nHost: control\r\n\r\n".encode()


async def wait_until_evacuated(processes, after):
    """Return the newest change of the zone once it is an evacuation after ``after``."""
    newest = (0, "")

    async def is_evacuated():
        nonlocal newest
        newest = newest_zone_change(processes)
        return newest[0] > after and newest[1] == "drain"

    await processes.wait_until(is_evacuated)
    return newest


@behave.given("an evacuated zone")
def given_evacuated(context):
    run(context, order(context.processes, EVACUATED, context.processes.controls))
    context.newest = run(context, wait_until_evacuated(context.processes, after=0))


@behave.when(
    "a copy of the order to restore it waits {where} while the operator restores the "
    "zone and evacuates it again"
)
def when_copy_waits(context, where):
    run(context, let_copy_wait(context, where))


async def let_copy_wait(context, where):
    processes = context.processes
    leader = await leader_of(processes)
    followers = [host for host in processes.controls if host is not leader]
    context.receiver = leader if where == "in the paused leader" else followers[0]
    others = [host for host in processes.controls if host is not context.receiver]
    writer = await connect(context.receiver.operator_address)
    context.is_paused = "paused" in where
    if context.is_paused:
        context.receiver.send_signal(signal.SIGSTOP)
        writer.write(request_bytes(RESTORED, ZONE_PATH))
        await asyncio.sleep(OPERATOR_TIMEOUT_S)
        writer.close()
    await order(processes, RESTORED, others)
    await order(processes, EVACUATED, others)
    context.newest = await wait_until_evacuated(processes, after=context.newest[0] + 1)
    context.writer = writer


@behave.when("the copy arrives")
def when_arrives(context):
    async def arrive():
        if context.is_paused:
            await asyncio.sleep(PAUSE_S - OPERATOR_TIMEOUT_S)
            context.receiver.send_signal(signal.SIGCONT)
        else:
            # A link that heals delivers the request, and right after it the close.
            context.writer.write(request_bytes(RESTORED, ZONE_PATH))
            await asyncio.sleep(0)
            context.writer.close()
        await asyncio.sleep(LATE_S)

    run(context, arrive())


@behave.then("the zone is still evacuated")
def then_evacuated(context):
    newest = newest_zone_change(context.processes)
    assert newest == context.newest, (context.newest, newest)
    assert newest[1] == "drain", newest


@behave.given("the operator has put a configuration")
def given_configured(context):
    config = platform_deployment.configuration()
    run(context, context.platform.put_until_accepted(config))


class StallingChannel:
    """Keeps the next order to the leader instead of sending it."""

    def __init__(self, channel):
        self._channel = channel
        self.stalled = None

    async def call(self, address, method, body, *, timeout, **options):
        if method != orders.ORDER_METHOD:
            return await self._channel.call(
                address, method, body, timeout=timeout, **options
            )
        if self.stalled is None:
            self.stalled = (address, method, body)
        await asyncio.sleep(timeout)
        raise exceptions.PeerError("no reply in time")

    async def deliver(self):
        address, method, body = self.stalled
        return await self._channel.call(address, method, body, timeout=LATE_S)


def host_of(control):
    return control._host


def follower_numbers(platform):
    return [
        number
        for number, control in enumerate(platform.controls)
        if not control.is_leader
    ]


async def order_at(platform, number, method):
    address = platform.operator_addresses[number]
    return await platform.call(address, method, ZONE_PATH, b"")


async def start_rollout_at(platform, number):
    body = {
        "backend": platform_deployment.SHARDS[0],
        "targetVersion": "v2",
        "durationS": 60,
    }
    return await platform.call(
        platform.operator_addresses[number],
        "POST",
        names.ROLLOUT_PATH.rstrip("/"),
        json.dumps(body).encode(),
    )


@behave.when("a follower's copy of {name} stalls on its way to the leader")
def when_stalls(context, name):
    run(context, stall(context, name))


async def stall(context, name):
    platform = context.platform
    number, context.other = follower_numbers(platform)
    host = host_of(platform.controls[number])
    context.channel = StallingChannel(host.channel)
    host.channel = context.channel
    match name:
        case "the restoration of zone a":
            reply = await order_at(platform, number, RESTORED)
        case "the evacuation of zone a":
            reply = await order_at(platform, number, EVACUATED)
        case "a roll-out":
            reply = await start_rollout_at(platform, number)
        case _:
            raise ValueError(name)
    assert reply.status == 503, reply
    assert context.channel.stalled is not None


@behave.when("{name} is accepted by another host")
def when_accepted(context, name):
    run(context, accept(context, name))


async def accept(context, name):
    platform = context.platform
    methods = {
        "the restoration and evacuation of zone a": (RESTORED, EVACUATED),
        "the evacuation and restoration of zone a": (EVACUATED, RESTORED),
        "another configuration": (),
    }[name]
    for method in methods:
        reply = await order_at(platform, context.other, method)
        assert reply.status == 200, reply
    if not methods:
        config = platform_deployment.configuration(version=8)
        reply = await platform.put(config, control_index=context.other)
        assert reply.status == 200, reply
    context.state = leader_state(platform)


def leader_state(platform):
    leader = next(control for control in platform.controls if control.is_leader)
    return host_of(leader).current


@behave.when("the stalled copy arrives")
def when_stalled_arrives(context):
    run(context, context.channel.deliver())


@behave.then("it has changed nothing")
def then_unchanged(context):
    assert leader_state(context.platform) == context.state


@behave.when(
    "the operator evacuates and restores a zone {count:d} times, each time at another "
    "host"
)
def when_alternating(context, count):
    async def send_all():
        return [
            await order_at(
                context.platform,
                number % len(context.platform.controls),
                EVACUATED if number % 2 == 0 else RESTORED,
            )
            for number in range(2 * count)
        ]

    context.replies = run(context, send_all())


@behave.then("every order is acknowledged at the first attempt")
def then_acknowledged(context):
    statuses = [reply.status for reply in context.replies]
    assert set(statuses) == {200}, statuses
