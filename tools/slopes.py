"""Measure the unit costs of the control plane on a host, for docs/CAPACITY.md.

    python tools/slopes.py [--hosts 3,10,30,100] [--restarts 9,30,90]
        [--entries 1000,10000,50000]

Prints one JSON object. The hosts run the membership loop of the daemons over gRPC on
loopback, all in this process. CPU time is that of the process. Bytes are message
bodies only; ``wire_bytes_per_call`` is what gRPC adds to each call. The memory of a
host is resident memory, that of an entry is memory allocated by Python.
"""

import argparse
import asyncio
import datetime
import json
import pathlib
import random
import resource
import sys
import time
import tracemalloc
import typing

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "features"))

from fakes import network  # noqa: E402
from greengagehaven import clock as clocks  # noqa: E402
from greengagehaven import log, settings  # noqa: E402
from greengagehaven.coordination import usage  # noqa: E402
from greengagehaven.coordination.membership import (  # noqa: E402
    anti_entropy,
    core_events,
    membership_core,
)
from greengagehaven.daemons import membership_loop  # noqa: E402
from greengagehaven.protocol import (  # noqa: E402
    codec,
    membership,
    notices,
    upstream,
)
from greengagehaven.state import directory  # noqa: E402
from greengagehaven.transport import grpc_peers  # noqa: E402

ZONES = ("a", "b", "c", "d", "e", "f")
LOOPBACK = "127.0.0.1"
SETTLE_S = 3.0
MEASUREMENT_S = 5.0
START_INTERVAL_S = 0.1
SERVICES = 400
REPORTED_SUBSCRIBERS = 5
REPORTING_HOSTS = 9
RESTARTS = 3
CHANGES = 6
CHANGE_INTERVAL_S = 3.0
WIRE_CALLS = 200


class NotSettledError(Exception):
    """The hosts did not converge; there may be too many of them for one CPU core."""


class Host:
    """The membership loop of a host with its gRPC server and client, on loopback."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.directory = directory.Directory()
        self.clock = clocks.SystemClock()
        self.handlers: dict = {}
        self.server = grpc_peers.GrpcPeerServer(
            handlers_by_method=self.handlers, token="token", clock=self.clock
        )
        self.client = grpc_peers.GrpcPeerClient(token="token", clock=self.clock)
        self.zones_by_host_id: dict[str, str] = {}

    async def start(self, seeds: list[str], port: int = 0) -> str:
        """Listen, join through the seeds and return the address listened on."""
        self.address = await self.server.start(LOOPBACK, port)
        self.loop = membership_loop.MembershipLoop(
            host_id=self.name,
            zone=self.zone,
            address=self.address,
            seeds=seeds,
            served_directory=self.directory,
            channel=self.client,
            listener=self,
            clock=self.clock,
            rng=random.Random(self.name),
        )
        self.handlers.update(self.loop.handlers_by_method())
        self.loop.start()
        return self.address

    async def stop(self) -> None:
        """Leave the cluster and close the server and the client."""
        await self.loop.leave()
        await self.server.stop(datetime.timedelta())
        await self.client.close()

    @property
    def bytes_sent(self) -> int:
        """Return the bytes of message bodies that this host has sent."""
        return self.client.bytes_sent + self.server.bytes_sent

    def take_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Record the reachable hosts and their zones."""
        self.zones_by_host_id = zones_by_host_id

    def on_directory_changed(self, upstream_ids: frozenset[str]) -> None:
        """Ignore a change of the directory."""

    def on_notice(self, host_id: str, payload: object) -> None:
        """Ignore a notice."""


async def start_hosts(hosts: list[Host], count: int) -> None:
    """Start ``count`` hosts and wait until each of them knows all others.

    :param hosts: receives the started hosts.
    """
    for number in range(count):
        zone = ZONES[number % len(ZONES)]
        host = Host(f"{zone}{number}", zone)
        await host.start([each.address for each in hosts[: len(ZONES)]])
        hosts.append(host)
        # Hosts that join all at once would compete for one CPU core.
        await asyncio.sleep(START_INTERVAL_S)
    await wait_until(lambda: all(len(host.zones_by_host_id) == count for host in hosts))


async def wait_until(condition, timeout: float = 30.0) -> float:
    """Wait until a condition holds; return the seconds it took.

    :param timeout: seconds after which ``NotSettledError`` is raised.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout:
            raise NotSettledError("the hosts did not reach the expected state in time")
        await asyncio.sleep(0.02)
    return time.monotonic() - started


async def measure_hosts(count: int) -> dict[str, float | bool]:
    """Return the idle control cost of a host in a cluster of ``count`` hosts."""
    before = resident_bytes()
    hosts: list[Host] = []
    try:
        return await measure_settled(hosts, count, before)
    except NotSettledError:
        return {"hosts": count, "settled": False}
    finally:
        await asyncio.gather(*(host.stop() for host in hosts))


async def measure_settled(
    hosts: list[Host], count: int, before: int
) -> dict[str, float | bool]:
    """Start hosts and measure their cost once each of them knows all others.

    :param hosts: receives the started hosts.
    :param before: resident bytes of the process before any host was started.
    """
    await start_hosts(hosts, count)
    await asyncio.sleep(SETTLE_S)
    after = resident_bytes()
    idle = await measure_load(hosts, MEASUREMENT_S)
    seconds = await measure_restart_time(hosts)
    return {
        "hosts": count,
        "settled": True,
        "cpu_share": round(idle["cpu_share"], 5),
        "body_bytes_per_s": round(idle["bytes_per_s"], 1),
        "calls_per_s": round(idle["calls_per_s"], 2),
        "resident_bytes_per_host": round((after - before) / count),
        "restart_known_everywhere_s": round(seconds, 2),
    }


def measure_restarts(count: int) -> dict[str, float]:
    """Return the bytes that each host sends for restarts of hosts and upstreams.

    Runs on a simulated network in virtual time.
    """
    simulated_network = network.Network(seed=1)
    names = [f"{ZONES[number % len(ZONES)]}{number}" for number in range(count)]
    seeds = tuple(names[: len(ZONES)])
    for name in names:
        simulated_network.start_host(name, name[0], seeds=seeds)
    simulated_network.run(15.0)
    idle = count_bytes_sent(simulated_network, lambda number: None)

    def restart_host(number: int) -> None:
        name = names[-1 - number]
        simulated_network.step(name, core_events.LeaveRequested())
        simulated_network.run(0.01)
        simulated_network.kill(name)
        simulated_network.start_host(name, name[0], seeds=seeds)

    restarted = count_bytes_sent(simulated_network, restart_host)
    upstreams = [
        network.Upstream(
            simulated_network, f"credits-{number}-{number}", names[number][0]
        )
        for number in range(CHANGES)
    ]
    for each in upstreams:
        each.stop()
    simulated_network.run(5.0)
    idle_later = count_bytes_sent(simulated_network, lambda number: None)

    def change_upstream(number: int) -> None:
        each = upstreams[number]
        each.incarnation += 1
        each.announce()

    changed = count_bytes_sent(simulated_network, change_upstream)
    propagation = measure_propagation(simulated_network, upstreams[0])
    return {
        "hosts": count,
        "idle_body_bytes_per_s": round(idle / CHANGE_INTERVAL_S / CHANGES / count, 1),
        "host_restart_body_bytes": round((restarted - idle) / CHANGES / count, 1),
        "upstream_change_body_bytes": round(
            (changed - idle_later) / CHANGES / count, 1
        ),
        "upstream_change_known_everywhere_s": round(propagation, 2),
    }


def measure_propagation(network: network.Network, changed: network.Upstream) -> float:
    """Return the virtual seconds until every host knows a change of an upstream."""
    changed.incarnation += 1
    changed.announce()
    started = network.clock.monotonic()
    while any(
        host.core.view.upstreams.get(changed.id).incarnation != changed.incarnation
        for host in network.hosts_by_id.values()
    ):
        network.run(0.01)
    return network.clock.monotonic() - started


def count_bytes_sent(
    network: network.Network, act: typing.Callable[[int], None]
) -> int:
    """Return the bytes that all hosts send while ``act`` runs repeatedly.

    :param act: called ``CHANGES`` times with the number of the call, every
        ``CHANGE_INTERVAL_S`` seconds of virtual time.
    """
    before = network.bytes
    for number in range(CHANGES):
        act(number)
        network.run(CHANGE_INTERVAL_S)
    return network.bytes - before


def resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


async def measure_reports(count: int) -> dict[str, float]:
    """Return the cost of usage reports for a host in a cluster of ``count`` hosts.

    The cost of the idle cluster is subtracted.
    """
    hosts: list[Host] = []
    await start_hosts(hosts, count)
    await asyncio.sleep(SETTLE_S)
    idle = await measure_load(hosts, MEASUREMENT_S)
    tasks = [asyncio.ensure_future(report_forever(host)) for host in hosts]
    busy = await measure_load(hosts, MEASUREMENT_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.gather(*(host.stop() for host in hosts))
    return {
        "hosts": count,
        "cpu_share": round(busy["cpu_share"] - idle["cpu_share"], 5),
        "body_bytes_per_s": round(busy["bytes_per_s"] - idle["bytes_per_s"], 1),
        "calls_per_s": round(busy["calls_per_s"] - idle["calls_per_s"], 2),
    }


async def report_forever(host: Host) -> None:
    """Report the usage of a few subscribers at the interval that the core uses."""
    usages = tuple(
        notices.SubscriberUsage(f"subscriber-{number}", 1.0)
        for number in range(REPORTED_SUBSCRIBERS)
    )
    while True:
        host.loop.notify(notices.UsageReport(usages=usages))
        await asyncio.sleep(usage.REPORT_INTERVAL_S)


async def measure_load(hosts: list[Host], seconds: float) -> dict[str, float]:
    """Return the mean CPU time, bytes and calls of a host, per second."""
    calls = sum(host.client.calls for host in hosts)
    sent = sum(host.bytes_sent for host in hosts)
    cpu_started = time.process_time()
    started = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - started
    host_seconds = elapsed * len(hosts)
    return {
        "cpu_share": (time.process_time() - cpu_started) / host_seconds,
        "bytes_per_s": (sum(host.bytes_sent for host in hosts) - sent) / host_seconds,
        "calls_per_s": (sum(host.client.calls for host in hosts) - calls)
        / host_seconds,
    }


async def measure_restart_time(hosts: list[Host]) -> float:
    """Restart hosts one by one; return the mean seconds until all hosts know it."""
    total = 0.0
    for number in range(RESTARTS):
        index = -1 - number % max(1, len(hosts) - 1)
        stopped = hosts[index]
        await stopped.stop()
        restarted = Host(stopped.name, stopped.zone)
        seeds = [host.address for host in hosts if host is not stopped][: len(ZONES)]
        await restarted.start(seeds)
        hosts[index] = restarted

        def is_known(host: Host = restarted) -> bool:
            return all(
                each.loop.core.view.hosts.get(host.name).address == host.address
                for each in hosts
            ) and len(host.zones_by_host_id) == len(hosts)

        total += await wait_until(is_known)
    return total / RESTARTS


def make_announcement(number: int, sequence: int = 1) -> upstream.Announcement:
    """Return the announcement of an upstream like those of current deployments."""
    service = number % SERVICES
    hosted = upstream.HostedShard(
        service=f"credits-{service}", shard=0, shard_count=1, partitioning=3
    )
    return upstream.Announcement(
        id=f"credits-{service}-{number}",
        incarnation=1_733_180_000 + number,
        sequence=sequence,
        address=f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9001",
        availability_zone=ZONES[number % len(ZONES)],
        state=upstream.UpstreamState.READY,
        slots=2,
        max_connections=25,
        snapshots=(41, 42),
        shards=(hosted,),
    )


def make_core(
    name: str, zone: str, clock: clocks.Clock
) -> membership_core.MembershipCore:
    """Return a membership core without seeds."""
    own = membership.HostRecord(id=name, zone=zone, address=name, incarnation=1)
    return membership_core.MembershipCore(
        own_record=own,
        served_directory=directory.Directory(),
        clock=clock,
        rng=random.Random(name),
    )


def confirm_all_zones(
    core: membership_core.MembershipCore, clock: clocks.Clock
) -> None:
    """Record that a peer of each zone confirms its view, as exchanges would do."""
    for zone in ZONES:
        peer = membership.HostRecord(
            id=f"peer-{zone}", zone=zone, address="peer", incarnation=1
        )
        core.view.confirm_zone(zone, 0, peer, clock.monotonic())


def measure_entries(count: int) -> dict[str, float]:
    """Return the memory, CPU time and bytes of a directory of ``count`` entries."""
    clock = clocks.ManualClock(start=1000.0)
    encoded = [
        codec.encode_msgpack(membership.record_of(make_announcement(number)))
        for number in range(count)
    ]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    core = make_core("a0", "a", clock)
    confirm_all_zones(core, clock)
    for data in encoded:
        record = codec.decode_msgpack(data, membership.UpstreamRecord)
        core.view.put_upstream(record, clock.monotonic())
    core.step(core_events.Ticked())
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    served = sum(
        core.view.upstreams.is_served(record_id)
        for record_id in core.view.upstreams.records_by_id
    )
    tick = measure_tick(core, clock)
    put = measure_put(core, clock, count)
    join_bytes, agreeing_bytes = measure_transfer(core, clock)
    return {
        "entries": count,
        "served": served,
        "python_bytes_per_entry": round((after - before) / count, 1),
        "record_bytes": round(sum(len(data) for data in encoded) / count, 1),
        "tick_us": round(tick, 1),
        "change_us": round(put, 1),
        "join_body_bytes_per_entry": round(join_bytes / count, 1),
        "agreeing_body_bytes": agreeing_bytes,
    }


def measure_tick(
    core: membership_core.MembershipCore, clock: clocks.ManualClock
) -> float:
    """Return the CPU time of a tick, in microseconds."""
    ticks = 100
    cpu_started = time.process_time()
    for _ in range(ticks):
        clock.advance(0.001)
        core.step(core_events.Ticked())
    return (time.process_time() - cpu_started) / ticks * 1e6


def measure_put(
    core: membership_core.MembershipCore, clock: clocks.Clock, count: int
) -> float:
    """Return the CPU time of storing a changed record, in microseconds."""
    changes = [
        membership.record_of(make_announcement(number, sequence=2))
        for number in range(min(count, 500))
    ]
    cpu_started = time.process_time()
    for record in changes:
        core.view.put_upstream(record, clock.monotonic())
    return (time.process_time() - cpu_started) / len(changes) * 1e6


def measure_transfer(
    core: membership_core.MembershipCore, clock: clocks.Clock
) -> tuple[int, int]:
    """Return the body bytes to fill an empty host, and to compare equal hosts."""
    empty = make_core("a1", "a", clock)
    join_bytes = synchronize(empty, core, clock)
    agreeing = synchronize(empty, core, clock)
    return join_bytes, agreeing


def synchronize(
    requester: membership_core.MembershipCore,
    responder: membership_core.MembershipCore,
    clock: clocks.Clock,
) -> int:
    """Synchronize every zone by anti-entropy, as the daemons do.

    Returns the bytes of all message bodies.
    """
    total = 0
    for zone in ZONES:
        for _ in range(1000):
            sync = anti_entropy.Sync(zone=zone, peer=responder.view.hosts.own)
            request = anti_entropy.build_request(requester.view, zone)
            reply = anti_entropy.build_reply(responder.view, request, clock.monotonic())
            total += body_size(request) + body_size(reply)
            anti_entropy.plan_transfer(requester.view, sync, reply, clock.monotonic())
            if not sync.wanted_count:
                break
            while sync.wanted_upstreams or sync.wanted_hosts:
                fields = anti_entropy.next_batch(requester.view, sync)
                total += transfer_batch(requester, responder, fields, clock)
    return total


def transfer_batch(
    requester: membership_core.MembershipCore,
    responder: membership_core.MembershipCore,
    fields: dict,
    clock: clocks.Clock,
) -> int:
    """Transfer one batch of records; return the bytes of its message bodies."""
    request = membership.Exchange(
        sender=requester.view.hosts.own,
        wanted_hosts=fields["wanted_hosts"],
        wanted_upstreams=fields["wanted_upstreams"],
    )
    hosts = tuple(responder.view.hosts.get(each) for each in fields["wanted_hosts"])
    records = tuple(
        responder.view.upstreams.get(each) for each in fields["wanted_upstreams"]
    )
    reply = membership.Exchange(
        sender=responder.view.hosts.own, hosts=hosts, upstreams=records
    )
    for host in hosts:
        requester.view.put_host(host, clock.monotonic())
    for record in records:
        requester.view.put_upstream(record, clock.monotonic())
    return body_size(request) + body_size(reply)


def body_size(message: object) -> int:
    """Return the bytes of a message's encoded body."""
    return len(codec.encode_msgpack(message))


async def measure_grpc_overhead() -> dict[str, float]:
    """Return the bytes of TCP payload that gRPC adds to the bodies of a call."""

    async def echo(body: bytes) -> bytes:
        return body

    clock = clocks.SystemClock()
    server = grpc_peers.GrpcPeerServer(
        handlers_by_method={membership.EXCHANGE: echo}, token="token", clock=clock
    )
    address = await server.start(LOOPBACK, 0)
    relay = CountingRelay(address)
    client = grpc_peers.GrpcPeerClient(token="token", clock=clock)
    relay_address = await relay.start()
    body = bytes(100)
    await client.call(relay_address, membership.EXCHANGE, body, timeout=5)
    first_call_bytes = relay.bytes_forwarded
    for _ in range(WIRE_CALLS):
        await client.call(relay_address, membership.EXCHANGE, body, timeout=5)
    added = (relay.bytes_forwarded - first_call_bytes) / WIRE_CALLS - 2 * len(body)
    await client.close()
    await server.stop(datetime.timedelta())
    await relay.stop()
    return {
        "wire_bytes_per_call": round(added, 1),
        "wire_chunks_per_call": round(relay.chunks / (WIRE_CALLS + 1), 2),
        "wire_bytes_per_connection": first_call_bytes - 2 * len(body),
    }


class CountingRelay:
    """A TCP relay that counts the bytes it forwards."""

    def __init__(self, target: str) -> None:
        self._target = settings.parse_address("target", target)
        self.bytes_forwarded = 0
        self.chunks = 0
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> str:
        """Listen and return the address listened on."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        return settings.format_address(*self._server.sockets[0].getsockname())

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.gather(
            *(writer.wait_closed() for writer in self._writers),
            return_exceptions=True,
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        self._writers += [writer, target_writer]
        await asyncio.gather(
            self._forward(reader, target_writer), self._forward(target_reader, writer)
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                self.bytes_forwarded += len(data)
                self.chunks += 1
                writer.write(data)
        except ConnectionError:
            return


async def measure_all(host_counts: list[int]) -> dict:
    """Run the measurements that need an event loop."""
    report = {**await measure_grpc_overhead(), "by_hosts": []}
    if host_counts:
        report["usage_reports"] = await measure_reports(REPORTING_HOSTS)
    for count in host_counts:
        report["by_hosts"].append(await measure_hosts(count))
    return report


def parse_counts(text: str) -> list[int]:
    """Return the integers of a comma-separated list."""
    return [int(part) for part in text.split(",") if part]


def main() -> None:
    """Run every measurement and print the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=parse_counts, default=[3, 10, 30, 100])
    parser.add_argument("--restarts", type=parse_counts, default=[9, 30, 90])
    parser.add_argument("--entries", type=parse_counts, default=[1000, 10_000, 50_000])
    arguments = parser.parse_args()
    log.configure(level="ERROR")
    report = asyncio.run(measure_all(arguments.hosts))
    report["by_restarts"] = [measure_restarts(count) for count in arguments.restarts]
    report["by_entries"] = [measure_entries(count) for count in arguments.entries]
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
