"""Audit trail of operators' changes: author, time, action and result."""

import collections
import datetime
from collections import abc

import msgspec

from greengagehaven.state import configuration

MAX_RECORDS = 20_000
ACCEPTED = "accepted"


class AuditRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's change, accepted or rejected.

    :param number: sequence number over all changes, rejected ones included.
    :param made_at: Unix time in seconds on the leader's wall clock.
    :param action: requested action, for example ``zone drain a``.
    :param from_digest: digest of the active document before the change.
    :param to_digest: digest of the requested document; equal to ``from_digest``
        if the change has no document.
    :param revision: revision after the change.
    :param code: ``accepted`` or the code of the rejection.
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
        """Return the result for the operator; a resend gets the same one."""
        return configuration.ChangeResult(
            change_id=self.change_id,
            accepted=self.accepted,
            revision=self.revision,
            code=self.code,
            detail=self.detail,
            made_at=datetime.datetime.fromtimestamp(self.made_at, tz=datetime.UTC),
        )


class AuditTrail:
    """The most recent audit records, by change id, for deduplication of resends.

    The replicated state keeps the newest ``max_records`` changes regardless of
    age. The leader also writes each one as a log line (``event=audit``) for the
    platform's log store. A change id is recognised as long as its record is kept.

    :param max_records: maximum number of records kept.
    """

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        self._records_by_change_id: collections.OrderedDict[str, AuditRecord] = (
            collections.OrderedDict()
        )
        self.count = 0

    def find(self, change_id: str) -> AuditRecord | None:
        """Return the record of a change, ``None`` if there is none."""
        return self._records_by_change_id.get(change_id)

    def add(self, record: AuditRecord) -> None:
        """Append a record and evict the oldest ones above the maximum."""
        self.count = record.number
        self._records_by_change_id[record.change_id] = record
        while len(self._records_by_change_id) > self._max_records:
            self._records_by_change_id.popitem(last=False)

    def newest(self, limit: int, *, accepted_only: bool = False) -> list[AuditRecord]:
        """Return up to ``limit`` records, newest first."""
        records = []
        for record in reversed(self._records_by_change_id.values()):
            if len(records) >= limit:
                break
            if record.accepted or not accepted_only:
                records.append(record)
        return records

    def find_accepted(self, revision: int) -> AuditRecord | None:
        """Return the change that created a revision, ``None`` if not kept."""
        for record in reversed(self._records_by_change_id.values()):
            if record.accepted and record.revision == revision:
                return record
            if record.revision < revision:
                return None
        return None

    def records(self) -> tuple[AuditRecord, ...]:
        """Return all records, oldest first."""
        return tuple(self._records_by_change_id.values())

    def restore(self, records: abc.Iterable[AuditRecord], count: int) -> None:
        """Replace the trail by ``records``, oldest first, and the total ``count``."""
        self._records_by_change_id = collections.OrderedDict(
            (record.change_id, record) for record in records
        )
        self.count = count
