"""Budget of extra attempts, so that faults never multiply the load.

A token bucket filled by first attempts: each adds a fraction of a token, each
extra attempt takes one. Under a full outage the extra load stays at that
fraction, while a single failure on a quiet host can still be retried.
"""

_INITIAL_TOKENS = 10.0
_MAX_TOKENS = 100.0


class Budget:
    """Tokens for extra attempts.

    :param ratio: extra attempts allowed for each first attempt.
    """

    def __init__(self, *, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = _INITIAL_TOKENS if ratio > 0 else 0.0

    def earn(self, first_attempts: int = 1) -> None:
        """Count first attempts."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._ratio * first_attempts)

    def spend(self) -> bool:
        """Take a token for one extra attempt; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Give back a token whose attempt was not sent."""
        self._tokens += 1.0
