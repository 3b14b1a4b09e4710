"""Replayed upstreams, which behave as the lines of the trace say."""

import dataclasses
import typing

import msgspec

from greengagehaven.protocol import trace, upstream
from greengagehaven.replay import schedule as schedule_module

OnOutcome = typing.Callable[[upstream.Outcome], None]

_STALL_TIMEOUT_S = 1.0
_CONNECT_FAILURE_DELAY_S = 0.002


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A sub-request at an upstream.

    :param reply: called with the outcome.
    """

    sub_request: upstream.SubRequest
    idempotency_key: str | None
    reply: OnOutcome


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """Record of a sub-request's arrival, which expectations are checked against.

    :param at: seconds from the start of the trace.
    :param concurrency: sub-requests running or queued at the upstream, this one
        included.
    :param ran: whether the upstream accepted it.
    """

    at: float
    upstream_id: str
    sub_request: upstream.SubRequest
    idempotency_key: str | None
    concurrency: int
    ran: bool


class ReplayedUpstream:
    """One upstream with slots, a queue and its current behaviour.

    :param schedule: schedules the completion of jobs.
    :param arrivals: the arrivals at all upstreams; this one appends its own.
    """

    def __init__(
        self,
        *,
        announcement: upstream.Announcement,
        schedule: schedule_module.Schedule,
        arrivals: list[Arrival],
    ) -> None:
        self.announcement = announcement
        self._last_trace_sequence = announcement.sequence
        self.behaviour = trace.Behave(upstreams=())
        self.alive = True
        self.announcing = True
        self.crashes = 0
        self._schedule = schedule
        self._arrivals = arrivals
        self._running: dict[tuple[str, int], Job] = {}
        self._queue: list[Job] = []

    @property
    def zone(self) -> str:
        """Return the availability zone of the upstream."""
        return self.announcement.availability_zone

    def announce(self, announcement: upstream.Announcement) -> None:
        """Apply an announcement; a higher incarnation restarts the upstream.

        The trace numbers only the announcements that it contains. Renewals in
        between use up sequence numbers, so the next number is assigned here.
        """
        if announcement.incarnation > self.announcement.incarnation:
            self.alive = True
            self.announcing = True
            self._running.clear()
            self._queue.clear()
            self._last_trace_sequence = announcement.sequence
        elif announcement.sequence > self._last_trace_sequence:
            self._last_trace_sequence = announcement.sequence
            sequence = self.announcement.sequence + 1
            announcement = msgspec.structs.replace(announcement, sequence=sequence)
        self.announcement = announcement

    def renew(self) -> None:
        """Increment the sequence number of the announcement."""
        sequence = self.announcement.sequence + 1
        self.announcement = msgspec.structs.replace(
            self.announcement, sequence=sequence
        )

    def behave(self, behaviour: trace.Behave) -> None:
        """Apply a behaviour from now on."""
        self.behaviour = behaviour
        if behaviour.mode == "crash":
            self.crash()

    def crash(self) -> None:
        """Reset every connection and stop announcing."""
        if not self.alive:
            return
        self.alive = False
        self.crashes += 1
        broken = [*self._running.values(), *self._queue]
        self._running.clear()
        self._queue.clear()
        for job in broken:
            self._fail(job, upstream.FailureReason.RESET)

    def receive(self, job: Job) -> None:
        """Accept or fail a sub-request, according to the behaviour."""
        mode = self.behaviour.mode
        if not self.alive:
            self._record_arrival(job, ran=False)
            self._fail(job, upstream.FailureReason.CONNECT, not_run=True)
        elif mode == "silent":
            self._record_arrival(job, ran=False)
            self._schedule.call_later(
                _STALL_TIMEOUT_S,
                lambda: self._fail(job, upstream.FailureReason.STALLED),
            )
        elif mode == "refuse":
            self._record_arrival(job, ran=False)
            self._fail(job, upstream.FailureReason.OVERLOADED, not_run=True)
        elif not self._hosts_shard(job.sub_request):
            self._record_arrival(job, ran=False)
            self._fail(job, upstream.FailureReason.WRONG_VERSION, not_run=True)
        else:
            self._run(job)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Drop a sub-request that is queued or running."""
        key = (request_id, attempt)
        self._running.pop(key, None)
        self._queue = [job for job in self._queue if job.sub_request.id != key]
        self._start_next()

    def _hosts_shard(self, sub_request: upstream.SubRequest) -> bool:
        if sub_request.snapshot not in self.announcement.snapshots:
            return False
        return any(
            hosted.ref == sub_request.shard_ref
            and hosted.partitioning == sub_request.partitioning
            for hosted in self.announcement.shards
        )

    def _run(self, job: Job) -> None:
        self._record_arrival(job, ran=True)
        self._queue.append(job)
        cold_slots = self.behaviour.cold_slots
        concurrency = len(self._running) + len(self._queue)
        if cold_slots is not None and concurrency > cold_slots:
            self.crash()
            return
        self._start_next()

    def _start_next(self) -> None:
        while self._queue and len(self._running) < self.announcement.slots:
            job = self._queue.pop(0)
            poison = self.behaviour.poison
            if poison and poison.encode() in bytes(job.sub_request.query):
                self._running[job.sub_request.id] = job
                self.crash()
                return
            self._running[job.sub_request.id] = job
            self._schedule.call_later(
                self.behaviour.latency_ms / 1000, lambda done=job: self._complete(done)
            )

    def _complete(self, job: Job) -> None:
        if self._running.get(job.sub_request.id) is not job:
            return
        del self._running[job.sub_request.id]
        mode = self.behaviour.mode
        if mode == "reset":
            self._fail(job, upstream.FailureReason.RESET)
        elif mode == "wrong_echo":
            self._fail(job, upstream.FailureReason.MISMATCH)
        elif mode == "reply":
            job.reply(self._build_reply(job.sub_request))
        self._start_next()

    def _build_reply(self, sub_request: upstream.SubRequest) -> upstream.Replied:
        load = upstream.LoadReport(
            in_flight=len(self._running), queued=len(self._queue)
        )
        return upstream.Replied(
            request_id=sub_request.request_id,
            attempt=sub_request.attempt,
            upstream_id=self.announcement.id,
            rows=(build_row(sub_request),),
            load=load,
        )

    def _fail(
        self, job: Job, reason: upstream.FailureReason, *, not_run: bool = False
    ) -> None:
        failed = upstream.failure_of(job.sub_request, reason, not_run=not_run)
        delay = (
            _CONNECT_FAILURE_DELAY_S
            if reason is upstream.FailureReason.CONNECT
            else 0.0
        )
        self._schedule.call_later(delay, lambda: job.reply(failed))

    def _record_arrival(self, job: Job, *, ran: bool) -> None:
        concurrency = len(self._running) + len(self._queue) + 1
        self._arrivals.append(
            Arrival(
                at=self._schedule.now,
                upstream_id=self.announcement.id,
                sub_request=job.sub_request,
                idempotency_key=job.idempotency_key,
                concurrency=concurrency,
                ran=ran,
            )
        )


class RowStamp(msgspec.Struct, frozen=True, kw_only=True):
    """Row of a replayed reply; identifies the sub-request that it answers."""

    request: str
    service: str
    shard: int
    snapshot: int


def build_row(sub_request: upstream.SubRequest) -> msgspec.Raw:
    """Return the row of the reply to a sub-request."""
    row = RowStamp(
        request=sub_request.request_id,
        service=sub_request.shard_ref.service,
        shard=sub_request.shard_ref.shard,
        snapshot=sub_request.snapshot,
    )
    return msgspec.Raw(msgspec.json.encode(row))
