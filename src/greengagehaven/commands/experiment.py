"""``greengagehaven experiment``: evaluate routing policies in simulated time."""

import contextlib
import importlib
import pathlib
import typing
from collections import abc

import click
import msgspec

from greengagehaven import exceptions
from greengagehaven.coordination.routing import mechanisms

_DEFAULT_SEED_COUNT = 4


def _import_experiment(module: str) -> typing.Any:
    """Import a module of the ``experiment`` extra, which daemons run without.

    :raises SettingError: the extra is not installed.
    """
    try:
        return importlib.import_module(f"greengagehaven.experiment.{module}")
    except ModuleNotFoundError as error:
        raise exceptions.SettingError(
            place="greengagehaven[experiment]",
            value=str(error.name),
            expected="the extra to be installed",
        ) from error


@click.group()
def experiment() -> None:
    """Evaluate routing policies in simulated time."""


def _common_options(command: typing.Any) -> typing.Any:
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print one JSON object."),
        click.option(
            "--jobs",
            type=click.IntRange(1, 64),
            default=1,
            show_default=True,
            help="Number of parallel processes.",
        ),
        click.option(
            "--seeds",
            type=click.IntRange(1, 1000),
            default=_DEFAULT_SEED_COUNT,
            show_default=True,
            help="Number of seeds, counted from 1.",
        ),
        click.option(
            "--day",
            default="calm",
            show_default=True,
            help="Day of the environment to simulate.",
        ),
    ):
        command = option(command)
    return command


@experiment.command()
@click.argument("environment")
@_common_options
@click.option(
    "--without", default="", help="Mechanisms to disable, separated by commas."
)
@click.option(
    "--report", type=click.Path(path_type=pathlib.Path), help="Write an HTML report."
)
def run(
    environment: str,
    day: str,
    seeds: int,
    jobs: int,
    as_json: bool,
    without: str,
    report: pathlib.Path | None,
) -> None:
    """Simulate a day of ENVIRONMENT: a file, or the name of a bundled one."""
    results = _run_days(environment, day, seeds, jobs, without=without)
    if report is not None:
        declared = _import_experiment("environment").load(pathlib.Path(environment))
        page = _import_experiment("report").render(results, [], declared.day(day))
        report.write_text(page, encoding="utf-8")
    if as_json:
        click.echo(msgspec.json.encode(results))
        return
    for result in results:
        _print_result(result)
    first = results[0]
    for row in (*first.kinds, *first.zones):
        click.echo(
            f"  {row.key:16} asked {row.asked:6} earned {row.earned:.4f} "
            f"late {row.late} partial {row.partial} refused {row.refused} "
            f"failed {row.failed}"
        )
    for loss in first.losses:
        click.echo(
            f"  lost by {loss.cause:14} {loss.lost:.4f} ({loss.callers} callers)"
        )


@experiment.command()
@click.argument("first")
@click.argument("second")
@_common_options
def compare(
    first: str, second: str, day: str, seeds: int, jobs: int, as_json: bool
) -> None:
    """Compare two policies on the same seeds.

    FIRST and SECOND are ENVIRONMENT or ENVIRONMENT:MECHANISM,..., which disables
    the listed mechanisms.
    """
    running = _import_experiment("running")
    base = _run_days(
        *_split_policy(first, day), seeds, jobs, without=_disabled_mechanisms(first)
    )
    other = _run_days(
        *_split_policy(second, day), seeds, jobs, without=_disabled_mechanisms(second)
    )
    _print_differences([running.compare(second, base, other)], as_json)


@experiment.command()
@click.argument("environment")
@_common_options
def ablate(environment: str, day: str, seeds: int, jobs: int, as_json: bool) -> None:
    """Disable each mechanism in turn and measure what it contributes."""
    running = _import_experiment("running")
    base = _run_days(environment, day, seeds, jobs)
    differences = []
    for name in mechanisms.NAMES:
        other = _run_days(environment, day, seeds, jobs, without=name)
        differences.append(running.compare(f"without {name}", base, other))
    _print_differences(differences, as_json)


@experiment.command()
@click.argument("environment")
@_common_options
@click.option(
    "--load",
    "loads",
    multiple=True,
    type=float,
    help="Load multiplier; may be given several times.",
)
@click.option(
    "--hosts",
    "hosts",
    multiple=True,
    type=float,
    help="Multiplier of the number of hosts; may be given several times.",
)
def sweep(
    environment: str,
    day: str,
    seeds: int,
    jobs: int,
    as_json: bool,
    loads: tuple[float, ...],
    hosts: tuple[float, ...],
) -> None:
    """Simulate a day at several loads or with several numbers of entry hosts."""
    points = []
    for name, value in [*(("load", v) for v in loads), *(("hosts", v) for v in hosts)]:
        results = _run_days(environment, day, seeds, jobs, **{name: value})
        points.append({"setting": name, "value": value, "results": results})
        if not as_json:
            earned = sum(each.earned for each in results) / len(results)
            tail = sum(each.tail_ms[2] for each in results) / len(results)
            click.echo(f"{name} x {value:<6g} earned {earned:.4f} p99 {tail:.1f} ms")
    if as_json:
        click.echo(msgspec.json.encode(points))


@experiment.command()
@click.argument("seed", type=int)
def draw(seed: int) -> None:
    """Print a random environment generated from SEED."""
    click.echo(_import_experiment("drawing").draw(seed), nl=False)


def _split_policy(text: str, day: str) -> tuple[str, str]:
    return text.partition(":")[0], day


def _disabled_mechanisms(text: str) -> str:
    return text.partition(":")[2]


def _run_days(
    environment: str,
    day: str,
    seeds: int,
    jobs: int,
    **changes: typing.Any,
) -> list[typing.Any]:
    running = _import_experiment("running")
    runs = [
        running.SimulationParameters(path=environment, day=day, seed=seed, **changes)
        for seed in range(1, seeds + 1)
    ]
    label = f"{environment} {day} {changes.get('without') or ''}".strip()
    with _progress(label, len(runs)) as on_done:
        return running.run_all(runs, jobs=jobs, on_done=on_done)


@contextlib.contextmanager
def _progress(label: str, count: int) -> abc.Iterator[abc.Callable[[], None]]:
    """Show a progress bar of simulated days if standard error is a terminal."""
    from rich import console, progress

    stderr = console.Console(stderr=True)
    with progress.Progress(console=stderr, disable=not stderr.is_terminal) as bar:
        task = bar.add_task(label, total=count)
        yield lambda: bar.advance(task)


def _print_result(result: typing.Any) -> None:
    p50, p95, p99 = result.tail_ms
    click.echo(
        f"{result.environment} {result.day} seed {result.seed}: {result.callers} "
        f"callers, earned {result.earned:.4f}, worst windows "
        f"{result.worst_windows:.4f}, p50 {p50} p95 {p95} p99 {p99} ms, coverage "
        f"{result.coverage:.4f}, extra load {result.extra_load:.4f}"
    )
    if result.refusals:
        click.echo(
            f"  refusals {result.refusals}, held {result.held_refusals} (mean "
            f"{result.mean_hold_ms} ms), unavailable "
            f"{result.unavailable_refusals}, false {result.false_refusals}"
        )


def _print_differences(differences: list[typing.Any], as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(differences))
        return
    for each in differences:
        click.echo(
            f"{each.label:28} earned {each.earned:.4f} difference {each.mean:+.4f} "
            f"({each.low:+.4f} to {each.high:+.4f}, {each.seeds} seeds)"
        )
