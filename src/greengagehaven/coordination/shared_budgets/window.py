"""Counts of events in a sliding window, with bounded memory."""

import collections

BUCKETS_PER_WINDOW = 250
"""A count includes events up to one bucket, 0.4% of the window, too old."""


class WindowCount:
    """Counts events in a sliding window.

    An event counts until its whole bucket has left the window, so that a limit on the
    count is never exceeded in an exact window.

    :param window: seconds.
    """

    def __init__(self, *, window: float) -> None:
        self._window = window
        self._bucket_s = window / BUCKETS_PER_WINDOW
        self._buckets: collections.deque[list[int]] = collections.deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count an event."""
        index = int(now / self._bucket_s)
        if self._buckets and self._buckets[-1][0] >= index:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([index, 1])
        self._total += 1

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        oldest = int(now / self._bucket_s) - BUCKETS_PER_WINDOW
        while self._buckets and self._buckets[0][0] < oldest:
            self._total -= self._buckets.popleft()[1]
        return self._total

    def count_recent(self, now: float, seconds: float) -> int:
        """Return the number of events in the last ``seconds`` of the window."""
        oldest = int((now - seconds) / self._bucket_s)
        recent = 0
        for index, count in reversed(self._buckets):
            if index < oldest:
                break
            recent += count
        return recent

    def count_leaving(self, now: float, seconds: float) -> int:
        """Return the number of events that may leave the window within ``seconds``.

        With 0 seconds these are the events of the bucket that is leaving it now.
        """
        self.count(now)
        newest = int((now + seconds) / self._bucket_s) - BUCKETS_PER_WINDOW
        leaving = 0
        for index, count in self._buckets:
            if index > newest:
                break
            leaving += count
        return leaving

    def count_by_age(self, now: float, slots: int) -> tuple[int, ...]:
        """Return the events in each of equal parts of the window, the newest first."""
        self.count(now)
        newest = int(now / self._bucket_s)
        counts = [0] * slots
        for index, count in self._buckets:
            age = (newest - index) * slots // BUCKETS_PER_WINDOW
            counts[min(slots - 1, age)] += count
        return tuple(counts)

    def seconds_until_at_most(self, limit: int, now: float) -> float:
        """Return the seconds until at most ``limit`` of the events are in the window.

        :param limit: 0 or more.
        """
        excess = self.count(now) - limit
        for index, count in self._buckets:
            if excess <= 0:
                break
            excess -= count
            left_at = (index + 1 + BUCKETS_PER_WINDOW) * self._bucket_s
            if excess <= 0:
                return max(0.0, left_at - now)
        return 0.0
