"""State of a request in flight: its shards and the attempts of each shard."""

import dataclasses
import math

from greengagehaven.coordination.routing import events, upstreams
from greengagehaven.state import routes, teams

NO_KEY_LEASE = "_no_key_lease"
"""End of the reason of a failure that was not retried for lack of a key lease."""


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Attempt:
    """One attempt to send a request to one upstream.

    :param sent_at: monotonic seconds at which it was handed over for sending.
    :param typical_latency: seconds that an attempt of such a request usually takes.
    :param is_wanted: whether the request still needs its reply.
    :param started_at: monotonic seconds at which it got a connection, so that bytes of
        it may have been written; ``None`` while it waits for a connection.
    :param replied_at: monotonic seconds at which its reply was read.
    :param size: bytes of that reply.
    :param held_s: seconds from the arrival of that reply at a helper to its report.
    :param helper_address: address of the helper that sends it, empty for this host.
    :param is_reported_pending: whether that helper reported that it has not ended.
    """

    id: int
    request: "RoutedRequest"
    shard: "ShardState"
    upstream: upstreams.Upstream
    sent_at: float
    typical_latency: float
    is_wanted: bool = True
    started_at: float | None = None
    replied_at: float | None = None
    size: int = 0
    held_s: float = 0.0
    helper_address: str = ""
    is_reported_pending: bool = False

    @property
    def is_unsent(self) -> bool:
        """Return whether no byte of it was written, so that it can be withdrawn."""
        return self.started_at is None


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class ShardState:
    """State of a request on one service.

    :param attempts: attempts in flight.
    :param tried: ids of the upstreams that it was sent to.
    :param rejected_by: ids of upstreams that rejected it with slots free, without
        running it.
    :param runs: number of attempts that ran or may have run.
    :param arrivals: number of attempts that reached the service or may have.
    :param sends: number of attempts that were sent.
    :param hedge_at: monotonic seconds at which it is to be hedged.
    :param part: the attempt whose reply is used.
    :param is_failed: whether no usable reply can arrive any more.
    :param reply: the last attempt with a complete reply that is not a success.
    :param failure: reason of the last failure, for the log.
    :param held: a failed attempt whose retry waits until the cause of the failure is
        checked or an extra attempt is borrowed.
    :param held_until: monotonic seconds until which the retry waits at most.
    :param loan_requests: number of hosts that were asked to lend that extra attempt.
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
    loan_requests: int = 0

    def hold(self, attempt: Attempt, *, until: float) -> None:
        """Delay the retry of a failed attempt, at most until a time."""
        self.held = attempt
        self.held_until = until

    def resume(self) -> None:
        """Stop delaying the retry."""
        self.held = None
        self.held_until = math.inf

    @property
    def may_have_run(self) -> bool:
        """Return whether an attempt ran or may have run."""
        not_started = sum(attempt.started_at is None for attempt in self.attempts)
        return self.runs > not_started

    @property
    def is_pending(self) -> bool:
        """Return whether a usable reply may still arrive."""
        return self.part is None and not self.is_failed


class RoutedRequest:
    """A caller's request from its arrival until it is answered.

    All times are in monotonic seconds.

    :param number: number of the request on this host.
    :param request_id: id that the caller gave it.
    :param fingerprint: equal for requests that an upstream cannot tell apart.
    :param route: route at its arrival; a later routing table does not change it.
    :param services: the service of each shard, or the one service that answers it.
    :param started_at: time at which it arrived.
    :param deadline: time at which it is ended with an error if it is still open.
    :param answer_by: time at which a sweep is answered if it has enough parts.
    :param team: team that sent it, ``None`` on a public route or without teams.

    ``is_probe`` tells whether it was sent to find out whether a shard that did not
    answer has recovered.
    ``replied_at`` is the time at which this host last read a reply to it, and
    ``wake_at`` that of its earliest timer.
    """

    def __init__(
        self,
        *,
        number: int,
        request_id: str,
        fingerprint: str,
        route: routes.Route,
        services: tuple[str, ...],
        started_at: float,
        deadline: float,
        answer_by: float,
        team: teams.Team | None = None,
    ) -> None:
        self.number = number
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.route = route
        self.shards = [ShardState(service=service) for service in services]
        self.started_at = started_at
        self.deadline = deadline
        self.answer_by = answer_by
        self.team = team
        self.is_over = False
        self.is_probe = False
        self.replied_at = -math.inf
        self.wake_at = math.inf
        self.part_count = 0
        self._failed_count = 0

    @property
    def priority(self) -> int:
        """Return the priority of its team, else of its route; 0 is the most urgent."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def team_id(self) -> str:
        """Return the id of the team that sent it, empty if there is none."""
        return "" if self.team is None else self.team.id

    @property
    def is_sweep(self) -> bool:
        """Return whether the answer is merged from the parts of several shards."""
        return bool(self.route.shards)

    @property
    def parts(self) -> list[Attempt]:
        """Return the attempts whose replies are used."""
        return [shard.part for shard in self.shards if shard.part is not None]

    @property
    def pending(self) -> list[ShardState]:
        """Return the shards that may still get a usable reply."""
        return [shard for shard in self.shards if shard.is_pending]

    @property
    def can_reach_min_shards(self) -> bool:
        """Return whether enough shards have a part or may still get one."""
        return self.has_min_shards_without(0)

    def has_min_shards_without(self, count: int) -> bool:
        """Return whether enough shards remain if some pending ones fail.

        Enough are the route's least number of parts for a sweep, else one.

        :param count: number of pending shards that fail.
        """
        least = self.route.min_shards if self.is_sweep else 1
        return len(self.shards) - self._failed_count - count >= least

    @property
    def lacks_coverage(self) -> bool:
        """Return whether a sweep has fewer parts than its minimum coverage needs."""
        return self.part_count < self.route.min_shards

    @property
    def pending_count(self) -> int:
        """Return the number of shards that may still get a usable reply."""
        return len(self.shards) - self.part_count - self._failed_count

    def record_part(self, shard: ShardState, attempt: Attempt) -> None:
        """Record the attempt whose reply is used for a shard."""
        self._failed_count -= shard.is_failed
        self.part_count += shard.part is None
        shard.is_failed = False
        shard.part = attempt
        shard.resume()

    def record_failure(self, shard: ShardState, reason: str) -> None:
        """Record that a shard will not get a usable reply."""
        self._failed_count += not shard.is_failed
        shard.is_failed = True
        shard.failure = reason

    @property
    def lacked_key_lease(self) -> bool:
        """Return whether a shard failed because this host had no key lease."""
        return any(shard.failure.endswith(NO_KEY_LEASE) for shard in self.shards)

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have run the request."""
        return any(shard.may_have_run for shard in self.shards)

    def is_answer_due(self, now: float) -> bool:
        """Return whether a sweep has enough parts and has reached its answer time."""
        has_least_parts = self.part_count >= self.route.min_shards
        return has_least_parts and now >= min(self.answer_by, self.deadline)

    def due_at(self) -> float:
        """Return when a sweep with enough parts is due, in monotonic seconds.

        It is due at ``answer_by``, or later if the last part that it needs arrives
        after that.
        """
        replied_at = sorted(part.replied_at or self.started_at for part in self.parts)
        return max(self.answer_by, replied_at[self.route.min_shards - 1])

    def next_wake_at(self) -> float:
        """Return when the request needs attention next, in monotonic seconds."""
        times = [
            min(shard.hedge_at, shard.held_until)
            for shard in self.shards
            if shard.is_pending
        ]
        wake_at = min(times, default=math.inf)
        if self.is_sweep and self.part_count >= self.route.min_shards:
            wake_at = min(wake_at, self.answer_by)
        return min(wake_at, self.deadline)


def failure_reason(outcome: events.Replied | events.Failed) -> str:
    """Return the reason of a failed attempt, as logged and counted."""
    if isinstance(outcome, events.Failed):
        return str(outcome.fault)
    return f"status_{outcome.status}"
