"""A heartbeat of another writer takes a sound leaf out of use for good."""

import asyncio
import json
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import stage as stages  # noqa: E402

FOREIGN_SERVICE = "metrics-agent"
JUDGED_S = 20.0
REQUESTS_PER_S = 15.0
MIN_REQUESTS = 20
MIN_RATIO = 0.25


def make_leafs(stage: stages.Stage, service: str, first: int) -> list[stages.Leaf]:
    """Return one leaf of a service in each zone."""
    return [
        stages.Leaf(
            stage=stage,
            name=f"i-{service}-{number}",
            service=service,
            zone=zone,
            number=first + number,
        )
        for number, zone in enumerate(stage.zones)
    ]


async def beat_once(stage: stages.Stage, leaf: stages.Leaf) -> None:
    """Send one heartbeat of another writer, which names the address of a leaf.

    It has an id of its own, and a service that no configuration names.
    """
    beat = {
        "backend": FOREIGN_SERVICE,
        "addr": leaf.address,
        "zone": leaf.zone,
        "version": "v1",
        "slots": 1,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": round(time.time() * 1000),
    }
    for node in random.sample(stage.controls, len(stage.controls)):
        reply = await stages.call(
            node.control_address,
            "PUT",
            f"/greengagehaven/instances/agent-{leaf.name}",
            headers={"Content-Type": "application/json"},
            body=json.dumps(beat).encode(),
        )
        status = None if reply is None else reply.status
        stage.record.add(f"foreign beat at {leaf.address} to {node.name}: {status}")
        if reply is not None and 200 <= reply.status < 300:
            return


def served_share(sent: list[stages.Sent]) -> float:
    """Return the share of requests that were answered with success."""
    return sum(each.status == 200 for each in sent) / len(sent)


async def scenario(stage: stages.Stage, has_trouble: bool) -> bool:
    """Return whether a route that was added later is served too rarely."""
    record, operator = stage.record, stages.Operator(stage=stage)
    clients = stages.Clients(stage=stage)
    await stage.start()
    first_leafs = make_leafs(stage, "owner-view", 0)
    later_leafs = make_leafs(stage, "audit-feed", len(first_leafs))
    for leaf in (*first_leafs, *later_leafs):
        await leaf.start()
    services = {"owner-view": 110, "audit-feed": 110}
    first_route = stages.route("parcel", backend="owner-view")
    later_route = stages.route("export", backend="audit-feed")
    await operator.configure(stages.configuration(1, [first_route], services))
    await stage.wait_ready()
    await asyncio.sleep(3.0)
    await operator.configure(
        stages.configuration(2, [first_route, later_route], services)
    )
    await asyncio.sleep(stage.bounds["configApplyMs"] / 1000 + 1.0)
    until = record.now + 2.0
    before = await clients.load("/export/2f", per_s=REQUESTS_PER_S, until=until)
    if served_share(before) < 0.9:
        raise stages.CouldNotRunError("the later route was not served before")
    if has_trouble:
        for leaf in later_leafs:
            await beat_once(stage, leaf)
    await asyncio.sleep(stage.bounds["contactMs"] / 1000)
    until = record.now + JUDGED_S
    first, later = await asyncio.gather(
        clients.load("/parcel/2f", per_s=REQUESTS_PER_S, until=until),
        clients.load("/export/2f", per_s=REQUESTS_PER_S, until=until),
    )
    record.add(
        f"served: {served_share(first):.3f} of {len(first)} on the first route, "
        f"{served_share(later):.3f} of {len(later)} on the later one"
    )
    if len(later) < MIN_REQUESTS or served_share(first) < 0.9:
        raise stages.CouldNotRunError("too few requests were served")
    return served_share(later) < MIN_RATIO * served_share(first)


if __name__ == "__main__":
    stages.main(scenario, stages.Stage(case_folder=HERE, fronts=2))
