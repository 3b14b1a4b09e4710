"""When an entry host reports its usage, and to which control hosts."""

import math
from collections import abc

PERIOD_S = 0.2
"""Seconds between reports in general."""

URGENT_PERIOD_S = 0.05
"""Seconds between reports while a team is near its target. With 0.2 s, a team at 200
requests per second exceeds its target by 40 before any host learns of it."""

IDLE_PERIOD_S = 0.5
"""Seconds between reports without requests. Their replies name the teams with many
requests, so that a host that sees the first request of one knows of the others."""

CALL_TIMEOUT_S = 0.3
"""Limit of a call. Later reports do not wait for it: they hold totals, so that the
reply to a later one replaces a lost reply."""

RETRY_AFTER_S = 0.15
"""Seconds without a reply after which the next report is sent early."""

REFRESH_PERIOD_S = 0.01
"""Seconds between reports while a request waits for newer totals."""

SECOND_TARGET_AFTER_S = 0.25
"""Seconds without a usable reply after which reports go to a second control host too.
The followed one may have stopped, restarted or lost contact."""


class ReportSchedule:
    """Decides when the next report is sent, and to which control hosts.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.sent_at = -math.inf
        self.next_at = -math.inf
        self._unanswered_since: float | None = None
        self._turn = 0

    @property
    def wake_at(self) -> float:
        """Return when to check again whether a report is due."""
        if self._unanswered_since is None:
            return self.next_at
        return min(self.next_at, self.sent_at + RETRY_AFTER_S)

    def is_due(self, now: float) -> bool:
        """Return whether a report is due."""
        return now >= self.wake_at

    def on_request(self, *, is_near_target: bool) -> None:
        """Let the next report be sent earlier after a request of a limited team."""
        period = URGENT_PERIOD_S if is_near_target else PERIOD_S
        self.next_at = min(self.next_at, self.sent_at + period)

    def on_wait(self, now: float) -> None:
        """Let the next report be sent at once, as a request waits for its reply."""
        self.next_at = min(self.next_at, max(now, self.sent_at + REFRESH_PERIOD_S))

    def on_sent(self, now: float, *, has_usage: bool, is_near_target: bool) -> None:
        """Schedule the report after one that is sent now."""
        period = PERIOD_S if has_usage else IDLE_PERIOD_S
        if is_near_target:
            period = URGENT_PERIOD_S
        self.sent_at, self.next_at = now, now + period
        if self._unanswered_since is None:
            self._unanswered_since = now

    def on_reply(self, sent_at: float) -> None:
        """Record a usable reply to the report that was sent at a time."""
        if self._unanswered_since is None or sent_at < self._unanswered_since:
            return
        self._unanswered_since = None if sent_at >= self.sent_at else self.sent_at

    def targets(
        self, followed: abc.Sequence[str], others: abc.Sequence[str], now: float
    ) -> tuple[str, ...]:
        """Return the control hosts that get the report that is sent now.

        :param followed: control hosts in order of preference.
        :param others: all other control hosts; they are tried in turn.
        """
        targets = tuple(followed[:1])
        since = self._unanswered_since
        is_stale = since is not None and now - since > SECOND_TARGET_AFTER_S
        if not others or (targets and not is_stale):
            return targets
        self._turn += 1
        return (*targets, others[self._turn % len(others)])
