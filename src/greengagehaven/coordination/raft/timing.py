"""How long members of a replicated log wait for each other."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Periods in seconds on each member's own clock, and sizes in bytes.

    :param heartbeat: the leader's period between messages to each member.
    :param election_min: a member that heard from a leader within this time
        gives no vote, and starts no election.
    :param election_max: elections start at random up to this time.
    :param lease_reads: whether a leader answers reads under its lease. Without,
        each read asks a majority, and a member that has just started need not
        keep still for ``election_min``.
    :param start_min: without ``lease_reads``, a member that has heard of no
        leader since it started begins an election after this time.
    :param start_max: it begins one at random up to this time.
    :param max_drift: bound on how much a clock's rate may be wrong; the lease
        is shortened by it on both sides.
    :param append_bytes: payload of one message of entries.
    :param chunk_bytes: part of a snapshot in one message.
    :param dead_after: a voter that has answered nothing for so long is removed
        while more than ``least_voters`` are left; infinite for never.
    :param least_voters: voters that are never removed for being dead.
    :param trailing_entries: entries kept behind a snapshot, so that a member
        that is a little late needs no snapshot.
    """

    heartbeat: float = 0.1
    election_min: float = 0.5
    election_max: float = 1.0
    lease_reads: bool = True
    start_min: float = 0.05
    start_max: float = 0.25
    max_drift: float = 0.1
    append_bytes: int = 256 * 1024
    chunk_bytes: int = 256 * 1024
    trailing_entries: int = 1000
    dead_after: float = math.inf
    least_voters: int = 3

    @property
    def lease(self) -> float:
        """Return how long after sending a heartbeat its answers count.

        A member that answered gives no vote for ``election_min`` on its
        clock, which may run fast, while the leader's clock may run slow.
        """
        if not self.lease_reads:
            return 0.0
        return self.election_min * (1 - self.max_drift) / (1 + self.max_drift)
