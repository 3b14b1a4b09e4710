"""Steps for messages that are cut before their end."""

import asyncio
import datetime
import random

import behave

from fakes import cut_replies, gathering, platform_deployment
from greengagehaven import clock, exceptions
from greengagehaven.coordination.routing import events
from greengagehaven.platform import names as platform_names
from greengagehaven.protocol import header_names
from greengagehaven.transport import (
    exchanges,
    http,
    http_client,
    http_server,
    request_head,
)

NAMES = header_names.HeaderNames()
BODY = b"a record of some bytes"
REQUEST_ID = "r-1"
SIGNATURE = "s-1"
TIMEOUT_S = 10.0
CUT_SHARE = 1 / 3
HEAD = (
    "HTTP/1.1 200 OK\r\n"
    f"{NAMES.request_id}: {REQUEST_ID}\r\n"
    f"{NAMES.signature}: {SIGNATURE}\r\n"
).encode()
CHUNKS = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (BODY[:9], BODY[9:]))
REPLIES = {
    "a length": HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY),
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS + b"0\r\n\r\n",
    "no length": HEAD + b"Content-Type: text/plain\r\n\r\n" + BODY,
}
BEGINNINGS = {
    "the value of the signature": b"HTTP/1.1 200 OK\r\nSignature: s-",
    "a header after the signature": (
        b"HTTP/1.1 200 OK\r\nSignature: s-1\r\nContent-Type: te"
    ),
    "a header without meaning": b"HTTP/1.1 200 OK\r\nDate: Mon",
}
FOLLOWING_REPLIES = {
    "a complete success": REPLIES["a length"],
    "a signed failure": REPLIES["a length"].replace(b"200 OK", b"500 Failed"),
}


async def exchange(channel, address, attempt):
    """Make an exchange; return its outcome and the reply, if one was accepted."""
    future = asyncio.get_running_loop().create_future()
    made = exchanges.Exchange(
        attempt=attempt,
        address=address,
        request_id=REQUEST_ID,
        head=request_head.RequestHead(
            method="GET",
            target="/x",
            headers=[("Host", "h"), (NAMES.request_id, REQUEST_ID)],
        ),
        upstream_id="u-1",
        body=b"",
        deadline=clock.SystemClock().monotonic() + TIMEOUT_S,
        on_start=lambda _: None,
        on_end=lambda _, outcome: future.set_result(outcome),
    )
    channel.send(made, max_connections=1)
    async with asyncio.timeout(TIMEOUT_S):
        return await future, made.reply


class CuttingUpstream:
    """Answers a connection's first requests fully, and cuts the last reply."""

    def __init__(self, *, reply, size, end, complete_count):
        self.reply = reply
        self.size = size
        self.end = end
        self.complete_count = complete_count

    async def answer(self, head, writer):
        if self.complete_count:
            self.complete_count -= 1
            writer.write(REPLIES["a length"])
            return True
        writer.write(self.reply[: self.size])
        await cut_replies.end(writer, self.end)
        return False


async def exchange_with_cut(reply, size, end, is_used):
    upstream = CuttingUpstream(
        reply=reply, size=size, end=end, complete_count=1 if is_used else 0
    )
    server, address = await cut_replies.serve(upstream.answer)
    channel = exchanges.ExchangeChannel(names=NAMES, clock=clock.SystemClock())
    try:
        if is_used:
            first, _ = await exchange(channel, address, 1)
            assert isinstance(first, events.Replied), first
        outcome = await exchange(channel, address, 2)
        assert channel.connections_opened == 1, channel.connections_opened
        return size, *outcome
    finally:
        await channel.close()
        server.close()


@behave.given(
    "an upstream whose replies have {framing}, are cut at any byte and {end:w}"
)
def given_cut(context, framing, end):
    context.framing, context.end = framing, end


@behave.when("an exchange is made for each byte, on a connection that is {use}")
def when_each_byte(context, use):
    reply = REPLIES[context.framing]
    is_used = use == "used once before"

    async def make_all():
        made = (
            exchange_with_cut(reply, size, context.end, is_used)
            for size in range(len(reply))
        )
        return await asyncio.gather(*made)

    context.results = asyncio.run(make_all())


@behave.then("only complete replies are passed on")
def then_complete(context):
    reply = REPLIES[context.framing]
    _, body_at = cut_replies.regions(reply)
    assert len(context.results) == len(reply)
    for size, outcome, accepted in context.results:
        # By its framing such a reply is complete wherever its connection closes.
        ends_with_close = context.framing == "no length" and context.end == "closed"
        if ends_with_close and size >= body_at:
            assert accepted is not None and accepted.body == reply[body_at:size], size
            continue
        assert isinstance(outcome, events.Failed), (size, outcome)
        assert outcome.fault is events.Fault.LOST, (size, outcome)
        assert accepted is None, (size, accepted)


@behave.given("an upstream whose reply is cut within {place} and followed by {reply}")
def given_followed(context, place, reply):
    context.reply = BEGINNINGS[place] + FOLLOWING_REPLIES[reply]


@behave.when("an exchange is made with it")
def when_followed(context):
    context.results = [
        asyncio.run(
            exchange_with_cut(context.reply, len(context.reply), "closed", False)
        )
    ]


@behave.then("no reply is passed on")
def then_not_passed_on(context):
    ((_, outcome, accepted),) = context.results
    assert isinstance(outcome, events.Failed), (outcome, accepted)


@behave.given("a server whose reply is cut at any byte")
def given_server(context):
    context.reply = REPLIES["a length"]


@behave.when("a host calls it for each byte")
def when_called(context):
    async def call(size):
        upstream = CuttingUpstream(
            reply=context.reply, size=size, end="closed", complete_count=0
        )
        server, address = await cut_replies.serve(upstream.answer)
        client = http_client.HttpClient(address=address)
        try:
            return await client.request("POST", "/x", body=b"x")
        except exceptions.ConnectionLostError as error:
            return error
        finally:
            client.close()
            server.close()

    async def call_all():
        return await asyncio.gather(*map(call, range(len(context.reply))))

    context.results = asyncio.run(call_all())


@behave.then("each call fails")
def then_calls_fail(context):
    assert len(context.results) == len(context.reply)
    for result in context.results:
        assert isinstance(result, exceptions.ConnectionLostError), result


@behave.given("a server and a request that is cut at any byte")
def given_request(context):
    context.request = (
        b"PUT /greengagehaven/config HTTP/1.1\r\nHost: h\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
    )


@behave.when("each part of it is sent and the connection is {end}")
def when_parts_sent(context, end):
    context.handled = []

    async def handle(request):
        context.handled.append(request)
        return http.Response(status=200)

    async def send(address, size):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(context.request[:size])
        if end == "half-closed":
            writer.write_eof()
            await reader.read()
            writer.close()
            return
        await cut_replies.end(writer, end)

    async def send_all():
        server = http_server.HttpServer(handler=handle)
        address = await server.start()
        sizes = range(len(context.request))
        await asyncio.gather(*(send(address, size) for size in sizes))
        await asyncio.sleep(cut_replies.RESET_PAUSE_S)
        await server.close()

    asyncio.run(send_all())


@behave.then("the server handles none of them")
def then_unhandled(context):
    assert not context.handled, context.handled


class RandomlyCuttingUpstream:
    """A leaf that cuts some of its replies at random."""

    def __init__(self, leaf, rng):
        self.leaf = leaf
        self.rng = rng
        self.complete_signatures = set()
        self.cuts = []

    async def answer(self, head, writer):
        names = platform_names.HEADERS
        if cut_replies.header(head, names.expected_upstream) != self.leaf.name:
            writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return True
        request_id = cut_replies.header(head, names.request_id)
        signature = f"{self.leaf.name}.{self.rng.getrandbits(32):x}"
        body = platform_deployment.RECORD * 4
        reply = (
            f"HTTP/1.1 200 OK\r\n{names.request_id}: {request_id}\r\n"
            f"{names.signature}: {signature}\r\n{names.load}: 1,0,2\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        if self.rng.random() >= CUT_SHARE:
            self.complete_signatures.add(signature)
            writer.write(reply)
            return True
        size = self.rng.randrange(len(reply))
        self.cuts.append(cut_replies.region_of(reply, size))
        writer.write(reply[:size])
        await cut_replies.end(writer, self.rng.choice(("closed", "reset")))
        return False


@behave.given(
    "upstreams of the platform that cut one of 3 replies at random, seed {seed:d}"
)
def given_cutting_leafs(context, seed):
    context.runner_loop = asyncio.new_event_loop()
    context.platform = platform_deployment.PlatformDeployment()
    context.servers = []
    context.add_cleanup(close_platform, context)
    context.cutting = []
    context.runner_loop.run_until_complete(start_cutting(context, random.Random(seed)))


async def start_cutting(context, rng):
    platform = context.platform
    await platform.start()
    for shard in platform_deployment.SHARDS:
        for number in range(4):
            leaf = platform_deployment.LeafUpstream(
                f"i-{shard}-{number}", shard, "midt-a"
            )
            upstream = RandomlyCuttingUpstream(leaf, rng)
            server, leaf.address = await cut_replies.serve(upstream.answer)
            context.servers.append(server)
            context.cutting.append(upstream)
            await platform.announce(leaf)
    await platform.put_until_accepted(platform_deployment.configuration())


def close_platform(context):
    async def close():
        await context.platform.close()
        for server in context.servers:
            server.close()

    context.runner_loop.run_until_complete(close())
    context.runner_loop.close()


@behave.when("{count:d} clients send {route}")
def when_clients_send(context, count, route):
    platform = context.platform
    path = platform_deployment.SWEEP_PATH if route == "sweeps" else "/rany330/1"

    async def send(number):
        headers = {
            "Host": platform_deployment.HOST,
            platform_names.HEADERS.request_id: f"q-{number}",
            platform_names.HEADERS.time_left: "2000",
        }
        client = http_client.HttpClient(address=platform.entry_address)
        try:
            return await client.request(
                "GET",
                path,
                headers=headers,
                timeout=datetime.timedelta(seconds=TIMEOUT_S),
            )
        finally:
            client.close()

    async def send_all():
        await platform.sweep_until(lambda reply: reply.status == 200)
        replies = []
        for number in range(count):
            replies.append(await send(number))
        return replies

    context.replies = context.runner_loop.run_until_complete(send_all())


@behave.then("each success is complete and names upstreams that replied completely")
def then_successes_complete(context):
    complete = set().union(*(each.complete_signatures for each in context.cutting))
    names = platform_names.HEADERS
    successes = [reply for reply in context.replies if reply.status < 300]
    assert len(successes) > len(context.replies) / 4, len(successes)
    for reply in successes:
        parts = reply.headers.get(names.part_signatures) or reply.headers.get(
            names.signature
        )
        signatures = [part.strip() for part in parts.split(",")]
        assert set(signatures) <= complete, (signatures, reply)
        is_sweep = names.part_signatures in reply.headers
        records = 5 if is_sweep and len(signatures) > 1 else 4
        assert reply.body == platform_deployment.RECORD * records, reply


@behave.then("replies were cut in the status line, the headers and the body")
def then_cut(context):
    regions = {region for each in context.cutting for region in each.cuts}
    assert regions == {"status line", "headers", "body"}, regions


@behave.given("a helper whose upstreams cut their replies at any byte")
def given_cutting_helper(context):
    context.reply = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nSignature: s\r\n"
        b"Content-Length: 32\r\n\r\n" + bytes(32)
    )


@behave.when("each of them is delegated to it")
def when_delegated(context):
    async def scenario(setup):
        addresses, servers = [], []
        for size in range(len(context.reply)):
            upstream = CuttingUpstream(
                reply=context.reply, size=size, end="closed", complete_count=0
            )
            server, address = await cut_replies.serve(upstream.answer)
            servers.append(server)
            addresses.append(address)
        setup.upstreams.addresses = addresses
        setup.delegate()
        async with asyncio.timeout(TIMEOUT_S):
            await setup.sink.ended.wait()
        for server in servers:
            server.close()

    context.setup = gathering.run_scenario(0, scenario)


@behave.then("it reports no part")
def then_no_part(context):
    outcomes = {
        attempt: outcome
        for report in context.setup.sink.reports
        for attempt, outcome in report.items()
    }
    assert len(outcomes) == len(context.reply), len(outcomes)
    for attempt, outcome in outcomes.items():
        assert isinstance(outcome, events.Failed), (attempt, outcome)
        assert context.setup.delegating.merged_part(attempt) is None, attempt
