"""Seeded soak of entry hosts that are stopped and started while all else changes."""

import asyncio
import collections
import contextlib
import copy
import functools
import itertools
import random
import re
import shutil
import signal
import tempfile

from fakes import stop_load, stop_upstreams

LIFE_S = (1.5, 6.0)
"""Seconds from the readiness of a host to its first signal."""

JOINT_PERIOD_S = 5.0
"""Half of the stops are moved to a multiple of this, so that hosts stop together."""

WORK_S = (0.01, 1.5)
SWEEP_WORK_S = (0.01, 0.5)
LARGE_BYTES = 249_984
PIECE_BYTES = 150
LATE_S = 3.0
"""Seconds after the first signal from which a request may cross a host's close."""

ENTRIES_OF_FULL_LOAD = 4
SIGNALS = (
    ((0.0, signal.SIGTERM),),
    ((0.0, signal.SIGTERM),),
    ((0.0, signal.SIGTERM), (0.3, signal.SIGTERM), (1.0, signal.SIGTERM)),
    ((0.0, signal.SIGTERM), (3.0, signal.SIGTERM), (4.5, signal.SIGTERM)),
    ((0.0, signal.SIGINT),),
    ((0.0, signal.SIGINT), (1.0, signal.SIGTERM)),
    ((0.0, signal.SIGTERM), (0.5, signal.SIGINT)),
    ((0.0, signal.SIGHUP), (0.0, signal.SIGTERM), (0.2, signal.SIGHUP)),
)
LAG_CHECK_S = 0.05
EVENTS_SHOWN = 400
FAULTS_SHOWN = 20


class SoakLoad(stop_load.StopLoad):
    """Clients of every kind for one run of a host's process, from its start to its end.

    :param idle_s: longest time for which a client waits on an open connection.
    """

    has_sound_upstreams = False

    def __init__(self, *, idle_s, **arguments):
        super().__init__(**arguments)
        self.sweep_ids = set()
        send = functools.partial(self.keep_sending, work_s=WORK_S)
        self.add(functools.partial(send, idle_s=idle_s / 4), 12)
        self.add(functools.partial(send, idle_s=idle_s), 8)
        sweep = functools.partial(
            self.keep_sending,
            work_s=SWEEP_WORK_S,
            prefix=stop_upstreams.SWEEP_PREFIX,
            idle_s=idle_s,
        )
        self.add(sweep, 2)
        hold = functools.partial(
            self.send_and_hold, work_s=0.3, size=LARGE_BYTES, pause_s=0.005
        )
        once = functools.partial(self.send_once, work_s=1.0)
        silent = functools.partial(self.send_once, work_s=stop_upstreams.SILENT)
        pipelined = functools.partial(self.send_pipelined, count=3, work_s=(0.1, 0.6))
        half_closed = functools.partial(self.send_and_half_close, work_s=WORK_S)
        kinds = (once, silent, pipelined, half_closed, hold)
        for client in (*kinds, self.send_in_pieces, self.read_slowly):
            self.add(functools.partial(self._repeat, client, idle_s), 2)

    def plan_stop(self, moment):
        """Set the moment of the first signal, before ``run``."""
        self._stop_at = moment

    async def send_in_pieces(self, *, at_s):
        """Send a request whose body takes up to 1 s; read the response."""
        async with self._connect() as (reader, writer):
            await self._sleep_until(self._stop_at + at_s)
            path = f"{stop_upstreams.SINGLE_PREFIX}100-16"
            request, data = self._make_request("POST", path, bytes(400))
            request.record = stop_upstreams.record_of(request.id)
            self.requests.remove(request)
            for start in range(0, len(data), PIECE_BYTES):
                writer.write(data[start : start + PIECE_BYTES])
                await asyncio.sleep(self._rng.uniform(0, 0.25))
            request.sent_at = asyncio.get_running_loop().time()
            self.requests.append(request)
            await self._receive(request, reader)

    async def read_slowly(self, *, at_s):
        """Send a request for a large response; take up to 1 s to read it."""
        async with self._connect(is_slow=True) as (reader, writer):
            await self._sleep_until(self._stop_at + at_s)
            request = self._send(writer, self._draw(WORK_S), LARGE_BYTES)
            pause_s = self._rng.uniform(0, 1) * stop_load.SMALL_BUFFER_BYTES
            await self._receive(request, reader, pause_s=pause_s / LARGE_BYTES)

    async def _repeat(self, client, idle_s):
        loop = asyncio.get_running_loop()
        while self._process.returncode is None:
            moment = loop.time() + self._rng.uniform(0, idle_s)
            with contextlib.suppress(OSError):
                await client(at_s=moment - self._stop_at)
            await asyncio.sleep(stop_load.RECONNECT_S)

    # Judgement.

    def request_faults(self):
        """Return the requests with a fault, one line each with its lines of the log."""
        received = self._deployment.receipts_by_id
        for request in self.requests:
            if request.ended_at is None:
                request.ended_at = request.sent_at
        twice = [
            f"{self.host.name}: received twice {self._describe(request)}"
            for request in self.requests
            if request.id not in self.sweep_ids
            and len(received.get(request.id, ())) > 1
        ]
        return super().request_faults() + twice

    def _make(self, work_s, size, *, prefix=None):
        request, data = super()._make(work_s, size, prefix=prefix)
        if prefix == stop_upstreams.SWEEP_PREFIX:
            self.sweep_ids.add(request.id)
        return request, data

    def _fault_of(self, request):
        fault = super()._fault_of(request)
        is_late = request.sent_at - self._stop_at > LATE_S
        return "" if fault == "no response" and is_late else fault


class StopSoak:
    """Stops and starts every entry host again and again, each at times of its own.

    Meanwhile configurations and settings change, at most one control host is out of
    service and upstreams become slow, silent or are replaced.

    :param seconds: time in which stops begin.
    :ivar events: what was done, for a failed run.
    :ivar faults: what was wrong with requests and in the logs.
    :ivar end_faults: what was wrong with the ends of processes.
    """

    def __init__(self, *, seed, entries, seconds):
        self.events = []
        self.faults = []
        self.end_faults = []
        self.loads = []
        self._seed = seed
        self._rng = random.Random(seed)
        self._entries = entries
        self._seconds = seconds
        self._idle_s = 1.5 * max(1.0, entries / ENTRIES_OF_FULL_LOAD)
        self._ready = set()
        self._versions = itertools.count(8)
        self._numbers = itertools.cycle(range(150, 251))
        self._max_lag_s = 0.0

    async def run(self):
        async with stop_upstreams.StopDeployment(entries=self._entries) as deployment:
            self._deployment = deployment
            self._processes = deployment.processes
            loop = asyncio.get_running_loop()
            self._began_at = loop.time()
            self._end_at = loop.time() + self._seconds
            disturbances = [
                asyncio.ensure_future(each())
                for each in (
                    self._watch_lag,
                    self._change_configuration,
                    self._change_settings,
                    self._disturb_controls,
                    self._disturb_upstreams,
                    self._replace_upstreams,
                )
            ]
            try:
                await asyncio.gather(*map(self._live, self._processes.entries))
                for each in disturbances:
                    if each.done():
                        each.result()
            except Exception as error:
                self.faults.append(f"the soak ended with {error!r}")
                raise
            finally:
                for each in disturbances:
                    each.cancel()
                await asyncio.gather(*disturbances, return_exceptions=True)
                self._judge()

    def summary(self):
        """Return the counts of the run in one line."""
        requests = [request for load in self.loads for request in load.requests]
        statuses = collections.Counter(request.status for request in requests)
        received = self._deployment.receipts_by_id
        count = len(self.faults) + len(self.end_faults)
        return (
            f"seed={self._seed} entries={self._entries} stops={len(self.loads)}"
            f" requests={len(requests)} passed_on={len(received)}"
            f" statuses={dict(statuses)} faults={count}"
            f" max_lag_ms={self._max_lag_s * 1000:.0f}"
        )

    # Entry hosts.

    async def _live(self, host):
        """Stop a host and start it at once until the time is over."""
        loop = asyncio.get_running_loop()
        runs = []
        while True:
            load = SoakLoad(
                deployment=self._deployment,
                host=host,
                signals=self._rng.choice(SIGNALS),
                seed=self._rng.random(),
                idle_s=self._idle_s,
            )
            self.loads.append(load)
            await self._processes.wait_until(lambda: self._processes.is_ready(host))
            self._ready.add(host)
            moment = loop.time() + self._rng.uniform(*LIFE_S)
            if self._rng.random() < 0.5:
                moment += -(moment - self._began_at) % JOINT_PERIOD_S
            load.plan_stop(moment)
            self._note(
                f"{host.name}: stop at {moment - self._began_at:.2f} {load.signals}"
            )
            runs.append(asyncio.ensure_future(load.run()))
            await host.process.wait()
            self._ready.discard(host)
            if loop.time() >= self._end_at:
                break
            await host.start()
        await asyncio.gather(*runs)

    async def _change_settings(self):
        while True:
            await asyncio.sleep(self._rng.uniform(0.2, 2))
            ready = [host for host in self._processes.entries if host in self._ready]
            if ready:
                host = self._rng.choice(ready)
                seeds = self._rng.sample(
                    self._processes.seeds, self._rng.choice((2, 3))
                )
                host.write_settings(seeds)
                if host.process.returncode is None:
                    host.send_signal(signal.SIGHUP)
                self._note(f"{host.name}: settings name {seeds}")

    # Everything else.

    async def _change_configuration(self):
        while True:
            for _ in range(self._rng.randint(1, 4)):
                version = next(self._versions)
                await self._processes.put(configuration(version))
                self._note(f"version {version}")
                await asyncio.sleep(self._rng.uniform(0, 0.5))
            await asyncio.sleep(self._rng.uniform(0.5, 4))

    async def _disturb_controls(self):
        while True:
            await asyncio.sleep(self._rng.uniform(1, 5))
            host = self._rng.choice(self._processes.controls)
            fault = self._rng.choice(("pause", "SIGTERM", "SIGKILL"))
            self._note(f"{host.name}: {fault}")
            if fault == "pause":
                host.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self._rng.uniform(0.5, 4))
                host.send_signal(signal.SIGCONT)
            else:
                await host.end(signal.Signals[fault])
                await host.start()

    async def _disturb_upstreams(self):
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 3))
            upstream = self._rng.choice(self._deployment.upstreams)
            if self._rng.random() < 0.5:
                single = stop_upstreams.service_names()[0]
                upstream = self._rng.choice(
                    [
                        each
                        for each in self._deployment.upstreams
                        if each.shard == single
                    ]
                )
            if self._rng.random() < 0.3:
                upstream.is_silent = True
            else:
                upstream.delay_s = self._rng.uniform(0.01, 3)
            self._note(f"{upstream.name}: {upstream.delay_s:.2f} {upstream.is_silent}")
            await asyncio.sleep(self._rng.uniform(0.2, 3))
            upstream.is_silent, upstream.delay_s = False, 0.0

    async def _replace_upstreams(self):
        deployment = self._deployment
        subnet = self._processes.controls[0].ip.rpartition(".")[0]
        while True:
            await asyncio.sleep(self._rng.uniform(1, 5))
            old = self._rng.choice(deployment.upstreams)
            number = next(self._numbers)
            new = deployment.make_upstream(f"{old.shard}-{number}", old.shard, old.zone)
            new.address = await new.server.start(
                f"{subnet}.{number}", stop_upstreams.PORT
            )
            deployment.upstreams.append(new)
            self._note(f"{old.name}: replaced by {new.name}")
            await asyncio.sleep(self._rng.uniform(1, 3))
            old.state = "draining"
            await asyncio.sleep(self._rng.uniform(1, 3))
            deployment.upstreams.remove(old)
            await old.server.drain()
            await old.server.close()

    async def _watch_lag(self):
        loop = asyncio.get_running_loop()
        while True:
            began_at = loop.time()
            await asyncio.sleep(LAG_CHECK_S)
            lag_s = loop.time() - began_at - LAG_CHECK_S
            self._max_lag_s = max(self._max_lag_s, lag_s)

    # Judgement.

    def _judge(self):
        logs = {host.name: host.log_text for host in self._processes.hosts}
        for name, text in logs.items():
            self.faults += [
                f"{name}: {line}"
                for line in text.splitlines()
                if "event=task_failed" in line or line.startswith("Traceback")
            ]
        for load in self.loads:
            if load.code is not None:
                self.end_faults += load.end_faults()
            self.faults += [
                self._with_log(fault, logs) for fault in load.request_faults()
            ]
        if self.faults or self.end_faults:
            folder = tempfile.mkdtemp(prefix=f"stop-soak-{self._seed}-")
            shutil.copytree(self._processes.folder, folder, dirs_exist_ok=True)
            self._note(f"logs are kept in {folder}")

    def _with_log(self, fault, logs):
        """Return a fault and the lines of all logs that name its request."""
        request_id = re.search(r"\bs-\d+\b", fault)[0]
        named = re.compile(rf"\b{request_id}\b")
        lines = [
            f"  {name}: {line}"
            for name, text in logs.items()
            for line in text.splitlines()
            if named.search(line)
        ]
        return "\n".join((fault, *lines))

    def _note(self, event):
        now = asyncio.get_running_loop().time()
        self.events.append(f"{now - self._began_at:.2f} {event}")

    def report(self):
        """Return what a failed run needs, as text."""
        return "\n".join(
            (
                *self.end_faults,
                *self.faults[:FAULTS_SHOWN],
                *self.events[-EVENTS_SHOWN:],
                self.summary(),
            )
        )


def configuration(version):
    """Return a configuration with a route that no other version has."""
    config = stop_upstreams.configuration(version)
    route = copy.deepcopy(config["routes"][1])
    route |= {"name": "r-added", "pathPrefix": f"/version-{version}/"}
    config["routes"].append(route)
    return config
