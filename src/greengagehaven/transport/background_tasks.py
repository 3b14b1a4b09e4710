"""Tasks that run as long as their owner and are restarted after unexpected errors.

An asyncio task that nobody awaits keeps its exception to itself: its owner would go on
as if the task still ran.
"""

import asyncio
import collections
import pathlib
import traceback
import typing
from collections import abc

from greengagehaven import log

failures_by_task: collections.Counter[str] = collections.Counter()
"""Number of unexpected errors in this process, by the name of the task."""

MIN_RESTART_DELAY_S = 0.5
MAX_RESTART_DELAY_S = 10.0
"""Bounds of the seconds until a task is restarted; they double with each error."""

MAX_LOGGED_CHARS = 200
"""Characters of an error's text in the log; it may quote a whole message."""

STABLE_AFTER_S = 30.0
"""Seconds after which a task that runs counts as stable again."""

Run = abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]]


def start(run: Run, *, task: str, **fields: object) -> asyncio.Task[None]:
    """Start a task; report and restart it after an unexpected error.

    :param run: coroutine function without parameters, called again at each restart.
    :param task: name of the task in logs and metrics.
    :param fields: further fields of the log line.
    """
    return asyncio.get_running_loop().create_task(_run_restarting(run, task, fields))


def record_failure(task: str, error: Exception, **fields: object) -> None:
    """Count and log an unexpected error of a task.

    :param task: name of the task in logs and metrics.
    :param fields: further fields of the log line.
    """
    failures_by_task[task] += 1
    log.error(
        "task_failed",
        task=task,
        error=f"{type(error).__name__}: {error}"[:MAX_LOGGED_CHARS],
        raised_at=_raised_at(error),
        failures=failures_by_task[task],
        **fields,
    )


def report_loop_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Report errors that no task and no caller receives, such as those of timers."""
    loop.set_exception_handler(_on_loop_error)


def _on_loop_error(
    _loop: asyncio.AbstractEventLoop, context: abc.Mapping[str, typing.Any]
) -> None:
    error = context.get("exception")
    if isinstance(error, Exception):
        record_failure("event_loop", error, detail=context.get("message"))
    else:
        log.warning("event_loop_error", detail=context.get("message"))


async def _run_restarting(
    run: Run, task: str, fields: abc.Mapping[str, object]
) -> None:
    loop = asyncio.get_running_loop()
    delay = MIN_RESTART_DELAY_S
    while True:
        started_at = loop.time()
        try:
            await run()
            return
        except Exception as error:
            record_failure(task, error, **fields)
        if loop.time() - started_at > STABLE_AFTER_S:
            delay = MIN_RESTART_DELAY_S
        await asyncio.sleep(delay)
        delay = min(MAX_RESTART_DELAY_S, 2 * delay)


def _raised_at(error: Exception) -> str:
    """Return ``FILE:LINE`` of the statement that raised an error."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    return f"{pathlib.Path(frames[-1].filename).name}:{frames[-1].lineno}"
