"""Callers of a simulated day: they arrive, wait, are refused and come back."""

import math
import typing
from collections import abc

import numpy

from greengagehaven.coordination.routing import events
from greengagehaven.experiment import (
    balancer,
    checks,
    environment,
    events_loop,
    host,
    outcomes,
    randomness,
)
from greengagehaven.explain import causes

REGISTER = "register.example"
NOT_RUN = 503

HONOURED_SHARE = 1 / 3
"""Share of the time that is left for which callers obey a time to come back."""

CONNECT_PATIENCE_S = 1.0
"""Seconds that a caller waits for a connection."""

NEW_CONNECTIONS = 997
"""Spreads the draw of a caller's host into one on whether it connects anew."""

GOLDEN = 0.618
"""Step from a caller's host to the one that it asks next, a share of all."""


class Callers:
    """All callers of a day.

    :param services_by_kind: names of the services that answer each kind.
    :param load_now: gives the multiple of the usual rate.
    :param promises: told what callers see.
    """

    def __init__(
        self,
        *,
        declared: environment.Environment,
        day: environment.Day,
        seed: int,
        services_by_kind: abc.Mapping[str, abc.Sequence[str]],
        load_now: abc.Callable[[], float],
        promises: checks.Promises,
        loop: events_loop.Loop,
    ) -> None:
        self.all: list[outcomes.Caller] = []
        self._declared = declared
        self._day = day
        self._seed = seed
        self._services_by_kind = services_by_kind
        self._load_now = load_now
        self._promises = promises
        self._loop = loop
        self._start = 0.0
        self._callers_by_number: dict[int, outcomes.Caller] = {}
        self._attempts: dict[int, tuple[outcomes.Caller, host.Host, float]] = {}
        self._works: dict[int, numpy.ndarray] = {}
        self._next_number = 1

    def set_balancer(self, chosen_by: balancer.Balancer) -> None:
        """Take what chooses callers' hosts."""
        self._balancer = chosen_by

    def plan(self) -> None:
        """Let callers arrive from now on, for as long as the day lasts."""
        self._start = self._loop.time
        for number, (zone, rate) in enumerate(
            sorted(self._declared.per_s_by_zone.items())
        ):
            rng = randomness.stream(self._seed, "arrivals", number)
            self._loop.after(0.0, self._arrive_on, zone, rate, rng)

    def _arrive_on(self, zone: str, rate: float, rng: numpy.random.Generator) -> None:
        elapsed = self._loop.time - self._start
        if elapsed >= self._day.seconds:
            return
        # The gap is drawn for the highest rate, and arrivals thinned to the load of
        # the moment, so that a burst shifts no other arrival.
        highest = rate * (1 + self._declared.swing) * self._highest_load()
        wave = math.sin(2 * math.pi * elapsed / self._declared.period_s)
        now = rate * (1 + self._declared.swing * wave) * self._load_now()
        gap, keep, kind, place, work = rng.random(5)
        if keep * highest < now:
            self._begin(zone, float(kind), float(place), int(work * 2**62))
        wait = -math.log(1.0 - gap) / max(highest, 1e-9)
        self._loop.after(wait, self._arrive_on, zone, rate, rng)

    def _highest_load(self) -> float:
        bursts = [each.factor for each in self._day.troubles if each.kind == "burst"]
        return self._day.load * max([1.0, *bursts])

    def _begin(self, zone: str, kind_at: float, place: float, work_seed: int) -> None:
        kinds = self._declared.kinds
        total = sum(kind.share for kind in kinds)
        chosen = kinds[-1]
        for kind in kinds:
            kind_at -= kind.share / total
            if kind_at < 0:
                chosen = kind
                break
        caller = outcomes.Caller(
            number=len(self.all), kind=chosen, zone=zone, sent_at=self._loop.time
        )
        self.all.append(caller)
        self._works[caller.number] = self._draw_work(chosen, work_seed)
        self._attempt(caller, place)

    def _draw_work(self, kind: environment.Kind, seed: int) -> numpy.ndarray:
        """Draw the work of a request at each service, the same for each policy."""
        rng = numpy.random.Generator(numpy.random.Philox(key=seed))
        size = (len(self._services_by_kind[kind.name]), kind.attempts + 1)
        mean = kind.work_ms / 1000 * math.exp(-(kind.spread**2) / 2)
        work = mean * numpy.exp(kind.spread * rng.standard_normal(size))
        if kind.tail:
            work = numpy.where(
                rng.random(size) < kind.tail, work * kind.tail_factor, work
            )
        return work

    def _attempt(self, caller: outcomes.Caller, place: float) -> None:
        rotation = self._balancer.rotation(caller.zone)
        chosen = rotation[int(place * len(rotation)) % len(rotation)]
        number = self._next_number
        self._next_number += 1
        self._attempts[number] = (caller, chosen, self._loop.time)
        self._callers_by_number[number] = caller
        way = self._caller_way()
        # One caller in so many connects anew, which takes a way there and back.
        connecting = 0.0
        is_new = place * NEW_CONNECTIONS % 1.0 < 1 / self._declared.callers_per_host
        if caller.refusals or is_new:
            connecting = 2 * way
        self._loop.after(way + connecting, self._reach, number)

    def _reach(self, number: int) -> None:
        caller, chosen, sent_at = self._attempts[number]
        if not chosen.is_up:
            self._loop.after(CONNECT_PATIENCE_S, self.fail, number)
            return
        for service in self._services_by_kind[caller.kind.name]:
            self._promises.note_request(service, self._loop.time)
        elapsed = self._loop.time - self._caller_way() - caller.sent_at
        left = caller.kind.deadline_ms / 1000 - elapsed
        chosen.arrive(
            events.RequestArrived(
                number=number,
                request_id=str(number),
                host=REGISTER,
                path=f"/{caller.kind.name}/x",
                fingerprint=str(caller.number),
                time_left=max(0.0, left),
            )
        )
        deadline = caller.sent_at + caller.kind.deadline_ms / 1000
        self._loop.at(deadline, self._give_up, number)

    def _give_up(self, number: int) -> None:
        known = self._attempts.get(number)
        if known is None:
            return
        caller, chosen, _ = known
        del self._attempts[number]
        if chosen.is_up:
            self._loop.after(self._caller_way(), chosen.leave, number)
        self._end(caller, causes.Fate.FAILED, causes.Cause.SLOW)

    def work_of(self, number: int, upstream_id: str) -> float:
        """Return the seconds of work of a request at an upstream."""
        caller = self._callers_by_number[number]
        service, _, upstream = upstream_id.rpartition("-u")
        index = self._services_by_kind[caller.kind.name].index(service)
        works = self._works[caller.number][index]
        return float(works[int(upstream) % len(works)])

    def note_run(self, number: int, upstream_id: str, is_run: bool) -> None:
        """Count a request that reached an upstream."""
        kind = self._callers_by_number[number].kind
        service = upstream_id.rpartition("-")[0]
        self._promises.note_arrival(number, service, self._loop.time)
        if is_run:
            self._promises.note_run(number, service, kind, self._loop.time)

    def take_answer(self, number: int, action: events.Action) -> None:
        """Take a host's answer, which its caller has a way later."""
        known = self._attempts.get(number)
        if known is None:
            return
        caller, chosen, _ = known
        services = self._services_by_kind[caller.kind.name]
        count = len(services) if caller.kind.is_sweep else 1
        self._promises.note_answer(number, action, count, self._loop.time)
        if isinstance(action, events.Refuse) and action.error.status == NOT_RUN:
            self._promises.note_refusal(number, self._loop.time)
        self._loop.after(self._caller_way(), self._take_answer, number, action, count)

    def _take_answer(self, number: int, action: events.Action, count: int) -> None:
        known = self._attempts.pop(number, None)
        if known is None:
            return
        caller, chosen, _ = known
        match action:
            case events.AnswerParts(missing=missing):
                caller.coverage = 1.0 - missing / count
                cause = causes.Cause.SLOW if missing else causes.Cause.NONE
                fate = causes.Fate.PARTIAL if missing else causes.Fate.ON_TIME
                self._end(caller, fate, cause)
            case events.PassOn():
                caller.coverage = 1.0
                self._end(caller, causes.Fate.ON_TIME, causes.Cause.NONE)
            case events.Refuse(error=error):
                self._refused(caller, error)

    def _refused(self, caller: outcomes.Caller, error: typing.Any) -> None:
        left = caller.sent_at + caller.kind.deadline_ms / 1000 - self._loop.time
        may_return = caller.refusals < caller.kind.returns and left > 0
        is_safe = caller.kind.is_idempotent or error.status in (429, 503)
        if not (may_return and is_safe):
            fate = (
                causes.Fate.REFUSED if error.status == NOT_RUN else causes.Fate.FAILED
            )
            self._end(caller, fate, _cause_of(error))
            return
        caller.refusals += 1
        caller.cause = _cause_of(error)
        wait = min(error.retry_after or 0.0, HONOURED_SHARE * left)
        self._loop.after(wait, self._attempt, caller, _next_place(caller))

    def fail(self, number: int) -> None:
        """Note that a request's host is gone, or took no connection."""
        known = self._attempts.pop(number, None)
        if known is None:
            return
        caller = known[0]
        left = caller.sent_at + caller.kind.deadline_ms / 1000 - self._loop.time
        may_return = caller.refusals < caller.kind.returns and left > 0
        if may_return and caller.kind.is_idempotent:
            caller.refusals += 1
            self._attempt(caller, _next_place(caller))
            return
        self._end(caller, causes.Fate.FAILED, causes.Cause.LOST)

    def _end(
        self, caller: outcomes.Caller, fate: causes.Fate, cause: causes.Cause
    ) -> None:
        if caller.fate is not None:
            return
        caller.ended_at = self._loop.time
        took = caller.ended_at - caller.sent_at
        if fate is causes.Fate.ON_TIME and took > caller.kind.objective_ms / 1000:
            fate = causes.Fate.LATE
            was_refused = caller.refusals > 0
            cause = caller.cause if was_refused else causes.Cause.SLOW
        caller.fate = fate
        caller.cause = cause

    def _caller_way(self) -> float:
        return self._declared.caller_way_ms / 1000


def _next_place(caller: outcomes.Caller) -> float:
    """Return where a caller asks next; the same for each policy."""
    return (caller.number + caller.refusals) * GOLDEN % 1.0


def _cause_of(error: typing.Any) -> causes.Cause:
    if error.code == "not_configured":
        return causes.Cause.STARTING
    detail = error.detail or ""
    if "no_budget" in detail:
        return causes.Cause.NO_BUDGET
    if "no_upstream" in detail or "connect" in detail:
        return causes.Cause.OUT_OF_REACH
    if "lost" in detail:
        return causes.Cause.LOST
    return causes.Cause.SLOW if error.status == 504 else causes.Cause.FAILED
