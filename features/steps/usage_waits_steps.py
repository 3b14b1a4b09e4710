"""Steps for requests that wait for newer usage totals."""

import behave

from greengagehaven.coordination.routing import events
from greengagehaven.protocol import usage_caps
from greengagehaven.state import routes, teams


def apply_totals(context, offered, *, sent_at, leaving=0):
    usage = usage_caps.TeamUsage(
        team="t", offered=offered, admitted=offered, recent=0, leaving=leaving
    )
    totals = usage_caps.UsageTotals(hosts=9, is_settled=True, teams=(usage,))
    now = context.tier.clock.monotonic()
    shares = context.tier.router.usage_limit.shares
    assert shares.apply_totals(totals, sent_at=sent_at, now=now)
    context.tier.step(events.UsageTotalsReceived(sent_at=sent_at))


@behave.given(
    "other hosts were offered {offered:d} requests, of which {leaving:d} leave the "
    "window soon"
)
def given_others(context, offered, leaving):
    now = context.tier.clock.monotonic()
    apply_totals(context, offered, sent_at=now, leaving=leaving)


@behave.when("the team sends {count:d} requests with {ms:d} ms left")
def when_sent(context, count, ms):
    context.tier.clock.advance(0.01)
    context.numbers = [
        context.tier.request("/sweep/x", time_left=ms / 1000, key_digest="d")
        for _ in range(count)
    ]


@behave.when("newer totals count {offered:d} requests at other hosts")
def when_newer(context, offered):
    apply_totals(context, offered, sent_at=context.tier.clock.monotonic())


@behave.when(
    "totals that are older than the request count {offered:d} requests at other hosts"
)
def when_older(context, offered):
    apply_totals(context, offered, sent_at=context.tier.clock.monotonic() - 0.005)


@behave.when("{ms:d} ms pass")
def when_passed(context, ms):
    context.tier.advance_clock(ms / 1000)


@behave.when("the caller of the second leaves")
def when_left(context):
    context.tier.step(events.RequestAbandoned(number=context.numbers[1]))


@behave.when("the table is replaced by one without the team's key")
def when_key_gone(context):
    table = context.tier.router.table
    team = teams.Team(id="t", key_digests=("other",), rate=2.0)
    context.tier.apply_routing_table(
        routes.RoutingTable(
            number=table.number + 1,
            routes=table.routes,
            limits_by_service=table.limits_by_service,
            caller_limits=table.caller_limits,
            teams=teams.TeamDirectory((team,)),
        )
    )


@behave.then("the first is sent, and the second waits")
def then_waits(context):
    first, second = context.numbers
    assert context.tier.attempts_of(first)
    assert_waiting(context, second)


@behave.then("the second still waits")
def then_still_waits(context):
    assert_waiting(context, context.numbers[1])


def assert_waiting(context, number):
    assert not context.tier.attempts_of(number)
    assert number not in context.tier.final_actions_by_number


@behave.then("the second is sent")
def then_sent(context):
    assert context.tier.attempts_of(context.numbers[1])


@behave.then("the {which} is refused with 429 and a time to retry")
def then_refused(context, which):
    number = context.numbers[{"second": 1, "last": -1}[which]]
    error = context.tier.final_actions_by_number[number].error
    assert error.status == 429, error
    assert error.retry_after > 0, error
    assert not context.tier.attempts_of(number)


@behave.then("the second is refused with 401")
def then_unauthorized(context):
    number = context.numbers[1]
    assert context.tier.final_actions_by_number[number].error.status == 401
    assert not context.tier.attempts_of(number)


@behave.then("the second is not sent, and only the first is in flight")
def then_forgotten(context):
    assert not context.tier.attempts_of(context.numbers[1])
    assert context.tier.router.in_flight == 1


@behave.then("the second is answered without a reply of an upstream")
def then_answered(context):
    action = context.tier.final_actions_by_number[context.numbers[1]]
    assert isinstance(action, events.Refuse), action
    assert context.tier.attempts_of(context.numbers[1])


@behave.when(
    "a request of another team with a limit of 20 waits too, and no totals come"
)
def when_two_wait(context):
    limit = context.tier.router.usage_limit
    now = context.tier.clock.monotonic()
    other = teams.Team(id="u", rate=4.0)
    for team, offered in (("t", 9), ("u", 19)):
        usage = usage_caps.TeamUsage(
            team=team, offered=offered, admitted=offered, recent=0, leaving=3
        )
        totals = usage_caps.UsageTotals(hosts=9, is_settled=True, teams=(usage,))
        limit.shares.apply_totals(totals, sent_at=now - 0.02, now=now)
        if team == "u":
            assert limit.check(other, number=900, max_wait=1.0)
            assert not limit.check(other, number=901, max_wait=1.0)
    context.outcomes = limit.waits.end_due(now + 1.0)


@behave.then("each refusal shows the limit of its own team")
def then_own_limits(context):
    limit = context.tier.router.usage_limit
    errors = [
        limit.refusal(
            each.team, each.decision, retry_after=each.retry_after, waited=each.waited
        )
        for each in context.outcomes
    ]
    shown = {error.log_fields["team"]: error.log_fields["limit"] for error in errors}
    assert shown == {"t": 10.0, "u": 20.0}, shown
