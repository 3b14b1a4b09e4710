"""Steps for configurations that an entry host can't apply."""

import asyncio
import contextlib
from unittest import mock

import behave

from fakes import platform_deployment
from greengagehaven.daemons import gateway
from greengagehaven.transport import background_tasks

NOT_FOUND = 404
POLL_S = 0.05
FAILURE_TIMEOUT_S = 10.0


def run(context, coroutine):
    return context.runner_loop.run_until_complete(coroutine)


def configuration(version, **limits):
    """Return a configuration whose sweep has a path of its own."""
    config = platform_deployment.configuration(version=version)
    config["routes"][0]["pathPrefix"] = f"/version-{version}/"
    config["limits"] |= limits
    return config


async def put(context, version, **limits):
    context.version = version
    await context.platform.put_until_accepted(configuration(version, **limits))


async def is_in_force(context):
    reply = await context.platform.call(
        context.platform.entry_address,
        "GET",
        f"/version-{context.version}/1",
        b"",
        {"Host": platform_deployment.HOST},
    )
    return reply.status != NOT_FOUND


async def wait_in_force(context, seconds):
    async with asyncio.timeout(seconds):
        while True:
            if await is_in_force(context):
                return
            await asyncio.sleep(POLL_S)


@contextlib.contextmanager
def failing_limits():
    """Let every configuration fail as it is applied."""
    with mock.patch.object(
        gateway.caller_requests, "server_limits", side_effect=OverflowError
    ):
        yield


async def wait_failures(count):
    """Wait until so many background tasks have failed."""
    failures = background_tasks.failures_by_task
    async with asyncio.timeout(FAILURE_TIMEOUT_S):
        while True:
            if failures.total() >= count:
                return
            await asyncio.sleep(POLL_S)


@behave.given("a configuration that the entry host serves")
def given_served(context):
    async def play():
        await put(context, 7)
        await context.platform.wait_until(lambda: is_in_force(context))

    run(context, play())


@behave.when("applying three further configurations fails unexpectedly")
def when_three_fail(context):
    async def play():
        with failing_limits():
            for version in (8, 9, 10):
                failures = background_tasks.failures_by_task.total()
                await put(context, version)
                await wait_failures(failures + 1)

    run(context, play())


@behave.when(
    "applying a further configuration fails unexpectedly for {seconds:d} seconds"
)
def when_fails_for(context, seconds):
    async def play():
        with failing_limits():
            await put(context, 8)
            await asyncio.sleep(seconds)

    run(context, play())


@behave.when("the operator puts a configuration that can be applied")
def when_put(context):
    run(context, put(context, 11))


@behave.when(
    "the operator puts a configuration with an idle timeout of {milliseconds:d} ms"
)
def when_put_idle_timeout(context, milliseconds):
    run(context, put(context, 8, idleTimeoutMs=milliseconds))


@behave.then("the entry host serves it within {seconds:d} seconds")
def then_served(context, seconds):
    run(context, wait_in_force(context, seconds))
