"""What hosts and upstreams say in headers when bodies pass as bytes."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """Lower-case names of headers.

    :param request_id: caller's id of a request, echoed by upstreams.
    :param time_left: milliseconds that the other side will wait.
    :param expected_upstream: id of the upstream that a request is for; any other
        answers 421 without running it.
    :param signature: an upstream's signature of its answer.
    :param not_run: an upstream's word that it did not run the request.
    :param load: running requests, waiting requests and slots of an upstream.
    :param part_signatures: signatures of the parts that an answer is made of.
    :param missing_parts: how many shards an answer leaves out.
    """

    request_id: str = "request-id"
    time_left: str = "deadline-ms"
    expected_upstream: str = "expected-upstream"
    signature: str = "signature"
    not_run: str = "not-run"
    load: str = "load"
    part_signatures: str = "part-signatures"
    missing_parts: str = "missing-parts"
