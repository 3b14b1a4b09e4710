"""``greengagehaven explain``: from a request's id to the cause, from hosts' logs."""

import contextlib
import itertools
import pathlib
import sys
from collections import abc

import click
import msgspec

from greengagehaven import exceptions
from greengagehaven.explain import lines, story, summary

TABLES = (("cause", "fate"), ("route", "cause"), ("zone", "cause"), ("window", "cause"))
MOST_ROWS = 12


@click.command()
@click.argument("request_id", required=False)
@click.argument("files", nargs=-1, type=click.Path(path_type=pathlib.Path, exists=True))
@click.option("--summary", "is_summary", is_flag=True, help="Sum up all requests.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def explain(
    request_id: str | None,
    files: tuple[pathlib.Path, ...],
    is_summary: bool,
    as_json: bool,
) -> None:
    """Tell what became of REQUEST_ID, and why, from the logs in FILES.

    Reads standard input where there are no files. With --summary every argument is
    a file, and the requests of all of them are summed up by cause.
    """
    if is_summary:
        first = () if request_id is None else (pathlib.Path(request_id),)
        _summarize((*first, *files), as_json)
    elif request_id is None:
        raise click.UsageError("name a request, or give --summary")
    else:
        _tell(request_id, files, as_json)


def _tell(request_id: str, files: abc.Sequence[pathlib.Path], as_json: bool) -> None:
    stories = story.find(_read(files), request_id)
    if not stories:
        raise exceptions.NotFoundError(f"no line names request {request_id}")
    if as_json:
        told = [
            {"host": each.host, "fate": each.fate, "cause": each.cause}
            for each in stories
        ]
        click.echo(msgspec.json.encode(told))
        return
    for each in stories:
        for line in each.page():
            click.echo(line)


def _summarize(files: abc.Sequence[pathlib.Path], as_json: bool) -> None:
    collected = summary.Summary()
    for line in _read(files):
        collected.take(line)
    if as_json:
        click.echo(msgspec.json.encode(_facts(collected)))
        return
    count = len(collected.ended)
    click.echo(f"{count} requests, worth of {collected.lost:.1f} of them lost")
    for names in TABLES:
        click.echo("")
        click.echo(f"{' / '.join(names):40} requests     lost")
        for key, requests, loss in collected.lost_by(*names)[:MOST_ROWS]:
            click.echo(f"{' / '.join(key):40} {requests:8} {loss:8.1f}")


def _facts(collected: summary.Summary) -> dict[str, object]:
    facts: dict[str, object] = {
        "requests": len(collected.ended),
        "lost": round(collected.lost, 3),
    }
    for names in TABLES:
        facts["_".join(names)] = [
            {"key": key, "requests": requests, "lost": round(loss, 3)}
            for key, requests, loss in collected.lost_by(*names)
        ]
    return facts


def _read(files: abc.Sequence[pathlib.Path]) -> abc.Iterator[lines.Line]:
    if not files:
        yield from lines.read(sys.stdin)
        return
    with contextlib.ExitStack() as stack:
        opened = [
            stack.enter_context(path.open(encoding="utf-8", errors="replace"))
            for path in files
        ]
        yield from itertools.chain.from_iterable(map(lines.read, opened))
