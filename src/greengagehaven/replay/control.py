"""Replayed control hosts, which run the daemons' replicated log on in-memory disks."""

import functools
import itertools
import random
import typing

from greengagehaven import clock as clocks
from greengagehaven.coordination import change_entries
from greengagehaven.coordination.raft import core, events, replica, timing
from greengagehaven.protocol import trace
from greengagehaven.replay import schedule as schedule_module
from greengagehaven.state import audit, changes, configuration, records, storage

GROUP_ID = "replay"
RETRY_S = 0.2
"""Seconds between tries while no leader is reachable."""

PENDING_RETRY_S = 0.005
"""Seconds between tries while another change is pending."""

CHANGE_TIMEOUT_S = 30.0
"""Seconds for which a change is retried, counted anew after a failed proposal."""

INITIAL_CHANGE_ID = "initial"

Delay = typing.Callable[[str, str], float | None]


class MemoryFolder:
    """A data folder in memory; every write counts as synced."""

    def __init__(self) -> None:
        self._files_by_name: dict[str, bytes] = {}

    def path_of(self, name: str) -> str:
        """Return the path of a file, for error messages."""
        return f"memory/{name}"

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self._files_by_name)

    def read(self, name: str) -> bytes | None:
        """Return the bytes of a file, ``None`` where there is none."""
        return self._files_by_name.get(name)

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file."""
        self._files_by_name[name] = self._files_by_name.get(name, b"") + data

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""
        self._files_by_name[name] = self._files_by_name[name][:size]

    def replace(self, name: str, data: bytes) -> None:
        """Write a whole file atomically."""
        self._files_by_name[name] = data

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        self._files_by_name.pop(name, None)


class ReplayedControlHost:
    """One control host; its disk survives a crash of its process."""

    def __init__(self, *, definition: trace.HostDefinition, seed: int) -> None:
        self.id = definition.id
        self.zone = definition.zone
        self.folder = MemoryFolder()
        self.replica: replica.Replica | None = None
        self.machine = changes.ConfigurationStateMachine()
        self._rng = random.Random(seed)

    def open(self, *, clock: clocks.Clock) -> None:
        """Start the process from the data on disk."""
        disk = storage.Storage(folder=self.folder)
        identity = disk.identity()
        assert identity is not None
        self.machine = changes.ConfigurationStateMachine()
        self.replica = replica.Replica(
            raft=core.Raft(
                identity=identity,
                stored=disk.load(),
                clock=clock,
                rng=self._rng,
                timing=timing.Timing(),
            ),
            storage=disk,
            machine=self.machine,
        )

    def initialise(self, members: tuple[records.Member, ...]) -> None:
        """Write the initial snapshot and identity of a founding member to disk."""
        snapshot = records.Snapshot(
            last=records.Position(1, 0),
            membership=records.Membership(members=members),
            data=self.machine.capture(),
        )
        identity = records.Identity(host=self.id, member_id=self.id, group_id=GROUP_ID)
        storage.Storage(folder=self.folder).initialise(identity, snapshot)

    @property
    def confirmation_age(self) -> float:
        """Return the seconds for which the state here may have been outdated."""
        assert self.replica is not None
        return self.replica.raft.staleness


class ReplayedControl:
    """All control hosts of a trace, and the changes that operators make.

    :param host_definitions: the control hosts, all of them voters.
    :param delay: returns the one-way delay between two hosts in seconds, ``None`` if
        cut off.
    """

    def __init__(
        self,
        *,
        host_definitions: tuple[trace.HostDefinition, ...],
        clock: clocks.Clock,
        schedule: schedule_module.Schedule,
        delay: Delay,
        seed: int,
    ) -> None:
        self._clock = clock
        self._schedule = schedule
        self._delay = delay
        self._proposal_ids = itertools.count(1)
        self._pending_by_proposal_id: dict[int, trace.Change] = {}
        self._entry_builder = change_entries.EntryBuilder(
            environment="replay", signer=None, verifier=None, clock=clock
        )
        self.hosts_by_id = {
            line.id: ReplayedControlHost(definition=line, seed=seed + number)
            for number, line in enumerate(host_definitions)
        }
        self.results_by_change_id: dict[str, list[tuple[float, audit.AuditRecord]]] = {}

    def start(self, document: str) -> None:
        """Initialise and start all hosts, and propose the first document."""
        members = tuple(
            records.Member(id=host_id, host=host_id, address=host_id, voter=True)
            for host_id in self.hosts_by_id
        )
        for host in self.hosts_by_id.values():
            host.initialise(members)
            self.restart(host.id)
        change = trace.Change(
            change_id=INITIAL_CHANGE_ID, author="trace", document=document
        )
        self.propose(change)

    def crash(self, host_id: str) -> None:
        """Crash a control host; its disk is kept."""
        self.hosts_by_id[host_id].replica = None

    def restart(self, host_id: str) -> None:
        """Start a control host from the data on its disk."""
        host = self.hosts_by_id[host_id]
        host.open(clock=self._clock)
        self._schedule_wake(host)

    def propose(self, change: trace.Change) -> None:
        """Send an operator's change, and retry until it is decided or times out."""
        self._attempt(change, self._schedule.now + CHANGE_TIMEOUT_S)

    def state_of(self, host_id: str) -> configuration.ConfigurationState | None:
        """Return the configuration of a control host, ``None`` if it is down."""
        host = self.hosts_by_id[host_id]
        return None if host.replica is None else host.machine.state

    def _attempt(self, change: trace.Change, deadline: float) -> None:
        if self._schedule.now > deadline:
            return
        leader = self._find_leader(change)
        retry_delay = PENDING_RETRY_S if leader is not None else RETRY_S
        if leader is None or self._pending_by_proposal_id:
            retry = functools.partial(self._attempt, change, deadline)
            self._schedule.call_later(retry_delay, retry)
            return
        entry = self._entry_builder.build_entry(
            _build_change(change), leader.machine, ()
        )
        existing = leader.machine.audit.find(change.change_id)
        if existing is not None:
            self._record_result(change, existing)
            return
        proposal_id = next(self._proposal_ids)
        self._pending_by_proposal_id[proposal_id] = change
        expire = functools.partial(self._expire, proposal_id, deadline)
        self._schedule.call_later(RETRY_S * 5, expire)
        payload = changes.encode(entry)
        proposed = events.PayloadProposed(proposal_id=proposal_id, payload=payload)
        self._step(leader, proposed)

    def _expire(self, proposal_id: int, deadline: float) -> None:
        """Retry a change that got no reply in time, under the same change id."""
        change = self._pending_by_proposal_id.pop(proposal_id, None)
        if change is not None:
            self._attempt(change, deadline)

    def _find_leader(self, change: trace.Change) -> ReplayedControlHost | None:
        candidate_ids = [change.via] if change.via else list(self.hosts_by_id)
        for host_id in candidate_ids:
            host = self.hosts_by_id[host_id]
            if host.replica is None:
                continue
            leader = self.hosts_by_id.get(host.replica.raft.leader_id or "")
            if leader is None or leader.replica is None:
                continue
            is_reachable = leader is host or self._delay(host.id, leader.id) is not None
            if is_reachable and leader.replica.is_leader:
                return leader
        return None

    def _schedule_wake(self, host: ReplayedControlHost) -> None:
        member = host.replica
        if member is None:
            return
        wake_at = self._schedule.to_trace_time(member.raft.next_timer_at)
        wake = functools.partial(self._wake, host, member)
        self._schedule.call_at(max(wake_at, self._schedule.now), wake)

    def _wake(self, host: ReplayedControlHost, member: replica.Replica) -> None:
        if host.replica is not member:
            return
        if member.raft.next_timer_at <= self._clock.monotonic() + 1e-9:
            self._step(host, events.TimeReached())
        self._schedule_wake(host)

    def _step(self, host: ReplayedControlHost, event: events.Event) -> None:
        assert host.replica is not None
        for outcome in host.replica.step(event):
            if isinstance(outcome, replica.ProposalResult):
                self._handle_result(outcome)
            elif not isinstance(outcome, replica.ReadResult | events.RoleChanged):
                self._send(host, outcome)

    def _send(self, host: ReplayedControlHost, message: typing.Any) -> None:
        delay = self._delay(host.id, message.receiver)
        target = self.hosts_by_id[message.receiver]

        def arrive() -> None:
            if target.replica is not None:
                self._step(target, events.MessageReceived(message=message))

        if delay is not None:
            self._schedule.call_later(delay, arrive)

    def _handle_result(self, result: replica.ProposalResult) -> None:
        change = self._pending_by_proposal_id.pop(result.proposal_id, None)
        if change is None:
            return
        if result.error is None:
            self._record_result(change, result.result)
        else:
            self._attempt(change, self._schedule.now + CHANGE_TIMEOUT_S)

    def _record_result(self, change: trace.Change, record: audit.AuditRecord) -> None:
        results = self.results_by_change_id.setdefault(change.change_id, [])
        results.append((self._schedule.now, record))


def _build_change(change: trace.Change) -> configuration.Change:
    if change.zone is not None:
        return configuration.ZoneChange(
            change_id=change.change_id,
            author=change.author,
            zone=change.zone,
            drained=change.drained,
            force=True,
        )
    return configuration.DocumentChange(
        change_id=change.change_id,
        author=change.author,
        document=(change.document or "").encode(),
        expected_revision=change.expected_revision,
    )
