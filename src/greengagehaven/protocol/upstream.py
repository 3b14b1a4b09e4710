"""Messages between entry hosts and upstreams.

The JSON messages are part of the public protocol (docs/PROTOCOL.md). Frozen
``msgspec.Struct`` classes are used because the codecs handle them natively.
"""

import enum
import typing

import msgspec

from greengagehaven.protocol import codec


class ShardRef(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies a shard by its service and its number within the service."""

    service: str
    shard: int


class UpstreamState(enum.StrEnum):
    """Lifecycle state that an upstream announces."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class HostedShard(msgspec.Struct, frozen=True, kw_only=True):
    """A shard that an upstream serves, with the partitioning it belongs to."""

    service: str
    shard: codec.Integer
    shard_count: codec.Integer
    partitioning: codec.Integer

    @property
    def ref(self) -> ShardRef:
        """Return the reference of the shard."""
        return ShardRef(self.service, self.shard)


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load as reported by an upstream; it may be outdated or wrong."""

    in_flight: codec.Integer = 0
    queued: codec.Integer = 0


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """State that an upstream announces, renewed before its lease expires.

    Announcements of one upstream are ordered by (incarnation, sequence).
    """

    id: str
    incarnation: codec.Integer
    sequence: codec.Integer
    address: str
    availability_zone: str
    state: UpstreamState
    slots: codec.Integer
    max_connections: codec.Integer
    snapshots: tuple[codec.Integer, ...]
    shards: tuple[HostedShard, ...]
    load: LoadReport = LoadReport()

    @property
    def version(self) -> tuple[int, int]:
        """Return (incarnation, sequence), the order of an upstream's announcements."""
        return (self.incarnation, self.sequence)


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """Response to an announcement: when its lease expires and when to renew it."""

    lease_ms: int
    renew_ms: int


class SubRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of one query on one shard at one upstream.

    ``attempt`` is unique within the request, over all its shards.
    ``deadline`` is in monotonic seconds on the sender's clock; on the wire it is
    sent as the remaining time. ``query`` is the caller's JSON, unchanged.
    ``subscriber_id`` and ``standing`` (priority, higher first) determine the order
    in which an owner sends sub-requests. ``over_share_slots`` is not 0 if the
    subscriber exceeds its fair share: the sub-request then waits at the owner while
    that many over-share sub-requests run at the upstream. These three fields are not
    sent to upstreams.
    """

    request_id: str
    attempt: int
    upstream_id: str
    incarnation: int
    address: str
    shard_ref: ShardRef
    snapshot: int
    partitioning: int
    deadline: float
    kind: str
    query: msgspec.Raw
    subscriber_id: str = ""
    standing: int = 0
    over_share_slots: int = 0

    @property
    def id(self) -> tuple[str, int]:
        """Return (request id, attempt), which identifies this sub-request."""
        return (self.request_id, self.attempt)


class FailureReason(enum.StrEnum):
    """Why a sub-request got no usable reply.

    ``RESET`` is used only if the connection to the upstream itself broke, since it
    makes the request suspected of crashing upstreams. ``OWNER_LOST`` means that the
    owner host in between was lost.
    """

    CONNECT = "connect"
    RESET = "reset"
    OWNER_LOST = "owner_lost"
    STALLED = "stalled"
    TIMEOUT = "timeout"
    MISMATCH = "mismatch"
    STATUS = "status"
    CANCELLED = "cancelled"
    OVERLOADED = "overloaded"
    WRONG_VERSION = "wrong_version"


class Replied(msgspec.Struct, frozen=True, kw_only=True):
    """A reply that echoed the request id; ``rows`` keep the upstream's order.

    The owner host adds ``took``, the seconds from sending to the reply, and
    ``within_share`` and ``over_share``, the average number of slots used by
    subscribers within and over their fair share.
    """

    request_id: str
    attempt: int
    upstream_id: str
    rows: tuple[msgspec.Raw, ...]
    load: LoadReport | None = None
    took: float | None = None
    within_share: float | None = None
    over_share: float | None = None


class Failed(msgspec.Struct, frozen=True, kw_only=True):
    """A sub-request without a usable reply.

    ``not_run`` is true only if no byte was sent or the upstream reported so.
    ``retry_after`` is in seconds, from the upstream's response header.
    """

    request_id: str
    attempt: int
    upstream_id: str
    reason: FailureReason
    not_run: bool
    detail: str = ""
    retry_after: float | None = None


Outcome = Replied | Failed


def failure_of(
    sub_request: SubRequest,
    reason: FailureReason,
    *,
    not_run: bool = False,
    detail: str = "",
    retry_after: float | None = None,
) -> Failed:
    """Return the ``Failed`` outcome of a sub-request."""
    return Failed(
        request_id=sub_request.request_id,
        attempt=sub_request.attempt,
        upstream_id=sub_request.upstream_id,
        reason=reason,
        not_run=not_run,
        detail=detail,
        retry_after=retry_after,
    )


class ShardSearchBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/shard/search``."""

    kind: str
    query: msgspec.Raw


class ShardSearchReply(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a 200 response to ``POST /v1/shard/search``."""

    rows: tuple[msgspec.Raw, ...]


class UpstreamChannel(typing.Protocol):
    """Sends sub-requests to upstreams, directly or through their owner hosts."""

    def dispatch(
        self,
        batch: typing.Sequence[SubRequest],
        on_outcome: typing.Callable[[Outcome], None],
    ) -> None:
        """Send sub-requests and report the outcome of each exactly once.

        :param batch: sub-requests, of any queries and upstreams.
        :param on_outcome: called on the event loop, once per sub-request.
        """

    def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel a sub-request; its outcome is ``Failed`` with ``CANCELLED``."""

    def retire_connections(self, upstream_id: str) -> None:
        """Close an upstream's idle connections, and those in use once they are free."""
