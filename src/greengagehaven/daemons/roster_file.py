"""Persists the roster of a control host, so that it survives a power loss.

Upstreams announce themselves about once a second. After a restart of all hosts,
requests would be refused until each shard has been announced. The file is only a hint:
it is written rarely, and a failed write is logged and otherwise ignored.
"""

import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.protocol import codec, watching
from greengagehaven.state import folder, roster

FILE_NAME = "upstreams"
SAVE_PERIOD_S = 2.0
FAILURE_DELAY_S = 10.0

_Entries = tuple[watching.UpstreamEntry, ...]


class RosterSaver(typing.Protocol):
    """Saves a roster; called periodically."""

    def save(self) -> None:
        """Save the roster if it changed."""


class NullRosterSaver:
    """Saver for a roster that is not persisted."""

    def save(self) -> None:
        """Save nothing."""


class RosterFile:
    """The file in which a roster is saved.

    :param roster: the roster.
    :param open_folder: opens the folder of the file; nothing else uses that folder.
    :param clock: source of monotonic time.
    """

    def __init__(
        self,
        *,
        roster: roster.Roster,
        open_folder: abc.Callable[[], folder.Folder],
        clock: clocks.Clock,
    ) -> None:
        self._roster = roster
        self._open_folder = open_folder
        self._opened_folder: folder.Folder | None = None
        self._clock = clock
        self._saved_identities: frozenset[tuple] = frozenset()
        self._next_save_at = clock.monotonic() + SAVE_PERIOD_S

    def load(self) -> None:
        """Add the saved upstreams to the roster; log and ignore an unreadable file."""
        try:
            data = self._get_folder().read(FILE_NAME)
            entries = codec.decode_msgpack(data, _Entries) if data else ()
        except (exceptions.StorageError, exceptions.InvalidRequestError) as error:
            log.warning("roster_not_recalled", error=error.detail)
            return
        now = self._clock.monotonic()
        for entry in entries:
            self._roster.restore_entry(entry, now)
        log.info("roster_recalled", upstreams=len(entries))

    def save(self) -> None:
        """Save the roster if the set of ready upstreams changed since the last save."""
        now = self._clock.monotonic()
        if now < self._next_save_at:
            return
        entries = self._roster.ready_entries(now)
        identities = frozenset(_identity_of(entry) for entry in entries)
        if identities == self._saved_identities:
            return
        self._next_save_at = now + SAVE_PERIOD_S
        try:
            self._get_folder().replace(FILE_NAME, codec.encode_msgpack(entries))
        except exceptions.StorageError as error:
            self._next_save_at = now + FAILURE_DELAY_S
            log.warning("roster_not_kept", path=error.path, error=error.detail)
            return
        self._saved_identities = identities

    def _get_folder(self) -> folder.Folder:
        # Opened on first use: creating the folder fails on a full disk, and a control
        # host must start nevertheless.
        if self._opened_folder is None:
            self._opened_folder = self._open_folder()
        return self._opened_folder


def _identity_of(entry: watching.UpstreamEntry) -> tuple:
    return entry.id, entry.incarnation, entry.address, entry.service
