"""Measure what the query path costs a host, as slopes for docs/CAPACITY.md.

    python tools/slopes_query.py

Prints one JSON object: for each slope its value, unit and this command. Costs
are processor time of this process, so that a busy machine changes little.
"""

import asyncio
import datetime
import json
import pathlib
import random
import sys
import time
import tracemalloc

import h11
import msgspec

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "features"))

from fakes import core as fake_core  # noqa: E402
from greengagehaven import clock  # noqa: E402
from greengagehaven.protocol import codec, upstream  # noqa: E402
from greengagehaven.state import document  # noqa: E402
from greengagehaven.transport import peers  # noqa: E402

COMMAND = "python tools/slopes_query.py"
FAN_OUT = 310
QUERIES = 60
CALLS = 600
EXCHANGES = 2000
ROUNDS = 5


def main() -> None:
    """Measure every slope and print them."""
    slopes = {
        "h11_exchange_us": measure_h11_exchange(),
        "core_sub_request_us": measure_core(),
        "batch_codec_sub_request_us": measure_batch_codec(),
        **asyncio.run(measure_peer_calls()),
        **measure_documents(),
    }
    report = {
        name: {"value": round(value, 3), "command": COMMAND}
        for name, value in slopes.items()
    }
    print(json.dumps(report, indent=2))


def best_of(measure) -> float:
    """Return the smallest of several readings, the least disturbed one."""
    return min(measure() for _ in range(ROUNDS))


def processor_us(call, count: int) -> float:
    """Return processor time of each of ``count`` calls, in microseconds."""
    started = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - started) / count * 1e6


def measure_h11_exchange() -> float:
    """One sub-request and its reply, both sides, without a socket."""
    headers = [
        ("Host", "127.0.0.1:9001"),
        ("Request-Id", "0123456789abcdef-0001"),
        ("Attempt", "17"),
        ("Deadline-Ms", "1900"),
        ("Service", "credits-0"),
        ("Shard", "0"),
        ("Snapshot", "41"),
        ("Partitioning", "3"),
    ]
    body = b'{"kind":"sweep","query":{"holder":"someone"}}'
    client = h11.Connection(our_role=h11.CLIENT)
    server = h11.Connection(our_role=h11.SERVER)

    def exchange() -> None:
        length = [("Content-Length", str(len(body)))]
        request = h11.Request(
            method="POST", target="/v1/shard/search", headers=headers + length
        )
        send(client, server, request)
        reply = h11.Response(status_code=200, headers=headers[1:] + length)
        send(server, client, reply)
        client.start_next_cycle()
        server.start_next_cycle()

    def send(source: h11.Connection, target: h11.Connection, head) -> None:
        sent = source.send(head) + source.send(h11.Data(data=body))
        target.receive_data(sent + source.send(h11.EndOfMessage()))
        while not isinstance(target.next_event(), h11.EndOfMessage):
            pass

    return best_of(lambda: processor_us(exchange, EXCHANGES // ROUNDS))


def measure_core() -> float:
    """Decisions for one sub-request of a query that is 310 wide."""
    tier = fake_core.FakeTier()
    count = FAN_OUT
    tier.put(
        *(
            fake_core.announce(
                f"u-{shard}-{replica}", shards=(("credits-0", shard, count),)
            )
            for shard in range(count)
            for replica in range(2)
        )
    )
    numbers = iter(range(1_000_000))

    def run_query() -> None:
        tier.submit(f"r-{next(numbers)}")
        for sub_request in list(tier.in_flight.values()):
            tier.reply(sub_request)

    run_query()
    return best_of(lambda: processor_us(run_query, QUERIES // ROUNDS)) / FAN_OUT


def measure_batch_codec() -> float:
    """Encoding and decoding one sub-request within a batch of 310."""
    batch = [
        upstream.SubRequest(
            request_id="0123456789abcdef-0001",
            attempt=number,
            upstream_id=f"u-{number}",
            incarnation=1733180000,
            address="10.0.0.1:9001",
            shard_ref=upstream.ShardRef("credits-0", number),
            snapshot=41,
            partitioning=3,
            deadline=12345.678,
            kind="sweep",
            query=msgspec.Raw(b'{"holder":"someone"}'),
        )
        for number in range(FAN_OUT)
    ]
    decoder = msgspec.msgpack.Decoder(list[WireSubRequest])
    wire = [
        WireSubRequest(
            request_id=item.request_id,
            attempt=item.attempt,
            upstream_id=item.upstream_id,
            shard_ref=item.shard_ref,
            snapshot=item.snapshot,
            partitioning=item.partitioning,
            kind=item.kind,
            query=bytes(item.query),
        )
        for item in batch
    ]

    def convert() -> None:
        decoder.decode(codec.encode_msgpack(wire))

    return best_of(lambda: processor_us(convert, 40)) / FAN_OUT


class WireSubRequest(msgspec.Struct, frozen=True, array_like=True):
    """A sub-request as it would travel in a batch between hosts."""

    request_id: str
    attempt: int
    upstream_id: str
    shard_ref: upstream.ShardRef
    snapshot: int
    partitioning: int
    kind: str
    query: bytes


async def measure_peer_calls() -> dict[str, float]:
    """One call between hosts, both sides, small and with a batch of 30 KB."""
    system_clock = clock.SystemClock()

    async def echo(body: bytes) -> bytes:
        return body

    server = peers.PeerServer(
        handlers_by_method={"test/echo": echo}, token="t", clock=system_clock
    )
    address = await server.start("127.0.0.1", 0)
    client = peers.PeerClient(token="t", clock=system_clock)
    costs = {}
    for name, size in (("peer_call_us", 100), ("peer_call_30kb_us", 30_000)):
        body = random.Random(1).randbytes(size)
        await client.call(address, "test/echo", body, timeout=5.0)
        started = time.process_time()
        for _ in range(CALLS):
            await client.call(address, "test/echo", body, timeout=5.0)
        costs[name] = (time.process_time() - started) / CALLS * 1e6
    await client.close()
    await server.stop(datetime.timedelta(seconds=1))
    return costs


def measure_documents() -> dict[str, float]:
    """Checking and holding a document, for each subscriber in it."""
    small, large = build_document(100), build_document(2100)
    per_parse = [
        best_of(lambda data=data: processor_us(lambda: document.parse(data), 1))
        for data in (small, large)
    ]
    tracemalloc.start()
    held = document.parse(large)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held.subscribers_by_id
    return {
        "document_parse_subscriber_us": (per_parse[1] - per_parse[0]) / 2000,
        "document_subscriber_bytes": (len(large) - len(small)) / 2000,
        "document_subscriber_memory_bytes": memory / 2100,
    }


def build_document(subscribers: int) -> bytes:
    """Return a document with this many subscribers."""
    lines = ["version = 1", "[services.credits-0]", "[kinds.sweep]"]
    for number in range(subscribers):
        lines.append(f"[subscribers.s-{number}]")
        lines.append(f'key_sha256 = ["{number:064x}"]')
        lines.append("share = 2.0")
    return "\n".join(lines).encode()


if __name__ == "__main__":
    main()
