"""What this host has seen of each upstream: work in flight and latency."""

import dataclasses

_LATENCY_WEIGHT = 0.2
_INITIAL_LATENCY_S = 0.02


@dataclasses.dataclass(kw_only=True, slots=True)
class UpstreamStats:
    """Own observations of one incarnation of an upstream.

    :param in_flight: sub-requests sent and not yet ended.
    :param latency: moving average of replies, in seconds.
    :param failures_in_row: failures since the last reply.
    """

    incarnation: int
    in_flight: int = 0
    latency: float = _INITIAL_LATENCY_S
    failures_in_row: int = 0

    def record_reply(self, latency: float) -> None:
        """Take in a reply that came after ``latency`` seconds."""
        self.latency += _LATENCY_WEIGHT * (latency - self.latency)
        self.failures_in_row = 0

    def record_failure(self) -> None:
        """Take in a failure."""
        self.failures_in_row += 1

    @property
    def cost(self) -> float:
        """Return the expected wait for one more sub-request, in seconds."""
        return self.latency * (self.in_flight + 1) * (1 + self.failures_in_row)
