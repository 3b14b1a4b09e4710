"""Refusing queries early under overload, those over their share first.

A query that would only wait until its deadline costs its caller that time and
everybody else the work on it. It is refused at its arrival instead, before
anything was sent, so that ``ran: no`` is true.
"""

from greengagehaven import exceptions
from greengagehaven.coordination import events, options, usage, wait_times
from greengagehaven.state import document

OVER_SHARE_PATIENCE = 0.25
"""Part of the time left that a query over its share may spend waiting."""

OVER_SHARE_ROOM = 0.5
"""Part of the waiting room that is open to queries over their share."""

_MAX_SERVICES_CHECKED = 64
_OVERLOAD_RETRY_AFTER_S = 1.0


class Shedding:
    """Decides whether a query may join those that wait.

    :param ledger: knows who is over its share.
    :param waits: how long sub-requests wait.
    :param options: switches and bounds.
    """

    def __init__(
        self,
        *,
        ledger: usage.UsageLedger,
        waits: wait_times.WaitTimes,
        options: options.Options,
    ) -> None:
        self._ledger = ledger
        self._waits = waits
        self._options = options

    def check(
        self,
        submitted: events.QuerySubmitted,
        kind: document.Kind,
        *,
        waiting_count: int,
        now: float,
        deadline: float,
    ) -> None:
        """Let a query pass or refuse it; nothing of it has been sent yet.

        :param waiting_count: sub-requests that wait on this host.
        :param now: monotonic seconds.
        :param deadline: monotonic seconds.
        :raises ShareExceededError: its subscriber is over its share and its
            queries already wait too long.
        :raises OverloadedError: it would not be sent before its deadline.
        """
        room = self._options.max_waiting
        if waiting_count >= room:
            raise exceptions.OverloadedError(
                "too many sub-requests wait", retry_after=_OVERLOAD_RETRY_AFTER_S
            )
        if not self._options.fairness or waiting_count == 0:
            return
        wait = self._expected_wait(submitted, kind, now)
        time_left = deadline - now
        crowded = waiting_count >= OVER_SHARE_ROOM * room
        if crowded or wait >= OVER_SHARE_PATIENCE * time_left:
            self._refuse_over_share(submitted.subscriber_id)
        if wait >= time_left:
            raise exceptions.OverloadedError(
                f"sub-requests wait {wait:.3f} s, the deadline is in {time_left:.3f} s",
                retry_after=_OVERLOAD_RETRY_AFTER_S,
            )

    def _expected_wait(
        self, submitted: events.QuerySubmitted, kind: document.Kind, now: float
    ) -> float:
        return max(
            self._waits.expected(
                wait_times.Lane(submitted.subscriber_id, service, kind.standing), now
            )
            for service in submitted.services[:_MAX_SERVICES_CHECKED]
        )

    def _refuse_over_share(self, subscriber_id: str) -> None:
        if not self._ledger.is_over_share(subscriber_id):
            return
        self._ledger.note_held(subscriber_id)
        raise exceptions.ShareExceededError(
            "other subscribers need the upstreams; yours are above their share",
            retry_after=round(self._ledger.seconds_until_fair(subscriber_id), 3),
        )
