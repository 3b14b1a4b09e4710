"""Steps for control hosts in process, on a virtual clock."""

import asyncio
import random

import behave
import msgspec

from fakes import control_fakes, environment_schedule
from fakes import environment as environments
from greengagehaven import clock, exceptions
from greengagehaven.coordination import configuration_source
from greengagehaven.coordination.raft import timing
from greengagehaven.daemons import recovery
from greengagehaven.state import changes, configuration


@behave.given("an environment of {count:d} control hosts and entry hosts in {zones}")
def given_environment(context, count, zones):
    context.environment = environment = environments.Environment()
    context.add_cleanup(environment.close)
    environment.start_controls(count)
    for number, zone in enumerate(zones.split(" and ")):
        environment.start_entry(f"e{number + 1}", zone)
    environment.wait(1.0)


@behave.given("document {number:d} is in force everywhere")
def given_in_force(context, number):
    environment = context.environment
    status, result = environment.apply(
        environments.document_with(number), f"given-{number}"
    )
    assert status == 200, result
    context.revision = result["revision"]
    environment.wait_until(
        lambda: set(environment.revisions().values()) == {context.revision}
    )


@behave.when("two operators apply different documents on the same revision at once")
def when_concurrent(context):
    environment = context.environment
    _, api = environment.controls_by_host["c1"]
    hosts = [host for host, _ in environment.controls_by_host.values()]
    leader = environment.leader()
    assert leader in hosts

    async def propose_both():
        return await asyncio.gather(
            *(
                leader.propose(
                    configuration.DocumentChange(
                        change_id=f"race-{author}",
                        author=author,
                        document=environments.document_with(10 + number),
                        expected_revision=context.revision,
                    )
                )
                for number, author in enumerate(("ann", "bob"))
            )
        )

    context.results = environment.run(propose_both())


@behave.then("exactly one change is accepted and the refusal names the accepted one")
def then_one_accepted(context):
    accepted = [result for result in context.results if result.accepted]
    refused = [result for result in context.results if not result.accepted]
    assert len(accepted) == 1, context.results
    accepted_id = accepted[0].change_id
    assert accepted_id in refused[0].detail, refused
    assert accepted_id.removeprefix("race-") in refused[0].detail, refused


@behave.then("the audit trail lists both")
def then_audited(context):
    _, lines = context.environment.request("GET", "/v1/audit")
    codes = {line["change_id"]: line["code"] for line in lines}
    assert sorted(codes[f"race-{name}"] for name in ("ann", "bob")) == [
        "accepted",
        "revision_conflict",
    ], codes


@behave.when("change {change_id} is applied and its reply is lost")
def when_reply_lost(context, change_id):
    environment = context.environment
    context.first = environment.apply(
        environments.document_with(77), change_id, context.revision
    )
    assert context.first[0] == 200, context.first


@behave.when("the leader is lost and every other control host restarts")
def when_leader_lost(context):
    environment = context.environment
    lost = environment.leader().settings.host_id
    environment.stop_control(lost)
    for name in list(environment.controls_by_host):
        environment.stop_control(name)
        environment.start_control(name)
    environment.wait_until(lambda: environment.leader() is not None)


@behave.then("a resend of change {change_id} returns the first result")
def then_first_result(context, change_id):
    environment = context.environment
    again = environment.apply(
        environments.document_with(77), change_id, context.revision
    )
    assert again == context.first, (again, context.first)


@behave.then("a different change under the id {change_id} is refused")
def then_reuse_refused(context, change_id):
    status, problem = context.environment.apply(
        environments.document_with(78), change_id
    )
    assert (status, problem["code"]) == (409, "change_id_reused"), problem


@behave.when("a control host is silently partitioned from {others}")
def when_partitioned(context, others):
    environment = context.environment
    followed = {
        entry._source_selector.source for entry in environment.entries_by_host.values()
    }
    context.partitioned_address = sorted(address for address in followed if address)[0]
    if others == "every host":
        environment.network.cut_off(context.partitioned_address)
    else:
        addresses = [
            host.settings.peer_address
            for host, _ in environment.controls_by_host.values()
        ]
        environment.network.cut_between(context.partitioned_address, addresses)
    environment.wait(2.0)
    context.partitioned_host = next(
        host
        for host, _ in environment.controls_by_host.values()
        if host.settings.peer_address == context.partitioned_address
    )
    context.via = next(
        name
        for name, (host, _) in environment.controls_by_host.items()
        if host is not context.partitioned_host
    )


@behave.when("document {number:d} is applied at control host {name}")
def when_applied_at(context, number, name):
    context.via = name
    when_applied_elsewhere(context, number)


@behave.when("document {number:d} is applied at another control host")
def when_applied_elsewhere(context, number):
    environment = context.environment
    environment.wait_until(lambda: environment.leader() is not None)
    status, result = environment.apply(
        environments.document_with(number), f"elsewhere-{number}", via=context.via
    )
    assert status == 200, result
    context.revision = result["revision"]
    context.digest = result["digest"]


@behave.then("every entry host has it in force within {seconds:d} seconds")
def then_everywhere(context, seconds):
    environment = context.environment
    environment.wait_until(
        lambda: set(environment.revisions().values()) == {context.revision}, seconds
    )
    assert set(environment.digests().values()) == {context.digest}


@behave.then("the partitioned host reports an outdated state and a lost quorum")
def then_outdated(context):
    host = context.partitioned_host
    assert host.staleness > 1.0, host.staleness
    status, body = context.environment.request(
        "GET", "/v1/status", via=host.settings.host_id
    )
    assert (status, body["quorum"]) == (200, "lost"), body


@behave.when("the partition heals")
def when_healed(context):
    leader = context.environment.leader()
    context.term = leader.raft.term
    context.environment.network.heal()
    context.environment.wait(3.0)


@behave.then("the partitioned host catches up without a new election")
def then_no_election(context):
    leader = context.environment.leader()
    assert leader.raft.term == context.term, (leader.raft.term, context.term)
    host = context.partitioned_host
    assert host.state_machine.state.revision == context.revision
    assert host.staleness < 1.0, host.staleness


@behave.given("document {number:d} reached every host but control host c1")
def given_missed(context, number):
    environment = context.environment
    environment.network.cut_off("10.0.0.1:1")
    context.via = "c2"
    environment.wait(2.0)
    when_applied_elsewhere(context, number)
    then_everywhere(context, 8)
    environment.network.heal()
    others = ("10.0.0.2:1", "10.0.0.3:1")
    environment.network.cut_between("10.0.0.1:1", others)


@behave.when("all control hosts but one are permanently lost")
def when_quorum_lost(context):
    environment = context.environment
    context.via = "c1"
    for name in ("c2", "c3"):
        environment.stop_control(name)
    environment.wait(3.0)


@behave.then("status and the refusal of a change report that the quorum is lost")
def then_quorum_lost(context):
    environment = context.environment
    _, status = environment.request("GET", "/v1/status", via=context.via)
    assert status["quorum"] == "lost", status
    assert "no answer from: c2, c3" in status["detail"], status["detail"]
    code, problem = environment.apply(
        environments.document_with(5), "lost", via=context.via
    )
    assert (code, problem["code"]) == (503, "quorum_lost"), problem


@behave.then("entry hosts keep document {number:d} in force")
def then_kept_in_force(context, number):
    assert set(context.environment.revisions().values()) == {context.revision}


@behave.when("the last control host is recovered")
def when_recovered(context):
    environment = context.environment
    environment.stop_control(context.via)
    recovery.recover(
        data_folder="memory",
        author="ann",
        now=environment.loop.clock.now(),
        disk=environment.folders_by_host[context.via],
    )
    environment.start_control(context.via, bootstrap=False)
    environment.wait_until(lambda: environment.leader() is not None)


@behave.then("a replaced control host joins it and has the same revision")
def then_replaced(context):
    environment = context.environment
    environment.folders_by_host["c2"] = control_fakes.MemoryFolder(rng=environment.rng)
    host = environment.start_control("c2")
    environment.wait_until(lambda: len(environment.voters()) == 2)
    environment.wait_until(
        lambda: (
            host.state_machine.state.revision
            == environment.leader().state_machine.state.revision
        )
    )


@behave.given("entry host {name} holds a different document under the same revision")
def given_different_document(context, name):
    history = context.environment.entries_by_host[name]._history
    history.state = msgspec.structs.replace(
        history.state, document=history.state.document + b"# other\n"
    )


@behave.when("the leader is deposed while it decides a change forwarded by {name}")
def when_deposed(context, name):
    environment = context.environment
    deposed = environment.leader()
    context.deposed = deposed.settings.host_id
    assert context.deposed != name

    async def depose(change):
        del deposed.propose_audited
        deposed.raft.become_follower(deposed.raft.term + 1, None)
        # Another host must win the election, or this one would decide the change.
        deposed.raft._election.election_at += 60.0
        raise exceptions.NotLeaderError(leader=None)

    deposed.propose_audited = depose
    context.began = environment.loop.time()
    context.answer = environment.apply(
        environments.document_with(2), "in hand", via=name
    )


@behave.then("the change is still accepted within {seconds:d} seconds")
def then_accepted_soon(context, seconds):
    status, result = context.answer
    assert status == 200, result
    elapsed = context.environment.loop.time() - context.began
    assert elapsed < seconds, elapsed


@behave.when(
    "control host {name} is partitioned, loses its disk and starts with --bootstrap"
)
def when_lost_disk(context, name):
    environment = context.environment
    context.old_voters = environment.voters()
    context.restarted = name
    environment.network.cut_off("10.0.0.1:1")
    environment.stop_control(name)
    environment.folders_by_host[name] = control_fakes.MemoryFolder(rng=environment.rng)
    environment.start_control(name, bootstrap=True)
    environment.wait(5.0)


@behave.then("it begins no log and accepts no change")
def then_no_log(context):
    host, _ = context.environment.controls_by_host[context.restarted]
    assert host.raft is None
    data = environments.document_with(2)
    status, problem = context.environment.apply(data, "alone", via=context.restarted)
    assert (status, problem["code"]) == (503, "quorum_lost"), problem


@behave.when("the network is restored")
def when_restored(context):
    context.environment.network.heal()
    context.environment.wait(5.0)


@behave.then("control host {name} is a voter of the old log under a new identity")
def then_new_identity(context, name):
    environment = context.environment
    voters = environment.voters()
    kept = {voter for voter in context.old_voters if not voter.startswith(name)}
    assert kept < voters and len(voters) == 3, (context.old_voters, voters)
    host, _ = environment.controls_by_host[name]
    assert host.raft.member_id in voters - context.old_voters
    assert host.state_machine.state.revision == context.revision


@behave.given("control hosts that keep {count:d} entries behind a snapshot")
def given_short_logs(context, count):
    context.environment = environment = environments.Environment(
        compact_bytes=4000, raft_timing=timing.Timing(trailing_entries=count)
    )
    context.add_cleanup(environment.close)
    environment.start_controls(3)
    environment.wait(1.0)


@behave.when("control host {name} is partitioned while {count:d} documents are applied")
def when_away(context, name, count):
    environment = context.environment
    address = f"10.0.0.{name[1:]}:1"
    environment.network.cut_off(address)
    environment.wait(1.5)
    context.before = environment.controls_by_host[name][0].raft.log.last.index
    for number in range(count):
        status, result = environment.apply(
            environments.document_with(number), f"away-{number}", via="c1"
        )
        assert status == 200, result
    context.revision = result["revision"]
    assert environment.leader().raft.log.base.index > context.before


@behave.then("control host {name} has the same revision from a snapshot")
def then_from_snapshot(context, name):
    host, _ = context.environment.controls_by_host[name]
    assert host.state_machine.state.revision == context.revision
    assert host.raft.log.snapshot.last.index > context.before


def encoded_change(number, state):
    """Return the encoded log entry of a change that expects the previous revision."""
    change = configuration.DocumentChange(
        change_id=f"change-{number}",
        author="ann",
        document=environments.document_with(number),
        expected_revision=number - 1,
    )
    return changes.encode(
        changes.build_document_entry(
            change, state, made_at=1.0, refusal=None, proved=False
        )
    )


@behave.given("an audit trail that keeps {count:d} changes")
def given_short_trail(context, count):
    context.machine = changes.ConfigurationStateMachine(max_records=count)


@behave.when("{count:d} changes are made and the state is captured and restored")
def when_many_changes(context, count):
    machine = context.machine
    context.records = {
        number: machine.apply(encoded_change(number, machine.state))
        for number in range(1, count + 1)
    }
    assert all(record.accepted for record in context.records.values())
    data = machine.capture()
    context.machine = changes.ConfigurationStateMachine(
        max_records=len(machine.audit.records())
    )
    context.machine.restore(data)


@behave.then("the newest {kept:d} of {count:d} are kept")
def then_kept(context, kept, count):
    numbers = [record.number for record in context.machine.audit.newest(count)]
    assert numbers == list(range(count, count - kept, -1)), numbers
    assert context.machine.audit.count == count


@behave.then("a resend of change {number:d} returns its first result")
def then_first_record(context, number):
    machine = context.machine
    record = machine.apply(encoded_change(number, machine.state))
    assert record == context.records[number], record


@behave.then("a resend of change {number:d} is refused since its revision is taken")
def then_revision_taken(context, number):
    machine = context.machine
    before = machine.state
    record = machine.apply(encoded_change(number, machine.state))
    assert (record.code, machine.state) == ("revision_conflict", before), record


@behave.when("{count:d} schedules over control and entry hosts run from seed {seed:d}")
def when_schedules(context, count, seed):
    context.broken = []
    context.results = 0
    for number in range(seed, seed + count):
        schedule = environment_schedule.RandomSchedule(number)
        try:
            schedule.run()
        except AssertionError as error:
            context.broken.append((number, error))
        context.results += len(schedule.results_by_change)


@behave.then("each ended with one result for each change, in force on every entry host")
def then_schedules_held(context):
    assert not context.broken, context.broken
    assert context.results > 0


@behave.given("an entry host that may follow control hosts and peers")
def given_following(context):
    context.clock = clock.ManualClock()
    context.following = configuration_source.SourceSelector(
        control_addresses=("c1", "c2", "c3"),
        peer_addresses=lambda: ("e2",),
        clock=context.clock,
        rng=random.Random(1),
        timing=configuration_source.Timing(),
    )


@behave.when("its source answers without contact with a leader for {age:d} seconds")
def when_source_stale(context, age):
    call = context.following.next_call()
    context.following.on_reply(call.address, staleness=0.1, is_newer=True)
    context.previous_source = context.following.source
    context.clock.advance(1.0)
    context.following.on_reply(call.address, staleness=age, is_newer=False)


@behave.then("it asks another source next")
def then_other_source(context):
    assert context.following.next_call().address != context.previous_source


@behave.when("it took {spent:g} seconds to apply the last change")
def when_spent(context, spent):
    context.pause = context.following.pause_after(spent)


@behave.then("it asks again after {pause:g} seconds")
def then_pause(context, pause):
    assert abs(context.pause - pause) < 0.01, context.pause


@behave.when("no source has had contact with a leader for {seconds:d} seconds")
def when_no_leader_contact(context, seconds):
    context.following.next_call()
    context.clock.advance(seconds)


@behave.then("its next probes go to every control host, more often than before")
def then_probes_every_control(context):
    asked = {context.following.next_probe().address for _ in range(3)}
    assert asked == {"c1", "c2", "c3"}, asked
    assert (
        context.following.probe_delay < configuration_source.Timing().probe_period / 2
    )


@behave.when("an operator drains zone {zone}")
def when_drained(context, zone):
    context.answer = context.environment.drain(zone)


@behave.when("an operator forces the drain of zone {zone}")
def when_drain_forced(context, zone):
    context.answer = context.environment.drain(zone, force=True)


@behave.then("the drain is accepted and every entry host has {zones} as drained")
def then_drained(context, zones):
    environment = context.environment
    status, result = context.answer
    assert status == 200, result
    expected = frozenset(zones.split(" and "))
    environment.wait(1.0)
    for states in environment.states_by_host.values():
        assert frozenset(states[-1].drained_zones) == expected, states[-1]


@behave.then("the drain is refused as {code}")
def then_drain_refused(context, code):
    status, problem = context.answer
    assert (status >= 400, problem["code"]) == (True, code), problem


@behave.when("every control host is partitioned and a new entry host starts in {zone}")
def when_new_entry(context, zone):
    environment = context.environment
    for host, _ in environment.controls_by_host.values():
        environment.network.cut_off(host.settings.peer_address)
    environment.start_entry("e9", zone)


@behave.then("it starts from a peer at the same revision")
def then_from_peer(context):
    environment = context.environment
    entry = environment.entries_by_host["e9"]
    environment.wait_until(lambda: entry.revision == context.revision)
    assert entry.staleness > 0.0
