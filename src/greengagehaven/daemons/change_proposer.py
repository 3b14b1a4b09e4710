"""Proposes operators' changes to the replicated log; used on the leader."""

import asyncio
import typing

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import change_entries
from greengagehaven.protocol import control
from greengagehaven.state import audit, changes, configuration

if typing.TYPE_CHECKING:
    from greengagehaven.daemons import control_host as control_host


class ChangeProposer:
    """Turns changes into log entries and waits until they are committed.

    :param host: the control host.
    """

    def __init__(self, *, host: "control_host.ControlHost") -> None:
        self._host = host
        self._entry_builder = _make_entry_builder(host.settings, host.clock)
        self._lock = asyncio.Lock()

    async def propose(self, change: configuration.Change) -> audit.AuditRecord:
        """Propose a change and return its audit record once it is committed.

        :raises ChangeRefusedError: its id was used for a different change.
        :raises RevisionChangedError: it is based on a revision that was replaced.
        """
        reports: tuple[control.RevisionReport, ...] = ()
        if not _needs_no_reports(change):
            reports = await self._host.report_collector.collect()
        # One at a time: a change that is not committed yet may invalidate the revision
        # that the next one expects, and each document is sent as a splice of the
        # previous one, a few bytes instead of up to a megabyte.
        async with self._lock:
            entry, record = await self._propose_entry(change, reports)
        if not _is_same_change(change, record, entry):
            raise exceptions.ChangeRefusedError(
                f"change id {change.change_id} belongs to change {record.number}, "
                f"{record.action} by {record.author}",
                code="change_id_reused",
            )
        return record

    async def _propose_entry(
        self,
        change: configuration.Change,
        reports: tuple[control.RevisionReport, ...],
    ) -> tuple[changes.ChangeEntry, audit.AuditRecord]:
        driver = self._host.require_driver()
        self._host.require_voters()
        await driver.read()
        entry = self._entry_builder.build_entry(
            change, self._host.state_machine, reports
        )
        record = self._host.state_machine.audit.find(change.change_id)
        if record is None:
            self._check_revision(change)
            record = await driver.propose(changes.encode(entry))
            self._record_change(record)
        return entry, record

    def _check_revision(self, change: configuration.Change) -> None:
        """Check that the revision a zone or rollout change expects is in force.

        Documents are checked when they are applied.
        """
        if not isinstance(
            change, configuration.ZoneChange | configuration.RolloutChange
        ):
            return
        revision = self._host.state_machine.state.revision
        if change.expected_revision not in (None, revision):
            raise exceptions.RevisionChangedError(revision=revision)

    def _record_change(self, record: audit.AuditRecord) -> None:
        self._host.metrics.count_change(record)
        _log_change(record)


def _make_entry_builder(
    settings: "control_host.ControlSettings", clock: clocks.Clock
) -> change_entries.EntryBuilder:
    signer = None
    verifier = None
    if settings.signing_key is not None or settings.trusted_keys:
        # The signing library is imported only if there is a key.
        from greengagehaven.state import signing

        if settings.signing_key is not None:
            signer = signing.Signer(private_key_pem=settings.signing_key)
        if settings.trusted_keys:
            verifier = signing.Verifier(
                public_keys_pem=settings.trusted_keys,
                lifetime=settings.proof_lifetime,
            )
    return change_entries.EntryBuilder(
        environment=settings.environment,
        signer=signer,
        verifier=verifier,
        clock=clock,
        check_document=settings.check_document,
        service_names=settings.service_names,
    )


def _needs_no_reports(change: configuration.Change) -> bool:
    """Return whether a change does not depend on which zones have hosts.

    Collecting reports would delay it by the full timeout of an unreachable host.
    """
    if isinstance(change, configuration.ZoneChange):
        return change.force
    return isinstance(
        change,
        configuration.DocumentChange
        | configuration.RolloutChange
        | configuration.RolloutStep,
    )


def _is_same_change(
    change: configuration.Change, record: audit.AuditRecord, entry: changes.ChangeEntry
) -> bool:
    if isinstance(change, configuration.ProofChange) and not change.digest:
        # No digest means the document that was in force when it was first sent.
        return record.action == changes.action_of(entry)
    return changes.is_same_change(record, entry)


def _log_change(record: audit.AuditRecord) -> None:
    log.info(
        "audit",
        number=record.number,
        change_id=record.change_id,
        author=record.author,
        action=record.action,
        revision=record.revision,
        code=record.code,
        from_digest=record.from_digest,
        to_digest=record.to_digest,
        detail=record.detail,
    )
