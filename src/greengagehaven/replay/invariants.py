"""Invariants that are checked in every replay."""

from collections import abc

import msgspec

from greengagehaven.protocol import search, trace
from greengagehaven.replay import upstreams

Searches = abc.Mapping[str, tuple[float, trace.Search]]


def find_violations(answer: search.Answer, own_ids: frozenset[str]) -> list[str]:
    """Return the ways in which an answer differs from what the upstreams sent.

    :param own_ids: ids of the requests whose rows the answer may contain.
    """
    row_stamps = [
        msgspec.json.decode(result.row, type=upstreams.RowStamp)
        for result in answer.results
    ]
    shards = {(stamp.service, stamp.shard) for stamp in row_stamps}
    coverage = answer.coverage
    is_complete = coverage.answered == coverage.total
    is_violated_by_text = {
        "contains a row twice": len(shards) != len(row_stamps),
        "contains a row of another request": any(
            stamp.request not in own_ids for stamp in row_stamps
        ),
        "mixes snapshots": any(
            stamp.snapshot != answer.snapshot for stamp in row_stamps
        ),
        "reports a wrong coverage": coverage.answered != len(shards),
        "reports a wrong completeness": coverage.complete != is_complete,
    }
    return [
        f"{answer.request_id} {text}"
        for text, is_violated in is_violated_by_text.items()
        if is_violated
    ]


def ids_of_same_request(request_id: str, searches_by_id: Searches) -> frozenset[str]:
    """Return a request's id and those of its resends with the same idempotency key.

    A resend is answered with the answer of the request that ran.
    """
    search_line = searches_by_id[request_id][1]
    if search_line.idempotency_key is None:
        return frozenset({request_id})
    return frozenset(
        other_id
        for other_id, (_, other) in searches_by_id.items()
        if other.idempotency_key == search_line.idempotency_key
        and other.subscriber == search_line.subscriber
        and other.query == search_line.query
    )
