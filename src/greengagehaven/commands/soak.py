"""``greengagehaven soak``: inject faults into real processes, check invariants."""

import asyncio
import pathlib
import tempfile
import time

import click
import msgspec

from greengagehaven import log
from greengagehaven.soak import planted_bugs, runner, schedule

_HOST_COUNTS_BY_SIZE = {"small": (2, 6), "usual": (3, 9), "large": (12, 30)}


@click.group()
def soak() -> None:
    """Inject faults into real processes and check invariants."""


@soak.command("run")
@click.option(
    "--seed", type=int, help="Seed of the random faults; default: the current time."
)
@click.option(
    "--minutes",
    type=click.FloatRange(0.05, 600),
    default=1.0,
    show_default=True,
    help="Duration in which faults begin.",
)
@click.option(
    "--size",
    type=click.Choice(list(_HOST_COUNTS_BY_SIZE)),
    default="usual",
    show_default=True,
    help="Entry hosts and upstreams: 2 and 6, 3 and 9, or 12 and 30.",
)
@click.option(
    "--plant",
    type=click.Choice(planted_bugs.NAMES),
    help="Plant a bug, which must be reported.",
)
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path),
    help="Empty folder for logs and the verdict; default: a new temporary folder.",
)
@click.pass_context
def run(
    ctx: click.Context,
    seed: int | None,
    minutes: float,
    size: str,
    plant: str | None,
    folder: pathlib.Path | None,
) -> None:
    """Inject random faults that are drawn from a seed."""
    seed = time.time_ns() // 1_000_000 if seed is None else seed
    entries, upstreams = _HOST_COUNTS_BY_SIZE[size]
    fault_schedule = schedule.draw(
        seed, seconds=60 * minutes, entries=entries, upstreams=upstreams
    )
    _run_soak(ctx, fault_schedule, folder, plant or "")


@soak.command()
@click.argument("folder", type=click.Path(path_type=pathlib.Path, exists=True))
@click.pass_context
def replay(ctx: click.Context, folder: pathlib.Path) -> None:
    """Inject the faults of an earlier run again, from its FOLDER."""
    data = (folder / "schedule.json").read_bytes()
    _run_soak(ctx, msgspec.json.decode(data, type=schedule.Schedule), None, "")


def _run_soak(
    ctx: click.Context,
    fault_schedule: schedule.Schedule,
    folder: pathlib.Path | None,
    planted_bug: str,
) -> None:
    log.configure(level="ERROR")
    if folder is None:
        folder = pathlib.Path(tempfile.mkdtemp(prefix="greengagehaven-soak-"))
    soak_run = runner.Runner(
        fault_schedule=fault_schedule, folder=folder, planted_bug=planted_bug
    )
    verdict = asyncio.run(soak_run.run())
    counts = " ".join(f"{name} {count}" for name, count in verdict.counts.items())
    click.echo(f"seed {verdict.seed}: {verdict.faults} faults, {counts}")
    for violation in verdict.broken[:20]:
        click.echo(
            f"  {violation.second:7.2f} s  {violation.promise}: {violation.detail}"
        )
    if verdict.broken:
        click.echo(f"{len(verdict.broken)} invariants violated; see {folder}")
    ctx.exit(1 if verdict.broken else 0)
