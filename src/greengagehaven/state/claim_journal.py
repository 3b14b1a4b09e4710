"""Journal of a recorder of idempotency keys: synced before a key is granted.

A record is a head (length and CRC of the payload) and opaque bytes. A torn last
record was never acknowledged and is left out; a damaged one in the middle was,
so the start stops there. Whoever loads a journal rewrites it before it appends:
behind a torn record nothing could be read again.
"""

import struct
import typing
import zlib
from collections import abc

from greengagehaven import exceptions

FILE_NAME = "claims"
MAGIC = b"GGHKEYS1"
_HEAD = struct.Struct(">II")


class JournalFolder(typing.Protocol):
    """The part of a data folder that the journal needs."""

    def path_of(self, name: str) -> str:
        """Return the full name of a file, for messages."""

    def read(self, name: str) -> bytes | None:
        """Return the bytes of a file, ``None`` where there is none."""

    def append(self, name: str, data: bytes) -> None:
        """Write bytes at the end of a file and sync it."""

    def replace(self, name: str, data: bytes) -> None:
        """Put a file in place whole, synced."""


class ClaimJournal:
    """The journal in one file of the data folder.

    :param folder: where it lives.
    """

    def __init__(self, *, folder: JournalFolder) -> None:
        self._folder = folder

    def load(self) -> list[bytes] | None:
        """Return every whole record, ``None`` where there is no journal.

        :raises LogDamagedError: a record in the middle is damaged.
        """
        data = self._folder.read(FILE_NAME)
        if data is None:
            return None
        if data[: len(MAGIC)] != MAGIC:
            raise self._damaged("not a journal of claims", 0)
        payloads = []
        offset = len(MAGIC)
        while (payload := self._read(data, offset)) is not None:
            payloads.append(payload)
            offset += _HEAD.size + len(payload)
        return payloads

    def append(self, payloads: abc.Iterable[bytes]) -> None:
        """Add records; they are durable when this returns.

        :raises StorageError: they may or may not be durable.
        """
        self._folder.append(FILE_NAME, b"".join(map(_frame, payloads)))

    def rewrite(self, payloads: abc.Iterable[bytes]) -> None:
        """Replace the whole journal at once."""
        self._folder.replace(FILE_NAME, MAGIC + b"".join(map(_frame, payloads)))

    def _read(self, data: bytes, offset: int) -> bytes | None:
        head = data[offset : offset + _HEAD.size]
        if len(head) < _HEAD.size:
            return None
        length, crc = _HEAD.unpack(head)
        start = offset + _HEAD.size
        payload = data[start : start + length]
        if len(payload) < length:
            return None
        if zlib.crc32(payload) == crc:
            return payload
        if start + length == len(data):
            return None
        raise self._damaged("a record is damaged", offset)

    def _damaged(self, detail: str, offset: int) -> exceptions.LogDamagedError:
        path = self._folder.path_of(FILE_NAME)
        return exceptions.LogDamagedError(detail, path=path, offset=offset)


def _frame(payload: bytes) -> bytes:
    return _HEAD.pack(len(payload), zlib.crc32(payload)) + payload
