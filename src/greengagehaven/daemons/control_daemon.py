"""A control host with its sockets: the ``control`` daemon, also run by ``dev``."""

import dataclasses
import datetime
import ssl
import typing
from collections import abc

import prometheus_client

from greengagehaven import clock as clocks
from greengagehaven import exceptions, settings
from greengagehaven import rng as rngs
from greengagehaven.daemons import control_host, operator_api, recorder_host
from greengagehaven.state import folder
from greengagehaven.transport import grpc_peers, http_server

STOP_GRACE = datetime.timedelta(seconds=1)
MAX_DOCUMENT_BODY_BYTES = 4_000_000
RECORDER_FOLDER = "claims"


class ControlDaemon:
    """Binds the sockets of a control host and runs it.

    The ``peer_address`` of the settings may have port 0; the host then advertises
    the port that was bound.

    :param settings: settings of the control host.
    :param operator_address: ``IP:PORT`` for operators; port 0 binds any free port.
    :param peer_token: secret shared by the hosts of the environment.
    :param tokens_by_operator: secret token of each operator, by name.
    :param clock: source of time.
    :param rng: source of randomness for election timeouts.
    :param registry: registry for the metrics.
    :param tls: TLS context of the operators' listener; ``None`` for plain TCP.
    :param peer_tls: certificates for calls between hosts; ``None`` for plain TCP.
    :param on_failure: called after a disk failure has halted the host.
    """

    def __init__(
        self,
        *,
        settings: control_host.ControlSettings,
        operator_address: str = "127.0.0.1:0",
        peer_token: str | None = None,
        tokens_by_operator: abc.Mapping[str, str] | None = None,
        clock: clocks.Clock,
        rng: rngs.Rng,
        registry: prometheus_client.CollectorRegistry | None = None,
        tls: ssl.SSLContext | None = None,
        peer_tls: grpc_peers.PeerTlsSettings | None = None,
        on_failure: abc.Callable[[exceptions.StorageError], None] | None = None,
    ) -> None:
        self.peer_address = settings.peer_address
        self.operator_address = operator_address
        self._settings = settings
        self._tokens_by_operator = tokens_by_operator
        self._clock = clock
        self._rng = rng
        self._registry = registry
        self._on_failure = on_failure
        self._tls = tls
        self._peer_tls = peer_tls
        self._client = grpc_peers.GrpcPeerClient(
            token=peer_token, clock=clock, tls=peer_tls
        )
        self._peer_token = peer_token
        self._handlers_by_method: dict[str, typing.Any] = {}
        self._peer_server: grpc_peers.GrpcPeerServer | None = None
        self._http_server: http_server.HttpServer | None = None
        self._host: control_host.ControlHost | None = None
        self._recorder: recorder_host.RecorderHost | None = None

    @property
    def host(self) -> control_host.ControlHost:
        """Return the control host; valid only after ``start``."""
        assert self._host is not None
        return self._host

    async def start(self) -> None:
        """Bind both sockets and start the control host.

        :raises SettingError: an address or the data folder cannot be used.
        :raises LogDamagedError: the state on disk is corrupt.
        """
        await self._start_peer_server()
        self._host = control_host.ControlHost(
            settings=dataclasses.replace(
                self._settings, peer_address=self.peer_address
            ),
            channel=self._client,
            clock=self._clock,
            rng=self._rng,
            registry=self._registry,
            on_failure=self._on_failure,
        )
        api = operator_api.OperatorApi(
            host=self._host,
            tokens_by_operator=self._tokens_by_operator,
            registry=self._registry,
        )
        await self._host.start()
        if self._settings.host_id in self._settings.recorder_addresses_by_id:
            self._start_recorder()
        for handlers in (self._host.handlers_by_method, api.handlers_by_method):
            for method, handler in handlers.items():
                self._handlers_by_method[method].set(handler)
        self._http_server = http_server.HttpServer(
            handler=api.handle,
            clock=self._clock,
            limits=http_server.ServerLimits(body_bytes=MAX_DOCUMENT_BODY_BYTES),
            tls=self._tls,
        )
        bind = settings.parse_address("operator address", self.operator_address)
        self.operator_address = await self._http_server.start(*bind)

    async def close(self) -> None:
        """Drain operators' requests, stop the host and close the sockets."""
        if self._http_server is not None:
            await self._http_server.drain(STOP_GRACE)
            await self._http_server.close()
        if self._recorder is not None:
            await self._recorder.close()
        if self._host is not None:
            await self._host.close()
        if self._peer_server is not None:
            await self._peer_server.stop(STOP_GRACE)
        await self._client.close()

    def _start_recorder(self) -> None:
        self._recorder = recorder_host.RecorderHost(
            recorder_id=self._settings.host_id,
            addresses_by_id=self._settings.recorder_addresses_by_id,
            channel=self._client,
            clock=self._clock,
            folder=folder.DiskFolder(
                path=f"{self._settings.data_folder}/{RECORDER_FOLDER}"
            ),
            may_be_new=self._settings.bootstrap,
        )
        self._recorder.start()
        for method, handler in self._recorder.handlers_by_method.items():
            self._handlers_by_method[method].set(handler)

    async def _start_peer_server(self) -> None:
        """Bind the peer port, which the host advertises when it starts."""
        methods = (
            *control_host.PEER_METHODS,
            operator_api.OPERATE_METHOD,
            recorder_host.CLAIMS_METHOD,
        )
        self._handlers_by_method = {method: _DeferredHandler() for method in methods}
        self._peer_server = grpc_peers.GrpcPeerServer(
            handlers_by_method={
                method: deferred.handle
                for method, deferred in self._handlers_by_method.items()
            },
            token=self._peer_token,
            clock=self._clock,
            tls=self._peer_tls,
        )
        bind = settings.parse_address("peer address", self._settings.peer_address)
        self.peer_address = await self._peer_server.start(*bind)


class _DeferredHandler:
    """A handler that is set only after the socket is bound."""

    def __init__(self) -> None:
        self._handler: typing.Any = None

    def set(self, handler: typing.Any) -> None:
        """Set the handler that serves calls from now on."""
        self._handler = handler

    async def handle(self, body: bytes) -> bytes:
        """Handle a call.

        :raises QuorumLostError: the handler is not set yet.
        """
        if self._handler is None:
            raise exceptions.QuorumLostError("this host is starting")
        return await self._handler(body)
