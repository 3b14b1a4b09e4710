"""Faults injected into the replicated log, to verify that the checks detect them."""

import contextlib
from unittest import mock

from greengagehaven.coordination.raft import election, leadership, log_receiver, timing
from greengagehaven.state import audit

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
