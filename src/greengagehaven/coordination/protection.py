"""What protects upstreams and subscribers, in numbers."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Protection:
    """Counts for operators.

    :param waiting: sub-requests that wait for room, ``parked`` ones included.
    :param parked: sub-requests of suspected queries that are held.
    :param suspects: queries that were in flight when an upstream was lost.
    :param quarantined: queries that are refused, or on trial after it.
    :param over_share: subscribers over their share.
    :param claims_waiting: requests that wait for their idempotency key.
    :param claims_unconfirmed: outcomes that a recorder has not confirmed.
    """

    waiting: int
    parked: int
    suspects: int
    quarantined: int
    over_share: int
    claims_waiting: int
    claims_unconfirmed: int
