"""Timers of the decision core."""

import dataclasses
import heapq
import itertools

from greengagehaven.protocol import upstream


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeadlineTimer:
    """A query reaches its deadline, or ``answer_after`` of its kind has passed.

    It is answered with what is available.
    """

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HedgeTimer:
    """Attempts that have not ended count as stragglers.

    :param attempts: attempts of the query that were sent together, each with its shard.
    :param delay: hedge delay: seconds from sending until this timer is first due.
    """

    request_id: str
    attempts: tuple[tuple[upstream.ShardRef, int], ...]
    delay: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsageTimer:
    """The usage of subscribers is due to be reported to the other hosts."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimTimer:
    """The claim of an idempotency key is due to be decided."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmTimer:
    """An answer no longer waits until it is recorded."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResendTimer:
    """Unconfirmed records are due to be sent to the recorders again."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseTimer:
    """The hold of a suspected request may have ended."""


Timer = (
    DeadlineTimer
    | HedgeTimer
    | UsageTimer
    | ClaimTimer
    | ConfirmTimer
    | ResendTimer
    | ReleaseTimer
)


class Timers:
    """Priority queue of timers by due time."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self._requested_wake: float | None = None

    def add(self, due_at: float, timer: Timer) -> None:
        """Add a timer that is due at ``due_at``, in monotonic seconds."""
        heapq.heappush(self._heap, (due_at, next(self._order), timer))

    def pop_due(self, now: float) -> list[Timer]:
        """Remove and return the timers that are due."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        # An event loop may wake its callers a little early. Without this reset no
        # other wake-up would be requested, and queries would stay open beyond their
        # deadline.
        self._requested_wake = None
        return due

    def next_wake(self) -> float | None:
        """Return the next due time, ``None`` if there is none or it was requested."""
        if not self._heap:
            return None
        due_at = self._heap[0][0]
        if self._requested_wake is not None and self._requested_wake <= due_at:
            return None
        self._requested_wake = due_at
        return due_at
