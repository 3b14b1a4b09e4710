"""The audit trail: who changed what, when, with which result."""

import collections
import datetime
from collections import abc

import msgspec

from greengagehaven.state import configuration

MAX_RECORDS = 20_000
ACCEPTED = "accepted"


class AuditRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One change that an operator asked for, accepted or refused.

    :param number: counts all changes, refused ones too.
    :param made_at: seconds since 1970 on the leader's wall clock.
    :param action: what was asked for, for example ``zone drain a``.
    :param from_digest: document in force before it.
    :param to_digest: document it asked for; the same where it asked for none.
    :param revision: in force after it.
    :param code: ``accepted`` or the code of the refusal.
    """

    number: int
    change_id: str
    author: str
    made_at: float
    action: str
    from_digest: str
    to_digest: str
    revision: int
    accepted: bool
    code: str
    detail: str = ""

    @property
    def result(self) -> configuration.ChangeResult:
        """Return what the operator is told, at every resend again."""
        return configuration.ChangeResult(
            change_id=self.change_id,
            accepted=self.accepted,
            revision=self.revision,
            code=self.code,
            detail=self.detail,
            made_at=datetime.datetime.fromtimestamp(self.made_at, tz=datetime.UTC),
        )


class AuditTrail:
    """The newest records, which are also the memory of change ids.

    The rule: the newest ``max_records`` changes are kept in the replicated
    state, whatever their age; each one is besides a log line (``event=audit``)
    of the control host that led, for the platform's log store. A change id is
    known as long as its record is kept.

    :param max_records: records to keep.
    """

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        self._records_by_change_id: collections.OrderedDict[str, AuditRecord] = (
            collections.OrderedDict()
        )
        self.count = 0

    def find(self, change_id: str) -> AuditRecord | None:
        """Return the record of a change, ``None`` where there is none."""
        return self._records_by_change_id.get(change_id)

    def add(self, record: AuditRecord) -> None:
        """Keep a record and drop the oldest beyond the bound."""
        self.count = record.number
        self._records_by_change_id[record.change_id] = record
        while len(self._records_by_change_id) > self._max_records:
            self._records_by_change_id.popitem(last=False)

    def newest(self, limit: int, *, accepted_only: bool = False) -> list[AuditRecord]:
        """Return up to ``limit`` records, the newest first."""
        found = []
        for record in reversed(self._records_by_change_id.values()):
            if len(found) >= limit:
                break
            if record.accepted or not accepted_only:
                found.append(record)
        return found

    def winner_of(self, revision: int) -> AuditRecord | None:
        """Return the accepted change that made a revision, where it is kept."""
        for record in reversed(self._records_by_change_id.values()):
            if record.accepted and record.revision == revision:
                return record
            if record.revision < revision:
                return None
        return None

    def records(self) -> tuple[AuditRecord, ...]:
        """Return every record, the oldest first."""
        return tuple(self._records_by_change_id.values())

    def restore(self, records: abc.Iterable[AuditRecord], count: int) -> None:
        """Become the trail that ``records`` and ``count`` describe."""
        self._records_by_change_id = collections.OrderedDict(
            (record.change_id, record) for record in records
        )
        self.count = count
