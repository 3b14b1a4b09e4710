"""``measure``: a bounded load on loopback, with and without a mechanism."""

import asyncio
import json

import click

from greengagehaven import log
from greengagehaven.daemons.measure import runner, scenarios

_FIELDS = (
    "queries",
    "p50_ms",
    "p99_ms",
    "calm_p99_ms",
    "fault_p99_ms",
    "complete_share",
    "coverage_mean",
    "extra_load",
    "over_slots",
    "slot_share",
    "refused",
    "failed",
    "wrong",
    "doubled",
    "violations",
)


@click.command()
@click.argument("scenario", type=click.Choice(sorted(scenarios.SCENARIOS)))
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--seconds",
    type=click.FloatRange(1, 15),
    default=8.0,
    show_default=True,
    help="Length of each of the two loads.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option("--log-level", default="error", show_default=True)
def measure(
    scenario: str, seed: int, seconds: float, as_json: bool, log_level: str
) -> None:
    """Run SCENARIO without its mechanism, then with it, and compare."""
    log.configure(level=log_level)
    compared = asyncio.run(runner.compare(scenario, seed=seed, seconds=seconds))
    if as_json:
        click.echo(json.dumps(compared))
        return
    click.echo(f"{scenario}: {scenarios.SCENARIOS[scenario].about}")
    for field in _FIELDS:
        baseline, with_it = compared["baseline"][field], compared["run"][field]
        click.echo(f"{field:>15} {baseline!s:>10} {with_it!s:>10}")
