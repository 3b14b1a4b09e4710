"""Clock interface, injected so that the decision core never reads a global clock.

Timestamps within a process are monotonic seconds, as in ``asyncio.loop.time``;
timestamps that leave the process are ``datetime.datetime`` in UTC; durations in
settings and documents are ``datetime.timedelta``.
"""

import datetime
import time
import typing


class Clock(typing.Protocol):
    """Source of monotonic seconds and of wall-clock time."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC, which may jump."""


# A host may be suspended for seconds, and CLOCK_MONOTONIC stops meanwhile. A leader
# that resumes would take its lease for valid and answer a read with a document that
# was replaced in the meantime. CLOCK_BOOTTIME also counts the time in suspension.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since boot, including time in suspension."""
        return time.clock_gettime(_BOOT_CLOCK)

    def now(self) -> datetime.datetime:
        """Return the system's wall-clock time in UTC."""
        return datetime.datetime.now(tz=datetime.UTC)


class ManualClock:
    """Clock that is advanced by hand, for replays and tests.

    :param start: first monotonic reading, in seconds.
    """

    EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def __init__(self, *, start: float = 0.0) -> None:
        self._monotonic = start
        self._wall_offset = datetime.timedelta()

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return self._monotonic

    def now(self) -> datetime.datetime:
        """Return ``EPOCH`` plus the monotonic time plus all wall-clock steps."""
        elapsed = datetime.timedelta(seconds=self._monotonic)
        return self.EPOCH + elapsed + self._wall_offset

    def advance(self, seconds: float) -> None:
        """Advance both clocks by ``seconds``, which must not be negative."""
        if seconds < 0:
            raise ValueError(f"a monotonic clock cannot go back by {seconds} s")
        self._monotonic += seconds

    def step_wall(self, delta: datetime.timedelta) -> None:
        """Step only the wall clock, as an administrator or NTP would."""
        self._wall_offset += delta
