"""Upstreams that entry hosts found slow or faulty lately, as control hosts tell them.

One slow reply says little: work has a tail, and every upstream stands still for a
moment now and then. So an outlier is told once it is reported by more than one host,
for longer than a pause lasts, and several times as often as upstreams are on the
average; after that one report each few seconds keeps it one, since few hosts ask it
still.
"""

import collections
import dataclasses

from greengagehaven.protocol import watching

MIN_REPORTS = 4
MIN_FACTOR = 3.0
"""Multiple of the mean number of reports of an upstream; on a busy day all are
reported now and then."""

WINDOW_S = 1.5
"""Seconds in which reports are counted; pauses of one upstream are further apart."""

MIN_SPAN_S = 0.4
"""Seconds that reports span at least; three pauses."""

MEMORY_S = 6.0
"""Seconds after which an upstream that was told is judged anew."""

RENEWAL_S = 1.0
"""Seconds between two tellings of one upstream at least."""

MAX_KEPT = 2000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Report:
    moment: float
    host_id: str


class OutlierLog:
    """Outliers in the order in which this host found them or heard of them.

    ``version`` is of the last one, ``own_version`` of the last one it found itself.
    """

    def __init__(self) -> None:
        self.version = 0
        self.own_version = 0
        self._reports_by_outlier: dict[
            watching.Outlier, collections.deque[_Report]
        ] = {}
        self._told_at_by_outlier: dict[watching.Outlier, float] = {}
        self._forgot_at = float("-inf")
        self._kept: collections.deque[tuple[int, float, watching.Outlier, bool]] = (
            collections.deque(maxlen=MAX_KEPT)
        )

    def report(
        self, outlier: watching.Outlier, host_id: str, now: float, *, upstreams: int
    ) -> bool:
        """Take the report of an entry host; return whether it is to be told.

        :param upstreams: how many are known.
        """
        if now - self._forgot_at > WINDOW_S / 2:
            self._forget(now)
        reports = self._reports_by_outlier.setdefault(outlier, collections.deque())
        reports.append(_Report(moment=now, host_id=host_id))
        told_at = self._told_at_by_outlier.get(outlier, float("-inf"))
        if now - told_at < RENEWAL_S:
            return False
        if now - told_at > MEMORY_S and not self._is_confirmed(reports, upstreams):
            return False
        self._told_at_by_outlier[outlier] = now
        self._add(outlier, now, is_own=True)
        return True

    def hear(self, outlier: watching.Outlier, now: float) -> None:
        """Take what another control host tells."""
        self._add(outlier, now, is_own=False)

    def since(
        self, version: int, now: float, *, own_only: bool = False
    ) -> tuple[watching.Outlier, ...]:
        """Return what was told after a version and still holds.

        :param own_only: leave out what other control hosts tell themselves.
        """
        return tuple(
            outlier
            for number, at, outlier, is_own in self._kept
            if number > version
            and now - at < watching.OUTLIER_LIFETIME_S
            and (is_own or not own_only)
        )

    def _is_confirmed(
        self, reports: collections.deque[_Report], upstreams: int
    ) -> bool:
        if len(reports) < MIN_REPORTS or len({each.host_id for each in reports}) < 2:
            return False
        if reports[-1].moment - reports[0].moment < MIN_SPAN_S:
            return False
        total = sum(map(len, self._reports_by_outlier.values()))
        return len(reports) >= MIN_FACTOR * total / max(1, upstreams)

    def _add(self, outlier: watching.Outlier, now: float, *, is_own: bool) -> None:
        self.version += 1
        if is_own:
            self.own_version = self.version
        self._kept.append((self.version, now, outlier, is_own))

    def _forget(self, now: float) -> None:
        self._forgot_at = now
        for outlier, reports in list(self._reports_by_outlier.items()):
            while reports and now - reports[0].moment > WINDOW_S:
                reports.popleft()
            if not reports:
                del self._reports_by_outlier[outlier]
        self._told_at_by_outlier = {
            outlier: told_at
            for outlier, told_at in self._told_at_by_outlier.items()
            if now - told_at <= MEMORY_S
        }
