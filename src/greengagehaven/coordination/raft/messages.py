"""Messages between the members of a replicated log."""

import msgspec

from greengagehaven.protocol import codec
from greengagehaven.state import records


class _Message(msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True):
    """Head of every message.

    :param group_id: the log it belongs to.
    :param sender: member id.
    :param receiver: member id.
    :param term: the sender's term; of a trial vote, the term it would start.
    """

    group_id: str
    sender: str
    receiver: str
    term: int


class VoteRequest(_Message, frozen=True, kw_only=True, tag=True):
    """Ask for a vote, or in a trial whether one would be given."""

    last: records.Position
    trial: bool = False


class VoteReply(_Message, frozen=True, kw_only=True, tag=True):
    """Answer to a vote request; a granted trial bears the proposed term."""

    granted: bool
    trial: bool = False


class AppendRequest(_Message, frozen=True, kw_only=True, tag=True):
    """Entries that follow ``previous``; without any, a heartbeat.

    :param sent_at: the leader's monotonic seconds, sent back in the reply.
    """

    previous: records.Position
    commit_index: int
    sent_at: float
    entries: tuple[records.Entry, ...] = ()


class AppendReply(_Message, frozen=True, kw_only=True, tag=True):
    """Whether the entries fitted.

    :param match_index: on success, up to where the logs agree; otherwise the
        last index at which they may agree.
    """

    success: bool
    match_index: int
    sent_at: float


class SnapshotChunk(_Message, frozen=True, kw_only=True, tag=True):
    """A part of the leader's snapshot.

    :param size: bytes of the whole.
    :param checksum: xxh64 of the whole.
    """

    last: records.Position
    membership: records.Membership
    size: int
    checksum: int
    offset: int
    data: bytes
    sent_at: float


class SnapshotReply(_Message, frozen=True, kw_only=True, tag=True):
    """How many bytes of the snapshot ``last`` have arrived in order."""

    last: records.Position
    received: int
    sent_at: float


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
)


def encode(messages: tuple[Message, ...]) -> bytes:
    """Return messages as they travel."""
    return codec.encode_msgpack(messages)


def decode(data: bytes) -> tuple[Message, ...]:
    """Return the messages in ``data``.

    :raises InvalidRequestError: they are none.
    """
    return codec.decode_msgpack(data, tuple[Message, ...], place="raft")


def size_of(message: Message) -> int:
    """Return roughly how many bytes of payload a message carries."""
    match message:
        case AppendRequest(entries=entries):
            return sum(len(entry.payload) for entry in entries)
        case SnapshotChunk(data=data):
            return len(data)
    return 0
