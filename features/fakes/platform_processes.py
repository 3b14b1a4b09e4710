"""Control and entry hosts of the platform as processes, each on its own address."""

import asyncio
import datetime
import itertools
import json
import os
import pathlib
import random
import re
import signal
import sys
import tempfile

from fakes import platform_deployment
from greengagehaven import exceptions
from greengagehaven.platform import names, settings
from greengagehaven.transport import http_client

ZONES = ("midt-a", "midt-b", "midt-c")
OPERATOR_PORT = 18224
CALLER_PORT = 18226
READY_PORT = 18227
PEER_PORT = 18740
METRICS_PORT = 9464
TIMEOUT_S = 30.0
CALL_TIMEOUT = datetime.timedelta(seconds=2)
RETRY_DELAY_S = 0.1

CATCH_UP_S = 4.0
"""Seconds after its start for which a new control host counts as lost, so that no other
one may be lost (``bounds.catchupS``)."""

VOTERS = re.compile(r"\bvoters=(\S*)")


class Host:
    """One process; its settings file and log are kept in ``folder``."""

    def __init__(self, *, name, role, ip, zone, folder, bootstrap):
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.folder = folder
        self.bootstrap = bootstrap
        self.process = None

    @property
    def operator_address(self):
        return f"{self.ip}:{OPERATOR_PORT}"

    @property
    def member_prefix(self):
        """Return what the ids of its group members begin with."""
        return f"{self.name}-"

    @property
    def log_text(self):
        return (self.folder / f"{self.name}.log").read_text(encoding="utf-8")

    def write_settings(self, seeds):
        control = self.role == "control"
        listen = {
            "control": {"control": OPERATOR_PORT},
            "front": {"front": CALLER_PORT, "ready": READY_PORT},
        }[self.role]
        fields = {
            "node": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "internalPorts": f"{PEER_PORT},{PEER_PORT + 15}",
            "seeds": ",".join(seeds),
            "bootstrap": str(self.bootstrap).lower(),
            "dataDir": str(self.folder / self.name) if control else "",
            "heartbeatMs": 1200,
            "bounds.graceS": 6,
            "bounds.retryRatio": 0.2,
            "bounds.retryBurst": 58,
            "bounds.budgetWindowS": 10,
            "bounds.coldFactor": 1.5,
            "bounds.coldSlack": 5,
        } | {f"listen.{name}": f"{self.ip}:{port}" for name, port in listen.items()}
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        path = self.folder / f"{self.name}.conf"
        # Replaced as a whole: the process reads the file every second.
        draft = path.with_suffix(".draft")
        draft.write_text(text, encoding="utf-8")
        draft.replace(path)

    async def start(self):
        with (self.folder / f"{self.name}.log").open("ab") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "greengagehaven.platform", self.role),
                stdout=log_file,
                stderr=log_file,
                env=os.environ
                | {settings.PATH_VARIABLE: str(self.folder / f"{self.name}.conf")},
            )

    def send_signal(self, number):
        self.process.send_signal(number)

    async def end(self, number=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()


class PlatformProcesses:
    """Control hosts and entry hosts in three zones.

    :param entries: number of entry hosts.
    """

    def __init__(self, *, entries):
        self._folder = tempfile.TemporaryDirectory()
        self._subnet = f"127.{random.randint(130, 220)}.{random.randint(1, 250)}"
        self._numbers = itertools.count(1)
        self._requests = itertools.count(1)
        self._clients_by_address = {}
        self.ended = []
        self.controls = [self._host("control", zone, True) for zone in ZONES]
        self.entries = [
            self._host("front", ZONES[number % len(ZONES)], True)
            for number in range(entries)
        ]

    @property
    def folder(self):
        """Return the folder with the settings, data and logs of all hosts."""
        return self._folder.name

    @property
    def seeds(self):
        return [host.operator_address for host in self.controls]

    @property
    def hosts(self):
        """Return all hosts, including those that were replaced."""
        return (*self.ended, *self.controls, *self.entries)

    def _host(self, role, zone, bootstrap):
        number = next(self._numbers)
        return Host(
            name=f"{role}-{number}",
            role=role,
            ip=f"{self._subnet}.{number}",
            zone=zone,
            folder=pathlib.Path(self._folder.name),
            bootstrap=bootstrap,
        )

    async def start(self):
        for host in (*self.controls, *self.entries):
            host.write_settings(self.seeds)
            await host.start()

    async def close(self):
        for client in self._clients_by_address.values():
            client.close()
        for host in self.hosts:
            await host.end()
        self._folder.cleanup()

    async def replace_control(self, number, *, is_planned=False, ends_old=True):
        """Replace a control host by an empty one at another address.

        :param is_planned: the new one is a voter before the old one is stopped;
            otherwise the old one is killed first.
        :param ends_old: whether the old one is ended at all.
        """
        old = self.controls[number]
        if ends_old and not is_planned:
            await old.end()
        new = self._host("control", old.zone, False)
        new.write_settings(self.seeds)
        await new.start()
        caught_up = asyncio.ensure_future(asyncio.sleep(CATCH_UP_S))
        await self.wait_until(lambda: self.is_voter(new))
        if ends_old and is_planned:
            await old.end(signal.SIGTERM)
        self.ended.append(old)
        self.controls[number] = new
        others = [host for host in self.controls if host is not new]
        await self.wait_until(lambda: self.is_removed(old, others))
        await caught_up

    async def is_voter(self, host):
        """Return whether a host has logged a membership with itself as a voter."""
        voters = (VOTERS.search(line)[1] for line in self._membership_lines([host]))
        return any(host.member_prefix in names for names in voters)

    async def is_removed(self, host, others):
        """Return whether the newest membership that ``others`` logged lacks a host."""
        lines = self._membership_lines(others)
        newest = max(lines, key=lambda line: line.split()[0])
        return host.member_prefix not in newest

    def _membership_lines(self, hosts):
        return [
            line
            for host in hosts
            for line in host.log_text.splitlines()
            if "event=control_membership" in line
        ]

    async def put(self, config):
        """Send a configuration to the control hosts until one acknowledges it."""
        body = json.dumps(config).encode()

        async def attempt():
            for host in self.controls:
                reply = await self.call(
                    host.operator_address, "PUT", names.CONFIG_PATH, body
                )
                if reply is not None and reply.status == 200:
                    return True
            return False

        await self.wait_until(attempt)

    async def request_status(self, entry, path):
        """Send a caller's request; return its status, 0 without a response."""
        reply = await self.call(
            f"{entry.ip}:{CALLER_PORT}",
            "GET",
            path,
            b"",
            {
                "Host": platform_deployment.HOST,
                names.HEADERS.request_id: f"q-{next(self._requests)}",
                names.HEADERS.time_left: "1000",
            },
        )
        return 0 if reply is None else reply.status

    async def is_ready(self, entry):
        reply = await self.call(
            f"{entry.ip}:{READY_PORT}", "GET", names.READY_PATH, b""
        )
        return reply is not None and reply.status == 200

    async def call(self, address, method, path, body, headers=None):
        """Return the reply to a request, ``None`` if there is none."""
        client = self._clients_by_address.setdefault(
            address, http_client.HttpClient(address=address)
        )
        try:
            return await client.request(
                method, path, headers=headers, body=body, timeout=CALL_TIMEOUT
            )
        except exceptions.UpstreamError:
            return None

    async def wait_until(self, check, timeout=TIMEOUT_S):
        """Repeat an asynchronous check until it returns true."""
        async with asyncio.timeout(timeout):
            while True:
                if await check():
                    return
                await asyncio.sleep(RETRY_DELAY_S)
