"""Steps about clients that send requests before earlier ones are answered."""

import asyncio
import re
import socket
import tracemalloc

import behave

from greengagehaven.transport import http, http_server

PIPELINING_CONNECTIONS = 2
SEND_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 30
READ_BYTES = 65_536
PADDING = "x" * 100
NUMBERED_PATH = re.compile(r"/\d+/x{100}")
LIMITS = http_server.ServerLimits(
    head_bytes=4_000,
    pipelining_connections=PIPELINING_CONNECTIONS,
    unsent_bytes=40_000_000,
)


def numbered(number):
    return f"GET /{number}/{PADDING} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


class Listener:
    """Answers with the path of each request; some wait until all was sent."""

    def __init__(self):
        self.paths = []
        self.may_answer = asyncio.Event()
        self.server = http_server.HttpServer(handler=self.handle, limits=LIMITS)

    async def handle(self, request):
        if request.path.startswith("/large-"):
            return http.Response(status=200, body=bytes(int(request.path[7:])))
        self.paths.append(request.path)
        await self.may_answer.wait()
        return http.Response(status=200, body=request.path.encode() + b"\n")

    @property
    def buffered_bytes(self):
        return [
            len(connection._codec.trailing_data[0])
            for connection in self.server._connections
        ]


async def wait_until(check):
    async with asyncio.timeout(READ_TIMEOUT_S):
        while True:
            if check():
                return
            await asyncio.sleep(0.01)


@behave.given("an HTTP listener for clients that send ahead")
def given_listener(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.listener = context.runner.run(start())
    context.add_cleanup(context.runner.run, context.listener.server.close())


async def start():
    listener = Listener()
    await listener.server.start()
    return listener


def request_large(size):
    return f"GET /large-{size} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


@behave.when(
    "{count:d} clients request responses of {size:d} bytes and do not read them"
)
def when_unread(context, count, size):
    server = context.listener.server

    async def run():
        host, port = server.report.address.rsplit(":", 1)
        for _ in range(count):
            client = socket.create_connection((host, int(port)))
            context.add_cleanup(client.close)
            client.sendall(request_large(size))
            await asyncio.sleep(0.1)

    context.runner.run(run())


@behave.then("the listener holds at most {limit:d} bytes of responses")
def then_held(context, limit):
    connections = context.listener.server._connections
    held = sum(each._transport.get_write_buffer_size() for each in connections)
    assert held <= limit, held


@behave.then("a client that reads gets a response of {size:d} bytes")
def then_read(context, size):
    async def run():
        host, port = context.listener.server.report.address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_large(size))
        async with asyncio.timeout(READ_TIMEOUT_S):
            await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(size)
        writer.close()
        return len(body)

    assert context.runner.run(run()) == size


@behave.when("a body of {size:d} bytes arrives in chunks of one byte")
def when_small_chunks(context, size):
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    body = b"1\r\nx\r\n" * size
    server = context.listener.server

    async def run():
        host, port = server.report.address.rsplit(":", 1)
        _, writer = await asyncio.open_connection(host, int(port))
        tracemalloc.start()
        writer.write(head)
        for start in range(0, len(body), READ_BYTES):
            writer.write(body[start : start + READ_BYTES])
            await writer.drain()
        await wait_until(lambda: server.buffered_bytes == size)
        context.memory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        writer.close()

    context.runner.run(run())


@behave.then("the listener takes at most {limit:d} bytes for it")
def then_memory(context, limit):
    assert context.memory_bytes <= limit, context.memory_bytes


@behave.when("a client sends {count:d} numbered requests ahead and reads the answers")
def when_read(context, count):
    async def run():
        context.listener.may_answer.set()
        host, port = context.listener.server.report.address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"".join(map(numbered, range(count))))
        context.received = b""
        async with asyncio.timeout(READ_TIMEOUT_S):
            while context.received.count(b"\n/") < count:
                context.received += await reader.read(READ_BYTES)
        writer.close()

    context.runner.run(run())


@behave.then("it gets {count:d} answers in order")
def then_in_order(context, count):
    found = re.findall(rb"^/(\d+)/", context.received, re.MULTILINE)
    assert list(map(int, found)) == list(range(count)), found[-3:]


@behave.when(
    "numbered requests are sent ahead on {count:d} connections until no more are read"
)
def when_sent_ahead(context, count):
    async def run():
        host, port = context.listener.server.report.address.rsplit(":", 1)
        context.clients = [socket.socket() for _ in range(count)]
        for client in context.clients:
            context.add_cleanup(client.close)
            client.setblocking(False)
            await asyncio.get_running_loop().sock_connect(client, (host, int(port)))
        await asyncio.gather(*map(send_ahead, context.clients))

    context.runner.run(run())


async def send_ahead(client):
    loop = asyncio.get_running_loop()
    block = b"".join(map(numbered, range(1000)))
    try:
        while True:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await loop.sock_sendall(client, block)
    except TimeoutError:
        return


@behave.then("the listener buffers at most {limit:d} bytes of each")
def then_buffered(context, limit):
    assert max(context.listener.buffered_bytes) <= limit, (
        context.listener.buffered_bytes
    )


@behave.then("their connections are open")
def then_open(context):
    assert context.listener.server.connection_count == len(context.clients)


@behave.then("all but {count:d} of their connections end with an answer that says so")
def then_closed(context, count):
    async def run():
        context.listener.may_answer.set()
        return await asyncio.gather(*map(read_head, context.clients))

    heads = context.runner.run(run())
    ending = [head for head in heads if b"Connection: close" in head]
    assert len(ending) == len(context.clients) - count, heads
    assert all(head.startswith(b"HTTP/1.1 200") for head in heads), heads


async def read_head(client):
    data = b""
    async with asyncio.timeout(READ_TIMEOUT_S):
        while b"\r\n\r\n" not in data:
            data += await asyncio.get_running_loop().sock_recv(client, 4096)
    return data.partition(b"\r\n\r\n")[0]


@behave.then("no request was handled that was not sent")
def then_only_sent(context):
    async def run():
        context.listener.may_answer.set()
        await asyncio.gather(*map(read_head, context.clients))
        await asyncio.sleep(SEND_TIMEOUT_S)

    context.runner.run(run())
    wrong = [p for p in context.listener.paths if not NUMBERED_PATH.fullmatch(p)]
    assert not wrong, wrong[:3]
