"""The data folder: the few file operations that durable state is built on.

Behind an interface so that tests can lose exactly what was not synced.
"""

import fcntl
import os
import pathlib
import typing

from greengagehaven import exceptions

TEMPORARY_SUFFIX = ".new"
LOCK_NAME = "lock"


class Folder(typing.Protocol):
    """A folder whose writes last only once they are synced."""

    def path_of(self, name: str) -> str:
        """Return the full name of a file, for messages."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes | None:
        """Return the bytes of a file, ``None`` where there is none."""

    def append(self, name: str, data: bytes) -> None:
        """Write bytes at the end of a file and sync it.

        :raises StorageError: they may or may not be on the disk.
        """

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes and sync it."""

    def replace(self, name: str, data: bytes) -> None:
        """Put a file in place whole: write, sync, rename, sync the folder."""

    def remove(self, name: str) -> None:
        """Remove a file where it exists."""


class DiskFolder:
    """A folder of the file system.

    :param path: the folder; it is created where it does not exist.
    """

    def __init__(self, *, path: str) -> None:
        self._path = pathlib.Path(path)
        self._handles_by_name: dict[str, int] = {}
        with _Failures(str(self._path)):
            self._path.mkdir(parents=True, exist_ok=True)

    def path_of(self, name: str) -> str:
        """Return the full name of a file, for messages."""
        return str(self._path / name)

    def names(self) -> list[str]:
        """Return the names of all files."""
        with _Failures(str(self._path)):
            return sorted(entry.name for entry in self._path.iterdir())

    def read(self, name: str) -> bytes | None:
        """Return the bytes of a file, ``None`` where there is none."""
        with _Failures(self.path_of(name)):
            try:
                return (self._path / name).read_bytes()
            except FileNotFoundError:
                return None

    def append(self, name: str, data: bytes) -> None:
        """Write bytes at the end of a file and sync it.

        :raises StorageError: they may or may not be on the disk.
        """
        with _Failures(self.path_of(name)):
            handle = self._open(name)
            _write_all(handle, data)
            os.fdatasync(handle)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes and sync it."""
        with _Failures(self.path_of(name)):
            handle = self._open(name)
            os.ftruncate(handle, size)
            os.fsync(handle)

    def replace(self, name: str, data: bytes) -> None:
        """Put a file in place whole: write, sync, rename, sync the folder.

        Renamed before it is synced, a file may come back empty after a power
        cut under its final name; before the folder is synced, the old one may.
        """
        temporary = self._path / (name + TEMPORARY_SUFFIX)
        with _Failures(self.path_of(name)):
            self._close(name)
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
            handle = os.open(temporary, flags, 0o600)
            try:
                _write_all(handle, data)
                os.fsync(handle)
            finally:
                os.close(handle)
            temporary.rename(self._path / name)
            self._sync_folder()

    def remove(self, name: str) -> None:
        """Remove a file where it exists."""
        with _Failures(self.path_of(name)):
            self._close(name)
            (self._path / name).unlink(missing_ok=True)
            self._sync_folder()

    def lock(self) -> None:
        """Keep other processes out of the folder until ``close``.

        Two processes on one log would each acknowledge entries that the other
        overwrites.

        :raises SettingError: another process has it.
        """
        handle = os.open(self._path / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(handle)
            raise exceptions.SettingError(
                place="data folder",
                value=str(self._path),
                expected="a folder that no other control host uses",
            ) from error
        self._handles_by_name[LOCK_NAME] = handle

    def close(self) -> None:
        """Close every open file and release the lock."""
        for name in list(self._handles_by_name):
            self._close(name)

    def _open(self, name: str) -> int:
        handle = self._handles_by_name.get(name)
        if handle is None:
            flags = os.O_WRONLY | os.O_APPEND
            handle = os.open(self._path / name, flags)
            self._handles_by_name[name] = handle
        return handle

    def _close(self, name: str) -> None:
        handle = self._handles_by_name.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _sync_folder(self) -> None:
        handle = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


class _Failures:
    """Turns errors of the operating system into ``StorageError``."""

    def __init__(self, path: str) -> None:
        self._path = path

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        if isinstance(error, OSError):
            detail = error.strerror or str(error)
            raise exceptions.StorageError(detail, path=self._path) from error


def _write_all(handle: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(handle, view) :]
