"""Scheduler of callbacks on a simulated clock."""

import heapq
import itertools
import typing

from greengagehaven import clock as clock_module


class Schedule:
    """Queue of pending callbacks; running one advances the clock to its time.

    Times are in seconds from the start of the trace. The hosts start ``warmup``
    seconds earlier, so that they have discovered their peers when the trace starts,
    like the hosts of a running deployment.

    :param clock: the clock that all replayed hosts read.
    :param warmup: seconds that hosts run before the trace starts.
    """

    def __init__(self, *, clock: clock_module.ManualClock, warmup: float) -> None:
        self._clock = clock
        self._origin = clock.monotonic() + warmup
        self._heap: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    @property
    def now(self) -> float:
        """Return the seconds since the start of the trace."""
        return self._clock.monotonic() - self._origin

    def to_trace_time(self, monotonic_time: float) -> float:
        """Return the time of the trace at which the clock has this reading."""
        return monotonic_time - self._origin

    def call_at(self, time: float, callback: typing.Callable[[], None]) -> None:
        """Schedule a callback; those of the same time run in the order added."""
        heapq.heappush(self._heap, (time, next(self._sequence_numbers), callback))

    def call_later(self, delay: float, callback: typing.Callable[[], None]) -> None:
        """Schedule a callback ``delay`` seconds from now."""
        self.call_at(self.now + delay, callback)

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due up to ``end``, in seconds of the trace."""
        while self._heap and self._heap[0][0] <= end:
            time, _, callback = heapq.heappop(self._heap)
            self._clock.advance(max(0.0, time - self.now))
            callback()
        self._clock.advance(max(0.0, end - self.now))
