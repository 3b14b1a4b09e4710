"""Line types of a trace: timed events of a deployment and expected outcomes.

A trace is a JSON Lines file. The first line is a :class:`Header`; every other line
has a ``type``. ``at`` is in seconds since the start of the trace.
"""

import msgspec

from greengagehaven.protocol import upstream

VERSION = 1
REPLIED = "replied"


class HostDefinition(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An entry host or control host of the deployment."""

    id: str
    zone: str


class Header(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """First line: format version, random seed and deployment.

    :param seed: seed of all random choices in the replay.
    :param story: short description of how the failure comes about.
    :param document: the environment document applied at the start, as TOML.
    :param hop_ms: one-way latency between availability zones, in milliseconds.
    :param control_hosts: voters of the replicated log. If there are any, the
        document and the operators' changes reach the entry hosts through the log.
    """

    version: int
    seed: int
    story: str
    entry_hosts: tuple[HostDefinition, ...]
    document: str
    hop_ms: float = 0.5
    control_hosts: tuple[HostDefinition, ...] = ()


class Line(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all lines after the header."""

    at: float = 0.0


class Announce(Line, frozen=True, kw_only=True, tag="announce"):
    """An upstream announces itself to an entry host and keeps renewing its lease."""

    announcement: upstream.Announcement
    host: str | None = None


class Withdraw(Line, frozen=True, kw_only=True, tag="withdraw"):
    """An upstream withdraws its announcement."""

    upstream: str


class Behave(Line, frozen=True, kw_only=True, tag="behave"):
    """Changes how upstreams respond from ``at`` on.

    :param upstreams: ids, or ``prefix*`` patterns.
    :param mode: ``reply``, ``silent`` (connections stall without a reset),
        ``reset`` (the connection of each sub-request is reset), ``refuse`` (503
        without running), ``crash`` (resets all connections and stops announcing),
        ``wrong_echo`` (replies with the id of another request).
    :param latency_ms: milliseconds for which a sub-request occupies a slot.
    :param cold_slots: number of concurrent sub-requests above which a cold upstream
        crashes; ``None`` for a warm upstream.
    :param poison: text that crashes an upstream if it runs a query that contains it.
    """

    upstreams: tuple[str, ...]
    mode: str = "reply"
    latency_ms: float = 5.0
    cold_slots: int | None = None
    poison: str | None = None


class Search(Line, frozen=True, kw_only=True, tag="search"):
    """A caller's request, or ``count`` requests at a fixed interval.

    :param request: request id; a number is appended if ``count`` is above 1.
    :param host: entry host, by default each in turn (round robin).
    :param every_ms: milliseconds between two requests.
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
    """Sets the drained availability zones; replaces the previous set."""

    zones: tuple[str, ...]


class Document(Line, frozen=True, kw_only=True, tag="document"):
    """Applies a new document."""

    revision: int
    document: str


class Change(Line, frozen=True, kw_only=True, tag="change"):
    """An operator sends a change to a control host and waits for its result.

    :param change_id: idempotency key; a second line with the same key is a retry.
    :param document: the new document; alternatively ``zone`` and ``drained`` are
        given.
    :param via: control host that receives the change, by default any.
    """

    change_id: str
    author: str
    document: str | None = None
    expected_revision: int | None = None
    zone: str | None = None
    drained: bool = True
    via: str | None = None


class LoseControlHost(Line, frozen=True, kw_only=True, tag="lose_control_host"):
    """A control host crashes; its disk is kept."""

    host: str


class RestartControlHost(Line, frozen=True, kw_only=True, tag="restart_control_host"):
    """A control host restarts with the state on its disk."""

    host: str


class CutHosts(Line, frozen=True, kw_only=True, tag="cut_hosts"):
    """Silently isolates only these hosts from all others; none ends all isolation."""

    hosts: tuple[str, ...]


class LoseHost(Line, frozen=True, kw_only=True, tag="lose_host"):
    """An entry host crashes."""

    host: str


class StopHost(Line, frozen=True, kw_only=True, tag="stop_host"):
    """An entry host shuts down gracefully: it refuses new callers, then leaves."""

    host: str


class RestartHost(Line, frozen=True, kw_only=True, tag="restart_host"):
    """An entry host restarts with empty state."""

    host: str


class Partition(Line, frozen=True, kw_only=True, tag="partition"):
    """Network partition between availability zones; a single group of all ends it.

    :param groups: zones that can reach each other; a zone in no group is isolated.
    :param one_way: whether messages from the first group still reach the others.
    """

    groups: tuple[tuple[str, ...], ...]
    one_way: bool = False


class StepClock(Line, frozen=True, kw_only=True, tag="step_clock"):
    """Steps the wall clock of all entry hosts by ``seconds``."""

    seconds: float


class Outcome(Line, frozen=True, kw_only=True, tag="outcome"):
    """Recorded outcome of a sub-request; takes precedence over ``Behave.mode``.

    :param result: ``replied`` or a :class:`upstream.FailureReason`.
    """

    request: str
    service: str
    shard: int
    upstream: str
    result: str
    latency_ms: float
    not_run: bool = False


class ExpectAnswer(Line, frozen=True, kw_only=True, tag="expect_answer"):
    """The requests whose id starts with ``request`` are answered by ``at``.

    :param share: minimum share of the requests that are answered as expected.
    """

    request: str
    complete: bool | None = None
    answered: int | None = None
    total: int | None = None
    snapshot: int | None = None
    rows: int | None = None
    share: float = 1.0


class ExpectRefusal(Line, frozen=True, kw_only=True, tag="expect_refusal"):
    """The requests whose id starts with ``request`` are refused by ``at``.

    :param share: minimum share of the requests that are refused as expected.
    """

    request: str
    code: str
    ran: str | None = None
    share: float = 1.0


class ExpectLatency(Line, frozen=True, kw_only=True, tag="expect_latency"):
    """A latency quantile of the answered requests is at most ``at_most_ms``."""

    request: str
    quantile: float
    at_most_ms: float


class ExpectNoWork(Line, frozen=True, kw_only=True, tag="expect_no_work"):
    """Matching upstreams receive no new sub-requests from ``at`` to ``until``."""

    upstreams: tuple[str, ...]
    until: float


class ExpectWork(Line, frozen=True, kw_only=True, tag="expect_work"):
    """Matching upstreams in total receive sub-requests from ``at`` to ``until``."""

    upstreams: tuple[str, ...]
    until: float
    at_least: int = 1


class ExpectConcurrency(Line, frozen=True, kw_only=True, tag="expect_concurrency"):
    """Concurrency of each matching upstream, over all hosts, is at most ``at_most``."""

    upstreams: tuple[str, ...]
    until: float
    at_most: int


class ExpectRuns(Line, frozen=True, kw_only=True, tag="expect_runs"):
    """Requests with this idempotency key ran at most ``at_most`` times per shard."""

    idempotency_key: str
    at_most: int = 1


class ExpectExtraLoad(Line, frozen=True, kw_only=True, tag="expect_extra_load"):
    """The ratio of extra to first sub-requests per shard is at most ``at_most``."""

    at_most: float


class ExpectCrashes(Line, frozen=True, kw_only=True, tag="expect_crashes"):
    """At most ``at_most`` upstreams have crashed by ``at``."""

    at_most: int


class ExpectChanges(Line, frozen=True, kw_only=True, tag="expect_changes"):
    """So many of the changes are accepted, and each has the same result throughout.

    :param accepted: number of accepted changes by ``at``.
    :param results: number of responses per change; a retry gets the first result.
    :param refused_code: error code of refused changes, any if ``None``.
    """

    change_ids: tuple[str, ...]
    accepted: int
    results: int = 1
    refused_code: str | None = None


class ExpectRevision(Line, frozen=True, kw_only=True, tag="expect_revision"):
    """Matching live entry hosts have at least this revision at ``at``."""

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
