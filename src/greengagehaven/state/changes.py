"""Replicated state machine of operators' changes.

The leader evaluates everything that depends on a clock, a key or the set of known
hosts and writes the result into the log entry, so that all control hosts derive
the same state from the same log.
"""

import typing

import msgspec

from greengagehaven.protocol import codec, compression
from greengagehaven.protocol import rollouts as messages
from greengagehaven.state import (
    audit,
    configuration,
    configuration_history,
    document,
    rollouts,
)

MAX_PROOFS = 1000


class Refusal(msgspec.Struct, frozen=True):
    """Reason for which a change was rejected; the change is audited all the same."""

    code: str
    detail: str


class _Entry(msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True):
    """Fields of every entry.

    :param made_at: Unix time in seconds on the leader's wall clock.
    :param refusal: set if the leader rejected the change.
    """

    change_id: str
    author: str
    made_at: float
    refusal: Refusal | None = None


class DocumentEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """Replace the document, either by a splice or by a full numbered document.

    :param expected_revision: revision the operator saw, ``None`` to force.
    :param digest: digest of the new document.
    :param base_digest: digest of the document to which ``splice`` applies.
    :param splice: ``None`` if the change will be rejected, and in numbered changes.
    :param proved: whether the change came with a valid proof.
    :param number: the operator's number, ``None`` if documents are not numbered.
    :param packed_document: the full numbered document, compressed. It replaces any
        document, so it carries no splice: after an earlier change of unknown outcome,
        a splice could be on the wrong base and be rejected for good.
    :param document: the full document uncompressed, in entries of earlier releases.
    """

    expected_revision: int | None
    digest: str
    base_digest: str = ""
    splice: configuration.Splice | None = None
    proved: bool = False
    number: int | None = None
    document: bytes = b""
    packed_document: bytes = b""

    def full_document(self) -> bytes:
        """Return the full numbered document, decompressed."""
        if not self.packed_document:
            return self.document
        return compression.decompress(
            self.packed_document, place="entry.packed_document"
        )


class ZoneEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """Drain or restore an availability zone.

    :param drained: ``True`` to drain the zone, ``False`` to restore it.
    :param force: skip the checks that the zone exists and is not the last one.
    :param known_zones: zones in which the leader knew of entry hosts.
    """

    zone: str
    drained: bool
    force: bool = False
    known_zones: tuple[str, ...] = ()


class ProofEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """Record a signed proof that a digest was active on all hosts here."""

    digest: str
    proof: bytes = b""


class WithdrawalEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """Record a withdrawal: the digest must no longer be promoted.

    :param statement: the signed withdrawal.
    """

    digest: str
    statement: bytes = b""


class RecoveryEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """Mark that the log was recovered from one survivor of a lost quorum.

    :param skipped: number of revisions to skip, so that no revision that an entry
        host may have received from the lost hosts is assigned again.
    """

    skipped: int


class RolloutEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """Start a rollout of a service to another software version."""

    service: str
    version: str
    duration_s: float


class RolloutStepEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """Move a rollout to its next phase.

    :param number: number of the rollout; a step of an earlier one is rejected.
    :param detail: measurements on which the step is based.
    """

    service: str
    number: int
    phase: messages.Phase
    detail: str = ""


ChangeEntry = (
    DocumentEntry
    | ZoneEntry
    | ProofEntry
    | WithdrawalEntry
    | RecoveryEntry
    | RolloutEntry
    | RolloutStepEntry
)


class _SnapshotData(msgspec.Struct, frozen=True, kw_only=True):
    state: configuration.ConfigurationState
    deltas: tuple[configuration.Delta, ...]
    records: tuple[audit.AuditRecord, ...]
    record_count: int
    proofs_by_digest: dict[str, bytes]
    withdrawals_by_digest: dict[str, bytes]


class ConfigurationStateMachine:
    """State machine that holds configuration, audit trail, proofs and withdrawals.

    :param max_records: maximum size of the audit trail, and so the number of change
        ids that are recognised in resends.
    """

    def __init__(self, *, max_records: int = audit.MAX_RECORDS) -> None:
        self.history = configuration_history.ConfigurationHistory()
        self.audit = audit.AuditTrail(max_records=max_records)
        self.proofs_by_digest: dict[str, bytes] = {}
        self.withdrawals_by_digest: dict[str, bytes] = {}

    @property
    def state(self) -> configuration.ConfigurationState:
        """Return the configuration after the last applied entry."""
        return self.history.state

    def apply(self, payload: bytes) -> audit.AuditRecord:
        """Apply one entry and return its audit record.

        A resend changes nothing and returns the record of the first sending.
        """
        entry = codec.decode_msgpack(payload, ChangeEntry, place="entry")
        previous = self.audit.find(entry.change_id)
        if previous is not None:
            return previous
        digest_before = self.state.digest
        refusal = entry.refusal or self._apply_entry(entry)
        record = audit.AuditRecord(
            number=self.audit.count + 1,
            change_id=entry.change_id,
            author=entry.author,
            made_at=entry.made_at,
            action=action_of(entry),
            from_digest=digest_before,
            to_digest=getattr(entry, "digest", digest_before),
            revision=self.state.revision,
            accepted=refusal is None,
            code=refusal.code if refusal else audit.ACCEPTED,
            detail=refusal.detail if refusal else getattr(entry, "detail", ""),
        )
        self.audit.add(record)
        return record

    def capture(self) -> bytes:
        """Return the complete state, encoded for a snapshot."""
        return codec.encode_msgpack(
            _SnapshotData(
                state=self.history.state,
                deltas=self.history.recent_deltas(),
                records=self.audit.records(),
                record_count=self.audit.count,
                proofs_by_digest=self.proofs_by_digest,
                withdrawals_by_digest=self.withdrawals_by_digest,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by one that :meth:`capture` returned."""
        snapshot = codec.decode_msgpack(data, _SnapshotData, place="snapshot")
        self.history.restore(snapshot.state, snapshot.deltas)
        self.audit.restore(snapshot.records, snapshot.record_count)
        self.proofs_by_digest = dict(snapshot.proofs_by_digest)
        self.withdrawals_by_digest = dict(snapshot.withdrawals_by_digest)

    def _apply_entry(self, entry: ChangeEntry) -> Refusal | None:
        match entry:
            case DocumentEntry():
                return self._apply_document(entry)
            case ZoneEntry():
                return self._apply_zone(entry)
            case ProofEntry():
                return self._apply_proof(entry)
            case WithdrawalEntry():
                _put_bounded(self.withdrawals_by_digest, entry.digest, entry.statement)
                self.proofs_by_digest.pop(entry.digest, None)
            case RecoveryEntry():
                self._skip_revisions(entry.skipped)
            case RolloutEntry():
                return self._apply_rollout(entry)
            case RolloutStepEntry():
                return self._apply_rollout_step(entry)
        return None

    def _apply_document(self, entry: DocumentEntry) -> Refusal | None:
        if entry.number is not None:
            return self._apply_numbered_document(entry, entry.number)
        conflict = self._check_revision(entry.expected_revision)
        if conflict is not None:
            return conflict
        if entry.digest in self.withdrawals_by_digest:
            detail = f"digest {entry.digest} was withdrawn"
            return Refusal("proof_refused", detail)
        if entry.splice is None or entry.base_digest != self.state.digest:
            return Refusal("revision_conflict", "the document changed meanwhile")
        self._advance(splice=entry.splice, digest=entry.digest)
        if entry.proved:
            _put_bounded(self.proofs_by_digest, entry.digest, b"")
        return None

    def _apply_numbered_document(
        self, entry: DocumentEntry, number: int
    ) -> Refusal | None:
        if number <= self.state.number:
            # A concurrent or resent change with an older number. If it were
            # rejected, its operator would resend it forever; if it were applied, it
            # would undo changes that were acknowledged after it.
            return None
        if entry.digest in self.withdrawals_by_digest:
            return Refusal("proof_refused", f"digest {entry.digest} was withdrawn")
        new_document = entry.full_document()
        splice = configuration.splice_between(self.state.document, new_document)
        self._advance(splice=splice, digest=entry.digest, number=number)
        return None

    def _check_revision(self, expected: int | None) -> Refusal | None:
        current = self.state.revision
        if expected is None or expected == current:
            return None
        next_change = self.audit.find_accepted(expected + 1)
        explanation = (
            f"{next_change.author} took revision {next_change.revision} "
            f"with change {next_change.change_id}"
            if next_change
            else "nobody has made the next one yet"
            if expected > current
            else "an older change took the next one"
        )
        detail = f"expected revision {expected}, {current} is in force; {explanation}"
        return Refusal("revision_conflict", detail)

    def _apply_zone(self, entry: ZoneEntry) -> Refusal | None:
        drained = set(self.state.drained_zones)
        if not entry.drained:
            drained.discard(entry.zone)
            self._advance(drained_zones=tuple(sorted(drained)))
            return None
        if entry.zone not in entry.known_zones and not entry.force:
            known = ", ".join(entry.known_zones) or "none"
            detail = f"no entry host reports zone {entry.zone}; known zones: {known}"
            return Refusal("unknown_zone", detail)
        drained.add(entry.zone)
        if not set(entry.known_zones) - drained and not entry.force:
            detail = f"draining {entry.zone} would leave no zone in service"
            return Refusal("last_zone", detail)
        self._advance(drained_zones=tuple(sorted(drained)))
        return None

    def _apply_proof(self, entry: ProofEntry) -> Refusal | None:
        if entry.digest != self.state.digest:
            detail = f"digest {self.state.digest} is in force, not {entry.digest}"
            return Refusal("proof_refused", detail)
        if entry.digest in self.withdrawals_by_digest:
            detail = f"digest {entry.digest} was withdrawn"
            return Refusal("proof_refused", detail)
        _put_bounded(self.proofs_by_digest, entry.digest, entry.proof)
        return None

    def _apply_rollout(self, entry: RolloutEntry) -> Refusal | None:
        last = rollouts.find(self.state.rollouts, entry.service)
        if rollouts.is_resend(last, entry.version, ordered_at=entry.made_at):
            return None
        if last is not None and not last.phase.is_final:
            detail = f"{entry.service} is being rolled out to {last.version}"
            return Refusal("rollout_in_progress", detail)
        started = messages.Rollout(
            service=entry.service,
            version=entry.version,
            duration_s=entry.duration_s,
            ordered_at=entry.made_at,
            number=self.state.revision + 1,
        )
        self._advance(rollout=started)
        return None

    def _apply_rollout_step(self, entry: RolloutStepEntry) -> Refusal | None:
        last = rollouts.find(self.state.rollouts, entry.service)
        if last is None or last.number != entry.number:
            return Refusal("rollout_over", f"{entry.service} has another roll-out")
        if entry.phase not in rollouts.NEXT_PHASES.get(last.phase, ()):
            detail = f"{entry.phase} does not follow {last.phase}"
            return Refusal("rollout_over", detail)
        self._advance(rollout=msgspec.structs.replace(last, phase=entry.phase))
        return None

    def _advance(self, **changes: typing.Any) -> None:
        """Publish the next revision with the given fields changed."""
        state = self.state
        fields = {
            "digest": state.digest,
            "drained_zones": state.drained_zones,
            "number": state.number,
            "revision": state.revision + 1,
            **changes,
        }
        self.history.apply_delta(configuration.Delta(**fields))

    def _skip_revisions(self, skipped: int) -> None:
        state = self.state
        revision = state.revision + skipped
        self.history.replace(msgspec.structs.replace(state, revision=revision))


def is_same_change(record: audit.AuditRecord, entry: ChangeEntry) -> bool:
    """Return whether a record with the entry's change id is of the same change.

    False means that the change id was used for two different changes.
    """
    digest = getattr(entry, "digest", record.to_digest)
    return record.action == action_of(entry) and record.to_digest == digest


def encode(entry: ChangeEntry) -> bytes:
    """Encode an entry for the log."""
    return codec.encode_msgpack(entry)


def build_document_entry(
    change: configuration.DocumentChange,
    state: configuration.ConfigurationState,
    *,
    made_at: float,
    refusal: Refusal | None,
    proved: bool,
) -> DocumentEntry:
    """Return the log entry of a document change.

    A numbered document is included in full, any other as a splice of the current one.

    :param state: current state. No other document change may be in flight, or a
        forced change would be rejected for its base digest.
    """
    splice = None
    packed = b""
    if change.number is not None:
        packed = compression.compress(change.document) if refusal is None else b""
    elif refusal is None and change.expected_revision in (None, state.revision):
        splice = configuration.splice_between(state.document, change.document)
    return DocumentEntry(
        change_id=change.change_id,
        author=change.author,
        made_at=made_at,
        refusal=refusal,
        expected_revision=change.expected_revision,
        digest=document.digest_of(change.document),
        base_digest=state.digest,
        splice=splice,
        proved=proved,
        number=change.number,
        packed_document=packed,
    )


def _put_bounded(data_by_digest: dict[str, bytes], digest: str, data: bytes) -> None:
    data_by_digest.pop(digest, None)
    data_by_digest[digest] = data
    while len(data_by_digest) > MAX_PROOFS:
        del data_by_digest[next(iter(data_by_digest))]


def action_of(entry: ChangeEntry) -> str:
    """Return the action of an entry as it is named in the audit trail."""
    match entry:
        case DocumentEntry():
            return "document"
        case ZoneEntry(zone=zone, drained=drained, force=force):
            verb = "drain" if drained else "restore"
            return f"zone {verb} {zone}" + (" by force" if force else "")
        case ProofEntry():
            return "prove"
        case WithdrawalEntry():
            return "withdraw"
        case RecoveryEntry():
            return "recover"
        case RolloutEntry(service=service, version=version):
            return f"rollout {service} to {version}"
        case RolloutStepEntry(service=service, phase=phase):
            return f"rollout {service} {phase}"
