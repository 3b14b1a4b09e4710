"""Parser for the log lines of hosts."""

import dataclasses
import datetime
import re
from collections import abc

_PAIR = re.compile(r'([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPE = re.compile(r"\\(.)")
_CHARACTERS_BY_ESCAPE = {"n": "\n", "r": "\r"}
_TIME_KEY = "time="


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """One log event of one host.

    :param host: the word before ``time=`` if the log collects several hosts, else
        the host id of the last ``started`` event.
    :param fields: all key-value pairs but time, level and event.
    """

    moment: datetime.datetime
    host: str
    level: str
    event: str
    fields: abc.Mapping[str, str]

    def parse_number(self, name: str) -> float:
        """Return a field as a number, or 0 if it is missing or not a number."""
        try:
            return float(self.fields.get(name, ""))
        except ValueError:
            return 0.0


def read(text_lines: abc.Iterable[str]) -> abc.Iterator[Line]:
    """Yield the events in lines of text; lines that are no events are skipped.

    Any prefix before ``time=`` is allowed, as log collectors put the host or a
    timestamp of their own there.
    """
    started_host = ""
    for text in text_lines:
        line = _parse_line(text, started_host)
        if line is None:
            continue
        if line.event == "started" and not _host_prefix(text):
            started_host = line.fields.get("host", "")
            line = dataclasses.replace(line, host=started_host)
        yield line


def _parse_line(text: str, host: str) -> Line | None:
    start = text.find(_TIME_KEY)
    if start < 0:
        return None
    fields = {name: _unquote(value) for name, value in _PAIR.findall(text[start:])}
    try:
        moment = datetime.datetime.fromisoformat(fields.pop("time"))
        event = fields.pop("event")
    except (KeyError, ValueError):
        return None
    return Line(
        moment=moment,
        host=_host_prefix(text) or host,
        level=fields.pop("level", ""),
        event=event,
        fields=fields,
    )


def _host_prefix(text: str) -> str:
    words = text[: text.find(_TIME_KEY)].split()
    return words[-1] if words else ""


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPE.sub(
        lambda match: _CHARACTERS_BY_ESCAPE.get(match.group(1), match.group(1)),
        value[1:-1],
    )
