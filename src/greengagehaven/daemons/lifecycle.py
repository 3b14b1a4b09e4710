"""Runs a daemon until a signal arrives, then stops it gracefully."""

import asyncio
import signal
import typing

from greengagehaven import log
from greengagehaven.transport import background_tasks

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)
ABORT_SIGNAL = signal.SIGQUIT
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

    The first SIGINT or SIGTERM starts the drain. Further ones are only logged, since
    supervisors repeat them and terminals send them to whole process groups. SIGQUIT
    stops the daemon at once and logs the number of requests that were cut off.

    :param daemon: a daemon that has been started.
    """
    loop = asyncio.get_running_loop()
    signals = _Signals(daemon=daemon, loop=loop)
    background_tasks.report_loop_errors(loop)
    numbers = (*STOP_SIGNALS, ABORT_SIGNAL)
    for number in numbers:
        loop.add_signal_handler(number, signals.on_signal, number)
    try:
        await signals.stop.wait()
        return await _stop(daemon, signals.abort)
    finally:
        # Ignored: the process exits, and its exit code tells what was cut off.
        for number in numbers:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)


class _Signals:
    """Logs the signals that a daemon gets.

    :ivar stop: set by the first signal.
    :ivar abort: set by a signal that stops the daemon at once.
    """

    def __init__(self, *, daemon: Daemon, loop: asyncio.AbstractEventLoop) -> None:
        self.stop = asyncio.Event()
        self.abort = asyncio.Event()
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
        self.stop.set()
        if number is ABORT_SIGNAL:
            self.abort.set()


async def _stop(daemon: Daemon, abort: asyncio.Event) -> int:
    """Drain the daemon, or close it once ``abort`` is set; return the exit code."""
    started_at = asyncio.get_running_loop().time()
    drain = asyncio.ensure_future(daemon.drain())
    aborted = asyncio.ensure_future(abort.wait())
    await asyncio.wait((drain, aborted), return_when=asyncio.FIRST_COMPLETED)
    aborted.cancel()
    times = {"drain_ms": _ms_since(started_at)}
    has_failed = False
    if drain.done() and not drain.cancelled() and drain.exception() is None:
        left = drain.result()
    else:
        has_failed = drain.done()
        left = daemon.in_flight
        closed_at = asyncio.get_running_loop().time()
        drain.cancel()
        (error,) = await asyncio.gather(drain, return_exceptions=True)
        if isinstance(error, Exception):
            background_tasks.record_failure("drain", error)
        await daemon.close()
        times["close_ms"] = _ms_since(closed_at)
    if left or has_failed:
        log.warning("stopped", left=left, **times)
        return EXIT_CUT_OFF
    log.info("stopped", left=0, **times)
    return EXIT_OK


def _ms_since(moment: float) -> int:
    return round((asyncio.get_running_loop().time() - moment) * 1000)
