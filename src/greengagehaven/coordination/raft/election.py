"""Raft leader election: starting elections and granting votes."""

import math
import typing

from greengagehaven import rng as rngs
from greengagehaven.coordination.raft import events, messages, roles
from greengagehaven.state import records

if typing.TYPE_CHECKING:
    from greengagehaven.coordination.raft import core


class Election:
    """Election state of one member: its timer and the votes it has received.

    :param raft: the member.
    :param rng: random source for election timeouts.
    """

    def __init__(self, *, raft: "core.Raft", rng: rngs.Rng) -> None:
        self._raft = raft
        self._rng = rng
        self._votes: set[str] = set()
        self._is_pre_vote = False
        self.election_at = 0.0
        self.reset_timer()
        if raft.log.membership.voter_ids == {raft.member_id}:
            self.election_at = raft.clock.monotonic()

    def clear_votes(self) -> None:
        """Discard the votes received in the current election."""
        self._votes = set()

    def on_timer(self) -> None:
        """Start a pre-vote if the election timeout has expired."""
        if self._raft.clock.monotonic() >= self.election_at:
            self.reset_timer()
            if self._raft.is_voter:
                self._campaign(pre_vote=True)

    def reset_timer(self) -> None:
        """Restart the election timer with a new random timeout."""
        timing = self._raft.timing
        low, high = timing.election_min, timing.election_max
        if self._raft.last_leader_contact_at == -math.inf:
            # After a power failure there is no leader and all callers wait for the
            # first election, so a member that has not heard from a leader since it
            # started uses the shorter timeout.
            low, high = timing.initial_election_min, timing.initial_election_max
        self.election_at = self._raft.clock.monotonic() + self._rng.uniform(low, high)

    def on_request(self, request: messages.VoteRequest) -> None:
        """Handle a vote or pre-vote request."""
        if self._is_empty():
            # A member with an empty log may have lost its vote and its committed
            # entries with its disk. Its vote could elect a leader that lacks committed
            # entries.
            return
        if self._has_live_leader():
            return
        if not request.trial and request.term > self._raft.term:
            self._raft.become_follower(request.term, None)
        granted = self._may_grant(request)
        if granted and not request.trial:
            self._raft.vote = records.Vote(
                term=self._raft.term, member_id=request.sender
            )
            self.reset_timer()
        # A rejected pre-vote returns this member's own term, so that a candidate with
        # an outdated term learns the current one.
        term = request.term if granted else self._raft.term
        reply = messages.VoteReply(
            **self._raft.header(request.sender, term),
            granted=granted,
            trial=request.trial,
        )
        self._raft.emit(events.Send(message=reply))

    def on_reply(self, reply: messages.VoteReply) -> None:
        """Count a granted vote; become a follower if the reply has a newer term."""
        if not reply.granted:
            if reply.term > self._raft.term:
                self._raft.become_follower(reply.term, None)
            return
        expected = self._raft.term + 1 if reply.trial else self._raft.term
        is_expected = (
            self._raft.role is roles.Role.CANDIDATE and reply.trial == self._is_pre_vote
        )
        if not is_expected or reply.term != expected:
            return
        self._votes.add(reply.sender)
        if self._has_quorum():
            self._on_quorum()

    def _campaign(self, *, pre_vote: bool) -> None:
        # A pre-vote does not increment the term. Otherwise a host that returns from a
        # network partition would come back with a high term and depose a leader that
        # all other members can reach.
        self._is_pre_vote = pre_vote
        self._votes = {self._raft.member_id}
        self._raft.leader_id = None
        self._raft.role = roles.Role.CANDIDATE
        if not pre_vote:
            self._raft.vote = records.Vote(
                term=self._raft.term + 1, member_id=self._raft.member_id
            )
        if self._has_quorum():
            self._on_quorum()
            return
        term = self._raft.term + 1 if pre_vote else self._raft.term
        voter_ids = frozenset().union(*self._raft.log.membership.voter_sets)
        for member_id in sorted(voter_ids - {self._raft.member_id}):
            request = messages.VoteRequest(
                **self._raft.header(member_id, term),
                last=self._raft.log.last,
                trial=pre_vote,
            )
            self._raft.emit(events.Send(message=request))

    def _has_quorum(self) -> bool:
        return self._raft.log.membership.has_quorum(self._votes)

    def _on_quorum(self) -> None:
        if self._is_pre_vote:
            self._campaign(pre_vote=False)
            return
        self._raft.become_leader()

    def _is_empty(self) -> bool:
        return self._raft.log.last.index == 0

    def _has_live_leader(self) -> bool:
        if self._raft.leadership is not None:
            return True
        elapsed = self._raft.clock.monotonic() - self._raft.last_leader_contact_at
        return elapsed < self._raft.timing.election_min

    def _may_grant(self, request: messages.VoteRequest) -> bool:
        last = self._raft.log.last
        is_log_current = (request.last.term, request.last.index) >= (
            last.term,
            last.index,
        )
        if request.trial:
            return is_log_current and request.term > self._raft.term
        may_vote_for_sender = self._raft.vote.member_id in (None, request.sender)
        return (
            is_log_current and may_vote_for_sender and request.term == self._raft.term
        )
