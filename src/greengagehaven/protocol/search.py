"""Messages of the callers' search API (docs/PROTOCOL.md)."""

import enum
import typing

import msgspec

EMPTY_QUERY = msgspec.Raw(b"{}")


class SearchBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/search``."""

    services: tuple[str, ...]
    kind: str
    query: msgspec.Raw = EMPTY_QUERY
    require_complete: bool | None = None


class MissingReason(enum.StrEnum):
    """Why a shard is missing from an answer."""

    NO_REPLICA = "no_replica"
    TIMEOUT = "timeout"
    FAILED = "failed"
    OVERLOADED = "overloaded"


class MissingShard(msgspec.Struct, frozen=True, kw_only=True):
    """A shard of the query's plan that the answer does not cover."""

    service: str
    shard: int
    reason: MissingReason


class Coverage(msgspec.Struct, frozen=True, kw_only=True):
    """Number of shards that an answer covers, out of those in the query's plan."""

    answered: int
    total: int
    complete: bool
    missing: tuple[MissingShard, ...] = ()


class ResultRow(msgspec.Struct, frozen=True, kw_only=True):
    """One row of an upstream's reply, with the shard it came from."""

    service: str
    shard: int
    row: msgspec.Raw


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a 200 answer to ``POST /v1/search``."""

    request_id: str
    snapshot: int
    results: tuple[ResultRow, ...]
    coverage: Coverage


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """``application/problem+json`` body of every error."""

    code: str
    title: str
    status: int
    detail: str = ""
    ran: str | None = None
    request_id: str | None = None
    retry_after: float | None = None


class RequestState(enum.StrEnum):
    """Known state of a non-idempotent request."""

    RUNNING = "running"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RequestStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /v1/requests/KEY``; ``answer`` is set once there is one."""

    idempotency_key: str
    state: RequestState
    request_id: str | None = None
    answer: typing.Any = None
