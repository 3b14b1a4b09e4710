"""Messages between the members of a Raft group."""

import msgspec

from greengagehaven.protocol import codec
from greengagehaven.state import records


class _Message(msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True):
    """Common fields of all messages.

    :param group_id: id of the Raft group.
    :param sender: member id of the sender.
    :param receiver: member id of the receiver.
    :param term: the sender's term; in a pre-vote, the term it would start.
    """

    group_id: str
    sender: str
    receiver: str
    term: int


class ClockStamp(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A time on the clock of the member that sent it; other members only return it.

    :param run_started_at: when the member started. It tells its runs apart, since a
        clock may start from 0 when its host is booted.
    :param at: the time of the stamp, in monotonic seconds.
    """

    run_started_at: float
    at: float


class VoteRequest(_Message, frozen=True, kw_only=True, tag=True):
    """Request a vote, or a pre-vote if ``trial`` is set.

    :param last: position of the candidate's last log entry.
    """

    last: records.Position
    trial: bool = False


class VoteReply(_Message, frozen=True, kw_only=True, tag=True):
    """Reply to a vote request.

    A granted pre-vote carries the proposed term, a rejected one the voter's term.
    """

    granted: bool
    trial: bool = False


class AppendRequest(_Message, frozen=True, kw_only=True, tag=True):
    """Log entries that follow ``previous``; a heartbeat if there are none.

    :param previous: position of the entry before ``entries``.
    :param commit_index: the leader's commit index.
    :param sent_at: the leader's monotonic time in seconds, echoed in the reply.
    :param confirmed: the receiver's stamp of a time before which nothing was
        committed beyond ``commit_index``, as a majority confirmed after that time.
    """

    previous: records.Position
    commit_index: int
    sent_at: float
    entries: tuple[records.Entry, ...] = ()
    confirmed: ClockStamp | None = None


class AppendReply(_Message, frozen=True, kw_only=True, tag=True):
    """Result of an append request.

    :param success: whether the logs matched at ``previous``.
    :param match_index: on success, the highest index at which the logs match; on
        failure, the highest index at which they may match.
    :param stamp: the sender's time, which the leader returns as ``confirmed``.
    :param knows_transitions: whether the sender reads ``Membership.previous``; earlier
        versions don't.
    """

    success: bool
    match_index: int
    sent_at: float
    stamp: ClockStamp | None = None
    knows_transitions: bool = False


class SnapshotChunk(_Message, frozen=True, kw_only=True, tag=True):
    """Part of the leader's snapshot.

    :param last: position of the last entry that the snapshot covers.
    :param size: size of the whole snapshot in bytes.
    :param checksum: xxh64 checksum of the whole snapshot.
    :param offset: position of ``data`` in the snapshot, in bytes.
    """

    last: records.Position
    membership: records.Membership
    size: int
    checksum: int
    offset: int
    data: bytes
    sent_at: float


class SnapshotReply(_Message, frozen=True, kw_only=True, tag=True):
    """Number of contiguous bytes received of the snapshot at ``last``."""

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
    """Return messages encoded as MessagePack."""
    return codec.encode_msgpack(messages)


def decode(data: bytes) -> tuple[Message, ...]:
    """Return the messages encoded in ``data``.

    :raises InvalidRequestError: ``data`` does not contain valid messages.
    """
    return codec.decode_msgpack(data, tuple[Message, ...], place="raft")


def payload_size(message: Message) -> int:
    """Return the approximate payload size of a message in bytes."""
    match message:
        case AppendRequest(entries=entries):
            return sum(len(entry.payload) for entry in entries)
        case SnapshotChunk(data=data):
            return len(data)
    return 0
