"""Follower side of replication: receives log entries and snapshots."""

import typing

import xxhash

from greengagehaven.coordination.raft import messages
from greengagehaven.state import records

if typing.TYPE_CHECKING:
    from greengagehaven.coordination.raft import core


class LogReceiver:
    """Handles the append requests and snapshot chunks of the leader.

    :param raft: the member.
    """

    def __init__(self, *, raft: "core.Raft") -> None:
        self._raft = raft
        self._assembly: _SnapshotAssembly | None = None

    def on_append(self, request: messages.AppendRequest) -> None:
        """Append entries if the logs match at ``previous``, else reject the request.

        A rejection carries the highest index at which the logs may match.
        """
        previous = request.previous
        entries = request.entries
        if previous.index < self._raft.log.base.index:
            # Entries up to the base are committed and identical on all members.
            entries = tuple(
                entry for entry in entries if entry.index > self._raft.log.base.index
            )
            previous = self._raft.log.base
        if self._raft.log.term_at(previous.index) != previous.term:
            self._reply_append(
                request, False, self._last_possible_match(previous.index)
            )
            return
        missing = self._entries_not_in_log(entries)
        if missing:
            self._raft.append(missing)
        match_index = previous.index + len(entries)
        self._raft.commit(min(request.commit_index, match_index))
        if match_index >= request.commit_index:
            self._raft.up_to_date_at = self._raft.clock.monotonic()
            self._raft.record_confirmation(request.confirmed)
        self._reply_append(request, True, match_index)

    def on_chunk(self, chunk: messages.SnapshotChunk) -> None:
        """Add a snapshot chunk; install the snapshot once it is complete."""
        if self._raft.log.term_at(chunk.last.index) == chunk.last.term:
            # The log already contains the snapshot's last entry, and possibly later
            # entries that this member has acknowledged. Installing the snapshot would
            # discard those.
            self._raft.commit(chunk.last.index)
        if chunk.last.index <= self._raft.commit_target:
            self._raft.reply_append(chunk, success=True, match_index=chunk.last.index)
            return
        if self._assembly is None or not self._assembly.accepts(chunk):
            self._assembly = _SnapshotAssembly(first=chunk)
        data = self._assembly.add(chunk)
        if data is None:
            self._raft.send(
                messages.SnapshotReply,
                chunk.sender,
                last=chunk.last,
                received=self._assembly.received,
                sent_at=chunk.sent_at,
            )
            return
        self._assembly = None
        snapshot = records.Snapshot(
            last=chunk.last, membership=chunk.membership, data=data
        )
        self._raft.install(snapshot)
        self._raft.reply_append(chunk, success=True, match_index=chunk.last.index)

    def _reply_append(
        self, request: messages.AppendRequest, success: bool, match_index: int
    ) -> None:
        self._raft.reply_append(
            request,
            success=success,
            match_index=match_index,
            stamp=self._raft.stamp(),
        )

    def _last_possible_match(self, index: int) -> int:
        """Return the highest index at which this log may match the leader's."""
        if self._raft.log.last.index < index:
            return self._raft.log.last.index
        first = self._raft.log.first_index_of_term(index)
        return max(first - 1, self._raft.commit_index)

    def _entries_not_in_log(
        self, entries: tuple[records.Entry, ...]
    ) -> tuple[records.Entry, ...]:
        """Return the entries from the first one that this log does not contain."""
        # Truncating the log on every request would discard acknowledged entries when an
        # older request arrives late.
        for offset, entry in enumerate(entries):
            if self._raft.log.term_at(entry.index) != entry.term:
                return entries[offset:]
        return ()


class _SnapshotAssembly:
    """Reassembles one snapshot from its chunks."""

    def __init__(self, *, first: messages.SnapshotChunk) -> None:
        self._key = _snapshot_key(first)
        self._data = bytearray()

    @property
    def received(self) -> int:
        """Return the number of contiguous bytes received."""
        return len(self._data)

    def accepts(self, chunk: messages.SnapshotChunk) -> bool:
        """Return whether a chunk is part of this snapshot from the same leader."""
        return self._key == _snapshot_key(chunk)

    def add(self, chunk: messages.SnapshotChunk) -> bytes | None:
        """Add a chunk; return the snapshot once complete and its checksum matches.

        A checksum mismatch discards all chunks.
        """
        if chunk.offset == len(self._data):
            self._data += chunk.data
        if len(self._data) < chunk.size:
            return None
        data = bytes(self._data)
        if xxhash.xxh64_intdigest(data) != chunk.checksum:
            self._data.clear()
            return None
        return data


def _snapshot_key(chunk: messages.SnapshotChunk) -> tuple[object, ...]:
    return (chunk.sender, chunk.term, chunk.last, chunk.size, chunk.checksum)
