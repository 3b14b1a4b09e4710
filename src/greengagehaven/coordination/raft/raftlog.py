"""In-memory log of a Raft member: the entries after the compaction base."""

from collections import abc

from greengagehaven.protocol import codec
from greengagehaven.state import records


class RaftLog:
    """Log entries by index, and the memberships they contain.

    :param stored: state read from disk.
    """

    def __init__(self, *, stored: records.PersistentState) -> None:
        self.snapshot = stored.snapshot
        self.base = stored.base
        self._entries = list(stored.entries)
        self._memberships: list[tuple[int, records.Membership]] = []
        self._rebuild_memberships()

    @property
    def last(self) -> records.Position:
        """Return the position of the last entry."""
        if not self._entries:
            return self.base
        entry = self._entries[-1]
        return records.Position(entry.index, entry.term)

    @property
    def membership(self) -> records.Membership:
        """Return the newest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Return the index of the entry with the newest membership.

        If that membership is the snapshot's, it is the snapshot's last index.
        """
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> records.Membership:
        """Return the membership in effect at ``index``."""
        return next(
            membership
            for entry_index, membership in reversed(self._memberships)
            if entry_index <= index
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, ``None`` if not in the log."""
        if index == self.base.index:
            return self.base.term
        offset = index - self.base.index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in the log with the same term as ``index``."""
        term = self.term_at(index)
        while index > self.base.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def entries_between(self, first: int, last: int) -> tuple[records.Entry, ...]:
        """Return the entries from ``first`` to ``last``, inclusive."""
        start = first - self.base.index - 1
        return tuple(self._entries[start : last - self.base.index])

    def batch_from(self, first: int, max_bytes: int) -> tuple[records.Entry, ...]:
        """Return entries starting at ``first``, up to ``max_bytes`` of payload.

        At least one entry is returned if there is any, even if it is larger.
        """
        batch = []
        size = 0
        for entry in self._entries[first - self.base.index - 1 :]:
            size += len(entry.payload)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries: abc.Sequence[records.Entry]) -> None:
        """Append entries, truncating the log at the first one's index."""
        first = entries[0].index
        del self._entries[first - self.base.index - 1 :]
        while self._memberships[-1][0] >= first:
            self._memberships.pop()
        self._entries.extend(entries)
        self._record_memberships(entries)

    def compact(self, snapshot: records.Snapshot, trailing: int) -> None:
        """Set the snapshot, and drop all but ``trailing`` of the entries it covers."""
        self.snapshot = snapshot
        index = max(self.base.index, snapshot.last.index - trailing)
        term = self.term_at(index)
        assert term is not None
        del self._entries[: index - self.base.index]
        self.base = records.Position(index, term)
        self._drop_old_memberships(snapshot.last.index)

    def install(self, snapshot: records.Snapshot) -> None:
        """Replace the log by a leader's snapshot."""
        self.snapshot = snapshot
        self.base = snapshot.last
        self._entries = []
        self._rebuild_memberships()

    def all_entries(self) -> tuple[records.Entry, ...]:
        """Return all entries in the log."""
        return tuple(self._entries)

    def _rebuild_memberships(self) -> None:
        snapshot = self.snapshot
        self._memberships = [(snapshot.last.index, snapshot.membership)]
        self._record_memberships(
            [entry for entry in self._entries if entry.index > snapshot.last.index]
        )

    def _record_memberships(self, entries: abc.Iterable[records.Entry]) -> None:
        for entry in entries:
            if entry.kind is records.EntryKind.MEMBERSHIP:
                membership = codec.decode_msgpack(entry.payload, records.Membership)
                self._memberships.append((entry.index, membership))

    def _drop_old_memberships(self, index: int) -> None:
        while len(self._memberships) > 1 and self._memberships[1][0] <= index:
            self._memberships.pop(0)
