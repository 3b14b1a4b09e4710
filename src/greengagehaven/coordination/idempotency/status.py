"""Status of an idempotency key as reported to callers."""

from collections import abc

import msgspec

from greengagehaven import exceptions
from greengagehaven.coordination.idempotency import recorder
from greengagehaven.protocol import claims, search

_STATES_BY_PRECEDENCE = (
    (claims.RecordState.ANSWERED, search.RequestState.ANSWERED),
    (claims.RecordState.UNKNOWN, search.RequestState.UNKNOWN),
    (claims.RecordState.RUNNING, search.RequestState.RUNNING),
)


def build_status(
    key: str, replies: abc.Sequence[claims.RecorderReply], *, recorder_count: int
) -> search.RequestStatus:
    """Return the status of a key from the recorders' replies.

    :param replies: replies of the recorders that answered.
    :param recorder_count: size of the recorder set.
    :raises NotFoundError: a majority has no record of the key.
    """
    records = [reply.record for reply in replies if reply.record is not None]
    for record_state, request_state in _STATES_BY_PRECEDENCE:
        for record in records:
            if record.state is record_state:
                return search.RequestStatus(
                    idempotency_key=key,
                    state=request_state,
                    request_id=record.token,
                    answer=_as_json(record.answer),
                )
    none_count = sum(reply.verdict is claims.Verdict.NONE for reply in replies)
    if none_count >= recorder.majority(recorder_count):
        raise exceptions.NotFoundError("no request with this idempotency key is known")
    return search.RequestStatus(idempotency_key=key, state=search.RequestState.UNKNOWN)


def _as_json(answer: bytes | None) -> msgspec.Raw | None:
    return None if answer is None else msgspec.Raw(answer)
