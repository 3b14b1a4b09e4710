"""Messages about idempotency keys, between entry hosts and recorders.

A recorder is one of a fixed, small set of hosts that keep what became of each
key. ``record_id`` stands for a subscriber and its key, ``token`` for one
request that wants to run under it.
"""

import enum

import msgspec


class RecordState(enum.StrEnum):
    """What became of the request that holds a key."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Record(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a recorder keeps of one key.

    :param fingerprint: which request the key belongs to.
    :param token: the one request that may run under it.
    :param run_ms: how long after the claim it may still be running.
    :param answer: JSON of its answer, where it was kept.
    """

    record_id: str
    fingerprint: str
    token: str
    run_ms: int
    state: RecordState = RecordState.RUNNING
    answer: bytes | None = None


class Claim(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """Ask to let one request run under a key."""

    recorders: str
    record: Record


class Release(msgspec.Struct, frozen=True, kw_only=True, tag="release"):
    """Say that a request has not run and never will."""

    recorders: str
    record_id: str
    token: str


class Conclude(msgspec.Struct, frozen=True, kw_only=True, tag="conclude"):
    """Say what became of the request that ran."""

    recorders: str
    record: Record


class Lookup(msgspec.Struct, frozen=True, kw_only=True, tag="lookup"):
    """Ask what is known of a key."""

    recorders: str
    record_id: str


class CopyRequest(msgspec.Struct, frozen=True, kw_only=True, tag="copy"):
    """Ask for all records, by a recorder that lost its memory.

    :param recorder_id: who asks.
    :param incarnation: its new incarnation; grants of older ones are void.
    :param after: last record id it has, to go on from there.
    """

    recorders: str
    recorder_id: str
    incarnation: int
    after: str = ""


RecorderRequest = Claim | Release | Conclude | Lookup | CopyRequest


class Verdict(enum.StrEnum):
    """What a recorder says to a request."""

    GRANTED = "granted"
    HELD = "held"
    NONE = "none"
    DONE = "done"
    ABSTAINS = "abstains"
    FULL = "full"


class RecorderReply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer of a recorder.

    :param incarnation: of the recorder; it changes when its memory is lost.
    :param incarnations_by_id: incarnations that it has seen of the others.
    :param record: what it keeps of the key, where that is not the asker's own.
    :param records: a page of all records, in the order of their ids.
    :param is_last: whether ``records`` ends with the last one.
    """

    verdict: Verdict
    recorder_id: str
    incarnation: int
    incarnations_by_id: dict[str, int] = {}
    record: Record | None = None
    records: tuple[Record, ...] = ()
    is_last: bool = True
