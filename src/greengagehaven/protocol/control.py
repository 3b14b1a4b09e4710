"""Messages between control hosts and of the hosts that follow them."""

import msgspec


class HostReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one entry host has in force.

    :param revision: the newest revision it could put in force.
    :param refused_revision: a newer one that it got and could not, else 0.
    :param age_ms: how long ago it said so.
    """

    host_id: str
    availability_zone: str
    revision: int
    refused_revision: int = 0
    age_ms: int = 0


class FollowRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Ask for what changed after a revision.

    :param held_revision: the newest state held; deltas follow it.
    :param wait_ms: how long to wait for news where there is none.
    :param whole: ask for the whole state, since deltas did not fit.
    :param reports: the asking host's own and those of hosts that follow it.
    """

    held_revision: int
    wait_ms: int = 0
    whole: bool = False
    reports: tuple[HostReport, ...] = ()


class FollowReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What changed; the payloads are msgpack of ``state.configuration``.

    :param revision: the newest known to the host that answers.
    :param age_ms: how long ago a leader is known to have had none newer.
    :param state: a whole ``ConfigurationState``, where deltas do not do.
    :param deltas: each ``Delta`` after the revision that was held.
    """

    revision: int
    age_ms: int
    state: bytes = b""
    deltas: tuple[bytes, ...] = ()


class IdentifyReply(msgspec.Struct, frozen=True, kw_only=True):
    """Which log a control host belongs to; empty while it has none."""

    group_id: str
    host: str


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A control host asks the leader to become a member."""

    member_id: str
    host: str
    address: str
    voter: bool


class JoinReply(msgspec.Struct, frozen=True, kw_only=True):
    """The host to ask instead, empty where the request was taken."""

    leader_address: str = ""


class ReportsReply(msgspec.Struct, frozen=True, kw_only=True):
    """The entry hosts that follow one control host, and its own state."""

    revision: int
    applied_index: int
    log_bytes: int
    reports: tuple[HostReport, ...]


class ForwardedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's request on its way to the leader."""

    method: str
    path: str
    parameters: dict[str, str]
    author: str
    body: bytes


class ForwardedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The leader's answer to a forwarded request."""

    status: int
    content_type: str
    body: bytes
