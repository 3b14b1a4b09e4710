"""Encodes responses as HTTP/1.1 messages."""

import http as http_status

import h11

from greengagehaven.transport import http

_REASONS = {status.value: status.phrase.encode() for status in http_status.HTTPStatus}


def encode(
    response: http.Response,
    *,
    codec: h11.Connection,
    has_body: bool,
    closes_connection: bool,
) -> bytes:
    """Return a response as bytes.

    :param codec: state of the connection that sends it.
    :param has_body: whether the body is sent, as it is not in response to ``HEAD``.
    :param closes_connection: whether the connection is closed after it.
    :raises h11.LocalProtocolError: HTTP does not allow one of its headers.
    """
    headers: list[tuple[str, bytes]] = [
        ("Content-Length", str(len(response.body)).encode())
    ]
    headers += [
        # Values were decoded as Latin-1; this restores the received bytes.
        (name, value.encode("latin-1"))
        for name, value in response.headers
    ]
    if response.content_type is not None:
        headers.insert(0, ("Content-Type", response.content_type.encode()))
    if closes_connection:
        headers.append(("Connection", b"close"))
    head = h11.Response(
        status_code=response.status,
        headers=headers,
        reason=_REASONS.get(response.status, b""),
    )
    parts = [codec.send(head)]
    if response.body and has_body:
        parts.append(codec.send(h11.Data(data=response.body)))
    parts.append(codec.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)
