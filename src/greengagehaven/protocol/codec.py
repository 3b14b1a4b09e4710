"""Message codecs: JSON for callers and upstreams, msgpack between hosts."""

import re
import typing

import msgspec

from greengagehaven import exceptions

T = typing.TypeVar("T")

Integer = typing.Annotated[int, msgspec.Meta(ge=-(2**62), lt=2**62)]
"""Integer that comes from outside as JSON, which has no limit. One of more than 64 bits
can't be encoded for other hosts, and would keep back every message that contains it."""

_JSON_ENCODER = msgspec.json.Encoder()
_MSGPACK_ENCODER = msgspec.msgpack.Encoder()
_DECODE_ERROR = re.compile(r"^(?P<expected>.*?)(?: - at `(?P<place>.*)`)?$", re.DOTALL)
_MAX_SHOWN_BYTES = 80


def encode_json(message: typing.Any) -> bytes:
    """Return a message encoded as JSON."""
    return _JSON_ENCODER.encode(message)


def encode_msgpack(message: typing.Any) -> bytes:
    """Return a message encoded as msgpack."""
    return _MSGPACK_ENCODER.encode(message)


def decode_json(data: bytes, message_type: type[T], *, place: str = "body") -> T:
    """Return a message decoded from JSON.

    :param data: the bytes as received.
    :param message_type: type to decode into.
    :param place: name of the input, used in the error detail.
    :raises InvalidRequestError: the bytes are not a valid ``message_type``.
    """
    return _decode(msgspec.json.decode, data, message_type, place)


def decode_msgpack(data: bytes, message_type: type[T], *, place: str = "body") -> T:
    """Return a message decoded from msgpack.

    :param data: the bytes as received.
    :param message_type: type to decode into.
    :param place: name of the input, used in the error detail.
    :raises InvalidRequestError: the bytes are not a valid ``message_type``.
    """
    return _decode(msgspec.msgpack.decode, data, message_type, place)


def _decode(
    decode: typing.Callable[..., T], data: bytes, message_type: type[T], place: str
) -> T:
    try:
        return decode(data, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        match = _DECODE_ERROR.match(str(error))
        assert match is not None
        full_path = (match["place"] or "$").replace("$", place, 1)
        raise exceptions.InvalidRequestError(
            place=full_path,
            value=bytes(data[:_MAX_SHOWN_BYTES]),
            expected=f"a valid message ({match['expected']})",
        ) from error
