"""Log lines and counts of what an HTTP server cut off, above all while it stops."""

import collections
import dataclasses
import typing
from collections import abc

import h11

from greengagehaven import clock as clocks
from greengagehaven import log

MAX_CUT_LINES = 50
"""Maximum number of ``request_cut`` lines before a drain, and again during it."""

MAX_PATH_CHARACTERS = 80
MAX_ID_CHARACTERS = 80
_MS = 1000.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnansweredRequest:
    """A request that was read, without a complete response so far.

    :param peer: ``IP:PORT`` of the client.
    :param target: its target as received.
    :param read_at: monotonic time, in seconds, at which it had been read.
    :param state: ``handling`` or ``writing``.
    """

    request_id: str
    peer: str
    method: str
    target: str
    read_at: float
    state: str

    @classmethod
    def from_head(
        cls,
        head: h11.Request,
        *,
        id_header: bytes,
        peer: str,
        read_at: float,
        state: str,
    ) -> "UnansweredRequest":
        """Return a request with the id of its head."""
        ids = [value for name, value in head.headers if name == id_header]
        return cls(
            request_id=ids[0].decode("latin-1") if ids else "",
            peer=peer,
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            read_at=read_at,
            state=state,
        )


class ConnectionReport:
    """Logs and counts requests and input that one server did not serve.

    :param clock: the server's clock.
    :ivar address: ``IP:PORT`` of the server.
    :ivar draining_since: monotonic time, in seconds, at which the drain began, ``None``
        before.
    :ivar cut_count: requests that were read and whose connection this server closed
        without a complete response.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self.address = ""
        self.draining_since: float | None = None
        self.cut_count = 0
        self._clock = clock
        self._logged_count = 0
        self._unlogged_count = 0

    @property
    def since_drain(self) -> float:
        """Return the seconds since the drain began, 0 before it."""
        if self.draining_since is None:
            return 0.0
        return self._clock.monotonic() - self.draining_since

    def drain_began(self, now: float) -> None:
        """Begin to count time and lines from the start of a drain.

        :param now: monotonic time in seconds.
        """
        self.flush()
        self._logged_count = 0
        self.draining_since = now

    def listener_closed(self, states: abc.Iterable[str], *, unaccepted: int) -> None:
        """Log that a drain closed the listener.

        :param states: state of each open connection.
        :param unaccepted: connections that were waiting to be accepted.
        """
        log.info(
            "listener_closed",
            address=self.address,
            since_stop_ms=round(self.since_drain * _MS),
            unaccepted=unaccepted,
            **_count_states(states),
        )

    def drain_ended(
        self,
        states: abc.Iterable[str],
        *,
        ended: int,
        left: int,
        is_timed_out: bool,
    ) -> None:
        """Log the end of a drain.

        :param states: state of each open connection.
        :param ended: requests that were answered with an error at the end.
        :param left: requests whose response is not sent completely.
        :param is_timed_out: whether connections were open when its time was over.
        """
        log.info(
            "drain_ended",
            address=self.address,
            took_ms=round(self.since_drain * _MS),
            timed_out=int(is_timed_out),
            ended=ended,
            left=left,
            **_count_states(states),
        )

    def request_cut(self, request: UnansweredRequest, *, unsent_bytes: int) -> None:
        """Count a request that is cut off, and log it within the limit of lines.

        :param unsent_bytes: bytes of its response that the kernel did not take.
        """
        self.cut_count += 1
        if self._logged_count >= MAX_CUT_LINES:
            self._unlogged_count += 1
            return
        self._logged_count += 1
        log.warning(
            "request_cut",
            address=self.address,
            **self._request_fields(request),
            unsent_bytes=unsent_bytes,
        )

    def flush(self) -> None:
        """Log the number of requests that were cut off beyond the limit of lines."""
        if self._unlogged_count:
            log.warning(
                "requests_cut", address=self.address, unlogged=self._unlogged_count
            )
            self._unlogged_count = 0

    def closed_by_client(self, request: UnansweredRequest, *, is_reset: bool) -> None:
        """Log that a client ended its side of the connection before the response.

        Outside a drain it is logged for developers only: callers that give up are
        part of normal operation.
        """
        write_line = log.debug if self.draining_since is None else log.info
        write_line(
            "closed_by_client",
            address=self.address,
            **self._request_fields(request),
            reset=int(is_reset),
        )

    def input_discarded(self, peer: str, byte_count: int) -> None:
        """Log input that followed a request whose response closed the connection."""
        log.info(
            "input_discarded",
            address=self.address,
            peer=peer,
            bytes=byte_count,
            since_stop_ms=round(self.since_drain * _MS),
        )

    def _request_fields(self, request: UnansweredRequest) -> dict[str, typing.Any]:
        path = request.target.partition("?")[0]
        return {
            "request": request.request_id[:MAX_ID_CHARACTERS],
            "peer": request.peer,
            "method": request.method[:MAX_ID_CHARACTERS],
            "path": path[:MAX_PATH_CHARACTERS],
            "state": request.state,
            "since_read_ms": round((self._clock.monotonic() - request.read_at) * _MS),
            "since_stop_ms": round(self.since_drain * _MS),
        }


def _count_states(states: abc.Iterable[str]) -> dict[str, int]:
    counts = collections.Counter(states)
    names = ("reading", "handling", "writing", "lingering", "idle", "closed")
    return {"connections": counts.total(), **{name: counts[name] for name in names}}
