"""Outlier detection: slow or faulty upstreams, from reports of entry hosts.

A single slow reply is no evidence: latency has a tail, and every upstream pauses now
and then. An upstream counts as an outlier once more than one host reports it, over
longer than a pause lasts, and several times as often as the average upstream. After
that, one report every few seconds renews it, as few hosts still send it requests.
"""

import collections
import dataclasses

from greengagehaven.protocol import watching

MIN_REPORTS = 4
MIN_RATIO_TO_MEAN = 3.0
"""Minimum ratio of an upstream's reports to the mean over all upstreams; under high
load all upstreams are reported now and then."""

REPORT_WINDOW_S = 1.5
"""Seconds for which reports are counted; pauses of one upstream are further apart."""

MIN_REPORT_SPAN_S = 0.4
"""Minimum seconds between the first and last report; as long as three pauses."""

CONFIRMATION_LIFETIME_S = 6.0
"""Seconds since its last entry after which an outlier has to be confirmed anew."""

MIN_RENEWAL_INTERVAL_S = 1.0
"""Minimum seconds between two entries of the same outlier."""

MAX_OUTLIERS = 2000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Report:
    received_at: float
    host_id: str


class OutlierLog:
    """Outliers in the order in which this host detected or received them.

    ``version`` is that of the last entry, ``local_version`` that of the last entry
    that this host detected itself.
    """

    def __init__(self) -> None:
        self.version = 0
        self.local_version = 0
        self._reports_by_outlier: dict[
            watching.Outlier, collections.deque[_Report]
        ] = {}
        self._added_at_by_outlier: dict[watching.Outlier, float] = {}
        self._last_expiry_at = float("-inf")
        self._entries: collections.deque[tuple[int, float, watching.Outlier, bool]] = (
            collections.deque(maxlen=MAX_OUTLIERS)
        )

    def record_report(
        self, outlier: watching.Outlier, host_id: str, now: float, *, upstreams: int
    ) -> bool:
        """Record the report of an entry host; return whether it added an entry.

        :param host_id: the entry host.
        :param now: monotonic time in seconds.
        :param upstreams: number of known upstreams.
        """
        if now - self._last_expiry_at > REPORT_WINDOW_S / 2:
            self._expire_reports(now)
        reports = self._reports_by_outlier.setdefault(outlier, collections.deque())
        reports.append(_Report(received_at=now, host_id=host_id))
        added_at = self._added_at_by_outlier.get(outlier, float("-inf"))
        if now - added_at < MIN_RENEWAL_INTERVAL_S:
            return False
        if now - added_at > CONFIRMATION_LIFETIME_S and not self._is_confirmed(
            reports, upstreams
        ):
            return False
        self._added_at_by_outlier[outlier] = now
        self._add(outlier, now, is_own=True)
        return True

    def add_remote(self, outlier: watching.Outlier, now: float) -> None:
        """Add an outlier that another control host detected."""
        self._add(outlier, now, is_own=False)

    def outliers_since(
        self, version: int, now: float, *, local_only: bool = False
    ) -> tuple[watching.Outlier, ...]:
        """Return the outliers that were added after a version and haven't expired.

        :param local_only: leave out those received from other control hosts.
        """
        return tuple(
            outlier
            for number, at, outlier, is_own in self._entries
            if number > version
            and now - at < watching.OUTLIER_LIFETIME_S
            and (is_own or not local_only)
        )

    def _is_confirmed(
        self, reports: collections.deque[_Report], upstreams: int
    ) -> bool:
        if len(reports) < MIN_REPORTS or len({each.host_id for each in reports}) < 2:
            return False
        if reports[-1].received_at - reports[0].received_at < MIN_REPORT_SPAN_S:
            return False
        total = sum(map(len, self._reports_by_outlier.values()))
        return len(reports) >= MIN_RATIO_TO_MEAN * total / max(1, upstreams)

    def _add(self, outlier: watching.Outlier, now: float, *, is_own: bool) -> None:
        self.version += 1
        if is_own:
            self.local_version = self.version
        self._entries.append((self.version, now, outlier, is_own))

    def _expire_reports(self, now: float) -> None:
        self._last_expiry_at = now
        for outlier, reports in list(self._reports_by_outlier.items()):
            while reports and now - reports[0].received_at > REPORT_WINDOW_S:
                reports.popleft()
            if not reports:
                del self._reports_by_outlier[outlier]
        self._added_at_by_outlier = {
            outlier: added_at
            for outlier, added_at in self._added_at_by_outlier.items()
            if now - added_at <= CONFIRMATION_LIFETIME_S
        }
