"""A late copy of a rejection is taken for the answer to the next send of a request."""

import asyncio
import collections
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import stage as stages  # noqa: E402

REQUESTS_PER_S = 200.0
ROUNDS = 14
ROUND_S = 5.0
PAUSE_S = 0.5
SHED_SHARE = 0.2
EXTRA_SHARE = 0.04


class GreyLeaf(stages.Leaf):
    """A leaf that rejects a part of its requests and sends some answers twice."""

    shed = 0.0
    extra = 0.0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        late = b""
        try:
            while (request := await stages.read_message(reader)) is not None:
                if late:
                    # The extra response arrives where the next one is expected.
                    writer.write(late)
                    self.stage.record.add(f"extra answer from {self.name}")
                    late = b""
                    await asyncio.sleep(0.001)
                answer = await self._answer(request)
                writer.write(answer)
                if random.random() < self.extra:
                    late = answer
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: stages.Message) -> bytes:
        is_for_it = request.header("Expect-Instance") == self.name
        if is_for_it and random.random() < self.shed:
            return self._reject(request, 503, "Shed")
        return await super()._answer(request)


def set_trouble(leafs: list[GreyLeaf], *, shed: float, extra: float) -> None:
    """Let two of three leafs reject requests, and one of them answer twice."""
    for leaf in leafs[:2]:
        leaf.shed = shed
    leafs[0].extra = extra


async def scenario(stage: stages.Stage, has_trouble: bool) -> bool:
    """Return whether a request that isn't idempotent ran twice, or was refused."""
    record, operator = stage.record, stages.Operator(stage=stage)
    clients = stages.Clients(stage=stage)
    await stage.start()
    leafs = [
        GreyLeaf(
            stage=stage,
            name=f"i-{number}",
            service="billing",
            zone=zone,
            number=number,
            slots=6,
            queue=24,
        )
        for number, zone in enumerate(stage.zones)
    ]
    for leaf in leafs:
        await leaf.start()
    routes = [
        stages.route("bill", type="non_idempotent", backend="billing", attempts=2)
    ]
    await operator.configure(stages.configuration(1, routes, {"billing": 110}))
    await stage.wait_ready()
    await asyncio.sleep(4.0)
    await leafs[2].tell("draining")
    await asyncio.sleep(stage.bounds["drainMs"] / 1000 + 1.0)
    await leafs[2].stop()
    load = asyncio.create_task(
        clients.load(
            "/bill/2f",
            per_s=REQUESTS_PER_S,
            until=record.now + ROUNDS * (ROUND_S + PAUSE_S),
            method="POST",
            body=b"{}",
        )
    )
    for _ in range(ROUNDS if has_trouble else 0):
        set_trouble(leafs, shed=SHED_SHARE, extra=EXTRA_SHARE)
        await asyncio.sleep(ROUND_S)
        set_trouble(leafs, shed=0.0, extra=0.0)
        await asyncio.sleep(PAUSE_S)
    await load
    runs = collections.Counter(run.request_id for leaf in leafs for run in leaf.runs)
    twice = [request_id for request_id, count in runs.items() if count > 1]
    refused = [
        sent.request_id
        for sent in clients.sent
        if sent.status in (408, 421, 429, 503) and runs[sent.request_id]
    ]
    record.add(f"status: {collections.Counter(s.status for s in clients.sent)}")
    record.add(f"ran twice: {twice}; refused although run: {refused}")
    return bool(twice or refused)


if __name__ == "__main__":
    stages.main(scenario, stages.Stage(case_folder=HERE))
