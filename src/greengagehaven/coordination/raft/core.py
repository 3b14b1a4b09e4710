"""One member of a Raft group: term, vote, log and message dispatch."""

import math
import typing

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven import rng as rngs
from greengagehaven.coordination.raft import (
    contacts,
    election,
    events,
    leadership,
    log_receiver,
    messages,
    raftlog,
    roles,
    timing,
)
from greengagehaven.state import records


class Raft:
    """A member of a Raft group; ``step`` takes input events and returns actions.

    Actions must be executed in the order returned, and execution must stop at the first
    that fails: a vote or entry that is not yet durable must not be sent to anyone.

    :param identity: id of this member and of its group.
    :param stored: state read from disk at startup.
    :param clock: monotonic clock; its rate error is at most ``timing.max_drift``.
    :param rng: random source for election timeouts.
    :param timing: timeouts and size limits.

    ``started_at`` is when this member started; clock stamps carry it.
    """

    def __init__(
        self,
        *,
        identity: records.Identity,
        stored: records.PersistentState,
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
        # A restarted host may have acknowledged a leader just before it stopped, and
        # that leader relies on it not to vote until the lease expires. Without this,
        # two hosts could serve lease reads at the same time.
        self.last_leader_contact_at = (
            clock.monotonic() if timing.lease_reads else -math.inf
        )
        self.up_to_date_at = float("-inf")
        self.started_at = clock.monotonic()
        self.contacts = contacts.Contacts(clock=clock)
        self._confirmed_at = float("-inf")
        self._actions: list[events.Action] = []
        self._saved_vote = stored.vote
        self._unsaved: list[records.Entry] = []
        self._pending_compaction: events.Compact | None = None
        self._leadership: leadership.Leadership | None = None
        self._election = election.Election(raft=self, rng=rng)
        self._log_receiver = log_receiver.LogReceiver(raft=self)

    @property
    def term(self) -> int:
        """Return the highest term this member has seen."""
        return self.vote.term

    @property
    def leadership(self) -> leadership.Leadership | None:
        """Return the leader state, ``None`` if this member is not the leader."""
        return self._leadership

    @property
    def staleness(self) -> float:
        """Return the maximum staleness of this member's state, in seconds.

        It is 0 for a leader with a valid lease. A member that lags behind also receives
        heartbeats, so hearing from the leader does not prove that its state is current:
        only the time of the last request after which it had all entries that the leader
        had committed counts.
        """
        now = self.clock.monotonic()
        leader = self._leadership
        if leader is None or not leader.has_committed_in_term:
            return now - self.up_to_date_at
        return 0.0 if now < leader.lease_end else now - leader.quorum_answered_sent_at

    @property
    def confirmed_staleness(self) -> float:
        """Return an upper bound of the staleness of this member's state, in seconds.

        Unlike ``staleness`` it holds if this member or the leader was frozen, if a
        message was delayed, and if another leader was elected without the knowledge of
        either. It is infinite until a majority has confirmed the state since this
        member started.
        """
        now = self.clock.monotonic()
        leader = self._leadership
        if leader is not None and leader.has_committed_in_term:
            return now - max(leader.quorum_answered_sent_at, self._confirmed_at)
        return now - self._confirmed_at

    def stamp(self) -> messages.ClockStamp | None:
        """Return a stamp of this member's time, ``None`` if it needs none."""
        if not self.timing.stamps_replies:
            return None
        return messages.ClockStamp(
            run_started_at=self.started_at, at=self.clock.monotonic()
        )

    def record_confirmation(self, stamp: messages.ClockStamp | None) -> None:
        """Record that a majority confirmed this member's state after a stamp.

        A stamp of an earlier run is ignored: the clock may have started anew.
        """
        if stamp is not None and stamp.run_started_at == self.started_at:
            self._confirmed_at = max(self._confirmed_at, stamp.at)

    @property
    def is_voter(self) -> bool:
        """Return whether this member counts towards a quorum."""
        voter_sets = self.log.membership.voter_sets
        return any(self.member_id in voter_ids for voter_ids in voter_sets)

    @property
    def next_timer_at(self) -> float:
        """Return the monotonic time, in seconds, at which ``TimeReached`` is due."""
        if self._leadership is not None:
            return self._leadership.next_heartbeat_at
        return self._election.election_at

    def step(self, *batch: events.Event) -> list[events.Action]:
        """Process events in order and return the actions to execute, in order.

        The writes of a batch are combined and come first, so that a batch needs only
        one sync.
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
        return [*self._collect_writes(), *self._actions]

    def emit(self, action: events.Action) -> None:
        """Add an action to the result of the current step."""
        if isinstance(action, events.Send):
            self.contacts.on_sent(action.message.receiver)
        self._actions.append(action)

    def append(self, entries: typing.Sequence[records.Entry]) -> None:
        """Append entries to the log; they are saved before other actions execute."""
        first = entries[0].index
        self.log.append(entries)
        self._unsaved = [entry for entry in self._unsaved if entry.index < first]
        self._unsaved.extend(entries)

    def commit(self, index: int) -> None:
        """Raise the commit index to ``index`` at the end of this step."""
        self.commit_target = max(self.commit_target, index)

    def become_follower(self, term: int, leader_id: str | None) -> None:
        """Become a follower in ``term``; ``leader_id`` is ``None`` if unknown."""
        if term > self.term:
            self.vote = records.Vote(term=term)
        if self._leadership is not None:
            self._leadership.fail_pending_reads()
            self._leadership = None
            self._election.reset_timer()
        self.role = roles.Role.FOLLOWER
        self.leader_id = leader_id
        self._election.clear_votes()

    def become_leader(self) -> None:
        """Become the leader of the current term."""
        self.role = roles.Role.LEADER
        self.leader_id = self.member_id
        self._leadership = leadership.Leadership(raft=self)
        self._leadership.begin()

    def install(self, snapshot: records.Snapshot) -> None:
        """Replace the log and state by a leader's snapshot."""
        self.log.install(snapshot)
        self._unsaved = []
        self.commit_index = snapshot.last.index
        self.commit_target = snapshot.last.index
        self._pending_compaction = self._build_compaction(install=True)

    def _dispatch(self, event: events.Event) -> None:
        match event:
            case events.TimeReached():
                self._on_timer()
            case events.MessageReceived(message=message):
                self._on_message(message)
            case events.SnapshotTaken():
                self._on_snapshot_taken(event)
            case events.PayloadProposed(proposal_id=proposal_id):
                if self._leadership is None:
                    error = self._not_leader()
                    refusal = events.ProposalRefused(
                        proposal_id=proposal_id, error=error
                    )
                    self.emit(refusal)
                else:
                    self._leadership.propose(event)
            case events.MembershipProposed(membership=membership):
                if self._leadership is not None:
                    self._leadership.change_membership(membership)
            case events.ReadRequested(read_id=read_id):
                if self._leadership is None:
                    error = self._not_leader()
                    self.emit(events.ReadRefused(read_id=read_id, error=error))
                else:
                    self._leadership.request_read(read_id)

    def _not_leader(self) -> exceptions.NotLeaderError:
        return exceptions.NotLeaderError(leader=self.leader_id)

    def _collect_writes(self) -> list[events.Action]:
        writes: list[events.Action] = []
        if self._pending_compaction is not None:
            writes.append(self._pending_compaction)
            self._saved_vote = self._pending_compaction.vote
        if self.vote != self._saved_vote or self._unsaved:
            changed = self.vote if self.vote != self._saved_vote else None
            writes.append(events.Save(vote=changed, entries=tuple(self._unsaved)))
        self._saved_vote = self.vote
        self._unsaved = []
        self._pending_compaction = None
        return writes

    def _flush_commits(self) -> None:
        # A commit may make the leader append an entry, which a sole voter commits at
        # once.
        while self.commit_target > self.commit_index:
            first = self.commit_index + 1
            entries = self.log.entries_between(first, self.commit_target)
            self.commit_index = self.commit_target
            self.emit(events.Apply(entries=entries))
            if self._leadership is not None:
                self._leadership.after_commit()

    def _on_timer(self) -> None:
        if self._leadership is not None:
            self._leadership.on_timer()
        else:
            self._election.on_timer()

    def header(self, receiver: str, term: int | None = None) -> dict[str, typing.Any]:
        """Return the common message fields, by default with the current term."""
        return {
            "group_id": self.group_id,
            "sender": self.member_id,
            "receiver": receiver,
            "term": self.term if term is None else term,
        }

    def send(self, kind: type, receiver: str, **fields: typing.Any) -> None:
        """Send a message with the current term."""
        self.emit(events.Send(message=kind(**self.header(receiver), **fields)))

    def reply_append(
        self,
        request: messages.AppendRequest | messages.SnapshotChunk,
        *,
        success: bool,
        match_index: int,
        stamp: messages.ClockStamp | None = None,
    ) -> None:
        """Reply to a leader's message with the state of this member's log."""
        self.send(
            messages.AppendReply,
            request.sender,
            success=success,
            match_index=match_index,
            sent_at=request.sent_at,
            stamp=stamp,
            knows_transitions=True,
        )

    def _on_message(self, message: messages.Message) -> None:
        is_addressed_here = message.receiver == self.member_id
        if not is_addressed_here or message.group_id != self.group_id:
            return
        self.contacts.on_received(message.sender)
        match message:
            case messages.VoteRequest():
                self._election.on_request(message)
            case messages.VoteReply():
                self._election.on_reply(message)
            case messages.AppendRequest():
                if self._accept_leader(message):
                    self._log_receiver.on_append(message)
            case messages.SnapshotChunk():
                if self._accept_leader(message):
                    self._log_receiver.on_chunk(message)
            case messages.AppendReply() | messages.SnapshotReply():
                if message.term > self.term:
                    self.become_follower(message.term, None)
                elif self._leadership is not None and message.term == self.term:
                    self._leadership.on_reply(message)

    def _accept_leader(
        self, message: messages.AppendRequest | messages.SnapshotChunk
    ) -> bool:
        """Become a follower of the sender, or reject it if its term is outdated."""
        if message.term < self.term:
            self.reply_append(message, success=False, match_index=0)
            return False
        self.become_follower(message.term, message.sender)
        self.contacts.clear()
        self.last_leader_contact_at = self.clock.monotonic()
        self._election.reset_timer()
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
        self._pending_compaction = self._build_compaction(install=False)

    def _build_compaction(self, *, install: bool) -> events.Compact:
        return events.Compact(
            snapshot=self.log.snapshot,
            vote=self.vote,
            base=self.log.base,
            entries=self.log.all_entries(),
            install=install,
        )
