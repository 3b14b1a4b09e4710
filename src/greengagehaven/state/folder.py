"""Data folder: the file operations on which durable state is built.

They are behind an interface, so that tests can simulate a crash that loses exactly
the writes that were not synced.
"""

import fcntl
import os
import pathlib
import typing

from greengagehaven import exceptions

TEMPORARY_SUFFIX = ".new"
LOCK_NAME = "lock"


class Folder(typing.Protocol):
    """A folder in which writes are durable only once they are synced."""

    def path_of(self, name: str) -> str:
        """Return the full path of a file, for error messages."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, ``None`` if it doesn't exist."""

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to an existing file and sync it.

        :raises StorageError: the write failed; the bytes may be on the disk.
        """

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: write, sync, rename, sync the folder."""

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""


class DiskFolder:
    """A folder in the file system.

    :param path: path of the folder, which is created if it doesn't exist.
    """

    def __init__(self, *, path: str) -> None:
        self._path = pathlib.Path(path)
        self._descriptors_by_name: dict[str, int] = {}
        with _StorageErrors(str(self._path)):
            self._path.mkdir(parents=True, exist_ok=True)

    def path_of(self, name: str) -> str:
        """Return the full path of a file, for error messages."""
        return str(self._path / name)

    def names(self) -> list[str]:
        """Return the names of all files."""
        with _StorageErrors(str(self._path)):
            return sorted(entry.name for entry in self._path.iterdir())

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, ``None`` if it doesn't exist."""
        with _StorageErrors(self.path_of(name)):
            try:
                return (self._path / name).read_bytes()
            except FileNotFoundError:
                return None

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to an existing file and sync it.

        :raises StorageError: the write failed; the bytes may be on the disk.
        """
        with _StorageErrors(self.path_of(name)):
            descriptor = self._open(name)
            _write_all(descriptor, data)
            os.fdatasync(descriptor)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""
        with _StorageErrors(self.path_of(name)):
            descriptor = self._open(name)
            os.ftruncate(descriptor, size)
            os.fsync(descriptor)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: write, sync, rename, sync the folder.

        If a file is renamed before it is synced, it may be empty after a power
        failure; until the folder is synced, the old file may reappear.
        """
        temporary = self._path / (name + TEMPORARY_SUFFIX)
        with _StorageErrors(self.path_of(name)):
            self._close(name)
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
            descriptor = os.open(temporary, flags, 0o600)
            try:
                _write_all(descriptor, data)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            temporary.rename(self._path / name)
            self._sync_folder()

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        with _StorageErrors(self.path_of(name)):
            self._close(name)
            (self._path / name).unlink(missing_ok=True)
            self._sync_folder()

    def lock(self) -> None:
        """Lock the folder against other processes until :meth:`close`.

        Two processes that share a log would each acknowledge entries that the other
        overwrites.

        :raises SettingError: another process holds the lock.
        """
        descriptor = os.open(self._path / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise exceptions.SettingError(
                place="data folder",
                value=str(self._path),
                expected="a folder that no other control host uses",
            ) from error
        self._descriptors_by_name[LOCK_NAME] = descriptor

    def close(self) -> None:
        """Close every open file and release the lock."""
        for name in list(self._descriptors_by_name):
            self._close(name)

    def _open(self, name: str) -> int:
        descriptor = self._descriptors_by_name.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_APPEND
            descriptor = os.open(self._path / name, flags)
            self._descriptors_by_name[name] = descriptor
        return descriptor

    def _close(self, name: str) -> None:
        descriptor = self._descriptors_by_name.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class _StorageErrors:
    """Context manager that raises ``StorageError`` in place of ``OSError``."""

    def __init__(self, path: str) -> None:
        self._path = path

    def __enter__(self) -> None:
        return None

    def __exit__(self, error_type: object, error: object, traceback: object) -> None:
        if isinstance(error, OSError):
            detail = error.strerror or str(error)
            raise exceptions.StorageError(detail, path=self._path) from error


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
