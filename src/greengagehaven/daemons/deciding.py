"""How a control host that leads has operators' changes decided."""

import asyncio
import typing

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import proposals
from greengagehaven.protocol import control
from greengagehaven.state import audit, changes, configuration

if typing.TYPE_CHECKING:
    from greengagehaven.daemons import control as control_host


class Decider:
    """Turns changes into entries of the log and awaits their results.

    :param host: the control host.
    """

    def __init__(self, *, host: "control_host.ControlHost") -> None:
        self._host = host
        self._writer = _writer_of(host.settings, host.clock)
        self._deciding_document = asyncio.Lock()

    async def decide(self, change: configuration.Change) -> audit.AuditRecord:
        """Have a change decided and return its audit record.

        :raises ChangeRefusedError: its id belongs to a different change.
        """
        if isinstance(change, configuration.DocumentChange):
            # One at a time: each travels as a splice of the document before it,
            # which is a few bytes where the whole may be a megabyte.
            async with self._deciding_document:
                entry, record = await self._decide_one(change, ())
        elif _needs_no_reports(change):
            # Which zones have hosts does not matter, so nobody is asked: a host
            # that is cut off would hold up the order for its whole timeout.
            entry, record = await self._decide_one(change, ())
        else:
            reports = await self._host.reports.collect()
            entry, record = await self._decide_one(change, reports)
        if not _is_resend(change, record, entry):
            raise exceptions.ChangeRefusedError(
                f"change id {change.change_id} belongs to change {record.number}, "
                f"{record.action} by {record.author}",
                code="change_id_reused",
            )
        return record

    async def _decide_one(
        self,
        change: configuration.Change,
        reports: tuple[control.HostReport, ...],
    ) -> tuple[changes.Entry, audit.AuditRecord]:
        driver = self._host.need_driver()
        self._host.check_voters()
        await driver.read()
        entry = self._writer.write(change, self._host.machine, reports)
        record = self._host.machine.audit.find(change.change_id)
        if record is None:
            record = await driver.propose(changes.encode(entry))
            self._note(record)
        return entry, record

    def _note(self, record: audit.AuditRecord) -> None:
        self._host.metrics.count_change(record)
        _log_change(record)


def _writer_of(
    settings: "control_host.ControlSettings", clock: clocks.Clock
) -> proposals.ChangeWriter:
    signer = None
    verifier = None
    if settings.signing_key is not None or settings.trusted_keys:
        # Its library is loaded only where there is a key.
        from greengagehaven.state import signing

        if settings.signing_key is not None:
            signer = signing.Signer(private_key_pem=settings.signing_key)
        if settings.trusted_keys:
            verifier = signing.Verifier(
                public_keys_pem=settings.trusted_keys,
                lifetime=settings.proof_lifetime,
            )
    return proposals.ChangeWriter(
        environment=settings.environment,
        signer=signer,
        verifier=verifier,
        clock=clock,
        check_document=settings.check_document,
        service_names=settings.service_names,
    )


def _needs_no_reports(change: configuration.Change) -> bool:
    if isinstance(change, configuration.ZoneChange):
        return change.force
    return isinstance(change, configuration.RolloutChange | configuration.RolloutStep)


def _is_resend(
    change: configuration.Change, record: audit.AuditRecord, entry: changes.Entry
) -> bool:
    if isinstance(change, configuration.ProofChange) and not change.digest:
        # It means whatever was in force at its first sending.
        return record.action == changes.action_of(entry)
    return changes.is_same(record, entry)


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
