"""Steps about the retry budget."""

import behave

from fakes import core as fake_core
from greengagehaven.coordination import options
from greengagehaven.protocol import upstream


@behave.given("a tier with three replicas of each of two services")
def given_services(context):
    core_options = options.Options(
        hedging=False, slow_start=False, ejection=False, quarantine=False
    )
    context.tier = fake_core.CoreHarness(core_options=core_options)
    context.tier.apply_announcements(
        *(
            fake_core.announce(
                f"u-{service}-{number}", shards=((service, 0, 1),), slots=4
            )
            for service in ("credits-0", "credits-1")
            for number in range(3)
        )
    )


@behave.given("5000 queries to the first service were answered")
def given_answered(context):
    for number in range(5000):
        context.tier.submit(f"quiet-{number}")
        for sub_request in list(context.tier.in_flight.values()):
            context.tier.reply(sub_request)
    assert len(context.tier.answers_by_id) == 5000
    context.tier.sent.clear()


@behave.when(
    "{count:d} queries go to the first service, whose upstreams reset every request"
)
def when_outage(context, count):
    context.request_ids = [f"r-{number}" for number in range(count)]
    for request_id in context.request_ids:
        context.tier.submit(request_id)
        while context.tier.in_flight:
            sub_request = next(iter(context.tier.in_flight.values()))
            context.tier.fail(sub_request, upstream.FailureReason.RESET)
        context.tier.advance(0.01)
    context.sent_count = len(context.tier.sent)


@behave.when("a query to the second service is reset once")
def when_second_fails(context):
    context.tier.submit("second", services=("credits-1",))
    first = context.tier.sent[-1]
    context.tier.fail(first, upstream.FailureReason.RESET)
    context.last_sent = context.tier.sent[-1]
    if context.last_sent.attempt != first.attempt:
        context.tier.reply(context.last_sent)


@behave.then("its upstreams got at most {count:d} sub-requests")
def then_within_budget(context, count):
    queries = len(context.request_ids)
    assert queries < context.sent_count <= count, context.sent_count


@behave.then("every one of those queries was refused")
def then_refused(context):
    refusals = context.tier.refusals_by_id
    assert all(each in refusals for each in context.request_ids)


@behave.then("that query is answered by another replica")
def then_answered(context):
    refusal = context.tier.refusals_by_id.get("second")
    assert "second" in context.tier.answers_by_id, refusal
