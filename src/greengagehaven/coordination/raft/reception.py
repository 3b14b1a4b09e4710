"""Following a leader: its entries and its snapshots."""

import typing

import xxhash

from greengagehaven.coordination.raft import messages
from greengagehaven.state import records

if typing.TYPE_CHECKING:
    from greengagehaven.coordination.raft import core


class Reception:
    """What a member does with the messages of a leader.

    :param raft: the member.
    """

    def __init__(self, *, raft: "core.Raft") -> None:
        self._raft = raft
        self._chunks: _Chunks | None = None

    def on_append(self, request: messages.AppendRequest) -> None:
        """Take entries that fit, or tell where the logs may agree."""
        previous = request.previous
        entries = request.entries
        if previous.index < self._raft.log.base.index:
            # What lies before the base is committed and the same everywhere.
            entries = tuple(
                entry for entry in entries if entry.index > self._raft.log.base.index
            )
            previous = self._raft.log.base
        if self._raft.log.term_at(previous.index) != previous.term:
            self._reply_append(request, False, self._agreement_below(previous.index))
            return
        new = self._without_known(entries)
        if new:
            self._raft.append(new)
        match_index = previous.index + len(entries)
        self._raft.commit(min(request.commit_index, match_index))
        if match_index >= request.commit_index:
            self._raft.current_at = self._raft.clock.monotonic()
        self._reply_append(request, True, match_index)

    def on_chunk(self, chunk: messages.SnapshotChunk) -> None:
        """Take a part of a snapshot."""
        if self._raft.log.term_at(chunk.last.index) == chunk.last.term:
            # This log holds the snapshot's last entry and perhaps acknowledged
            # ones behind it, which starting over would drop.
            self._raft.commit(chunk.last.index)
        if chunk.last.index <= self._raft.commit_target:
            self._raft.send(
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
            self._raft.send(
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
        self._raft.install(snapshot)
        self._raft.send(
            messages.AppendReply,
            chunk.sender,
            success=True,
            match_index=chunk.last.index,
            sent_at=chunk.sent_at,
        )

    def _reply_append(
        self, request: messages.AppendRequest, success: bool, match_index: int
    ) -> None:
        self._raft.send(
            messages.AppendReply,
            request.sender,
            success=success,
            match_index=match_index,
            sent_at=request.sent_at,
        )

    def _agreement_below(self, index: int) -> int:
        """Return the highest index at which this log may agree with the leader."""
        if self._raft.log.last.index < index:
            return self._raft.log.last.index
        first = self._raft.log.first_index_of_term(index)
        return max(first - 1, self._raft.commit_index)

    def _without_known(
        self, entries: tuple[records.Entry, ...]
    ) -> tuple[records.Entry, ...]:
        # Cutting the log off at every request would drop entries that this
        # member has acknowledged when an older request arrives late.
        for number, entry in enumerate(entries):
            if self._raft.log.term_at(entry.index) != entry.term:
                return entries[number:]
        return ()


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
