"""Expected time in the queue, to reject early what would miss its deadline."""

import dataclasses
import typing

MAX_WAIT_CLASSES = 20_000

_INTERVAL_WEIGHT = 0.2


class WaitClass(typing.NamedTuple):
    """Sub-requests of the same subscriber, service and standing."""

    subscriber_id: str
    service: str
    standing: int


@dataclasses.dataclass(kw_only=True, slots=True)
class _Waits:
    """Queue statistics of a class.

    :param waiting: number of queued sub-requests.
    :param interval: moving average of the time between two that are sent, in seconds.
    :param progressed_at: when one was last sent or the class became non-empty, in
        monotonic seconds.
    """

    waiting: int = 0
    interval: float = 0.0
    progressed_at: float = 0.0


class WaitTimes:
    """Waiting times by class; beyond ``MAX_WAIT_CLASSES``, idle ones are dropped."""

    def __init__(self) -> None:
        self._waits_by_class: dict[WaitClass, _Waits] = {}

    def record_added(self, wait_class: WaitClass, *, queued_at: float) -> None:
        """Record that a sub-request was queued at ``queued_at`` (monotonic seconds)."""
        waits = self._waits_by_class.get(wait_class)
        if waits is None:
            self._drop_idle()
            waits = self._waits_by_class[wait_class] = _Waits(progressed_at=queued_at)
        if waits.waiting == 0:
            waits.progressed_at = max(waits.progressed_at, queued_at)
        waits.waiting += 1

    def record_removed(self, wait_class: WaitClass) -> None:
        """Record that a sub-request left the queue, for whatever reason."""
        self._waits_by_class[wait_class].waiting -= 1

    def record_sent(self, wait_class: WaitClass, *, now: float) -> None:
        """Record that a sub-request was sent at ``now`` (monotonic seconds)."""
        waits = self._waits_by_class.get(wait_class)
        if waits is None:
            return
        waits.interval += _INTERVAL_WEIGHT * (
            now - waits.progressed_at - waits.interval
        )
        waits.progressed_at = now

    def expected_wait(self, wait_class: WaitClass, now: float) -> float:
        """Return the expected waiting time of one more sub-request, in seconds.

        It is the time to send those queued now at the recent rate. The wait of the last
        one sent would react too late, as many more may be queued behind it. It is 0 if
        none is queued.
        """
        waits = self._waits_by_class.get(wait_class)
        if waits is None or waits.waiting == 0:
            return 0.0
        return max(now - waits.progressed_at, waits.waiting * waits.interval)

    def _drop_idle(self) -> None:
        if len(self._waits_by_class) < MAX_WAIT_CLASSES:
            return
        idle = [
            wait_class
            for wait_class, waits in self._waits_by_class.items()
            if not waits.waiting
        ]
        for wait_class in idle:
            del self._waits_by_class[wait_class]
