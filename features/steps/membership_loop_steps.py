"""Steps for membership loops that communicate over loopback sockets."""

import asyncio
import datetime
import random

import behave
import prometheus_client

from greengagehaven import clock, exceptions
from greengagehaven.daemons import membership_loop
from greengagehaven.protocol import notices, upstream
from greengagehaven.state import directory
from greengagehaven.transport import grpc_peers

WAIT_TIMEOUT_S = 20.0
POLL_COUNT = 1000
USAGE = notices.SubscriberUsage("demo", 1.5)
REPORT = notices.UsageReport(usages=(USAGE,))


class LoopHost:
    """A membership loop with its server, its client and what it received."""

    def __init__(self, zone: str, token: str) -> None:
        self.zone = zone
        self.directory = directory.Directory()
        self.hosts: dict[str, str] = {}
        self.notices: list = []
        self.registry = prometheus_client.CollectorRegistry()
        self._clock = clock.SystemClock()
        self._handlers: dict = {}
        self._server = grpc_peers.GrpcPeerServer(
            handlers_by_method=self._handlers, token=token, clock=self._clock
        )
        self._client = grpc_peers.GrpcPeerClient(token=token, clock=self._clock)

    async def start(self, seeds) -> None:
        self.address = await self._server.start("127.0.0.1", 0)
        self.loop = membership_loop.MembershipLoop(
            host_id=f"host-{self.zone}",
            zone=self.zone,
            address=self.address,
            seeds=seeds,
            served_directory=self.directory,
            channel=self._client,
            listener=self,
            clock=self._clock,
            rng=random.Random(self.zone),
            notice_type=notices.NoticePayload,
            registry=self.registry,
        )
        self._handlers.update(self.loop.handlers_by_method())
        self.loop.start()

    async def leave(self) -> None:
        await self.loop.leave()
        await self._server.stop(datetime.timedelta())
        await self._client.close()

    def on_hosts(self, zones_by_host_id) -> None:
        self.hosts = zones_by_host_id

    def on_directory_changed(self, upstream_ids) -> None:
        pass

    def on_notice(self, host_id, payload) -> None:
        self.notices.append((host_id, payload))


def run(context, awaitable):
    return context.loop.run_until_complete(awaitable)


def wait_until(context, condition):
    async def poll():
        for _ in range(POLL_COUNT):
            if condition():
                return
            await asyncio.sleep(WAIT_TIMEOUT_S / POLL_COUNT)
        raise AssertionError("timed out waiting for the condition")

    run(context, poll())


async def start_all(zones):
    started = {}
    for zone in zones:
        host = LoopHost(zone, "token")
        await host.start([each.address for each in started.values()])
        started[zone] = host
    return started


async def leave_all(hosts):
    await asyncio.gather(*(host.leave() for host in hosts))


@behave.given('{count:d} membership loops on loopback in the zones "{zones}"')
def given_loops(context, count, zones):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.hosts_by_zone = run(context, start_all(zones.split()))
    context.add_cleanup(lambda: run(context, leave_all(context.hosts_by_zone.values())))
    hosts = context.hosts_by_zone.values()
    wait_until(context, lambda: all(len(host.hosts) == count for host in hosts))


@behave.when('an upstream of zone "{zone}" announces itself to the loop of "{other}"')
def when_announced(context, zone, other):
    announcement = upstream.Announcement(
        id="u-1",
        incarnation=1,
        sequence=1,
        address="127.0.0.1:9001",
        availability_zone=zone,
        state=upstream.UpstreamState.READY,
        slots=2,
        max_connections=25,
        snapshots=(41,),
        shards=(),
    )

    async def announce():
        context.hosts_by_zone[other].loop.announce(announcement)

    run(context, announce())


@behave.then(
    'the metrics of the loop of "{zone}" show {hosts:d} live hosts '
    "and {served:d} served upstream"
)
def then_metrics(context, zone, hosts, served):
    registry = context.hosts_by_zone[zone].registry
    alive = [
        registry.get_sample_value(
            "greengagehaven_membership_hosts", {"zone": each, "status": "alive"}
        )
        for each in ("a", "b", "c")
    ]
    upstreams = registry.get_sample_value(
        "greengagehaven_directory_upstreams", {"state": "served"}
    )
    assert (sum(alive), upstreams) == (hosts, served), (alive, upstreams)


@behave.when('the loop of "{zone}" notifies the others of a usage report')
def when_notified(context, zone):
    async def notify():
        context.hosts_by_zone[zone].loop.notify(REPORT)

    run(context, notify())


@behave.when('the loop of "{zone}" leaves')
def when_leaves(context, zone):
    run(context, context.hosts_by_zone.pop(zone).leave())


@behave.when('a host with another token joins through the loop of "{zone}"')
def when_foreign_host_joins(context, zone):
    async def start():
        foreign_host = LoopHost("z", "other token")
        await foreign_host.start([context.hosts_by_zone[zone].address])
        await asyncio.wait_for(foreign_host.loop.wait_joined(), WAIT_TIMEOUT_S)
        return foreign_host

    context.foreign_host = run(context, start())
    context.add_cleanup(lambda: run(context, context.foreign_host.leave()))


@behave.then("every membership loop eventually knows {count:d} hosts and that upstream")
def then_all_know(context, count):
    wait_until(
        context,
        lambda: all(
            len(host.hosts) == count and "u-1" in host.directory.upstreams_by_id
            for host in context.hosts_by_zone.values()
        ),
    )


@behave.then('the loops of "{one}" and "{other}" eventually receive that report')
def then_report(context, one, other):
    wait_until(
        context,
        lambda: all(
            context.hosts_by_zone[zone].notices == [("host-c", REPORT)]
            for zone in (one, other)
        ),
    )


@behave.then('the loops of "{one}" and "{other}" eventually know {count:d} hosts')
def then_count(context, one, other, count):
    wait_until(
        context,
        lambda: all(
            len(context.hosts_by_zone[zone].hosts) == count for zone in (one, other)
        ),
    )


@behave.then("that host finds no peer and the loops know {count:d} hosts")
def then_no_peer(context, count):
    assert set(context.foreign_host.hosts) == {"host-z"}, context.foreign_host.hosts
    for host in context.hosts_by_zone.values():
        assert len(host.hosts) == count, host.hosts


@behave.when('a membership loop is created with the address "{address}"')
def when_created_with_address(context, address):
    try:
        membership_loop.MembershipLoop(
            host_id="host-a",
            zone="a",
            address=address,
            seeds=(),
            served_directory=directory.Directory(),
            channel=None,
            listener=None,
            clock=clock.SystemClock(),
            rng=random.Random(1),
        )
        context.refusal = None
    except exceptions.SettingError as error:
        context.refusal = (error.code, error.place)


@behave.then('it is refused with "{code}" at "{place}"')
def then_setting_refused(context, code, place):
    assert context.refusal == (code, place), context.refusal
