"""``greengagehaven soak``: real processes, faults from outside, promises checked."""

import asyncio
import pathlib
import tempfile
import time

import click
import msgspec

from greengagehaven import log
from greengagehaven.soak import plants, runner, schedule

SIZES = {"small": (2, 6), "usual": (3, 9), "large": (12, 30)}


@click.group()
def soak() -> None:
    """Play faults against real processes and check what is promised."""


@soak.command("run")
@click.option("--seed", type=int, help="Draws the faults; the time if not given.")
@click.option(
    "--minutes",
    type=click.FloatRange(0.05, 600),
    default=1.0,
    show_default=True,
    help="In which faults begin.",
)
@click.option(
    "--size",
    type=click.Choice(list(SIZES)),
    default="usual",
    show_default=True,
    help="Entry hosts and upstreams: 2 and 6, 3 and 9, 12 and 30.",
)
@click.option(
    "--plant", type=click.Choice(plants.PLANTS), help="Do one thing wrong on purpose."
)
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path),
    help="Where logs and the verdict go; a new one under the temporary folder.",
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
    """Play faults drawn by a seed."""
    seed = time.time_ns() // 1_000_000 if seed is None else seed
    entries, upstreams = SIZES[size]
    drawn = schedule.draw(
        seed, seconds=60 * minutes, entries=entries, upstreams=upstreams
    )
    _play(ctx, drawn, folder, plant or "")


@soak.command()
@click.argument("folder", type=click.Path(path_type=pathlib.Path, exists=True))
@click.pass_context
def replay(ctx: click.Context, folder: pathlib.Path) -> None:
    """Play the faults of an earlier run's FOLDER again."""
    data = (folder / "schedule.json").read_bytes()
    _play(ctx, msgspec.json.decode(data, type=schedule.Schedule), None, "")


def _play(
    ctx: click.Context,
    played: schedule.Schedule,
    folder: pathlib.Path | None,
    plant: str,
) -> None:
    log.configure(level="ERROR")
    if folder is None:
        folder = pathlib.Path(tempfile.mkdtemp(prefix="greengagehaven-soak-"))
    one = runner.Runner(played=played, folder=folder, plant=plant)
    verdict = asyncio.run(one.run())
    counts = " ".join(f"{name} {count}" for name, count in verdict.counts.items())
    click.echo(f"seed {verdict.seed}: {verdict.faults} faults, {counts}")
    for broken in verdict.broken[:20]:
        click.echo(f"  {broken.second:7.2f} s  {broken.promise}: {broken.detail}")
    if verdict.broken:
        click.echo(f"{len(verdict.broken)} promises broken; see {folder}")
    ctx.exit(1 if verdict.broken else 0)
