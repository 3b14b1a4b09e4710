"""How long sub-requests wait for room, to refuse early what would be late."""

import dataclasses
import typing

MAX_LANES = 20_000

_WEIGHT = 0.2


class Lane(typing.NamedTuple):
    """Sub-requests that wait alike: one subscriber, service and standing."""

    subscriber_id: str
    service: str
    standing: int


@dataclasses.dataclass(kw_only=True, slots=True)
class _Waits:
    """What is known of a lane.

    :param waiting: how many wait now.
    :param interval: moving average of the time from one that is sent to the next.
    :param moved_at: when one was last sent, or when the lane began to fill.
    """

    waiting: int = 0
    interval: float = 0.0
    moved_at: float = 0.0


class WaitTimes:
    """Waits by lane; lanes in which nothing waits are dropped beyond a bound."""

    def __init__(self) -> None:
        self._waits_by_lane: dict[Lane, _Waits] = {}

    def note_added(self, lane: Lane, *, since: float) -> None:
        """Count a sub-request that begins to wait."""
        waits = self._waits_by_lane.get(lane)
        if waits is None:
            self._make_room()
            waits = self._waits_by_lane[lane] = _Waits(moved_at=since)
        if waits.waiting == 0:
            waits.moved_at = max(waits.moved_at, since)
        waits.waiting += 1

    def note_removed(self, lane: Lane) -> None:
        """Count a sub-request that waits no longer, for whatever reason."""
        self._waits_by_lane[lane].waiting -= 1

    def note_sent(self, lane: Lane, *, now: float) -> None:
        """Take in that a sub-request was sent now."""
        waits = self._waits_by_lane.get(lane)
        if waits is None:
            return
        waits.interval += _WEIGHT * (now - waits.moved_at - waits.interval)
        waits.moved_at = now

    def expected(self, lane: Lane, now: float) -> float:
        """Return how long one more would wait, in seconds.

        It is the time in which those that wait now are sent at the pace seen
        lately. How long the last one waited would tell it too late: those
        behind it may be many more. Where nothing waits it is 0.
        """
        waits = self._waits_by_lane.get(lane)
        if waits is None or waits.waiting == 0:
            return 0.0
        return max(now - waits.moved_at, waits.waiting * waits.interval)

    def _make_room(self) -> None:
        if len(self._waits_by_lane) < MAX_LANES:
            return
        idle = [
            lane for lane, waits in self._waits_by_lane.items() if not waits.waiting
        ]
        for lane in idle:
            del self._waits_by_lane[lane]
