"""Messages between entry hosts and recorders about idempotency keys.

A recorder is one of a small, fixed set of hosts that store the outcome of each
key. ``record_id`` identifies a subscriber and its key; ``token`` identifies one
request that claims the key. ``recorders`` identifies the set that the sender is
configured with; a recorder of another set abstains.
"""

import enum

import msgspec


class RecordState(enum.StrEnum):
    """State of the request that holds a key."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Record(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """State of one key as stored by a recorder.

    :param fingerprint: fingerprint of the request that the key belongs to.
    :param token: token of the only request that may run under the key.
    :param run_ms: milliseconds after the claim within which the request may still
        be running.
    :param answer: the request's answer as JSON, ``None`` if it was not stored.
    """

    record_id: str
    fingerprint: str
    token: str
    run_ms: int
    state: RecordState = RecordState.RUNNING
    answer: bytes | None = None


class Claim(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """Claim a key for one request."""

    recorders: str
    record: Record


class Release(msgspec.Struct, frozen=True, kw_only=True, tag="release"):
    """Release the key of a request that has not run and never will."""

    recorders: str
    record_id: str
    token: str


class Conclude(msgspec.Struct, frozen=True, kw_only=True, tag="conclude"):
    """Record the outcome of a request that ran."""

    recorders: str
    record: Record


class Lookup(msgspec.Struct, frozen=True, kw_only=True, tag="lookup"):
    """Request the record of a key."""

    recorders: str
    record_id: str


class CopyRequest(msgspec.Struct, frozen=True, kw_only=True, tag="copy"):
    """Request a page of all records, for a recorder that lost its state.

    :param recorder_id: the recorder that sends the request.
    :param incarnation: its new incarnation; grants of earlier ones are void.
    :param after: id of the last record received; the page starts after it.
    """

    recorders: str
    recorder_id: str
    incarnation: int
    after: str = ""


RecorderRequest = Claim | Release | Conclude | Lookup | CopyRequest


class Verdict(enum.StrEnum):
    """Result of a request to a recorder.

    ``HELD``: the key has a record, which the reply contains. ``ABSTAINS``: the
    recorder may have lost records or belongs to another set, so its reply must not
    count towards a majority. ``FULL``: it has no capacity for another record.
    """

    GRANTED = "granted"
    HELD = "held"
    NONE = "none"
    DONE = "done"
    ABSTAINS = "abstains"
    FULL = "full"


class RecorderReply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Reply of a recorder.

    :param incarnation: incarnation of the recorder; it changes when the recorder
        loses its state.
    :param incarnations_by_id: latest incarnations seen of the other recorders.
    :param record: the stored record, where it belongs to another claim than the
        sender's or was looked up.
    :param records: a page of all records, sorted by id.
    :param is_last: whether ``records`` is the last page.
    """

    verdict: Verdict
    recorder_id: str
    incarnation: int
    incarnations_by_id: dict[str, int] = {}
    record: Record | None = None
    records: tuple[Record, ...] = ()
    is_last: bool = True
