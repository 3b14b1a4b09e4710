"""How hosts of the system call each other, as the core sees it."""

import typing

Handler = typing.Callable[[bytes], typing.Awaitable[bytes]]


class PeerChannel(typing.Protocol):
    """Unary calls of bytes between hosts; gRPC stands behind it.

    Bodies are msgpack (``protocol.codec``). Method names are
    ``SERVICE/METHOD``, for example ``membership/ping``.
    """

    async def call(
        self, address: str, method: str, body: bytes, *, timeout: float
    ) -> bytes:
        """Call a method on the host at ``address`` (``IP:PORT``).

        :param timeout: seconds to wait.
        :raises PeerError: no answer came in time.
        """
