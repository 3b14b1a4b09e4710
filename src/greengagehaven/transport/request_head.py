"""The head of a request that goes to several upstreams, checked and written once."""

import functools
from collections import abc

import h11

from greengagehaven import exceptions


class RequestHead:
    """Method, target and headers that all upstreams of a request get alike.

    A sweep goes to dozens of upstreams with heads that differ in two headers only; to
    check and write the rest anew for each would be work done in vain.

    :param headers: without ``Content-Length``, which is added.
    :param body_size: bytes of the body that follows.

    ``event`` is what a codec has to be told to read the reply: method and framing.

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
        self._whole = h11.Request(
            method=method, target=target, headers=[*headers, length]
        )
        self.event = h11.Request(
            method=method, target="/", headers=[("Host", "-"), length]
        )

    def serialize(self, extra: abc.Iterable[tuple[str, str]] = ()) -> bytes:
        """Return the bytes of the head with headers of one upstream.

        :param extra: names and values of printable ASCII characters.
        :raises InvalidRequestError: one is not; it might end the head.
        """
        lines = [self._open_head]
        for name, value in extra:
            if not (value.isascii() and value.isprintable()):
                raise exceptions.InvalidRequestError(
                    place=name, value=value, expected="printable ASCII characters"
                )
            lines.append(f"{name}: {value}\r\n".encode())
        lines.append(b"\r\n")
        return b"".join(lines)

    @functools.cached_property
    def _open_head(self) -> bytes:
        data = h11.Connection(h11.CLIENT).send(self._whole) or b""
        return data.removesuffix(b"\r\n")
