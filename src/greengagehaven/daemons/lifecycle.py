"""Runs a daemon until it is told to stop, then stops it in order."""

import asyncio
import signal
import typing

from greengagehaven import log

SIGNALS = (signal.SIGINT, signal.SIGTERM)
EXIT_OK = 0
EXIT_CUT_OFF = 1


class Daemon(typing.Protocol):
    """What is run."""

    async def drain(self) -> int:
        """Stop in order; return requests that were cut off."""

    async def close(self) -> None:
        """Stop at once."""

    @property
    def in_flight(self) -> int:
        """Return requests that are not finished."""


async def run(daemon: Daemon) -> int:
    """Wait for a signal, stop the daemon and return the exit code.

    The first SIGINT or SIGTERM drains; a second one ends the drain, with a log
    line that counts what was left.

    :param daemon: a daemon that has started.
    """
    received: asyncio.Queue[signal.Signals] = asyncio.Queue()
    loop = asyncio.get_running_loop()
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
