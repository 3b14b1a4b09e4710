"""Upstreams behind a tier's own gates that reply after a given duration."""

import heapq
import itertools
import typing

import msgspec

from fakes import core as fake_core
from greengagehaven.coordination import events, gates
from greengagehaven.protocol import upstream

DurationFunction = typing.Callable[[upstream.SubRequest], float]


class TimedUpstreams:
    """Replies to every sub-request of a tier after its duration.

    :param duration_of: returns the seconds that a sub-request takes.
    :param on_served: called after each reply.
    """

    def __init__(
        self,
        *,
        tier: fake_core.CoreHarness,
        duration_of: DurationFunction,
        on_served: typing.Callable[[upstream.SubRequest], None] = lambda sent: None,
    ) -> None:
        self._tier = tier
        self._duration_of = duration_of
        self._on_served = on_served
        self._scheduled_replies: list[tuple[float, int, upstream.SubRequest]] = []
        self._sequence = itertools.count()
        self._seen_ids: set[tuple[str, int]] = set()
        self.started: list[upstream.SubRequest] = []
        self.served: list[upstream.SubRequest] = []

    def run(self, seconds: float) -> None:
        """Advance the clock and deliver the replies that fall due.

        ``started`` and ``served`` list the sub-requests sent and replied to.
        """
        end_of_run = self._tier.clock.monotonic() + seconds
        self._start_new()
        while self._scheduled_replies and self._scheduled_replies[0][0] <= end_of_run:
            end, _, sub_request = heapq.heappop(self._scheduled_replies)
            self._tier.advance(max(0.0, end - self._tier.clock.monotonic()))
            self._reply(sub_request)
            self.served.append(sub_request)
            self._on_served(sub_request)
            self._start_new()
        self._tier.advance(end_of_run - self._tier.clock.monotonic())
        self._start_new()

    def _reply(self, sub_request: upstream.SubRequest) -> None:
        outcome = upstream.Replied(
            request_id=sub_request.request_id,
            attempt=sub_request.attempt,
            upstream_id=sub_request.upstream_id,
            rows=(msgspec.Raw(b"{}"),),
        )
        self._apply(self._tier.core.gates.complete(outcome))

    def _start_new(self) -> None:
        new = [
            sub_request
            for sub_request in self._tier.in_flight.values()
            if sub_request.id not in self._seen_ids
        ]
        self._seen_ids.update(sub_request.id for sub_request in new)
        self._apply(self._tier.core.gates.submit(new))

    def _apply(self, gate_result: gates.GateResult) -> None:
        for outcome in gate_result.outcomes:
            self._tier.in_flight.pop((outcome.request_id, outcome.attempt), None)
            self._tier.step(events.OutcomeReceived(outcome=outcome))
        now = self._tier.clock.monotonic()
        self.started.extend(gate_result.to_send)
        for sub_request in gate_result.to_send:
            end = now + self._duration_of(sub_request)
            heapq.heappush(
                self._scheduled_replies, (end, next(self._sequence), sub_request)
            )
