"""HTTP headers and bodies of sub-requests to upstreams (docs/PROTOCOL.md)."""

import msgspec

from greengagehaven.protocol import codec, upstream
from greengagehaven.transport import client_connection, http

SEARCH_PATH = "/v1/shard/search"
HTTP_OK = 200
OVERLOADED_STATUSES = frozenset({429, 503})
WRONG_VERSION_STATUS = 409
_LOAD_FIELDS = frozenset({"in_flight", "queued"})
_MS_PER_S = 1000
_REPLY_DECODER = msgspec.json.Decoder(upstream.ShardSearchReply)


def build_headers(
    sub_request: upstream.SubRequest, now: float
) -> list[tuple[str, str]]:
    """Return the HTTP headers of a sub-request.

    :param now: monotonic time in seconds, from which the remaining time is computed.
    """
    left_ms = int((sub_request.deadline - now) * _MS_PER_S)
    return [
        ("Host", sub_request.address),
        ("Content-Type", "application/json"),
        ("Request-Id", sub_request.request_id),
        ("Attempt", str(sub_request.attempt)),
        ("Deadline-Ms", str(max(1, left_ms))),
        ("Service", sub_request.shard_ref.service),
        ("Shard", str(sub_request.shard_ref.shard)),
        ("Snapshot", str(sub_request.snapshot)),
        ("Partitioning", str(sub_request.partitioning)),
    ]


def build_body(sub_request: upstream.SubRequest) -> bytes:
    """Return the HTTP body of a sub-request."""
    body = upstream.ShardSearchBody(kind=sub_request.kind, query=sub_request.query)
    return codec.encode_json(body)


def echo_matches(
    sub_request: upstream.SubRequest, reply: client_connection.Reply
) -> bool:
    """Return whether the echoed headers of a reply match a sub-request.

    Rows of another request, shard or snapshot would make the answer wrong without
    any visible error. An error reply may lack the echo, but an echo that does not
    match is never accepted.
    """
    headers = reply.headers
    if reply.status != HTTP_OK and "request-id" not in headers:
        return True
    return (
        headers.get("request-id") == sub_request.request_id
        and headers.get("attempt") == str(sub_request.attempt)
        and headers.get("service") == sub_request.shard_ref.service
        and headers.get("shard") == str(sub_request.shard_ref.shard)
        and headers.get("snapshot") == str(sub_request.snapshot)
        and headers.get("partitioning") == str(sub_request.partitioning)
    )


def parse_reply(
    sub_request: upstream.SubRequest, reply: client_connection.Reply
) -> upstream.Outcome:
    """Return the outcome for a reply whose echo matches."""
    if reply.status != HTTP_OK:
        return _parse_error_reply(sub_request, reply)
    try:
        rows = _REPLY_DECODER.decode(reply.body).rows
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        detail = f"malformed reply: {error}"
        return upstream.failure_of(
            sub_request, upstream.FailureReason.STATUS, detail=detail
        )
    return upstream.Replied(
        request_id=sub_request.request_id,
        attempt=sub_request.attempt,
        upstream_id=sub_request.upstream_id,
        rows=rows,
        load=parse_load(reply.headers),
    )


def parse_load(headers: http.Headers) -> upstream.LoadReport | None:
    """Return the ``Load`` header, or ``None`` if it is missing or malformed."""
    text = headers.get("load")
    if text is None:
        return None
    pairs = [part.strip().partition("=") for part in text.split(",")]
    try:
        values = {name: int(value) for name, _, value in pairs if name in _LOAD_FIELDS}
    except ValueError:
        return None
    return upstream.LoadReport(**values)


def _parse_error_reply(
    sub_request: upstream.SubRequest, reply: client_connection.Reply
) -> upstream.Failed:
    not_run = reply.headers.get("not-run", "").lower() == "true"
    reason = upstream.FailureReason.STATUS
    if not_run and reply.status in OVERLOADED_STATUSES:
        reason = upstream.FailureReason.OVERLOADED
    elif not_run and reply.status == WRONG_VERSION_STATUS:
        reason = upstream.FailureReason.WRONG_VERSION
    else:
        # Not-Run is trusted only for the statuses above.
        not_run = False
    return upstream.failure_of(
        sub_request,
        reason,
        not_run=not_run,
        detail=f"status {reply.status}",
        retry_after=_parse_retry_after(reply.headers),
    )


def _parse_retry_after(headers: http.Headers) -> float | None:
    text = headers.get("retry-after", "")
    return float(text) if text.isascii() and text.isdigit() else None
