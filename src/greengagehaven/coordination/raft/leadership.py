"""Raft leader: replication, commits, the read lease and membership changes."""

import dataclasses
import typing

import msgspec
import xxhash

from greengagehaven import exceptions
from greengagehaven.coordination.raft import events, messages
from greengagehaven.protocol import codec
from greengagehaven.state import records

if typing.TYPE_CHECKING:
    from greengagehaven.coordination.raft import core

NEVER = float("-inf")
MAX_CAUGHT_UP_LAG_ENTRIES = 64


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """Replication progress of one other member.

    :param next_index: index of the next entry to send.
    :param match_index: highest index known to match the leader's log.
    :param answered_sent_at: when the newest message that the member has answered was
        sent, in seconds on the leader's clock; the lease counts from then.
    :param transfer: the snapshot being sent to the member, if any.
    :param stamp: a stamp of the member that is not confirmed yet.
    :param stamp_received_at: when it was received, on the leader's clock.
    :param confirmed: the member's newest stamp after which a quorum has confirmed the
        leader.
    :param knows_transitions: what its last reply said; ``None`` before the first.
    """

    next_index: int
    match_index: int = 0
    answered_sent_at: float = NEVER
    transfer: "SnapshotTransfer | None" = None
    stamp: messages.ClockStamp | None = None
    stamp_received_at: float = NEVER
    confirmed: messages.ClockStamp | None = None
    knows_transitions: bool | None = None

    def add_stamp(self, stamp: messages.ClockStamp, now: float) -> None:
        """Keep a stamp until it is confirmed, unless an earlier one still waits.

        The earlier one must not be replaced: if replies arrived faster than a quorum
        answers, no stamp would ever be confirmed.
        """
        if self.stamp is None:
            self.stamp, self.stamp_received_at = stamp, now

    def confirm_stamp(self, quorum_answered_sent_at: float) -> None:
        """Confirm the stamp if a quorum has answered a later message.

        Every member of that quorum was in the leader's term after the stamp was made,
        so no other leader had committed anything before it.
        """
        if self.stamp is not None and quorum_answered_sent_at >= self.stamp_received_at:
            self.confirmed, self.stamp = self.stamp, None


class SnapshotTransfer:
    """A snapshot being sent to one member, kept even if a newer one is taken."""

    def __init__(self, *, snapshot: records.Snapshot) -> None:
        self.snapshot = snapshot
        self.checksum = xxhash.xxh64_intdigest(snapshot.data)
        self.offset = 0


class Leadership:
    """Leader state for one term.

    :param raft: the member that is the leader.
    """

    def __init__(self, *, raft: "core.Raft") -> None:
        self._raft = raft
        self._started_at = raft.clock.monotonic()
        self._heartbeat_at = self._started_at
        self._membership_proposed_at = self._started_at
        self._term_start_index = 0
        self._pending_reads: list[tuple[int, float]] = []
        self._progress_by_id: dict[str, Progress] = {}
        self._refresh_members()

    @property
    def next_heartbeat_at(self) -> float:
        """Return when the next heartbeat is due, in monotonic seconds."""
        return self._heartbeat_at

    @property
    def progress_by_id(self) -> dict[str, Progress]:
        """Return the replication progress of the other members."""
        return self._progress_by_id

    @property
    def has_committed_in_term(self) -> bool:
        """Return whether an entry of this term is committed.

        Until then a leader does not know which entries are committed, and must neither
        serve reads (thesis, 6.4) nor change the membership (the bug in single-server
        membership changes published in 2015).
        """
        return self._raft.commit_index >= self._term_start_index

    def silent_voters(self, duration: float) -> list[str]:
        """Return the voters silent for over ``duration`` seconds, longest first.

        The leader itself is not included. The time counts up to the last answer of a
        quorum: a leader that was suspended or cut off must not take the others for
        silent.
        """
        silent_since_by_id = {
            member_id: silent_since
            for member_id in self._raft.log.membership.voter_ids
            if (silent_since := self._raft.contacts.unanswered_since(member_id))
            is not None
        }
        answered_at = self.quorum_answered_sent_at
        silent = [
            member_id
            for member_id, silent_since in silent_since_by_id.items()
            if answered_at - silent_since > duration
        ]
        return sorted(silent, key=lambda member_id: silent_since_by_id[member_id])

    def begin(self) -> None:
        """Append an empty entry, whose commit also commits entries of older terms."""
        self._term_start_index = self._raft.log.last.index + 1
        self._append(records.EntryKind.EMPTY, b"")
        self._broadcast()

    def on_timer(self) -> None:
        """Send heartbeats; step down if no quorum has answered recently."""
        now = self._raft.clock.monotonic()
        if now < self._heartbeat_at:
            return
        since = max(self.quorum_answered_sent_at, self._started_at)
        if now - since >= self._raft.timing.election_max:
            # Check-quorum: otherwise a leader cut off by a network partition would keep
            # accepting proposals that it can never commit.
            self._raft.become_follower(self._raft.term, None)
            return
        self._broadcast()

    def propose(self, event: events.PayloadProposed) -> None:
        """Append a payload to the log and replicate it."""
        position = self._append(records.EntryKind.CHANGE, event.payload)
        self._raft.emit(
            events.ProposalAppended(proposal_id=event.proposal_id, position=position)
        )
        self._send_new()

    def change_membership(self, membership: records.Membership) -> None:
        """Append a membership that differs from the current one by at most one voter.

        Majorities of two memberships that differ by one voter always overlap, so each
        of them is a quorum until ``_finish_transition`` ends the change. A change is
        dropped while an earlier one is under way, since majorities of the memberships
        before and after both changes may be disjoint. An invalid change is dropped
        without an error; the caller proposes again later.
        """
        log = self._raft.log
        changed = membership.voter_ids ^ log.membership.voter_ids
        is_pending = log.membership_index > self._raft.commit_index
        if len(changed) > 1 or is_pending or log.membership.previous:
            return
        if not self.has_committed_in_term or not membership.voter_ids:
            return
        if changed:
            self._begin_transition(membership.members)
            return
        updated = self._with_versions(membership)
        if updated != log.membership:
            self._append_membership(updated)

    def is_version_outdated(self) -> bool:
        """Return whether the membership lacks what members reported of themselves."""
        membership = self._raft.log.membership
        return self._with_versions(membership) != membership

    def request_read(self, read_id: int) -> None:
        """Allow a read at once under the lease, else after a quorum has answered."""
        now = self._raft.clock.monotonic()
        if self.has_committed_in_term and now < self.lease_end:
            self._raft.emit(events.ReadAllowed(read_id=read_id))
            return
        self._pending_reads.append((read_id, now))
        self._broadcast()

    @property
    def lease_end(self) -> float:
        """Return when the lease ends, in monotonic seconds.

        Until then no other member can become leader. The lease of a sole voter never
        ends.
        """
        if self._is_sole_voter():
            return float("inf")
        return self.quorum_answered_sent_at + self._raft.timing.lease

    def fail_pending_reads(self) -> None:
        """Refuse all pending reads."""
        for read_id, _ in self._pending_reads:
            error = exceptions.NotLeaderError(leader=None)
            self._raft.emit(events.ReadRefused(read_id=read_id, error=error))
        self._pending_reads = []

    def after_commit(self) -> None:
        """Allow pending reads; step down if this member is no longer a voter."""
        self._allow_reads()
        self._finish_transition()
        log = self._raft.log
        is_committed = log.membership_index <= self._raft.commit_index
        if is_committed and not self._raft.is_voter:
            # The other members must learn that the membership entry is committed.
            self._broadcast()
            self._raft.become_follower(self._raft.term, None)

    def on_reply(self, reply: messages.AppendReply | messages.SnapshotReply) -> None:
        """Handle a member's reply to an append request or a snapshot chunk."""
        progress = self._progress_by_id.get(reply.sender)
        if progress is None:
            return
        progress.answered_sent_at = max(progress.answered_sent_at, reply.sent_at)
        if isinstance(reply, messages.AppendReply):
            progress.knows_transitions = reply.knows_transitions
            if reply.stamp is not None:
                progress.confirm_stamp(self.quorum_answered_sent_at)
                progress.add_stamp(reply.stamp, self._raft.clock.monotonic())
        if isinstance(reply, messages.SnapshotReply):
            self._on_snapshot_reply(reply, progress)
        elif reply.success:
            self._on_append_accepted(reply, progress)
        else:
            self._on_append_rejected(reply, progress)
        self._allow_reads()
        self._finish_transition()

    def is_caught_up(self, member_id: str) -> bool:
        """Return whether a member's log is nearly complete and it is answering."""
        progress = self._progress_by_id.get(member_id)
        if progress is None or progress.match_index == 0:
            return False
        missing = self._raft.log.last.index - progress.match_index
        return missing <= MAX_CAUGHT_UP_LAG_ENTRIES and self.is_answering(member_id)

    def is_answering(self, member_id: str) -> bool:
        """Return whether a member answered within ``election_max``."""
        progress = self._progress_by_id.get(member_id)
        if progress is None:
            return False
        elapsed = self._raft.clock.monotonic() - progress.answered_sent_at
        return elapsed < self._raft.timing.election_max

    def _append(self, kind: records.EntryKind, payload: bytes) -> records.Position:
        index = self._raft.log.last.index + 1
        entry = records.Entry(index, self._raft.term, kind, payload)
        self._raft.append([entry])
        self._advance_commit()
        return records.Position(index, self._raft.term)

    def _begin_transition(self, members: tuple[records.Member, ...]) -> None:
        """Append a change to ``members`` that differ by one voter from the current."""
        changed = self._with_versions(records.Membership(members=members))
        # A member of an earlier version might become the leader and begin the next
        # change without ending this one, so that the change then takes one entry. A
        # member that is being removed need not know: by the entry it is no voter.
        if all(map(self._knows_transitions, changed.voter_ids)):
            changed = msgspec.structs.replace(
                changed, previous=self._raft.log.membership.members
            )
        self._append_membership(changed)

    def _append_membership(self, membership: records.Membership) -> None:
        payload = codec.encode_msgpack(membership)
        self._membership_proposed_at = self._raft.clock.monotonic()
        self._append(records.EntryKind.MEMBERSHIP, payload)
        self._refresh_members()
        self._send_new()

    def _finish_transition(self) -> None:
        """End a committed change of a voter, or reverse it if it can't be ended.

        The entry that ends a change is appended only when a majority of the members
        after it has the change. Without that entry a host that was elected by a
        majority of the members before could follow a second change that it has not
        seen. If that majority doesn't answer, its disks may be lost: the change is
        reversed, so that those who elected this leader can go on.
        """
        log = self._raft.log
        membership = log.membership
        is_committed = log.membership_index <= self._raft.commit_index
        if not membership.previous or not is_committed:
            return
        if not self.has_committed_in_term:
            return
        reached = self._majority_value(
            membership.voter_ids, log.last.index, lambda progress: progress.match_index
        )
        if reached >= log.membership_index:
            self._append_membership(msgspec.structs.replace(membership, previous=()))
            return
        elapsed = self._raft.clock.monotonic() - self._membership_proposed_at
        if elapsed >= self._raft.timing.election_max:
            self._begin_transition(membership.previous)

    def _with_versions(self, membership: records.Membership) -> records.Membership:
        """Return a membership with the ids of the members that know transitions."""
        member_ids = filter(self._knows_transitions, membership.members_by_id)
        return msgspec.structs.replace(
            membership, transition_ids=tuple(sorted(member_ids))
        )

    def _knows_transitions(self, member_id: str) -> bool:
        if member_id == self._raft.member_id:
            return True
        progress = self._progress_by_id.get(member_id)
        if progress is None or progress.knows_transitions is None:
            return member_id in self._raft.log.membership.transition_ids
        return progress.knows_transitions

    def _refresh_members(self) -> None:
        members = self._raft.log.membership.reachable_by_id
        next_index = self._raft.log.last.index + 1
        self._progress_by_id = {
            member_id: self._progress_by_id.get(member_id)
            or Progress(next_index=next_index)
            for member_id in members
            if member_id != self._raft.member_id
        }
        self._raft.contacts.retain(members)

    def _is_sole_voter(self) -> bool:
        return self._raft.log.membership.voter_ids == {self._raft.member_id}

    def _quorum_value(self, own: float, value_of: typing.Callable[[Progress], float]):
        """Return the highest value that a quorum has reached."""
        voter_sets = self._raft.log.membership.voter_sets
        return max(
            self._majority_value(voter_ids, own, value_of) for voter_ids in voter_sets
        )

    def _majority_value(
        self,
        voter_ids: frozenset[str],
        own: float,
        value_of: typing.Callable[[Progress], float],
    ):
        """Return the highest value that a majority of the voters has reached."""
        values = [
            own
            if voter == self._raft.member_id
            else value_of(self._progress_by_id[voter])
            for voter in voter_ids
        ]
        return sorted(values, reverse=True)[len(voter_ids) // 2]

    @property
    def quorum_answered_sent_at(self) -> float:
        """Return when the newest message that a quorum has answered was sent."""
        now = self._raft.clock.monotonic()
        return self._quorum_value(now, lambda progress: progress.answered_sent_at)

    def _advance_commit(self) -> None:
        log = self._raft.log
        index = self._quorum_value(
            log.last.index, lambda progress: progress.match_index
        )
        # An entry of an older term may still be replaced even if a majority has it
        # (figure 8 of the paper). Committing an entry of this term commits it too.
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
            progress.transfer = SnapshotTransfer(snapshot=log.snapshot)
            self._send_chunk(member_id, progress.transfer)
            return
        entries = log.batch_from(progress.next_index, self._raft.timing.append_bytes)
        # Assume that the entries arrive. A member that missed them rejects the next
        # request and returns the index at which its log may match.
        progress.next_index += len(entries)
        self._raft.send(
            messages.AppendRequest,
            member_id,
            previous=records.Position(previous, term),
            commit_index=self._raft.commit_target,
            sent_at=self._raft.clock.monotonic(),
            entries=entries,
            confirmed=self._confirmed_stamp(progress),
        )

    def _confirmed_stamp(self, progress: Progress) -> messages.ClockStamp | None:
        """Return a member's newest stamp that the leader's commit index covers.

        Before an entry of its own term is committed, the commit index of a leader may
        lag behind what its predecessor committed.
        """
        if progress.stamp is not None:
            progress.confirm_stamp(self.quorum_answered_sent_at)
        return progress.confirmed if self.has_committed_in_term else None

    def _send_chunk(self, member_id: str, transfer: SnapshotTransfer) -> None:
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

    def _on_append_accepted(
        self, reply: messages.AppendReply, progress: Progress
    ) -> None:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        transfer = progress.transfer
        if transfer and progress.match_index >= transfer.snapshot.last.index:
            progress.transfer = None
            progress.next_index = progress.match_index + 1
        self._advance_commit()
        if progress.next_index <= self._raft.log.last.index:
            self._send(reply.sender, progress)

    def _on_append_rejected(
        self, reply: messages.AppendReply, progress: Progress
    ) -> None:
        if progress.transfer is not None:
            return
        # When a follower backtracks it skips a whole term at once, and may return an
        # index below its ``match_index``. Ignoring such a reply as outdated would mean
        # never sending it the entries it lacks.
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

    def _allow_reads(self) -> None:
        if not self._pending_reads or not self.has_committed_in_term:
            return
        answered_sent_at = self.quorum_answered_sent_at
        for read_id, requested_at in self._pending_reads:
            if requested_at <= answered_sent_at:
                self._raft.emit(events.ReadAllowed(read_id=read_id))
        self._pending_reads = [
            read for read in self._pending_reads if read[1] > answered_sent_at
        ]
