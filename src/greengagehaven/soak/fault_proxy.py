"""TCP proxies on loopback that forward bytes, or impair them on demand."""

import asyncio
import enum
from collections import abc

_CHUNK_BYTES = 65_536


class Impairment(enum.Enum):
    """How a proxy impairs its connections.

    ``CUT``: bytes of both directions are dropped, connections stay open. ``MUTE``:
    bytes from the target are dropped. ``RESET``: connections are reset at once.
    ``DELAY``: bytes are delayed by ``FaultProxy.delay_s`` seconds.
    """

    NONE = "none"
    CUT = "cut"
    MUTE = "mute"
    RESET = "reset"
    DELAY = "delay"


class FaultProxy:
    """A TCP listener that forwards connections to one target.

    :param target: ``(IP, port)`` to connect to.
    :param rewrite: applied to bytes from the target, for planted bugs.
    :param refusal: response if the target refuses the connection. Without a proxy
        the caller's connection would have been refused; closing it instead would
        look like a request that was cut off.
    """

    delay_s = 0.2

    def __init__(
        self,
        *,
        target: tuple[str, int],
        rewrite: abc.Callable[[bytes], bytes] | None = None,
        refusal: bytes = b"",
    ) -> None:
        self.impairment = Impairment.NONE
        self.address = ""
        self._target = target
        self._rewrite = rewrite
        self._refusal = refusal
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Start listening on a free port and return ``IP:PORT``."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def close(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._reset_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_impairment(self, impairment: Impairment) -> None:
        """Apply an impairment from now on; ``RESET`` also resets open connections."""
        self.impairment = impairment
        if impairment is Impairment.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            if self.impairment is Impairment.RESET:
                return
            try:
                target_reader, target_writer = await asyncio.open_connection(
                    *self._target
                )
            except OSError:
                await self._refuse(reader, writer)
                return
            self._writers.add(target_writer)
            try:
                await asyncio.gather(
                    self._forward(reader, target_writer, is_response=False),
                    self._forward(target_reader, writer, is_response=True),
                )
            finally:
                self._writers.discard(target_writer)
                target_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()

    async def _refuse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._refusal:
            await reader.read(_CHUNK_BYTES)
            writer.write(self._refusal)
            writer.close()
            await writer.wait_closed()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self.impairment is Impairment.CUT or (
                self.impairment is Impairment.MUTE and is_response
            ):
                continue
            if self.impairment is Impairment.DELAY:
                await asyncio.sleep(self.delay_s)
            if is_response and self._rewrite is not None:
                data = self._rewrite(data)
            writer.write(data)
            await writer.drain()
        # Half-close: the other direction is still forwarded.
        if writer.can_write_eof():
            writer.write_eof()
