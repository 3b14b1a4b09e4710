"""Control hosts with a faulty network and faulty disks, and their invariants.

``Cluster`` is driven step by step, by a hypothesis state machine or by
``run_schedule``, which runs the random schedule of a seed.
"""

import dataclasses
import math
import random

from fakes import control_fakes as fakes
from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.coordination.raft import (
    core,
    events,
    membership_change,
    messages,
    roles,
    timing,
)
from greengagehaven.coordination.raft import replica as replicas
from greengagehaven.state import changes, configuration, document, records, storage

GROUP = "g"
MAX_IN_FLIGHT = 400
DELAYED_SHARE = 0.1
TIMING = timing.Timing(chunk_bytes=700, trailing_entries=4, append_bytes=600)
NARROW_ELECTION_TIMING = dataclasses.replace(TIMING, election_max=0.56)
SMALL_LOG_BYTES = 1500


class InvariantBrokenError(AssertionError):
    """An invariant of the log does not hold."""


class DriftingClock(clocks.ManualClock):
    """A clock whose rate deviates by the share ``drift``."""

    def __init__(self, *, drift):
        super().__init__(start=100.0)
        self._drift = drift

    def advance(self, seconds):
        super().advance(seconds * (1 + self._drift))


@dataclasses.dataclass
class Host:
    """A control host. The disk survives a crash, the clock also an emptied disk."""

    name: str
    disk: fakes.MemoryFolder
    clock: DriftingClock
    replica: replicas.Replica | None = None
    generation: int = 0
    applied: int = 0

    @property
    def is_up(self):
        return self.replica is not None and self.replica.storage_error is None


class Cluster:
    """Hosts and messages in flight; checks the invariants after every step.

    :param seed: seed of every random choice that the caller does not make.
    :param size: number of hosts, at the start.
    :param voters: number of them that are voters at the start, ``None`` for all.
    :param faults: names of faults that are injected, see ``raft_faults``.
    :param dead_after: seconds after which the leader removes a silent voter.
    :param lease_reads: whether leaders answer reads under their lease.
    :param stamps_replies: whether hosts get upper bounds of their staleness.
    :param knows_transitions: whether the first membership says that its members read
        ``Membership.previous``; one that an earlier version wrote doesn't.
    """

    def __init__(
        self,
        *,
        seed=0,
        size=3,
        voters=None,
        faults=(),
        dead_after=math.inf,
        lease_reads=True,
        stamps_replies=False,
        knows_transitions=True,
    ):
        self.rng = random.Random(seed)
        self.faults = frozenset(faults)
        # Election timeouts that are close to each other cause split votes.
        base_timing = NARROW_ELECTION_TIMING if seed % 4 == 0 else TIMING
        self.timing = dataclasses.replace(
            base_timing,
            dead_after=dead_after,
            lease_reads=lease_reads,
            stamps_replies=stamps_replies,
        )
        self.size = size
        self.in_flight = []
        self.cut = set()
        self.leaders_by_term = {}
        self.committed = {}
        self.membership = None
        self.membership_index = 0
        self.states_by_index = {}
        self.digests_by_revision = {}
        self.results_by_change = {}
        self.acknowledged_count = 0
        self.pending_changes = {}
        self.pending_reads = {}
        self.number = 0
        self.follower_revision = 0
        self.counts = {}
        self.knows_transitions = knows_transitions
        self.hosts = [self._new_host(f"c{n}") for n in range(size)]
        self._bootstrap(size if voters is None else voters)

    # Actions of a schedule.

    def advance(self, seconds):
        """Advance the clock of every host, each at its own rate."""
        for host in self.hosts:
            host.clock.advance(seconds)
        for host in self.hosts:
            if host.is_up and host.clock.monotonic() >= host.replica.raft.next_timer_at:
                self._step(host, events.TimeReached())
        self._propose_membership()

    def deliver(self, choice=0, *, keep=False):
        """Deliver a message in flight; with ``keep`` it stays there as a duplicate."""
        if not self.in_flight:
            return
        index = choice % len(self.in_flight)
        message = self.in_flight[index] if keep else self.in_flight.pop(index)
        self._deliver(message)

    def deliver_all(self, rounds=1, *, late=DELAYED_SHARE):
        """Deliver the messages in flight, and the replies, in order.

        :param rounds: how often; replies are delivered in the next round.
        :param late: share of the messages that are delayed.
        """
        for _ in range(rounds):
            batch, self.in_flight = self.in_flight, []
            for message in batch:
                if self.rng.random() < late:
                    self.in_flight.append(message)
                else:
                    self._deliver(message)

    def lose(self, choice=0):
        """Drop a message in flight."""
        if self.in_flight:
            self.in_flight.pop(choice % len(self.in_flight))

    def cut_link(self, source, target):
        """Drop all messages from one host to another, in that direction only."""
        self._count("one-way cuts")
        self.cut.add((source % self.size, target % self.size))

    def cut_off(self, choice):
        """Silently drop all messages from and to a host."""
        self._count("partitions")
        number = choice % self.size
        for other in range(self.size):
            self.cut |= {(number, other), (other, number)}

    def heal(self):
        """Deliver all messages again."""
        self.cut.clear()

    def propose(self, choice, *, again=False):
        """Send a new change to a host, or resend an old one."""
        host = self._pick_leader_or_any(choice)
        if not host.is_up:
            return
        if again and self.number:
            number = self.rng.randrange(self.number) + 1
        else:
            self.number = number = self.number + 1
        state = host.replica.machine.state
        data = b"%d " % number + b"x" * self.rng.randrange(40)
        change = configuration.DocumentChange(
            change_id=f"change-{number}",
            author=host.name,
            document=data,
            expected_revision=state.revision if self.rng.random() < 0.7 else None,
        )
        entry = changes.build_document_entry(
            change, state, made_at=0.0, refusal=None, proved=False
        )
        self._proposal_id = getattr(self, "_proposal_id", 0) + 1
        self.pending_changes[host.name, host.generation, self._proposal_id] = (
            change.change_id
        )
        payload = changes.encode(entry)
        self._step(
            host,
            events.PayloadProposed(proposal_id=self._proposal_id, payload=payload),
        )

    def read(self, choice):
        """Send a linearizable read to a host."""
        host = self._pick_leader_or_any(choice)
        if host.is_up:
            self._ask_read(host)

    def _ask_read(self, host):
        self._read_id = getattr(self, "_read_id", 0) + 1
        key = (host.name, host.generation, self._read_id)
        self.pending_reads[key] = self.acknowledged_count
        self._step(host, events.ReadRequested(read_id=self._read_id))

    def follow(self, choice):
        """Let an entry host fetch the published state of a host."""
        host = self.hosts[choice % self.size]
        if not host.is_up:
            return
        state = host.replica.machine.history.state
        if state.revision > self.follower_revision:
            self.follower_revision = state.revision
        self._check_revision(state)

    def read_at_leaders(self):
        """Send a read to every host that considers itself leader, even if deposed."""
        for host in self.hosts:
            if host.is_up and host.replica.is_leader:
                self._ask_read(host)

    def bounce_leader(self):
        """Crash a leader and restart it at once."""
        for number, host in enumerate(self.hosts):
            if host.is_up and host.replica.is_leader:
                self.crash(number)
                self.restart(number)
                return

    def split(self, choice):
        """Partition a leader from all but one host, which may restart, in short steps.

        A lease can be violated only in the fraction of a second in which a new
        leader is elected and the old one still considers itself leader.
        """
        leaders = [
            number
            for number, host in enumerate(self.hosts)
            if host.is_up and host.replica.is_leader
        ]
        if not leaders:
            return
        self._count("splits")
        leader = leaders[choice % len(leaders)]
        others = [number for number in range(self.size) if number != leader]
        connected = others.pop(choice % len(others))
        for other in others:
            self.cut |= {(leader, other), (other, leader)}
        for _ in range(self.rng.randrange(10, 60)):
            self.advance(0.03)
            self.deliver_all(2, late=0.0)
            if self.rng.random() < 0.15:
                self.crash(connected)
                self.restart(connected)
                self.deliver_all(2, late=0.0)
            if self.rng.random() < 0.3:
                self.propose(self.rng.choice(others))
                self.deliver_all(3, late=0.0)
            self.read_at_leaders()

    def crash(self, choice):
        """Stop a host; its unsynced data is lost partly or completely."""
        host = self.hosts[choice % self.size]
        if host.replica is not None:
            self._count("crashes")
        host.replica = None
        host.disk.crash()

    def add(self):
        """Start another host, with an empty disk, that asks to become a voter."""
        host = self._new_host(f"c{self.size}")
        self.hosts.append(host)
        self.size += 1
        self._join(host)

    def restart(self, choice):
        """Start a host that is down."""
        host = self.hosts[choice % self.size]
        if host.is_up:
            return
        if host.replica is not None:
            host.replica = None
            host.disk.crash()
        host.disk.is_full = False
        host.disk.fails_sync = False
        self._start(host)

    def fill_disk(self, choice, *, sync_fails=False):
        """Let a host's next write or sync fail."""
        self._count("failed syncs" if sync_fails else "full disks")
        disk = self.hosts[choice % self.size].disk
        disk.is_full = not sync_fails
        disk.fails_sync = sync_fails

    def wipe(self, choice):
        """Empty a host's disk if a majority of voters keeps its disks.

        :return: whether the disk was emptied.
        """
        number = choice % self.size
        host = self.hosts[number]
        if not self._may_wipe(host):
            return False
        self._count("emptied disks")
        member_id = self._identity(host).member_id
        host.replica = None
        host.disk = fakes.MemoryFolder(rng=self.rng)
        self._prepare_disk(host)
        reused_id = member_id if "vote with an empty log" in self.faults else None
        self._join(host, member_id=reused_id)
        return True

    def settle(self):
        """Repair everything; then a change must be accepted and reach all hosts.

        Only here liveness is checked: under faults, progress is not guaranteed.
        """
        self.heal()
        for host in self.hosts:
            host.disk.is_full = host.disk.fails_sync = False
        self._run_until(self._is_settled, "hosts did not agree after the repair")
        target = self.acknowledged_count + 1
        self.pending_changes.clear()

        def is_accepted():
            if self.acknowledged_count >= target:
                return self._is_settled()
            for number, host in enumerate(self.hosts):
                if host.is_up and host.replica.is_leader and not self.pending_changes:
                    self.propose(number)
            return False

        self._run_until(is_accepted, "no change accepted after the repair")

    def _run_until(self, condition, problem):
        for _ in range(400):
            for number in range(self.size):
                self.restart(number)
            self.advance(0.05)
            self.deliver_all(4, late=0.0)
            if condition():
                return
        raise InvariantBrokenError(f"{problem}: {self.describe()}")

    def describe(self):
        """Return the state of each host, separated by semicolons."""
        lines = []
        for host in self.hosts:
            if not host.is_up:
                lines.append(f"{host.name} down")
                continue
            raft = host.replica.raft
            lines.append(
                f"{raft.member_id} {raft.role} term {raft.term} commit "
                f"{raft.commit_index} last {raft.log.last} voters "
                f"{sorted(raft.log.membership.voter_ids)}"
            )
        return "; ".join(lines)

    # Internals.

    def _pick_leader_or_any(self, choice):
        """Return a host that considers itself leader in most cases, else any host."""
        leaders = [host for host in self.hosts if host.is_up and host.replica.is_leader]
        if leaders and choice % 5:
            return leaders[choice % len(leaders)]
        return self.hosts[choice % self.size]

    def _count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def _new_host(self, name):
        drift = self.rng.uniform(-TIMING.max_drift, TIMING.max_drift)
        host = Host(
            name=name,
            disk=fakes.MemoryFolder(rng=self.rng),
            clock=DriftingClock(drift=drift),
        )
        self._prepare_disk(host)
        return host

    def _prepare_disk(self, host):
        host.disk.skips_sync = "acknowledge before sync" in self.faults

    def _bootstrap(self, voters):
        members = tuple(
            records.Member(
                id=f"{host.name}-0", host=host.name, address="", voter=number < voters
            )
            for number, host in enumerate(self.hosts)
        )
        transition_ids = tuple(sorted(member.id for member in members))
        self.membership = records.Membership(
            members=members,
            transition_ids=transition_ids if self.knows_transitions else (),
        )
        first = records.Snapshot(
            last=records.Position(1, 0),
            membership=self.membership,
            data=changes.ConfigurationStateMachine().capture(),
        )
        self.membership_index = 1
        for host, member in zip(self.hosts, members, strict=True):
            identity = records.Identity(
                host=host.name, member_id=member.id, group_id=GROUP
            )
            storage.Storage(folder=host.disk).initialise(identity, first)
            self._start(host)

    def _join(self, host, member_id=None):
        host.generation += 1
        identity = records.Identity(
            host=host.name,
            member_id=member_id or f"{host.name}-{host.generation}",
            group_id=GROUP,
        )
        storage.Storage(folder=host.disk).initialise(identity)
        self._start(host)

    def _identity(self, host):
        return storage.Storage(folder=host.disk).identity()

    def _start(self, host):
        store = storage.Storage(folder=host.disk)
        identity = store.identity()
        stored = store.load()
        host.generation += 1
        host.replica = replicas.Replica(
            raft=core.Raft(
                identity=identity,
                stored=stored,
                clock=host.clock,
                rng=self.rng,
                timing=self.timing,
            ),
            storage=store,
            machine=changes.ConfigurationStateMachine(max_records=10_000),
            compact_bytes=SMALL_LOG_BYTES,
        )
        raft = host.replica.raft
        if "forget the leader at a restart" in self.faults:
            raft.last_leader_contact_at = float("-inf")
        if "forget the vote at a restart" in self.faults:
            raft.vote = records.Vote(term=raft.vote.term)
        host.applied = host.replica.applied_index
        self._check_state(host)

    def _may_wipe(self, host):
        """Return whether every membership in use keeps a majority of its disks."""
        memberships = [self.membership]
        memberships += [
            other.replica.raft.log.membership for other in self.hosts if other.is_up
        ]
        remaining = {
            self._identity(other).member_id for other in self.hosts if other is not host
        }
        return all(
            len(membership.voter_ids & remaining) >= membership.quorum
            for membership in memberships
            if membership.members
        )

    def _deliver(self, message):
        host = next(
            (
                host
                for host in self.hosts
                if host.is_up and host.replica.raft.member_id == message.receiver
            ),
            None,
        )
        if host is None:
            return
        source = int(message.sender[1 : message.sender.index("-")])
        if (source, self.hosts.index(host)) in self.cut:
            return
        # Encoded and decoded, as on the network.
        decoded = messages.decode(messages.encode((message,)))
        self._step(host, *(events.MessageReceived(message=item) for item in decoded))

    def _propose_membership(self):
        """Let each leader propose the next membership change, if any."""
        for host in self.hosts:
            if not host.is_up or not host.replica.is_leader:
                continue
            candidates = tuple(
                records.Member(
                    id=other.replica.raft.member_id,
                    host=other.name,
                    address="",
                    voter=True,
                )
                for number, other in enumerate(self.hosts)
                if other.is_up and (number, self.hosts.index(host)) not in self.cut
            )
            raft = host.replica.raft
            membership = membership_change.next_membership(raft, candidates)
            if membership is not None:
                self._step(host, events.MembershipProposed(membership=membership))

    def _step(self, host, *batch):
        try:
            self._step_checked(host, *batch)
        except (LookupError, StopIteration) as error:
            raise InvariantBrokenError(f"{host.name} failed on {batch}") from error

    def _step_checked(self, host, *batch):
        key = (host.name, host.generation)
        try:
            outcomes = host.replica.step(*batch)
        except exceptions.StorageError:
            return
        for outcome in outcomes:
            match outcome:
                case replicas.ProposalResult():
                    change = self.pending_changes.pop((*key, outcome.proposal_id), None)
                    if outcome.error is None:
                        self._check_result(change, outcome.result)
                case replicas.ReadResult():
                    acknowledged = self.pending_reads.pop((*key, outcome.read_id))
                    if outcome.error is None:
                        self._check_read(host, acknowledged)
                case events.RoleChanged():
                    self._check_role(outcome, host)
                case messages.SnapshotChunk():
                    self._count("snapshot chunks")
                    self.in_flight.append(outcome)
                case message:
                    self.in_flight.append(message)
        del self.in_flight[:-MAX_IN_FLIGHT]
        self._check_committed(host)

    def _is_settled(self):
        leaders = [host for host in self.hosts if host.replica.is_leader]
        if len(leaders) != 1:
            return False
        raft = leaders[0].replica.raft
        members = {host.replica.raft.member_id for host in self.hosts}
        return (
            raft.log.membership.voter_ids == members
            and not raft.log.membership.previous
            and raft.log.membership_index <= raft.commit_index
            and {host.replica.raft.commit_index for host in self.hosts}
            == {raft.log.last.index}
        )

    # Invariants.

    def _check_role(self, change, host):
        if change.role != roles.Role.LEADER:
            return
        member_id = host.replica.raft.member_id
        known = self.leaders_by_term.setdefault(change.term, member_id)
        if known != member_id:
            raise InvariantBrokenError(
                f"two leaders in term {change.term}: {known} and {member_id}"
            )

    def _check_committed(self, host):
        raft = host.replica.raft
        first = max(host.applied, raft.log.base.index) + 1
        for entry in raft.log.entries_between(first, raft.commit_index):
            known = self.committed.setdefault(entry.index, entry)
            if known != entry:
                raise InvariantBrokenError(
                    f"{host.name} committed {entry} at the index of {known}"
                )
            is_newer = entry.index > self.membership_index
            if entry.kind is records.EntryKind.MEMBERSHIP and is_newer:
                self._count("membership changes")
                self.membership_index = entry.index
                self.membership = raft.log.membership_at(entry.index)
        host.applied = raft.commit_index
        self._check_state(host)

    def _check_state(self, host):
        machine = host.replica.machine
        state = machine.state
        summary = (state.revision, state.digest, machine.audit.count)
        known = self.states_by_index.setdefault(host.replica.applied_index, summary)
        if known != summary:
            raise InvariantBrokenError(
                f"{host.name} is at {summary} after entry "
                f"{host.replica.applied_index}, others at {known}"
            )
        self._check_revision(state)

    def _check_revision(self, state):
        if state.revision == 0:
            return
        known = self.digests_by_revision.setdefault(state.revision, state.digest)
        is_intact = document.digest_of(state.document) == state.digest
        if known != state.digest or not is_intact:
            raise InvariantBrokenError(
                f"revision {state.revision} has two different documents"
            )

    def _check_result(self, change_id, record):
        if change_id is None or record.change_id != change_id:
            raise InvariantBrokenError(f"{change_id} got the result of {record}")
        known = self.results_by_change.setdefault(change_id, record)
        if known != record:
            raise InvariantBrokenError(f"{change_id} got {known}, then {record}")
        self.acknowledged_count = max(self.acknowledged_count, record.number)

    def _check_read(self, host, acknowledged):
        count = host.replica.machine.audit.count
        if count < acknowledged:
            raise InvariantBrokenError(
                f"{host.name} answered a read at change {count}, after change "
                f"{acknowledged} was acknowledged"
            )


ACTIONS = (
    ("advance", 60),
    ("deliver_all", 60),
    ("deliver", 40),
    ("double", 10),
    ("lose", 12),
    ("propose", 60),
    ("resend", 12),
    ("read", 20),
    ("follow", 6),
    ("cut_link", 4),
    ("cut_off", 4),
    ("heal", 12),
    ("crash", 6),
    ("restart", 24),
    ("bounce", 6),
    ("bounce_leader", 6),
    ("split", 5),
    ("wipe", 4),
    ("fill_disk", 2),
    ("fail_sync", 2),
)
CALM_PROBABILITY = 0.4


def act(cluster, action, choice, seconds):
    """Perform the named action; ``choice`` selects a host or message."""
    match action:
        case "advance":
            cluster.advance(seconds)
        case "deliver_all":
            cluster.deliver_all(1 + choice % 3)
        case "deliver":
            cluster.deliver(choice)
        case "double":
            cluster.deliver(choice, keep=True)
        case "lose":
            cluster.lose(choice)
        case "propose":
            cluster.propose(choice)
        case "resend":
            cluster.propose(choice, again=True)
        case "read":
            cluster.read(choice)
        case "follow":
            cluster.follow(choice)
        case "cut_link":
            cluster.cut_link(choice, choice // 7)
        case "cut_off":
            cluster.cut_off(choice)
        case "heal":
            cluster.heal()
        case "crash":
            cluster.crash(choice)
        case "restart":
            cluster.restart(choice)
        case "bounce":
            cluster.crash(choice)
            cluster.restart(choice)
        case "bounce_leader":
            cluster.bounce_leader()
        case "split":
            cluster.split(choice)
        case "wipe":
            cluster.wipe(choice)
        case "fill_disk":
            cluster.fill_disk(choice)
        case "fail_sync":
            cluster.fill_disk(choice, sync_fails=True)


def run_schedule(
    seed,
    *,
    size=3,
    steps=160,
    faults=(),
    dead_after=math.inf,
    lease_reads=True,
    knows_transitions=True,
):
    """Run the random schedule of a seed, then repair everything."""
    rng = random.Random(seed * 7919 + size)
    cluster = Cluster(
        seed=seed,
        size=size,
        faults=faults,
        dead_after=dead_after,
        lease_reads=lease_reads,
        knows_transitions=knows_transitions,
    )
    names = [name for name, _ in ACTIONS]
    weights = [weight for _, weight in ACTIONS]
    for _ in range(3):
        cluster.advance(rng.uniform(0.0, 1.2))
        cluster.deliver_all(3)
    for action in rng.choices(names, weights, k=steps):
        act(cluster, action, rng.randrange(1000), rng.choice((0.02, 0.1, 0.3, 0.7)))
        if rng.random() < CALM_PROBABILITY:
            # Without phases free of faults nothing is committed that could be lost.
            cluster.advance(0.05)
            cluster.deliver_all(2)
            cluster.read_at_leaders()
    cluster.settle()
    return cluster
