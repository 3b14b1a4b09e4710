"""Steps about the owner of an upstream and the hosts that send through it."""

import asyncio

import behave

from fakes import core as fake_core
from fakes import owners as fake_owners
from greengagehaven.protocol import upstream


def send_from_all(hosts, count):
    for host_id in hosts.zones:
        hosts.send(host_id, count)


@behave.given("{count:d} owner-linked hosts with one upstream of 2 slots")
def given_hosts(context, count):
    context.hosts = fake_owners.FakeHosts(count)


@behave.given("the owned upstream has replied {replies:d} times in 20 ms")
def given_warm(context, replies):
    hosts = context.hosts

    async def run():
        for _ in range(replies):
            hosts.send("h-1")
            await hosts.work(1)

    asyncio.run(run())


@behave.when("every owner-linked host sends 2 sub-requests")
def when_all_send(context):
    async def run():
        send_from_all(context.hosts, 2)
        await context.hosts.work(18)

    asyncio.run(run())


@behave.when("the owned upstream starts anew and every host sends 2 sub-requests")
def when_starts_anew(context):
    hosts = context.hosts
    hosts.directory.put(fake_core.announce("u-1", incarnation=2))
    hosts.peak = 0

    async def run():
        for _ in range(3):
            send_from_all(hosts, 2)
        await hosts.settle()
        context.at_first = len(hosts.running)
        await hosts.work(9, seconds=0.06)
        context.before_growth = hosts.peak
        await hosts.work(21)
        context.warm = len(hosts.running)

    asyncio.run(run())


@behave.when("the owned upstream replies in 60 ms from now on")
def when_turns_cold(context):
    hosts = context.hosts

    async def run():
        send_from_all(hosts, 2)
        await hosts.settle()
        context.warm = len(hosts.running)
        await hosts.work(3, seconds=0.06)
        context.cold = len(hosts.running)
        hosts.peak = 0
        await hosts.work(10, seconds=0.06)

    asyncio.run(run())


@behave.when("every owner-linked host sends 2 sub-requests and the upstream drains")
def when_drains(context):
    hosts = context.hosts

    async def run():
        send_from_all(hosts, 2)
        await hosts.work(4)
        hosts.outcomes.clear()
        context.sent = len(hosts.ran)
        state = upstream.UpstreamState.DRAINING
        hosts.directory.put(fake_core.announce("u-1", sequence=2, state=state))
        for channel in hosts.channels_by_id.values():
            channel.upstreams_changed()
        await hosts.work(18)

    asyncio.run(run())


@behave.when("an owner-linked host sends a sub-request and its cancel arrives first")
def when_cancel_first(context):
    hosts = context.hosts
    sender = next(host for host in hosts.zones if host != hosts.owner_id)

    async def run():
        held = hosts.wire.held = asyncio.Event()
        hosts.send(sender)
        await hosts.settle()
        hosts.channels_by_id[sender].cancel(f"r-{sender}", 1)
        await hosts.settle()
        held.set()
        await hosts.settle()

    asyncio.run(run())


@behave.when("the owner dies while every other host has 1 sub-request there")
def when_owner_dies(context):
    hosts = context.hosts
    dead = hosts.owner_id
    others = [host_id for host_id in hosts.zones if host_id != dead]

    async def run():
        for host_id in others:
            hosts.send(host_id)
        await hosts.settle()
        hosts.running.clear()
        hosts.wire.dead.add(dead)
        left = {host_id: hosts.zones[host_id] for host_id in others}
        for host_id in others:
            hosts.owners_by_id[host_id].set_hosts(left)
            hosts.channels_by_id[host_id].hosts_changed()
        context.after_death = list(hosts.outcomes)
        hosts.send(others[0])
        await hosts.work(1)

    asyncio.run(run())


@behave.when("the owner leaves by word while every other host has 1 sub-request there")
def when_owner_leaves(context):
    hosts = context.hosts
    leaving = hosts.owner_id
    others = [host_id for host_id in hosts.zones if host_id != leaving]

    async def run():
        for host_id in others:
            hosts.send(host_id)
        await hosts.settle()
        hosts.left.add(leaving)
        left = {host_id: hosts.zones[host_id] for host_id in others}
        for host_id in others:
            hosts.owners_by_id[host_id].set_hosts(left)
            hosts.channels_by_id[host_id].hosts_changed()
        context.after_leaving = list(hosts.outcomes)
        context.was_idle = hosts.channels_by_id[leaving].is_idle
        await hosts.work(len(others))
        context.is_idle = hosts.channels_by_id[leaving].is_idle

    asyncio.run(run())


@behave.then("none is given up, all are answered, and the owner is idle after it")
def then_finished(context):
    assert context.after_leaving == [], context.after_leaving
    assert len(context.hosts.outcomes) == 8, context.hosts.outcomes
    for outcome in context.hosts.outcomes:
        assert isinstance(outcome, upstream.Replied), outcome
    assert (context.was_idle, context.is_idle) == (False, True)


@behave.then("at no moment the owned upstream had more than 2 and in the end 18 ran")
def then_within_slots(context):
    assert context.hosts.peak == 2, context.hosts.peak
    assert len(context.hosts.ran) == len(set(context.hosts.ran)) == 18
    assert len(context.hosts.outcomes) == 18, context.hosts.outcomes


@behave.then("at first the owned upstream gets 1 at a time and after 30 replies 2")
def then_grows(context):
    assert context.at_first == 1, context.at_first
    assert context.before_growth == 1, context.before_growth
    assert context.warm == 2, context.warm


@behave.then("after 3 replies the owned upstream gets 1 at a time")
def then_cold(context):
    assert context.warm == 2, context.warm
    assert context.cold == 1, context.cold
    assert context.hosts.peak == 1, context.hosts.peak


@behave.then("the owner-linked sub-requests that wait come back as not run")
def then_not_run(context):
    hosts = context.hosts
    assert len(hosts.ran) == context.sent, hosts.ran
    failed = [item for item in hosts.outcomes if isinstance(item, upstream.Failed)]
    assert len(failed) == 18 - context.sent, hosts.outcomes
    assert all(item.not_run for item in failed), failed


@behave.then("the owned upstream never gets it and its slots are free")
def then_never_ran(context):
    hosts = context.hosts
    assert hosts.ran == [], hosts.ran
    assert [item.reason for item in hosts.outcomes] == ["cancelled"], hosts.outcomes
    held = hosts.gates_by_host[hosts.owner_id].gates_by_id
    assert all(gate.is_unused for gate in held.values())


@behave.then("every owner-linked sub-request ends and a new owner serves the next one")
def then_served(context):
    assert len(context.after_death) == 8, context.after_death
    assert {item.reason for item in context.after_death} == {"owner_lost"}
    assert isinstance(context.hosts.outcomes[-1], upstream.Replied)
