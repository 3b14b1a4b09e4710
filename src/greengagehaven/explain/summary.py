"""A day's requests by what became of them and why."""

import collections
import dataclasses
from collections import abc

from greengagehaven.explain import causes, lines

LATE_WORTH = 0.1
"""Share of its worth that a late answer keeps; the deployments that are known say
0.1 for sweeps and 0.3 for single requests."""

WINDOW_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ended:
    """One request that ended.

    :param second: since the first line of all hosts.
    :param lost: share of its worth that its caller did not get.
    """

    route: str
    zone: str
    second: float
    fate: causes.Fate
    cause: causes.Cause
    lost: float


class Summary:
    """Collects requests line by line.

    :param late_worth: share of its worth that a late answer keeps.
    """

    def __init__(self, *, late_worth: float = LATE_WORTH) -> None:
        self.ended: list[Ended] = []
        self._late_worth = late_worth
        self._zones_by_host: dict[str, str] = {}
        self._histories: dict[tuple[str, str], list[lines.Line]] = {}
        self._first: lines.Line | None = None

    def take(self, line: lines.Line) -> None:
        """Take in one more line of any host."""
        if self._first is None:
            self._first = line
        if line.event == "started":
            self._zones_by_host[line.host] = line.fields.get("zone", "")
        request_id = line.fields.get("request")
        if request_id is None:
            return
        key = (line.host, request_id)
        history = self._histories.setdefault(key, [])
        history.append(line)
        if line.event in ("ended", "refused"):
            del self._histories[key]
            self.ended.append(self._judge(history))

    def lost_by(self, *names: str) -> list[tuple[tuple[str, ...], int, float]]:
        """Return rows of keys, requests and worth lost, the greatest loss first.

        :param names: fields of :class:`Ended`, or ``window``.
        """
        counts: collections.Counter[tuple[str, ...]] = collections.Counter()
        losses: collections.Counter[tuple[str, ...]] = collections.Counter()
        for each in self.ended:
            if each.lost > 0:
                key = tuple(_field(each, name) for name in names)
                counts[key] += 1
                losses[key] += each.lost
        return [(key, counts[key], loss) for key, loss in losses.most_common()]

    @property
    def lost(self) -> float:
        """Return the worth lost of all requests, each worth 1."""
        return sum(each.lost for each in self.ended)

    def _judge(self, history: abc.Sequence[lines.Line]) -> Ended:
        assert self._first is not None
        ending = history[-1]
        fate = causes.fate_of(ending, history[0].number("objective_ms"))
        started = history[0].moment - self._first.moment
        return Ended(
            route=ending.fields.get("route", "none"),
            zone=self._zones_by_host.get(ending.host, ""),
            second=started.total_seconds(),
            fate=fate,
            cause=causes.cause_of(history, fate),
            lost=self._lost(ending, fate),
        )

    def _lost(self, ending: lines.Line, fate: causes.Fate) -> float:
        match fate:
            case causes.Fate.ON_TIME | causes.Fate.LEFT:
                return 0.0
            case causes.Fate.LATE:
                return 1.0 - self._late_worth
            case causes.Fate.PARTIAL:
                missing = len(ending.fields.get("missing", "").split(","))
                parts = ending.number("parts")
                return 1.0 - (parts / (parts + missing)) ** 2
            case _:
                return 1.0


def _field(ended: Ended, name: str) -> str:
    if name == "window":
        start = ended.second // WINDOW_S * WINDOW_S
        return f"{start:.0f} s"
    return str(getattr(ended, name))
