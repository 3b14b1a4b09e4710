"""A TCP relay that can blackhole its connections."""

import asyncio

from greengagehaven import settings


class Relay:
    """Forwards bytes; can drop the traffic of its open connections silently."""

    def __init__(self, target: str) -> None:
        self._target = settings.parse_address("target", target)
        self._writers: list[asyncio.StreamWriter] = []
        self._blackholed: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return settings.format_address(*self._server.sockets[0].getsockname())

    def blackhole(self) -> None:
        """Drop all bytes on the open connections; new connections still work."""
        self._blackholed.update(self._writers)

    def stop(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        self._writers += [writer, target_writer]
        await asyncio.gather(
            self._forward(reader, target_writer), self._forward(target_reader, writer)
        )

    async def _forward(self, reader, writer) -> None:
        while data := await self._read(reader):
            if writer not in self._blackholed:
                writer.write(data)

    async def _read(self, reader) -> bytes:
        try:
            return await reader.read(65_536)
        except ConnectionError:
            return b""
