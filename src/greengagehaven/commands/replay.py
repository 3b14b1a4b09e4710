"""``greengagehaven replay``: replay a trace and check its expected outcomes."""

import pathlib

import click
import msgspec

from greengagehaven.replay import expectations, player, reader


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a replay, as printed by ``--json``."""

    trace: str
    requests: int
    sub_requests: int
    expectations: int
    missed: list[str]


@click.command()
@click.argument("trace", type=click.Path(path_type=pathlib.Path))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
def replay(ctx: click.Context, trace: pathlib.Path, as_json: bool) -> None:
    """Replay TRACE and print each expected outcome that did not occur."""
    recorded_trace = reader.read(trace)
    trace_player = player.Player(recorded=recorded_trace)
    trace_player.run()
    report = Report(
        trace=trace.name,
        requests=len(trace_player.searches_by_id),
        sub_requests=len(trace_player.fleet.arrivals),
        expectations=len(recorded_trace.expectations),
        missed=expectations.find_unmet(recorded_trace, trace_player),
    )
    if as_json:
        click.echo(msgspec.json.encode(report))
    else:
        _print_report(report)
    ctx.exit(1 if report.missed else 0)


def _print_report(report: Report) -> None:
    for line in report.missed:
        click.echo(line)
    click.echo(
        f"{report.trace}: {report.requests} requests, "
        f"{report.sub_requests} sub-requests, {report.expectations} outcomes expected, "
        f"{len(report.missed)} missed"
    )
