"""Parser for the announcements of upstreams (leafs) to control hosts."""

import typing

import msgspec

from greengagehaven import exceptions, settings
from greengagehaven.protocol import codec, watching

_STAGES_BY_STATE = {
    "ready": watching.Stage.READY,
    "draining": watching.Stage.DRAINING,
}


MAX_COLD_MS = 86_400_000.0


class _Beat(msgspec.Struct, frozen=True, rename="camel"):
    backend: str
    addr: str
    zone: str
    slots: codec.Integer
    state: str
    seq: codec.Integer
    born: codec.Integer = 0
    cold_left_ms: typing.Annotated[float, msgspec.Meta(le=MAX_COLD_MS)] = 0.0
    version: str = ""


class _Goodbye(msgspec.Struct, frozen=True):
    born: codec.Integer | None = None


class Reply(msgspec.Struct, frozen=True, rename="camel"):
    """Response to a beat."""


def parse_announcement(upstream_id: str, data: bytes) -> watching.UpstreamEntry:
    """Return the upstream entry that a beat announces.

    :param upstream_id: id of the upstream, from the path.
    :raises InvalidRequestError: the beat is malformed or has an invalid field.
    """
    beat = codec.decode_json(data, _Beat, place="beat")
    stage = _STAGES_BY_STATE.get(beat.state)
    if stage is None:
        raise exceptions.InvalidRequestError(
            place="beat.state", value=beat.state, expected="ready or draining"
        )
    if not (upstream_id and beat.backend and beat.zone and beat.slots > 0):
        raise exceptions.InvalidRequestError(
            place="beat",
            value=data[:80],
            expected="an id, a backend, a zone and slots above 0",
        )
    if not (upstream_id.isascii() and upstream_id.isprintable()):
        raise exceptions.InvalidRequestError(
            place="beat.id", value=upstream_id, expected="printable ASCII characters"
        )
    try:
        settings.parse_address("beat.addr", beat.addr)
    except exceptions.SettingError as error:
        raise exceptions.InvalidRequestError(
            place="beat.addr", value=beat.addr, expected=error.expected
        ) from error
    return watching.UpstreamEntry(
        id=upstream_id,
        incarnation=beat.born,
        sequence=beat.seq,
        service=beat.backend,
        address=beat.addr,
        availability_zone=beat.zone,
        stage=stage,
        slots=beat.slots,
        cold_left_ms=max(0, round(beat.cold_left_ms)),
        version=beat.version,
    )


def parse_withdrawal(data: bytes) -> int | None:
    """Return the incarnation that withdraws itself, or ``None`` if none is given.

    :raises InvalidRequestError: the body is malformed.
    """
    if not data.strip():
        return None
    return codec.decode_json(data, _Goodbye, place="goodbye").born
