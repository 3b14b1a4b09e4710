"""Steps about the budget of extra attempts."""

import bisect
import random

import behave

from fakes import routing
from greengagehaven import clock, exceptions
from greengagehaven.coordination.routing import events, extra
from greengagehaven.protocol import watching

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


@behave.when(
    "one of them wants {count:d} extra attempts at once and borrows what it lacks"
)
def when_one_wants(context, count):
    borrower, *lenders = context.hosts
    context.got = 0
    for _ in range(count):
        context.got += borrow_and_spend(context, borrower, lenders)


def borrow_and_spend(context, borrower, lenders):
    """Return whether a host may send an extra attempt, by a loan if need be."""
    now = context.clock.monotonic()
    is_spent = borrower.spend(SERVICE)
    for lender in () if is_spent else lenders:
        if lender.lend(SERVICE):
            borrower.borrow(SERVICE, 1, until=now + extra.LOAN_S)
            is_spent = borrower.spend(SERVICE)
            break
    if is_spent:
        context.spent.append(now)
    return is_spent


@behave.then("it gets at least {least:d} of them")
def then_gets(context, least):
    assert context.got >= least, context.got


@behave.when(
    "each wants more than it has for {seconds:d} seconds and borrows from a random one"
)
def when_all_borrow(context, seconds):
    rng = random.Random(7)
    end = context.clock.monotonic() + seconds
    while (now := context.clock.monotonic()) < end:
        borrower, lender = rng.sample(context.hosts, 2)
        if rng.random() < 0.3:
            borrower.earn(SERVICE)
            context.requests.append(now)
        if borrower.spend(SERVICE):
            context.spent.append(now)
        elif lender.lend(SERVICE) and rng.random() < 0.8:
            borrower.borrow(SERVICE, 1, until=now + extra.LOAN_S)
            context.clock.advance(rng.choice((0.0, extra.LOAN_S)))
            if borrower.spend(SERVICE):
                context.spent.append(context.clock.monotonic())
        context.clock.advance(0.01)


@behave.when("one borrows an attempt and wants it after {seconds:f} seconds")
def when_late(context, seconds):
    borrower, lender = context.hosts
    borrower.earn(SERVICE)
    while borrower.spend(SERVICE):
        pass
    assert lender.lend(SERVICE)
    until = context.clock.monotonic() + extra.LOAN_S
    borrower.borrow(SERVICE, 1, until=until)
    context.clock.advance(seconds)


@behave.then("there is no room for it")
def then_no_room(context):
    assert not context.hosts[0].spend(SERVICE)


IDLE = events.Load(running=0, waiting=0, slots=2)
FULL = events.Load(running=2, waiting=9, slots=2)


def reject(context, count, load):
    """Reject the first attempts of a sweep, each once it is sent."""
    context.number = context.tier.request("/sweep/1")
    for place in range(count):
        send = context.tier.attempts_of(context.number)[place]
        context.tier.reply(send, status=503, not_run=True, load=load)


@behave.when(
    "a sweep arrives and its first {count:d} attempts are rejected with slots free"
)
def when_rejected(context, count):
    reject(context, count, IDLE)


@behave.when(
    "a sweep arrives and its first {count:d} attempts are rejected with all slots taken"
)
def when_rejected_full(context, count):
    reject(context, count, FULL)


@behave.then(
    "its fifth attempt goes to an upstream that rejected it, and it is answered"
)
def then_fifth(context):
    sends = context.tier.attempts_of(context.number)
    ids = [send.upstream_id for send in sends]
    assert len(ids) == 5 and len(set(ids)) == 3, ids
    context.tier.reply(sends[-1])
    ending = context.tier.endings_by_number[context.number]
    assert isinstance(ending, events.AnswerParts), ending


@behave.then("no further attempt is sent and the request is refused with incomplete")
def then_not_again(context):
    assert len(context.tier.attempts_of(context.number)) == 3
    then_incomplete(context)


@behave.then("the request is refused with incomplete")
def then_incomplete(context):
    ending = context.tier.endings_by_number[context.number]
    assert isinstance(ending.error, exceptions.IncompleteError), ending


@behave.given(
    "a router without any budget, in a zone with {others:d} others, and a sweep over "
    "{shards:d} shards"
)
def given_zone(context, others, shards):
    names = [f"shard-{number}" for number in range(shards)]
    tier = routing.RoutingTier(host_id="h-0", burst=0.0, ratio=0.0)
    route = routing.sweep_route(names, least_coverage=0.75)
    tier.put_table(routing.table(1, route))
    for name in names:
        tier.put(*(routing.entry(f"{name}-u{place}", name) for place in range(3)))
    hosts = tuple(
        watching.HostEntry(id=f"h-{number}", address=f"h-{number}:1")
        for number in range(others + 1)
    )
    tier.step(events.EntryHostsChanged(hosts=hosts))
    context.tier, context.shards = tier, shards


@behave.when("a sweep arrives and its first attempts are rejected with slots free")
def when_all_rejected(context):
    reject(context, context.shards, IDLE)
    context.tier.pass_time(0.002)


@behave.then("one host is asked to lend for {count:d} shards at once")
def then_asked(context, count):
    (context.loan,) = context.tier.borrowed
    assert len(context.loan.services) == count


def lend(context, loan, count):
    until = context.tier.clock.monotonic() + extra.LOAN_S
    came = events.LoanCame(
        number=loan.number, services=loan.services[:count], until=until
    )
    context.tier.step(came)
    context.tier.pass_time(0.002)


@behave.when("it lends for {count:d} of them")
def when_lent(context, count):
    lend(context, context.loan, count)


@behave.then(
    "{count:d} shards are asked again, and another host is asked for the fourth"
)
def then_again(context, count):
    sends = context.tier.attempts_of(context.number)
    assert len(sends) == context.shards + count, sends
    _, second = context.tier.borrowed
    assert len(second.services) == 1
    for send in sends[context.shards :]:
        context.tier.reply(send)


@behave.when("nothing is lent for as long as a shard waits")
def when_no_answer(context):
    for _ in range(8):
        context.tier.pass_time(0.01)


@behave.then("the request is answered with {count:d} parts")
def then_answered_with(context, count):
    ending = context.tier.endings_by_number[context.number]
    assert len(ending.attempts) == count, ending


@behave.when("each host that is asked lends nothing")
def when_nothing_lent(context):
    seen = 0
    while len(context.tier.borrowed) > seen:
        seen = len(context.tier.borrowed)
        lend(context, context.tier.borrowed[-1], 0)
    assert seen == 3, seen
