"""The way back after a majority of control hosts was lost for good."""

import datetime
import secrets

from greengagehaven import exceptions
from greengagehaven.protocol import codec
from greengagehaven.state import changes, folder, records, storage

SKIPPED_REVISIONS = 1000
ID_BYTES = 6


def recover(
    *,
    data_folder: str,
    author: str,
    now: datetime.datetime,
    files: folder.Folder | None = None,
) -> int:
    """Make a stopped host the only voter of a new log; return its revision.

    Every entry on its disk is taken as accepted, since some may have been. The
    new log has an id of its own, so a lost host that comes back with its old
    disk is not heard; and revisions are skipped, so that one which entry hosts
    may have seen from the lost hosts is never given out with other content.

    :param data_folder: the host's data folder.
    :param author: who does this, for the audit trail.
    :param now: the time for the audit trail.
    :param files: the folder's files; those of ``data_folder`` by default.
    :raises SettingError: the folder is in use or holds no control host.
    """
    if files is None:
        disk = folder.DiskFolder(path=data_folder)
        disk.lock()
        files = disk
    kept = storage.Storage(folder=files)
    identity = kept.identity()
    if identity is None:
        raise exceptions.SettingError(
            place="data folder", value=data_folder, expected="a control host's state"
        )
    stored = kept.load()
    own = _own_member(identity, stored)
    machine = _replay(stored)
    machine.apply(
        changes.encode(
            changes.RecoveryEntry(
                change_id=f"recover-{secrets.token_hex(ID_BYTES)}",
                author=author,
                made_at=now.timestamp(),
                skipped=SKIPPED_REVISIONS,
            )
        )
    )
    last = stored.entries[-1] if stored.entries else None
    term = max(stored.vote.term, last.term if last else stored.base.term) + 1
    index = (last.index if last else stored.base.index) + 1
    member_id = f"{identity.host}-{secrets.token_hex(ID_BYTES)}"
    member = records.Member(
        id=member_id, host=identity.host, address=own.address, voter=True
    )
    kept.initialise(
        records.Identity(
            host=identity.host,
            member_id=member_id,
            group_id=secrets.token_hex(ID_BYTES),
        ),
        records.Snapshot(
            last=records.Position(index, term),
            membership=records.Membership(members=(member,)),
            data=machine.capture(),
        ),
    )
    if isinstance(files, folder.DiskFolder):
        files.close()
    return machine.state.revision


def _replay(stored: records.Stored) -> changes.ChangeMachine:
    machine = changes.ChangeMachine()
    if stored.snapshot.data:
        machine.restore(stored.snapshot.data)
    for entry in stored.entries:
        is_new = entry.index > stored.snapshot.last.index
        if is_new and entry.kind is records.EntryKind.CHANGE:
            machine.apply(entry.payload)
    return machine


def _own_member(identity: records.Identity, stored: records.Stored) -> records.Member:
    """Return this host as its log knows it, for its address."""
    known = dict(stored.snapshot.membership.members_by_id)
    for entry in stored.entries:
        if entry.kind is records.EntryKind.MEMBERSHIP:
            membership = codec.decode_msgpack(entry.payload, records.Membership)
            known.update(membership.members_by_id)
    if identity.member_id not in known:
        raise exceptions.SettingError(
            place="data folder",
            value=identity.member_id,
            expected="the state of a host that was a member",
        )
    return known[identity.member_id]
