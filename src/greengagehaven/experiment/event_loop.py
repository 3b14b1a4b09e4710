"""Discrete-event loop on a simulated clock."""

import datetime
import heapq
import itertools
import typing
from collections import abc

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class Loop:
    """Runs callbacks in order of their time; also the clock of the router.

    It uses a plain heap, as an event of SimPy takes 3 to 4 times as long, and no
    function here has to wait in its middle, which SimPy's generators are for.
    """

    def __init__(self) -> None:
        self.time = 0.0
        self._sequence_numbers = itertools.count()
        self._heap: list[tuple[float, int, abc.Callable, tuple]] = []

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self.time

    def now(self) -> datetime.datetime:
        """Return the simulated date and time."""
        return EPOCH + datetime.timedelta(seconds=self.time)

    def call_at(
        self, time: float, callback: abc.Callable, *arguments: typing.Any
    ) -> None:
        """Schedule a callback; those of the same time run in the order scheduled."""
        time = max(time, self.time)
        heapq.heappush(
            self._heap, (time, next(self._sequence_numbers), callback, arguments)
        )

    def call_later(
        self, seconds: float, callback: abc.Callable, *arguments: typing.Any
    ) -> None:
        """Schedule a callback ``seconds`` from now."""
        self.call_at(self.time + seconds, callback, *arguments)

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due up to ``end``, in simulated seconds."""
        heap = self._heap
        while heap and heap[0][0] <= end:
            self.time, _, callback, arguments = heapq.heappop(heap)
            callback(*arguments)
        self.time = max(self.time, end)
