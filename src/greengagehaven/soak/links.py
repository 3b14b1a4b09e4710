"""Loopback links that pass bytes on, or harm them when told to."""

import asyncio
import enum
from collections import abc

CHUNK = 65_536


class Harm(enum.Enum):
    """What a link does to bytes.

    ``CUT``: nothing passes either way, and no connection ends. ``MUTE``: what the
    other side answers is lost. ``RESET``: connections end at once. ``DELAY``:
    bytes come ``Link.delay_s`` late.
    """

    NONE = "none"
    CUT = "cut"
    MUTE = "mute"
    RESET = "reset"
    DELAY = "delay"


class Link:
    """One listener that passes connections on to an address.

    :param target: ``(IP, port)`` behind it.
    :param rewrite: what is done to bytes of answers, for planted faults.
    :param refusal: what a caller is answered where nothing listens behind the link.
        Without a link its connection would have been refused; one that ends instead
        would look like a request that was cut off.
    """

    delay_s = 0.2

    def __init__(
        self,
        *,
        target: tuple[str, int],
        rewrite: abc.Callable[[bytes], bytes] | None = None,
        refusal: bytes = b"",
    ) -> None:
        self.harm = Harm.NONE
        self.address = ""
        self._target = target
        self._rewrite = rewrite
        self._refusal = refusal
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Listen; return ``IP:PORT``."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def close(self) -> None:
        """End everything."""
        if self._server is not None:
            self._server.close()
        self._end_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_harm(self, harm: Harm) -> None:
        """Harm bytes from now on; a reset ends what is open."""
        self.harm = harm
        if harm is Harm.RESET:
            self._end_all()

    def _end_all(self) -> None:
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
            if self.harm is Harm.RESET:
                return
            try:
                there, back = await asyncio.open_connection(*self._target)
            except OSError:
                await self._refuse(reader, writer)
                return
            self._writers.add(back)
            try:
                await asyncio.gather(
                    self._pass(reader, back, is_answer=False),
                    self._pass(there, writer, is_answer=True),
                )
            finally:
                self._writers.discard(back)
                back.transport.abort()
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
            await reader.read(CHUNK)
            writer.write(self._refusal)
            writer.close()
            await writer.wait_closed()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        while data := await reader.read(CHUNK):
            if self.harm is Harm.CUT or (self.harm is Harm.MUTE and is_answer):
                continue
            if self.harm is Harm.DELAY:
                await asyncio.sleep(self.delay_s)
            if is_answer and self._rewrite is not None:
                data = self._rewrite(data)
            writer.write(data)
            await writer.drain()
        # One side is done; what the other still sends passes on.
        if writer.can_write_eof():
            writer.write_eof()
