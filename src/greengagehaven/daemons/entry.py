"""The entry host: connects callers, upstreams and peers to the decision core."""

import asyncio
import dataclasses
import datetime
import pathlib
import random
import ssl
import typing

import msgspec

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log, settings
from greengagehaven import rng as rng_module
from greengagehaven.coordination import core as core_module
from greengagehaven.coordination import events
from greengagehaven.coordination import options as options_module
from greengagehaven.daemons import (
    announce_api,
    caller_api,
    claim_calls,
    core_loop,
    follower,
    membership_loop,
    protection_metrics,
    upstream_path,
)
from greengagehaven.daemons import query_metrics as metrics_module
from greengagehaven.protocol import notices, trace, upstream
from greengagehaven.replay import recording
from greengagehaven.state import configuration, directory, document
from greengagehaven.transport import direct_channel, grpc_peers, http, http_server

PEER_STOP_GRACE = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntrySettings:
    """Settings of an entry host.

    :param listen: ``IP:PORT`` for callers.
    :param announce_listen: ``IP:PORT`` for announcements of upstreams; ``None``
        serves them on ``listen`` too.
    :param peer_listen: ``IP:PORT`` for calls from other hosts, port 0 for any.
    :param seeds: peer addresses of other entry hosts to join.
    :param control_addresses: peer addresses of control hosts.
    :param recorder_addresses_by_id: peer addresses of the recorders of
        idempotency keys, the same on every entry host.
    :param peer_token: secret that the hosts of the environment share.
    :param balancer_wait: time from reporting not ready to refusing connections, in
        which the load balancer stops sending callers.
    :param drain_bound: longest wait for requests in flight.
    :param metrics_token: bearer token required for ``/metrics``; ``None`` for no
        authentication.
    :param record: file for a trace that can be replayed; ``None`` for no trace.
    """

    host_id: str
    zone: str
    listen: str = "127.0.0.1:8080"
    announce_listen: str | None = None
    peer_listen: str = "127.0.0.1:0"
    seeds: tuple[str, ...] = ()
    control_addresses: tuple[str, ...] = ()
    recorder_addresses_by_id: dict[str, str] = dataclasses.field(default_factory=dict)
    peer_token: str | None = None
    balancer_wait: datetime.timedelta = datetime.timedelta(seconds=2)
    drain_bound: datetime.timedelta = datetime.timedelta(seconds=20)
    metrics_token: str | None = None
    record: pathlib.Path | None = None


class EntryHost:
    """An entry host on the running event loop.

    :param options: switches of the decision core.
    :param cancellation: how running sub-requests are cancelled.
    :param tls: TLS context of the listeners; ``None`` for plain TCP.
    :param upstream_tls: TLS context of connections to upstreams; ``None`` for plain
        TCP.
    :param peer_tls: certificates for calls between hosts; ``None`` for plain TCP.
    :param peer_client: calls to other hosts; by default a new client.
    """

    def __init__(
        self,
        *,
        entry_settings: EntrySettings,
        clock: clocks.Clock | None = None,
        rng: rng_module.Rng | None = None,
        options: options_module.Options = options_module.DEFAULT,
        cancellation: direct_channel.CancellationMode = (
            direct_channel.CancellationMode.DELETE
        ),
        tls: ssl.SSLContext | None = None,
        upstream_tls: ssl.SSLContext | None = None,
        peer_tls: grpc_peers.PeerTlsSettings | None = None,
        peer_client: grpc_peers.GrpcPeerClient | None = None,
    ) -> None:
        self.settings = entry_settings
        self._record_file = self._open_record()
        self.clock = clock or clocks.SystemClock()
        self.directory = directory.Directory()
        self.metrics = metrics_module.QueryMetrics()
        self.address = ""
        self.announce_address = ""
        self.peer_address = ""
        self._rng = rng or random.Random()
        self._peer_tls = peer_tls
        self._is_draining = False
        self._digest = ""
        self._drained_zones: frozenset[str] = frozenset()
        self._zones_by_host_id = {entry_settings.host_id: entry_settings.zone}
        self._peer_client = peer_client or grpc_peers.GrpcPeerClient(
            token=entry_settings.peer_token, clock=self.clock, tls=peer_tls
        )
        self._peer_server: grpc_peers.GrpcPeerServer | None = None
        self._membership: membership_loop.MembershipLoop | None = None
        self._follower: follower.ConfigurationFollower | None = None
        self.core = core_module.Core(
            clock=self.clock,
            rng=self._rng,
            directory=self.directory,
            host_id=entry_settings.host_id,
            zone=entry_settings.zone,
            options=options,
            recorder_ids=frozenset(entry_settings.recorder_addresses_by_id),
        )
        self._path = upstream_path.UpstreamPath(
            host_id=entry_settings.host_id,
            clock=self.clock,
            directory_view=self.directory,
            decision_core=self.core,
            peer_channel=self._peer_client,
            address_of=self._peer_address_of,
            has_left=self._has_left,
            options=options,
            cancellation=cancellation,
            tls=upstream_tls,
        )
        self.loop = core_loop.CoreLoop(
            core=self.core,
            channel=self._path.channel,
            clock=self.clock,
            directory_view=self.directory,
            metrics=self.metrics,
            notify=self._notify,
            ask_recorder=self._ask_recorder,
        )
        self._claim_calls = claim_calls.ClaimCalls(
            channel=self._peer_client,
            addresses_by_id=entry_settings.recorder_addresses_by_id,
            submit=self.loop.submit,
            request_status=self.core.request_status,
        )
        protection_metrics.register(self.metrics.registry, lambda: self.core.protection)
        self._caller_api = caller_api.CallerApi(
            loop=self.loop,
            clock=self.clock,
            metrics=self.metrics,
            is_ready=lambda: self.is_ready,
            is_draining=lambda: self._server.draining,
            status_of=self._claim_calls.status_of,
            metrics_token=entry_settings.metrics_token,
        )
        self._announce_api = announce_api.AnnounceApi(store=self)
        self._server = http_server.HttpServer(
            handler=self._handle, clock=self.clock, tls=tls
        )
        self._announce_server: http_server.HttpServer | None = None
        if entry_settings.announce_listen is not None:
            self._announce_server = http_server.HttpServer(
                handler=self._handle_announcement, clock=self.clock, tls=tls
            )

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        if self._is_draining or not self._digest or self._membership is None:
            return False
        is_served = self.settings.zone not in self._drained_zones
        return is_served and self._membership.core.is_joined

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return max(self._server.busy_connection_count, self.loop.waiting_count)

    @property
    def server(self) -> http_server.HttpServer:
        """Return the HTTP server for callers."""
        return self._server

    async def start(self) -> str:
        """Start listening; return the bound ``IP:PORT`` for callers.

        :raises SettingError: an address is invalid or in use.
        """
        host, port = settings.parse_address("listen", self.settings.listen)
        self.address = await self._server.start(host, port)
        self.announce_address = self.address
        if self._announce_server is not None:
            text = typing.cast(str, self.settings.announce_listen)
            host, port = settings.parse_address("announce-listen", text)
            self.announce_address = await self._announce_server.start(host, port)
        self.loop.submit(events.HostsChanged(zones_by_host_id=self._zones_by_host_id))
        await self._start_peers()
        log.info("entry_started", host=self.settings.host_id, address=self.address)
        return self.address

    async def _start_peers(self) -> None:
        handlers_by_method: dict[str, typing.Any] = {}
        self._peer_server = grpc_peers.GrpcPeerServer(
            handlers_by_method=handlers_by_method,
            token=self.settings.peer_token,
            clock=self.clock,
            tls=self._peer_tls,
        )
        host, port = settings.parse_address("peer-listen", self.settings.peer_listen)
        # The bound address is part of this host's membership record, so the server
        # starts first and gets its handlers once they exist.
        self.peer_address = await self._peer_server.start(host, port)
        self._membership = membership_loop.MembershipLoop(
            host_id=self.settings.host_id,
            zone=self.settings.zone,
            address=self.peer_address,
            seeds=self.settings.seeds,
            served_directory=self.directory,
            channel=self._peer_client,
            listener=self,
            clock=self.clock,
            rng=self._rng,
            notice_type=notices.NoticePayload,
            lease=announce_api.LEASE,
            registry=self.metrics.registry,
        )
        handlers_by_method.update(self._membership.handlers_by_method())
        handlers_by_method.update(self._path.handlers_by_method)
        self._membership.start()
        await self._membership.wait_joined()
        self._start_following(handlers_by_method)

    def _start_following(self, handlers_by_method: dict[str, typing.Any]) -> None:
        self._follower = follower.ConfigurationFollower(
            channel=self._peer_client,
            host_id=self.settings.host_id,
            availability_zone=self.settings.zone,
            control_addresses=self.settings.control_addresses,
            peer_addresses=self._other_peer_addresses,
            on_state=self.apply_configuration,
            clock=self.clock,
            rng=self._rng,
            registry=self.metrics.registry,
        )
        handlers_by_method.update(self._follower.handlers_by_method)
        self._follower.start()

    async def wait_in_force(self) -> None:
        """Wait until a document from a control host or a peer is in force."""
        assert self._follower is not None
        await self._follower.wait_in_force()

    async def drain(self) -> int:
        """Stop gracefully; return the number of requests that were cut off.

        The host first reports not ready, so that the load balancer stops sending
        callers, then refuses new connections and queries, then finishes the
        requests in flight. Leaving the membership makes the other hosts choose new
        owners; the sub-requests that they sent here before finish as well.
        """
        self._is_draining = True
        log.info("entry_draining", host=self.settings.host_id)
        await asyncio.sleep(self.settings.balancer_wait.total_seconds())
        cut_off_count = await self._server.drain(self.settings.drain_bound)
        if self._membership is not None:
            await self._membership.leave()
        # Sub-requests of other hosts that this one runs as the owner of upstreams.
        cut_off_count += await self._path.wait_idle(self.settings.drain_bound)
        if cut_off_count:
            log.warning(
                "drain_cut_off", host=self.settings.host_id, requests=cut_off_count
            )
        await self.close()
        return cut_off_count

    async def close(self) -> None:
        """Stop immediately."""
        self.loop.close()
        await self._server.close()
        if self._announce_server is not None:
            await self._announce_server.close()
        self._path.close()
        await self._claim_calls.close()
        await self._close_peers()
        if self._record_file is not None:
            self._record_file.close()
        log.info("entry_stopped", host=self.settings.host_id)

    async def _close_peers(self) -> None:
        if self._follower is not None:
            await self._follower.close()
        if self._membership is not None:
            await self._membership.close()
        if self._peer_server is not None:
            await self._peer_server.stop(PEER_STOP_GRACE)
        await self._peer_client.close()

    def apply_document(self, data: bytes) -> None:
        """Put a document in force that does not come from a control host.

        Any revision from a control host replaces it.

        :raises DocumentError: the document is invalid.
        """
        self.apply_configuration(
            configuration.ConfigurationState(
                document=data, digest=document.digest_of(data)
            )
        )

    def apply_configuration(self, state: configuration.ConfigurationState) -> None:
        """Put a newer configuration in force.

        :raises DocumentError: this version cannot read the document; the previous
            document and drained zones stay in force.
        """
        environment = None
        if state.document and state.digest != self._digest:
            environment = document.parse(state.document)
        self._drained_zones = frozenset(state.drained_zones)
        self._submit(events.ZonesDrained(zones=self._drained_zones))
        if environment is None:
            return
        self._digest = state.digest
        self._record_document(state)
        self._caller_api.set_environment(environment)
        self._submit(
            events.DocumentInForce(revision=state.revision, environment=environment)
        )

    def _record_document(self, state: configuration.ConfigurationState) -> None:
        """Write the document to the trace, which starts with the first one in force."""
        text = state.document.decode()
        if self.loop.trace_recorder is not None:
            self.loop.trace_recorder.record_document(state.revision, text)
        elif self._record_file is not None:
            self.loop.trace_recorder = recording.TraceRecorder(
                host=trace.HostDefinition(
                    id=self.settings.host_id, zone=self.settings.zone
                ),
                document=text,
                directory_view=self.directory,
                clock=self.clock,
                sink=self._record_file.write,
            )

    def _open_record(self) -> typing.BinaryIO | None:
        path = self.settings.record
        if path is None:
            return None
        try:
            return path.open("wb")
        except OSError as error:
            raise exceptions.SettingError(
                place="record",
                value=str(path),
                expected=f"a writable file ({error.strerror})",
            ) from error

    def _submit(self, event: events.Event) -> None:
        self.loop.submit(event)
        self._path.on_event(event)

    def on_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Apply a change of the live entry hosts, which include this one."""
        self._zones_by_host_id = dict(zones_by_host_id)
        self.loop.submit(events.HostsChanged(zones_by_host_id=self._zones_by_host_id))
        self._path.on_hosts()

    def on_notice(self, host_id: str, payload: msgspec.Struct) -> None:
        """Submit a message from the core of another host."""
        self.loop.submit(events.PeerNotice(host_id=host_id, payload=payload))

    def on_directory_changed(self, upstream_ids: frozenset[str]) -> None:
        """Submit that these upstreams were added, removed or changed."""
        self._submit(events.DirectoryChanged(upstream_ids=upstream_ids))

    def announce(self, announcement: upstream.Announcement) -> None:
        """Apply an announcement or a renewal of an upstream.

        :raises UpstreamConflictError: another upstream holds its id.
        """
        self._require_membership().announce(announcement)

    def withdraw(self, upstream_id: str, incarnation: int) -> None:
        """Withdraw the announcement of one incarnation of an upstream."""
        self._require_membership().withdraw(upstream_id, incarnation)

    def _require_membership(self) -> membership_loop.MembershipLoop:
        if self._membership is None:
            raise exceptions.NotConfiguredError("starting", retry_after=1.0)
        return self._membership

    def _other_peer_addresses(self) -> tuple[str, ...]:
        records = self._require_membership().core.view.hosts.records_by_id.values()
        return tuple(
            record.address
            for record in records
            if record.is_live and record.id != self.settings.host_id
        )

    def _has_left(self, host_id: str) -> bool:
        if self._membership is None:
            return False
        return self._membership.core.has_host_left(host_id)

    def _peer_address_of(self, host_id: str) -> str | None:
        record = self._require_membership().core.view.hosts.get(host_id)
        return None if record is None else record.address

    def _notify(self, payload: msgspec.Struct) -> None:
        if self._membership is not None:
            self._membership.notify(payload)

    def _ask_recorder(self, action: events.SendRecorderRequest) -> None:
        self._claim_calls.ask(action)

    async def _handle(self, request: http.Request) -> http.Response:
        if self._announce_server is None and self._announce_api.serves(request.path):
            return await self._announce_api.handle(request)
        return await self._caller_api.handle(request)

    async def _handle_announcement(self, request: http.Request) -> http.Response:
        if not self._announce_api.serves(request.path):
            raise exceptions.NotFoundError(request.path[:100])
        return await self._announce_api.handle(request)
