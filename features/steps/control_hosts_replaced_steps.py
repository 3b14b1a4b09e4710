"""Steps for the replacement of control hosts, with real processes."""

import asyncio
import copy
import signal

import behave

from fakes import platform_deployment, platform_processes

ADDED_PATH = "/added/1"
NOT_FOUND = 404
PAUSED = 2
"""Index of the entry host that is paused."""


def run(context, coroutine):
    return context.runner_loop.run_until_complete(coroutine)


def with_added_route(config):
    route = copy.deepcopy(config["routes"][1])
    route |= {"name": "r-added", "pathPrefix": "/added/"}
    config["routes"].append(route)
    return config


@behave.given("control and entry hosts of the platform as processes")
def given_processes(context):
    context.runner_loop = asyncio.new_event_loop()
    context.processes = platform_processes.PlatformProcesses(entries=3)
    context.add_cleanup(close_processes, context)
    run(context, start(context.processes))


def close_processes(context):
    run(context, context.processes.close())
    context.runner_loop.close()


async def start(processes):
    await processes.start()
    await processes.put(platform_deployment.configuration(version=7))
    for entry in processes.entries:
        await processes.wait_until(lambda entry=entry: processes.is_ready(entry))


@behave.when("an entry host is paused")
def when_paused(context):
    context.old_seeds = context.processes.seeds
    context.paused = context.processes.entries[PAUSED]
    context.paused.send_signal(signal.SIGSTOP)


@behave.when("every control host is replaced, one after another, {how}")
def when_replaced(context, how):
    is_planned = how == "before it is stopped"
    for number in range(len(context.processes.controls)):
        run(context, context.processes.replace_control(number, is_planned=is_planned))


@behave.when("the operator adds a route")
def when_added(context):
    config = with_added_route(platform_deployment.configuration(version=8))
    run(context, context.processes.put(config))


@behave.when("the entry host resumes, and its settings name the {which} control hosts")
def when_resumed(context, which):
    processes = context.processes
    context.paused.write_settings(
        processes.seeds if which == "new" else context.old_seeds
    )
    context.paused.send_signal(signal.SIGCONT)
    context.paused.send_signal(signal.SIGHUP)


@behave.then("it serves the added route within {seconds:d} seconds")
def then_served(context, seconds):
    processes = context.processes

    async def is_added():
        status = await processes.request_status(context.paused, ADDED_PATH)
        return status not in (0, NOT_FOUND)

    try:
        run(context, processes.wait_until(is_added, timeout=seconds))
    except TimeoutError as error:
        raise AssertionError(context.paused.log_text[-4000:]) from error


@behave.when("the first two control hosts are replaced, one after another")
def when_two_replaced(context):
    for number in range(2):
        run(context, context.processes.replace_control(number))


@behave.when("the last control host is paused until it has been replaced too")
def when_last_paused(context):
    context.paused_control = context.processes.controls[2]
    context.paused_control.send_signal(signal.SIGSTOP)
    run(context, context.processes.replace_control(2, ends_old=False))
    context.paused_control.send_signal(signal.SIGCONT)


@behave.then("it is a voter again within {seconds:d} seconds")
def then_voter(context, seconds):
    processes = context.processes

    async def is_voter():
        return not await processes.is_removed(
            context.paused_control, processes.controls
        )

    run(context, processes.wait_until(is_voter, timeout=seconds))


@behave.then("each host serves its metrics")
def then_metrics(context):
    for host in context.processes.hosts:
        address = f"{host.ip}:{platform_processes.METRICS_PORT}"
        reply = run(context, context.processes.call(address, "GET", "/metrics", b""))
        assert reply is not None and reply.status == 200, (host.name, reply)
        assert b"greengagehaven_peer_calls_total" in reply.body, host.name
