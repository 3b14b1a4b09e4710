"""Event loop of the membership core: ticks, calls to other hosts, handlers."""

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
from greengagehaven.coordination.membership import core_events, leases, membership_core
from greengagehaven.daemons import membership_metrics
from greengagehaven.protocol import codec, membership, notices, upstream
from greengagehaven.state import directory
from greengagehaven.transport import background_tasks

TICK_S = 0.1
LEAVE_TIMEOUT_S = 1.0
"""Longest wait for the calls in flight when leaving, and for a relayed call."""

_WARNINGS = frozenset({"host_dead", "host_id_conflict", "zone_stale", "stalled"})


class MembershipListener(typing.Protocol):
    """Receives changes of membership and messages from other hosts."""

    def on_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Handle a change of the hosts that share limits, this one included."""

    def on_directory_changed(self, upstream_ids: frozenset[str]) -> None:
        """Handle upstreams that were added, removed or changed."""

    def on_notice(self, host_id: str, payload: msgspec.Struct) -> None:
        """Handle a message from the query path of another host."""


class MembershipLoop:
    """Runs a membership core and carries out its actions.

    :param host_id: id of this host, unique in the environment.
    :param zone: availability zone of this host.
    :param address: ``IP:PORT`` where other hosts reach its peer server.
    :param seeds: addresses of other hosts to join.
    :param served_directory: the directory that the query path reads.
    :param channel: calls to other hosts.
    :param listener: receives changes and messages.
    :param notice_type: type, or tagged union, of the query path's notices.
    :param lease: time for which an announcement is valid without a renewal.
    :param registry: registry for the metrics; ``None`` for no metrics.
    :raises SettingError: other hosts can't reach ``address``.
    """

    def __init__(
        self,
        *,
        host_id: str,
        zone: str,
        address: str,
        seeds: typing.Sequence[str],
        served_directory: directory.Directory,
        channel: peers.PeerChannel,
        listener: MembershipListener,
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
        self._core = membership_core.MembershipCore(
            own_record=own,
            served_directory=served_directory,
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
        self._tick_task: asyncio.Task[None] | None = None
        self._calls: set[asyncio.Task[None]] = set()

    @property
    def core(self) -> membership_core.MembershipCore:
        """Return the core, which callers may only read."""
        return self._core

    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handlers for the peer server."""
        return {
            membership.EXCHANGE: self._handle_exchange,
            membership.SYNC: self._handle_sync,
            membership.RELAY: self._handle_relay,
        }

    def start(self) -> None:
        """Start probing hosts and looking for others to join."""
        self._tick_task = background_tasks.start(self._tick_forever, task="membership")

    async def wait_joined(self) -> None:
        """Wait until this host has joined through a peer or found none.

        It should not accept callers before: it would act as the only host and use
        the full limits of every upstream.
        """
        await self._joined.wait()

    async def leave(self) -> None:
        """Tell the other hosts that this one is leaving, then stop."""
        if not self._core.has_left:
            self._step(core_events.LeaveRequested())
        if self._calls:
            await asyncio.wait(self._calls, timeout=LEAVE_TIMEOUT_S)
        await self.close()

    async def close(self) -> None:
        """Stop without telling the other hosts."""
        tasks = [*self._calls]
        if self._tick_task is not None:
            tasks.append(self._tick_task)
            self._tick_task = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def announce(self, announcement: upstream.Announcement) -> None:
        """Apply an announcement or a renewal of an upstream.

        :raises UpstreamConflictError: another upstream holds the id.
        """
        self._step(core_events.UpstreamAnnounced(announcement=announcement))

    def withdraw(self, upstream_id: str, incarnation: int) -> None:
        """Withdraw the announcement of one incarnation of an upstream."""
        event = core_events.UpstreamWithdrew(
            upstream_id=upstream_id, incarnation=incarnation
        )
        self._step(event)

    def notify(self, payload: msgspec.Struct) -> None:
        """Send a message from this host's query path to all live hosts."""
        event = core_events.NoticePosted(
            payload=codec.encode_msgpack(payload),
            is_report=isinstance(payload, notices.UsageReport),
        )
        self._step(event)

    async def _tick_forever(self) -> None:
        while True:
            self._step(core_events.Ticked())
            await asyncio.sleep(TICK_S)

    def _step(self, event: core_events.Event) -> core_events.Reply | None:
        reply = None
        for action in self._core.step(event):
            if isinstance(action, core_events.Reply):
                reply = action
            else:
                self._carry_out(action)
        if self._core.is_joined:
            self._joined.set()
        return reply

    def _carry_out(self, action: core_events.Action) -> None:
        if isinstance(action, core_events.Call):
            task = asyncio.ensure_future(self._call(action))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
        elif isinstance(action, events.HostsChanged):
            self._listener.on_hosts(action.zones_by_host_id)
        elif isinstance(action, events.DirectoryChanged):
            self._listener.on_directory_changed(action.upstream_ids)
        elif isinstance(action, core_events.DeliverNotice):
            self._deliver_notice(action)
        else:
            self._log_event(action)

    def _log_event(self, action: core_events.LogEvent) -> None:
        self._metrics.count(action.event)
        write = log.warning if action.event in _WARNINGS else log.info
        write(action.event, **action.fields)

    def _deliver_notice(self, action: core_events.DeliverNotice) -> None:
        try:
            payload = codec.decode_msgpack(action.payload, self._notice_type)
        except exceptions.InvalidRequestError as error:
            # A host of another release may send notices that this one can't read.
            log.warning("notice_unreadable", host=action.host_id, detail=error)
            return
        self._listener.on_notice(action.host_id, payload)

    async def _call(self, call: core_events.Call) -> None:
        body = codec.encode_msgpack(call.message)
        is_exchange = isinstance(call.message, membership.Exchange)
        reply_type = membership.Exchange if is_exchange else membership.SyncReply
        method = membership.EXCHANGE if is_exchange else membership.SYNC
        try:
            answer = await self._send(call, method, body)
            message = codec.decode_msgpack(answer, reply_type)
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            log.debug("peer_call_failed", address=call.address, detail=error)
            self._step(core_events.CallFailed(call_id=call.call_id))
            return
        self._step(core_events.CallAnswered(call_id=call.call_id, answer=message))

    async def _send(self, call: core_events.Call, method: str, body: bytes) -> bytes:
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
        return self._reply(core_events.ExchangeReceived(exchange=exchange))

    async def _handle_sync(self, body: bytes) -> bytes:
        request = codec.decode_msgpack(body, membership.SyncRequest)
        return self._reply(core_events.SyncReceived(request=request))

    async def _handle_relay(self, body: bytes) -> bytes:
        request = codec.decode_msgpack(body, membership.RelayRequest)
        if not self._core.has_live_address(request.address):
            raise exceptions.PeerError(
                f"{request.address} is not the address of a known host"
            )
        timeout = min(request.timeout_ms / 1000, LEAVE_TIMEOUT_S)
        return await self._channel.call(
            request.address, membership.EXCHANGE, request.body, timeout=timeout
        )

    def _reply(self, event: core_events.Event) -> bytes:
        reply = self._step(event)
        assert reply is not None
        return codec.encode_msgpack(reply.message)


def _check_reachable(address: str) -> None:
    # Other hosts connect to this address; 0.0.0.0 would lead each of them to itself.
    host, _ = settings.parse_address("peer-listen", address)
    if ipaddress.ip_address(host).is_unspecified:
        raise exceptions.SettingError(
            place="peer-listen",
            value=address,
            expected="an IP address that other hosts can reach, not a wildcard address",
        )
