"""A control host that also accepts upstream announcements and numbered documents."""

import asyncio
import dataclasses
import datetime
import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log, settings
from greengagehaven import rng as rngs
from greengagehaven.coordination import control_host_selection
from greengagehaven.daemons import (
    control_host,
    exposition,
    orders,
    registrar,
    rollout_controller,
    rollout_reports,
    roster_feed,
    roster_file,
    usage_reports,
    watcher,
)
from greengagehaven.protocol import watching
from greengagehaven.state import configuration, folder, roster
from greengagehaven.transport import background_tasks, http, http_peers, http_server

STOP_GRACE = datetime.timedelta(seconds=1)
MAX_BODY_BYTES = 8_000_000
REOPEN_DELAY_S = 1.0
ANNOUNCE_TIMEOUT_PERIODS = 4.5
ROSTER_FOLDER = "roster"

MakeHandler = abc.Callable[[orders.OrderExecutor, registrar.Registrar], http.Handler]


class RegistryDaemon:
    """Binds the sockets of a control host and runs it.

    :param settings: settings of the control host.
    :param listen: ``IP:PORT`` for upstreams and operators.
    :param zone: availability zone of this host.
    :param announce_period: seconds between two announcements of an upstream.
    :param metrics_listen: ``IP:PORT`` for metrics, ``None`` to serve none.
    :param usage_window: seconds of the window in which teams' usage is counted,
        ``None`` without usage caps.
    :param make_handler: returns the HTTP handler for requests to ``listen``.
    :param clock: source of time.
    :param rng: source of randomness for election timeouts.
    """

    def __init__(
        self,
        *,
        settings: control_host.ControlSettings,
        listen: str,
        zone: str,
        announce_period: float,
        metrics_listen: str | None = None,
        usage_window: float | None = None,
        make_handler: MakeHandler,
        clock: clocks.Clock,
        rng: rngs.Rng,
    ) -> None:
        self._settings = settings
        self.has_refused_settings = False
        self._listen = listen
        self._zone = zone
        self._metrics_listen = metrics_listen
        self._metrics = exposition.MetricsServer(registry=self._make_registry)
        self._make_handler = make_handler
        self._clock = clock
        self._rng = rng
        self._client = http_peers.HttpPeerClient(clock=clock)
        self._roster = roster.Roster(
            host_name=settings.host_id,
            silence_timeout=ANNOUNCE_TIMEOUT_PERIODS * announce_period,
            configured_services=self._configured_services,
        )
        self._roster_file = roster_file.RosterFile(
            roster=self._roster,
            open_folder=lambda: folder.DiskFolder(
                path=f"{settings.data_folder}/{ROSTER_FOLDER}"
            ),
            clock=clock,
        )
        self._watcher = watcher.Watcher(
            channel=self._client,
            host_id=settings.host_id,
            availability_zone=zone,
            is_entry=False,
            control_addresses=settings.peer_addresses,
            own_address=settings.peer_address,
            follows_configuration=False,
            control_host_selector=control_host_selection.AllControlHosts(),
            sink=self,
            clock=clock,
            rng=rng,
        )
        self._usage_aggregator = (
            None
            if usage_window is None
            else usage_reports.UsageAggregator(
                window=usage_window,
                channel=self._client,
                addresses=self._other_control_addresses,
                clock=clock,
            )
        )
        self._handlers_by_method: dict[str, typing.Any] = {}
        self._peer_server: http_peers.HttpPeerServer | None = None
        self._http_server: http_server.HttpServer | None = None
        self._host: control_host.ControlHost | None = None
        self._services_digest = ""
        self._services: abc.Container[str] = ()
        self._feed: roster_feed.RosterFeed | None = None
        self._rollout_controller: rollout_controller.RolloutController | None = None
        self._reopen_task: asyncio.Task[None] | None = None

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return 0 if self._http_server is None else self._http_server.unanswered_count

    @property
    def is_leader(self) -> bool:
        """Return whether this control host leads the others."""
        return self._host is not None and self._host.is_leader

    async def start(self) -> None:
        """Bind the sockets and start the control host.

        :raises SettingError: an address or the data folder cannot be used.
        :raises LogDamagedError: the state on disk is corrupt.
        """
        self._roster_file.load()
        await self._start_peer_server()
        self._http_server = http_server.HttpServer(
            handler=self._handle,
            clock=self._clock,
            limits=http_server.ServerLimits(body_bytes=MAX_BODY_BYTES),
        )
        await self._http_server.start(*settings.parse_address("listen", self._listen))
        if self._metrics_listen is not None:
            bind = settings.parse_address("metrics", self._metrics_listen)
            await self._metrics.start(*bind)
        await self._open_host()
        self._watcher.start()

    def set_control_addresses(self, addresses: abc.Iterable[str]) -> None:
        """Watch these control hosts as well, and join their group through them."""
        others = tuple(
            address for address in addresses if address != self._settings.peer_address
        )
        # A group is created only among the control hosts named at the start.
        self._settings = dataclasses.replace(
            self._settings, peer_addresses=others, bootstrap=False
        )
        if self._host is not None:
            self._host.set_peer_addresses(others)
        self._watcher.set_seeds(others)

    async def drain(self) -> int:
        """Drain HTTP requests, then stop; return the number of unfinished requests."""
        assert self._http_server is not None
        unfinished_count = await self._http_server.drain(STOP_GRACE)
        await self.close()
        return unfinished_count

    async def close(self) -> None:
        """Stop the host and close the sockets."""
        if self._reopen_task is not None:
            self._reopen_task.cancel()
        await self._watcher.close()
        if self._http_server is not None:
            await self._http_server.close()
        await self._metrics.close()
        if self._usage_aggregator is not None:
            await self._usage_aggregator.close()
        await self._close_host()
        if self._peer_server is not None:
            await self._peer_server.stop(STOP_GRACE)
        await self._client.close()

    def on_upstream_entries(self, entries: tuple[watching.UpstreamEntry, ...]) -> None:
        """Merge the upstreams that another control host knows."""
        if self._feed is not None:
            self._feed.merge(entries)

    def on_configuration(self, state: configuration.ConfigurationState) -> None:
        """Ignore the configuration; a control host gets it from the log."""

    def on_configuration_confirmed(self, revision: int, confirmed_at: float) -> None:
        """Ignore the confirmation; a control host accepts no keys of teams."""

    def on_entry_host_count(self, count: int) -> None:
        """Ignore the count; each control host counts its own watchers."""

    def on_crashes(self, crashes: tuple[watching.Crash, ...]) -> None:
        """Ignore crashes; entry hosts report them to every control host."""

    def on_outliers(self, outliers: tuple[watching.Outlier, ...]) -> None:
        """Merge outliers that another control host reports."""
        if self._feed is not None:
            self._feed.merge_outliers(outliers)

    def on_entry_hosts(self, hosts: tuple[watching.HostEntry, ...]) -> None:
        """Ignore entry hosts; only entry hosts delegate work to each other."""

    def _make_registry(self) -> typing.Any:
        if self._host is None:
            raise exceptions.QuorumLostError("this host is starting")
        return exposition.make_registry(
            self._host.metrics,
            exposition.TrafficCollector(traffic=self._client.call_counts),
            exposition.SettingsCollector(is_refused=lambda: self.has_refused_settings),
            exposition.TaskCollector(),
        )

    async def _handle(self, request: http.Request) -> http.Response:
        handler = self._handler
        if handler is None:
            raise exceptions.QuorumLostError("this host is starting")
        return await handler(request)

    async def _start_peer_server(self) -> None:
        methods = (
            *control_host.PEER_METHODS,
            orders.ORDER_METHOD,
            roster_feed.WATCH_METHOD,
            roster_feed.CRASH_METHOD,
            roster_feed.OUTLIERS_METHOD,
            rollout_reports.REPORT_METHOD,
        )
        self._handlers_by_method = {}
        self._handler: http.Handler | None = None
        handlers = {method: self._deferred_handler(method) for method in methods}
        usage_options: dict[str, typing.Any] = {}
        if self._usage_aggregator is not None:
            # Usage does not depend on the log, so its handlers are ready at once.
            handlers |= self._usage_aggregator.handlers_by_method
            usage_options = {
                "connection_handlers_by_method": (
                    self._usage_aggregator.connection_handlers_by_method
                ),
                "on_connection_closed": self._usage_aggregator.on_connection_closed,
            }
        self._peer_server = http_peers.HttpPeerServer(
            handlers_by_method=handlers, clock=self._clock, **usage_options
        )
        bind = settings.parse_address("peer address", self._settings.peer_address)
        await self._peer_server.start(*bind)

    def _deferred_handler(self, method: str) -> typing.Any:
        async def handle(body: bytes) -> bytes:
            handler = self._handlers_by_method.get(method)
            if handler is None:
                raise exceptions.QuorumLostError("this host is starting")
            return await handler(body)

        return handle

    async def _open_host(self) -> None:
        """Start the control host from the state on disk, and what depends on it."""
        self._host = control_host.ControlHost(
            settings=self._settings,
            channel=self._client,
            clock=self._clock,
            rng=self._rng,
            on_failure=self._on_failure,
        )
        self._feed = roster_feed.RosterFeed(
            roster=self._roster,
            configuration=self._host.publisher,
            control_addresses=self._member_addresses,
            clock=self._clock,
            zone=self._zone,
            roster_saver=self._roster_file,
        )
        self._host.on_new_revision = self._feed.notify
        operator_orders = orders.OrderExecutor(host=self._host)
        upstream_registrar = registrar.Registrar(
            feed=self._feed, min_control_hosts=self._min_other_control_hosts
        )
        self._rollout_controller = rollout_controller.RolloutController(
            host=self._host, feed=self._feed, channel=self._client, clock=self._clock
        )
        await self._host.start()
        self._feed.start()
        self._rollout_controller.start()
        self._handlers_by_method = {
            **self._host.handlers_by_method,
            orders.ORDER_METHOD: operator_orders.handle,
            roster_feed.WATCH_METHOD: self._feed.handle,
            roster_feed.CRASH_METHOD: self._feed.handle_crash,
            roster_feed.OUTLIERS_METHOD: self._feed.handle_outliers,
            **self._rollout_controller.handlers_by_method,
        }
        self._handler = self._make_handler(operator_orders, upstream_registrar)

    async def _close_host(self) -> None:
        if self._rollout_controller is not None:
            await self._rollout_controller.close()
        if self._feed is not None:
            await self._feed.close()
        if self._host is not None:
            await self._host.close()

    def _on_failure(self, error: exceptions.StorageError) -> None:
        if self._reopen_task is None or self._reopen_task.done():
            self._reopen_task = background_tasks.start(
                self._reopen_host, task="reopen_host"
            )

    async def _reopen_host(self) -> None:
        """Restart the control host from disk after a disk failure.

        A full or stalled disk may recover. Unlike a restart of the process, this keeps
        the known upstreams, the watchers and the ports.
        """
        while True:
            await asyncio.sleep(REOPEN_DELAY_S)
            await self._close_host()
            try:
                await self._open_host()
            except exceptions.StorageError as error:
                log.error("reopen_failed", path=error.path, error=error.detail)
                continue
            log.info("reopened", host=self._settings.host_id)
            return

    def _configured_services(self) -> abc.Container[str]:
        """Return the names of the services in the configuration in force."""
        if self._host is not None:
            state = self._host.current
            if state.digest != self._services_digest:
                self._services = self._settings.service_names(state.document)
                self._services_digest = state.digest
        return self._services

    def _member_addresses(self) -> tuple[str, ...]:
        raft = None if self._host is None else self._host.raft
        if raft is None:
            return ()
        return tuple(member.address for member in raft.log.membership.members)

    def _other_control_addresses(self) -> tuple[str, ...]:
        addresses = self._member_addresses() or self._settings.peer_addresses
        own = self._settings.peer_address
        return tuple(address for address in addresses if address != own)

    def _min_other_control_hosts(self) -> int:
        """Return how many other control hosts form a quorum together with this one."""
        raft = None if self._host is None else self._host.raft
        voters = 1 if raft is None else len(raft.log.membership.voter_ids)
        return voters // 2
