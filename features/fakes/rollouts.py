"""A roll-out at many entry hosts in simulated time, with a judge of its own."""

import dataclasses
import heapq
import itertools
import random

from fakes import routing
from greengagehaven import clock
from greengagehaven.coordination.rollouts import phases, pooling
from greengagehaven.coordination.routing import events, request, upstreams, versions
from greengagehaven.protocol import rollouts

SERVICE = "shard-0"
OLD, NEW = "v1", "v2"
USUAL_S = 0.02
REPORT_S = 0.25
NEWS_S = 0.3
TICK_S = 0.1
START_S = 1.0
COLD_S = 3.0
ROUTES = ("wide", "narrow")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Software:
    """How a version answers.

    :param fails: share of the answers that are failures.
    :param slows: multiple of the usual latency, of ``slow_share`` of the answers.
    :param after: seconds since its start at which it turns bad.
    :param above: requests a second of one upstream above which it is bad.
    :param route: the only one on which it is bad, empty for all.
    """

    fails: float = 0.0
    slows: float = 1.0
    slow_share: float = 1.0
    after: float = 0.0
    above: float = 0.0
    route: str = ""

    @property
    def is_bad(self):
        return self.fails > 0 or self.slows > 1


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """What the judge counted until the time ordered was over."""

    phase: rollouts.Phase = rollouts.Phase.CANARY
    ended_at: float = float("inf")
    requests: int = 0
    exposed: int = 0
    bad: int = 0
    after_verdict: int = 0
    cut_off_by_stop: int = 0

    def allowed(self, bound):
        return bound.share * self.requests + bound.slack


class Play:
    """Hosts with the real policy around a service whose upstreams are simulated.

    :param rate: requests a second of the service, over all hosts.
    :param slow_upstream: whether one new upstream is slow by itself.
    :param cut_off: share of the hosts whose reports and news are lost.
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
        self.bound = versions.ExposureBound()
        self.rollout = rollouts.Rollout(
            service=SERVICE,
            version=NEW,
            duration_s=duration,
            ordered_at=0.0,
            number=7,
        )
        self.phase_at = 0.0
        self.pool = pooling.ReportPool()
        self.outcome = Outcome()
        self.arrivals_by_upstream = {}
        self.answers_by_phase = {}
        self.fiftieth_at = None
        self._order = itertools.count()
        self._queue = []
        self.hosts = [
            _Host(f"h-{n}", self, self.rng.random() < cut_off) for n in range(hosts)
        ]

    @property
    def now(self):
        return self.clock.monotonic()

    def at(self, moment, call, *arguments):
        heapq.heappush(self._queue, (moment, next(self._order), call, arguments))

    def run(self):
        self.start = self.now
        for host in self.hosts:
            host.policy.set_rollouts((self.rollout,))
            self.at(self.start + self.rng.uniform(0, REPORT_S), host.report)
        self.at(self.start, self._request)
        self.at(self.start, self._decide)
        end = self.start + self.rollout.duration_s
        while self._queue and self._queue[0][0] <= end:
            moment, _, call, arguments = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, moment - self.now))
            call(*arguments)
        self.outcome.phase = self.rollout.phase
        return self.outcome

    def _request(self):
        self.at(self.now + self.rng.expovariate(self.rate), self._request)
        self.rng.choice(self.hosts).send(self.rng.choice(ROUTES))

    def _decide(self):
        self.at(self.now + TICK_S, self._decide)
        if self.rollout.phase.is_final:
            return
        elapsed = self.now - self.start
        heard = [host.id for host in self.hosts]
        judged = self.pool.judge(self.rollout)
        before = self.answers_by_phase.setdefault(self.rollout.phase, judged.answers)
        view = phases.View(
            elapsed=elapsed,
            in_phase=self.now - self.phase_at,
            pooled_for=elapsed,
            answers_in_phase=judged.answers - before,
            judged=judged,
            target_slots=6 if elapsed > START_S + COLD_S else 0,
            other_slots=6,
            unconfirmed=len(self.pool.unconfirmed(self.rollout, heard, self.now)),
        )
        step = phases.next_step(self.rollout, view)
        if step is None:
            return
        self.phase_at = self.now
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
            self.outcome.cut_off_by_stop = sum(
                host.in_flight_by_version[OLD]
                for host in self.hosts
                if not host.is_cut_off
            )
        for host in self.hosts:
            if not host.is_cut_off:
                delay = self.rng.uniform(0.05, NEWS_S)
                self.at(self.now + delay, host.policy.set_rollouts, (self.rollout,))

    def note_sent(self, chosen, host):
        """Count a request as the users' page does; return whether it goes badly."""
        self.outcome.requests += 1
        if chosen.entry.version == OLD:
            return False
        if not host.is_cut_off:
            self.outcome.exposed += 1
            late = self.fiftieth_at is not None and self.now - self.fiftieth_at > 5.0
            self.outcome.after_verdict += late
        sent = self.arrivals_by_upstream.setdefault(chosen.entry.id, [])
        sent.append(self.now)
        rate = sum(self.now - moment < 1.0 for moment in sent)
        is_late = self.now - self.start - START_S >= self.software.after
        return is_late and rate > self.software.above

    def reply_of(self, chosen, route, is_bad):
        """Return seconds and success of a reply."""
        took = USUAL_S * self.rng.lognormvariate(0.0, 0.35)
        if self.rng.random() < 0.04:
            took += self.rng.uniform(0.0, 0.12)
        if self.noisy and self.rng.random() < 0.1:
            took *= 6.0
        if self.slow_upstream and chosen.entry.id == "new-0":
            took *= 6.0
        concerned = is_bad and self.software.route in ("", route)
        if concerned and self.rng.random() < self.software.fails:
            self._count_bad()
            return took, False
        is_slowed = self.rng.random() < self.software.slow_share
        if concerned and self.software.slows > 1 and is_slowed:
            self._count_bad()
            took *= self.software.slows
        return took, True

    def _count_bad(self):
        self.outcome.bad += 1
        if self.outcome.bad == 50:
            self.fiftieth_at = self.now


class _Host:
    def __init__(self, id, play, is_cut_off):
        self.id = id
        self.play = play
        self.is_cut_off = is_cut_off
        self.sent_at = []
        self.in_flight_by_version = {OLD: 0, NEW: 0}
        self.sequence = 0
        self.heard_at = play.now
        self.policy = versions.Versions(
            bound=play.bound,
            demand=self._demand,
            clock=play.clock,
            rng=random.Random(play.rng.random()),
        )
        self.known = [_upstream(f"old-{n}", OLD, 1, play.now) for n in range(3)]
        play.at(play.now + START_S, self._meet_new)

    def _meet_new(self):
        now = self.play.now
        self.known += [
            _upstream(f"new-{n}", NEW, 2, now, cold_ms=COLD_S * 1000) for n in range(3)
        ]

    def _demand(self, _service):
        now = self.play.now
        self.sent_at = [moment for moment in self.sent_at if now - moment < 11.0]
        age = max(1.0, min(11.0, now + 10.0 - self.play.start))
        return len(self.play.hosts) * len(self.sent_at) / age

    def send(self, route):
        play = self.play
        if play.rollout.phase is not rollouts.Phase.DONE:
            usable = self.known
        else:
            usable = [each for each in self.known if each.entry.version == NEW]
        self.sent_at.append(play.now)
        candidates = self.policy.candidates(SERVICE, usable)
        chosen = next((play.rng.choice(group) for group in candidates if group), None)
        if chosen is None:
            return
        is_bad = play.note_sent(chosen, self)
        took, is_success = play.reply_of(chosen, route, is_bad)
        self.in_flight_by_version[chosen.entry.version] += 1
        attempt = _attempt(chosen, route, play.now)
        play.at(play.now + took, self._end, attempt, is_success)

    def _end(self, attempt, is_success):
        self.in_flight_by_version[attempt.upstream.entry.version] -= 1
        status = 200 if is_success else 500
        reply = events.Replied(status=status, is_success=is_success)
        self.policy.record(attempt, reply)

    def report(self):
        play = self.play
        play.at(play.now + REPORT_S, self.report)
        if self.is_cut_off:
            self.policy.set_acknowledged(play.now - self.heard_at < 1.5)
            return
        self.sequence += 1
        services = self.policy.reports(lambda _s, _v: self.in_flight_by_version[OLD])
        report = rollouts.HostReport(
            host_id=self.id, run="r", sequence=self.sequence, services=services
        )
        delay = play.rng.uniform(0.02, 0.15)
        play.at(play.now + delay, lambda: play.pool.add(report, play.now))


def _upstream(upstream_id, version, incarnation, now, cold_ms=0):
    entry = routing.entry(
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
        started=now,
        deadline=now + 1.0,
        answer_by=now + 0.1,
    )
    return request.Attempt(
        id=1,
        request=routed,
        shard=routed.shards[0],
        upstream=chosen,
        sent_at=now,
        usual=USUAL_S,
    )
