"""One simulated day: callers, hosts, upstreams and what goes wrong."""

import math
import typing
from collections import abc

import numpy

from greengagehaven import log
from greengagehaven.coordination.routing import events, mechanisms
from greengagehaven.experiment import (
    checks,
    environment,
    events_loop,
    host,
    outcomes,
    randomness,
    troubles,
    upstreams,
)
from greengagehaven.explain import causes
from greengagehaven.protocol import watching
from greengagehaven.state import routes

LEAD_S = 12.0
BALANCER_PERIOD_S = 1.0
BALANCER_MISSES = 2
HONOURED_SHARE = 1 / 3
CONNECT_PATIENCE_S = 1.0
REGISTER = "register.example"


class World:
    """Plays one day.

    :param declared: the environment.
    :param day: of it.
    :param seed: of everything that is drawn.
    :param used: mechanisms that routers use.
    """

    def __init__(
        self,
        *,
        declared: environment.Environment,
        day: environment.Day,
        seed: int,
        used: mechanisms.Mechanisms,
    ) -> None:
        self.loop = events_loop.Loop()
        self.declared = declared
        self.day = day
        self.cuts: set[str] = set()
        self.load = day.load
        self.callers: list[outcomes.Caller] = []
        self._seed = seed
        self._used = used
        self._promises = checks.Promises(declared=declared, seed=seed)
        self._draws = randomness.stream(seed, "callers")
        self._callers_by_number: dict[int, outcomes.Caller] = {}
        self._attempts: dict[int, tuple[outcomes.Caller, host.Host, float]] = {}
        self._works: dict[int, numpy.ndarray] = {}
        self._next_number = 1
        self._misses: dict[str, int] = {}
        self._place_upstreams()
        self._table = self._make_table()
        self.hosts = self._make_hosts()

    def play(self) -> outcomes.Result:
        """Play the day and sum it up."""
        log.configure(level="CRITICAL")
        entries = self.entries()
        for each in self.hosts:
            each.start(self._table, entries)
        self._balance()
        self.loop.run(LEAD_S)
        for number, trouble in enumerate(self.day.troubles):
            troubles.schedule(
                self, trouble, randomness.stream(self._seed, "troubles", number)
            )
        self._plan_arrivals()
        end = LEAD_S + self.day.seconds
        patience = max(kind.deadline_ms for kind in self.declared.kinds) / 1000
        self.loop.run(end + patience)
        return self._sum_up()

    def way(self, zone: str, other: str) -> float:
        """Return the seconds of one way between two zones."""
        return (0.2 if zone == other else self.declared.way_ms) / 1000

    def is_cut(self, zone: str, other: str) -> bool:
        """Tell whether nothing passes between two zones."""
        return zone != other and (zone in self.cuts or other in self.cuts)

    def entries(self) -> list[watching.UpstreamEntry]:
        """Return what hosts know of upstreams that announce themselves."""
        return [
            self._entry(each, watching.Stage.READY)
            for each in self.upstreams_by_id.values()
        ]

    def tell(self, upstream: upstreams.Upstream, stage: watching.Stage) -> None:
        """Let every host hear of a change, a while later."""
        entry = self._entry(upstream, stage, sequence=round(self.loop.time * 1000) + 2)
        told = events.UpstreamsChanged(entries=(entry,))
        for each in self.hosts:
            self.loop.after(self.declared.news_ms / 1000, self._tell, each, told)

    def restart(self, each: host.Host) -> None:
        """Start a host that was stopped."""
        each.start(self._table, self.entries())

    def cut_off_callers(self, lost: abc.Iterable[int]) -> None:
        """Let callers notice that their host is gone."""
        for number in lost:
            self.loop.after(self._caller_way(), self._fail_attempt, number)

    def _tell(self, each: host.Host, told: events.UpstreamsChanged) -> None:
        if each.is_up:
            each.step(told)

    def _place_upstreams(self) -> None:
        rng = randomness.stream(self._seed, "places")
        draws = randomness.HostRng(generator=randomness.stream(self._seed, "places", 1))
        self.upstreams_by_id: dict[str, upstreams.Upstream] = {}
        self.services_by_kind: dict[str, list[str]] = {}
        for service in self.declared.services:
            for shard in range(service.shards):
                zones = list(rng.permutation(self.declared.zones))
                for number in range(service.replicas):
                    name = f"{service.name}-{shard}"
                    speed = service.speeds[int(rng.integers(len(service.speeds)))]
                    upstream = upstreams.Upstream(
                        id=f"{name}-u{number}",
                        service=service,
                        zone=str(zones[number % len(zones)]),
                        speed=speed,
                        pause_phase=float(rng.random()),
                        loop=self.loop,
                        draw=draws.random,
                    )
                    self.upstreams_by_id[upstream.id] = upstream
        for kind in self.declared.kinds:
            (service,) = [
                each for each in self.declared.services if each.name == kind.service
            ]
            names = [f"{service.name}-{shard}" for shard in range(service.shards)]
            self.services_by_kind[kind.name] = names

    def _entry(
        self, upstream: upstreams.Upstream, stage: watching.Stage, sequence: int = 1
    ) -> watching.UpstreamEntry:
        return watching.UpstreamEntry(
            id=upstream.id,
            incarnation=1,
            sequence=sequence,
            service=upstream.id.rpartition("-")[0],
            address=upstream.id,
            availability_zone=upstream.zone,
            stage=stage,
            slots=upstream.service.slots,
        )

    def _make_table(self) -> routes.RoutingTable:
        made = []
        for kind in self.declared.kinds:
            names = self.services_by_kind[kind.name]
            weighted = tuple(
                routes.WeightedService(service=name, weight=1.0) for name in names
            )
            made.append(
                routes.Route(
                    name=kind.name,
                    host=REGISTER,
                    path_prefix=f"/{kind.name}/",
                    shards=tuple(names) if kind.is_sweep else (),
                    services=() if kind.is_sweep else weighted,
                    is_idempotent=kind.is_idempotent,
                    attempts=kind.attempts,
                    timeout=kind.deadline_ms / 1000,
                    objective=kind.objective_ms / 1000,
                    priority=kind.priority,
                    top_records=10,
                    least_coverage=kind.least_coverage,
                )
            )
        limits = {
            f"{service.name}-{shard}": routes.ServiceLimits(
                connections=service.connections
            )
            for service in self.declared.services
            for shard in range(service.shards)
        }
        return routes.RoutingTable(
            number=1,
            routes=made,
            limits_by_service=limits,
            caller_limits=routes.CallerLimits(),
        )

    def _make_hosts(self) -> list[host.Host]:
        made = []
        for zone, count in sorted(self.declared.hosts_by_zone.items()):
            for number in range(count):
                generator = randomness.stream(self._seed, "hosts", len(made))
                made.append(
                    host.Host(
                        id=f"{zone}-{number}",
                        zone=zone,
                        declared=self.declared,
                        upstreams_by_id=self.upstreams_by_id,
                        network=self,
                        answer=self._on_answer,
                        work_of=self._work_of,
                        note_run=self._note_run,
                        used=self._used,
                        loop=self.loop,
                        rng=randomness.HostRng(generator=generator),
                    )
                )
        return made

    def _balance(self) -> None:
        """Ask every host whether it is ready, as a balancer does each second."""
        for each in self.hosts:
            is_ready = each.is_up and not each.is_frozen and not each.router.is_cut_off
            self._misses[each.id] = 0 if is_ready else self._misses.get(each.id, 0) + 1
        self.loop.after(BALANCER_PERIOD_S, self._balance)

    def _rotation(self, zone: str) -> list[host.Host]:
        own = [each for each in self.hosts if each.zone == zone]
        ready = [each for each in own if self._misses[each.id] < BALANCER_MISSES]
        if ready:
            return ready if 2 * len(ready) >= len(own) else own
        others = [each for each in self.hosts if each.zone != zone]
        ready = [each for each in others if self._misses[each.id] < BALANCER_MISSES]
        return ready or own or others

    def _plan_arrivals(self) -> None:
        for number, (zone, rate) in enumerate(
            sorted(self.declared.per_s_by_zone.items())
        ):
            rng = randomness.stream(self._seed, "arrivals", number)
            self.loop.after(0.0, self._arrive_on, zone, rate, rng)

    def _arrive_on(self, zone: str, rate: float, rng: numpy.random.Generator) -> None:
        elapsed = self.loop.time - LEAD_S
        if elapsed >= self.day.seconds:
            return
        # The gap is drawn for the highest rate, and arrivals thinned to the load of
        # the moment, so that a burst shifts no other arrival.
        highest = rate * (1 + self.declared.swing) * self._highest_load()
        wave = math.sin(2 * math.pi * elapsed / self.declared.period_s)
        now = rate * (1 + self.declared.swing * wave) * self.load
        gap, keep, kind, place, work = rng.random(5)
        if keep * highest < now:
            self._begin(zone, float(kind), float(place), int(work * 2**62))
        wait = -math.log(1.0 - gap) / max(highest, 1e-9)
        self.loop.after(wait, self._arrive_on, zone, rate, rng)

    def _highest_load(self) -> float:
        bursts = [each.factor for each in self.day.troubles if each.kind == "burst"]
        return self.day.load * max([1.0, *bursts])

    def _begin(self, zone: str, kind_at: float, place: float, work_seed: int) -> None:
        kinds = self.declared.kinds
        total = sum(kind.share for kind in kinds)
        chosen = kinds[-1]
        for kind in kinds:
            kind_at -= kind.share / total
            if kind_at < 0:
                chosen = kind
                break
        caller = outcomes.Caller(
            number=len(self.callers), kind=chosen, zone=zone, sent_at=self.loop.time
        )
        self.callers.append(caller)
        self._works[caller.number] = self._draw_work(chosen, work_seed)
        self._attempt(caller, place)

    def _draw_work(self, kind: environment.Kind, seed: int) -> numpy.ndarray:
        """Draw the work of a request at each service, the same for each policy."""
        rng = numpy.random.Generator(numpy.random.Philox(key=seed))
        size = (len(self.services_by_kind[kind.name]), kind.attempts + 1)
        mean = kind.work_ms / 1000 * math.exp(-(kind.spread**2) / 2)
        work = mean * numpy.exp(kind.spread * rng.standard_normal(size))
        if kind.tail:
            work = numpy.where(
                rng.random(size) < kind.tail, work * kind.tail_factor, work
            )
        return work

    def _attempt(self, caller: outcomes.Caller, place: float) -> None:
        rotation = self._rotation(caller.zone)
        chosen = rotation[int(place * len(rotation)) % len(rotation)]
        number = self._next_number
        self._next_number += 1
        self._attempts[number] = (caller, chosen, self.loop.time)
        self._callers_by_number[number] = caller
        way = self._caller_way()
        # One caller in so many connects anew, which takes a way there and back.
        connecting = 0.0
        if caller.refusals or self._draws.random() < 1 / self.declared.callers_per_host:
            connecting = 2 * way
        self.loop.after(way + connecting, self._reach, number)

    def _reach(self, number: int) -> None:
        caller, chosen, sent_at = self._attempts[number]
        if not chosen.is_up:
            self.loop.after(CONNECT_PATIENCE_S, self._fail_attempt, number)
            return
        for service in self.services_by_kind[caller.kind.name]:
            self._promises.note_request(service, self.loop.time)
        elapsed = self.loop.time - self._caller_way() - caller.sent_at
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
        self.loop.at(deadline, self._give_up, number)

    def _give_up(self, number: int) -> None:
        known = self._attempts.get(number)
        if known is None:
            return
        caller, chosen, _ = known
        del self._attempts[number]
        if chosen.is_up:
            self.loop.after(self._caller_way(), chosen.leave, number)
        self._end(caller, causes.Fate.FAILED, causes.Cause.SLOW)

    def _work_of(self, number: int, upstream_id: str) -> float:
        caller = self._callers_by_number[number]
        service, _, upstream = upstream_id.rpartition("-u")
        index = self.services_by_kind[caller.kind.name].index(service)
        works = self._works[caller.number][index]
        return float(works[int(upstream) % len(works)])

    def _note_run(self, number: int, upstream_id: str, is_run: bool) -> None:
        kind = self._callers_by_number[number].kind
        service = upstream_id.rpartition("-")[0]
        self._promises.note_arrival(number, service, self.loop.time)
        if is_run:
            self._promises.note_run(number, service, kind, self.loop.time)

    def _on_answer(self, number: int, action: events.Action) -> None:
        known = self._attempts.get(number)
        if known is None:
            return
        caller, chosen, _ = known
        services = self.services_by_kind[caller.kind.name]
        count = len(services) if caller.kind.is_sweep else 1
        self._promises.note_answer(number, action, count, self.loop.time)
        self.loop.after(self._caller_way(), self._take_answer, number, action, count)

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
        left = caller.sent_at + caller.kind.deadline_ms / 1000 - self.loop.time
        may_return = caller.refusals < caller.kind.returns and left > 0
        is_safe = caller.kind.is_idempotent or error.status in (429, 503)
        if not (may_return and is_safe):
            fate = causes.Fate.REFUSED if error.status == 503 else causes.Fate.FAILED
            self._end(caller, fate, _cause_of(error))
            return
        caller.refusals += 1
        caller.cause = _cause_of(error)
        wait = min(error.retry_after or 0.0, HONOURED_SHARE * left)
        place = float(self._draws.random())
        self.loop.after(wait, self._attempt, caller, place)

    def _fail_attempt(self, number: int) -> None:
        known = self._attempts.pop(number, None)
        if known is None:
            return
        caller = known[0]
        left = caller.sent_at + caller.kind.deadline_ms / 1000 - self.loop.time
        may_return = caller.refusals < caller.kind.returns and left > 0
        if may_return and caller.kind.is_idempotent:
            caller.refusals += 1
            self._attempt(caller, float(self._draws.random()))
            return
        self._end(caller, causes.Fate.FAILED, causes.Cause.LOST)

    def _end(
        self, caller: outcomes.Caller, fate: causes.Fate, cause: causes.Cause
    ) -> None:
        if caller.fate is not None:
            return
        caller.ended_at = self.loop.time
        took = caller.ended_at - caller.sent_at
        if fate is causes.Fate.ON_TIME and took > caller.kind.objective_ms / 1000:
            fate = causes.Fate.LATE
            was_refused = caller.refusals > 0
            cause = caller.cause if was_refused else causes.Cause.SLOW
        caller.fate = fate
        caller.cause = cause

    def _caller_way(self) -> float:
        return self.declared.caller_way_ms / 1000

    def _sum_up(self) -> outcomes.Result:
        runs = sum(each.runs for each in self.upstreams_by_id.values())
        first = sum(
            len(self.services_by_kind[each.kind.name]) if each.kind.is_sweep else 1
            for each in self.callers
        )
        return outcomes.sum_up(
            self.callers,
            environment=self.declared.name,
            day=self.day.name,
            seed=self._seed,
            extra_load=round(runs / max(1, first) - 1.0, 4),
            connections=sum(each.opened for each in self.hosts),
        )


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
