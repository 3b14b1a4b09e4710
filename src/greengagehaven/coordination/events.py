"""Events that the decision core processes and actions that it returns.

The daemons turn network input into events and execute the actions. A replay
reads the events from a trace and compares the actions with expected outcomes.
"""

import dataclasses
import typing

import msgspec

from greengagehaven import exceptions
from greengagehaven.protocol import claims, search, upstream
from greengagehaven.state import document


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuerySubmitted:
    """An authenticated query arrived from a caller.

    :param request_id: globally unique id assigned by the entry host.
    :param subscriber_id: name of the subscriber in the environment document.
    :param services: names of the requested services.
    :param kind: name of the kind in the environment document.
    :param query: the JSON of the query, passed on to the upstreams.
    :param deadline: when the caller stops waiting, in monotonic seconds; ``None``
        for the deadline of its kind.
    :param idempotency_key: the caller's key, required for some kinds.
    :param require_complete: whether a partial result is an error; ``None`` for
        the policy of the kind.
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
    """The caller closed its connection before it was answered."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeReceived:
    """A sub-request ended with a reply or a failure."""

    outcome: upstream.Outcome


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryChanged:
    """Upstreams were added, removed or changed.

    :param upstream_ids: ids of these upstreams.
    """

    upstream_ids: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DocumentInForce:
    """A revision of the environment document was applied."""

    revision: int
    environment: document.Environment


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZonesDrained:
    """The set of drained availability zones changed; they get no new work."""

    zones: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostsChanged:
    """The set of live entry hosts changed.

    :param zones_by_host_id: all live entry hosts, including this one.
    """

    zones_by_host_id: dict[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerNotice:
    """A notice arrived from the core of another entry host."""

    host_id: str
    payload: msgspec.Struct


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecorderReplied:
    """A request to a recorder of idempotency keys was answered or timed out.

    :param request: the request.
    :param reply: the reply, ``None`` after a timeout.
    """

    recorder_id: str
    request: claims.RecorderRequest
    reply: claims.RecorderReply | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimeReached:
    """The time requested with a ``WakeAt`` action has come."""


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
    """Cancel a sub-request that was dispatched."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerQuery:
    """Send the answer to the caller and end the query."""

    answer: search.Answer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RefuseQuery:
    """Send an error to the caller and end the query."""

    request_id: str
    error: exceptions.RequestError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetireConnections:
    """Close an upstream's idle connections, and the others after their current use."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotifyPeers:
    """Send a notice to the cores of all other live entry hosts without delay."""

    payload: msgspec.Struct


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendRecorderRequest:
    """Send a request to a recorder; ``RecorderReplied`` delivers the reply."""

    recorder_id: str
    request: claims.RecorderRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WakeAt:
    """Send ``TimeReached`` at ``moment``, in monotonic seconds."""

    moment: float


Action = (
    Dispatch
    | Cancel
    | AnswerQuery
    | RefuseQuery
    | RetireConnections
    | NotifyPeers
    | SendRecorderRequest
    | WakeAt
)


class Core(typing.Protocol):
    """Interface of the decision core for the daemons and replays."""

    def step(self, event: Event) -> list[Action]:
        """Process one event and return the resulting actions, in order."""
