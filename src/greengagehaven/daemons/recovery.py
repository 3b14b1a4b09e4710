"""Disaster recovery after the permanent loss of a majority of control hosts."""

import datetime
import secrets

from greengagehaven import exceptions
from greengagehaven.protocol import codec
from greengagehaven.state import changes, folder, records, storage

SKIPPED_REVISION_COUNT = 1000
RANDOM_ID_BYTES = 6


def recover(
    *,
    data_folder: str,
    author: str,
    now: datetime.datetime,
    disk: folder.Folder | None = None,
) -> int:
    """Make a stopped host the only voter of a new log and return its new revision.

    Every entry on its disk is applied, since any of them may have been committed.
    The new log has a new group id, so that messages of a lost host that returns with
    its old disk are ignored. Revisions are skipped, so that a revision that entry hosts
    may have received from the lost hosts is never reused with other content.

    :param data_folder: path of the host's data folder.
    :param author: name recorded in the audit trail.
    :param now: time recorded in the audit trail.
    :param disk: the folder's files; by default, those at ``data_folder``.
    :raises SettingError: the folder is in use or does not hold a control host's state.
    """
    if disk is None:
        disk_folder = folder.DiskFolder(path=data_folder)
        disk_folder.lock()
        disk = disk_folder
    store = storage.Storage(folder=disk)
    identity = store.identity()
    if identity is None:
        raise exceptions.SettingError(
            place="data folder", value=data_folder, expected="a control host's state"
        )
    stored = store.load()
    own_member = _own_member(identity, stored)
    machine = _replay(stored)
    machine.apply(
        changes.encode(
            changes.RecoveryEntry(
                change_id=f"recover-{secrets.token_hex(RANDOM_ID_BYTES)}",
                author=author,
                made_at=now.timestamp(),
                skipped=SKIPPED_REVISION_COUNT,
            )
        )
    )
    last_entry = stored.entries[-1] if stored.entries else None
    term = (
        max(stored.vote.term, last_entry.term if last_entry else stored.base.term) + 1
    )
    index = (last_entry.index if last_entry else stored.base.index) + 1
    member_id = f"{identity.host}-{secrets.token_hex(RANDOM_ID_BYTES)}"
    member = records.Member(
        id=member_id, host=identity.host, address=own_member.address, voter=True
    )
    store.initialise(
        records.Identity(
            host=identity.host,
            member_id=member_id,
            group_id=secrets.token_hex(RANDOM_ID_BYTES),
        ),
        records.Snapshot(
            last=records.Position(index, term),
            membership=records.Membership(members=(member,)),
            data=machine.capture(),
        ),
    )
    if isinstance(disk, folder.DiskFolder):
        disk.close()
    return machine.state.revision


def _replay(stored: records.PersistentState) -> changes.ConfigurationStateMachine:
    machine = changes.ConfigurationStateMachine()
    if stored.snapshot.data:
        machine.restore(stored.snapshot.data)
    for entry in stored.entries:
        is_new = entry.index > stored.snapshot.last.index
        if is_new and entry.kind is records.EntryKind.CHANGE:
            machine.apply(entry.payload)
    return machine


def _own_member(
    identity: records.Identity, stored: records.PersistentState
) -> records.Member:
    """Return this host's membership record, which holds its address.

    :raises SettingError: its log never had it as a member.
    """
    members_by_id = dict(stored.snapshot.membership.reachable_by_id)
    for entry in stored.entries:
        if entry.kind is records.EntryKind.MEMBERSHIP:
            membership = codec.decode_msgpack(entry.payload, records.Membership)
            members_by_id.update(membership.reachable_by_id)
    if identity.member_id not in members_by_id:
        raise exceptions.SettingError(
            place="data folder",
            value=identity.member_id,
            expected="the state of a host that was a member",
        )
    return members_by_id[identity.member_id]
