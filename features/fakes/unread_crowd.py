"""Clients that send ahead on several connections and leave the answers unread."""

import asyncio
import pathlib
import socket

from fakes import platform_deployment, platform_processes, stop_upstreams
from greengagehaven.platform import names

CONNECTIONS = 8
SENDING_S = 6.0
BYTES_PER_CONNECTION = 12_000_000
BLOCK_BYTES = 65_536
READ_PERIOD_S = 0.25
READ_BYTES = 512

MAX_MEMORY_MB = 80
"""Memory of the machine in these tests; an idle process takes 23 to 35 MB."""

MAX_DESCRIPTORS = 256
MAX_UPSTREAM_CONNECTIONS = 26
LIMITS = {"maxHeaderBytes": 4096, "maxBodyBytes": 65_536}

UNKNOWN_PATH = "/no-such-path"
SINGLE_PATH = f"{stop_upstreams.SINGLE_PREFIX}1-1"

LISTENERS = {
    "callers": ("entry", platform_processes.CALLER_PORT),
    "the ready path": ("entry", platform_processes.READY_PORT),
    "metrics of an entry host": ("entry", platform_processes.METRICS_PORT),
    "other hosts at an entry host": ("entry", platform_processes.PEER_PORT),
    "operators": ("control", platform_processes.OPERATOR_PORT),
    "metrics of a control host": ("control", platform_processes.METRICS_PORT),
    "other hosts at a control host": ("control", platform_processes.PEER_PORT),
}


def message(line, *headers, body=b""):
    """Return a request as bytes."""
    lines = (f"{line} HTTP/1.1", f"Host: {platform_deployment.HOST}", *headers)
    return "\r\n".join((*lines, "", "")).encode() + body


def usual_headers():
    return (f"{names.HEADERS.request_id}: q-crowd", f"{names.HEADERS.time_left}: 1000")


CHUNKED = "Transfer-Encoding: chunked"
REQUESTS = {
    "an unknown path": message(f"GET {UNKNOWN_PATH}", *usual_headers()),
    "a routed path without the usual headers": message(f"POST {SINGLE_PATH}"),
    "the ready path": message(f"GET {names.READY_PATH}"),
    "the metrics": message("GET /metrics"),
    "the configuration": message(f"GET {names.CONFIG_PATH}"),
    "a heartbeat that is no JSON": message(
        f"PUT {names.INSTANCES_PATH}i-1", "Content-Length: 2", body=b"no"
    ),
    "an unknown path, with a body": message(
        f"POST {UNKNOWN_PATH}",
        *usual_headers(),
        f"Content-Length: {LIMITS['maxBodyBytes']}",
        body=bytes(LIMITS["maxBodyBytes"]),
    ),
    "a body in chunks of one byte": message(
        f"POST {UNKNOWN_PATH}",
        *usual_headers(),
        CHUNKED,
        body=b"1\r\nx\r\n" * (LIMITS["maxBodyBytes"] - 1) + b"0\r\n\r\n",
    ),
}
ENDLESS_REQUESTS = {
    "a head without end": (message("GET /").rstrip(b"\r\n") + b"\r\n", b"X: y\r\n"),
    "a body without end": (message("POST /", *usual_headers(), CHUNKED), b"1\r\nx\r\n"),
}


class Crowd:
    """Sends one kind of request again and again on each connection.

    :param kind: what each connection sends.
    :param reads: whether each connection reads a little now and then.
    """

    def __init__(self, *, address, kind, reads):
        self._address = address
        self._reads = reads
        self._sockets = []
        if kind in ENDLESS_REQUESTS:
            self._beginning, repeated = ENDLESS_REQUESTS[kind]
        else:
            self._beginning, repeated = b"", REQUESTS[kind]
        self._block = repeated * max(1, BLOCK_BYTES // len(repeated))

    async def run(self):
        """Send until time or bytes are used up; the connections stay open."""
        await asyncio.gather(*(self._send() for _ in range(CONNECTIONS)))

    def close(self):
        for each in self._sockets:
            each.close()

    async def _send(self):
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setblocking(False)
        self._sockets.append(connection)
        reading = None
        try:
            async with asyncio.timeout(SENDING_S):
                await loop.sock_connect(connection, self._address)
                if self._reads:
                    reading = asyncio.ensure_future(self._read(connection))
                await loop.sock_sendall(connection, self._beginning)
                for _ in range(BYTES_PER_CONNECTION // len(self._block)):
                    await loop.sock_sendall(connection, self._block)
        except (TimeoutError, OSError):
            # To close the connection, or to stop reading, is allowed.
            pass
        finally:
            if reading is not None:
                reading.cancel()

    async def _read(self, connection):
        loop = asyncio.get_running_loop()
        data = b"-"
        while data:
            _, data = await asyncio.gather(
                asyncio.sleep(READ_PERIOD_S), loop.sock_recv(connection, READ_BYTES)
            )


class Watched:
    """Memory and descriptors of a process."""

    def __init__(self, pid):
        self._folder = pathlib.Path(f"/proc/{pid}")

    @property
    def peak_memory_mb(self):
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise ValueError("the process has ended")

    @property
    def descriptor_count(self):
        return sum(1 for _ in (self._folder / "fd").iterdir())


async def play(*, listener, kind, reads=False):
    """Let a crowd use a listener; return the process, and what it used.

    :returns: exit code (``None``: it runs), peak memory in MB, open descriptors, and
        the status of an ordinary request that is sent afterwards.
    """
    role, port = LISTENERS[listener]
    async with stop_upstreams.StopDeployment(entries=1) as deployment:
        processes = deployment.processes
        config = stop_upstreams.configuration(8) | {"limits": LIMITS}
        for service in config["services"]:
            service["maxConns"] = MAX_UPSTREAM_CONNECTIONS
        await processes.put(config)
        entry = processes.entries[0]
        host = entry if role == "entry" else processes.controls[0]
        watched = Watched(host.process.pid)
        crowd = Crowd(address=(host.ip, port), kind=kind, reads=reads)
        try:
            await crowd.run()
            exit_code = host.process.returncode
            if exit_code is not None:
                return exit_code, 0.0, 0, 0
            peak, descriptors = watched.peak_memory_mb, watched.descriptor_count
        finally:
            crowd.close()
        status = await ordinary_status(processes, entry, host)
        return host.process.returncode, peak, descriptors, status


async def ordinary_status(processes, entry, host):
    """Return the status of an ordinary request, 200 once one is answered with it."""

    async def is_served():
        if host is not entry:
            reply = await processes.call(
                host.operator_address, "GET", names.CONFIG_PATH, b""
            )
            return reply is not None and reply.status == 200
        return await processes.request_status(entry, SINGLE_PATH) == 200

    try:
        await processes.wait_until(is_served)
    except TimeoutError:
        return 0
    return 200
