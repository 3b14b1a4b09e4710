"""Detects requests that crash upstreams, and refuses them.

After an upstream connection is lost while a request runs, the upstream's listener is
checked. If its host reports that nothing listens on the port any more, the upstream has
crashed, because of that request or by coincidence. Other entry hosts report the crashes
that they have seen.
"""

from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination.routing import (
    counts,
    events,
    mechanisms,
    request,
    suspects,
    upstreams,
)
from greengagehaven.protocol import watching


class CrashDetector:
    """Lost attempts under investigation, and the requests suspected of crashes.

    :param clock: monotonic time.
    :param counts: counts crashes.
    :param used: mechanisms that are enabled.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        counts: counts.Counts,
        used: mechanisms.Mechanisms,
    ) -> None:
        self._used = used
        self._suspects = suspects.Suspects(clock=clock)
        self._counts = counts
        self._lost_by_attempt: dict[int, request.Attempt] = {}
        self._attempt_ids_by_checked_upstream: dict[upstreams.Upstream, list[int]] = {}

    def check(self, fingerprint: str, *, retry_after: float) -> None:
        """Refuse a request that crashes upstreams or may just have crashed one.

        :param retry_after: seconds after which a lost attempt has been investigated.
        :raises SuspendedError: the request is quarantined, or a lost attempt with its
            fingerprint is under investigation.
        """
        if self._suspects.is_quarantined(fingerprint):
            raise exceptions.SuspendedError(
                "upstreams crashed while running this request",
                retry_after=suspects.QUARANTINE_S,
            )
        if self._suspects.is_pending(fingerprint):
            raise exceptions.SuspendedError(
                "an upstream connection was just lost on this request",
                retry_after=retry_after,
            )

    def is_quarantined(self, routed: request.RoutedRequest) -> bool:
        """Return whether a request in progress must not be sent again."""
        return self._suspects.is_quarantined(routed.fingerprint)

    def investigate(
        self, attempt: request.Attempt, actions: list[events.Action]
    ) -> None:
        """Start to check whether the upstream of a lost attempt has crashed."""
        if not self._used.crash_checks:
            return
        self._suspects.record_loss(attempt.request.fingerprint)
        self._lost_by_attempt[attempt.id] = attempt
        checked = self._attempt_ids_by_checked_upstream.get(attempt.upstream)
        if checked is not None:
            # One check serves all lost attempts: an upstream that resets connections
            # above its limit would reset one more for each check.
            checked.append(attempt.id)
            return
        self._attempt_ids_by_checked_upstream[attempt.upstream] = [attempt.id]
        check = events.CheckListener(
            attempt=attempt.id, address=attempt.upstream.entry.address
        )
        actions.append(check)

    def is_under_investigation(self, attempt: request.Attempt) -> bool:
        """Return whether a lost attempt is still under investigation."""
        return attempt.id in self._lost_by_attempt

    def apply_listener_check(
        self, checked: events.ListenerChecked, actions: list[events.Action]
    ) -> list[request.Attempt]:
        """Apply the result of a listener check; return the attempts that awaited it."""
        first = self._lost_by_attempt.get(checked.attempt)
        if first is None:
            return []
        waiting = [
            self._lost_by_attempt.pop(attempt_id)
            for attempt_id in self._attempt_ids_by_checked_upstream.pop(first.upstream)
        ]
        for attempt in waiting:
            self._apply_check(attempt, checked, actions)
        return waiting

    def _apply_check(
        self,
        attempt: request.Attempt,
        checked: events.ListenerChecked,
        actions: list[events.Action],
    ) -> None:
        if checked.listener is events.Listener.CLOSED:
            self._record_own_crash(attempt, actions)
        else:
            # An upstream that resets connections above its limit is full, and one
            # that does not answer may be behind a network partition: neither has
            # crashed.
            self._suspects.record_no_crash(attempt.request.fingerprint)

    def record_reports(self, reported: abc.Iterable[watching.Crash]) -> None:
        """Record crashes that other entry hosts have seen."""
        for crash in reported:
            self._record_crash(crash)

    def _record_own_crash(
        self, attempt: request.Attempt, actions: list[events.Action]
    ) -> None:
        entry = attempt.upstream.entry
        crash = watching.Crash(
            fingerprint=attempt.request.fingerprint,
            service=entry.service,
            upstream_id=entry.id,
            incarnation=entry.incarnation,
        )
        self._counts.upstream_changes["crashed"] += 1
        log.warning(
            "upstream_crashed",
            request=attempt.request.request_id,
            fingerprint=crash.fingerprint,
            service=crash.service,
            upstream=crash.upstream_id,
        )
        self._record_crash(crash)
        actions.append(events.ReportCrash(crash=crash))

    def _record_crash(self, crash: watching.Crash) -> None:
        if self._suspects.record_crash(crash):
            log.warning(
                "request_convicted",
                fingerprint=crash.fingerprint,
                service=crash.service,
                for_s=suspects.QUARANTINE_S,
            )
