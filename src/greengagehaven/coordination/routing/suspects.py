"""Requests that crash the upstreams that run them.

Such a request comes again, at any host. An upstream that it crashes closes its
connections without a byte of reply and no longer listens; a loss where it goes on
listening is an ordinary one. A request that crashed two upstreams of one service
is refused everywhere for a while: with one, an unrelated crash at the same moment
would convict it; with three, a service of three upstreams would be gone.
"""

import collections
import dataclasses

from greengagehaven import clock as clocks
from greengagehaven.protocol import watching

CONVICTING_UPSTREAMS = 2
MEMORY_S = 30.0
CONVICTION_S = 60.0
PENDING_S = 1.0
MAX_SUSPECTS = 10_000


@dataclasses.dataclass(kw_only=True, slots=True)
class _Suspect:
    """What is known of one fingerprint.

    :param crashed_by_service: incarnations of upstreams that it crashed.
    :param pending_until: a loss is being looked into until then.
    """

    seen_at: float
    crashed_by_service: dict[str, set[tuple[str, int]]]
    pending_until: float = 0.0
    convicted_until: float = 0.0


class Suspects:
    """Fingerprints of requests that upstreams crashed on.

    :param clock: monotonic time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._suspects_by_fingerprint: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )

    @property
    def count(self) -> int:
        """Return how many fingerprints are remembered."""
        return len(self._suspects_by_fingerprint)

    def is_convicted(self, fingerprint: str) -> bool:
        """Tell whether requests of a fingerprint are refused now."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return suspect is not None and (
            self._clock.monotonic() < suspect.convicted_until
        )

    def is_pending(self, fingerprint: str) -> bool:
        """Tell whether a loss of a fingerprint is being looked into."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return suspect is not None and (self._clock.monotonic() < suspect.pending_until)

    def note_loss(self, fingerprint: str) -> None:
        """Note that a connection ended without a byte of reply."""
        suspect = self._of(fingerprint)
        suspect.pending_until = self._clock.monotonic() + PENDING_S

    def note_listening(self, fingerprint: str) -> None:
        """Note that the upstream of a loss goes on listening."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return
        suspect.pending_until = 0.0
        if not suspect.crashed_by_service:
            del self._suspects_by_fingerprint[fingerprint]

    def take_crash(self, crash: watching.Crash) -> bool:
        """Note a crash, seen here or by another host; return whether it convicts."""
        now = self._clock.monotonic()
        suspect = self._of(crash.fingerprint)
        suspect.pending_until = 0.0
        crashed = suspect.crashed_by_service.setdefault(crash.service, set())
        crashed.add((crash.upstream_id, crash.incarnation))
        if len(crashed) < CONVICTING_UPSTREAMS or now < suspect.convicted_until:
            return False
        suspect.convicted_until = now + CONVICTION_S
        return True

    def _of(self, fingerprint: str) -> _Suspect:
        now = self._clock.monotonic()
        self._forget_old(now)
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            suspect = _Suspect(seen_at=now, crashed_by_service={})
            self._suspects_by_fingerprint[fingerprint] = suspect
        suspect.seen_at = now
        self._suspects_by_fingerprint.move_to_end(fingerprint)
        return suspect

    def _forget_old(self, now: float) -> None:
        while self._suspects_by_fingerprint:
            fingerprint, suspect = next(iter(self._suspects_by_fingerprint.items()))
            kept_until = max(suspect.seen_at + MEMORY_S, suspect.convicted_until)
            is_room = len(self._suspects_by_fingerprint) < MAX_SUSPECTS
            if now < kept_until and is_room:
                return
            del self._suspects_by_fingerprint[fingerprint]
