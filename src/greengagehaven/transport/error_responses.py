"""Responses to requests that fail."""

import http as http_status
import math

import msgspec

from greengagehaven import exceptions
from greengagehaven.protocol import codec, problem
from greengagehaven.transport import http


def error_response(
    error: exceptions.GreengagehavenError, *, request_id: str | None = None
) -> http.Response:
    """Return an error as a problem+json response.

    :param request_id: id of the failed request, if it has one.
    """
    message = problem.from_error(error, request_id=request_id)
    headers: tuple[tuple[str, str], ...] = ()
    if message.retry_after is not None:
        headers = (("Retry-After", str(math.ceil(message.retry_after))),)
    if message.status == http_status.HTTPStatus.UNAUTHORIZED:
        headers = (*headers, ("WWW-Authenticate", "Bearer"))
    return http.Response(
        status=message.status,
        body=codec.encode_json(message),
        content_type=problem.CONTENT_TYPE,
        headers=headers,
    )


def not_run_error() -> exceptions.DrainingError:
    """Return the error for a request that a connection no longer serves."""
    return exceptions.DrainingError("the connection is ending, nothing was run")


def internal_error_response() -> http.Response:
    """Return the response to a request whose handler failed."""
    error = exceptions.GreengagehavenError("unexpected failure, see the host's log")
    message = problem.from_error(error)
    message = msgspec.structs.replace(message, ran=str(exceptions.Ran.UNKNOWN))
    return http.Response(
        status=message.status,
        body=codec.encode_json(message),
        content_type=problem.CONTENT_TYPE,
    )
