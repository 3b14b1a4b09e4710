"""All that a control host keeps on its disk: identity, log and snapshot."""

import msgspec

from greengagehaven import exceptions
from greengagehaven.state import folder, records, snapshots, wal

IDENTITY_NAME = "identity"


class Storage:
    """Durable state of one member of the replicated log.

    After any failure of a write the object refuses further writes: what is on
    the disk is then not known, and only a restart that reads it again tells.

    :param folder: the data folder.
    """

    def __init__(self, *, folder: folder.Folder) -> None:
        self._folder = folder
        self._wal = wal.Wal(folder=folder)
        self._snapshots = snapshots.SnapshotFile(folder=folder)
        self._failure: exceptions.StorageError | None = None

    @property
    def log_bytes(self) -> int:
        """Return the size of the write-ahead log."""
        return self._wal.size

    def identity(self) -> records.Identity | None:
        """Return who this host is, ``None`` on an empty disk.

        :raises LogDamagedError: the file is damaged.
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
        """Write the identity of a fresh host, with a first snapshot if given.

        The identity is written last: a crash before it leaves a disk that
        counts as empty.
        """
        if snapshot is not None:
            self._snapshots.save(snapshot)
        self._wal.rewrite([wal.Batch(base=snapshot.last)] if snapshot else [])
        self._folder.replace(IDENTITY_NAME, msgspec.json.encode(identity))

    def load(self) -> records.Stored:
        """Return what the disk holds.

        :raises LogDamagedError: a file is damaged, other than a torn end.
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
        return _join(snapshot, vote, base, entries)

    def save(
        self, *, vote: records.Vote | None, entries: tuple[records.Entry, ...]
    ) -> None:
        """Make a vote and entries durable, as one record.

        :raises StorageError: they may not be durable and must not count.
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
        """Save a snapshot, then drop the entries before ``base``.

        :raises StorageError: either the old state or the new one is on disk.
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


def _join(
    snapshot: records.Snapshot,
    vote: records.Vote,
    base: records.Position,
    entries: list[records.Entry],
) -> records.Stored:
    """Put snapshot and log together after a crash between their writes."""
    places = {entry.index: entry.term for entry in entries}
    places[base.index] = base.term
    if places.get(snapshot.last.index) != snapshot.last.term:
        # The snapshot came from a leader whose log this one does not contain.
        base = snapshot.last
        entries = []
    return records.Stored(
        vote=vote, snapshot=snapshot, base=base, entries=tuple(entries)
    )
