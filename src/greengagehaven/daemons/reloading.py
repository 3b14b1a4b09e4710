"""Takes what changed in a settings file while a process runs."""

import asyncio
import contextlib
import signal
import typing
from collections import abc

from greengagehaven import exceptions, log

PERIOD_S = 1.0


class Settings(typing.Protocol):
    """What may change while a process runs."""

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """Return peer addresses of control hosts to begin with."""


class Reloadable(typing.Protocol):
    """A daemon whose settings may change."""

    has_refused_settings: bool

    def set_seeds(self, addresses: abc.Iterable[str]) -> None:
        """Take other control hosts to begin with."""


class Reloader:
    """Reads the settings again, on SIGHUP and each second.

    A file that is wrong leaves the old settings in force. That is logged once for each
    mistake, and the daemon's metrics tell it for as long as it lasts.

    :param daemon: takes what changed.
    :param load: reads the settings.
    :param settings: that are in force.
    """

    def __init__(
        self,
        *,
        daemon: Reloadable,
        load: abc.Callable[[], Settings],
        settings: Settings,
    ) -> None:
        self._daemon = daemon
        self._load = load
        self._addresses = settings.control_addresses
        self._refused = ""

    async def run(self) -> None:
        """Reload until cancelled; the file may change with or without a signal."""
        changed = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, changed.set)
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PERIOD_S):
                    await changed.wait()
            changed.clear()
            self.reload()

    def reload(self) -> None:
        """Read the settings once and take what changed."""
        try:
            fresh = self._load()
        except exceptions.SettingError as error:
            self._refuse(error)
            return
        self._refused = ""
        self._daemon.has_refused_settings = False
        if fresh.control_addresses != self._addresses:
            self._addresses = fresh.control_addresses
            log.info("reloaded", seeds=",".join(self._addresses))
            self._daemon.set_seeds(self._addresses)

    def _refuse(self, error: exceptions.SettingError) -> None:
        self._daemon.has_refused_settings = True
        if error.detail != self._refused:
            self._refused = error.detail
            log.warning("reload_failed", place=error.place, error=error.detail)
