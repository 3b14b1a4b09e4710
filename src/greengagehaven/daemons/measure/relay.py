"""A TCP relay that counts bytes, to measure the cost of calls on the wire."""

import asyncio

from greengagehaven import settings

CHUNK_BYTES = 65_536


class Relay:
    """Forwards connections to one address and counts the bytes in both directions.

    :param target: ``IP:PORT`` to forward to.
    """

    def __init__(self, *, target: str) -> None:
        self.bytes_moved = 0
        self._target = settings.parse_address("target", target)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen on loopback and return the bound ``IP:PORT``."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return settings.format_address(*self._server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(reader, target_writer), self._forward(target_reader, writer)
        )
        self._writers -= {writer, target_writer}

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                self.bytes_moved += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
