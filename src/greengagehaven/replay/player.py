"""Player of traces.

Entry hosts run the daemons' decision core, upstreams behave as the trace says.
"""

import dataclasses
import datetime
import functools
import itertools
import random
import typing

from greengagehaven import clock as clock_module
from greengagehaven.coordination import events, options
from greengagehaven.coordination.membership import core_events
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
"""Seconds after the last event of the trace, in which requests can end."""

WARMUP_S = 5.0
"""Seconds that hosts run before the trace starts."""

CLOCK_START_S = 1000.0
"""First reading of the monotonic clock."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppliedRevision:
    """A revision that came into force on an entry host.

    :param at: seconds from the start of the trace.
    """

    at: float
    host_id: str
    revision: int


class Player:
    """One run of a trace.

    After :meth:`run`, ``searches_by_id``, ``endings_by_id``, ``fleet.arrivals``,
    ``revisions`` and ``violations`` hold the results.

    :param recorded: the trace.
    :param core_options: mechanisms of the core that are enabled.
    """

    def __init__(
        self, *, recorded: reader.Trace, core_options: options.Options = options.DEFAULT
    ) -> None:
        self._trace = recorded
        self._switches = core_options
        self._clock = clock_module.ManualClock(start=CLOCK_START_S)
        self._schedule = schedule.Schedule(clock=self._clock, warmup=WARMUP_S)
        self._hop_s = recorded.header.hop_ms / 1000
        self.revisions: list[AppliedRevision] = []
        self._rng = random.Random(recorded.header.seed)
        self._incarnations = itertools.count(1)
        self._seeds = itertools.count(recorded.header.seed)
        self._links = links.Links(hop=self._hop_s)
        header = recorded.header
        for line in (*header.entry_hosts, *header.control_hosts):
            self._links.zones_by_id[line.id] = line.zone
        self._document_in_force = self._parse_document(1, header.document)
        self._zones_drained = events.ZonesDrained(zones=frozenset())
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
            host_definitions=recorded.header.entry_hosts,
            clock=self._clock,
            schedule=self._schedule,
            delay_of=self._links.zone_delay,
        )
        self._control = control.ReplayedControl(
            host_definitions=header.control_hosts,
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
        self._round_robin = itertools.cycle(self._hosts_by_id)
        for host in self._hosts_by_id.values():
            self._initialize_host(host)

    def run(self) -> None:
        """Play the whole trace, then run on until open requests can have ended."""
        end = 0.0
        for numbered in self._trace.events:
            line = numbered.line
            end = max(end, line.at)
            if isinstance(line, trace.Search):
                end = max(end, line.at + line.count * line.every_ms / 1000)
                self._schedule_searches(line)
            elif not isinstance(line, trace.Outcome):
                # Events at 0 take effect at the start of the warm-up.
                handle = functools.partial(self._handle_event, line)
                self._schedule.call_at(line.at or self._schedule.now, handle)
        self._schedule.run_until(end + SETTLE_S)

    @property
    def live_host_ids(self) -> list[str]:
        """Return the ids of the entry hosts that are alive."""
        return [host.id for host in self._hosts_by_id.values() if host.alive]

    @property
    def results_by_change_id(
        self,
    ) -> dict[str, list[tuple[float, audit.AuditRecord]]]:
        """Return the results of operators' changes, each with its time in seconds."""
        return self._control.results_by_change_id

    # Implementation of hosts.Network.

    def send_to_upstream(
        self, host: hosts.ReplayedHost, sub_request: upstream.SubRequest
    ) -> None:
        """Send a sub-request to its upstream, which returns the outcome."""
        search = self.searches_by_id[sub_request.request_id][1]
        self.fleet.send(host, sub_request, search.idempotency_key)

    def cancel_at_upstream(self, sub_request: upstream.SubRequest) -> None:
        """Tell an upstream that a sub-request was cancelled."""
        self.fleet.cancel(sub_request)

    def send_to_host(
        self,
        host: hosts.ReplayedHost,
        other_id: str,
        on_arrival: typing.Callable[[hosts.ReplayedHost], None],
        on_lost: typing.Callable[[], None] = lambda: None,
    ) -> None:
        """Send a message to another host; call ``on_lost`` if it is cut off."""
        delay = self._path_delay([host.id, other_id])
        if delay is None:
            self._schedule.call_later(fleet.STALL_TIMEOUT_S, on_lost)
            return
        other = self._hosts_by_id[other_id]
        self._schedule.call_later(delay, lambda: other.alive and on_arrival(other))

    def call_peer(self, host: hosts.ReplayedHost, call: core_events.Call) -> None:
        """Send a call of the membership core, and its answer or failure back."""
        # Emptied by the first answer or failure, so that a later one is ignored.
        open_calls = [call]

        def finish(event: core_events.Event) -> None:
            if open_calls:
                open_calls.clear()
                host.step_membership(event)

        failed = core_events.CallFailed(call_id=call.call_id)
        self._schedule.call_later(call.timeout, lambda: finish(failed))
        path = [host.id, call.address]
        if call.relay_address is not None:
            path.insert(1, call.relay_address)
        request_delay = self._path_delay(path)
        if request_delay is None:
            return

        def arrive() -> None:
            answer = self._hosts_by_id[call.address].reply_to(call.message)
            reply_delay = self._path_delay(path[::-1])
            if answer is not None and reply_delay is not None:
                answered = core_events.CallAnswered(call_id=call.call_id, answer=answer)
                self._schedule.call_later(reply_delay, lambda: finish(answered))

        self._schedule.call_later(request_delay, arrive)

    def ask_recorder(
        self, host: hosts.ReplayedHost, request: events.SendRecorderRequest
    ) -> None:
        """Send a request to a recorder of idempotency keys, and its reply back."""

        def handle_reply(reply: claims.RecorderReply | None) -> None:
            replied = events.RecorderReplied(
                recorder_id=request.recorder_id, request=request.request, reply=reply
            )
            host.step(replied)

        self._recorders.ask(
            host.zone, request.recorder_id, request.request, handle_reply
        )

    def record_end(self, request_id: str, ending: hosts.Ending) -> None:
        """Record how a request ended; a second end is a violation."""
        if request_id in self.endings_by_id:
            self.violations.append(f"{request_id} ended twice")
            return
        self.endings_by_id[request_id] = ending
        if isinstance(ending.result, events.AnswerQuery):
            answer = ending.result.answer
            own_ids = invariants.ids_of_same_request(request_id, self.searches_by_id)
            self.violations += invariants.find_violations(answer, own_ids)

    # Handling of the events of the trace.

    def _handle_event(self, line: trace.EventLine) -> None:
        if isinstance(line, trace.Announce):
            self.fleet.announce(line.announcement)
        elif isinstance(line, trace.Withdraw):
            self.fleet.withdraw(line.upstream)
        elif isinstance(line, trace.Behave):
            self.fleet.behave(line)
        elif isinstance(line, trace.Drain):
            self._zones_drained = events.ZonesDrained(zones=frozenset(line.zones))
            self._broadcast(self._zones_drained)
        elif isinstance(line, trace.Document):
            self._document_in_force = self._parse_document(line.revision, line.document)
            for host in self._hosts_by_id.values():
                host.apply_document(self._document_in_force)
        elif isinstance(line, trace.Change):
            self._control.propose(line)
        elif isinstance(line, trace.LoseControlHost):
            self._control.crash(line.host)
        elif isinstance(line, trace.RestartControlHost):
            self._control.restart(line.host)
        elif isinstance(line, trace.CutHosts):
            self._links.isolate(line.hosts)
        elif isinstance(line, trace.LoseHost):
            self._crash_host(line.host)
        elif isinstance(line, trace.StopHost):
            self._hosts_by_id[line.host].stop()
        elif isinstance(line, trace.RestartHost):
            self._restart_host(line.host)
        elif isinstance(line, trace.Partition):
            self._links.partition(line.groups, one_way=line.one_way)
        elif isinstance(line, trace.StepClock):
            self._clock.step_wall(datetime.timedelta(seconds=line.seconds))

    def _schedule_searches(self, line: trace.Search) -> None:
        for number in range(line.count):
            request_id = line.request if line.count == 1 else f"{line.request}{number}"
            time = line.at + number * line.every_ms / 1000
            self.searches_by_id[request_id] = (time, line)
            self._schedule.call_at(
                time, functools.partial(self._submit_search, request_id, line)
            )

    def _submit_search(self, request_id: str, line: trace.Search) -> None:
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
        for host_id in self._round_robin:
            if self._hosts_by_id[host_id].is_ready:
                return host_id
        raise AssertionError("cycle ended")

    def _reachable_host(self, zone: str) -> hosts.ReplayedHost | None:
        reachable = [
            host
            for host in self._hosts_by_id.values()
            if host.is_ready and self._links.connects(zone, host.zone)
        ]
        return self._rng.choice(reachable) if reachable else None

    def _path_delay(self, host_ids: list[str]) -> float | None:
        """Return the delay along a path in seconds, ``None`` if it is cut off.

        All hosts of the path but the first have to be alive.
        """
        if not all(self._hosts_by_id[host_id].alive for host_id in host_ids[1:]):
            return None
        return self._links.path_delay(host_ids)

    def _broadcast(self, event: events.Event) -> None:
        for host in self._hosts_by_id.values():
            host.step(event)

    def _crash_host(self, host_id: str) -> None:
        host = self._hosts_by_id[host_id]
        host.alive = False
        self.lost_request_ids |= host.open_request_ids

    def _restart_host(self, host_id: str) -> None:
        line = next(
            line for line in self._trace.header.entry_hosts if line.id == host_id
        )
        self._hosts_by_id[host_id] = self._build_host(line)
        self._initialize_host(self._hosts_by_id[host_id])

    def _initialize_host(self, host: hosts.ReplayedHost) -> None:
        if self._trace.header.control_hosts:
            self._start_follower(host)
        else:
            host.apply_document(self._document_in_force)
            host.step(self._zones_drained)
        host.start()

    def _start_follower(self, host: hosts.ReplayedHost) -> None:
        host.follower = followers.ReplayedFollower(
            host_id=host.id,
            control_ids=tuple(self._control.hosts_by_id),
            peer_ids=lambda: [each for each in self._hosts_by_id if each != host.id],
            clock=self._clock,
            schedule=self._schedule,
            sources=self,
            seed=next(self._seeds),
            on_state=functools.partial(self._apply_state, host),
        )
        host.follower.start()

    def _apply_state(
        self, host: hosts.ReplayedHost, state: configuration.ConfigurationState
    ) -> None:
        if not host.alive:
            return
        if state.revision < max(self._revisions_of(host.id), default=0):
            self.violations.append(f"{host.id} went back to revision {state.revision}")
        revision = AppliedRevision(
            at=self._schedule.now, host_id=host.id, revision=state.revision
        )
        self.revisions.append(revision)
        host.apply_document(
            self._parse_document(state.revision, state.document.decode())
        )
        host.step(events.ZonesDrained(zones=frozenset(state.drained_zones)))

    def _revisions_of(self, host_id: str) -> list[int]:
        return [each.revision for each in self.revisions if each.host_id == host_id]

    def fetch_configuration(
        self, requester_id: str, address: str
    ) -> tuple[configuration.ConfigurationState, float, float] | None:
        """Return a host's state, its age and the round-trip time of the call.

        Both durations are in seconds. Returns ``None`` if the host cannot be reached.
        """
        request_delay = self._links.delay(requester_id, address)
        reply_delay = self._links.delay(address, requester_id)
        if request_delay is None or reply_delay is None:
            return None
        if address in self._control.hosts_by_id:
            state = self._control.state_of(address)
            age = (
                0.0
                if state is None
                else self._control.hosts_by_id[address].confirmation_age
            )
        else:
            peer = self._hosts_by_id[address]
            state = peer.follower.state if peer.alive and peer.follower else None
            age = peer.follower.confirmation_age if peer.follower else 0.0
        return None if state is None else (state, age, request_delay + reply_delay)

    def _build_host(self, line: trace.HostDefinition) -> hosts.ReplayedHost:
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
            core_options=self._switches,
            recorder_ids=self._recorders.ids,
        )

    def _parse_document(self, revision: int, text: str) -> events.DocumentInForce:
        environment = document.parse(text.encode())
        return events.DocumentInForce(revision=revision, environment=environment)
