"""HTTP messages as the handlers of the daemons see them."""

import dataclasses
import typing
from collections import abc


class Headers:
    """Case-insensitive, read-only headers.

    :param pairs: (name, value) in the order of the message; where a name comes
        twice, the values are joined by a comma.

    >>> Headers([("Request-Id", "r-1")])["request-id"]
    'r-1'
    """

    def __init__(self, pairs: abc.Iterable[tuple[str, str]] = ()) -> None:
        self._values_by_name: dict[str, str] = {}
        for name, value in pairs:
            key = name.lower()
            known = self._values_by_name.get(key)
            self._values_by_name[key] = value if known is None else f"{known}, {value}"

    @classmethod
    def from_wire(cls, pairs: abc.Iterable[tuple[bytes, bytes]]) -> "Headers":
        """Return headers from bytes whose names are lower-case already."""
        headers = cls()
        values_by_name = headers._values_by_name
        for raw_name, raw_value in pairs:
            name = raw_name.decode("latin-1")
            value = raw_value.decode("latin-1")
            if name in values_by_name:
                value = f"{values_by_name[name]}, {value}"
            values_by_name[name] = value
        return headers

    def __getitem__(self, name: str) -> str:
        return self._values_by_name[name.lower()]

    def __contains__(self, name: str) -> bool:
        return name.lower() in self._values_by_name

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the value of a header, or ``default``."""
        return self._values_by_name.get(name.lower(), default)

    def items(self) -> abc.Iterable[tuple[str, str]]:
        """Return (lower-case name, value) pairs."""
        return self._values_by_name.items()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request that was read whole.

    :param target: path and query string as they came.
    :param path: decoded path without the query string.
    :param parameters: the query string's last value of each name.
    :param peer: ``IP:PORT`` of the other side.
    """

    method: str
    path: str
    parameters: abc.Mapping[str, str]
    headers: Headers
    body: bytes
    peer: str
    target: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A response, written with a ``Content-Length``.

    :param content_type: ``None`` where the headers say it, or nothing does.
    :param on_written: called once its bytes were handed to the socket.
    """

    status: int
    body: bytes = b""
    content_type: str | None = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    on_written: typing.Callable[[], None] | None = None


Handler = typing.Callable[[Request], typing.Awaitable[Response]]
