"""Drives the membership core over calls between hosts."""

import asyncio
import datetime
import ipaddress
import typing

import msgspec
import prometheus_client

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log, settings
from greengagehaven import rng as rngs
from greengagehaven.coordination import events, peers
from greengagehaven.coordination.membership import leases, node, signals
from greengagehaven.daemons import membership_metrics
from greengagehaven.protocol import codec, membership, notices, upstream
from greengagehaven.state import directory

TICK_S = 0.1
LEAVE_PATIENCE_S = 1.0

_WARNINGS = frozenset({"host_dead", "host_id_conflict", "zone_stale", "stalled"})


class Listener(typing.Protocol):
    """Who is told what membership finds out."""

    def on_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Take in the hosts whose shares count, this one included."""

    def take_directory_change(self, upstream_ids: frozenset[str]) -> None:
        """Take in that these upstreams came, went or changed."""

    def take_notice(self, host_id: str, payload: msgspec.Struct) -> None:
        """Take a message of another host's query path."""


class MembershipLoop:
    """The one place where the core's actions become input and output.

    :param host_id: name of this host, unique in the environment.
    :param zone: availability zone of this host.
    :param address: ``IP:PORT`` where other hosts reach its peer server.
    :param seeds: addresses of other hosts to start from.
    :param served: the directory that the query path reads.
    :param channel: the way to other hosts.
    :param listener: who is told of changes.
    :param notice_type: type, or tagged union, of the query path's notices.
    :param lease: how long an upstream's announcement holds.
    :param registry: where metrics are registered, ``None`` for nowhere.
    :raises SettingError: ``address`` is one that no other host can reach.
    """

    def __init__(
        self,
        *,
        host_id: str,
        zone: str,
        address: str,
        seeds: typing.Sequence[str],
        served: directory.Directory,
        channel: peers.PeerChannel,
        listener: Listener,
        clock: clocks.Clock,
        rng: rngs.Rng,
        notice_type: typing.Any = typing.Any,
        lease: datetime.timedelta = datetime.timedelta(seconds=leases.LEASE_S),
        registry: prometheus_client.CollectorRegistry | None = None,
    ) -> None:
        _check_reachable(address)
        own = membership.HostRecord(
            id=host_id,
            zone=zone,
            address=address,
            incarnation=int(clock.now().timestamp() * 1000),
        )
        self._core = node.Membership(
            own=own,
            served=served,
            seeds=seeds,
            clock=clock,
            rng=rng,
            lease=lease.total_seconds(),
        )
        self._metrics = membership_metrics.MembershipMetrics(
            core=self._core, clock=clock, prometheus=registry
        )
        self._channel = channel
        self._listener = listener
        self._notice_type = notice_type
        self._joined = asyncio.Event()
        self._ticking: asyncio.Task[None] | None = None
        self._calls: set[asyncio.Task[None]] = set()

    @property
    def core(self) -> node.Membership:
        """Return the core, to be read only."""
        return self._core

    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return what the peer server has to serve."""
        return {
            membership.EXCHANGE: self._handle_exchange,
            membership.SYNC: self._handle_sync,
            membership.RELAY: self._handle_relay,
        }

    def start(self) -> None:
        """Begin to probe and to look for other hosts."""
        self._ticking = asyncio.ensure_future(self._tick_forever())

    async def wait_joined(self) -> None:
        """Wait until this host has started from a peer or found none.

        It should take no callers before: it would take itself for the only
        host and use the whole of every upstream.
        """
        await self._joined.wait()

    async def leave(self) -> None:
        """Tell the other hosts that this one stops, and stop."""
        if not self._core.has_left:
            self._step(signals.LeaveRequested())
        if self._calls:
            await asyncio.wait(self._calls, timeout=LEAVE_PATIENCE_S)
        await self.close()

    async def close(self) -> None:
        """Stop without a word."""
        tasks = [*self._calls]
        if self._ticking is not None:
            tasks.append(self._ticking)
            self._ticking = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def announce(self, announcement: upstream.Announcement) -> None:
        """Take an announcement or renewal of an upstream.

        :raises UpstreamConflictError: another upstream holds the id.
        """
        self._step(signals.UpstreamAnnounced(announcement=announcement))

    def withdraw(self, upstream_id: str, incarnation: int) -> None:
        """Take back what an upstream announced in one incarnation."""
        event = signals.UpstreamWithdrew(
            upstream_id=upstream_id, incarnation=incarnation
        )
        self._step(event)

    def notify(self, payload: msgspec.Struct) -> None:
        """Send a message of this host's query path to all live hosts."""
        event = signals.NoticePosted(
            payload=codec.encode_msgpack(payload),
            is_report=isinstance(payload, notices.UsageReport),
        )
        self._step(event)

    async def _tick_forever(self) -> None:
        while True:
            self._step(signals.Ticked())
            await asyncio.sleep(TICK_S)

    def _step(self, event: signals.Event) -> signals.Reply | None:
        reply = None
        for action in self._core.step(event):
            if isinstance(action, signals.Reply):
                reply = action
            else:
                self._carry_out(action)
        if self._core.is_joined:
            self._joined.set()
        return reply

    def _carry_out(self, action: signals.Action) -> None:
        if isinstance(action, signals.Call):
            task = asyncio.ensure_future(self._call(action))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
        elif isinstance(action, events.HostsChanged):
            self._listener.on_hosts(action.zones_by_host_id)
        elif isinstance(action, events.DirectoryChanged):
            self._listener.take_directory_change(action.upstream_ids)
        elif isinstance(action, signals.NoticeReceived):
            self._take_notice(action)
        else:
            self._note(action)

    def _note(self, action: signals.Noted) -> None:
        self._metrics.count(action.event)
        write = log.warning if action.event in _WARNINGS else log.info
        write(action.event, **action.fields)

    def _take_notice(self, action: signals.NoticeReceived) -> None:
        try:
            payload = codec.decode_msgpack(action.payload, self._notice_type)
        except exceptions.InvalidRequestError as error:
            # A host of another release may send what this one does not know.
            log.warning("notice_unreadable", host=action.host_id, detail=error)
            return
        self._listener.take_notice(action.host_id, payload)

    async def _call(self, call: signals.Call) -> None:
        body = codec.encode_msgpack(call.message)
        is_exchange = isinstance(call.message, membership.Exchange)
        reply_type = membership.Exchange if is_exchange else membership.SyncReply
        method = membership.EXCHANGE if is_exchange else membership.SYNC
        try:
            answer = await self._send(call, method, body)
            message = codec.decode_msgpack(answer, reply_type)
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            log.debug("peer_call_failed", address=call.address, detail=error)
            self._step(signals.CallFailed(call_id=call.call_id))
            return
        self._step(signals.CallAnswered(call_id=call.call_id, answer=message))

    async def _send(self, call: signals.Call, method: str, body: bytes) -> bytes:
        if call.relay_address is None:
            return await self._channel.call(
                call.address, method, body, timeout=call.timeout
            )
        request = membership.RelayRequest(
            address=call.address, body=body, timeout_ms=int(call.timeout * 1000)
        )
        return await self._channel.call(
            call.relay_address,
            membership.RELAY,
            codec.encode_msgpack(request),
            timeout=call.timeout,
        )

    async def _handle_exchange(self, body: bytes) -> bytes:
        exchange = codec.decode_msgpack(body, membership.Exchange)
        return self._reply(signals.ExchangeReceived(exchange=exchange))

    async def _handle_sync(self, body: bytes) -> bytes:
        request = codec.decode_msgpack(body, membership.SyncRequest)
        return self._reply(signals.SyncReceived(request=request))

    async def _handle_relay(self, body: bytes) -> bytes:
        request = codec.decode_msgpack(body, membership.RelayRequest)
        if not self._core.knows_address(request.address):
            raise exceptions.PeerError(f"{request.address} is no host known here")
        timeout = min(request.timeout_ms / 1000, LEAVE_PATIENCE_S)
        return await self._channel.call(
            request.address, membership.EXCHANGE, request.body, timeout=timeout
        )

    def _reply(self, event: signals.Event) -> bytes:
        reply = self._step(event)
        assert reply is not None
        return codec.encode_msgpack(reply.message)


def _check_reachable(address: str) -> None:
    # Told to others, 0.0.0.0 leads each of them to itself.
    host, _ = settings.parse_address("peer-listen", address)
    if ipaddress.ip_address(host).is_unspecified:
        raise exceptions.SettingError(
            place="peer-listen",
            value=address,
            expected="an IP number that other hosts can reach, as they are told it",
        )
