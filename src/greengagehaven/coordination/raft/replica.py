"""A Raft member with its storage and state machine."""

import dataclasses
import typing

from greengagehaven import exceptions
from greengagehaven.coordination.raft import core, events, messages, roles
from greengagehaven.state import records

DEFAULT_COMPACT_BYTES = 4 * 1024 * 1024


class StateMachine(typing.Protocol):
    """Deterministic state that changes only by applying entries in order."""

    def apply(self, payload: bytes) -> typing.Any:
        """Apply one committed payload and return its result."""

    def capture(self) -> bytes:
        """Return the serialized state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by one that ``capture`` returned."""


class Storage(typing.Protocol):
    """Durable state of a member; implemented by ``state.storage.Storage``."""

    @property
    def log_bytes(self) -> int:
        """Return the size of the log on disk in bytes."""

    def save(
        self, *, vote: records.Vote | None, entries: tuple[records.Entry, ...]
    ) -> None:
        """Make a vote and entries durable."""

    def compact(
        self,
        snapshot: records.Snapshot,
        *,
        vote: records.Vote,
        base: records.Position,
        entries: tuple[records.Entry, ...],
    ) -> None:
        """Make a snapshot durable and drop the entries it replaces."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProposalResult:
    """Result of a proposal: the state machine's result, or an error."""

    proposal_id: int
    result: typing.Any = None
    error: exceptions.ControlError | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadResult:
    """Result of a read request; the read may proceed if ``error`` is ``None``."""

    read_id: int
    error: exceptions.ControlError | None = None


Outcome = messages.Message | ProposalResult | ReadResult | events.RoleChanged


class Replica:
    """Executes a member's actions on its storage and state machine.

    A storage failure halts the replica permanently: it no longer sends or acknowledges
    anything until it is restarted from disk.

    :param raft: the member.
    :param storage: durable storage of the member.
    :param machine: its state machine, empty.
    :param compact_bytes: growth of the log, in bytes, after which a snapshot is taken.
    """

    def __init__(
        self,
        *,
        raft: core.Raft,
        storage: Storage,
        machine: StateMachine,
        compact_bytes: int = DEFAULT_COMPACT_BYTES,
    ) -> None:
        self.raft = raft
        self.machine = machine
        self.storage_error: exceptions.StorageError | None = None
        self.applied_index = raft.log.snapshot.last.index
        self._storage = storage
        self._compact_bytes = compact_bytes
        self._compacted_size = storage.log_bytes
        self._proposal_ids_by_position: dict[records.Position, int] = {}
        if raft.log.snapshot.data:
            machine.restore(raft.log.snapshot.data)

    @property
    def is_leader(self) -> bool:
        """Return whether this member is the leader and its storage works."""
        return self.raft.leadership is not None and self.storage_error is None

    def step(self, *batch: events.Event) -> list[Outcome]:
        """Process events; return messages to send, results and role changes.

        :raises StorageError: writing to disk failed; the replica has halted.
        """
        if self.storage_error is not None:
            return []
        outcomes = self._execute(self.raft.step(*batch))
        if self._needs_snapshot():
            outcomes += self._take_snapshot()
        return outcomes

    def _execute(self, actions: list[events.Action]) -> list[Outcome]:
        outcomes: list[Outcome] = []
        for action in actions:
            try:
                outcomes += self._execute_one(action)
            except exceptions.StorageError as error:
                self.storage_error = error
                raise
        return outcomes

    def _execute_one(self, action: events.Action) -> list[Outcome]:
        match action:
            case events.Save(vote=vote, entries=entries):
                self._storage.save(vote=vote, entries=entries)
            case events.Compact():
                self._compact(action)
            case events.Send(message=message):
                return [message]
            case events.Apply(entries=entries):
                return [*self._apply(entries)]
            case events.ProposalAppended(proposal_id=proposal_id, position=position):
                self._proposal_ids_by_position[position] = proposal_id
            case events.ProposalRefused(proposal_id=proposal_id, error=error):
                return [ProposalResult(proposal_id=proposal_id, error=error)]
            case events.ReadAllowed(read_id=read_id):
                return [ReadResult(read_id=read_id)]
            case events.ReadRefused(read_id=read_id, error=error):
                return [ReadResult(read_id=read_id, error=error)]
            case events.RoleChanged():
                return [action, *self._fail_pending_proposals(action)]
        return []

    def _apply(self, entries: tuple[records.Entry, ...]) -> list[ProposalResult]:
        results = []
        for entry in entries:
            self.applied_index = entry.index
            if entry.kind is not records.EntryKind.CHANGE:
                continue
            result = self.machine.apply(entry.payload)
            position = records.Position(entry.index, entry.term)
            proposal_id = self._proposal_ids_by_position.pop(position, None)
            if proposal_id is not None:
                results.append(ProposalResult(proposal_id=proposal_id, result=result))
        return results

    def _fail_pending_proposals(
        self, change: events.RoleChanged
    ) -> list[ProposalResult]:
        """Fail pending proposals after losing leadership: their outcome is unknown."""
        if change.role == roles.Role.LEADER:
            return []
        error = exceptions.NotLeaderError(leader=change.leader_id)
        proposal_ids = list(self._proposal_ids_by_position.values())
        self._proposal_ids_by_position.clear()
        return [
            ProposalResult(proposal_id=proposal_id, error=error)
            for proposal_id in proposal_ids
        ]

    def _compact(self, action: events.Compact) -> None:
        self._storage.compact(
            action.snapshot,
            vote=action.vote,
            base=action.base,
            entries=action.entries,
        )
        self._compacted_size = self._storage.log_bytes
        if action.install:
            self.machine.restore(action.snapshot.data)
            self.applied_index = action.snapshot.last.index

    def _needs_snapshot(self) -> bool:
        growth = self._storage.log_bytes - self._compacted_size
        return growth > self._compact_bytes

    def _take_snapshot(self) -> list[Outcome]:
        if self.applied_index <= self.raft.log.snapshot.last.index:
            return []
        data = self.machine.capture()
        event = events.SnapshotTaken(index=self.applied_index, data=data)
        return self._execute(self.raft.step(event))
