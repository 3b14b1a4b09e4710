"""Steps for tasks and timers that fail unexpectedly."""

import asyncio
import functools
from unittest import mock

import behave

from fakes import control_fakes
from greengagehaven.daemons import exposition, wake_timer
from greengagehaven.transport import background_tasks

TASK = "example"


def capture_log(context):
    patch = mock.patch.object(background_tasks.log, "error")
    context.logged = patch.start()
    context.add_cleanup(patch.stop)


def raise_error():
    raise OverflowError("too large")


@behave.when("a background task fails with an unexpected error")
def when_task_fails(context):
    capture_log(context)
    context.failures_before = background_tasks.failures_by_task[TASK]

    async def run():
        raise_error()

    async def play():
        task = background_tasks.start(run, task=TASK)
        await asyncio.wait({task}, timeout=0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(play())
    context.task = TASK


@behave.when("a timer of the event loop fails with an unexpected error")
def when_timer_fails(context):
    capture_log(context)

    async def play():
        loop = asyncio.get_running_loop()
        background_tasks.report_loop_errors(loop)
        loop.call_soon(raise_error)
        await asyncio.sleep(0)

    asyncio.run(play())
    context.task = "event_loop"


@behave.then("the log names the {name}, the error and where it was raised")
def then_logged(context, name):
    fields = context.logged.call_args.kwargs
    assert fields["task"] == context.task, fields
    assert fields["error"] == "OverflowError: too large", fields
    assert fields["raised_at"].startswith("background_tasks_steps.py:"), fields


@behave.then("the metrics count {count:d} failure of the task")
def then_counted(context, count):
    registry = exposition.make_registry(exposition.TaskCollector())
    value = registry.get_sample_value(
        "greengagehaven_task_failures_total", {"task": TASK}
    )
    assert value - context.failures_before == count, value


@behave.given("a background task that fails the first {count:d} times it runs")
def given_failing_task(context, count):
    context.runs = 0

    async def run():
        context.runs += 1
        if context.runs <= count:
            raise_error()

    context.start = functools.partial(background_tasks.start, run, task=TASK)


@behave.given("a wake timer whose callback fails the first time")
def given_failing_timer(context):
    context.runs = 0

    def on_wake():
        context.runs += 1
        if context.runs == 1:
            raise_error()

    def start():
        clock = asyncio.get_running_loop().clock
        wake_timer.WakeTimer(on_wake=on_wake, clock=clock).schedule(0.0)

    context.start = start


@behave.when("it has been started for {seconds:d} seconds")
def when_started(context, seconds):
    async def play():
        context.start()
        await asyncio.sleep(seconds)

    loop = control_fakes.VirtualLoop()
    context.add_cleanup(loop.close)
    loop.run_until_complete(play())


@behave.then("it has run {count:d} times")
def then_run(context, count):
    assert context.runs == count, context.runs
