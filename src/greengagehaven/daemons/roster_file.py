"""Keeps the roster of a control host on its disk, for after a loss of power.

Upstreams announce themselves about once a second. Where all hosts start anew, they
would refuse requests until each shard has announced itself. What the file holds is
only a hint, so it is written seldom, and a failure to write costs nothing else.
"""

import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.protocol import codec, watching
from greengagehaven.state import folder, roster

FILE_NAME = "upstreams"
SAVE_PERIOD_S = 2.0
FAILURE_PAUSE_S = 10.0

_Entries = tuple[watching.UpstreamEntry, ...]


class Keeper(typing.Protocol):
    """What is asked now and then to keep a roster."""

    def keep(self) -> None:
        """Keep the roster where it changed."""


class NoKeeper:
    """Keeps nothing."""

    def keep(self) -> None:
        """Do nothing."""


class RosterFile:
    """The file that a roster is kept in.

    :param held: the roster.
    :param open_disk: opens the folder of the file, which is its own.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        held: roster.Roster,
        open_disk: abc.Callable[[], folder.Folder],
        clock: clocks.Clock,
    ) -> None:
        self._roster = held
        self._open_disk = open_disk
        self._disk: folder.Folder | None = None
        self._clock = clock
        self._kept: frozenset[tuple] = frozenset()
        self._keep_after = clock.monotonic() + SAVE_PERIOD_S

    def load(self) -> None:
        """Recall what the file holds; one that cannot be read is no roster."""
        try:
            data = self._folder().read(FILE_NAME)
            entries = codec.decode_msgpack(data, _Entries) if data else ()
        except (exceptions.StorageError, exceptions.InvalidRequestError) as error:
            log.warning("roster_not_recalled", error=error.detail)
            return
        now = self._clock.monotonic()
        for entry in entries:
            self._roster.recall(entry, now)
        log.info("roster_recalled", upstreams=len(entries))

    def keep(self) -> None:
        """Write the roster where other upstreams are ready than at the last time."""
        now = self._clock.monotonic()
        if now < self._keep_after:
            return
        entries = self._roster.ready(now)
        wanted = frozenset(_identity_of(entry) for entry in entries)
        if wanted == self._kept:
            return
        self._keep_after = now + SAVE_PERIOD_S
        try:
            self._folder().replace(FILE_NAME, codec.encode_msgpack(entries))
        except exceptions.StorageError as error:
            self._keep_after = now + FAILURE_PAUSE_S
            log.warning("roster_not_kept", path=error.path, error=error.detail)
            return
        self._kept = wanted

    def _folder(self) -> folder.Folder:
        # A disk that is full refuses a new folder too; a control host must start
        # all the same.
        if self._disk is None:
            self._disk = self._open_disk()
        return self._disk


def _identity_of(entry: watching.UpstreamEntry) -> tuple:
    return entry.id, entry.incarnation, entry.address, entry.service
