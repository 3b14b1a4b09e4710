"""A member with its disk and its state machine, driven step by step."""

import dataclasses
import typing

from greengagehaven import exceptions
from greengagehaven.coordination.raft import core, events, messages, roles
from greengagehaven.state import records

DEFAULT_COMPACT_BYTES = 4 * 1024 * 1024


class Machine(typing.Protocol):
    """State that is made by applying entries in order, and by nothing else."""

    def apply(self, payload: bytes) -> typing.Any:
        """Apply one committed payload and return its result."""

    def capture(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Become the state that ``capture`` returned."""


class Storage(typing.Protocol):
    """Durable state of a member; ``state.storage.Storage`` is one."""

    @property
    def log_bytes(self) -> int:
        """Return the size of the log on the disk."""

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
        """Make a snapshot durable and drop what it replaces."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decided:
    """What became of a proposal: the machine's result, or an error."""

    proposal_id: int
    result: typing.Any = None
    error: exceptions.ControlError | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadDecided:
    """A read may go ahead where there is no error."""

    read_id: int
    error: exceptions.ControlError | None = None


Outcome = messages.Message | Decided | ReadDecided | events.RoleChanged


class Replica:
    """Carries out a member's actions in order on its disk and machine.

    A failure of the disk halts it for good: it sends nothing and acknowledges
    nothing any more, and only a new start that reads the disk goes on.

    :param raft: the member.
    :param storage: its disk.
    :param machine: its state machine, empty.
    :param compact_bytes: size of the log beyond which a snapshot is taken.
    """

    def __init__(
        self,
        *,
        raft: core.Raft,
        storage: Storage,
        machine: Machine,
        compact_bytes: int = DEFAULT_COMPACT_BYTES,
    ) -> None:
        self.raft = raft
        self.machine = machine
        self.failure: exceptions.StorageError | None = None
        self.applied_index = raft.log.snapshot.last.index
        self._storage = storage
        self._compact_bytes = compact_bytes
        self._compacted_size = storage.log_bytes
        self._proposal_ids_by_place: dict[records.Position, int] = {}
        if raft.log.snapshot.data:
            machine.restore(raft.log.snapshot.data)

    @property
    def is_leader(self) -> bool:
        """Tell whether this member leads and its disk works."""
        return self.raft.leadership is not None and self.failure is None

    def step(self, *batch: events.Event) -> list[Outcome]:
        """Take events, and return messages to send and what was decided.

        :raises StorageError: the disk failed; the replica has halted.
        """
        if self.failure is not None:
            return []
        outcomes = self._carry_out(self.raft.step(*batch))
        if self._is_log_long():
            outcomes += self._take_snapshot()
        return outcomes

    def _carry_out(self, actions: list[events.Action]) -> list[Outcome]:
        outcomes: list[Outcome] = []
        for action in actions:
            try:
                outcomes += self._carry_out_one(action)
            except exceptions.StorageError as error:
                self.failure = error
                raise
        return outcomes

    def _carry_out_one(self, action: events.Action) -> list[Outcome]:
        match action:
            case events.Save(vote=vote, entries=entries):
                self._storage.save(vote=vote, entries=entries)
            case events.Compact():
                self._compact(action)
            case events.Send(message=message):
                return [message]
            case events.Apply(entries=entries):
                return [*self._apply(entries)]
            case events.ProposalPlaced(proposal_id=number, place=place):
                self._proposal_ids_by_place[place] = number
            case events.ProposalRefused(proposal_id=number, error=error):
                return [Decided(proposal_id=number, error=error)]
            case events.ReadAllowed(read_id=number):
                return [ReadDecided(read_id=number)]
            case events.ReadRefused(read_id=number, error=error):
                return [ReadDecided(read_id=number, error=error)]
            case events.RoleChanged():
                return [action, *self._give_up_proposals(action)]
        return []

    def _apply(self, entries: tuple[records.Entry, ...]) -> list[Decided]:
        decided = []
        for entry in entries:
            self.applied_index = entry.index
            if entry.kind is not records.EntryKind.CHANGE:
                continue
            result = self.machine.apply(entry.payload)
            place = records.Position(entry.index, entry.term)
            number = self._proposal_ids_by_place.pop(place, None)
            if number is not None:
                decided.append(Decided(proposal_id=number, result=result))
        return decided

    def _give_up_proposals(self, change: events.RoleChanged) -> list[Decided]:
        """Tell proposers of a lost term that the outcome is not known here."""
        if change.role == roles.Role.LEADER:
            return []
        error = exceptions.NotLeaderError(leader=change.leader_id)
        numbers = list(self._proposal_ids_by_place.values())
        self._proposal_ids_by_place.clear()
        return [Decided(proposal_id=number, error=error) for number in numbers]

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

    def _is_log_long(self) -> bool:
        grown = self._storage.log_bytes - self._compacted_size
        return grown > self._compact_bytes

    def _take_snapshot(self) -> list[Outcome]:
        if self.applied_index <= self.raft.log.snapshot.last.index:
            return []
        data = self.machine.capture()
        event = events.SnapshotTaken(index=self.applied_index, data=data)
        return self._carry_out(self.raft.step(event))
