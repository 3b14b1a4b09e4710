"""Observed latency of each class of sub-requests, over a sliding window.

A class is a kind of query at a service: its shards hold alike amounts of data.
"""

import dataclasses

import ddsketch

_RELATIVE_ACCURACY = 0.02
_WINDOW_S = 5.0
_MIN_SAMPLES = 50
_REFRESH_EVERY = 25
_USUAL_WEIGHT = 0.05
_USUAL_CAP = 3.0
_STRAGGLING_RATIO = 1.5
_MOST_RATIO = 2.5
_UNKNOWN_S = 0.02
_TAIL_QUANTILE = 0.99
_LEAST_USUAL_S = 0.0005


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LatencyClass:
    """Sub-requests that take alike.

    :param service: empty for all services of the kind together.
    """

    service: str
    kind: str


class LatencyWindow:
    """Latencies of the last one or two windows.

    :param quantile: quantile to follow.
    """

    def __init__(self, *, quantile: float) -> None:
        self._quantile = quantile
        self._current = ddsketch.DDSketch(_RELATIVE_ACCURACY)
        self._previous: ddsketch.DDSketch | None = None
        self._rotates_at: float | None = None
        self.value: float | None = None
        self.tail: float | None = None
        self.usual: float | None = None

    def observe(self, seconds: float, now: float) -> None:
        """Take in a latency."""
        if self._rotates_at is None:
            self._rotates_at = now + _WINDOW_S
        elif now >= self._rotates_at:
            self._previous = self._current
            self._current = ddsketch.DDSketch(_RELATIVE_ACCURACY)
            self._rotates_at = now + _WINDOW_S
        self._current.add(seconds)
        self._follow_usual(seconds)
        if self._current.count % _REFRESH_EVERY == 0:
            self._refresh()

    def _follow_usual(self, seconds: float) -> None:
        if self.usual is None:
            self.usual = seconds
            return
        # Capped, so that a straggler does not make slow look usual.
        seconds = min(seconds, _USUAL_CAP * self.usual)
        self.usual += _USUAL_WEIGHT * (seconds - self.usual)

    def _refresh(self) -> None:
        merged = ddsketch.DDSketch(_RELATIVE_ACCURACY)
        merged.merge(self._current)
        if self._previous is not None:
            merged.merge(self._previous)
        if merged.count >= _MIN_SAMPLES:
            self.value = merged.get_quantile_value(self._quantile)
            tail = merged.get_quantile_value(_TAIL_QUANTILE)
            # Above the sketch's error: where all take the same, all would
            # straggle.
            self.tail = tail * (1.0 + 2 * _RELATIVE_ACCURACY)


class LatencyBook:
    """Latency of every class, and of all together for those without samples.

    :param quantile: quantile for :meth:`straggling_after`.
    """

    def __init__(self, *, quantile: float) -> None:
        self._quantile = quantile
        self._windows_by_class: dict[LatencyClass, LatencyWindow] = {}
        self._windows_by_kind: dict[str, LatencyWindow] = {}

    def observe(self, key: LatencyClass, seconds: float, now: float) -> None:
        """Take in the latency of a reply."""
        if key.service:
            self._window(self._windows_by_class, key).observe(seconds, now)
        self._window(self._windows_by_kind, key.kind).observe(seconds, now)

    def usual(self, key: LatencyClass) -> float:
        """Return the usual latency of a class, in seconds."""
        for window in self._windows_of(key):
            if window is not None and window.usual is not None:
                return max(_LEAST_USUAL_S, window.usual)
        return _UNKNOWN_S

    def straggling_after(self, key: LatencyClass) -> float | None:
        """Return seconds after which a class straggles, ``None`` if unknown.

        It is the quantile. Where latencies lie close together, the slowest
        twentieth is hardly slower than the rest: to count it as straggling
        gains nothing and eats the budget that a real straggler needs. Then it
        is some multiple of the usual or the 99th percentile, if that is less.
        Seconds of overload or cold upstreams leave a high quantile behind, so it
        counts only up to a larger multiple.
        """
        for window in self._windows_of(key):
            if window is None or window.value is None or window.tail is None:
                continue
            least = _STRAGGLING_RATIO * self.usual(key)
            most = _MOST_RATIO * self.usual(key)
            return max(min(window.value, most), min(window.tail, least))
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
