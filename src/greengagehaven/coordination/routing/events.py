"""Events that the router takes and actions that it returns."""

import dataclasses
import enum

from greengagehaven import exceptions
from greengagehaven.protocol import rollouts, watching
from greengagehaven.state import routes


class Fault(enum.StrEnum):
    """Why an attempt brought no reply that counts.

    ``CONNECT``: no connection, nothing was sent. ``CROWDED``: the upstream takes
    no further connection, nothing was sent. ``UNSENT``: the connection had
    ended before anything was sent. ``LOST``: it ended after the request was
    sent. ``GARBLED``: what came is no reply to this request. ``SILENT``: it was
    cut since nobody waited for it any more. ``HELPER``: another host was to send
    it and fell silent; it may have run, and says nothing of the upstream.
    """

    CONNECT = "connect"
    CROWDED = "crowded"
    UNSENT = "unsent"
    LOST = "lost"
    GARBLED = "garbled"
    SILENT = "silent"
    HELPER = "helper"


AT_ONCE_SHARE = 0.5
"""Share of the usual latency; one request in forty runs in less."""

NOT_SENT = frozenset({Fault.CONNECT, Fault.CROWDED, Fault.UNSENT})


class Listener(enum.StrEnum):
    """What an attempt to connect shows of an upstream.

    ``OPEN``: it listens, also where it resets a connection above its cap.
    ``CLOSED``: its host answers that nothing listens. ``SILENT``: no answer came.
    """

    OPEN = "open"
    CLOSED = "closed"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """What an upstream says of its load in a reply."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replied:
    """An attempt got a whole reply.

    :param is_success: a 2xx with a signature, for this request.
    :param not_run: the upstream says that it did not run the request.
    :param size: bytes of the reply with its head, 0 where nobody counted.
    :param took: seconds that it took at the host that sent it, ``None`` for here.
    :param is_merged: another host merged its records with those of other parts, so
        that the answer holds all of them or none.
    """

    status: int
    is_success: bool
    not_run: bool = False
    load: Load | None = None
    size: int = 0
    took: float | None = None
    is_merged: bool = False

    @property
    def has_room(self) -> bool:
        """Tell whether the upstream rejected the request with slots free."""
        is_known = self.not_run and self.load is not None
        return is_known and self.load.running < self.load.slots


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """An attempt got no reply that counts.

    :param is_mute: not a byte of a reply came.
    :param is_fresh: its connection never brought a reply before.
    """

    fault: Fault
    detail: str = ""
    is_mute: bool = False
    is_fresh: bool = False

    def is_turned_away(self, took: float, usual: float) -> bool:
        """Tell whether the upstream never read the request, as far as can be known.

        After a loss of power all hosts open connections at once, beside their old
        ones that upstreams still hold, and those above the cap are reset as soon
        as they are there. Counted as arrivals, they would take the tokens that the
        requests need to go elsewhere. An upstream that ran the request first takes
        longer. Whether it has run is a promise to the caller, and this no proof.

        :param took: seconds from sending to the end.
        :param usual: seconds that such a request usually takes.
        """
        if self.fault in NOT_SENT:
            return True
        is_at_once = took < AT_ONCE_SHARE * usual
        return self.fault is Fault.LOST and self.is_fresh and is_at_once


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived:
    """A caller's request was read whole.

    :param number: of the request on this host.
    :param request_id: the caller's id.
    :param path: with the query.
    :param fingerprint: alike for requests that an upstream cannot tell apart.
    :param time_left: seconds that the caller will wait, ``None`` where it does
        not say.
    """

    number: int
    request_id: str
    host: str
    path: str
    fingerprint: str = ""
    time_left: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestAbandoned:
    """The caller closed its connection."""

    number: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerWritten:
    """An answer that waited for its last moment was written.

    :param late: seconds after that moment.
    """

    late: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptStarted:
    """A byte of an attempt is about to be written; until then nothing can run."""

    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded:
    """An attempt ended, one way or another."""

    attempt: int
    outcome: Replied | Failed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptsReported:
    """Another host reports attempts that ended; their parts were merged there.

    They are taken together: an answer that held some of them alone would hold
    records of parts that it does not name.

    :param open: attempts of the same call that have not ended and straggle.
    """

    ended: tuple[AttemptEnded, ...]
    open: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HelperEnded:
    """A call to another host is over.

    :param failed: why it failed, empty where it did not.
    """

    address: str
    failed: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryHostsChanged:
    """The entry hosts of this zone and some of each other one.

    All are in touch with control hosts.
    """

    hosts: tuple[watching.HostEntry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TableInForce:
    """A table of routes came into force."""

    table: routes.RoutingTable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZonesDrained:
    """The availability zones that take no new work."""

    zones: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutsChanged:
    """The last roll-out of each service, by a newer configuration."""

    rollouts: tuple[rollouts.Rollout, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutReportsAcknowledged:
    """Whether control hosts take this host's reports of roll-outs."""

    is_acknowledged: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamsChanged:
    """Upstreams came, went or changed."""

    entries: tuple[watching.UpstreamEntry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostsCounted:
    """How many entry hosts there are."""

    count: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListenerChecked:
    """Whether the upstream of a lost attempt still listens."""

    attempt: int
    listener: Listener


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamProbed:
    """Whether an upstream that said nothing for a while can be connected to."""

    upstream_id: str
    listener: Listener


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashesReported:
    """Other entry hosts saw upstreams crash."""

    crashes: tuple[watching.Crash, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutliersReported:
    """Several entry hosts found upstreams slow or faulty."""

    outliers: tuple[watching.Outlier, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoanCame:
    """How a ``Borrow`` ended.

    :param services: one for each extra attempt that is lent; none where it failed.
    :param until: monotonic seconds after which it holds no more.
    """

    number: int
    services: tuple[str, ...]
    until: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimeReached:
    """The clock reached a moment that the router asked for."""


Event = (
    RequestArrived
    | RequestAbandoned
    | AnswerWritten
    | AttemptStarted
    | AttemptEnded
    | AttemptsReported
    | HelperEnded
    | EntryHostsChanged
    | TableInForce
    | ZonesDrained
    | RolloutsChanged
    | RolloutReportsAcknowledged
    | UpstreamsChanged
    | HostsCounted
    | ListenerChecked
    | UpstreamProbed
    | CrashesReported
    | OutliersReported
    | LoanCame
    | TimeReached
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a request to an upstream.

    :param time_left: seconds that the caller still waits.
    :param connections: how many connections this host may hold there.
    """

    attempt: int
    number: int
    upstream_id: str
    address: str
    time_left: float
    connections: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delegate:
    """Let another host send some attempts of a sweep and report how they end.

    :param address: of that host.
    :param report_after: seconds after which it reports what is in.
    """

    number: int
    address: str
    sends: tuple[Send, ...]
    report_after: float
    top_records: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Nobody waits for these attempts any more.

    :param may_cut: whether they may be broken off where they last long.
    """

    attempts: tuple[int, ...]
    may_cut: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PassOn:
    """Give the caller an upstream's reply as it is; the request is over."""

    number: int
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerParts:
    """Give the caller the greatest records of these parts; it is over.

    :param due_at: monotonic seconds at which an answer that waited for its last
        moment should leave, ``None`` for one that did not.
    """

    number: int
    attempts: tuple[int, ...]
    missing: int
    top_records: int
    due_at: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Give the caller an error; the request is over."""

    number: int
    error: exceptions.RequestError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForgetUpstream:
    """Close the connections to an address; another upstream may have it now."""

    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckListener:
    """Find out whether the upstream of a lost attempt still listens."""

    attempt: int
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeUpstream:
    """Find out whether an upstream can be connected to."""

    upstream_id: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportCrash:
    """Tell the other entry hosts of a crash."""

    crash: watching.Crash


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportOutlier:
    """Tell control hosts of an upstream that was slow or faulty."""

    outlier: watching.Outlier


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Borrow:
    """Ask another host of the zone for room for extra attempts.

    :param services: one for each attempt that is wanted.
    """

    number: int
    address: str
    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WakeAt:
    """Send ``TimeReached`` at this moment, in monotonic seconds."""

    moment: float


Action = (
    Send
    | Delegate
    | Release
    | PassOn
    | AnswerParts
    | Refuse
    | ForgetUpstream
    | CheckListener
    | ProbeUpstream
    | ReportCrash
    | ReportOutlier
    | Borrow
    | WakeAt
)
