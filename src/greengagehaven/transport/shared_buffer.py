"""Base class of protocols that receive into a buffer shared by all connections."""

import asyncio
import threading

BUFFER_BYTES = 65_536


class _ThreadBuffer(threading.local):
    """The buffer of a thread: event loops of other threads receive meanwhile."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(BUFFER_BYTES))


_buffer = _ThreadBuffer()


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Passes received bytes to ``data_received``, like ``asyncio.Protocol``.

    For that class, asyncio allocates 256 KiB for every read and shrinks them to what
    was received. For a reply of a few hundred bytes this takes longer than the system
    call. The buffer can be shared as it is read before the event loop goes on.
    """

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _buffer.view

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that were read."""
        self.data_received(bytes(_buffer.view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError
