"""Steps about hosts that share the requests to the shards of a sweep."""

import asyncio
import collections
import random

import behave

from fakes import routing
from greengagehaven import clock
from greengagehaven.coordination.routing import delegation, events
from greengagehaven.daemons import publisher, roster_feed
from greengagehaven.protocol import codec, watching
from greengagehaven.state import configuration_history, roster


def other_hosts(count):
    return tuple(
        watching.HostEntry(id=f"h-{number}", address=f"h-{number}:1")
        for number in range(count)
    )


@behave.given("a host in a zone of {hosts:d} with a sweep over {shards:d} shards")
def given_host(context, hosts, shards, *, attempts=2, **budget):
    names = [f"shard-{number}" for number in range(shards)]
    context.names = names
    context.tier = routing.RouterHarness(host_id="h-0", **(budget or {"burst": 500.0}))
    route = routing.sweep_route(names, least_coverage=0.9, attempts=attempts)
    context.tier.apply_routing_table(routing.routing_table(1, route))
    for name in names:
        for zone in "ab":
            context.tier.apply_upstream_entries(
                routing.upstream_entry(f"{name}-{zone}", name, zone=zone)
            )
    context.tier.step(events.EntryHostsChanged(hosts=other_hosts(hosts)))


@behave.given(
    "a host in a zone of {hosts:d} with a sweep over {shards:d} shards and no "
    "extra-attempt budget"
)
def given_no_budget(context, hosts, shards):
    given_host(context, hosts, shards, burst=0.0, ratio=0.0)


@behave.given(
    "a host in a zone of {hosts:d} with a sweep over {shards:d} shards of one attempt "
    "each"
)
def given_one_attempt(context, hosts, shards):
    given_host(context, hosts, shards, attempts=1)


def remote_hosts(zones):
    return tuple(
        watching.HostEntry(
            id=f"{zone}-{number}",
            address=f"{zone}-{number}:1",
            availability_zone=zone,
        )
        for zone in zones
        for number in range(2)
    )


@behave.given(
    "a host with a sweep over {shards:d} shards whose replicas are in zones "
    "{first}, {second} and {third}"
)
def given_remote(context, shards, first, second, third):
    given_host(context, 1, 0)
    context.names = [f"shard-{number}" for number in range(shards)]
    context.zones = (first, second, third)
    route = routing.sweep_route(context.names, least_coverage=0.9)
    context.tier.apply_routing_table(routing.routing_table(2, route))
    for name in context.names:
        for zone in context.zones:
            context.tier.apply_upstream_entries(
                routing.upstream_entry(f"{name}-{zone}", name, zone=zone)
            )
    hosts = other_hosts(1) + remote_hosts(context.zones)
    context.tier.step(events.EntryHostsChanged(hosts=hosts))


@behave.then(
    "the shards in zones {first}, {second} and {third} are delegated to {which} host "
    "of each zone"
)
def then_delegated_there(context, which, first, second, third):
    delegates = delegates_of(context)
    addresses_used = {delegate.address for delegate in delegates}
    for delegate in delegates:
        zone = delegate.address.partition("-")[0]
        placed = {send.upstream_id.rpartition("-")[2] for send in delegate.sends}
        assert placed == {zone}, delegate
    assert {address[0] for address in addresses_used} == {first, second, third}, (
        addresses_used
    )
    if which == "another":
        assert not addresses_used & context.addresses_before, addresses_used
    sends = [send for delegate in delegates for send in delegate.sends]
    assert services_of(sends) == sorted(context.names)


@behave.then("this host makes no more than {count:d} calls")
def then_calls(context, count):
    own = context.tier.attempts_of(context.number)
    assert len(delegates_of(context)) + len(own) <= count


@behave.given("the replicas of {count:d} shards in zones x and y are five times slower")
def given_slow(context, count):
    known = context.tier.router.fleet.upstreams_by_id
    now = context.tier.clock.monotonic()
    context.slow_ids = {
        f"{name}-{zone}" for name in context.names[:count] for zone in "xy"
    }
    for upstream_id in context.slow_ids:
        for _ in range(10):
            known[upstream_id].record_latency(5.0, now)


@behave.then(
    "most shards were delegated to one host of one zone, not always the same zone"
)
def then_one_zone(context):
    zones = set()
    for helpers in context.helpers:
        assert len(helpers) >= delegation.MIN_REMOTE_SHARDS, helpers
        (address,) = set(helpers.values())
        zones.add(address[0])
    assert len(zones) > 1, zones


@behave.then("none of them uses a slow replica")
def then_no_slow_replica(context):
    chosen = {send.upstream_id for send in context.tier.sent}
    chosen |= context.delegated_ids
    assert chosen and not chosen & context.slow_ids, chosen & context.slow_ids


@behave.when("all other hosts refuse to help for {seconds:d} seconds")
def when_refused_repeatedly(context, seconds):
    context.calls = collections.Counter()
    for _ in range(seconds * 5):
        send_sweep(context)
        context.calls.update(each.address for each in context.delegates)
        fail_helpers(context, events.Fault.UNSENT)
        for send in context.tier.attempts_of(context.number):
            context.tier.answer_attempt(send)
        context.tier.advance_clock(0.2)


@behave.then("each of them was called at most {most:d} times")
def then_called(context, most):
    assert len(context.calls) == 6, context.calls
    assert max(context.calls.values()) <= most, context.calls


@behave.given("{count:d} hosts of a zone that know the same 2 hosts of zone x")
def given_many_hosts(context, count):
    context.preferred = collections.Counter()
    for number in range(count):
        host = delegation.Delegation(
            host_id=f"h-{number}",
            zone="a",
            clock=clock.ManualClock(),
            rng=random.Random(1),
        )
        host.set_hosts(remote_hosts("x"))
        context.preferred[host.assign_aggregators(["x"] * 9)[0]] += 1


@behave.then("each of the 2 is preferred by at least {least:d} of them")
def then_preferred(context, least):
    assert len(context.preferred) == 2, context.preferred
    assert min(context.preferred.values()) >= least, context.preferred


@behave.then("the helpers have to report within the objective")
def then_report_within(context):
    assert context.tier.delegated
    for delegate in context.tier.delegated:
        assert 0 < delegate.report_after <= routing.OBJECTIVE_S, delegate


@behave.when("a sweep arrives and its helpers refuse to help")
def when_refused(context):
    send_sweep(context)
    context.addresses_before = {delegate.address for delegate in context.delegates}
    fail_helpers(context, events.Fault.UNSENT)


@behave.when("a sweep arrives and its helpers fail")
def when_helpers_fail(context):
    send_sweep(context)
    fail_helpers(context, events.Fault.HELPER)


@behave.when("{count:d} sweeps arrive")
def when_sweeps(context, count):
    context.helpers = []
    context.delegated_ids = set()
    for _ in range(count):
        send_sweep(context)
        context.delegated_ids.update(
            send.upstream_id
            for delegate in context.delegates
            for send in delegate.sends
        )
        context.helpers.append(
            {
                send.upstream_id.rpartition("-")[0]: delegate.address
                for delegate in context.delegates
                for send in delegate.sends
            }
        )
        reply_to_all(context)


@behave.then("each shard was requested by the same host in all of them")
def then_same_hosts(context):
    first = context.helpers[0]
    assert first and all(each == first for each in context.helpers), context.helpers


def send_sweep(context):
    tier = context.tier
    tier.delegated.clear()
    context.number = tier.request("/sweep/1")
    context.delegates = list(tier.delegated)


def delegates_of(context):
    delegated = context.tier.delegated
    return [each for each in delegated if each.number == context.number]


def fail_helpers(context, fault):
    for delegate in context.delegates:
        context.tier.step(
            events.HelperEnded(address=delegate.address, failed=str(fault))
        )
        failed = events.Failed(fault=fault)
        report_outcome(context, delegate.sends, failed)


def report_outcome(context, sends, outcome):
    ended = tuple(
        events.AttemptEnded(attempt=send.attempt, outcome=outcome) for send in sends
    )
    context.tier.step(events.AttemptsReported(ended=ended))


def merged_part(*, latency=0.012):
    return events.Replied(status=200, is_success=True, took=latency, is_merged=True)


def reply_to_all(context):
    for delegate in context.delegates:
        report_outcome(context, delegate.sends, merged_part())
        context.tier.step(events.HelperEnded(address=delegate.address))
    for send in context.tier.attempts_of(context.number):
        context.tier.answer_attempt(send)


@behave.then(
    "each shard is requested once, and no host requests more than {most:d} of them"
)
def then_divided(context, most):
    own = context.tier.attempts_of(context.number)
    delegates = context.tier.delegated
    groups = [own, *(delegate.sends for delegate in delegates)]
    assert max(map(len, groups)) <= most, [len(group) for group in groups]
    sends = [send for group in groups for send in group]
    assert services_of(sends) == sorted(context.names)
    addresses = [delegate.address for delegate in delegates]
    assert len(set(addresses)) == len(addresses) and "h-0:1" not in addresses


def services_of(sends):
    return sorted(send.upstream_id.rpartition("-")[0] for send in sends)


@behave.then("this host requests all shards itself")
def then_all_own(context):
    own = context.tier.attempts_of(context.number)
    assert services_of(own) == sorted(context.names), own


@behave.then("this host requests all shards itself, those of the helpers a second time")
def then_all_own_again(context):
    then_all_own(context)
    delegated_ids = {
        send.upstream_id for delegate in context.delegates for send in delegate.sends
    }
    own_ids = {send.upstream_id for send in context.tier.attempts_of(context.number)}
    assert delegated_ids and not delegated_ids & own_ids


@behave.when("a sweep arrives and a helper does not report")
def when_no_report(context):
    send_sweep(context)
    context.stalled, *others = context.delegates
    for delegate in others:
        report_outcome(context, delegate.sends, merged_part())
        context.tier.step(events.HelperEnded(address=delegate.address))
    for send in context.tier.attempts_of(context.number):
        context.tier.answer_attempt(send)
    context.tier.advance_clock(routing.OBJECTIVE_S)


@behave.then("its shards are hedged by this host, and the next sweep does not use it")
def then_stalled_avoided(context):
    hedged = context.tier.attempts_of(context.number)
    hedged_services = set(services_of(hedged))
    assert set(services_of(context.stalled.sends)) <= hedged_services, hedged
    send_sweep(context)
    addresses = {delegate.address for delegate in context.delegates}
    assert context.stalled.address not in addresses, addresses


@behave.when("this host's attempts are answered")
def when_answered(context):
    for send in context.tier.attempts_of(context.number):
        context.tier.answer_attempt(send)
    context.tier.advance_clock(routing.OBJECTIVE_S)


@behave.then(
    "the sweep is answered with {count:d} parts, and no upstream counts as failing"
)
def then_parts(context, count):
    ending = context.tier.final_actions_by_number[context.number]
    assert len(ending.attempts) == count, ending
    now = context.tier.clock.monotonic()
    known = context.tier.router.fleet.upstreams_by_id.values()
    assert not any(each.fault_rate(now) or each.faults_in_row for each in known)


@behave.when(
    "a sweep arrives, a delegated shard is hedged and the hedge is answered first"
)
def when_hedged(context):
    send_sweep(context)
    sent_before = len(context.tier.attempts_of(context.number))
    context.tier.advance_clock(0.088)
    hedges = context.tier.attempts_of(context.number)[sent_before:]
    delegated = {
        send.upstream_id.rpartition("-")[0]
        for delegate in context.delegates
        for send in delegate.sends
    }
    answered = next(
        hedge for hedge in hedges if hedge.upstream_id.rpartition("-")[0] in delegated
    )
    context.tier.answer_attempt(answered)


@behave.when("the helpers report all their parts")
def when_reported(context):
    context.reported_attempts = []
    for delegate in context.delegates:
        context.reported_attempts += [send.attempt for send in delegate.sends]
        report_outcome(context, delegate.sends, merged_part())


@behave.when("a sweep arrives, and the last report arrives when its answer is due")
def when_due(context):
    send_sweep(context)
    for send in context.tier.attempts_of(context.number):
        context.tier.answer_attempt(send)
    *others, last = context.delegates
    for delegate in others:
        report_outcome(context, delegate.sends, merged_part())
    context.tier.advance_clock(routing.OBJECTIVE_S)
    assert context.number not in context.tier.final_actions_by_number
    context.reported_attempts = [send.attempt for send in last.sends]
    report_outcome(context, last.sends, merged_part())


@behave.then("the answer names every part that was reported")
def then_all_named(context):
    ending = context.tier.final_actions_by_number[context.number]
    assert set(context.reported_attempts) <= set(ending.attempts), ending
    assert len(ending.attempts) == len(context.names)


@behave.given(
    "a roster feed watched by entry hosts a-1 and a-2 of one zone and b-1 of another"
)
def given_zone_feed(context):
    system_clock = clock.SystemClock()
    context.feed = roster_feed.RosterFeed(
        roster=roster.Roster(host_name="c1", silence_timeout=10.0),
        configuration=publisher.ConfigurationPublisher(
            history=configuration_history.ConfigurationHistory(),
            staleness=lambda: 0.0,
            clock=system_clock,
        ),
        control_addresses=tuple,
        clock=system_clock,
    )
    context.digests_by_host = collections.defaultdict(int)
    for host_id in ("a-1", "a-2", "b-1"):
        asyncio.run(poll_feed(context, host_id))
    context.digests_by_host.clear()


async def poll_feed(context, host_id):
    request = watching.WatchRequest(
        host_id=host_id,
        availability_zone=host_id[0],
        is_entry=True,
        address=f"{host_id}:1",
        held_hosts=context.digests_by_host[host_id],
    )
    data = await context.feed.handle(codec.encode_msgpack(request))
    reply = codec.decode_msgpack(data, watching.WatchReply)
    context.digests_by_host[host_id] = reply.hosts_digest
    return [host.id for host in reply.hosts]


@behave.when("a-1 polls the feed")
def when_a1_polls(context):
    context.hosts = asyncio.run(poll_feed(context, "a-1"))


@behave.then("it gets hosts a-1 and a-2 only")
def then_own_zone(context):
    assert context.hosts == ["a-1", "a-2"], context.hosts


@behave.then("it gets no hosts")
def then_no_hosts(context):
    assert context.hosts == [], context.hosts
