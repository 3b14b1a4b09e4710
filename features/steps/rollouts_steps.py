"""Steps about rollouts of software versions."""

import asyncio
import dataclasses
import datetime
import json

import behave

from fakes import platform_deployment, rollouts, routing
from greengagehaven import clock
from greengagehaven.coordination import change_entries
from greengagehaven.coordination.rollouts import phases, report_pool, sequential_test
from greengagehaven.coordination.routing import events
from greengagehaven.daemons import rollout_controller
from greengagehaven.platform import names
from greengagehaven.protocol import rollouts as messages
from greengagehaven.state import changes, configuration

DURATION = datetime.timedelta(seconds=12)
VERSIONS = {
    "fails half of its answers": {
        "software": rollouts.VersionBehavior(failure_share=0.5)
    },
    "is four times slower": {"software": rollouts.VersionBehavior(slowdown=4.0)},
    "turns bad after 3 seconds": {
        "software": rollouts.VersionBehavior(failure_share=0.5, bad_after_s=3.0)
    },
    "is bad on one route": {
        "software": rollouts.VersionBehavior(failure_share=0.6, route="narrow")
    },
    "fails under load": {
        "software": rollouts.VersionBehavior(failure_share=0.5, bad_above_rate=6.0)
    },
    "is as good as the old one": {"software": rollouts.VersionBehavior()},
    "has one slow upstream": {
        "software": rollouts.VersionBehavior(),
        "slow_upstream": True,
    },
    "is as noisy as the old one": {
        "software": rollouts.VersionBehavior(),
        "noisy": True,
    },
    "is unknown to a tenth of the hosts": {
        "software": rollouts.VersionBehavior(),
        "cut_off": 0.1,
    },
}


@behave.given("the replicated state machine with services")
def given_machine(context):
    context.clock = clock.ManualClock()
    context.machine = changes.ConfigurationStateMachine()
    context.writer = change_entries.EntryBuilder(
        environment="test",
        signer=None,
        verifier=None,
        clock=context.clock,
        service_names=lambda _: frozenset({"shard-0"}),
    )
    context.change_count = 0


def write_change(context, change):
    entry = context.writer.build_entry(change, context.machine, ())
    context.revision_before = context.machine.state.revision
    context.result = context.machine.apply(changes.encode(entry))


def next_change_id(context):
    context.change_count += 1
    return f"c-{context.change_count}"


@behave.when("a rollout of {service} to {version:w} is requested")
def when_requested(context, service, version):
    change = configuration.RolloutChange(
        change_id=next_change_id(context),
        author="operator",
        service=service,
        version=version,
        duration=DURATION,
    )
    write_change(context, change)


@behave.when(
    "a rollout of {service} to {version:w} is requested {seconds:d} second later"
)
@behave.when(
    "a rollout of {service} to {version:w} is requested {seconds:d} seconds later"
)
def when_requested_later(context, service, version, seconds):
    context.clock.advance(seconds)
    when_requested(context, service, version)


def only_rollout(context):
    (rollout,) = context.machine.state.rollouts
    return rollout


@behave.when("its rollout moves to phase {phase:w}")
def when_phase_changes(context, phase):
    change = configuration.RolloutStep(
        change_id=next_change_id(context),
        author="rollout",
        service="shard-0",
        number=only_rollout(context).number,
        phase=messages.Phase(phase),
    )
    write_change(context, change)


@behave.when("it is restored from its snapshot")
def when_restored(context):
    data = context.machine.capture()
    context.machine = changes.ConfigurationStateMachine()
    context.machine.restore(data)


@behave.then("its rollout is in phase {phase:w}")
def then_phase(context, phase):
    assert only_rollout(context).phase == phase, only_rollout(context)


@behave.then("the request is accepted and changes nothing")
def then_accepted(context):
    assert context.result.accepted, context.result
    assert context.machine.state.revision == context.revision_before


@behave.then("the rollout request is refused with {code:w}")
def then_request_refused(context, code):
    assert context.result.code == code, context.result


@behave.then("the step is refused")
def then_step_refused(context):
    assert not context.result.accepted, context.result


@behave.given(
    "a rollout of a version that {what}, with {hosts:d} hosts and {rate:d} requests a "
    "second"
)
def given_rollout(context, what, hosts, rate):
    context.simulation_fields = {**VERSIONS[what], "hosts": hosts, "rate": float(rate)}


@behave.when("it is simulated with {count:d} seeds")
def when_played(context, count):
    context.simulations = [
        rollouts.Simulation(seed=seed, **context.simulation_fields)
        for seed in range(count)
    ]
    context.outcomes = [simulation.run() for simulation in context.simulations]


@behave.then("it is rolled back each time")
def then_rolled_back(context):
    final_phases = {str(outcome.phase) for outcome in context.outcomes}
    assert final_phases == {"rolled_back"}, final_phases


@behave.then("the version never gets more requests than allowed")
def then_exposure(context):
    for simulation, outcome in zip(context.simulations, context.outcomes, strict=True):
        assert outcome.to_new_version <= outcome.allowed(simulation.bound), outcome


@behave.then("it gets none later than 5 seconds after its 50th bad answer")
def then_none_late(context):
    assert not any(outcome.late_requests for outcome in context.outcomes)


@behave.then("it is done each time, within {percent:d} percent of its duration")
def then_done(context, percent):
    for simulation, outcome in zip(context.simulations, context.outcomes, strict=True):
        assert outcome.phase is messages.Phase.DONE, outcome
        assert outcome.ended_at <= percent / 100 * simulation.rollout.duration_s, (
            outcome
        )


@behave.then("no connected host then has a request at an old upstream")
def then_none_at_old(context):
    for outcome in context.outcomes:
        assert not outcome.left_at_old, outcome


def rollout_of(*, number=7, phase="canary", ordered_at=0.0):
    return messages.Rollout(
        service="shard-0",
        version="v2",
        duration_s=12.0,
        ordered_at=ordered_at,
        number=number,
        phase=messages.Phase(phase),
    )


def put_versions(context):
    context.tier = routing.RouterHarness(ratio=1.0, burst=1000.0)
    context.tier.apply_routing_table(
        routing.routing_table(1, routing.sweep_route(["shard-0"]))
    )
    for incarnation, version in enumerate(("v1", "v2"), start=1):
        context.tier.apply_upstream_entries(
            *(
                routing.upstream_entry(
                    f"{version}-{number}",
                    "shard-0",
                    incarnation=incarnation,
                    version=version,
                )
                for number in range(3)
            )
        )


@behave.given("an entry host that knows 3 upstreams of v1 and 3 of v2 and no rollout")
def given_no_rollout(context):
    put_versions(context)


@behave.given("an entry host that knows of a rollout in phase {phase:w}")
def given_phase(context, phase):
    put_versions(context)
    rollout = rollout_of(number=1, phase=phase)
    context.tier.step(events.RolloutsChanged(rollouts=(rollout,)))


@behave.when("control hosts do not acknowledge its reports")
def when_not_acknowledged(context):
    context.tier.step(events.RolloutReportsAcknowledged(is_acknowledged=False))


def remove_upstreams(context, version, count):
    for number in range(count):
        incarnation = int(version[1:])
        entry = routing.upstream_entry(
            f"{version}-{number}", "shard-0", incarnation=incarnation, version=version
        )
        context.tier.apply_upstream_entries(entry.as_gone())


@behave.when("2 upstreams of v1 leave")
def when_two_leave(context):
    remove_upstreams(context, "v1", 2)


@behave.when("the upstreams of v2 leave")
def when_all_leave(context):
    remove_upstreams(context, "v2", 3)


@behave.then("{some:w} of its next {count:d} requests go to the new version")
def then_share(context, some, count):
    is_new = []
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        (send,) = context.tier.attempts_of(number)
        context.tier.advance_clock(0.01)
        context.tier.answer_attempt(send)
        is_new.append(send.upstream_id.startswith("v2"))
    share = sum(is_new) / count
    bounds = {"none": (0.0, 0.0), "some": (0.01, 0.99), "all": (1.0, 1.0)}
    least, most = bounds[some]
    assert least <= share <= most, share


@behave.then("none of them is refused")
def then_none_refused(context):
    endings = context.tier.final_actions_by_number.values()
    assert not any(isinstance(ending, events.Refuse) for ending in endings)


def run_async(context, coroutine):
    return context.runner_loop.run_until_complete(coroutine)


@behave.when("two leafs of version {version:w} start beside those of the first shard")
def when_version_started(context, version):
    run_async(
        context, context.platform.add_version(platform_deployment.SHARDS[0], version)
    )


@behave.when(
    "two leafs of version {version:w} that fail start beside those of the first shard"
)
def when_failing_version_started(context, version):
    run_async(
        context,
        context.platform.add_version(
            platform_deployment.SHARDS[0], version, fails=True
        ),
    )


def rollout_body(**changed):
    fields = {
        "backend": platform_deployment.SHARDS[0],
        "targetVersion": "v2",
        "durationS": 6,
    }
    return json.dumps({**fields, **changed}).encode()


def post_rollout(context, body):
    path = names.ROLLOUT_PATH.rstrip("/")
    return context.platform.call(
        context.platform.operator_addresses[1], "POST", path, body
    )


@behave.when(
    "the operator starts a rollout of the first shard to {version:w} within "
    "{seconds:d} seconds"
)
def when_operator_starts(context, version, seconds):
    body = rollout_body(targetVersion=version, durationS=seconds)
    reply = run_async(context, post_rollout(context, body))
    assert reply.status == 200, reply


async def state_at(context, door):
    path = names.ROLLOUT_PATH + platform_deployment.SHARDS[0]
    reply = await context.platform.call(door, "GET", path, b"")
    assert reply.status == 200, reply
    return json.loads(reply.body)


@behave.then("the state of its rollout is {state:w} at every control host")
def then_state_everywhere(context, state):
    for door in context.platform.operator_addresses:
        found = run_async(context, state_at(context, door))
        assert found == {"state": state, "targetVersion": "v2"}, found


@behave.then("a second rollout to v3 is answered with 409")
def then_conflict(context):
    reply = run_async(context, post_rollout(context, rollout_body(targetVersion="v3")))
    assert reply.status == 409, reply


@behave.then(
    "rollouts without a target, of an unknown service and of no duration are answered "
    "with 400"
)
def then_bad_requests(context):
    for changed in (
        {"targetVersion": ""},
        {"backend": "nobody"},
        {"durationS": 0},
        {"durationS": "soon"},
    ):
        reply = run_async(context, post_rollout(context, rollout_body(**changed)))
        assert reply.status == 400, (changed, reply)


@behave.then("sweeps are answered until its state is {state:w}")
def then_swept_until(context, state):
    async def is_reached():
        reply = await context.platform.sweep()
        assert reply.status == 200, reply
        await asyncio.sleep(0.01)
        found = await state_at(context, context.platform.operator_addresses[2])
        assert found["state"] in ("running", state), found
        return found["state"] == state

    run_async(context, context.platform.wait_until(is_reached))


@behave.then("no further sweep reaches the {which:w} leafs of the first shard")
def then_none_reached(context, which):
    version = {"old": "v1", "new": "v2"}[which]
    chosen_leafs = [
        leaf
        for leaf in context.platform.leafs
        if leaf.shard == platform_deployment.SHARDS[0] and leaf.version == version
    ]

    async def wait():
        await asyncio.sleep(0.3)

    run_async(context, wait())
    before = [leaf.request_count for leaf in chosen_leafs]
    for _ in range(20):
        assert run_async(context, context.platform.sweep()).status == 200
    assert [leaf.request_count for leaf in chosen_leafs] == before


@behave.when("{count:d} requests to the new version fail there")
def when_new_version_fails(context, count):
    context.retried_ids = []
    while len(context.retried_ids) < count:
        number = context.tier.request("/sweep/1")
        (send,) = context.tier.attempts_of(number)
        context.tier.advance_clock(0.01)
        if send.upstream_id.startswith("v1"):
            context.tier.answer_attempt(send)
            continue
        # Resets the tallies, as this host would otherwise stop using the version.
        context.tier.step(events.RolloutsChanged(rollouts=()))
        start_next_rollout(context)
        context.tier.answer_attempt(send, status=500)
        context.retried_ids.append(context.tier.attempts_of(number)[-1].upstream_id)


def start_next_rollout(context):
    context.rollout_number = getattr(context, "rollout_number", 1) + 1
    rollout = rollout_of(number=context.rollout_number)
    context.tier.step(events.RolloutsChanged(rollouts=(rollout,)))


@behave.then("each of them is retried at the old version")
def then_asked_old(context):
    assert all(upstream_id.startswith("v1") for upstream_id in context.retried_ids)


@behave.given("the report pool of a rollout")
def given_reports(context):
    context.pool = report_pool.ReportPool()
    context.now = 100.0
    context.sequence = 0
    context.host_run = "run-1"
    context.rollout = rollout_of()


def host_report(context, host_id, *, tallies=(), phase="canary", others=0):
    context.sequence += 1
    service = messages.ServiceReport(
        service="shard-0",
        number=7,
        phase=messages.Phase(phase),
        others_in_flight=others,
        answer_counts=tallies,
    )
    return messages.RolloutReport(
        host_id=host_id,
        run=context.host_run,
        sequence=context.sequence,
        services=(service,),
    )


def tallies_of(answers, bad):
    return (
        messages.AnswerCounts(route="r", upstream_id="u-1", answers=answers, bad=bad),
    )


@behave.when(
    "host {host_id:S} reports {answers:d} answers, {bad:d} of them bad, and the report "
    "arrives twice"
)
def when_reports_twice(context, host_id, answers, bad):
    report = host_report(context, host_id, tallies=tallies_of(answers, bad))
    assert context.pool.add(report, context.now)
    assert not context.pool.add(report, context.now)


@behave.when("host {host_id:S} reports {answers:d} answers, {bad:d} of them bad")
def when_reports(context, host_id, answers, bad):
    context.earlier_report = host_report(context, host_id, tallies=tallies_of(1, 0))
    report = host_report(context, host_id, tallies=tallies_of(answers, bad))
    context.pool.add(report, context.now)


@behave.when(
    "host {host_id:S} restarts and reports {answers:d} answers, {bad:d} of them bad"
)
def when_restarts(context, host_id, answers, bad):
    context.host_run = "run-2"
    context.sequence = 0
    when_reports(context, host_id, answers, bad)


@behave.when("an earlier report of host {host_id:S} arrives late")
def when_earlier_report(context, host_id):
    assert not context.pool.add(context.earlier_report, context.now)


@behave.then("the pool holds {answers:d} answers, {bad:d} of them bad")
def then_pooled(context, answers, bad):
    pooled = context.pool.verdict(context.rollout)
    assert (pooled.answers, pooled.bad) == (answers, bad), pooled


@behave.when(
    "host {host_id:S} confirms that it sends nothing there and has {others:d} requests "
    "there"
)
def when_confirms(context, host_id, others):
    report = host_report(context, host_id, phase="retiring", others=others)
    context.pool.add(report, context.now)


def unconfirmed(context):
    hosts = ("h-1", "h-2", "h-3")
    return context.pool.unconfirmed_hosts(context.rollout, hosts, context.now)


@behave.then("h-2 is unconfirmed, and h-3 that reported nothing")
def then_some_unconfirmed(context):
    assert unconfirmed(context) == ["h-2", "h-3"], unconfirmed(context)


@behave.when("2 seconds pass without a report")
def when_no_report(context):
    context.now += 2.0


@behave.then("all three are unconfirmed")
def then_all_unconfirmed(context):
    assert len(unconfirmed(context)) == 3, unconfirmed(context)


def started_rollout(context, number, *, seconds_ago):
    started_at = context.clock.now().timestamp() - seconds_ago
    return messages.Rollout(
        service=f"s-{number}",
        version="v2",
        duration_s=12.0,
        ordered_at=started_at,
        number=number,
    )


@behave.given(
    "a control host that read a rollout started {seconds:d} seconds ago from its log"
)
def given_read(context, seconds):
    context.clock = clock.ManualClock()
    context.times = rollout_controller.RolloutTimers(clock=context.clock)
    context.read_rollout = started_rollout(context, 1, seconds_ago=seconds)
    context.times.update([context.read_rollout])


@behave.then("it takes the rollout to be {seconds:d} seconds old")
def then_age(context, seconds):
    assert abs(context.times.seconds_since_order(context.read_rollout) - seconds) < 0.01


@behave.when("another rollout is started while it is up")
def when_another(context):
    context.clock.advance(20.0)
    context.new_rollout = started_rollout(context, 2, seconds_ago=7)
    context.times.update([context.read_rollout, context.new_rollout])


@behave.then("it takes that rollout to be 0 seconds old, whatever the wall clock says")
def then_new_age(context):
    assert context.times.seconds_since_order(context.new_rollout) < 0.01


@behave.given(
    "a rollout of 12 seconds in phase {phase:w}, {elapsed:g} seconds after its start"
)
def given_in_phase(context, phase, elapsed):
    context.rollout = rollout_of(phase=phase)
    context.view = phases.RolloutView(
        seconds_since_order=elapsed,
        seconds_in_phase=3.0,
        pooled_for=10.0,
        answers_in_phase=30,
        verdict=sequential_test.Verdict(answers=30),
        target_slots=8,
        other_slots=12,
        unconfirmed=0,
    )


def change_view(context, **changed):
    context.view = dataclasses.replace(context.view, **changed)


@behave.when("{count:d} answers are good")
def when_sound(context, count):
    change_view(context, verdict=sequential_test.Verdict(answers=count))


@behave.when("no upstream of the new version is ready")
def when_none_ready(context):
    change_view(context, target_slots=0)


@behave.when("all upstreams of the old version are gone")
def when_others_gone(context):
    change_view(context, other_slots=0)


@behave.when("the version is suspect")
def when_suspect(context):
    change_view(context, verdict=sequential_test.Verdict(answers=30, bad=4, ratio=5.0))


@behave.when("the version is bad")
def when_bad(context):
    judged = sequential_test.Verdict(answers=30, bad=12, ratio=15.0, is_bad=True)
    change_view(context, verdict=judged)


@behave.when("the leader has led for {seconds:g} seconds and knows {count:d} answers")
def when_new_leader(context, seconds, count):
    judged = sequential_test.Verdict(answers=count)
    change_view(context, pooled_for=seconds, verdict=judged)


@behave.when("it took the load for {seconds:g} seconds")
def when_took_load(context, seconds):
    change_view(context, seconds_in_phase=seconds)


@behave.when("a host has not confirmed for {seconds:g} seconds")
def when_not_confirmed(context, seconds):
    change_view(context, seconds_in_phase=seconds, unconfirmed=1)


@behave.when("all hosts have confirmed")
def when_all_confirmed(context):
    change_view(context, seconds_in_phase=0.3)


@behave.then("the phase stays")
def then_phase_stays(context):
    assert phases.next_transition(context.rollout, context.view) is None


@behave.then("the phase moves to {phase:w}")
def then_phase_changes(context, phase):
    step = phases.next_transition(context.rollout, context.view)
    assert step is not None and step.phase == phase, step


@behave.when("each upstream of the new version is ejected after 4 faults in a row")
def when_ejected(context):
    now = context.tier.clock.monotonic()
    for upstream in context.tier.router.fleet.upstreams_by_id.values():
        if upstream.entry.version == "v2":
            for _ in range(4):
                upstream.record_fault(now)
            assert upstream.was_ejected
