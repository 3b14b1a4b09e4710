"""Steps about splitting a service into more shards."""

import behave

from fakes import core as fake_core
from greengagehaven.protocol import upstream


@behave.given("a tier that is repartitioned from 2 to 3 shards during a sweep")
def given_repartitioned(context):
    tier = context.tier = fake_core.CoreHarness()
    for shard in (0, 1):
        shards = (("credits-0", shard, 2),)
        tier.apply_announcements(fake_core.announce(f"u-{shard}", shards=shards))
    tier.submit("r-1")
    context.old_sub_requests = list(tier.sent)
    for shard in (0, 1, 2):
        shards = (("credits-0", shard, 3),)
        tier.apply_announcements(
            fake_core.announce(f"u-{shard}", shards=shards, partitioning=2, sequence=2)
        )


@behave.given("the repartitioned tier loses shard 1 of the new partitioning")
def given_shard_lost(context):
    context.tier.withdraw("u-1")


@behave.when("the repartitioned tier gets a late reply from the old partitioning")
def when_late_reply(context):
    tier = context.tier
    answered, refused = context.old_sub_requests
    reason = upstream.FailureReason.WRONG_VERSION
    tier.fail(refused, reason, not_run=True)
    tier.reply(answered, b'"old"')
    for sub_request in list(tier.in_flight.values()):
        assert sub_request.partitioning == 2, sub_request
        tier.reply(sub_request)


@behave.when("a scan is submitted to the repartitioned tier")
def when_scan(context):
    tier = context.tier
    tier.submit("r-2", kind="scan")
    while tier.in_flight:
        tier.reply(next(iter(tier.in_flight.values())))


@behave.then("the answer covers 3 of 3 new shards with 1 row each")
def then_complete(context):
    answer = context.tier.answers_by_id["r-1"]
    assert sorted(result.shard for result in answer.results) == [0, 1, 2], answer
    assert all(bytes(result.row) == b"{}" for result in answer.results), answer
    assert (answer.coverage.answered, answer.coverage.total) == (3, 3), answer
    assert answer.coverage.complete, answer


@behave.then("the answer covers 2 of 3 new shards and lists shard 1 as missing")
def then_partial(context):
    coverage = context.tier.answers_by_id["r-2"].coverage
    assert (coverage.answered, coverage.total) == (2, 3), coverage
    assert [each.shard for each in coverage.missing] == [1], coverage
