"""Owner channels of several hosts, joined by a fake wire."""

import asyncio
import collections

import msgspec

from fakes import core as fake_core
from greengagehaven import clock, exceptions
from greengagehaven.coordination import gates, ownership
from greengagehaven.protocol import upstream
from greengagehaven.state import directory
from greengagehaven.transport import owner_channel

ZONES = "abc"


class FakeUpstream:
    """Direct channel of one host; sub-requests end when told."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.outcomes_by_id = {}

    def dispatch(self, batch, on_outcome):
        for sub_request in batch:
            self.hosts.running[sub_request.id] = (sub_request, self)
            self.hosts.ran.append(sub_request.id)
            self.outcomes_by_id[sub_request.id] = on_outcome
        self.hosts.peak = max(self.hosts.peak, len(self.hosts.running))

    def cancel(self, request_id, attempt):
        sub_request, _ = self.hosts.running.pop((request_id, attempt))
        self.end(fail(sub_request, upstream.FailureReason.CANCELLED))

    def end(self, outcome):
        self.outcomes_by_id.pop((outcome.request_id, outcome.attempt))(outcome)


class FakeWire:
    """Calls between hosts; some may be held back."""

    def __init__(self):
        self.handlers_by_address = {}
        self.dead = set()
        self.held = None

    async def call(self, address, method, body, *, timeout):
        if address in self.dead:
            raise exceptions.PeerError("no answer")
        if self.held is not None:
            held, self.held = self.held, None
            await held.wait()
        return await self.handlers_by_address[address][method](body)


class FakeHosts:
    """Hosts of three zones and one upstream with 2 slots in zone a."""

    def __init__(self, count):
        self.clock = clock.ManualClock()
        self.wire = FakeWire()
        self.directory = directory.Directory()
        self.running = {}
        self.ran = []
        self.peak = 0
        self.outcomes = []
        self.sent = collections.Counter()
        self.channels_by_id = {}
        self.owners_by_id = {}
        self.gates_by_host = {}
        self.left = set()
        self.directory.put(fake_core.announce("u-1"))
        self.zones = {
            f"h-{number}": ZONES[number % len(ZONES)] for number in range(count)
        }
        for host_id, zone in self.zones.items():
            self.add(host_id, zone)

    @property
    def announcement(self):
        return self.directory.upstreams_by_id["u-1"]

    @property
    def owner_id(self):
        return self.owners_by_id["h-1"].owner_of(self.announcement)

    def add(self, host_id, zone):
        owners = ownership.Ownership(host_id=host_id, zone=zone)
        owners.set_hosts(self.zones)
        held = gates.Gates(
            clock=self.clock,
            directory=self.directory,
            usable=lambda known: known.state is upstream.UpstreamState.READY,
        )
        channel = owner_channel.OwnerChannel(
            host_id=host_id,
            clock=self.clock,
            directory_view=self.directory,
            owners=owners,
            upstream_gates=held,
            direct=FakeUpstream(self),
            peer_channel=self.wire,
            address_of=lambda known: known,
            has_left=self.left.__contains__,
        )
        self.wire.handlers_by_address[host_id] = channel.handlers_by_method
        self.channels_by_id[host_id] = channel
        self.owners_by_id[host_id] = owners
        self.gates_by_host[host_id] = held

    def send(self, host_id, count=1):
        """Send sub-requests from a host."""
        for _ in range(count):
            self.sent[host_id] += 1
            sub_request = upstream.SubRequest(
                request_id=f"r-{host_id}",
                attempt=self.sent[host_id],
                upstream_id="u-1",
                incarnation=self.announcement.incarnation,
                address="127.0.0.1:9",
                shard_ref=upstream.ShardRef("credits-0", 0),
                snapshot=41,
                partitioning=1,
                deadline=self.clock.monotonic() + 1000.0,
                kind="sweep",
                query=msgspec.Raw(b"{}"),
            )
            self.channels_by_id[host_id].dispatch([sub_request], self.outcomes.append)

    def reply(self, seconds=0.02):
        """Let what runs longest end after ``seconds`` more."""
        sub_request, channel = self.running.pop(next(iter(self.running)))
        self.clock.advance(seconds)
        channel.end(
            upstream.Replied(
                request_id=sub_request.request_id,
                attempt=sub_request.attempt,
                upstream_id="u-1",
                rows=(msgspec.Raw(b"{}"),),
            )
        )

    async def settle(self):
        """Let calls between the hosts go through."""
        for _ in range(20):
            await asyncio.sleep(0)

    async def work(self, replies, seconds=0.02):
        """Keep every host's sub-requests going for some replies."""
        await self.settle()
        for _ in range(replies):
            if not self.running:
                return
            self.reply(seconds)
            await self.settle()


def fail(sub_request, reason):
    """Return a failure of a sub-request."""
    return upstream.Failed(
        request_id=sub_request.request_id,
        attempt=sub_request.attempt,
        upstream_id=sub_request.upstream_id,
        reason=reason,
        not_run=False,
    )
