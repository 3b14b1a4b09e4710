"""Validation of changes by the leader and their conversion to log entries."""

import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.protocol import control
from greengagehaven.state import changes, configuration, document, proofs

if typing.TYPE_CHECKING:
    from greengagehaven.state import signing

MAX_REPORT_AGE_MS = 15_000
"""Age in milliseconds beyond which a host's report no longer shows its revision."""


class EntryBuilder:
    """Converts operators' changes to log entries.

    A refused change becomes an entry, too, so that it appears in the audit log
    and a resend of it gets the same result. A proof is the signed statement that a
    document was active on every host of the trial environment; see ``state.proofs``.

    :param environment: name of the environment, written into proofs.
    :param signer: signs proofs, ``None`` if this host cannot sign.
    :param verifier: verifies proofs, ``None`` if proofs are not required.
    :param clock: wall clock.
    :param check_document: validates a document; it raises ``DocumentError`` if
        the document must not be applied.
    :param service_names: returns the services that a document defines.
    """

    def __init__(
        self,
        *,
        environment: str,
        signer: "signing.Signer | None",
        verifier: "signing.Verifier | None",
        clock: clocks.Clock,
        check_document: abc.Callable[[bytes], object] = document.parse,
        service_names: abc.Callable[[bytes], abc.Container[str]] = (
            document.service_names
        ),
    ) -> None:
        self._service_names = service_names
        self._check_document = check_document
        self._environment = environment
        self._signer = signer
        self._verifier = verifier
        self._clock = clock

    def build_entry(
        self,
        change: configuration.Change,
        machine: changes.ConfigurationStateMachine,
        reports: abc.Sequence[control.RevisionReport],
    ) -> changes.ChangeEntry:
        """Return the log entry of a change, accepted or refused.

        :param machine: the current replicated state machine.
        :param reports: the latest report of each entry host.
        """
        match change:
            case configuration.DocumentChange():
                return self._document_entry(change, machine)
            case configuration.ZoneChange():
                return self._zone_entry(change, reports)
            case configuration.ProofChange():
                return self._proof_entry(change, machine, reports)
            case configuration.WithdrawalChange():
                return self._withdrawal_entry(change, machine)
            case configuration.RolloutChange():
                return self._rollout_entry(change, machine)
            case configuration.RolloutStep():
                return changes.RolloutStepEntry(
                    change_id=change.change_id,
                    author=change.author,
                    made_at=self._timestamp(),
                    service=change.service,
                    number=change.number,
                    phase=change.phase,
                    detail=change.detail,
                )

    def _timestamp(self) -> float:
        return self._clock.now().timestamp()

    def _document_entry(
        self,
        change: configuration.DocumentChange,
        machine: changes.ConfigurationStateMachine,
    ) -> changes.DocumentEntry:
        refusal = self._validate_document(change.document)
        if refusal is None:
            refusal = self._check_proof(change, machine)
        return changes.build_document_entry(
            change,
            machine.state,
            made_at=self._timestamp(),
            refusal=refusal,
            proved=self._verifier is not None and refusal is None,
        )

    def _validate_document(self, data: bytes) -> changes.Refusal | None:
        try:
            self._check_document(data)
        except exceptions.DocumentError as error:
            return changes.Refusal(error.code, error.detail)
        return None

    def _check_proof(
        self,
        change: configuration.DocumentChange,
        machine: changes.ConfigurationStateMachine,
    ) -> changes.Refusal | None:
        if self._verifier is None:
            return None
        digest = document.digest_of(change.document)
        if not change.proof and digest in machine.proofs_by_digest:
            # The proof of this document is in the log, so that a rollback to it
            # needs no new one.
            return None
        try:
            now = self._clock.now()
            self._verifier.check_proof(change.proof, digest=digest, now=now)
        except exceptions.GreengagehavenError as error:
            return changes.Refusal("proof_refused", error.detail)
        return None

    def _zone_entry(
        self,
        change: configuration.ZoneChange,
        reports: abc.Sequence[control.RevisionReport],
    ) -> changes.ZoneEntry:
        known = {report.availability_zone for report in reports}
        return changes.ZoneEntry(
            change_id=change.change_id,
            author=change.author,
            made_at=self._timestamp(),
            zone=change.zone,
            drained=change.drained,
            force=change.force,
            known_zones=tuple(sorted(known)),
        )

    def _rollout_entry(
        self,
        change: configuration.RolloutChange,
        machine: changes.ConfigurationStateMachine,
    ) -> changes.RolloutEntry:
        refusal = None
        known = self._service_names(machine.state.document)
        if change.service not in known:
            detail = f"the current document defines no service {change.service}"
            refusal = changes.Refusal("unknown_service", detail)
        return changes.RolloutEntry(
            change_id=change.change_id,
            author=change.author,
            made_at=self._timestamp(),
            refusal=refusal,
            service=change.service,
            version=change.version,
            duration_s=change.duration.total_seconds(),
        )

    def _proof_entry(
        self,
        change: configuration.ProofChange,
        machine: changes.ConfigurationStateMachine,
        reports: abc.Sequence[control.RevisionReport],
    ) -> changes.ProofEntry:
        state = machine.state
        digest = change.digest or state.digest
        refusal = self._check_provable(digest, state, reports)
        proof = b""
        if refusal is None and self._signer is not None:
            statement = proofs.Proof(
                environment=self._environment,
                digest=digest,
                revision=state.revision,
                hosts=tuple(sorted(report.host_id for report in reports)),
                made_at=self._clock.now(),
            )
            proof = self._signer.sign(statement)
        return changes.ProofEntry(
            change_id=change.change_id,
            author=change.author,
            made_at=self._timestamp(),
            refusal=refusal,
            digest=digest,
            proof=proof,
        )

    def _check_provable(
        self,
        digest: str,
        state: configuration.ConfigurationState,
        reports: abc.Sequence[control.RevisionReport],
    ) -> changes.Refusal | None:
        if self._signer is None:
            detail = "this environment has no signing key"
            return changes.Refusal("proof_refused", detail)
        if not state.document or digest != state.digest:
            detail = f"the current digest is {state.digest or 'none'}, not {digest}"
            return changes.Refusal("proof_refused", detail)
        if not reports:
            return changes.Refusal(
                "proof_refused", "no entry host has reported its revision"
            )
        unconfirmed_ids = [
            report.host_id
            for report in reports
            if report.revision < state.revision or report.age_ms > MAX_REPORT_AGE_MS
        ]
        if unconfirmed_ids:
            names = ", ".join(sorted(unconfirmed_ids))
            detail = f"revision {state.revision} is not confirmed by {names}"
            return changes.Refusal("proof_refused", detail)
        return None

    def _withdrawal_entry(
        self,
        change: configuration.WithdrawalChange,
        machine: changes.ConfigurationStateMachine,
    ) -> changes.WithdrawalEntry:
        refusal = None
        statement = change.statement
        try:
            if self._verifier is not None:
                self._verifier.check_withdrawal(statement, digest=change.digest)
            elif self._signer is not None:
                statement = self._sign_withdrawal(change.digest)
            else:
                raise exceptions.ProofError("this environment has no signing key")
        except exceptions.GreengagehavenError as error:
            refusal = changes.Refusal("proof_refused", error.detail)
        return changes.WithdrawalEntry(
            change_id=change.change_id,
            author=change.author,
            made_at=self._timestamp(),
            refusal=refusal,
            digest=change.digest,
            statement=statement,
        )

    def _sign_withdrawal(self, digest: str) -> bytes:
        assert self._signer is not None
        statement = proofs.Withdrawal(
            environment=self._environment, digest=digest, made_at=self._clock.now()
        )
        return self._signer.sign(statement)
