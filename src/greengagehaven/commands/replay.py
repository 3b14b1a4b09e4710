"""``greengagehaven replay``: hold a trace against its stated outcomes."""

import pathlib

import click
import msgspec

from greengagehaven.replay import outcomes, player, reader


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a replay, as ``--json`` prints it."""

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
    """Replay TRACE and print each stated outcome that was missed."""
    recorded = reader.read(trace)
    played = player.Player(recorded=recorded)
    played.run()
    report = Report(
        trace=trace.name,
        requests=len(played.searches_by_id),
        sub_requests=len(played.fleet.arrivals),
        expectations=len(recorded.expectations),
        missed=outcomes.find_missed(recorded, played),
    )
    if as_json:
        click.echo(msgspec.json.encode(report))
    else:
        _print(report)
    ctx.exit(1 if report.missed else 0)


def _print(report: Report) -> None:
    for line in report.missed:
        click.echo(line)
    click.echo(
        f"{report.trace}: {report.requests} requests, "
        f"{report.sub_requests} sub-requests, {report.expectations} outcomes stated, "
        f"{len(report.missed)} missed"
    )
