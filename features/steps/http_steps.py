"""Steps for a real HTTP listener on loopback with a manual clock."""

import asyncio
import datetime
import json
import re
import socket

import behave
import hypothesis
from hypothesis import strategies

from greengagehaven import clock, exceptions
from greengagehaven.transport import http, http_server

ORDINARY = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
KEPT_OPEN = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
STATUS_LINE = re.compile(rb"HTTP/1.1 (\d+)")
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
LIMITS = http_server.ServerLimits(
    body_bytes=20_000,
    head_bytes=4_000,
    connections=8,
    idle_connections=6,
    linger=datetime.timedelta(milliseconds=200),
)
BYTES = {
    "garbage": b"\x00\xff\xfe nothing of ours\r\n\r\n",
    "a huge head": HEAD + b"X: " + b"y" * 8_000,
    "a huge body": HEAD + b"Content-Length: 900000\r\n\r\n" + b"x" * 900_000,
    "a long length": HEAD + b"Content-Length: 99999999999\r\n\r\n",
    "endless chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNK * 200,
    "two hundred names": b"GET /?" + b"a=1&" * 200 + b" HTTP/1.1\r\nHost: x\r\n\r\n",
    "a failing handler": ORDINARY.replace(b" / ", b" /fail "),
    "a refused request": ORDINARY.replace(b" / ", b" /refuse "),
}
LARGE_BODY_BYTES = 30_000_000
WAIT_S = 10


class Listener:
    """A listener whose handler can fail, wait or send a large response."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.gate = asyncio.Event()
        self.entered = asyncio.Event()
        self.server = http_server.HttpServer(
            handler=self.handle, clock=self.clock, limits=LIMITS
        )

    async def handle(self, request):
        if request.path == "/fail":
            raise ValueError("a fault in a handler")
        if request.path == "/refuse":
            raise exceptions.OverloadedError("busy", retry_after=1.0)
        if request.path == "/wait":
            self.entered.set()
            await self.gate.wait()
        body = b"x" * LARGE_BODY_BYTES if request.path == "/large" else b"{}"
        headers = (("X", "a\r\nb"),) if request.path == "/invalid" else ()
        return http.Response(status=200, body=body, headers=headers)

    async def start(self):
        address = await self.server.start()
        self.host, _, self.port = address.rpartition(":")

    async def connect(self):
        return await asyncio.open_connection(self.host, int(self.port))

    async def send(self, data):
        """Send bytes and return the whole response."""
        reader, writer = await self.connect()
        try:
            writer.write(data)
            answer = await asyncio.wait_for(reader.read(), WAIT_S)
        except ConnectionError:
            answer = b""
        finally:
            writer.close()
        return answer

    async def wait_until(self, condition):
        for _ in range(WAIT_S * 100):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("timed out waiting for the condition")


def _parse_response(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1])
    return status, json.loads(body) if body else None


@behave.given("an HTTP listener with small limits")
def given_listener(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.listener = Listener()
    context.runner.run(context.listener.start())
    context.add_cleanup(lambda: context.runner.run(context.listener.server.close()))


@behave.when("raw bytes are sent to the listener: {name}")
def when_raw_bytes(context, name):
    context.answer = context.runner.run(context.listener.send(BYTES[name]))


@behave.then("the listener answers with status {status:d} and code {code}")
def then_listener_answers(context, status, code):
    got, body = _parse_response(context.answer)
    assert (got, body["code"]) == (status, code), context.answer[:500]


@behave.then("the listener still answers an ordinary request")
def then_listener_still_answers(context):
    answer = context.runner.run(context.listener.send(ORDINARY))
    assert answer.startswith(b"HTTP/1.1 200 "), answer[:200]


@behave.when("half a request is sent and the request timeout passes")
def when_half_request(context):
    listener = context.listener

    async def send_half():
        reader, writer = await listener.connect()
        writer.write(HEAD + b"Content-Length: 10\r\n\r\nhalf")
        await listener.wait_until(lambda: listener.server.buffered_bytes == 4)
        listener.clock.advance(LIMITS.request_timeout.total_seconds())
        answer = await asyncio.wait_for(reader.read(), WAIT_S)
        writer.close()
        return answer

    context.answer = context.runner.run(send_half())


@behave.when("a large response is requested, not read, and the write timeout passes")
def when_large_response(context):
    listener = context.listener

    async def request_large():
        reader, writer = await listener.connect()
        writer.transport.pause_reading()
        writer.write(b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
        server = listener.server
        await listener.wait_until(lambda: server.blocked_connection_count == 1)
        assert server.connection_count == 1
        listener.clock.advance(LIMITS.write_timeout.total_seconds())
        await listener.wait_until(lambda: server.connection_count == 0)
        writer.transport.abort()

    context.runner.run(request_large())


@behave.then("the listener has no open connection")
def then_no_connection(context):
    server = context.listener.server
    context.runner.run(
        context.listener.wait_until(lambda: server.connection_count == 0)
    )


@behave.when("{count:d} clients connect to the listener and stay idle")
def when_idle_clients(context, count):
    async def connect_all():
        context.pairs = [await context.listener.connect() for _ in range(count)]

    context.runner.run(connect_all())


@behave.then("the listener holds at most {count:d} connections")
def then_at_most(context, count):
    assert context.listener.server.connection_count <= count


@behave.when("the listener drains while a request runs and another arrives late")
def when_drains(context):
    listener = context.listener

    async def drain():
        late_reader, late_writer = await listener.connect()
        running = asyncio.ensure_future(
            listener.send(ORDINARY.replace(b" / ", b" /wait "))
        )
        await listener.entered.wait()
        draining = asyncio.ensure_future(
            listener.server.drain(datetime.timedelta(seconds=WAIT_S))
        )
        await listener.wait_until(lambda: listener.server.draining)
        late_writer.write(ORDINARY)
        late = await asyncio.wait_for(late_reader.read(), WAIT_S)
        late_writer.close()
        listener.gate.set()
        context.answers = [await running, late]
        context.left = await asyncio.wait_for(draining, WAIT_S)

    context.runner.run(drain())


@behave.then("both requests of the drain are answered with status 200")
def then_both_answered(context):
    assert [_parse_response(answer)[0] for answer in context.answers] == [200, 200]
    assert context.left == 0


@behave.when(
    "a client has sent a request that the listener did not accept, and it drains"
)
def when_not_accepted(context):
    async def connect_and_drain():
        loop = asyncio.get_running_loop()
        address = (context.listener.host, int(context.listener.port))
        # Both calls block, so that the event loop can't accept the connection.
        client = socket.create_connection(address, timeout=WAIT_S)
        client.sendall(ORDINARY)
        drain = asyncio.ensure_future(context.listener.server.drain())
        try:
            return await loop.run_in_executor(None, client.recv, LARGE_BODY_BYTES)
        except ConnectionResetError:
            return b""
        finally:
            client.close()
            await drain

    context.answer = context.runner.run(connect_and_drain())


@behave.then("the client of the drain is answered with status {status:d}")
def then_drain_answered(context, status):
    assert context.answer, "the connection was reset"
    assert _parse_response(context.answer)[0] == status, context.answer


@behave.then("new connections are refused")
def then_refused(context):
    try:
        context.runner.run(context.listener.connect())
    except ConnectionRefusedError:
        return
    raise AssertionError("a connection was accepted after the drain")


@behave.when("a client has sent {count:d} requests at once and the listener drains")
def when_pipelined(context, count):
    listener = context.listener

    async def send_and_drain():
        reader, writer = await listener.connect()
        writer.write(KEPT_OPEN.replace(b" / ", b" /wait ") + KEPT_OPEN * (count - 1))
        await listener.entered.wait()
        drain = asyncio.ensure_future(listener.server.drain())
        await listener.wait_until(lambda: listener.server.draining)
        listener.gate.set()
        context.answers = [await asyncio.wait_for(reader.read(), WAIT_S)]
        writer.close()
        await drain

    context.runner.run(send_and_drain())


@behave.when("a drain ends while a request runs and another is not read completely")
def when_drain_ends(context):
    listener = context.listener

    async def send_and_drain():
        pairs = [await listener.connect() for _ in range(2)]
        pairs[0][1].write(ORDINARY.replace(b" / ", b" /wait "))
        pairs[1][1].write(HEAD + b"Content-Length: 5\r\n\r\nab")
        await listener.entered.wait()
        await listener.wait_until(lambda: listener.server.busy_connection_count == 2)
        context.left = await listener.server.drain(datetime.timedelta())
        await listener.server.close()
        context.answers = [await reader.read() for reader, _ in pairs]

    context.runner.run(send_and_drain())


@behave.when("a drain ends while the first of {count:d} pipelined requests runs")
def when_drain_ends_pipelined(context, count):
    listener = context.listener

    async def send_and_drain():
        reader, writer = await listener.connect()
        writer.write(KEPT_OPEN.replace(b" / ", b" /wait ") + KEPT_OPEN * (count - 1))
        await listener.entered.wait()
        context.left = await listener.server.drain(datetime.timedelta())
        context.answers = [await asyncio.wait_for(reader.read(), WAIT_S)]
        writer.close()

    context.runner.run(send_and_drain())


@behave.when("a drain ends while a client does not read its large response")
def when_drain_ends_unread(context):
    listener = context.listener

    async def send_and_drain():
        _, writer = await listener.connect()
        writer.write(ORDINARY.replace(b" / ", b" /large "))
        server = listener.server
        await listener.wait_until(lambda: server.blocked_connection_count == 1)
        drain = asyncio.ensure_future(server.drain(datetime.timedelta()))
        await listener.wait_until(lambda: server.is_ending)
        listener.clock.advance(WAIT_S)
        context.left = await asyncio.wait_for(drain, WAIT_S)
        writer.close()

    context.runner.run(send_and_drain())


@behave.when("a handler responds with a header value that contains a line break")
def when_invalid_header(context):
    async def send():
        data = ORDINARY.replace(b" / ", b" /invalid ")
        context.answers = [await context.listener.send(data)]

    context.runner.run(send())


@behave.when(
    "a drain ends while a client has its response and keeps its connection open"
)
def when_lingering(context):
    listener = context.listener

    async def send_and_drain():
        reader, writer = await listener.connect()
        writer.write(ORDINARY)
        await asyncio.wait_for(reader.read(), WAIT_S)
        context.left = await listener.server.drain(datetime.timedelta())
        writer.close()

    context.runner.run(send_and_drain())


@behave.when("a client sends a request that runs, and EOF")
def when_half_closed(context):
    listener = context.listener

    async def send():
        reader, writer = await listener.connect()
        writer.write(KEPT_OPEN.replace(b" / ", b" /wait "))
        await listener.entered.wait()
        writer.write_eof()
        context.answers = [await asyncio.wait_for(reader.read(), WAIT_S)]
        writer.close()

    context.runner.run(send())


@behave.when(
    "a client sends EOF in the iteration of the event loop in which its handler returns"
)
def when_eof_with_response(context):
    listener = context.listener

    async def send():
        reader, writer = await listener.connect()
        writer.write(KEPT_OPEN.replace(b" / ", b" /wait "))
        await listener.entered.wait()
        (connection,) = listener.server._connections
        listener.gate.set()
        # What the event loop does when it reads EOF; the handler returns after this.
        assert connection.eof_received()
        context.answers = [await asyncio.wait_for(reader.read(), WAIT_S)]
        writer.close()

    context.runner.run(send())


@behave.then("the client gets status {status:d} and the end of its connection")
def then_status_and_end(context, status):
    assert _parse_response(context.answers[0])[0] == status, context.answers


@behave.then("the client is told with status {status:d} that its request may have run")
def then_may_have_run(context, status):
    answered_status, problem = _parse_response(context.answers[0])
    assert (answered_status, problem["ran"]) == (status, "unknown"), problem


@behave.then("the client of the drain gets the statuses {statuses}")
@behave.then("the clients of the drain get the statuses {statuses}")
def then_statuses(context, statuses):
    received = b"".join(context.answers)
    assert STATUS_LINE.findall(received) == statuses.encode().split(), received


@behave.then("{count:d} requests were left")
def then_left(context, count):
    assert context.left == count, context.left


@behave.when("arbitrary bytes are sent to the listener many times")
def when_arbitrary(context):
    pieces = strategies.sampled_from(
        [
            HEAD,
            ORDINARY,
            CHUNK,
            b"\r\n",
            b"Content-Length: 5\r\n",
            b"\x00",
            b"0\r\n\r\n",
        ]
    )
    inputs = strategies.lists(pieces | strategies.binary(max_size=200), max_size=8)

    async def send(data):
        _, writer = await context.listener.connect()
        writer.write(data)
        writer.write_eof()
        await asyncio.sleep(0)
        writer.close()

    @hypothesis.settings(
        database=None, derandomize=True, max_examples=150, deadline=None
    )
    @hypothesis.given(inputs)
    def fuzz(parts):
        context.runner.run(send(b"".join(parts)))

    fuzz()


@behave.then("the listener holds no body bytes")
def then_no_body_bytes(context):
    server = context.listener.server
    context.runner.run(context.listener.wait_until(lambda: server.buffered_bytes == 0))
