"""How long an upstream takes for one sub-request, and whether it turned cold."""

_FAST_WEIGHT = 0.5
_SLOW_WEIGHT = 0.05
_COLD_RATIO = 2.0
_MIN_SAMPLES = 10


class ServiceTime:
    """Two moving averages of one upstream's service time.

    The slow one is what is usual; it takes in only times near the usual, so
    that a cold or straggling spell does not become the new norm at once. The
    fast one is what the last few replies took.
    """

    def __init__(self) -> None:
        self._fast: float | None = None
        self._usual: float | None = None
        self._samples = 0

    @property
    def usual(self) -> float | None:
        """Return the usual service time in seconds, ``None`` while unknown."""
        return self._usual if self._samples >= _MIN_SAMPLES else None

    def is_slow(self, reference: float | None) -> bool:
        """Tell whether the last replies took much longer than ``reference``."""
        if reference is None or self._fast is None:
            return False
        return self._fast > _COLD_RATIO * reference

    def observe(self, seconds: float) -> None:
        """Take in the service time of a reply."""
        if self._fast is None:
            self._fast = seconds
        self._fast += _FAST_WEIGHT * (seconds - self._fast)
        if self._usual is None:
            self._usual = seconds
        weight = max(_SLOW_WEIGHT, 1.0 / (self._samples + 1))
        if self._samples < _MIN_SAMPLES or seconds < _COLD_RATIO * self._usual:
            self._samples += 1
        else:
            # A lasting change has to become usual in the end.
            weight = _SLOW_WEIGHT / 5
        self._usual += weight * (seconds - self._usual)

    def forget_recent(self) -> None:
        """Start the fast average anew, as for a fresh incarnation."""
        self._fast = None
