"""Measures how long requests with a revoked key still run, with one host cut off.

Runs real processes: three control hosts and the entry hosts. The upstream and the
callers are in this process, so that all times are of one clock.
"""

import asyncio
import collections
import dataclasses
import datetime
import pathlib
import tempfile
import time
import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.daemons.measure import platform_hosts
from greengagehaven.protocol import header_names
from greengagehaven.transport import http, http_client, http_server

NAME = "revoked-key"
ABOUT = "a key is revoked while the first entry host is cut off"
REVOKE_MS = 5000
PERIOD_S = 0.05
"""Seconds between two requests of the caller of a host, and between start-up checks."""

ANNOUNCE_PERIOD_S = 0.5
"""Seconds between announcements of the upstream; 1.2 s are configured (heartbeatMs)."""

BEFORE_S = 2.0
"""Seconds of normal operation before the first host is cut off."""

CUT_OFF_BEFORE_S = 0.5
"""Seconds from the cut to the revocation, so that the host can't learn of it."""

START_TIMEOUT_S = 60.0
REQUEST_TIMEOUT = datetime.timedelta(seconds=2)
SERVICE = "records"
UPSTREAM_ID = "records-1"
HOST = "records.example"
PATH_PREFIX = "/records/"
PATH = f"{PATH_PREFIX}1"
OLD_KEY = "key-that-is-revoked"
NEW_KEY = "key-that-replaces-it"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """What the operator's document is written from: one service, route and team."""

    version: int
    host: str
    path_prefix: str
    service: str
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announcement:
    """What an announcement of the upstream is written from.

    :param born: Unix milliseconds of its start.
    """

    service: str
    address: str
    zone: str
    sequence: int
    born: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Platform:
    """Names and formats of the platform's protocol.

    :param names: names of the headers.
    :param config_path: path of the operator's document.
    :param instances_path: path under which upstreams announce themselves.
    :param settings_variable: environment variable with the path of a settings file.
    :param make_settings: returns the text of a host's settings file.
    :param make_document: returns the body of an operator's document.
    :param make_announcement: returns the body of an announcement.
    """

    names: header_names.HeaderNames
    config_path: str
    instances_path: str
    settings_variable: str
    make_settings: abc.Callable[[platform_hosts.HostSettings], str]
    make_document: abc.Callable[[Document], bytes]
    make_announcement: abc.Callable[[Announcement], bytes]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sent:
    """A request that a caller sent.

    :param host: number of its entry host.
    :param sent_at: monotonic seconds.
    """

    host: int
    sent_at: float


class Upstream:
    """An upstream that records when each request ran.

    :param platform: names of the protocol.
    """

    def __init__(self, *, platform: Platform) -> None:
        self.ran_at_by_request: dict[str, float] = {}
        self._names = platform.names
        self._server = http_server.HttpServer(handler=self._handle)

    async def start(self, host: str) -> str:
        """Start listening and return the ``IP:PORT``."""
        return await self._server.start(host, 0)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _handle(self, request: http.Request) -> http.Response:
        request_id = request.headers.get(self._names.request_id) or ""
        self.ran_at_by_request[request_id] = time.monotonic()
        headers = (
            (self._names.request_id, request_id),
            (self._names.signature, UPSTREAM_ID),
            (self._names.load, "1,0,64"),
        )
        return http.Response(status=200, content_type=None, headers=headers)


class Bench:
    """The hosts of one run, with an upstream and callers.

    :param platform: names of the protocol.
    :param folder: for settings, logs and data.
    :param hosts: number of entry hosts.
    :param revoke_ms: limit for revocations in milliseconds, ``None`` for no limit.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        folder: pathlib.Path,
        hosts: int,
        revoke_ms: int | None,
    ) -> None:
        self._platform = platform
        self._hosts = platform_hosts.PlatformHosts(
            folder=folder,
            hosts=hosts,
            revoke_ms=revoke_ms,
            make_settings=platform.make_settings,
            settings_variable=platform.settings_variable,
        )
        self.upstream = Upstream(platform=platform)
        self.sent_by_request: dict[str, Sent] = {}
        self.statuses_by_host: dict[int, collections.Counter[int]] = (
            collections.defaultdict(collections.Counter)
        )
        self._clock = clocks.SystemClock()
        self._clients_by_address: dict[str, http_client.HttpClient] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start everything, and callers once each host serves the key."""
        await self._hosts.start()
        address = await self.upstream.start("127.0.0.1")
        await self._wait_until(lambda: self._put_document(1, OLD_KEY))
        self._tasks.append(asyncio.create_task(self._announce_forever(address)))
        for host in range(len(self._hosts.entry_ips)):
            await self._wait_until(lambda host=host: self._is_served(host))

    def start_callers(self) -> None:
        """Send a request to every entry host in each period."""
        for host in range(len(self._hosts.entry_ips)):
            task = asyncio.create_task(self._call_forever(host))
            self._tasks.append(task)

    def cut_off_first(self) -> None:
        """Cut the first entry host off from all other hosts."""
        self._hosts.cut_off_first()

    async def revoke(self) -> float:
        """Replace the key; return the time at which it was acknowledged."""
        await self._wait_until(lambda: self._put_document(2, NEW_KEY))
        return time.monotonic()

    async def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._clients_by_address.values():
            client.close()
        await self._hosts.close()
        await self.upstream.close()

    async def _wait_until(self, check: abc.Callable[[], abc.Awaitable[bool]]) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                if await check():
                    return
                await asyncio.sleep(PERIOD_S)

    async def _put_document(self, version: int, key: str) -> bool:
        body = self._platform.make_document(
            Document(
                version=version,
                host=HOST,
                path_prefix=PATH_PREFIX,
                service=SERVICE,
                key=key,
            )
        )
        address = self._hosts.operator_addresses[0]
        return await self._request(address, "PUT", self._platform.config_path, body)

    async def _announce_forever(self, address: str) -> None:
        born = time.time_ns() // 1_000_000
        sequence = 0
        while True:
            sequence += 1
            body = self._platform.make_announcement(
                Announcement(
                    service=SERVICE,
                    address=address,
                    zone=platform_hosts.ZONES[0],
                    sequence=sequence,
                    born=born,
                )
            )
            path = self._platform.instances_path + UPSTREAM_ID
            await self._request(self._hosts.operator_addresses[0], "PUT", path, body)
            await asyncio.sleep(ANNOUNCE_PERIOD_S)

    async def _is_served(self, host: int) -> bool:
        return await self._call(host, f"warm-{host}-{time.monotonic_ns()}") == 200

    async def _call_forever(self, host: int) -> None:
        number = 0
        while True:
            number += 1
            request_id = f"r-{host}-{number}"
            self.sent_by_request[request_id] = Sent(host=host, sent_at=time.monotonic())
            status = await self._call(host, request_id)
            self.statuses_by_host[host][status] += 1
            await asyncio.sleep(PERIOD_S)

    async def _call(self, host: int, request_id: str) -> int:
        names = self._platform.names
        headers = {
            "Host": HOST,
            names.request_id: request_id,
            names.time_left: "1000",
            names.key: OLD_KEY,
        }
        address = f"{self._hosts.entry_ips[host]}:{platform_hosts.CALLER_PORT}"
        return await self._status(address, "GET", PATH, b"", headers)

    async def _request(self, address: str, method: str, path: str, body: bytes) -> bool:
        return await self._status(address, method, path, body, {}) == 200

    async def _status(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: abc.Mapping[str, str],
    ) -> int:
        """Return the status of the response, 0 if there is none."""
        client = self._clients_by_address.get(address)
        if client is None:
            client = http_client.HttpClient(address=address, clock=self._clock)
            self._clients_by_address[address] = client
        try:
            reply = await client.request(
                method, path, headers=dict(headers), body=body, timeout=REQUEST_TIMEOUT
            )
        except exceptions.UpstreamError as error:
            log.debug("call_failed", address=address, error=error.detail)
            return 0
        return reply.status


async def measure(
    *, hosts: int, seconds: float, platform: Platform
) -> dict[str, typing.Any]:
    """Run without and with the lease; return the JSON object that is printed.

    :param seconds: time from the acknowledgement to the end of each run.
    """
    return {
        "scenario": NAME,
        "hosts": hosts,
        "revoke_ms": REVOKE_MS,
        "baseline": await _run(hosts, seconds, platform, None),
        "run": await _run(hosts, seconds, platform, REVOKE_MS),
    }


async def _run(
    hosts: int, seconds: float, platform: Platform, revoke_ms: int | None
) -> dict[str, typing.Any]:
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(
            platform=platform,
            folder=pathlib.Path(folder),
            hosts=hosts,
            revoke_ms=revoke_ms,
        )
        try:
            await bench.start()
            bench.start_callers()
            await asyncio.sleep(BEFORE_S)
            bench.cut_off_first()
            await asyncio.sleep(CUT_OFF_BEFORE_S)
            acknowledged_at = await bench.revoke()
            await asyncio.sleep(seconds)
        finally:
            await bench.close()
        return summarize(bench, acknowledged_at)


def summarize(bench: Bench, acknowledged_at: float) -> dict[str, typing.Any]:
    """Return the figures of a run; times are milliseconds from the acknowledgement."""
    ran = [
        (bench.sent_by_request[request_id], ran_at)
        for request_id, ran_at in bench.upstream.ran_at_by_request.items()
        if request_id in bench.sent_by_request
    ]

    def last_ms(moments: abc.Iterable[float]) -> int:
        return round(max(moments, default=acknowledged_at) * 1000) - round(
            acknowledged_at * 1000
        )

    limit = acknowledged_at + REVOKE_MS / 1000
    statuses = bench.statuses_by_host
    connected = [counts for host, counts in statuses.items() if host]
    return {
        "requests_run": len(ran),
        "last_run_cut_off_ms": last_ms(at for sent, at in ran if not sent.host),
        "last_run_connected_ms": last_ms(at for sent, at in ran if sent.host),
        "last_sent_ms": last_ms(sent.sent_at for sent, _ in ran),
        "sent_after_limit": sum(sent.sent_at > limit for sent, _ in ran),
        "cut_off_503": statuses[0][503],
        "connected_401": sum(counts[401] for counts in connected),
        "connected_503": sum(counts[503] for counts in connected),
    }
