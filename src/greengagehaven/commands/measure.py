"""``measure``: a bounded load on loopback, with and without one mechanism."""

import asyncio
import json
import typing

import click

from greengagehaven import log
from greengagehaven.daemons.measure import (
    config_restart,
    revoked_key,
    runner,
    scenarios,
    usage_caps,
)
from greengagehaven.platform import loopback

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

_SCENARIO_NAMES = (
    *scenarios.SCENARIOS,
    config_restart.NAME,
    revoked_key.NAME,
    usage_caps.NAME,
)


@click.command()
@click.argument("scenario", type=click.Choice(sorted(_SCENARIO_NAMES)))
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--seconds",
    type=click.FloatRange(1, 15),
    default=8.0,
    show_default=True,
    help="Duration of each of the two runs.",
)
@click.option(
    "--hosts",
    type=click.IntRange(0, 50),
    default=9,
    show_default=True,
    help="Number of entry hosts, for config-restart, revoked-key and usage-caps only.",
)
@click.option(
    "--changes",
    type=click.IntRange(1, 2000),
    default=300,
    show_default=True,
    help="Number of changes, for config-restart only.",
)
@click.option(
    "--pace",
    type=click.FloatRange(0, 1),
    default=0.0,
    show_default=True,
    help="Seconds between two changes, for config-restart only.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option("--log-level", default="error", show_default=True)
def measure(
    scenario: str,
    seed: int,
    seconds: float,
    hosts: int,
    changes: int,
    pace: float,
    as_json: bool,
    log_level: str,
) -> None:
    """Run SCENARIO without and then with its mechanism, and compare the results."""
    log.configure(level=log_level)
    if scenario == config_restart.NAME:
        load = config_restart.Load(hosts=hosts, changes=changes, pace=pace)
        measured = asyncio.run(config_restart.measure(seed=seed, load=load))
        _print_parts(measured, config_restart.ABOUT, as_json)
        return
    if scenario == usage_caps.NAME:
        measured = asyncio.run(usage_caps.measure(seed=seed, hosts=hosts))
        _print_parts(measured, usage_caps.ABOUT, as_json)
        return
    if scenario == revoked_key.NAME:
        _run_revoked_key(hosts, seconds, as_json)
        return
    compared = asyncio.run(runner.compare(scenario, seed=seed, seconds=seconds))
    if as_json:
        click.echo(json.dumps(compared))
        return
    click.echo(f"{scenario}: {scenarios.SCENARIOS[scenario].about}")
    for field in _FIELDS:
        baseline, measured = compared["baseline"][field], compared["run"][field]
        click.echo(f"{field:>15} {baseline!s:>10} {measured!s:>10}")


def _run_revoked_key(hosts: int, seconds: float, as_json: bool) -> None:
    measured = asyncio.run(
        revoked_key.measure(
            hosts=max(1, hosts), seconds=seconds, platform=loopback.PLATFORM
        )
    )
    _print_parts(measured, revoked_key.ABOUT, as_json)


def _print_parts(measured: dict[str, typing.Any], about: str, as_json: bool) -> None:
    """Print every figure of a measurement that has fields of its own."""
    if as_json:
        click.echo(json.dumps(measured))
        return
    click.echo(f"{measured['scenario']}: {about}")
    for part in ("baseline", "run"):
        for field, value in measured[part].items():
            click.echo(f"{part:>8} {field:>22} {value!s:>10}")
