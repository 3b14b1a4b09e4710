"""A small deployment on loopback: the project's processes, and stand-ins around them.

The processes are started with the commands of the deploy file. The stand-ins of leafs,
clients and the operator follow the users' pages; where those are silent, they behave
like sound ones. Everything that they see goes to the record of the case.
"""

import asyncio
import contextlib
import ctypes
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import abc

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
PREFIX = "X-Greengagehaven-"
HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0
PR_SET_PDEATHSIG = 1
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchupS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "regressionSlackMs": 250,
    "maxSkewMs": 12000,
    "retryRatio": 0.2,
    "budgetWindowS": 10,
    "retryBurst": 58,
    "coldFactor": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
}


_LIBC = ctypes.CDLL(None)


def _end_with_parent() -> None:
    """Let the kernel end this process if the script is killed."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CouldNotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """What was sent, answered and run, with the seconds since the start.

    :param path: file to write to.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, text: str) -> None:
        """Add one line."""
        self._file.write(f"{self.now:9.3f} {text}\n")
        self._file.flush()


@dataclasses.dataclass(kw_only=True)
class Message:
    """An HTTP request or response that was read."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status code of a response."""
        return int(self.first_line.split()[1])

    def header(self, name: str) -> str:
        """Return a header of the product, empty if it is missing."""
        return self.headers.get((PREFIX + name).lower(), "")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, ``None`` if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first_line=lines[0], headers=headers, body=body)


def format_message(
    first_line: str, headers: abc.Mapping[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a message."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: abc.Mapping[str, str] | None = None,
    body: bytes = b"",
    timeout: float = CALL_TIMEOUT_S,
) -> Message | None:
    """Return the response to a call on a new connection, ``None`` without one."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            names = {"Host": address, **(headers or {})}
            writer.write(format_message(f"{method} {path} HTTP/1.1", names, body))
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Node:
    """One process of the deploy file.

    :param stage: the deployment.
    :param name: name of the machine.
    :param role: role of the deploy file.
    :param ip: address of the machine.
    :param zone: zone of the machine.
    """

    def __init__(
        self, *, stage: "Stage", name: str, role: str, ip: str, zone: str
    ) -> None:
        self.stage, self.name, self.role, self.ip, self.zone = (
            stage,
            name,
            role,
            ip,
            zone,
        )
        self.folder = stage.folder / name
        self.folder.mkdir()
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    @property
    def control_address(self) -> str:
        """Return the address for leafs and the operator."""
        return f"{self.ip}:{self.stage.port}"

    @property
    def front_address(self) -> str:
        """Return the address for clients."""
        return f"{self.ip}:{self.stage.port + 2}"

    @property
    def ready_address(self) -> str:
        """Return the address of the readiness question."""
        return f"{self.ip}:{self.stage.port + 3}"

    @property
    def log_path(self) -> pathlib.Path:
        """Return the file with what the process writes."""
        return self.folder / "log"

    def write_settings(self, *, bootstrap: bool) -> None:
        """Write the settings file as the platform would."""
        stage, port = self.stage, self.stage.port
        lines = {
            "node": self.name,
            "role": self.role,
            "machineClass": "core" if self.role == "control" else "front",
            "serves": self.role,
            "ip": self.ip,
            "zone": self.zone,
            "region": "region-1",
            **{f"zones.{zone}": "region-1" for zone in stage.zones},
            "internalPorts": f"{port + 10},{port + 15}",
            "seeds": ",".join(node.control_address for node in stage.controls[:3]),
            "bootstrap": str(bootstrap).lower(),
            "countsAsLoss": str(self.role == "control").lower(),
            "limits.cpuShare": "0.6",
            "limits.cores": "2",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "limits.diskMb": "128" if self.role == "control" else "0",
            "discovery": "registry",
            "entry": "vip",
            "heartbeatMs": str(round(HEARTBEAT_S * 1000)),
            "invariants": "base,drain,config,cost,retry,recover,scatter,places",
            "faultTolerance.machines": "1",
            "faultTolerance.zones": "1",
            "faultTolerance.regions": "0",
            **{f"bounds.{name}": str(value) for name, value in stage.bounds.items()},
            "config_mode": "highest",
        }
        if self.role == "control":
            lines["listen.control"] = self.control_address
            lines["dataDir"] = str(self.folder / "data")
        else:
            lines["listen.front"] = self.front_address
            lines["listen.ready"] = self.ready_address
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        temporary = self.folder / "local.conf.new"
        temporary.write_text(text, encoding="utf-8")
        temporary.rename(self.folder / "local.conf")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings(bootstrap=not self.starts)
        self.starts += 1
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        command = self.stage.commands[self.role]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                preexec_fn=_end_with_parent,
                env={
                    **kept,
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(DEPENDENCIES),
                    "GREENGAGEHAVEN_CONFIG": str(self.folder / "local.conf"),
                },
            )
        self.stage.record.add(f"start {self.name} pid={self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.stage.record.add(f"signal {self.name} {number.name}")
        self.process.send_signal(number)

    def last_logged(self, event: str) -> str:
        """Return the last line of an event, empty if there is none."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return next((line for line in reversed(lines) if event in line), "")


class Stage:
    """The processes of a small deployment and the record of the case.

    :param case_folder: folder of the case, for ``record.txt``.
    :param zones: names of the zones.
    :param controls: number of control processes, one a zone in turn.
    :param fronts: number of front processes, one a zone in turn.
    :param bounds: bounds that differ from those of the pages' example.
    """

    def __init__(
        self,
        *,
        case_folder: pathlib.Path,
        zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c"),
        controls: int = 3,
        fronts: int = 1,
        bounds: abc.Mapping[str, object] | None = None,
    ) -> None:
        self.zones = zones
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.record = Record(path=case_folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ggh-review-"))
        self.base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.port = random.randint(20, 28) * 1000 + random.randint(0, 400)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            name: role["run"].split() for name, role in deploy["roles"].items()
        }
        self.controls: list[Node] = []
        self.fronts: list[Node] = []
        for number in range(controls):
            self.controls.append(self._make_node("control", number))
        for number in range(fronts):
            self.fronts.append(self._make_node("front", number))
        self.leafs: list[object] = []
        self._control_count = controls

    def _make_node(self, role: str, number: int) -> Node:
        offset = 1 if role == "control" else 31
        zone = self.zones[number % len(self.zones)]
        return Node(
            stage=self,
            name=f"{'core' if role == 'control' else 'front'}-{zone}-{number + 1}",
            role=role,
            ip=f"{self.base}.{offset + number}",
            zone=zone,
        )

    def add_control(self) -> Node:
        """Return a further control machine at a new address, with an empty disk.

        Its settings name the three machines that come first in the operator's list.
        """
        node = self._make_node("control", self._control_count)
        node.starts = 1
        self._control_count += 1
        self.controls.append(node)
        return node

    def remove_control(self, node: Node) -> None:
        """Take a control machine whose process has ended off the operator's list."""
        self.controls.remove(node)

    @property
    def nodes(self) -> list[Node]:
        """Return all processes."""
        return [*self.controls, *self.fronts]

    async def start(self) -> None:
        """Start all processes and wait until the control processes form a group."""
        for node in self.nodes:
            node.start()
        await self.wait_for(
            lambda: self.leader() is not None and self._has_voters(),
            "a leader with three voters",
            20.0,
        )

    def _has_voters(self) -> bool:
        leader = self.leader()
        line = "" if leader is None else leader.last_logged("control_membership")
        voters = line.partition("voters=")[2].split(" ")[0].strip('"').split(",")
        return len(voters) >= min(3, len(self.controls))

    def leader(self) -> Node | None:
        """Return the control process that logged last that it leads."""
        newest: tuple[int, Node] | None = None
        for node in self.controls:
            line = node.last_logged("control_role")
            if "role=leader" not in line:
                continue
            term = int(line.partition("term=")[2].split(" ")[0])
            if newest is None or term > newest[0]:
                newest = term, node
        return None if newest is None else newest[1]

    def followers(self) -> list[Node]:
        """Return the control processes other than the leader."""
        leader = self.leader()
        return [node for node in self.controls if node is not leader]

    async def wait_for(
        self, condition: abc.Callable[[], bool], what: str, timeout: float
    ) -> None:
        """Wait until a condition holds.

        :raises CouldNotRunError: it did not hold in time.
        """
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise CouldNotRunError(what)
            await asyncio.sleep(0.05)

    async def wait_ready(self, timeout: float = 15.0) -> None:
        """Wait until all fronts answer the readiness question with 200."""
        end = time.monotonic() + timeout
        for node in self.fronts:
            while True:
                reply = await call(node.ready_address, "GET", "/greengagehaven/readyz")
                if reply is not None and reply.status == 200:
                    break
                if time.monotonic() > end:
                    raise CouldNotRunError(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                with contextlib.suppress(OSError):
                    node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


@dataclasses.dataclass(kw_only=True)
class Run:
    """A request that a leaf began to work on."""

    leaf: str
    request_id: str
    at: float
    first_line: str


class Leaf:
    """A leaf: it runs requests in its slots and sends heartbeats.

    :param stage: the deployment.
    :param name: its id.
    :param service: its service.
    :param zone: its zone.
    :param number: number of its address, different for each leaf.
    :param slots: number of requests that it runs at once.
    :param queue: number of further requests that wait for a slot.
    :param work_s: seconds of work on a request.
    """

    def __init__(
        self,
        *,
        stage: Stage,
        name: str,
        service: str,
        zone: str,
        number: int,
        slots: int = 4,
        queue: int = 12,
        work_s: float = 0.02,
        body: bytes = b"answer",
        version: str = "v1",
    ) -> None:
        self.stage, self.name, self.service, self.zone = stage, name, service, zone
        self.slots, self.queue, self.work_s, self.body = slots, queue, work_s, body
        self.version = version
        self.address = f"{stage.base}.{100 + number}:{stage.port + 5}"
        self.state = "ready"
        self.sequence = 0
        self.born = round(time.time() * 1000)
        self.runs: list[Run] = []
        self.running = self.waiting = 0
        self.acknowledged_at: dict[str, float] = {}
        self._node: Node | None = None
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        stage.leafs.append(self)

    async def start(self) -> None:
        """Listen and send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.create_task(self._beat_forever())

    async def stop(self) -> None:
        """Exit: the listener and all connections are closed."""
        self.stage.record.add(f"leaf {self.name} exits")
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        for task in list(self._tasks):
            task.cancel()

    def cold_left_ms(self) -> int:
        """Return how much longer it is cold, in milliseconds."""
        return 0

    async def tell(self, state: str) -> bool:
        """Send one heartbeat to the control process that acknowledged the last one.

        Without an acknowledgement it goes to the others, one after the other.
        """
        self.state = state
        self.sequence += 1
        beat = {
            "backend": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldLeftMs": self.cold_left_ms(),
            "seq": self.sequence,
            "born": self.born,
        }
        others = [node for node in self.stage.controls if node is not self._node]
        random.shuffle(others)
        for node in (
            [self._node, *others] if self._node in self.stage.controls else others
        ):
            assert node is not None
            reply = await call(
                node.control_address,
                "PUT",
                f"/greengagehaven/instances/{self.name}",
                headers={"Content-Type": "application/json"},
                body=json.dumps(beat).encode(),
            )
            if reply is not None and 200 <= reply.status < 300:
                self._node = node
                if state not in self.acknowledged_at:
                    self.acknowledged_at[state] = self.stage.record.now
                    self.stage.record.add(f"leaf {self.name} {state} acknowledged")
                return True
        return False

    async def _beat_forever(self) -> None:
        while True:
            await self.tell(self.state)
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    def _headers(self, request: Message) -> dict[str, str]:
        load = f"{self.running},{self.waiting},{self.slots}"
        headers = {PREFIX + "Server-Load": load}
        if request.header("Request-Id"):
            headers[PREFIX + "Request-Id"] = request.header("Request-Id")
        return headers

    def _reject(self, request: Message, status: int, reason: str) -> bytes:
        headers = {**self._headers(request), PREFIX + "Not-Executed": "1"}
        return format_message(f"HTTP/1.1 {status} {reason}", headers)

    async def _answer(self, request: Message) -> bytes:
        if "/healthz" in request.first_line:
            headers = {**self._headers(request), PREFIX + "Instance-Id": self.name}
            return format_message("HTTP/1.1 200 OK", headers)
        expected = request.header("Expect-Instance")
        if expected and expected != self.name:
            return self._reject(request, 421, "Misdirected")
        if not request.header("Request-Id"):
            return self._reject(request, 400, "Bad Request")
        if self.running >= self.slots and self.waiting >= self.queue:
            return self._reject(request, 503, "Full")
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self._run(request)
        finally:
            self.running -= 1
            self._free.release()

    async def _run(self, request: Message) -> bytes:
        run = Run(
            leaf=self.name,
            request_id=request.header("Request-Id"),
            at=self.stage.record.now,
            first_line=request.first_line,
        )
        self.runs.append(run)
        self.stage.record.add(f"run {run.request_id} at {self.name} ({self.zone})")
        await asyncio.sleep(self.work_s)
        stamp = f"{self.name}.{run.request_id}"
        headers = {**self._headers(request), PREFIX + "Response-Stamp": stamp}
        return format_message("HTTP/1.1 200 OK", headers, self.body)


class Connection:
    """A persistent HTTP/1.1 connection of a caller.

    :param address: address of the server.
    """

    def __init__(self, *, address: str) -> None:
        self._host, _, self._port = address.rpartition(":")
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(
        self, method: str, path: str, *, headers: abc.Mapping[str, str], body: bytes
    ) -> Message | None:
        """Return the response; without one in time, the connection is closed."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        self._host, int(self._port)
                    )
                reader, writer = self._streams
                names = {"Host": self._address, **headers}
                writer.write(format_message(f"{method} {path} HTTP/1.1", names, body))
                reply = await read_message(reader)
        except (OSError, TimeoutError):
            reply = None
        if reply is None or reply.headers.get("connection") == "close":
            self.close()
        return reply

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Operator:
    """The operator: it sends an order to one control process after another.

    It keeps its connections, and closes one on which it got no response in time.

    :param stage: the deployment.
    """

    def __init__(self, *, stage: Stage) -> None:
        self._stage = stage
        self._connections_by_name = {
            node.name: Connection(address=node.control_address)
            for node in stage.controls
        }

    def add(self, node: Node) -> None:
        """Use a further control process."""
        self._connections_by_name[node.name] = Connection(address=node.control_address)

    def remove(self, node: Node) -> None:
        """Stop using a control process."""
        self._connections_by_name.pop(node.name).close()

    async def order(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        first: Node | None = None,
        timeout: float = 5.0,
    ) -> Message:
        """Send an order until it gets a clear answer.

        :param first: control process to which it is sent first; after a second without
            a response the operator moves on to another one.
        :raises CouldNotRunError: it got none in time.
        """
        record = self._stage.record
        nodes = random.sample(self._stage.controls, len(self._stage.controls))
        if first is not None:
            nodes = [first, *(node for node in nodes if node is not first)]
        end = time.monotonic() + timeout
        backoff = 0.05
        while time.monotonic() < end:
            node = nodes.pop(0)
            nodes.append(node)
            record.add(f"operator sends {method} {path} to {node.name}")
            headers = {"Content-Type": "application/json"} if body else {}
            reply = await self._connections_by_name[node.name].call(
                method, path, headers=headers, body=body
            )
            status = "no response" if reply is None else reply.status
            record.add(f"operator got {status} from {node.name} to {method} {path}")
            if (
                reply is not None
                and reply.status not in (408, 429)
                and (reply.status < 500)
            ):
                return reply
            await asyncio.sleep(backoff)
            backoff *= 2
        raise CouldNotRunError(f"no clear answer to {method} {path}")

    async def configure(self, table: dict, first: Node | None = None) -> None:
        """Send a configuration until it is acknowledged."""
        reply = await self.order(
            "PUT",
            "/greengagehaven/config",
            body=json.dumps(table).encode(),
            first=first,
            timeout=10.0,
        )
        if reply.status != 200:
            raise CouldNotRunError(f"configuration refused: {reply.status}")


def route(name: str, **fields: object) -> dict[str, object]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "leno12.example",
        "pathPrefix": f"/{name}/",
        "type": "idempotent",
        "timeoutMs": 6000,
        "sloMs": 400,
        "priority": 1,
        "attempts": 2,
        **fields,
    }


def configuration(
    version: int,
    routes: list[dict[str, object]],
    services: abc.Mapping[str, int],
    **fields: object,
) -> dict[str, object]:
    """Return a configuration.

    :param services: connections that a leaf accepts, by service.
    """
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": connections,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 3.0,
                "coldPerS": 0.0,
            }
            for name, connections in services.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        **fields,
    }


@dataclasses.dataclass(kw_only=True)
class Sent:
    """One client attempt and its answer; no status if the connection ended."""

    request_id: str
    sent_at: float
    status: int | None = None
    answered_at: float = 0.0
    body: bytes = b""


class Clients:
    """Clients that send one attempt each on connections of their own.

    :param stage: the deployment.
    """

    def __init__(self, *, stage: Stage) -> None:
        self._stage = stage
        self.sent: list[Sent] = []

    async def send(
        self,
        path: str,
        *,
        front: Node,
        method: str = "GET",
        deadline_ms: int = 6000,
        body: bytes = b"",
        headers: abc.Mapping[str, str] | None = None,
    ) -> Sent:
        """Send one request and return what came back."""
        record = self._stage.record
        sent = Sent(request_id=f"{random.getrandbits(64):016x}", sent_at=record.now)
        self.sent.append(sent)
        names = {
            "Host": "leno12.example",
            PREFIX + "Request-Id": sent.request_id,
            PREFIX + "Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        reply = await call(
            front.front_address,
            method,
            path,
            headers=names,
            body=body,
            timeout=deadline_ms / 1000 + 0.5,
        )
        sent.answered_at = record.now
        sent.status = None if reply is None else reply.status
        sent.body = b"" if reply is None else reply.body
        record.add(
            f"client {method} {path} {sent.request_id} via {front.name}: "
            f"{sent.status} after {sent.answered_at - sent.sent_at:.3f} s"
        )
        return sent

    async def load(
        self, path: str, *, per_s: float, until: float, **options: object
    ) -> list[Sent]:
        """Send requests at a rate until a time of the record; return them."""
        record, tasks = self._stage.record, []
        fronts = self._stage.fronts
        while record.now < until:
            front = fronts[len(tasks) % len(fronts)]
            tasks.append(asyncio.create_task(self.send(path, front=front, **options)))
            await asyncio.sleep(1.0 / per_s)
        return list(await asyncio.gather(*tasks))


def main(scenario: abc.Callable[[Stage, bool], abc.Awaitable[bool]], stage: Stage):
    """Run a scenario and exit with its result.

    :param scenario: gets the stage and whether the disruption is wanted; it returns
        whether the rule was broken.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    code = EXIT_COULD_NOT_RUN
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(EXIT_COULD_NOT_RUN))
    try:
        is_broken = asyncio.run(asyncio.wait_for(scenario(stage, has_trouble), 115.0))
        code = EXIT_BROKEN if is_broken else EXIT_HELD
        stage.record.add("RULE BROKEN" if is_broken else "rule held")
    except (CouldNotRunError, TimeoutError) as error:
        stage.record.add(f"could not run: {error!r}")
    finally:
        stage.close()
    sys.exit(code)
