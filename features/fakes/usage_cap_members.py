"""Simulated entry hosts and control hosts that keep usage caps."""

import random

from greengagehaven.coordination.shared_budgets import (
    demand_shares,
    reply_waits,
    report_forwarding,
    report_schedule,
    report_sums,
    substitute_sums,
)
from greengagehaven.protocol import usage_caps

CAPS = demand_shares.CapSettings(window=5.0, overage=0.1, slack=20.0)
SWITCH_AFTER_S = 1.0
CLOSE_S = 0.001
FOLLOW_ALL_AFTER_S = 2.0


class SimulatedMember:
    """What hosts and control hosts have in common."""

    zone_side = 0

    def __init__(self, simulation, name, zone):
        self.simulation = simulation
        self.name, self.zone = name, zone
        self.run_count = 0
        self.frozen_until = 0.0
        self.is_down = False
        self.reset()

    @property
    def run(self):
        return f"{self.name}-{self.run_count}"

    def stop(self):
        self.is_down = True
        self.run_count += 1

    def restart(self):
        self.is_down = False
        self.reset()
        self.tick()


class SimulatedHost(SimulatedMember):
    """An entry host: admits requests and reports."""

    def reset(self):
        rng = random.Random(self.simulation.rng.randrange(2**32))
        self.shares = self.simulation.make_shares(rng)
        self.shares.set_host_count(self.simulation.case.hosts)
        self.sequence = 0
        self.followed = self.zone % len(self.simulation.controls)
        self.failing_since = None
        self.without_majority_since = None
        self.schedule = report_schedule.ReportSchedule()
        self.transit = 0.0
        self.planned_at = None
        self.waits = reply_waits.ReplyWaits(shares=self.shares)
        self.request_count = 0
        self.substitute_sums = substitute_sums.SubstituteSums(window=CAPS.window)

    def request(self):
        simulation = self.simulation
        if self.is_down:
            return
        if self.frozen_until > simulation.now:
            simulation.at(self.frozen_until - simulation.now, self.request)
            return
        simulation.offered.append(simulation.now)
        delay = self.shares.try_admit(simulation.team, simulation.now)
        if delay is not None and self.shares.may_be_wrong(
            simulation.team, simulation.now
        ):
            self.wait(delay)
        else:
            self.decide(is_admitted=delay is None)
        is_near = self.shares.is_near_target("t", simulation.now)
        self.schedule.on_request(is_near_target=is_near)
        self.plan_tick()

    def decide(self, *, is_admitted, waited=0.0):
        """Record a decision; a refusal is judged by the time of the arrival."""
        simulation = self.simulation
        if is_admitted:
            simulation.admitted.append(simulation.now)
        else:
            simulation.refused.append(simulation.now - waited)

    def wait(self, retry_after):
        """Let a refused request wait for newer totals."""
        simulation = self.simulation
        self.request_count += 1
        self.waits.add(
            self.request_count,
            simulation.team,
            simulation.now,
            retry_after=retry_after,
        )
        self.schedule.on_wait(simulation.now)
        run = self.run
        simulation.at(reply_waits.MAX_WAIT_S, lambda: self.end_waits(run))

    def end_waits(self, run):
        simulation = self.simulation
        if self.run != run:
            return
        if self.frozen_until > simulation.now:
            delay = self.frozen_until - simulation.now
            simulation.at(delay, lambda: self.end_waits(run))
            return
        self.record(self.waits.end_due(simulation.now))

    def record(self, outcomes):
        for outcome in outcomes:
            self.simulation.waits.append(outcome.waited)
            is_admitted = outcome.retry_after is None
            self.decide(is_admitted=is_admitted, waited=outcome.waited)

    def stop(self):
        self.refuse_waiting()
        if not self.simulation.case.loses_power:
            self.close_connections()
        super().stop()

    def close_connections(self):
        """Let control hosts notice that this process has ended."""
        simulation, run = self.simulation, self.run
        for control in simulation.controls:
            if not control.is_down and simulation.can_reach(self, control):
                simulation.at(CLOSE_S, lambda control=control: control.on_closed(run))

    def refuse_waiting(self):
        """Count requests that nobody will decide about any more as refused."""
        for _ in range(len(self.waits)):
            self.decide(is_admitted=False)
        self.waits = reply_waits.ReplyWaits(shares=self.shares)

    def freeze(self, seconds):
        self.frozen_until = self.simulation.now + seconds

    def plan_tick(self):
        moment = self.schedule.wake_at
        if self.planned_at is not None and self.planned_at <= moment:
            return
        self.planned_at = moment
        run = self.run
        delay = max(0.0, moment - self.simulation.now)
        self.simulation.at(delay, lambda: self.tick_at(moment, run))

    def tick_at(self, moment, run):
        if self.run == run and self.planned_at == moment:
            self.tick()

    def tick(self):
        simulation = self.simulation
        if self.is_down:
            return
        if self.frozen_until > simulation.now:
            simulation.at(self.frozen_until - simulation.now, self.tick)
            return
        self.planned_at = None
        if self.schedule.is_due(simulation.now):
            self.send_report()
        self.plan_tick()

    def send_report(self):
        now = self.simulation.now
        self.sequence += 1
        is_urgent = self.shares.is_near_target("t", now)
        report = usage_caps.UsageReport(
            host_id=self.name,
            run=self.run,
            sequence=self.sequence,
            is_urgent=is_urgent,
            teams=self.shares.reports(now),
            known_hosts=self.shares.known_hosts,
            age_ms=round(1000 * self.transit),
            address=self.name,
        )
        followed, others = self.followed_and_others()
        targets = self.schedule.targets(followed, others, now)
        self.schedule.on_sent(
            now, has_usage=bool(report.teams), is_near_target=is_urgent
        )
        for control in self.simulation.controls:
            if control.name in targets:
                self.send_to(control, report, now)
        substitutes = self.schedule.substitutes_due(now)
        for host in self.simulation.hosts:
            if host.name in substitutes:
                self.send_to_substitute(host, report, now)

    def followed_and_others(self):
        """Return the names of the control hosts that are followed, and of the others.

        All are followed once none that is reached has been in contact with a majority
        for some time.
        """
        names = [each.name for each in self.simulation.controls]
        if self.simulation.reaches_majority(self):
            self.without_majority_since = None
        elif self.without_majority_since is None:
            self.without_majority_since = self.simulation.now
        elif self.simulation.now - self.without_majority_since > FOLLOW_ALL_AFTER_S:
            return tuple(names), ()
        return (names.pop(self.followed),), names

    def send_to(self, control, report, sent_at):
        self.simulation.call(
            self,
            control,
            "handle",
            report,
            lambda reply: self.on_reply(reply, control, sent_at),
        )

    def send_to_substitute(self, host, report, sent_at):
        def on_reply(reply):
            if reply is not None:
                self.apply_totals(reply, sent_at, substitute=host.name)

        if host is self:
            on_reply(self.substitute_sums.add(report, sent_at))
        else:
            self.simulation.call(self, host, "handle_substitute", report, on_reply)

    def handle_substitute(self, report, respond):
        """Answer another host's report, or pass it on if a control host answers."""
        simulation = self.simulation

        def on_reply(reply):
            if reply is None:
                reply = self.substitute_sums.add(report, simulation.now)
            respond(reply)

        if self.schedule.is_without_controls(simulation.now):
            on_reply(None)
        else:
            followed, _ = self.followed_and_others()
            name = self.schedule.answering_control(followed, simulation.now)
            control = next(each for each in simulation.controls if each.name == name)
            simulation.call(self, control, "handle_relayed", report, on_reply)

    def on_reply(self, reply, control, sent_at):
        simulation = self.simulation
        is_followed = control is simulation.controls[self.followed]
        if reply is not None:
            self.transit = (simulation.now - sent_at) / 2
            self.schedule.record_unreachable(
                control.name, reply.unreachable, simulation.now
            )
            if reply.is_settled:
                self.schedule.substitutes = reply.substitutes
            self.apply_totals(reply, sent_at, control=control.name)
            if is_followed:
                self.failing_since = None
        elif not is_followed:
            return
        elif self.failing_since is None:
            self.failing_since = simulation.now
        elif simulation.now - self.failing_since > SWITCH_AFTER_S:
            self.followed = (self.followed + 1) % len(simulation.controls)
            self.failing_since = None

    def apply_totals(self, totals, sent_at, *, control="", substitute=""):
        now = self.simulation.now
        if self.shares.apply_totals(totals, sent_at=sent_at, now=now):
            self.schedule.on_reply(sent_at, control=control, substitute=substitute)
            self.record(self.waits.apply_totals(sent_at, now))


class SimulatedControl(SimulatedMember):
    """A control host: adds up reports and passes them on."""

    def reset(self):
        self.sums = report_sums.ReportSums(
            window=CAPS.window, started_at=self.simulation.now
        )
        self.forwarder = report_forwarding.ReportForwarder(window=CAPS.window)
        self.sent_at = 0.0
        self.transit = 0.0

    @property
    def others_by_name(self):
        return {
            each.name: each for each in self.simulation.controls if each is not self
        }

    def handle(self, report, respond):
        respond(self.totals_for(report, connection=report.run))

    def handle_relayed(self, report, respond):
        respond(self.totals_for(report, connection=""))

    def totals_for(self, report, *, connection):
        now = self.simulation.now
        if self.sums.add(report, now):
            self.forwarder.add(report, now, connection=connection)
            if report.is_urgent:
                due = self.sent_at + report_schedule.URGENT_PERIOD_S
                self.simulation.at(max(0.0, due - now), self.exchange)
        return self.sums.totals_for(report, now, unreachable=self.forwarder.unreachable)

    def on_closed(self, connection):
        now = self.simulation.now
        report = self.forwarder.end(connection, now)
        if report is not None:
            self.sums.add(report, now, has_ended=True)

    def handle_exchange(self, message, respond):
        self.sums.add_exchange(message, self.simulation.now)
        respond(usage_caps.UsageExchanged(run=self.run))

    def tick(self):
        if self.is_down:
            return
        if self.frozen_until > self.simulation.now:
            self.simulation.at(self.frozen_until - self.simulation.now, self.tick)
            return
        self.sums.expire(
            self.simulation.now, has_lost_controls=bool(self.forwarder.unreachable)
        )
        self.forwarder.expire(self.simulation.now)
        self.forwarder.set_addresses(self.others_by_name)
        self.exchange()
        self.simulation.at(report_schedule.PERIOD_S, self.tick)

    def exchange(self):
        now = self.simulation.now
        if self.is_down or self.frozen_until > now:
            return
        if now - self.sent_at < report_schedule.URGENT_PERIOD_S * 0.99:
            return
        self.sent_at = now
        for name, other in self.others_by_name.items():
            self.send(other, self.forwarder.take(name))

    def send(self, other, directs):
        if not directs:
            return
        sent_at = self.simulation.now

        def on_reply(reply):
            if reply is None:
                self.forwarder.restore(other.name, directs)
            else:
                self.transit = (self.simulation.now - sent_at) / 2
                self.forwarder.record_reply(other.name, reply.run)

        arrival = sent_at + self.transit
        message = report_forwarding.make_exchange(directs, arrival)
        self.simulation.call(self, other, "handle_exchange", message, on_reply)
