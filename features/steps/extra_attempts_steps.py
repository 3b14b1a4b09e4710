"""Steps about the budget of extra attempts."""

import bisect

import behave

from greengagehaven import clock
from greengagehaven.coordination.routing import extra

SERVICE = "shard"
WINDOW_S = 10.0
UPTIME_S = 30.0
KEEP = 0.2


def start_hosts(context):
    context.hosts = []
    for _ in range(context.count):
        budget = extra.ExtraAttempts(
            ratio=context.ratio,
            burst=context.burst,
            window=WINDOW_S,
            clock=context.clock,
        )
        budget.set_hosts(context.count)
        context.hosts.append(budget)


@behave.given("{count:d} hosts share a burst of {burst:g} and a ratio of {ratio:g}")
def given_hosts(context, count, burst, ratio):
    context.count, context.burst, context.ratio = count, burst, ratio
    context.clock = clock.ManualClock()
    context.requests, context.spent = [], []
    context.spent_by_host = [[] for _ in range(count)]
    start_hosts(context)
    context.clock.advance(UPTIME_S)


@behave.when(
    "each gets {rate:d} request a second for {seconds:d} seconds and wants a hedge "
    "for each"
)
@behave.when(
    "each gets {rate:d} requests a second for {seconds:d} seconds and wants a hedge "
    "for each"
)
def when_hedges(context, rate, seconds):
    gap = 1.0 / rate / context.count
    for _ in range(rate * seconds):
        for index, budget in enumerate(context.hosts):
            now = context.clock.monotonic()
            budget.earn(SERVICE)
            context.requests.append(now)
            if budget.spend(SERVICE):
                context.spent.append(now)
                context.spent_by_host[index].append(now)
            context.clock.advance(gap)


@behave.when("all hosts are killed and start again")
def when_killed(context):
    start_hosts(context)


@behave.when("less urgent requests spend all that they may")
def when_less_urgent(context):
    (budget,) = context.hosts
    budget.earn(SERVICE)
    while budget.spend(SERVICE, keep=KEEP):
        pass


@behave.then("an urgent one still finds room")
def then_room(context):
    (budget,) = context.hosts
    assert budget.spend(SERVICE)


def held(moments, start, end):
    return bisect.bisect_right(moments, end) - bisect.bisect_right(moments, start)


@behave.then("no 10 seconds hold more extra attempts than the bound")
def then_bound(context):
    for end in context.spent:
        spent = held(context.spent, end - WINDOW_S, end)
        asked = held(context.requests, end - WINDOW_S, end)
        assert spent <= context.ratio * asked + context.burst, (end, spent, asked)


@behave.then(
    "each host has spent at least {least:d} in each of the last three {span:d} seconds"
)
def then_spent(context, least, span):
    now = context.clock.monotonic()
    for moments in context.spent_by_host:
        for start in (now - 3 * span, now - 2 * span, now - span):
            assert held(moments, start, start + span) >= least, moments
