"""Quarantine decisions for the query path.

Sub-requests of suspected queries are parked here rather than queued, where they would
block others, until they may be sent.
"""

import math

from greengagehaven import exceptions
from greengagehaven.coordination import quarantine, query
from greengagehaven.protocol import upstream

ParkedKey = tuple[str, upstream.ShardRef]


class Isolation:
    """Isolates suspected queries and rejects convicted ones.

    :param quarantine: suspicions and bans.
    :param enabled: if false, nothing is held or rejected.
    """

    def __init__(self, *, quarantine: quarantine.Quarantine, enabled: bool) -> None:
        self._quarantine = quarantine
        self._enabled = enabled
        self._request_ids_by_fingerprint: dict[str, set[str]] = {}
        self._parked_by_fingerprint: dict[str, dict[ParkedKey, None]] = {}

    @property
    def parked_count(self) -> int:
        """Return the number of parked sub-requests."""
        return sum(len(parked) for parked in self._parked_by_fingerprint.values())

    def check(self, fingerprint: str) -> None:
        """Reject a quarantined query.

        :raises QuarantinedError: the query is quarantined; nothing of it was sent.
        """
        if not self._enabled:
            return
        error = self._quarantine.refuse(fingerprint)
        if error is not None:
            raise error

    def register(self, running: query.Query) -> None:
        """Register a query that was admitted."""
        if self._enabled:
            ids = self._request_ids_by_fingerprint.setdefault(
                running.fingerprint, set()
            )
            ids.add(running.request_id)

    def unregister(self, running: query.Query) -> None:
        """Remove a finished query and its parked sub-requests."""
        ids = self._request_ids_by_fingerprint.get(running.fingerprint)
        if ids is None:
            return
        ids.discard(running.request_id)
        if not ids:
            del self._request_ids_by_fingerprint[running.fingerprint]
        parked = self._parked_by_fingerprint.get(running.fingerprint, {})
        for key in [each for each in parked if each[0] == running.request_id]:
            del parked[key]
        if not parked:
            self._parked_by_fingerprint.pop(running.fingerprint, None)

    def request_ids(self, fingerprint: str) -> list[str]:
        """Return the ids of the queries in progress with a fingerprint."""
        return sorted(self._request_ids_by_fingerprint.get(fingerprint, ()))

    def admit_or_park(self, running: query.Query, shard_ref: upstream.ShardRef) -> bool:
        """Return whether a sub-request may be sent now; park it otherwise."""
        if not self._is_under_suspicion(running.fingerprint):
            return True
        if self._quarantine.held_until(running.fingerprint) is None:
            return True
        self.park(running, shard_ref)
        return False

    def park(self, running: query.Query, shard_ref: upstream.ShardRef) -> None:
        """Hold a sub-request until the suspicion changes."""
        parked = self._parked_by_fingerprint.setdefault(running.fingerprint, {})
        parked[(running.request_id, shard_ref)] = None

    def is_suspect(self, running: query.Query) -> bool:
        """Return whether a query is suspected; suspected queries are not hedged."""
        return self._is_under_suspicion(running.fingerprint)

    def upstreams_to_avoid(self, running: query.Query) -> frozenset[str]:
        """Return the ids of upstreams that a query must not be sent to."""
        if not self._is_under_suspicion(running.fingerprint):
            return frozenset()
        return self._quarantine.upstreams_to_avoid(running.fingerprint)

    def record_sent(self, running: query.Query, attempt: int, upstream_id: str) -> None:
        """Record that a sub-request was sent."""
        if self._is_under_suspicion(running.fingerprint):
            self._quarantine.record_sent(
                running.fingerprint, (running.request_id, attempt), upstream_id
            )

    def record_outcome(
        self,
        fingerprint: str,
        outcome: upstream.Outcome,
        *,
        incarnation: int,
        shard_ref: upstream.ShardRef,
    ) -> bool:
        """Record the outcome of a sub-request; return whether it convicts the query."""
        if not self._enabled:
            return False
        attempt = (outcome.request_id, outcome.attempt)
        if isinstance(outcome, upstream.Replied):
            self._quarantine.record_reply(fingerprint, shard_ref)
        convicted = False
        if isinstance(outcome, upstream.Failed) and _is_loss(outcome):
            convicted = self._quarantine.record_loss(
                fingerprint,
                attempt,
                upstream_id=outcome.upstream_id,
                incarnation=incarnation,
                shard_ref=shard_ref,
            )
        self._quarantine.record_ended(fingerprint, attempt)
        return convicted

    def take_released(self) -> list[ParkedKey]:
        """Remove and return the parked sub-requests that may now be sent, in order."""
        released: list[ParkedKey] = []
        for fingerprint in list(self._parked_by_fingerprint):
            if self._quarantine.held_until(fingerprint) is None:
                released.extend(self._parked_by_fingerprint.pop(fingerprint))
        return released

    def next_hold_end(self) -> float | None:
        """Return when the next timed hold ends (monotonic), ``None`` if none does."""
        hold_ends = (
            self._quarantine.held_until(fingerprint) or math.inf
            for fingerprint in self._parked_by_fingerprint
        )
        earliest = min(hold_ends, default=math.inf)
        return None if earliest == math.inf else earliest

    def conviction_error(self, running: query.Query) -> exceptions.RequestError | None:
        """Return the error for a query in progress that was convicted."""
        return self._quarantine.ban_error(running.fingerprint, ran=running.ran)

    def _is_under_suspicion(self, fingerprint: str) -> bool:
        return self._enabled and self._quarantine.is_suspect(fingerprint)


def _is_loss(failed: upstream.Failed) -> bool:
    return failed.reason is upstream.FailureReason.RESET and not failed.not_run
