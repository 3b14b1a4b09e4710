"""The replicated state machine of operators' changes.

Everything that depends on a clock, a key or the hosts seen is settled by the
leader and written into the entry, so that all control hosts reach the same
result from the same log.
"""

import typing

import msgspec

from greengagehaven.protocol import codec, packing
from greengagehaven.protocol import rollouts as messages
from greengagehaven.state import audit, configuration, document, published, rollouts

MAX_PROOFS = 1000


class Refusal(msgspec.Struct, frozen=True):
    """Why the leader refused a change; it is still audited."""

    code: str
    detail: str


class _Entry(msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True):
    """Head of every entry; ``made_at`` is the leader's wall clock."""

    change_id: str
    author: str
    made_at: float
    refusal: Refusal | None = None


class DocumentEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """A new document, as a splice of the one under ``base_digest``.

    :param base_digest: of the document that ``splice`` changes.
    :param splice: ``None`` where the change is bound to be refused.
    :param proved: whether a valid proof came with it.
    :param number: the operator's number, ``None`` where documents have none.
    :param packed_document: the whole of a numbered document, packed. It may replace
        any other, so it is not bound to the base that its leader saw: a change before
        it whose outcome was not known would get it refused for good.
    :param document: the same as it was, in entries of earlier releases.
    """

    expected_revision: int | None
    digest: str
    base_digest: str = ""
    splice: configuration.Splice | None = None
    proved: bool = False
    number: int | None = None
    document: bytes = b""
    packed_document: bytes = b""

    def whole_document(self) -> bytes:
        """Return the whole of a numbered document."""
        if not self.packed_document:
            return self.document
        return packing.unpack(self.packed_document, place="entry.packed_document")


class ZoneEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """Drain or restore an availability zone.

    :param known_zones: zones in which the leader saw entry hosts.
    """

    zone: str
    drained: bool
    force: bool = False
    known_zones: tuple[str, ...] = ()


class ProofEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """A signed statement that a digest proved itself here."""

    digest: str
    proof: bytes = b""


class WithdrawalEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """A signed statement that a digest must not be promoted any more."""

    digest: str
    statement: bytes = b""


class RecoveryEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """Mark of a log that went on from one survivor of a lost quorum.

    :param skipped: revisions left out, so that none that an entry host may
        have seen from the lost hosts is given out a second time.
    """

    skipped: int


class RolloutEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """An order to move a service to another version of its software."""

    service: str
    version: str
    duration_s: float


class RolloutStepEntry(_Entry, frozen=True, kw_only=True, tag=True):
    """A roll-out that goes on to its next phase.

    :param number: of the roll-out; a step of an earlier one changes nothing.
    :param detail: the figures behind the step.
    """

    service: str
    number: int
    phase: messages.Phase
    detail: str = ""


Entry = (
    DocumentEntry
    | ZoneEntry
    | ProofEntry
    | WithdrawalEntry
    | RecoveryEntry
    | RolloutEntry
    | RolloutStepEntry
)


class _Captured(msgspec.Struct, frozen=True, kw_only=True):
    state: configuration.ConfigurationState
    deltas: tuple[configuration.Delta, ...]
    records: tuple[audit.AuditRecord, ...]
    record_count: int
    proofs_by_digest: dict[str, bytes]
    withdrawals_by_digest: dict[str, bytes]


class ChangeMachine:
    """Configuration, audit trail, proofs and withdrawals.

    :param max_records: bound of the audit trail and of known change ids.
    """

    def __init__(self, *, max_records: int = audit.MAX_RECORDS) -> None:
        self.published = published.Published()
        self.audit = audit.AuditTrail(max_records=max_records)
        self.proofs_by_digest: dict[str, bytes] = {}
        self.withdrawals_by_digest: dict[str, bytes] = {}

    @property
    def state(self) -> configuration.ConfigurationState:
        """Return the state after the last entry."""
        return self.published.state

    def apply(self, payload: bytes) -> audit.AuditRecord:
        """Apply one entry and return its record; a resend's is the first one."""
        entry = codec.decode_msgpack(payload, Entry, place="entry")
        known = self.audit.find(entry.change_id)
        if known is not None:
            return known
        before = self.state.digest
        refusal = entry.refusal or self._decide(entry)
        record = audit.AuditRecord(
            number=self.audit.count + 1,
            change_id=entry.change_id,
            author=entry.author,
            made_at=entry.made_at,
            action=action_of(entry),
            from_digest=before,
            to_digest=getattr(entry, "digest", before),
            revision=self.state.revision,
            accepted=refusal is None,
            code=refusal.code if refusal else audit.ACCEPTED,
            detail=refusal.detail if refusal else getattr(entry, "detail", ""),
        )
        self.audit.add(record)
        return record

    def capture(self) -> bytes:
        """Return the whole state."""
        return codec.encode_msgpack(
            _Captured(
                state=self.published.state,
                deltas=self.published.kept(),
                records=self.audit.records(),
                record_count=self.audit.count,
                proofs_by_digest=self.proofs_by_digest,
                withdrawals_by_digest=self.withdrawals_by_digest,
            )
        )

    def restore(self, data: bytes) -> None:
        """Become the state that ``capture`` returned."""
        captured = codec.decode_msgpack(data, _Captured, place="snapshot")
        self.published.restore(captured.state, captured.deltas)
        self.audit.restore(captured.records, captured.record_count)
        self.proofs_by_digest = dict(captured.proofs_by_digest)
        self.withdrawals_by_digest = dict(captured.withdrawals_by_digest)

    def _decide(self, entry: Entry) -> Refusal | None:
        match entry:
            case DocumentEntry():
                return self._decide_document(entry)
            case ZoneEntry():
                return self._decide_zone(entry)
            case ProofEntry():
                return self._decide_proof(entry)
            case WithdrawalEntry():
                _keep(self.withdrawals_by_digest, entry.digest, entry.statement)
                self.proofs_by_digest.pop(entry.digest, None)
            case RecoveryEntry():
                self._skip(entry.skipped)
            case RolloutEntry():
                return self._decide_rollout(entry)
            case RolloutStepEntry():
                return self._decide_step(entry)
        return None

    def _decide_document(self, entry: DocumentEntry) -> Refusal | None:
        if entry.number is not None:
            return self._decide_numbered(entry, entry.number)
        conflict = self._conflict(entry.expected_revision)
        if conflict is not None:
            return conflict
        if entry.digest in self.withdrawals_by_digest:
            detail = f"digest {entry.digest} was withdrawn"
            return Refusal("proof_refused", detail)
        if entry.splice is None or entry.base_digest != self.state.digest:
            return Refusal("revision_conflict", "the document changed meanwhile")
        self._advance(splice=entry.splice, digest=entry.digest)
        if entry.proved:
            _keep(self.proofs_by_digest, entry.digest, b"")
        return None

    def _decide_numbered(self, entry: DocumentEntry, number: int) -> Refusal | None:
        if number <= self.state.number:
            # Two operators may send at once and an old change may arrive again.
            # Refused, its operator would send it for ever; obeyed, it would undo
            # what was acknowledged after it.
            return None
        if entry.digest in self.withdrawals_by_digest:
            return Refusal("proof_refused", f"digest {entry.digest} was withdrawn")
        whole = entry.whole_document()
        splice = configuration.splice_between(self.state.document, whole)
        self._advance(splice=splice, digest=entry.digest, number=number)
        return None

    def _conflict(self, expected: int | None) -> Refusal | None:
        current = self.state.revision
        if expected is None or expected == current:
            return None
        winner = self.audit.winner_of(expected + 1)
        taker = (
            f"{winner.author} took revision {winner.revision} "
            f"with change {winner.change_id}"
            if winner
            else "nobody has made the next one yet"
            if expected > current
            else "an older change took the next one"
        )
        detail = f"expected revision {expected}, {current} is in force; {taker}"
        return Refusal("revision_conflict", detail)

    def _decide_zone(self, entry: ZoneEntry) -> Refusal | None:
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

    def _decide_proof(self, entry: ProofEntry) -> Refusal | None:
        if entry.digest != self.state.digest:
            detail = f"digest {self.state.digest} is in force, not {entry.digest}"
            return Refusal("proof_refused", detail)
        if entry.digest in self.withdrawals_by_digest:
            detail = f"digest {entry.digest} was withdrawn"
            return Refusal("proof_refused", detail)
        _keep(self.proofs_by_digest, entry.digest, entry.proof)
        return None

    def _decide_rollout(self, entry: RolloutEntry) -> Refusal | None:
        last = rollouts.find(self.state.rollouts, entry.service)
        if rollouts.is_repeated(last, entry.version, ordered_at=entry.made_at):
            return None
        if last is not None and not last.phase.is_final:
            detail = f"{entry.service} is being rolled out to {last.version}"
            return Refusal("rollout_in_progress", detail)
        ordered = messages.Rollout(
            service=entry.service,
            version=entry.version,
            duration_s=entry.duration_s,
            ordered_at=entry.made_at,
            number=self.state.revision + 1,
        )
        self._advance(rollout=ordered)
        return None

    def _decide_step(self, entry: RolloutStepEntry) -> Refusal | None:
        last = rollouts.find(self.state.rollouts, entry.service)
        if last is None or last.number != entry.number:
            return Refusal("rollout_over", f"{entry.service} has another roll-out")
        if entry.phase not in rollouts.NEXT_PHASES.get(last.phase, ()):
            detail = f"{entry.phase} does not follow {last.phase}"
            return Refusal("rollout_over", detail)
        self._advance(rollout=msgspec.structs.replace(last, phase=entry.phase))
        return None

    def _advance(self, **changed: typing.Any) -> None:
        state = self.state
        fields = {
            "digest": state.digest,
            "drained_zones": state.drained_zones,
            "number": state.number,
            "revision": state.revision + 1,
            **changed,
        }
        self.published.advance(configuration.Delta(**fields))

    def _skip(self, skipped: int) -> None:
        state = self.state
        revision = state.revision + skipped
        self.published.replace(msgspec.structs.replace(state, revision=revision))


def is_same(record: audit.AuditRecord, entry: Entry) -> bool:
    """Tell whether a record is of this entry or of its first sending."""
    digest = getattr(entry, "digest", record.to_digest)
    return record.action == action_of(entry) and record.to_digest == digest


def encode(entry: Entry) -> bytes:
    """Return an entry as it stands in the log."""
    return codec.encode_msgpack(entry)


def document_entry(
    change: configuration.DocumentChange,
    state: configuration.ConfigurationState,
    *,
    made_at: float,
    refusal: Refusal | None,
    proved: bool,
) -> DocumentEntry:
    """Return the entry of a document, as a splice of the one in force.

    :param state: in force now; no other document may be on its way, or a forced
        change would be refused for its base.
    """
    splice = None
    whole = b""
    if change.number is not None:
        whole = packing.pack(change.document) if refusal is None else b""
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
        packed_document=whole,
    )


def _keep(data_by_digest: dict[str, bytes], digest: str, data: bytes) -> None:
    data_by_digest.pop(digest, None)
    data_by_digest[digest] = data
    while len(data_by_digest) > MAX_PROOFS:
        del data_by_digest[next(iter(data_by_digest))]


def action_of(entry: Entry) -> str:
    """Return what an entry asks for, as the audit trail names it."""
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
