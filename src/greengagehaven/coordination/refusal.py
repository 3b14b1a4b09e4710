"""Errors of queries that end without an answer."""

from greengagehaven import exceptions
from greengagehaven.coordination import query
from greengagehaven.protocol import search, upstream

RETRY_AFTER_S = 1.0
"""Value of ``Retry-After``, in seconds."""


def to_error(
    running: query.Query, coverage: search.Coverage
) -> exceptions.RequestError:
    """Return the error for a query that ends without an answer.

    A non-idempotent query that may have run gets ``OutcomeUnknownError``, which
    has no retry delay.

    :param coverage: coverage when the query ended.
    """
    ran = running.ran
    detail = f"{coverage.answered} of {coverage.total} shards answered"
    if ran is not exceptions.Ran.NO and not running.kind.idempotent:
        return exceptions.OutcomeUnknownError(detail, ran=ran)
    error_class = (
        exceptions.DeadlineExceededError
        if running.has_timed_out
        else exceptions.IncompleteError
    )
    return error_class(detail, ran=ran, retry_after=RETRY_AFTER_S)


def missing_reason(failed: upstream.Failed) -> search.MissingReason:
    """Return the reason reported for a shard whose last attempt failed."""
    if failed.reason is upstream.FailureReason.OVERLOADED:
        return search.MissingReason.OVERLOADED
    return search.MissingReason.FAILED
