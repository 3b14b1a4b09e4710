"""Where the query path and the quarantine meet.

Suspected requests do not wait in the queue, where they would stand before
others; they are parked here until they may go.
"""

import math

from greengagehaven import exceptions
from greengagehaven.coordination import quarantine, query
from greengagehaven.protocol import upstream

Parked = tuple[str, upstream.ShardRef]


class Isolation:
    """Keeps suspected requests apart and convicted ones out.

    :param cases: suspicions and bans.
    :param enabled: off, nothing is held or refused.
    """

    def __init__(self, *, cases: quarantine.Quarantine, enabled: bool) -> None:
        self._cases = cases
        self._enabled = enabled
        self._request_ids_by_fingerprint: dict[str, set[str]] = {}
        self._parked_by_fingerprint: dict[str, dict[Parked, None]] = {}

    @property
    def parked_count(self) -> int:
        """Return how many sub-requests are parked."""
        return sum(len(parked) for parked in self._parked_by_fingerprint.values())

    def check(self, fingerprint: str) -> None:
        """Refuse what is quarantined.

        :raises QuarantinedError: it is; nothing of it was sent.
        """
        if not self._enabled:
            return
        error = self._cases.ban_error(fingerprint)
        if error is not None:
            raise error

    def begin(self, running: query.Query) -> None:
        """Count a query that was admitted."""
        if self._enabled:
            ids = self._request_ids_by_fingerprint.setdefault(
                running.fingerprint, set()
            )
            ids.add(running.request_id)

    def end(self, running: query.Query) -> None:
        """Forget a query that is over, and what is parked of it."""
        ids = self._request_ids_by_fingerprint.get(running.fingerprint)
        if ids is None:
            return
        ids.discard(running.request_id)
        if not ids:
            del self._request_ids_by_fingerprint[running.fingerprint]
        parked = self._parked_by_fingerprint.get(running.fingerprint, {})
        for key in [known for known in parked if known[0] == running.request_id]:
            del parked[key]
        if not parked:
            self._parked_by_fingerprint.pop(running.fingerprint, None)

    def request_ids(self, fingerprint: str) -> list[str]:
        """Return the queries in progress under a fingerprint."""
        return sorted(self._request_ids_by_fingerprint.get(fingerprint, ()))

    def may_go(self, running: query.Query, shard_ref: upstream.ShardRef) -> bool:
        """Tell whether a sub-request may be sent now; park it if not."""
        if not self._is_watched(running.fingerprint):
            return True
        if self._cases.held_until(running.fingerprint) is None:
            return True
        self.park(running, shard_ref)
        return False

    def park(self, running: query.Query, shard_ref: upstream.ShardRef) -> None:
        """Set a sub-request aside until suspicions change."""
        parked = self._parked_by_fingerprint.setdefault(running.fingerprint, {})
        parked[(running.request_id, shard_ref)] = None

    def is_suspect(self, running: query.Query) -> bool:
        """Tell whether a query is suspected: it is not hedged then."""
        return self._is_watched(running.fingerprint)

    def crowded(self, running: query.Query) -> frozenset[str]:
        """Return upstreams that a query must keep off."""
        if not self._is_watched(running.fingerprint):
            return frozenset()
        return self._cases.crowded(running.fingerprint)

    def note_sent(self, running: query.Query, attempt: int, upstream_id: str) -> None:
        """Count a sub-request that was sent."""
        if self._is_watched(running.fingerprint):
            self._cases.note_sent(
                running.fingerprint, (running.request_id, attempt), upstream_id
            )

    def note_outcome(
        self,
        fingerprint: str,
        outcome: upstream.Outcome,
        *,
        incarnation: int,
        shard_ref: upstream.ShardRef,
    ) -> bool:
        """Learn from the end of a sub-request; return whether it convicts."""
        if not self._enabled:
            return False
        attempt = (outcome.request_id, outcome.attempt)
        if isinstance(outcome, upstream.Replied):
            self._cases.note_reply(fingerprint, shard_ref)
        convicted = False
        if isinstance(outcome, upstream.Failed) and _is_loss(outcome):
            convicted = self._cases.note_loss(
                fingerprint,
                attempt,
                upstream_id=outcome.upstream_id,
                incarnation=incarnation,
                shard_ref=shard_ref,
            )
        self._cases.note_ended(fingerprint, attempt)
        return convicted

    def take_released(self) -> list[Parked]:
        """Take out what is parked and may go by now, in the order it came."""
        released: list[Parked] = []
        for fingerprint in list(self._parked_by_fingerprint):
            if self._cases.held_until(fingerprint) is None:
                released.extend(self._parked_by_fingerprint.pop(fingerprint))
        return released

    def next_release(self) -> float | None:
        """Return when to look again, ``None`` where nothing waits for time."""
        moments = (
            self._cases.held_until(fingerprint) or math.inf
            for fingerprint in self._parked_by_fingerprint
        )
        earliest = min(moments, default=math.inf)
        return None if earliest == math.inf else earliest

    def describe(self, running: query.Query) -> exceptions.RequestError | None:
        """Return the refusal of a query in progress that was convicted."""
        return self._cases.ban_error(running.fingerprint, ran=running.ran)

    def _is_watched(self, fingerprint: str) -> bool:
        return self._enabled and self._cases.is_suspect(fingerprint)


def _is_loss(failed: upstream.Failed) -> bool:
    return failed.reason is upstream.FailureReason.RESET and not failed.not_run
