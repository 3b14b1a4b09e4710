"""Client library: one function for a single search, a session for many.

>>> import greengagehaven
>>> answer = await greengagehaven.search(
...     "http://127.0.0.1:8080", ["credits-0"], "sweep", key="demo-key"
... )
>>> answer.coverage.complete
True
"""

import datetime
import ssl
import types
import typing
import urllib.parse

import msgspec

from greengagehaven import exceptions, settings
from greengagehaven.protocol import codec
from greengagehaven.protocol import search as messages
from greengagehaven.transport import client_connection, http_client

DEFAULT_TIMEOUT = datetime.timedelta(seconds=10)
RESPONSE_GRACE = datetime.timedelta(seconds=1)
SEARCH_PATH = "/v1/search"
REQUESTS_PATH = "/v1/requests/"
HTTP_OK = 200
_PORTS_BY_SCHEME = {"http": 80, "https": 443}

Query = typing.Mapping[str, typing.Any]


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One row of an answer and the shard that returned it."""

    service: str
    shard: int
    row: typing.Any


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a search: rows of a single snapshot and their shard coverage."""

    request_id: str
    snapshot: int
    results: tuple[Row, ...]
    coverage: messages.Coverage


class Session:
    """Runs searches over persistent connections.

    >>> async with Session("http://127.0.0.1:8080", key="demo-key") as session:
    ...     answer = await session.search(["credits-0"], "sweep")
    ...     for result in answer.results:
    ...         print(result.service, result.row)

    :param url: an entry host, or the load balancer in front, by IP address.
    :param key: the subscriber's API key.
    :param timeout: default timeout of each search.
    :param tls: context for ``https``; trusts the system's authorities by default.
    """

    def __init__(
        self,
        url: str,
        *,
        key: str = "",
        timeout: datetime.timedelta = DEFAULT_TIMEOUT,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.timeout = timeout
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}
        address, is_secure = _parse_url(url)
        if is_secure and tls is None:
            tls = ssl.create_default_context()
        self._client = http_client.HttpClient(
            address=address, tls=tls if is_secure else None
        )

    async def __aenter__(self) -> "Session":
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close every connection; searches in progress fail."""
        self._client.close()

    async def search(
        self,
        services: typing.Sequence[str],
        kind: str,
        query: Query | None = None,
        *,
        idempotency_key: str | None = None,
        require_complete: bool | None = None,
        timeout: datetime.timedelta | None = None,
    ) -> Answer:
        """Search services and return the answer.

        :param query: parameters passed to the upstreams; none by default.
        :param idempotency_key: required for kinds that may run only once; a
            resend with the same key never runs the request again.
        :param require_complete: ``True`` to get an error instead of a partial
            answer, ``None`` for the policy of the kind.
        :param timeout: for the whole search; the session's by default.
        :raises RequestError: the error response; ``ran`` says whether any part
            may have run, ``retry_after`` in how many seconds to resend.
        :raises UpstreamError: no response was received: ``ConnectError`` where
            nothing was sent, ``ConnectionLostError`` where something was.
        """
        body: dict[str, typing.Any] = {"services": list(services), "kind": kind}
        if query is not None:
            body["query"] = query
        if require_complete is not None:
            body["require_complete"] = require_complete
        search_timeout = timeout or self.timeout
        milliseconds = max(1, int(search_timeout.total_seconds() * 1000))
        headers = {"Request-Timeout-Ms": str(milliseconds)}
        if idempotency_key is not None:
            headers["Idempotency-Key"] = idempotency_key
        # At the deadline the host sends an error of its own, which says more than
        # a connection timeout, so the connection waits a little longer.
        reply = await self._request(
            "POST",
            SEARCH_PATH,
            body,
            headers=headers,
            timeout=search_timeout + RESPONSE_GRACE,
        )
        return _decode_reply(reply, Answer, body)

    async def request_status(self, idempotency_key: str) -> messages.RequestStatus:
        """Return the status of a request that was sent with an idempotency key.

        :raises NotFoundError: no request with this key is known.
        """
        path = REQUESTS_PATH + urllib.parse.quote(idempotency_key, safe="")
        reply = await self._request("GET", path, None, timeout=self.timeout)
        return _decode_reply(reply, messages.RequestStatus, idempotency_key)

    async def _request(
        self,
        method: str,
        path: str,
        body: typing.Any,
        *,
        headers: dict[str, str] | None = None,
        timeout: datetime.timedelta,
    ) -> client_connection.Reply:
        try:
            return await self._client.request(
                method,
                path,
                body=b"" if body is None else codec.encode_json(body),
                headers={**self._headers, **(headers or {})},
                timeout=timeout,
            )
        except exceptions.UpstreamError as error:
            error.request = body
            raise


async def run_search(
    url: str,
    services: typing.Sequence[str],
    kind: str,
    query: Query | None = None,
    *,
    key: str = "",
    tls: ssl.SSLContext | None = None,
    **options: typing.Any,
) -> Answer:
    """Run a single search; takes the arguments of :meth:`Session.search`.

    >>> await greengagehaven.search(
    ...     "http://127.0.0.1:8080", ["credits-0"], "lookup",
    ...     {"key": "credits-0:7"}, key="demo-key",
    ... )

    :param url: an entry host, or the load balancer in front, by IP address.
    :param key: the subscriber's API key.
    """
    async with Session(url, key=key, tls=tls) as session:
        return await session.search(services, kind, query, **options)


def _parse_url(url: str) -> tuple[str, bool]:
    parts = urllib.parse.urlsplit(url)
    if parts.scheme not in _PORTS_BY_SCHEME or not parts.hostname:
        raise exceptions.SettingError(
            place="url", value=url, expected="http://IP:PORT or https://IP:PORT"
        )
    port = parts.port or _PORTS_BY_SCHEME[parts.scheme]
    address = settings.format_address(parts.hostname, port)
    settings.parse_address("url", address)
    return address, parts.scheme == "https"


def _decode_reply(
    reply: client_connection.Reply, message_type: type, request: typing.Any
) -> typing.Any:
    if reply.status == HTTP_OK:
        return codec.decode_json(reply.body, message_type, place="answer")
    problem = read_problem(reply)
    error = _build_error(problem)
    error.request = request
    error.response = reply
    raise error


def read_problem(reply: client_connection.Reply) -> messages.Problem:
    """Return the problem document of an error response, or one in its place."""
    try:
        return msgspec.json.decode(reply.body, type=messages.Problem)
    except msgspec.DecodeError:
        # The response came from an intermediary, such as a load balancer, so
        # whether the request ran is unknown.
        return messages.Problem(
            code=exceptions.RequestError.code,
            title="response is not a problem document",
            status=reply.status,
            ran=str(exceptions.Ran.UNKNOWN),
        )


def _build_error(problem: messages.Problem) -> exceptions.RequestError:
    types_by_code = _collect_types_by_code(exceptions.RequestError)
    error_type = types_by_code.get(problem.code, exceptions.RequestError)
    error = error_type.__new__(error_type)
    ran = exceptions.Ran(problem.ran or exceptions.Ran.UNKNOWN)
    exceptions.RequestError.__init__(
        error, problem.detail, ran=ran, retry_after=problem.retry_after
    )
    error.code = problem.code
    return error


def _collect_types_by_code(base: type) -> dict[str, type]:
    types_by_code = {base.code: base}
    for subclass in base.__subclasses__():
        types_by_code.update(_collect_types_by_code(subclass))
    return types_by_code
