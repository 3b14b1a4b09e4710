"""Steps about a service that is split into more shards."""

import behave

from fakes import core as fake_core
from greengagehaven.protocol import upstream


@behave.given("a repartitioned tier that goes from 2 to 3 shards during a sweep")
def given_repartitioned(context):
    tier = context.tier = fake_core.FakeTier()
    for shard in (0, 1):
        held = (("credits-0", shard, 2),)
        tier.put(fake_core.announce(f"u-{shard}", shards=held))
    tier.submit("r-1")
    context.old = list(tier.sent)
    for shard in (0, 1, 2):
        held = (("credits-0", shard, 3),)
        tier.put(
            fake_core.announce(f"u-{shard}", shards=held, partitioning=2, sequence=2)
        )


@behave.given("the repartitioned tier loses shard 1 of the new partitioning")
def given_lost(context):
    context.tier.withdraw("u-1")


@behave.when("the repartitioned tier gets a late reply of the old partitioning")
def when_late(context):
    tier = context.tier
    kept, refused = context.old
    reason = upstream.FailureReason.WRONG_VERSION
    tier.fail(refused, reason, not_run=True)
    tier.reply(kept, b'"old"')
    for sub_request in list(tier.in_flight.values()):
        assert sub_request.partitioning == 2, sub_request
        tier.reply(sub_request)


@behave.when("the repartitioned tier gets a scan")
def when_scan(context):
    tier = context.tier
    tier.submit("r-2", kind="scan")
    while tier.in_flight:
        tier.reply(next(iter(tier.in_flight.values())))


@behave.then("the repartitioned answer covers 3 of 3 shards with 1 row each")
def then_whole(context):
    answer = context.tier.answers_by_id["r-1"]
    assert sorted(result.shard for result in answer.results) == [0, 1, 2], answer
    assert all(bytes(result.row) == b"{}" for result in answer.results), answer
    assert (answer.coverage.answered, answer.coverage.total) == (3, 3), answer
    assert answer.coverage.complete, answer


@behave.then("the repartitioned answer covers 2 of 3 shards and names shard 1")
def then_partial(context):
    coverage = context.tier.answers_by_id["r-2"].coverage
    assert (coverage.answered, coverage.total) == (2, 3), coverage
    assert [miss.shard for miss in coverage.missing] == [1], coverage
