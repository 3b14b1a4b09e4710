"""Reloads a settings file while the process runs."""

import asyncio
import contextlib
import signal
import typing
from collections import abc

from greengagehaven import exceptions, log

PERIOD_S = 1.0


class Settings(typing.Protocol):
    """Settings that can change while a process runs."""

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of control hosts to start from."""


class Reloadable(typing.Protocol):
    """A daemon whose settings can change."""

    has_refused_settings: bool

    def set_control_addresses(self, addresses: abc.Iterable[str]) -> None:
        """Watch these control hosts as well."""


class Reloader:
    """Reloads the settings on SIGHUP and every second.

    An invalid file leaves the previous settings in force. Each error is logged once,
    and a metric of the daemon shows it for as long as the file is invalid.

    :param daemon: receives changed settings.
    :param load: reads the settings file.
    :param settings: settings in force.
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
        self._last_error = ""

    async def run(self) -> None:
        """Reload until cancelled, as the file may change without a signal."""
        changed = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, changed.set)
        try:
            while True:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(PERIOD_S):
                        await changed.wait()
                changed.clear()
                self.reload()
        finally:
            # By default, a late signal would end a process that is about to exit.
            loop.remove_signal_handler(signal.SIGHUP)
            signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def reload(self) -> None:
        """Read the settings once and apply the changes."""
        try:
            loaded = self._load()
        except exceptions.SettingError as error:
            self._reject(error)
            return
        self._last_error = ""
        self._daemon.has_refused_settings = False
        if loaded.control_addresses != self._addresses:
            log.info("reloaded", seeds=",".join(loaded.control_addresses))
            self._daemon.set_control_addresses(loaded.control_addresses)
            self._addresses = loaded.control_addresses

    def _reject(self, error: exceptions.SettingError) -> None:
        self._daemon.has_refused_settings = True
        if error.detail != self._last_error:
            self._last_error = error.detail
            log.warning("reload_failed", place=error.place, error=error.detail)
