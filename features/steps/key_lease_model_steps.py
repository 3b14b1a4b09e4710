"""Steps for the confirmations of control hosts, and for the rule under faults."""

import pathlib
import types

import behave

from fakes import key_lease_model
from greengagehaven import exceptions
from greengagehaven.coordination.raft import messages
from greengagehaven.daemons import control_host
from greengagehaven.daemons.measure import revoked_key
from greengagehaven.platform import loopback

EXTRA_SEQUENCES = 10
STEP_S = 0.1


def start_cluster(context, size):
    context.cluster = key_lease_model.ConfirmingCluster(seed=1, size=size)
    run_cluster(context, 3.0)
    (context.leader,) = [
        host for host in context.cluster.hosts if host.replica.is_leader
    ]
    context.others = [
        host for host in context.cluster.hosts if host is not context.leader
    ]


def run_cluster(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        context.cluster.advance(STEP_S)
        context.cluster.deliver_all(2, late=0.0)


def staleness_of(host):
    return host.replica.raft.confirmed_staleness


@behave.given("three control hosts that confirm their state")
def given_cluster(context):
    start_cluster(context, 3)
    staleness = [staleness_of(host) for host in context.cluster.hosts]
    assert max(staleness) < 0.5, staleness


@behave.when(
    "a follower is frozen for {seconds:d} seconds and reads one message from before"
)
def when_follower_frozen(context, seconds):
    context.checked = context.others[0]
    context.cluster.frozen.add(context.checked.name)
    run_cluster(context, seconds)
    context.cluster.frozen.clear()
    message = context.cluster.messages_to(context.checked)[0]
    context.cluster.deliver_message(message)


@behave.when(
    "five control hosts elect a leader, which is cut off with one follower for {s:g} s"
)
def when_minority(context, s):
    start_cluster(context, 5)
    context.checked, *rest = context.others
    number_of = context.cluster.hosts.index
    for inside in (context.leader, context.checked):
        for outside in rest:
            context.cluster.cut_link(number_of(inside), number_of(outside))
            context.cluster.cut_link(number_of(outside), number_of(inside))
    before = staleness_of(context.checked)
    run_cluster(context, s)
    # The estimate follows the leader's messages, which still arrive.
    assert context.checked.replica.raft.staleness < s / 2
    assert before < 0.5


@behave.when("the leader is frozen for {seconds:d} seconds")
def when_leader_frozen(context, seconds):
    context.checked = context.leader
    context.cluster.frozen.add(context.leader.name)
    run_cluster(context, seconds)
    context.cluster.frozen.clear()


@behave.then("it bounds its staleness by at least {seconds:g} seconds")
@behave.then("that follower bounds its staleness by at least {seconds:g} seconds")
def then_bounded(context, seconds):
    # Clocks of the model drift by a thousandth.
    assert staleness_of(context.checked) >= 0.99 * seconds, staleness_of(
        context.checked
    )


@behave.when("a follower restarts and reads a stamp of its earlier run")
def when_follower_restarts(context):
    context.checked = context.others[0]
    number = context.cluster.hosts.index(context.checked)
    old_stamp = context.checked.replica.raft.stamp()
    context.cluster.crash(number)
    context.cluster.advance(STEP_S)
    context.cluster.restart(number)
    context.checked.replica.raft.record_confirmation(old_stamp)


@behave.then("it does not bound its staleness until a majority has confirmed it")
def then_unbounded(context):
    assert staleness_of(context.checked) == float("inf")
    run_cluster(context, 1.0)
    assert staleness_of(context.checked) < 0.5


@behave.then("a control host with a disk failure does not bound its staleness")
def then_disk_failed(context):
    member = context.leader.replica

    class Failed(control_host.ControlHost):
        def __init__(self):
            self.driver = types.SimpleNamespace(replica=member)

    assert Failed().confirmed_staleness < 0.5
    member.storage_error = exceptions.StorageError("full", path="log")
    assert Failed().confirmed_staleness == float("inf")


@behave.then(
    "{count:d} random sequences for each of 3 and 5 control hosts break no rule"
)
def then_rule_holds(context, count):
    for size in (3, 5):
        # The draws, and so the number of changes in them, depend on the step modules
        # that are loaded.
        examples = count + EXTRA_SEQUENCES
        totals = key_lease_model.run(seed=size, examples=examples, size=size)
        # The rule would hold if no host ever had a lease or no document changed.
        assert totals["valid"] > totals["checks"] / 4, totals
        assert totals["changes"] >= 2 * count, totals


@behave.then("random sequences with {fault} break the rule")
def then_fault_found(context, fault):
    try:
        key_lease_model.run(seed=1, examples=60, fault=fault)
    except key_lease_model.RuleBrokenError:
        return
    raise AssertionError("the fault was not found")


@behave.when("a follower reads a confirmation of an entry that it lacks")
def when_entry_lacks(context):
    context.checked = context.others[0]
    raft = context.checked.replica.raft
    context.cluster.advance(STEP_S)
    context.before = raft.clock.monotonic() - staleness_of(context.checked)
    message = messages.AppendRequest(
        **context.leader.replica.raft.header(raft.member_id),
        previous=raft.log.last,
        commit_index=raft.log.last.index + 1,
        sent_at=context.leader.clock.monotonic(),
        confirmed=raft.stamp(),
    )
    context.cluster.deliver_message(message)


@behave.then("its bound of the staleness is not lowered")
def then_not_lowered(context):
    confirmed_at = context.checked.clock.monotonic() - staleness_of(context.checked)
    assert abs(confirmed_at - context.before) < 1e-6, (confirmed_at, context.before)


@behave.then(
    "a new leader sends no confirmation before an entry of its term is committed"
)
def then_no_early_confirmation(context):
    cluster = context.cluster
    cluster.crash(cluster.hosts.index(context.leader))
    while not any(host.replica.is_leader for host in context.others):
        cluster.advance(STEP_S / 4)
        cluster.deliver_all(1, late=0.0)
    (leader,) = [host for host in context.others if host.replica.is_leader]
    (other,) = [host for host in context.others if host is not leader]
    assert not leader.replica.raft.leadership.has_committed_in_term
    # The other host answers, but its log does not match yet, so nothing is committed.
    for _ in range(3):
        cluster.in_flight.clear()
        cluster.advance(STEP_S)
        answer(cluster, leader, other)
    cluster.in_flight.clear()
    cluster.advance(STEP_S)
    (sent,) = cluster.messages_to(other)
    assert leader.replica.raft.leadership.progress_by_id[sent.receiver].confirmed
    assert sent.confirmed is None, sent


def answer(cluster, leader, other):
    raft = other.replica.raft
    message = messages.AppendReply(
        **raft.header(leader.replica.raft.member_id, leader.replica.raft.term),
        success=False,
        match_index=raft.log.last.index,
        sent_at=leader.clock.monotonic(),
        stamp=raft.stamp(),
    )
    cluster.deliver_message(message)


@behave.given(
    "a measure in which a key was revoked 10 seconds ago, with a limit of 5 seconds"
)
def given_measure(context):
    assert revoked_key.REVOKE_MS == 5000
    context.bench = revoked_key.Bench(
        platform=loopback.PLATFORM,
        folder=pathlib.Path(),
        hosts=2,
        revoke_ms=None,
    )
    context.acknowledged_at = 100.0


def add_measured_request(context, host, sent, ran):
    request_id = f"r-{len(context.bench.sent_by_request)}"
    context.bench.sent_by_request[request_id] = revoked_key.Sent(
        host=host, sent_at=context.acknowledged_at + sent
    )
    if ran is not None:
        ran_at = context.acknowledged_at + ran
        context.bench.upstream.ran_at_by_request[request_id] = ran_at


@behave.given(
    "a request sent after {sent:g} seconds ran after {ran:g} seconds on the host that "
    "is cut off"
)
def given_cut_off_request(context, sent, ran):
    add_measured_request(context, 0, sent, ran)


@behave.given(
    "a request sent after {sent:g} seconds ran after {ran:g} seconds on another host"
)
def given_other_request(context, sent, ran):
    add_measured_request(context, 1, sent, ran)


@behave.given("a request sent after {sent:g} seconds did not run")
def given_unrun_request(context, sent):
    add_measured_request(context, 1, sent, None)


@behave.then("the measure reports {count:d} request sent after the limit")
def then_sent_after_limit(context, count):
    context.figures = revoked_key.summarize(context.bench, context.acknowledged_at)
    assert context.figures["sent_after_limit"] == count, context.figures
    assert context.figures["requests_run"] == 2, context.figures


@behave.then(
    "the last runs after {cut_off:d} ms on the host that is cut off and {other:d} ms "
    "on others"
)
def then_last_runs(context, cut_off, other):
    assert context.figures["last_run_cut_off_ms"] == cut_off, context.figures
    assert context.figures["last_run_connected_ms"] == other, context.figures
