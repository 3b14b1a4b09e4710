"""Simulation of one day: callers, hosts, upstreams and injected faults."""

import functools
from collections import abc

from greengagehaven import log
from greengagehaven.coordination.routing import availability, events, mechanisms
from greengagehaven.experiment import (
    balancer,
    callers,
    checks,
    decisions,
    environment,
    event_loop,
    host,
    machines,
    outcomes,
    randomness,
    troubles,
    upstreams,
)
from greengagehaven.protocol import watching
from greengagehaven.state import outliers, routes

WARMUP_S = 12.0
"""Seconds that hosts run before the first caller arrives."""


class Simulation:
    """Simulation of one day.

    :param declared: the environment.
    :param day: the day of the environment to simulate.
    :param seed: of all random numbers.
    :param enabled_mechanisms: mechanisms that routers use.
    """

    def __init__(
        self,
        *,
        declared: environment.Environment,
        day: environment.Day,
        seed: int,
        enabled_mechanisms: mechanisms.Mechanisms,
    ) -> None:
        self.loop = event_loop.Loop()
        self.declared = declared
        self.day = day
        self.partitioned_zones: set[str] = set()
        self.load = day.load
        self.unavailable_refusals = 0
        self.false_refusals = 0
        self._seed = seed
        self._enabled_mechanisms = enabled_mechanisms
        self._create_upstreams()
        self._machines = machines.create(
            self.upstreams_by_id.values(), loop=self.loop, seed=seed
        )
        self._decision_log = decisions.DecisionLog()
        self._table = self._build_table()
        self._callers = callers.Callers(
            declared=declared,
            day=day,
            seed=seed,
            services_by_kind=self.services_by_kind,
            load_now=lambda: self.load,
            promise_checker=checks.InvariantChecker(declared=declared, seed=seed),
            loop=self.loop,
        )
        self._outliers_by_zone = {
            zone: outliers.OutlierLog() for zone in declared.zones
        }
        self.hosts = self._create_hosts()
        hosts_by_id = {each.id: each for each in self.hosts}
        for each in self.hosts:
            each.hosts_by_id = hosts_by_id
        self._balancer = balancer.Balancer(hosts=self.hosts, loop=self.loop)
        self._callers.set_balancer(self._balancer)

    @property
    def callers(self) -> list[outcomes.Caller]:
        """Return all callers of the day so far."""
        return self._callers.all

    def run(self) -> outcomes.Result:
        """Simulate the day and return its summary."""
        log.configure(level="CRITICAL")
        upstream_entries = self.upstream_entries()
        for each in self.hosts:
            each.start(self._table, upstream_entries)
        self._balancer.check_hosts()
        for machine in self._machines:
            machine.start()
        self.loop.run_until(WARMUP_S)
        for number, trouble in enumerate(self.day.troubles):
            troubles.schedule(
                self, trouble, randomness.stream(self._seed, "troubles", number)
            )
        self._callers.start()
        end = WARMUP_S + self.day.seconds
        longest_deadline = max(kind.deadline_ms for kind in self.declared.kinds) / 1000
        self.loop.run_until(end + longest_deadline)
        return self._summarize()

    def one_way_delay(self, zone: str, other: str) -> float:
        """Return the one-way delay between two zones in seconds."""
        return (0.2 if zone == other else self.declared.way_ms) / 1000

    def is_partitioned(self, zone: str, other: str) -> bool:
        """Return whether two zones are partitioned from each other."""
        return zone != other and (
            zone in self.partitioned_zones or other in self.partitioned_zones
        )

    def upstream_entries(self) -> list[watching.UpstreamEntry]:
        """Return the entries of all upstreams, as hosts receive them."""
        return [
            self._build_entry(each, watching.Stage.READY)
            for each in self.upstreams_by_id.values()
        ]

    def publish_stage(
        self, upstream: upstreams.Upstream, stage: watching.Stage
    ) -> None:
        """Send all hosts a new stage of an upstream, after the delay ``news_ms``."""
        # The sequence rises with time, from above that of the first entries, 1.
        entry = self._build_entry(
            upstream, stage, sequence=round(self.loop.time * 1000) + 2
        )
        event = events.UpstreamsChanged(entries=(entry,))
        for each in self.hosts:
            self.loop.call_later(
                self.declared.news_ms / 1000, self._deliver_event, each, event
            )

    def handle_outlier(
        self, zone: str, host_id: str, outlier: watching.Outlier
    ) -> None:
        """Record a host's report of an outlier.

        All hosts are told after ``news_ms`` if its zone now counts it as an outlier.
        """
        outlier_log = self._outliers_by_zone[zone]
        count = len(self.upstreams_by_id)
        if not outlier_log.record_report(
            outlier, host_id, self.loop.time, upstreams=count
        ):
            return
        event = events.OutliersReported(outliers=(outlier,))
        for each in self.hosts:
            self.loop.call_later(
                self.declared.news_ms / 1000, self._deliver_event, each, event
            )

    def restart_host(self, each: host.Host) -> None:
        """Restart a host that crashed."""
        each.start(self._table, self.upstream_entries())

    def fail_requests(self, request_numbers: abc.Iterable[int]) -> None:
        """Fail the requests whose host has crashed, after the delay to callers."""
        for number in request_numbers:
            self.loop.call_later(
                self.declared.caller_way_ms / 1000,
                self._callers.handle_connection_loss,
                number,
            )

    def _record_decision(self, upstream_id: str, report_age: float) -> None:
        upstream = self.upstreams_by_id[upstream_id]
        if upstream.service.slow_share:
            self._decision_log.record(is_slow=upstream.is_slow, report_age=report_age)

    def _handle_answer(self, zone: str, number: int, action: events.Action) -> None:
        """Pass on an answer, and count refusals for shards that are not available."""
        detail = action.error.detail if isinstance(action, events.Refuse) else ""
        if availability.UNAVAILABLE in detail:
            kind = self._callers.kind_of(number)
            self.unavailable_refusals += 1
            self.false_refusals += self._can_serve(zone, kind)
        self._callers.handle_answer(number, action)

    def _can_serve(self, zone: str, kind: environment.Kind) -> bool:
        """Return whether enough shards have an upstream that works, slow or not."""
        working = {
            each.id.rpartition("-")[0]
            for each in self.upstreams_by_id.values()
            if each.state is upstreams.State.UP
            and not self.is_partitioned(zone, each.zone)
        }
        services = self.services_by_kind[kind.name]
        count = len(working.intersection(services))
        return count >= (kind.least_coverage * len(services) if kind.is_sweep else 1)

    def _deliver_event(self, each: host.Host, event: events.Event) -> None:
        if each.is_up:
            each.step(event)

    def _create_upstreams(self) -> None:
        rng = randomness.stream(self._seed, "places")
        upstream_rng = randomness.HostRng(
            generator=randomness.stream(self._seed, "places", 1)
        )
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
                        draw=upstream_rng.random,
                    )
                    self.upstreams_by_id[upstream.id] = upstream
        for kind in self.declared.kinds:
            (service,) = [
                each for each in self.declared.services if each.name == kind.service
            ]
            names = [f"{service.name}-{shard}" for shard in range(service.shards)]
            self.services_by_kind[kind.name] = names

    def _build_entry(
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

    def _build_table(self) -> routes.RoutingTable:
        table_routes = []
        for kind in self.declared.kinds:
            names = self.services_by_kind[kind.name]
            weighted = tuple(
                routes.WeightedService(service=name, weight=1.0) for name in names
            )
            table_routes.append(
                routes.Route(
                    name=kind.name,
                    host=callers.VIRTUAL_HOST,
                    path_prefix=f"/{kind.name}/",
                    shards=tuple(names) if kind.is_sweep else (),
                    services=() if kind.is_sweep else weighted,
                    is_idempotent=kind.is_idempotent,
                    attempts=kind.attempts,
                    timeout=kind.deadline_ms / 1000,
                    objective=kind.objective_ms / 1000,
                    priority=kind.priority,
                    top_records=10,
                    min_coverage=kind.least_coverage,
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
            routes=table_routes,
            limits_by_service=limits,
            caller_limits=routes.CallerLimits(),
        )

    def _create_hosts(self) -> list[host.Host]:
        hosts = []
        for zone, count in sorted(self.declared.hosts_by_zone.items()):
            for number in range(count):
                generator = randomness.stream(self._seed, "hosts", len(hosts))
                answers = randomness.stream(self._seed, "links", 1 + len(hosts))
                hosts.append(
                    host.Host(
                        id=f"{zone}-{number}",
                        zone=zone,
                        declared=self.declared,
                        upstreams_by_id=self.upstreams_by_id,
                        network=self,
                        on_answer=functools.partial(self._handle_answer, zone),
                        work_of=self._callers.work_of,
                        on_arrival=self._callers.record_arrival,
                        on_outlier=self.handle_outlier,
                        on_decision=self._record_decision,
                        enabled_mechanisms=self._enabled_mechanisms,
                        loop=self.loop,
                        rng=randomness.HostRng(generator=generator),
                        answer_rng=randomness.HostRng(generator=answers),
                    )
                )
        return hosts

    def _summarize(self) -> outcomes.Result:
        runs = sum(each.runs for each in self.upstreams_by_id.values())
        minimum_runs = sum(
            len(self.services_by_kind[each.kind.name]) if each.kind.is_sweep else 1
            for each in self.callers
        )
        return outcomes.summarize(
            self.callers,
            environment=self.declared.name,
            day=self.day.name,
            seed=self._seed,
            extra_load=round(runs / max(1, minimum_runs) - 1.0, 4),
            connections=sum(each.opened_connections for each in self.hosts),
            chosen=self._decision_log.summarize(),
            refusals=self._callers.refusals,
            held_refusals=self._callers.held_refusals,
            mean_hold_ms=round(
                1000 * self._callers.held_s / max(1, self._callers.refusals), 1
            ),
            unavailable_refusals=self.unavailable_refusals,
            false_refusals=self.false_refusals,
        )
