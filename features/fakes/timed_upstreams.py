"""Upstreams behind a tier's own gates that answer after a stated time."""

import heapq
import itertools
import typing

import msgspec

from fakes import core as fake_core
from greengagehaven.coordination import events, gates
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
        self.started: list[upstream.SubRequest] = []
        self.served: list[upstream.SubRequest] = []

    def run(self, seconds: float) -> None:
        """Let time pass and answer what is due.

        ``started`` and ``served`` tell what the upstreams got and answered.
        """
        target = self._tier.clock.monotonic() + seconds
        self._take_new()
        while self._ends and self._ends[0][0] <= target:
            moment, _, sub_request = heapq.heappop(self._ends)
            self._tier.advance(max(0.0, moment - self._tier.clock.monotonic()))
            self._reply(sub_request)
            self.served.append(sub_request)
            self._on_served(sub_request)
            self._take_new()
        self._tier.advance(target - self._tier.clock.monotonic())
        self._take_new()

    def _reply(self, sub_request: upstream.SubRequest) -> None:
        replied = upstream.Replied(
            request_id=sub_request.request_id,
            attempt=sub_request.attempt,
            upstream_id=sub_request.upstream_id,
            rows=(msgspec.Raw(b"{}"),),
        )
        self._carry_out(self._tier.core.gates.end(replied))

    def _take_new(self) -> None:
        new = [
            sub_request
            for sub_request in self._tier.in_flight.values()
            if sub_request.id not in self._seen
        ]
        self._seen.update(sub_request.id for sub_request in new)
        self._carry_out(self._tier.core.gates.offer(new))

    def _carry_out(self, passage: gates.Passage) -> None:
        for outcome in passage.outcomes:
            self._tier.in_flight.pop((outcome.request_id, outcome.attempt), None)
            self._tier.step(events.OutcomeReceived(outcome=outcome))
        now = self._tier.clock.monotonic()
        self.started.extend(passage.to_send)
        for sub_request in passage.to_send:
            end = now + self._cost_of(sub_request)
            heapq.heappush(self._ends, (end, next(self._order), sub_request))
