"""One soak from its first process to its verdict."""

import asyncio
import contextlib
import json
import pathlib
import random
from collections import abc

import msgspec

from greengagehaven import exceptions, settings
from greengagehaven.protocol import upstream as messages
from greengagehaven.soak import callers, fleet, judge, links, plants, schedule
from greengagehaven.standin import upstream

SERVICES = ("credits-0", "credits-1", "credits-2")
SHARD_COUNT = 1
CALLERS = 6
SETTLE_S = 3.0
REGAINED_S = 20.0
"""Seconds after the last fault by which service has to be back: a lease of an
upstream, an election and a host's start come one after the other."""

DRAIN_S = 1.5
PLANNED_SLACK_S = 1.0
SERVICE_TIME_S = 0.01
REFUSAL = b"HTTP/1.1 502 Refused\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
DOCUMENT = """version = 1

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
    """What a soak found.

    :param counts: what was seen: answers, orders, refusals, changes.
    """

    seed: int
    faults: int
    counts: dict[str, int]
    broken: tuple[judge.Broken, ...]


class Runner:
    """Plays one schedule.

    :param played: what strikes when.
    :param folder: for data, logs and the verdict.
    :param plant: a planted fault, empty for none.
    """

    def __init__(
        self, *, played: schedule.Schedule, folder: pathlib.Path, plant: str = ""
    ) -> None:
        self._played = played
        self._folder = folder
        self._plant = plant
        self._tally = upstream.Tally()
        self.judge = judge.Judge(shard_count=SHARD_COUNT, tally=self._tally)
        self._upstreams_by_id: dict[str, upstream.StandinUpstream] = {}
        self._links_by_id: dict[str, links.Link] = {}
        self._struck: dict[str, int] = {}
        self._planned: set[str] = set()
        self._documents = 0
        self._strikes_by_kind = self._make_strikes()

    async def run(self) -> Verdict:
        """Play the schedule and judge it; leave a folder with what was seen."""
        self._folder.mkdir(parents=True, exist_ok=True)
        if any(self._folder.iterdir()):
            # Hosts would find the disks of an earlier run, whose members are gone.
            raise exceptions.SettingError(
                place="folder", value=str(self._folder), expected="an empty folder"
            )
        self._write("schedule.json", self._played)
        document = self._folder / "document.toml"
        document.write_text(DOCUMENT.format(standing=10), encoding="utf-8")
        self._fleet = fleet.Fleet(
            folder=self._folder, entries=self._played.entries, document=document
        )
        try:
            await self._fleet.start_all()
            await self._start_upstreams()
            await self._play()
        finally:
            await self._close()
        self.judge.end()
        verdict = Verdict(
            seed=self._played.seed,
            faults=len(self._played.faults),
            counts=dict(sorted(self.judge.counts.items())),
            broken=tuple(self.judge.broken),
        )
        self._write("verdict.json", verdict)
        return verdict

    async def _start_upstreams(self) -> None:
        made = plants.UPSTREAMS_BY_PLANT.get(self._plant, upstream.StandinUpstream)
        entries = [self._fleet.address(each) for each in self._fleet.entry_ids]
        for number in range(self._played.upstreams):
            service = SERVICES[number % len(SERVICES)]
            zone = schedule.ZONES[number // len(SERVICES) % len(schedule.ZONES)]
            shard = messages.HostedShard(
                service=service, shard=0, shard_count=SHARD_COUNT, partitioning=1
            )
            options = upstream.Options(
                id=f"u{number + 1}",
                availability_zone=zone,
                shards=(shard,),
                slots=8,
                max_connections=200,
                service_time=SERVICE_TIME_S,
                drain_bound=DRAIN_S,
                drain_grace=DRAIN_S,
            )
            await self._start_upstream(options, made, entries)

    async def _start_upstream(
        self,
        options: upstream.Options,
        made: type[upstream.StandinUpstream],
        entries: abc.Sequence[str],
    ) -> None:
        """Start an upstream whose announced address is that of its link."""
        one = made(
            options=options,
            entries=random.Random(options.id).sample(entries, len(entries)),
            tally=self._tally,
        )
        address = await one.start()
        link = links.Link(target=settings.parse_address("upstream", address))
        # The first announcement goes out in the next turn of the loop at the
        # earliest; what it says then is the way through the link.
        one.address = await link.start()
        one.change()
        self._upstreams_by_id[options.id] = one
        self._links_by_id[options.id] = link

    async def _play(self) -> None:
        rewrite = plants.REWRITES_BY_PLANT.get(self._plant)
        for host_id in self._fleet.entry_ids:
            target = settings.parse_address("entry", self._fleet.address(host_id))
            link = links.Link(target=target, rewrite=rewrite, refusal=REFUSAL)
            await link.start()
            self._links_by_id[host_id] = link
        calling = callers.Callers(
            urls_by_id={
                host_id: f"http://{self._links_by_id[host_id].address}"
                for host_id in self._fleet.entry_ids
            },
            services=SERVICES,
            judged_by=self.judge,
            is_planned=self._is_only_planned,
            seed=self._played.seed,
        )
        await asyncio.sleep(SETTLE_S)
        calling.start(CALLERS)
        await self._strike_all()
        if not await calling.wait_regained(REGAINED_S):
            self.judge.see_not_regained(REGAINED_S)
        if self._plant == plants.LOSE_CONFIGURATION:
            await self._lose_configuration()
        await calling.stop()
        await self._read_back()

    async def _strike_all(self) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        struck = []
        for fault in self._played.faults:
            await asyncio.sleep(max(0.0, start + fault.at - loop.time()))
            self.judge.now = loop.time() - start
            struck.append(asyncio.ensure_future(self._strike(fault)))
        await asyncio.gather(*struck)
        self.judge.now = loop.time() - start

    async def _strike(self, fault: schedule.Fault) -> None:
        if fault.kind is schedule.Kind.STOP_ENTRY:
            await self._stop_entry(fault)
            return
        self._struck[fault.target] = self._struck.get(fault.target, 0) + 1
        try:
            await self._strikes_by_kind[fault.kind](fault)
        finally:
            # What was held up by a fault ends a while after it.
            asyncio.get_running_loop().call_later(
                PLANNED_SLACK_S + 3.0, self._unstrike, fault.target
            )

    def _unstrike(self, target: str) -> None:
        self._struck[target] -= 1

    def _is_only_planned(self, host_id: str) -> bool:
        return host_id in self._planned and not self._struck.get(host_id)

    def _make_strikes(self) -> dict:
        kind, harm = schedule.Kind, links.Harm
        return {
            kind.KILL_ENTRY: self._kill,
            kind.PAUSE_ENTRY: self._pause,
            kind.KILL_CONTROL: self._kill,
            kind.PAUSE_CONTROL: self._pause,
            kind.WIPE_CONTROL: self._wipe,
            kind.CUT_CALLERS: self._harming(harm.CUT),
            kind.RESET_CALLERS: self._harming(harm.RESET),
            kind.DELAY_CALLERS: self._harming(harm.DELAY),
            kind.CUT_UPSTREAM: self._harming(harm.CUT),
            kind.MUTE_UPSTREAM: self._harming(harm.MUTE),
            kind.RESET_UPSTREAM: self._harming(harm.RESET),
            kind.DELAY_UPSTREAM: self._harming(harm.DELAY),
            kind.SLOW_UPSTREAM: self._slow,
            kind.DRAIN_UPSTREAM: self._drain,
            kind.NEW_DOCUMENT: self._apply,
        }

    async def _kill(self, fault: schedule.Fault) -> None:
        if not self._fleet.is_running(fault.target):
            return
        await self._fleet.kill(fault.target)
        await asyncio.sleep(fault.for_s)
        await self._fleet.start(fault.target)

    async def _wipe(self, fault: schedule.Fault) -> None:
        await self._fleet.kill(fault.target)
        self._fleet.wipe(fault.target)
        await asyncio.sleep(fault.for_s)
        await self._fleet.start(fault.target)

    async def _pause(self, fault: schedule.Fault) -> None:
        self._fleet.pause(fault.target, is_paused=True)
        await asyncio.sleep(fault.for_s)
        self._fleet.pause(fault.target, is_paused=False)

    async def _stop_entry(self, fault: schedule.Fault) -> None:
        host_id = fault.target
        if not self._fleet.is_running(host_id) or self._struck.get(host_id):
            return
        self._planned.add(host_id)
        if self._plant == plants.STOP_BY_KILL:
            await self._fleet.kill(host_id)
        elif not await self._fleet.stop(host_id) and not self._struck.get(host_id):
            self.judge.see_stuck(host_id)
        await asyncio.sleep(fault.for_s)
        self._planned.discard(host_id)
        await self._fleet.start(host_id)

    def _harming(self, harm: links.Harm) -> abc.Callable:
        async def strike(fault: schedule.Fault) -> None:
            link = self._links_by_id[fault.target]
            link.set_harm(harm)
            await asyncio.sleep(fault.for_s)
            link.set_harm(links.Harm.NONE)

        return strike

    async def _slow(self, fault: schedule.Fault) -> None:
        one = self._upstreams_by_id[fault.target]
        one.speed_factor = 20.0
        await asyncio.sleep(fault.for_s)
        one.speed_factor = 1.0

    async def _drain(self, fault: schedule.Fault) -> None:
        """Let an upstream leave and come back; new work meanwhile is counted."""
        one = self._upstreams_by_id[fault.target]
        one.change(state=messages.UpstreamState.DRAINING)
        one.expect_no_new_work(DRAIN_S + PLANNED_SLACK_S)
        await asyncio.sleep(DRAIN_S + PLANNED_SLACK_S + fault.for_s)
        one.expect_no_new_work(None)
        one.change(state=messages.UpstreamState.READY)

    async def _apply(self, fault: schedule.Fault) -> None:
        self._documents += 1
        path = self._folder / f"document-{self._documents}.toml"
        path.write_text(DOCUMENT.format(standing=fault.target), encoding="utf-8")
        change_id = f"change-{self._documents}"
        code, printed = await self._fleet.call(
            "apply", str(path), "--json", "--force", "--change-id", change_id
        )
        if code == 0:
            with contextlib.suppress(ValueError, KeyError, TypeError):
                self.judge.see_acknowledged(int(json.loads(printed)["revision"]))

    async def _read_back(self) -> None:
        """Hold each control host to what was accepted."""
        code, printed = await self._fleet.call("status", "--json")
        if code == 0 and printed:
            self.judge.see_revision(int(json.loads(printed)["revision"]))

    async def _lose_configuration(self) -> None:
        """Start over with empty disks everywhere, as if a sync had been lost."""
        for host_id in schedule.CONTROLS:
            await self._fleet.kill(host_id)
            self._fleet.wipe(host_id)
        for host_id in schedule.CONTROLS:
            await self._fleet.start(host_id)
        await self._fleet.wait_until_applied()

    async def _close(self) -> None:
        for one in self._upstreams_by_id.values():
            await one.close()
        for link in self._links_by_id.values():
            await link.close()
        await self._fleet.close()

    def _write(self, name: str, content: msgspec.Struct) -> None:
        data = msgspec.json.format(msgspec.json.encode(content), indent=1)
        (self._folder / name).write_bytes(data)
