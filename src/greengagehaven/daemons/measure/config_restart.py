"""Measures a burst of changes, then a restart of every control host.

Runs real control daemons and followers over loopback in one process, so the
processor time is that of all hosts together.
"""

import asyncio
import dataclasses
import random
import tempfile
import time
import typing

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.daemons import control_daemon, control_host, follower
from greengagehaven.daemons.measure import relay
from greengagehaven.state import configuration
from greengagehaven.transport import grpc_peers

NAME = "config-restart"
ABOUT = "a burst of changes, then a restart of every control and entry host"
ZONES = ("a", "b", "c")
CONTROL_HOST_COUNT = 3
POLL_S = 0.002
TIMEOUT_S = 20.0
MAX_CONCURRENT_CHANGES = 8
SUBSCRIBER_COUNT = 50
LOOPBACK = "127.0.0.1:0"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Size of the measurement.

    :param hosts: number of entry hosts that follow the configuration.
    :param changes: number of changes in the burst.
    :param pace: seconds between changes; 0 for as fast as they are decided.
    """

    hosts: int = 9
    changes: int = 300
    pace: float = 0.0


class Bench:
    """Control daemons and followers on the running event loop."""

    def __init__(self, *, folder: str, hosts: int, rng: random.Random) -> None:
        self._folder = folder
        self._hosts = hosts
        self._rng = rng
        self._clock = clocks.SystemClock()
        self._number = 0
        self.daemons: list[control_daemon.ControlDaemon] = []
        self.followers: list[follower.ConfigurationFollower] = []
        self.clients: list[grpc_peers.GrpcPeerClient] = []
        self._relay: relay.Relay | None = None

    async def start(self) -> None:
        """Start every control host; a folder used before restores its state."""
        addresses = [daemon.peer_address for daemon in self.daemons]
        self.daemons = []
        for number in range(CONTROL_HOST_COUNT):
            daemon = self._daemon(number, addresses)
            await daemon.start()
            self.daemons.append(daemon)
        await self._wait_until(lambda: self.leader is not None)
        await self._wait_until(lambda: len(self._voters()) == CONTROL_HOST_COUNT)

    async def start_followers(self) -> None:
        """Start the configuration followers of the entry hosts."""
        addresses = [daemon.peer_address for daemon in self.daemons]
        self._relay = relay.Relay(target=addresses[0])
        relayed = [await self._relay.start()]
        for number in range(self._hosts):
            client = grpc_peers.GrpcPeerClient(token=None, clock=self._clock)
            following = follower.ConfigurationFollower(
                channel=client,
                host_id=f"e{number}",
                availability_zone=ZONES[number % len(ZONES)],
                control_addresses=addresses if number else relayed,
                on_state=lambda state: None,
                clock=self._clock,
                rng=self._rng,
            )
            following.start()
            self.clients.append(client)
            self.followers.append(following)

    @property
    def leader(self) -> control_host.ControlHost | None:
        """Return the control host that leads, or ``None``."""
        leaders = [daemon.host for daemon in self.daemons if daemon.host.is_leader]
        return leaders[0] if leaders else None

    @property
    def bytes_moved(self) -> int:
        """Return the bytes of the bodies that the followers sent and received."""
        return sum(item.bytes_sent + item.bytes_received for item in self.clients)

    @property
    def wire_bytes(self) -> int:
        """Return the bytes of the first follower's TCP streams, in both directions."""
        return self._relay.bytes_moved if self._relay is not None else 0

    async def change(self) -> configuration.ChangeResult:
        """Commit one small change through the leader."""
        self._number += 1
        change = self._change(self._number)
        while True:
            leader = self.leader
            try:
                if leader is not None:
                    return await leader.propose(change)
            except exceptions.ControlError as error:
                log.info("change_retried", code=error.code, error=error.detail)
            await asyncio.sleep(POLL_S)

    async def burst(self, load: Load) -> int:
        """Commit the changes of a load; return the last revision."""
        if load.pace:
            for _ in range(load.changes):
                result = await self.change()
                await asyncio.sleep(load.pace)
            return result.revision
        revision = 0
        for start in range(0, load.changes, MAX_CONCURRENT_CHANGES):
            count = min(MAX_CONCURRENT_CHANGES, load.changes - start)
            results = await asyncio.gather(*(self.change() for _ in range(count)))
            revision = max(result.revision for result in results)
        return revision

    async def arrivals(self, revision: int) -> list[float]:
        """Return the seconds until each follower has a revision in force."""
        started = time.perf_counter()
        waiting = list(self.followers)
        seconds = []
        while waiting:
            if time.perf_counter() - started > TIMEOUT_S:
                raise exceptions.NotInForceError(f"{len(waiting)} hosts are behind")
            arrived = [item for item in waiting if item.revision >= revision]
            seconds += [time.perf_counter() - started] * len(arrived)
            waiting = [item for item in waiting if item not in arrived]
            await asyncio.sleep(POLL_S)
        return seconds

    async def stop(self) -> None:
        """Stop every host; the folder keeps the control hosts' state."""
        await asyncio.gather(*(item.close() for item in self.followers))
        await asyncio.gather(*(item.close() for item in self.clients))
        await asyncio.gather(*(item.close() for item in self.daemons))
        if self._relay is not None:
            self._relay.close()
        self.followers = []
        self.clients = []

    def _daemon(
        self, number: int, addresses: list[str]
    ) -> control_daemon.ControlDaemon:
        started = tuple(daemon.peer_address for daemon in self.daemons)
        peer_address = addresses[number] if addresses else LOOPBACK
        others = [address for address in addresses if address != peer_address]
        return control_daemon.ControlDaemon(
            settings=control_host.ControlSettings(
                host_id=f"c{number}",
                data_folder=f"{self._folder}/c{number}",
                peer_address=peer_address,
                peer_addresses=tuple(others) or started,
                bootstrap=number == 0 and not addresses,
            ),
            clock=self._clock,
            rng=self._rng,
        )

    def _voters(self) -> frozenset[str]:
        leader = self.leader
        if leader is None or leader.raft is None:
            return frozenset()
        return leader.raft.log.membership.voter_ids

    def _change(self, number: int) -> configuration.DocumentChange:
        return configuration.DocumentChange(
            change_id=f"burst-{number}",
            author="measure",
            document=make_document(number),
            expected_revision=None,
        )

    async def _wait_until(self, condition: typing.Callable[[], bool]) -> None:
        end = time.perf_counter() + TIMEOUT_S
        while not condition():
            if time.perf_counter() > end:
                raise exceptions.QuorumLostError(
                    "the control hosts were not ready in time"
                )
            await asyncio.sleep(POLL_S)


def make_document(number: int) -> bytes:
    """Return a document with 50 subscribers, one of whose shares is the number."""
    lines = ["version = 1", "[services.credits-0]", "[kinds.sweep]"]
    for subscriber in range(SUBSCRIBER_COUNT):
        share = number if subscriber == number % SUBSCRIBER_COUNT else 1
        lines += [
            f"[subscribers.s{subscriber}]",
            f"share = {share}.0",
            f'key_sha256 = ["{subscriber:064x}"]',
        ]
    return "\n".join(lines).encode()


async def measure(*, seed: int = 1, load: Load | None = None) -> dict[str, typing.Any]:
    """Run the burst and the restart; return the figures.

    :param seed: seed of the election timeouts and of the choice of sources.
    :param load: size of the measurement.
    """
    load = load or Load()
    with tempfile.TemporaryDirectory(prefix="greengagehaven-") as folder:
        bench = Bench(folder=folder, hosts=load.hosts, rng=random.Random(seed))
        await bench.start()
        await bench.start_followers()
        first = await bench.change()
        await bench.arrivals(first.revision)
        idle = await _idle(bench)
        burst = await _burst(bench, load)
        restart = await _restart(bench, burst["revision"])
        await bench.stop()
    return {
        "scenario": NAME,
        "seed": seed,
        "baseline": idle,
        "run": {**dataclasses.asdict(load), **burst, **restart},
        "ratios": {},
    }


async def _idle(bench: Bench, seconds: float = 5.0) -> dict[str, float]:
    cpu, moved, wire = time.process_time(), bench.bytes_moved, bench.wire_bytes
    await asyncio.sleep(seconds)
    return {
        "cpu_share": round((time.process_time() - cpu) / seconds, 4),
        "bytes_per_s_host": round(
            (bench.bytes_moved - moved) / seconds / max(1, len(bench.followers)), 1
        ),
        "wire_bytes_per_s": round((bench.wire_bytes - wire) / seconds, 1),
    }


async def _burst(bench: Bench, load: Load) -> dict[str, typing.Any]:
    cpu, moved, wire = time.process_time(), bench.bytes_moved, bench.wire_bytes
    started = time.perf_counter()
    revision = await bench.burst(load)
    decided = time.perf_counter() - started
    arrivals = sorted(await bench.arrivals(revision))
    spent = time.process_time() - cpu
    per_host = max(1, load.hosts) * load.changes
    return {
        "revision": revision,
        "seconds": round(decided, 3),
        "last_arrival_ms": round(max(arrivals, default=0.0) * 1000, 1),
        "cpu_ms_per_change": round(spent * 1000 / load.changes, 3),
        "bytes_per_change_host": round((bench.bytes_moved - moved) / per_host, 1),
        "wire_bytes_per_change": round((bench.wire_bytes - wire) / load.changes, 1),
    }


async def _restart(bench: Bench, revision: int) -> dict[str, typing.Any]:
    await bench.stop()
    started = time.perf_counter()
    await bench.start()
    leading = time.perf_counter() - started
    await bench.start_followers()
    await bench.arrivals(revision)
    return {
        "leader_ms": round(leading * 1000, 1),
        "in_force_ms": round((time.perf_counter() - started) * 1000, 1),
    }
