"""One outgoing HTTP/1.1 connection that carries one exchange at a time."""

import asyncio
import dataclasses
import math
import typing

import h11

from greengagehaven import clock as clocks
from greengagehaven.transport import http, request_head, sockets

MAX_HEAD_BYTES = 65_536
MAX_REPLY_BYTES = 16_000_000
_END = h11.EndOfMessage()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """A response that was read whole.

    :param size: bytes that came for it, with its head.
    :param request_size: bytes that its request took, with its head.
    """

    status: int
    headers: http.Headers
    body: bytes
    size: int = 0
    request_size: int = 0


class Owner(typing.Protocol):
    """What hears of a connection's events."""

    def replied(self, connection: "ClientConnection", reply: Reply) -> None:
        """Take the reply to the request that was sent last."""

    def closed(self, connection: "ClientConnection", detail: str) -> None:
        """Note that the connection is gone; ``detail`` says why."""


class ClientConnection(asyncio.Protocol):
    """Protocol of one outgoing connection.

    :param owner: what hears of replies and of the end.
    :param clock: source of time for ``last_progress``.

    ``has_replied`` tells whether it ever brought a reply, ``was_reset`` whether
    the other side ended it by a reset.
    """

    def __init__(self, *, owner: Owner, clock: clocks.Clock) -> None:
        self.exchange: typing.Any = None
        self.reusable = True
        self.has_replied = False
        self.was_reset = False
        self.last_progress = -math.inf
        self._owner = owner
        self._clock = clock
        self._transport: typing.Any = None
        self._codec = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._detail = "closed by the other side"
        self._head: h11.Response | None = None
        self._chunks: list[bytes] = []
        self._reply_bytes = 0
        self._received_bytes = 0
        self._sent_bytes = 0
        self._awaits_reply = False
        self._is_mute = True

    @property
    def is_mute(self) -> bool:
        """Tell whether not a byte came since the last request was sent."""
        return self._is_mute

    @property
    def is_open(self) -> bool:
        """Tell whether a request may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: typing.Any) -> None:
        """Take up a new connection."""
        self._transport = transport
        self.last_progress = self._clock.monotonic()
        sockets.configure(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end."""
        if exc is not None:
            self.was_reset = isinstance(exc, ConnectionResetError)
            self._detail = str(exc) or type(exc).__name__
        elif self._head is not None:
            self._end_reply_by_close()
        self._owner.closed(self, self._detail)

    def send(
        self,
        method: str,
        target: str,
        headers: typing.Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a request; bytes leave at once.

        :param headers: without ``Content-Length``, which is added.
        """
        head = h11.Request(
            method=method,
            target=target,
            headers=[*headers, ("Content-Length", str(len(body)))],
        )
        data = self._codec.send(head) or b""
        if body:
            data += self._codec.send(h11.Data(data=body)) or b""
        data += self._codec.send(_END) or b""
        self._write(data)

    def send_head(
        self,
        head: request_head.RequestHead,
        extra: typing.Iterable[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a request whose head was checked before; bytes leave at once.

        :param extra: headers besides those of the head.
        """
        data = head.serialize(extra) + body
        self._codec.send(head.event)
        if body:
            self._codec.send(h11.Data(data=body))
        self._codec.send(_END)
        self._write(data)

    def _write(self, data: bytes) -> None:
        self._awaits_reply = True
        self._is_mute = True
        self._received_bytes = 0
        self._sent_bytes = len(data)
        self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Take bytes of a reply."""
        self.last_progress = self._clock.monotonic()
        self._is_mute = False
        if not self._awaits_reply:
            # The next exchange would take these bytes for its own reply.
            self.abort("bytes that nobody asked for")
            return
        self._received_bytes += len(data)
        try:
            self._codec.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self.abort(f"not HTTP/1.1: {error}")

    def close(self) -> None:
        """Close after what was written has left."""
        self.reusable = False
        if self._transport is not None:
            self._transport.close()

    def abort(self, detail: str) -> None:
        """Close at once; what was written may not arrive."""
        self.reusable = False
        self._detail = detail
        self._head = None
        if self._transport is not None:
            self._transport.abort()

    def _read_events(self) -> None:
        while True:
            event = self._codec.next_event()
            kind = type(event)
            if kind is h11.Response:
                self._head = event
            elif kind is h11.Data:
                self._take_body(bytes(event.data))
            elif kind is h11.EndOfMessage:
                self._end_reply()
                return
            elif kind is not h11.InformationalResponse:
                return

    def _take_body(self, data: bytes) -> None:
        self._reply_bytes += len(data)
        self._chunks.append(data)
        if self._reply_bytes > MAX_REPLY_BYTES:
            self.abort(f"a reply of more than {MAX_REPLY_BYTES} bytes")

    def _end_reply(self) -> None:
        reply = self._take_reply()
        if reply is None:
            return
        self._awaits_reply = False
        if self._codec.their_state is h11.DONE and self._codec.our_state is h11.DONE:
            self._codec.start_next_cycle()
            if self._codec.trailing_data[0]:
                # Bytes behind the reply belong to no request of ours; the next
                # exchange would take them for its own reply.
                self.abort("bytes after the end of a reply")
        else:
            self.close()
        self._owner.replied(self, reply)

    def _end_reply_by_close(self) -> None:
        # A reply without a length ends with the connection.
        try:
            self._codec.receive_data(b"")
            event = self._codec.next_event()
        except h11.RemoteProtocolError as error:
            self._detail = f"cut off in a reply: {error}"
            return
        if isinstance(event, h11.EndOfMessage):
            reply = self._take_reply()
            if reply is not None:
                self.reusable = False
                self._owner.replied(self, reply)

    def _take_reply(self) -> Reply | None:
        head = self._head
        if head is None:
            return None
        body = b"".join(self._chunks)
        self.has_replied = True
        self._head = None
        self._chunks = []
        self._reply_bytes = 0
        headers = http.Headers.from_wire(head.headers)
        return Reply(
            status=head.status_code,
            headers=headers,
            body=body,
            size=self._received_bytes,
            request_size=self._sent_bytes,
        )
