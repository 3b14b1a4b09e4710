"""Steps about the budget for extra attempts."""

import bisect
import random

import behave

from fakes import routing
from greengagehaven import clock, exceptions
from greengagehaven.coordination.routing import events, extra_attempt_budget
from greengagehaven.protocol import watching

SERVICE = "shard"
WINDOW_S = 10.0
UPTIME_S = 30.0
RESERVED_SHARE = 0.2


def start_hosts(context):
    context.hosts = []
    for _ in range(context.count):
        budget = extra_attempt_budget.ExtraAttemptBudget(
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
    context.requested_at, context.sent_at = [], []
    context.sent_at_by_host = [[] for _ in range(count)]
    start_hosts(context)
    context.clock.advance(UPTIME_S)


@behave.when(
    "each gets {rate:d} request a second for {seconds:d} seconds and tries to hedge "
    "each"
)
@behave.when(
    "each gets {rate:d} requests a second for {seconds:d} seconds and tries to hedge "
    "each"
)
def when_hedges(context, rate, seconds):
    gap = 1.0 / rate / context.count
    for _ in range(rate * seconds):
        for index, budget in enumerate(context.hosts):
            now = context.clock.monotonic()
            budget.record_request(SERVICE)
            context.requested_at.append(now)
            if budget.try_spend(SERVICE):
                context.sent_at.append(now)
                context.sent_at_by_host[index].append(now)
            context.clock.advance(gap)


@behave.when("all hosts are killed and restart")
def when_killed(context):
    start_hosts(context)


@behave.when("less urgent requests spend all the budget available to them")
def when_less_urgent(context):
    (budget,) = context.hosts
    budget.record_request(SERVICE)
    while budget.try_spend(SERVICE, reserve_share=RESERVED_SHARE):
        pass


@behave.then("budget is left for an urgent one")
def then_budget_left(context):
    (budget,) = context.hosts
    assert budget.try_spend(SERVICE)


def count_between(moments, start, end):
    return bisect.bisect_right(moments, end) - bisect.bisect_right(moments, start)


@behave.then("no 10 seconds contain more extra attempts than the limit")
def then_limit(context):
    for end in context.sent_at:
        spent = count_between(context.sent_at, end - WINDOW_S, end)
        requested = count_between(context.requested_at, end - WINDOW_S, end)
        assert spent <= context.ratio * requested + context.burst, (
            end,
            spent,
            requested,
        )


@behave.then(
    "each host sent at least {least:d} extra attempts in each of the last three "
    "periods of {span:d} seconds"
)
def then_each_sent(context, least, span):
    now = context.clock.monotonic()
    for moments in context.sent_at_by_host:
        for start in (now - 3 * span, now - 2 * span, now - span):
            assert count_between(moments, start, start + span) >= least, moments


@behave.when(
    "one of them needs {count:d} extra attempts at once and borrows what it lacks"
)
def when_one_needs(context, count):
    borrower, *lenders = context.hosts
    context.sent_count = 0
    for _ in range(count):
        context.sent_count += borrow_and_spend(context, borrower, lenders)


def borrow_and_spend(context, borrower, lenders):
    """Return whether a host may send an extra attempt, borrowing if necessary."""
    now = context.clock.monotonic()
    is_spent = borrower.try_spend(SERVICE)
    for lender in () if is_spent else lenders:
        if lender.try_lend(SERVICE):
            borrower.add_loan(
                SERVICE, 1, until=now + extra_attempt_budget.LOAN_LIFETIME_S
            )
            is_spent = borrower.try_spend(SERVICE)
            break
    if is_spent:
        context.sent_at.append(now)
    return is_spent


@behave.then("it can send at least {least:d} of them")
def then_can_send(context, least):
    assert context.sent_count >= least, context.sent_count


@behave.when(
    "each needs more than its share for {seconds:d} seconds and borrows from a random "
    "one"
)
def when_all_borrow(context, seconds):
    rng = random.Random(7)
    end = context.clock.monotonic() + seconds
    while (now := context.clock.monotonic()) < end:
        borrower, lender = rng.sample(context.hosts, 2)
        if rng.random() < 0.3:
            borrower.record_request(SERVICE)
            context.requested_at.append(now)
        if borrower.try_spend(SERVICE):
            context.sent_at.append(now)
        elif lender.try_lend(SERVICE) and rng.random() < 0.8:
            borrower.add_loan(
                SERVICE, 1, until=now + extra_attempt_budget.LOAN_LIFETIME_S
            )
            context.clock.advance(
                rng.choice((0.0, extra_attempt_budget.LOAN_LIFETIME_S))
            )
            if borrower.try_spend(SERVICE):
                context.sent_at.append(context.clock.monotonic())
        context.clock.advance(0.01)


@behave.when("one borrows an attempt and needs it after {seconds:f} seconds")
def when_loan_expired(context, seconds):
    borrower, lender = context.hosts
    borrower.record_request(SERVICE)
    while borrower.try_spend(SERVICE):
        pass
    assert lender.try_lend(SERVICE)
    until = context.clock.monotonic() + extra_attempt_budget.LOAN_LIFETIME_S
    borrower.add_loan(SERVICE, 1, until=until)
    context.clock.advance(seconds)


@behave.then("it has no budget for it")
def then_no_budget(context):
    assert not context.hosts[0].try_spend(SERVICE)


IDLE = events.Load(running=0, waiting=0, slots=2)
FULL = events.Load(running=2, waiting=9, slots=2)


def send_and_reject(context, count, load):
    """Send a sweep and reject its first attempts, each once it is sent."""
    context.number = context.tier.request("/sweep/1")
    for index in range(count):
        send = context.tier.attempts_of(context.number)[index]
        context.tier.answer_attempt(send, status=503, not_run=True, load=load)


@behave.when(
    "a sweep arrives and its first {count:d} attempts are rejected with free slots"
)
def when_rejected(context, count):
    send_and_reject(context, count, IDLE)


@behave.when(
    "a sweep arrives and its first {count:d} attempts are rejected with all slots taken"
)
def when_rejected_full(context, count):
    send_and_reject(context, count, FULL)


@behave.then(
    "its fifth attempt goes to an upstream that rejected it, and it is answered"
)
def then_fifth_answered(context):
    sends = context.tier.attempts_of(context.number)
    ids = [send.upstream_id for send in sends]
    assert len(ids) == 5 and len(set(ids)) == 3, ids
    context.tier.answer_attempt(sends[-1])
    ending = context.tier.final_actions_by_number[context.number]
    assert isinstance(ending, events.AnswerParts), ending


@behave.then("no further attempt is sent and the request is refused with incomplete")
def then_not_retried(context):
    assert len(context.tier.attempts_of(context.number)) == 3
    then_incomplete(context)


@behave.then("the request is refused with incomplete")
def then_incomplete(context):
    ending = context.tier.final_actions_by_number[context.number]
    assert isinstance(ending.error, exceptions.IncompleteError), ending


@behave.given(
    "a router without budget, in a zone with {others:d} other hosts, and a sweep over "
    "{shards:d} shards"
)
def given_zone(context, others, shards):
    names = [f"shard-{number}" for number in range(shards)]
    tier = routing.RouterHarness(host_id="h-0", burst=0.0, ratio=0.0)
    route = routing.sweep_route(names, least_coverage=0.75)
    tier.apply_routing_table(routing.routing_table(1, route))
    for name in names:
        tier.apply_upstream_entries(
            *(routing.upstream_entry(f"{name}-u{index}", name) for index in range(3))
        )
    hosts = tuple(
        watching.HostEntry(id=f"h-{number}", address=f"h-{number}:1")
        for number in range(others + 1)
    )
    tier.step(events.EntryHostsChanged(hosts=hosts))
    context.tier, context.shards = tier, shards


@behave.when("a sweep arrives and its first attempts are rejected with free slots")
def when_all_rejected(context):
    send_and_reject(context, context.shards, IDLE)
    context.tier.advance_clock(0.002)


@behave.then("one host is asked to lend for {count:d} shards at once")
def then_loan_requested(context, count):
    (context.loan,) = context.tier.borrowed
    assert len(context.loan.services) == count


def grant_loan(context, loan, count):
    until = context.tier.clock.monotonic() + extra_attempt_budget.LOAN_LIFETIME_S
    event = events.LoanReceived(
        number=loan.number, services=loan.services[:count], until=until
    )
    context.tier.step(event)
    context.tier.advance_clock(0.002)


@behave.when("it lends for {count:d} of them")
def when_lent(context, count):
    grant_loan(context, context.loan, count)


@behave.then(
    "{count:d} shards are retried, and another host is asked to lend for the fourth"
)
def then_retried(context, count):
    sends = context.tier.attempts_of(context.number)
    assert len(sends) == context.shards + count, sends
    _, second = context.tier.borrowed
    assert len(second.services) == 1
    for send in sends[context.shards :]:
        context.tier.answer_attempt(send)


@behave.when("no host lends for as long as a shard waits")
def when_no_answer(context):
    for _ in range(8):
        context.tier.advance_clock(0.01)


@behave.then("the request is answered with {count:d} parts")
def then_answered_with(context, count):
    ending = context.tier.final_actions_by_number[context.number]
    assert len(ending.attempts) == count, ending


@behave.when("each host that is asked to lend refuses")
def when_all_refuse(context):
    requested = 0
    while len(context.tier.borrowed) > requested:
        requested = len(context.tier.borrowed)
        grant_loan(context, context.tier.borrowed[-1], 0)
    assert requested == 3, requested


@behave.when(
    "a sweep arrives and {count:d} of its shards have no reply when they are hedged"
)
def when_stragglers(context, count):
    tier = context.tier
    context.number = tier.request("/sweep/1")
    for send in tier.attempts_of(context.number)[count:]:
        tier.answer_attempt(send)
    for _ in range(30):
        tier.advance_clock(0.002)


@behave.then("1 shard is hedged, and the sweep is answered with 3 parts in time")
def then_hedged(context):
    sends = context.tier.attempts_of(context.number)
    assert len(sends) == context.shards + 1, sends
    context.tier.answer_attempt(sends[-1])
    for _ in range(30):
        context.tier.advance_clock(0.002)
    then_answered_with(context, 3)


@behave.when("a sweep arrives, its first attempts are rejected and its caller leaves")
def when_caller_leaves(context):
    context.number = context.tier.request("/sweep/1")
    for send in list(context.tier.attempts_of(context.number)):
        context.tier.answer_attempt(send, status=503, not_run=True, load=IDLE)
    context.tier.step(events.RequestAbandoned(number=context.number))
    context.tier.advance_clock(0.5)


@behave.then("no host is asked to lend")
def then_none_asked(context):
    assert not context.tier.borrowed, context.tier.borrowed
