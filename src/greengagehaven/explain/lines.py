"""Reads the lines that hosts log."""

import dataclasses
import datetime
import re
from collections import abc

_PAIR = re.compile(r'([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED = re.compile(r"\\(.)")
_PLAIN_BY_ESCAPE = {"n": "\n", "r": "\r"}
_START = "time="


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """One event of one host.

    :param host: the word before the line's time where several hosts' logs are
        collected in one, else what the host said when it started.
    :param fields: all pairs but time, level and event.
    """

    moment: datetime.datetime
    host: str
    level: str
    event: str
    fields: abc.Mapping[str, str]

    def number(self, name: str) -> float:
        """Return a field as a number, 0 where it is none."""
        try:
            return float(self.fields.get(name, ""))
        except ValueError:
            return 0.0


def read(texts: abc.Iterable[str]) -> abc.Iterator[Line]:
    """Yield the events among lines of text; what is no event is passed over.

    Nothing is assumed about what stands before ``time=``: collectors of logs put
    the host there, or a time of their own.
    """
    started_host = ""
    for text in texts:
        line = _read_line(text, started_host)
        if line is None:
            continue
        if line.event == "started" and not _host_before(text):
            started_host = line.fields.get("host", "")
            line = dataclasses.replace(line, host=started_host)
        yield line


def _read_line(text: str, host: str) -> Line | None:
    start = text.find(_START)
    if start < 0:
        return None
    fields = {name: _plain(value) for name, value in _PAIR.findall(text[start:])}
    try:
        moment = datetime.datetime.fromisoformat(fields.pop("time"))
        event = fields.pop("event")
    except (KeyError, ValueError):
        return None
    return Line(
        moment=moment,
        host=_host_before(text) or host,
        level=fields.pop("level", ""),
        event=event,
        fields=fields,
    )


def _host_before(text: str) -> str:
    words = text[: text.find(_START)].split()
    return words[-1] if words else ""


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(
        lambda found: _PLAIN_BY_ESCAPE.get(found.group(1), found.group(1)),
        value[1:-1],
    )
