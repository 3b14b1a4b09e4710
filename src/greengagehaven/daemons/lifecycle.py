"""Runs a daemon until a signal arrives, then stops it gracefully."""

import asyncio
import signal
import typing

from greengagehaven import log
from greengagehaven.transport import background_tasks

SIGNALS = (signal.SIGINT, signal.SIGTERM)
EXIT_OK = 0
EXIT_CUT_OFF = 1


class Daemon(typing.Protocol):
    """A daemon that can be drained or stopped immediately."""

    async def drain(self) -> int:
        """Stop gracefully; return the number of requests that were cut off."""

    async def close(self) -> None:
        """Stop immediately."""

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""


async def run(daemon: Daemon) -> int:
    """Wait for a signal, stop the daemon and return the exit code.

    The first SIGINT or SIGTERM starts the drain; a second one aborts it and logs the
    number of requests that were cut off.

    :param daemon: a daemon that has been started.
    """
    received: asyncio.Queue[signal.Signals] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    background_tasks.report_loop_errors(loop)
    for number in SIGNALS:
        loop.add_signal_handler(number, received.put_nowait, number)
    try:
        first = await received.get()
        log.info("stopping", signal=first.name, in_flight=daemon.in_flight)
        return await _drain(daemon, received)
    finally:
        for number in SIGNALS:
            loop.remove_signal_handler(number)


async def _drain(daemon: Daemon, received: asyncio.Queue[signal.Signals]) -> int:
    drain = asyncio.ensure_future(daemon.drain())
    second = asyncio.ensure_future(received.get())
    await asyncio.wait((drain, second), return_when=asyncio.FIRST_COMPLETED)
    second.cancel()
    if drain.done():
        left = drain.result()
    else:
        left = daemon.in_flight
        drain.cancel()
        await asyncio.gather(drain, return_exceptions=True)
        await daemon.close()
    if left:
        log.warning("stopped", left=left)
        return EXIT_CUT_OFF
    log.info("stopped", left=0)
    return EXIT_OK
