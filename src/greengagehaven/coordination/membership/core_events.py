"""Input events and output actions of the membership core."""

import dataclasses

from greengagehaven.coordination import events
from greengagehaven.protocol import membership, upstream


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticked:
    """Time has passed; sent several times per second."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeReceived:
    """Another host sent an exchange; exactly one ``Reply`` is returned."""

    exchange: membership.Exchange


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncReceived:
    """Another host sent a sync request; exactly one ``Reply`` is returned."""

    request: membership.SyncRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallAnswered:
    """A call was answered."""

    call_id: int
    answer: membership.Exchange | membership.SyncReply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallFailed:
    """A call failed or timed out."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamAnnounced:
    """An upstream announced itself to this host."""

    announcement: upstream.Announcement


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamWithdrew:
    """An upstream withdrew its announcement from this host."""

    upstream_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoticePosted:
    """The query path wants to send a notice to all other hosts.

    :param is_report: whether a later notice replaces this one, so that it may be
        delayed.
    """

    payload: bytes
    is_report: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaveRequested:
    """This host is about to stop."""


Event = (
    Ticked
    | ExchangeReceived
    | SyncReceived
    | CallAnswered
    | CallFailed
    | UpstreamAnnounced
    | UpstreamWithdrew
    | NoticePosted
    | LeaveRequested
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """Send a message to a host and report the answer.

    :param timeout: seconds to wait.
    :param relay_address: host that relays the message, ``None`` for no relay.
    """

    call_id: int
    address: str
    message: membership.Exchange | membership.SyncRequest
    timeout: float
    relay_address: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Reply to the message that was just received."""

    message: membership.Exchange | membership.SyncReply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeliverNotice:
    """Deliver a notice from another host's query path."""

    host_id: str
    payload: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogEvent:
    """Write a log event."""

    event: str
    fields: dict[str, object]


Action = (
    Call
    | Reply
    | DeliverNotice
    | LogEvent
    | events.HostsChanged
    | events.DirectoryChanged
)
