"""The error document: every failure as ``application/problem+json``."""

from greengagehaven import exceptions
from greengagehaven.protocol import search

CONTENT_TYPE = "application/problem+json"


def from_error(
    error: exceptions.GreengagehavenError, *, request_id: str | None = None
) -> search.Problem:
    """Return the problem document of a failure.

    :param error: the failure.
    :param request_id: id of the request that failed, where one was given.
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
