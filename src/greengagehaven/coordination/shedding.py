"""Load shedding on arrival, starting with subscribers over their share.

A query that would only wait until its deadline costs its caller that time and everybody
else the work on it. It is rejected on arrival instead, before anything was sent, so
that its error can state ``ran: no``.
"""

from greengagehaven import exceptions
from greengagehaven.coordination import events, options, usage, wait_times
from greengagehaven.state import document

OVER_SHARE_WAIT_RATIO = 0.25
"""Part of its remaining time that a query of a subscriber over its share may wait."""

OVER_SHARE_QUEUE_RATIO = 0.5
"""Part of the queue that is available to subscribers over their share."""

_MAX_SERVICES_CHECKED = 64
_OVERLOAD_RETRY_AFTER_S = 1.0


class LoadShedder:
    """Decides whether a query may be queued.

    :param ledger: tells which subscribers are over their share.
    :param waits: tracks how long sub-requests wait.
    :param options: switches and limits.
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
        """Raise if a query should be shed; nothing of it has been sent yet.

        :param waiting_count: number of sub-requests queued on this host.
        :param now: monotonic seconds.
        :param deadline: monotonic seconds.
        :raises ShareExceededError: its subscriber is over its share, and the expected
            wait is too long or the queue too full for it.
        :raises OverloadedError: the queue is full, or the query would not be sent
            before its deadline.
        """
        max_waiting = self._options.max_waiting
        if waiting_count >= max_waiting:
            raise exceptions.OverloadedError(
                "queue is full", retry_after=_OVERLOAD_RETRY_AFTER_S
            )
        if not self._options.fairness or waiting_count == 0:
            return
        expected_wait = self._expected_wait(submitted, kind, now)
        time_left = deadline - now
        over_share_queue_is_full = waiting_count >= OVER_SHARE_QUEUE_RATIO * max_waiting
        if (
            over_share_queue_is_full
            or expected_wait >= OVER_SHARE_WAIT_RATIO * time_left
        ):
            self._reject_if_over_share(submitted.subscriber_id)
        if expected_wait >= time_left:
            raise exceptions.OverloadedError(
                f"expected wait {expected_wait:.3f} s, deadline in {time_left:.3f} s",
                retry_after=_OVERLOAD_RETRY_AFTER_S,
            )

    def _expected_wait(
        self, submitted: events.QuerySubmitted, kind: document.Kind, now: float
    ) -> float:
        return max(
            self._waits.expected_wait(
                wait_times.WaitClass(submitted.subscriber_id, service, kind.standing),
                now,
            )
            for service in submitted.services[:_MAX_SERVICES_CHECKED]
        )

    def _reject_if_over_share(self, subscriber_id: str) -> None:
        if not self._ledger.is_over_share(subscriber_id):
            return
        self._ledger.record_throttled(subscriber_id)
        raise exceptions.ShareExceededError(
            "subscriber over its share of upstream time while others wait",
            retry_after=round(self._ledger.seconds_until_fair(subscriber_id), 3),
        )
