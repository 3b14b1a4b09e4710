"""Report on one request: how it ended, why, and what its host knew on arrival."""

import collections
import dataclasses
from collections import abc

from greengagehaven import log
from greengagehaven.explain import causes, host_state, lines

_ENDINGS = ("ended", "refused")


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestReport:
    """Everything that one host logged about one request.

    :param history: log lines of the request, in order.
    :param state_lines: state of the host when the request arrived, as text.
    """

    host: str
    history: tuple[lines.Line, ...]
    state_lines: tuple[str, ...]

    @property
    def objective_ms(self) -> float:
        """Return the latency objective in ms, 0 if none is logged."""
        return self.history[0].parse_number("objective_ms")

    @property
    def fate(self) -> causes.Fate | None:
        """Return how the request ended, or ``None`` if no end is logged."""
        if self.history[-1].event not in _ENDINGS:
            return None
        return causes.classify_fate(self.history[-1], self.objective_ms)

    @property
    def cause(self) -> causes.Cause:
        """Return why the request was not answered completely and on time."""
        fate = self.fate
        if fate is None:
            return causes.Cause.UNKNOWN
        return causes.find_cause(self.history, fate)

    def format_lines(self) -> abc.Iterator[str]:
        """Yield the report as lines of text."""
        first = self.history[0]
        yield f"on {self.host or 'an unknown host'} at {first.moment.isoformat()}"
        yield f"ended {self.fate or 'not yet'}, cause {self.cause}"
        yield "state of the host on arrival:"
        for described in self.state_lines:
            yield f"  {described}"
        yield "events, in ms since arrival:"
        for line in self.history:
            after = (line.moment - first.moment).total_seconds() * 1000
            yield f"  {after:8.0f}  {line.event}  {_format_fields(line)}"


def find(log_lines: abc.Iterable[lines.Line], request_id: str) -> list[RequestReport]:
    """Return the reports on a request, one per host that logged it."""
    states_by_host: dict[str, host_state.HostState] = collections.defaultdict(
        host_state.HostState
    )
    state_lines_by_host: dict[str, tuple[str, ...]] = {}
    history_by_host: dict[str, list[lines.Line]] = {}
    for line in log_lines:
        if line.fields.get("request") != request_id:
            states_by_host[line.host].apply(line)
            continue
        if line.host not in history_by_host:
            described = states_by_host[line.host].describe(line.moment)
            state_lines_by_host[line.host] = tuple(described)
        history_by_host.setdefault(line.host, []).append(line)
    return [
        RequestReport(
            host=host, history=tuple(history), state_lines=state_lines_by_host[host]
        )
        for host, history in history_by_host.items()
    ]


def _format_fields(line: lines.Line) -> str:
    return " ".join(
        f"{name}={log.format_value(value)}"
        for name, value in line.fields.items()
        if name != "request" and value
    )
