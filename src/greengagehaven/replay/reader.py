"""Reads trace files; errors name the line."""

import dataclasses
import pathlib
import typing

import msgspec

from greengagehaven import exceptions
from greengagehaven.protocol import trace

MAX_LINES = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NumberedLine:
    """A line of a trace with its line number, counted from 1."""

    number: int
    line: trace.AnyLine


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Trace:
    """A trace file.

    :param events: input lines, in the order of the file.
    :param expectations: lines that state an expected outcome.
    """

    header: trace.Header
    events: tuple[NumberedLine, ...]
    expectations: tuple[NumberedLine, ...]


def read(path: pathlib.Path) -> Trace:
    """Return the trace in a file; lines after ``MAX_LINES`` are ignored.

    :raises TraceError: the file cannot be read, or a line is not valid.
    """
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise exceptions.TraceError(f"{path}: {error.strerror}", line=0) from error
    if not lines:
        raise exceptions.TraceError("the trace is empty", line=1)
    header = _decode(lines[0], trace.Header, 1)
    if header.version != trace.VERSION:
        detail = f"version {header.version}, expected {trace.VERSION}"
        raise exceptions.TraceError(detail, line=1)
    numbered = [
        NumberedLine(number=number, line=_decode(data, trace.AnyLine, number))
        for number, data in enumerate(lines[1:MAX_LINES], start=2)
        if data.strip()
    ]
    expectation_types = typing.get_args(trace.ExpectationLine)
    return Trace(
        header=header,
        events=tuple(
            item for item in numbered if not isinstance(item.line, expectation_types)
        ),
        expectations=tuple(
            item for item in numbered if isinstance(item.line, expectation_types)
        ),
    )


def _decode(data: bytes, line_type: typing.Any, number: int) -> typing.Any:
    try:
        return msgspec.json.decode(data, type=line_type)
    except msgspec.DecodeError as error:
        raise exceptions.TraceError(str(error), line=number) from error
