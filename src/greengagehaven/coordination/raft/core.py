"""One member of a replicated log: terms, votes, and following a leader."""

import math
import typing

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven import rng as rngs
from greengagehaven.coordination.raft import (
    candidacy,
    events,
    leadership,
    messages,
    raftlog,
    reception,
    roles,
    timing,
)
from greengagehaven.state import records


class Raft:
    """A member of a replicated log; ``step`` takes an event, returns actions.

    Actions are to be carried out in their order, and none after one that
    failed: a vote or entry that is not durable must not be spoken of.

    :param identity: who this member is.
    :param stored: what its disk held when it started.
    :param clock: monotonic time; rates of clocks differ by at most
        ``timing.max_drift``.
    :param rng: source of election timeouts.
    """

    def __init__(
        self,
        *,
        identity: records.Identity,
        stored: records.Stored,
        clock: clocks.Clock,
        rng: rngs.Rng,
        timing: timing.Timing,
    ) -> None:
        self.member_id = identity.member_id
        self.group_id = identity.group_id
        self.clock = clock
        self.timing = timing
        self.log = raftlog.RaftLog(stored=stored)
        self.vote = stored.vote
        self.role = roles.Role.FOLLOWER
        self.leader_id: str | None = None
        self.commit_index = stored.snapshot.last.index
        self.commit_target = self.commit_index
        # A host that restarts may have answered a leader just before, and the
        # leader counts on it to give no vote until its lease ends. Without
        # this, two hosts could answer reads in the same moment.
        self.heard_leader_at = clock.monotonic() if timing.lease_reads else -math.inf
        self.current_at = float("-inf")
        self._actions: list[events.Action] = []
        self._saved_vote = stored.vote
        self._unsaved: list[records.Entry] = []
        self._compact: events.Compact | None = None
        self._leadership: leadership.Leadership | None = None
        self._candidacy = candidacy.Candidacy(raft=self, rng=rng)
        self._reception = reception.Reception(raft=self)

    @property
    def term(self) -> int:
        """Return the newest term this member knows of."""
        return self.vote.term

    @property
    def leadership(self) -> leadership.Leadership | None:
        """Return what a leader keeps, ``None`` on any other member."""
        return self._leadership

    @property
    def age(self) -> float:
        """Return for how many seconds this state may have been outdated.

        0 for a leader under its lease. A member that is far behind hears the
        leader and is outdated all the same, so only a message counts after
        which it held all that the leader had committed.
        """
        now = self.clock.monotonic()
        office = self._leadership
        if office is None or not office.is_settled:
            return now - self.current_at
        return 0.0 if now < office.lease_end else now - office.answered_at

    @property
    def is_voter(self) -> bool:
        """Tell whether this member counts for the quorum."""
        return self.member_id in self.log.membership.voter_ids

    @property
    def next_wake(self) -> float:
        """Return the monotonic second at which ``TimeReached`` is due."""
        if self._leadership is not None:
            return self._leadership.next_wake
        return self._candidacy.election_at

    def step(self, *batch: events.Event) -> list[events.Action]:
        """Take events in their order and return what is to be done, in order.

        What a batch has to make durable is saved at once, with one sync.
        """
        before = (self.role, self.term, self.leader_id)
        self._actions = []
        for event in batch:
            self._dispatch(event)
        self._flush_commits()
        if (self.role, self.term, self.leader_id) != before:
            self._actions.append(
                events.RoleChanged(
                    role=self.role, term=self.term, leader_id=self.leader_id
                )
            )
        return [*self._take_writes(), *self._actions]

    def emit(self, action: events.Action) -> None:
        """Add an action to what this step returns."""
        self._actions.append(action)

    def append(self, entries: typing.Sequence[records.Entry]) -> None:
        """Add entries to the log; they are saved before any other action."""
        first = entries[0].index
        self.log.append(entries)
        self._unsaved = [entry for entry in self._unsaved if entry.index < first]
        self._unsaved.extend(entries)

    def commit(self, index: int) -> None:
        """Note that the entries up to ``index`` can no longer be lost."""
        self.commit_target = max(self.commit_target, index)

    def follow(self, term: int, leader_id: str | None) -> None:
        """Become a follower in a term, of a leader where one is known."""
        if term > self.term:
            self.vote = records.Vote(term=term)
        if self._leadership is not None:
            self._leadership.give_up()
            self._leadership = None
            self._candidacy.reset_timer()
        self.role = roles.Role.FOLLOWER
        self.leader_id = leader_id
        self._candidacy.give_up()

    def lead(self) -> None:
        """Begin to lead in this term."""
        self.role = roles.Role.LEADER
        self.leader_id = self.member_id
        self._leadership = leadership.Leadership(raft=self)
        self._leadership.begin()

    def install(self, snapshot: records.Snapshot) -> None:
        """Start over from a leader's snapshot."""
        self.log.install(snapshot)
        self._unsaved = []
        self.commit_index = snapshot.last.index
        self.commit_target = snapshot.last.index
        self._compact = self._compaction(install=True)

    def _dispatch(self, event: events.Event) -> None:
        match event:
            case events.TimeReached():
                self._on_time()
            case events.MessageReceived(message=message):
                self._on_message(message)
            case events.SnapshotTaken():
                self._on_snapshot_taken(event)
            case events.PayloadProposed(proposal_id=number):
                if self._leadership is None:
                    error = self._not_leader()
                    refusal = events.ProposalRefused(proposal_id=number, error=error)
                    self.emit(refusal)
                else:
                    self._leadership.propose(event)
            case events.MembershipProposed(membership=membership):
                if self._leadership is not None:
                    self._leadership.change_membership(membership)
            case events.ReadRequested(read_id=number):
                if self._leadership is None:
                    error = self._not_leader()
                    self.emit(events.ReadRefused(read_id=number, error=error))
                else:
                    self._leadership.request_read(number)

    def _not_leader(self) -> exceptions.NotLeaderError:
        return exceptions.NotLeaderError(leader=self.leader_id)

    def _take_writes(self) -> list[events.Action]:
        writes: list[events.Action] = []
        if self._compact is not None:
            writes.append(self._compact)
            self._saved_vote = self._compact.vote
        if self.vote != self._saved_vote or self._unsaved:
            changed = self.vote if self.vote != self._saved_vote else None
            writes.append(events.Save(vote=changed, entries=tuple(self._unsaved)))
        self._saved_vote = self.vote
        self._unsaved = []
        self._compact = None
        return writes

    def _flush_commits(self) -> None:
        if self.commit_target <= self.commit_index:
            return
        entries = self.log.between(self.commit_index + 1, self.commit_target)
        self.commit_index = self.commit_target
        self.emit(events.Apply(entries=entries))
        if self._leadership is not None:
            self._leadership.after_commit()

    def _on_time(self) -> None:
        if self._leadership is not None:
            self._leadership.on_time()
        else:
            self._candidacy.on_time()

    def head(self, receiver: str, term: int | None = None) -> dict[str, typing.Any]:
        """Return the head of a message, of this term or another."""
        return {
            "group_id": self.group_id,
            "sender": self.member_id,
            "receiver": receiver,
            "term": self.term if term is None else term,
        }

    def send(self, kind: type, receiver: str, **fields: typing.Any) -> None:
        """Send a message of this term."""
        self.emit(events.Send(message=kind(**self.head(receiver), **fields)))

    def _on_message(self, message: messages.Message) -> None:
        is_mine = message.receiver == self.member_id
        if not is_mine or message.group_id != self.group_id:
            return
        match message:
            case messages.VoteRequest():
                self._candidacy.on_request(message)
            case messages.VoteReply():
                self._candidacy.on_reply(message)
            case messages.AppendRequest():
                if self._accept_leader(message):
                    self._reception.on_append(message)
            case messages.SnapshotChunk():
                if self._accept_leader(message):
                    self._reception.on_chunk(message)
            case messages.AppendReply() | messages.SnapshotReply():
                if message.term > self.term:
                    self.follow(message.term, None)
                elif self._leadership is not None and message.term == self.term:
                    self._leadership.on_reply(message)

    def _accept_leader(
        self, message: messages.AppendRequest | messages.SnapshotChunk
    ) -> bool:
        """Follow the sender, or tell it that its term is over."""
        if message.term < self.term:
            self.send(
                messages.AppendReply,
                message.sender,
                success=False,
                match_index=0,
                sent_at=message.sent_at,
            )
            return False
        self.follow(message.term, message.sender)
        self.heard_leader_at = self.clock.monotonic()
        self._candidacy.reset_timer()
        return True

    def _on_snapshot_taken(self, event: events.SnapshotTaken) -> None:
        term = self.log.term_at(event.index)
        is_new = event.index > self.log.snapshot.last.index
        if term is None or not is_new or event.index > self.commit_index:
            return
        snapshot = records.Snapshot(
            last=records.Position(event.index, term),
            membership=self.log.membership_at(event.index),
            data=event.data,
        )
        self.log.compact(snapshot, self.timing.trailing_entries)
        self._compact = self._compaction(install=False)

    def _compaction(self, *, install: bool) -> events.Compact:
        return events.Compact(
            snapshot=self.log.snapshot,
            vote=self.vote,
            base=self.log.base,
            entries=self.log.kept(),
            install=install,
        )
