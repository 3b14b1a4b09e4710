"""Observed latency of each class of sub-requests, over a sliding window.

A class is a kind of query at one service, as the shards of a service hold similar
amounts of data.
"""

import dataclasses

import ddsketch

_RELATIVE_ACCURACY = 0.02
_WINDOW_S = 5.0
_MIN_SAMPLES = 50
_SAMPLES_PER_REFRESH = 25
_USUAL_WEIGHT = 0.05
_MAX_SAMPLE_RATIO = 3.0
_MIN_STRAGGLER_RATIO = 1.5
_MAX_STRAGGLER_RATIO = 2.5
_DEFAULT_USUAL_S = 0.02
_TAIL_QUANTILE = 0.99
_MIN_USUAL_S = 0.0005


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LatencyClass:
    """A class of sub-requests with similar latency.

    :param service: name of the service; empty for all services of the kind together.
    """

    service: str
    kind: str


class LatencyWindow:
    """Latencies of the current window and the one before it, in seconds.

    :param quantile: quantile to track.
    """

    def __init__(self, *, quantile: float) -> None:
        self._quantile = quantile
        self._current = ddsketch.DDSketch(_RELATIVE_ACCURACY)
        self._previous: ddsketch.DDSketch | None = None
        self._rotates_at: float | None = None
        self.quantile_value: float | None = None
        self.tail: float | None = None
        self.usual: float | None = None

    def observe(self, seconds: float, now: float) -> None:
        """Record a latency.

        :param seconds: the latency.
        :param now: monotonic seconds.
        """
        if self._rotates_at is None:
            self._rotates_at = now + _WINDOW_S
        elif now >= self._rotates_at:
            self._previous = self._current
            self._current = ddsketch.DDSketch(_RELATIVE_ACCURACY)
            self._rotates_at = now + _WINDOW_S
        self._current.add(seconds)
        self._update_usual(seconds)
        if self._current.count % _SAMPLES_PER_REFRESH == 0:
            self._refresh()

    def _update_usual(self, seconds: float) -> None:
        if self.usual is None:
            self.usual = seconds
            return
        # Capped, so that stragglers hardly raise the average.
        seconds = min(seconds, _MAX_SAMPLE_RATIO * self.usual)
        self.usual += _USUAL_WEIGHT * (seconds - self.usual)

    def _refresh(self) -> None:
        merged = ddsketch.DDSketch(_RELATIVE_ACCURACY)
        merged.merge(self._current)
        if self._previous is not None:
            merged.merge(self._previous)
        if merged.count >= _MIN_SAMPLES:
            self.quantile_value = merged.get_quantile_value(self._quantile)
            tail = merged.get_quantile_value(_TAIL_QUANTILE)
            # Add the error of the sketch: if all latencies are equal, every
            # sub-request would otherwise count as a straggler.
            self.tail = tail * (1.0 + 2 * _RELATIVE_ACCURACY)


class LatencyTracker:
    """Latency of each class, and of each kind for classes without samples.

    :param quantile: quantile used by :meth:`straggler_threshold`.
    """

    def __init__(self, *, quantile: float) -> None:
        self._quantile = quantile
        self._windows_by_class: dict[LatencyClass, LatencyWindow] = {}
        self._windows_by_kind: dict[str, LatencyWindow] = {}

    def observe(self, key: LatencyClass, seconds: float, now: float) -> None:
        """Record the latency of a reply."""
        if key.service:
            self._window(self._windows_by_class, key).observe(seconds, now)
        self._window(self._windows_by_kind, key.kind).observe(seconds, now)

    def usual(self, key: LatencyClass) -> float:
        """Return the usual latency of a class, in seconds."""
        for window in self._windows_of(key):
            if window is not None and window.usual is not None:
                return max(_MIN_USUAL_S, window.usual)
        return _DEFAULT_USUAL_S

    def straggler_threshold(self, key: LatencyClass) -> float | None:
        """Return the seconds after which a sub-request is a straggler.

        The threshold is the tracked quantile. If latencies lie close together, the
        slowest twentieth is hardly slower than the rest; hedging it gains nothing and
        uses up the budget that a real straggler needs, so the threshold is at least a
        small multiple of the usual latency, or the 99th percentile if that is less.
        Periods of overload or cold upstreams leave a high quantile behind, so it is
        capped at a larger multiple.

        :return: ``None`` while there are too few samples.
        """
        for window in self._windows_of(key):
            if window is None or window.quantile_value is None or window.tail is None:
                continue
            lower = _MIN_STRAGGLER_RATIO * self.usual(key)
            upper = _MAX_STRAGGLER_RATIO * self.usual(key)
            return max(min(window.quantile_value, upper), min(window.tail, lower))
        return None

    def _windows_of(self, key: LatencyClass) -> tuple[LatencyWindow | None, ...]:
        by_class = self._windows_by_class.get(key)
        return by_class, self._windows_by_kind.get(key.kind)

    def _window(self, windows: dict, key: object) -> LatencyWindow:
        window = windows.get(key)
        if window is None:
            window = LatencyWindow(quantile=self._quantile)
            windows[key] = window
        return window
