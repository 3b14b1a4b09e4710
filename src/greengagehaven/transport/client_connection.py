"""Client side of one HTTP/1.1 connection.

Requests are not pipelined: a connection carries one exchange at a time, so each
reply belongs to the request that was sent last.
"""

import math
import re
import typing

import h11
import msgspec

from greengagehaven import clock as clocks
from greengagehaven.transport import (
    http,
    memory_budget,
    request_head,
    shared_buffer,
    sockets,
)

MAX_HEAD_BYTES = 65_536
MAX_REPLY_BYTES = 16_000_000

MAX_OVERHEAD_RATIO = 1.0
"""Bytes of framing for each byte of a body, beyond ``MAX_HEAD_BYTES``. Chunks of one
byte take 5 bytes each, and far more time to parse than the same bytes in one chunk."""

_END = h11.EndOfMessage()
_PROTOCOL = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}\b")


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response.

    :param size: bytes received, including the response head.
    :param request_size: bytes sent for the request, including its head.
    """

    status: int
    headers: http.Headers
    body: bytes
    size: int = 0
    request_size: int = 0


class ConnectionOwner(typing.Protocol):
    """Receives the events of a connection."""

    def on_reply(self, connection: "ClientConnection", reply: Reply) -> None:
        """Handle the reply to the request that was sent last."""

    def on_closed(self, connection: "ClientConnection", detail: str) -> None:
        """Handle the end of a connection; ``detail`` is the cause."""


class ClientConnection(shared_buffer.SharedBufferProtocol):
    """asyncio protocol of an outgoing HTTP/1.1 connection.

    :param owner: receives replies and the end of the connection.
    :param clock: clock used for ``last_progress``.
    :param budget: memory that the replies of many connections share, ``None`` to limit
        each reply only.
    :ivar exchange: the owner's state for the request in flight, ``None`` if idle.
    :ivar reusable: whether another request may be sent after the current one.
    :ivar has_replied: whether any reply has been received on this connection.
    :ivar was_reset: whether the peer reset the connection.
    :ivar last_progress: monotonic time, in seconds, when the connection was opened
        or last received data.
    """

    def __init__(
        self,
        *,
        owner: ConnectionOwner,
        clock: clocks.Clock,
        budget: memory_budget.MemoryBudget | None = None,
    ) -> None:
        self.exchange: typing.Any = None
        self.reusable = True
        self.has_replied = False
        self.was_reset = False
        self.last_progress = -math.inf
        self._owner = owner
        self._clock = clock
        self._budget = budget
        self._transport: typing.Any = None
        self._codec = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._detail = "connection closed by peer"
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._received_bytes = 0
        self._sent_bytes = 0
        self._awaits_reply = False
        self._received_nothing = True
        self._wrote_nothing = False

    @property
    def wrote_nothing(self) -> bool:
        """Return whether the connection broke before any byte of the last request.

        A peer that closed an idle connection is often noticed only by the first write.
        The request cannot have run then, and its caller may be told so.
        """
        return self._wrote_nothing

    @property
    def received_nothing(self) -> bool:
        """Return whether no data was received since the last request was sent."""
        return self._received_nothing

    @property
    def is_open(self) -> bool:
        """Return whether the connection is established and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: typing.Any) -> None:
        """Configure the socket of a new connection."""
        self._transport = transport
        self.last_progress = self._clock.monotonic()
        sockets.configure(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the owner."""
        if exc is not None:
            self.was_reset = isinstance(exc, ConnectionResetError)
            self._detail = str(exc) or type(exc).__name__
        elif self._head is not None:
            self._complete_reply_at_eof()
        self._discard_body()
        self._owner.on_closed(self, self._detail)

    def send(
        self,
        method: str,
        target: str,
        headers: typing.Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Write a request to the transport.

        :param headers: request headers except ``Content-Length``, which is added.
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

    def send_with_head(
        self,
        head: request_head.RequestHead,
        extra_headers: typing.Iterable[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Write a request whose head has been validated in advance.

        :param extra_headers: headers to add to those of ``head``.
        """
        data = head.serialize(extra_headers) + body
        self._codec.send(head.framing_event)
        if body:
            self._codec.send(h11.Data(data=body))
        self._codec.send(_END)
        self._write(data)

    def _write(self, data: bytes) -> None:
        self._awaits_reply = True
        self._received_nothing = True
        self._received_bytes = 0
        self._sent_bytes = len(data)
        has_unwritten = self._transport.get_write_buffer_size() > 0
        self._transport.write(data)
        # asyncio writes at once unless earlier data is still buffered, and closes the
        # transport if that write fails.
        self._wrote_nothing = not has_unwritten and self._transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Parse received data; abort if no reply is expected."""
        self.last_progress = self._clock.monotonic()
        self._received_nothing = False
        if not self._awaits_reply:
            # These bytes would be parsed as the reply to the next exchange.
            self.abort("unexpected data on an idle connection")
            return
        self._received_bytes += len(data)
        try:
            self._codec.receive_data(data)
            self._read_events(data)
        except h11.RemoteProtocolError as error:
            self.abort(f"invalid HTTP/1.1 response: {error}")
            return
        self._check_overhead()

    def close(self) -> None:
        """Close the connection once buffered data has been sent."""
        self.reusable = False
        if self._transport is not None:
            self._transport.close()

    def abort(self, detail: str) -> None:
        """Close the connection immediately, discarding unsent data."""
        self.reusable = False
        self._detail = detail
        self._head = None
        self._discard_body()
        if self._transport is not None:
            self._transport.abort()

    def _read_events(self, data: bytes) -> None:
        while True:
            event = self._codec.next_event()
            kind = type(event)
            if kind is h11.Response:
                is_split = self._received_bytes > len(data)
                # Searching the bytes first is much faster than each value.
                may_be_merged = is_split or data.find(_PROTOCOL, len(_PROTOCOL)) > 0
                if may_be_merged and _contains_status_line(event):
                    self.abort("the heads of two replies have run together")
                    return
                self._head = event
            elif kind is h11.Data:
                self._append_body(event.data)
            elif kind is h11.EndOfMessage:
                self._complete_reply()
                return
            elif kind is not h11.InformationalResponse:
                return

    def _append_body(self, data: bytes) -> None:
        if self._head is None:
            return
        self._body += data
        if len(self._body) > MAX_REPLY_BYTES:
            self.abort(f"reply exceeds {MAX_REPLY_BYTES} bytes")
        elif self._budget is not None:
            self._budget.add(self, len(data))

    def _check_overhead(self) -> None:
        """Abort a reply with too few bytes of body, such as an endless head."""
        if not (self._awaits_reply and self.is_open):
            return
        overhead = self._received_bytes - len(self._body)
        if overhead > MAX_HEAD_BYTES + MAX_OVERHEAD_RATIO * len(self._body):
            self.abort(f"reply has {overhead} bytes of heads and framing")

    def _discard_body(self) -> None:
        self._body = bytearray()
        if self._budget is not None:
            self._budget.release(self)

    def _complete_reply(self) -> None:
        reply = self._build_reply()
        if reply is None:
            return
        self._awaits_reply = False
        if self._codec.their_state is h11.DONE and self._codec.our_state is h11.DONE:
            self._codec.start_next_cycle()
            if self._codec.trailing_data[0]:
                # Bytes after the reply belong to no request and would be parsed
                # as the reply to the next exchange.
                self.abort("unexpected data after the end of a reply")
        else:
            self.close()
        self._owner.on_reply(self, reply)

    def _complete_reply_at_eof(self) -> None:
        # A response without a length is delimited by the end of the connection.
        try:
            self._codec.receive_data(b"")
            event = self._codec.next_event()
        except h11.RemoteProtocolError as error:
            self._detail = f"connection closed within a reply: {error}"
            return
        if isinstance(event, h11.EndOfMessage):
            reply = self._build_reply()
            if reply is not None:
                self.reusable = False
                self._owner.on_reply(self, reply)

    def _build_reply(self) -> Reply | None:
        head = self._head
        if head is None:
            return None
        body = bytes(self._body)
        self.has_replied = True
        self._head = None
        self._discard_body()
        headers = http.Headers.from_wire(head.headers)
        return Reply(
            status=head.status_code,
            headers=headers,
            body=body,
            size=self._received_bytes,
            request_size=self._sent_bytes,
        )


def _contains_status_line(head: h11.Response) -> bool:
    """Return whether a header value holds the status line of another reply.

    A reply that was cut within a header ends there, and the next one on the connection
    would be taken for the rest of its head.
    """
    return any(_STATUS_LINE.search(value) for _, value in head.headers)
