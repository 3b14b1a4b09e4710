"""Steps about usage caps: the pure parts and the simulation of many hosts."""

import dataclasses
import random

import behave
import hypothesis
from hypothesis import strategies

from fakes import usage_cap_members, usage_cap_simulation
from greengagehaven.coordination.shared_budgets import (
    demand_shares,
    report_forwarding,
    report_schedule,
    report_sums,
)
from greengagehaven.protocol import usage_caps
from greengagehaven.state import teams

START = 100.0
SEED = 7
LARGEST_SEED = 10**6
CAPS = usage_cap_members.CAPS


def usage(requests, *, team="t"):
    return usage_caps.TeamUsage(
        team=team, offered=requests, admitted=requests, recent=0
    )


def report(host_id, requests, *, run="1", sequence=1):
    return usage_caps.UsageReport(
        host_id=host_id, run=run, sequence=sequence, teams=(usage(requests),)
    )


def totals(requests, *, hosts=10, is_settled=True):
    return usage_caps.UsageTotals(
        hosts=hosts, is_settled=is_settled, teams=(usage(requests),)
    )


@behave.given(
    "{hosts:d} hosts and a team with {rate:d} requests per second and a burst of "
    "{burst:d}"
)
def given_hosts(context, hosts, rate, burst):
    context.case = {"hosts": hosts, "rate": float(rate), "burst": float(burst)}


def run_case(context, **changed):
    case = usage_cap_simulation.Case(seed=SEED, **context.case, **changed)
    context.result = usage_cap_simulation.Simulation(case).run()


@behave.when("it sends seven times its usual rate for 6.5 s over all hosts")
def when_flood(context):
    run_case(context, pattern="flood", place="all")


@behave.when("it sends {pattern} over {place} hosts while the fault is {fault}")
def when_fault(context, pattern, place, fault):
    run_case(context, pattern=pattern, place=place, fault=fault)


@behave.then("no window exceeds the tolerance")
def then_not_over(context):
    assert context.result.over <= 1e-9, context.result


@behave.then("no request within the limit is refused")
def then_none_refused(context):
    assert context.result.refused_within == 0, context.result


@behave.then("at most {count:d} requests within the limit are refused")
def then_few_refused(context, count):
    assert context.result.refused_within <= count, context.result


@behave.then("in {count:d} random cases with {faults} both bounds hold")
def then_random_cases(context, count, faults):
    allowed = faults.split(" or ")
    if faults == "any fault":
        allowed = usage_cap_simulation.FAULTS

    @hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.integers(0, LARGEST_SEED))
    def check(seed):
        case = usage_cap_simulation.random_case(seed)
        hypothesis.assume(case.fault in allowed)
        result = usage_cap_simulation.Simulation(case).run()
        assert result.over <= 1e-9, (case, result)
        assert result.refused_within == 0, (case, result)

    check()


@behave.then("the cases with seeds {seeds} stay within both bounds")
def then_cases(context, seeds):
    assert_within(seeds)


@behave.then("the cases without power with seeds {seeds} stay within both bounds")
def then_cases_without_power(context, seeds):
    assert_within(seeds, loses_power=True)


@behave.then("the overlapping cases with seeds {seeds} stay within both bounds")
def then_overlapping_cases(context, seeds):
    assert_within(seeds, make_case=usage_cap_simulation.overlapping_case)


def assert_within(seeds, *, make_case=usage_cap_simulation.random_case, **changed):
    failed = []
    for seed in map(int, seeds.split(",")):
        case = dataclasses.replace(make_case(seed), **changed)
        result = usage_cap_simulation.Simulation(case).run()
        if result.over > 1e-9 or result.refused_within:
            failed.append((case, result))
    assert not failed, failed


def make_host(context, *, limit, hosts):
    caps = CAPS
    context.team = teams.Team(id="t", rate=limit / caps.window)
    context.shares = demand_shares.DemandShares(caps=caps, rng=random.Random(SEED))
    context.shares.set_host_count(hosts)
    context.now = START


@behave.given(
    "a host without totals among {hosts:d} hosts and a team with a limit of "
    "{limit:d} requests"
)
def given_no_totals(context, hosts, limit):
    make_host(context, limit=limit, hosts=hosts)


@behave.given("a host alone and a team with a limit of {limit:d} requests")
def given_alone(context, limit):
    make_host(context, limit=limit, hosts=1)
    context.shares.apply_totals(totals(0), sent_at=START, now=START)


@behave.given(
    "a host whose totals show {count:d} requests of a team with a limit of "
    "{limit:d} elsewhere"
)
def given_totals(context, count, limit):
    make_host(context, limit=limit, hosts=10)
    context.shares.apply_totals(totals(count), sent_at=START, now=START)


@behave.when("a control host that has just started reports none elsewhere")
def when_unsettled(context):
    reply = totals(0, is_settled=False)
    assert not context.shares.apply_totals(reply, sent_at=START + 0.1, now=START + 0.2)


@behave.when("a control host that covers {hosts:d} hosts reports none elsewhere")
def when_few_covered(context, hosts):
    reply = totals(0, hosts=hosts)
    assert not context.shares.apply_totals(reply, sent_at=START + 0.1, now=START + 0.2)


@behave.when("it offers {count:d} requests")
def when_offered(context, count):
    context.delays = [
        context.shares.try_admit(context.team, context.now) for _ in range(count)
    ]


@behave.then("{count:d} of them are admitted")
def then_admitted(context, count):
    assert context.delays.count(None) == count, context.delays.count(None)


@behave.then("refused callers that return as told are admitted")
def then_return(context):
    delays = sorted(delay for delay in context.delays if delay is not None)
    assert delays
    assert len(set(delays)) == len(delays), delays
    for delay in delays:
        now = context.now + delay
        context.shares.apply_totals(totals(0), sent_at=now, now=now)
        again = context.shares.try_admit(context.team, now)
        assert again is None, (delay, context.shares.last_decision)


def make_control(context):
    context.now = START
    context.sums = report_sums.ReportSums(window=CAPS.window, started_at=0.0)


@behave.given(
    "a control host that got a report of host {host} with {count:d} requests from "
    "another one"
)
@behave.given("a control host that got a report of host {host} with {count:d} requests")
def given_report(context, host, count):
    make_control(context)
    context.sums.add(report(host, count, sequence=2), context.now)


@behave.when("host {host:w} reports {count:d} requests to it")
def when_reported(context, host, count):
    context.sums.add(report(host, count, sequence=3), context.now + 0.1)


@behave.when("host {host:w} restarts and reports {count:d} requests to it")
def when_restarted(context, host, count):
    context.sums.add(report(host, count, run="2"), context.now + 0.1)


@behave.when("an older report of host {host:w} arrives")
def when_old(context, host):
    context.sums.add(report(host, 1, sequence=1), context.now + 0.1)


def counted_for(context, host, now):
    asked = usage_caps.UsageReport(host_id=host, run="1", sequence=0, teams=(usage(0),))
    (team,) = context.sums.totals_for(asked, now).teams
    return team.offered


@behave.then("{count:d} requests are counted for host {host:w}")
def then_counted(context, count, host):
    counted = counted_for(context, host, context.now)
    assert counted == count, counted


@behave.then(
    "{count:d} requests are counted for host {host:w} after {seconds:d} seconds of "
    "reports"
)
def then_counted_later(context, count, host, seconds):
    now = context.now + seconds
    context.sums.add(report("h1", count, run="2", sequence=9), now)
    context.sums.expire(now)
    assert counted_for(context, host, now) == count


@behave.given(
    "a control host that got reports of {hosts:d} hosts with {count:d} requests each"
)
def given_reports(context, hosts, count):
    make_control(context)
    context.host_ids = [f"h{number}" for number in range(hosts)]
    context.count = count
    for host_id in context.host_ids:
        context.sums.add(report(host_id, count), context.now)


@behave.when("{count:d} of the hosts are silent for {seconds:d} seconds")
def when_silent(context, count, seconds):
    pass_silent(context, count, seconds, apart=0.0)


@behave.when(
    "{count:d} of the hosts are silent for {seconds:d} seconds, the last reports "
    "{apart:g} s apart"
)
def when_silent_one_by_one(context, count, seconds, apart):
    pass_silent(context, count, seconds, apart=apart)


def pass_silent(context, count, seconds, *, apart):
    for number, host_id in enumerate(context.host_ids[:count]):
        last = report(host_id, context.count, sequence=2)
        context.sums.add(last, START + number * apart)
    for step in range(1, seconds * 5 + 1):
        context.now = START + step / 5
        for host_id in context.host_ids[count:]:
            newer = report(host_id, context.count, sequence=2 + step)
            context.sums.add(newer, context.now)
        context.sums.expire(context.now)


@behave.given("a control host that forwarded reports of {hosts:d} hosts to another one")
def given_forwarded(context, hosts):
    context.forwarder = report_forwarding.ReportForwarder(window=5.0)
    context.forwarder.set_addresses(("other",))
    context.forwarder.record_reply("other", "run-1")
    for number in range(hosts):
        context.forwarder.add(report(f"h{number}", 1), START, connection=str(number))
    assert len(context.forwarder.take("other")) == hosts


@behave.when("the other one replies with the id of a new run")
def when_new_run(context):
    context.forwarder.record_reply("other", "run-1")
    assert not context.forwarder.has_unsent
    context.forwarder.record_reply("other", "run-2")


@behave.then("{count:d} reports wait to be forwarded")
def then_waiting(context, count):
    assert len(context.forwarder.take("other")) == count


@behave.given("an entry host with a team near its target that sent a report")
def given_reported(context):
    context.schedule = report_schedule.ReportSchedule()
    context.schedule.targets(("c0",), ("c1", "c2"), START)
    context.schedule.on_sent(START, has_usage=True, is_near_target=True)


@behave.when("no reply arrives")
def when_no_reply(context):
    assert not context.schedule.is_due(START + 0.04)


@behave.then("the next report is due after 50 ms")
def then_due(context):
    assert context.schedule.is_due(START + 0.051)


@behave.when("no reply arrives for {seconds:g} seconds")
def when_no_reply_for(context, seconds):
    context.now = START + seconds


@behave.then("the next report goes to the followed control host and to another one")
def then_two_targets(context):
    targets = context.schedule.targets(("c0",), ("c1", "c2"), context.now)
    assert targets[0] == "c0" and len(set(targets)) == 2, targets


@behave.given(
    "a control host whose report of host {host} has {count:d} requests admitted "
    "{seconds:d} seconds before"
)
def given_admitted_before(context, host, count, seconds):
    make_control(context)
    by_age = [0] * usage_caps.AGE_SLOTS
    by_age[seconds * usage_caps.AGE_SLOTS // int(CAPS.window)] = count
    refused = 10
    admitted = usage_caps.TeamUsage(
        team="t",
        offered=count + refused,
        admitted=count,
        recent=refused,
        admitted_by_age=tuple(by_age),
    )
    sent = usage_caps.UsageReport(host_id=host, run="1", sequence=2, teams=(admitted,))
    context.sums.add(sent, context.now)


@behave.then(
    "{count:d} admitted requests are counted for host {host:w} after {seconds:g} "
    "seconds"
)
def then_admitted_later(context, count, host, seconds):
    now = context.now + seconds
    context.sums.expire(now)
    asked = usage_caps.UsageReport(host_id=host, run="1", sequence=0, teams=(usage(0),))
    (team,) = context.sums.totals_for(asked, now).teams
    assert team.admitted == count, team


def report_rate(context, host_id, window_count, per_second, now):
    """Report requests in the window, the recent ones at a rate."""
    context.sequences[host_id] = context.sequences.get(host_id, 0) + 1
    recent = round(per_second * usage_caps.RECENT_S)
    counts = usage_caps.TeamUsage(
        team="t", offered=window_count, admitted=window_count, recent=recent
    )
    sent = usage_caps.UsageReport(
        host_id=host_id,
        run="1",
        sequence=context.sequences[host_id],
        teams=(counts,),
    )
    context.sums.add(sent, now)


@behave.given(
    "a control host that got reports of {hosts:d} hosts with {rate:d} requests per "
    "second each"
)
@behave.given(
    "a control host that got reports of {hosts:d} hosts with {rate:d} request per "
    "second each"
)
def given_rates(context, hosts, rate):
    make_control(context)
    context.sequences = {}
    context.host_ids = [f"h{number}" for number in range(hosts)]
    context.rate = rate
    for step in range(10):
        context.now = START + step * report_schedule.PERIOD_S
        for host_id in context.host_ids:
            report_rate(context, host_id, rate * 5, rate, context.now)
        context.sums.expire(context.now)


def pass_rate(context, host_ids, rate, seconds):
    """Let hosts get requests at another rate, while the others are silent."""
    start = context.now
    for step in range(1, round(seconds / report_schedule.PERIOD_S) + 1):
        elapsed = step * report_schedule.PERIOD_S
        context.now = start + elapsed
        count = round(context.rate * (5 - elapsed) + rate * elapsed)
        for host_id in host_ids:
            report_rate(context, host_id, count, rate, context.now)
        context.sums.expire(context.now)


@behave.when(
    "the first host is killed and its callers use the second for {seconds:d} seconds"
)
def when_killed(context, seconds):
    pass_rate(context, context.host_ids[1:], 2 * context.rate, seconds)


@behave.when(
    "{count:d} of them are cut off and the others get {rate:d} requests per second "
    "each for {seconds:d} seconds"
)
def when_flooded(context, count, rate, seconds):
    pass_rate(context, context.host_ids[count:], rate, seconds)


def counted_over_all(context):
    return counted_for(context, "none", context.now)


@behave.then("no more than {count:d} requests are counted over both")
def then_at_most(context, count):
    counted = counted_over_all(context)
    assert counted <= count * 1.1, counted


@behave.then("at least {count:d} requests are counted over all")
def then_at_least(context, count):
    counted = counted_over_all(context)
    assert counted >= count, counted
