"""JSON requests and responses of the operator API of control hosts."""

import datetime

import msgspec


class DocumentBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``POST /v1/changes``: apply a document.

    :param change_id: idempotency key of the change.
    :param document: the document's bytes (base64 in JSON).
    :param expected_revision: revision that the change is based on; ``null`` skips
        the check.
    :param proof: signed statement of the trial environment (base64 in JSON).
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
    """``POST /v1/proofs``: prove a digest, by default that of the current document."""

    change_id: str
    digest: str = ""


class WithdrawalBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``POST /v1/withdrawals``: withdraw a digest, which forbids its promotion."""

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
    """``GET /v1/proofs/DIGEST``: a proof that ``promote`` transfers to production."""

    digest: str
    proof: bytes
    document: bytes


class WithdrawalDocument(msgspec.Struct, frozen=True, kw_only=True):
    """``GET /v1/withdrawals/DIGEST``: a signed withdrawal."""

    digest: str
    statement: bytes


class AuditLogEntry(msgspec.Struct, frozen=True, kw_only=True):
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


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A control host in ``GET /v1/status``.

    :param answers: whether it replied to the host that serves the status.
    :param revision: ``null`` if it did not reply.
    :param missing_entries: number of log entries that it has not applied yet,
        ``null`` if it did not reply.
    :param log_bytes: size of its log, ``null`` if it did not reply.
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


class EntryHostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """An entry host in ``GET /v1/status``.

    :param age_ms: milliseconds since its last report.
    :param state: ``current``, ``behind``, ``refused`` (it received the revision but
        cannot apply it) or ``silent`` (no recent report).
    """

    host_id: str
    availability_zone: str
    revision: int
    age_ms: int
    state: str


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """``GET /v1/status``.

    :param quorum: ``ok``, or ``lost`` if the host that serves the status cannot reach
        a leader with a quorum; the other fields are then its last known state.
    :param detail: human-readable explanation, one line.
    :param age_ms: maximum age of the state in milliseconds.
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
    members: tuple[MemberStatus, ...]
    hosts: tuple[EntryHostStatus, ...]
