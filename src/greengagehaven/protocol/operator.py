"""What operators send to control hosts and are told, as JSON."""

import datetime

import msgspec


class DocumentBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``POST /v1/changes``: put a document in force.

    :param document: its bytes (base64 in JSON).
    :param expected_revision: revision the operator saw, ``null`` to force.
    :param proof: the trial environment's statement (base64 in JSON).
    """

    change_id: str
    document: bytes
    expected_revision: int | None = None
    proof: bytes = b""


class ZoneBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """``POST /v1/zones/NAME``: drain or restore an availability zone."""

    change_id: str
    drained: bool
    force: bool = False


class ProofBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """``POST /v1/proofs``: prove a digest; empty for the one in force."""

    change_id: str
    digest: str = ""


class WithdrawalBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``POST /v1/withdrawals``: a digest must not be promoted any more."""

    change_id: str
    digest: str
    statement: bytes = b""


class ChangeBody(msgspec.Struct, frozen=True, kw_only=True):
    """Result of an accepted change."""

    change_id: str
    revision: int
    code: str
    made_at: datetime.datetime
    digest: str


class ProofDocument(msgspec.Struct, frozen=True, kw_only=True):
    """``GET /v1/proofs/DIGEST``: what ``promote`` carries to production."""

    digest: str
    proof: bytes
    document: bytes


class WithdrawalDocument(msgspec.Struct, frozen=True, kw_only=True):
    """``GET /v1/withdrawals/DIGEST``: a signed withdrawal."""

    digest: str
    statement: bytes


class AuditLine(msgspec.Struct, frozen=True, kw_only=True):
    """One change in ``GET /v1/audit`` and ``GET /v1/history``."""

    number: int
    made_at: datetime.datetime
    author: str
    action: str
    change_id: str
    revision: int
    accepted: bool
    code: str
    detail: str
    from_digest: str
    to_digest: str


class MemberLine(msgspec.Struct, frozen=True, kw_only=True):
    """A control host in ``GET /v1/status``.

    :param answers: whether it answered the host that was asked.
    :param missing_entries: how far its applied state is behind.
    """

    host: str
    member_id: str
    address: str
    voter: bool
    leader: bool
    answers: bool
    revision: int | None
    missing_entries: int | None
    log_bytes: int | None


class HostLine(msgspec.Struct, frozen=True, kw_only=True):
    """An entry host in ``GET /v1/status``.

    :param state: ``current``, ``behind``, ``refused`` (it got the revision and
        cannot read it) or ``silent``.
    """

    host_id: str
    availability_zone: str
    revision: int
    age_ms: int
    state: str


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """``GET /v1/status``.

    :param quorum: ``ok``, or ``lost`` where no leader with a quorum can be
        reached from the host that was asked; all else is then what that host
        knew last.
    :param detail: one line for people.
    :param age_ms: for how long the state may have been outdated.
    """

    quorum: str
    detail: str
    host: str
    role: str
    term: int
    group_id: str
    leader: str | None
    revision: int
    digest: str
    drained_zones: tuple[str, ...]
    age_ms: int | None
    members: tuple[MemberLine, ...]
    hosts: tuple[HostLine, ...]
