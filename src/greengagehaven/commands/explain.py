"""``greengagehaven explain``: find why a request went wrong from the hosts' logs."""

import contextlib
import itertools
import pathlib
import sys
from collections import abc

import click
import msgspec

from greengagehaven import exceptions
from greengagehaven.explain import lines, request_report, summary

_SUMMARY_TABLES = (
    ("cause", "fate"),
    ("route", "cause"),
    ("zone", "cause"),
    ("window", "cause"),
)
_MAX_ROWS_PER_TABLE = 12


@click.command()
@click.argument("request_id", required=False)
@click.argument("files", nargs=-1, type=click.Path(path_type=pathlib.Path, exists=True))
@click.option("--summary", "is_summary", is_flag=True, help="Summarize all requests.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def explain(
    request_id: str | None,
    files: tuple[pathlib.Path, ...],
    is_summary: bool,
    as_json: bool,
) -> None:
    """Show how REQUEST_ID ended, and why, from the logs in FILES.

    Reads standard input if no files are given. With --summary every argument is
    a file, and the requests in all of them are summarized by cause.
    """
    if is_summary:
        first = () if request_id is None else (pathlib.Path(request_id),)
        _print_summary((*first, *files), as_json)
    elif request_id is None:
        raise click.UsageError("give a request id or --summary")
    else:
        _print_reports(request_id, files, as_json)


def _print_reports(
    request_id: str, files: abc.Sequence[pathlib.Path], as_json: bool
) -> None:
    reports = request_report.find(_read_lines(files), request_id)
    if not reports:
        raise exceptions.NotFoundError(f"no line names request {request_id}")
    if as_json:
        records = [
            {"host": each.host, "fate": each.fate, "cause": each.cause}
            for each in reports
        ]
        click.echo(msgspec.json.encode(records))
        return
    for each in reports:
        for line in each.format_lines():
            click.echo(line)


def _print_summary(files: abc.Sequence[pathlib.Path], as_json: bool) -> None:
    totals = summary.Summary()
    for line in _read_lines(files):
        totals.add(line)
    if as_json:
        click.echo(msgspec.json.encode(_summary_record(totals)))
        return
    count = len(totals.ended)
    click.echo(f"{count} requests; value lost, in requests: {totals.lost:.1f}")
    for names in _SUMMARY_TABLES:
        click.echo("")
        click.echo(f"{' / '.join(names):40} requests     lost")
        for key, requests, loss in totals.lost_by(*names)[:_MAX_ROWS_PER_TABLE]:
            click.echo(f"{' / '.join(key):40} {requests:8} {loss:8.1f}")


def _summary_record(totals: summary.Summary) -> dict[str, object]:
    record: dict[str, object] = {
        "requests": len(totals.ended),
        "lost": round(totals.lost, 3),
    }
    for names in _SUMMARY_TABLES:
        record["_".join(names)] = [
            {"key": key, "requests": requests, "lost": round(loss, 3)}
            for key, requests, loss in totals.lost_by(*names)
        ]
    return record


def _read_lines(files: abc.Sequence[pathlib.Path]) -> abc.Iterator[lines.Line]:
    if not files:
        yield from lines.read(sys.stdin)
        return
    with contextlib.ExitStack() as stack:
        streams = [
            stack.enter_context(path.open(encoding="utf-8", errors="replace"))
            for path in files
        ]
        yield from itertools.chain.from_iterable(map(lines.read, streams))
