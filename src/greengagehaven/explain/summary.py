"""Aggregates requests from logs by how they ended and why."""

import collections
import dataclasses
from collections import abc

from greengagehaven.explain import causes, lines

LATE_WORTH = 0.1
"""Share of its value that a late answer keeps. Known deployments use 0.1 for sweeps
and 0.3 for single requests."""

WINDOW_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndedRequest:
    """A request that has ended.

    :param second: seconds from the first log line of any host to its arrival.
    :param lost: share of its value lost to its caller, from 0 to 1.
    """

    route: str
    zone: str
    second: float
    fate: causes.Fate
    cause: causes.Cause
    lost: float


class Summary:
    """Aggregates ended requests from log lines.

    :param late_worth: share of its value that a late answer keeps.
    """

    def __init__(self, *, late_worth: float = LATE_WORTH) -> None:
        self.ended: list[EndedRequest] = []
        self._late_worth = late_worth
        self._zones_by_host: dict[str, str] = {}
        self._histories_by_request: dict[tuple[str, str], list[lines.Line]] = {}
        self._first_line: lines.Line | None = None

    def add(self, line: lines.Line) -> None:
        """Add the next log line of any host."""
        if self._first_line is None:
            self._first_line = line
        if line.event == "started":
            self._zones_by_host[line.host] = line.fields.get("zone", "")
        request_id = line.fields.get("request")
        if request_id is None:
            return
        key = (line.host, request_id)
        history = self._histories_by_request.setdefault(key, [])
        history.append(line)
        if line.event in ("ended", "refused"):
            del self._histories_by_request[key]
            self.ended.append(self._classify(history))

    def lost_by(self, *names: str) -> list[tuple[tuple[str, ...], int, float]]:
        """Return (key, number of requests, value lost) per group, largest loss first.

        :param names: fields of :class:`EndedRequest` to group by, or ``window`` for
            windows of ``WINDOW_S`` seconds.
        """
        counts: collections.Counter[tuple[str, ...]] = collections.Counter()
        losses: collections.Counter[tuple[str, ...]] = collections.Counter()
        for each in self.ended:
            if each.lost > 0:
                key = tuple(_group_value(each, name) for name in names)
                counts[key] += 1
                losses[key] += each.lost
        return [(key, counts[key], loss) for key, loss in losses.most_common()]

    @property
    def lost(self) -> float:
        """Return the value lost by all requests, each of value 1."""
        return sum(each.lost for each in self.ended)

    def _classify(self, history: abc.Sequence[lines.Line]) -> EndedRequest:
        assert self._first_line is not None
        ending = history[-1]
        fate = causes.classify_fate(ending, history[0].parse_number("objective_ms"))
        since_start = history[0].moment - self._first_line.moment
        return EndedRequest(
            route=ending.fields.get("route", "none"),
            zone=self._zones_by_host.get(ending.host, ""),
            second=since_start.total_seconds(),
            fate=fate,
            cause=causes.find_cause(history, fate),
            lost=self._loss_of(ending, fate),
        )

    def _loss_of(self, ending: lines.Line, fate: causes.Fate) -> float:
        match fate:
            case causes.Fate.ON_TIME | causes.Fate.LEFT:
                return 0.0
            case causes.Fate.LATE:
                return 1.0 - self._late_worth
            case causes.Fate.PARTIAL:
                missing = len(ending.fields.get("missing", "").split(","))
                parts = ending.parse_number("parts")
                # A partial answer is worth the square of its coverage.
                return 1.0 - (parts / (parts + missing)) ** 2
            case _:
                return 1.0


def _group_value(ended: EndedRequest, name: str) -> str:
    if name == "window":
        start = ended.second // WINDOW_S * WINDOW_S
        return f"{start:.0f} s"
    return str(getattr(ended, name))
