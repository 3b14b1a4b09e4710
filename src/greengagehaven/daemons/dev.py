"""Development environment in one process: three zones of hosts and stand-ins."""

import asyncio
import dataclasses
import datetime
import hashlib
import importlib.resources
import random
import tempfile
import typing
import uuid

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import options as options_module
from greengagehaven.daemons import (
    control_daemon,
    control_host,
    entry,
    lifecycle,
    links,
)
from greengagehaven.protocol import upstream
from greengagehaven.standin import upstream as standin
from greengagehaven.state import configuration, document
from greengagehaven.transport import direct_channel, free_ports

ZONES = ("a", "b", "c")
SERVICES = tuple(f"credits-{number}" for number in range(10))
DEMO_KEY = "demo-key"
PARTITIONING = 3
HOST = "127.0.0.1"
POLL_S = 0.02
DECISION_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DevSettings:
    """Sizes and ports of a development environment.

    :param key: key of the demo subscriber.
    :param upstream_count: stand-in upstreams of each service; 0 to start none.
    :param document: TOML bytes; ``None`` for the example document.
    :param upstream_options: overrides of the options of every stand-in.
    """

    entry_port: int = 8080
    operator_port: int = 7300
    key: str = DEMO_KEY
    upstream_count: int = 3
    hosts_per_zone: int = 1
    services: tuple[str, ...] = SERVICES
    document: bytes | None = None
    upstream_options: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


class DevEnvironment:
    """A complete environment on the running event loop.

    :param options: switches of the decision cores.
    :param cancellation: how running sub-requests are cancelled.
    """

    def __init__(
        self,
        *,
        dev_settings: DevSettings | None = None,
        options: options_module.Options = options_module.DEFAULT,
        cancellation: direct_channel.CancellationMode = (
            direct_channel.CancellationMode.DELETE
        ),
        rng: random.Random | None = None,
    ) -> None:
        self.settings = dev_settings or DevSettings()
        self.tally = standin.Counters()
        self.entries: list[entry.EntryHost] = []
        self.upstreams_by_id: dict[str, standin.StandinUpstream] = {}
        self._options = options
        self._cancellation = cancellation
        self._rng = rng or random.Random()
        self.controls: list[control_daemon.ControlDaemon] = []
        self._data_folder = tempfile.TemporaryDirectory(prefix="greengagehaven-dev-")
        self._clock = clocks.SystemClock()
        self.links = links.Links()

    async def start(self) -> None:
        """Start all hosts and stand-ins, and put the document in force.

        :raises SettingError: a port is in use, or the key is not in the document.
        :raises DocumentError: the document is invalid.
        """
        data = self.document
        check_key(data, self.settings.key)
        await self._start_controls()
        await self._start_entries()
        await self.apply(data)
        await asyncio.gather(*(host.wait_in_force() for host in self.entries))
        await self._start_upstreams()

    @property
    def operator_address(self) -> str:
        """Return the operator ``IP:PORT`` of the first control host."""
        return self.controls[0].operator_address

    async def apply(self, data: bytes) -> configuration.ChangeResult:
        """Apply a document through the control hosts.

        :raises ControlError: they rejected it or could not decide.
        """
        return await self._decide(
            configuration.DocumentChange(
                change_id=uuid.uuid4().hex,
                author="dev",
                document=data,
                expected_revision=None,
            )
        )

    async def set_zone(self, zone: str, *, drained: bool) -> configuration.ChangeResult:
        """Drain or restore an availability zone.

        :raises ControlError: the control hosts rejected it or could not decide.
        """
        return await self._decide(
            configuration.ZoneChange(
                change_id=uuid.uuid4().hex, author="dev", zone=zone, drained=drained
            )
        )

    async def _decide(self, change: configuration.Change) -> configuration.ChangeResult:
        end = self._clock.monotonic() + DECISION_TIMEOUT_S
        while True:
            for daemon in self.controls:
                try:
                    return await daemon.host.propose(change)
                except (exceptions.NotLeaderError, exceptions.QuorumLostError):
                    if self._clock.monotonic() >= end:
                        raise
            await asyncio.sleep(POLL_S)

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return sum(host.in_flight for host in self.entries)

    @property
    def document(self) -> bytes:
        """Return the document that the environment starts with."""
        return self.settings.document or example_document(self.settings.key)

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services of the initial document."""
        environment = document.parse(self.document)
        return tuple(environment.services_by_id)

    async def wait_for_upstreams(self) -> None:
        """Wait until every entry host knows every stand-in."""
        expected = self.upstreams_by_id.keys()
        for host in self.entries:
            while True:
                if expected <= host.directory.upstreams_by_id.keys():
                    break
                await asyncio.sleep(POLL_S)

    async def drain(self) -> int:
        """Stop gracefully; return the number of requests that were cut off."""
        cut_off_counts = await asyncio.gather(*(host.drain() for host in self.entries))
        await self._stop_rest()
        return sum(cut_off_counts)

    async def close(self) -> None:
        """Stop immediately."""
        await asyncio.gather(*(host.close() for host in self.entries))
        await self._stop_rest()

    async def _stop_rest(self) -> None:
        upstreams = self.upstreams_by_id.values()
        await asyncio.gather(*(stand_in.stop() for stand_in in upstreams))
        await asyncio.gather(*(daemon.close() for daemon in self.controls))
        self._data_folder.cleanup()

    async def _start_controls(self) -> None:
        # Recorders need each other's addresses before they start.
        ports = free_ports.find(len(ZONES))
        addresses_by_id = {
            f"control-{zone}": f"{HOST}:{port}"
            for zone, port in zip(ZONES, ports, strict=True)
        }
        for host_id, address in addresses_by_id.items():
            port = 0 if self.controls else self.settings.operator_port
            others = [each for each in addresses_by_id.values() if each != address]
            daemon = control_daemon.ControlDaemon(
                settings=control_host.ControlSettings(
                    host_id=host_id,
                    data_folder=f"{self._data_folder.name}/{host_id}",
                    peer_address=address,
                    peer_addresses=tuple(others),
                    bootstrap=True,
                    recorder_addresses_by_id=addresses_by_id,
                ),
                operator_address=f"{HOST}:{port}",
                clock=self._clock,
                rng=random.Random(self._rng.random()),
            )
            self.controls.append(daemon)
            self.links.place(address, host_id.removeprefix("control-"))
            await daemon.start()

    async def _start_entries(self) -> None:
        names = [
            (zone, number)
            for number in range(self.settings.hosts_per_zone)
            for zone in ZONES
        ]
        for zone, number in names:
            port = 0 if self.entries else self.settings.entry_port
            host = entry.EntryHost(
                entry_settings=entry.EntrySettings(
                    host_id=f"entry-{zone}{number}",
                    zone=zone,
                    listen=f"{HOST}:{port}",
                    seeds=tuple(host.peer_address for host in self.entries),
                    control_addresses=tuple(
                        each.peer_address for each in self.controls
                    ),
                    recorder_addresses_by_id={
                        f"control-{zone}": daemon.peer_address
                        for zone, daemon in zip(ZONES, self.controls, strict=True)
                    },
                    balancer_wait=datetime.timedelta(),
                ),
                options=self._options,
                cancellation=self._cancellation,
                rng=random.Random(self._rng.random()),
                peer_client=links.LinkedClient(
                    links=self.links, zone=zone, token=None, clock=self._clock
                ),
            )
            await host.start()
            self.links.place(host.peer_address, zone)
            self.entries.append(host)

    async def _start_upstreams(self) -> None:
        for service in self.settings.services:
            for number in range(self.settings.upstream_count):
                await self.start_upstream(service, number)

    async def start_upstream(
        self, service: str, number: int, **options: typing.Any
    ) -> standin.StandinUpstream:
        """Start a stand-in upstream of a service; its number determines its zone."""
        zone = ZONES[number % len(ZONES)]
        upstream_options = standin.Options(
            id=f"{service}-{zone}{number}",
            availability_zone=zone,
            shards=(unsharded_service(service),),
            **{**self.settings.upstream_options, **options},
        )
        in_zone = [host for host in self.entries if host.settings.zone == zone]
        others = [host for host in self.entries if host.settings.zone != zone]
        stand_in = standin.StandinUpstream(
            options=upstream_options,
            entries=[host.announce_address for host in (*in_zone, *others)],
            counters=self.tally,
            rng=random.Random(self._rng.random()),
        )
        await stand_in.start()
        self.upstreams_by_id[upstream_options.id] = stand_in
        return stand_in


def example_document(key: str = DEMO_KEY) -> bytes:
    """Return the example document with the digest of the demo key."""
    resource = importlib.resources.files("greengagehaven.daemons") / "dev.toml"
    data = resource.read_bytes()
    old = hashlib.sha256(DEMO_KEY.encode()).hexdigest().encode()
    return data.replace(old, hashlib.sha256(key.encode()).hexdigest().encode())


def unsharded_service(service: str) -> upstream.HostedShard:
    """Return the only shard of an unsharded service."""
    return upstream.HostedShard(
        service=service, shard=0, shard_count=1, partitioning=PARTITIONING
    )


def check_key(data: bytes, key: str) -> None:
    """Check that a subscriber in the document has this key.

    :raises SettingError: no subscriber has this key.
    """
    environment = document.parse(data)
    digest = hashlib.sha256(key.encode()).hexdigest()
    if digest not in environment.subscriber_ids_by_key_digest:
        raise exceptions.SettingError(
            place="--key", value=key, expected="a key whose SHA-256 is in the document"
        )


def curl_command(address: str, key: str, services: typing.Sequence[str]) -> str:
    """Return a shell command that sends a sweep with curl."""
    names = ", ".join(f'"{service}"' for service in services[:3])
    body = f'{{"services": [{names}], "kind": "sweep", "query": {{}}}}'
    return (
        f"curl -s -H 'Authorization: Bearer {key}' -d '{body}' "
        f"http://{address}/v1/search"
    )


async def run(dev_settings: DevSettings) -> int:
    """Run until SIGINT or SIGTERM; return the exit code.

    :raises GreengagehavenError: the environment failed to start.
    """
    environment = DevEnvironment(dev_settings=dev_settings)
    try:
        await environment.start()
        await environment.wait_for_upstreams()
    except exceptions.GreengagehavenError:
        await environment.close()
        raise
    entry_address = environment.entries[0].address
    services = environment.services
    log.info("ready", entry=entry_address, operator=environment.operator_address)
    print(curl_command(entry_address, dev_settings.key, services), flush=True)
    return await lifecycle.run(environment)
