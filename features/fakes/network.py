"""A simulated network between membership nodes with link and message faults."""

import collections
import datetime
import heapq
import itertools
import random

from greengagehaven import clock
from greengagehaven.coordination import events
from greengagehaven.coordination.membership import (
    core_events,
    membership_core,
    upstreams,
)
from greengagehaven.protocol import codec, membership, upstream
from greengagehaven.state import directory

TICK_S = 0.1
LATENCY_S = 0.001


class Host:
    """A membership node, its directory and the events that it reported."""

    def __init__(
        self, core: membership_core.MembershipCore, served: directory.Directory
    ) -> None:
        self.core = core
        self.directory = served
        self.zones_by_host_id: dict[str, str] = {}
        self.notices: list[tuple[str, bytes]] = []
        self.log: list[str] = []

    @property
    def upstream_ids(self) -> set[str]:
        return set(self.directory.upstreams_by_id)


class Network:
    """Runs membership nodes on one manual clock; one seed fixes all randomness."""

    def __init__(
        self,
        *,
        seed: int = 1,
        latency_s: float = LATENCY_S,
        retention: upstreams.Retention = membership_core.DEFAULT_RETENTION,
    ) -> None:
        self.retention = retention
        self.clock = clock.ManualClock(start=1000.0)
        self.rng = random.Random(seed)
        self.hosts_by_id: dict[str, Host] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.jitter_s = 0.0
        self.calls_by_host: collections.Counter[str] = collections.Counter()
        self.bytes = 0
        self.upstream_records = 0
        self._frozen_hosts: list[Host] = []
        self._latency_s = latency_s
        self._queue: list = []
        self._order = itertools.count()
        self._incarnation = itertools.count(100)

    def start_host(
        self,
        host_id: str,
        zone: str,
        *,
        seeds: tuple[str, ...] = (),
        incarnation: int | None = None,
    ) -> Host:
        own = membership.HostRecord(
            id=host_id,
            zone=zone,
            address=host_id,
            incarnation=next(self._incarnation) if incarnation is None else incarnation,
        )
        served = directory.Directory()
        core = membership_core.MembershipCore(
            retention=self.retention,
            own_record=own,
            served_directory=served,
            seeds=seeds,
            clock=self.clock,
            rng=random.Random(self.rng.randrange(2**32)),
        )
        host = Host(core, served)
        self.hosts_by_id[host_id] = host
        self._tick(host_id, host)
        return host

    def kill(self, host_id: str) -> None:
        del self.hosts_by_id[host_id]

    def freeze(self, host_id: str) -> Host:
        """Pause a host without ending it; calls to it get no replies."""
        host = self.hosts_by_id.pop(host_id)
        self._frozen_hosts.append(host)
        return host

    def thaw(self, host_id: str, host: Host) -> None:
        self._frozen_hosts.remove(host)
        self.hosts_by_id[host_id] = host
        self._tick(host_id, host)

    def cut(self, sources: set[str], targets: set[str]) -> None:
        self.cut_links |= {(s, t) for s in sources for t in targets if s != t}

    def heal(self) -> None:
        self.cut_links.clear()

    def step(self, host_id: str, event: core_events.Event) -> list[core_events.Action]:
        host = self.hosts_by_id[host_id]
        actions = host.core.step(event)
        for action in actions:
            self._execute(host_id, host, action)
        return actions

    def announce(self, host_id: str, announcement: upstream.Announcement) -> None:
        self.step(host_id, core_events.UpstreamAnnounced(announcement=announcement))

    def run(self, seconds: float) -> None:
        """Advance the clock and run the actions that become due."""
        end = self.clock.monotonic() + seconds
        while self._queue and self._queue[0][0] <= end:
            due_at, _, action = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, due_at - self.clock.monotonic()))
            action()
        self.clock.advance(max(0.0, end - self.clock.monotonic()))

    def step_wall(self, seconds: float) -> None:
        self.clock.step_wall(datetime.timedelta(seconds=seconds))

    def call_later(self, delay: float, action) -> None:
        due_at = self.clock.monotonic() + delay
        heapq.heappush(self._queue, (due_at, next(self._order), action))

    def _tick(self, host_id: str, host: Host) -> None:
        if self.hosts_by_id.get(host_id) is not host:
            return
        self.step(host_id, core_events.Ticked())
        self.call_later(TICK_S, lambda: self._tick(host_id, host))

    def _execute(self, host_id: str, host: Host, action: core_events.Action) -> None:
        if isinstance(action, core_events.Call):
            self._call(host_id, host, action)
        elif isinstance(action, events.HostsChanged):
            host.zones_by_host_id = action.zones_by_host_id
        elif isinstance(action, core_events.DeliverNotice):
            host.notices.append((action.host_id, action.payload))
        elif isinstance(action, core_events.LogEvent):
            host.log.append(action.event)

    def _call(self, source: str, host: Host, call: core_events.Call) -> None:
        state = {"is_over": False}

        def end(event: core_events.Event) -> None:
            if host in self._frozen_hosts:
                self.call_later(TICK_S, lambda: end(event))
            elif not state["is_over"] and self.hosts_by_id.get(source) is host:
                state["is_over"] = True
                self.step(source, event)

        body = codec.encode_msgpack(call.message)
        self.calls_by_host[source] += 1
        if isinstance(call.message, membership.Exchange):
            self.upstream_records += len(call.message.upstreams)
        self.bytes += len(body)
        failed = core_events.CallFailed(call_id=call.call_id)
        self.call_later(call.timeout, lambda: end(failed))
        hops = [source, call.address]
        if call.relay_address is not None:
            hops.insert(1, call.relay_address)

        def arrive() -> None:
            answer = self._deliver(call.address, type(call.message), body)
            if answer is None:
                return
            reply_type = (
                membership.Exchange
                if isinstance(call.message, membership.Exchange)
                else membership.SyncReply
            )
            self.bytes += len(answer)
            message = codec.decode_msgpack(answer, reply_type)
            event = core_events.CallAnswered(call_id=call.call_id, answer=message)
            self._transmit(hops[::-1], lambda: end(event))

        self._transmit(hops, arrive)
        if self.rng.random() < self.duplication:
            self._transmit(hops, arrive)

    def _transmit(self, hops: list[str], arrive) -> None:
        for link in itertools.pairwise(hops):
            if link in self.cut_links or link[0] not in self.hosts_by_id:
                return
            if self.rng.random() < self.loss:
                return
        delay = self._latency_s * (len(hops) - 1)
        self.call_later(delay + self.rng.random() * self.jitter_s, arrive)

    def _deliver(self, host_id: str, message_type: type, body: bytes) -> bytes | None:
        if host_id not in self.hosts_by_id:
            return None
        message = codec.decode_msgpack(body, message_type)
        if message_type is membership.Exchange:
            event = core_events.ExchangeReceived(exchange=message)
        else:
            event = core_events.SyncReceived(request=message)
        actions = self.step(host_id, event)
        replies = [each for each in actions if isinstance(each, core_events.Reply)]
        assert len(replies) == 1, replies
        return codec.encode_msgpack(replies[0].message)


class Upstream:
    """An upstream that renews its lease at a random host until it is stopped."""

    def __init__(
        self,
        network: Network,
        upstream_id: str,
        zone: str,
        *,
        hosts: tuple[str, ...] = (),
        incarnation: int = 100,
        address: str | None = None,
    ) -> None:
        self.network = network
        self.id = upstream_id
        self.zone = zone
        self.hosts = hosts or tuple(sorted(network.hosts_by_id))
        self.incarnation = incarnation
        self.address = address or f"127.0.0.1:{network.rng.randrange(4000, 5000)}"
        self.sequence = 0
        self.snapshots = (41, 42)
        self.max_connections = 25
        self.state = upstream.UpstreamState.READY
        self.is_running = True
        self._renew()

    def announcement(self) -> upstream.Announcement:
        shard = upstream.HostedShard(
            service="credits-0", shard=0, shard_count=1, partitioning=3
        )
        return upstream.Announcement(
            id=self.id,
            incarnation=self.incarnation,
            sequence=self.sequence,
            address=self.address,
            availability_zone=self.zone,
            state=self.state,
            slots=2,
            max_connections=self.max_connections,
            snapshots=self.snapshots,
            shards=(shard,),
        )

    def announce(self, host_id: str | None = None) -> None:
        self.sequence += 1
        live = [host for host in self.hosts if host in self.network.hosts_by_id]
        if host_id is None and live:
            host_id = self.network.rng.choice(live)
        if host_id is not None:
            self.network.announce(host_id, self.announcement())

    def withdraw(self, host_id: str) -> None:
        self.is_running = False
        event = core_events.UpstreamWithdrew(
            upstream_id=self.id, incarnation=self.incarnation
        )
        self.network.step(host_id, event)

    def stop(self) -> None:
        self.is_running = False

    def _renew(self) -> None:
        if self.is_running:
            self.announce()
            self.network.call_later(1.0, self._renew)
