"""What a leader settles about a change before it stands in the log."""

import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.protocol import control
from greengagehaven.state import changes, configuration, document, proofs

if typing.TYPE_CHECKING:
    from greengagehaven.state import signing

FRESH_REPORT_MS = 15_000


class ChangeWriter:
    """Turns operators' changes into entries of the log.

    A change that cannot be accepted becomes an entry with its refusal, so that
    it is audited and a resend hears the same.

    :param environment: name of the environment, in its proofs.
    :param signer: signs proofs, ``None`` where none can be made.
    :param verifier: checks proofs, ``None`` where none is demanded.
    :param clock: wall clock.
    :param check_document: reads a document; it raises ``DocumentError`` where
        the document must not come into force.
    :param service_names: gives the services that a document names.
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

    def write(
        self,
        change: configuration.Change,
        machine: changes.ChangeMachine,
        reports: abc.Sequence[control.HostReport],
    ) -> changes.Entry:
        """Return the entry of a change.

        :param machine: the state machine as it is now.
        :param reports: what entry hosts have in force.
        """
        match change:
            case configuration.DocumentChange():
                return self._write_document(change, machine)
            case configuration.ZoneChange():
                return self._write_zone(change, reports)
            case configuration.ProofChange():
                return self._write_proof(change, machine, reports)
            case configuration.WithdrawalChange():
                return self._write_withdrawal(change, machine)
            case configuration.RolloutChange():
                return self._write_rollout(change, machine)
            case configuration.RolloutStep():
                return changes.RolloutStepEntry(
                    change_id=change.change_id,
                    author=change.author,
                    made_at=self._made_at(),
                    service=change.service,
                    number=change.number,
                    phase=change.phase,
                    detail=change.detail,
                )

    def _made_at(self) -> float:
        return self._clock.now().timestamp()

    def _write_document(
        self, change: configuration.DocumentChange, machine: changes.ChangeMachine
    ) -> changes.DocumentEntry:
        refusal = self._read(change.document)
        if refusal is None:
            refusal = self._check_proof(change, machine)
        return changes.document_entry(
            change,
            machine.state,
            made_at=self._made_at(),
            refusal=refusal,
            proved=self._verifier is not None and refusal is None,
        )

    def _read(self, data: bytes) -> changes.Refusal | None:
        try:
            self._check_document(data)
        except exceptions.DocumentError as error:
            return changes.Refusal(error.code, error.detail)
        return None

    def _check_proof(
        self, change: configuration.DocumentChange, machine: changes.ChangeMachine
    ) -> changes.Refusal | None:
        if self._verifier is None:
            return None
        digest = document.digest_of(change.document)
        if not change.proof and digest in machine.proofs_by_digest:
            # It was promoted before, so going back to it needs no new proof.
            return None
        try:
            now = self._clock.now()
            self._verifier.check_proof(change.proof, digest=digest, now=now)
        except exceptions.GreengagehavenError as error:
            return changes.Refusal("proof_refused", error.detail)
        return None

    def _write_zone(
        self,
        change: configuration.ZoneChange,
        reports: abc.Sequence[control.HostReport],
    ) -> changes.ZoneEntry:
        known = {report.availability_zone for report in reports}
        return changes.ZoneEntry(
            change_id=change.change_id,
            author=change.author,
            made_at=self._made_at(),
            zone=change.zone,
            drained=change.drained,
            force=change.force,
            known_zones=tuple(sorted(known)),
        )

    def _write_rollout(
        self, change: configuration.RolloutChange, machine: changes.ChangeMachine
    ) -> changes.RolloutEntry:
        refusal = None
        known = self._service_names(machine.state.document)
        if change.service not in known:
            detail = f"{change.service} is no service of the document in force"
            refusal = changes.Refusal("unknown_service", detail)
        return changes.RolloutEntry(
            change_id=change.change_id,
            author=change.author,
            made_at=self._made_at(),
            refusal=refusal,
            service=change.service,
            version=change.version,
            duration_s=change.duration.total_seconds(),
        )

    def _write_proof(
        self,
        change: configuration.ProofChange,
        machine: changes.ChangeMachine,
        reports: abc.Sequence[control.HostReport],
    ) -> changes.ProofEntry:
        state = machine.state
        digest = change.digest or state.digest
        refusal = self._check_in_force(digest, state, reports)
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
            made_at=self._made_at(),
            refusal=refusal,
            digest=digest,
            proof=proof,
        )

    def _check_in_force(
        self,
        digest: str,
        state: configuration.ConfigurationState,
        reports: abc.Sequence[control.HostReport],
    ) -> changes.Refusal | None:
        if self._signer is None:
            detail = "this environment has no signing key"
            return changes.Refusal("proof_refused", detail)
        if not state.document or digest != state.digest:
            detail = f"digest {state.digest or 'none'} is in force, not {digest}"
            return changes.Refusal("proof_refused", detail)
        if not reports:
            return changes.Refusal("proof_refused", "no entry host reports a revision")
        behind = [
            report.host_id
            for report in reports
            if report.revision < state.revision or report.age_ms > FRESH_REPORT_MS
        ]
        if behind:
            names = ", ".join(sorted(behind))
            detail = f"revision {state.revision} is not in force on {names}"
            return changes.Refusal("proof_refused", detail)
        return None

    def _write_withdrawal(
        self, change: configuration.WithdrawalChange, machine: changes.ChangeMachine
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
            made_at=self._made_at(),
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
