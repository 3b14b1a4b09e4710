"""HTTP API of an entry host for callers (docs/PROTOCOL.md)."""

import hashlib
import hmac
import secrets
import typing
import uuid

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import events
from greengagehaven.daemons import core_loop
from greengagehaven.daemons import query_metrics as metrics_module
from greengagehaven.protocol import codec, search
from greengagehaven.state import document
from greengagehaven.transport import error_responses, http

SEARCH_PATH = "/v1/search"
REQUESTS_PATH = "/v1/requests/"
MAX_TIMEOUT_MS = 600_000
MAX_KEY_CHARACTERS = 200
_NO_DIGEST = "0" * 64
_TEXT = "text/plain; charset=utf-8"

StatusOf = typing.Callable[[str, str], typing.Awaitable[search.RequestStatus]]


class CallerApi:
    """Converts HTTP requests of callers into queries, and answers into responses.

    :param is_ready: returns whether the load balancer should send callers here.
    :param is_draining: returns whether new queries are refused.
    :param status_of: returns the status of a (subscriber id, idempotency key).
    :param metrics_token: bearer token required for ``/metrics``; ``None`` for no
        authentication.
    """

    def __init__(
        self,
        *,
        loop: core_loop.CoreLoop,
        clock: clocks.Clock,
        metrics: metrics_module.QueryMetrics,
        is_ready: typing.Callable[[], bool],
        is_draining: typing.Callable[[], bool],
        status_of: StatusOf,
        metrics_token: str | None = None,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._metrics = metrics
        self._is_ready = is_ready
        self._is_draining = is_draining
        self._status_of = status_of
        self._metrics_token = metrics_token
        self._environment: document.Environment | None = None

    def set_environment(self, environment: document.Environment) -> None:
        """Set the document in force, which holds the keys of the subscribers."""
        self._environment = environment

    async def handle(self, request: http.Request) -> http.Response:
        """Handle one request.

        :raises RequestError: the request is invalid or refused.
        """
        if request.path == SEARCH_PATH:
            return await self._search(request)
        if request.path.startswith(REQUESTS_PATH):
            return await self._request_status(request)
        if request.path in ("/healthz", "/readyz", "/metrics"):
            return self._handle_operational(request)
        # Authenticates first: without a key, a client can't find out which paths exist.
        self._authenticate(request)
        raise exceptions.NotFoundError(request.path[:100])

    async def _search(self, request: http.Request) -> http.Response:
        subscriber_id = self._authenticate(request)
        if request.method != "POST":
            raise exceptions.MethodNotAllowedError("use POST")
        if self._is_draining():
            raise exceptions.DrainingError("the host is stopping", retry_after=1.0)
        body = codec.decode_json(request.body, search.SearchBody)
        submitted = events.QuerySubmitted(
            request_id=f"r-{uuid.UUID(bytes=secrets.token_bytes(16)).hex}",
            subscriber_id=subscriber_id,
            services=body.services,
            kind=body.kind,
            query=body.query,
            deadline=self._parse_deadline(request),
            idempotency_key=request.headers.get("idempotency-key"),
            require_complete=body.require_complete,
        )
        try:
            answer = await self._loop.search(submitted)
        except exceptions.RequestError as error:
            log.info(
                "query_refused",
                request=submitted.request_id,
                subscriber=subscriber_id,
                kind=submitted.kind,
                code=error.code,
                ran=error.ran,
                detail=error.detail,
            )
            return error_responses.error_response(
                error, request_id=submitted.request_id
            )
        return http.Response(status=200, body=codec.encode_json(answer))

    async def _request_status(self, request: http.Request) -> http.Response:
        subscriber_id = self._authenticate(request)
        if request.method != "GET":
            raise exceptions.MethodNotAllowedError("use GET")
        key = request.path.removeprefix(REQUESTS_PATH)
        if not 1 <= len(key) <= MAX_KEY_CHARACTERS:
            raise exceptions.InvalidRequestError(
                place="path", value=key[:80], expected="an idempotency key"
            )
        status = await self._status_of(subscriber_id, key)
        return http.Response(status=200, body=codec.encode_json(status))

    def _handle_operational(self, request: http.Request) -> http.Response:
        if request.method not in ("GET", "HEAD"):
            raise exceptions.MethodNotAllowedError("use GET")
        if request.path == "/healthz":
            return http.Response(status=200, body=b"ok\n", content_type=_TEXT)
        if request.path == "/readyz":
            if self._is_ready():
                return http.Response(status=200, body=b"ready\n", content_type=_TEXT)
            return http.Response(status=503, body=b"not ready\n", content_type=_TEXT)
        if self._metrics_token is not None:
            token = _bearer_token(request)
            if not hmac.compare_digest(token.encode(), self._metrics_token.encode()):
                raise exceptions.UnauthorizedError("a bearer token is required")
        return http.Response(
            status=200, body=self._metrics.render(), content_type=_TEXT
        )

    def _authenticate(self, request: http.Request) -> str:
        environment = self._environment
        if environment is None:
            raise exceptions.NotConfiguredError(
                "no document is in force yet", retry_after=1.0
            )
        key = _bearer_token(request)
        digest = hashlib.sha256(key.encode()).hexdigest()
        subscriber_id = environment.subscriber_ids_by_key_digest.get(digest)
        # The comparison takes the same time for known and unknown keys. The timing
        # of the lookup depends on the digest only, which an attacker can't choose.
        known = _NO_DIGEST if subscriber_id is None else digest
        if not hmac.compare_digest(known, digest) or subscriber_id is None:
            raise exceptions.UnauthorizedError("a valid key is required")
        return subscriber_id

    def _parse_deadline(self, request: http.Request) -> float | None:
        text = request.headers.get("request-timeout-ms")
        if text is None:
            return None
        is_number = text.isascii() and text.isdigit() and len(text) <= 9
        if not is_number or not 1 <= int(text) <= MAX_TIMEOUT_MS:
            raise exceptions.InvalidRequestError(
                place="headers.Request-Timeout-Ms",
                value=text[:80],
                expected=f"an integer from 1 to {MAX_TIMEOUT_MS}",
            )
        return self._clock.monotonic() + int(text) / 1000


def _bearer_token(request: http.Request) -> str:
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
