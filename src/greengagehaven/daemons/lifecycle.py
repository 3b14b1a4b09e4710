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
    number of requests that were cut off. Every signal after the first is logged.

    :param daemon: a daemon that has been started.
    """
    loop = asyncio.get_running_loop()
    signals = _StopSignals(daemon=daemon, loop=loop)
    background_tasks.report_loop_errors(loop)
    for number in SIGNALS:
        loop.add_signal_handler(number, signals.on_signal, number)
    try:
        await signals.received.get()
        return await _drain(daemon, signals.received)
    finally:
        for number in SIGNALS:
            loop.remove_signal_handler(number)


class _StopSignals:
    """Logs and queues the signals that stop a daemon."""

    def __init__(self, *, daemon: Daemon, loop: asyncio.AbstractEventLoop) -> None:
        self.received: asyncio.Queue[signal.Signals] = asyncio.Queue()
        self._daemon = daemon
        self._loop = loop
        self._first_at: float | None = None

    def on_signal(self, number: signal.Signals) -> None:
        in_flight = self._daemon.in_flight
        if self._first_at is None:
            self._first_at = self._loop.time()
            log.info("stopping", signal=number.name, in_flight=in_flight)
        else:
            log.warning(
                "stop_signal",
                signal=number.name,
                since_stop_ms=_ms_since(self._first_at),
                in_flight=in_flight,
            )
        self.received.put_nowait(number)


async def _drain(daemon: Daemon, received: asyncio.Queue[signal.Signals]) -> int:
    started_at = asyncio.get_running_loop().time()
    drain = asyncio.ensure_future(daemon.drain())
    second = asyncio.ensure_future(received.get())
    await asyncio.wait((drain, second), return_when=asyncio.FIRST_COMPLETED)
    second.cancel()
    if drain.done():
        left = drain.result()
        times = {"drain_ms": _ms_since(started_at)}
    else:
        left = daemon.in_flight
        times = {"drain_ms": _ms_since(started_at)}
        aborted_at = asyncio.get_running_loop().time()
        drain.cancel()
        await asyncio.gather(drain, return_exceptions=True)
        await daemon.close()
        times["close_ms"] = _ms_since(aborted_at)
    if left:
        log.warning("stopped", left=left, **times)
        return EXIT_CUT_OFF
    log.info("stopped", left=0, **times)
    return EXIT_OK


def _ms_since(moment: float) -> int:
    return round((asyncio.get_running_loop().time() - moment) * 1000)
