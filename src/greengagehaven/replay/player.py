"""Plays a trace: entry hosts run the daemons' core, upstreams obey the trace."""

import dataclasses
import datetime
import functools
import itertools
import random
import typing

from greengagehaven import clock as clock_module
from greengagehaven.coordination import events, options
from greengagehaven.coordination.membership import signals
from greengagehaven.protocol import claims, membership, trace, upstream
from greengagehaven.replay import (
    control,
    fleet,
    followers,
    hosts,
    invariants,
    links,
    reader,
    recorders,
    schedule,
)
from greengagehaven.state import audit, configuration, document

SETTLE_S = 15.0
LEAD_IN_S = 5.0
FIRST_READING_S = 1000.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Revision:
    """A revision came into force on an entry host."""

    at: float
    host_id: str
    revision: int


class Player:
    """One run of a trace.

    :param recorded: the trace.
    :param switches: mechanisms of the core.

    After :meth:`run`, ``endings_by_id``, ``arrivals``, ``searches`` and
    ``violations`` tell what happened.
    """

    def __init__(
        self, *, recorded: reader.Trace, switches: options.Options = options.DEFAULT
    ) -> None:
        self._trace = recorded
        self._switches = switches
        self._clock = clock_module.ManualClock(start=FIRST_READING_S)
        self._schedule = schedule.Schedule(clock=self._clock, lead_in=LEAD_IN_S)
        self._hop_s = recorded.header.hop_ms / 1000
        self.revisions: list[Revision] = []
        self._rng = random.Random(recorded.header.seed)
        self._incarnations = itertools.count(1)
        self._seeds = itertools.count(recorded.header.seed)
        self._links = links.Links(hop=self._hop_s)
        header = recorded.header
        for line in (*header.entry_hosts, *header.control_hosts):
            self._links.zones_by_id[line.id] = line.zone
        self._in_force = self._parse(1, header.document)
        self._drained = events.ZonesDrained(zones=frozenset())
        self.fleet = fleet.Fleet(
            recorded=recorded,
            schedule=self._schedule,
            links=self._links,
            hop=self._hop_s,
            find_host=self._reachable_host,
        )
        self.endings_by_id: dict[str, hosts.Ending] = {}
        self.searches_by_id: dict[str, tuple[float, trace.Search]] = {}
        self.lost_request_ids: set[str] = set()
        self.violations: list[str] = []
        self._recorders = recorders.ReplayedRecorders(
            lines=recorded.header.entry_hosts,
            clock=self._clock,
            schedule=self._schedule,
            delay_of=self._links.zone_delay,
        )
        self._control = control.ReplayedControl(
            lines=header.control_hosts,
            clock=self._clock,
            schedule=self._schedule,
            delay=self._links.delay,
            seed=header.seed,
        )
        if header.control_hosts:
            self._control.start(header.document)
        self._hosts_by_id = {
            line.id: self._build_host(line) for line in recorded.header.entry_hosts
        }
        self._turns = itertools.cycle(self._hosts_by_id)
        for host in self._hosts_by_id.values():
            self._brief(host)

    def run(self) -> None:
        """Play the whole trace and let it settle."""
        end = 0.0
        for numbered in self._trace.events:
            line = numbered.line
            end = max(end, line.at)
            if isinstance(line, trace.Search):
                end = max(end, line.at + line.count * line.every_ms / 1000)
                self._book_searches(line)
            elif not isinstance(line, trace.Outcome):
                apply = functools.partial(self._apply, line)
                self._schedule.call_at(line.at or self._schedule.now, apply)
        self._schedule.run_until(end + SETTLE_S)

    @property
    def live_host_ids(self) -> list[str]:
        """Return the entry hosts that live at the end."""
        return [host.id for host in self._hosts_by_id.values() if host.alive]

    @property
    def results_by_change_id(
        self,
    ) -> dict[str, list[tuple[float, audit.AuditRecord]]]:
        """Return what operators were answered, with the moments."""
        return self._control.results_by_change_id

    # What the hosts call (hosts.Network).

    def send_work(
        self, host: hosts.ReplayedHost, sub_request: upstream.SubRequest
    ) -> None:
        """Carry a sub-request to its upstream and the outcome back."""
        search = self.searches_by_id[sub_request.request_id][1]
        self.fleet.send(host, sub_request, search.idempotency_key)

    def cancel_work(self, sub_request: upstream.SubRequest) -> None:
        """Tell an upstream that nobody waits for a sub-request."""
        self.fleet.cancel(sub_request)

    def reach(
        self,
        host: hosts.ReplayedHost,
        other_id: str,
        arrive: typing.Callable[[hosts.ReplayedHost], None],
        lost: typing.Callable[[], None] = lambda: None,
    ) -> None:
        """Carry a message to another host; ``lost`` where it is cut off."""
        delay = self._path_delay([host.id, other_id])
        if delay is None:
            self._schedule.call_later(fleet.STALL_S, lost)
            return
        other = self._hosts_by_id[other_id]
        self._schedule.call_later(delay, lambda: other.alive and arrive(other))

    def call(self, host: hosts.ReplayedHost, call: signals.Call) -> None:
        """Carry a call of the membership core and its answer back."""
        open_calls = [call]

        def end(event: signals.Event) -> None:
            if open_calls:
                open_calls.clear()
                host.signal(event)

        failed = signals.CallFailed(call_id=call.call_id)
        self._schedule.call_later(call.timeout, lambda: end(failed))
        path = [host.id, call.address]
        if call.relay_address is not None:
            path.insert(1, call.relay_address)
        there = self._path_delay(path)
        if there is None:
            return

        def arrive() -> None:
            answer = self._hosts_by_id[call.address].answer(call.message)
            back = self._path_delay(path[::-1])
            if answer is not None and back is not None:
                answered = signals.CallAnswered(call_id=call.call_id, answer=answer)
                self._schedule.call_later(back, lambda: end(answered))

        self._schedule.call_later(there, arrive)

    def ask_recorder(self, host: hosts.ReplayedHost, ask: events.AskRecorder) -> None:
        """Carry a question to a recorder of idempotency keys and its reply back."""

        def take(reply: claims.RecorderReply | None) -> None:
            replied = events.RecorderReplied(
                recorder_id=ask.recorder_id, request=ask.request, reply=reply
            )
            host.step(replied)

        self._recorders.ask(host.zone, ask.recorder_id, ask.request, take)

    def end(self, request_id: str, ending: hosts.Ending) -> None:
        """Note how a request ended; a second ending is a violation."""
        if request_id in self.endings_by_id:
            self.violations.append(f"{request_id} ended twice")
            return
        self.endings_by_id[request_id] = ending
        if isinstance(ending.result, events.AnswerQuery):
            answer = ending.result.answer
            own_ids = invariants.ids_of_same_request(request_id, self.searches_by_id)
            self.violations += invariants.find_violations(answer, own_ids)

    # Events of the trace.

    def _apply(self, line: trace.EventLine) -> None:
        if isinstance(line, trace.Announce):
            self.fleet.announce(line.announcement)
        elif isinstance(line, trace.Withdraw):
            self.fleet.withdraw(line.upstream)
        elif isinstance(line, trace.Behave):
            self.fleet.behave(line)
        elif isinstance(line, trace.Drain):
            self._drained = events.ZonesDrained(zones=frozenset(line.zones))
            self._tell_all(self._drained)
        elif isinstance(line, trace.Document):
            self._in_force = self._parse(line.revision, line.document)
            for host in self._hosts_by_id.values():
                host.take_document(self._in_force)
        elif isinstance(line, trace.Change):
            self._control.propose(line)
        elif isinstance(line, trace.LoseControlHost):
            self._control.lose(line.host)
        elif isinstance(line, trace.RestartControlHost):
            self._control.restart(line.host)
        elif isinstance(line, trace.CutHosts):
            self._links.cut(line.hosts)
        elif isinstance(line, trace.LoseHost):
            self._lose_host(line.host)
        elif isinstance(line, trace.StopHost):
            self._hosts_by_id[line.host].stop()
        elif isinstance(line, trace.RestartHost):
            self._restart(line.host)
        elif isinstance(line, trace.Partition):
            self._links.partition(line.groups, one_way=line.one_way)
        elif isinstance(line, trace.StepClock):
            self._clock.step_wall(datetime.timedelta(seconds=line.seconds))

    def _book_searches(self, line: trace.Search) -> None:
        for number in range(line.count):
            request_id = line.request if line.count == 1 else f"{line.request}{number}"
            moment = line.at + number * line.every_ms / 1000
            self.searches_by_id[request_id] = (moment, line)
            self._schedule.call_at(
                moment, functools.partial(self._search, request_id, line)
            )

    def _search(self, request_id: str, line: trace.Search) -> None:
        host = self._hosts_by_id[line.host or self._next_host()]
        if not host.alive:
            self.lost_request_ids.add(request_id)
            return
        timeout = None if line.timeout_ms is None else line.timeout_ms / 1000
        host.step(
            events.QuerySubmitted(
                request_id=request_id,
                subscriber_id=line.subscriber,
                services=line.services,
                kind=line.kind,
                query=line.query,
                deadline=None if timeout is None else self._clock.monotonic() + timeout,
                idempotency_key=line.idempotency_key,
            )
        )

    def _next_host(self) -> str:
        for host_id in self._turns:
            if self._hosts_by_id[host_id].takes_callers:
                return host_id
        raise AssertionError("cycle ended")

    def _reachable_host(self, zone: str) -> hosts.ReplayedHost | None:
        reachable = [
            host
            for host in self._hosts_by_id.values()
            if host.takes_callers and self._links.connects(zone, host.zone)
        ]
        return self._rng.choice(reachable) if reachable else None

    def _path_delay(self, host_ids: list[str]) -> float | None:
        """Return seconds along a path of live hosts, ``None`` where it is cut."""
        if not all(self._hosts_by_id[host_id].alive for host_id in host_ids[1:]):
            return None
        return self._links.path_delay(host_ids)

    def _tell_all(self, event: events.Event) -> None:
        for host in self._hosts_by_id.values():
            host.step(event)

    def _lose_host(self, host_id: str) -> None:
        host = self._hosts_by_id[host_id]
        host.alive = False
        self.lost_request_ids |= host.open_request_ids

    def _restart(self, host_id: str) -> None:
        line = next(
            line for line in self._trace.header.entry_hosts if line.id == host_id
        )
        self._hosts_by_id[host_id] = self._build_host(line)
        self._brief(self._hosts_by_id[host_id])

    def _brief(self, host: hosts.ReplayedHost) -> None:
        if self._trace.header.control_hosts:
            self._follow(host)
        else:
            host.take_document(self._in_force)
            host.step(self._drained)
        host.start()

    def _follow(self, host: hosts.ReplayedHost) -> None:
        host.follower = followers.ReplayedFollower(
            host_id=host.id,
            control_ids=tuple(self._control.hosts_by_id),
            peer_ids=lambda: [each for each in self._hosts_by_id if each != host.id],
            clock=self._clock,
            schedule=self._schedule,
            sources=self,
            seed=next(self._seeds),
            on_state=functools.partial(self._put_in_force, host),
        )
        host.follower.start()

    def _put_in_force(
        self, host: hosts.ReplayedHost, state: configuration.ConfigurationState
    ) -> None:
        if not host.alive:
            return
        if state.revision < max(self._revisions_of(host.id), default=0):
            self.violations.append(f"{host.id} went back to {state.revision}")
        revision = Revision(
            at=self._schedule.now, host_id=host.id, revision=state.revision
        )
        self.revisions.append(revision)
        host.take_document(self._parse(state.revision, state.document.decode()))
        host.step(events.ZonesDrained(zones=frozenset(state.drained_zones)))

    def _revisions_of(self, host_id: str) -> list[int]:
        return [each.revision for each in self.revisions if each.host_id == host_id]

    def ask_configuration(
        self, asker: str, address: str
    ) -> tuple[configuration.ConfigurationState, float, float] | None:
        """Return (state, its age, seconds of the call), ``None`` if cut off."""
        there = self._links.delay(asker, address)
        back = self._links.delay(address, asker)
        if there is None or back is None:
            return None
        if address in self._control.hosts_by_id:
            state = self._control.state_of(address)
            age = 0.0 if state is None else self._control.hosts_by_id[address].age
        else:
            peer = self._hosts_by_id[address]
            state = peer.follower.state if peer.alive and peer.follower else None
            age = peer.follower.age if peer.follower else 0.0
        return None if state is None else (state, age, there + back)

    def _build_host(self, line: trace.HostLine) -> hosts.ReplayedHost:
        lines = self._trace.header.entry_hosts
        return hosts.ReplayedHost(
            record=membership.HostRecord(
                id=line.id,
                zone=line.zone,
                address=line.id,
                incarnation=next(self._incarnations),
            ),
            seeds=tuple(other.id for other in lines if other.id != line.id),
            seed=next(self._seeds),
            clock=self._clock,
            schedule=self._schedule,
            network=self,
            switches=self._switches,
            recorder_ids=self._recorders.ids,
        )

    def _parse(self, revision: int, text: str) -> events.DocumentInForce:
        environment = document.parse(text.encode())
        return events.DocumentInForce(revision=revision, environment=environment)
