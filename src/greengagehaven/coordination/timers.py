"""Moments at which the decision core wants to be called again."""

import dataclasses
import heapq
import itertools

from greengagehaven.protocol import upstream


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeadlineTimer:
    """The moment at which a query gets its answer, whatever there is."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HedgeTimer:
    """The moment at which attempts count as straggling.

    :param attempts: attempts of the query that were sent together, each with
        its shard.
    :param delay: seconds from sending to this moment.
    """

    request_id: str
    attempts: tuple[tuple[upstream.ShardRef, int], ...]
    delay: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsageTimer:
    """The moment at which the other hosts are told of subscribers' usage."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimTimer:
    """The moment at which the claim of an idempotency key is decided."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmTimer:
    """The moment at which an answer no longer waits to be recorded."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResendTimer:
    """The moment at which recorders are told again what they missed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseTimer:
    """The moment at which a suspected request may be tried."""


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
    """Timers in the order of their moments."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self._armed: float | None = None

    def add(self, moment: float, timer: Timer) -> None:
        """Add a timer for ``moment``, in monotonic seconds."""
        heapq.heappush(self._heap, (moment, next(self._order), timer))

    def pop_due(self, now: float) -> list[Timer]:
        """Take the timers whose moment has come."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        # A loop may wake its callers a little early. Were the moment still taken
        # for asked for, nobody would wake for it again, and queries would stay
        # open beyond their deadline.
        self._armed = None
        return due

    def next_wake(self) -> float | None:
        """Return a moment to be called at that was not asked for before."""
        if not self._heap:
            return None
        moment = self._heap[0][0]
        if self._armed is not None and self._armed <= moment:
            return None
        self._armed = moment
        return moment
