"""A withdrawn evacuation is withdrawn again by a process that was frozen meanwhile."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import stage as stages  # noqa: E402

ZONE = "zone-b"
PATH = f"/greengagehaven/evacuate/{ZONE}"
FREEZE_S = 4.0
ROUNDS = 5
JUDGED_S = 5.0


async def withdraw_while_frozen(
    stage: stages.Stage, operator: stages.Operator, *, has_trouble: bool
) -> float:
    """Evacuate, withdraw and evacuate again; return when the second one is due.

    The withdrawal goes first to a control process that is frozen, which is not the one
    that leads. The operator moves on after a second, as the pages say.
    """
    record = stage.record
    held, other = stage.followers()[:2]
    await operator.order("POST", PATH, first=other)
    # The operator reads the configuration now and then, at any node.
    for _ in range(2):
        await operator.order("GET", "/greengagehaven/config", first=held)
        await asyncio.sleep(0.8)
    if has_trouble:
        held.signal(signal.SIGSTOP)
    frozen_at = record.now
    await operator.order("DELETE", PATH, first=held)
    await asyncio.sleep(0.5)
    reply = await operator.order("POST", PATH, first=other)
    evacuated_at = record.now
    if not 200 <= reply.status < 300:
        raise stages.CouldNotRunError("the evacuation was refused")
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - record.now))
    if has_trouble:
        held.signal(signal.SIGCONT)
    # From then on the fronts are in touch, and the evacuation binds them.
    return max(
        evacuated_at + stage.bounds["evacuateMs"] / 1000,
        record.now + stage.bounds["contactMs"] / 1000,
    )


async def scenario(stage: stages.Stage, has_trouble: bool) -> bool:
    """Return whether a leaf of an evacuated zone got requests after the bound."""
    record, operator = stage.record, stages.Operator(stage=stage)
    clients = stages.Clients(stage=stage)
    await stage.start()
    leafs = [
        stages.Leaf(
            stage=stage,
            name=f"i-{zone}",
            service="owner-view",
            zone=zone,
            number=number,
        )
        for number, zone in enumerate(stage.zones)
    ]
    for leaf in leafs:
        await leaf.start()
    routes = [stages.route("parcel", backend="owner-view")]
    await operator.configure(stages.configuration(1, routes, {"owner-view": 110}))
    await stage.wait_ready()
    await asyncio.sleep(5.0)
    late_count = 0
    for _ in range(ROUNDS):
        due = await withdraw_while_frozen(stage, operator, has_trouble=has_trouble)
        until = due + JUDGED_S
        await clients.load("/parcel/2f", per_s=20.0, until=until)
        runs = [run for leaf in leafs if leaf.zone == ZONE for run in leaf.runs]
        late_count += sum(due + 0.5 < run.at < until for run in runs)
        record.add(f"due {due:.3f}: {late_count} requests ran in {ZONE} after it")
        await operator.order("DELETE", PATH)
    served = sum(sent.status == 200 for sent in clients.sent)
    record.add(f"{served} of {len(clients.sent)} requests were served")
    if served < 100:
        raise stages.CouldNotRunError("too few requests were served")
    return bool(late_count)


if __name__ == "__main__":
    stages.main(scenario, stages.Stage(case_folder=HERE, fronts=3))
