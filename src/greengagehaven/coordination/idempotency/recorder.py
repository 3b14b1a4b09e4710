"""A recorder: one of the fixed set of hosts that remember idempotency keys.

It grants each key to the first token that asks and to no other, until that
token says that it has not run and never will. A request runs only with grants
of a majority of the set, so two never can; unlike an owner that is chosen from
the live members, the set does not move when hosts come, go or are cut off.

A recorder that lost its memory would grant a key a second time. It abstains
until it has copied the records of enough others that every majority is covered,
or until every record that it may have lost has expired. The copy also tells
the others its new incarnation, and they tell claimants: a grant from before the
loss no longer counts beside a grant from after the copy (the recovery protocol
of Viewstamped Replication, Liskov and Cowling 2012, closes the same hole).
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
COPY_PAGE = 200

_RELEASED_REMEMBERED = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecorderLimits:
    """Bounds of what a recorder keeps.

    :param retention: seconds a record is kept after it last changed.
    :param max_records: beyond it no new key is granted; none that is still
        kept is dropped for one, for its request could then run again.
    :param max_answers_bytes: beyond it the oldest answers are dropped, their
        records stay.
    """

    retention: float = DEFAULT_RETENTION_S
    max_records: int = MAX_RECORDS
    max_answers_bytes: int = MAX_ANSWERS_BYTES


class Change(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What has to be durable before a reply goes out.

    :param record_id: the key that changed, empty where none did.
    :param record: what is kept of it from now on, ``None`` to forget it.
    :param seen_id: a recorder that lost its memory and copied this one.
    :param seen_incarnation: its new incarnation.
    """

    record_id: str = ""
    record: claims.Record | None = None
    seen_id: str = ""
    seen_incarnation: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Kept:
    record: claims.Record
    changed_at: float


def recorder_set(recorder_ids: frozenset[str]) -> str:
    """Return the name of a set of recorders, for messages."""
    return ",".join(sorted(recorder_ids))


def majority(count: int) -> int:
    """Return how many of ``count`` recorders make a majority."""
    return count // 2 + 1


def copies_needed(count: int) -> int:
    """Return of how many others a recorder must copy.

    So many that no majority, less the recorder itself, can lie outside them.
    """
    return count - majority(count) + 1


class Recorder:
    """State of one recorder.

    :param clock: time; only ``monotonic`` is read.
    :param recorder_id: its own name in the set.
    :param recorder_ids: the whole set, itself included.
    :param incarnation: changes whenever its memory was lost.
    :param changes: what a journal on disk brought back.
    :param has_memory: whether ``changes`` is all that it ever granted; false
        for one that starts with nothing, unless the whole set is new.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        recorder_id: str,
        recorder_ids: frozenset[str],
        incarnation: int,
        changes: abc.Iterable[Change] = (),
        has_memory: bool,
        limits: RecorderLimits | None = None,
    ) -> None:
        self._clock = clock
        self._id = recorder_id
        self._ids = recorder_ids
        self._set = recorder_set(recorder_ids)
        self._limits = limits or RecorderLimits()
        self.incarnation = incarnation
        self._incarnations_by_id: dict[str, int] = {}
        self._kept_by_id: collections.OrderedDict[str, _Kept] = (
            collections.OrderedDict()
        )
        self._answers_bytes = 0
        self._answered_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._released: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._copied_from: set[str] = set()
        self._abstains = not has_memory
        self._abstains_until = clock.monotonic() + self._limits.retention
        for change in changes:
            self._redo(change)

    def __len__(self) -> int:
        return len(self._kept_by_id)

    @property
    def abstains(self) -> bool:
        """Tell whether it may have forgotten records and so grants nothing."""
        if self._abstains and self._clock.monotonic() >= self._abstains_until:
            self._abstains = False
        return self._abstains

    @property
    def answers_bytes(self) -> int:
        """Return the size of all answers that are kept."""
        return self._answers_bytes

    def handle(
        self, request: claims.RecorderRequest
    ) -> tuple[claims.RecorderReply, Change | None]:
        """Answer a request.

        :return: the reply, and what must be durable before it is sent.
        """
        if request.recorders != self._set:
            # Somebody counts a majority of another set than this one.
            return self._reply(claims.Verdict.ABSTAINS), None
        self._expire()
        if isinstance(request, claims.CopyRequest):
            return self._copy(request)
        if isinstance(request, claims.Lookup):
            return self._look_up(request), None
        if isinstance(request, claims.Claim):
            return self._claim(request.record)
        if isinstance(request, claims.Release):
            return self._release(request)
        return self._conclude(request.record)

    def copy_request(self, after: str = "") -> claims.CopyRequest:
        """Return what to ask another recorder after a loss of memory."""
        return claims.CopyRequest(
            recorders=self._set,
            recorder_id=self._id,
            incarnation=self.incarnation,
            after=after,
        )

    def trust_empty(self) -> None:
        """Go on with nothing: the whole set is new, there is nothing to copy."""
        self._abstains = False

    def take_copy(self, reply: claims.RecorderReply) -> list[Change]:
        """Take in a page of another recorder's records.

        :return: what must be durable before it grants anything.
        """
        if reply.verdict is not claims.Verdict.DONE or reply.recorder_id == self._id:
            return []
        changes = []
        for record in reply.records:
            known = self._kept_by_id.get(record.record_id)
            if known is None or known.record.state is claims.RecordState.RUNNING:
                self._keep(record)
                changes.append(Change(record_id=record.record_id, record=record))
        if reply.is_last:
            self._copied_from.add(reply.recorder_id)
        if len(self._copied_from) >= copies_needed(len(self._ids)):
            self._abstains = False
        return changes

    def _claim(
        self, record: claims.Record
    ) -> tuple[claims.RecorderReply, Change | None]:
        if self.abstains:
            return self._reply(claims.Verdict.ABSTAINS), None
        kept = self._kept_by_id.get(record.record_id)
        if kept is not None:
            if kept.record.token == record.token:
                return self._reply(claims.Verdict.GRANTED), None
            return self._reply(claims.Verdict.HELD, record=kept.record), None
        if record.token in self._released:
            # The claim was overtaken by its own release: nobody waits for it,
            # and granted now it would hold the key until it expires.
            return self._reply(claims.Verdict.NONE), None
        if len(self._kept_by_id) >= self._limits.max_records:
            return self._reply(claims.Verdict.FULL), None
        self._keep(record)
        change = Change(record_id=record.record_id, record=record)
        return self._reply(claims.Verdict.GRANTED), change

    def _release(
        self, request: claims.Release
    ) -> tuple[claims.RecorderReply, Change | None]:
        self._released[request.token] = None
        if len(self._released) > _RELEASED_REMEMBERED:
            self._released.popitem(last=False)
        kept = self._kept_by_id.get(request.record_id)
        if kept is None or kept.record.token != request.token:
            return self._reply(claims.Verdict.DONE), None
        if kept.record.state is not claims.RecordState.RUNNING:
            return self._reply(claims.Verdict.DONE), None
        self._drop(request.record_id)
        change = Change(record_id=request.record_id, record=None)
        return self._reply(claims.Verdict.DONE), change

    def _conclude(
        self, record: claims.Record
    ) -> tuple[claims.RecorderReply, Change | None]:
        kept = self._kept_by_id.get(record.record_id)
        if kept is not None and kept.record.token != record.token:
            # The sender had a majority, so what is kept here belongs to a
            # claim that failed and whose release has not come yet.
            pass
        elif kept is None and len(self._kept_by_id) >= self._limits.max_records:
            return self._reply(claims.Verdict.FULL), None
        self._keep(record)
        change = Change(record_id=record.record_id, record=record)
        return self._reply(claims.Verdict.DONE), change

    def _look_up(self, request: claims.Lookup) -> claims.RecorderReply:
        kept = self._kept_by_id.get(request.record_id)
        if kept is not None:
            return self._reply(claims.Verdict.HELD, record=self._seen(kept))
        if self.abstains:
            return self._reply(claims.Verdict.ABSTAINS)
        return self._reply(claims.Verdict.NONE)

    def _seen(self, kept: _Kept) -> claims.Record:
        """Return a record as it is to be told: running only while it can be."""
        record = kept.record
        age_ms = (self._clock.monotonic() - kept.changed_at) * 1000
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
    ) -> tuple[claims.RecorderReply, Change | None]:
        if request.recorder_id not in self._ids or self.abstains:
            return self._reply(claims.Verdict.ABSTAINS), None
        change = None
        if self._incarnations_by_id.get(request.recorder_id) != request.incarnation:
            change = Change(
                seen_id=request.recorder_id, seen_incarnation=request.incarnation
            )
            self._redo(change)
        ids = sorted(known for known in self._kept_by_id if known > request.after)
        page = tuple(self._kept_by_id[known].record for known in ids[:COPY_PAGE])
        reply = claims.RecorderReply(
            verdict=claims.Verdict.DONE,
            recorder_id=self._id,
            incarnation=self.incarnation,
            records=page,
            is_last=len(ids) <= COPY_PAGE,
        )
        return reply, change

    def snapshot(self) -> list[Change]:
        """Return changes that bring back the whole state, for a short journal."""
        seen = [
            Change(seen_id=recorder_id, seen_incarnation=incarnation)
            for recorder_id, incarnation in self._incarnations_by_id.items()
        ]
        kept = [
            Change(record_id=record_id, record=kept.record)
            for record_id, kept in self._kept_by_id.items()
        ]
        return seen + kept

    def _redo(self, change: Change) -> None:
        if change.seen_id:
            self._incarnations_by_id[change.seen_id] = change.seen_incarnation
        if change.record is not None:
            self._keep(change.record)
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

    def _keep(self, record: claims.Record) -> None:
        self._drop(record.record_id)
        if record.answer is not None and len(record.answer) > MAX_ANSWER_BYTES:
            record = _without_answer(record)
        self._kept_by_id[record.record_id] = _Kept(
            record=record, changed_at=self._clock.monotonic()
        )
        if record.answer is not None:
            self._answered_ids[record.record_id] = None
            self._answers_bytes += len(record.answer)
        while self._answers_bytes > self._limits.max_answers_bytes:
            self._drop_oldest_answer()

    def _drop_oldest_answer(self) -> None:
        record_id, _ = self._answered_ids.popitem(last=False)
        kept = self._kept_by_id[record_id]
        self._answers_bytes -= len(kept.record.answer or b"")
        kept.record = _without_answer(kept.record)

    def _drop(self, record_id: str) -> None:
        kept = self._kept_by_id.pop(record_id, None)
        if kept is not None and record_id in self._answered_ids:
            del self._answered_ids[record_id]
            self._answers_bytes -= len(kept.record.answer or b"")

    def _expire(self) -> None:
        """Drop records that are past their retention; the oldest come first."""
        limit = self._clock.monotonic() - self._limits.retention
        while self._kept_by_id:
            record_id, kept = next(iter(self._kept_by_id.items()))
            if kept.changed_at > limit:
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
