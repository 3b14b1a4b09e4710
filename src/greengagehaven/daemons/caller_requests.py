"""Requests of callers: what is read of them, forwarded and sent as responses."""

import asyncio
import datetime
from collections import abc

import xxhash

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.coordination.routing import events, merging
from greengagehaven.daemons import delegation_client
from greengagehaven.protocol import delegation_messages, header_names
from greengagehaven.state import routes, teams
from greengagehaven.transport import (
    client_connection,
    exchanges,
    http,
    http_server,
    request_head,
)

MAX_TIMEOUT_S = 86_400.0
MIN_REQUEST_TIMEOUT_S = 10.0
"""Least time in which a whole request may arrive; the document limits its head only."""

BINARY_CONTENT_TYPE = "application/octet-stream"
_MS = 1000.0

Part = client_connection.Reply | delegation_client.MergedPart


class CallerRequest:
    """A request in flight, with the future of its response.

    :param request: the request as it arrived.
    :param future: gets the response.
    :param names: names of the HTTP headers.
    """

    def __init__(
        self,
        *,
        request: http.Request,
        future: asyncio.Future[http.Response],
        names: header_names.HeaderNames,
    ) -> None:
        self.request = request
        self.attempts: list[int] = []
        self._future = future
        self._names = names
        self._headers: list[tuple[str, str]] | None = None
        self._head: request_head.RequestHead | None = None

    @property
    def request_id(self) -> str:
        """Return the id that the caller sent, empty if it sent none."""
        return self.request.headers.get(self._names.request_id) or ""

    def forwarded_headers(self, team: str) -> list[tuple[str, str]]:
        """Return the headers to forward, the same for all upstreams.

        :param team: id of the team that sent the request, empty if there is none.
        """
        if self._headers is None:
            self._headers = self._select_headers()
            if team:
                self._headers.append((self._names.team, team))
        return self._headers

    def forwarded_head(self, team: str) -> request_head.RequestHead:
        """Return the head to forward, the same for all upstreams.

        :param team: id of the team that sent the request, empty if there is none.
        """
        if self._head is None:
            self._head = request_head.RequestHead(
                method=self.request.method,
                target=self.request.target,
                headers=self.forwarded_headers(team),
                body_size=len(self.request.body),
            )
        return self._head

    def respond(self, response: http.Response) -> None:
        """Set the response, unless there is one or the caller has gone."""
        if not self._future.done():
            self._future.set_result(response)

    def _select_headers(self) -> list[tuple[str, str]]:
        left_out = {
            self._names.time_left,
            self._names.expected_upstream,
            self._names.key,
            self._names.team,
            *_connection_options(self.request.headers),
        }
        return [
            (name, value)
            for name, value in self.request.headers.items()
            if name not in exchanges.NOT_FORWARDED_HEADERS and name not in left_out
        ]


def host_of(request: http.Request) -> str:
    """Return the host that a request names, in lower case and without the port."""
    return (request.headers.get("host") or "").partition(":")[0].lower()


def fingerprint_of(request: http.Request) -> str:
    """Return a hash, equal for requests that upstreams can't distinguish."""
    head = f"{request.method} {host_of(request)} {request.target}\n"
    digest = xxhash.xxh64(head.encode())
    digest.update(request.body)
    return digest.hexdigest()


def key_digest_of(request: http.Request, header_name: str) -> str:
    """Return the digest of the caller's key, empty if it sent none."""
    key = request.headers.get(header_name)
    # Header values were decoded as Latin-1; this restores the bytes that were sent.
    return teams.digest_of_key(key.encode("latin-1")) if key else ""


def age_of(request: http.Request, clock: clocks.Clock) -> float:
    """Return the seconds since a request arrived, 0 if that is not known."""
    if request.arrived_at is None:
        return 0.0
    return clock.monotonic() - request.arrived_at


def parse_time_left(value: str | None) -> float | None:
    """Return the seconds that the caller waits, ``None`` if absent or invalid."""
    try:
        milliseconds = float(value or "")
    except ValueError:
        return None
    return milliseconds / _MS if 0 <= milliseconds < float("inf") else None


def _connection_options(headers: http.Headers) -> tuple[str, ...]:
    value = headers.get("connection")
    if value is None:
        return ()
    return tuple(option.strip().lower() for option in value.split(","))


def forwarded_response(reply: client_connection.Reply) -> http.Response:
    """Return the reply of an upstream as the response to the caller."""
    options = _connection_options(reply.headers)
    headers = tuple(
        (name, value)
        for name, value in reply.headers.items()
        if name not in exchanges.NOT_FORWARDED_HEADERS and name not in options
    )
    return http.Response(
        status=reply.status, body=reply.body, content_type=None, headers=headers
    )


def merged_response(
    parts: abc.Iterable[Part],
    answer: events.AnswerParts,
    *,
    names: header_names.HeaderNames,
    on_written: abc.Callable[[], None],
) -> http.Response:
    """Return the response to a sweep, merged from its parts.

    :param parts: replies of upstreams, and parts that other hosts merged.
    :param answer: what the router decided on the response.
    :param on_written: called once the response was written.
    """
    signatures: list[str] = []
    bodies: list[bytes] = []
    reports: list[delegation_messages.AttemptReport] = []
    for part in parts:
        if isinstance(part, delegation_client.MergedPart):
            signatures.append(part.signature)
            # The records of a report cover all parts in it.
            if not any(part.report is report for report in reports):
                reports.append(part.report)
        else:
            signatures.append(part.headers[names.signature])
            bodies.append(part.body)
    bodies += [report.records for report in reports]
    return http.Response(
        on_written=on_written,
        status=200,
        body=merging.greatest_records(bodies, answer.top_records),
        content_type=BINARY_CONTENT_TYPE,
        headers=(
            (names.part_signatures, ", ".join(signatures)),
            (names.missing_parts, str(answer.missing)),
        ),
    )


def error_response(error: exceptions.RequestError) -> http.Response:
    """Return the response to a request that is refused."""
    headers: tuple[tuple[str, str], ...] = ()
    if error.retry_after is not None:
        headers = (("Retry-After", f"{error.retry_after:.3f}"),)
    return http.Response(
        status=error.status,
        content_type=None,
        headers=headers,
        # A caller that kept its connection would return to this host, while the load
        # balancer sends new connections to others.
        closes_connection=isinstance(error, exceptions.KeyLeaseExpiredError),
    )


def server_limits(limits: routes.CallerLimits) -> http_server.ServerLimits:
    """Return the limits of the document in force as those of the HTTP server."""
    return http_server.ServerLimits(
        body_bytes=limits.body_bytes,
        head_bytes=limits.head_bytes,
        request_timeout=_timeout(max(limits.head_timeout, MIN_REQUEST_TIMEOUT_S)),
        idle_timeout=_timeout(limits.idle_timeout),
    )


def _timeout(seconds: float) -> datetime.timedelta:
    """Return a timeout within the range that a ``timedelta`` can represent."""
    return datetime.timedelta(seconds=max(0.0, min(seconds, MAX_TIMEOUT_S)))
