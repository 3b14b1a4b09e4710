"""Entry hosts of a replay: the decision core and directory of the daemons."""

import dataclasses
import random
import typing

from greengagehaven import clock as clock_module
from greengagehaven.coordination import core, events, options
from greengagehaven.protocol import upstream
from greengagehaven.replay import schedule as schedule_module
from greengagehaven.state import directory


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ending:
    """How and when a request ended: an answer or a refusal."""

    at: float
    result: events.AnswerQuery | events.RefuseQuery


class Network(typing.Protocol):
    """What a replayed host needs of the world around it."""

    def send_work(self, host: "ReplayedHost", sub_request: upstream.SubRequest) -> None:
        """Carry a sub-request to its upstream and the outcome back."""

    def cancel_work(self, sub_request: upstream.SubRequest) -> None:
        """Tell an upstream that nobody waits for a sub-request."""

    def broadcast(self, host: "ReplayedHost", notice: events.PeerNotice) -> None:
        """Carry a notice to the other entry hosts that can be reached."""

    def end(self, request_id: str, ending: Ending) -> None:
        """Note how a request ended."""


class ReplayedHost:
    """One entry host.

    :param host_id: its name.
    :param zone: its availability zone.
    :param seed: seed of its random choices.
    """

    def __init__(
        self,
        *,
        host_id: str,
        zone: str,
        seed: int,
        clock: clock_module.Clock,
        schedule: schedule_module.Schedule,
        network: Network,
        switches: options.Options,
    ) -> None:
        self.id = host_id
        self.zone = zone
        self.alive = True
        self.directory = directory.Directory()
        self.open_request_ids: set[str] = set()
        self._schedule = schedule
        self._network = network
        self._in_flight: dict[tuple[str, int], upstream.SubRequest] = {}
        self._core = core.Core(
            clock=clock,
            rng=random.Random(seed),
            directory=self.directory,
            host_id=host_id,
            zone=zone,
            options=switches,
        )

    def step(self, event: events.Event) -> None:
        """Hand an event to the core and carry out its actions."""
        if not self.alive:
            return
        if isinstance(event, events.QuerySubmitted):
            self.open_request_ids.add(event.request_id)
        for action in self._core.step(event):
            self._carry_out(action)

    def put(self, announcement: upstream.Announcement) -> None:
        """Take in news of an upstream."""
        if self.alive and self.directory.put(announcement):
            changed = frozenset({announcement.id})
            self.step(events.DirectoryChanged(upstream_ids=changed))

    def withdraw(self, upstream_id: str, version: tuple[int, int]) -> None:
        """Take in that an upstream left."""
        if self.alive and self.directory.withdraw(upstream_id, version):
            changed = frozenset({upstream_id})
            self.step(events.DirectoryChanged(upstream_ids=changed))

    def receive(self, outcome: upstream.Outcome) -> None:
        """Take in the outcome of a sub-request, once."""
        key = (outcome.request_id, outcome.attempt)
        if self._in_flight.pop(key, None) is not None:
            self.step(events.OutcomeReceived(outcome=outcome))

    def _carry_out(self, action: events.Action) -> None:
        if isinstance(action, events.Dispatch):
            for sub_request in action.batch:
                self._in_flight[sub_request.id] = sub_request
                self._network.send_work(self, sub_request)
        elif isinstance(action, events.Cancel):
            self._cancel(action)
        elif isinstance(action, events.AnswerQuery):
            self._end(action.answer.request_id, action)
        elif isinstance(action, events.RefuseQuery):
            self._end(action.request_id, action)
        elif isinstance(action, events.NotifyPeers):
            notice = events.PeerNotice(host_id=self.id, payload=action.payload)
            self._network.broadcast(self, notice)
        elif isinstance(action, events.WakeAt):
            self._schedule.call_at(
                action.moment, lambda: self.step(events.TimeReached())
            )

    def _cancel(self, cancel: events.Cancel) -> None:
        sub_request = self._in_flight.get((cancel.request_id, cancel.attempt))
        if sub_request is None:
            return
        self._network.cancel_work(sub_request)
        failed = upstream.Failed(
            request_id=sub_request.request_id,
            attempt=sub_request.attempt,
            upstream_id=sub_request.upstream_id,
            reason=upstream.FailureReason.CANCELLED,
            not_run=False,
        )
        self._schedule.call_later(0.0, lambda: self.receive(failed))

    def _end(self, request_id: str, result: typing.Any) -> None:
        self.open_request_ids.discard(request_id)
        self._network.end(request_id, Ending(at=self._schedule.now, result=result))
