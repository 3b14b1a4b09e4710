"""Runs one soak, from starting the processes to the verdict."""

import asyncio
import contextlib
import json
import pathlib
import random
from collections import abc

import msgspec

from greengagehaven import exceptions, settings
from greengagehaven.protocol import upstream as messages
from greengagehaven.soak import (
    callers,
    cluster,
    fault_proxy,
    invariants,
    planted_bugs,
    schedule,
)
from greengagehaven.standin import upstream

_SERVICES = ("credits-0", "credits-1", "credits-2")
_SHARD_COUNT = 1
_CALLER_COUNT = 6
_SETTLE_S = 3.0
_RECOVERY_TIMEOUT_S = 20.0
"""Maximum seconds from the last fault to recovery. An upstream's lease, an election
and a host's start may follow one another."""

_DRAIN_S = 1.5
_MARGIN_S = 1.0
_SERVICE_TIME_S = 0.01
_REFUSAL = b"HTTP/1.1 502 Refused\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
_DOCUMENT_TEMPLATE = """version = 1

[subscribers.demo]
key_sha256 = ["c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"]

[services.credits-0]
[services.credits-1]
[services.credits-2]

[kinds.sweep]
standing = {standing}
deadline_ms = 2000
coverage = "partial"

[kinds.retire]
fan_out = "key"
idempotent = false
deadline_ms = 2500
"""


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a soak, as written to ``verdict.json``.

    :param faults: number of injected faults.
    :param counts: numbers of answers, orders, refused sweeps and changes.
    :param broken: violated invariants.
    """

    seed: int
    faults: int
    counts: dict[str, int]
    broken: tuple[invariants.Violation, ...]


class Runner:
    """Runs one schedule of faults.

    :param fault_schedule: faults to inject.
    :param folder: for data, logs and the verdict; must be empty or missing.
    :param planted_bug: one of ``planted_bugs.NAMES``, empty for none.
    """

    def __init__(
        self,
        *,
        fault_schedule: schedule.Schedule,
        folder: pathlib.Path,
        planted_bug: str = "",
    ) -> None:
        self._schedule = fault_schedule
        self._folder = folder
        self._planted_bug = planted_bug
        self._counters = upstream.Counters()
        self.checker = invariants.InvariantChecker(
            shard_count=_SHARD_COUNT, counters=self._counters
        )
        self._upstreams_by_id: dict[str, upstream.StandinUpstream] = {}
        self._proxies_by_id: dict[str, fault_proxy.FaultProxy] = {}
        self._active_faults_by_target: dict[str, int] = {}
        self._hosts_in_planned_stop: set[str] = set()
        self._document_count = 0
        self._injectors_by_kind = self._make_injectors()

    async def run(self) -> Verdict:
        """Run the schedule, write schedule, logs and verdict, and return the verdict.

        :raises SettingError: the folder is not empty, or a host did not start.
        :raises QuorumLostError: the initial document was not accepted in time.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        if any(self._folder.iterdir()):
            # Hosts would load the data of an earlier run, whose members are gone.
            raise exceptions.SettingError(
                place="folder", value=str(self._folder), expected="an empty folder"
            )
        self._write("schedule.json", self._schedule)
        document = self._folder / "document.toml"
        document.write_text(_DOCUMENT_TEMPLATE.format(standing=10), encoding="utf-8")
        self._cluster = cluster.Cluster(
            folder=self._folder, entries=self._schedule.entries, document=document
        )
        try:
            await self._cluster.start_all()
            await self._start_upstreams()
            await self._run_load()
        finally:
            await self._close()
        self.checker.check_orders()
        verdict = Verdict(
            seed=self._schedule.seed,
            faults=len(self._schedule.faults),
            counts=dict(sorted(self.checker.counts.items())),
            broken=tuple(self.checker.violations),
        )
        self._write("verdict.json", verdict)
        return verdict

    async def _start_upstreams(self) -> None:
        upstream_class = planted_bugs.UPSTREAM_CLASSES_BY_BUG.get(
            self._planted_bug, upstream.StandinUpstream
        )
        entries = [self._cluster.address(each) for each in self._cluster.entry_ids]
        for number in range(self._schedule.upstreams):
            service = _SERVICES[number % len(_SERVICES)]
            zone = schedule.ZONES[number // len(_SERVICES) % len(schedule.ZONES)]
            shard = messages.HostedShard(
                service=service, shard=0, shard_count=_SHARD_COUNT, partitioning=1
            )
            options = upstream.Options(
                id=f"u{number + 1}",
                availability_zone=zone,
                shards=(shard,),
                slots=8,
                max_connections=200,
                service_time=_SERVICE_TIME_S,
                drain_bound=_DRAIN_S,
                drain_grace=_DRAIN_S,
            )
            await self._start_upstream(options, upstream_class, entries)

    async def _start_upstream(
        self,
        options: upstream.Options,
        upstream_class: type[upstream.StandinUpstream],
        entries: abc.Sequence[str],
    ) -> None:
        """Start an upstream that announces the address of its fault proxy."""
        standin = upstream_class(
            options=options,
            entries=random.Random(options.id).sample(entries, len(entries)),
            counters=self._counters,
        )
        address = await standin.start()
        proxy = fault_proxy.FaultProxy(
            target=settings.parse_address("upstream", address)
        )
        # The first announcement is sent in the next iteration of the event loop at
        # the earliest, so it already has the address of the proxy.
        standin.address = await proxy.start()
        standin.update_announcement()
        self._upstreams_by_id[options.id] = standin
        self._proxies_by_id[options.id] = proxy

    async def _run_load(self) -> None:
        rewrite = planted_bugs.REWRITES_BY_BUG.get(self._planted_bug)
        for host_id in self._cluster.entry_ids:
            target = settings.parse_address("entry", self._cluster.address(host_id))
            proxy = fault_proxy.FaultProxy(
                target=target, rewrite=rewrite, refusal=_REFUSAL
            )
            await proxy.start()
            self._proxies_by_id[host_id] = proxy
        load = callers.Callers(
            urls_by_id={
                host_id: f"http://{self._proxies_by_id[host_id].address}"
                for host_id in self._cluster.entry_ids
            },
            services=_SERVICES,
            checker=self.checker,
            is_planned=self._is_only_planned_stop,
            seed=self._schedule.seed,
        )
        await asyncio.sleep(_SETTLE_S)
        load.start(_CALLER_COUNT)
        await self._inject_all()
        if not await load.wait_for_recovery(_RECOVERY_TIMEOUT_S):
            self.checker.record_not_recovered(_RECOVERY_TIMEOUT_S)
        if self._planted_bug == planted_bugs.LOSE_CONFIGURATION:
            await self._lose_configuration()
        await load.stop()
        await self._check_final_revision()

    async def _inject_all(self) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        injections = []
        for fault in self._schedule.faults:
            await asyncio.sleep(max(0.0, start + fault.at - loop.time()))
            self.checker.now = loop.time() - start
            injections.append(asyncio.ensure_future(self._inject(fault)))
        await asyncio.gather(*injections)
        self.checker.now = loop.time() - start

    async def _inject(self, fault: schedule.Fault) -> None:
        if fault.kind is schedule.FaultKind.STOP_ENTRY:
            await self._stop_entry(fault)
            return
        self._active_faults_by_target[fault.target] = (
            self._active_faults_by_target.get(fault.target, 0) + 1
        )
        try:
            await self._injectors_by_kind[fault.kind](fault)
        finally:
            # Requests delayed by the fault may still fail for a while after it.
            asyncio.get_running_loop().call_later(
                _MARGIN_S + 3.0, self._end_fault, fault.target
            )

    def _end_fault(self, target: str) -> None:
        self._active_faults_by_target[target] -= 1

    def _is_only_planned_stop(self, host_id: str) -> bool:
        return (
            host_id in self._hosts_in_planned_stop
            and not self._active_faults_by_target.get(host_id)
        )

    def _make_injectors(self) -> dict:
        kind, impairment = schedule.FaultKind, fault_proxy.Impairment
        return {
            kind.KILL_ENTRY: self._kill,
            kind.PAUSE_ENTRY: self._pause,
            kind.KILL_CONTROL: self._kill,
            kind.PAUSE_CONTROL: self._pause,
            kind.WIPE_CONTROL: self._wipe,
            kind.CUT_CALLERS: self._impair_for(impairment.CUT),
            kind.RESET_CALLERS: self._impair_for(impairment.RESET),
            kind.DELAY_CALLERS: self._impair_for(impairment.DELAY),
            kind.CUT_UPSTREAM: self._impair_for(impairment.CUT),
            kind.MUTE_UPSTREAM: self._impair_for(impairment.MUTE),
            kind.RESET_UPSTREAM: self._impair_for(impairment.RESET),
            kind.DELAY_UPSTREAM: self._impair_for(impairment.DELAY),
            kind.SLOW_UPSTREAM: self._slow,
            kind.DRAIN_UPSTREAM: self._drain,
            kind.NEW_DOCUMENT: self._apply,
        }

    async def _kill(self, fault: schedule.Fault) -> None:
        if not self._cluster.is_running(fault.target):
            return
        await self._cluster.kill(fault.target)
        await asyncio.sleep(fault.for_s)
        await self._cluster.start(fault.target)

    async def _wipe(self, fault: schedule.Fault) -> None:
        await self._cluster.kill(fault.target)
        self._cluster.wipe(fault.target)
        await asyncio.sleep(fault.for_s)
        await self._cluster.start(fault.target)

    async def _pause(self, fault: schedule.Fault) -> None:
        self._cluster.pause(fault.target, is_paused=True)
        await asyncio.sleep(fault.for_s)
        self._cluster.pause(fault.target, is_paused=False)

    async def _stop_entry(self, fault: schedule.Fault) -> None:
        host_id = fault.target
        if not self._cluster.is_running(host_id) or self._active_faults_by_target.get(
            host_id
        ):
            return
        self._hosts_in_planned_stop.add(host_id)
        if self._planted_bug == planted_bugs.KILL_ON_STOP:
            await self._cluster.kill(host_id)
        elif not await self._cluster.stop(
            host_id
        ) and not self._active_faults_by_target.get(host_id):
            self.checker.record_stuck(host_id)
        await asyncio.sleep(fault.for_s)
        self._hosts_in_planned_stop.discard(host_id)
        await self._cluster.start(host_id)

    def _impair_for(self, impairment: fault_proxy.Impairment) -> abc.Callable:
        async def inject(fault: schedule.Fault) -> None:
            proxy = self._proxies_by_id[fault.target]
            proxy.set_impairment(impairment)
            await asyncio.sleep(fault.for_s)
            proxy.set_impairment(fault_proxy.Impairment.NONE)

        return inject

    async def _slow(self, fault: schedule.Fault) -> None:
        standin = self._upstreams_by_id[fault.target]
        standin.speed_factor = 20.0
        await asyncio.sleep(fault.for_s)
        standin.speed_factor = 1.0

    async def _drain(self, fault: schedule.Fault) -> None:
        """Drain an upstream and bring it back, counting new work in between."""
        standin = self._upstreams_by_id[fault.target]
        standin.update_announcement(state=messages.UpstreamState.DRAINING)
        standin.forbid_new_work(_DRAIN_S + _MARGIN_S)
        await asyncio.sleep(_DRAIN_S + _MARGIN_S + fault.for_s)
        standin.forbid_new_work(None)
        standin.update_announcement(state=messages.UpstreamState.READY)

    async def _apply(self, fault: schedule.Fault) -> None:
        self._document_count += 1
        path = self._folder / f"document-{self._document_count}.toml"
        path.write_text(
            _DOCUMENT_TEMPLATE.format(standing=fault.target), encoding="utf-8"
        )
        change_id = f"change-{self._document_count}"
        code, output = await self._cluster.run_command(
            "apply", str(path), "--json", "--force", "--change-id", change_id
        )
        if code == 0:
            with contextlib.suppress(ValueError, KeyError, TypeError):
                self.checker.record_acknowledged(int(json.loads(output)["revision"]))

    async def _check_final_revision(self) -> None:
        """Check the revision in force against the acknowledged ones."""
        code, output = await self._cluster.run_command("status", "--json")
        if code == 0 and output:
            self.checker.check_revision(int(json.loads(output)["revision"]))

    async def _lose_configuration(self) -> None:
        """Restart all control hosts with empty disks, as if a sync had been lost."""
        for host_id in schedule.CONTROLS:
            await self._cluster.kill(host_id)
            self._cluster.wipe(host_id)
        for host_id in schedule.CONTROLS:
            await self._cluster.start(host_id)
        await self._cluster.apply_initial_document()

    async def _close(self) -> None:
        for standin in self._upstreams_by_id.values():
            await standin.close()
        for proxy in self._proxies_by_id.values():
            await proxy.close()
        await self._cluster.close()

    def _write(self, name: str, content: msgspec.Struct) -> None:
        data = msgspec.json.format(msgspec.json.encode(content), indent=1)
        (self._folder / name).write_bytes(data)
