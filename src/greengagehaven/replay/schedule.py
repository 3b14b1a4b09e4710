"""Calls in the order of their moments, on a manual clock."""

import heapq
import itertools
import typing

from greengagehaven import clock as clock_module


class Schedule:
    """Pending calls; running one moves the clock to its moment.

    Moments are seconds of the trace. Its hosts start ``lead_in`` seconds before
    the trace does: a deployment that is already running has found its peers.

    :param clock: the clock that all replayed hosts read.
    :param lead_in: seconds of the hosts' life before the trace starts.
    """

    def __init__(self, *, clock: clock_module.ManualClock, lead_in: float) -> None:
        self._clock = clock
        self._origin = clock.monotonic() + lead_in
        self._heap: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._order = itertools.count()

    @property
    def now(self) -> float:
        """Return seconds from the start of the trace."""
        return self._clock.monotonic() - self._origin

    def moment_of(self, reading: float) -> float:
        """Return the moment of the trace at which the clock reads this."""
        return reading - self._origin

    def call_at(self, moment: float, call: typing.Callable[[], None]) -> None:
        """Add a call; calls of one moment run in the order they were added."""
        heapq.heappush(self._heap, (moment, next(self._order), call))

    def call_later(self, delay: float, call: typing.Callable[[], None]) -> None:
        """Add a call ``delay`` seconds from now."""
        self.call_at(self.now + delay, call)

    def run_until(self, end: float) -> None:
        """Run every call up to ``end``."""
        while self._heap and self._heap[0][0] <= end:
            moment, _, call = heapq.heappop(self._heap)
            self._clock.advance(max(0.0, moment - self.now))
            call()
        self._clock.advance(max(0.0, end - self.now))
