"""Upstreams of a replay: they behave as the trace's lines say."""

import dataclasses
import typing

import msgspec

from greengagehaven.protocol import trace, upstream
from greengagehaven.replay import schedule as schedule_module

Reply = typing.Callable[[upstream.Outcome], None]

_STALL_BOUND_S = 1.0
_CONNECT_S = 0.002


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """A sub-request that reached an upstream."""

    sub_request: upstream.SubRequest
    idempotency_key: str | None
    reply: Reply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """Note of a sub-request's arrival, for the expectations.

    :param concurrency: work at the upstream, this one included.
    """

    at: float
    upstream_id: str
    sub_request: upstream.SubRequest
    idempotency_key: str | None
    concurrency: int
    ran: bool


class ReplayedUpstream:
    """One upstream: slots, a queue, and the behaviour that is in force.

    :param schedule: where it books the end of its work.
    :param arrivals: notes of all arrivals, shared by all upstreams.
    """

    def __init__(
        self,
        *,
        announcement: upstream.Announcement,
        schedule: schedule_module.Schedule,
        arrivals: list[Arrival],
    ) -> None:
        self.announcement = announcement
        self._stated_sequence = announcement.sequence
        self.behaviour = trace.Behave(upstreams=())
        self.alive = True
        self.announcing = True
        self.crashes = 0
        self._schedule = schedule
        self._arrivals = arrivals
        self._running: dict[tuple[str, int], Work] = {}
        self._queue: list[Work] = []

    @property
    def zone(self) -> str:
        """Return the availability zone it is in."""
        return self.announcement.availability_zone

    def announce(self, announcement: upstream.Announcement) -> None:
        """Take in what the upstream says of itself; a new start revives it.

        A trace numbers only what it states; the renewals in between count on.
        """
        if announcement.incarnation > self.announcement.incarnation:
            self.alive = True
            self.announcing = True
            self._running.clear()
            self._queue.clear()
            self._stated_sequence = announcement.sequence
        elif announcement.sequence > self._stated_sequence:
            self._stated_sequence = announcement.sequence
            sequence = self.announcement.sequence + 1
            announcement = msgspec.structs.replace(announcement, sequence=sequence)
        self.announcement = announcement

    def renew(self) -> None:
        """Count the announcement on."""
        sequence = self.announcement.sequence + 1
        self.announcement = msgspec.structs.replace(
            self.announcement, sequence=sequence
        )

    def behave(self, behaviour: trace.Behave) -> None:
        """Change the behaviour."""
        self.behaviour = behaviour
        if behaviour.mode == "crash":
            self.crash()

    def crash(self) -> None:
        """Break every connection and stop announcing."""
        if not self.alive:
            return
        self.alive = False
        self.crashes += 1
        broken = [*self._running.values(), *self._queue]
        self._running.clear()
        self._queue.clear()
        for work in broken:
            self._fail(work, upstream.FailureReason.RESET)

    def receive(self, work: Work) -> None:
        """Take a sub-request and see to its outcome."""
        mode = self.behaviour.mode
        if not self.alive:
            self._note(work, ran=False)
            self._fail(work, upstream.FailureReason.CONNECT, not_run=True)
        elif mode == "silent":
            self._note(work, ran=False)
            self._schedule.call_later(
                _STALL_BOUND_S,
                lambda: self._fail(work, upstream.FailureReason.STALLED),
            )
        elif mode == "refuse":
            self._note(work, ran=False)
            self._fail(work, upstream.FailureReason.OVERLOADED, not_run=True)
        elif not self._holds(work.sub_request):
            self._note(work, ran=False)
            self._fail(work, upstream.FailureReason.WRONG_VERSION, not_run=True)
        else:
            self._run(work)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Drop a sub-request that waits or runs."""
        key = (request_id, attempt)
        self._running.pop(key, None)
        self._queue = [work for work in self._queue if work.sub_request.id != key]
        self._start_next()

    def _holds(self, sub_request: upstream.SubRequest) -> bool:
        if sub_request.snapshot not in self.announcement.snapshots:
            return False
        return any(
            hosted.ref == sub_request.shard_ref
            and hosted.partitioning == sub_request.partitioning
            for hosted in self.announcement.shards
        )

    def _run(self, work: Work) -> None:
        self._note(work, ran=True)
        self._queue.append(work)
        cold_slots = self.behaviour.cold_slots
        concurrency = len(self._running) + len(self._queue)
        if cold_slots is not None and concurrency > cold_slots:
            self.crash()
            return
        self._start_next()

    def _start_next(self) -> None:
        while self._queue and len(self._running) < self.announcement.slots:
            work = self._queue.pop(0)
            poison = self.behaviour.poison
            if poison and poison.encode() in bytes(work.sub_request.query):
                self._running[work.sub_request.id] = work
                self.crash()
                return
            self._running[work.sub_request.id] = work
            self._schedule.call_later(
                self.behaviour.latency_ms / 1000, lambda done=work: self._end(done)
            )

    def _end(self, work: Work) -> None:
        if self._running.get(work.sub_request.id) is not work:
            return
        del self._running[work.sub_request.id]
        mode = self.behaviour.mode
        if mode == "reset":
            self._fail(work, upstream.FailureReason.RESET)
        elif mode == "wrong_echo":
            self._fail(work, upstream.FailureReason.MISMATCH)
        elif mode == "reply":
            work.reply(self._build_reply(work.sub_request))
        self._start_next()

    def _build_reply(self, sub_request: upstream.SubRequest) -> upstream.Replied:
        load = upstream.LoadReport(
            in_flight=len(self._running), queued=len(self._queue)
        )
        return upstream.Replied(
            request_id=sub_request.request_id,
            attempt=sub_request.attempt,
            upstream_id=self.announcement.id,
            rows=(stamp(sub_request),),
            load=load,
        )

    def _fail(
        self, work: Work, reason: upstream.FailureReason, *, not_run: bool = False
    ) -> None:
        failed = upstream.failure_of(work.sub_request, reason, not_run=not_run)
        delay = _CONNECT_S if reason is upstream.FailureReason.CONNECT else 0.0
        self._schedule.call_later(delay, lambda: work.reply(failed))

    def _note(self, work: Work, *, ran: bool) -> None:
        concurrency = len(self._running) + len(self._queue) + 1
        self._arrivals.append(
            Arrival(
                at=self._schedule.now,
                upstream_id=self.announcement.id,
                sub_request=work.sub_request,
                idempotency_key=work.idempotency_key,
                concurrency=concurrency,
                ran=ran,
            )
        )


class RowStamp(msgspec.Struct, frozen=True, kw_only=True):
    """Row of a replayed reply: it names what it answers."""

    request: str
    service: str
    shard: int
    snapshot: int


def stamp(sub_request: upstream.SubRequest) -> msgspec.Raw:
    """Return the row with which a sub-request is answered."""
    row = RowStamp(
        request=sub_request.request_id,
        service=sub_request.shard_ref.service,
        shard=sub_request.shard_ref.shard,
        snapshot=sub_request.snapshot,
    )
    return msgspec.Raw(msgspec.json.encode(row))
