"""Moving averages of an upstream's service time, to detect a cold upstream."""

_RECENT_WEIGHT = 0.5
_USUAL_WEIGHT = 0.05
_SLOW_RATIO = 2.0
_MIN_SAMPLES = 10


class ServiceTime:
    """Two exponential moving averages of one upstream's service time.

    The usual time is the slower average. It gives times far above it a low weight, so
    that a cold or straggling period does not become the new norm at once. The recent
    time is the faster average and covers the last few replies.
    """

    def __init__(self) -> None:
        self._recent: float | None = None
        self._usual: float | None = None
        self._samples = 0

    @property
    def usual(self) -> float | None:
        """Return the usual service time in seconds, ``None`` while unknown."""
        return self._usual if self._samples >= _MIN_SAMPLES else None

    def is_slow(self, reference: float | None) -> bool:
        """Return whether recent replies took much longer than ``reference`` seconds."""
        if reference is None or self._recent is None:
            return False
        return self._recent > _SLOW_RATIO * reference

    def observe(self, seconds: float) -> None:
        """Record the service time of a reply, in seconds."""
        if self._recent is None:
            self._recent = seconds
        self._recent += _RECENT_WEIGHT * (seconds - self._recent)
        if self._usual is None:
            self._usual = seconds
        weight = max(_USUAL_WEIGHT, 1.0 / (self._samples + 1))
        if self._samples < _MIN_SAMPLES or seconds < _SLOW_RATIO * self._usual:
            self._samples += 1
        else:
            # Keep a small weight, so that a lasting change is eventually adopted.
            weight = _USUAL_WEIGHT / 5
        self._usual += weight * (seconds - self._usual)

    def reset_recent(self) -> None:
        """Reset the recent average, as for a new incarnation."""
        self._recent = None
