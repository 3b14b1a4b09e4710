"""Steps about usage caps while a part of the hosts cannot be reached."""

import behave

from fakes import usage_cap_faults, usage_cap_members, usage_cap_simulation
from greengagehaven.coordination.shared_budgets import report_sums
from greengagehaven.protocol import usage_caps

SEED = 1
START = 100.0
CUT_AT = 6.0
CUT_S = 6.0
SECONDS = 15.0
SILENCE_S = 2.0
TICK_S = 0.1


@behave.when(
    "it floods them {seconds:g} s after a zone was cut off from {controls:d} control "
    "hosts"
)
def when_flood_in_partition(context, seconds, controls):
    case = usage_cap_simulation.Case(
        seed=SEED,
        controls=controls,
        flood_start=CUT_AT + seconds,
        faults=(
            usage_cap_faults.Fault(kind="zone_cut_off", start=CUT_AT, seconds=CUT_S),
        ),
        seconds=SECONDS,
        **context.case,
    )
    context.result = usage_cap_simulation.Simulation(case).run()


def report(context, number):
    """Let a host report a number of requests."""
    context.sequence += 1
    here, there = context.requests
    lost = number < context.lost
    offered = there if number == 0 and lost else here if number == 76 else 0
    usage = usage_caps.TeamUsage(team="t", offered=offered, admitted=offered, recent=0)
    context.report = usage_caps.UsageReport(
        host_id=f"h{number}",
        run=f"h{number}-1",
        sequence=context.sequence,
        teams=(usage,) if offered else (),
        known_hosts=context.hosts,
    )
    context.sums.add(context.report, context.now)


@behave.given(
    "a control host that heard {hosts:d} hosts with {here:d} and {there:d} requests of "
    "a team"
)
def given_heard(context, hosts, here, there):
    context.sums = report_sums.ReportSums(
        window=usage_cap_members.CAPS.window, started_at=START
    )
    context.hosts, context.requests = hosts, (here, there)
    context.sequence, context.now = 0, START + SILENCE_S


def lose(context, lost, *, has_lost_controls):
    """Let all hosts report twice, and then those that are not lost."""
    context.lost = lost
    for tick in range(round(SILENCE_S / TICK_S)):
        for number in range(0 if tick < 2 else lost, context.hosts):
            report(context, number)
        context.now += TICK_S
        context.sums.expire(
            context.now, has_lost_controls=has_lost_controls and tick > 2
        )


@behave.when("it loses contact with {lost:d} of the hosts and with other control hosts")
def when_partitioned(context, lost):
    lose(context, lost, has_lost_controls=True)


@behave.when("it loses contact with {lost:d} of the hosts")
def when_silent(context, lost):
    lose(context, lost, has_lost_controls=False)


@behave.when("one of the hosts reports to it again")
def when_reported_again(context):
    context.now += TICK_S
    report(context, 0)


@behave.then("a share of {share:g} of the team's limit is reserved")
def then_reserved(context, share):
    context.sequence += 1
    usage = usage_caps.TeamUsage(team="t", offered=1, admitted=1, recent=0)
    totals = context.sums.totals_for(
        usage_caps.UsageReport(
            host_id="asking", run="1", sequence=context.sequence, teams=(usage,)
        ),
        context.now,
    )
    (reserved,) = [each.reserved_permille for each in totals.teams if each.team == "t"]
    assert abs(reserved / 1000 - share) < 0.0006, reserved


@behave.then("its totals are not settled")
def then_not_settled(context):
    assert not context.sums.totals_for(context.report, context.now).is_settled
