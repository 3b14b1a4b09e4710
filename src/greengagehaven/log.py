"""Structured logging through loguru: one line of key=value pairs per event."""

import datetime
import re
import sys
import typing
from collections import abc

from loguru import logger as _logger

_NEEDS_QUOTES = re.compile(r'[ "=\n\r\t]').search
_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r"})


def configure(*, level: str = "INFO", sink: typing.Any = None) -> None:
    """Send events of at least ``level`` to ``sink``, by default standard error."""
    _logger.remove()
    _logger.add(sink or sys.stderr, level=level.upper(), format=_format_line)


def info(event: str, **fields: object) -> None:
    """Log an event of normal operation."""
    _logger.bind(fields=fields).info(event)


def warning(event: str, **fields: object) -> None:
    """Log an event that an operator may have to act on."""
    _logger.bind(fields=fields).warning(event)


def error(event: str, **fields: object) -> None:
    """Log an event that an operator must act on."""
    _logger.bind(fields=fields).error(event)


def debug(event: str, **fields: object) -> None:
    """Log an event that is of use only to developers."""
    _logger.bind(fields=fields).debug(event)


def format_value(value: object) -> str:
    """Return a value formatted for a ``key=value`` pair, quoted where needed."""
    text = "" if value is None else str(value)
    if not text or _NEEDS_QUOTES(text):
        return f'"{text.translate(_ESCAPES)}"'
    return text


def format_line(
    moment: datetime.datetime,
    level: str,
    event: str,
    fields: abc.Mapping[str, object],
) -> str:
    """Return a log line of key=value pairs, including the line end."""
    pairs = {
        "time": moment.isoformat(timespec="milliseconds"),
        "level": level,
        "event": event,
        **fields,
    }
    return " ".join(f"{key}={format_value(value)}" for key, value in pairs.items()) + (
        "\n"
    )


def _format_line(record: typing.Any) -> str:
    record["extra"]["line"] = format_line(
        record["time"],
        record["level"].name.lower(),
        record["message"],
        record["extra"].get("fields", {}),
    )
    return "{extra[line]}"
