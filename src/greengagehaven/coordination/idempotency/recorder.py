"""A recorder: one of a fixed set of hosts that store idempotency keys.

It grants each key to the first token that claims it and to no other, unless that token
is released because its request never ran. A request runs only with grants of a majority
of the set, so two requests can never run under one key. Unlike an owner elected from
the live members, the set does not change when hosts join, leave or are partitioned.

A recorder that lost its state would grant a key a second time. It abstains until it has
copied the records of enough other recorders to overlap with every majority, or until
every record that it may have lost has expired. The copy also tells the other recorders
its new incarnation, which they report to claimants: a grant from before the loss does
not count together with a grant from after the copy (the recovery protocol of
Viewstamped Replication, Liskov and Cowling 2012, solves the same problem).
"""

import collections
import dataclasses
from collections import abc

import msgspec

from greengagehaven import clock as clock_module
from greengagehaven.protocol import claims

DEFAULT_RETENTION_S = 3600.0
MAX_RECORDS = 50_000
MAX_ANSWER_BYTES = 64 * 1024
MAX_ANSWERS_BYTES = 16 * 1024 * 1024
COPY_PAGE_RECORDS = 200

_MAX_RELEASED_TOKENS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecorderLimits:
    """Storage limits of a recorder.

    :param retention: how long a record is stored after its last change, in seconds.
    :param max_records: maximum number of records. Beyond it new keys are refused; no
        stored record is evicted, as its request could then run again.
    :param max_answers_bytes: maximum size of all stored answers. Beyond it the oldest
        answers are dropped, but their records are kept.
    """

    retention: float = DEFAULT_RETENTION_S
    max_records: int = MAX_RECORDS
    max_answers_bytes: int = MAX_ANSWERS_BYTES


class StateChange(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """State change that must be durable before a reply is sent.

    :param record_id: id of the changed record, empty if none changed.
    :param record: the new record, ``None`` if it was deleted.
    :param seen_id: id of a recorder that lost its state and copied this one.
    :param seen_incarnation: new incarnation of that recorder.
    """

    record_id: str = ""
    record: claims.Record | None = None
    seen_id: str = ""
    seen_incarnation: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class _StoredRecord:
    record: claims.Record
    changed_at: float


def recorder_set_name(recorder_ids: frozenset[str]) -> str:
    """Return the name of a set of recorders, as used in messages."""
    return ",".join(sorted(recorder_ids))


def majority(count: int) -> int:
    """Return how many of ``count`` recorders form a majority."""
    return count // 2 + 1


def required_copies(count: int) -> int:
    """Return how many other recorders a recorder must copy to recover.

    Enough that every majority contains one of them, even a majority that contains the
    recorder itself, whose grants are lost.
    """
    return count - majority(count) + 1


class Recorder:
    """State of one recorder.

    :param clock: time source; only ``monotonic`` is read.
    :param recorder_id: id of this recorder.
    :param recorder_ids: ids of the whole set, including this recorder.
    :param incarnation: changes whenever the state was lost.
    :param changes: state changes read from the journal on disk.
    :param has_complete_state: whether ``changes`` covers everything that this recorder
        ever granted; false if it starts without state, unless the whole set is new.
    :param limits: storage limits.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        recorder_id: str,
        recorder_ids: frozenset[str],
        incarnation: int,
        changes: abc.Iterable[StateChange] = (),
        has_complete_state: bool,
        limits: RecorderLimits | None = None,
    ) -> None:
        self._clock = clock
        self._id = recorder_id
        self._recorder_ids = recorder_ids
        self._set_name = recorder_set_name(recorder_ids)
        self._limits = limits or RecorderLimits()
        self.incarnation = incarnation
        self._incarnations_by_id: dict[str, int] = {}
        self._stored_by_id: collections.OrderedDict[str, _StoredRecord] = (
            collections.OrderedDict()
        )
        self._answers_bytes = 0
        self._ids_with_answer: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._released_tokens: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._copied_from: set[str] = set()
        self._abstains = not has_complete_state
        self._abstains_until = clock.monotonic() + self._limits.retention
        for change in changes:
            self._replay(change)

    def __len__(self) -> int:
        return len(self._stored_by_id)

    @property
    def abstains(self) -> bool:
        """Return whether this recorder may have lost records and so grants nothing."""
        if self._abstains and self._clock.monotonic() >= self._abstains_until:
            self._abstains = False
        return self._abstains

    @property
    def answers_bytes(self) -> int:
        """Return the total size of the stored answers in bytes."""
        return self._answers_bytes

    def handle(
        self, request: claims.RecorderRequest
    ) -> tuple[claims.RecorderReply, StateChange | None]:
        """Handle a request.

        :return: the reply, and the change that must be durable before it is sent.
        """
        if request.recorders != self._set_name:
            # The sender is configured with another set, whose majorities may not
            # overlap with this one's.
            return self._reply(claims.Verdict.ABSTAINS), None
        self._drop_expired()
        if isinstance(request, claims.CopyRequest):
            return self._copy(request)
        if isinstance(request, claims.Lookup):
            return self._look_up(request), None
        if isinstance(request, claims.Claim):
            return self._claim(request.record)
        if isinstance(request, claims.Release):
            return self._release(request)
        return self._conclude(request.record)

    def build_copy_request(self, after: str = "") -> claims.CopyRequest:
        """Return the request to another recorder for its records after ``after``."""
        return claims.CopyRequest(
            recorders=self._set_name,
            recorder_id=self._id,
            incarnation=self.incarnation,
            after=after,
        )

    def skip_recovery(self) -> None:
        """Stop abstaining without a copy: the whole set is new."""
        self._abstains = False

    def merge_copied_page(self, reply: claims.RecorderReply) -> list[StateChange]:
        """Merge a page of another recorder's records.

        :return: changes that must be durable before anything is granted.
        """
        if reply.verdict is not claims.Verdict.DONE or reply.recorder_id == self._id:
            return []
        changes = []
        for record in reply.records:
            known = self._stored_by_id.get(record.record_id)
            if known is None or known.record.state is claims.RecordState.RUNNING:
                self._store(record)
                changes.append(StateChange(record_id=record.record_id, record=record))
        if reply.is_last:
            self._copied_from.add(reply.recorder_id)
        if len(self._copied_from) >= required_copies(len(self._recorder_ids)):
            self._abstains = False
        return changes

    def _claim(
        self, record: claims.Record
    ) -> tuple[claims.RecorderReply, StateChange | None]:
        if self.abstains:
            return self._reply(claims.Verdict.ABSTAINS), None
        stored = self._stored_by_id.get(record.record_id)
        if stored is not None:
            if stored.record.token == record.token:
                return self._reply(claims.Verdict.GRANTED), None
            return self._reply(claims.Verdict.HELD, record=stored.record), None
        if record.token in self._released_tokens:
            # The release arrived before its claim. Nobody waits for the claim any more,
            # and granting it would block the key until the record expires.
            return self._reply(claims.Verdict.NONE), None
        if len(self._stored_by_id) >= self._limits.max_records:
            return self._reply(claims.Verdict.FULL), None
        self._store(record)
        change = StateChange(record_id=record.record_id, record=record)
        return self._reply(claims.Verdict.GRANTED), change

    def _release(
        self, request: claims.Release
    ) -> tuple[claims.RecorderReply, StateChange | None]:
        self._released_tokens[request.token] = None
        if len(self._released_tokens) > _MAX_RELEASED_TOKENS:
            self._released_tokens.popitem(last=False)
        stored = self._stored_by_id.get(request.record_id)
        if stored is None or stored.record.token != request.token:
            return self._reply(claims.Verdict.DONE), None
        if stored.record.state is not claims.RecordState.RUNNING:
            return self._reply(claims.Verdict.DONE), None
        self._drop(request.record_id)
        change = StateChange(record_id=request.record_id, record=None)
        return self._reply(claims.Verdict.DONE), change

    def _conclude(
        self, record: claims.Record
    ) -> tuple[claims.RecorderReply, StateChange | None]:
        stored = self._stored_by_id.get(record.record_id)
        if stored is not None and stored.record.token != record.token:
            # The sender had a majority, so the stored record belongs to a failed claim
            # whose release has not arrived yet.
            pass
        elif stored is None and len(self._stored_by_id) >= self._limits.max_records:
            return self._reply(claims.Verdict.FULL), None
        self._store(record)
        change = StateChange(record_id=record.record_id, record=record)
        return self._reply(claims.Verdict.DONE), change

    def _look_up(self, request: claims.Lookup) -> claims.RecorderReply:
        stored = self._stored_by_id.get(request.record_id)
        if stored is not None:
            return self._reply(claims.Verdict.HELD, record=self._current_record(stored))
        if self.abstains:
            return self._reply(claims.Verdict.ABSTAINS)
        return self._reply(claims.Verdict.NONE)

    def _current_record(self, stored: _StoredRecord) -> claims.Record:
        """Return the record to report: unknown once it can no longer be running."""
        record = stored.record
        age_ms = (self._clock.monotonic() - stored.changed_at) * 1000
        if record.state is not claims.RecordState.RUNNING or age_ms <= record.run_ms:
            return record
        return claims.Record(
            record_id=record.record_id,
            fingerprint=record.fingerprint,
            token=record.token,
            run_ms=record.run_ms,
            state=claims.RecordState.UNKNOWN,
        )

    def _copy(
        self, request: claims.CopyRequest
    ) -> tuple[claims.RecorderReply, StateChange | None]:
        if request.recorder_id not in self._recorder_ids or self.abstains:
            return self._reply(claims.Verdict.ABSTAINS), None
        change = None
        if self._incarnations_by_id.get(request.recorder_id) != request.incarnation:
            change = StateChange(
                seen_id=request.recorder_id, seen_incarnation=request.incarnation
            )
            self._replay(change)
        ids = sorted(each for each in self._stored_by_id if each > request.after)
        page = tuple(
            self._stored_by_id[each].record for each in ids[:COPY_PAGE_RECORDS]
        )
        reply = claims.RecorderReply(
            verdict=claims.Verdict.DONE,
            recorder_id=self._id,
            incarnation=self.incarnation,
            records=page,
            is_last=len(ids) <= COPY_PAGE_RECORDS,
        )
        return reply, change

    def snapshot(self) -> list[StateChange]:
        """Return the changes that restore the whole state, to compact the journal."""
        seen = [
            StateChange(seen_id=recorder_id, seen_incarnation=incarnation)
            for recorder_id, incarnation in self._incarnations_by_id.items()
        ]
        stored = [
            StateChange(record_id=record_id, record=stored.record)
            for record_id, stored in self._stored_by_id.items()
        ]
        return seen + stored

    def _replay(self, change: StateChange) -> None:
        if change.seen_id:
            self._incarnations_by_id[change.seen_id] = change.seen_incarnation
        if change.record is not None:
            self._store(change.record)
        elif change.record_id:
            self._drop(change.record_id)

    def _reply(
        self, verdict: claims.Verdict, *, record: claims.Record | None = None
    ) -> claims.RecorderReply:
        return claims.RecorderReply(
            verdict=verdict,
            recorder_id=self._id,
            incarnation=self.incarnation,
            incarnations_by_id=dict(self._incarnations_by_id),
            record=record,
        )

    def _store(self, record: claims.Record) -> None:
        self._drop(record.record_id)
        if record.answer is not None and len(record.answer) > MAX_ANSWER_BYTES:
            record = _without_answer(record)
        self._stored_by_id[record.record_id] = _StoredRecord(
            record=record, changed_at=self._clock.monotonic()
        )
        if record.answer is not None:
            self._ids_with_answer[record.record_id] = None
            self._answers_bytes += len(record.answer)
        while self._answers_bytes > self._limits.max_answers_bytes:
            self._drop_oldest_answer()

    def _drop_oldest_answer(self) -> None:
        record_id, _ = self._ids_with_answer.popitem(last=False)
        stored = self._stored_by_id[record_id]
        self._answers_bytes -= len(stored.record.answer or b"")
        stored.record = _without_answer(stored.record)

    def _drop(self, record_id: str) -> None:
        stored = self._stored_by_id.pop(record_id, None)
        if stored is not None and record_id in self._ids_with_answer:
            del self._ids_with_answer[record_id]
            self._answers_bytes -= len(stored.record.answer or b"")

    def _drop_expired(self) -> None:
        """Delete the records past their retention; the oldest come first."""
        limit = self._clock.monotonic() - self._limits.retention
        while self._stored_by_id:
            record_id, stored = next(iter(self._stored_by_id.items()))
            if stored.changed_at > limit:
                return
            self._drop(record_id)


def _without_answer(record: claims.Record) -> claims.Record:
    return claims.Record(
        record_id=record.record_id,
        fingerprint=record.fingerprint,
        token=record.token,
        run_ms=record.run_ms,
        state=record.state,
    )
