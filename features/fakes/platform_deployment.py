"""The platform on loopback: control hosts, an entry host, leaf upstreams, clients."""

import asyncio
import datetime
import json
import random
import tempfile

from greengagehaven import clock
from greengagehaven.coordination.raft import timing
from greengagehaven.coordination.routing import router
from greengagehaven.daemons import (
    control_host,
    gateway,
    gateway_settings,
    registry_daemon,
)
from greengagehaven.platform import control_api, documents, names
from greengagehaven.transport import free_ports, http, http_client, http_server

HOST = "leno12.example"
SHARDS = ("huvo11a", "lohu93e")
RECORD = bytes(range(16))
TIMEOUT_S = 20.0
ANNOUNCE_PERIOD_S = 0.3
CONTROL_COUNT = 3
SWEEP_PATH = "/nono601/no91/2f"


def configuration(version=7, **changed):
    route = {
        "name": "r-1",
        "host": HOST,
        "pathPrefix": "/nono601/no91/",
        "type": "idempotent",
        "timeoutMs": 2000,
        "sloMs": 1000,
        "priority": 1,
        "gather": list(SHARDS),
        "attempts": 2,
        "topK": 5,
        "minCoverage": 0.75,
    }
    single = {
        "name": "r-2",
        "host": HOST,
        "pathPrefix": "/rany330/",
        "type": "non_idempotent",
        "timeoutMs": 2000,
        "sloMs": 1000,
        "priority": 2,
        "backend": SHARDS[0],
        "attempts": 2,
    }
    service = {"healthPath": "/healthz", "maxConns": 26, "protocol": "h1"}
    return {
        "version": version,
        "routes": [route, single],
        "services": [{"name": name, **service} for name in SHARDS],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
        **changed,
    }


class LeafUpstream:
    """Runs a leaf upstream, which answers sweeps with one record and counts them."""

    def __init__(self, name, shard, zone, *, version="v1", fails=False):
        self.name = name
        self.version = version
        self.fails = fails
        self.shard = shard
        self.zone = zone
        self.request_count = 0
        self.last_headers = None
        self.sequence = 0
        self.state = "ready"
        self.server = http_server.HttpServer(handler=self.answer)
        self.address = ""

    async def answer(self, request):
        expected = request.headers.get(names.HEADERS.expected_upstream)
        if expected != self.name:
            return http.Response(status=421, content_type=None)
        self.request_count += 1
        self.last_headers = request.headers
        headers = (
            (names.HEADERS.request_id, request.headers[names.HEADERS.request_id]),
            (names.HEADERS.signature, f"{self.name}.{self.request_count}"),
            (names.HEADERS.load, "1,0,2"),
        )
        status = 500 if self.fails else 200
        return http.Response(
            status=status, body=RECORD, content_type=None, headers=headers
        )

    def announcement(self):
        self.sequence += 1
        return {
            "backend": self.shard,
            "addr": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 2,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.sequence,
            "born": 1_733_180_000_000 + int(self.version[1:]),
        }


class PlatformDeployment:
    """Runs three control hosts and an entry host; sends requests to all of them.

    :param revoke_within: limit for revocations in seconds, ``None`` for no limit.
    :param usage_caps: caps of teams' usage; ``None`` for none.
    :param control_zones: zone of each control host.
    :param entry_peer_listen: peer address of the entry host, ``None`` for none.
    """

    def __init__(
        self,
        *,
        revoke_within=None,
        usage_caps=None,
        control_zones=("midt-a",) * CONTROL_COUNT,
        entry_peer_listen=None,
    ):
        self.revoke_within = revoke_within
        self.usage_caps = usage_caps
        self.control_zones = control_zones
        self.clock = clock.SystemClock()
        self.folder = tempfile.TemporaryDirectory()
        ports = free_ports.find(2 * CONTROL_COUNT + 4)
        self.operator_addresses = [
            f"127.0.0.1:{port}" for port in ports[:CONTROL_COUNT]
        ]
        peers = [
            f"127.0.0.1:{port}" for port in ports[CONTROL_COUNT : 2 * CONTROL_COUNT]
        ]
        others = (f"127.0.0.1:{port}" for port in ports[-4:])
        (
            self.entry_address,
            self.ready,
            self.entry_metrics_address,
            self.control_metrics_address,
        ) = others
        self.peers = peers
        self.controls = [
            self.make_control(number, peers) for number in range(CONTROL_COUNT)
        ]
        self.gateway = self.make_gateway(
            "front-1",
            self.entry_address,
            self.ready,
            self.entry_metrics_address,
            peer_listen=entry_peer_listen,
        )
        self.clients_by_address = {}
        self.leafs = []
        self.requests = 0

    def make_gateway(
        self, host_id, listen, ready, metrics, *, zone="midt-a", peer_listen=None
    ):
        return gateway.Gateway(
            settings=gateway_settings.GatewaySettings(
                host_id=host_id,
                zone=zone,
                listen=listen,
                ready_listen=ready,
                ready_path=names.READY_PATH,
                control_addresses=tuple(self.peers),
                grace=datetime.timedelta(seconds=6),
                # Allows retries although the host has just started.
                router=router.Options(
                    zone=zone,
                    retry_burst=1000.0,
                    revoke_within=self.revoke_within,
                    usage_caps=self.usage_caps,
                ),
                metrics_listen=metrics,
                peer_listen=peer_listen,
            ),
            names=names.HEADERS,
            parse_document=documents.parse,
            clock=self.clock,
            rng=random.Random(1),
        )

    def make_control(self, number, peers):
        return registry_daemon.RegistryDaemon(
            settings=control_host.ControlSettings(
                host_id=f"core-{number}",
                data_folder=f"{self.folder.name}/{number}",
                peer_address=peers[number],
                peer_addresses=tuple(p for p in peers if p != peers[number]),
                bootstrap=True,
                min_voters=CONTROL_COUNT,
                check_document=documents.parse,
                service_names=documents.service_names,
                # Long, so that a busy machine does not cause an election.
                raft_timing=timing.Timing(
                    election_min=1.5,
                    election_max=3.0,
                    stamps_replies=self.revoke_within is not None,
                ),
            ),
            listen=self.operator_addresses[number],
            zone=self.control_zones[number],
            announce_period=ANNOUNCE_PERIOD_S * 20,
            metrics_listen=None if number else self.control_metrics_address,
            usage_window=None if self.usage_caps is None else self.usage_caps.window,
            make_handler=lambda orders, registrar: (
                control_api.ControlApi(orders=orders, registrar=registrar).handle
            ),
            clock=self.clock,
            rng=random.Random(number),
        )

    async def start(self):
        for each in self.controls:
            await each.start()
        await self.gateway.start()

    async def restart_controls(self, numbers):
        """Start control hosts that were closed, with their state on disk."""
        for number in numbers:
            self.controls[number] = self.make_control(number, self.peers)
            await self.controls[number].start()

    async def close(self):
        for client in self.clients_by_address.values():
            client.close()
        await self.gateway.close()
        for each in self.controls:
            await each.close()
        for leaf in self.leafs:
            await leaf.server.close()
        self.folder.cleanup()

    async def add_leafs(self):
        for shard in SHARDS:
            for number, zone in enumerate(("midt-a", "midt-b")):
                leaf = LeafUpstream(f"i-{shard}-{number}", shard, zone)
                leaf.address = await leaf.server.start()
                self.leafs.append(leaf)
                await self.announce(leaf)

    async def add_version(self, shard, version, *, fails=False):
        for number, zone in enumerate(("midt-a", "midt-b")):
            name = f"i-{shard}-{version}-{number}"
            leaf = LeafUpstream(name, shard, zone, version=version, fails=fails)
            leaf.address = await leaf.server.start()
            self.leafs.append(leaf)
            await self.announce(leaf)

    async def announce(self, leaf):
        async def attempt():
            body = json.dumps(leaf.announcement()).encode()
            path = names.INSTANCES_PATH + leaf.name
            reply = await self.call(self.operator_addresses[0], "PUT", path, body)
            return reply.status == 200

        await self.wait_until(attempt)

    async def put(self, config, *, control_index=0):
        body = json.dumps(config).encode()
        return await self.call(
            self.operator_addresses[control_index], "PUT", names.CONFIG_PATH, body
        )

    async def put_until_accepted(self, config):
        async def attempt():
            return (await self.put(config)).status == 200

        await self.wait_until(attempt)

    async def sweep(self, extra_headers=None, *, address=None):
        self.requests += 1
        headers = {
            "Host": HOST,
            names.HEADERS.request_id: f"q-{self.requests}",
            names.HEADERS.time_left: "2000",
            **(extra_headers or {}),
        }
        address = address or self.entry_address
        return await self.call(address, "GET", SWEEP_PATH, b"", headers)

    async def sweep_until(self, condition, extra_headers=None):
        """Send sweeps until a reply meets the condition; return that reply."""
        reply = None

        async def attempt():
            nonlocal reply
            reply = await self.sweep(extra_headers)
            return condition(reply)

        await self.wait_until(attempt)
        return reply

    async def call(self, address, method, path, body, headers=None):
        client = self.clients_by_address.get(address)
        if client is None:
            client = http_client.HttpClient(address=address, clock=self.clock)
            self.clients_by_address[address] = client
        timeout = datetime.timedelta(seconds=TIMEOUT_S)
        return await client.request(
            method, path, headers=headers, body=body, timeout=timeout
        )

    async def wait_until(self, check):
        """Repeat an asynchronous check until it returns true."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                if await check():
                    return
                await asyncio.sleep(0.02)
