"""Timeouts and size limits of a Raft member."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Times in seconds on each member's own clock, and sizes in bytes.

    :param heartbeat: interval between the leader's messages to each member.
    :param election_min: minimum election timeout; a member that heard from a leader
        within this time neither votes nor starts an election.
    :param election_max: maximum of the randomized election timeout.
    :param lease_reads: whether a leader serves reads under its lease. If not, each read
        needs a round trip to a majority, and a member that has just started need not
        wait for ``election_min`` before it votes.
    :param initial_election_min: without ``lease_reads``, minimum election timeout of a
        member that has not heard from a leader since it started.
    :param initial_election_max: maximum of that timeout.
    :param max_drift: maximum relative error of a clock's rate; the lease is shortened
        by it on both sides.
    :param append_bytes: maximum payload of one append request.
    :param chunk_bytes: maximum size of a snapshot chunk.
    :param dead_after: a voter that has answered nothing for this long is removed if
        more than ``min_voters`` are left; infinite disables removal.
    :param replace_after: the same if one more loss would leave no quorum, or if there
        are ``MAX_VOTERS`` and a member that has caught up waits to become a voter.
    :param stamps_replies: whether a member stamps its replies with its own clock, so
        that it gets an upper bound of its staleness from the leader.
    :param min_voters: dead voters are not removed if fewer voters would be left.
    :param trailing_entries: entries kept before a snapshot, so that a member that lags
        slightly does not need the snapshot.
    """

    heartbeat: float = 0.1
    election_min: float = 0.5
    election_max: float = 1.0
    lease_reads: bool = True
    initial_election_min: float = 0.05
    initial_election_max: float = 0.25
    max_drift: float = 0.1
    append_bytes: int = 256 * 1024
    chunk_bytes: int = 256 * 1024
    trailing_entries: int = 1000
    dead_after: float = math.inf
    replace_after: float = 1.0
    stamps_replies: bool = False
    min_voters: int = 3

    @property
    def lease(self) -> float:
        """Return how long after it sent a heartbeat the leader's lease lasts.

        A member that answered does not vote for ``election_min`` on its own clock,
        which may run fast while the leader's runs slow.
        """
        if not self.lease_reads:
            return 0.0
        return self.election_min * (1 - self.max_drift) / (1 + self.max_drift)
