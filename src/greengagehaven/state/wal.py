"""Write-ahead log: checked records that are synced before they count.

A record is one batch: a head (length, CRC of the head, CRC of the payload) and
a msgpack payload. Only the last record can be half written, because each is
synced before the next begins; it was never acknowledged and is cut off. A bad
record with others behind it has been acknowledged, and dropping it would lose
accepted changes, so the start stops there.
"""

import struct
import zlib

import msgspec

from greengagehaven import exceptions
from greengagehaven.state import folder, records

FILE_NAME = "log"
MAGIC = b"GGHLOG1\n"
_HEAD = struct.Struct(">III")
_LENGTH = struct.Struct(">I")


class Batch(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one record says.

    :param base: the log starts after this place; all before is dropped.
    :param entries: they replace whatever the log holds from the first on.
    """

    vote: records.Vote | None = None
    base: records.Position | None = None
    entries: tuple[records.Entry, ...] = ()


class Wal:
    """The write-ahead log in one file of the data folder."""

    def __init__(self, *, folder: folder.Folder, name: str = FILE_NAME) -> None:
        self._folder = folder
        self._name = name
        self.size = 0

    def load(self) -> list[Batch]:
        """Return every whole record and cut off a torn last one.

        :raises LogDamagedError: a record in the middle is damaged.
        """
        data = self._folder.read(self._name)
        if data is None:
            self.rewrite([])
            return []
        if data[: len(MAGIC)] != MAGIC:
            raise self._damaged("not a write-ahead log", 0)
        batches, end = self._read_records(data)
        if end < len(data):
            self._folder.truncate(self._name, end)
        self.size = end
        return batches

    def append(self, batch: Batch) -> None:
        """Add a record; it is durable when this returns.

        :raises StorageError: it may or may not be durable. The log must not
            be written again in this process: after a failed sync the kernel
            may drop the pages and report the next sync as good.
        """
        record = encode_record(batch)
        self._folder.append(self._name, record)
        self.size += len(record)

    def rewrite(self, batches: list[Batch]) -> None:
        """Replace the whole log at once."""
        data = MAGIC + b"".join(encode_record(batch) for batch in batches)
        self._folder.replace(self._name, data)
        self.size = len(data)

    def _read_records(self, data: bytes) -> tuple[list[Batch], int]:
        batches = []
        offset = len(MAGIC)
        while offset < len(data):
            payload = self._read_payload(data, offset)
            if payload is None:
                break
            batches.append(self._decode(payload, offset))
            offset += _HEAD.size + len(payload)
        return batches, offset

    def _read_payload(self, data: bytes, offset: int) -> bytes | None:
        """Return the payload at ``offset``, ``None`` where it is torn."""
        head = data[offset : offset + _HEAD.size]
        if len(head) < _HEAD.size:
            return None
        length, head_crc, payload_crc = _HEAD.unpack(head)
        if head_crc != _head_crc(length, payload_crc):
            # The length cannot be trusted, so nothing behind it can be told
            # from a torn tail, except zeros that were never written over.
            if not any(data[offset:]):
                return None
            raise self._damaged("the head of a record is damaged", offset)
        start = offset + _HEAD.size
        payload = data[start : start + length]
        if len(payload) < length:
            return None
        if zlib.crc32(payload) == payload_crc:
            return payload
        if start + length == len(data):
            return None
        raise self._damaged("a record is damaged", offset)

    def _decode(self, payload: bytes, offset: int) -> Batch:
        try:
            return msgspec.msgpack.decode(payload, type=Batch)
        except msgspec.DecodeError as error:
            raise self._damaged(f"not a record ({error})", offset) from error

    def _damaged(self, detail: str, offset: int) -> exceptions.LogDamagedError:
        path = self._folder.path_of(self._name)
        return exceptions.LogDamagedError(detail, path=path, offset=offset)


def encode_record(batch: Batch) -> bytes:
    """Return a batch as it stands in the file."""
    payload = msgspec.msgpack.encode(batch)
    payload_crc = zlib.crc32(payload)
    head_crc = _head_crc(len(payload), payload_crc)
    return _HEAD.pack(len(payload), head_crc, payload_crc) + payload


def _head_crc(length: int, payload_crc: int) -> int:
    return zlib.crc32(_LENGTH.pack(length) + _LENGTH.pack(payload_crc))
