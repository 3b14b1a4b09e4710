"""Steps for upstreams whose replies do not end."""

import asyncio
import concurrent.futures
import contextlib
import tracemalloc

import behave

from greengagehaven import clock
from greengagehaven.protocol import header_names
from greengagehaven.transport import (
    exchanges,
    http,
    http_client,
    http_server,
    request_head,
)

NAMES = header_names.HeaderNames()
BLOCK = b"x" * 65_536
DRIP_S = 0.05
MB = 1_000_000
RELEASE_TIMEOUT_S = 10.0

STATUS = b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nSignature: s\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
REPLIES = {
    "a header line": (STATUS + b"Long: ", BLOCK, 0.0),
    "header lines": (STATUS, b"Name: value\r\n" * 1000, 0.0),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000, 0.0),
    "a body in chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n", 0.0),
    "a body in chunks of one byte": (CHUNKED, b"1\r\nx\r\n" * 1000, 0.0),
    "a body without a length": (STATUS + b"\r\n", BLOCK, 0.0),
    "a body of a great length": (
        STATUS + b"Content-Length: 1000000000000000\r\n\r\n",
        BLOCK,
        0.0,
    ),
    "trailers": (CHUNKED + b"0\r\n", b"Name: value\r\n" * 1000, 0.0),
    "a byte of a body each 50 ms": (STATUS + b"\r\n", b"x", DRIP_S),
    "a byte of a header each 50 ms": (STATUS + b"Long: ", b"x", DRIP_S),
}
"""Beginning, repeated part and pause between repetitions."""


class EndlessUpstream:
    """Answers each request without end, and records when connections are closed."""

    def __init__(self, reply):
        self.reply = reply
        self.open_count = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        self.open_count += 1
        beginning, repeated, pause = self.reply
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(beginning)
            while not reader.at_eof():
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(pause)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open_count -= 1
            if not self.open_count:
                self.closed.set()
            writer.close()


def exchange_with(address, attempt, time_left, on_end):
    return exchanges.Exchange(
        attempt=attempt,
        address=address,
        request_id="r-1",
        head=request_head.RequestHead(
            method="GET", target="/x", headers=[("Host", "h"), ("Request-Id", "r-1")]
        ),
        upstream_id="u-1",
        body=b"",
        deadline=clock.SystemClock().monotonic() + time_left,
        on_start=lambda exchange: None,
        on_end=on_end,
    )


async def play(reply, *, count, time_left, may_cancel, closed_within):
    """Make exchanges and release them as the router does when their time is over.

    Return whether the upstream saw all connections closed in time.
    """
    upstream = EndlessUpstream(reply)
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    channel = exchanges.ExchangeChannel(names=NAMES, clock=clock.SystemClock())
    ended = []
    try:
        for attempt in range(count):
            exchange = exchange_with(
                f"{host}:{port}", attempt, time_left, lambda *end: ended.append(end)
            )
            channel.send(exchange, max_connections=count)
        await asyncio.sleep(time_left)
        for attempt in range(count):
            channel.release(attempt, may_cancel=may_cancel)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(upstream.closed.wait(), closed_within)
        return upstream.closed.is_set() and len(ended) == count
    finally:
        await channel.close()
        server.close()


@behave.given("an upstream that sends {what} without end")
def given_endless(context, what):
    context.reply = REPLIES[what]


@behave.when(
    "an exchange with {milliseconds:d} ms left is made, which {release} when they "
    "are over"
)
def when_made(context, milliseconds, release):
    context.play = {
        "count": 1,
        "time_left": milliseconds / 1000,
        "may_cancel": release == "may be cancelled",
    }


@behave.when(
    "{count:d} exchanges with {milliseconds:d} ms left are made at the same time"
)
def when_many(context, count, milliseconds):
    context.play = {
        "count": count,
        "time_left": milliseconds / 1000,
        "may_cancel": True,
    }


@behave.then("the host holds at most {limit:d} MB for them")
def then_memory(context, limit):
    tracemalloc.start()
    context.is_closed = asyncio.run(
        play(context.reply, closed_within=RELEASE_TIMEOUT_S, **context.play)
    )
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak <= limit * MB, f"{peak / MB:.0f} MB"


@behave.then("the upstream sees its connection closed within {seconds:d} seconds")
def then_closed(context, seconds):
    if not hasattr(context, "is_closed"):
        context.is_closed = asyncio.run(
            play(context.reply, closed_within=seconds, **context.play)
        )
    assert context.is_closed


@behave.given("a server and a client that have exchanged a message")
def given_server_and_client(context):
    async def answer(request):
        return http.Response(status=200, body=request.body)

    async def exchange_messages(count):
        server = http_server.HttpServer(handler=answer)
        client = http_client.HttpClient(address=await server.start())
        await client.request("POST", "/x", body=b"x")
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for _ in range(count):
            await client.request("POST", "/x", body=b"x")
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        client.close()
        await server.close()
        return peak - before

    context.exchange_messages = exchange_messages


@behave.when("{count:d} more small messages are exchanged")
def when_exchanged(context, count):
    context.peak = asyncio.run(context.exchange_messages(count))


@behave.then("no buffer above {size:d} KB was allocated")
def then_small(context, size):
    assert context.peak < size * 1000, context.peak


@behave.given("{count:d} threads with a server and a client each")
def given_threads(context, count):
    context.thread_count = count


@behave.when("each exchanges {count:d} messages that only it sends")
def when_threads_exchange(context, count):
    async def answer(request):
        return http.Response(status=200, body=request.body)

    async def exchange_messages(number):
        body = bytes([number]) * 20_000
        server = http_server.HttpServer(handler=answer)
        client = http_client.HttpClient(address=await server.start())
        try:
            for _ in range(count):
                reply = await client.request("POST", "/x", body=body)
                if reply.body != body:
                    return False
        finally:
            client.close()
            await server.close()
        return True

    with concurrent.futures.ThreadPoolExecutor(context.thread_count) as pool:
        coroutines = map(exchange_messages, range(context.thread_count))
        context.are_own = list(pool.map(asyncio.run, coroutines))


@behave.then("each got its own messages back")
def then_own_messages(context):
    assert all(context.are_own), context.are_own
