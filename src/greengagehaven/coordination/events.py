"""Events that the decision core takes and actions that it returns.

The daemons turn network input into events and carry out actions; a replay
reads events from a trace and holds the actions against stated outcomes.
"""

import dataclasses
import typing

import msgspec

from greengagehaven import exceptions
from greengagehaven.protocol import claims, search, upstream
from greengagehaven.state import document


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuerySubmitted:
    """A caller's authenticated query arrived.

    :param request_id: id that the entry host gave it, unique everywhere.
    :param subscriber_id: name of the subscriber in the document.
    :param deadline: monotonic seconds after which nobody waits any more, or
        ``None`` for the deadline of its kind.
    :param idempotency_key: the caller's key, required for some kinds.
    :param require_complete: the caller's demand, ``None`` for the kind's policy.
    """

    request_id: str
    subscriber_id: str
    services: tuple[str, ...]
    kind: str
    query: msgspec.Raw
    deadline: float | None = None
    idempotency_key: str | None = None
    require_complete: bool | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueryAbandoned:
    """The caller closed its connection; its answer has no taker."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeReceived:
    """A sub-request ended, one way or another."""

    outcome: upstream.Outcome


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryChanged:
    """Upstreams came, went or changed; ``upstream_ids`` names them."""

    upstream_ids: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DocumentInForce:
    """A revision of the environment document came into force."""

    revision: int
    environment: document.Environment


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZonesDrained:
    """The set of availability zones that take no new work."""

    zones: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostsChanged:
    """The live entry hosts, this one included: zone by host id."""

    zones_by_host_id: dict[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerNotice:
    """A message of the query path from the same core on another host."""

    host_id: str
    payload: msgspec.Struct


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecorderReplied:
    """A recorder of idempotency keys answered, or not at all.

    :param request: what it was asked.
    :param reply: ``None`` where no answer came in time.
    """

    recorder_id: str
    request: claims.RecorderRequest
    reply: claims.RecorderReply | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimeReached:
    """The clock reached a moment that the core asked for."""


Event = (
    QuerySubmitted
    | QueryAbandoned
    | OutcomeReceived
    | DirectoryChanged
    | DocumentInForce
    | ZonesDrained
    | HostsChanged
    | PeerNotice
    | RecorderReplied
    | TimeReached
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dispatch:
    """Send these sub-requests to their upstreams."""

    batch: tuple[upstream.SubRequest, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cancel:
    """Give up on a sub-request that was dispatched."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerQuery:
    """Give the caller its answer; the query is over."""

    answer: search.Answer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RefuseQuery:
    """Give the caller an error; the query is over."""

    request_id: str
    error: exceptions.RequestError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetireConnections:
    """Close an upstream's idle connections and reuse none in use."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotifyPeers:
    """Tell the cores of all other live entry hosts, as soon as possible."""

    payload: msgspec.Struct


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AskRecorder:
    """Send a request to a recorder; its reply comes as ``RecorderReplied``."""

    recorder_id: str
    request: claims.RecorderRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WakeAt:
    """Send ``TimeReached`` at this moment, in monotonic seconds."""

    moment: float


Action = (
    Dispatch
    | Cancel
    | AnswerQuery
    | RefuseQuery
    | RetireConnections
    | NotifyPeers
    | AskRecorder
    | WakeAt
)


class Core(typing.Protocol):
    """What the daemons and replays drive."""

    def step(self, event: Event) -> list[Action]:
        """Take one event and return what is to be done, in order."""
