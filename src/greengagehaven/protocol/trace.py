"""Lines of a trace: timed events of a deployment and the outcomes it must have.

A trace is JSON lines. The first line is a :class:`Header`; every other line
has a ``type``. ``at`` is seconds from the start of the trace.
"""

import msgspec

from greengagehaven.protocol import upstream

VERSION = 1
REPLIED = "replied"


class HostLine(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An entry host of the deployment."""

    id: str
    zone: str


class Header(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """First line: version, seed and the deployment.

    :param seed: seed of every random choice in the replay.
    :param story: a few sentences on how the failure comes about.
    :param entry_hosts: the entry hosts.
    :param hop_ms: one way between availability zones, in milliseconds.
    :param document: the environment document in force at the start, as TOML.
    :param control_hosts: voters of the replicated log; with them the document
        and the operators' changes reach entry hosts through it.
    """

    version: int
    seed: int
    story: str
    entry_hosts: tuple[HostLine, ...]
    document: str
    hop_ms: float = 0.5
    control_hosts: tuple[HostLine, ...] = ()


class Line(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A line with a moment."""

    at: float = 0.0


class Announce(Line, frozen=True, kw_only=True, tag="announce"):
    """An upstream announces itself to an entry host and renews from then on."""

    announcement: upstream.Announcement
    host: str | None = None


class Withdraw(Line, frozen=True, kw_only=True, tag="withdraw"):
    """An upstream takes its announcement back."""

    upstream: str


class Behave(Line, frozen=True, kw_only=True, tag="behave"):
    """From now on upstreams answer like this.

    :param upstreams: ids, or ``prefix*`` patterns.
    :param mode: ``reply``, ``silent`` (connections go dead, no reset),
        ``reset`` (each sub-request's connection breaks), ``refuse`` (503 and
        not run), ``crash`` (breaks everything in flight and announces no
        more), ``wrong_echo`` (replies for another request).
    :param latency_ms: time that a sub-request takes a slot.
    :param cold_slots: concurrent sub-requests above which a cold upstream
        crashes; ``None`` for a warm one.
    :param poison: text in a query that crashes the upstream that runs it.
    """

    upstreams: tuple[str, ...]
    mode: str = "reply"
    latency_ms: float = 5.0
    cold_slots: int | None = None
    poison: str | None = None


class Search(Line, frozen=True, kw_only=True, tag="search"):
    """A caller's request, or several at even distances.

    :param request: id; with ``count`` above 1 a number is appended.
    :param host: entry host; without it the hosts take turns.
    """

    request: str
    subscriber: str
    kind: str
    services: tuple[str, ...]
    query: msgspec.Raw = msgspec.Raw(b"{}")
    idempotency_key: str | None = None
    timeout_ms: float | None = None
    host: str | None = None
    count: int = 1
    every_ms: float = 0.0


class Drain(Line, frozen=True, kw_only=True, tag="drain"):
    """The set of drained availability zones that is in force from now on."""

    zones: tuple[str, ...]


class Document(Line, frozen=True, kw_only=True, tag="document"):
    """A new document is in force from now on."""

    revision: int
    document: str


class Change(Line, frozen=True, kw_only=True, tag="change"):
    """An operator sends a change to a control host and waits for its result.

    :param change_id: the operator's id; a second line with it is a resend.
    :param document: the new document, or ``zone`` with ``drained``.
    :param via: control host that is asked; any without it.
    """

    change_id: str
    author: str
    document: str | None = None
    expected_revision: int | None = None
    zone: str | None = None
    drained: bool = True
    via: str | None = None


class LoseControlHost(Line, frozen=True, kw_only=True, tag="lose_control_host"):
    """A control host stops without a word; its disk stays."""

    host: str


class RestartControlHost(Line, frozen=True, kw_only=True, tag="restart_control_host"):
    """A control host starts on what its disk holds."""

    host: str


class CutHosts(Line, frozen=True, kw_only=True, tag="cut_hosts"):
    """Only these hosts are silently cut off from all others; none heals."""

    hosts: tuple[str, ...]


class LoseHost(Line, frozen=True, kw_only=True, tag="lose_host"):
    """An entry host stops without a word."""

    host: str


class StopHost(Line, frozen=True, kw_only=True, tag="stop_host"):
    """An entry host stops as planned: no new callers, then it leaves."""

    host: str


class RestartHost(Line, frozen=True, kw_only=True, tag="restart_host"):
    """An entry host starts with nothing in memory."""

    host: str


class Partition(Line, frozen=True, kw_only=True, tag="partition"):
    """Zones are separated into groups; one group of all heals.

    :param groups: zones that reach each other; a zone in no group is alone.
    :param one_way: messages from the first group still arrive elsewhere.
    """

    groups: tuple[tuple[str, ...], ...]
    one_way: bool = False


class StepClock(Line, frozen=True, kw_only=True, tag="step_clock"):
    """The wall clock of all entry hosts jumps."""

    seconds: float


class Outcome(Line, frozen=True, kw_only=True, tag="outcome"):
    """What came of a recorded sub-request; it takes precedence over modes.

    :param result: ``replied`` or a reason of failure.
    """

    request: str
    service: str
    shard: int
    upstream: str
    result: str
    latency_ms: float
    not_run: bool = False


class ExpectAnswer(Line, frozen=True, kw_only=True, tag="expect_answer"):
    """The request, or those whose id starts so, are answered by ``at``."""

    request: str
    complete: bool | None = None
    answered: int | None = None
    total: int | None = None
    snapshot: int | None = None
    rows: int | None = None
    share: float = 1.0


class ExpectRefusal(Line, frozen=True, kw_only=True, tag="expect_refusal"):
    """The request, or those whose id starts so, are refused by ``at``."""

    request: str
    code: str
    ran: str | None = None
    share: float = 1.0


class ExpectLatency(Line, frozen=True, kw_only=True, tag="expect_latency"):
    """A quantile of the latency of answered requests is bounded."""

    request: str
    quantile: float
    at_most_ms: float


class ExpectNoWork(Line, frozen=True, kw_only=True, tag="expect_no_work"):
    """Matching upstreams get no new work from ``at`` until ``until``."""

    upstreams: tuple[str, ...]
    until: float


class ExpectWork(Line, frozen=True, kw_only=True, tag="expect_work"):
    """Matching upstreams together get work between ``at`` and ``until``."""

    upstreams: tuple[str, ...]
    until: float
    at_least: int = 1


class ExpectConcurrency(Line, frozen=True, kw_only=True, tag="expect_concurrency"):
    """Work at each matching upstream, summed over all hosts, is bounded."""

    upstreams: tuple[str, ...]
    until: float
    at_most: int


class ExpectRuns(Line, frozen=True, kw_only=True, tag="expect_runs"):
    """Requests with this idempotency key were run at most so often a shard."""

    idempotency_key: str
    at_most: int = 1


class ExpectExtraLoad(Line, frozen=True, kw_only=True, tag="expect_extra_load"):
    """Sub-requests beyond the first of each shard, as a share, are bounded."""

    at_most: float


class ExpectCrashes(Line, frozen=True, kw_only=True, tag="expect_crashes"):
    """At most so many upstreams crashed by ``at``."""

    at_most: int


class ExpectChanges(Line, frozen=True, kw_only=True, tag="expect_changes"):
    """Of these changes so many are accepted, each with one result by ``at``.

    :param results: how often each was answered; a resend gets the first result.
    """

    change_ids: tuple[str, ...]
    accepted: int
    results: int = 1
    refused_code: str | None = None


class ExpectRevision(Line, frozen=True, kw_only=True, tag="expect_revision"):
    """Live entry hosts whose id matches have at least this revision at ``at``."""

    revision: int
    hosts: tuple[str, ...] = ("*",)


EventLine = (
    Announce
    | Withdraw
    | Behave
    | Search
    | Drain
    | Document
    | Change
    | LoseControlHost
    | RestartControlHost
    | CutHosts
    | LoseHost
    | StopHost
    | RestartHost
    | Partition
    | StepClock
    | Outcome
)
ExpectationLine = (
    ExpectAnswer
    | ExpectRefusal
    | ExpectLatency
    | ExpectNoWork
    | ExpectWork
    | ExpectConcurrency
    | ExpectRuns
    | ExpectExtraLoad
    | ExpectCrashes
    | ExpectChanges
    | ExpectRevision
)
AnyLine = EventLine | ExpectationLine
