"""Callers that send a load and check what they get, apart from the tier."""

import asyncio
import collections
import random
import time

import msgspec

from greengagehaven import exceptions, log
from greengagehaven.daemons import dev
from greengagehaven.daemons.measure import scenarios
from greengagehaven.protocol import codec, search
from greengagehaven.standin import register
from greengagehaven.transport import http_client

PATIENCE_MS = 3000
RESEND_S = 0.05


class Caller:
    """Sends the queries of a scenario and remembers how they ended.

    :param seconds: length of the run.
    """

    def __init__(
        self, *, environment: dev.Dev, rng: random.Random, seconds: float
    ) -> None:
        self.latencies: list[float] = []
        self.latencies_since_fault: list[float] = []
        self.latencies_in_calm: list[float] = []
        self.has_fault = False
        self.coverages: list[float] = []
        self.complete = 0
        self.wrong = 0
        self.answered_shards = 0
        self.counts_by_end: collections.Counter = collections.Counter()
        self._rng = rng
        self._seconds = seconds
        self._clients = [
            http_client.HttpClient(address=host.address) for host in environment.entries
        ]
        self._number = 0

    async def send(self, load: scenarios.Load) -> None:
        """Send a load; returns when its last query ended."""
        begun = time.monotonic()
        tasks = []
        for moment in self._moments(load):
            due = begun + moment
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._number += 1
            for copy in range(load.resends + 1):
                ask = self._ask(load, self._number, copy, due)
                tasks.append(asyncio.create_task(ask))
        await asyncio.gather(*tasks)

    def _moments(self, load: scenarios.Load) -> list[float]:
        # Fixed beforehand, so that a slow tier does not get a lighter load.
        moments = []
        moment = load.begin * self._seconds
        while (moment := moment + self._rng.expovariate(load.rate)) < (
            load.end * self._seconds
        ):
            moments.append(moment)
        return moments

    def close(self) -> None:
        """Close every connection."""
        for client in self._clients:
            client.close()

    async def _ask(
        self, load: scenarios.Load, number: int, copy: int, due: float
    ) -> None:
        await asyncio.sleep(copy * RESEND_S)
        body = self._body(load, number)
        entry = number + copy if load.entry is None else load.entry
        headers = {
            "Authorization": f"Bearer {load.key}",
            "Request-Timeout-Ms": str(PATIENCE_MS),
        }
        if load.kind == "retire":
            headers["Idempotency-Key"] = f"order-{number}"
        started = due + copy * RESEND_S
        began_in_calm = not self.has_fault
        try:
            reply = await self._clients[entry % len(self._clients)].request(
                "POST", "/v1/search", body=codec.encode_json(body), headers=headers
            )
        except exceptions.UpstreamError as error:
            log.warning("caller_failed", kind=load.kind, detail=error.detail)
            self._end(load, "failed", started, began_in_calm)
            return
        if reply.status != 200:
            problem = codec.decode_json(reply.body, search.Problem)
            end = "refused" if problem.ran == "no" else "failed"
            self._end(load, end, started, began_in_calm)
            return
        self._take_answer(load, body, codec.decode_json(reply.body, search.Answer))
        self._end(load, "answered", started, began_in_calm)

    def _body(self, load: scenarios.Load, number: int) -> dict:
        query: dict = {"reference": f"q-{number}"}
        if load.kind != "sweep":
            credit = self._rng.randrange(register.CREDITS_PER_SERVICE)
            query["key"] = f"{load.services[0]}:{credit}"
        if load.kind == "retire":
            query = {"key": query["key"], "order": f"order-{number}"}
            query["key"] = f"{load.services[0]}:{number % register.CREDITS_PER_SERVICE}"
        if load.poison:
            query = {"poison": True}
        return {"services": load.services, "kind": load.kind, "query": query}

    def _end(
        self, load: scenarios.Load, end: str, started: float, began_in_calm: bool
    ) -> None:
        if not load.is_judged:
            return
        self.counts_by_end[end] += 1
        if end == "refused":
            return
        latency = time.monotonic() - started
        self.latencies.append(latency)
        if began_in_calm and not self.has_fault:
            self.latencies_in_calm.append(latency)
        elif not began_in_calm:
            self.latencies_since_fault.append(latency)

    def _take_answer(
        self, load: scenarios.Load, body: dict, answer: search.Answer
    ) -> None:
        coverage = answer.coverage
        self.answered_shards += coverage.answered
        if not self._is_right(body, answer):
            self.wrong += 1
        if load.is_judged:
            self.coverages.append(coverage.answered / max(1, coverage.total))
            self.complete += coverage.complete

    def _is_right(self, body: dict, answer: search.Answer) -> bool:
        query = body["query"]
        seen = collections.Counter()
        for result in answer.results:
            row = msgspec.json.decode(result.row)
            seen[row["credit"]] += 1
            is_own = row.get("reference") == query.get("reference")
            is_asked = query.get("key", row["credit"]) == row["credit"]
            of_service = row["credit"].startswith(f"{result.service}:")
            if not (is_own and is_asked and of_service):
                return False
            if (
                row["snapshot"] != answer.snapshot
                or result.service not in body["services"]
            ):
                return False
        covered = {result.service for result in answer.results}
        is_whole = body["kind"] == "sweep" and answer.coverage.complete
        if is_whole and covered != set(body["services"]):
            return False
        return all(count == 1 for count in seen.values())
