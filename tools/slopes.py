"""Measure what control costs a host, as slopes for docs/CAPACITY.md.

    python tools/slopes.py [--hosts 3,10,30,100] [--restarts 9,30,90]
        [--entries 1000,10000,50000]

Prints one JSON object. Hosts run the daemons' own membership loops over gRPC on
loopback in this process; processor time is the process's own, bytes are bodies
of messages (``wire_bytes_per_call`` says what gRPC adds to each), memory of a host
is resident memory, of an entry what Python's allocator handed out.
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

from fakes import wire  # noqa: E402
from greengagehaven import clock as clocks  # noqa: E402
from greengagehaven import log, settings  # noqa: E402
from greengagehaven.coordination import usage  # noqa: E402
from greengagehaven.coordination.membership import antientropy, node, signals  # noqa: E402
from greengagehaven.daemons import membership_loop  # noqa: E402
from greengagehaven.protocol import (  # noqa: E402
    codec,
    membership,
    notices,
    upstream,
)
from greengagehaven.state import directory  # noqa: E402
from greengagehaven.transport import peers  # noqa: E402

ZONES = ("a", "b", "c", "d", "e", "f")
LOOPBACK = "127.0.0.1"
SETTLE_S = 3.0
SPAN_S = 5.0
START_SPACING_S = 0.1
SERVICES = 400
REPORTED_SUBSCRIBERS = 5
REPORTING_HOSTS = 9
RESTARTS = 3
CHANGES = 6
SPACING_S = 3.0
PROBE_CALLS = 200


class NotReachedError(Exception):
    """Hosts did not settle; one processor may be too little for so many."""


class Host:
    """One host's control, on loopback."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.directory = directory.Directory()
        self.clock = clocks.SystemClock()
        self.handlers: dict = {}
        self.server = peers.PeerServer(
            handlers_by_method=self.handlers, token="token", clock=self.clock
        )
        self.client = peers.PeerClient(token="token", clock=self.clock)
        self.hosts: dict[str, str] = {}

    async def start(self, seeds: list[str], port: int = 0) -> str:
        """Listen, join through the seeds and return the address."""
        self.address = await self.server.start(LOOPBACK, port)
        self.loop = membership_loop.MembershipLoop(
            host_id=self.name,
            zone=self.zone,
            address=self.address,
            seeds=seeds,
            served=self.directory,
            channel=self.client,
            listener=self,
            clock=self.clock,
            rng=random.Random(self.name),
        )
        self.handlers.update(self.loop.handlers_by_method())
        self.loop.start()
        return self.address

    async def stop(self) -> None:
        """Leave and close everything."""
        await self.loop.leave()
        await self.server.stop(datetime.timedelta())
        await self.client.close()

    @property
    def bytes(self) -> int:
        """Return bytes of bodies that this host sent."""
        return self.client.bytes_sent + self.server.bytes_sent

    def take_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Take in the hosts in reach."""
        self.hosts = zones_by_host_id

    def take_directory_change(self, upstream_ids: frozenset[str]) -> None:
        """Take in a change of the directory."""

    def take_notice(self, host_id: str, payload: object) -> None:
        """Take a notice."""


async def start_hosts(hosts: list[Host], count: int) -> None:
    """Start hosts and wait until each knows all."""
    for number in range(count):
        zone = ZONES[number % len(ZONES)]
        host = Host(f"{zone}{number}", zone)
        await host.start([each.address for each in hosts[: len(ZONES)]])
        hosts.append(host)
        # All at once they would share one processor while each joins.
        await asyncio.sleep(START_SPACING_S)
    await wait_until(lambda: all(len(host.hosts) == count for host in hosts))


async def wait_until(holds, patience: float = 30.0) -> float:
    """Wait for a condition; return the seconds it took."""
    started = time.monotonic()
    while not holds():
        if time.monotonic() - started > patience:
            raise NotReachedError("a condition of the measurement was not reached")
        await asyncio.sleep(0.02)
    return time.monotonic() - started


async def measure_hosts(count: int) -> dict[str, float | bool]:
    """Cost of control for a host among ``count`` that have nothing to say."""
    before = resident_bytes()
    hosts: list[Host] = []
    try:
        return await measure_settled(hosts, count, before)
    except NotReachedError:
        return {"hosts": count, "settled": False}
    finally:
        await asyncio.gather(*(host.stop() for host in hosts))


async def measure_settled(
    hosts: list[Host], count: int, before: int
) -> dict[str, float | bool]:
    """Start hosts and measure them once each knows all.

    :param hosts: filled with those that were started.
    :param before: resident bytes of the process without them.
    """
    await start_hosts(hosts, count)
    await asyncio.sleep(SETTLE_S)
    after = resident_bytes()
    idle = await measure_span(hosts, SPAN_S)
    seconds = await restart_some(hosts)
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
    """Bytes that restarts cost each host, on a wire in virtual time."""
    tier = wire.Wire(seed=1)
    names = [f"{ZONES[number % len(ZONES)]}{number}" for number in range(count)]
    seeds = tuple(names[: len(ZONES)])
    for name in names:
        tier.start_host(name, name[0], seeds=seeds)
    tier.run(15.0)
    idle = bytes_over(tier, lambda number: None)

    def restart_host(number: int) -> None:
        name = names[-1 - number]
        tier.step(name, signals.LeaveRequested())
        tier.run(0.01)
        tier.kill(name)
        tier.start_host(name, name[0], seeds=seeds)

    hosts = bytes_over(tier, restart_host)
    upstreams = [
        wire.Upstream(tier, f"credits-{number}-{number}", names[number][0])
        for number in range(CHANGES)
    ]
    for each in upstreams:
        each.stop()
    tier.run(5.0)
    idle_later = bytes_over(tier, lambda number: None)

    def change_upstream(number: int) -> None:
        each = upstreams[number]
        each.incarnation += 1
        each.announce()

    changed = bytes_over(tier, change_upstream)
    spread = time_spread(tier, upstreams[0])
    return {
        "hosts": count,
        "idle_body_bytes_per_s": round(idle / SPACING_S / CHANGES / count, 1),
        "host_restart_body_bytes": round((hosts - idle) / CHANGES / count, 1),
        "upstream_change_body_bytes": round(
            (changed - idle_later) / CHANGES / count, 1
        ),
        "upstream_change_known_everywhere_s": round(spread, 2),
    }


def time_spread(tier: wire.Wire, changed: wire.Upstream) -> float:
    """Return virtual seconds until every host knows a change."""
    changed.incarnation += 1
    changed.announce()
    started = tier.clock.monotonic()
    while any(
        host.core.knowledge.upstreams.get(changed.id).incarnation != changed.incarnation
        for host in tier.hosts_by_id.values()
    ):
        tier.run(0.01)
    return tier.clock.monotonic() - started


def bytes_over(tier: wire.Wire, act: typing.Callable[[int], None]) -> int:
    """Return the bytes that all hosts send while something happens."""
    before = tier.bytes
    for number in range(CHANGES):
        act(number)
        tier.run(SPACING_S)
    return tier.bytes - before


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


async def measure_reports(count: int) -> dict[str, float]:
    """Cost of a host among ``count`` that all report usage, beside being idle."""
    hosts: list[Host] = []
    await start_hosts(hosts, count)
    await asyncio.sleep(SETTLE_S)
    idle = await measure_span(hosts, SPAN_S)
    tasks = [asyncio.ensure_future(report_forever(host)) for host in hosts]
    busy = await measure_span(hosts, SPAN_S)
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
    """Report the usage of a few subscribers as often as the core does."""
    usages = tuple(
        notices.SubscriberUsage(f"subscriber-{number}", 1.0)
        for number in range(REPORTED_SUBSCRIBERS)
    )
    while True:
        host.loop.notify(notices.UsageReport(usages=usages))
        await asyncio.sleep(usage.REPORT_INTERVAL_S)


async def measure_span(hosts: list[Host], seconds: float) -> dict[str, float]:
    """Return processor time, bytes and calls of one host in a second."""
    calls = sum(host.client.calls for host in hosts)
    sent = sum(host.bytes for host in hosts)
    spent = time.process_time()
    started = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - started
    share = elapsed * len(hosts)
    return {
        "cpu_share": (time.process_time() - spent) / share,
        "bytes_per_s": (sum(host.bytes for host in hosts) - sent) / share,
        "calls_per_s": (sum(host.client.calls for host in hosts) - calls) / share,
    }


async def restart_some(hosts: list[Host]) -> float:
    """Restart hosts one by one; return the mean time until all know."""
    total = 0.0
    for number in range(RESTARTS):
        index = -1 - number % max(1, len(hosts) - 1)
        old = hosts[index]
        await old.stop()
        fresh = Host(old.name, old.zone)
        seeds = [host.address for host in hosts if host is not old][: len(ZONES)]
        await fresh.start(seeds)
        hosts[index] = fresh

        def is_known(host: Host = fresh) -> bool:
            return all(
                each.loop.core.knowledge.hosts.get(host.name).address == host.address
                for each in hosts
            ) and len(host.hosts) == len(hosts)

        total += await wait_until(is_known)
    return total / RESTARTS


def make_announcement(number: int, sequence: int = 1) -> upstream.Announcement:
    """Return an upstream as today's deployments have them."""
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


def make_core(name: str, zone: str, clock: clocks.Clock) -> node.Membership:
    """Return a core without seeds."""
    own = membership.HostRecord(id=name, zone=zone, address=name, incarnation=1)
    return node.Membership(
        own=own,
        served=directory.Directory(),
        clock=clock,
        rng=random.Random(name),
    )


def vouch_for_all(core: node.Membership, clock: clocks.Clock) -> None:
    """Have a peer of each zone vouch, as exchanges would."""
    for zone in ZONES:
        peer = membership.HostRecord(
            id=f"peer-{zone}", zone=zone, address="peer", incarnation=1
        )
        core.knowledge.vouch(zone, 0, peer, clock.monotonic())


def measure_entries(count: int) -> dict[str, float]:
    """Memory, processor time and bytes of a directory of ``count`` entries."""
    clock = clocks.ManualClock(start=1000.0)
    encoded = [
        codec.encode_msgpack(membership.record_of(make_announcement(number)))
        for number in range(count)
    ]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    core = make_core("a0", "a", clock)
    vouch_for_all(core, clock)
    for data in encoded:
        record = codec.decode_msgpack(data, membership.UpstreamRecord)
        core.knowledge.put_upstream(record, clock.monotonic())
    core.step(signals.Ticked())
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    served = sum(
        core.knowledge.upstreams.is_served(record_id)
        for record_id in core.knowledge.upstreams.records_by_id
    )
    tick = time_ticks(core, clock)
    put = time_put(core, clock, count)
    first, nothing = measure_transfer(core, clock)
    return {
        "entries": count,
        "served": served,
        "python_bytes_per_entry": round((after - before) / count, 1),
        "record_bytes": round(sum(len(data) for data in encoded) / count, 1),
        "tick_us": round(tick, 1),
        "change_us": round(put, 1),
        "join_body_bytes_per_entry": round(first / count, 1),
        "agreeing_body_bytes": nothing,
    }


def time_ticks(core: node.Membership, clock: clocks.ManualClock) -> float:
    """Return processor time of a tick, in microseconds."""
    ticks = 100
    spent = time.process_time()
    for _ in range(ticks):
        clock.advance(0.001)
        core.step(signals.Ticked())
    return (time.process_time() - spent) / ticks * 1e6


def time_put(core: node.Membership, clock: clocks.Clock, count: int) -> float:
    """Return processor time of taking in a changed record, in microseconds."""
    changes = [
        membership.record_of(make_announcement(number, sequence=2))
        for number in range(min(count, 500))
    ]
    spent = time.process_time()
    for record in changes:
        core.knowledge.put_upstream(record, clock.monotonic())
    return (time.process_time() - spent) / len(changes) * 1e6


def measure_transfer(core: node.Membership, clock: clocks.Clock) -> tuple[int, int]:
    """Return body bytes to fill an empty host, and to find that two agree."""
    empty = make_core("a1", "a", clock)
    first = transfer_all(empty, core, clock)
    again = transfer_all(empty, core, clock)
    return first, again


def transfer_all(
    asking: node.Membership, asked: node.Membership, clock: clocks.Clock
) -> int:
    """Compare and transfer every zone, as the daemons do; return body bytes."""
    total = 0
    for zone in ZONES:
        for _ in range(1000):
            sync = antientropy.Sync(zone=zone, peer=asked.knowledge.hosts.own)
            request = antientropy.request(asking.knowledge, zone)
            reply = antientropy.answer(asked.knowledge, request, clock.monotonic())
            total += size(request) + size(reply)
            antientropy.compare(asking.knowledge, sync, reply, clock.monotonic())
            if not sync.difference:
                break
            while sync.wanted_upstreams or sync.wanted_hosts:
                fields = antientropy.next_exchange(asking.knowledge, sync)
                total += transfer_part(asking, asked, fields, clock)
    return total


def transfer_part(
    asking: node.Membership,
    asked: node.Membership,
    fields: dict,
    clock: clocks.Clock,
) -> int:
    """Make one transfer; return its body bytes."""
    question = membership.Exchange(
        sender=asking.knowledge.hosts.own,
        wanted_hosts=fields["wanted_hosts"],
        wanted_upstreams=fields["wanted_upstreams"],
    )
    hosts = tuple(asked.knowledge.hosts.get(each) for each in fields["wanted_hosts"])
    records = tuple(
        asked.knowledge.upstreams.get(each) for each in fields["wanted_upstreams"]
    )
    answer = membership.Exchange(
        sender=asked.knowledge.hosts.own, hosts=hosts, upstreams=records
    )
    for host in hosts:
        asking.knowledge.put_host(host, clock.monotonic())
    for record in records:
        asking.knowledge.put_upstream(record, clock.monotonic())
    return size(question) + size(answer)


def size(message: object) -> int:
    """Return the bytes of a message's body."""
    return len(codec.encode_msgpack(message))


async def measure_wire() -> dict[str, float]:
    """Return what gRPC adds to a body: bytes of TCP payload in each call."""

    async def echo(body: bytes) -> bytes:
        return body

    clock = clocks.SystemClock()
    server = peers.PeerServer(
        handlers_by_method={membership.EXCHANGE: echo}, token="token", clock=clock
    )
    address = await server.start(LOOPBACK, 0)
    relay = CountingRelay(address)
    client = peers.PeerClient(token="token", clock=clock)
    relay_address = await relay.start()
    body = bytes(100)
    await client.call(relay_address, membership.EXCHANGE, body, timeout=5)
    opening = relay.bytes
    for _ in range(PROBE_CALLS):
        await client.call(relay_address, membership.EXCHANGE, body, timeout=5)
    added = (relay.bytes - opening) / PROBE_CALLS - 2 * len(body)
    await client.close()
    await server.stop(datetime.timedelta())
    await relay.stop()
    return {
        "wire_bytes_per_call": round(added, 1),
        "wire_chunks_per_call": round(relay.chunks / (PROBE_CALLS + 1), 2),
        "wire_bytes_per_connection": opening - 2 * len(body),
    }


class CountingRelay:
    """Passes bytes on and counts them."""

    def __init__(self, target: str) -> None:
        self._target = settings.parse_address("target", target)
        self.bytes = 0
        self.chunks = 0
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        return settings.format_address(*self._server.sockets[0].getsockname())

    async def stop(self) -> None:
        """Close the relay and let its connections end."""
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
        far_reader, far_writer = await asyncio.open_connection(*self._target)
        self._writers += [writer, far_writer]
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                self.bytes += len(data)
                self.chunks += 1
                writer.write(data)
        except ConnectionError:
            return


async def measure_all(host_counts: list[int]) -> dict:
    """Measure what needs a loop."""
    report = {**await measure_wire(), "by_hosts": []}
    if host_counts:
        report["usage_reports"] = await measure_reports(REPORTING_HOSTS)
    for count in host_counts:
        report["by_hosts"].append(await measure_hosts(count))
    return report


def parse_counts(text: str) -> list[int]:
    """Return the numbers of a comma-separated list."""
    return [int(part) for part in text.split(",") if part]


def main() -> None:
    """Measure and print."""
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
