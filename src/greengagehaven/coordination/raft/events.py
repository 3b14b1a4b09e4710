"""Input events of a Raft member and the actions that it returns."""

import dataclasses

from greengagehaven import exceptions
from greengagehaven.coordination.raft import messages
from greengagehaven.state import records


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimeReached:
    """``Raft.next_timer_at`` was reached; timers may have expired."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MessageReceived:
    """A message from another member was received."""

    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PayloadProposed:
    """A client proposes a payload; ``proposal_id`` identifies the proposal."""

    proposal_id: int
    payload: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MembershipProposed:
    """A membership is proposed that adds, removes or changes one member."""

    membership: records.Membership


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadRequested:
    """A client requests a linearizable read."""

    read_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotTaken:
    """The state machine was serialized after it applied entry ``index``."""

    index: int
    data: bytes


Event = (
    TimeReached
    | MessageReceived
    | PayloadProposed
    | MembershipProposed
    | ReadRequested
    | SnapshotTaken
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Save:
    """Make a vote and entries durable before any later action is executed."""

    vote: records.Vote | None
    entries: tuple[records.Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Compact:
    """Make a snapshot durable and drop the log entries up to ``base``.

    :param install: whether the state machine must be restored from this snapshot.
    """

    snapshot: records.Snapshot
    vote: records.Vote
    base: records.Position
    entries: tuple[records.Entry, ...]
    install: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a message; it may be lost, duplicated or delayed."""

    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Apply:
    """Apply these committed entries in order."""

    entries: tuple[records.Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProposalAppended:
    """A proposal was appended to the leader's log; it is not committed yet."""

    proposal_id: int
    position: records.Position


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProposalRefused:
    """A proposal was not appended and never will be."""

    proposal_id: int
    error: exceptions.ControlError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadAllowed:
    """The read may proceed: all writes acknowledged before it are applied."""

    read_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadRefused:
    """The read is rejected: this member cannot tell whether its state is current."""

    read_id: int
    error: exceptions.ControlError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoleChanged:
    """The member's role, term or known leader changed."""

    role: str
    term: int
    leader_id: str | None


Action = (
    Save
    | Compact
    | Send
    | Apply
    | ProposalAppended
    | ProposalRefused
    | ReadAllowed
    | ReadRefused
    | RoleChanged
)
