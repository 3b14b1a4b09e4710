"""Fingerprints that identify equal requests across callers and hosts."""

import msgspec
import xxhash

_SEPARATOR = b"\x00"


def of_query(kind: str, query: msgspec.Raw) -> str:
    """Return the fingerprint of a kind and its query, without the services.

    Whitespace and the order of keys in the query do not matter.
    """
    digest = xxhash.xxh3_128(kind.encode())
    digest.update(_SEPARATOR)
    digest.update(_canonical(query))
    return digest.hexdigest()


def of_request(kind: str, query: msgspec.Raw, services: tuple[str, ...]) -> str:
    """Return the fingerprint of a whole request; service order does not matter."""
    digest = xxhash.xxh3_128(of_query(kind, query).encode())
    for service in sorted(services):
        digest.update(_SEPARATOR)
        digest.update(service.encode())
    return digest.hexdigest()


def _canonical(query: msgspec.Raw) -> bytes:
    try:
        value = msgspec.json.decode(query)
        return msgspec.json.encode(value, order="sorted")
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return bytes(query)
