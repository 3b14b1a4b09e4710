"""Validation of submitted queries, and selection of the shards that they read."""

import msgspec
import xxhash

from greengagehaven import exceptions
from greengagehaven.coordination import events, plan
from greengagehaven.protocol import upstream
from greengagehaven.state import document

MAX_SERVICES = 1000
MAX_IDEMPOTENCY_KEY_LENGTH = 200


class _KeyedQuery(msgspec.Struct, frozen=True):
    key: str


def check(
    submitted: events.QuerySubmitted, environment: document.Environment
) -> document.Kind:
    """Return the kind of a query after validating it.

    :raises RequestError: the query is malformed or the document does not allow it.
    """
    kind = environment.kinds_by_id.get(submitted.kind)
    if kind is None:
        raise exceptions.UnknownKindError(f"unknown kind {submitted.kind!r}")
    _check_services(submitted, environment)
    _check_idempotency_key(submitted, kind)
    return kind


def select_targets(
    pinned: plan.Plan, kind: document.Kind, query: msgspec.Raw
) -> plan.Plan:
    """Return the part of a plan that a query of this kind is sent to.

    A kind that fans out goes to every shard of its services. Otherwise the hash of
    ``query.key`` selects one shard of each service.

    :raises InvalidRequestError: the kind needs ``query.key``, which is missing or not a
        string.
    """
    if kind.fan_out is document.FanOut.ALL:
        return pinned
    digest = xxhash.xxh64_intdigest(read_key(query).encode())
    counts_by_service: dict[str, int] = {}
    for target in pinned.targets:
        service = target.ref.service
        counts_by_service[service] = counts_by_service.get(service, 0) + 1
    wanted = {
        upstream.ShardRef(service, digest % count)
        for service, count in counts_by_service.items()
    }
    targets = tuple(target for target in pinned.targets if target.ref in wanted)
    return plan.Plan(snapshot=pinned.snapshot, targets=targets)


def read_key(query: msgspec.Raw) -> str:
    """Return the ``key`` of a query that is routed to a single shard.

    :raises InvalidRequestError: ``key`` is missing or not a string.
    """
    try:
        return msgspec.json.decode(query, type=_KeyedQuery).key
    except msgspec.DecodeError as error:
        raise exceptions.InvalidRequestError(
            place="body.query.key", value=bytes(query)[:80], expected="a string"
        ) from error


def _check_services(
    submitted: events.QuerySubmitted, environment: document.Environment
) -> None:
    services = submitted.services
    if not 1 <= len(services) <= MAX_SERVICES or len(set(services)) < len(services):
        raise exceptions.InvalidRequestError(
            place="body.services",
            value=services[:10],
            expected=f"1 to {MAX_SERVICES} distinct names",
        )
    subscriber = environment.subscribers_by_id.get(submitted.subscriber_id)
    if subscriber is None:
        raise exceptions.UnauthorizedError(
            "the subscriber is not in the active document"
        )
    for service in services:
        if service not in environment.services_by_id:
            raise exceptions.UnknownServiceError(f"unknown service {service!r}")
        if not subscriber.may_use(service):
            raise exceptions.ForbiddenError(f"access to service {service!r} is denied")


def _check_idempotency_key(
    submitted: events.QuerySubmitted, kind: document.Kind
) -> None:
    key = submitted.idempotency_key
    if key is None and kind.idempotent:
        return
    if key is None or not 1 <= len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH:
        raise exceptions.InvalidRequestError(
            place="headers.Idempotency-Key",
            value=None if key is None else key[:80],
            expected=f"1 to {MAX_IDEMPOTENCY_KEY_LENGTH} characters",
        )
