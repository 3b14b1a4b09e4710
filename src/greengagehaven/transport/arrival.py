"""When the requests of a connection arrived, as opposed to when they were read."""

import math

MAX_ACCEPT_S = 0.02
"""Seconds from the accept of a connection within which its first request counts as sent
right after the client had connected: it waited as long as the connection did."""


class ArrivalTime:
    """Tells when the latest request of a connection arrived.

    On a busy processor some iterations of the event loop pass, each with other work,
    before a new connection is set up and its first request is read.

    :param accepted_at: monotonic time, in seconds, at which it was accepted.
    :ivar at: monotonic time, in seconds, at which the latest request arrived.
    """

    def __init__(self, accepted_at: float) -> None:
        self.at = accepted_at
        self._accepted_at = accepted_at

    def on_request(self, now: float) -> None:
        """Record that the first bytes of a request are read now."""
        is_first = now - self._accepted_at < MAX_ACCEPT_S
        self.at = self._accepted_at if is_first else now
        self._accepted_at = -math.inf
