"""Recent upstream crashes, reported by entry hosts and served by control hosts."""

import collections

from greengagehaven.protocol import watching

RETENTION_S = 60.0
MAX_CRASHES = 2000


class CrashLog:
    """Crashes in the order in which this host received them."""

    def __init__(self) -> None:
        self.version = 0
        self._entries: collections.deque[tuple[int, float, watching.Crash]] = (
            collections.deque(maxlen=MAX_CRASHES)
        )

    def add(self, crash: watching.Crash, now: float) -> None:
        """Append a crash and drop expired ones."""
        while self._entries and now - self._entries[0][1] > RETENTION_S:
            self._entries.popleft()
        self.version += 1
        self._entries.append((self.version, now, crash))

    def crashes_since(self, version: int) -> tuple[watching.Crash, ...]:
        """Return the crashes that were added after a version."""
        return tuple(crash for number, _, crash in self._entries if number > version)
