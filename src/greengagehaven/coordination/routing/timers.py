"""Timers of the router: moments at which requests and periodic tasks are due."""

import heapq

REACHABILITY_TIMER = 0
"""Used in place of a request number for the timer of the reachability checks."""

BORROW_TIMER = -1
"""Used in place of a request number for the timer that sends a ``RequestLoan``."""

KEY_LEASE_TIMER = -2
"""Used in place of a request number for the timer at the end of the key lease."""

STOP_TIMER = -3
"""Used in place of a request number for the timer at which a stopping host ends."""


class Timers:
    """Timers in the order of their moments, each with the number of a request."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []

    @property
    def next_at(self) -> float | None:
        """Return when the next timer is due, ``None`` if there is no timer."""
        return self._heap[0][0] if self._heap else None

    def add(self, moment: float, number: int) -> None:
        """Add a timer.

        :param moment: when it is due, in monotonic seconds.
        :param number: number of a request, or one of the constants of this module.
        """
        heapq.heappush(self._heap, (moment, number))

    def pop_due(self, now: float) -> tuple[float, int] | None:
        """Remove and return the earliest timer, ``None`` if it is not due yet."""
        if self._heap and self._heap[0][0] <= now:
            return heapq.heappop(self._heap)
        return None
