"""The entry host: callers, announcements and the decision core, wired."""

import asyncio
import dataclasses
import datetime
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
from greengagehaven.daemons import announce_api, caller_api, core_loop
from greengagehaven.daemons import metrics as metrics_module
from greengagehaven.protocol import search, upstream
from greengagehaven.state import configuration, directory, document
from greengagehaven.transport import http, http_server, upstream_channel

DRAIN_POLL_S = 0.02


class Neighbours(typing.Protocol):
    """The other entry hosts, as far as the wiring needs them."""

    def spread_announcement(self, announcement: upstream.Announcement) -> None:
        """Tell the others of an announcement that this host got."""

    def spread_withdrawal(self, upstream_id: str, version: tuple[int, int]) -> None:
        """Tell the others of an upstream that left."""

    def notify(self, payload: msgspec.Struct) -> None:
        """Send a message of this host's core to the others' cores."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntrySettings:
    """Settings of an entry host.

    :param listen: ``IP:PORT`` for callers.
    :param announce_listen: ``IP:PORT`` for upstreams; ``None`` serves them on
        ``listen`` too.
    :param balancer_wait: between not ready and no longer accepting.
    :param drain_bound: longest wait for requests in flight.
    :param metrics_token: needed for ``/metrics``; ``None`` leaves it open.
    """

    host_id: str
    zone: str
    listen: str = "127.0.0.1:8080"
    announce_listen: str | None = None
    balancer_wait: datetime.timedelta = datetime.timedelta(seconds=2)
    drain_bound: datetime.timedelta = datetime.timedelta(seconds=20)
    metrics_token: str | None = None


class EntryHost:
    """One entry host on the running loop.

    :param options: switches of the decision core.
    :param cancellation: how running sub-requests are given up.
    :param tls: context for the listeners; ``None`` for plain TCP.
    :param upstream_tls: context towards upstreams; ``None`` for plain TCP.
    """

    def __init__(
        self,
        *,
        entry_settings: EntrySettings,
        clock: clocks.Clock | None = None,
        rng: rng_module.Rng | None = None,
        options: options_module.Options = options_module.DEFAULT,
        cancellation: upstream_channel.Cancellation = (
            upstream_channel.Cancellation.DELETE
        ),
        tls: ssl.SSLContext | None = None,
        upstream_tls: ssl.SSLContext | None = None,
    ) -> None:
        self.settings = entry_settings
        self.clock = clock or clocks.SystemClock()
        self.directory = directory.Directory()
        self.metrics = metrics_module.Metrics()
        self.address = ""
        self.announce_address = ""
        self.configuration = configuration.ConfigurationState()
        self.neighbours: Neighbours | None = None
        self._is_draining = False
        self._zones_by_host_id = {entry_settings.host_id: entry_settings.zone}
        self._lease_ends_by_upstream_id: dict[str, float] = {}
        self._lease_sweeper: asyncio.Task | None = None
        self.core = core_module.Core(
            clock=self.clock,
            rng=rng or random.Random(),
            directory=self.directory,
            host_id=entry_settings.host_id,
            zone=entry_settings.zone,
            options=options,
        )
        self.channel = upstream_channel.DirectChannel(
            clock=self.clock,
            limit_of=self._connection_limit,
            cancellation=cancellation,
            tls=upstream_tls,
        )
        self.loop = core_loop.CoreLoop(
            core=self.core,
            channel=self.channel,
            clock=self.clock,
            directory_view=self.directory,
            metrics=self.metrics,
            notify=self._notify,
        )
        self._caller_api = caller_api.CallerApi(
            loop=self.loop,
            clock=self.clock,
            metrics=self.metrics,
            is_ready=lambda: self.is_ready,
            is_draining=lambda: self._server.draining,
            status_of=self._status_of,
            metrics_token=entry_settings.metrics_token,
        )
        self._announce_api = announce_api.AnnounceApi(leases=self)
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
        """Tell whether the balancer should send callers here."""
        return not self._is_draining and self.configuration.revision > 0

    @property
    def in_flight(self) -> int:
        """Return requests that are not finished."""
        return max(self._server.busy_count, self.loop.waiting_count)

    @property
    def server(self) -> http_server.HttpServer:
        """Return the callers' listener."""
        return self._server

    async def start(self) -> str:
        """Listen and return the callers' ``IP:PORT``.

        :raises SettingError: an address is wrong or taken.
        """
        host, port = settings.parse_address("listen", self.settings.listen)
        self.address = await self._server.start(host, port)
        self.announce_address = self.address
        if self._announce_server is not None:
            text = typing.cast(str, self.settings.announce_listen)
            host, port = settings.parse_address("announce-listen", text)
            self.announce_address = await self._announce_server.start(host, port)
        loop = asyncio.get_running_loop()
        self._lease_sweeper = loop.create_task(self._end_leases_forever())
        self.loop.submit(events.HostsChanged(zones_by_host_id=self._zones_by_host_id))
        log.info("entry_started", host=self.settings.host_id, address=self.address)
        return self.address

    async def drain(self) -> int:
        """Leave service in order; return requests that were cut off.

        Not ready first, so that the balancer stops sending callers; then no
        new connections and queries; then what is in flight ends.
        """
        self._is_draining = True
        log.info("entry_draining", host=self.settings.host_id)
        await asyncio.sleep(self.settings.balancer_wait.total_seconds())
        await self._server.drain(self.settings.drain_bound)
        left = self.in_flight
        if left:
            log.warning("drain_cut_off", host=self.settings.host_id, requests=left)
        await self.close()
        return left

    async def close(self) -> None:
        """Stop at once."""
        if self._lease_sweeper is not None:
            self._lease_sweeper.cancel()
            self._lease_sweeper = None
        self.loop.close()
        await self._server.close()
        if self._announce_server is not None:
            await self._announce_server.close()
        self.channel.close()
        log.info("entry_stopped", host=self.settings.host_id)

    def take_configuration(self, state: configuration.ConfigurationState) -> bool:
        """Bring a newer configuration into force; older ones change nothing.

        :return: whether it was newer.
        :raises DocumentError: the document is wrong; the old one stays.
        """
        if state.revision <= self.configuration.revision:
            return False
        environment = document.parse(state.document)
        self.configuration = state
        self._caller_api.set_environment(environment)
        self.loop.submit(
            events.DocumentInForce(revision=state.revision, environment=environment)
        )
        zones = frozenset(state.drained_zones)
        self.loop.submit(events.ZonesDrained(zones=zones))
        log.info(
            "configuration_in_force",
            host=self.settings.host_id,
            revision=state.revision,
            digest=environment.digest,
        )
        return True

    def take_document(self, data: bytes) -> bool:
        """Bring a document into force as the first revision.

        It is what the host starts with; any revision of a control host is newer.

        :raises DocumentError: the document is wrong.
        """
        state = configuration.ConfigurationState(revision=1, document=data)
        return self.take_configuration(state)

    def take_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Take in the live entry hosts, this one included."""
        self._zones_by_host_id = dict(zones_by_host_id)
        self.loop.submit(events.HostsChanged(zones_by_host_id=self._zones_by_host_id))
        self.channel.limits_changed()

    def take_notice(self, host_id: str, payload: msgspec.Struct) -> None:
        """Take a message of another host's core."""
        self.loop.submit(events.PeerNotice(host_id=host_id, payload=payload))

    def announce(self, announcement: upstream.Announcement) -> None:
        """Take an announcement or renewal from an upstream."""
        self.take_announcement(announcement)
        if self.neighbours is not None:
            self.neighbours.spread_announcement(announcement)

    def withdraw(self, upstream_id: str, version: tuple[int, int]) -> None:
        """Take an upstream out because it said so."""
        self.take_withdrawal(upstream_id, version)
        if self.neighbours is not None:
            self.neighbours.spread_withdrawal(upstream_id, version)

    def take_announcement(self, announcement: upstream.Announcement) -> None:
        """Take an announcement, from the upstream or from another host."""
        known = self.directory.upstreams_by_id.get(announcement.id)
        if not self.directory.put(announcement):
            return
        lease = announce_api.LEASE.total_seconds()
        self._lease_ends_by_upstream_id[announcement.id] = (
            self.clock.monotonic() + lease
        )
        if known is None or _is_news(known, announcement):
            self._directory_changed(announcement.id)

    def take_withdrawal(self, upstream_id: str, version: tuple[int, int]) -> None:
        """Take an upstream out, on its own word or another host's."""
        if self.directory.withdraw(upstream_id, version):
            self._lease_ends_by_upstream_id.pop(upstream_id, None)
            self._directory_changed(upstream_id)

    def _directory_changed(self, upstream_id: str) -> None:
        self.loop.submit(
            events.DirectoryChanged(upstream_ids=frozenset((upstream_id,)))
        )

    def _connection_limit(self, upstream_id: str) -> int:
        announcement = self.directory.upstreams_by_id.get(upstream_id)
        if announcement is None:
            return 0
        hosts = len(self._zones_by_host_id)
        return max(1, announcement.max_connections // hosts)

    def _notify(self, payload: msgspec.Struct) -> None:
        if self.neighbours is not None:
            self.neighbours.notify(payload)

    async def _status_of(self, subscriber_id: str, key: str) -> search.RequestStatus:
        raise exceptions.NotFoundError("no request with this key is known here")

    async def _handle(self, request: http.Request) -> http.Response:
        if self._announce_server is None and self._announce_api.serves(request.path):
            return await self._announce_api.handle(request)
        return await self._caller_api.handle(request)

    async def _handle_announcement(self, request: http.Request) -> http.Response:
        if not self._announce_api.serves(request.path):
            raise exceptions.NotFoundError(request.path[:100])
        return await self._announce_api.handle(request)

    async def _end_leases_forever(self) -> None:
        while True:
            await asyncio.sleep(announce_api.LEASE.total_seconds() / 10)
            now = self.clock.monotonic()
            late = [
                upstream_id
                for upstream_id, end in self._lease_ends_by_upstream_id.items()
                if end <= now
            ]
            for upstream_id in late:
                self._end_lease(upstream_id)

    def _end_lease(self, upstream_id: str) -> None:
        del self._lease_ends_by_upstream_id[upstream_id]
        announcement = self.directory.upstreams_by_id.get(upstream_id)
        if announcement is not None:
            log.info("lease_ended", upstream=upstream_id)
            self.directory.withdraw(upstream_id, announcement.version)
            self._directory_changed(upstream_id)


def _is_news(known: upstream.Announcement, latest: upstream.Announcement) -> bool:
    renewed = msgspec.structs.replace(known, sequence=latest.sequence, load=latest.load)
    return renewed != latest
