"""One page on one request."""

import collections
import dataclasses
from collections import abc

from greengagehaven import log
from greengagehaven.explain import beliefs, causes, lines

_ENDINGS = ("ended", "refused")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Story:
    """All that hosts logged of one request.

    :param believed: what its host believed when it arrived, a line each.
    """

    host: str
    history: tuple[lines.Line, ...]
    believed: tuple[str, ...]

    @property
    def objective_ms(self) -> float:
        """Return within how many ms it should have been answered."""
        return self.history[0].number("objective_ms")

    @property
    def fate(self) -> causes.Fate | None:
        """Return how it ended, ``None`` where no end is logged."""
        if self.history[-1].event not in _ENDINGS:
            return None
        return causes.fate_of(self.history[-1], self.objective_ms)

    @property
    def cause(self) -> causes.Cause:
        """Return the one cause for which it was not whole and on time."""
        fate = self.fate
        if fate is None:
            return causes.Cause.UNKNOWN
        return causes.cause_of(self.history, fate)

    def page(self) -> abc.Iterator[str]:
        """Yield the page line by line."""
        first = self.history[0]
        yield f"on {self.host or 'an unnamed host'} at {first.moment.isoformat()}"
        yield f"ended {self.fate or 'not yet'}, cause {self.cause}"
        yield "the host believed:"
        for told in self.believed:
            yield f"  {told}"
        yield "what happened, in ms:"
        for line in self.history:
            after = (line.moment - first.moment).total_seconds() * 1000
            yield f"  {after:8.0f}  {line.event}  {_described(line)}"


def find(read: abc.Iterable[lines.Line], request_id: str) -> list[Story]:
    """Return the stories of a request, one for each host that it reached."""
    beliefs_by_host: dict[str, beliefs.Beliefs] = collections.defaultdict(
        beliefs.Beliefs
    )
    believed_by_host: dict[str, tuple[str, ...]] = {}
    history_by_host: dict[str, list[lines.Line]] = {}
    for line in read:
        if line.fields.get("request") != request_id:
            beliefs_by_host[line.host].take(line)
            continue
        if line.host not in history_by_host:
            told = beliefs_by_host[line.host].described(line.moment)
            believed_by_host[line.host] = tuple(told)
        history_by_host.setdefault(line.host, []).append(line)
    return [
        Story(host=host, history=tuple(history), believed=believed_by_host[host])
        for host, history in history_by_host.items()
    ]


def _described(line: lines.Line) -> str:
    return " ".join(
        f"{name}={log.format_value(value)}"
        for name, value in line.fields.items()
        if name != "request" and value
    )
