"""Runs control and entry hosts of the platform as processes on loopback."""

import asyncio
import dataclasses
import os
import pathlib
import sys
from collections import abc

from greengagehaven.daemons.measure import cut_off

CONTROL_COUNT = 3
ZONES = ("a", "b", "c")
STOP_TIMEOUT_S = 10.0
OPERATOR_PORT = 8224
CALLER_PORT = 8080
READY_PORT = 8081
PEER_PORT = 7740
LAST_INTERNAL_PORT = 7755
_ROLE_MODULE = "greengagehaven.platform"
_SUBNETS = 128
"""Values of the second part of the addresses, chosen by the process id as the third is,
so that runs at the same time are unlikely to bind the same addresses."""

_FIRST_CONTROL_NUMBER = 1
_FIRST_ENTRY_NUMBER = 101
"""Last part of the address of the first host of a role."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostSettings:
    """What the settings of a host are written from.

    :param control_addresses: ``IP:PORT`` of each control host for operators.
    :param revoke_ms: limit for revocations in milliseconds, ``None`` for no limit.
    """

    name: str
    ip: str
    zone: str
    control_addresses: tuple[str, ...]
    data_folder: str
    revoke_ms: int | None


class PlatformHosts:
    """Starts three control hosts and some entry hosts, and ends them by their id.

    Each has a loopback address of its own, as all hosts use the same ports.

    :param folder: for settings, logs and data.
    :param hosts: number of entry hosts; the first can be cut off.
    :param revoke_ms: limit for revocations in milliseconds, ``None`` for no limit.
    :param make_settings: returns the text of a host's settings file.
    :param settings_variable: environment variable with the path of that file.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        hosts: int,
        revoke_ms: int | None,
        make_settings: abc.Callable[[HostSettings], str],
        settings_variable: str,
    ) -> None:
        self._folder = folder
        self._revoke_ms = revoke_ms
        self._make_settings = make_settings
        self._settings_variable = settings_variable
        pid = os.getpid()
        self._subnet = f"127.{64 + pid % _SUBNETS}.{pid // _SUBNETS % 250}"
        self._control_ips = [
            self._ip(_FIRST_CONTROL_NUMBER + number) for number in range(CONTROL_COUNT)
        ]
        self.entry_ips = [
            self._ip(_FIRST_ENTRY_NUMBER + number) for number in range(hosts)
        ]
        self._processes: list[asyncio.subprocess.Process] = []

    @property
    def operator_addresses(self) -> list[str]:
        """Return the operator addresses of the control hosts."""
        return [f"{ip}:{OPERATOR_PORT}" for ip in self._control_ips]

    async def start(self) -> None:
        """Start every host."""
        for number, ip in enumerate(self._control_ips):
            await self._start(f"control-{number}", ip, ZONES[number], "control")
        for number, ip in enumerate(self.entry_ips):
            zone = ZONES[number % len(ZONES)]
            await self._start(f"entry-{number}", ip, zone, "front")

    def cut_off_first(self) -> None:
        """Cut the first entry host off from all other hosts."""
        self._processes[CONTROL_COUNT].send_signal(cut_off.SIGNAL)

    async def close(self) -> None:
        """End every process that was started."""
        running = [each for each in self._processes if each.returncode is None]
        for process in running:
            process.terminate()
        for process in running:
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()

    def _ip(self, number: int) -> str:
        return f"{self._subnet}.{number}"

    async def _start(self, name: str, ip: str, zone: str, role: str) -> None:
        settings = self._folder / f"{name}.conf"
        settings.write_text(self._settings(name, ip, zone), encoding="utf-8")
        arguments = ("-m", _ROLE_MODULE)
        if len(self._processes) == CONTROL_COUNT:
            arguments = ("-c", cut_off.COMMAND)
        with (self._folder / f"{name}.log").open("ab") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                role,
                stdout=log_file,
                stderr=log_file,
                env={**os.environ, self._settings_variable: str(settings)},
            )
        self._processes.append(process)

    def _settings(self, name: str, ip: str, zone: str) -> str:
        return self._make_settings(
            HostSettings(
                name=name,
                ip=ip,
                zone=zone,
                control_addresses=tuple(self.operator_addresses),
                data_folder=str(self._folder / name),
                revoke_ms=self._revoke_ms,
            )
        )
