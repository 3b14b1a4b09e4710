"""Lease under which a host accepts the keys of teams.

A key that was revoked must not be accepted for longer than the operators' limit, not
even by a host that no longer hears of new documents. A host therefore accepts keys
only for a limited time after a majority of the control hosts confirmed the revision
that it has in force.
"""

import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination.routing import retry_delays
from greengagehaven.state import teams

LEASE_SHARE = 0.9
"""Share of the limit for which a lease lasts. The rest covers the time from admission
to sending, and clocks whose rates differ by less than a tenth."""

MAX_RENEWAL_PERIOD_S = 1.3
"""Seconds for which a control host may hold a call that renews a lease. Together with
the round trip this keeps renewals within 1.5 s, so that a lease of 4.5 s outlasts a
leader change of 2.5 s."""

MIN_RENEWALS_PER_LEASE = 3
"""A lease that is shorter than usual is renewed more often, so that the loss of one
reply does not end it."""

NEVER = float("-inf")

Reason = typing.Literal["admission", "attempt", "extra", "delegated"]


def confirmation_time(
    *, sent_at: float, received_at: float, held: float, staleness: float
) -> float:
    """Return a lower bound of the time at which a majority confirmed a revision.

    Only the time of sending is certain to be before the control host computed its
    staleness: a reply may have been on its way, or this host frozen, for any time.

    :param sent_at: time at which this host sent its call, in monotonic seconds.
    :param received_at: time at which it received the reply.
    :param held: seconds for which the control host held the call.
    :param staleness: upper bound of the seconds since a majority confirmed the
        revision to the control host, as of its reply.
    """
    held = min(max(0.0, held), received_at - sent_at)
    return sent_at + held - max(0.0, staleness)


class KeyLease:
    """Lease that is renewed by confirmations of the revision in force.

    :param revoke_within: seconds after its revocation from which a key must not be
        accepted.
    :param clock: monotonic time, including the time in suspension.
    """

    def __init__(self, *, revoke_within: float, clock: clocks.Clock) -> None:
        self.duration = LEASE_SHARE * revoke_within
        self.expires_at = NEVER
        self._clock = clock

    def renew(self, confirmed_at: float) -> None:
        """Extend the lease; an older confirmation has no effect.

        :param confirmed_at: lower bound of the time at which a majority confirmed the
            revision in force.
        """
        self.expires_at = max(self.expires_at, confirmed_at + self.duration)

    def is_valid(self) -> bool:
        """Return whether keys may be accepted."""
        return self._clock.monotonic() < self.expires_at

    @property
    def remaining(self) -> float:
        """Return the seconds until the lease expires, 0 without a lease."""
        return max(0.0, self.expires_at - self._clock.monotonic())


class KeyGuard:
    """Refuses requests of teams while this host has no lease, and logs its loss.

    It does nothing without a limit for revocations or while the table has no teams.

    :param revoke_within: limit for revocations in seconds, ``None`` for no limit.
    :param clock: monotonic time, including the time in suspension.
    :param retry_delays: delays after which refused callers may retry.
    :param wake_at: requests a call of ``update`` at a time.

    ``refusals`` counts requests and attempts that were not sent, by reason.
    """

    def __init__(
        self,
        *,
        revoke_within: float | None,
        clock: clocks.Clock,
        retry_delays: retry_delays.RetryDelays,
        wake_at: abc.Callable[[float], None],
    ) -> None:
        self.lease = (
            None
            if revoke_within is None
            else KeyLease(revoke_within=revoke_within, clock=clock)
        )
        self.refusals: dict[Reason, int] = {}
        self._clock = clock
        self._retry_delays = retry_delays
        self._wake_at = wake_at
        self._has_teams: bool | None = None
        self._was_valid = False
        self._is_timer_set = False

    @property
    def is_required(self) -> bool:
        """Return whether requests of teams need a lease."""
        return self.lease is not None and bool(self._has_teams)

    @property
    def is_missing(self) -> bool:
        """Return whether requests of teams are refused for lack of a lease."""
        return self.is_required and not self._is_valid()

    @property
    def renewal_period(self) -> float | None:
        """Return the seconds within which to renew, ``None`` if there is no need.

        Without a table it is not known yet whether there are teams, and the first
        reply, which brings the table, is to start the lease as well.
        """
        if self.lease is None or self._has_teams is False:
            return None
        return min(MAX_RENEWAL_PERIOD_S, self.lease.duration / MIN_RENEWALS_PER_LEASE)

    def set_teams(self, directory: teams.TeamDirectory) -> None:
        """Apply the teams of a routing table that came into force."""
        self._has_teams = len(directory) > 0
        self.update()

    def renew(self, confirmed_at: float) -> None:
        """Renew the lease by a confirmation of the revision in force."""
        if self.lease is None:
            return
        # A host that was frozen may receive a reply before its timer fires.
        self.update()
        self.lease.renew(confirmed_at)
        self.update()

    def update(self, *, is_timer: bool = False) -> None:
        """Log if the lease was lost or acquired since the last call.

        :param is_timer: whether the time passed to ``wake_at`` has come.
        """
        if is_timer:
            self._is_timer_set = False
        if self.lease is None or not self.is_required:
            self._was_valid = False
            return
        is_valid = self.lease.is_valid()
        if is_valid and not self._is_timer_set:
            self._is_timer_set = True
            self._wake_at(self.lease.expires_at)
        if is_valid is self._was_valid:
            return
        self._was_valid = is_valid
        if is_valid:
            log.info("key_lease_acquired", left_ms=round(self.lease.remaining * 1000))
            return
        late = self._clock.monotonic() - self.lease.expires_at
        log.warning(
            "key_lease_lost",
            confirmed_ms=round((late + self.lease.duration) * 1000),
            noticed_ms=round(late * 1000),
        )

    def check_admission(self) -> None:
        """Check that requests of teams may be admitted.

        :raises KeyLeaseExpiredError: this host has no lease.
        """
        if self.is_missing:
            self._count("admission")
            raise self.expired_error("no current confirmation of the keys in force")

    def may_send(self, team_id: str, reason: Reason) -> bool:
        """Return whether an attempt of a request may be sent now.

        :param team_id: team that sent the request, empty if there is none.
        :param reason: name under which a refusal is counted.
        """
        # The table may have lost its teams since this request was admitted, so only
        # the lease counts here.
        if self.lease is None or not team_id or self._is_valid():
            return True
        self._count(reason)
        return False

    def expired_error(self, detail: str) -> exceptions.KeyLeaseExpiredError:
        """Return the error for a request that was not sent for lack of a lease."""
        return exceptions.KeyLeaseExpiredError(
            detail, retry_after=self._retry_delays.out_of_reach(self._missing_for())
        )

    def _is_valid(self) -> bool:
        return self.lease is not None and self.lease.is_valid()

    def _missing_for(self) -> float | None:
        """Return the seconds since the lease expired, ``None`` without an earlier one.

        From then on the load balancer sees that this host is not ready.
        """
        if self.lease is None or self.lease.expires_at == NEVER:
            return None
        return max(0.0, self._clock.monotonic() - self.lease.expires_at)

    def _count(self, reason: Reason) -> None:
        self.refusals[reason] = self.refusals.get(reason, 0) + 1
