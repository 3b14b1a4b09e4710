"""Elections: when to ask for votes, and when to give one."""

import math
import typing

from greengagehaven import rng as rngs
from greengagehaven.coordination.raft import events, messages, roles
from greengagehaven.state import records

if typing.TYPE_CHECKING:
    from greengagehaven.coordination.raft import core


class Candidacy:
    """A member's part in elections.

    :param raft: the member.
    :param rng: source of election timeouts.
    """

    def __init__(self, *, raft: "core.Raft", rng: rngs.Rng) -> None:
        self._raft = raft
        self._rng = rng
        self._grants: set[str] = set()
        self._is_trial = False
        self.election_at = 0.0
        self.reset_timer()
        if raft.log.membership.voter_ids == {raft.member_id}:
            self.election_at = raft.clock.monotonic()

    def give_up(self) -> None:
        """Forget the votes of an election."""
        self._grants = set()

    def on_time(self) -> None:
        """Ask for votes where no leader was heard of for long enough."""
        if self._raft.clock.monotonic() >= self.election_at:
            self.reset_timer()
            if self._raft.is_voter:
                self._campaign(trial=True)

    def reset_timer(self) -> None:
        """Begin to wait for a leader anew."""
        timing = self._raft.timing
        low, high = timing.election_min, timing.election_max
        if self._raft.heard_leader_at == -math.inf:
            # After a loss of power nobody leads, and all callers wait for it.
            low, high = timing.start_min, timing.start_max
        self.election_at = self._raft.clock.monotonic() + self._rng.uniform(low, high)

    def on_request(self, request: messages.VoteRequest) -> None:
        """Answer a member that asks for a vote."""
        if self._is_empty():
            # An empty disk cannot know what it promised or held before; its
            # vote could elect a leader that lacks committed entries.
            return
        if self._hears_leader():
            return
        if not request.trial and request.term > self._raft.term:
            self._raft.follow(request.term, None)
        granted = self._may_grant(request)
        if granted and not request.trial:
            self._raft.vote = records.Vote(
                term=self._raft.term, member_id=request.sender
            )
            self.reset_timer()
        # A refused trial carries this member's own term, so that a candidate
        # which is behind learns it.
        term = request.term if granted else self._raft.term
        reply = messages.VoteReply(
            **self._raft.head(request.sender, term),
            granted=granted,
            trial=request.trial,
        )
        self._raft.emit(events.Send(message=reply))

    def on_reply(self, reply: messages.VoteReply) -> None:
        """Count a vote."""
        if not reply.granted:
            if reply.term > self._raft.term:
                self._raft.follow(reply.term, None)
            return
        expected = self._raft.term + 1 if reply.trial else self._raft.term
        is_awaited = (
            self._raft.role is roles.Role.CANDIDATE and reply.trial == self._is_trial
        )
        if not is_awaited or reply.term != expected:
            return
        self._grants.add(reply.sender)
        if self._has_quorum():
            self._win()

    def _campaign(self, *, trial: bool) -> None:
        # The trial asks before the term is raised. A host that was cut off
        # would otherwise come back with a high term and depose a leader whom
        # everyone else hears.
        self._is_trial = trial
        self._grants = {self._raft.member_id}
        self._raft.leader_id = None
        self._raft.role = roles.Role.CANDIDATE
        if not trial:
            self._raft.vote = records.Vote(
                term=self._raft.term + 1, member_id=self._raft.member_id
            )
        if self._has_quorum():
            self._win()
            return
        term = self._raft.term + 1 if trial else self._raft.term
        for member_id in sorted(
            self._raft.log.membership.voter_ids - {self._raft.member_id}
        ):
            request = messages.VoteRequest(
                **self._raft.head(member_id, term),
                last=self._raft.log.last,
                trial=trial,
            )
            self._raft.emit(events.Send(message=request))

    def _has_quorum(self) -> bool:
        membership = self._raft.log.membership
        return len(self._grants & membership.voter_ids) >= membership.quorum

    def _win(self) -> None:
        if self._is_trial:
            self._campaign(trial=False)
            return
        self._raft.lead()

    def _is_empty(self) -> bool:
        return self._raft.log.last.index == 0

    def _hears_leader(self) -> bool:
        if self._raft.leadership is not None:
            return True
        elapsed = self._raft.clock.monotonic() - self._raft.heard_leader_at
        return elapsed < self._raft.timing.election_min

    def _may_grant(self, request: messages.VoteRequest) -> bool:
        last = self._raft.log.last
        is_complete = (request.last.term, request.last.index) >= (last.term, last.index)
        if request.trial:
            return is_complete and request.term > self._raft.term
        is_free = self._raft.vote.member_id in (None, request.sender)
        return is_complete and is_free and request.term == self._raft.term
