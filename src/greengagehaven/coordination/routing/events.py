"""Input events of the router and the actions that it returns.

Those of single attempts are msgspec structs: creating a frozen data class takes ten
times as long, and each attempt of a sweep creates several.
"""

import dataclasses
import enum

import msgspec

from greengagehaven import exceptions
from greengagehaven.protocol import rollouts, watching
from greengagehaven.state import routes


class Fault(enum.StrEnum):
    """Why an attempt got no usable reply.

    ``CONNECT``: no connection could be opened; nothing was sent. ``CONNECTION_LIMIT``:
    the upstream accepts no further connection; nothing was sent. ``UNSENT``: the
    connection was closed before anything was sent. ``LOST``: the connection was closed
    after the request was sent. ``MALFORMED``: the bytes received are not a reply to
    this request. ``CANCELLED``: the attempt was cancelled without a reply, as nobody
    needed it any more or its upstream is unreachable. ``HELPER``: the helper that was
    to send it stopped responding; the request may have run, and the fault does not
    count against the upstream.
    """

    CONNECT = "connect"
    CONNECTION_LIMIT = "crowded"
    UNSENT = "unsent"
    LOST = "lost"
    MALFORMED = "garbled"
    CANCELLED = "silent"
    HELPER = "helper"


EARLY_RESET_SHARE = 0.5
"""Share of the typical latency before which a reset means that the request was not
read; one request in forty runs in less time."""

NOT_SENT = frozenset({Fault.CONNECT, Fault.CONNECTION_LIMIT, Fault.UNSENT})
"""Faults after which no byte of the request was written."""


class Listener(enum.StrEnum):
    """Result of an attempt to connect to an upstream.

    ``OPEN``: it listens, even if it resets a connection above its limit. ``CLOSED``:
    its host refuses the connection. ``NO_RESPONSE``: there was no response.
    """

    OPEN = "open"
    CLOSED = "closed"
    NO_RESPONSE = "silent"


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Load that an upstream reports in a reply.

    :param running: requests that it runs.
    :param waiting: requests in its queue.
    :param slots: requests that it can run at the same time.
    :param work_percent: how long work takes on its machine at this moment, in percent
        of the usual time; ``None`` if it does not report it.
    """

    running: int
    waiting: int
    slots: int
    work_percent: float | None = None


class Replied(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt got a complete reply.

    :param status: HTTP status code.
    :param is_success: whether it is a 2xx reply, signed, and to this request.
    :param not_run: whether the upstream reports that it did not run the request.
    :param load: load that the upstream reports, ``None`` if it reports none.
    :param size: bytes of the reply including its header, 0 if not counted.
    :param took: seconds that the attempt took on the helper that sent it, ``None`` if
        this host sent it.
    :param is_merged: whether a helper merged its records with those of other parts, so
        that an answer contains all of them or none.
    """

    status: int
    is_success: bool
    not_run: bool = False
    load: Load | None = None
    size: int = 0
    took: float | None = None
    is_merged: bool = False

    @property
    def was_rejected_with_free_slots(self) -> bool:
        """Return whether the upstream rejected the request with slots free."""
        is_rejection = self.not_run and self.load is not None
        return is_rejection and self.load.running < self.load.slots


class Failed(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt got no usable reply.

    :param detail: explanation for the log.
    :param received_nothing: whether no byte of a reply was received.
    :param is_first_use: whether its connection had never delivered a reply before.
    """

    fault: Fault
    detail: str = ""
    received_nothing: bool = False
    is_first_use: bool = False

    def is_probably_unread(self, took: float, typical_latency: float) -> bool:
        """Return whether the upstream most probably did not read the request.

        After a power loss all hosts open connections at once while upstreams still
        hold the old ones, and connections above an upstream's limit are reset as soon
        as they are opened. If these attempts counted as having reached the service,
        the retries on other upstreams would use up the extra-attempt budget. An
        upstream that resets the connection after running the request takes longer.
        This is a heuristic, so it must not be used to tell the caller that the request
        did not run.

        :param took: seconds from sending to the end of the attempt.
        :param typical_latency: seconds that such a request usually takes.
        """
        if self.fault in NOT_SENT:
            return True
        is_early = took < EARLY_RESET_SHARE * typical_latency
        return self.fault is Fault.LOST and self.is_first_use and is_early


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived:
    """A caller's request was read completely.

    :param number: number of the request on this host.
    :param request_id: id that the caller gave it.
    :param host: host name that the request is for.
    :param path: path with the query string.
    :param fingerprint: equal for requests that an upstream cannot tell apart.
    :param time_left: seconds that the caller still waits, ``None`` if it does not say.
    :param key_digest: SHA-256 of the caller's key in hex, empty if it sent none.
    :param age: seconds since it arrived at this host.
    """

    number: int
    request_id: str
    host: str
    path: str
    fingerprint: str = ""
    time_left: float | None = None
    key_digest: str = ""
    age: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestAbandoned:
    """The caller closed its connection."""

    number: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerWritten:
    """The answer to a sweep was written.

    :param late: seconds after it was due.
    :param route: name of the route.
    :param is_held: whether it was held until its due time, as a shard was pending.
    """

    late: float
    route: str
    is_held: bool


class AttemptStarted(msgspec.Struct, frozen=True, kw_only=True):
    """The first byte of an attempt is about to be written.

    Before this event the attempt cannot have run.
    """

    attempt: int


class AttemptEnded(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt ended with a reply or a failure."""

    attempt: int
    outcome: Replied | Failed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptsReported:
    """A helper reports attempts that ended and whose parts it merged.

    They are processed together: an answer that named only some of them would contain
    records of parts that it does not name.

    :param straggling: attempts of the same call that have not ended and count as
        straggling.
    """

    ended: tuple[AttemptEnded, ...]
    straggling: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HelperEnded:
    """A call to a helper ended.

    :param address: peer address of the helper.
    :param failed: reason of its failure, empty if it succeeded.
    """

    address: str
    failed: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryHostsChanged:
    """The known entry hosts changed.

    :param hosts: the entry hosts of this zone and some of each other zone; all of them
        are connected to control hosts.
    """

    hosts: tuple[watching.HostEntry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingTableChanged:
    """A routing table came into force."""

    table: routes.RoutingTable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationConfirmed:
    """A majority confirmed the revision in force, not before ``confirmed_at``."""

    confirmed_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZonesDrained:
    """The set of availability zones that get no new work changed."""

    zones: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutsChanged:
    """A newer configuration holds these roll-outs, the last one of each service."""

    rollouts: tuple[rollouts.Rollout, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutReportsAcknowledged:
    """Control hosts started or stopped acknowledging this host's roll-out reports."""

    is_acknowledged: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamsChanged:
    """Upstreams were added, removed or changed."""

    entries: tuple[watching.UpstreamEntry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostCountChanged:
    """The number of known entry hosts changed."""

    count: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListenerChecked:
    """Result of a check whether the upstream of a lost attempt still listens."""

    attempt: int
    listener: Listener


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamProbed:
    """Result of a ``ProbeUpstream``."""

    upstream_id: str
    listener: Listener


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashesReported:
    """Other entry hosts reported crashes of upstreams."""

    crashes: tuple[watching.Crash, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutliersReported:
    """Several entry hosts reported the same upstreams as slow or faulty."""

    outliers: tuple[watching.Outlier, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoanReceived:
    """A ``RequestLoan`` ended.

    :param number: number of the ``RequestLoan``.
    :param services: one entry for each extra attempt lent; empty if the call failed.
    :param until: monotonic seconds at which the loan expires.
    """

    number: int
    services: tuple[str, ...]
    until: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsageTotalsReceived:
    """The usage of teams at other hosts was updated.

    :param sent_at: monotonic seconds at which it was requested.
    """

    sent_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stopping:
    """The host is stopping; every request has to be answered in time.

    :param answer_by: monotonic time, in seconds, at which no request is left.
    """

    answer_by: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimeReached:
    """The clock reached the time of the last ``WakeAt``."""


Event = (
    RequestArrived
    | RequestAbandoned
    | AnswerWritten
    | AttemptStarted
    | AttemptEnded
    | AttemptsReported
    | HelperEnded
    | EntryHostsChanged
    | RoutingTableChanged
    | ConfigurationConfirmed
    | ZonesDrained
    | RolloutsChanged
    | RolloutReportsAcknowledged
    | UpstreamsChanged
    | HostCountChanged
    | ListenerChecked
    | UpstreamProbed
    | CrashesReported
    | OutliersReported
    | LoanReceived
    | UsageTotalsReceived
    | Stopping
    | TimeReached
)


class Send(msgspec.Struct, frozen=True, kw_only=True):
    """Send a request to an upstream.

    :param attempt: id of the attempt.
    :param number: number of the request on this host.
    :param time_left: seconds that the caller still waits.
    :param connections: maximum number of connections of this host to the upstream.
    :param team: id of the team that sent the request, empty if there is none.
    """

    attempt: int
    number: int
    upstream_id: str
    address: str
    time_left: float
    connections: int
    team: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delegate:
    """Let a helper send some attempts of a sweep and report how they end.

    :param number: number of the request on this host.
    :param address: peer address of the helper.
    :param report_after: seconds after which it reports the replies it has.
    :param top_records: number of greatest records that it returns.
    """

    number: int
    address: str
    sends: tuple[Send, ...]
    report_after: float
    top_records: int


class ReleaseAttempts(msgspec.Struct, frozen=True, kw_only=True):
    """The replies of these attempts are no longer needed.

    :param may_cancel: whether they may be cancelled if they take long.
    """

    attempts: tuple[int, ...]
    may_cancel: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardReply:
    """Pass an upstream's reply to the caller unchanged, and end the request."""

    number: int
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerParts:
    """Answer with the greatest records of these parts, and end the request.

    :param missing: number of shards without a part.
    :param top_records: number of records in the answer.
    :param due_at: monotonic seconds at which it was due: the answer time if a shard is
        still pending, else the time of the last part.
    :param route: name of the route.
    :param is_held: whether it was held until its due time, as a shard is pending.
    """

    number: int
    attempts: tuple[int, ...]
    missing: int
    top_records: int
    due_at: float
    route: str
    is_held: bool

    def written_at(self, moment: float) -> "AnswerWritten":
        """Return the event that it was written at a moment, in monotonic seconds."""
        return AnswerWritten(
            late=moment - self.due_at, route=self.route, is_held=self.is_held
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Answer with an error, and end the request."""

    number: int
    error: exceptions.RequestError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseUpstreamConnections:
    """Close the connections to an address, which another upstream may use next."""

    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckListener:
    """Check whether the upstream of a lost attempt still listens."""

    attempt: int
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeUpstream:
    """Check whether an upstream accepts connections."""

    upstream_id: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportCrash:
    """Report a crash to the other entry hosts."""

    crash: watching.Crash


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportOutlier:
    """Report an upstream that was slow or faulty to control hosts."""

    outlier: watching.Outlier


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestLoan:
    """Ask another host of the zone to lend extra attempts.

    :param services: one entry for each attempt requested.
    """

    number: int
    address: str
    services: tuple[str, ...]


class WakeAt(msgspec.Struct, frozen=True, kw_only=True):
    """Send ``TimeReached`` at this time, in monotonic seconds."""

    moment: float


Action = (
    Send
    | Delegate
    | ReleaseAttempts
    | ForwardReply
    | AnswerParts
    | Refuse
    | CloseUpstreamConnections
    | CheckListener
    | ProbeUpstream
    | ReportCrash
    | ReportOutlier
    | RequestLoan
    | WakeAt
)
