"""Entry hosts of a replay: the decision core and directory of the daemons."""

import dataclasses
import random
import typing

from greengagehaven import clock as clock_module
from greengagehaven.coordination import core, events, options
from greengagehaven.coordination.membership import node, signals
from greengagehaven.protocol import codec, membership, notices, upstream
from greengagehaven.replay import followers, owners
from greengagehaven.replay import schedule as schedule_module
from greengagehaven.state import directory

TICK_S = 0.1

MembershipMessage = membership.Exchange | membership.SyncRequest


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

    def call(self, host: "ReplayedHost", call: signals.Call) -> None:
        """Carry a call of the membership core and its answer back."""

    def reach(
        self,
        host: "ReplayedHost",
        other_id: str,
        arrive: typing.Callable[["ReplayedHost"], None],
        lost: typing.Callable[[], None] = lambda: None,
    ) -> None:
        """Carry a message to another host; ``lost`` where it is cut off."""

    def ask_recorder(self, host: "ReplayedHost", ask: events.AskRecorder) -> None:
        """Carry a question to a recorder of idempotency keys and its reply back."""

    def end(self, request_id: str, ending: Ending) -> None:
        """Note how a request ended."""


class ReplayedHost:
    """One entry host.

    :param record: its name, zone, address and incarnation.
    :param seeds: addresses of the other hosts.
    :param seed: seed of its random choices.
    :param recorder_ids: who remembers idempotency keys.
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
        switches: options.Options,
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
            options=switches,
            recorder_ids=recorder_ids,
        )
        self.owner = owners.ReplayedOwner(
            host_id=record.id,
            directory_view=self.directory,
            decisions=self._core,
            links=_HostLinks(host=self, network=network),
        )
        self._membership = node.Membership(
            own=record,
            served=self.directory,
            seeds=seeds,
            clock=clock,
            rng=random.Random(seed),
        )

    @property
    def takes_callers(self) -> bool:
        """Tell whether the balancer sends callers and upstreams here.

        A host is not ready before it has started from a peer and a document is
        in force on it.
        """
        is_ready = self._membership.is_joined and self._is_configured
        return self.alive and not self._is_stopping and is_ready

    def take_document(self, in_force: events.DocumentInForce) -> None:
        """Bring a document into force."""
        self._is_configured = True
        self.step(in_force)

    def stop(self) -> None:
        """Take nobody new, finish what is open, then leave."""
        self._is_stopping = True
        self._leave_when_done()

    def _leave_when_done(self) -> None:
        if not self.alive:
            return
        if self.open_request_ids:
            self._schedule.call_later(TICK_S, self._leave_when_done)
            return
        self.signal(signals.LeaveRequested())
        self._go_when_idle()

    def _go_when_idle(self) -> None:
        """Finish what other hosts had sent through this owner."""
        if self.owner.is_idle:
            self.alive = False
        else:
            self._schedule.call_later(TICK_S, self._go_when_idle)

    def start(self) -> None:
        """Look for other hosts from now on."""
        self._tick()

    def step(self, event: events.Event) -> None:
        """Hand an event to the core and carry out its actions."""
        if not self.alive:
            return
        if isinstance(event, events.QuerySubmitted):
            self.open_request_ids.add(event.request_id)
        for action in self._core.step(event):
            self._carry_out(action)
        if isinstance(event, owners.REFRESHING_EVENTS):
            self._refresh_owner()

    def announce(self, announcement: upstream.Announcement) -> None:
        """Take an upstream's announcement or its renewal."""
        self.signal(signals.UpstreamAnnounced(announcement=announcement))

    def withdraw(self, upstream_id: str, incarnation: int) -> None:
        """Take an upstream's word that it leaves."""
        withdrew = signals.UpstreamWithdrew(
            upstream_id=upstream_id, incarnation=incarnation
        )
        self.signal(withdrew)

    def signal(self, signal: signals.Event) -> signals.Reply | None:
        """Hand a signal to the membership core; return its reply, if any."""
        reply = None
        if not self.alive:
            return None
        for action in self._membership.step(signal):
            if isinstance(action, signals.Reply):
                reply = action
            elif isinstance(action, signals.Call):
                self._network.call(self, action)
            elif isinstance(action, signals.NoticeReceived):
                payload = codec.decode_msgpack(action.payload, notices.Notice)
                notice = events.PeerNotice(host_id=action.host_id, payload=payload)
                self.step(notice)
            elif not isinstance(action, signals.Noted):
                self.step(action)
        return reply

    def answer(self, message: MembershipMessage) -> typing.Any:
        """Return the reply to another host's message."""
        if isinstance(message, membership.Exchange):
            reply = self.signal(signals.ExchangeReceived(exchange=message))
        else:
            reply = self.signal(signals.SyncReceived(request=message))
        return None if reply is None else reply.message

    def receive(self, outcome: upstream.Outcome) -> None:
        """Take in the outcome of a sub-request, once."""
        key = (outcome.request_id, outcome.attempt)
        self.owner.forget(key)
        if self._in_flight.pop(key, None) is not None:
            self.step(events.OutcomeReceived(outcome=outcome))

    def _refresh_owner(self) -> None:
        for key in self.owner.lost_ids(self._membership.has_host_left):
            sub_request = self._in_flight.get(key)
            if sub_request is not None:
                self.receive(
                    upstream.failure_of(sub_request, upstream.FailureReason.OWNER_LOST)
                )
        self.owner.refresh()

    def _tick(self) -> None:
        if self.alive:
            self.signal(signals.Ticked())
            self._schedule.call_later(TICK_S, self._tick)

    def _carry_out(self, action: events.Action) -> None:
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
            self.signal(signals.NoticePosted(payload=payload))
        elif isinstance(action, events.AskRecorder):
            self._network.ask_recorder(self, action)
        elif isinstance(action, events.WakeAt):
            moment = self._schedule.moment_of(action.moment)
            self._schedule.call_at(moment, lambda: self.step(events.TimeReached()))

    def _cancel(self, cancel: events.Cancel) -> None:
        sub_request = self._in_flight.get((cancel.request_id, cancel.attempt))
        if sub_request is None:
            return
        self.owner.cancel(sub_request)
        failed = upstream.failure_of(sub_request, upstream.FailureReason.CANCELLED)
        self._schedule.call_later(0.0, lambda: self.receive(failed))

    def _end(self, request_id: str, result: typing.Any) -> None:
        self.open_request_ids.discard(request_id)
        self._network.end(request_id, Ending(at=self._schedule.now, result=result))


class _HostLinks:
    """Ways of one host over the replayed network."""

    def __init__(self, *, host: ReplayedHost, network: Network) -> None:
        self._host = host
        self._network = network

    def offer(self, owner_id: str, sub_request: upstream.SubRequest) -> None:
        """Carry a sub-request to its owner."""
        self._network.reach(
            self._host,
            owner_id,
            lambda other: other.owner.take_offer(self._host.id, sub_request),
            lambda: self._host.receive(
                upstream.failure_of(sub_request, upstream.FailureReason.OWNER_LOST)
            ),
        )

    def withdraw(self, owner_id: str, sub_request: upstream.SubRequest) -> None:
        """Tell an owner that nobody waits for a sub-request."""
        self._network.reach(
            self._host,
            owner_id,
            lambda other: other.owner.take_withdrawal(sub_request),
        )

    def report(self, origin_id: str, outcome: upstream.Outcome) -> None:
        """Carry an outcome to the host that asked."""
        if origin_id == self._host.id:
            self._host.receive(outcome)
            return
        self._network.reach(self._host, origin_id, lambda other: other.receive(outcome))

    def send(self, sub_request: upstream.SubRequest) -> None:
        """Carry a sub-request to its upstream and the outcome back."""
        self._network.send_work(self._host, sub_request)

    def stop(self, sub_request: upstream.SubRequest) -> None:
        """Tell an upstream that nobody waits for a sub-request."""
        self._network.cancel_work(sub_request)
