"""Messages by which an entry host delegates some attempts of a sweep to another.

A sweep is a request to all shards of a route.
"""

import msgspec


class PlannedAttempt(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Attempt on one shard, as planned by the delegating host.

    :param attempt: number of the attempt at the delegating host.
    :param max_connections: maximum number of open connections to the upstream.
    """

    attempt: int
    upstream_id: str
    address: str
    max_connections: int


class DelegationRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Request to send attempts to upstreams and to report their results.

    :param key: id of this request, unique across restarts of the delegating host.
    :param request_id: the caller's request id, which replies must echo.
    :param headers: headers of the caller's request, as sent to upstreams.
    :param left_ms: milliseconds until the deadline of the request.
    :param report_ms: milliseconds after which the results received so far are
        reported, if not all attempts have ended before.
    :param top_records: number of highest-ranked records in a report.
    """

    key: str
    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    attempts: tuple[PlannedAttempt, ...]
    left_ms: int
    report_ms: int
    top_records: int


class NextReportRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Request the results since the last report."""

    key: str


class CancelRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Cancel attempts whose results are no longer needed."""

    key: str
    attempts: tuple[int, ...]


class AttemptResult(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Result of an attempt.

    :param took_ms: milliseconds from sending to the end, measured at the host that
        sent the attempt.
    :param status: HTTP status of the reply, 0 if there was none.
    :param signature: signature of a reply whose records are in the report, else
        empty.
    :param load: running requests, queued requests and slots as reported by the
        upstream; empty if it reported none.
    :param size: bytes of the reply.
    :param fault: why there is no usable reply, empty if there is one.
    :param received_nothing: whether no byte of a reply was received.
    :param is_first_use: whether the connection had not delivered a reply before.
    :param work_percent: how long work takes on the upstream's machine in percent of
        the usual time, as reported by it; 0 if it reported none. It is not part of
        ``load``, of which hosts of earlier versions accept three numbers only.
    """

    attempt: int
    took_ms: float
    status: int = 0
    is_success: bool = False
    not_run: bool = False
    signature: str = ""
    load: tuple[int, ...] = ()
    size: int = 0
    fault: str = ""
    detail: str = ""
    received_nothing: bool = False
    is_first_use: bool = False
    work_percent: float = 0.0


class AttemptReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Results since the last report.

    :param records: the highest-ranked records of all replies with a signature in
        ``ended``.
    :param is_last: whether all attempts have ended.
    :param is_early: whether the report was sent before ``report_ms``, because of a
        failure or as replies stopped to arrive; attempts that it does not list are not
        late yet.
    """

    ended: tuple[AttemptResult, ...]
    records: bytes = b""
    is_last: bool = False
    is_early: bool = False
