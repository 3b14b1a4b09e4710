"""Simulated callers, which send requests, wait for answers and retry."""

import math
import typing
from collections import abc

import numpy

from greengagehaven.coordination.routing import events
from greengagehaven.experiment import (
    balancer,
    checks,
    environment,
    event_loop,
    host,
    outcomes,
    randomness,
)
from greengagehaven.explain import causes

VIRTUAL_HOST = "register.example"
NOT_RUN_STATUS = 503
"""Status of refusals that state that the request did not run."""

MAX_RETRY_AFTER_SHARE = 1 / 3
"""Share of the remaining time up to which callers honour ``Retry-After``."""

HELD_SHARE = 0.25
"""Share of the objective after which a refusal counts as held."""

CONNECT_TIMEOUT_S = 1.0
"""Seconds that a caller waits for a connection."""

NEW_CONNECTION_MULTIPLIER = 997
"""Turns the random position among the hosts into a draw on a new connection."""

RETRY_STEP = 0.618
"""Step from a caller's host to that of its retry, as a share of all hosts."""


class Callers:
    """Generates the callers of a day and follows their requests.

    :param services_by_kind: names of the services that answer each kind.
    :param load_now: returns the current factor of the normal rate.
    :param promise_checker: checks the requests and answers of the callers.
    """

    def __init__(
        self,
        *,
        declared: environment.Environment,
        day: environment.Day,
        seed: int,
        services_by_kind: abc.Mapping[str, abc.Sequence[str]],
        load_now: abc.Callable[[], float],
        promise_checker: checks.InvariantChecker,
        loop: event_loop.Loop,
    ) -> None:
        self.all: list[outcomes.Caller] = []
        self._declared = declared
        self._day = day
        self._seed = seed
        self._services_by_kind = services_by_kind
        self._load_now = load_now
        self._promise_checker = promise_checker
        self._loop = loop
        self._started_at = 0.0
        self._callers_by_number: dict[int, outcomes.Caller] = {}
        self._attempts: dict[int, tuple[outcomes.Caller, host.Host, float]] = {}
        self._work_by_caller_number: dict[int, numpy.ndarray] = {}
        self._next_number = 1
        self._link_rng = randomness.HostRng(
            generator=randomness.stream(seed, "links", 0)
        )
        self.refusals = 0
        self.held_refusals = 0
        self.held_s = 0.0

    def set_balancer(self, load_balancer: balancer.Balancer) -> None:
        """Set the load balancer that selects the callers' hosts."""
        self._balancer = load_balancer

    def start(self) -> None:
        """Start the arrivals of callers, which last as long as the day."""
        self._started_at = self._loop.time
        for number, (zone, rate) in enumerate(
            sorted(self._declared.per_s_by_zone.items())
        ):
            rng = randomness.stream(self._seed, "arrivals", number)
            self._loop.call_later(0.0, self._generate_arrivals, zone, rate, rng)

    def _generate_arrivals(
        self, zone: str, rate: float, rng: numpy.random.Generator
    ) -> None:
        elapsed = self._loop.time - self._started_at
        if elapsed >= self._day.seconds:
            return
        # Poisson arrivals at the highest rate of the day, thinned to the current rate,
        # so that a burst doesn't shift the times of other arrivals.
        peak_rate = rate * (1 + self._declared.swing) * self._peak_load()
        phase = 2 * math.pi * self._declared.phase_by_zone.get(zone, 0.0)
        wave = math.sin(2 * math.pi * elapsed / self._declared.period_s + phase)
        current_rate = rate * (1 + self._declared.swing * wave) * self._load_now()
        gap, thinning, kind, position, work = rng.random(5)
        if thinning * peak_rate < current_rate:
            self._start_caller(zone, float(kind), float(position), int(work * 2**62))
        wait = -math.log(1.0 - gap) / max(peak_rate, 1e-9)
        self._loop.call_later(wait, self._generate_arrivals, zone, rate, rng)

    def _peak_load(self) -> float:
        bursts = [each.factor for each in self._day.troubles if each.kind == "burst"]
        return self._day.load * max([1.0, *bursts])

    def _start_caller(
        self, zone: str, kind_position: float, position: float, work_seed: int
    ) -> None:
        kinds = self._declared.kinds
        total = sum(kind.share for kind in kinds)
        chosen = kinds[-1]
        for kind in kinds:
            kind_position -= kind.share / total
            if kind_position < 0:
                chosen = kind
                break
        caller = outcomes.Caller(
            number=len(self.all), kind=chosen, zone=zone, sent_at=self._loop.time
        )
        self.all.append(caller)
        self._work_by_caller_number[caller.number] = self._draw_work(chosen, work_seed)
        self._attempt(caller, position)

    def _draw_work(self, kind: environment.Kind, seed: int) -> numpy.ndarray:
        """Return a request's seconds of work by service and replica.

        They depend only on the seed, so that all policies get the same work.
        """
        rng = numpy.random.Generator(numpy.random.Philox(key=seed))
        size = (len(self._services_by_kind[kind.name]), kind.attempts + 1)
        mean = kind.work_ms / 1000 * math.exp(-(kind.spread**2) / 2)
        work = mean * numpy.exp(kind.spread * rng.standard_normal(size))
        if kind.tail:
            work = numpy.where(
                rng.random(size) < kind.tail, work * kind.tail_factor, work
            )
        return work

    def _attempt(self, caller: outcomes.Caller, position: float) -> None:
        candidates = self._balancer.select_hosts(caller.zone)
        chosen = candidates[int(position * len(candidates)) % len(candidates)]
        number = self._next_number
        self._next_number += 1
        self._attempts[number] = (caller, chosen, self._loop.time)
        self._callers_by_number[number] = caller
        delay = self._message_delay()
        # One request in ``callers_per_host`` opens a new connection, which takes a
        # round trip.
        connect_delay = 0.0
        is_new = (
            position * NEW_CONNECTION_MULTIPLIER % 1.0
            < 1 / self._declared.callers_per_host
        )
        if caller.refusals or is_new:
            connect_delay = delay + self._message_delay()
        sent_at = self._loop.time + connect_delay
        self._loop.call_later(delay + connect_delay, self._deliver, number, sent_at)

    def _deliver(self, number: int, request_sent_at: float) -> None:
        caller, chosen, sent_at = self._attempts[number]
        if not chosen.is_up:
            self._loop.call_later(
                CONNECT_TIMEOUT_S, self.handle_connection_loss, number
            )
            return
        for service in self._services_by_kind[caller.kind.name]:
            self._promise_checker.record_request(service, self._loop.time)
        elapsed = request_sent_at - caller.sent_at
        remaining = caller.kind.deadline_ms / 1000 - elapsed
        chosen.submit(
            events.RequestArrived(
                number=number,
                request_id=str(number),
                host=VIRTUAL_HOST,
                path=f"/{caller.kind.name}/x",
                fingerprint=str(caller.number),
                time_left=max(0.0, remaining),
            )
        )
        deadline = caller.sent_at + caller.kind.deadline_ms / 1000
        self._loop.call_at(deadline, self._on_deadline, number)

    def _on_deadline(self, number: int) -> None:
        attempt = self._attempts.get(number)
        if attempt is None:
            return
        caller, chosen, _ = attempt
        del self._attempts[number]
        if chosen.is_up:
            self._loop.call_later(self._one_way_delay(), chosen.abandon, number)
        self._complete(caller, causes.Fate.FAILED, causes.Cause.SLOW)

    def work_of(self, number: int, upstream_id: str) -> float:
        """Return the seconds of work of a request at an upstream."""
        caller = self._callers_by_number[number]
        service, _, upstream = upstream_id.rpartition("-u")
        index = self._services_by_kind[caller.kind.name].index(service)
        work_by_replica = self._work_by_caller_number[caller.number][index]
        return float(work_by_replica[int(upstream) % len(work_by_replica)])

    def kind_of(self, number: int) -> environment.Kind:
        """Return the kind of a request."""
        return self._callers_by_number[number].kind

    def record_arrival(self, number: int, upstream_id: str, is_accepted: bool) -> None:
        """Record an attempt that reached an upstream."""
        kind = self._callers_by_number[number].kind
        service = upstream_id.rpartition("-")[0]
        self._promise_checker.record_arrival(number, service, self._loop.time)
        if is_accepted:
            self._promise_checker.record_run(number, service, kind, self._loop.time)

    def handle_answer(self, number: int, action: events.Action) -> None:
        """Handle a host's answer; the caller receives it after the one-way delay."""
        attempt = self._attempts.get(number)
        if attempt is None:
            return
        caller, chosen, _ = attempt
        services = self._services_by_kind[caller.kind.name]
        count = len(services) if caller.kind.is_sweep else 1
        self._promise_checker.check_answer(number, action, count, self._loop.time)
        if isinstance(action, events.Refuse) and action.error.status == NOT_RUN_STATUS:
            self._promise_checker.check_refusal(number, self._loop.time)
        self._loop.call_later(
            self._message_delay(), self._receive_answer, number, action, count
        )

    def _receive_answer(self, number: int, action: events.Action, count: int) -> None:
        attempt = self._attempts.pop(number, None)
        if attempt is None:
            return
        caller, chosen, sent_at = attempt
        match action:
            case events.AnswerParts(missing=missing):
                caller.coverage = 1.0 - missing / count
                cause = causes.Cause.SLOW if missing else causes.Cause.NONE
                fate = causes.Fate.PARTIAL if missing else causes.Fate.ON_TIME
                self._complete(caller, fate, cause)
            case events.ForwardReply():
                caller.coverage = 1.0
                self._complete(caller, causes.Fate.ON_TIME, causes.Cause.NONE)
            case events.Refuse(error=error):
                self.refusals += 1
                held = self._loop.time - sent_at
                self.held_s += held
                self.held_refusals += (
                    held > HELD_SHARE * caller.kind.objective_ms / 1000
                )
                self._handle_refusal(caller, error)

    def _handle_refusal(self, caller: outcomes.Caller, error: typing.Any) -> None:
        remaining = caller.sent_at + caller.kind.deadline_ms / 1000 - self._loop.time
        may_retry = caller.refusals < caller.kind.returns and remaining > 0
        is_safe = caller.kind.is_idempotent or error.status in (429, 503)
        if not (may_retry and is_safe):
            fate = (
                causes.Fate.REFUSED
                if error.status == NOT_RUN_STATUS
                else causes.Fate.FAILED
            )
            self._complete(caller, fate, _find_cause(error))
            return
        caller.refusals += 1
        caller.cause = _find_cause(error)
        wait = min(error.retry_after or 0.0, MAX_RETRY_AFTER_SHARE * remaining)
        self._loop.call_later(wait, self._attempt, caller, _retry_position(caller))

    def handle_connection_loss(self, number: int) -> None:
        """Handle the loss of a request's connection, or a failure to connect."""
        attempt = self._attempts.pop(number, None)
        if attempt is None:
            return
        caller = attempt[0]
        remaining = caller.sent_at + caller.kind.deadline_ms / 1000 - self._loop.time
        may_retry = caller.refusals < caller.kind.returns and remaining > 0
        if may_retry and caller.kind.is_idempotent:
            caller.refusals += 1
            self._attempt(caller, _retry_position(caller))
            return
        self._complete(caller, causes.Fate.FAILED, causes.Cause.LOST)

    def _complete(
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

    def _one_way_delay(self) -> float:
        return self._declared.caller_way_ms / 1000

    def _message_delay(self) -> float:
        """Return the seconds that one message between a caller and a host takes."""
        delay = self._one_way_delay()
        if self._declared.caller_jitter_ms:
            jitter = -math.log(1.0 - self._link_rng.random())
            delay += self._declared.caller_jitter_ms / 1000 * jitter
        return delay


def _retry_position(caller: outcomes.Caller) -> float:
    """Return the position of the host for a retry, in [0, 1).

    It is the same for all policies.
    """
    return (caller.number + caller.refusals) * RETRY_STEP % 1.0


def _find_cause(error: typing.Any) -> causes.Cause:
    if error.code == "not_configured":
        return causes.Cause.STARTING
    detail = error.detail or ""
    if "no_budget" in detail:
        return causes.Cause.NO_BUDGET
    if "unavailable" in detail or "no_upstream" in detail or "connect" in detail:
        return causes.Cause.OUT_OF_REACH
    if "lost" in detail:
        return causes.Cause.LOST
    return causes.Cause.SLOW if error.status == 504 else causes.Cause.FAILED
