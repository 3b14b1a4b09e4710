"""What holds in every replay, whatever its trace states."""

from collections import abc

import msgspec

from greengagehaven.protocol import search, trace
from greengagehaven.replay import upstreams

Searches = abc.Mapping[str, tuple[float, trace.Search]]


def find_violations(answer: search.Answer, own_ids: frozenset[str]) -> list[str]:
    """Hold an answer against what the upstreams really sent.

    :param own_ids: requests whose rows it may hold.
    """
    stamps = [
        msgspec.json.decode(result.row, type=upstreams.RowStamp)
        for result in answer.results
    ]
    places = {(stamp.service, stamp.shard) for stamp in stamps}
    coverage = answer.coverage
    is_whole = coverage.answered == coverage.total
    faults_by_text = {
        "holds a row twice": len(places) != len(stamps),
        "holds another's row": any(stamp.request not in own_ids for stamp in stamps),
        "mixes snapshots": any(stamp.snapshot != answer.snapshot for stamp in stamps),
        "misstates its coverage": coverage.answered != len(places),
        "is not as complete as it says": coverage.complete != is_whole,
    }
    return [
        f"{answer.request_id} {text}" for text, is_so in faults_by_text.items() if is_so
    ]


def ids_of_same_request(request_id: str, searches_by_id: Searches) -> frozenset[str]:
    """Return a request's id and those of its resends with the same key.

    The answer to a resend is that of the one request that ran.
    """
    line = searches_by_id[request_id][1]
    if line.idempotency_key is None:
        return frozenset({request_id})
    return frozenset(
        other_id
        for other_id, (_, other) in searches_by_id.items()
        if other.idempotency_key == line.idempotency_key
        and other.subscriber == line.subscriber
        and other.query == line.query
    )
