"""What a caller is told when its query gets no answer."""

from greengagehaven import exceptions
from greengagehaven.coordination import query
from greengagehaven.protocol import search, upstream

RETRY_AFTER_S = 1.0


def describe(
    running: query.Query, coverage: search.Coverage
) -> exceptions.RequestError:
    """Return the error for a query that ends without an answer.

    :param coverage: what had been answered by then.
    """
    ran = running.ran
    detail = f"{coverage.answered} of {coverage.total} shards answered"
    if ran is not exceptions.Ran.NO and not running.kind.idempotent:
        return exceptions.OutcomeUnknownError(detail, ran=ran)
    error = (
        exceptions.DeadlineExceededError
        if running.is_late
        else exceptions.IncompleteError
    )
    return error(detail, ran=ran, retry_after=RETRY_AFTER_S)


def missing_reason(failed: upstream.Failed) -> search.MissingReason:
    """Return why a shard is missing whose last attempt failed."""
    if failed.reason is upstream.FailureReason.OVERLOADED:
        return search.MissingReason.OVERLOADED
    return search.MissingReason.FAILED
