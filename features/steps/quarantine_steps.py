"""Steps about requests that crash upstreams."""

import collections
import random

import behave

from fakes import crashing
from greengagehaven import clock
from greengagehaven.coordination import quarantine
from greengagehaven.protocol import upstream

POISON = b'{"name": "x", "poison": 1}'
ENCODINGS = (POISON, b'{"poison":1,"name":"x"}', b' { "name":"x","poison" : 1 } ')


def is_poison(sub_request):
    return b"poison" in bytes(sub_request.query)


@behave.given(
    "{hosts:d} entry hosts and {count:d} replicas, and a query that crashes them"
    " after {crash_ms:d} ms"
)
def given_replicas(context, hosts, count, crash_ms):
    context.tier = crashing.CrashingTier(
        host_count=hosts,
        announcements=crashing.replica_upstreams(count),
        crash_s=crash_ms / 1000,
        is_poison=is_poison,
    )
    context.host_ids = sorted(context.tier.hosts.hosts_by_id)


@behave.given(
    "{hosts:d} entry hosts and {shards:d} shards in two zones, and a sweep that "
    "{effect}"
)
def given_shards(context, hosts, shards, effect):
    def crashes_shard_2(sub_request):
        return is_poison(sub_request) and sub_request.shard_ref.shard == 2

    context.tier = crashing.CrashingTier(
        host_count=hosts,
        announcements=crashing.sharded_upstreams(shards),
        is_poison=crashes_shard_2
        if effect == "crashes shard 2"
        else lambda sub_request: False,
    )
    context.host_ids = sorted(context.tier.hosts.hosts_by_id)


@behave.given(
    "{hosts:d} entry hosts and {shards:d} shards in three zones, and a sweep that "
    "crashes every shard"
)
def given_all_crash(context, hosts, shards):
    context.tier = crashing.CrashingTier(
        host_count=hosts,
        announcements=crashing.sharded_upstreams(shards, zones="abc"),
        is_poison=is_poison,
    )
    context.host_ids = sorted(context.tier.hosts.hosts_by_id)


@behave.then("no shard lost more than {count:d} upstreams to it")
def then_shard_lost(context, count):
    lost = collections.Counter(
        upstream_id.rpartition("-")[2] for upstream_id in context.tier.crashes
    )
    assert max(lost.values()) <= count, lost


def send(context, number, **fields):
    host_id = context.host_ids[number % len(context.host_ids)]
    context.tier.submit(host_id, f"poison-{number}", **{"query": POISON, **fields})


@behave.when(
    "the {what} is sent {count:d} times, every 100 ms, each time through the next host"
)
def when_resent(context, what, count):
    for number in range(count):
        send(context, number, kind="sweep")
        context.tier.run(0.1)
    context.tier.run(2.5)


@behave.when("the query is sent 20 times with other spacing, order and services")
def when_encoded_differently(context):
    services = (("credits-0",), ("credits-0", "credits-1"))
    context.tier.hosts.hosts_by_id["h-1"].apply_announcements()
    for number in range(20):
        encoding = ENCODINGS[number % len(ENCODINGS)]
        send(context, number, query=encoding, services=services[number % 2])
        context.tier.run(0.1)


@behave.when("it is sent every 100 ms among 6 other queries every 10 ms for 2 s")
def when_mixed(context):
    rng = random.Random(7)
    context.other_request_ids = []
    for tick in range(200):
        if tick % 10 == 0:
            send(context, tick // 10, kind="sweep")
        for number in range(6):
            request_id = f"other-{tick}-{number}"
            query = b'{"name": "%d"}' % rng.randrange(1000)
            context.other_request_ids.append(request_id)
            context.tier.submit(rng.choice(context.host_ids), request_id, query=query)
        context.tier.run(0.01)
    context.tier.run(2.5)


@behave.when("a harmless query runs on the same replica, and one more replica joins")
def when_shared(context):
    context.tier.run_s = 0.05
    context.tier.submit("h-1", "harmless", query=b'{"name": "y"}')
    send(context, 0)
    context.tier.add_upstream(crashing.replica_upstreams(2)[1])
    context.tier.run(2.5)


@behave.then("the harmless query is answered and only the crashing one is quarantined")
def then_only_poison(context):
    assert len(context.tier.crashes) == 2, context.tier.crashes
    context.tier.submit("h-2", "harmless-again", query=b'{"name": "y"}')
    send(context, 1)
    context.tier.run(0.2)
    refusal = context.tier.refusal("harmless-again")
    assert context.tier.answer("harmless-again") is not None, refusal
    assert context.tier.refusal("poison-1").code == "quarantined"


@behave.then("at most 2 upstreams crashed because of it")
def then_at_most_two_crashed(context):
    assert 1 <= len(context.tier.crashes) <= 2, context.tier.crashes


@behave.then("the later ones were refused as quarantined with ran no")
def then_refused(context):
    refusals = [context.tier.refusal(f"poison-{number}") for number in range(5, 10)]
    found = {(error.code, str(error.ran)) for error in refusals}
    assert found == {("quarantined", "no")}, found
    assert all(200 < error.retry_after < 400 for error in refusals)


@behave.then("every other query was answered")
def then_others_answered(context):
    missing = [
        each for each in context.other_request_ids if context.tier.answer(each) is None
    ]
    reasons = [context.tier.refusal(each) for each in missing]
    assert not missing, (len(missing), [repr(reason) for reason in reasons[:5]])


@behave.when("zone a fails while the sweep is in flight from every host")
def when_zone_fails(context):
    for number in range(len(context.host_ids)):
        context.tier.submit(
            context.host_ids[number],
            f"sweep-{number}",
            query=b'{"name": "%d"}' % number,
        )
    context.tier.run(0.005)
    for shard in range(6):
        context.tier.crash(f"u-a-{shard}", restarts=False)
    context.tier.run(1.5)


@behave.then("the sweeps were answered in full and nothing is quarantined")
def then_sweeps_answered(context):
    for number in range(len(context.host_ids)):
        answer = context.tier.answer(f"sweep-{number}")
        refusal = context.tier.refusal(f"sweep-{number}")
        assert answer is not None, refusal
        assert answer.coverage.complete, answer.coverage
    context.tier.submit("h-1", "again", query=b'{"name": "0"}')
    context.tier.run(0.1)
    assert context.tier.answer("again") is not None, context.tier.refusal("again")


@behave.given("the query was quarantined and has become harmless")
def given_harmless(context):
    when_resent(context, "query", 5)
    assert len(context.tier.crashes) == 2
    context.tier.is_poison = lambda sub_request: False


@behave.given("the query was quarantined and still crashes upstreams")
def given_still_crashing(context):
    when_resent(context, "query", 5)
    assert len(context.tier.crashes) == 2


@behave.when("its ban ends and it is sent through every host within 15 s")
def when_ban_ends(context):
    context.tier.hosts.clock.advance(quarantine.INITIAL_BAN_S - 3.0)
    context.tier.run(0.001)
    send_through_every_host(context, ticks=60)


@behave.when("it is sent through every host for {seconds:d} s")
def when_sent_for(context, seconds):
    send_through_every_host(context, ticks=4 * seconds)


@behave.then("it was answered by every host in the end")
def then_answered_in_the_end(context):
    assert context.answered_counts[-1] == len(context.host_ids), context.answered_counts


def send_through_every_host(context, *, ticks):
    """Send the query through every host each 0.25 s."""
    context.answered_counts = []
    host_count = len(context.host_ids)
    for tick in range(ticks):
        numbers = range(100 + tick * host_count, 100 + (tick + 1) * host_count)
        for number in numbers:
            send(context, number, kind="sweep")
        context.tier.run(0.25)
        answers = [context.tier.answer(f"poison-{number}") for number in numbers]
        context.answered_counts.append(sum(answer is not None for answer in answers))
    context.last_request_id = f"poison-{numbers[-1]}"


@behave.then("it was answered once by a trial, and then by every host")
def then_cleared(context):
    first = next(index for index, count in enumerate(context.answered_counts) if count)
    assert first > 0, context.answered_counts
    assert context.answered_counts[first] == 1, context.answered_counts
    assert set(context.answered_counts[first + 1 :]) == {4}, context.answered_counts
    assert len(context.tier.crashes) == 2


@behave.then("exactly 1 more upstream crashed because of it")
def then_one_more_crashed(context):
    assert len(context.tier.crashes) == 3, context.tier.crashes
    assert not any(context.answered_counts)


@behave.then("the new ban is twice as long")
def then_longer_ban(context):
    error = context.tier.refusal(context.last_request_id)
    assert error.code == "quarantined", error
    assert 500 < error.retry_after < 700, error.retry_after


@behave.when("one host loses 5000 connections under 5000 different queries")
def when_many_losses(context):
    manual_clock = clock.ManualClock()
    context.quarantine = quarantine.Quarantine(clock=manual_clock, host_id="h-1")
    for number in range(5000):
        for upstream_number in range(1 + number % 2):
            context.quarantine.record_loss(
                f"f-{number}",
                (f"r-{number}-{upstream_number}", 1),
                upstream_id=f"u-{upstream_number}",
                incarnation=1,
                shard_ref=upstream.ShardRef("credits-0", 0),
            )
    context.notice_count = len(context.quarantine.take_notices())


@behave.then("it stores at most 2000 suspects and 2000 bans")
def then_bounded(context):
    assert context.quarantine.suspect_count <= 2000, context.quarantine.suspect_count
    assert 1000 < context.quarantine.ban_count <= 2000, context.quarantine.ban_count
