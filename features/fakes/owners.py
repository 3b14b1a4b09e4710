"""Owner channels of several hosts, connected by a fake peer channel."""

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


class FakeDirectChannel:
    """Direct channel of one host to the upstream; the test ends sub-requests."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.callbacks_by_id = {}

    def dispatch(self, batch, on_outcome):
        for sub_request in batch:
            self.hosts.running_by_id[sub_request.id] = (sub_request, self)
            self.hosts.dispatched_ids.append(sub_request.id)
            self.callbacks_by_id[sub_request.id] = on_outcome
        self.hosts.peak_in_flight = max(
            self.hosts.peak_in_flight, len(self.hosts.running_by_id)
        )

    def cancel(self, request_id, attempt):
        sub_request, _ = self.hosts.running_by_id.pop((request_id, attempt))
        self.end(make_failure(sub_request, upstream.FailureReason.CANCELLED))

    def end(self, outcome):
        self.callbacks_by_id.pop((outcome.request_id, outcome.attempt))(outcome)


class FakePeerChannel:
    """Calls between hosts; the next call can be delayed."""

    def __init__(self):
        self.handlers_by_address = {}
        self.unreachable = set()
        self.next_call_event = None

    async def call(self, address, method, body, *, timeout):
        if address in self.unreachable:
            raise exceptions.PeerError("no answer")
        if self.next_call_event is not None:
            event, self.next_call_event = self.next_call_event, None
            await event.wait()
        return await self.handlers_by_address[address][method](body)


class FakeHosts:
    """Hosts in three zones and one upstream with 2 slots in zone a."""

    def __init__(self, count):
        self.clock = clock.ManualClock()
        self.peer_channel = FakePeerChannel()
        self.directory = directory.Directory()
        self.running_by_id = {}
        self.dispatched_ids = []
        self.peak_in_flight = 0
        self.outcomes = []
        self.sent_counts_by_host = collections.Counter()
        self.channels_by_id = {}
        self.ownerships_by_id = {}
        self.gates_by_host_id = {}
        self.departed_ids = set()
        self.directory.apply_announcement(fake_core.announce("u-1"))
        self.zones_by_host_id = {
            f"h-{number}": ZONES[number % len(ZONES)] for number in range(count)
        }
        for host_id, zone in self.zones_by_host_id.items():
            self.add_host(host_id, zone)

    @property
    def announcement(self):
        return self.directory.upstreams_by_id["u-1"]

    @property
    def owner_id(self):
        return self.ownerships_by_id["h-1"].owner_of(self.announcement)

    def add_host(self, host_id, zone):
        owner_lookup = ownership.Ownership(host_id=host_id, zone=zone)
        owner_lookup.set_hosts(self.zones_by_host_id)
        upstream_gates = gates.Gates(
            clock=self.clock,
            directory=self.directory,
            usable=lambda announcement: (
                announcement.state is upstream.UpstreamState.READY
            ),
        )
        channel = owner_channel.OwnerChannel(
            host_id=host_id,
            clock=self.clock,
            directory_view=self.directory,
            owners=owner_lookup,
            upstream_gates=upstream_gates,
            direct=FakeDirectChannel(self),
            peer_channel=self.peer_channel,
            address_of=lambda peer_id: peer_id,
            has_left=self.departed_ids.__contains__,
        )
        self.peer_channel.handlers_by_address[host_id] = channel.handlers_by_method
        self.channels_by_id[host_id] = channel
        self.ownerships_by_id[host_id] = owner_lookup
        self.gates_by_host_id[host_id] = upstream_gates

    def send(self, host_id, count=1):
        """Dispatch sub-requests from a host."""
        for _ in range(count):
            self.sent_counts_by_host[host_id] += 1
            sub_request = upstream.SubRequest(
                request_id=f"r-{host_id}",
                attempt=self.sent_counts_by_host[host_id],
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

    def reply_to_oldest(self, seconds=0.02):
        """Reply to the oldest sub-request after another ``seconds``."""
        sub_request, channel = self.running_by_id.pop(next(iter(self.running_by_id)))
        self.clock.advance(seconds)
        channel.end(
            upstream.Replied(
                request_id=sub_request.request_id,
                attempt=sub_request.attempt,
                upstream_id="u-1",
                rows=(msgspec.Raw(b"{}"),),
            )
        )

    async def deliver_calls(self):
        """Let pending calls between the hosts complete."""
        for _ in range(20):
            await asyncio.sleep(0)

    async def run_replies(self, replies, seconds=0.02):
        """Deliver up to ``replies`` replies while sub-requests are in flight."""
        await self.deliver_calls()
        for _ in range(replies):
            if not self.running_by_id:
                return
            self.reply_to_oldest(seconds)
            await self.deliver_calls()


def make_failure(sub_request, reason):
    """Return a failed outcome for a sub-request."""
    return upstream.Failed(
        request_id=sub_request.request_id,
        attempt=sub_request.attempt,
        upstream_id=sub_request.upstream_id,
        reason=reason,
        not_run=False,
    )
