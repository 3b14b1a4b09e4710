"""Clients of an entry host that is stopped, and what became of their requests."""

import asyncio
import contextlib
import dataclasses
import random
import re
import signal
import socket

from fakes import platform_deployment, platform_processes, stop_upstreams
from greengagehaven.platform import names

LOAD_S = 0.7
"""Seconds of load before the stop."""

CALLER_TIME_S = 4.5
GRACE_S = 6.0
SERVED_UNTIL_S = 2.9
"""Seconds after the stop until which new requests are taken: the load balancer needs
up to three seconds to notice it."""

ANSWERED_UNTIL_S = 4.9
"""Seconds after the stop by which work has to end to be certain of its answer."""

LOSS_SLACK_S = 0.2
"""Seconds after which a request that was sent may not end without a response."""

END_TIMEOUT_S = 20.0
READ_TIMEOUT_S = 10.0
RECONNECT_S = 0.02
OK = 200
UNANSWERED = ("cut", "held and cut", "no response")
REFUSALS = (429, 503)
STOPPED = re.compile(r"event=stopped left=(\d+)")
SMALL_BUFFER_BYTES = 4096


@dataclasses.dataclass(kw_only=True)
class SentRequest:
    """A request that a client sent completely; moments are seconds of the loop.

    :param must_answer: whether it must get a response even if it is not passed on.
    :param must_succeed: whether an error is a fault if its work ends in time.
    :param record: what the body of a successful response repeats; empty for anything.
    :ivar is_mixed_up: whether the response belongs to another request.
    """

    id: str
    sent_at: float
    work_s: float = 0.0
    must_answer: bool = False
    must_succeed: bool = False
    record: bytes = b""
    is_mixed_up: bool = False
    status: int | None = None
    head: bytes = b""
    ended_at: float | None = None


class StopLoad:
    """Clients of one entry host, which is stopped by signals.

    :param deployment: the started deployment.
    :param host: the host to stop.
    :param target: host that gets the requests; by default the one that is stopped.
    :param signals: pairs of seconds and signal, in order; the first one is at 0 s.
    :param seed: seed of the times that requests take.
    :cvar has_sound_upstreams: whether requests can be expected to succeed; a service
        whose upstreams are all silent for a while is refused at once.
    """

    has_sound_upstreams = True

    def __init__(self, *, deployment, host, signals, target=None, seed=1):
        self.host = host
        self.left = None
        self.requests = []
        self.code = None
        self.took_s = None
        self._process = host.process
        self._deployment = deployment
        self._target = target or host
        self.signals = signals
        self._rng = random.Random(seed)
        self._clients = []
        tls = getattr(deployment, "tls", None)
        self._tls_options = {} if tls is None else {"ssl": tls, "server_hostname": ""}
        self._stop_at = asyncio.get_running_loop().time() + LOAD_S

    def add(self, client, count=1):
        """Start clients; ``client`` is a coroutine function without arguments."""
        self._clients += [asyncio.ensure_future(client()) for _ in range(count)]

    async def run(self):
        """Stop the host under load and wait for the end of the process."""
        loop = asyncio.get_running_loop()
        sent_at = []
        for delay, number in self.signals:
            await self._sleep_until(self._stop_at + delay)
            sent_at.append(loop.time())
            if self._process.returncode is None:
                self._process.send_signal(number)
        async with asyncio.timeout(END_TIMEOUT_S):
            self.code = await self._process.wait()
        self.took_s = loop.time() - sent_at[0]
        counts = STOPPED.findall(self.host.log_text)
        self.left = int(counts[-1]) if counts else None
        # What the host has sent is still on its way through the sockets.
        _, pending = await asyncio.wait(self._clients, timeout=READ_TIMEOUT_S)
        for each in pending:
            each.cancel()
        results = await asyncio.gather(*self._clients, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    # Clients.

    async def keep_sending(
        self, *, work_s, size=16, prefix=None, idle_s=0.0, until_s=0.0
    ):
        """Send one request after the other until the host is gone.

        :param idle_s: longest time for which the client waits on an open connection.
        :param until_s: seconds after the stop until which it sends in any case.
        """
        while self._is_needed(until_s):
            with contextlib.suppress(OSError):
                async with self._connect() as (reader, writer):
                    is_open = True
                    while is_open and self._is_needed(until_s):
                        await asyncio.sleep(self._rng.uniform(0, idle_s))
                        if reader.at_eof():
                            break
                        request = self._send(
                            writer, self._draw(work_s), size, prefix=prefix
                        )
                        is_open = await self._receive(request, reader)
            await asyncio.sleep(RECONNECT_S)

    def _is_needed(self, until_s):
        now = asyncio.get_running_loop().time()
        return self._process.returncode is None or now < self._stop_at + until_s

    async def keep_ordering(self, make_order):
        """Send one order after the other to a control host until it is gone.

        :param make_order: returns path and body of the next order.
        """
        while self._process.returncode is None:
            with contextlib.suppress(OSError):
                async with self._connect(platform_processes.OPERATOR_PORT) as (
                    reader,
                    writer,
                ):
                    is_open = True
                    while is_open:
                        path, body = make_order()
                        request, data = self._make_request("PUT", path, body)
                        writer.write(data)
                        is_open = await self._receive(request, reader)
            await asyncio.sleep(RECONNECT_S)

    async def order_once(self, make_order, *, at_s):
        """Send one order on a connection that is open and idle until then."""
        async with self._connect(platform_processes.OPERATOR_PORT) as (reader, writer):
            await self._sleep_until(self._stop_at + at_s)
            if not reader.at_eof():
                path, body = make_order()
                request, data = self._make_request("PUT", path, body)
                writer.write(data)
                await self._receive(request, reader)

    async def keep_searching(self, *, path, body, headers):
        """Send one search after the other until the host is gone."""
        while self._process.returncode is None:
            with contextlib.suppress(OSError):
                async with self._connect() as (reader, writer):
                    is_open = True
                    while is_open and not reader.at_eof():
                        request, data = self._make_request("POST", path, body, headers)
                        writer.write(data)
                        is_open = await self._receive(request, reader)
            await asyncio.sleep(RECONNECT_S)

    async def send_search(self, *, at_s, path, body, headers):
        """Send a search, which must get a response, to the product's own interface."""
        async with self._connect() as (reader, writer):
            await self._sleep_until(self._stop_at + at_s)
            request, data = self._make_request("POST", path, body, headers)
            request.must_answer = True
            writer.write(data)
            await self._receive(request, reader)

    async def sample(self, read, *, at_s):
        """Return what ``read`` returns at a moment relative to the stop."""
        await self._sleep_until(self._stop_at + at_s)
        return read()

    async def send_once(self, *, at_s, work_s):
        """Send one request on a connection that is open and idle until then."""
        async with self._connect() as (reader, writer):
            await self._sleep_until(self._stop_at + at_s)
            if not reader.at_eof():
                await self._receive(self._send(writer, work_s, 16), reader)

    async def send_pipelined(self, *, at_s, count, work_s):
        """Send several requests in one write; receive the responses in order."""
        async with self._connect() as (reader, writer):
            await self._sleep_until(self._stop_at + at_s)
            data, requests = b"", []
            for _ in range(count):
                request, encoded = self._make(self._draw(work_s), 16)
                request.must_answer = True
                requests.append(request)
                data += encoded
            writer.write(data)
            for request in requests:
                await self._receive(request, reader)

    async def send_and_half_close(self, *, at_s, work_s):
        """Send a request and EOF; read on."""
        async with self._connect() as (reader, writer):
            await self._sleep_until(self._stop_at + at_s)
            request = self._send(writer, self._draw(work_s), 16)
            request.must_answer = True
            request.must_succeed = False
            writer.write_eof()
            await self._receive(request, reader)

    async def send_and_hold(self, *, at_s, work_s, size=16, pause_s=0.0):
        """Send a request, read slowly and keep the connection open until the end."""
        async with self._connect(is_slow=bool(pause_s)) as (reader, writer):
            await self._sleep_until(self._stop_at + at_s)
            request = self._send(writer, work_s, size)
            await self._receive(request, reader, pause_s=pause_s)
            await self._process.wait()

    @contextlib.asynccontextmanager
    async def _connect(self, port=platform_processes.CALLER_PORT, *, is_slow=False):
        connection = socket.socket()
        connection.setblocking(False)
        if is_slow:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        loop = asyncio.get_running_loop()
        address = (self._target.ip, port)
        try:
            await loop.sock_connect(connection, address)
            limit = SMALL_BUFFER_BYTES if is_slow else 2**16
            streams = await asyncio.open_connection(
                sock=connection, limit=limit, **self._tls_options
            )
        except OSError:
            connection.close()
            raise
        try:
            yield streams
        finally:
            streams[1].close()

    def _draw(self, work_s):
        return work_s if isinstance(work_s, str) else self._rng.uniform(*work_s)

    def _send(self, writer, work_s, size, *, prefix=None):
        request, data = self._make(work_s, size, prefix=prefix)
        writer.write(data)
        return request

    def _make(self, work_s, size, *, prefix=None):
        is_silent = work_s == stop_upstreams.SILENT
        work = work_s if is_silent else round(work_s * 1000)
        prefix = prefix or stop_upstreams.SINGLE_PREFIX
        request, data = self._make_request("GET", f"{prefix}{work}-{size}")
        request.work_s = CALLER_TIME_S if is_silent else work_s
        request.must_succeed = not is_silent
        request.record = stop_upstreams.record_of(request.id)
        return request, data

    def _make_request(self, method, path, body=b"", headers=()):
        request_id = f"s-{next(self._deployment.request_numbers)}"
        lines = (
            f"{method} {path} HTTP/1.1",
            f"Host: {platform_deployment.HOST}",
            f"Content-Length: {len(body)}",
            f"{names.HEADERS.request_id}: {request_id}",
            f"{names.HEADERS.time_left}: {CALLER_TIME_S * 1000:.0f}",
            *headers,
            "",
        )
        request = SentRequest(id=request_id, sent_at=asyncio.get_running_loop().time())
        self.requests.append(request)
        return request, "".join(f"{line}\r\n" for line in lines).encode() + body

    async def _receive(self, request, reader, *, pause_s=0.0):
        """Read a response; return whether the connection remains open."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            left = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
            body = b""
            while left:
                data = await reader.readexactly(min(left, SMALL_BUFFER_BYTES))
                left -= len(data)
                body += data
                await asyncio.sleep(pause_s)
            request.status = int(head.split(None, 2)[1])
            request.head = head
            if request.status == OK and request.record:
                count = max(1, len(body) // len(request.record))
                request.is_mixed_up = body != request.record * count
        except (asyncio.IncompleteReadError, OSError):
            return False
        finally:
            request.ended_at = asyncio.get_running_loop().time()
        return b"connection: close" not in head.lower()

    async def _sleep_until(self, moment):
        await asyncio.sleep(max(0.0, moment - asyncio.get_running_loop().time()))

    # Judgement.

    def request_faults(self):
        """Return the requests that should have got a response, one line each."""
        return [
            f"{self.host.name}: {fault} {self._describe(request)}"
            for request in self.requests
            if (fault := self._fault_of(request))
        ]

    def answered_after_stop(self):
        """Return how many requests were sent after the stop and answered with 200."""
        return sum(
            request.status == OK and request.sent_at > self._stop_at
            for request in self.requests
        )

    def incomplete_faults(self):
        """Return the sweeps that lack parts or a response, one line each."""
        missing = re.compile(rb"(?i)%s: *0\r" % names.HEADERS.missing_parts.encode())
        return [
            f"{self.host.name}: {self._describe(request)}"
            for request in self.requests
            if request.status != OK or not missing.search(request.head)
        ]

    def end_faults(self):
        """Return what was wrong with the end of the process, one line each."""
        found = []
        if self.code != 0 or self.left != 0:
            found.append(f"{self.host.name}: exit code {self.code}, left={self.left}")
        if self.took_s > GRACE_S:
            found.append(f"{self.host.name}: ended after {self.took_s:.2f} s")
        return found

    def _fault_of(self, request):
        is_received = request.id in self._deployment.receipts_by_id
        if request.status in REFUSALS:
            if is_received:
                return "refused though passed on"
            is_early = request.sent_at < self._stop_at + SERVED_UNTIL_S
            return "refused early" if is_early and self._must_succeed(request) else ""
        if request.is_mixed_up:
            return "response of another request"
        if request.status is not None:
            ends_at = request.sent_at + request.work_s
            is_early = ends_at < self._stop_at + ANSWERED_UNTIL_S
            is_failed = request.status != OK and self._must_succeed(request)
            return "ended early" if is_early and is_failed else ""
        if is_received:
            return "cut"
        if request.must_answer:
            return "no response"
        if request.ended_at - request.sent_at > LOSS_SLACK_S:
            return "held and cut"
        return ""

    def _must_succeed(self, request):
        return request.must_succeed and self.has_sound_upstreams

    def _describe(self, request):
        receipts = self._deployment.receipts_by_id.get(request.id, ())
        received = ",".join(f"{each - self._stop_at:.2f}" for each in receipts)
        return (
            f"{request.id} work={request.work_s:.2f}"
            f" sent={request.sent_at - self._stop_at:.2f} received={received}"
            f" ended={request.ended_at - self._stop_at:.2f} status={request.status}"
        )

    def summary(self):
        """Return the counts of a run in one line."""
        faults = [self._fault_of(request) for request in self.requests]
        late = [r for r in self.requests if r.sent_at >= self._stop_at]
        passed_on = [
            r for r in self.requests if r.id in self._deployment.receipts_by_id
        ]
        cut = [r for r, f in zip(self.requests, faults, strict=True) if f in UNANSWERED]
        statuses = {}
        for request in self.requests:
            statuses[request.status] = statuses.get(request.status, 0) + 1
        moments = [
            self._deployment.receipts_by_id.get(r.id, [r.sent_at])[0] for r in cut
        ]
        signals = ",".join(
            f"{signal.Signals(number).name}@{delay}" for delay, number in self.signals
        )
        return (
            f"{self.host.name} {signals}: sent={len(self.requests)}"
            f" after_stop={len(late)} passed_on={len(passed_on)} statuses={statuses}"
            f" cut={faults.count('cut')} held={faults.count('held and cut')}"
            f" no_response={faults.count('no response')}"
            f" refused_though_run={faults.count('refused though passed on')}"
            f" code={self.code} left={self.left} took={self.took_s:.2f}"
            f" cut_passed_on={self._span(moments)}"
            f" cut_at={self._span([r.ended_at for r in cut])}"
        )

    def _span(self, moments):
        if not moments:
            return "-"
        first, last = min(moments), max(moments)
        return f"{first - self._stop_at:.2f}..{last - self._stop_at:.2f}"
