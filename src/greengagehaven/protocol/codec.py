"""Encoding and decoding of messages: JSON outward, msgpack between hosts."""

import re
import typing

import msgspec

from greengagehaven import exceptions

T = typing.TypeVar("T")

_JSON_ENCODER = msgspec.json.Encoder()
_MSGPACK_ENCODER = msgspec.msgpack.Encoder()
_PLACE = re.compile(r"^(?P<expected>.*?)(?: - at `(?P<place>.*)`)?$", re.DOTALL)
_SHOWN_BYTES = 80


def encode_json(message: typing.Any) -> bytes:
    """Return a message as JSON."""
    return _JSON_ENCODER.encode(message)


def encode_msgpack(message: typing.Any) -> bytes:
    """Return a message as msgpack."""
    return _MSGPACK_ENCODER.encode(message)


def decode_json(data: bytes, message_type: type[T], *, place: str = "body") -> T:
    """Return the message that JSON bytes hold.

    :param data: the bytes as received.
    :param message_type: type to decode to.
    :param place: what the bytes are, for the error.
    :raises InvalidRequestError: the bytes are no such message.
    """
    return _decode(msgspec.json.decode, data, message_type, place)


def decode_msgpack(data: bytes, message_type: type[T], *, place: str = "body") -> T:
    """Return the message that msgpack bytes hold.

    :param data: the bytes as received.
    :param message_type: type to decode to.
    :param place: what the bytes are, for the error.
    :raises InvalidRequestError: the bytes are no such message.
    """
    return _decode(msgspec.msgpack.decode, data, message_type, place)


def _decode(
    decode: typing.Callable[..., T], data: bytes, message_type: type[T], place: str
) -> T:
    try:
        return decode(data, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        match = _PLACE.match(str(error))
        assert match is not None
        inner = (match["place"] or "$").replace("$", place, 1)
        raise exceptions.InvalidRequestError(
            place=inner,
            value=bytes(data[:_SHOWN_BYTES]),
            expected=f"a valid message ({match['expected']})",
        ) from error
