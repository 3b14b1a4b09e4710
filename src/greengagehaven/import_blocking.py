"""Reduces memory use by blocking imports that a process doesn't need."""

import sys


def block_import(name: str) -> None:
    """Make later imports of a module fail as if it were not installed.

    asyncio imports ``ssl``, and with it OpenSSL, if available, and works without
    it otherwise. Call this before either is imported, and only from a program that
    owns its process.

    :param name: name of the module.
    """
    if name not in sys.modules:
        sys.modules[name] = None  # type: ignore[assignment]


def allow_import(name: str) -> None:
    """Let a module be imported again, also if its import was not blocked.

    Modules that were imported meanwhile go on working without it.

    :param name: name of the module.
    """
    if name in sys.modules and sys.modules[name] is None:
        del sys.modules[name]
