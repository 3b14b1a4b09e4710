"""Names of the headers that hosts and upstreams exchange around opaque bodies."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """Names of headers, in lower case.

    :param request_id: the caller's request id, which upstreams echo.
    :param time_left: milliseconds until the sender of the request stops waiting.
    :param expected_upstream: id of the upstream that a request is meant for; any
        other upstream answers 421 without running it.
    :param signature: an upstream's signature of its response.
    :param not_run: set by an upstream that did not run the request.
    :param load: running requests, queued requests and slots of an upstream, and in some
        deployments its work time in percent of the usual.
    :param part_signatures: signatures of the shard responses that were merged into
        a response.
    :param missing_parts: number of shards that a response does not cover.
    :param key: key of the caller's team; not forwarded.
    :param team: id of the team that holds the key, for upstreams.
    """

    request_id: str = "request-id"
    time_left: str = "deadline-ms"
    expected_upstream: str = "expected-upstream"
    signature: str = "signature"
    not_run: str = "not-run"
    load: str = "load"
    part_signatures: str = "part-signatures"
    missing_parts: str = "missing-parts"
    key: str = "key"
    team: str = "team"
