"""One simulated day: callers, hosts, upstreams and what goes wrong."""

from collections import abc

from greengagehaven import log
from greengagehaven.coordination.routing import events, mechanisms
from greengagehaven.experiment import (
    balancer,
    callers,
    checks,
    environment,
    events_loop,
    host,
    outcomes,
    randomness,
    troubles,
    upstreams,
)
from greengagehaven.protocol import watching
from greengagehaven.state import outliers, routes

LEAD_S = 12.0
"""Seconds that hosts have been up when the first caller arrives."""


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
        self._seed = seed
        self._used = used
        self._place_upstreams()
        self._table = self._make_table()
        self._callers = callers.Callers(
            declared=declared,
            day=day,
            seed=seed,
            services_by_kind=self.services_by_kind,
            load_now=lambda: self.load,
            promises=checks.Promises(declared=declared, seed=seed),
            loop=self.loop,
        )
        self._outliers_by_zone = {
            zone: outliers.OutlierLog() for zone in declared.zones
        }
        self.hosts = self._make_hosts()
        hosts_by_id = {each.id: each for each in self.hosts}
        for each in self.hosts:
            each.hosts_by_id = hosts_by_id
        self._balancer = balancer.Balancer(hosts=self.hosts, loop=self.loop)
        self._callers.set_balancer(self._balancer)

    @property
    def callers(self) -> list[outcomes.Caller]:
        """Return every caller of the day."""
        return self._callers.all

    def play(self) -> outcomes.Result:
        """Play the day and sum it up."""
        log.configure(level="CRITICAL")
        entries = self.entries()
        for each in self.hosts:
            each.start(self._table, entries)
        self._balancer.ask()
        self.loop.run(LEAD_S)
        for number, trouble in enumerate(self.day.troubles):
            troubles.schedule(
                self, trouble, randomness.stream(self._seed, "troubles", number)
            )
        self._callers.plan()
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
            self.loop.after(self.declared.news_ms / 1000, self._tell_event, each, told)

    def report(self, zone: str, host_id: str, outlier: watching.Outlier) -> None:
        """Take a report of an entry host, and let all hear what a zone found."""
        found = self._outliers_by_zone[zone]
        count = len(self.upstreams_by_id)
        if not found.report(outlier, host_id, self.loop.time, upstreams=count):
            return
        told = events.OutliersReported(outliers=(outlier,))
        for each in self.hosts:
            self.loop.after(self.declared.news_ms / 1000, self._tell_event, each, told)

    def restart(self, each: host.Host) -> None:
        """Start a host that was stopped."""
        each.start(self._table, self.entries())

    def cut_off_callers(self, lost: abc.Iterable[int]) -> None:
        """Let callers notice that their host is gone."""
        for number in lost:
            self.loop.after(
                self.declared.caller_way_ms / 1000, self._callers.fail, number
            )

    def _tell_event(self, each: host.Host, told: events.Event) -> None:
        if each.is_up:
            each.step(told)

    def _place_upstreams(self) -> None:
        rng = randomness.stream(self._seed, "places")
        draws = randomness.HostRng(generator=randomness.stream(self._seed, "places", 1))
        self.upstreams_by_id: dict[str, upstreams.Upstream] = {}
        self.services_by_kind: dict[str, list[str]] = {}
        for service in self.declared.services:
            for shard in range(service.shards):
                zones = list(rng.permutation(service.zones or self.declared.zones))
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
                    host=callers.REGISTER,
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
                        answer=self._callers.take_answer,
                        work_of=self._callers.work_of,
                        note_run=self._callers.note_run,
                        report=self.report,
                        used=self._used,
                        loop=self.loop,
                        rng=randomness.HostRng(generator=generator),
                    )
                )
        return made

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
