"""HTTP requests and responses, as passed to and returned by request handlers."""

import dataclasses
import typing
from collections import abc


class Headers:
    """Case-insensitive, read-only HTTP headers.

    :param pairs: (name, value) pairs in message order; values of a repeated name
        are joined with a comma.

    >>> Headers([("Request-Id", "r-1")])["request-id"]
    'r-1'
    """

    def __init__(self, pairs: abc.Iterable[tuple[str, str]] = ()) -> None:
        self._values_by_name: dict[str, str] = {}
        for name, value in pairs:
            key = name.lower()
            previous = self._values_by_name.get(key)
            self._values_by_name[key] = (
                value if previous is None else f"{previous}, {value}"
            )

    @classmethod
    def from_wire(cls, pairs: abc.Iterable[tuple[bytes, bytes]]) -> "Headers":
        """Return headers from undecoded pairs whose names are in lower case."""
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
        """Return the value of a header, or ``default`` if it is missing."""
        return self._values_by_name.get(name.lower(), default)

    def items(self) -> abc.Iterable[tuple[str, str]]:
        """Return (name, value) pairs with names in lower case."""
        return self._values_by_name.items()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A complete HTTP request.

    :param path: percent-decoded path without the query string.
    :param parameters: query parameters; the last value of a repeated name.
    :param peer: ``IP:PORT`` of the client.
    :param target: request target (path and query string) as received.
    :param arrived_at: monotonic seconds at which it had arrived, ``None`` if not known.
        It may be read some iterations of the event loop later.
    """

    method: str
    path: str
    parameters: abc.Mapping[str, str]
    headers: Headers
    body: bytes
    peer: str
    target: str = ""
    arrived_at: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """An HTTP response; ``Content-Length`` is added when it is written.

    :param content_type: value of ``Content-Type``; ``None`` if ``headers`` contain
        it or the response has none.
    :param on_written: called once the response was written to the transport.
    :param closes_connection: whether the connection is closed after the response.
    """

    status: int
    body: bytes = b""
    content_type: str | None = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    on_written: typing.Callable[[], None] | None = None
    closes_connection: bool = False


Handler = typing.Callable[[Request], typing.Awaitable[Response]]
