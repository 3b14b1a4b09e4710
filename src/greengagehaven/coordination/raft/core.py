"""One member of a replicated log: terms, votes, and following a leader."""

import enum
import typing

import xxhash

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven import rng as rngs
from greengagehaven.coordination.raft import (
    events,
    leadership,
    messages,
    raftlog,
    timing,
)
from greengagehaven.state import records

MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024


class Role(enum.StrEnum):
    """What a member does in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


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
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.commit_index = stored.snapshot.last.index
        self.commit_target = self.commit_index
        # A host that restarts may have answered a leader just before, and the
        # leader counts on it to give no vote until its lease ends. Without
        # this, two hosts could answer reads in the same moment.
        self.heard_leader_at = clock.monotonic()
        self._current_at = float("-inf")
        self._rng = rng
        self._actions: list[events.Action] = []
        self._saved_vote = stored.vote
        self._unsaved: list[records.Entry] = []
        self._compact: events.Compact | None = None
        self._grants: set[str] = set()
        self._is_trial = False
        self._chunks: _Chunks | None = None
        self._leadership: leadership.Leadership | None = None
        self._election_at = 0.0
        self._reset_election_timer()
        if self.log.membership.voter_ids == {self.member_id}:
            self._election_at = clock.monotonic()

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
            return now - self._current_at
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
        return self._election_at

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
            self._reset_election_timer()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self._grants = set()

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
        elif self.clock.monotonic() >= self._election_at:
            self._reset_election_timer()
            if self.is_voter:
                self._campaign(trial=True)

    def _reset_election_timer(self) -> None:
        low, high = self.timing.election_min, self.timing.election_max
        self._election_at = self.clock.monotonic() + self._rng.uniform(low, high)

    def _campaign(self, *, trial: bool) -> None:
        # The trial asks before the term is raised. A host that was cut off
        # would otherwise come back with a high term and depose a leader whom
        # everyone else hears.
        self._is_trial = trial
        self._grants = {self.member_id}
        self.leader_id = None
        self.role = Role.CANDIDATE
        if not trial:
            self.vote = records.Vote(term=self.term + 1, member_id=self.member_id)
        if self._has_quorum():
            self._win()
            return
        term = self.term + 1 if trial else self.term
        for member_id in sorted(self.log.membership.voter_ids - {self.member_id}):
            request = messages.VoteRequest(
                **self._head(member_id, term), last=self.log.last, trial=trial
            )
            self.emit(events.Send(message=request))

    def _has_quorum(self) -> bool:
        membership = self.log.membership
        return len(self._grants & membership.voter_ids) >= membership.quorum

    def _win(self) -> None:
        if self._is_trial:
            self._campaign(trial=False)
            return
        self.role = Role.LEADER
        self.leader_id = self.member_id
        self._leadership = leadership.Leadership(raft=self)
        self._leadership.begin()

    def _head(self, receiver: str, term: int | None = None) -> dict[str, typing.Any]:
        return {
            "group_id": self.group_id,
            "sender": self.member_id,
            "receiver": receiver,
            "term": self.term if term is None else term,
        }

    def send(self, kind: type, receiver: str, **fields: typing.Any) -> None:
        """Send a message of this term."""
        self.emit(events.Send(message=kind(**self._head(receiver), **fields)))

    def _on_message(self, message: messages.Message) -> None:
        is_mine = message.receiver == self.member_id
        if not is_mine or message.group_id != self.group_id:
            return
        match message:
            case messages.VoteRequest():
                self._on_vote_request(message)
            case messages.VoteReply():
                self._on_vote_reply(message)
            case messages.AppendRequest():
                if self._accept_leader(message):
                    self._on_append(message)
            case messages.SnapshotChunk():
                if self._accept_leader(message):
                    self._on_chunk(message)
            case messages.AppendReply() | messages.SnapshotReply():
                if message.term > self.term:
                    self.follow(message.term, None)
                elif self._leadership is not None and message.term == self.term:
                    self._leadership.on_reply(message)

    def _on_vote_request(self, request: messages.VoteRequest) -> None:
        if self.log.last.index == 0:
            # An empty disk cannot know what it promised or held before; its
            # vote could elect a leader that lacks committed entries.
            return
        if self._hears_leader():
            return
        if not request.trial and request.term > self.term:
            self.follow(request.term, None)
        granted = self._may_grant(request)
        if granted and not request.trial:
            self.vote = records.Vote(term=self.term, member_id=request.sender)
            self._reset_election_timer()
        # A refused trial carries this member's own term, so that a candidate
        # which is behind learns it.
        term = request.term if granted else self.term
        reply = messages.VoteReply(
            **self._head(request.sender, term), granted=granted, trial=request.trial
        )
        self.emit(events.Send(message=reply))

    def _hears_leader(self) -> bool:
        if self._leadership is not None:
            return True
        elapsed = self.clock.monotonic() - self.heard_leader_at
        return elapsed < self.timing.election_min

    def _may_grant(self, request: messages.VoteRequest) -> bool:
        last = self.log.last
        is_complete = (request.last.term, request.last.index) >= (last.term, last.index)
        if request.trial:
            return is_complete and request.term > self.term
        is_free = self.vote.member_id in (None, request.sender)
        return is_complete and is_free and request.term == self.term

    def _on_vote_reply(self, reply: messages.VoteReply) -> None:
        if not reply.granted:
            if reply.term > self.term:
                self.follow(reply.term, None)
            return
        expected = self.term + 1 if reply.trial else self.term
        is_awaited = self.role is Role.CANDIDATE and reply.trial == self._is_trial
        if not is_awaited or reply.term != expected:
            return
        self._grants.add(reply.sender)
        if self._has_quorum():
            self._win()

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
        self._reset_election_timer()
        return True

    def _on_append(self, request: messages.AppendRequest) -> None:
        previous = request.previous
        entries = request.entries
        if previous.index < self.log.base.index:
            # What lies before the base is committed and the same everywhere.
            entries = tuple(
                entry for entry in entries if entry.index > self.log.base.index
            )
            previous = self.log.base
        if self.log.term_at(previous.index) != previous.term:
            self._reply_append(request, False, self._agreement_below(previous.index))
            return
        new = self._without_known(entries)
        if new:
            self.append(new)
        match_index = previous.index + len(entries)
        self.commit(min(request.commit_index, match_index))
        if match_index >= request.commit_index:
            self._current_at = self.clock.monotonic()
        self._reply_append(request, True, match_index)

    def _reply_append(
        self, request: messages.AppendRequest, success: bool, match_index: int
    ) -> None:
        self.send(
            messages.AppendReply,
            request.sender,
            success=success,
            match_index=match_index,
            sent_at=request.sent_at,
        )

    def _agreement_below(self, index: int) -> int:
        """Return the highest index at which this log may agree with the leader."""
        if self.log.last.index < index:
            return self.log.last.index
        first = self.log.first_index_of_term(index)
        return max(first - 1, self.commit_index)

    def _without_known(
        self, entries: tuple[records.Entry, ...]
    ) -> tuple[records.Entry, ...]:
        # Cutting the log off at every request would drop entries that this
        # member has acknowledged when an older request arrives late.
        for number, entry in enumerate(entries):
            if self.log.term_at(entry.index) != entry.term:
                return entries[number:]
        return ()

    def _on_chunk(self, chunk: messages.SnapshotChunk) -> None:
        if self.log.term_at(chunk.last.index) == chunk.last.term:
            # This log holds the snapshot's last entry and perhaps acknowledged
            # ones behind it, which starting over would drop.
            self.commit(chunk.last.index)
        if chunk.last.index <= self.commit_target:
            self.send(
                messages.AppendReply,
                chunk.sender,
                success=True,
                match_index=chunk.last.index,
                sent_at=chunk.sent_at,
            )
            return
        if self._chunks is None or not self._chunks.belongs(chunk):
            self._chunks = _Chunks(first=chunk)
        data = self._chunks.add(chunk)
        if data is None:
            self.send(
                messages.SnapshotReply,
                chunk.sender,
                last=chunk.last,
                received=self._chunks.received,
                sent_at=chunk.sent_at,
            )
            return
        self._chunks = None
        snapshot = records.Snapshot(
            last=chunk.last, membership=chunk.membership, data=data
        )
        self._install(snapshot)
        self.send(
            messages.AppendReply,
            chunk.sender,
            success=True,
            match_index=chunk.last.index,
            sent_at=chunk.sent_at,
        )

    def _install(self, snapshot: records.Snapshot) -> None:
        self.log.install(snapshot)
        self._unsaved = []
        self.commit_index = snapshot.last.index
        self.commit_target = snapshot.last.index
        self._compact = self._compaction(install=True)

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


class _Chunks:
    """Parts of one snapshot as they arrive."""

    def __init__(self, *, first: messages.SnapshotChunk) -> None:
        self._key = _key_of(first)
        self._data = bytearray()

    @property
    def received(self) -> int:
        """Return how many bytes arrived in order."""
        return len(self._data)

    def belongs(self, chunk: messages.SnapshotChunk) -> bool:
        """Tell whether a chunk is of this snapshot of this leader."""
        return self._key == _key_of(chunk)

    def add(self, chunk: messages.SnapshotChunk) -> bytes | None:
        """Take a chunk and return the whole once it is there and intact."""
        if chunk.offset == len(self._data):
            self._data += chunk.data
        if len(self._data) < chunk.size:
            return None
        data = bytes(self._data)
        if xxhash.xxh64_intdigest(data) != chunk.checksum:
            self._data.clear()
            return None
        return data


def _key_of(chunk: messages.SnapshotChunk) -> tuple[object, ...]:
    return (chunk.sender, chunk.term, chunk.last, chunk.size, chunk.checksum)
