"""Snapshots: one checked file that is replaced whole."""

import struct
import zlib

import msgspec

from greengagehaven import exceptions
from greengagehaven.state import folder, records

FILE_NAME = "snapshot"
MAGIC = b"GGHSNAP1"
_HEAD = struct.Struct(">8sI")


class SnapshotFile:
    """The newest snapshot in the data folder.

    The file comes into place by rename after its sync, so a crash leaves the
    old one or the new one. A checksum that does not match is damage, and the
    start stops: the log no longer holds what the snapshot replaced.
    """

    def __init__(self, *, folder: folder.Folder, name: str = FILE_NAME) -> None:
        self._folder = folder
        self._name = name

    def load(self) -> records.Snapshot:
        """Return the snapshot, an empty one where there is none.

        :raises LogDamagedError: the file is damaged.
        """
        data = self._folder.read(self._name)
        if data is None:
            return records.Snapshot()
        if len(data) < _HEAD.size:
            raise self._damaged("the snapshot is cut short", len(data))
        magic, checksum = _HEAD.unpack_from(data)
        payload = data[_HEAD.size :]
        if magic != MAGIC or zlib.crc32(payload) != checksum:
            raise self._damaged("the snapshot is damaged", 0)
        try:
            return msgspec.msgpack.decode(payload, type=records.Snapshot)
        except msgspec.DecodeError as error:
            raise self._damaged(f"not a snapshot ({error})", 0) from error

    def save(self, snapshot: records.Snapshot) -> None:
        """Replace the snapshot; it is durable when this returns.

        :raises StorageError: the old one may still be in place.
        """
        payload = msgspec.msgpack.encode(snapshot)
        head = _HEAD.pack(MAGIC, zlib.crc32(payload))
        self._folder.replace(self._name, head + payload)

    def _damaged(self, detail: str, offset: int) -> exceptions.LogDamagedError:
        path = self._folder.path_of(self._name)
        return exceptions.LogDamagedError(detail, path=path, offset=offset)
