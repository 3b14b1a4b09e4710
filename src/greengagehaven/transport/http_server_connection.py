"""Server side of one HTTP/1.1 connection: parses requests and writes responses."""

import asyncio
import enum
import math
import typing

import h11

from greengagehaven import exceptions, log, settings
from greengagehaven.transport import (
    arrival,
    connection_report,
    error_responses,
    http,
    request_parsing,
    response_encoding,
    shared_buffer,
    sockets,
)

NEVER = math.inf
MAX_DISCARDED_BYTES = 8_000_000


class State(enum.Enum):
    """State of a server connection."""

    IDLE = "idle"
    READING = "reading"
    HANDLING = "handling"
    WRITING = "writing"
    LINGERING = "lingering"
    CLOSED = "closed"


class ServerConnection(shared_buffer.SharedBufferProtocol):
    """asyncio protocol of an accepted connection.

    Requests on a connection are handled one after the other, in order.

    :param owner: the server, which provides the handler, limits, clock and counts.
    :ivar deadline: monotonic time, in seconds, at which the server calls ``expire``.
    :ivar peer: ``IP:PORT`` of the client.
    :ivar closed_by_client: whether the client has closed or reset the connection, which
        this server had not begun to close.
    """

    def __init__(self, *, owner: typing.Any) -> None:
        self.deadline = NEVER
        self._owner = owner
        self._state = State.CLOSED
        self._transport: typing.Any = None
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.head_bytes
        )
        self._task: asyncio.Task | None = None
        self._end_error: exceptions.RequestError | None = None
        self._has_eof = False
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._body_bytes = 0
        self._pipelined_bytes = 0
        self._discards_input = False
        self._discarded_bytes = 0
        self._read_at: float | None = None
        self._arrival = arrival.ArrivalTime(owner.clock.monotonic())
        self._unread_bytes = 0
        self._write_blocked = False
        self._close_after_write = False
        self.peer = ""
        self.closed_by_client = False

    @property
    def _limits(self) -> typing.Any:
        # Read from the server each time, so that a change of the limits at run time
        # also applies to connections that have been open for hours.
        return self._owner.limits

    @property
    def state(self) -> State:
        """Return the state."""
        return self._state

    @property
    def is_blocked(self) -> bool:
        """Return whether a response is waiting for the client to read it."""
        return self._state is State.WRITING

    @property
    def has_unanswered_request(self) -> bool:
        """Return whether a request was read and its response is not sent completely."""
        if self._state is State.CLOSED:
            return self._transport.get_write_buffer_size() > 0
        return self._state in (State.HANDLING, State.WRITING)

    @property
    def _is_ending(self) -> bool:
        """Return whether further requests are refused."""
        return self._owner.is_ending or self._has_eof or self._end_error is not None

    def connection_made(self, transport: typing.Any) -> None:
        """Set up a new connection, or abort it if the server rejects it."""
        self._transport = transport
        sockets.configure(transport.get_extra_info("socket"))
        # With these marks, resume_writing is called once the whole response has been
        # passed on. A TLS transport pauses at its high-water mark and not only above
        # it: with zero it would pause after the last byte and never resume.
        is_tls = transport.get_extra_info("sslcontext") is not None
        transport.set_write_buffer_limits(high=1 if is_tls else 0, low=0)
        peername = transport.get_extra_info("peername") or ("", 0)
        self.peer = settings.format_address(peername[0], peername[1])
        if not self._owner.connection_opened(self):
            transport.abort()
            return
        self._wait_for_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel its handler."""
        if isinstance(exc, ConnectionResetError):
            self._record_close_by_client(is_reset=True)
        if self._unread_bytes:
            self._owner.report.input_discarded(self.peer, self._unread_bytes)
        self._state = State.CLOSED
        self.deadline = NEVER
        self._release_body()
        self._owner.unsent.release(self)
        self._owner.connection_closed(self)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """End a request whose client sends EOF, and keep the connection to answer it.

        A client that has closed its connection can't be told from one that only sends
        nothing more, so the request counts as abandoned.
        """
        self._record_close_by_client(is_reset=False)
        if self._state is not State.HANDLING or not self._transport.can_write_eof():
            return False
        self._has_eof = True
        error = exceptions.CallerLeftError("the client sent EOF")
        # Deferred: a handler that has just returned still gets to respond.
        asyncio.get_running_loop().call_soon(self.end_request, error)
        return True

    def _record_close_by_client(self, *, is_reset: bool) -> None:
        request = self._unanswered_request()
        if request is not None and not self.closed_by_client:
            self._owner.report.closed_by_client(request, is_reset=is_reset)
        self.closed_by_client |= self._state not in (State.LINGERING, State.CLOSED)

    def pause_writing(self) -> None:
        """Mark the write buffer as not empty."""
        self._write_blocked = True

    def resume_writing(self) -> None:
        """Finish a response once the write buffer is empty."""
        self._write_blocked = False
        self._owner.unsent.release(self)
        if self._state is State.WRITING:
            self._finish_response()

    def data_received(self, data: bytes) -> None:
        """Parse received data, or buffer it while a request is handled."""
        if self._state is State.LINGERING:
            self._discarded_bytes += len(data)
            if self._is_request_read:
                self._unread_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.close()
            return
        if self._state is State.CLOSED:
            return
        if self._state in (State.HANDLING, State.WRITING):
            # Reading continues while the handler runs so that a close is detected.
            self._receive_pipelined(data)
            return
        if self._state is State.IDLE:
            self._begin_request()
        else:
            self._arrival.on_data(self._owner.clock.monotonic())
        self._codec.receive_data(data)
        self._read_events()

    def _receive_pipelined(self, data: bytes) -> None:
        if self._discards_input:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self._transport.pause_reading()
            return
        self._codec.receive_data(data)
        self._pipelined_bytes += len(data)
        self._limit_pipelining()

    def _limit_pipelining(self) -> None:
        """Stop reading from a client that sends ahead, until it is answered.

        What it sends then takes memory in the kernel. If too many clients do so, this
        connection ends with the present response, and further input is discarded.
        """
        if self._pipelined_bytes <= self._limits.head_bytes:
            self._owner.pipelining_ended(self)
            self._transport.resume_reading()
        elif self._owner.may_pipeline(self):
            self._transport.pause_reading()
        else:
            self._discards_input = True
            self._transport.resume_reading()

    def expire(self) -> None:
        """Handle a deadline that has passed."""
        if self._state is State.READING:
            self._reject(
                exceptions.RequestTimeoutError("request was not received in time")
            )
            return
        if self._state is State.WRITING:
            log.warning("slow_reader_cut", peer=self.peer)
            self._report_cut()
            self._transport.abort()
            return
        self.close()

    def end_request(self, error: exceptions.RequestError) -> bool:
        """Cancel the handler of a request and respond with an error.

        Requests that are not read completely, and those that are pipelined behind it,
        are rejected as not run.

        :return: whether there was a request to end.
        """
        if self._state is State.READING:
            self._reject(error_responses.not_run_error())
            return True
        if self._task is None:
            return False
        self._end_error = error
        self._task.cancel()
        return True

    def close(self) -> None:
        """Close the connection once buffered data is sent; abort it if called again."""
        if self._state is not State.CLOSED:
            self._state = State.CLOSED
            # A client that reads nothing would keep the last bytes, and so the
            # connection, forever; the write timeout applies here too.
            write_timeout = self._limits.write_timeout.total_seconds()
            self.deadline = self._owner.clock.monotonic() + write_timeout
            self._transport.close()
        else:
            self._transport.abort()

    def abort(self, detail: str = "") -> asyncio.Task | None:
        """Abort the connection; return the task of the handler, if one runs.

        :param detail: reason to log, if its client is the cause.
        """
        if detail:
            log.warning("slow_reader_cut", peer=self.peer, detail=detail)
        self._report_cut()
        if self._task is not None:
            self._task.cancel()
        self._transport.abort()
        return self._task

    def blackhole(self) -> None:
        """Stop reading and responding without closing, like a broken network path."""
        self._transport.pause_reading()
        self._state = State.CLOSED
        self.deadline = NEVER

    @property
    def _is_request_read(self) -> bool:
        return self._codec.their_state in (h11.DONE, h11.MUST_CLOSE)

    def _report_cut(self) -> None:
        # A client that closed the connection itself was not cut off.
        request = self._unanswered_request()
        if request is not None and not self.closed_by_client:
            self._owner.report.request_cut(
                request, unsent_bytes=self._transport.get_write_buffer_size()
            )

    def _unanswered_request(self) -> connection_report.UnansweredRequest | None:
        is_unanswered = self._state in (State.HANDLING, State.WRITING)
        if not is_unanswered or self._head is None or self._read_at is None:
            return None
        return connection_report.UnansweredRequest.from_head(
            self._head,
            id_header=self._owner.id_header,
            peer=self.peer,
            read_at=self._read_at,
            state=self._state.value,
        )

    def _wait_for_request(self) -> None:
        self._state = State.IDLE
        idle_timeout = self._limits.idle_timeout.total_seconds()
        self.deadline = self._owner.clock.monotonic() + idle_timeout
        self._owner.connection_idle(self)

    def _begin_request(self) -> None:
        self._state = State.READING
        self._read_at = None
        now = self._owner.clock.monotonic()
        self._arrival.on_data(now)
        self.deadline = now + self._limits.request_timeout.total_seconds()
        self._owner.connection_busy(self)

    def _read_events(self) -> None:
        try:
            while self._state is State.READING:
                event = self._codec.next_event()
                if event is h11.NEED_DATA:
                    self._send_continue()
                    self._transport.resume_reading()
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._reject(request_parsing.to_request_error(error))
        except exceptions.RequestError as error:
            self._reject(error)

    def _send_continue(self) -> None:
        if self._codec.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._codec.send(response))

    def _handle_event(self, event: typing.Any) -> None:
        if isinstance(event, h11.Request):
            self._head = event
            self._check_content_length(event)
        elif isinstance(event, h11.Data):
            self._append_body(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._start_handler()
        else:
            self.close()

    def _check_content_length(self, head: h11.Request) -> None:
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._limits.body_bytes:
                raise self._body_too_large_error()

    def _append_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        self._owner.buffered_bytes += len(data)
        self._body += data
        if self._body_bytes > self._limits.body_bytes:
            raise self._body_too_large_error()
        if self._owner.buffered_bytes > self._limits.buffered_bytes:
            raise exceptions.OverloadedError(
                "too many request bodies in memory", retry_after=1.0
            )

    def _body_too_large_error(self) -> exceptions.BodyTooLargeError:
        limit = self._limits.body_bytes
        return exceptions.BodyTooLargeError(f"request body exceeds {limit} bytes")

    def _release_body(self) -> None:
        self._owner.buffered_bytes -= self._body_bytes
        self._body_bytes = 0
        self._body = bytearray()

    def _start_handler(self) -> None:
        assert self._head is not None
        body, self._body = bytes(self._body), bytearray()
        parse = request_parsing.parse_request
        request = parse(self._head, body, self.peer, self._arrival.at)
        self._state = State.HANDLING
        self._read_at = self._owner.clock.monotonic()
        self.deadline = NEVER
        self._pipelined_bytes = len(self._codec.trailing_data[0])
        self._limit_pipelining()
        loop = asyncio.get_running_loop()
        if self._is_ending:
            # Deferred, as each request in a long pipeline would add to the call stack.
            loop.call_soon(self._refuse)
        else:
            self._task = loop.create_task(self._run_handler(request))

    def _refuse(self) -> None:
        self._release_body()
        if self._state is State.HANDLING:
            self._respond(
                error_responses.error_response(error_responses.not_run_error())
            )

    async def _run_handler(self, request: http.Request) -> None:
        try:
            response = await self._owner.handler(request)
        except asyncio.CancelledError:
            if self._end_error is None:
                self._transport.close()
                raise
            response = error_responses.error_response(self._end_error)
        except exceptions.GreengagehavenError as error:
            response = error_responses.error_response(error)
        except Exception as error:
            log.error(
                "handler_failed",
                path=request.path,
                error=type(error).__name__,
                detail=error,
            )
            response = error_responses.internal_error_response()
        finally:
            self._task = None
        self._release_body()
        if self._state is State.HANDLING:
            self._respond(response)

    def _reject(self, error: exceptions.RequestError) -> None:
        self._release_body()
        if self._codec.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.close()
            return
        self._close_after_write = True
        self._respond(error_responses.error_response(error))

    def _respond(self, response: http.Response) -> None:
        is_last = (
            response.closes_connection
            or self._owner.closes_connections
            or self._is_ending
        )
        if self._discards_input or (is_last and not self._has_pipelined_data):
            self._close_after_write = True
        try:
            data = self._encode(response)
        except h11.LocalProtocolError as error:
            log.error("response_failed", detail=error)
            data = self._encode(error_responses.internal_error_response())
        self._state = State.WRITING
        self._transport.write(data)
        if response.on_written is not None:
            response.on_written()
        if not self._write_blocked:
            self._finish_response()
            return
        write_timeout = self._limits.write_timeout.total_seconds()
        self.deadline = self._owner.clock.monotonic() + write_timeout
        self._owner.unsent.add(self, self._transport.get_write_buffer_size())

    @property
    def _has_pipelined_data(self) -> bool:
        """Return whether the client has sent a further request, or a part of it."""
        pipelined_data, _ = self._codec.trailing_data
        return bool(pipelined_data)

    def _encode(self, response: http.Response) -> bytes:
        is_head = self._head is not None and self._head.method == b"HEAD"
        return response_encoding.encode(
            response,
            codec=self._codec,
            has_body=not is_head,
            closes_connection=self._close_after_write,
        )

    def _finish_response(self) -> None:
        self._head = None
        is_complete = self._codec.our_state is h11.DONE
        is_complete &= self._codec.their_state is h11.DONE
        if is_complete and not self._discards_input:
            self._start_next_cycle()
            return
        self._linger()

    def _start_next_cycle(self) -> None:
        self._codec.start_next_cycle()
        if not self._has_pipelined_data:
            self._owner.pipelining_ended(self)
            self._transport.resume_reading()
            self._wait_for_request()
            return
        self._begin_request()
        self._read_events()
        if self._state is State.READING and self._is_ending:
            self._reject(error_responses.not_run_error())

    def _linger(self) -> None:
        # If the socket were closed while the client is still sending, the kernel
        # would send a reset, and the client could lose the response.
        is_one_way = self._has_eof or not self._transport.can_write_eof()
        if is_one_way or self._transport.is_closing():
            self.close()
            return
        self._state = State.LINGERING
        if self._is_request_read:
            self._unread_bytes = len(self._codec.trailing_data[0])
        linger = self._limits.linger.total_seconds()
        self.deadline = self._owner.clock.monotonic() + linger
        try:
            self._transport.write_eof()
        except OSError:
            self._transport.abort()
            return
        self._transport.resume_reading()
