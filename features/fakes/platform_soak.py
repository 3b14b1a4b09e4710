"""Seeded soak of platform processes with faults and changes that overlap."""

import asyncio
import copy
import random
import signal

from fakes import platform_deployment, platform_processes

ALL_VERSIONS_PATH = "/rany330/1"
NOT_FOUND = 404
BURSTS = 3
CLIENT_PERIOD_S = 0.05

MAX_ENTRY_DELAY_S = 2.0
"""Seconds from the beginning of a burst; replacing one control host takes longer."""

TURNOVER_SHARE = 0.5
"""Share of the bursts in which every control host is replaced."""

REPLACEMENTS = ("kill", "replace")
CONTROL_FAULTS = (*REPLACEMENTS, "restart", "pause")
ENTRY_FAULTS = ("pause", "pause_until_controls_done", "restart", "hangups")

CONTACT_S = 4.0
APPLY_S = 3.0
"""Seconds without a fault after which a host is in contact, and from the
acknowledgement of a change after which such a host obeys it."""


def added_path(version):
    return f"/version-{version}/1"


def configuration(version):
    """Return a configuration with a route that no other version has."""
    config = platform_deployment.configuration(version=version)
    route = copy.deepcopy(config["routes"][1])
    route |= {"name": "r-added", "pathPrefix": f"/version-{version}/"}
    config["routes"].append(route)
    return config


class PlatformSoak:
    """Runs bursts of faults; after each, every entry host has to obey the next change.

    At most one control host is out of service at a time. Clients send requests on open
    connections all the while.

    :ivar events: what was done, for a failed run.
    :ivar violations: what was broken.
    """

    def __init__(self, *, seed, entries):
        self.events = []
        self.violations = []
        self.processes = platform_processes.PlatformProcesses(entries=entries)
        self._rng = random.Random(seed)
        self._version = 7
        self._is_over = False

    async def run(self):
        processes = self.processes
        try:
            await processes.start()
            await processes.put(configuration(self._version))
            for entry in processes.entries:
                await processes.wait_until(lambda e=entry: processes.is_ready(e))
            clients = [asyncio.ensure_future(self._send(e)) for e in processes.entries]
            for _ in range(BURSTS):
                await self._burst()
                await self._check_change()
            self._is_over = True
            await asyncio.gather(*clients)
            self._check_logs()
        finally:
            self._is_over = True
            await processes.close()

    async def _send(self, entry):
        while not self._is_over:
            status = await self.processes.request_status(entry, ALL_VERSIONS_PATH)
            if status == NOT_FOUND:
                self.violations.append(f"{entry.name}: 404 for a route of all versions")
            await asyncio.sleep(CLIENT_PERIOD_S)

    async def _burst(self):
        self._controls_done = asyncio.Event()
        old_seeds = self.processes.seeds
        entries = self.processes.entries
        chosen = self._rng.sample(entries, self._rng.randint(1, len(entries)))
        await asyncio.gather(
            self._disturb_controls(), self._change(), *map(self._disturb_entry, chosen)
        )
        seeds = self._rng.choice((old_seeds, self.processes.seeds))
        for host in (*entries, *self.processes.controls):
            host.write_settings(seeds)
            host.send_signal(signal.SIGHUP)
        self.events.append(f"settings name {seeds}")

    async def _disturb_controls(self):
        is_turnover = self._rng.random() < TURNOVER_SHARE
        numbers = self._rng.sample(range(3), 3 if is_turnover else 2)
        for number in numbers:
            fault = self._rng.choice(REPLACEMENTS if is_turnover else CONTROL_FAULTS)
            self.events.append(f"control {number}: {fault}")
            host = self.processes.controls[number]
            match fault:
                case "kill" | "replace":
                    is_planned = fault == "replace"
                    await self.processes.replace_control(number, is_planned=is_planned)
                case "restart":
                    await self._restart(host)
                    await asyncio.sleep(self._rng.uniform(1, 4))
                case "pause":
                    await self._pause(host, self._rng.uniform(0.5, 6))
                    await asyncio.sleep(2)
        self._controls_done.set()

    async def _disturb_entry(self, host):
        await asyncio.sleep(self._rng.uniform(0, MAX_ENTRY_DELAY_S))
        fault = self._rng.choice(ENTRY_FAULTS)
        self.events.append(f"{host.name}: {fault}")
        match fault:
            case "pause":
                await self._pause(host, self._rng.uniform(1, 20))
            case "pause_until_controls_done":
                host.send_signal(signal.SIGSTOP)
                await self._controls_done.wait()
                host.send_signal(signal.SIGCONT)
            case "restart":
                host.write_settings(self.processes.seeds)
                await self._restart(host)
            case "hangups":
                for _ in range(5):
                    host.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.1)

    async def _restart(self, host):
        await host.end(self._rng.choice((signal.SIGKILL, signal.SIGTERM)))
        await host.start()

    async def _pause(self, host, seconds):
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        host.send_signal(signal.SIGCONT)

    async def _change(self):
        for _ in range(self._rng.randint(1, 4)):
            await asyncio.sleep(self._rng.uniform(0.5, 4))
            await self._put_next()

    async def _put_next(self):
        self._version += 1
        await self.processes.put(configuration(self._version))

    async def _check_change(self):
        await asyncio.sleep(CONTACT_S)
        await self._put_next()
        await asyncio.sleep(APPLY_S)
        for entry in self.processes.entries:
            path = added_path(self._version)
            status = await self.processes.request_status(entry, path)
            if status in (0, NOT_FOUND):
                self.violations.append(
                    f"{entry.name}: {status} for version {self._version}"
                )
            if not await self.processes.is_ready(entry):
                self.violations.append(f"{entry.name} is not ready")

    def _check_logs(self):
        for host in self.processes.hosts:
            self.violations += [
                f"{host.name}: {line}"
                for line in host.log_text.splitlines()
                if "event=task_failed" in line or line.startswith("Traceback")
            ]
