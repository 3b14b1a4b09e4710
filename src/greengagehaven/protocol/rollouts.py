"""Messages about roll-outs: their state, and the entry hosts' answer counts."""

import enum

import msgspec


class Phase(enum.StrEnum):
    """Phase of a roll-out.

    ``CANARY``: a limited share of the service's requests goes to the target version.
    ``SHIFTED``: all requests go to the target version as long as one of its upstreams
    has capacity. ``RETIRING``: no more requests go to other versions. ``DONE`` and
    ``ROLLED_BACK`` are final.
    """

    CANARY = "canary"
    SHIFTED = "shifted"
    RETIRING = "retiring"
    DONE = "done"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Return whether the roll-out has ended."""
        return self in (Phase.DONE, Phase.ROLLED_BACK)


class Rollout(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Roll-out that moves a service's traffic to upstreams of another version.

    :param version: the target version of the upstreams' software.
    :param duration_s: seconds after ``ordered_at`` within which it should end.
    :param ordered_at: wall-clock time on the leader that accepted the roll-out, in
        seconds since the epoch.
    :param number: configuration revision that the start of the roll-out created.
    """

    service: str
    version: str
    duration_s: float
    ordered_at: float
    number: int
    phase: Phase = Phase.CANARY


class AnswerCounts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Counters of the answers that one host received since the roll-out started.

    :param route: route of the requests.
    :param upstream_id: an upstream of the target version, or empty for the sum over
        all upstreams of other versions.
    :param bad: answers that were failures or several times slower than usual.
    """

    route: str
    upstream_id: str
    answers: int
    bad: int


class ServiceReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One host's view of one roll-out.

    :param number: number of the roll-out.
    :param phase: phase that the host currently applies.
    :param others_in_flight: the host's requests in flight at upstreams of other
        versions.
    """

    service: str
    number: int
    phase: Phase
    others_in_flight: int
    answer_counts: tuple[AnswerCounts, ...] = ()


class RolloutReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report of an entry host on all roll-outs in progress.

    :param run: id of the host's process run; counters restart at 0 with each run.
    :param sequence: increases with each report of the run.
    """

    host_id: str
    run: str
    sequence: int
    services: tuple[ServiceReport, ...]


class RolloutReports(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reports of several hosts, which a control host forwards to the leader."""

    reports: tuple[RolloutReport, ...]
