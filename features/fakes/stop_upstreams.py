"""Upstreams that take a time chosen by each request and record what they received."""

import asyncio
import itertools
import json

from fakes import platform_deployment, platform_processes
from greengagehaven.platform import names
from greengagehaven.transport import http

PORT = 18080
SLOTS = 400
ANNOUNCE_PERIOD_S = 1.0
SILENT = "silent"
SINGLE_PREFIX = "/rany330/"
SWEEP_PREFIX = "/nono601/no91/"
ROUTE_TIMEOUT_S = 4.0
SERVICE_COUNT = 12
RECORD_BYTES = 16


def configuration(version=7):
    """Return a document with one route for single requests and one for sweeps."""
    config = platform_deployment.configuration(version)
    services = service_names()
    sweep, single = config["routes"]
    sweep |= {
        "gather": list(services),
        "timeoutMs": ROUTE_TIMEOUT_S * 1000,
        "minCoverage": 1.0,
    }
    single |= {"timeoutMs": ROUTE_TIMEOUT_S * 1000, "backend": services[0]}
    config["services"] = [
        {"name": name, "healthPath": "/healthz", "maxConns": SLOTS, "protocol": "h1"}
        for name in services
    ]
    return config


def service_names():
    return tuple(f"shard-{number}" for number in range(SERVICE_COUNT))


def record_of(request_id):
    """Return the record that the response to a request consists of."""
    return request_id.encode().ljust(RECORD_BYTES)


class WorkUpstream(platform_deployment.LeafUpstream):
    """Answers after the milliseconds, with the bytes, that a request's path names.

    :param receipts_by_id: moments at which requests were received, for all upstreams.
    :ivar delay_s: seconds that each response takes longer than its request says.
    :ivar is_silent: whether requests that arrive now are never answered.
    """

    def __init__(self, name, service, zone, receipts_by_id):
        super().__init__(name, service, zone)
        self.receipts_by_id = receipts_by_id
        self.delay_s = 0.0
        self.is_silent = False

    async def answer(self, request):
        if request.headers.get(names.HEADERS.expected_upstream) != self.name:
            return http.Response(status=421, content_type=None)
        request_id = request.headers.get(names.HEADERS.request_id, "")
        now = asyncio.get_running_loop().time()
        self.receipts_by_id.setdefault(request_id, []).append(now)
        work, size = request.path.rsplit("/", 1)[1].split("-")
        if work == SILENT or self.is_silent:
            await asyncio.Event().wait()
        await asyncio.sleep(float(work) / 1000 + self.delay_s)
        headers = (
            (names.HEADERS.request_id, request_id),
            (names.HEADERS.signature, f"{self.name}.{request_id}"),
            (names.HEADERS.load, f"1,0,{SLOTS}"),
        )
        body = record_of(request_id) * (int(size) // RECORD_BYTES)
        return http.Response(status=200, body=body, content_type=None, headers=headers)

    def announcement(self):
        return super().announcement() | {"slots": SLOTS}


class StopDeployment:
    """Hosts as processes, with upstreams in this process.

    :param entries: number of entry hosts.
    :param upstream_zones: zones of the upstreams of each service.
    """

    def __init__(self, *, entries, upstream_zones=platform_processes.ZONES[:2]):
        self.processes = platform_processes.PlatformProcesses(entries=entries)
        self.receipts_by_id = {}
        self.request_numbers = itertools.count(1)
        self.upstreams = [
            self.make_upstream(f"i-{service}-{number}", service, zone)
            for service in service_names()
            for number, zone in enumerate(upstream_zones)
        ]
        self._announcing = None

    async def __aenter__(self):
        processes = self.processes
        subnet = processes.controls[0].ip.rpartition(".")[0]
        await processes.start()
        for number, upstream in enumerate(self.upstreams, start=100):
            address = await upstream.server.start(f"{subnet}.{number}", PORT)
            upstream.address = address
        await processes.put(configuration())
        self._announcing = asyncio.ensure_future(self._announce_forever())
        for entry in processes.entries:
            await processes.wait_until(lambda e=entry: processes.is_ready(e))
            await processes.wait_until(lambda e=entry: self._is_serving(e))
        return self

    async def __aexit__(self, *_):
        self._announcing.cancel()
        await self.processes.close()
        for upstream in self.upstreams:
            await upstream.server.close()

    def make_upstream(self, name, service, zone):
        """Return a new upstream, which is not started or announced."""
        return WorkUpstream(name, service, zone, self.receipts_by_id)

    async def announce(self, upstream, host):
        """Announce an upstream to a control host; return the reply, if there is one."""
        return await self.processes.call(
            host.operator_address,
            "PUT",
            names.INSTANCES_PATH + upstream.name,
            json.dumps(upstream.announcement()).encode(),
        )

    def leader(self):
        """Return the control host that leads the group."""
        leaders = [
            (line.split()[0], host)
            for host in self.processes.controls
            for line in host.log_text.splitlines()
            if "event=control_role" in line and "role=leader" in line
        ]
        return max(leaders, key=lambda pair: pair[0])[1]

    async def _announce_forever(self):
        while True:
            for upstream in list(self.upstreams):
                for host in self.processes.controls:
                    reply = await self.announce(upstream, host)
                    if reply is not None and reply.status == 200:
                        break
            await asyncio.sleep(ANNOUNCE_PERIOD_S)

    async def _is_serving(self, entry):
        for path in (f"{SINGLE_PREFIX}1-1", f"{SWEEP_PREFIX}1-16"):
            if await self.processes.request_status(entry, path) != 200:
                return False
        return True
