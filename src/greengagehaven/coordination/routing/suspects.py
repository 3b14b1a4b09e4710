"""Tracks which request fingerprints crash the upstreams that run them.

Callers repeat such a request, at any host. An upstream that it crashes closes its
connections without a byte of reply and no longer listens; a loss after which the
upstream still listens is an ordinary one. A request that crashed two upstreams of one
service is quarantined, i.e. refused by every host for a while. A limit of one would
quarantine requests for unrelated crashes at the same moment; a limit of three would let
a request take down a service of three upstreams.

A network partition whose far side refuses connections looks like a crash of all
upstreams there. So a request is quarantined only if it was lost at no less than half of
the upstreams that crashed within the last seconds: a request that causes the crashes
was lost at all of them.
"""

import collections
import dataclasses

from greengagehaven import clock as clocks
from greengagehaven.protocol import watching

MIN_CRASHED_UPSTREAMS = 2
"""Crashed upstreams of one service from which a request is quarantined."""

MEMORY_S = 30.0
"""Seconds after its last loss or crash that a fingerprint is remembered."""

QUARANTINE_S = 60.0
"""Seconds that requests of a fingerprint are refused."""

PENDING_S = 1.0
"""Seconds after which a loss counts as investigated even without a result."""

CORRELATION_WINDOW_S = 2.0
"""Seconds within which crashes may have one cause."""

MIN_EXPLAINED_SHARE = 0.5
"""Share of the correlated crashes at which the request must have been lost."""

MAX_SUSPECTS = 10_000
"""Fingerprints that are remembered."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Suspect:
    """The losses and crashes of one fingerprint.

    :param crashed_by_service: (id, incarnation) of the upstreams that crashed on it.
    :param pending_until: end of the investigation of a loss, monotonic seconds.
    :param quarantined_at: when it last reached the limit of crashed upstreams.
    :param unexplained: upstreams that crashed around that time without running it.
    """

    seen_at: float
    crashed_by_service: dict[str, set[tuple[str, int]]]
    pending_until: float = 0.0
    quarantined_at: float = 0.0
    quarantined_until: float = 0.0
    unexplained: set[tuple[str, int]] = dataclasses.field(default_factory=set)

    @property
    def crashed(self) -> set[tuple[str, int]]:
        """Return the upstreams of all services that crashed on it."""
        return set().union(*self.crashed_by_service.values())

    @property
    def explains_crashes(self) -> bool:
        """Return whether enough of the crashed upstreams were running it."""
        own, others = len(self.crashed), len(self.unexplained)
        return own >= MIN_EXPLAINED_SHARE * (own + others)

    def is_decided(self, now: float) -> bool:
        """Return whether a further crash leaves the decision as it is.

        A fingerprint that was released because many other upstreams crashed at the
        same time is decided again if it is involved in a later crash.
        """
        is_recent = now - self.quarantined_at < CORRELATION_WINDOW_S
        return now < self.quarantined_until and (self.explains_crashes or is_recent)


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

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether requests with a fingerprint are refused now."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return (
            suspect is not None
            and self._clock.monotonic() < suspect.quarantined_until
            and suspect.explains_crashes
        )

    def is_pending(self, fingerprint: str) -> bool:
        """Return whether a loss of a fingerprint is under investigation."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return suspect is not None and (self._clock.monotonic() < suspect.pending_until)

    def record_loss(self, fingerprint: str) -> None:
        """Record a connection that ended without a byte of reply."""
        suspect = self._suspect(fingerprint)
        suspect.pending_until = self._clock.monotonic() + PENDING_S

    def record_no_crash(self, fingerprint: str) -> None:
        """Record that the upstream of a lost attempt was not found to have crashed."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return
        suspect.pending_until = 0.0
        if not suspect.crashed_by_service:
            del self._suspects_by_fingerprint[fingerprint]

    def record_crash(self, crash: watching.Crash) -> bool:
        """Record a crash seen here or by another host.

        Return whether the request becomes quarantined by it.
        """
        now = self._clock.monotonic()
        suspect = self._suspect(crash.fingerprint)
        suspect.pending_until = 0.0
        upstream = (crash.upstream_id, crash.incarnation)
        crashed = suspect.crashed_by_service.setdefault(crash.service, set())
        crashed.add(upstream)
        self._correlate(upstream, now)
        if len(crashed) < MIN_CRASHED_UPSTREAMS or suspect.is_decided(now):
            return False
        suspect.quarantined_at = now
        suspect.quarantined_until = now + QUARANTINE_S
        suspect.unexplained = set(self._crashed_at_by_upstream) - suspect.crashed
        return suspect.explains_crashes

    def _correlate(self, upstream: tuple[str, int], now: float) -> None:
        """Add a crash to the recent ones, and to those that suspects don't explain."""
        self._crashed_at_by_upstream[upstream] = now
        self._crashed_at_by_upstream = {
            crashed: moment
            for crashed, moment in self._crashed_at_by_upstream.items()
            if now - moment < CORRELATION_WINDOW_S
        }
        for suspect in reversed(self._suspects_by_fingerprint.values()):
            if now - suspect.seen_at >= CORRELATION_WINDOW_S:
                break
            if now - suspect.quarantined_at < CORRELATION_WINDOW_S:
                suspect.unexplained = (
                    suspect.unexplained | {upstream}
                ) - suspect.crashed

    def _suspect(self, fingerprint: str) -> _Suspect:
        """Return the record of a fingerprint, added if there is none."""
        now = self._clock.monotonic()
        self._evict(now)
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            suspect = _Suspect(seen_at=now, crashed_by_service={})
            self._suspects_by_fingerprint[fingerprint] = suspect
        suspect.seen_at = now
        self._suspects_by_fingerprint.move_to_end(fingerprint)
        return suspect

    def _evict(self, now: float) -> None:
        """Drop expired fingerprints, and the oldest ones while there are too many."""
        while self._suspects_by_fingerprint:
            fingerprint, suspect = next(iter(self._suspects_by_fingerprint.items()))
            kept_until = max(suspect.seen_at + MEMORY_S, suspect.quarantined_until)
            is_below_limit = len(self._suspects_by_fingerprint) < MAX_SUSPECTS
            if now < kept_until and is_below_limit:
                return
            del self._suspects_by_fingerprint[fingerprint]
