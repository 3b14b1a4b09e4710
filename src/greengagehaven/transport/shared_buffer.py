"""Base class of protocols that receive into one buffer of the process."""

import asyncio

BUFFER_BYTES = 65_536

_view = memoryview(bytearray(BUFFER_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Passes received bytes to ``data_received``, like ``asyncio.Protocol``.

    For that class, asyncio allocates 256 KiB for every read and shrinks them to what
    was received. For a reply of a few hundred bytes this takes longer than the system
    call. The buffer can be shared as it is read before the event loop goes on.
    """

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _view

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that were read."""
        self.data_received(bytes(_view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError
