"""Environment document: the operators' TOML configuration, and its validation.

The document names no host and no address, so the same bytes can be used in the
trial environment and in production. It is identified by the SHA-256 of its bytes.
"""

import dataclasses
import datetime
import enum
import hashlib
import re
import typing

import msgspec

from greengagehaven import exceptions

FORMAT_VERSION = 1
NAME_PATTERN = re.compile(r"^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$")
KEY_DIGEST_PATTERN = re.compile(r"^[0-9a-f]{64}$")
MAX_DOCUMENT_BYTES = 1_000_000
MAX_DEADLINE = datetime.timedelta(minutes=10)

Parser = typing.Callable[[str, object], typing.Any]


class FanOut(enum.StrEnum):
    """Shards to which a kind of query is sent: all, or the one that has the key."""

    ALL = "all"
    KEY = "key"


class CoveragePolicy(enum.StrEnum):
    """Whether a partial result is returned as an answer or as an error."""

    COMPLETE = "complete"
    PARTIAL = "partial"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Subscriber:
    """An organisation that pays a flat rate for its queries.

    :param share: weight of its fair share of the upstreams under contention.
    :param key_digests: SHA-256 of each of its API keys, in lower-case hex.
    :param services: names or ``prefix*`` patterns it may query; empty for all.
    """

    id: str
    share: float
    key_digests: tuple[str, ...]
    services: tuple[str, ...] = ()

    def may_use(self, service: str) -> bool:
        """Return whether the subscriber may query ``service``."""
        if not self.services:
            return True
        return any(_matches(pattern, service) for pattern in self.services)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A part of the data that is split into shards."""

    id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """A kind of query.

    :param standing: priority set by operators; higher goes first, 0 is normal.
    :param idempotent: whether a sub-request may be sent more than once.
    :param fan_out: shards to which the query is sent.
    :param deadline: maximum time until the caller gets its answer.
    :param coverage: whether a partial result is an answer or an error.
    :param answer_after: with partial coverage, time after which the results so far
        are returned; ``None`` for the deadline.
    """

    id: str
    standing: int = 0
    idempotent: bool = True
    fan_out: FanOut = FanOut.ALL
    deadline: datetime.timedelta = datetime.timedelta(seconds=2)
    coverage: CoveragePolicy = CoveragePolicy.COMPLETE
    answer_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Environment:
    """A validated document.

    :param digest: SHA-256 of its bytes in hex, by which it is identified.
    """

    digest: str
    subscribers_by_id: dict[str, Subscriber]
    services_by_id: dict[str, Service]
    kinds_by_id: dict[str, Kind]
    subscriber_ids_by_key_digest: dict[str, str]


def digest_of(data: bytes) -> str:
    """Return the digest by which a document is identified: SHA-256 in hex."""
    return hashlib.sha256(data).hexdigest()


def parse(data: bytes) -> Environment:
    """Parse and validate a document.

    :param data: the TOML as the operator wrote it.
    :raises DocumentError: the document is invalid; lists all mistakes.
    """
    mistakes: list[exceptions.DocumentMistakeError] = []
    tables = _read_tables(data)
    _check_version(tables, mistakes)
    subscribers = _read_entries(tables, "subscribers", _SUBSCRIBER_PARSERS, mistakes)
    services = _read_entries(tables, "services", _SERVICE_PARSERS, mistakes)
    kinds = _read_entries(tables, "kinds", _KIND_PARSERS, mistakes)
    for unknown in tables:
        mistakes.append(_unknown_key(unknown, "subscribers, services, kinds, version"))
    environment = Environment(
        digest=digest_of(data),
        subscribers_by_id=_build_models(Subscriber, subscribers),
        services_by_id=_build_models(Service, services),
        kinds_by_id=_build_models(Kind, kinds),
        subscriber_ids_by_key_digest=_index_keys(subscribers, mistakes),
    )
    _check_kinds(environment.kinds_by_id, mistakes)
    _check_patterns(environment, mistakes)
    if mistakes:
        raise exceptions.DocumentError(mistakes=mistakes)
    return environment


def service_names(data: bytes) -> frozenset[str]:
    """Return the service names that a document defines; none for empty ``data``."""
    return frozenset(parse(data).services_by_id) if data else frozenset()


def _matches(pattern: str, service: str) -> bool:
    if pattern.endswith("*"):
        return service.startswith(pattern[:-1])
    return service == pattern


def _mistake(
    place: str, value: object, expected: str
) -> exceptions.DocumentMistakeError:
    return exceptions.DocumentMistakeError(place=place, value=value, expected=expected)


def _unknown_key(place: str, known: str) -> exceptions.DocumentMistakeError:
    return _mistake(place, "an unknown key", f"one of {known}")


def _read_tables(data: bytes) -> dict[str, typing.Any]:
    if len(data) > MAX_DOCUMENT_BYTES:
        expected = f"at most {MAX_DOCUMENT_BYTES} bytes"
        mistake = _mistake("document", f"{len(data)} bytes", expected)
        raise exceptions.DocumentError(mistakes=[mistake])
    try:
        return msgspec.toml.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        mistake = _mistake("document", str(error), "TOML in UTF-8")
        raise exceptions.DocumentError(mistakes=[mistake]) from error


def _check_version(
    tables: dict[str, typing.Any], mistakes: list[exceptions.DocumentMistakeError]
) -> None:
    version = tables.pop("version", None)
    if version != FORMAT_VERSION or isinstance(version, bool):
        mistakes.append(_mistake("version", version, str(FORMAT_VERSION)))


def _read_entries(
    tables: dict[str, typing.Any],
    section: str,
    parsers: dict[str, Parser],
    mistakes: list[exceptions.DocumentMistakeError],
) -> dict[str, dict[str, typing.Any]]:
    entries = tables.pop(section, None)
    if not isinstance(entries, dict) or not entries:
        expected = f"at least one [{section}.NAME] table"
        mistakes.append(_mistake(section, entries, expected))
        return {}
    fields_by_id = {}
    for name, table in entries.items():
        place = f"{section}.{name}"
        if not NAME_PATTERN.match(name):
            expected = "a name of lower-case letters, digits, '.', '_' and '-'"
            mistakes.append(_mistake(place, name, expected))
        fields_by_id[name] = _read_entry(place, table, parsers, mistakes)
    return fields_by_id


def _read_entry(
    place: str,
    table: object,
    parsers: dict[str, Parser],
    mistakes: list[exceptions.DocumentMistakeError],
) -> dict[str, typing.Any]:
    if not isinstance(table, dict):
        mistakes.append(_mistake(place, table, "a table"))
        return {}
    fields = {}
    for key, value in table.items():
        if key not in parsers:
            known = ", ".join(parsers) or "no keys"
            mistakes.append(_unknown_key(f"{place}.{key}", known))
            continue
        try:
            fields.update(parsers[key](f"{place}.{key}", value))
        except exceptions.DocumentMistakeError as mistake:
            mistakes.append(mistake)
    return fields


def _build_models(
    model: type, fields_by_id: dict[str, dict[str, typing.Any]]
) -> dict[str, typing.Any]:
    defaults = {"share": 1.0, "key_digests": ()} if model is Subscriber else {}
    return {
        name: model(id=name, **{**defaults, **fields})
        for name, fields in fields_by_id.items()
    }


def _index_keys(
    subscribers: dict[str, dict[str, typing.Any]],
    mistakes: list[exceptions.DocumentMistakeError],
) -> dict[str, str]:
    ids_by_digest: dict[str, str] = {}
    for name, fields in subscribers.items():
        place = f"subscribers.{name}.key_sha256"
        if not fields.get("key_digests"):
            mistakes.append(_mistake(place, None, "at least one digest"))
        for digest in fields.get("key_digests", ()):
            owner = ids_by_digest.setdefault(digest, name)
            if owner != name:
                expected = f"a key that subscriber {owner} does not use"
                mistakes.append(_mistake(place, digest, expected))
    return ids_by_digest


def _check_kinds(
    kinds_by_id: dict[str, Kind], mistakes: list[exceptions.DocumentMistakeError]
) -> None:
    for name, kind in kinds_by_id.items():
        if kind.answer_after is None:
            continue
        place = f"kinds.{name}.answer_after_ms"
        if kind.coverage is not CoveragePolicy.PARTIAL:
            expected = 'coverage = "partial" in the same table'
            mistakes.append(_mistake(place, str(kind.coverage), expected))
        elif kind.answer_after >= kind.deadline:
            expected = "less than deadline_ms"
            mistakes.append(_mistake(place, str(kind.answer_after), expected))


def _check_patterns(
    environment: Environment, mistakes: list[exceptions.DocumentMistakeError]
) -> None:
    for name, subscriber in environment.subscribers_by_id.items():
        for pattern in subscriber.services:
            if any(_matches(pattern, known) for known in environment.services_by_id):
                continue
            place = f"subscribers.{name}.services"
            expected = "a pattern that matches a service of this document"
            mistakes.append(_mistake(place, pattern, expected))


def _number_parser(
    field: str, minimum: float, maximum: float, kind: type
) -> typing.Callable[[str, object], dict[str, typing.Any]]:
    accepted = (int, float) if kind is float else (int,)
    noun = "a number" if kind is float else "an integer"

    def parse_value(place: str, value: object) -> dict[str, typing.Any]:
        is_valid_type = isinstance(value, accepted) and not isinstance(value, bool)
        if not is_valid_type or not minimum <= typing.cast(float, value) <= maximum:
            raise _mistake(place, value, f"{noun} from {minimum} to {maximum}")
        return {field: kind(value)}

    return parse_value


def _duration_parser(
    field: str,
) -> typing.Callable[[str, object], dict[str, typing.Any]]:
    max_ms = int(MAX_DEADLINE.total_seconds() * 1000)
    parse_number = _number_parser(field, 1, max_ms, int)

    def parse_value(place: str, value: object) -> dict[str, typing.Any]:
        milliseconds = parse_number(place, value)[field]
        return {field: datetime.timedelta(milliseconds=milliseconds)}

    return parse_value


def _choice_parser(
    field: str, choices: type[enum.StrEnum]
) -> typing.Callable[[str, object], dict[str, typing.Any]]:
    def parse_value(place: str, value: object) -> dict[str, typing.Any]:
        if value not in list(choices):
            expected = "one of " + ", ".join(choices)
            raise _mistake(place, value, expected)
        return {field: choices(value)}

    return parse_value


def _parse_idempotent(place: str, value: object) -> dict[str, typing.Any]:
    if not isinstance(value, bool):
        raise _mistake(place, value, "true or false")
    return {"idempotent": value}


def _strings_parser(
    field: str, pattern: re.Pattern, expected: str
) -> typing.Callable[[str, object], dict[str, typing.Any]]:
    def parse_value(place: str, value: object) -> dict[str, typing.Any]:
        if not isinstance(value, list):
            raise _mistake(place, value, f"a list, each item {expected}")
        for index, item in enumerate(value):
            if not isinstance(item, str) or not pattern.match(item):
                raise _mistake(f"{place}[{index}]", item, expected)
        return {field: tuple(value)}

    return parse_value


_SERVICE_PATTERN = re.compile(r"^[a-z0-9._-]*\*?$")
_MAX_STANDING = 1000
_MAX_SHARE = 1_000_000.0
_MIN_SHARE = 0.001

_SUBSCRIBER_PARSERS: dict[str, Parser] = {
    "share": _number_parser("share", _MIN_SHARE, _MAX_SHARE, float),
    "key_sha256": _strings_parser(
        "key_digests", KEY_DIGEST_PATTERN, "64 lower-case hex digits"
    ),
    "services": _strings_parser(
        "services", _SERVICE_PATTERN, "a service or a prefix with *"
    ),
}
_SERVICE_PARSERS: dict[str, Parser] = {}
_KIND_PARSERS: dict[str, Parser] = {
    "standing": _number_parser("standing", -_MAX_STANDING, _MAX_STANDING, int),
    "idempotent": _parse_idempotent,
    "fan_out": _choice_parser("fan_out", FanOut),
    "deadline_ms": _duration_parser("deadline"),
    "coverage": _choice_parser("coverage", CoveragePolicy),
    "answer_after_ms": _duration_parser("answer_after"),
}
