"""Steps about when requests arrived at a server."""

import asyncio
import contextlib
import socket

import behave

from greengagehaven import clock
from greengagehaven.transport import http, http_server, http_server_connection

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class ArrivalSetup:
    """A server whose clock is advanced by hand, and a client of it."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.clock = clock.ManualClock()
        self.server = http_server.HttpServer(handler=self.handle, clock=self.clock)
        self.waited = []

    async def handle(self, request):
        self.waited.append(self.clock.monotonic() - request.arrived_at)
        return http.Response(status=200)

    async def connect(self, seconds):
        """Connect a client; its connection is set up some seconds after the accept."""
        await self.server.start()
        with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as listener:
            address = listener.getsockname()
            self.client = await asyncio.open_connection(*address)
            accepted, _ = listener.accept()
        self.connection = self.server._make_connection()
        self.clock.advance(seconds)
        await self.loop.connect_accepted_socket(lambda: self.connection, accepted)

    async def request(self):
        reader, writer = self.client
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")

    async def request_in_pieces(self, seconds):
        reader, writer = self.client
        writer.write(REQUEST[:9])
        while self.connection.state is http_server_connection.State.IDLE:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        self.clock.advance(seconds)
        writer.write(REQUEST[9:])
        await reader.readuntil(b"\r\n\r\n")

    async def close(self):
        self.client[1].close()
        await self.server.close()


@behave.given("a server")
def given_server(context):
    context.setup = setup = ArrivalSetup()
    context.add_cleanup(setup.loop.close)
    context.add_cleanup(lambda: setup.loop.run_until_complete(setup.close()))


@behave.when(
    "a client connects and sends a request, which is read {wait:d} ms after the accept"
)
def when_connected(context, wait):
    run = context.setup.loop.run_until_complete
    run(context.setup.connect(wait / 1000))
    run(context.setup.request())


@behave.when("a client connects and sends a request in two pieces, {wait:d} ms apart")
def when_sent_in_pieces(context, wait):
    run = context.setup.loop.run_until_complete
    run(context.setup.connect(0.0))
    run(context.setup.request_in_pieces(wait / 1000))


@behave.when("the client sends another request {wait:d} ms later")
def when_requested_again(context, wait):
    context.setup.clock.advance(wait / 1000)
    context.setup.loop.run_until_complete(context.setup.request())


@behave.then("the request arrived {earlier:d} ms before it was handled")
def then_arrived(context, earlier):
    waited = context.setup.waited[-1]
    assert abs(waited * 1000 - earlier) < 1e-6, context.setup.waited
