"""Interface for calls between hosts."""

import typing

Handler = typing.Callable[[bytes], typing.Awaitable[bytes]]

ConnectionHandler = typing.Callable[[bytes, str], typing.Awaitable[bytes]]
"""Handler that also gets the caller's ``IP:PORT``, which identifies its connection."""


class PeerChannel(typing.Protocol):
    """Client for unary calls between hosts.

    Bodies are msgpack (``protocol.codec``). Method names have the form
    ``SERVICE/METHOD``, for example ``membership/ping``.
    """

    async def call(
        self, address: str, method: str, body: bytes, *, timeout: float
    ) -> bytes:
        """Call a method on the host at ``address`` (``IP:PORT``).

        :param timeout: seconds to wait for the response.
        :raises PeerError: the call failed or timed out.
        """
