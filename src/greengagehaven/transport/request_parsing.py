"""Turns parsed HTTP/1.1 messages into requests."""

import urllib.parse

import h11

from greengagehaven import exceptions
from greengagehaven.transport import http

MAX_PARAMETERS = 32


def to_request_error(error: h11.RemoteProtocolError) -> exceptions.RequestError:
    """Return the error for a message that is not valid HTTP/1.1."""
    if error.error_status_hint == exceptions.HeadersTooLargeError.status:
        return exceptions.HeadersTooLargeError("request head is too large")
    return exceptions.InvalidRequestError(
        place="request", value=str(error), expected="HTTP/1.1"
    )


def parse_request(
    head: h11.Request, body: bytes, peer: str, arrived_at: float
) -> http.Request:
    """Return a request from its head and body.

    :param peer: ``IP:PORT`` of the client.
    :param arrived_at: monotonic seconds.
    :raises InvalidRequestError: it has too many query parameters.
    """
    target = head.target.decode("latin-1")
    path, _, query_string = target.partition("?")
    parameters: dict[str, str] = {}
    if query_string:
        parameters = _parse_parameters(query_string)
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
        arrived_at=arrived_at,
    )


def _parse_parameters(query_string: str) -> dict[str, str]:
    try:
        pairs = urllib.parse.parse_qsl(query_string, max_num_fields=MAX_PARAMETERS)
    except ValueError as error:
        raise exceptions.InvalidRequestError(
            place="query string",
            value=query_string[:80],
            expected=f"at most {MAX_PARAMETERS} parameters",
        ) from error
    return dict(pairs)
