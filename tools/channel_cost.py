"""Measure the CPU time of a sub-request on the upstream channel and the server.

    python tools/channel_cost.py

Client and server share one process and one event loop and talk over loopback.
The reported time is that of both sides together.
"""

import asyncio
import itertools
import sys
import time

import msgspec

from greengagehaven import clock
from greengagehaven.protocol import upstream
from greengagehaven.transport import direct_channel, http, http_server

ECHOED_HEADERS = (
    "request-id",
    "attempt",
    "service",
    "shard",
    "snapshot",
    "partitioning",
)
RESPONSE_BODY = b'{"rows": [' + b",".join([b'{"credit": "credits-0:1"}'] * 4) + b"]}"
CONCURRENCY = 16
SUB_REQUESTS = 6000
RUNS = 3


async def handle_search(request: http.Request) -> http.Response:
    """Answer at once, like an upstream whose service time is zero."""
    headers = [(name, request.headers[name]) for name in ECHOED_HEADERS]
    headers.append(("Load", "in_flight=1, queued=0"))
    return http.Response(status=200, body=RESPONSE_BODY, headers=tuple(headers))


async def measure() -> float:
    """Return the CPU time per sub-request, in microseconds."""
    server = http_server.HttpServer(handler=handle_search)
    address = await server.start()
    channel = direct_channel.DirectChannel(
        max_connections_of=lambda upstream_id: CONCURRENCY
    )
    attempt_numbers = itertools.count()
    finished = asyncio.get_running_loop().create_future()
    remaining = SUB_REQUESTS
    system_clock = clock.SystemClock()

    def send(count: int) -> None:
        batch = [
            upstream.SubRequest(
                request_id="r-0944ff15949056e32bf0cf93482e389c",
                attempt=next(attempt_numbers),
                upstream_id="u-1",
                incarnation=1,
                address=address,
                shard_ref=upstream.ShardRef("credits-0", 0),
                snapshot=42,
                partitioning=3,
                deadline=system_clock.monotonic() + 2,
                kind="sweep",
                query=msgspec.Raw(b"{}"),
            )
            for _ in range(count)
        ]
        channel.dispatch(batch, handle_outcome)

    def handle_outcome(outcome: upstream.Outcome) -> None:
        nonlocal remaining
        assert isinstance(outcome, upstream.Replied), outcome
        remaining -= 1
        if remaining >= CONCURRENCY:
            send(1)
        elif remaining == 0:
            finished.set_result(None)

    started = time.process_time()
    send(CONCURRENCY)
    await finished
    cpu_s = time.process_time() - started
    channel.close()
    await server.close()
    return cpu_s / SUB_REQUESTS * 1e6


def main() -> int:
    """Print the CPU time of each run and their minimum."""
    times_us = [asyncio.run(measure()) for _ in range(RUNS)]
    shown = ", ".join(f"{time_us:.0f}" for time_us in times_us)
    print(f"us per sub-request, both sides: {shown}; minimum {min(times_us):.0f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
