"""Discrete events on a simulated clock."""

import datetime
import heapq
import itertools
import typing
from collections import abc

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class Loop:
    """Calls functions at moments, in order; a clock as the router takes one.

    A heap of its own: SimPy's generators were weighed; an event of it takes 3 to 4
    times as long, and nothing here waits in the middle of a function.
    """

    def __init__(self) -> None:
        self.time = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, abc.Callable, tuple]] = []

    def monotonic(self) -> float:
        """Return the simulated seconds."""
        return self.time

    def now(self) -> datetime.datetime:
        """Return the simulated time of day."""
        return EPOCH + datetime.timedelta(seconds=self.time)

    def at(self, moment: float, call: abc.Callable, *arguments: typing.Any) -> None:
        """Call a function at a moment; of one moment, the first that asked first."""
        moment = max(moment, self.time)
        heapq.heappush(self._events, (moment, next(self._order), call, arguments))

    def after(self, seconds: float, call: abc.Callable, *arguments: typing.Any) -> None:
        """Call a function in so many seconds."""
        self.at(self.time + seconds, call, *arguments)

    def run(self, end: float) -> None:
        """Call everything that is due until a moment."""
        events = self._events
        while events and events[0][0] <= end:
            self.time, _, call, arguments = heapq.heappop(events)
            call(*arguments)
        self.time = max(self.time, end)
