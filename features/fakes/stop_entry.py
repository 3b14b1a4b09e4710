"""An entry host of the product's own interface as a process, with one upstream."""

import asyncio
import datetime
import itertools
import json
import pathlib
import random
import sys
import tempfile

import greengagehaven
from fakes import certificates, platform_processes
from greengagehaven.daemons import dev
from greengagehaven.standin import upstream as standin
from greengagehaven.transport import http_client, tls

COMMAND = (sys.executable, "-c", "from greengagehaven import cli; cli.main()")
DOCUMENT = pathlib.Path(greengagehaven.__file__).parent / "daemons" / "dev.toml"
SERVICE = "credits-0"
SEARCH_PATH = "/v1/search"
SEARCH_BODY = json.dumps({"services": [SERVICE], "kind": "sweep"}).encode()
HEADERS = (f"Authorization: Bearer {dev.DEMO_KEY}", "Content-Type: application/json")
FAST_S = 0.01
CALL_TIMEOUT = datetime.timedelta(seconds=2)


class AnnouncingUpstream(standin.StandinUpstream):
    """Announces over TLS if there is a client TLS context."""

    tls = None

    async def _announce(self, client):
        if self.tls is None:
            return await super()._announce(client)
        secure = http_client.HttpClient(address=client.address, tls=self.tls)
        try:
            return await super()._announce(secure)
        finally:
            secure.close()


class EntryDeployment:
    """An entry host with one upstream.

    :param work_s: mean seconds that a sub-request takes at the upstream.
    :param drain_s: drain bound of the entry host.
    :param has_tls: whether its listener has TLS.
    :ivar tls: TLS context of its clients, if it has TLS.
    """

    def __init__(self, *, work_s, drain_s, has_tls=False):
        self.request_numbers = itertools.count(1)
        self.receipts_by_id = {}
        self.tls = None
        self._work_s = work_s
        self._folder = tempfile.TemporaryDirectory()
        folder = pathlib.Path(self._folder.name)
        ip = f"127.{random.randint(130, 220)}.{random.randint(1, 250)}.1"
        self.host = platform_processes.Host(
            name="entry", role="front", ip=ip, zone="a", folder=folder, bootstrap=False
        )
        self._options = ("--drain-ms", str(round(drain_s * 1000)))
        if has_tls:
            certificates.write_certificate(folder, "entry")
            certificate, key = folder / "entry.crt", folder / "entry.key"
            self._options += ("--tls-certificate", certificate, "--tls-key", key)
            self.tls = tls.client_context(ca=certificate)
            self.tls.check_hostname = False
        self._address = f"{ip}:{platform_processes.CALLER_PORT}"
        self._client = http_client.HttpClient(address=self._address, tls=self.tls)
        options = standin.Options(
            id="u-1",
            availability_zone="a",
            shards=(dev.unsharded_service(SERVICE),),
            service_time=FAST_S,
            slots=8,
        )
        self.upstream = AnnouncingUpstream(options=options, entries=(self._address,))
        self.upstream.tls = self.tls

    async def __aenter__(self):
        with (self.host.folder / "entry.log").open("ab") as log_file:
            self.host.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                *("entry", "--host-id", "entry", "--zone", "a"),
                *("--listen", self._address),
                *("--peer-listen", f"{self.host.ip}:{platform_processes.PEER_PORT}"),
                *("--document", str(DOCUMENT)),
                *("--balancer-wait-ms", "0"),
                *self._options,
                stdout=log_file,
                stderr=log_file,
            )
        await self._wait_until(self._is_started)
        await self.upstream.start()
        await self._wait_until(self._is_serving)
        self.upstream.speed_factor = self._work_s / FAST_S
        return self

    async def __aexit__(self, *_):
        self._client.close()
        await self.host.end()
        await self.upstream.stop()
        self._folder.cleanup()

    async def _is_started(self):
        return "event=ready" in self.host.log_text

    async def _is_serving(self):
        headers = {"Authorization": f"Bearer {dev.DEMO_KEY}"}
        reply = await self._client.request(
            "POST", SEARCH_PATH, headers=headers, body=SEARCH_BODY, timeout=CALL_TIMEOUT
        )
        return reply.status == 200 and b'"complete":true' in reply.body

    async def _wait_until(self, check):
        async with asyncio.timeout(platform_processes.TIMEOUT_S):
            while True:
                if await check():
                    return
                await asyncio.sleep(platform_processes.RETRY_DELAY_S)
