"""One process with three zones: entry hosts, control hosts and stand-ins."""

import asyncio
import dataclasses
import datetime
import hashlib
import importlib.resources
import random
import typing

import msgspec

from greengagehaven import exceptions, log
from greengagehaven.coordination import options as options_module
from greengagehaven.daemons import entry, lifecycle
from greengagehaven.protocol import upstream
from greengagehaven.standin import upstream as standin
from greengagehaven.state import configuration, document
from greengagehaven.transport import upstream_channel

ZONES = ("a", "b", "c")
SERVICES = tuple(f"credits-{number}" for number in range(10))
DEMO_KEY = "demo-key"
DEMO_SUBSCRIBER = "demo"
PARTITIONING = 3
HOST = "127.0.0.1"
POLL_S = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DevSettings:
    """Sizes and ports of a development environment.

    :param key: the demo subscriber's key.
    :param upstream_count: stand-ins of each service; 0 to bring one's own.
    :param document: TOML bytes; ``None`` for the example.
    """

    entry_port: int = 8080
    operator_port: int = 8081
    key: str = DEMO_KEY
    upstream_count: int = 3
    hosts_per_zone: int = 1
    services: tuple[str, ...] = SERVICES
    document: bytes | None = None
    upstream_options: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


class InProcessNeighbours:
    """Entry hosts of one process, told directly."""

    def __init__(self, *, host: entry.EntryHost, others: list[entry.EntryHost]) -> None:
        self._host = host
        self._others = others

    def spread_announcement(self, announcement: upstream.Announcement) -> None:
        """Tell the others of an announcement that this host got."""
        for other in self._others:
            other.take_announcement(announcement)

    def spread_withdrawal(self, upstream_id: str, version: tuple[int, int]) -> None:
        """Tell the others of an upstream that left."""
        for other in self._others:
            other.take_withdrawal(upstream_id, version)

    def notify(self, payload: msgspec.Struct) -> None:
        """Send a message of this host's core to the others' cores."""
        loop = asyncio.get_running_loop()
        for other in self._others:
            loop.call_soon(other.take_notice, self._host.settings.host_id, payload)


class Dev:
    """A whole environment on the running loop.

    :param options: switches of the decision cores.
    """

    def __init__(
        self,
        *,
        dev_settings: DevSettings | None = None,
        options: options_module.Options = options_module.DEFAULT,
        cancellation: upstream_channel.Cancellation = (
            upstream_channel.Cancellation.DELETE
        ),
        rng: random.Random | None = None,
    ) -> None:
        self.settings = dev_settings or DevSettings()
        self.tally = standin.Tally()
        self.entries: list[entry.EntryHost] = []
        self.upstreams_by_id: dict[str, standin.StandinUpstream] = {}
        self._options = options
        self._cancellation = cancellation
        self._rng = rng or random.Random()
        self._revision = 0
        self.operator_address = ""

    async def start(self) -> None:
        """Start everything and bring the document into force.

        :raises SettingError: a port is taken or the key is not in the document.
        :raises DocumentError: the document has mistakes.
        """
        data = self.settings.document or example_document(self.settings.key)
        check_key(data, self.settings.key)
        await self._start_entries()
        self.apply(data)
        await self._start_upstreams()

    def apply(self, data: bytes, drained_zones: tuple[str, ...] = ()) -> None:
        """Bring a document and drained zones into force on every entry host."""
        self._revision += 1
        state = configuration.ConfigurationState(
            revision=self._revision, document=data, drained_zones=drained_zones
        )
        for host in self.entries:
            host.take_configuration(state)

    @property
    def in_flight(self) -> int:
        """Return requests that are not finished."""
        return sum(host.in_flight for host in self.entries)

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services of the document in force."""
        environment = document.parse(self.entries[0].configuration.document)
        return tuple(environment.services_by_id)

    async def wait_for_upstreams(self) -> None:
        """Wait until every entry host knows every stand-in."""
        wanted = self.upstreams_by_id.keys()
        for host in self.entries:
            while True:
                if wanted <= host.directory.upstreams_by_id.keys():
                    break
                await asyncio.sleep(POLL_S)

    async def drain(self) -> int:
        """Stop in order; return requests that were cut off."""
        lefts = await asyncio.gather(*(host.drain() for host in self.entries))
        await self._stop_upstreams()
        return sum(lefts)

    async def close(self) -> None:
        """Stop at once."""
        await asyncio.gather(*(host.close() for host in self.entries))
        await self._stop_upstreams()

    async def _stop_upstreams(self) -> None:
        upstreams = self.upstreams_by_id.values()
        await asyncio.gather(*(stand_in.stop() for stand_in in upstreams))

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
                    balancer_wait=datetime.timedelta(),
                ),
                options=self._options,
                cancellation=self._cancellation,
                rng=random.Random(self._rng.random()),
            )
            await host.start()
            self.entries.append(host)
        zones_by_host_id = {
            host.settings.host_id: host.settings.zone for host in self.entries
        }
        for host in self.entries:
            others = [other for other in self.entries if other is not host]
            host.neighbours = InProcessNeighbours(host=host, others=others)
            host.take_hosts(zones_by_host_id)

    async def _start_upstreams(self) -> None:
        for service in self.settings.services:
            for number in range(self.settings.upstream_count):
                await self.start_upstream(service, number)

    async def start_upstream(
        self, service: str, number: int, **options: typing.Any
    ) -> standin.StandinUpstream:
        """Start a stand-in of a service; its zone follows from its number."""
        zone = ZONES[number % len(ZONES)]
        hosted = upstream.HostedShard(
            service=service, shard=0, shard_count=1, partitioning=PARTITIONING
        )
        upstream_options = standin.Options(
            id=f"{service}-{zone}{number}",
            availability_zone=zone,
            shards=(hosted,),
            **{**self.settings.upstream_options, **options},
        )
        in_zone = [host for host in self.entries if host.settings.zone == zone]
        others = [host for host in self.entries if host.settings.zone != zone]
        stand_in = standin.StandinUpstream(
            options=upstream_options,
            entries=[host.announce_address for host in (*in_zone, *others)],
            tally=self.tally,
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


def check_key(data: bytes, key: str) -> None:
    """Refuse a demo key that the document doesn't know.

    :raises SettingError: no subscriber has it.
    """
    environment = document.parse(data)
    digest = hashlib.sha256(key.encode()).hexdigest()
    if digest not in environment.subscriber_ids_by_key_digest:
        raise exceptions.SettingError(
            place="--key", value=key, expected="a key whose SHA-256 is in the document"
        )


def describe_curl(address: str, key: str, services: typing.Sequence[str]) -> str:
    """Return a command that searches and works when pasted."""
    names = ", ".join(f'"{service}"' for service in services[:3])
    body = f'{{"services": [{names}], "kind": "sweep", "query": {{}}}}'
    return (
        f"curl -s -H 'Authorization: Bearer {key}' -d '{body}' "
        f"http://{address}/v1/search"
    )


async def run(dev_settings: DevSettings) -> int:
    """Run until SIGINT or SIGTERM; return the exit code.

    :raises GreengagehavenError: it could not start.
    """
    environment = Dev(dev_settings=dev_settings)
    try:
        await environment.start()
        await environment.wait_for_upstreams()
    except exceptions.GreengagehavenError:
        await environment.close()
        raise
    entry_address = environment.entries[0].address
    services = environment.services
    log.info("ready", entry=entry_address, operator=environment.operator_address)
    print(describe_curl(entry_address, dev_settings.key, services), flush=True)
    return await lifecycle.run(environment)
