"""Persistent state of a control host: identity, log and snapshot."""

import msgspec

from greengagehaven import exceptions
from greengagehaven.state import folder, records, snapshots, wal

IDENTITY_NAME = "identity"


class Storage:
    """Durable state of one member of the replicated log.

    After a write fails, all further writes fail too: the state on disk is then
    unknown until a restart reads it again.

    :param folder: the data folder.
    """

    def __init__(self, *, folder: folder.Folder) -> None:
        self._folder = folder
        self._wal = wal.Wal(folder=folder)
        self._snapshots = snapshots.SnapshotFile(folder=folder)
        self._failure: exceptions.StorageError | None = None

    @property
    def log_bytes(self) -> int:
        """Return the size of the write-ahead log in bytes."""
        return self._wal.size

    def identity(self) -> records.Identity | None:
        """Return the identity of this host, ``None`` on an empty disk.

        :raises LogDamagedError: the file is corrupt.
        """
        data = self._folder.read(IDENTITY_NAME)
        if data is None:
            return None
        try:
            return msgspec.json.decode(data, type=records.Identity)
        except msgspec.DecodeError as error:
            path = self._folder.path_of(IDENTITY_NAME)
            raise exceptions.LogDamagedError(str(error), path=path) from error

    def initialise(
        self,
        identity: records.Identity,
        snapshot: records.Snapshot | None = None,
    ) -> None:
        """Initialise an empty disk with an identity and, if given, a first snapshot.

        The identity is written last, so that a crash before leaves a disk that counts
        as empty.
        """
        if snapshot is not None:
            self._snapshots.save(snapshot)
        self._wal.rewrite([wal.Batch(base=snapshot.last)] if snapshot else [])
        self._folder.replace(IDENTITY_NAME, msgspec.json.encode(identity))

    def load(self) -> records.PersistentState:
        """Return the state on disk.

        :raises LogDamagedError: a file is corrupt, other than by a torn last record.
        """
        snapshot = self._snapshots.load()
        vote = records.Vote()
        base = records.Position()
        entries: list[records.Entry] = []
        for batch in self._wal.load():
            vote = batch.vote or vote
            if batch.base is not None:
                base = batch.base
                entries = []
            if batch.entries:
                kept = batch.entries[0].index - base.index - 1
                self._check_gap(kept, entries)
                entries[kept:] = batch.entries
        return _reconcile(snapshot, vote, base, entries)

    def save(
        self, *, vote: records.Vote | None, entries: tuple[records.Entry, ...]
    ) -> None:
        """Append a vote and entries to the log as one record and sync it.

        :raises StorageError: the write failed; they must not be acknowledged.
        """
        self._write(lambda: self._wal.append(wal.Batch(vote=vote, entries=entries)))

    def compact(
        self,
        snapshot: records.Snapshot,
        *,
        vote: records.Vote,
        base: records.Position,
        entries: tuple[records.Entry, ...],
    ) -> None:
        """Save a snapshot, then replace the log by the entries after ``base``.

        :raises StorageError: the write failed; the disk has the old or the new state.
        """
        batch = wal.Batch(vote=vote, base=base, entries=entries)

        def write() -> None:
            self._snapshots.save(snapshot)
            self._wal.rewrite([batch])

        self._write(write)

    def _write(self, write) -> None:
        if self._failure is not None:
            raise self._failure
        try:
            write()
        except exceptions.StorageError as error:
            self._failure = error
            raise

    def _check_gap(self, kept: int, entries: list[records.Entry]) -> None:
        if not 0 <= kept <= len(entries):
            path = self._folder.path_of(wal.FILE_NAME)
            raise exceptions.LogDamagedError("entries are missing", path=path)


def _reconcile(
    snapshot: records.Snapshot,
    vote: records.Vote,
    base: records.Position,
    entries: list[records.Entry],
) -> records.PersistentState:
    """Reconcile snapshot and log, also after a crash between their writes."""
    terms_by_index = {entry.index: entry.term for entry in entries}
    terms_by_index[base.index] = base.term
    if terms_by_index.get(snapshot.last.index) != snapshot.last.term:
        # The snapshot came from a leader, and its last entry isn't in this log.
        base = snapshot.last
        entries = []
    return records.PersistentState(
        vote=vote, snapshot=snapshot, base=base, entries=tuple(entries)
    )
