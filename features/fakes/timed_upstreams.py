"""Upstreams that answer after a stated time on a tier's manual clock."""

import heapq
import itertools
import typing

from fakes import core as fake_core
from greengagehaven.protocol import upstream

Cost = typing.Callable[[upstream.SubRequest], float]


class TimedUpstreams:
    """Answers every sub-request of a tier after its cost.

    :param cost_of: seconds that a sub-request takes.
    :param on_served: called after each answer.
    """

    def __init__(
        self,
        *,
        tier: fake_core.FakeTier,
        cost_of: Cost,
        on_served: typing.Callable[[upstream.SubRequest], None] = lambda sent: None,
    ) -> None:
        self._tier = tier
        self._cost_of = cost_of
        self._on_served = on_served
        self._ends: list[tuple[float, int, upstream.SubRequest]] = []
        self._order = itertools.count()
        self._seen: set[tuple[str, int]] = set()
        self.served: list[upstream.SubRequest] = []

    def run(self, seconds: float) -> None:
        """Let time pass and answer what is due."""
        target = self._tier.clock.monotonic() + seconds
        self._take_new()
        while self._ends and self._ends[0][0] <= target:
            moment, _, sub_request = heapq.heappop(self._ends)
            self._tier.advance(max(0.0, moment - self._tier.clock.monotonic()))
            self._tier.reply(sub_request)
            self.served.append(sub_request)
            self._on_served(sub_request)
            self._take_new()
        self._tier.advance(target - self._tier.clock.monotonic())
        self._take_new()

    def _take_new(self) -> None:
        now = self._tier.clock.monotonic()
        for sub_request in list(self._tier.in_flight.values()):
            if sub_request.id in self._seen:
                continue
            self._seen.add(sub_request.id)
            end = now + self._cost_of(sub_request)
            heapq.heappush(self._ends, (end, next(self._order), sub_request))
