"""When the requests of a connection arrived, as opposed to when they were read."""

import math

MAX_ACCEPT_S = 0.02
"""Seconds from the accept of a connection within which what is read first counts as
sent right after the client had connected: it waited as long as the connection did."""


class ArrivalTime:
    """Tells when the latest request of a connection had arrived completely.

    On a busy processor some iterations of the event loop pass, each with other work,
    before a new connection is set up and its first request is read.

    :param accepted_at: monotonic time, in seconds, at which it was accepted.
    :ivar at: monotonic time, in seconds, at which the last bytes so far arrived.
    """

    def __init__(self, accepted_at: float) -> None:
        self.at = accepted_at
        self._accepted_at = accepted_at

    def on_data(self, now: float) -> None:
        """Record that bytes of a request are read now, the last ones so far."""
        is_first = now - self._accepted_at < MAX_ACCEPT_S
        self.at = self._accepted_at if is_first else now
        self._accepted_at = -math.inf
