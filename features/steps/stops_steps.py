"""Steps for stops of hosts, as processes, under load."""

import asyncio
import functools
import itertools
import json
import os
import signal
import sys

import behave

from fakes import platform_processes, stop_entry, stop_load, stop_upstreams
from greengagehaven.platform import names

WORK_S = (0.01, 2.0)
TERM = ((0.0, signal.SIGTERM),)
SEARCH = {
    "path": stop_entry.SEARCH_PATH,
    "body": stop_entry.SEARCH_BODY,
    "headers": stop_entry.HEADERS,
}
BUSY_LOOPS = 3
LATE_CLIENTS = 8
LONG_SWEEPS = 8
DELEGATED = "event=delegated"


def parse_signals(text):
    pairs = (each.split() for each in text.split(","))
    return tuple((float(delay), signal.Signals[name]) for name, delay in pairs)


async def run_loads(context, deployment, loads):
    await asyncio.gather(*(load.run() for load in loads))
    context.loads = loads
    for load in loads:
        print(f"{context.scenario.name}: {load.summary()}")


def add_senders(load, count):
    """Add clients that send on busy connections, and on ones that were idle."""
    for number in range(LATE_CLIENTS):
        at_s = 3.2 + 0.8 * number / LATE_CLIENTS
        load.add(functools.partial(load.send_once, at_s=at_s, work_s=WORK_S[1]))
    send = load.keep_sending
    load.add(functools.partial(send, work_s=WORK_S), count // 2)
    load.add(functools.partial(send, work_s=WORK_S, idle_s=1.5), count - count // 2)


def stop_one(context, add_clients):
    """Stop the first of two entry hosts under the load that ``add_clients`` adds."""

    async def run():
        async with stop_upstreams.StopDeployment(entries=2) as deployment:
            load = stop_load.StopLoad(
                deployment=deployment,
                host=deployment.processes.entries[0],
                signals=TERM,
            )
            add_clients(load)
            await run_loads(context, deployment, [load])

    asyncio.run(run())


@behave.when("entry hosts are stopped under load by these signals")
def when_stopped_by_signals(context):
    rows = context.table.rows

    async def run():
        async with stop_upstreams.StopDeployment(entries=len(rows) + 1) as deployment:
            loads = []
            for row, host in zip(rows, deployment.processes.entries, strict=False):
                load = stop_load.StopLoad(
                    deployment=deployment,
                    host=host,
                    signals=parse_signals(row["signals"]),
                )
                add_senders(load, int(row["clients"]))
                loads.append(load)
            await run_loads(context, deployment, loads)

    asyncio.run(run())


@behave.when("an entry host is stopped while pipelined requests wait")
def when_pipelined(context):
    def add_clients(load):
        for at_s in (-0.3, -0.05, -0.01, 0.05, 1.0, 2.5):
            client = functools.partial(
                load.send_pipelined, at_s=at_s, count=3, work_s=(0.1, 0.6)
            )
            load.add(client, 4)

    stop_one(context, add_clients)


@behave.when("an entry host is stopped while clients half-close their connections")
def when_half_closed(context):
    def add_clients(load):
        for at_s in (-0.3, -0.05, 0.05, 1.0, 2.5):
            client = functools.partial(
                load.send_and_half_close, at_s=at_s, work_s=(0.5, 1.5)
            )
            load.add(client, 4)

    stop_one(context, add_clients)


@behave.when("an entry host is stopped while clients read slowly and hold connections")
def when_read_slowly(context):
    def add_clients(load):
        hold = load.send_and_hold
        load.add(functools.partial(hold, at_s=2.8, work_s=1.9), 5)
        load.add(functools.partial(hold, at_s=2.9, work_s=1.95), 5)
        slow = functools.partial(hold, at_s=2.5, work_s=1.0, size=250_000, pause_s=0.02)
        load.add(slow, 5)

    stop_one(context, add_clients)


@behave.when("2 of 3 entry hosts are stopped at once under load")
def when_two_stopped(context):
    async def run():
        async with stop_upstreams.StopDeployment(entries=3) as deployment:
            loads = []
            for host in deployment.processes.entries[:2]:
                load = stop_load.StopLoad(
                    deployment=deployment, host=host, signals=TERM
                )
                add_senders(load, 60)
                loads.append(load)
            await run_loads(context, deployment, loads)

    asyncio.run(run())


@behave.when("an entry host is stopped while upstreams do not answer")
def when_silent(context):
    def add_clients(load):
        load.has_sound_upstreams = False
        add_senders(load, 20)
        for at_s in (-0.5, 0.5, 1.5, 2.5, 3.5, 4.0):
            silent = functools.partial(
                load.send_once, at_s=at_s, work_s=stop_upstreams.SILENT
            )
            load.add(silent, 3)

    stop_one(context, add_clients)


@behave.when("an entry host is stopped while others delegate attempts of sweeps to it")
def when_delegated(context):
    async def run():
        # The upstreams are in the zone of the second host, so the first one delegates
        # all shards of its sweeps to it.
        zone = platform_processes.ZONES[1]
        async with stop_upstreams.StopDeployment(
            entries=2, upstream_zones=(zone, zone)
        ) as deployment:
            target, host = deployment.processes.entries
            load = stop_load.StopLoad(
                deployment=deployment, host=host, target=target, signals=TERM
            )
            sweep = functools.partial(
                load.keep_sending, prefix=stop_upstreams.SWEEP_PREFIX
            )
            # Upstreams that don't reply to anything for a while count as silent.
            load.add(functools.partial(sweep, work_s=(0.01, 0.2), until_s=6.8), 4)
            load.add(functools.partial(sweep, work_s=(1.0, 2.2)), LONG_SWEEPS)
            delegated = asyncio.ensure_future(
                load.sample(lambda: target.log_text.count(DELEGATED), at_s=-0.01)
            )
            await run_loads(context, deployment, [load])
            print("delegated before the stop:", await delegated)
            assert await delegated >= LONG_SWEEPS

    asyncio.run(run())


def add_orders(load, deployment, *, late_at_s=()):
    """Add operators and upstreams that send orders to a control host.

    :param late_at_s: moments at which orders are sent on connections that were idle.
    """
    versions = itertools.count(8)
    upstreams = itertools.cycle(deployment.upstreams)

    def make_change():
        config = stop_upstreams.configuration(next(versions))
        return names.CONFIG_PATH, json.dumps(config).encode()

    def make_announcement():
        upstream = next(upstreams)
        body = json.dumps(upstream.announcement()).encode()
        return names.INSTANCES_PATH + upstream.name, body

    load.add(lambda: load.keep_ordering(make_change), 6)
    load.add(lambda: load.keep_ordering(make_announcement), 20)
    for make_order in (make_change, make_announcement):
        for at_s in late_at_s:
            load.add(functools.partial(load.order_once, make_order, at_s=at_s), 4)


@behave.when("a control host is stopped while changes and announcements arrive")
def when_control_stopped(context):
    async def run():
        async with stop_upstreams.StopDeployment(entries=1) as deployment:
            load = stop_load.StopLoad(
                deployment=deployment, host=deployment.leader(), signals=TERM
            )
            add_orders(load, deployment, late_at_s=(-0.01, 0.01, 0.2, 0.5, 0.8))
            await run_loads(context, deployment, [load])

    asyncio.run(run())


@behave.when("a control host without a majority is stopped while orders arrive")
def when_control_alone_stopped(context):
    async def run():
        async with stop_upstreams.StopDeployment(entries=1) as deployment:
            host = deployment.leader()
            others = [h for h in deployment.processes.controls if h is not host]
            load = stop_load.StopLoad(deployment=deployment, host=host, signals=TERM)
            add_orders(load, deployment, late_at_s=(-0.2, -0.01, 0.01, 0.2, 0.5, 0.8))

            def pause():
                for other in others:
                    other.send_signal(signal.SIGSTOP)

            paused = asyncio.ensure_future(load.sample(pause, at_s=-0.3))
            try:
                await run_loads(context, deployment, [load])
                await paused
            finally:
                for other in others:
                    other.send_signal(signal.SIGCONT)

    asyncio.run(run())


@behave.when("an entry host is stopped while its processor is busy")
def when_busy(context):
    async def run():
        loops = []
        async with stop_upstreams.StopDeployment(entries=2) as deployment:
            host = deployment.processes.entries[0]
            processor = {min(os.sched_getaffinity(0))}
            try:
                os.sched_setaffinity(host.process.pid, processor)
                for _ in range(BUSY_LOOPS):
                    each = await asyncio.create_subprocess_exec(
                        *(sys.executable, "-c", "while True: pass")
                    )
                    loops.append(each)
                    os.sched_setaffinity(each.pid, processor)
                load = stop_load.StopLoad(
                    deployment=deployment, host=host, signals=TERM
                )
                add_senders(load, 60)
                await run_loads(context, deployment, [load])
            finally:
                for each in loops:
                    each.kill()
                    await each.wait()

    asyncio.run(run())


@behave.when("an entry host is stopped while searches outlast its drain, over {kind}")
def when_search_outlasts(context, kind):
    async def run():
        # The host gives a search up after 0.9 s without a reply.
        async with stop_entry.EntryDeployment(
            work_s=4.0, drain_s=0.2, has_tls=kind == "TLS"
        ) as deployment:
            load = stop_load.StopLoad(
                deployment=deployment, host=deployment.host, signals=TERM
            )
            search = functools.partial(load.send_search, at_s=-0.2, **SEARCH)
            load.add(search, 3)
            in_flight = asyncio.ensure_future(
                load.sample(lambda: deployment.upstream.in_flight, at_s=-0.01)
            )
            await run_loads(context, deployment, [load])
            assert await in_flight

    asyncio.run(run())


@behave.when("an entry host is stopped while clients search over {kind}")
def when_searching(context, kind):
    async def run():
        async with stop_entry.EntryDeployment(
            work_s=0.1, drain_s=3.0, has_tls=kind == "TLS"
        ) as deployment:
            load = stop_load.StopLoad(
                deployment=deployment, host=deployment.host, signals=TERM
            )
            load.add(lambda: load.keep_searching(**SEARCH), 8)
            await run_loads(context, deployment, [load])

    asyncio.run(run())


@behave.then("every request that was passed on got a response")
def then_answered(context):
    faults = [fault for load in context.loads for fault in load.request_faults()]
    assert all(load.requests for load in context.loads)
    assert not faults, (len(faults), faults[:10])


@behave.then("requests that arrived after the signal were answered")
def then_served(context):
    counts = [load.answered_after_stop() for load in context.loads]
    assert all(counts), counts


@behave.then("every sweep got a response with all its parts")
def then_complete(context):
    faults = [fault for load in context.loads for fault in load.incomplete_faults()]
    assert not faults, (len(faults), faults[:10])


@behave.then("each host ended within its grace period with exit code 0 and none left")
def then_ended(context):
    faults = [fault for load in context.loads for fault in load.end_faults()]
    assert not faults, faults
