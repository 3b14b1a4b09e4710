"""Measure the unit costs of the query path on a host, for docs/CAPACITY.md.

    python tools/slopes_query.py

Prints one JSON object: for each unit cost its value and this command; the name ends
with the unit. Times are CPU time of this process rather than wall time, so that
other load on the machine has little effect.
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
from greengagehaven.transport import grpc_peers  # noqa: E402

COMMAND = "python tools/slopes_query.py"
FAN_OUT = 310
QUERIES = 60
PEER_CALLS = 600
HTTP_EXCHANGES = 2000
RUNS = 5


def main() -> None:
    """Measure every unit cost and print them as JSON."""
    unit_costs = {
        "h11_exchange_us": measure_h11_exchange(),
        "core_sub_request_us": measure_core(),
        "batch_codec_sub_request_us": measure_batch_codec(),
        **asyncio.run(measure_peer_calls()),
        **measure_documents(),
    }
    report = {
        name: {"value": round(value, 3), "command": COMMAND}
        for name, value in unit_costs.items()
    }
    print(json.dumps(report, indent=2))


def min_of_runs(measure) -> float:
    """Return the minimum of several runs, the one least disturbed by other load."""
    return min(measure() for _ in range(RUNS))


def cpu_us(call, count: int) -> float:
    """Return the mean CPU time of ``count`` calls, in microseconds."""
    started = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - started) / count * 1e6


def measure_h11_exchange() -> float:
    """Return the CPU time of an HTTP exchange on both sides, in microseconds.

    The exchange is one sub-request and its reply, passed without a socket.
    """
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

    def send(source: h11.Connection, target: h11.Connection, message) -> None:
        sent = source.send(message) + source.send(h11.Data(data=body))
        target.receive_data(sent + source.send(h11.EndOfMessage()))
        while not isinstance(target.next_event(), h11.EndOfMessage):
            pass

    return min_of_runs(lambda: cpu_us(exchange, HTTP_EXCHANGES // RUNS))


def measure_core() -> float:
    """Return the CPU time of routing one sub-request, in microseconds.

    It is measured on queries that fan out to 310 shards.
    """
    core = fake_core.CoreHarness()
    count = FAN_OUT
    core.apply_announcements(
        *(
            fake_core.announce(
                f"u-{shard}-{replica}", shards=(("credits-0", shard, count),)
            )
            for shard in range(count)
            for replica in range(2)
        )
    )
    query_numbers = iter(range(1_000_000))

    def run_query() -> None:
        core.submit(f"r-{next(query_numbers)}")
        for sub_request in list(core.in_flight.values()):
            core.reply(sub_request)

    run_query()
    return min_of_runs(lambda: cpu_us(run_query, QUERIES // RUNS)) / FAN_OUT


def measure_batch_codec() -> float:
    """Return the CPU time to encode and decode a sub-request, in microseconds.

    It is measured on batches of 310 sub-requests.
    """
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
    wire_batch = [
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

    def encode_and_decode() -> None:
        decoder.decode(codec.encode_msgpack(wire_batch))

    return min_of_runs(lambda: cpu_us(encode_and_decode, 40)) / FAN_OUT


class WireSubRequest(msgspec.Struct, frozen=True, array_like=True):
    """A sub-request as it would be encoded in a batch between hosts."""

    request_id: str
    attempt: int
    upstream_id: str
    shard_ref: upstream.ShardRef
    snapshot: int
    partitioning: int
    kind: str
    query: bytes


async def measure_peer_calls() -> dict[str, float]:
    """Return the CPU time of a call between hosts, in microseconds.

    It covers both sides, with bodies of 100 bytes and 30 kB.
    """
    system_clock = clock.SystemClock()

    async def echo(body: bytes) -> bytes:
        return body

    server = grpc_peers.GrpcPeerServer(
        handlers_by_method={"test/echo": echo}, token="t", clock=system_clock
    )
    address = await server.start("127.0.0.1", 0)
    client = grpc_peers.GrpcPeerClient(token="t", clock=system_clock)
    costs_us = {}
    for name, size in (("peer_call_us", 100), ("peer_call_30kb_us", 30_000)):
        body = random.Random(1).randbytes(size)
        await client.call(address, "test/echo", body, timeout=5.0)
        started = time.process_time()
        for _ in range(PEER_CALLS):
            await client.call(address, "test/echo", body, timeout=5.0)
        costs_us[name] = (time.process_time() - started) / PEER_CALLS * 1e6
    await client.close()
    await server.stop(datetime.timedelta(seconds=1))
    return costs_us


def measure_documents() -> dict[str, float]:
    """Return the CPU time and memory of a document per subscriber in it.

    CPU time and size are the difference between two documents, which leaves out
    their fixed part.
    """
    small, large = build_document(100), build_document(2100)
    parse_us = [
        min_of_runs(lambda data=data: cpu_us(lambda: document.parse(data), 1))
        for data in (small, large)
    ]
    tracemalloc.start()
    parsed = document.parse(large)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert parsed.subscribers_by_id
    return {
        "document_parse_subscriber_us": (parse_us[1] - parse_us[0]) / 2000,
        "document_subscriber_bytes": (len(large) - len(small)) / 2000,
        "document_subscriber_memory_bytes": memory / 2100,
    }


def build_document(subscribers: int) -> bytes:
    """Return an encoded document with this many subscribers."""
    lines = ["version = 1", "[services.credits-0]", "[kinds.sweep]"]
    for number in range(subscribers):
        lines.append(f"[subscribers.s-{number}]")
        lines.append(f'key_sha256 = ["{number:064x}"]')
        lines.append("share = 2.0")
    return "\n".join(lines).encode()


if __name__ == "__main__":
    main()
