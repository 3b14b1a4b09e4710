"""One request in flight: its shards, and the attempts on each of them."""

import dataclasses
import math

from greengagehaven.coordination.routing import events, upstreams
from greengagehaven.state import routes


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Attempt:
    """One sending of a request to one upstream.

    :param is_wanted: whether the request still waits for it.
    :param started_at: monotonic seconds at which it got its connection and a byte
        of it may have left, ``None`` while it waits for one.
    :param replied_at: monotonic seconds at which its reply was read.
    :param size: bytes of that reply.
    :param via: address of the host that sends it, empty for this one.
    """

    id: int
    request: "RoutedRequest"
    shard: "ShardState"
    upstream: upstreams.Upstream
    sent_at: float
    usual: float
    is_wanted: bool = True
    started_at: float | None = None
    replied_at: float | None = None
    size: int = 0
    via: str = ""


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class ShardState:
    """What a request has of one service.

    :param runs: attempts that ran or may have.
    :param arrivals: attempts that reached the service or may have.
    :param part: the attempt whose reply counts.
    :param is_failed: no part will come.
    :param reply: the last whole reply that is no success.
    :param rejected_by: upstreams that said that they had not run it.
    :param held: a failed attempt; the shard is asked again once its loss is looked
        into, or there is room for an extra attempt.
    :param lenders: hosts that were asked for that room.
    """

    service: str
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    tried: set[str] = dataclasses.field(default_factory=set)
    rejected_by: set[str] = dataclasses.field(default_factory=set)
    runs: int = 0
    arrivals: int = 0
    sends: int = 0
    hedge_at: float = math.inf
    part: Attempt | None = None
    is_failed: bool = False
    reply: Attempt | None = None
    failure: str = ""
    held: Attempt | None = None
    held_until: float = math.inf
    lenders: int = 0

    def hold(self, attempt: Attempt, *, until: float) -> None:
        """Wait with the next attempt, at most until a moment."""
        self.held = attempt
        self.held_until = until

    def resume(self) -> None:
        """Wait no more."""
        self.held = None
        self.held_until = math.inf

    @property
    def may_have_run(self) -> bool:
        """Tell whether an attempt ran, or may have."""
        waiting = sum(attempt.started_at is None for attempt in self.attempts)
        return self.runs > waiting

    @property
    def is_pending(self) -> bool:
        """Tell whether a part may still come."""
        return self.part is None and not self.is_failed


class RoutedRequest:
    """A caller's request from its arrival to its answer.

    :param number: of the request on this host.
    :param request_id: the caller's id.
    :param fingerprint: alike for requests that an upstream cannot tell apart.
    :param route: pinned; a later table does not touch it.
    :param services: the shards, or the one service that answers it.
    :param started: monotonic seconds.
    :param deadline: when nobody waits any more.
    :param answer_by: when a sweep that has enough parts is answered.
    """

    def __init__(
        self,
        *,
        number: int,
        request_id: str,
        fingerprint: str,
        route: routes.Route,
        services: tuple[str, ...],
        started: float,
        deadline: float,
        answer_by: float,
    ) -> None:
        self.number = number
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.route = route
        self.shards = [ShardState(service=service) for service in services]
        self.started = started
        self.deadline = deadline
        self.answer_by = answer_by
        self.is_over = False
        self.replied_at = -math.inf
        self.wake_at = math.inf
        self.part_count = 0
        self._failed_count = 0

    @property
    def is_sweep(self) -> bool:
        """Tell whether parts of several shards make up the answer."""
        return bool(self.route.shards)

    @property
    def parts(self) -> list[Attempt]:
        """Return the attempts whose replies are in."""
        return [shard.part for shard in self.shards if shard.part is not None]

    @property
    def pending(self) -> list[ShardState]:
        """Return the shards whose parts may still come."""
        return [shard for shard in self.shards if shard.is_pending]

    @property
    def can_be_complete_enough(self) -> bool:
        """Tell whether enough shards have a part or may still get one."""
        least = self.route.least_parts if self.is_sweep else 1
        return len(self.shards) - self._failed_count >= least

    @property
    def pending_count(self) -> int:
        """Return how many shards' parts may still come."""
        return len(self.shards) - self.part_count - self._failed_count

    def record_part(self, shard: ShardState, attempt: Attempt) -> None:
        """Record the attempt whose reply counts for a shard."""
        self._failed_count -= shard.is_failed
        self.part_count += shard.part is None
        shard.is_failed = False
        shard.part = attempt
        shard.resume()

    def record_failure(self, shard: ShardState, reason: str) -> None:
        """Record that no part of a shard will come."""
        self._failed_count += not shard.is_failed
        shard.is_failed = True
        shard.failure = reason

    @property
    def may_have_run(self) -> bool:
        """Tell whether any upstream may have run it."""
        return any(shard.may_have_run for shard in self.shards)

    def is_answer_due(self, now: float) -> bool:
        """Tell whether a sweep has enough parts and may wait no longer."""
        is_enough = self.part_count >= self.route.least_parts
        return is_enough and now >= min(self.answer_by, self.deadline)

    def due_at(self) -> float:
        """Return when a sweep that has enough parts was to be answered at the latest.

        Parts that make it enough after its last moment make it due as they come.
        """
        came = sorted(part.replied_at or self.started for part in self.parts)
        return max(self.answer_by, came[self.route.least_parts - 1])

    def next_moment(self) -> float:
        """Return when this request has to be looked at again."""
        moments = [
            min(shard.hedge_at, shard.held_until)
            for shard in self.shards
            if shard.is_pending
        ]
        moment = min(moments, default=math.inf)
        if self.is_sweep and self.part_count >= self.route.least_parts:
            moment = min(moment, self.answer_by)
        return min(moment, self.deadline)


def kind_of_failure(outcome: events.Replied | events.Failed) -> str:
    """Return a word for the log."""
    if isinstance(outcome, events.Failed):
        return str(outcome.fault)
    return f"status_{outcome.status}"
