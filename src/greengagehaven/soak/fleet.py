"""The processes of a soak: started, stopped and struck by their ids."""

import asyncio
import os
import pathlib
import shutil
import signal
import socket
import sys

from greengagehaven import exceptions
from greengagehaven.soak import schedule

COMMAND = (sys.executable, "-c", "from greengagehaven import cli; cli.main()")
READY_S = 20.0
STOP_S = 30.0
CALL_S = 20.0
PEER_TOKEN = "soak"  # noqa: S105

FIRST_PORT = 12_000
PORTS = 20_000
"""Ports from 12,000 on; systems hand out those from 32,768 on by themselves."""

PORTS_A_SOAK = 64


class Fleet:
    """Control and entry hosts as processes on loopback.

    :param folder: for data and logs.
    :param entries: how many entry hosts.
    :param document: that is in force at first.
    """

    def __init__(
        self, *, folder: pathlib.Path, entries: int, document: pathlib.Path
    ) -> None:
        self.entry_ids = [f"e{number + 1}" for number in range(entries)]
        self.host_ids = [*schedule.CONTROLS, *self.entry_ids]
        self._folder = folder
        self._document = document
        ports = iter(_free_ports(2 * len(self.host_ids)))
        # Operators' or callers' address, and that of other hosts.
        self._addresses_by_id = {
            host_id: (f"127.0.0.1:{next(ports)}", f"127.0.0.1:{next(ports)}")
            for host_id in self.host_ids
        }
        self._processes_by_id: dict[str, asyncio.subprocess.Process] = {}

    def address(self, host_id: str) -> str:
        """Return where callers, or operators, reach a host."""
        return self._addresses_by_id[host_id][0]

    @property
    def operator_addresses(self) -> list[str]:
        """Return where operators reach control hosts."""
        return [self.address(host_id) for host_id in schedule.CONTROLS]

    async def start_all(self) -> None:
        """Start every host and wait until a document is in force."""
        for host_id in self.host_ids:
            await self.start(host_id)
        await self.wait_until_applied()
        ended = [each for each in self.host_ids if not self.is_running(each)]
        if ended:
            # Another process may have taken a port that was free a moment ago. What
            # is played without them says nothing.
            raise exceptions.SettingError(
                place="hosts", value=", ".join(ended), expected="hosts that run"
            )

    async def start(self, host_id: str) -> None:
        """Start one host; its log goes on in the same file."""
        log = (self._folder / f"{host_id}.log").open("ab")
        self._processes_by_id[host_id] = await asyncio.create_subprocess_exec(
            *COMMAND, *self._arguments(host_id), stdout=log, stderr=log
        )
        log.close()

    async def kill(self, host_id: str) -> None:
        """End one host at once."""
        process = self._processes_by_id[host_id]
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def stop(self, host_id: str) -> bool:
        """Stop one host in order; return whether it ended by itself."""
        process = self._processes_by_id[host_id]
        if process.returncode is None:
            process.terminate()
        try:
            async with asyncio.timeout(STOP_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            return False
        return process.returncode == 0

    def pause(self, host_id: str, *, is_paused: bool) -> None:
        """Let a host stand still, or go on."""
        process = self._processes_by_id[host_id]
        if process.returncode is None:
            sent = signal.SIGSTOP if is_paused else signal.SIGCONT
            os.kill(process.pid, sent)

    def is_running(self, host_id: str) -> bool:
        """Tell whether a host's process is there."""
        return self._processes_by_id[host_id].returncode is None

    def wipe(self, host_id: str) -> None:
        """Lose a control host's disk."""
        shutil.rmtree(self._folder / host_id, ignore_errors=True)

    async def close(self) -> None:
        """End every process of this soak, by its id."""
        for host_id, process in self._processes_by_id.items():
            if process.returncode is None:
                self.pause(host_id, is_paused=False)
                process.kill()
            await process.wait()

    async def call(self, *arguments: str) -> tuple[int, str]:
        """Run an operator's command; return its exit code and what it printed."""
        controls = [
            word
            for address in self.operator_addresses
            for word in ("--control", address)
        ]
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            *arguments,
            *controls,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(CALL_S):
                printed, _ = await process.communicate()
        except TimeoutError:
            process.kill()
            await process.wait()
            return 1, "no answer in time"
        assert process.returncode is not None
        return process.returncode, printed.decode(errors="replace")

    async def wait_until_applied(self) -> None:
        """Apply the first document as soon as there is a quorum.

        :raises QuorumLostError: there is none in time.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_S
        printed = ""
        while loop.time() < end:
            code, printed = await self.call(
                "apply", str(self._document), "--json", "--change-id", "first"
            )
            if code == 0:
                return
        raise exceptions.QuorumLostError(f"no document came into force: {printed}")

    def _arguments(self, host_id: str) -> list[str]:
        outer, peer = self._addresses_by_id[host_id]
        controls = [self._addresses_by_id[other][1] for other in schedule.CONTROLS]
        common = ["--host-id", host_id, "--peer-token", PEER_TOKEN]
        for other, address in zip(schedule.CONTROLS, controls, strict=True):
            common += ["--recorder", f"{other}={address}"]
        if host_id in schedule.CONTROLS:
            others = [address for address in controls if address != peer]
            peers = [word for other in others for word in ("--peer", other)]
            return [
                *("control", *common, "--bootstrap", *peers),
                *("--data-folder", str(self._folder / host_id)),
                *("--operator-address", outer, "--peer-address", peer),
            ]
        number = self.entry_ids.index(host_id)
        zone = schedule.ZONES[number % len(schedule.ZONES)]
        arguments = ["entry", *common, "--zone", zone, "--listen", outer]
        arguments += ["--peer-listen", peer, "--balancer-wait-ms", "300"]
        for address in controls:
            arguments += ["--control", address]
        for other in self.entry_ids:
            if other != host_id:
                arguments += ["--seed", self._addresses_by_id[other][1]]
        return arguments


def _free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on.

    They lie below those that the system hands out by itself, and begin elsewhere in
    each process: a port that was free a moment ago is not taken by an outgoing
    connection or another soak before its host binds it.
    """
    first = FIRST_PORT + os.getpid() * PORTS_A_SOAK % PORTS
    ports: list[int] = []
    for offset in range(PORTS):
        port = FIRST_PORT + (first - FIRST_PORT + offset) % PORTS
        with socket.socket() as tried:
            tried.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                tried.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            break
    return ports
