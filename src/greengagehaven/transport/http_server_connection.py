"""One accepted connection: bytes to requests, responses to bytes."""

import asyncio
import enum
import http as http_status
import math
import typing
import urllib.parse

import h11
import msgspec

from greengagehaven import exceptions, log, settings
from greengagehaven.protocol import codec, problem
from greengagehaven.transport import http, sockets

NEVER = math.inf
MAX_PARAMETERS = 32
MAX_DISCARDED_BYTES = 8_000_000
_REASONS = {status.value: status.phrase.encode() for status in http_status.HTTPStatus}


class State(enum.Enum):
    """What the connection waits for."""

    IDLE = "idle"
    READING = "reading"
    HANDLING = "handling"
    WRITING = "writing"
    LINGERING = "lingering"
    CLOSED = "closed"


class ServerConnection(asyncio.Protocol):
    """Protocol of one connection; requests are handled one after the other.

    :param owner: the server, for its handler, limits, clock and counts.
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
        self._head: h11.Request | None = None
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._early_bytes = 0
        self._discarded_bytes = 0
        self._write_blocked = False
        self._closes_after_write = False
        self.peer = ""

    @property
    def _limits(self) -> typing.Any:
        # Asked anew each time: an operator may change them, and a connection
        # that is open for hours would go by old ones.
        return self._owner.limits

    @property
    def is_blocked(self) -> bool:
        """Tell whether a response waits for the other side to read."""
        return self._state is State.WRITING

    def connection_made(self, transport: typing.Any) -> None:
        """Take up a new connection."""
        self._transport = transport
        sockets.configure(transport.get_extra_info("socket"))
        # With marks at zero, "resume" means that the kernel took everything.
        transport.set_write_buffer_limits(high=0)
        peername = transport.get_extra_info("peername") or ("", 0)
        self.peer = settings.format_address(peername[0], peername[1])
        if not self._owner.connection_opened(self):
            transport.abort()
            return
        self._wait_for_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection; nobody takes the answer any more."""
        self._state = State.CLOSED
        self.deadline = NEVER
        self._release_body()
        self._owner.connection_closed(self)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close: a caller that closed its side has given up on its answer."""
        return False

    def pause_writing(self) -> None:
        """Note that the other side does not keep up."""
        self._write_blocked = True

    def resume_writing(self) -> None:
        """Go on once the response has left."""
        self._write_blocked = False
        if self._state is State.WRITING:
            self._finish_response()

    def data_received(self, data: bytes) -> None:
        """Take bytes of a request."""
        if self._state is State.LINGERING:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.close()
            return
        if self._state is State.CLOSED:
            return
        if self._state in (State.HANDLING, State.WRITING):
            # Reading goes on during the handler so that a close is noticed; a
            # caller that pipelines without end is stopped at the head limit.
            self._early_bytes += len(data)
            if self._early_bytes > self._limits.head_bytes:
                self._transport.pause_reading()
            self._codec.receive_data(data)
            return
        if self._state is State.IDLE:
            self._begin_request()
        self._codec.receive_data(data)
        self._read_events()

    def expire(self) -> None:
        """Act on a deadline that passed."""
        if self._state is State.READING:
            self._refuse(exceptions.RequestTimeoutError("the request came too slowly"))
            return
        if self._state is State.WRITING:
            log.warning("slow_reader_cut", peer=self.peer)
            self._transport.abort()
            return
        self.close()

    def close(self) -> None:
        """Close after what was written has left."""
        if self._state is not State.CLOSED:
            self._state = State.CLOSED
            # A peer that reads nothing would keep the last bytes and with them
            # the connection for good; the write bound holds here too.
            write_timeout = self._limits.write_timeout.total_seconds()
            self.deadline = self._owner.clock.monotonic() + write_timeout
            self._transport.close()
        else:
            self._transport.abort()

    def abort(self) -> asyncio.Task | None:
        """Cut the connection; return the handler's task, if one runs."""
        if self._task is not None:
            self._task.cancel()
        self._transport.abort()
        return self._task

    def go_silent(self) -> None:
        """Stop reading and writing without closing, as a dead path would."""
        self._transport.pause_reading()
        self._state = State.CLOSED
        self.deadline = NEVER

    def _wait_for_request(self) -> None:
        self._state = State.IDLE
        idle_timeout = self._limits.idle_timeout.total_seconds()
        self.deadline = self._owner.clock.monotonic() + idle_timeout
        self._owner.connection_idle(self)

    def _begin_request(self) -> None:
        self._state = State.READING
        request_timeout = self._limits.request_timeout.total_seconds()
        self.deadline = self._owner.clock.monotonic() + request_timeout
        self._owner.connection_busy(self)

    def _read_events(self) -> None:
        try:
            while self._state is State.READING:
                event = self._codec.next_event()
                if event is h11.NEED_DATA:
                    self._allow_body()
                    return
                self._take_event(event)
        except h11.RemoteProtocolError as error:
            self._refuse(_protocol_error(error))
        except exceptions.RequestError as error:
            self._refuse(error)

    def _allow_body(self) -> None:
        if self._codec.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._codec.send(go_on))

    def _take_event(self, event: typing.Any) -> None:
        if isinstance(event, h11.Request):
            self._head = event
            self._check_length(event)
        elif isinstance(event, h11.Data):
            self._take_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._handle()
        else:
            self.close()

    def _check_length(self, head: h11.Request) -> None:
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._limits.body_bytes:
                raise self._too_large()

    def _take_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        self._owner.buffered_bytes += len(data)
        self._chunks.append(data)
        if self._body_bytes > self._limits.body_bytes:
            raise self._too_large()
        if self._owner.buffered_bytes > self._limits.buffered_bytes:
            raise exceptions.OverloadedError("too many bodies at once", retry_after=1.0)

    def _too_large(self) -> exceptions.BodyTooLargeError:
        limit = self._limits.body_bytes
        return exceptions.BodyTooLargeError(f"a body has at most {limit} bytes")

    def _release_body(self) -> None:
        self._owner.buffered_bytes -= self._body_bytes
        self._body_bytes = 0
        self._chunks = []

    def _handle(self) -> None:
        assert self._head is not None
        request = _read_request(self._head, b"".join(self._chunks), self.peer)
        self._state = State.HANDLING
        self.deadline = NEVER
        self._early_bytes = 0
        self._task = asyncio.get_running_loop().create_task(self._answer(request))

    async def _answer(self, request: http.Request) -> None:
        try:
            response = await self._owner.handler(request)
        except asyncio.CancelledError:
            self._transport.close()
            raise
        except exceptions.GreengagehavenError as error:
            response = to_response(error)
        except Exception as error:
            log.error(
                "handler_failed",
                path=request.path,
                error=type(error).__name__,
                detail=error,
            )
            response = _internal_error()
        finally:
            self._task = None
        self._release_body()
        if self._state is State.HANDLING:
            self._respond(response)

    def _refuse(self, error: exceptions.RequestError) -> None:
        self._release_body()
        if self._codec.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.close()
            return
        self._closes_after_write = True
        self._respond(to_response(error))

    def _respond(self, response: http.Response) -> None:
        if self._owner.draining or self._owner.sends_away:
            self._closes_after_write = True
        try:
            data = self._encode(response)
        except h11.LocalProtocolError as error:
            log.error("response_failed", detail=error)
            self.close()
            return
        self._state = State.WRITING
        self._transport.write(data)
        if response.on_written is not None:
            response.on_written()
        if not self._write_blocked:
            self._finish_response()
            return
        write_timeout = self._limits.write_timeout.total_seconds()
        self.deadline = self._owner.clock.monotonic() + write_timeout

    def _encode(self, response: http.Response) -> bytes:
        headers = [("Content-Length", str(len(response.body))), *response.headers]
        if response.content_type is not None:
            headers.insert(0, ("Content-Type", response.content_type))
        if self._closes_after_write:
            headers.append(("Connection", "close"))
        head = h11.Response(
            status_code=response.status,
            headers=headers,
            reason=_REASONS.get(response.status, b""),
        )
        parts = [self._codec.send(head)]
        if response.body and not self._is_head():
            parts.append(self._codec.send(h11.Data(data=response.body)))
        parts.append(self._codec.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def _is_head(self) -> bool:
        return self._head is not None and self._head.method == b"HEAD"

    def _finish_response(self) -> None:
        self._head = None
        both_done = self._codec.our_state is h11.DONE
        if both_done and self._codec.their_state is h11.DONE:
            self._next_cycle()
            return
        self._linger()

    def _next_cycle(self) -> None:
        self._codec.start_next_cycle()
        early_data, _ = self._codec.trailing_data
        self._transport.resume_reading()
        if not early_data:
            self._wait_for_request()
            return
        self._begin_request()
        self._read_events()

    def _linger(self) -> None:
        # To close while the caller still sends makes the kernel answer with a
        # reset, and the caller then loses the response that says why.
        if self._transport.is_closing() or not self._transport.can_write_eof():
            self.close()
            return
        self._state = State.LINGERING
        linger = self._limits.linger.total_seconds()
        self.deadline = self._owner.clock.monotonic() + linger
        try:
            self._transport.write_eof()
        except OSError:
            self._transport.abort()
            return
        self._transport.resume_reading()


def to_response(
    error: exceptions.GreengagehavenError, *, request_id: str | None = None
) -> http.Response:
    """Return a failure as problem+json.

    :param request_id: id of the request that failed, where it has one.
    """
    message = problem.from_error(error, request_id=request_id)
    headers: tuple[tuple[str, str], ...] = ()
    if message.retry_after is not None:
        headers = (("Retry-After", str(math.ceil(message.retry_after))),)
    if message.status == http_status.HTTPStatus.UNAUTHORIZED:
        headers = (*headers, ("WWW-Authenticate", "Bearer"))
    return http.Response(
        status=message.status,
        body=codec.encode_json(message),
        content_type=problem.CONTENT_TYPE,
        headers=headers,
    )


def _internal_error() -> http.Response:
    error = exceptions.GreengagehavenError("unexpected failure, see the host's log")
    message = problem.from_error(error)
    message = msgspec.structs.replace(message, ran=str(exceptions.Ran.UNKNOWN))
    return http.Response(
        status=message.status,
        body=codec.encode_json(message),
        content_type=problem.CONTENT_TYPE,
    )


def _protocol_error(error: h11.RemoteProtocolError) -> exceptions.RequestError:
    if error.error_status_hint == exceptions.HeadersTooLargeError.status:
        return exceptions.HeadersTooLargeError("the head of the request is too large")
    return exceptions.InvalidRequestError(
        place="request", value=str(error), expected="HTTP/1.1"
    )


def _read_request(head: h11.Request, body: bytes, peer: str) -> http.Request:
    target = head.target.decode("latin-1")
    path, _, query_string = target.partition("?")
    parameters: dict[str, str] = {}
    if query_string:
        parameters = _read_parameters(query_string)
    if "%" in path:
        path = urllib.parse.unquote(path)
    return http.Request(
        method=head.method.decode("latin-1"),
        path=path,
        parameters=parameters,
        headers=http.Headers.from_wire(head.headers),
        body=body,
        peer=peer,
        target=target,
    )


def _read_parameters(query_string: str) -> dict[str, str]:
    try:
        pairs = urllib.parse.parse_qsl(query_string, max_num_fields=MAX_PARAMETERS)
    except ValueError as error:
        raise exceptions.InvalidRequestError(
            place="query string",
            value=query_string[:80],
            expected=f"at most {MAX_PARAMETERS} parameters",
        ) from error
    return dict(pairs)
