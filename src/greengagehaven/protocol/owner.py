"""Messages between entry hosts and the hosts that own upstreams (msgpack).

Sub-requests of one query are sent as a group, so that its body is sent once. Rows
and queries are JSON, sent as bytes.
"""

import msgspec

from greengagehaven.protocol import upstream


class SubRequestItem(msgspec.Struct, frozen=True, array_like=True):
    """One sub-request of a group; see :class:`upstream.SubRequest` for the fields."""

    attempt: int
    upstream_id: str
    incarnation: int
    address: str
    service: str
    shard: int
    partitioning: int
    over_share_slots: int = 0


class SubRequestGroup(msgspec.Struct, frozen=True, array_like=True):
    """Sub-requests of one query; see :class:`upstream.SubRequest` for the fields.

    :param time_left: seconds until the deadline, as of sending.
    """

    request_id: str
    kind: str
    snapshot: int
    time_left: float
    query: bytes
    items: tuple[SubRequestItem, ...]
    subscriber_id: str = ""
    standing: int = 0


class RepliedItem(msgspec.Struct, frozen=True, array_like=True):
    """A usable reply; see :class:`upstream.Replied` for the fields."""

    request_id: str
    attempt: int
    upstream_id: str
    rows: tuple[bytes, ...]
    load: upstream.LoadReport | None
    took: float | None = None
    within_share: float | None = None
    over_share: float | None = None


class OwnerBatch(msgspec.Struct, frozen=True, array_like=True):
    """Batch of pending messages from one host to another.

    :param host_id: the sender, which receives the outcomes of ``groups``.
    :param groups: sub-requests to send to upstreams that the receiver owns.
    :param cancels: (request id, attempt) of sub-requests to cancel.
    :param replied: usable replies to sub-requests of the receiver.
    :param failed: failures of sub-requests of the receiver.
    """

    host_id: str
    groups: tuple[SubRequestGroup, ...] = ()
    cancels: tuple[tuple[str, int], ...] = ()
    replied: tuple[RepliedItem, ...] = ()
    failed: tuple[upstream.Failed, ...] = ()


def write_groups(
    sub_requests: list[upstream.SubRequest], now: float
) -> tuple[SubRequestGroup, ...]:
    """Return sub-requests in their wire form, grouped by query.

    :param now: monotonic seconds on the clock of their deadlines.
    """
    items_by_query: dict[tuple[str, int], list[SubRequestItem]] = {}
    first_by_query: dict[tuple[str, int], upstream.SubRequest] = {}
    for sub_request in sub_requests:
        key = (sub_request.request_id, sub_request.snapshot)
        first_by_query.setdefault(key, sub_request)
        items_by_query.setdefault(key, []).append(_encode_item(sub_request))
    return tuple(
        SubRequestGroup(
            request_id=first.request_id,
            kind=first.kind,
            snapshot=first.snapshot,
            time_left=max(0.0, first.deadline - now),
            query=bytes(first.query),
            items=tuple(items_by_query[key]),
            subscriber_id=first.subscriber_id,
            standing=first.standing,
        )
        for key, first in first_by_query.items()
    )


def read_group(group: SubRequestGroup, now: float) -> list[upstream.SubRequest]:
    """Return the sub-requests of a received group.

    :param now: monotonic seconds on the receiver's clock, which their deadlines use.
    """
    query = msgspec.Raw(group.query)
    return [
        upstream.SubRequest(
            request_id=group.request_id,
            attempt=item.attempt,
            upstream_id=item.upstream_id,
            incarnation=item.incarnation,
            address=item.address,
            shard_ref=upstream.ShardRef(item.service, item.shard),
            snapshot=group.snapshot,
            partitioning=item.partitioning,
            over_share_slots=item.over_share_slots,
            deadline=now + group.time_left,
            kind=group.kind,
            query=query,
            subscriber_id=group.subscriber_id,
            standing=group.standing,
        )
        for item in group.items
    ]


def write_reply(outcome: upstream.Replied) -> RepliedItem:
    """Return a reply in its wire form."""
    return RepliedItem(
        request_id=outcome.request_id,
        attempt=outcome.attempt,
        upstream_id=outcome.upstream_id,
        rows=tuple(bytes(row) for row in outcome.rows),
        load=outcome.load,
        took=outcome.took,
        within_share=outcome.within_share,
        over_share=outcome.over_share,
    )


def read_outcomes(batch: OwnerBatch) -> list[upstream.Outcome]:
    """Return the outcomes in a received batch."""
    replied = [
        upstream.Replied(
            request_id=item.request_id,
            attempt=item.attempt,
            upstream_id=item.upstream_id,
            rows=tuple(msgspec.Raw(row) for row in item.rows),
            load=item.load,
            took=item.took,
            within_share=item.within_share,
            over_share=item.over_share,
        )
        for item in batch.replied
    ]
    return [*replied, *batch.failed]


def _encode_item(sub_request: upstream.SubRequest) -> SubRequestItem:
    return SubRequestItem(
        attempt=sub_request.attempt,
        upstream_id=sub_request.upstream_id,
        incarnation=sub_request.incarnation,
        address=sub_request.address,
        service=sub_request.shard_ref.service,
        shard=sub_request.shard_ref.shard,
        partitioning=sub_request.partitioning,
        over_share_slots=sub_request.over_share_slots,
    )
