"""Crashes that entry hosts reported lately, as a control host hands them on."""

import collections

from greengagehaven.protocol import watching

KEPT_S = 60.0
MAX_KEPT = 2000


class CrashLog:
    """Crashes in the order in which this host heard of them."""

    def __init__(self) -> None:
        self.version = 0
        self._kept: collections.deque[tuple[int, float, watching.Crash]] = (
            collections.deque(maxlen=MAX_KEPT)
        )

    def add(self, crash: watching.Crash, now: float) -> None:
        """Note a crash."""
        while self._kept and now - self._kept[0][1] > KEPT_S:
            self._kept.popleft()
        self.version += 1
        self._kept.append((self.version, now, crash))

    def since(self, version: int) -> tuple[watching.Crash, ...]:
        """Return the crashes that were noted after a version."""
        return tuple(crash for number, _, crash in self._kept if number > version)
