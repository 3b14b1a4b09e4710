"""Stand-in upstream that serves rows and can misbehave like a real one.

It counts violations of the tier's rules independently of the tier; see
:class:`Counters`.
"""

import asyncio
import collections
import dataclasses
import random
import time
import typing

import msgspec

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.protocol import codec, upstream
from greengagehaven.standin import dataset
from greengagehaven.transport import http, http_client, http_server, upstream_wire

_BILLED_KINDS = frozenset({"retire"})
_RESTART_S = 1.0
_COLD_SLOWDOWN_FACTOR = 3.0
_WARM_RUNS_PER_SLOT = 8
_MAX_QUEUED_PER_SLOT = 16
_ANNOUNCE_RETRY_S = 0.2
_ECHOED_HEADERS = (
    "request-id",
    "attempt",
    "service",
    "shard",
    "snapshot",
    "partitioning",
)
_NOT_RUN_HEADERS = (("Not-Run", "true"),)


@dataclasses.dataclass(kw_only=True)
class Counters:
    """Counters of a set of stand-ins, independent of the tier.

    :param runs: sub-requests that began to run.
    :param arrived: sub-requests that asked for a slot.
    :param over_slots: sub-requests that found every slot taken.
    :param doubled: repeated runs of billed orders on the same shard.
    :param crashes: crashes caused by a poisoned query.
    :param violations_by_name: forbidden work and connections.
    :param billed: runs by (order, service, shard).
    """

    runs: int = 0
    arrived: int = 0
    over_slots: int = 0
    doubled: int = 0
    crashes: int = 0
    violations_by_name: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    billed: collections.Counter = dataclasses.field(default_factory=collections.Counter)

    def reset(self) -> None:
        """Reset the counters except ``billed``, which must still find later repeats."""
        self.runs = self.doubled = self.crashes = 0
        self.arrived = self.over_slots = 0
        self.violations_by_name.clear()

    def count_billed_run(self, order: tuple[str, str, str]) -> None:
        """Count a run of a billed order.

        :param order: (order, service, shard).
        """
        self.billed[order] += 1
        self.doubled += self.billed[order] > 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Properties of a stand-in; the defaults match typical upstreams.

    :param slots: sub-requests that run at once; more are queued.
    :param max_connections: connections above this are refused.
    :param connect_cost: extra seconds of the first run on a new connection.
    :param service_time: mean seconds of a run; each varies by 30 % either way.
    :param starts_cold: whether its capacity starts at one sub-request.
    :param cold_patience: sub-requests above its capacity that it survives while
        cold; one more crashes it.
    :param drain_bound: maximum seconds of a drain.
    :param drain_grace: seconds from the start of a drain after which new work is a
        violation.
    """

    id: str
    availability_zone: str
    shards: tuple[upstream.HostedShard, ...]
    snapshots: tuple[int, ...] = (41, 42)
    slots: int = 2
    max_connections: int = 25
    connect_cost: float = 0.006
    service_time: float = 0.004
    starts_cold: bool = False
    cold_patience: int = 3
    drain_bound: float = 10.0
    drain_grace: float = 3.0


class _ConnectionLimitingServer(http_server.HttpServer):
    """HTTP server that enforces the connection limit of its upstream."""

    upstream: "StandinUpstream"

    def connection_opened(self, connection: typing.Any) -> bool:
        if self.connection_count >= self.upstream.options.max_connections:
            self.upstream.record_violation("connections_over_cap")
            return False
        return super().connection_opened(connection)

    def connection_closed(self, connection: typing.Any) -> None:
        super().connection_closed(connection)
        self.upstream.known_peers.discard(connection.peer)


class StandinUpstream:
    """One stand-in upstream.

    Tests and scenarios may set these attributes at any time: ``speed_factor``
    multiplies service times, ``load_override`` is a load report sent in place of the
    true one, ``fails_fast`` answers every sub-request with status 500 at once.

    :param options: properties of the upstream.
    :param entries: addresses of entry hosts; it announces to one of them at a time.
    :param counters: counters, which several stand-ins may share.
    :param rng: for service times; default: seeded with the upstream's id.
    """

    def __init__(
        self,
        *,
        options: Options,
        entries: typing.Sequence[str] = (),
        counters: Counters | None = None,
        rng: random.Random | None = None,
        clock: clocks.Clock | None = None,
    ) -> None:
        self.options = options
        self.counters = counters or Counters()
        self.speed_factor = 1.0
        self.load_override: upstream.LoadReport | None = None
        self.fails_fast = False
        self.known_peers: set[str] = set()
        self.address = ""
        self.snapshots = options.snapshots
        self.shards = options.shards
        self._entries = list(entries)
        self._rng = rng or random.Random(options.id)
        self._clock = clock or clocks.SystemClock()
        self._server: _ConnectionLimitingServer | None = None
        self._announce_task: asyncio.Task | None = None
        self._changed = asyncio.Event()
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._state = upstream.UpstreamState.READY
        self._no_new_work_after: float | None = None
        self._running = 0
        self._queue: collections.deque[asyncio.Future] = collections.deque()
        self._futures_by_work_id: dict[tuple[str, str], asyncio.Future] = {}
        self._warm_runs: int | None = 0 if options.starts_cold else None
        self._cold_overload_count = 0
        self._restart_task: asyncio.Task | None = None
        self._index_shards()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start serving and announcing; return the bound ``IP:PORT``."""
        server = _ConnectionLimitingServer(handler=self._handle, clock=self._clock)
        server.upstream = self
        self.address = await server.start(host, port)
        self._server = server
        if self._entries:
            loop = asyncio.get_running_loop()
            self._announce_task = loop.create_task(self._announce_forever())
        return self.address

    async def stop(self) -> None:
        """Stop at once without withdrawing the announcement, like a lost host."""
        tasks = [task for task in (self._announce_task, self._restart_task) if task]
        self._announce_task = self._restart_task = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            await self._server.close()
            self._server = None

    @property
    def in_flight(self) -> int:
        """Return the number of running and queued sub-requests."""
        return self._running + len(self._queue)

    async def close(self) -> None:
        """Stop at once; same as :meth:`stop`."""
        await self.stop()

    async def drain(self) -> int:
        """Announce ``draining``, finish sub-requests, withdraw and stop.

        :return: number of sub-requests that were cut off.
        """
        bound = self.options.drain_bound
        self.update_announcement(state=upstream.UpstreamState.DRAINING)
        started_at = self._clock.monotonic()
        grace = self.options.drain_grace
        self._no_new_work_after = started_at + grace
        end = started_at + bound
        earliest_end = started_at + min(grace, bound)
        while self._clock.monotonic() < end:
            if not self.in_flight and self._clock.monotonic() >= earliest_end:
                break
            await asyncio.sleep(0.02)
        remaining = self.in_flight
        await self._withdraw()
        await self.stop()
        return remaining

    def update_announcement(
        self,
        *,
        state: upstream.UpstreamState | None = None,
        snapshots: tuple[int, ...] | None = None,
        shards: tuple[upstream.HostedShard, ...] | None = None,
    ) -> None:
        """Change and send the announcement; ``None`` keeps a value."""
        self._state = state or self._state
        self.snapshots = snapshots or self.snapshots
        self.shards = shards or self.shards
        self._index_shards()
        self._changed.set()

    def forbid_new_work(self, after: float | None) -> None:
        """Count new work as a violation from ``after`` seconds from now on.

        For a zone drained by operators, of which the upstream itself is not told.

        :param after: seconds; ``None`` to stop counting.
        """
        now = self._clock.monotonic()
        self._no_new_work_after = None if after is None else now + after

    def reset_warm_up(self) -> None:
        """Become cold again without announcing it."""
        self._warm_runs = self._cold_overload_count = 0

    def silence_connections(self, fraction: float = 1.0) -> int:
        """Stop reading and writing on open connections; new connections work.

        :param fraction: share of the open connections.
        :return: number of silenced connections.
        """
        return (
            0 if self._server is None else self._server.blackhole_connections(fraction)
        )

    def record_violation(self, name: str) -> None:
        """Count a violation of a rule by the tier."""
        self.counters.violations_by_name[name] += 1
        log.debug("standin_violation", upstream=self.options.id, name=name)

    def crash(self) -> None:
        """Reset every connection and restart cold after ``_RESTART_S`` seconds."""
        if self._restart_task is None and self._server is not None:
            self._restart_task = asyncio.get_running_loop().create_task(
                self._restart_after_crash()
            )

    async def _restart_after_crash(self) -> None:
        server = typing.cast(_ConnectionLimitingServer, self._server)
        host, _, port = self.address.rpartition(":")
        await server.close()
        await asyncio.sleep(_RESTART_S)
        self._incarnation = max(self._incarnation + 1, time.time_ns() // 1_000_000)
        self._sequence = 0
        self.reset_warm_up()
        server = _ConnectionLimitingServer(handler=self._handle, clock=self._clock)
        server.upstream = self
        await server.start(host, int(port))
        self._server = server
        self._restart_task = None
        self._changed.set()

    def _index_shards(self) -> None:
        self._credits_by_shard = {
            (hosted.service, str(hosted.shard), str(hosted.partitioning)): (
                dataset.credits_of(hosted.service, hosted.shard, hosted.shard_count)
            )
            for hosted in self.shards
        }

    async def _handle(self, request: http.Request) -> http.Response:
        if request.method == "DELETE":
            return self._cancel(request.path)
        if (request.method, request.path) != ("POST", upstream_wire.SEARCH_PATH):
            raise exceptions.NotFoundError(request.path)
        echo = tuple((name, request.headers.get(name, "")) for name in _ECHOED_HEADERS)
        refusal = self._refuse(request, dict(echo))
        if refusal is not None:
            return self._reply(*refusal, echo)
        return await self._serve(request, echo)

    def _refuse(
        self, request: http.Request, echo: dict[str, str]
    ) -> tuple[int, tuple[tuple[str, str], ...]] | None:
        shard = (echo["service"], echo["shard"], echo["partitioning"])
        held = echo["snapshot"] in map(str, self.snapshots)
        if self._is_past_drain_grace():
            self.record_violation("work_after_drain")
            return 503, _NOT_RUN_HEADERS
        if not held or shard not in self._credits_by_shard:
            return 409, _NOT_RUN_HEADERS
        if self.fails_fast:
            return 500, ()
        if len(self._queue) >= self.options.slots * _MAX_QUEUED_PER_SLOT:
            self.record_violation("queue_over_bound")
            return 503, (*_NOT_RUN_HEADERS, ("Retry-After", "1"))
        return None

    def _is_past_drain_grace(self) -> bool:
        if self._no_new_work_after is None:
            return False
        return self._clock.monotonic() > self._no_new_work_after

    async def _serve(
        self, request: http.Request, echo: tuple[tuple[str, str], ...]
    ) -> http.Response:
        deadline = int(request.headers.get("deadline-ms", "1000")) / 1000
        end = self._clock.monotonic() + deadline
        if self.in_flight >= self.options.slots:
            self.record_violation("work_over_slots")
        if self._record_cold_overload():
            self.record_violation("cold_overrun")
            self.crash()
        if not await self._acquire_slot(_work_id(echo), deadline):
            return self._reply(503, _NOT_RUN_HEADERS, echo)
        try:
            return await self._run(request, echo, end)
        finally:
            self._release_slot()

    def _record_cold_overload(self) -> bool:
        """Count work above the capacity while cold; return whether it crashes."""
        if self._warm_runs is None:
            return False
        capacity = 1 + self._warm_runs // _WARM_RUNS_PER_SLOT
        if capacity > self.options.slots * 2:
            self._warm_runs = None
            return False
        if self.in_flight >= capacity:
            self._cold_overload_count += 1
        return self._cold_overload_count > self.options.cold_patience

    async def _acquire_slot(self, work_id: tuple[str, str], timeout: float) -> bool:
        self.counters.arrived += 1
        if self._running < self.options.slots:
            self._running += 1
            return True
        self.counters.over_slots += 1
        waiter = asyncio.get_running_loop().create_future()
        self._queue.append(waiter)
        try:
            return await self._wait(work_id, waiter, timeout, timeout_result=False)
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled() and waiter.result():
                self._release_slot()
            raise
        finally:
            if waiter in self._queue:
                self._queue.remove(waiter)

    async def _wait(
        self,
        work_id: tuple[str, str],
        future: asyncio.Future,
        seconds: float,
        *,
        timeout_result: bool,
    ) -> bool:
        # A cancel call of the tier resolves the future with False.
        self._futures_by_work_id[work_id] = future
        loop = asyncio.get_running_loop()
        timer = loop.call_later(seconds, _set_result, future, timeout_result)
        try:
            return await future
        finally:
            timer.cancel()
            self._futures_by_work_id.pop(work_id, None)

    def _release_slot(self) -> None:
        while self._queue:
            waiter = self._queue.popleft()
            if not waiter.done():
                waiter.set_result(True)
                return
        self._running -= 1

    async def _run(
        self, request: http.Request, echo: tuple[tuple[str, str], ...], end: float
    ) -> http.Response:
        body = codec.decode_json(request.body, upstream.ShardSearchBody)
        query = msgspec.json.decode(body.query)
        headers = dict(echo)
        self.counters.runs += 1
        if query.get("poison"):
            self.counters.crashes += self._restart_task is None
            self.crash()
        if body.kind in _BILLED_KINDS:
            order = str(query.get("order", headers["request-id"]))
            self.counters.count_billed_run(
                (order, headers["service"], headers["shard"])
            )
        seconds = self._service_seconds(request.peer)
        time_left_s = max(0.0, end - self._clock.monotonic())
        future = asyncio.get_running_loop().create_future()
        work_id = _work_id(echo)
        is_finished = await self._wait(
            work_id, future, min(seconds, time_left_s), timeout_result=True
        )
        if not is_finished or seconds > time_left_s:
            return self._reply(504, (), echo)
        if self._warm_runs is not None:
            self._warm_runs += 1
        shard = (headers["service"], headers["shard"], headers["partitioning"])
        credits_held = self._credits_by_shard.get(shard, [])
        rows = dataset.find_rows(credits_held, query, int(headers["snapshot"]))
        return self._reply(200, (), echo, codec.encode_json({"rows": rows}))

    def _service_seconds(self, peer: str) -> float:
        seconds = self.options.service_time * self._rng.uniform(0.7, 1.3)
        if self._warm_runs is not None:
            seconds *= _COLD_SLOWDOWN_FACTOR
        if peer not in self.known_peers:
            self.known_peers.add(peer)
            seconds += self.options.connect_cost
        return seconds * self.speed_factor

    def _cancel(self, path: str) -> http.Response:
        parts = path.removeprefix(upstream_wire.SEARCH_PATH + "/").split("/")
        future = self._futures_by_work_id.get((parts[0], parts[-1]))
        if future is None:
            return http.Response(status=404)
        _set_result(future, False)
        return http.Response(status=200)

    def _reply(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        echo: tuple[tuple[str, str], ...],
        body: bytes = b"",
    ) -> http.Response:
        load = self.load_override or self._load()
        text = f"in_flight={load.in_flight}, queued={load.queued}"
        return http.Response(
            status=status, body=body, headers=(*headers, *echo, ("Load", text))
        )

    def _load(self) -> upstream.LoadReport:
        return upstream.LoadReport(in_flight=self._running, queued=len(self._queue))

    def _announcement(self) -> upstream.Announcement:
        self._sequence += 1
        return upstream.Announcement(
            id=self.options.id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            address=self.address,
            availability_zone=self.options.availability_zone,
            state=self._state,
            slots=self.options.slots,
            max_connections=self.options.max_connections,
            snapshots=self.snapshots,
            shards=self.shards,
            load=self.load_override or self._load(),
        )

    async def _announce_forever(self) -> None:
        client = http_client.HttpClient(address=self._entries[0], clock=self._clock)
        try:
            while True:
                self._changed.clear()
                pause = _ANNOUNCE_RETRY_S
                if self._restart_task is None:
                    pause = await self._announce(client)
                if pause == _ANNOUNCE_RETRY_S and self._restart_task is None:
                    client.close()
                    self._entries.append(self._entries.pop(0))
                    client = http_client.HttpClient(
                        address=self._entries[0], clock=self._clock
                    )
                try:
                    await asyncio.wait_for(self._changed.wait(), pause)
                except TimeoutError:
                    continue
        finally:
            client.close()

    async def _announce(self, client: http_client.HttpClient) -> float:
        body = codec.encode_json(self._announcement())
        try:
            reply = await client.request("POST", "/v1/announce", body=body)
            lease = codec.decode_json(reply.body, upstream.Lease)
        except exceptions.GreengagehavenError as error:
            log.debug("announce_failed", upstream=self.options.id, detail=error)
            return _ANNOUNCE_RETRY_S
        return lease.renew_ms / 1000

    async def _withdraw(self) -> None:
        if not self._entries:
            return
        client = http_client.HttpClient(address=self._entries[0], clock=self._clock)
        target = f"/v1/announce/{self.options.id}?incarnation={self._incarnation}"
        try:
            await client.request("DELETE", target)
        except exceptions.GreengagehavenError as error:
            log.debug("withdraw_failed", upstream=self.options.id, detail=error)
        finally:
            client.close()


def _work_id(echo: tuple[tuple[str, str], ...]) -> tuple[str, str]:
    values = dict(echo)
    return values["request-id"], values["attempt"]


def _set_result(future: asyncio.Future, result: bool) -> None:
    if not future.done():
        future.set_result(result)
