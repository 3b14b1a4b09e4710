"""Messages between control hosts, and between them and the hosts that follow them."""

import msgspec


class RevisionReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Configuration revision that an entry host has applied.

    :param revision: newest revision that the host applied.
    :param refused_revision: a newer revision that the host received and could not
        apply, 0 if there is none.
    :param age_ms: milliseconds since the host reported this.
    """

    host_id: str
    availability_zone: str
    revision: int
    refused_revision: int = 0
    age_ms: int = 0


class FollowRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Request the configuration changes after a revision.

    :param held_revision: newest revision that the sender holds; deltas start
        after it.
    :param wait_ms: milliseconds to wait for a change if there is none yet (long
        poll).
    :param whole: request the full state, since deltas could not be applied.
    :param reports: reports of the sender and of the hosts that follow it.
    """

    held_revision: int
    wait_ms: int = 0
    whole: bool = False
    reports: tuple[RevisionReport, ...] = ()


class FollowReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Configuration changes, encoded as msgpack of ``state.configuration`` types.

    :param revision: newest revision known to the replying host.
    :param age_ms: milliseconds since a leader is known to have had no newer
        revision.
    :param state: a full ``ConfigurationState``, sent where deltas are not enough.
    :param deltas: each ``Delta`` after the held revision.
    """

    revision: int
    age_ms: int
    state: bytes = b""
    deltas: tuple[bytes, ...] = ()


class IdentifyReply(msgspec.Struct, frozen=True, kw_only=True):
    """Replicated log that a control host belongs to; empty while it has none."""

    group_id: str
    host: str


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request of a control host to join the group as a voter or learner."""

    member_id: str
    host: str
    address: str
    voter: bool


class JoinReply(msgspec.Struct, frozen=True, kw_only=True):
    """Address of the leader to ask instead, empty if the request was accepted."""

    leader_address: str = ""


class ReportsReply(msgspec.Struct, frozen=True, kw_only=True):
    """State of a control host and reports of the entry hosts that follow it."""

    revision: int
    applied_index: int
    log_bytes: int
    reports: tuple[RevisionReport, ...]


class ForwardedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Operator's request that a control host forwards to the leader."""

    method: str
    path: str
    parameters: dict[str, str]
    author: str
    body: bytes


class ForwardedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Leader's response to a forwarded request."""

    status: int
    content_type: str
    body: bytes
