"""HTTP/1.1 client for one address, with a bounded pool of keep-alive connections."""

import asyncio
import datetime
import typing

from greengagehaven import clock as clocks
from greengagehaven import exceptions, settings
from greengagehaven.transport import client_connection

if typing.TYPE_CHECKING:
    import ssl

DEFAULT_TIMEOUT = datetime.timedelta(seconds=10)
CONNECT_TIMEOUT = datetime.timedelta(seconds=2)
MAX_IDLE_CONNECTIONS = 8
MAX_IDLE_S = 30.0


class HttpClient:
    """HTTP client for one ``IP:PORT`` with keep-alive connections.

    :param address: ``IP:PORT`` of the server.
    :param tls: client TLS context, ``None`` for plain TCP.
    :param clock: monotonic clock.
    :param connect_timeout: limit for opening a connection; a shorter request
        timeout takes precedence.
    """

    def __init__(
        self,
        *,
        address: str,
        tls: "ssl.SSLContext | None" = None,
        clock: clocks.Clock | None = None,
        connect_timeout: datetime.timedelta = CONNECT_TIMEOUT,
    ) -> None:
        self.address = address
        self._host, self._port = settings.parse_address("address", address)
        self._tls = tls
        self._clock = clock or clocks.SystemClock()
        self._connect_timeout = connect_timeout
        self._idle: list[client_connection.ClientConnection] = []
        self._open: set[client_connection.ClientConnection] = set()

    async def request(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: typing.Mapping[str, str] | None = None,
        timeout: datetime.timedelta = DEFAULT_TIMEOUT,
        on_sending: typing.Callable[[], None] | None = None,
    ) -> client_connection.Reply:
        """Send a request and return its reply, whatever the status.

        :param target: path with query string.
        :param headers: request headers; ``Host`` defaults to the address.
        :param timeout: limit for opening a connection, and again for the complete
            reply once the request has been written.
        :param on_sending: called once a connection is open, before the first byte is
            written.
        :raises ConnectError: no connection could be opened, or it broke before the
            first byte was written; nothing was sent.
        :raises ConnectionLostError: the connection ended, or the timeout expired,
            after the request may have been sent.
        """
        started = self._clock.monotonic()
        connection = self._pop_idle() or await self._connect(timeout)
        future = asyncio.get_running_loop().create_future()
        connection.exchange = future
        if on_sending is not None:
            on_sending()
        pairs = {"Host": self.address, **(headers or {})}
        connection.send(method, target, list(pairs.items()), body)
        try:
            # asyncio.wait_for would raise the connection's error instead of
            # CancelledError if the connection ended in the same loop iteration as
            # the cancellation, and a caller that retries would then not stop.
            async with asyncio.timeout(timeout.total_seconds()):
                return await future
        except TimeoutError as error:
            self._abort_idle(started)
            raise exceptions.ConnectionLostError(
                f"no reply from {self.address} within {timeout}"
            ) from error
        finally:
            # The connection may already carry another request.
            if connection.exchange is future:
                connection.exchange = None
                connection.abort("request was cancelled or timed out")

    def close(self) -> None:
        """Abort every connection; requests in flight fail."""
        for connection in list(self._open):
            connection.abort("client was closed")

    def close_idle(self, fraction: float = 1.0) -> None:
        """Close a fraction of the idle connections, from 0 to 1."""
        for connection in self._idle[: round(len(self._idle) * fraction)]:
            connection.close()

    def on_reply(
        self,
        connection: client_connection.ClientConnection,
        reply: client_connection.Reply,
    ) -> None:
        """Complete the request that a reply belongs to."""
        future = connection.exchange
        connection.exchange = None
        if future is None:
            connection.abort("unexpected reply")
            return
        if not future.done():
            future.set_result(reply)
        may_reuse = connection.reusable and connection.is_open
        if may_reuse and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()

    def on_closed(
        self, connection: client_connection.ClientConnection, detail: str
    ) -> None:
        """Remove a closed connection and fail its request."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        future = connection.exchange
        connection.exchange = None
        if future is not None and not future.done():
            kind = (
                exceptions.ConnectError
                if connection.wrote_nothing
                else exceptions.ConnectionLostError
            )
            future.set_exception(kind(f"{self.address}: {detail}"))

    def _pop_idle(self) -> client_connection.ClientConnection | None:
        min_last_progress = self._clock.monotonic() - MAX_IDLE_S
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and connection.last_progress >= min_last_progress:
                return connection
            connection.close()
        return None

    def _abort_idle(self, before: float) -> None:
        """Abort idle connections without progress since ``before``.

        A device that dropped the state of one connection without a reset has
        probably dropped others too. Each would cost another request its whole
        timeout before a new connection is tried.
        """
        for connection in list(self._idle):
            if connection.last_progress < before:
                connection.abort("another connection to the server timed out")

    async def _connect(
        self, timeout: datetime.timedelta
    ) -> client_connection.ClientConnection:
        loop = asyncio.get_running_loop()
        limit_s = min(timeout, self._connect_timeout).total_seconds()
        try:
            async with asyncio.timeout(limit_s):
                _, connection = await loop.create_connection(
                    lambda: client_connection.ClientConnection(
                        owner=self, clock=self._clock
                    ),
                    self._host,
                    self._port,
                    ssl=self._tls,
                )
        except OSError as error:
            detail = str(error) or type(error).__name__
            raise exceptions.ConnectError(f"{self.address}: {detail}") from error
        self._open.add(connection)
        return connection
