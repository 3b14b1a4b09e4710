"""Steps about exchanges of bytes with an upstream on loopback."""

import asyncio
import socket
import struct

import behave
import h11

from greengagehaven import clock, exceptions
from greengagehaven.coordination.routing import events
from greengagehaven.protocol import exchange as names_module
from greengagehaven.transport import exchanges, request_head

NAMES = names_module.HeaderNames()
BODY = b"record"
PAUSE_S = 0.05
PATIENCE_S = 10.0
FAR_S = 60.0


def reply(request_id, *, status="200 OK", signature="sig", more=(), body=BODY):
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {request_id}", *more]
    if signature:
        lines.append(f"Signature: {signature}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


class Upstream:
    """Answers each request as ``behave`` says; counts connections and ends."""

    def __init__(self, answer):
        self.answer = answer
        self.asked = asyncio.Event()
        self.ended = asyncio.Event()

    async def serve(self, reader, writer):
        if self.answer is reset_at_once:
            reset_at_once(writer)
            return
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().lower().split("\r\n")
                request_id = next(
                    line.partition(": ")[2]
                    for line in lines
                    if line.startswith("request-id")
                )
                self.asked.set()
                if not await self.answer(request_id, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            self.ended.set()
            writer.close()


async def reply_well(request_id, writer):
    writer.write(reply(request_id))
    return True


async def reply_to_another(request_id, writer):
    writer.write(reply("another"))
    return True


async def reply_unsigned(request_id, writer):
    writer.write(reply(request_id, signature=""))
    return True


async def reply_encoded(request_id, writer):
    writer.write(reply(request_id, more=("Content-Encoding: gzip",)))
    return True


async def reply_until_close(request_id, writer):
    writer.write(reply(request_id, body=None, more=("Connection: close",)) + BODY)
    return False


async def reply_until_reset(request_id, writer):
    writer.write(reply(request_id, body=None) + BODY)
    await writer.drain()
    await asyncio.sleep(PAUSE_S)
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
    return False


async def reply_twice(request_id, writer):
    writer.write(reply(request_id))
    await writer.drain()
    await asyncio.sleep(PAUSE_S)
    writer.write(reply(request_id))
    return True


async def reply_full(request_id, writer):
    writer.write(
        reply(request_id, status="503 Full", signature="", more=("Not-Run: true",))
    )
    return True


async def reply_late(request_id, writer):
    await asyncio.sleep(PAUSE_S)
    writer.write(reply(request_id))
    return True


async def never_reply(request_id, writer):
    return True


def reset_at_once(writer):
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


ANSWERS = {
    "that resets each new connection": reset_at_once,
    "that replies well": reply_well,
    "that echoes another request's id": reply_to_another,
    "that signs nothing": reply_unsigned,
    "whose replies are encoded": reply_encoded,
    "whose reply ends with its connection": reply_until_close,
    "whose reply without a length is cut off by a reset": reply_until_reset,
    "that sends a second reply a little later": reply_twice,
    "that is full": reply_full,
    "that replies after 50 ms": reply_late,
    "that never replies": never_reply,
}


class Caller:
    """Makes exchanges with one upstream."""

    def __init__(self, address):
        self.clock = clock.SystemClock()
        self.channel = exchanges.ExchangeChannel(names=NAMES, clock=self.clock)
        self.address = address
        self.count = 0
        self.started = []

    def begin(self, *, is_over=False):
        self.count += 1
        future = asyncio.get_running_loop().create_future()
        exchange = exchanges.Exchange(
            attempt=self.count,
            address=self.address,
            request_id=f"r-{self.count}",
            head=request_head.RequestHead(
                method="GET",
                target="/x",
                headers=[("Host", "h"), ("Request-Id", f"r-{self.count}")],
            ),
            upstream_id="u-1",
            body=b"",
            send_by=self.clock.monotonic() + FAR_S,
            on_start=self.started.append,
            on_end=lambda _, outcome: future.set_result(outcome),
            is_over=is_over,
        )
        self.channel.send(exchange, connections=3)
        return self.count, future

    async def make(self):
        _, future = self.begin()
        return await asyncio.wait_for(future, PATIENCE_S)


def run(context, scenario):
    async def play():
        upstream = Upstream(context.answer)
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        if context.answer is None:
            server.close()
            await server.wait_closed()
        caller = Caller(f"{host}:{port}")
        try:
            context.outcomes = await scenario(caller, upstream)
            context.opened = caller.channel.connections_opened
        finally:
            await caller.channel.close()
            server.close()

    asyncio.run(play())


@behave.given("an upstream {manner}")
def given_upstream(context, manner):
    context.answer = ANSWERS[manner]


@behave.given("an address where nothing listens")
def given_nothing(context):
    context.answer = None


@behave.when("an exchange is made")
def when_one(context):
    async def scenario(caller, upstream):
        return [await caller.make()]

    run(context, scenario)


@behave.when("an exchange that was withdrawn is made")
def when_withdrawn(context):
    async def scenario(caller, upstream):
        _, future = caller.begin(is_over=True)
        context.started = caller.started
        return [await asyncio.wait_for(future, PATIENCE_S)]

    run(context, scenario)


@behave.then("nothing was started")
def then_nothing_started(context):
    assert context.started == [] and context.opened == 0


@behave.when("it is looked at whether it listens")
def when_looked_at(context):
    async def scenario(caller, upstream):
        future = asyncio.get_running_loop().create_future()
        caller.channel.check_listener(caller.address, future.set_result)
        return [await asyncio.wait_for(future, PATIENCE_S)]

    run(context, scenario)


@behave.then("its listener is {listener}")
def then_listener(context, listener):
    assert context.outcomes == [events.Listener(listener)], context.outcomes


@behave.then("it fails without a reply over a fresh connection")
def then_fresh(context):
    (outcome,) = context.outcomes
    is_crowded = outcome.fault is events.Fault.CROWDED
    assert is_crowded or (outcome.is_mute and outcome.is_fresh), outcome


@behave.when("2 exchanges are made one after the other")
def when_two(context):
    async def scenario(caller, upstream):
        return [await caller.make(), await caller.make()]

    run(context, scenario)


@behave.when("2 exchanges are made with a pause between them")
def when_two_apart(context):
    async def scenario(caller, upstream):
        first = await caller.make()
        await asyncio.wait_for(upstream.ended.wait(), PATIENCE_S)
        return [first, await caller.make()]

    run(context, scenario)


@behave.when("an exchange is made and released at once")
def when_released(context):
    async def scenario(caller, upstream):
        attempt, future = caller.begin()
        await asyncio.wait_for(upstream.asked.wait(), PATIENCE_S)
        caller.channel.release(attempt, may_cut=True)
        outcome = await asyncio.wait_for(future, PATIENCE_S)
        context.caller = caller
        if isinstance(outcome, events.Failed):
            await asyncio.wait_for(upstream.ended.wait(), PATIENCE_S)
            context.upstream_saw_end = True
            return [outcome]
        return [outcome, await caller.make()]

    run(context, scenario)


@behave.when("another exchange is made after it")
def when_another(context):
    assert len(context.outcomes) == 2


@behave.then("both succeed over {count:d} connection")
@behave.then("both succeed over {count:d} connections")
def then_both(context, count):
    assert all(outcome.is_success for outcome in context.outcomes), context.outcomes
    assert context.opened == count, context.opened


@behave.then("it fails as {fault}")
def then_fails(context, fault):
    (outcome,) = context.outcomes
    assert outcome.fault == events.Fault(fault), outcome


@behave.then("its connection is not used again")
def then_not_used(context):
    assert context.opened == 1


@behave.then("it succeeds")
def then_succeeds(context):
    (outcome,) = context.outcomes
    assert outcome.is_success, outcome


@behave.then("it is told not to have run")
def then_not_run(context):
    (outcome,) = context.outcomes
    assert outcome.not_run and outcome.status == 503, outcome


@behave.then("the upstream sees the connection end")
def then_end_seen(context):
    assert context.upstream_saw_end


@behave.given("the head of a request with a body of {size:d} bytes")
def given_head(context, size):
    context.head = request_head.RequestHead(
        method="POST",
        target="/x?y=1",
        headers=[("Host", "h"), ("Accept", "*/*")],
        body_size=size,
    )


@behave.when("it is written for upstreams {first:S} and {second:S}")
def when_written(context, first, second):
    context.names = (first, second)
    context.written = [
        context.head.serialize([("Expected", name)]) for name in context.names
    ]


@behave.then("the two differ in the name of the upstream alone, and h11 reads both")
def then_written(context):
    first, second = context.written
    old, new = (name.encode() for name in context.names)
    assert first.replace(old, new) == second
    for name, data in zip(context.names, context.written, strict=True):
        codec = h11.Connection(h11.SERVER)
        codec.receive_data(data + b"abc")
        head = codec.next_event()
        assert (head.method, head.target) == (b"POST", b"/x?y=1")
        expected = [(b"host", b"h"), (b"accept", b"*/*"), (b"content-length", b"3")]
        assert list(head.headers) == [*expected, (b"expected", name.encode())]
        assert codec.next_event().data == b"abc"


@behave.when("it is written for an upstream whose name holds a line break")
def when_line_break(context):
    try:
        context.head.serialize([("Expected", "u-1\r\nX: y")])
    except exceptions.InvalidRequestError as error:
        context.error = error


@behave.then("it is refused, naming the header")
def then_refused_header(context):
    assert context.error.place == "Expected", context.error
