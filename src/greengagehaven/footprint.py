"""Keeps what a process does not use out of its memory."""

import sys


def leave_out(name: str) -> None:
    """Let every later import of a module fail as where Python lacks it.

    asyncio loads ``ssl``, and OpenSSL with it, where it can, and does without
    where it cannot. To be called before either is imported, and only by a program
    that is alone in its process.

    :param name: of the module.
    """
    if name not in sys.modules:
        sys.modules[name] = None  # type: ignore[assignment]
