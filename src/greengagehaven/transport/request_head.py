"""A request head that is validated and serialized once for several upstreams."""

import functools
from collections import abc

import h11

from greengagehaven import exceptions


class RequestHead:
    """Method, target and headers shared by all upstreams of a request.

    A sweep (a request to all shards of a route) is sent to dozens of upstreams with
    heads that differ in two headers only, so the common part is validated and
    serialized once.

    :param headers: request headers except ``Content-Length``, which is added.
    :param body_size: length of the request body in bytes.
    :ivar framing_event: event with the same method and body length, which an h11
        connection needs in order to parse the reply.
    :raises h11.LocalProtocolError: a header is malformed.
    """

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: abc.Iterable[tuple[str, str]],
        body_size: int = 0,
    ) -> None:
        length = ("Content-Length", str(body_size))
        self._request = h11.Request(
            method=method, target=target, headers=[*headers, length]
        )
        self.framing_event = h11.Request(
            method=method, target="/", headers=[("Host", "-"), length]
        )

    def serialize(self, extra_headers: abc.Iterable[tuple[str, str]] = ()) -> bytes:
        """Return the serialized head with headers added for one upstream.

        :param extra_headers: (name, value) pairs; values must be printable ASCII.
        :raises InvalidRequestError: a value contains other characters, such as a
            line break that could terminate the head.
        """
        lines = [self._unterminated_head]
        for name, value in extra_headers:
            if not (value.isascii() and value.isprintable()):
                raise exceptions.InvalidRequestError(
                    place=name, value=value, expected="printable ASCII characters"
                )
            lines.append(f"{name}: {value}\r\n".encode())
        lines.append(b"\r\n")
        return b"".join(lines)

    @functools.cached_property
    def _unterminated_head(self) -> bytes:
        data = h11.Connection(h11.CLIENT).send(self._request) or b""
        return data.removesuffix(b"\r\n")
