"""Write-ahead log of records with checksums, synced before they are acknowledged.

A record is a batch: a header (length, CRC of the header, CRC of the payload) and a
msgpack payload. Each record is synced before the next is written, so only the last
can be torn; it was never acknowledged and is truncated. A corrupt record that others
follow was acknowledged, and dropping it would lose accepted changes, so loading fails.
"""

import struct
import zlib

import msgspec

from greengagehaven import exceptions
from greengagehaven.state import folder, records

FILE_NAME = "log"
MAGIC = b"GGHLOG1\n"
_HEADER = struct.Struct(">III")
_LENGTH = struct.Struct(">I")


class Batch(msgspec.Struct, frozen=True, omit_defaults=True):
    """Content of one record.

    :param vote: replaces the stored vote.
    :param base: new start of the log; all entries up to this position are dropped.
    :param entries: replace all log entries from the index of the first one on.
    """

    vote: records.Vote | None = None
    base: records.Position | None = None
    entries: tuple[records.Entry, ...] = ()


class Wal:
    """The write-ahead log, a single file in the data folder."""

    def __init__(self, *, folder: folder.Folder, name: str = FILE_NAME) -> None:
        self._folder = folder
        self._name = name
        self.size = 0

    def load(self) -> list[Batch]:
        """Return all complete records and truncate a torn last one.

        :raises LogDamagedError: a record in the middle is corrupt.
        """
        data = self._folder.read(self._name)
        if data is None:
            self.rewrite([])
            return []
        if data[: len(MAGIC)] != MAGIC:
            raise self._corruption_error("not a write-ahead log", 0)
        batches, end = self._read_records(data)
        if end < len(data):
            self._folder.truncate(self._name, end)
        self.size = end
        return batches

    def append(self, batch: Batch) -> None:
        """Append a record; it is durable when this returns.

        :raises StorageError: the record may or may not be durable. The log must not
            be written again by this process: after a failed sync the kernel may drop
            the dirty pages and report success for the next sync.
        """
        record = encode_record(batch)
        self._folder.append(self._name, record)
        self.size += len(record)

    def rewrite(self, batches: list[Batch]) -> None:
        """Replace the whole log atomically."""
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
            offset += _HEADER.size + len(payload)
        return batches, offset

    def _read_payload(self, data: bytes, offset: int) -> bytes | None:
        """Return the payload of the record at ``offset``, ``None`` if it is torn."""
        header = data[offset : offset + _HEADER.size]
        if len(header) < _HEADER.size:
            return None
        length, header_crc, payload_crc = _HEADER.unpack(header)
        if header_crc != _header_crc(length, payload_crc):
            # The length can't be trusted, so a torn record can't be distinguished
            # from a corrupt one, except if only unwritten zeros follow.
            if not any(data[offset:]):
                return None
            raise self._corruption_error("the header of a record is corrupt", offset)
        start = offset + _HEADER.size
        payload = data[start : start + length]
        if len(payload) < length:
            return None
        if zlib.crc32(payload) == payload_crc:
            return payload
        if start + length == len(data):
            return None
        raise self._corruption_error("a record is corrupt", offset)

    def _decode(self, payload: bytes, offset: int) -> Batch:
        try:
            return msgspec.msgpack.decode(payload, type=Batch)
        except msgspec.DecodeError as error:
            raise self._corruption_error(f"not a record ({error})", offset) from error

    def _corruption_error(self, detail: str, offset: int) -> exceptions.LogDamagedError:
        path = self._folder.path_of(self._name)
        return exceptions.LogDamagedError(detail, path=path, offset=offset)


def encode_record(batch: Batch) -> bytes:
    """Encode a batch as a record of the log file."""
    payload = msgspec.msgpack.encode(batch)
    payload_crc = zlib.crc32(payload)
    header_crc = _header_crc(len(payload), payload_crc)
    return _HEADER.pack(len(payload), header_crc, payload_crc) + payload


def _header_crc(length: int, payload_crc: int) -> int:
    return zlib.crc32(_LENGTH.pack(length) + _LENGTH.pack(payload_crc))
