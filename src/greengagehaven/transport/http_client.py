"""HTTP/1.1 client for one address: keep-alive, bounded, by h11."""

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
    """Requests to one ``IP:PORT`` over connections that are kept alive.

    :param address: the server.
    :param tls: client context; ``None`` for plain TCP.
    :param clock: source of time.
    :param connect_timeout: for a connection alone, within that of a request.
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
    ) -> client_connection.Reply:
        """Send a request and return its reply, whatever the status.

        :param target: path with query string.
        :param headers: ``Host`` is the address where it is not among them.
        :param timeout: for the connection and the whole reply.
        :raises ConnectError: no byte of the request left.
        :raises ConnectionLostError: the connection ended, or the time was over,
            after bytes of the request had left.
        """
        started = self._clock.monotonic()
        connection = self._take_idle() or await self._connect(timeout)
        future = asyncio.get_running_loop().create_future()
        connection.exchange = future
        pairs = {"Host": self.address, **(headers or {})}
        connection.send(method, target, list(pairs.items()), body)
        try:
            # Not wait_for: where the connection ends in the turn in which the
            # caller is cancelled, it raises the connection's error instead, and
            # a loop that asks again goes on after it was stopped.
            async with asyncio.timeout(timeout.total_seconds()):
                return await future
        except TimeoutError as error:
            self._retire_idle(started)
            raise exceptions.ConnectionLostError(
                f"no reply from {self.address} within {timeout}"
            ) from error
        finally:
            # The connection may carry another request by now.
            if connection.exchange is future:
                connection.exchange = None
                connection.abort("given up")

    def close(self) -> None:
        """Close every connection; requests that wait fail."""
        for connection in list(self._open):
            connection.abort("the client was closed")

    def cut(self, fraction: float = 1.0) -> None:
        """Close a part of the idle connections."""
        for connection in self._idle[: round(len(self._idle) * fraction)]:
            connection.close()

    def replied(
        self,
        connection: client_connection.ClientConnection,
        reply: client_connection.Reply,
    ) -> None:
        """Give a reply to who waits for it."""
        future = connection.exchange
        connection.exchange = None
        if future is None:
            connection.abort("a reply that nobody asked for")
            return
        if not future.done():
            future.set_result(reply)
        keeps = connection.reusable and connection.is_open
        if keeps and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()

    def closed(
        self, connection: client_connection.ClientConnection, detail: str
    ) -> None:
        """Fail the request that waits on a connection that ended."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        future = connection.exchange
        connection.exchange = None
        if future is not None and not future.done():
            future.set_exception(
                exceptions.ConnectionLostError(f"{self.address}: {detail}")
            )

    def _take_idle(self) -> client_connection.ClientConnection | None:
        oldest_useful = self._clock.monotonic() - MAX_IDLE_S
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and connection.last_progress >= oldest_useful:
                return connection
            connection.close()
        return None

    def _retire_idle(self, before: float) -> None:
        """Close idle connections on which nothing came since ``before``.

        What lost track of one connection without a reset lost track of others
        too. Each would cost one more request its whole timeout before a new
        connection, which works, is tried.
        """
        for connection in list(self._idle):
            if connection.last_progress < before:
                connection.abort("another connection fell silent")

    async def _connect(
        self, timeout: datetime.timedelta
    ) -> client_connection.ClientConnection:
        loop = asyncio.get_running_loop()
        bound = min(timeout, self._connect_timeout).total_seconds()
        try:
            async with asyncio.timeout(bound):
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
