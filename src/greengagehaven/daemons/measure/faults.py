"""Faults that a scenario can cause during a run, called by name."""

import asyncio
import fnmatch
import random

import msgspec

from greengagehaven.daemons import dev
from greengagehaven.protocol import upstream
from greengagehaven.standin import upstream as standin

ZONE_GRACE_S = 1.0


def _matching(
    environment: dev.DevEnvironment, name: str
) -> list[standin.StandinUpstream]:
    upstreams_by_id = environment.upstreams_by_id
    return [upstreams_by_id[key] for key in fnmatch.filter(upstreams_by_id, name)]


async def slow(environment: dev.DevEnvironment, name: str, factor: float) -> None:
    """Make upstreams slower by a factor."""
    for stand_in in _matching(environment, name):
        stand_in.speed_factor = factor


async def straggle(environment: dev.DevEnvironment, seed: int, factor: float) -> None:
    """Make one upstream in ten slower, and reset the speed of all others."""
    stand_ins = list(environment.upstreams_by_id.values())
    chosen = random.Random(seed).sample(stand_ins, max(1, len(stand_ins) // 10))
    for stand_in in stand_ins:
        stand_in.speed_factor = factor if stand_in in chosen else 1.0


async def fail(environment: dev.DevEnvironment, name: str) -> None:
    """Make upstreams reply to every request with an error immediately."""
    for stand_in in _matching(environment, name):
        stand_in.fails_fast = True


async def chill(environment: dev.DevEnvironment, name: str) -> None:
    """Turn warm upstreams cold without an announcement."""
    for stand_in in _matching(environment, name):
        stand_in.reset_warm_up()


async def fail_fast(environment: dev.DevEnvironment, name: str) -> None:
    """Make upstreams reply to every request with an error immediately."""
    for stand_in in _matching(environment, name):
        stand_in.fails_fast = True


async def lie(environment: dev.DevEnvironment, name: str) -> None:
    """Make upstreams slow while they report that they are idle."""
    for stand_in in _matching(environment, name):
        stand_in.speed_factor = 8.0
        stand_in.load_override = upstream.LoadReport(in_flight=0, queued=0)


async def stop(environment: dev.DevEnvironment, name: str) -> None:
    """Stop upstreams without a withdrawal, as a lost machine does."""
    await asyncio.gather(*(each.stop() for each in _matching(environment, name)))


async def restart(environment: dev.DevEnvironment, name: str) -> None:
    """Start upstreams again, cold, with the same ids."""
    for stand_in in _matching(environment, name):
        service, number = stand_in.options.shards[0].service, stand_in.options.id[-1]
        await environment.start_upstream(service, int(number), starts_cold=True)


async def silence(environment: dev.DevEnvironment, every: int) -> None:
    """Stop responses on all open connections to each ``every``-th upstream."""
    for stand_in in list(environment.upstreams_by_id.values())[::every]:
        stand_in.silence_connections()


async def repartition(environment: dev.DevEnvironment, zone: str) -> None:
    """Add the next snapshot and partitioning to the upstreams of a zone."""
    for stand_in in environment.upstreams_by_id.values():
        if stand_in.options.availability_zone != zone:
            continue
        latest = stand_in.shards[-1]
        following = msgspec.structs.replace(
            latest, partitioning=latest.partitioning + 1
        )
        stand_in.update_announcement(
            snapshots=(*stand_in.snapshots, stand_in.snapshots[-1] + 1),
            shards=(*stand_in.shards, following),
        )


async def set_zone(environment: dev.DevEnvironment, zone: str, drained: bool) -> None:
    """Drain or restore an availability zone, as an operator would."""
    upstreams = [
        stand_in
        for stand_in in environment.upstreams_by_id.values()
        if stand_in.options.availability_zone == zone
    ]
    if not drained:
        for stand_in in upstreams:
            stand_in.forbid_new_work(None)
    await environment.set_zone(zone, drained=drained)
    if drained:
        for stand_in in upstreams:
            stand_in.forbid_new_work(ZONE_GRACE_S)


async def burst(environment: dev.DevEnvironment, count: int) -> None:
    """Apply changed documents one after the other."""
    for number in range(count):
        await environment.apply(environment.document + b"\n# change %d\n" % number)


async def cut_zone(environment: dev.DevEnvironment, zone: str) -> None:
    """Drop every message between the hosts of a zone and those of other zones."""
    for other in dev.ZONES:
        if other != zone:
            environment.links.cut(zone, other)
            environment.links.cut(other, zone)


async def heal(environment: dev.DevEnvironment) -> None:
    """Restore the links between all zones."""
    environment.links.heal()
