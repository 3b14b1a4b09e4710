"""Simulates a rollout at many entry hosts and counts what the bad version got."""

import dataclasses
import heapq
import itertools
import random

from fakes import routing
from greengagehaven import clock
from greengagehaven.coordination.rollouts import phases, report_pool
from greengagehaven.coordination.routing import events, request, upstreams, versions
from greengagehaven.protocol import rollouts

SERVICE = "shard-0"
OLD, NEW = "v1", "v2"
USUAL_LATENCY_S = 0.02
REPORT_INTERVAL_S = 0.25
MAX_UPDATE_DELAY_S = 0.3
DECISION_INTERVAL_S = 0.1
NEW_VERSION_START_S = 1.0
COLD_DURATION_S = 3.0
ROUTES = ("wide", "narrow")


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionBehavior:
    """How a version of the software answers.

    :param failure_share: share of the answers that are failures.
    :param slowdown: multiple of the usual latency, for ``slow_share`` of the answers.
    :param slow_share: share of the answers that are slow.
    :param bad_after_s: seconds after its start from which it is bad.
    :param bad_above_rate: requests a second to one upstream above which it is bad.
    :param route: the only route on which it is bad, empty for all.
    """

    failure_share: float = 0.0
    slowdown: float = 1.0
    slow_share: float = 1.0
    bad_after_s: float = 0.0
    bad_above_rate: float = 0.0
    route: str = ""

    @property
    def is_bad(self):
        return self.failure_share > 0 or self.slowdown > 1


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """What was counted until the duration of the rollout was over."""

    phase: rollouts.Phase = rollouts.Phase.CANARY
    ended_at: float = float("inf")
    requests: int = 0
    to_new_version: int = 0
    bad_answers: int = 0
    late_requests: int = 0
    left_at_old: int = 0

    def allowed(self, bound):
        """Return how many requests the new version may get."""
        return bound.share * self.requests + bound.slack


class Simulation:
    """Simulates hosts with the real policy and a service with its upstreams.

    :param rate: requests a second to the service, summed over all hosts.
    :param duration: seconds within which the rollout has to be done.
    :param slow_upstream: whether one upstream of the new version is slow.
    :param noisy: whether a tenth of the answers of both versions is slow.
    :param cut_off: share of the hosts that neither report nor get updates.
    """

    def __init__(
        self,
        *,
        software,
        hosts=66,
        rate=50.0,
        duration=12.0,
        slow_upstream=False,
        noisy=False,
        cut_off=0.0,
        seed=1,
    ):
        self.clock = clock.ManualClock()
        self.rng = random.Random(seed)
        self.software = software
        self.rate = rate
        self.slow_upstream = slow_upstream
        self.noisy = noisy
        self.bound = versions.ExposureLimit()
        self.rollout = rollouts.Rollout(
            service=SERVICE,
            version=NEW,
            duration_s=duration,
            ordered_at=0.0,
            number=7,
        )
        self.phase_since = 0.0
        self.pool = report_pool.ReportPool()
        self.outcome = Outcome()
        self.arrivals_by_upstream = {}
        self.answers_by_phase = {}
        self.fiftieth_bad_at = None
        self._sequence = itertools.count()
        self._queue = []
        self.hosts = [
            _Host(f"h-{number}", self, self.rng.random() < cut_off)
            for number in range(hosts)
        ]

    @property
    def now(self):
        return self.clock.monotonic()

    def schedule(self, due_at, call, *arguments):
        heapq.heappush(self._queue, (due_at, next(self._sequence), call, arguments))

    def run(self):
        self.start = self.now
        for host in self.hosts:
            host.policy.set_rollouts((self.rollout,))
            self.schedule(
                self.start + self.rng.uniform(0, REPORT_INTERVAL_S), host.report
            )
        self.schedule(self.start, self._request)
        self.schedule(self.start, self._decide)
        end = self.start + self.rollout.duration_s
        while self._queue and self._queue[0][0] <= end:
            due_at, _, call, arguments = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, due_at - self.now))
            call(*arguments)
        self.outcome.phase = self.rollout.phase
        return self.outcome

    def _request(self):
        self.schedule(self.now + self.rng.expovariate(self.rate), self._request)
        self.rng.choice(self.hosts).send(self.rng.choice(ROUTES))

    def _decide(self):
        self.schedule(self.now + DECISION_INTERVAL_S, self._decide)
        if self.rollout.phase.is_final:
            return
        elapsed = self.now - self.start
        host_ids = [host.id for host in self.hosts]
        verdict = self.pool.verdict(self.rollout)
        answers_before = self.answers_by_phase.setdefault(
            self.rollout.phase, verdict.answers
        )
        view = phases.RolloutView(
            seconds_since_order=elapsed,
            seconds_in_phase=self.now - self.phase_since,
            pooled_for=elapsed,
            answers_in_phase=verdict.answers - answers_before,
            verdict=verdict,
            target_slots=6 if elapsed > NEW_VERSION_START_S + COLD_DURATION_S else 0,
            other_slots=6,
            unconfirmed=len(
                self.pool.unconfirmed_hosts(self.rollout, host_ids, self.now)
            ),
        )
        step = phases.next_transition(self.rollout, view)
        if step is None:
            return
        self.phase_since = self.now
        self.rollout = rollouts.Rollout(
            service=SERVICE,
            version=NEW,
            duration_s=self.rollout.duration_s,
            ordered_at=0.0,
            number=7,
            phase=step.phase,
        )
        if step.phase.is_final:
            self.outcome.ended_at = elapsed
        if step.phase is rollouts.Phase.DONE:
            self.outcome.left_at_old = sum(
                host.in_flight_by_version[OLD]
                for host in self.hosts
                if not host.is_cut_off
            )
        for host in self.hosts:
            if not host.is_cut_off:
                delay = self.rng.uniform(0.05, MAX_UPDATE_DELAY_S)
                self.schedule(
                    self.now + delay, host.policy.set_rollouts, (self.rollout,)
                )

    def count_request(self, chosen, host):
        """Count a request as the users' page does; return whether it goes badly."""
        self.outcome.requests += 1
        if chosen.entry.version == OLD:
            return False
        if not host.is_cut_off:
            self.outcome.to_new_version += 1
            is_late = (
                self.fiftieth_bad_at is not None
                and self.now - self.fiftieth_bad_at > 5.0
            )
            self.outcome.late_requests += is_late
        sent = self.arrivals_by_upstream.setdefault(chosen.entry.id, [])
        sent.append(self.now)
        rate = sum(self.now - moment < 1.0 for moment in sent)
        is_due = (
            self.now - self.start - NEW_VERSION_START_S >= self.software.bad_after_s
        )
        return is_due and rate > self.software.bad_above_rate

    def reply_of(self, chosen, route, is_bad):
        """Return the seconds that a reply takes and whether it is a success."""
        latency = USUAL_LATENCY_S * self.rng.lognormvariate(0.0, 0.35)
        if self.rng.random() < 0.04:
            latency += self.rng.uniform(0.0, 0.12)
        if self.noisy and self.rng.random() < 0.1:
            latency *= 6.0
        if self.slow_upstream and chosen.entry.id == "new-0":
            latency *= 6.0
        is_affected = is_bad and self.software.route in ("", route)
        if is_affected and self.rng.random() < self.software.failure_share:
            self._count_bad()
            return latency, False
        is_slowed = self.rng.random() < self.software.slow_share
        if is_affected and self.software.slowdown > 1 and is_slowed:
            self._count_bad()
            latency *= self.software.slowdown
        return latency, True

    def _count_bad(self):
        self.outcome.bad_answers += 1
        if self.outcome.bad_answers == 50:
            self.fiftieth_bad_at = self.now


class _Host:
    def __init__(self, id, simulation, is_cut_off):
        self.id = id
        self.simulation = simulation
        self.is_cut_off = is_cut_off
        self.sent_at = []
        self.in_flight_by_version = {OLD: 0, NEW: 0}
        self.sequence = 0
        self.last_contact_at = simulation.now
        self.policy = versions.VersionSelector(
            exposure_limit=simulation.bound,
            demand=self._demand,
            clock=simulation.clock,
            rng=random.Random(simulation.rng.random()),
        )
        self.known_upstreams = [
            _upstream(f"old-{n}", OLD, 1, simulation.now) for n in range(3)
        ]
        simulation.schedule(simulation.now + NEW_VERSION_START_S, self._add_new_version)

    def _add_new_version(self):
        now = self.simulation.now
        self.known_upstreams += [
            _upstream(f"new-{n}", NEW, 2, now, cold_ms=COLD_DURATION_S * 1000)
            for n in range(3)
        ]

    def _demand(self, _service):
        now = self.simulation.now
        self.sent_at = [moment for moment in self.sent_at if now - moment < 11.0]
        age = max(1.0, min(11.0, now + 10.0 - self.simulation.start))
        return len(self.simulation.hosts) * len(self.sent_at) / age

    def send(self, route):
        simulation = self.simulation
        if simulation.rollout.phase is not rollouts.Phase.DONE:
            usable_upstreams = self.known_upstreams
        else:
            usable_upstreams = [
                each for each in self.known_upstreams if each.entry.version == NEW
            ]
        self.sent_at.append(simulation.now)
        candidates = self.policy.candidates(SERVICE, usable_upstreams)
        chosen = next(
            (simulation.rng.choice(group) for group in candidates if group), None
        )
        if chosen is None:
            return
        is_bad = simulation.count_request(chosen, self)
        latency, is_success = simulation.reply_of(chosen, route, is_bad)
        self.in_flight_by_version[chosen.entry.version] += 1
        attempt = _attempt(chosen, route, simulation.now)
        simulation.schedule(simulation.now + latency, self._end, attempt, is_success)

    def _end(self, attempt, is_success):
        self.in_flight_by_version[attempt.upstream.entry.version] -= 1
        status = 200 if is_success else 500
        reply = events.Replied(status=status, is_success=is_success)
        self.policy.record(attempt, reply)

    def report(self):
        simulation = self.simulation
        simulation.schedule(simulation.now + REPORT_INTERVAL_S, self.report)
        if self.is_cut_off:
            self.policy.set_acknowledged(simulation.now - self.last_contact_at < 1.5)
            return
        self.sequence += 1
        services = self.policy.reports(lambda _s, _v: self.in_flight_by_version[OLD])
        report = rollouts.RolloutReport(
            host_id=self.id, run="r", sequence=self.sequence, services=services
        )
        delay = simulation.rng.uniform(0.02, 0.15)
        simulation.schedule(
            simulation.now + delay, lambda: simulation.pool.add(report, simulation.now)
        )


def _upstream(upstream_id, version, incarnation, now, cold_ms=0):
    entry = routing.upstream_entry(
        upstream_id,
        SERVICE,
        incarnation=incarnation,
        cold_left_ms=cold_ms,
        version=version,
    )
    return upstreams.Upstream(entry=entry, now=now)


def _attempt(chosen, route, now):
    routed = request.RoutedRequest(
        number=1,
        request_id="r",
        fingerprint="f",
        route=dataclasses.replace(routing.sweep_route([SERVICE]), name=route),
        services=(SERVICE,),
        started_at=now,
        deadline=now + 1.0,
        answer_by=now + 0.1,
    )
    return request.Attempt(
        id=1,
        request=routed,
        shard=routed.shards[0],
        upstream=chosen,
        sent_at=now,
        typical_latency=USUAL_LATENCY_S,
    )
