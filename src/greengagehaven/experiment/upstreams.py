"""Simulated upstreams with slots, a queue, pauses and injected faults."""

import collections
import dataclasses
import enum
import typing
from collections import abc

from greengagehaven.coordination.routing import events
from greengagehaven.experiment import environment, event_loop

SLOW_FACTOR = 1.01
"""Factor of the work above which an upstream is slow; below it are rounding errors."""


class State(enum.Enum):
    """How an upstream responds to connections.

    ``CLOSED``: it refuses them. ``UNRESPONSIVE``: packets to it are dropped.
    ``HUNG``: it accepts them, but runs nothing until it resumes.
    """

    UP = "up"
    CLOSED = "closed"
    UNRESPONSIVE = "dark"
    HUNG = "hung"


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class Job:
    """One request at an upstream.

    :param work: seconds that it takes at an upstream of normal speed.
    :param on_end: called with the outcome that the host receives.
    """

    work: float
    on_end: abc.Callable[[events.Replied | events.Failed], None]
    is_cancelled: bool = False


class Upstream:
    """An upstream that runs jobs in slots.

    :param speed: factor by which each job's work is multiplied; above 1 is slower.
    :param pause_phase: offset of its pauses, as a fraction of their period.
    :param draw: returns a random float in [0, 1).
    """

    def __init__(
        self,
        *,
        id: str,
        service: environment.Service,
        zone: str,
        speed: float,
        pause_phase: float,
        loop: event_loop.Loop,
        draw: abc.Callable[[], float],
    ) -> None:
        self.id = id
        self.service = service
        self.zone = zone
        self.state = State.UP
        self.slow_factor = 1.0
        self.grey_rate = 0.0
        self.lost_rate = 0.0
        self.shed_rate = 0.0
        self.connections = 0
        self.runs = 0
        self.cancelled_runs = 0
        self.busy_s = 0.0
        self._work_factor = speed
        self._pause_phase = pause_phase
        self._loop = loop
        self._draw = draw
        # A dict keeps the order of start; the order of a set differs between processes.
        self._running: dict[Job, None] = {}
        self._queue: collections.deque[Job] = collections.deque()

    @property
    def load(self) -> events.Load:
        """Return the load that the upstream reports."""
        return events.Load(
            running=len(self._running),
            waiting=len(self._queue),
            slots=self.service.slots,
            work_percent=(
                100.0 * self.slow_factor if self.service.reports_work_time else None
            ),
        )

    @property
    def is_slow(self) -> bool:
        """Return whether work takes longer than usual at this moment."""
        return self.slow_factor > SLOW_FACTOR

    def submit(self, job: Job) -> bool:
        """Run a job as soon as a slot is free; return whether it was accepted."""
        if self.state is State.HUNG:
            # The connection is accepted, and the bytes wait in its buffer.
            self._queue.append(job)
            return True
        if self.shed_rate and self._draw() < self.shed_rate:
            job.on_end(self._build_reply(status=503, not_run=True))
            return False
        if len(self._running) < self.service.slots:
            self._run(job)
        elif len(self._queue) < self.service.queue:
            self._queue.append(job)
        else:
            job.on_end(self._build_reply(status=503, not_run=True))
            return False
        return True

    def cancel(self, job: Job) -> None:
        """Cancel a job whose connection was closed."""
        job.is_cancelled = True
        if job in self._running:
            self.cancelled_runs += 1
            self._running.pop(job, None)
            self._start_next()

    def crash(self, state: State) -> None:
        """Crash and lose all jobs; hosts get a reset if the state is ``CLOSED``."""
        self.state = state
        lost = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        if state is State.CLOSED:
            for job in lost:
                job.on_end(
                    events.Failed(fault=events.Fault.LOST, received_nothing=True)
                )

    def hang(self) -> None:
        """Stop running; jobs wait until :meth:`resume`, which runs them again."""
        self.state = State.HUNG
        self._queue.extendleft(reversed(self._running))
        self._running.clear()

    def resume(self) -> None:
        """Run the jobs that were not cancelled meanwhile."""
        self.state = State.UP
        self._start_next()

    def completion_time(self, start: float, work: float) -> float:
        """Return when work that begins at ``start`` ends, with pauses; in seconds."""
        pause, period = self.service.pause_ms / 1000, self.service.pause_every_s
        if pause <= 0 or period <= 0:
            return start + work
        time, remaining = start, work
        while True:
            position = (time / period + self._pause_phase) % 1.0 * period
            if position < pause:
                time += pause - position
                position = pause
            until_pause = period - position
            if remaining <= until_pause:
                return time + remaining
            time += until_pause
            remaining -= until_pause

    def _run(self, job: Job) -> None:
        self._running[job] = None
        self.runs += 1
        work = job.work * self._work_factor * self.slow_factor
        end = self.completion_time(self._loop.time, work)
        self.busy_s += end - self._loop.time
        self._loop.call_at(end, self._complete, job)

    def _complete(self, job: Job) -> None:
        if job not in self._running:
            return
        self._running.pop(job, None)
        self._start_next()
        if job.is_cancelled:
            return
        if self.lost_rate and self._draw() < self.lost_rate:
            job.on_end(events.Failed(fault=events.Fault.LOST, received_nothing=True))
        elif self.grey_rate and self._draw() < self.grey_rate:
            job.on_end(self._build_reply(status=500))
        else:
            job.on_end(self._build_reply(status=200))

    def _start_next(self) -> None:
        while self._queue and len(self._running) < self.service.slots:
            job = self._queue.popleft()
            if not job.is_cancelled:
                self._run(job)

    def _build_reply(self, **fields: typing.Any) -> events.Replied:
        is_success = fields["status"] == 200
        return events.Replied(is_success=is_success, load=self.load, **fields)
