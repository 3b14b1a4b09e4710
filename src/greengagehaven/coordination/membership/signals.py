"""Events that the membership core takes and actions that it returns."""

import dataclasses

from greengagehaven.coordination import events
from greengagehaven.protocol import membership, upstream


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticked:
    """Time went on; sent several times a second."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeReceived:
    """Another host sent an exchange; exactly one ``Reply`` follows."""

    exchange: membership.Exchange


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncReceived:
    """Another host compares a zone; exactly one ``Reply`` follows."""

    request: membership.SyncRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallAnswered:
    """A call came back."""

    call_id: int
    answer: membership.Exchange | membership.SyncReply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallFailed:
    """A call got no answer in time."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamAnnounced:
    """An upstream announced itself to this host."""

    announcement: upstream.Announcement


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamWithdrew:
    """An upstream took its announcement back at this host."""

    upstream_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoticePosted:
    """The query path wants all other hosts to know something.

    :param is_report: whether a later one replaces it, so that it can wait.
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
    """Send a message to a host and report what comes back.

    :param relay_address: host that has to pass it on, ``None`` for no relay.
    :param timeout: seconds to wait.
    """

    call_id: int
    address: str
    message: membership.Exchange | membership.SyncRequest
    timeout: float
    relay_address: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Answer the message that was just received."""

    message: membership.Exchange | membership.SyncReply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoticeReceived:
    """Give the query path what another host's query path posted."""

    host_id: str
    payload: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Noted:
    """Something that operators may want to read in the log."""

    event: str
    fields: dict[str, object]


Action = (
    Call
    | Reply
    | NoticeReceived
    | Noted
    | events.HostsChanged
    | events.DirectoryChanged
)
