"""Steps for the replicated log and its storage."""

import random

import behave

from fakes import control_fakes, raft, raft_faults, raft_machine
from greengagehaven import exceptions
from greengagehaven.coordination.raft import membership_change
from greengagehaven.state import records, storage, wal

SEEDS_PER_FAULT = 20
STEP_S = 0.05


@behave.when("{count:d} schedules over {size:d} control hosts run from seed {seed:d}")
def when_schedules(context, count, size, seed):
    context.broken = []
    for number in range(seed, seed + count):
        try:
            raft.run_schedule(number, size=size)
        except raft.InvariantBrokenError as error:
            context.broken.append((number, error))


@behave.when("a state machine over {size:d} control hosts runs {examples:d} examples")
def when_machine(context, size, examples):
    context.broken = []
    machine = (
        raft_machine.RaftMachine if size == 3 else raft_machine.FiveHostRaftMachine
    )
    try:
        raft_machine.run(machine, seed=size, examples=examples)
    except raft.InvariantBrokenError as error:
        context.broken.append((size, error))


@behave.then(
    "every invariant of the log held and each schedule ended with an accepted change"
)
def then_held(context):
    assert not context.broken, context.broken


@behave.given("control hosts that confirm each read with a majority")
def given_no_lease_reads(context):
    context.walk_options = {"lease_reads": False}


@behave.when('the fault "{fault}" is injected and schedules run from seed {seed:d}')
def when_injected(context, fault, seed):
    run_with_fault(context, fault, seed)


def run_with_fault(context, fault, seed, **options):
    """Run schedules until one breaks an invariant."""
    context.broken = None
    assert fault in raft_faults.ALL, fault
    with raft_faults.injected(fault):
        for number in range(seed, seed + SEEDS_PER_FAULT):
            try:
                raft.run_schedule(number, faults=(fault,), **options)
            except raft.InvariantBrokenError as error:
                context.broken = error
                break


@behave.when(
    'the fault "{fault}" is injected and such schedules over {size:d} control hosts '
    "run from seed {seed:d}"
)
def when_injected_in_such(context, fault, size, seed):
    run_with_fault(context, fault, seed, size=size, **context.walk_options)


@behave.then("an invariant of the log is broken")
def then_broken(context):
    assert context.broken is not None


@behave.given("the write-ahead log of a host with {count:d} entries")
def given_log(context, count):
    context.folder = control_fakes.MemoryFolder(rng=random.Random(1))
    store = storage.Storage(folder=context.folder)
    store.initialise(records.Identity(host="c1", member_id="c1-1", group_id="g"))
    context.offsets = []
    for index in range(1, count + 1):
        context.offsets.append(len(context.folder.read(wal.FILE_NAME)))
        entry = records.Entry(index, 1, records.EntryKind.CHANGE, b"change")
        store.save(vote=None, entries=(entry,))


@behave.when("its last record is truncated")
def when_truncated(context):
    size = len(context.folder.read(wal.FILE_NAME))
    context.folder.truncate(wal.FILE_NAME, size - 3)


@behave.then("the host starts with {count:d} entries and can append to the log")
def then_starts(context, count):
    store = storage.Storage(folder=context.folder)
    assert len(store.load().entries) == count
    entry = records.Entry(count + 1, 2, records.EntryKind.CHANGE, b"again")
    store.save(vote=None, entries=(entry,))
    loaded = storage.Storage(folder=context.folder).load()
    assert loaded.entries[-1] == entry, loaded


@behave.when("a bit in the {part} of its second record flips")
def when_bit_flipped(context, part):
    offset_in_record = {"length": 3, "payload": 20}[part]
    context.folder.flip_bit(wal.FILE_NAME, context.offsets[1] + offset_in_record)


@behave.then("the start fails with an error that names the file and the offset")
def then_start_fails(context):
    try:
        storage.Storage(folder=context.folder).load()
    except exceptions.LogDamagedError as error:
        assert error.offset == context.offsets[1], error
        assert error.path == context.folder.path_of(wal.FILE_NAME), error
    else:
        raise AssertionError("a corrupted log was accepted")


@behave.given("a single control host with a disk")
def given_single(context):
    context.cluster = raft.Cluster(seed=1, size=1)
    context.cluster.advance(1.2)
    assert context.cluster.hosts[0].replica.is_leader


@behave.when("the disk is full and a change is proposed")
def when_disk_full(context):
    context.cluster.fill_disk(0)
    context.cluster.propose(0)


@behave.when("the sync fails and a change is proposed")
def when_sync_fails(context):
    context.cluster.fill_disk(0, sync_fails=True)
    context.cluster.propose(0)


@behave.then("the change is not acknowledged and the host halts")
def then_halts(context):
    assert context.cluster.acknowledged_count == 0
    assert not context.cluster.hosts[0].is_up


@behave.then("after a restart on a working disk a resend is acknowledged once")
def then_resend_acknowledged(context):
    cluster = context.cluster
    cluster.restart(0)
    cluster.advance(1.2)
    cluster.propose(0, again=True)
    assert cluster.acknowledged_count == 1
    assert cluster.hosts[0].replica.machine.audit.count == 1


@behave.given("control hosts that remove dead voters after {seconds:d} second")
def given_dead_after(context, seconds):
    context.walk_options = {"dead_after": float(seconds)}


@behave.given(
    "control hosts that remove dead voters after {seconds:d} second, without lease "
    "reads"
)
def given_dead_after_without_leases(context, seconds):
    context.walk_options = {"dead_after": float(seconds), "lease_reads": False}


@behave.given("the data of an earlier version")
def given_earlier_data(context):
    context.walk_options["knows_transitions"] = False


@behave.when(
    "{count:d} such schedules over {size:d} control hosts run from seed {seed:d}"
)
def when_such_schedules(context, count, size, seed):
    context.broken = []
    run_such_schedules(context, count, size, seed)


@behave.when(
    "{count:d} more such schedules over {size:d} control hosts run from seed {seed:d}"
)
def when_more_schedules(context, count, size, seed):
    run_such_schedules(context, count, size, seed)


def run_such_schedules(context, count, size, seed):
    for number in range(seed, seed + count):
        try:
            raft.run_schedule(number, size=size, **context.walk_options)
        except raft.InvariantBrokenError as error:
            context.broken.append((number, error))


def run_without_faults(cluster, seconds):
    for _ in range(round(seconds / STEP_S)):
        cluster.advance(STEP_S)
        cluster.deliver_all(4, late=0.0)


@behave.given("{size:d} control hosts that had a leader and lost power")
def given_power_lost(context, size):
    context.cluster = raft.Cluster(seed=1, size=size, lease_reads=False)
    run_without_faults(context.cluster, 3.0)
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
    "a log of {size:d} control hosts that removes dead voters after {seconds:d} seconds"
)
def given_log(context, size, seconds):
    context.cluster = raft.Cluster(seed=1, size=size, dead_after=float(seconds))
    run_without_faults(context.cluster, 5.0)


@behave.when("two control hosts are lost permanently, {seconds:d} seconds apart")
def when_lost(context, seconds):
    for number in (0, 1):
        context.cluster.crash(number)
        run_without_faults(context.cluster, seconds)


@behave.when(
    "{count:d} control hosts, {victim}, are each replaced, {order}, {seconds:g} "
    "seconds apart, in {runs:d} runs from {size:d} hosts"
)
def when_replaced(context, count, victim, order, seconds, runs, size):
    context.failures = []
    for number in range(runs):
        # Seeds that are multiples of 4 have nearly equal election timeouts, so that an
        # election may outlast the time between two losses.
        seed = 4 * number + 1
        cluster = raft.Cluster(
            seed=seed,
            size=size,
            voters=min(size, membership_change.MAX_VOTERS),
            dead_after=4.0,
            lease_reads=False,
        )
        run_without_faults(cluster, 5.0)
        for _ in range(count):
            replace(cluster, choose_victim(cluster, victim, seed), order, seconds)
        run_without_faults(cluster, 5.0)
        if not accepts_change(cluster):
            context.failures.append(f"seed {seed}: {cluster.describe()}")


def choose_victim(cluster, victim, seed):
    """Return a function that chooses the number of a running host when called."""
    rng = random.Random(seed + cluster.size)

    def choose(running):
        leading = [
            number for number in running if cluster.hosts[number].replica.is_leader
        ]
        if victim == "each time the leader" and leading:
            return leading[0]
        return running[0] if victim == "each time the oldest" else rng.choice(running)

    return choose


def replace(cluster, choose, order, seconds):
    running = [number for number, host in enumerate(cluster.hosts) if host.is_up]
    match order:
        case "the successor first":
            cluster.add()
            run_without_faults(cluster, seconds)
            cluster.crash(choose(running))
        case "the successor after":
            cluster.crash(choose(running))
            cluster.add()
            run_without_faults(cluster, seconds)
        case "by its own emptied disk":
            number = choose(running)
            cluster.crash(number)
            assert cluster.wipe(number)
            run_without_faults(cluster, seconds)
        case _:
            raise ValueError(order)


def accepts_change(cluster):
    before = cluster.acknowledged_count
    for number, host in enumerate(cluster.hosts):
        if host.is_up and host.replica.is_leader:
            cluster.propose(number)
    run_without_faults(cluster, 1.0)
    return cluster.acknowledged_count > before


@behave.then("the remaining control hosts accepted a change in each run")
def then_each_accepted(context):
    assert not context.failures, (len(context.failures), context.failures[:2])


@behave.then("the {count:d} remaining control hosts accept a change")
def then_accept(context, count):
    cluster = context.cluster
    before = cluster.acknowledged_count
    running = [number for number, host in enumerate(cluster.hosts) if host.is_up]
    assert len(running) == count, running
    for number in running:
        if cluster.hosts[number].replica.is_leader:
            cluster.propose(number)
    run_without_faults(cluster, 1.0)
    assert cluster.acknowledged_count > before, cluster.describe()
