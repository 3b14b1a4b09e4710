"""A relay between two sockets that can lose track of its connections."""

import asyncio

from greengagehaven import settings


class Relay:
    """Passes bytes on until told to forget the connections it has."""

    def __init__(self, target: str) -> None:
        self._target = settings.parse_address("target", target)
        self._writers: list[asyncio.StreamWriter] = []
        self._forgotten: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return settings.format_address(*self._server.sockets[0].getsockname())

    def forget(self) -> None:
        self._forgotten.update(self._writers)

    def stop(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        far_reader, far_writer = await asyncio.open_connection(*self._target)
        self._writers += [writer, far_writer]
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )

    async def _pump(self, reader, writer) -> None:
        while data := await self._read(reader):
            if writer not in self._forgotten:
                writer.write(data)

    async def _read(self, reader) -> bytes:
        try:
            return await reader.read(65_536)
        except ConnectionError:
            return b""
