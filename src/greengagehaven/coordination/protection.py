"""Counts of requests that are queued, held or rejected to protect upstreams."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProtectionCounts:
    """Overload protection and quarantine counts, exported as metrics.

    :param waiting: sub-requests that wait for upstream capacity, ``parked`` ones
        included.
    :param parked: sub-requests of suspected queries that are held.
    :param suspects: queries that were in flight when an upstream was lost.
    :param quarantined: queries that are rejected, or on trial after a ban.
    :param over_share: subscribers over their share.
    :param claims_waiting: requests that wait for their idempotency key.
    :param claims_unconfirmed: requests to recorders that are not confirmed yet.
    """

    waiting: int
    parked: int
    suspects: int
    quarantined: int
    over_share: int
    claims_waiting: int
    claims_unconfirmed: int
