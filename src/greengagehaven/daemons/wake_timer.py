"""A timer of the event loop for the earliest moment asked for."""

import asyncio
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven.transport import background_tasks

RETRY_DELAY_S = 1.0


class WakeTimer:
    """Calls back at the earliest of the moments scheduled since the last call.

    If the callback fails, it is called again after ``RETRY_DELAY_S``: it schedules the
    next call itself, so that its timers would have ended.

    It may run early by the resolution of the event loop's clock, so the callback has to
    schedule what is not due yet again.

    :param on_wake: called without arguments.
    :param clock: monotonic time.
    """

    def __init__(self, *, on_wake: abc.Callable[[], None], clock: clocks.Clock) -> None:
        self._on_wake = on_wake
        self._clock = clock
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    def schedule(self, moment: float) -> None:
        """Call back at ``moment`` (monotonic seconds), unless it is due earlier."""
        if moment >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = moment
        loop = asyncio.get_running_loop()
        delay = max(0.0, moment - self._clock.monotonic())
        self._timer = loop.call_later(delay, self._wake)

    def cancel(self) -> None:
        """Call back no more until the next ``schedule``."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self._timer_at = float("inf")

    def _wake(self) -> None:
        self._timer = None
        self._timer_at = float("inf")
        try:
            self._on_wake()
        except Exception as error:
            background_tasks.record_failure(
                "timer", error, callback=self._on_wake.__qualname__
            )
            self.schedule(self._clock.monotonic() + RETRY_DELAY_S)
