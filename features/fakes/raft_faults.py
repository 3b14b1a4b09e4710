"""Faults injected into the replicated log, to verify that the checks detect them."""

import contextlib
from unittest import mock

import msgspec

from greengagehaven.coordination.raft import election, leadership, log_receiver, timing
from greengagehaven.state import audit, records

# Injected by ``raft.Cluster`` itself: on its disks and at the start of a host.
IN_CLUSTER = (
    "acknowledge before sync",
    "forget the vote at a restart",
    "forget the leader at a restart",
)


def _commit_older_terms(self):
    log = self._raft.log
    index = self._quorum_value(log.last.index, lambda progress: progress.match_index)
    self._raft.commit(index)


def _change_membership_at_once(self, membership):
    if self.has_committed_in_term and membership != self._raft.log.membership:
        payload = leadership.codec.encode_msgpack(membership)
        self._append(leadership.records.EntryKind.MEMBERSHIP, payload)
        self._refresh_members()
        self._send_new()


def _change_before_the_last_ended(self, membership):
    log = self._raft.log
    changed = membership.voter_ids ^ log.membership.voter_ids
    is_pending = log.membership_index > self._raft.commit_index
    if len(changed) > 1 or is_pending or not self.has_committed_in_term:
        return
    updated = self._with_versions(membership)
    if changed:
        updated = msgspec.structs.replace(updated, previous=log.membership.members)
    if membership.voter_ids and updated != log.membership:
        self._append_membership(updated)


def _finish_late(self):
    log = self._raft.log
    elapsed = self._raft.clock.monotonic() - self._membership_proposed_at
    is_committed = log.membership_index <= self._raft.commit_index
    is_due = is_committed and elapsed > self._raft.timing.election_max
    if is_due and log.membership.previous and self.has_committed_in_term:
        self._append_membership(msgspec.structs.replace(log.membership, previous=()))


def _restore_only_count(self, records, count):
    self.count = count


PATCHES = {
    "vote with an empty log": ((election.Election, "_is_empty", lambda self: False),),
    "count entries of older terms": (
        (leadership.Leadership, "_advance_commit", _commit_older_terms),
    ),
    "change two members at once": (
        (leadership.Leadership, "change_membership", _change_membership_at_once),
    ),
    "begin a change before the last one ended": (
        (leadership.Leadership, "_finish_transition", _finish_late),
        (leadership.Leadership, "change_membership", _change_before_the_last_ended),
    ),
    "count only the members after a change": (
        (
            records.Membership,
            "voter_sets",
            property(lambda self: (self.voter_ids,)),
        ),
    ),
    "truncate the log at every request": (
        (
            log_receiver.LogReceiver,
            "_entries_not_in_log",
            lambda self, entries: entries,
        ),
    ),
    "vote for any candidate": (
        (election.Election, "_may_grant", lambda self, request: True),
    ),
    "keep the lease too long": (
        (timing.Timing, "lease", property(lambda self: 3 * self.election_max)),
    ),
    "read before a commit in the term": (
        (leadership.Leadership, "has_committed_in_term", property(lambda self: True)),
    ),
    "apply a change id twice": (
        (audit.AuditTrail, "find", lambda self, change_id: None),
    ),
    "omit change ids from a snapshot": (
        (audit.AuditTrail, "restore", _restore_only_count),
    ),
}
ALL = (*IN_CLUSTER, *PATCHES)


@contextlib.contextmanager
def injected(name):
    """Inject a fault until the context exits."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in PATCHES.get(name, ()):
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield
