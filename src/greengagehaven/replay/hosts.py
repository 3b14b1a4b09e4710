"""Replayed entry hosts, which run the decision core and directory of the daemons."""

import dataclasses
import random
import typing

from greengagehaven import clock as clock_module
from greengagehaven.coordination import core, events, options
from greengagehaven.coordination.membership import core_events, membership_core
from greengagehaven.protocol import codec, membership, notices, upstream
from greengagehaven.replay import followers, owners
from greengagehaven.replay import schedule as schedule_module
from greengagehaven.state import directory

TICK_S = 0.1

MembershipMessage = membership.Exchange | membership.SyncRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ending:
    """The answer or refusal of a request, and when it was given.

    :param at: seconds from the start of the trace.
    """

    at: float
    result: events.AnswerQuery | events.RefuseQuery


class Network(typing.Protocol):
    """Connects a replayed host to other hosts, upstreams and recorders."""

    def send_to_upstream(
        self, host: "ReplayedHost", sub_request: upstream.SubRequest
    ) -> None:
        """Send a sub-request to its upstream, which returns the outcome."""

    def cancel_at_upstream(self, sub_request: upstream.SubRequest) -> None:
        """Tell an upstream that a sub-request was cancelled."""

    def call_peer(self, host: "ReplayedHost", call: core_events.Call) -> None:
        """Send a call of the membership core, and its answer or failure back."""

    def send_to_host(
        self,
        host: "ReplayedHost",
        other_id: str,
        on_arrival: typing.Callable[["ReplayedHost"], None],
        on_lost: typing.Callable[[], None] = lambda: None,
    ) -> None:
        """Send a message to another host.

        :param on_arrival: called with the other host when the message arrives.
        :param on_lost: called after a timeout if the other host is cut off.
        """

    def ask_recorder(
        self, host: "ReplayedHost", request: events.SendRecorderRequest
    ) -> None:
        """Send a request to a recorder of idempotency keys, and its reply back."""

    def record_end(self, request_id: str, ending: Ending) -> None:
        """Record how a request ended."""


class ReplayedHost:
    """One entry host.

    :param record: its id, zone, address and incarnation.
    :param seeds: addresses of the other hosts, to join through.
    :param seed: of its random number generators.
    :param core_options: mechanisms of the core that are enabled.
    :param recorder_ids: recorders of idempotency keys.
    """

    def __init__(
        self,
        *,
        record: membership.HostRecord,
        seeds: tuple[str, ...],
        seed: int,
        clock: clock_module.Clock,
        schedule: schedule_module.Schedule,
        network: Network,
        core_options: options.Options,
        recorder_ids: frozenset[str],
    ) -> None:
        self.id = record.id
        self.zone = record.zone
        self.alive = True
        self._is_stopping = False
        self.directory = directory.Directory()
        self.open_request_ids: set[str] = set()
        self.follower: followers.ReplayedFollower | None = None
        self._is_configured = False
        self._schedule = schedule
        self._network = network
        self._in_flight: dict[tuple[str, int], upstream.SubRequest] = {}
        self._core = core.Core(
            clock=clock,
            rng=random.Random(seed),
            directory=self.directory,
            host_id=record.id,
            zone=record.zone,
            options=core_options,
            recorder_ids=recorder_ids,
        )
        self.owner = owners.ReplayedOwner(
            host_id=record.id,
            directory_view=self.directory,
            decision_core=self._core,
            transport=_HostTransport(host=self, network=network),
        )
        self._membership = membership_core.MembershipCore(
            own_record=record,
            served_directory=self.directory,
            seeds=seeds,
            clock=clock,
            rng=random.Random(seed),
        )

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer sends callers and upstreams to this host.

        It does so from when the host has joined the membership and a document is in
        force on it, until it stops.
        """
        is_started = self._membership.is_joined and self._is_configured
        return self.alive and not self._is_stopping and is_started

    def apply_document(self, in_force: events.DocumentInForce) -> None:
        """Put a document in force."""
        self._is_configured = True
        self.step(in_force)

    def stop(self) -> None:
        """Shut down gracefully: finish open requests, then leave the membership."""
        self._is_stopping = True
        self._leave_when_finished()

    def _leave_when_finished(self) -> None:
        if not self.alive:
            return
        if self.open_request_ids:
            self._schedule.call_later(TICK_S, self._leave_when_finished)
            return
        self.step_membership(core_events.LeaveRequested())
        self._stop_when_idle()

    def _stop_when_idle(self) -> None:
        """Stop once the sub-requests that other hosts sent to this owner have ended."""
        if self.owner.is_idle:
            self.alive = False
        else:
            self._schedule.call_later(TICK_S, self._stop_when_idle)

    def start(self) -> None:
        """Start the membership protocol."""
        self._tick()

    def step(self, event: events.Event) -> None:
        """Pass an event to the core and execute the resulting actions."""
        if not self.alive:
            return
        if isinstance(event, events.QuerySubmitted):
            self.open_request_ids.add(event.request_id)
        for action in self._core.step(event):
            self._execute(action)
        if isinstance(event, owners.REFRESHING_EVENTS):
            self._refresh_owner()

    def handle_announcement(self, announcement: upstream.Announcement) -> None:
        """Handle an upstream's announcement or its renewal."""
        self.step_membership(core_events.UpstreamAnnounced(announcement=announcement))

    def handle_withdrawal(self, upstream_id: str, incarnation: int) -> None:
        """Handle an upstream's withdrawal of its announcement."""
        withdrawn = core_events.UpstreamWithdrew(
            upstream_id=upstream_id, incarnation=incarnation
        )
        self.step_membership(withdrawn)

    def step_membership(self, event: core_events.Event) -> core_events.Reply | None:
        """Pass an event to the membership core; return its reply, if any."""
        reply = None
        if not self.alive:
            return None
        for action in self._membership.step(event):
            if isinstance(action, core_events.Reply):
                reply = action
            elif isinstance(action, core_events.Call):
                self._network.call_peer(self, action)
            elif isinstance(action, core_events.DeliverNotice):
                payload = codec.decode_msgpack(action.payload, notices.NoticePayload)
                notice = events.PeerNotice(host_id=action.host_id, payload=payload)
                self.step(notice)
            elif not isinstance(action, core_events.LogEvent):
                self.step(action)
        return reply

    def reply_to(self, message: MembershipMessage) -> typing.Any:
        """Return the reply to another host's membership message."""
        if isinstance(message, membership.Exchange):
            reply = self.step_membership(core_events.ExchangeReceived(exchange=message))
        else:
            reply = self.step_membership(core_events.SyncReceived(request=message))
        return None if reply is None else reply.message

    def receive_outcome(self, outcome: upstream.Outcome) -> None:
        """Pass the outcome of a sub-request to the core, unless it already got one."""
        key = (outcome.request_id, outcome.attempt)
        self.owner.forget(key)
        if self._in_flight.pop(key, None) is not None:
            self.step(events.OutcomeReceived(outcome=outcome))

    def _refresh_owner(self) -> None:
        for key in self.owner.pop_lost_ids(self._membership.has_host_left):
            sub_request = self._in_flight.get(key)
            if sub_request is not None:
                self.receive_outcome(
                    upstream.failure_of(sub_request, upstream.FailureReason.OWNER_LOST)
                )
        self.owner.refresh()

    def _tick(self) -> None:
        if self.alive:
            self.step_membership(core_events.Ticked())
            self._schedule.call_later(TICK_S, self._tick)

    def _execute(self, action: events.Action) -> None:
        if isinstance(action, events.Dispatch):
            for sub_request in action.batch:
                self._in_flight[sub_request.id] = sub_request
                self.owner.dispatch(sub_request)
        elif isinstance(action, events.Cancel):
            self._cancel(action)
        elif isinstance(action, events.AnswerQuery):
            self._end(action.answer.request_id, action)
        elif isinstance(action, events.RefuseQuery):
            self._end(action.request_id, action)
        elif isinstance(action, events.NotifyPeers):
            payload = codec.encode_msgpack(action.payload)
            self.step_membership(core_events.NoticePosted(payload=payload))
        elif isinstance(action, events.SendRecorderRequest):
            self._network.ask_recorder(self, action)
        elif isinstance(action, events.WakeAt):
            time = self._schedule.to_trace_time(action.moment)
            self._schedule.call_at(time, lambda: self.step(events.TimeReached()))

    def _cancel(self, cancel: events.Cancel) -> None:
        sub_request = self._in_flight.get((cancel.request_id, cancel.attempt))
        if sub_request is None:
            return
        self.owner.cancel(sub_request)
        failed = upstream.failure_of(sub_request, upstream.FailureReason.CANCELLED)
        self._schedule.call_later(0.0, lambda: self.receive_outcome(failed))

    def _end(self, request_id: str, result: typing.Any) -> None:
        self.open_request_ids.discard(request_id)
        self._network.record_end(
            request_id, Ending(at=self._schedule.now, result=result)
        )


class _HostTransport:
    """Transport of a host's owner role over the replayed network."""

    def __init__(self, *, host: ReplayedHost, network: Network) -> None:
        self._host = host
        self._network = network

    def send_to_owner(self, owner_id: str, sub_request: upstream.SubRequest) -> None:
        """Send a sub-request to the host that owns its upstream."""
        self._network.send_to_host(
            self._host,
            owner_id,
            lambda other: other.owner.handle_offer(self._host.id, sub_request),
            lambda: self._host.receive_outcome(
                upstream.failure_of(sub_request, upstream.FailureReason.OWNER_LOST)
            ),
        )

    def withdraw_from_owner(
        self, owner_id: str, sub_request: upstream.SubRequest
    ) -> None:
        """Tell an owner that a sub-request was cancelled."""
        self._network.send_to_host(
            self._host,
            owner_id,
            lambda other: other.owner.handle_withdrawal(sub_request),
        )

    def return_outcome(self, origin_id: str, outcome: upstream.Outcome) -> None:
        """Send an outcome to the host that the sub-request came from."""
        if origin_id == self._host.id:
            self._host.receive_outcome(outcome)
            return
        self._network.send_to_host(
            self._host, origin_id, lambda other: other.receive_outcome(outcome)
        )

    def send_to_upstream(self, sub_request: upstream.SubRequest) -> None:
        """Send a sub-request to its upstream, which returns the outcome."""
        self._network.send_to_upstream(self._host, sub_request)

    def cancel_at_upstream(self, sub_request: upstream.SubRequest) -> None:
        """Tell an upstream that a sub-request was cancelled."""
        self._network.cancel_at_upstream(sub_request)
