"""What only a leader does: replication, commits, the lease, membership."""

import dataclasses
import typing

import xxhash

from greengagehaven import exceptions
from greengagehaven.coordination.raft import events, messages
from greengagehaven.protocol import codec
from greengagehaven.state import records

if typing.TYPE_CHECKING:
    from greengagehaven.coordination.raft import core

NEVER = float("-inf")
CAUGHT_UP_ENTRIES = 64


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """How far one other member is.

    :param next_index: the first entry to send next.
    :param match_index: up to here its log is the leader's.
    :param answered_at: when the newest message it answered was sent, on the
        leader's clock; the lease counts from there.
    :param transfer: the snapshot on its way to it.
    """

    next_index: int
    match_index: int = 0
    answered_at: float = NEVER
    transfer: "Transfer | None" = None


class Transfer:
    """A snapshot on its way to one member, kept while newer ones are taken."""

    def __init__(self, *, snapshot: records.Snapshot) -> None:
        self.snapshot = snapshot
        self.checksum = xxhash.xxh64_intdigest(snapshot.data)
        self.offset = 0


class Leadership:
    """A leader's term in office.

    :param raft: the member that leads.
    """

    def __init__(self, *, raft: "core.Raft") -> None:
        self._raft = raft
        self._began_at = raft.clock.monotonic()
        self._heartbeat_at = self._began_at
        self._first_index = 0
        self._reads: list[tuple[int, float]] = []
        self._progress_by_id: dict[str, Progress] = {}
        self._refresh_members()

    @property
    def next_wake(self) -> float:
        """Return when the next heartbeat is due."""
        return self._heartbeat_at

    @property
    def progress_by_id(self) -> dict[str, Progress]:
        """Return how far each other member is."""
        return self._progress_by_id

    @property
    def is_settled(self) -> bool:
        """Tell whether an entry of this term is committed.

        Before that a leader does not know which entries are, and neither may
        answer reads nor change the membership (thesis 6.4; the fault in
        single-server changes that was published in 2015).
        """
        return self._raft.commit_index >= self._first_index

    def dead_voters(self) -> list[str]:
        """Return other voters that have answered nothing for long, longest first."""
        now = self._raft.clock.monotonic()
        silent_at_by_id = {
            member_id: max(progress.answered_at, self._began_at)
            for member_id, progress in self._progress_by_id.items()
            if member_id in self._raft.log.membership.voter_ids
        }
        dead = [
            member_id
            for member_id, silent_at in silent_at_by_id.items()
            if now - silent_at > self._raft.timing.dead_after
        ]
        return sorted(dead, key=lambda member_id: silent_at_by_id[member_id])

    def begin(self) -> None:
        """Open the term with an empty entry, which settles older ones."""
        self._first_index = self._raft.log.last.index + 1
        self._append(records.EntryKind.EMPTY, b"")
        self._broadcast()

    def on_time(self) -> None:
        """Send heartbeats; step down where no quorum has answered."""
        now = self._raft.clock.monotonic()
        if now < self._heartbeat_at:
            return
        since = max(self.answered_at, self._began_at)
        if now - since >= self._raft.timing.election_max:
            # Check-quorum: a leader that a partition cut off would otherwise
            # go on taking changes that it can never commit.
            self._raft.follow(self._raft.term, None)
            return
        self._broadcast()

    def propose(self, event: events.PayloadProposed) -> None:
        """Put a payload in the log and send it out."""
        place = self._append(records.EntryKind.CHANGE, event.payload)
        self._raft.emit(
            events.ProposalPlaced(proposal_id=event.proposal_id, place=place)
        )
        self._send_new()

    def change_membership(self, membership: records.Membership) -> None:
        """Put a membership in the log that differs by at most one voter.

        Two memberships that differ by one voter have no disjoint majorities;
        the second change waits for the first to be committed, since majorities
        of the memberships before and after both may be disjoint. A change that
        breaks either rule is dropped; whoever wants it looks again later.
        """
        log = self._raft.log
        changed = membership.voter_ids ^ log.membership.voter_ids
        is_pending = log.membership_index > self._raft.commit_index
        if len(changed) > 1 or is_pending or not self.is_settled:
            return
        if not membership.voter_ids or membership == log.membership:
            return
        payload = codec.encode_msgpack(membership)
        self._append(records.EntryKind.MEMBERSHIP, payload)
        self._refresh_members()
        self._send_new()

    def request_read(self, read_id: int) -> None:
        """Allow a read at once under the lease, else after a round."""
        now = self._raft.clock.monotonic()
        if self.is_settled and now < self.lease_end:
            self._raft.emit(events.ReadAllowed(read_id=read_id))
            return
        self._reads.append((read_id, now))
        self._broadcast()

    @property
    def lease_end(self) -> float:
        """Return until when no other member can have become leader."""
        if self._is_alone():
            return float("inf")
        return self.answered_at + self._raft.timing.lease

    def give_up(self) -> None:
        """Refuse the reads that still wait."""
        for read_id, _ in self._reads:
            error = exceptions.NotLeaderError(leader=None)
            self._raft.emit(events.ReadRefused(read_id=read_id, error=error))
        self._reads = []

    def after_commit(self) -> None:
        """Allow reads; leave office when this member is no voter any more."""
        self._release_reads()
        log = self._raft.log
        is_committed = log.membership_index <= self._raft.commit_index
        if is_committed and not self._raft.is_voter:
            # The others must learn that the entry is committed.
            self._broadcast()
            self._raft.follow(self._raft.term, None)

    def on_reply(self, reply: messages.AppendReply | messages.SnapshotReply) -> None:
        """Take a member's answer."""
        progress = self._progress_by_id.get(reply.sender)
        if progress is None:
            return
        progress.answered_at = max(progress.answered_at, reply.sent_at)
        if isinstance(reply, messages.SnapshotReply):
            self._on_snapshot_reply(reply, progress)
        elif reply.success:
            self._on_match(reply, progress)
        else:
            self._on_mismatch(reply, progress)
        self._release_reads()

    def is_caught_up(self, member_id: str) -> bool:
        """Tell whether a member follows closely and answers."""
        progress = self._progress_by_id.get(member_id)
        if progress is None or progress.match_index == 0:
            return False
        missing = self._raft.log.last.index - progress.match_index
        return missing <= CAUGHT_UP_ENTRIES and self.is_answering(member_id)

    def is_answering(self, member_id: str) -> bool:
        """Tell whether a member answered within the election timeout."""
        progress = self._progress_by_id.get(member_id)
        if progress is None:
            return False
        elapsed = self._raft.clock.monotonic() - progress.answered_at
        return elapsed < self._raft.timing.election_max

    def _append(self, kind: records.EntryKind, payload: bytes) -> records.Position:
        index = self._raft.log.last.index + 1
        entry = records.Entry(index, self._raft.term, kind, payload)
        self._raft.append([entry])
        self._advance_commit()
        return records.Position(index, self._raft.term)

    def _refresh_members(self) -> None:
        members = self._raft.log.membership.members_by_id
        next_index = self._raft.log.last.index + 1
        self._progress_by_id = {
            member_id: self._progress_by_id.get(member_id)
            or Progress(next_index=next_index)
            for member_id in members
            if member_id != self._raft.member_id
        }

    def _is_alone(self) -> bool:
        return self._raft.log.membership.voter_ids == {self._raft.member_id}

    def _quorum_value(self, own: float, of: typing.Callable[[Progress], float]):
        """Return the highest value that a majority of voters has reached."""
        membership = self._raft.log.membership
        values = [
            own if voter == self._raft.member_id else of(self._progress_by_id[voter])
            for voter in membership.voter_ids
        ]
        return sorted(values, reverse=True)[membership.quorum - 1]

    @property
    def answered_at(self) -> float:
        """Return when the newest message was sent that a quorum answered."""
        now = self._raft.clock.monotonic()
        return self._quorum_value(now, lambda progress: progress.answered_at)

    def _advance_commit(self) -> None:
        log = self._raft.log
        index = self._quorum_value(
            log.last.index, lambda progress: progress.match_index
        )
        # An entry of an older term that a majority holds may still be replaced
        # (figure 8 of the paper); one of this term makes it final.
        if log.term_at(index) == self._raft.term:
            self._raft.commit(index)

    def _broadcast(self) -> None:
        now = self._raft.clock.monotonic()
        self._heartbeat_at = now + self._raft.timing.heartbeat
        for member_id, progress in self._progress_by_id.items():
            self._send(member_id, progress)

    def _send_new(self) -> None:
        for member_id, progress in self._progress_by_id.items():
            if progress.transfer is None:
                self._send(member_id, progress)

    def _send(self, member_id: str, progress: Progress) -> None:
        if progress.transfer is not None:
            self._send_chunk(member_id, progress.transfer)
            return
        log = self._raft.log
        previous = progress.next_index - 1
        term = log.term_at(previous)
        if term is None:
            progress.transfer = Transfer(snapshot=log.snapshot)
            self._send_chunk(member_id, progress.transfer)
            return
        entries = log.batch_from(progress.next_index, self._raft.timing.append_bytes)
        # Counted as arrived; a member that misses them refuses the next
        # message and names the place where it stands.
        progress.next_index += len(entries)
        self._raft.send(
            messages.AppendRequest,
            member_id,
            previous=records.Position(previous, term),
            commit_index=self._raft.commit_target,
            sent_at=self._raft.clock.monotonic(),
            entries=entries,
        )

    def _send_chunk(self, member_id: str, transfer: Transfer) -> None:
        snapshot = transfer.snapshot
        end = transfer.offset + self._raft.timing.chunk_bytes
        self._raft.send(
            messages.SnapshotChunk,
            member_id,
            last=snapshot.last,
            membership=snapshot.membership,
            size=len(snapshot.data),
            checksum=transfer.checksum,
            offset=transfer.offset,
            data=snapshot.data[transfer.offset : end],
            sent_at=self._raft.clock.monotonic(),
        )

    def _on_match(self, reply: messages.AppendReply, progress: Progress) -> None:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        transfer = progress.transfer
        if transfer and progress.match_index >= transfer.snapshot.last.index:
            progress.transfer = None
            progress.next_index = progress.match_index + 1
        self._advance_commit()
        if progress.next_index <= self._raft.log.last.index:
            self._send(reply.sender, progress)

    def _on_mismatch(self, reply: messages.AppendReply, progress: Progress) -> None:
        if progress.transfer is not None:
            return
        # A member skips a whole term when it looks for a place of agreement, and
        # may name one below what it has acknowledged. Taken for an outdated
        # answer, it would be refused the entries that it lacks for ever.
        match_index = max(reply.match_index, progress.match_index)
        if match_index + 1 < progress.next_index:
            progress.next_index = match_index + 1
            self._send(reply.sender, progress)

    def _on_snapshot_reply(
        self, reply: messages.SnapshotReply, progress: Progress
    ) -> None:
        transfer = progress.transfer
        if transfer is None or transfer.snapshot.last != reply.last:
            return
        if reply.received != transfer.offset:
            transfer.offset = reply.received
            self._send_chunk(reply.sender, transfer)

    def _release_reads(self) -> None:
        if not self._reads or not self.is_settled:
            return
        answered_at = self.answered_at
        for read_id, requested_at in self._reads:
            if requested_at <= answered_at:
                self._raft.emit(events.ReadAllowed(read_id=read_id))
        self._reads = [read for read in self._reads if read[1] > answered_at]
