"""Steps about the replicated log and what it keeps on disks."""

import random

import behave

from fakes import control as control_fakes
from fakes import raft, raft_faults, raft_machine
from greengagehaven import exceptions
from greengagehaven.state import records, storage, wal

SEEDS_FOR_A_FAULT = 20
CALM_STEP_S = 0.05


@behave.when("{count:d} schedules over {size:d} control hosts run from seed {seed:d}")
def when_schedules(context, count, size, seed):
    context.broken = []
    for number in range(seed, seed + count):
        try:
            raft.walk(number, size=size)
        except raft.InvariantBrokenError as error:
            context.broken.append((number, error))


@behave.when("a state machine over {size:d} control hosts runs {examples:d} examples")
def when_machine(context, size, examples):
    context.broken = []
    machine = raft_machine.RaftMachine if size == 3 else raft_machine.FiveHosts
    try:
        raft_machine.run(machine, seed=size, examples=examples)
    except raft.InvariantBrokenError as error:
        context.broken.append((size, error))


@behave.then("every invariant of the log held and a last change was accepted in each")
def then_held(context):
    assert not context.broken, context.broken


@behave.given("control hosts that ask a majority before each read")
def given_no_leases(context):
    context.walk_options = {"lease_reads": False}


@behave.when('the fault "{fault}" is planted and schedules run from seed {seed:d}')
def when_planted(context, fault, seed):
    context.broken = None
    assert fault in raft_faults.ALL, fault
    with raft_faults.planted(fault):
        for number in range(seed, seed + SEEDS_FOR_A_FAULT):
            try:
                raft.walk(number, faults=(fault,))
            except raft.InvariantBrokenError as error:
                context.broken = error
                break


@behave.then("an invariant of the log is broken")
def then_broken(context):
    assert context.broken is not None


@behave.given("the write-ahead log of a host with {count:d} entries")
def given_log(context, count):
    context.folder = control_fakes.MemoryFolder(rng=random.Random(1))
    kept = storage.Storage(folder=context.folder)
    kept.initialise(records.Identity(host="c1", member_id="c1-1", group_id="g"))
    context.offsets = []
    for index in range(1, count + 1):
        context.offsets.append(len(context.folder.read(wal.FILE_NAME)))
        entry = records.Entry(index, 1, records.EntryKind.CHANGE, b"change")
        kept.save(vote=None, entries=(entry,))


@behave.when("its last record is cut short")
def when_torn(context):
    size = len(context.folder.read(wal.FILE_NAME))
    context.folder.truncate(wal.FILE_NAME, size - 3)


@behave.then("the host starts with {count:d} entries and goes on from there")
def then_starts(context, count):
    kept = storage.Storage(folder=context.folder)
    assert len(kept.load().entries) == count
    entry = records.Entry(count + 1, 2, records.EntryKind.CHANGE, b"again")
    kept.save(vote=None, entries=(entry,))
    stored = storage.Storage(folder=context.folder).load()
    assert stored.entries[-1] == entry, stored


@behave.when("a bit in the {part} of its second record flips")
def when_damaged(context, part):
    within = {"length": 3, "payload": 20}[part]
    context.folder.damage(wal.FILE_NAME, context.offsets[1] + within)


@behave.then("the start stops with an error that names the file and the offset")
def then_stops(context):
    try:
        storage.Storage(folder=context.folder).load()
    except exceptions.LogDamagedError as error:
        assert error.offset == context.offsets[1], error
        assert error.path == context.folder.path_of(wal.FILE_NAME), error
    else:
        raise AssertionError("a damaged log was accepted")


@behave.given("a single control host on a disk")
def given_single(context):
    context.cluster = raft.Cluster(seed=1, size=1)
    context.cluster.advance(1.2)
    assert context.cluster.hosts[0].replica.is_leader


@behave.when("the disk is full and a change is proposed")
def when_full(context):
    context.cluster.fill_disk(0)
    context.cluster.propose(0)


@behave.when("the sync fails and a change is proposed")
def when_sync_fails(context):
    context.cluster.fill_disk(0, sync_fails=True)
    context.cluster.propose(0)


@behave.then("the change is not acknowledged and the host halts")
def then_halts(context):
    assert context.cluster.acknowledged == 0
    assert not context.cluster.hosts[0].is_up


@behave.then("after a restart on a working disk a resend is acknowledged once")
def then_resend(context):
    cluster = context.cluster
    cluster.restart(0)
    cluster.advance(1.2)
    cluster.propose(0, again=True)
    assert cluster.acknowledged == 1
    assert cluster.hosts[0].replica.machine.audit.count == 1


@behave.given("control hosts whose dead are removed after {seconds:d} second")
def given_dead_after(context, seconds):
    context.walk_options = {"dead_after": float(seconds)}


@behave.when(
    "{count:d} such schedules over {size:d} control hosts run from seed {seed:d}"
)
def when_such_schedules(context, count, size, seed):
    context.broken = []
    for number in range(seed, seed + count):
        try:
            raft.walk(number, size=size, **context.walk_options)
        except raft.InvariantBrokenError as error:
            context.broken.append((number, error))


def run_calmly(cluster, seconds):
    for _ in range(round(seconds / CALM_STEP_S)):
        cluster.advance(CALM_STEP_S)
        cluster.deliver_all(4, late=0.0)


@behave.given("{size:d} control hosts that had a leader and lost their power")
def given_power_lost(context, size):
    context.cluster = raft.Cluster(seed=1, size=size, lease_reads=False)
    run_calmly(context.cluster, 3.0)
    assert leaders(context.cluster)
    for number in range(size):
        context.cluster.crash(number)


@behave.when("they start again and {ms:d} ms pass")
def when_started_again(context, ms):
    for number in range(len(context.cluster.hosts)):
        context.cluster.restart(number)
    for _ in range(ms // 10):
        context.cluster.advance(0.01)
        context.cluster.deliver_all(4, late=0.0)


@behave.then("one of them leads")
def then_one_leads(context):
    assert len(leaders(context.cluster)) == 1


def leaders(cluster):
    return [host for host in cluster.hosts if host.is_up and host.replica.is_leader]


@behave.given(
    "a log of {size:d} control hosts whose dead are removed after {seconds:d} seconds"
)
def given_log(context, size, seconds):
    context.cluster = raft.Cluster(seed=1, size=size, dead_after=float(seconds))
    run_calmly(context.cluster, 5.0)


@behave.when(
    "one control host after the other is gone for good, {seconds:d} seconds apart"
)
def when_gone(context, seconds):
    for number in (0, 1):
        context.cluster.crash(number)
        run_calmly(context.cluster, seconds)


@behave.then("the {count:d} control hosts that are left accept a change")
def then_accept(context, count):
    cluster = context.cluster
    before = cluster.acknowledged
    living = [number for number, host in enumerate(cluster.hosts) if host.is_up]
    assert len(living) == count, living
    for number in living:
        if cluster.hosts[number].replica.is_leader:
            cluster.propose(number)
    run_calmly(cluster, 1.0)
    assert cluster.acknowledged > before, cluster.describe()
