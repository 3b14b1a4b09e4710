"""Steps about the owner of an upstream and the hosts that send through it."""

import asyncio

import behave

from fakes import core as fake_core
from fakes import owners as fake_owners
from greengagehaven.protocol import upstream


def send_from_all(hosts, count):
    for host_id in hosts.zones_by_host_id:
        hosts.send(host_id, count)


@behave.given("{count:d} hosts that share one upstream of 2 slots through its owner")
def given_hosts(context, count):
    context.hosts = fake_owners.FakeHosts(count)


@behave.given("the shared upstream has replied {replies:d} times in 20 ms")
def given_warm(context, replies):
    hosts = context.hosts

    async def run():
        for _ in range(replies):
            hosts.send("h-1")
            await hosts.run_replies(1)

    asyncio.run(run())


@behave.when("every host sends 2 sub-requests through the owner")
def when_all_send(context):
    async def run():
        send_from_all(context.hosts, 2)
        await context.hosts.run_replies(18)

    asyncio.run(run())


@behave.when("the shared upstream restarts and every host sends 2 sub-requests")
def when_restarts(context):
    hosts = context.hosts
    hosts.directory.apply_announcement(fake_core.announce("u-1", incarnation=2))
    hosts.peak_in_flight = 0

    async def run():
        for _ in range(3):
            send_from_all(hosts, 2)
        await hosts.deliver_calls()
        context.in_flight_at_start = len(hosts.running_by_id)
        await hosts.run_replies(9, seconds=0.06)
        context.peak_before_growth = hosts.peak_in_flight
        await hosts.run_replies(21)
        context.warm_in_flight = len(hosts.running_by_id)

    asyncio.run(run())


@behave.when("the shared upstream replies in 60 ms from now on")
def when_slows_down(context):
    hosts = context.hosts

    async def run():
        send_from_all(hosts, 2)
        await hosts.deliver_calls()
        context.warm_in_flight = len(hosts.running_by_id)
        await hosts.run_replies(3, seconds=0.06)
        context.cold_in_flight = len(hosts.running_by_id)
        hosts.peak_in_flight = 0
        await hosts.run_replies(10, seconds=0.06)

    asyncio.run(run())


@behave.when("every host sends 2 sub-requests and the shared upstream drains")
def when_drains(context):
    hosts = context.hosts

    async def run():
        send_from_all(hosts, 2)
        await hosts.run_replies(4)
        hosts.outcomes.clear()
        context.sent_before_drain = len(hosts.dispatched_ids)
        state = upstream.UpstreamState.DRAINING
        hosts.directory.apply_announcement(
            fake_core.announce("u-1", sequence=2, state=state)
        )
        for channel in hosts.channels_by_id.values():
            channel.on_upstreams_changed()
        await hosts.run_replies(18)

    asyncio.run(run())


@behave.when("a host sends a sub-request and its cancellation reaches the owner first")
def when_cancelled_first(context):
    hosts = context.hosts
    sender = next(host for host in hosts.zones_by_host_id if host != hosts.owner_id)

    async def run():
        event = hosts.peer_channel.next_call_event = asyncio.Event()
        hosts.send(sender)
        await hosts.deliver_calls()
        hosts.channels_by_id[sender].cancel(f"r-{sender}", 1)
        await hosts.deliver_calls()
        event.set()
        await hosts.deliver_calls()

    asyncio.run(run())


@behave.when("the owner fails while it holds 1 sub-request of every other host")
def when_owner_fails(context):
    hosts = context.hosts
    failed_owner = hosts.owner_id
    others = [host_id for host_id in hosts.zones_by_host_id if host_id != failed_owner]

    async def run():
        for host_id in others:
            hosts.send(host_id)
        await hosts.deliver_calls()
        hosts.running_by_id.clear()
        hosts.peer_channel.unreachable.add(failed_owner)
        remaining = {host_id: hosts.zones_by_host_id[host_id] for host_id in others}
        for host_id in others:
            hosts.ownerships_by_id[host_id].set_hosts(remaining)
            hosts.channels_by_id[host_id].on_hosts_changed()
        context.outcomes_after_failure = list(hosts.outcomes)
        hosts.send(others[0])
        await hosts.run_replies(1)

    asyncio.run(run())


@behave.when(
    "the owner leaves gracefully while it holds 1 sub-request of every other host"
)
def when_owner_leaves(context):
    hosts = context.hosts
    leaving = hosts.owner_id
    others = [host_id for host_id in hosts.zones_by_host_id if host_id != leaving]

    async def run():
        for host_id in others:
            hosts.send(host_id)
        await hosts.deliver_calls()
        hosts.departed_ids.add(leaving)
        remaining = {host_id: hosts.zones_by_host_id[host_id] for host_id in others}
        for host_id in others:
            hosts.ownerships_by_id[host_id].set_hosts(remaining)
            hosts.channels_by_id[host_id].on_hosts_changed()
        context.outcomes_after_leaving = list(hosts.outcomes)
        context.was_idle = hosts.channels_by_id[leaving].is_idle
        await hosts.run_replies(len(others))
        context.is_idle = hosts.channels_by_id[leaving].is_idle

    asyncio.run(run())


@behave.then(
    "no sub-request is abandoned, all are answered, and the owner becomes idle"
)
def then_finished(context):
    assert context.outcomes_after_leaving == [], context.outcomes_after_leaving
    assert len(context.hosts.outcomes) == 8, context.hosts.outcomes
    for outcome in context.hosts.outcomes:
        assert isinstance(outcome, upstream.Replied), outcome
    assert (context.was_idle, context.is_idle) == (False, True)


@behave.then("the shared upstream never had more than 2 in flight and 18 ran in total")
def then_within_slots(context):
    assert context.hosts.peak_in_flight == 2, context.hosts.peak_in_flight
    assert (
        len(context.hosts.dispatched_ids)
        == len(set(context.hosts.dispatched_ids))
        == 18
    )
    assert len(context.hosts.outcomes) == 18, context.hosts.outcomes


@behave.then("the shared upstream first gets 1 at a time and after 30 replies 2")
def then_limit_grows(context):
    assert context.in_flight_at_start == 1, context.in_flight_at_start
    assert context.peak_before_growth == 1, context.peak_before_growth
    assert context.warm_in_flight == 2, context.warm_in_flight


@behave.then("after 3 replies the shared upstream gets 1 at a time")
def then_limit_shrinks(context):
    assert context.warm_in_flight == 2, context.warm_in_flight
    assert context.cold_in_flight == 1, context.cold_in_flight
    assert context.hosts.peak_in_flight == 1, context.hosts.peak_in_flight


@behave.then("the sub-requests queued at the owner fail as not run")
def then_not_run(context):
    hosts = context.hosts
    assert len(hosts.dispatched_ids) == context.sent_before_drain, hosts.dispatched_ids
    failed = [item for item in hosts.outcomes if isinstance(item, upstream.Failed)]
    assert len(failed) == 18 - context.sent_before_drain, hosts.outcomes
    assert all(item.not_run for item in failed), failed


@behave.then("the shared upstream never gets it and its slots are free")
def then_never_ran(context):
    hosts = context.hosts
    assert hosts.dispatched_ids == [], hosts.dispatched_ids
    assert [item.reason for item in hosts.outcomes] == ["cancelled"], hosts.outcomes
    gates_by_id = hosts.gates_by_host_id[hosts.owner_id].gates_by_id
    assert all(gate.is_unused for gate in gates_by_id.values())


@behave.then("all sub-requests at the owner fail and a new owner serves the next one")
def then_new_owner_serves(context):
    assert len(context.outcomes_after_failure) == 8, context.outcomes_after_failure
    assert {item.reason for item in context.outcomes_after_failure} == {"owner_lost"}
    assert isinstance(context.hosts.outcomes[-1], upstream.Replied)
