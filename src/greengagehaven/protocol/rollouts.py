"""Messages about roll-outs: what is ordered, and what entry hosts saw of versions."""

import enum

import msgspec


class Phase(enum.StrEnum):
    """How far a roll-out has come.

    ``CANARY``: a bounded share of the service's requests goes to the target version.
    ``SHIFTED``: all of them go there while an upstream of it can take them.
    ``RETIRING``: none goes to another version any more. ``DONE`` and ``ROLLED_BACK``
    are final.
    """

    CANARY = "canary"
    SHIFTED = "shifted"
    RETIRING = "retiring"
    DONE = "done"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Tell whether the roll-out is over."""
        return self in (Phase.DONE, Phase.ROLLED_BACK)


class Rollout(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A service's traffic that is to move to upstreams of another version.

    :param version: of the software to move to.
    :param duration_s: seconds from the order within which it is to be over.
    :param ordered_at: wall clock of the leader that took the order.
    :param number: revision of the configuration that the order made.
    """

    service: str
    version: str
    duration_s: float
    ordered_at: float
    number: int
    phase: Phase = Phase.CANARY


class Tally(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Answers that one host had since the order; the counts only grow.

    :param route: of the requests.
    :param upstream_id: of the target version; empty for all upstreams of others.
    :param bad: answers that were failures or several times slower than usual.
    """

    route: str
    upstream_id: str
    answers: int
    bad: int


class ServiceReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one host has of one roll-out.

    :param number: of the roll-out.
    :param phase: that the host acts on.
    :param others_in_flight: requests of its that are at upstreams of other versions.
    """

    service: str
    number: int
    phase: Phase
    others_in_flight: int
    tallies: tuple[Tally, ...] = ()


class HostReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one run of an entry host has of the roll-outs that are in progress.

    :param run: names the run; the counts of the next one begin at 0.
    :param sequence: grows with each report of the run.
    """

    host_id: str
    run: str
    sequence: int
    services: tuple[ServiceReport, ...]


class HostReports(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reports of several hosts, as control hosts pass them to the leader."""

    reports: tuple[HostReport, ...]
