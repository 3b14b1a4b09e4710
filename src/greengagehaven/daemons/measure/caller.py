"""Callers that send a load and verify the answers independently of the tier."""

import asyncio
import collections
import random
import time

import msgspec

from greengagehaven import exceptions, log
from greengagehaven.daemons import dev
from greengagehaven.daemons.measure import scenarios
from greengagehaven.protocol import codec, search
from greengagehaven.standin import dataset
from greengagehaven.transport import http_client

TIMEOUT_MS = 3000
RESEND_DELAY_S = 0.05


class Caller:
    """Sends the queries of a scenario and records their outcomes.

    :param seconds: length of the run.
    """

    def __init__(
        self, *, environment: dev.DevEnvironment, rng: random.Random, seconds: float
    ) -> None:
        self.latencies: list[float] = []
        self.latencies_since_fault: list[float] = []
        self.latencies_before_fault: list[float] = []
        self.has_fault = False
        self.coverages: list[float] = []
        self.complete = 0
        self.wrong_answers = 0
        self.answered_shards = 0
        self.counts_by_end: collections.Counter = collections.Counter()
        self._rng = rng
        self._seconds = seconds
        self._clients = [
            http_client.HttpClient(address=host.address) for host in environment.entries
        ]
        self._number = 0

    async def send(self, load: scenarios.Load) -> None:
        """Send a load; return when its last query has ended."""
        load_started = time.monotonic()
        tasks = []
        for send_time in self._send_times(load):
            due = load_started + send_time
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._number += 1
            for copy in range(load.resends + 1):
                query = self._send_query(load, self._number, copy, due)
                tasks.append(asyncio.create_task(query))
        await asyncio.gather(*tasks)

    def _send_times(self, load: scenarios.Load) -> list[float]:
        # Computed in advance, so that a slow tier does not get a lower load.
        send_times = []
        send_time = load.begin * self._seconds
        while (send_time := send_time + self._rng.expovariate(load.rate)) < (
            load.end * self._seconds
        ):
            send_times.append(send_time)
        return send_times

    def close(self) -> None:
        """Close every connection."""
        for client in self._clients:
            client.close()

    async def _send_query(
        self, load: scenarios.Load, number: int, copy: int, due: float
    ) -> None:
        await asyncio.sleep(copy * RESEND_DELAY_S)
        body = self._body(load, number)
        entry = number + copy if load.entry is None else load.entry
        headers = {
            "Authorization": f"Bearer {load.key}",
            "Request-Timeout-Ms": str(TIMEOUT_MS),
        }
        if load.kind == "retire":
            headers["Idempotency-Key"] = f"order-{number}"
        started = due + copy * RESEND_DELAY_S
        began_before_fault = not self.has_fault
        try:
            reply = await self._clients[entry % len(self._clients)].request(
                "POST", "/v1/search", body=codec.encode_json(body), headers=headers
            )
        except exceptions.UpstreamError as error:
            log.warning("caller_failed", kind=load.kind, detail=error.detail)
            self._record_outcome(load, "failed", started, began_before_fault)
            return
        if reply.status != 200:
            problem = codec.decode_json(reply.body, search.Problem)
            end = "refused" if problem.ran == "no" else "failed"
            self._record_outcome(load, end, started, began_before_fault)
            return
        self._check_answer(load, body, codec.decode_json(reply.body, search.Answer))
        self._record_outcome(load, "answered", started, began_before_fault)

    def _body(self, load: scenarios.Load, number: int) -> dict:
        query: dict = {"reference": f"q-{number}"}
        if load.kind != "sweep":
            credit = self._rng.randrange(dataset.CREDITS_PER_SERVICE)
            query["key"] = f"{load.services[0]}:{credit}"
        if load.kind == "retire":
            query = {"key": query["key"], "order": f"order-{number}"}
            query["key"] = f"{load.services[0]}:{number % dataset.CREDITS_PER_SERVICE}"
        if load.poison:
            query = {"poison": True}
        return {"services": load.services, "kind": load.kind, "query": query}

    def _record_outcome(
        self, load: scenarios.Load, end: str, started: float, began_before_fault: bool
    ) -> None:
        if not load.is_measured:
            return
        self.counts_by_end[end] += 1
        if end == "refused":
            return
        latency = time.monotonic() - started
        self.latencies.append(latency)
        if began_before_fault and not self.has_fault:
            self.latencies_before_fault.append(latency)
        elif not began_before_fault:
            self.latencies_since_fault.append(latency)

    def _check_answer(
        self, load: scenarios.Load, body: dict, answer: search.Answer
    ) -> None:
        coverage = answer.coverage
        self.answered_shards += coverage.answered
        if not self._is_correct(body, answer):
            self.wrong_answers += 1
        if load.is_measured:
            self.coverages.append(coverage.answered / max(1, coverage.total))
            self.complete += coverage.complete

    def _is_correct(self, body: dict, answer: search.Answer) -> bool:
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
