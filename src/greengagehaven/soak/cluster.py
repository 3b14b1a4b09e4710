"""Control and entry hosts of a soak, each a process that is signalled by its id."""

import asyncio
import os
import pathlib
import shutil
import signal
import sys

from greengagehaven import exceptions
from greengagehaven.soak import schedule
from greengagehaven.transport import free_ports

_COMMAND = (sys.executable, "-c", "from greengagehaven import cli; cli.main()")
_READY_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 30.0
_COMMAND_TIMEOUT_S = 20.0
_PEER_TOKEN = "soak"  # noqa: S105


class Cluster:
    """Control and entry hosts as processes on loopback.

    :param folder: for data and logs.
    :param entries: number of entry hosts.
    :param document: environment document to apply first.
    """

    def __init__(
        self, *, folder: pathlib.Path, entries: int, document: pathlib.Path
    ) -> None:
        self.entry_ids = [f"e{number + 1}" for number in range(entries)]
        self.host_ids = [*schedule.CONTROLS, *self.entry_ids]
        self._folder = folder
        self._document = document
        ports = iter(free_ports.find(2 * len(self.host_ids)))
        # (address for operators or callers, address for other hosts)
        self._addresses_by_id = {
            host_id: (f"127.0.0.1:{next(ports)}", f"127.0.0.1:{next(ports)}")
            for host_id in self.host_ids
        }
        self._processes_by_id: dict[str, asyncio.subprocess.Process] = {}

    def address(self, host_id: str) -> str:
        """Return the address for callers, or for operators if it is a control host."""
        return self._addresses_by_id[host_id][0]

    @property
    def operator_addresses(self) -> list[str]:
        """Return the operator addresses of the control hosts."""
        return [self.address(host_id) for host_id in schedule.CONTROLS]

    async def start_all(self) -> None:
        """Start every host and apply the initial document.

        :raises QuorumLostError: the document was not accepted in time.
        :raises SettingError: a host has exited.
        """
        for host_id in self.host_ids:
            await self.start(host_id)
        await self.apply_initial_document()
        exited = [each for each in self.host_ids if not self.is_running(each)]
        if exited:
            # Another process may have taken a port between the check and the bind. A
            # run without these hosts would be meaningless.
            raise exceptions.SettingError(
                place="hosts", value=", ".join(exited), expected="hosts that run"
            )

    async def start(self, host_id: str) -> None:
        """Start one host; its output is appended to its log file."""
        log_file = (self._folder / f"{host_id}.log").open("ab")
        self._processes_by_id[host_id] = await asyncio.create_subprocess_exec(
            *_COMMAND, *self._arguments(host_id), stdout=log_file, stderr=log_file
        )
        log_file.close()

    async def kill(self, host_id: str) -> None:
        """Kill one host with SIGKILL."""
        process = self._processes_by_id[host_id]
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def stop(self, host_id: str) -> bool:
        """Shut one host down with SIGTERM; return whether it exited with 0 in time."""
        process = self._processes_by_id[host_id]
        if process.returncode is None:
            process.terminate()
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            return False
        return process.returncode == 0

    def pause(self, host_id: str, *, is_paused: bool) -> None:
        """Suspend a host with SIGSTOP, or resume it with SIGCONT."""
        process = self._processes_by_id[host_id]
        if process.returncode is None:
            signal_number = signal.SIGSTOP if is_paused else signal.SIGCONT
            os.kill(process.pid, signal_number)

    def is_running(self, host_id: str) -> bool:
        """Return whether a host's process is running."""
        return self._processes_by_id[host_id].returncode is None

    def wipe(self, host_id: str) -> None:
        """Delete the data folder of a control host."""
        shutil.rmtree(self._folder / host_id, ignore_errors=True)

    async def close(self) -> None:
        """Kill every process that this cluster started."""
        for host_id, process in self._processes_by_id.items():
            if process.returncode is None:
                self.pause(host_id, is_paused=False)
                process.kill()
            await process.wait()

    async def run_command(self, *arguments: str) -> tuple[int, str]:
        """Run an operator command; return its exit code and combined output.

        A command that exceeds its timeout is killed and counts as exit code 1.
        """
        controls = [
            word
            for address in self.operator_addresses
            for word in ("--control", address)
        ]
        process = await asyncio.create_subprocess_exec(
            *_COMMAND,
            *arguments,
            *controls,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(_COMMAND_TIMEOUT_S):
                output, _ = await process.communicate()
        except TimeoutError:
            process.kill()
            await process.wait()
            return 1, "command timed out"
        assert process.returncode is not None
        return process.returncode, output.decode(errors="replace")

    async def apply_initial_document(self) -> None:
        """Apply the initial document, retrying until there is a quorum.

        :raises QuorumLostError: it was not accepted in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _READY_TIMEOUT_S
        output = ""
        while loop.time() < deadline:
            code, output = await self.run_command(
                "apply", str(self._document), "--json", "--change-id", "first"
            )
            if code == 0:
                return
        raise exceptions.QuorumLostError(
            f"the initial document was not accepted: {output}"
        )

    def _arguments(self, host_id: str) -> list[str]:
        public, peer = self._addresses_by_id[host_id]
        controls = [self._addresses_by_id[other][1] for other in schedule.CONTROLS]
        common = ["--host-id", host_id, "--peer-token", _PEER_TOKEN]
        for other, address in zip(schedule.CONTROLS, controls, strict=True):
            common += ["--recorder", f"{other}={address}"]
        if host_id in schedule.CONTROLS:
            others = [address for address in controls if address != peer]
            peers = [word for other in others for word in ("--peer", other)]
            return [
                *("control", *common, "--bootstrap", *peers),
                *("--data-folder", str(self._folder / host_id)),
                *("--operator-address", public, "--peer-address", peer),
            ]
        number = self.entry_ids.index(host_id)
        zone = schedule.ZONES[number % len(schedule.ZONES)]
        arguments = ["entry", *common, "--zone", zone, "--listen", public]
        arguments += ["--peer-listen", peer, "--balancer-wait-ms", "300"]
        for address in controls:
            arguments += ["--control", address]
        for other in self.entry_ids:
            if other != host_id:
                arguments += ["--seed", self._addresses_by_id[other][1]]
        return arguments
