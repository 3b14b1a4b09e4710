"""Steps about byte exchanges with an upstream on loopback."""

import asyncio
import collections
import random
import socket
import struct

import behave
import h11

from greengagehaven import clock, exceptions
from greengagehaven.coordination.routing import events
from greengagehaven.protocol import header_names as names_module
from greengagehaven.transport import exchanges, request_head

NAMES = names_module.HeaderNames()
BODY = b"record"
PAUSE_S = 0.05
TIMEOUT_S = 10.0
SEND_TIMEOUT_S = 60.0
REJECTED_SHARE = 0.4
REPEATED_SHARE = 0.2
MAX_SENDS = 4
REQUESTS_IN_A_ROW = 100
REQUESTS_AT_ONCE = 5


def reply_bytes(request_id, *, status="200 OK", signature="sig", more=(), body=BODY):
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {request_id}", *more]
    if signature:
        lines.append(f"Signature: {signature}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


class Upstream:
    """Serves connections and answers each request with ``answer``."""

    def __init__(self, answer):
        self.answer = answer
        self.requested = asyncio.Event()
        self.ended = asyncio.Event()

    async def serve(self, reader, writer):
        if self.answer is reset_connection:
            reset_connection(writer)
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
                self.requested.set()
                if not await self.answer(request_id, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            self.ended.set()
            writer.close()


async def reply_correctly(request_id, writer):
    writer.write(reply_bytes(request_id))
    return True


async def reply_with_other_id(request_id, writer):
    writer.write(reply_bytes("another"))
    return True


async def reply_unsigned(request_id, writer):
    writer.write(reply_bytes(request_id, signature=""))
    return True


async def reply_encoded(request_id, writer):
    writer.write(reply_bytes(request_id, more=("Content-Encoding: gzip",)))
    return True


async def reply_until_close(request_id, writer):
    writer.write(reply_bytes(request_id, body=None, more=("Connection: close",)) + BODY)
    return False


async def reply_until_reset(request_id, writer):
    writer.write(reply_bytes(request_id, body=None) + BODY)
    await writer.drain()
    await asyncio.sleep(PAUSE_S)
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
    return False


async def reply_twice(request_id, writer):
    writer.write(reply_bytes(request_id))
    await writer.drain()
    await asyncio.sleep(PAUSE_S)
    writer.write(reply_bytes(request_id))
    return True


async def reject_as_not_run(request_id, writer):
    writer.write(
        reply_bytes(
            request_id, status="503 Full", signature="", more=("Not-Run: true",)
        )
    )
    return True


async def reject_without_id(request_id, writer):
    reply = reply_bytes(request_id, status="503 Full", signature="")
    writer.write(reply.replace(b"Request-Id", b"Not-Run"))
    return True


class RepeatedRejection:
    """Rejects a request, and repeats that before it serves the next one."""

    def __init__(self):
        self.connections_by_request = collections.defaultdict(set)

    async def __call__(self, request_id, writer):
        connections = self.connections_by_request[request_id]
        if not connections:
            await reject_as_not_run(request_id, writer)
        else:
            if writer in connections:
                await reject_as_not_run(request_id, writer)
                await asyncio.sleep(PAUSE_S)
            await reply_correctly(request_id, writer)
        connections.add(writer)
        return True


class UnreliableRejections:
    """Rejects and serves at random, and sends some replies twice, the copy late."""

    def __init__(self, rng):
        self.rng = rng
        self.run_ids = []
        self._late_by_writer = {}

    async def __call__(self, request_id, writer):
        writer.write(self._late_by_writer.pop(writer, b""))
        await asyncio.sleep(0.001)
        if self.rng.random() < REJECTED_SHARE:
            reply = reply_bytes(
                request_id, status="503 Full", signature="", more=("Not-Run: true",)
            )
        else:
            self.run_ids.append(request_id)
            reply = reply_bytes(request_id)
        writer.write(reply)
        if self.rng.random() < REPEATED_SHARE:
            self._late_by_writer[writer] = reply
        return True


async def reply_late(request_id, writer):
    await asyncio.sleep(PAUSE_S)
    writer.write(reply_bytes(request_id))
    return True


async def never_reply(request_id, writer):
    return True


def reset_connection(writer):
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


ANSWERS = {
    "that resets each new connection": reset_connection,
    "that replies correctly": reply_correctly,
    "that replies with another request's id": reply_with_other_id,
    "that sends no signature": reply_unsigned,
    "whose replies have an encoded body": reply_encoded,
    "whose reply without a length ends with its connection": reply_until_close,
    "whose reply without a length ends with a reset": reply_until_reset,
    "that sends a second, unexpected reply": reply_twice,
    "that rejects requests as not run": reject_as_not_run,
    "that rejects requests without naming them": reject_without_id,
    "that rejects a request twice, the second time late": RepeatedRejection,
    "that replies after 50 ms": reply_late,
    "that never replies": never_reply,
}


class Caller:
    """Sends requests to one upstream."""

    def __init__(self, address):
        self.clock = clock.SystemClock()
        self.channel = exchanges.ExchangeChannel(names=NAMES, clock=self.clock)
        self.address = address
        self.count = 0
        self.started = []

    def start_exchange(self, *, is_over=False, request_id=None):
        self.count += 1
        request_id = request_id or f"r-{self.count}"
        future = asyncio.get_running_loop().create_future()
        exchange = exchanges.Exchange(
            attempt=self.count,
            address=self.address,
            request_id=request_id,
            head=request_head.RequestHead(
                method="GET",
                target="/x",
                headers=[("Host", "h"), ("Request-Id", request_id)],
            ),
            upstream_id="u-1",
            body=b"",
            deadline=self.clock.monotonic() + SEND_TIMEOUT_S,
            on_start=self.started.append,
            on_end=lambda _, outcome: future.set_result(outcome),
            is_over=is_over,
        )
        self.channel.send(exchange, max_connections=3)
        return self.count, future

    async def exchange(self, request_id=None):
        _, future = self.start_exchange(request_id=request_id)
        return await asyncio.wait_for(future, TIMEOUT_S)


def run(context, scenario):
    async def run_against_upstream():
        upstream = Upstream(context.answer)
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        if context.answer is None:
            server.close()
            await server.wait_closed()
        caller = Caller(f"{host}:{port}")
        try:
            context.outcomes = await scenario(caller, upstream)
            context.opened_count = caller.channel.connections_opened
        finally:
            await caller.channel.close()
            server.close()

    asyncio.run(run_against_upstream())


@behave.given("an upstream {manner}")
def given_upstream(context, manner):
    answer = ANSWERS[manner]
    context.answer = answer() if isinstance(answer, type) else answer


@behave.given("replies of an upstream with the status {status}")
def given_status(context, status):
    async def reply(request_id, writer):
        writer.write(reply_bytes(request_id, status=f"{status} OK"))
        return True

    context.answer = reply


@behave.given("upstream replies that are repeated late at random, seed {seed:d}")
def given_unreliable_rejections(context, seed):
    context.answer = UnreliableRejections(random.Random(seed))


@behave.given("an address where nothing listens")
def given_nothing(context):
    context.answer = None


@behave.when("an exchange is made")
def when_one(context):
    async def scenario(caller, upstream):
        return [await caller.exchange()]

    run(context, scenario)


@behave.when("a request is sent, and sent again after its rejection")
def when_sent_again(context):
    async def scenario(caller, upstream):
        return [await caller.exchange("same"), await caller.exchange("same")]

    run(context, scenario)


@behave.then("it is rejected and then served, over 2 connections")
def then_rejected_then_served(context):
    rejected, served = context.outcomes
    assert rejected.not_run and served.is_success, context.outcomes
    assert context.opened_count == 2, context.opened_count


@behave.when("many requests are each sent again after a rejection")
def when_many_sent_again(context):
    async def send_until_served(caller, request_id):
        for _ in range(MAX_SENDS):
            outcome = await caller.exchange(request_id)
            is_rejected = isinstance(outcome, events.Replied) and outcome.not_run
            if not is_rejected:
                return
        context.rejected_ids.append(request_id)

    async def send_in_a_row(caller, name):
        for number in range(REQUESTS_IN_A_ROW):
            await send_until_served(caller, f"{name}-{number}")

    async def scenario(caller, upstream):
        rows = [send_in_a_row(caller, str(row)) for row in range(REQUESTS_AT_ONCE)]
        await asyncio.gather(*rows)
        return []

    context.rejected_ids = []
    run(context, scenario)


@behave.then("none ran twice, and none ran that was told not to have run")
def then_ran_once(context):
    runs = collections.Counter(context.answer.run_ids)
    assert len(runs) > REQUESTS_IN_A_ROW, runs
    assert max(runs.values()) == 1, runs.most_common(3)
    assert not set(context.rejected_ids) & set(runs), context.rejected_ids


@behave.when("a withdrawn exchange is made")
def when_withdrawn(context):
    async def scenario(caller, upstream):
        _, future = caller.start_exchange(is_over=True)
        context.started = caller.started
        return [await asyncio.wait_for(future, TIMEOUT_S)]

    run(context, scenario)


@behave.then("no attempt was started")
def then_nothing_started(context):
    assert context.started == [] and context.opened_count == 0


@behave.when("its listener is checked")
def when_listener_checked(context):
    async def scenario(caller, upstream):
        future = asyncio.get_running_loop().create_future()
        caller.channel.check_listener(caller.address, future.set_result)
        return [await asyncio.wait_for(future, TIMEOUT_S)]

    run(context, scenario)


@behave.then("its listener is {listener}")
def then_listener(context, listener):
    assert context.outcomes == [events.Listener(listener)], context.outcomes


@behave.then("it fails without a reply on a new connection")
def then_no_reply_on_new(context):
    (outcome,) = context.outcomes
    is_crowded = outcome.fault is events.Fault.CONNECTION_LIMIT
    assert is_crowded or (outcome.received_nothing and outcome.is_first_use), outcome


@behave.when("2 exchanges are made one after the other")
def when_two(context):
    async def scenario(caller, upstream):
        return [await caller.exchange(), await caller.exchange()]

    run(context, scenario)


@behave.when("2 exchanges are made, the second after the connection ended")
def when_two_apart(context):
    async def scenario(caller, upstream):
        first = await caller.exchange()
        await asyncio.wait_for(upstream.ended.wait(), TIMEOUT_S)
        return [first, await caller.exchange()]

    run(context, scenario)


@behave.when("an exchange is made and released at once")
def when_released(context):
    async def scenario(caller, upstream):
        attempt, future = caller.start_exchange()
        await asyncio.wait_for(upstream.requested.wait(), TIMEOUT_S)
        caller.channel.release(attempt, may_cancel=True)
        outcome = await asyncio.wait_for(future, TIMEOUT_S)
        context.caller = caller
        if isinstance(outcome, events.Failed):
            await asyncio.wait_for(upstream.ended.wait(), TIMEOUT_S)
            context.upstream_saw_end = True
            return [outcome]
        return [outcome, await caller.exchange()]

    run(context, scenario)


@behave.when("another exchange is made after it")
def when_another(context):
    assert len(context.outcomes) == 2


@behave.then("both succeed over {count:d} connection")
@behave.then("both succeed over {count:d} connections")
def then_both_succeed(context, count):
    assert all(outcome.is_success for outcome in context.outcomes), context.outcomes
    assert context.opened_count == count, context.opened_count


@behave.then("it fails as {fault}")
def then_fails(context, fault):
    (outcome,) = context.outcomes
    assert outcome.fault == events.Fault(fault), outcome


@behave.then("its connection is not reused")
def then_not_reused(context):
    assert context.opened_count == 1


@behave.then("it succeeds")
def then_succeeds(context):
    (outcome,) = context.outcomes
    assert outcome.is_success, outcome


@behave.then("it is reported as not run")
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


@behave.when("it is serialized for upstreams {first:S} and {second:S}")
def when_serialized(context, first, second):
    context.names = (first, second)
    context.heads = [
        context.head.serialize([("Expected", name)]) for name in context.names
    ]


@behave.then("the two differ only in the name of the upstream, and h11 reads both")
def then_heads_differ(context):
    first, second = context.heads
    old, new = (name.encode() for name in context.names)
    assert first.replace(old, new) == second
    for name, data in zip(context.names, context.heads, strict=True):
        parser = h11.Connection(h11.SERVER)
        parser.receive_data(data + b"abc")
        head = parser.next_event()
        assert (head.method, head.target) == (b"POST", b"/x?y=1")
        expected = [(b"host", b"h"), (b"accept", b"*/*"), (b"content-length", b"3")]
        assert list(head.headers) == [*expected, (b"expected", name.encode())]
        assert parser.next_event().data == b"abc"


@behave.when("it is serialized for an upstream whose name contains a line break")
def when_line_break(context):
    try:
        context.head.serialize([("Expected", "u-1\r\nX: y")])
    except exceptions.InvalidRequestError as error:
        context.error = error


@behave.then("it is refused with an error that names the header")
def then_refused_header(context):
    assert context.error.place == "Expected", context.error
