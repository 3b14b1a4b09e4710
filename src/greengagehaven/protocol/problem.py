"""Conversion of errors to ``application/problem+json`` documents (RFC 9457)."""

from greengagehaven import exceptions
from greengagehaven.protocol import search

CONTENT_TYPE = "application/problem+json"


def from_error(
    error: exceptions.GreengagehavenError, *, request_id: str | None = None
) -> search.Problem:
    """Return the problem document for an error.

    :param error: the error; ``status``, ``ran`` and ``retry_after`` are copied if it
        has them.
    :param request_id: id of the failed request, if known.
    """
    ran = getattr(error, "ran", None)
    return search.Problem(
        code=error.code,
        title=error.code.replace("_", " "),
        status=getattr(error, "status", 500),
        detail=error.detail,
        ran=None if ran is None else str(ran),
        request_id=request_id,
        retry_after=getattr(error, "retry_after", None),
    )
