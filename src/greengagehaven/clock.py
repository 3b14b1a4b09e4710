"""Time as an interface, so that the decision core never reads a global clock.

Moments inside one process are seconds on a monotonic clock, as in
``asyncio.loop.time``; moments that leave the process are ``datetime.datetime``
in UTC; durations in settings and documents are ``datetime.timedelta``.
"""

import datetime
import time
import typing


class Clock(typing.Protocol):
    """Source of monotonic seconds and of wall-clock time."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC; it may jump."""


# A host may stand still for seconds, during which CLOCK_MONOTONIC does not run.
# A leader that wakes would take its lease for fresh and answer a read with a
# document that was replaced meanwhile. CLOCK_BOOTTIME counts that time.
_STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since the system started, time it stood still included."""
        return time.clock_gettime(_STEADY_CLOCK)

    def now(self) -> datetime.datetime:
        """Return the system's wall-clock time in UTC."""
        return datetime.datetime.now(tz=datetime.UTC)


class ManualClock:
    """Clock that moves only when told to; replays and tests run on it.

    :param start: first monotonic reading, in seconds.
    """

    EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def __init__(self, *, start: float = 0.0) -> None:
        self._monotonic = start
        self._wall_offset = datetime.timedelta()

    def monotonic(self) -> float:
        """Return the current reading in seconds."""
        return self._monotonic

    def now(self) -> datetime.datetime:
        """Return the epoch plus the reading plus every wall-clock step."""
        elapsed = datetime.timedelta(seconds=self._monotonic)
        return self.EPOCH + elapsed + self._wall_offset

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by ``seconds`` (not negative)."""
        if seconds < 0:
            raise ValueError(f"a monotonic clock cannot go back by {seconds} s")
        self._monotonic += seconds

    def step_wall(self, delta: datetime.timedelta) -> None:
        """Move only the wall clock, as an administrator or NTP would."""
        self._wall_offset += delta
