"""Snapshot file with a checksum, replaced atomically."""

import struct
import zlib

import msgspec

from greengagehaven import exceptions
from greengagehaven.state import folder, records

FILE_NAME = "snapshot"
MAGIC = b"GGHSNAP1"
_HEADER = struct.Struct(">8sI")


class SnapshotFile:
    """The latest snapshot in the data folder.

    The file is renamed into place after it is synced, so a crash leaves either the
    old or the new file. On a checksum mismatch loading fails, as the log no longer
    has the entries that the snapshot replaced.
    """

    def __init__(self, *, folder: folder.Folder, name: str = FILE_NAME) -> None:
        self._folder = folder
        self._name = name

    def load(self) -> records.Snapshot:
        """Return the snapshot, an empty one if there is no file.

        :raises LogDamagedError: the file is corrupt.
        """
        data = self._folder.read(self._name)
        if data is None:
            return records.Snapshot()
        if len(data) < _HEADER.size:
            raise self._corruption_error("the snapshot is truncated", len(data))
        magic, checksum = _HEADER.unpack_from(data)
        payload = data[_HEADER.size :]
        if magic != MAGIC or zlib.crc32(payload) != checksum:
            raise self._corruption_error("the snapshot is corrupt", 0)
        try:
            return msgspec.msgpack.decode(payload, type=records.Snapshot)
        except msgspec.DecodeError as error:
            raise self._corruption_error(f"not a snapshot ({error})", 0) from error

    def save(self, snapshot: records.Snapshot) -> None:
        """Replace the snapshot; the new one is durable when this returns.

        :raises StorageError: the write failed; the old one may still be in place.
        """
        payload = msgspec.msgpack.encode(snapshot)
        header = _HEADER.pack(MAGIC, zlib.crc32(payload))
        self._folder.replace(self._name, header + payload)

    def _corruption_error(self, detail: str, offset: int) -> exceptions.LogDamagedError:
        path = self._folder.path_of(self._name)
        return exceptions.LogDamagedError(detail, path=path, offset=offset)
