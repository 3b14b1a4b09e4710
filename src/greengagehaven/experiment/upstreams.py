"""A simulated upstream: slots, a queue, pauses, speeds and what goes wrong with it."""

import collections
import dataclasses
import enum
import typing
from collections import abc

from greengagehaven.coordination.routing import events
from greengagehaven.experiment import environment, events_loop


class State(enum.Enum):
    """Whether an upstream answers connections."""

    UP = "up"
    CLOSED = "closed"
    DARK = "dark"


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class Job:
    """One request at an upstream.

    :param work: seconds that it takes at a usual upstream.
    :param on_end: called with the outcome as its host sees it.
    """

    work: float
    on_end: abc.Callable[[events.Replied | events.Failed], None]
    is_cut: bool = False


class Upstream:
    """Runs jobs.

    :param speed: multiple of the work that it takes.
    :param pause_phase: when its pauses begin, a share of their period.
    """

    def __init__(
        self,
        *,
        id: str,
        service: environment.Service,
        zone: str,
        speed: float,
        pause_phase: float,
        loop: events_loop.Loop,
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
        self.cut_runs = 0
        self.busy_s = 0.0
        self._speed = speed
        self._phase = pause_phase
        self._loop = loop
        self._draw = draw
        # In order of their start; a set's order would differ from process to process.
        self._running: dict[Job, None] = {}
        self._waiting: collections.deque[Job] = collections.deque()

    @property
    def load(self) -> events.Load:
        """Return what it says of its load."""
        return events.Load(
            running=len(self._running),
            waiting=len(self._waiting),
            slots=self.service.slots,
        )

    def take(self, job: Job) -> bool:
        """Run a job as soon as a slot is free; return whether it is not rejected."""
        if self.shed_rate and self._draw() < self.shed_rate:
            job.on_end(self._replied(status=503, not_run=True))
            return False
        if len(self._running) < self.service.slots:
            self._run(job)
        elif len(self._waiting) < self.service.queue:
            self._waiting.append(job)
        else:
            job.on_end(self._replied(status=503, not_run=True))
            return False
        return True

    def cut(self, job: Job) -> None:
        """Drop a job whose connection was closed."""
        job.is_cut = True
        if job in self._running:
            self.cut_runs += 1
            self._running.pop(job, None)
            self._next()

    def fall(self, state: State) -> None:
        """Crash: all that runs is lost, with a reset or without a word."""
        self.state = state
        lost = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        if state is State.CLOSED:
            for job in lost:
                job.on_end(events.Failed(fault=events.Fault.LOST, is_mute=True))

    def end_of(self, start: float, work: float) -> float:
        """Return when work is done that begins at a moment, pauses included."""
        pause, every = self.service.pause_ms / 1000, self.service.pause_every_s
        if pause <= 0 or every <= 0:
            return start + work
        moment, left = start, work
        while True:
            place = (moment / every + self._phase) % 1.0 * every
            if place < pause:
                moment += pause - place
                place = pause
            until_pause = every - place
            if left <= until_pause:
                return moment + left
            moment += until_pause
            left -= until_pause

    def _run(self, job: Job) -> None:
        self._running[job] = None
        self.runs += 1
        work = job.work * self._speed * self.slow_factor
        end = self.end_of(self._loop.time, work)
        self.busy_s += end - self._loop.time
        self._loop.at(end, self._finish, job)

    def _finish(self, job: Job) -> None:
        if job not in self._running:
            return
        self._running.pop(job, None)
        self._next()
        if job.is_cut:
            return
        if self.lost_rate and self._draw() < self.lost_rate:
            job.on_end(events.Failed(fault=events.Fault.LOST, is_mute=True))
        elif self.grey_rate and self._draw() < self.grey_rate:
            job.on_end(self._replied(status=500))
        else:
            job.on_end(self._replied(status=200))

    def _next(self) -> None:
        while self._waiting and len(self._running) < self.service.slots:
            job = self._waiting.popleft()
            if not job.is_cut:
                self._run(job)

    def _replied(self, **fields: typing.Any) -> events.Replied:
        is_success = fields["status"] == 200
        return events.Replied(is_success=is_success, load=self.load, **fields)
