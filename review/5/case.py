"""Control machines are replaced one after the other, each time the leader."""

import asyncio
import json
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import stage as stages  # noqa: E402

REPLACED = 3
READ_S = 30.0
MARGIN_S = 0.2


async def replace_leader(stage: stages.Stage, operator: stages.Operator) -> None:
    """Start an empty machine, wait until it has had its time, and remove the leader."""
    record = stage.record
    successor = stage.add_control()
    successor.start()
    started_at = record.now
    operator.add(successor)
    due = started_at + stage.bounds["catchupS"] + MARGIN_S
    await asyncio.sleep(max(0.0, due - record.now))
    leader = stage.leader()
    assert leader is not None
    record.add(
        f"{leader.name} leads and is taken away; {successor.name} took its place"
    )
    leader.signal(signal.SIGKILL)
    assert leader.process is not None
    leader.process.wait()
    stage.remove_control(leader)
    operator.remove(leader)


async def scenario(stage: stages.Stage, has_trouble: bool) -> bool:
    """Return whether the configuration can't be read any more."""
    record, operator = stage.record, stages.Operator(stage=stage)
    await stage.start()
    routes = [stages.route("parcel", backend="owner-view")]
    table = stages.configuration(1, routes, {"owner-view": 110})
    await operator.configure(table)
    await stage.wait_ready()
    await asyncio.sleep(6.0)
    for _ in range(REPLACED if has_trouble else 0):
        await replace_leader(stage, operator)
    ended_at = record.now
    record.add(f"control processes left: {[node.name for node in stage.controls]}")
    while record.now < ended_at + READ_S:
        try:
            reply = await operator.order("GET", "/greengagehaven/config", timeout=10.0)
        except stages.CouldNotRunError:
            continue
        if reply.status == 200 and json.loads(reply.body) == table:
            record.add("the configuration was read back")
            return False
    record.add(f"the configuration did not come for {READ_S} s")
    return True


if __name__ == "__main__":
    stages.main(scenario, stages.Stage(case_folder=HERE, controls=3))
