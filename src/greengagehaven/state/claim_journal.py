"""Journal of a recorder of idempotency keys, synced before a key is granted.

A record is a header (length and CRC of the payload) and an opaque payload. A torn
last record was never acknowledged and is skipped; a corrupt record in the middle
was acknowledged, so loading fails. After loading, the journal must be rewritten
before it is appended to, as records after a torn one could not be read.
"""

import struct
import typing
import zlib
from collections import abc

from greengagehaven import exceptions

FILE_NAME = "claims"
MAGIC = b"GGHKEYS1"
_HEADER = struct.Struct(">II")


class JournalFolder(typing.Protocol):
    """File operations that the journal needs; see ``state.folder``."""

    def path_of(self, name: str) -> str:
        """Return the full path of a file, for error messages."""

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, ``None`` if it doesn't exist."""

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file and sync it."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and sync it."""


class ClaimJournal:
    """The journal, a single file in the data folder.

    :param folder: the data folder.
    """

    def __init__(self, *, folder: JournalFolder) -> None:
        self._folder = folder

    def load(self) -> list[bytes] | None:
        """Return the payloads of all complete records, ``None`` without a journal.

        :raises LogDamagedError: a record in the middle is corrupt.
        """
        data = self._folder.read(FILE_NAME)
        if data is None:
            return None
        if data[: len(MAGIC)] != MAGIC:
            raise self._corruption_error("not a journal of claims", 0)
        payloads = []
        offset = len(MAGIC)
        while (payload := self._read_record(data, offset)) is not None:
            payloads.append(payload)
            offset += _HEADER.size + len(payload)
        return payloads

    def append(self, payloads: abc.Iterable[bytes]) -> None:
        """Append records; they are durable when this returns.

        :raises StorageError: the write failed; the records may be durable.
        """
        self._folder.append(FILE_NAME, b"".join(map(_encode_record, payloads)))

    def rewrite(self, payloads: abc.Iterable[bytes]) -> None:
        """Replace the whole journal atomically."""
        self._folder.replace(FILE_NAME, MAGIC + b"".join(map(_encode_record, payloads)))

    def _read_record(self, data: bytes, offset: int) -> bytes | None:
        header = data[offset : offset + _HEADER.size]
        if len(header) < _HEADER.size:
            return None
        length, crc = _HEADER.unpack(header)
        start = offset + _HEADER.size
        payload = data[start : start + length]
        if len(payload) < length:
            return None
        if zlib.crc32(payload) == crc:
            return payload
        if start + length == len(data):
            return None
        raise self._corruption_error("a record is corrupt", offset)

    def _corruption_error(self, detail: str, offset: int) -> exceptions.LogDamagedError:
        path = self._folder.path_of(FILE_NAME)
        return exceptions.LogDamagedError(detail, path=path, offset=offset)


def _encode_record(payload: bytes) -> bytes:
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload
