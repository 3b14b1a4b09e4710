"""Events that a member takes and actions that it returns."""

import dataclasses

from greengagehaven import exceptions
from greengagehaven.coordination.raft import messages
from greengagehaven.state import records


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimeReached:
    """The clock moved; timers may have run out."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MessageReceived:
    """A message of another member arrived."""

    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PayloadProposed:
    """Someone wants a payload in the log; ``proposal_id`` is its own number."""

    proposal_id: int
    payload: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MembershipProposed:
    """Change the membership by one member."""

    membership: records.Membership


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadRequested:
    """Someone wants to read state that nobody else can have replaced."""

    read_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotTaken:
    """The state machine was captured after entry ``index``."""

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
    """Make a vote and entries durable before any later action is carried out."""

    vote: records.Vote | None
    entries: tuple[records.Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Compact:
    """Save a snapshot durably and drop the log before ``base``.

    :param install: the state machine starts over from this snapshot.
    """

    snapshot: records.Snapshot
    vote: records.Vote
    base: records.Position
    entries: tuple[records.Entry, ...]
    install: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a message; it may be lost, doubled or late."""

    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Apply:
    """These entries are committed; apply them in order."""

    entries: tuple[records.Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProposalPlaced:
    """A proposal stands in the log at a place; it is not committed yet."""

    proposal_id: int
    place: records.Position


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProposalRefused:
    """A proposal is not in the log and never will be."""

    proposal_id: int
    error: exceptions.ControlError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadAllowed:
    """Everything that was acknowledged before the request is applied."""

    read_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadRefused:
    """This member cannot tell whether its state is the newest."""

    read_id: int
    error: exceptions.ControlError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoleChanged:
    """The member's role, term or leader is another than before."""

    role: str
    term: int
    leader_id: str | None


Action = (
    Save
    | Compact
    | Send
    | Apply
    | ProposalPlaced
    | ProposalRefused
    | ReadAllowed
    | ReadRefused
    | RoleChanged
)
