"""What a caller may be told of its idempotency key."""

from collections import abc

import msgspec

from greengagehaven import exceptions
from greengagehaven.coordination.idempotency import recorder
from greengagehaven.protocol import claims, search

_STATES = (
    (claims.RecordState.ANSWERED, search.RequestState.ANSWERED),
    (claims.RecordState.UNKNOWN, search.RequestState.UNKNOWN),
    (claims.RecordState.RUNNING, search.RequestState.RUNNING),
)


def describe(
    key: str, replies: abc.Sequence[claims.RecorderReply], *, recorder_count: int
) -> search.RequestStatus:
    """Return what the recorders' replies say of a key.

    :param replies: of those recorders that answered.
    :raises NotFoundError: a majority certainly holds nothing of the key.
    """
    records = [reply.record for reply in replies if reply.record is not None]
    for held, told in _STATES:
        for record in records:
            if record.state is held:
                return search.RequestStatus(
                    idempotency_key=key,
                    state=told,
                    request_id=record.token,
                    answer=_as_json(record.answer),
                )
    without = sum(reply.verdict is claims.Verdict.NONE for reply in replies)
    if without >= recorder.majority(recorder_count):
        raise exceptions.NotFoundError("no request with this idempotency key is known")
    return search.RequestStatus(idempotency_key=key, state=search.RequestState.UNKNOWN)


def _as_json(answer: bytes | None) -> msgspec.Raw | None:
    return None if answer is None else msgspec.Raw(answer)
