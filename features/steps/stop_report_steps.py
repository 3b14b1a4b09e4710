"""Steps for the log lines on requests that a stop cuts off."""

import asyncio
import datetime
import io

import behave
import prometheus_client

from fakes import routing
from greengagehaven import clock, log
from greengagehaven.coordination.routing import request as requests
from greengagehaven.coordination.routing import upstreams
from greengagehaven.daemons import exposition, stop_report
from greengagehaven.transport import http, http_server

LARGE_BODY_BYTES = 30_000_000
STOP_S = 2.0
WAIT_S = 10


def request_bytes(path, number):
    return (
        f"POST {path}?key=secret HTTP/1.1\r\nHost: x\r\nX-Id: r-{number}\r\n"
        "Content-Length: 2\r\n\r\n{}"
    ).encode()


class Listener:
    """A listener on loopback with a manual clock; its log lines are kept."""

    def __init__(self, path):
        self.path = path
        self.clock = clock.ManualClock()
        self.server = http_server.HttpServer(
            handler=self.handle, clock=self.clock, id_header="X-Id"
        )
        self.writers = []

    async def handle(self, request):
        if request.path == "/wait":
            await asyncio.Event().wait()
        body = b"x" * LARGE_BODY_BYTES if request.path == "/large" else b"{}"
        return http.Response(
            status=200, body=body, closes_connection=request.path == "/"
        )

    async def start(self):
        address = await self.server.start()
        self.host, _, self.port = address.rpartition(":")

    async def connect(self):
        # A small limit keeps the client from reading a large response ahead.
        reader, writer = await asyncio.open_connection(
            self.host, int(self.port), limit=1024
        )
        self.writers.append(writer)
        return reader, writer

    async def send(self, count, state):
        """Send requests, each on its own connection, until all are in a state."""
        for number in range(count):
            _, writer = await self.connect()
            writer.write(request_bytes(self.path, number))
        await self.wait_until(
            lambda: self.server.connection_states.count(state) == count
        )

    async def begin_drain(self, timeout_s=WAIT_S):
        timeout = datetime.timedelta(seconds=timeout_s)
        drain = asyncio.ensure_future(self.server.drain(timeout))
        await self.wait_until(lambda: self.server.draining)
        return drain

    async def wait_until(self, condition):
        for _ in range(WAIT_S * 100):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("timed out waiting for the condition")

    async def close(self):
        await self.server.close()
        for writer in self.writers:
            writer.close()


def keep_log(context):
    context.sink = io.StringIO()
    log.configure(level="INFO", sink=context.sink)
    context.add_cleanup(log.configure)


@behave.given("a listener for the stop report whose {behaviour}")
def given_listener(context, behaviour):
    path = {
        "handler never ends": "/wait",
        "response is not read": "/large",
        "responses close the connection": "/",
    }[behaviour]
    keep_log(context)
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.listener = Listener(path)
    context.runner.run(context.listener.start())
    context.add_cleanup(lambda: context.runner.run(context.listener.close()))


@behave.when(
    "{count:d} {noun} being {state} and the listener is closed {seconds:d} seconds "
    "into its drain"
)
def when_closed(context, count, noun, state, seconds):
    async def run():
        listener = context.listener
        await listener.send(count, {"handled": "handling", "written": "writing"}[state])
        drain = await listener.begin_drain()
        listener.clock.advance(seconds)
        drain.cancel()
        await listener.close()

    context.runner.run(run())


@behave.when("the listener drains with one idle connection and one request in flight")
def when_drains(context):
    async def run():
        listener = context.listener
        await listener.connect()
        await listener.send(1, "handling")
        await listener.wait_until(lambda: listener.server.connection_count == 2)
        drain = await listener.begin_drain(timeout_s=STOP_S)
        await listener.wait_until(lambda: "listener_closed" in context.sink.getvalue())
        # Past the time for idle connections, then past the time of the drain.
        listener.clock.advance(STOP_S * 0.75)
        await listener.wait_until(lambda: listener.server.connection_count == 1)
        listener.clock.advance(STOP_S)
        await asyncio.wait_for(drain, WAIT_S)

    context.runner.run(run())


@behave.when("a client sends a second request after such a response")
def when_two_requests(context):
    async def run():
        listener = context.listener
        reader, writer = await listener.connect()
        context.second = request_bytes("/", 1)
        writer.write(request_bytes("/", 0))
        await asyncio.wait_for(reader.read(), WAIT_S)
        writer.write(context.second)
        writer.close()
        await listener.wait_until(lambda: listener.server.connection_count == 0)

    context.runner.run(run())


@behave.when("a client ends its side of the connection 2 seconds into the drain")
def when_client_ends(context):
    async def run():
        listener = context.listener
        await listener.send(1, "handling")
        drain = await listener.begin_drain()
        listener.clock.advance(STOP_S)
        listener.writers[0].write_eof()
        await listener.wait_until(lambda: "closed_by_client" in context.sink.getvalue())
        drain.cancel()
        await listener.close()

    context.runner.run(run())


@behave.given(
    "a request that arrived 3 seconds ago and was sent to an upstream 2 seconds ago"
)
def given_routed(context):
    keep_log(context)
    context.request = requests.RoutedRequest(
        number=1,
        request_id="r-1",
        fingerprint="",
        route=None,
        services=("s-1", "s-2"),
        started_at=10.0,
        deadline=14.0,
        answer_by=14.0,
    )
    shard = context.request.shards[0]
    attempt = requests.Attempt(
        id=1,
        request=context.request,
        shard=shard,
        upstream=upstreams.Upstream(
            entry=routing.upstream_entry("u-1", "s-1"), now=0.0
        ),
        sent_at=11.0,
        typical_latency=0.1,
    )
    shard.attempts.append(attempt)


@behave.when("the requests in flight are logged")
def when_logged(context):
    stop_report.log_requests_in_flight([context.request], now=13.0)


@behave.then('there {verb} {count:d} "{event}" {noun}')
def then_lines(context, verb, count, event, noun):
    lines = context.sink.getvalue().splitlines()
    context.found = [line for line in lines if f" event={event} " in line]
    assert len(context.found) == count, lines


@behave.then("the line has {pairs}")
def then_has(context, pairs):
    present = context.found[0].split()
    assert all(pair in present for pair in pairs.split()), context.found[0]


@behave.then("its bytes are those of the second request")
def then_has_size(context):
    assert f" bytes={len(context.second)} " in context.found[0], context.found[0]


@behave.then("its unsent_bytes are more than {least:d}")
def then_unsent(context, least):
    assert int(context.found[0].rpartition("unsent_bytes=")[2]) > least


@behave.then(
    "the metrics have requests_cut_total {cut:d}, stopping {stopping:d} and "
    "stopping_seconds {seconds:d}"
)
def then_metrics(context, cut, stopping, seconds):
    collector = exposition.ServerCollector(server=context.listener.server)
    text = prometheus_client.generate_latest(exposition.make_registry(collector))
    lines = text.decode().splitlines()
    for name, value in (
        ("requests_cut_total", cut),
        ("stopping", stopping),
        ("stopping_seconds", seconds),
        ('caller_connections{state="handling"}', 0),
    ):
        assert f"greengagehaven_{name} {float(value)}" in lines, (name, lines)
