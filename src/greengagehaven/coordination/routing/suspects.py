"""Requests that crash the upstreams that run them.

Such a request comes again, at any host. An upstream that it crashes closes its
connections without a byte of reply and no longer listens; a loss where it goes on
listening is an ordinary one. A request that crashed two upstreams of one service
is refused everywhere for a while: with one, an unrelated crash at the same moment
would convict it; with three, a service of three upstreams would be gone.

A cut whose far side refuses connections looks like a crash of all upstreams there.
So a request is convicted only where it was lost at half or more of the upstreams
that crashed within the last seconds: one that crashes them was lost at all.
"""

import collections
import dataclasses

from greengagehaven import clock as clocks
from greengagehaven.protocol import watching

CONVICTING_UPSTREAMS = 2
MEMORY_S = 30.0
CONVICTION_S = 60.0
PENDING_S = 1.0
TOGETHER_S = 2.0
LEAST_SHARE = 0.5
MAX_SUSPECTS = 10_000


@dataclasses.dataclass(kw_only=True, slots=True)
class _Suspect:
    """What is known of one fingerprint.

    :param crashed_by_service: incarnations of upstreams that it crashed.
    :param pending_until: a loss is being looked into until then.
    :param convicted_at: when it had crashed enough of them.
    :param unexplained: upstreams that crashed at that time without it.
    """

    seen_at: float
    crashed_by_service: dict[str, set[tuple[str, int]]]
    pending_until: float = 0.0
    convicted_at: float = 0.0
    convicted_until: float = 0.0
    unexplained: set[tuple[str, int]] = dataclasses.field(default_factory=set)

    @property
    def crashed(self) -> set[tuple[str, int]]:
        """Return incarnations of all upstreams that it crashed."""
        return set().union(*self.crashed_by_service.values())

    @property
    def explains_crashes(self) -> bool:
        """Tell whether it was lost at enough of the upstreams that crashed."""
        own, others = len(self.crashed), len(self.unexplained)
        return own >= LEAST_SHARE * (own + others)

    def is_judged(self, now: float) -> bool:
        """Tell whether a further crash changes nothing.

        One that was let off, since many upstreams crashed beside it, is judged
        anew when it is there at another crash afterwards.
        """
        is_fresh = now - self.convicted_at < TOGETHER_S
        return now < self.convicted_until and (self.explains_crashes or is_fresh)


class Suspects:
    """Fingerprints of requests that upstreams crashed on.

    :param clock: monotonic time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._crashed_at_by_upstream: dict[tuple[str, int], float] = {}
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
        return (
            suspect is not None
            and self._clock.monotonic() < suspect.convicted_until
            and suspect.explains_crashes
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
        upstream = (crash.upstream_id, crash.incarnation)
        crashed = suspect.crashed_by_service.setdefault(crash.service, set())
        crashed.add(upstream)
        self._note_crashed(upstream, now)
        if len(crashed) < CONVICTING_UPSTREAMS or suspect.is_judged(now):
            return False
        suspect.convicted_at = now
        suspect.convicted_until = now + CONVICTION_S
        suspect.unexplained = set(self._crashed_at_by_upstream) - suspect.crashed
        return suspect.explains_crashes

    def _note_crashed(self, upstream: tuple[str, int], now: float) -> None:
        """Take in that an upstream crashed, whatever it ran."""
        self._crashed_at_by_upstream[upstream] = now
        self._crashed_at_by_upstream = {
            known: moment
            for known, moment in self._crashed_at_by_upstream.items()
            if now - moment < TOGETHER_S
        }
        for suspect in reversed(self._suspects_by_fingerprint.values()):
            if now - suspect.seen_at >= TOGETHER_S:
                break
            if now - suspect.convicted_at < TOGETHER_S:
                suspect.unexplained = (
                    suspect.unexplained | {upstream}
                ) - suspect.crashed

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
