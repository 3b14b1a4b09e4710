"""Measure processor time per sub-request: channel and server, both sides.

Run ``python tools/channel_cost.py``; one process, one loop, loopback.
"""

import asyncio
import itertools
import sys
import time

import msgspec

from greengagehaven import clock
from greengagehaven.protocol import upstream
from greengagehaven.transport import http, http_server, upstream_channel

ECHOED = ("request-id", "attempt", "service", "shard", "snapshot", "partitioning")
ROWS = b'{"rows": [' + b",".join([b'{"credit": "credits-0:1"}'] * 4) + b"]}"
CONCURRENT = 16
SUB_REQUESTS = 6000
REPEATS = 3


async def answer(request: http.Request) -> http.Response:
    """Answer as an upstream that works for no time at all."""
    headers = [(name, request.headers[name]) for name in ECHOED]
    headers.append(("Load", "in_flight=1, queued=0"))
    return http.Response(status=200, body=ROWS, headers=tuple(headers))


async def measure() -> float:
    """Return microseconds of processor time per sub-request."""
    server = http_server.HttpServer(handler=answer)
    address = await server.start()
    channel = upstream_channel.DirectChannel(limit_of=lambda upstream_id: CONCURRENT)
    numbers = itertools.count()
    done = asyncio.get_running_loop().create_future()
    left = SUB_REQUESTS
    system_clock = clock.SystemClock()

    def send(count: int) -> None:
        batch = [
            upstream.SubRequest(
                request_id="r-0944ff15949056e32bf0cf93482e389c",
                attempt=next(numbers),
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
        channel.dispatch(batch, take)

    def take(outcome: upstream.Outcome) -> None:
        nonlocal left
        assert isinstance(outcome, upstream.Replied), outcome
        left -= 1
        if left >= CONCURRENT:
            send(1)
        elif left == 0:
            done.set_result(None)

    started = time.process_time()
    send(CONCURRENT)
    await done
    spent = time.process_time() - started
    channel.close()
    await server.close()
    return spent / SUB_REQUESTS * 1e6


def main() -> int:
    """Print the least of a few repeats."""
    figures = [asyncio.run(measure()) for _ in range(REPEATS)]
    shown = ", ".join(f"{figure:.0f}" for figure in figures)
    print(f"us per sub-request, both sides: {shown}; least {min(figures):.0f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
