"""Small deployment of the project's own programs on loopback, with stand-ins.

The control and entry processes are started with the commands of the deploy file. The
leafs, the operator and the clients are stand-ins that follow the users' pages.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
BEAT_S = 1.2
CONTACT_S = 4.0
CONFIG_APPLY_S = 3.0
EVACUATE_S = 5.0
PREFIX = "X-Greengagehaven-"


class CouldNotRunError(Exception):
    """The case could not be run, for example since a program did not start."""


class Record:
    """The file ``record.txt``: what was sent, answered and run.

    :param path: path of the file, which is replaced.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, kind: str, text: str) -> None:
        """Add a line with the seconds since the start."""
        elapsed = time.monotonic() - self._started_at
        self._file.write(f"{elapsed:8.3f} {kind:<9} {text}\n")
        self._file.flush()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """An HTTP answer; ``status`` is 0 if none arrived in time."""

    status: int
    headers: dict[str, str]
    body: bytes
    took: float


def free_ports(address: str, count: int) -> list[int]:
    """Return free ports of a loopback address, consecutive ones."""
    for _ in range(200):
        first = random.randrange(20000, 32000)
        held = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                held.append(probe)
                probe.bind((address, port))
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
        return list(range(first, first + count))
    raise CouldNotRunError("no free ports")


class Node:
    """One process of the system on a loopback address of its own.

    :param name: name of the machine.
    :param role: ``front`` or ``control``.
    """

    def __init__(self, *, name: str, role: str, ip: str, zone: str) -> None:
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process: subprocess.Popen | None = None
        self.settings_path = pathlib.Path()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process that this test started."""
        assert self.process is not None
        self.process.send_signal(number)


class Cluster:
    """Three control machines and two front machines in three zones.

    :param record: gets a line for each call and run.
    """

    def __init__(self, record: Record, *, fronts: int = 2) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        base = f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}"
        self.address_base = base
        ports = free_ports(f"{base}.1", 20)
        self.front_port, self.ready_port, self.control_port = ports[:3]
        self.internal_ports = ports[4], ports[19]
        self.controls = [
            Node(name=f"core-{zone}-1", role="control", ip=f"{base}.{n}", zone=zone)
            for n, zone in enumerate(ZONES, 1)
        ]
        self.fronts = [
            Node(
                name=f"front-{ZONES[n % 3]}-{n + 1}",
                role="front",
                ip=f"{base}.{n + 11}",
                zone=ZONES[n % 3],
            )
            for n in range(fronts)
        ]
        self.leafs: list[Leaf] = []
        self.tasks: list[asyncio.Task] = []
        with (REPOSITORY / "deploy/system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        # Started in a session of its own, so that it outlives a killed script.
        self._watchdog = subprocess.Popen(
            [
                sys.executable,
                str(pathlib.Path(__file__).with_name("watchdog.py")),
                str(self.folder),
            ],
            stdin=subprocess.PIPE,
            text=True,
            start_new_session=True,
        )
        self._commands = {
            name: shlex.split(role["run"]) for name, role in roles.items()
        }

    @property
    def nodes(self) -> list[Node]:
        """Return all machines of the system."""
        return [*self.controls, *self.fronts]

    def start_nodes(self) -> None:
        """Start every process of the system."""
        if not (REPOSITORY / "target/deps").is_dir():
            raise CouldNotRunError(
                "target/deps is missing; run the deploy file's build"
            )
        for node in self.nodes:
            self.start_node(node)

    def start_node(self, node: Node) -> None:
        """Write the settings file of a machine and start its process."""
        node.settings_path = self.folder / f"{node.name}.conf"
        node.settings_path.write_text(self._settings_of(node), encoding="utf-8")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["GREENGAGEHAVEN_CONFIG"] = str(node.settings_path)
        log = (self.folder / f"{node.name}.log").open("ab")
        node.process = subprocess.Popen(
            self._commands[node.role],
            cwd=REPOSITORY,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._tell_watchdog(str(node.process.pid))

    def _tell_watchdog(self, line: str) -> None:
        assert self._watchdog.stdin is not None
        self._watchdog.stdin.write(f"{line}\n")
        self._watchdog.stdin.flush()

    def _settings_of(self, node: Node) -> str:
        seeds = ",".join(f"{each.ip}:{self.control_port}" for each in self.controls)
        lines = [
            f"node={node.name}",
            f"role={node.role}",
            f"machineClass={'core' if node.role == 'control' else 'front'}",
            f"serves={node.role}",
            f"ip={node.ip}",
            f"zone={node.zone}",
            "region=region-1",
            *(f"zones.{zone}=region-1" for zone in ZONES),
            f"internalPorts={self.internal_ports[0]},{self.internal_ports[1]}",
            f"seeds={seeds}",
            "bootstrap=true",
            f"countsAsLoss={str(node.role == 'control').lower()}",
            "limits.cpuShare=0.537",
            "limits.cores=2",
            "limits.memoryMb=300",
            "limits.maxFds=4100",
            "limits.linkMbps=1000.0",
            f"limits.diskMb={128 if node.role == 'control' else 0}",
            "discovery=registry",
            "entry=vip",
            "heartbeatMs=1200",
            "invariants=base,drain,config,cost,retry,recover,scatter,places",
            "faultTolerance.machines=1",
            "faultTolerance.zones=1",
            "faultTolerance.regions=0",
            "bounds.seedLagS=3",
            "bounds.reuseAfterS=2",
            "bounds.contactMs=4000",
            "bounds.ackMs=5000",
            "bounds.catchupS=4",
            "bounds.drainMs=3000",
            "bounds.graceS=6",
            "bounds.lossSlackMs=200",
            "bounds.configApplyMs=3000",
            "bounds.regressionSlackMs=250",
            "bounds.maxSkewMs=12000",
            "bounds.retryRatio=0.2",
            "bounds.budgetWindowS=10",
            "bounds.retryBurst=58",
            "bounds.coldFactor=1.5",
            "bounds.coldSlack=5",
            "bounds.evacuateMs=5000",
            "bounds.recoveryS=12",
            "config_mode=highest",
        ]
        if node.role == "control":
            data = self.folder / f"{node.name}-data"
            data.mkdir(exist_ok=True)
            lines += [
                f"listen.control={node.ip}:{self.control_port}",
                f"dataDir={data}",
            ]
        else:
            lines += [
                f"listen.front={node.ip}:{self.front_port}",
                f"listen.ready={node.ip}:{self.ready_port}",
            ]
        return "\n".join(lines) + "\n"

    async def start_leafs(self, services: dict[str, int]) -> None:
        """Start leafs of each service, one zone after the other, and their beats."""
        number = 0
        for service, count in services.items():
            for index in range(count):
                number += 1
                leaf = Leaf(
                    cluster=self,
                    service=service,
                    zone=ZONES[index % 3],
                    ip=f"{self.address_base}.{100 + number}",
                )
                await leaf.start()
                self.leafs.append(leaf)

    async def operate(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        first: Node | None = None,
        within: float = 20.0,
    ) -> float:
        """Send an order as the operator does; return when it was acknowledged.

        Nodes are tried one after the other, each for a second.

        :param first: the node that gets it first; others are drawn.
        """
        ends_at = time.monotonic() + within
        order = random.sample(self.controls, len(self.controls))
        if first is not None:
            order.remove(first)
            order.insert(0, first)
        delay = 0.1
        for number in range(1000):
            node = order[number % len(order)]
            answer = await call(
                node.ip, self.control_port, method, path, body=body, timeout=1.0
            )
            self.record.write(
                "operator", f"{method} {path} to {node.name}: {answer.status or 'none'}"
            )
            if 200 <= answer.status < 300:
                return time.monotonic()
            if answer.status in (400, 409, 412, 413, 422):
                raise CouldNotRunError(f"{method} {path} refused: {answer.status}")
            if time.monotonic() > ends_at:
                break
            await asyncio.sleep(delay)
            delay = min(1.0, delay * 1.6)
        raise CouldNotRunError(f"{method} {path} was not acknowledged")

    async def put_config(self, config: dict) -> float:
        """Send a configuration; return when it was acknowledged."""
        self.record.write("operator", f"config {json.dumps(config)}")
        body = json.dumps(config).encode()
        return await self.operate("PUT", "/greengagehaven/config", body)

    async def request(
        self,
        node: Node,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        timeout: float = 1.5,
        headers: dict[str, str] | None = None,
    ) -> tuple[str, Answer]:
        """Send a client's request to a front; return its id and answer."""
        request_id = f"{random.getrandbits(64):016x}"
        answer = await call(
            node.ip,
            self.front_port,
            method,
            path,
            body=body,
            timeout=timeout,
            headers={
                "Host": "search.example",
                f"{PREFIX}Request-Id": request_id,
                f"{PREFIX}Deadline-Ms": str(round(timeout * 1000)),
                **(headers or {}),
            },
        )
        stamp = answer.headers.get(f"{PREFIX}response-stamp".lower(), "-")
        self.record.write(
            "client",
            f"{method} {path} id={request_id} to {node.name}: "
            f"{answer.status or 'no answer'} after {answer.took:.3f} s stamp={stamp}",
        )
        return request_id, answer

    async def is_ready(self, node: Node) -> bool:
        """Return whether a front answers the platform's readiness question."""
        answer = await call(
            node.ip, self.ready_port, "GET", "/greengagehaven/readyz", timeout=0.5
        )
        return answer.status == 200

    async def wait_served(self, path: str, *, within: float = 25.0) -> None:
        """Wait until each front serves a path; raise if one does not."""
        ends_at = time.monotonic() + within
        for node in self.fronts:
            while True:
                if await self.is_ready(node):
                    _, answer = await self.request(node, path, timeout=1.0)
                    if answer.status == 200:
                        break
                if time.monotonic() > ends_at:
                    raise CouldNotRunError(f"{node.name} does not serve {path}")
                await asyncio.sleep(0.2)

    async def close(self) -> None:
        """End everything that this test started and remove its folder."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for leaf in self.leafs:
            await leaf.close()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.send_signal(signal.SIGCONT)
                node.send_signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        self._tell_watchdog("done")
        self._watchdog.wait()
        if os.environ.get("KEEP") == "1":
            print(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Leaf:
    """A stand-in leaf: serves requests, and tells the control nodes of itself.

    :ivar runs: the requests that it ran: (monotonic time, id, path).
    :ivar extra_headers: returns further header lines of an answer.
    :ivar work_s: seconds that it works on a request.
    :ivar late_bytes: returns bytes that follow an answer; they arrive when the next
        answer on that connection is expected.
    """

    def __init__(self, *, cluster: Cluster, service: str, zone: str, ip: str) -> None:
        self.cluster = cluster
        self.service = service
        self.zone = zone
        self.ip = ip
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = round(time.time() * 1000)
        self.port = free_ports(ip, 1)[0]
        self.state = "ready"
        self.runs: list[tuple[float, str, str]] = []
        self.extra_headers = lambda request_id: b""
        self.late_bytes = lambda: b""
        self.work_s = 0.01
        self._sequence = 0
        self._running = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen and begin to send beats."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self._beats = asyncio.ensure_future(self._beat_forever())

    async def close(self) -> None:
        """Stop."""
        if self._beats is not None:
            self._beats.cancel()
            await asyncio.gather(self._beats, return_exceptions=True)
        if self._server is not None:
            self._server.close()

    def beat(self) -> dict:
        """Return the body of the next beat."""
        self._sequence += 1
        return {
            "backend": self.service,
            "addr": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self._sequence,
            "born": self.born,
        }

    async def _beat_forever(self) -> None:
        while True:
            body = json.dumps(self.beat()).encode()
            for node in random.sample(self.cluster.controls, 3):
                answer = await call(
                    node.ip,
                    self.cluster.control_port,
                    "PUT",
                    f"/greengagehaven/instances/{self.id}",
                    body=body,
                    timeout=1.0,
                )
                if 200 <= answer.status < 300:
                    break
            await asyncio.sleep(BEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late = [b""]
        try:
            while await self._serve_one(reader, writer, late):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        late: list[bytes],
    ) -> bool:
        line = await reader.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = await read_headers(reader)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get(f"{PREFIX}request-id".lower(), "")
        if late[0]:
            self.cluster.record.write(
                "leaf",
                f"{self.id} hands out late bytes {late[0]!r} before {request_id}",
            )
            writer.write(late[0])
            await writer.drain()
        load = f"{PREFIX}Server-Load: {self._running},0,4"
        if path == "/healthz":
            status, lines, content = 200, [f"{PREFIX}Instance-Id: {self.id}"], b""
        elif headers.get(f"{PREFIX}expect-instance".lower(), self.id) != self.id:
            status, lines, content = 421, [f"{PREFIX}Not-Executed: 1"], b""
        elif not request_id:
            status, lines, content = 400, [f"{PREFIX}Not-Executed: 1"], b""
        else:
            self.runs.append((time.monotonic(), request_id, path))
            self.cluster.record.write(
                "leaf",
                f"{self.service} {self.id} ({self.zone}) runs {method} {path} "
                f"id={request_id} body={len(body)}",
            )
            self._running += 1
            await asyncio.sleep(self.work_s)
            self._running -= 1
            stamp = f"{self.id}.{len(self.runs)}.{request_id[:6]}"
            status, lines = 200, [f"{PREFIX}Response-Stamp: {stamp}"]
            content = f"{self.service} {self.id} {path}\n".encode()
        if request_id:
            lines.append(f"{PREFIX}Request-Id: {request_id}")
        head = "\r\n".join(
            [
                f"HTTP/1.1 {status} X",
                f"Content-Length: {len(content)}",
                load,
                *lines,
                "",
            ]
        )
        extra = self.extra_headers(request_id) if status == 200 else b""
        writer.write(head.encode() + extra + b"\r\n" + content)
        await writer.drain()
        late[0] = self.late_bytes() if status == 200 else b""
        return True


async def read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    """Return the headers of a message, with names in lower case."""
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    timeout: float,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request on a new connection; the answer has status 0 if none came."""
    started = time.monotonic()
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": f"{ip}:{port}", **(headers or {})}
    if body or method in ("PUT", "POST"):
        fields["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(data)
            await writer.drain()
            status_line = await reader.readline()
            if not status_line:
                raise ConnectionError("closed")
            status = int(status_line.split()[1])
            received = await read_headers(reader)
            content = await reader.readexactly(int(received.get("content-length", 0)))
        return Answer(
            status=status,
            headers=received,
            body=content,
            took=time.monotonic() - started,
        )
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        took = time.monotonic() - started
        return Answer(status=0, headers={}, body=b"", took=took)
    finally:
        if writer is not None:
            writer.close()


def route(name: str, prefix: str, backend: str, **fields) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "search.example",
        "pathPrefix": prefix,
        "type": "idempotent",
        "timeoutMs": 1500,
        "sloMs": 400,
        "priority": 1,
        "backend": backend,
        "attempts": 2,
        **fields,
    }


def config(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 100,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 3.0,
                "coldPerS": 0.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def is_troubled() -> bool:
    """Return whether the case plays its disruption (not with ``TROUBLE=0``)."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, folder: pathlib.Path, *, fronts: int = 2) -> int:
    """Run a case; return 1 if its rule was broken, 0 if it held, 2 if it couldn't run.

    :param case: coroutine function from a cluster to whether the rule was broken.
    """

    async def run() -> bool:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        record = Record(folder / "record.txt")
        cluster = Cluster(record, fronts=fronts)
        try:
            cluster.start_nodes()
            async with asyncio.timeout(105):
                return await case(cluster)
        finally:
            await cluster.close()

    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {type(error).__name__} {error}")
        return 2
    print("the rule was broken" if is_broken else "the rule held")
    return 1 if is_broken else 0
