"""Steps about roll-outs of software versions."""

import asyncio
import dataclasses
import datetime
import json

import behave

from fakes import leafs, rollouts, routing
from greengagehaven import clock
from greengagehaven.coordination import proposals
from greengagehaven.coordination.rollouts import phases, pooling, verdict
from greengagehaven.coordination.routing import events
from greengagehaven.daemons import rollout_controller
from greengagehaven.platform import names
from greengagehaven.protocol import rollouts as messages
from greengagehaven.state import changes, configuration

DURATION = datetime.timedelta(seconds=12)
SOFTWARE = {
    "fails half of its answers": {"software": rollouts.Software(fails=0.5)},
    "is four times slower": {"software": rollouts.Software(slows=4.0)},
    "turns bad after 3 seconds": {"software": rollouts.Software(fails=0.5, after=3.0)},
    "is bad on one route": {"software": rollouts.Software(fails=0.6, route="narrow")},
    "fails under load": {"software": rollouts.Software(fails=0.5, above=6.0)},
    "is as good as the old one": {"software": rollouts.Software()},
    "has one upstream that is slow": {
        "software": rollouts.Software(),
        "slow_upstream": True,
    },
    "is as noisy as the old one": {"software": rollouts.Software(), "noisy": True},
    "a tenth of the hosts hear nothing of": {
        "software": rollouts.Software(),
        "cut_off": 0.1,
    },
}


@behave.given("the log's state machine with services")
def given_machine(context):
    context.clock = clock.ManualClock()
    context.machine = changes.ChangeMachine()
    context.writer = proposals.ChangeWriter(
        environment="test",
        signer=None,
        verifier=None,
        clock=context.clock,
        service_names=lambda _: frozenset({"shard-0"}),
    )
    context.change_count = 0


def decide(context, change):
    entry = context.writer.write(change, context.machine, ())
    context.revision_before = context.machine.state.revision
    context.record = context.machine.apply(changes.encode(entry))


def next_change_id(context):
    context.change_count += 1
    return f"c-{context.change_count}"


@behave.when("{service} is ordered to {version:w}")
def when_ordered(context, service, version):
    change = configuration.RolloutChange(
        change_id=next_change_id(context),
        author="operator",
        service=service,
        version=version,
        duration=DURATION,
    )
    decide(context, change)


@behave.when("{service} is ordered to {version:w} {seconds:d} second later")
@behave.when("{service} is ordered to {version:w} {seconds:d} seconds later")
def when_ordered_later(context, service, version, seconds):
    context.clock.advance(seconds)
    when_ordered(context, service, version)


def only_rollout(context):
    (rollout,) = context.machine.state.rollouts
    return rollout


@behave.when("its roll-out goes on to {phase:w}")
def when_goes_on(context, phase):
    change = configuration.RolloutStep(
        change_id=next_change_id(context),
        author="rollout",
        service="shard-0",
        number=only_rollout(context).number,
        phase=messages.Phase(phase),
    )
    decide(context, change)


@behave.when("it is restored from its snapshot")
def when_restored(context):
    data = context.machine.capture()
    context.machine = changes.ChangeMachine()
    context.machine.restore(data)


@behave.then("its roll-out is in phase {phase:w}")
def then_phase(context, phase):
    assert only_rollout(context).phase == phase, only_rollout(context)


@behave.then("the order is accepted and nothing has changed")
def then_accepted(context):
    assert context.record.accepted, context.record
    assert context.machine.state.revision == context.revision_before


@behave.then("the order is refused as {code:w}")
def then_order_refused(context, code):
    assert context.record.code == code, context.record


@behave.then("the step is refused")
def then_step_refused(context):
    assert not context.record.accepted, context.record


@behave.given(
    "a roll-out of a version that {what} at {hosts:d} hosts, {rate:d} requests a second"
)
def given_rollout(context, what, hosts, rate):
    context.play_fields = {**SOFTWARE[what], "hosts": hosts, "rate": float(rate)}


@behave.when("it is played with {count:d} seeds")
def when_played(context, count):
    context.plays = [
        rollouts.Play(seed=seed, **context.play_fields) for seed in range(count)
    ]
    context.outcomes = [play.run() for play in context.plays]


@behave.then("it is rolled back each time")
def then_rolled_back(context):
    phases = {str(outcome.phase) for outcome in context.outcomes}
    assert phases == {"rolled_back"}, phases


@behave.then("it gets more requests than allowed in none of them")
def then_exposure(context):
    for play, outcome in zip(context.plays, context.outcomes, strict=True):
        assert outcome.exposed <= outcome.allowed(play.bound), outcome


@behave.then("none later than 5 seconds after its 50th bad answer")
def then_none_late(context):
    assert not any(outcome.after_verdict for outcome in context.outcomes)


@behave.then("it is done each time, within {percent:d} in 100 of its time")
def then_done(context, percent):
    for play, outcome in zip(context.plays, context.outcomes, strict=True):
        assert outcome.phase is messages.Phase.DONE, outcome
        assert outcome.ended_at <= percent / 100 * play.rollout.duration_s, outcome


@behave.then("no request of a host in contact is at an old upstream then")
def then_none_stopped(context):
    for outcome in context.outcomes:
        assert not outcome.cut_off_by_stop, outcome


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
    context.tier = routing.RoutingTier(ratio=1.0, burst=1000.0)
    context.tier.put_table(routing.table(1, routing.sweep_route(["shard-0"])))
    for incarnation, version in enumerate(("v1", "v2"), start=1):
        context.tier.put(
            *(
                routing.entry(
                    f"{version}-{number}",
                    "shard-0",
                    incarnation=incarnation,
                    version=version,
                )
                for number in range(3)
            )
        )


@behave.given("an entry host that knows 3 upstreams of v1 and 3 of v2 and no roll-out")
def given_no_rollout(context):
    put_versions(context)


@behave.given("an entry host that knows of a roll-out in phase {phase:w}")
def given_phase(context, phase):
    put_versions(context)
    rollout = rollout_of(number=1, phase=phase)
    context.tier.step(events.RolloutsChanged(rollouts=(rollout,)))


@behave.when("control hosts do not take its reports")
def when_unheard(context):
    context.tier.step(events.RolloutReportsAcknowledged(is_acknowledged=False))


def leave(context, version, count):
    for number in range(count):
        incarnation = int(version[1:])
        entry = routing.entry(
            f"{version}-{number}", "shard-0", incarnation=incarnation, version=version
        )
        context.tier.put(entry.as_gone())


@behave.when("2 upstreams of v1 leave")
def when_two_leave(context):
    leave(context, "v1", 2)


@behave.when("the upstreams of v2 leave")
def when_all_leave(context):
    leave(context, "v2", 3)


@behave.then("{some:w} of its next {count:d} requests go to the new version")
def then_go(context, some, count):
    sends = []
    for _ in range(count):
        number = context.tier.request("/sweep/1")
        (send,) = context.tier.attempts_of(number)
        context.tier.pass_time(0.01)
        context.tier.reply(send)
        sends.append(send.upstream_id.startswith("v2"))
    share = sum(sends) / count
    bounds = {"none": (0.0, 0.0), "some": (0.01, 0.99), "all": (1.0, 1.0)}
    least, most = bounds[some]
    assert least <= share <= most, share


@behave.then("none of them is refused")
def then_none_refused(context):
    endings = context.tier.endings_by_number.values()
    assert not any(isinstance(ending, events.Refuse) for ending in endings)


def play(context, coroutine):
    return context.runner_loop.run_until_complete(coroutine)


@behave.when("two leafs of version {version:w} start beside those of the first shard")
def when_started(context, version):
    play(context, context.platform.add_version(leafs.SHARDS[0], version))


@behave.when(
    "two leafs of version {version:w} that fail start beside those of the first shard"
)
def when_failing_started(context, version):
    play(context, context.platform.add_version(leafs.SHARDS[0], version, fails=True))


def order_body(**changed):
    order = {"backend": leafs.SHARDS[0], "targetVersion": "v2", "durationS": 6}
    return json.dumps({**order, **changed}).encode()


def post_order(context, body):
    path = names.ROLLOUT_PATH.rstrip("/")
    return context.platform.call(context.platform.doors[1], "POST", path, body)


@behave.when(
    "the operator orders the first shard to {version:w} within {seconds:d} seconds"
)
def when_operator_orders(context, version, seconds):
    body = order_body(targetVersion=version, durationS=seconds)
    reply = play(context, post_order(context, body))
    assert reply.status == 200, reply


async def state_at(context, door):
    path = names.ROLLOUT_PATH + leafs.SHARDS[0]
    reply = await context.platform.call(door, "GET", path, b"")
    assert reply.status == 200, reply
    return json.loads(reply.body)


@behave.then("the state of its roll-out is {state:w}, at every control host")
def then_state_everywhere(context, state):
    for door in context.platform.doors:
        found = play(context, state_at(context, door))
        assert found == {"state": state, "targetVersion": "v2"}, found


@behave.then("a second order to v3 is answered 409")
def then_conflict(context):
    reply = play(context, post_order(context, order_body(targetVersion="v3")))
    assert reply.status == 409, reply


@behave.then(
    "orders without a target, of an unknown service and of no duration are answered 400"
)
def then_bad_orders(context):
    for changed in (
        {"targetVersion": ""},
        {"backend": "nobody"},
        {"durationS": 0},
        {"durationS": "soon"},
    ):
        reply = play(context, post_order(context, order_body(**changed)))
        assert reply.status == 400, (changed, reply)


@behave.then("sweeps are answered until its state is {state:w}")
def then_swept_until(context, state):
    async def ask():
        reply = await context.platform.sweep()
        assert reply.status == 200, reply
        await asyncio.sleep(0.01)
        found = await state_at(context, context.platform.doors[2])
        assert found["state"] in ("running", state), found
        return found["state"] == state

    play(context, context.platform.until(ask))


@behave.then("no further sweep reaches its {which:w} leafs")
def then_none_reached(context, which):
    version = {"old": "v1", "new": "v2"}[which]
    concerned = [
        leaf
        for leaf in context.platform.leafs
        if leaf.shard == leafs.SHARDS[0] and leaf.version == version
    ]

    async def settle():
        await asyncio.sleep(0.3)

    play(context, settle())
    before = [leaf.served for leaf in concerned]
    for _ in range(20):
        assert play(context, context.platform.sweep()).status == 200
    assert [leaf.served for leaf in concerned] == before


@behave.when("{count:d} requests that go to the new version fail there")
def when_fail_there(context, count):
    context.again = []
    while len(context.again) < count:
        number = context.tier.request("/sweep/1")
        (send,) = context.tier.attempts_of(number)
        context.tier.pass_time(0.01)
        if send.upstream_id.startswith("v1"):
            context.tier.reply(send)
            continue
        # Fresh tallies: this host would stop using the version by itself.
        context.tier.step(events.RolloutsChanged(rollouts=()))
        given_rollout_again(context)
        context.tier.reply(send, status=500)
        context.again.append(context.tier.attempts_of(number)[-1].upstream_id)


def given_rollout_again(context):
    context.rollout_number = getattr(context, "rollout_number", 1) + 1
    rollout = rollout_of(number=context.rollout_number)
    context.tier.step(events.RolloutsChanged(rollouts=(rollout,)))


@behave.then("each of them is asked again at the old one")
def then_asked_old(context):
    assert all(upstream_id.startswith("v1") for upstream_id in context.again)


@behave.given("the reports of a roll-out")
def given_reports(context):
    context.pool = pooling.ReportPool()
    context.now = 100.0
    context.sequence = 0
    context.run_name = "run-1"
    context.rollout = rollout_of()


def host_report(context, host_id, *, tallies=(), phase="canary", others=0):
    context.sequence += 1
    service = messages.ServiceReport(
        service="shard-0",
        number=7,
        phase=messages.Phase(phase),
        others_in_flight=others,
        tallies=tallies,
    )
    return messages.HostReport(
        host_id=host_id,
        run=context.run_name,
        sequence=context.sequence,
        services=(service,),
    )


def tallies_of(answers, bad):
    return (messages.Tally(route="r", upstream_id="u-1", answers=answers, bad=bad),)


@behave.when(
    "host {host_id:S} reports {answers:d} answers, {bad:d} of them bad, and the report "
    "comes twice"
)
def when_reports_twice(context, host_id, answers, bad):
    report = host_report(context, host_id, tallies=tallies_of(answers, bad))
    assert context.pool.add(report, context.now)
    assert not context.pool.add(report, context.now)


@behave.when("host {host_id:S} reports {answers:d} answers, {bad:d} of them bad")
def when_reports(context, host_id, answers, bad):
    context.previous = host_report(context, host_id, tallies=tallies_of(1, 0))
    report = host_report(context, host_id, tallies=tallies_of(answers, bad))
    context.pool.add(report, context.now)


@behave.when(
    "host {host_id:S} restarts and reports {answers:d} answers, {bad:d} of them bad"
)
def when_restarts(context, host_id, answers, bad):
    context.run_name = "run-2"
    context.sequence = 0
    when_reports(context, host_id, answers, bad)


@behave.when("a report of host {host_id:S} of before comes late")
def when_late(context, host_id):
    assert not context.pool.add(context.previous, context.now)


@behave.then("the leader knows of {answers:d} answers, {bad:d} of them bad")
def then_knows(context, answers, bad):
    judged = context.pool.judge(context.rollout)
    assert (judged.answers, judged.bad) == (answers, bad), judged


@behave.when(
    "host {host_id:S} says that it sends nothing there and has {others:d} requests "
    "there"
)
def when_confirms(context, host_id, others):
    report = host_report(context, host_id, phase="retiring", others=others)
    context.pool.add(report, context.now)


def unconfirmed(context):
    hosts = ("h-1", "h-2", "h-3")
    return context.pool.unconfirmed(context.rollout, hosts, context.now)


@behave.then("h-2 is waited for, and h-3 that said nothing")
def then_waited_for(context):
    assert unconfirmed(context) == ["h-2", "h-3"], unconfirmed(context)


@behave.when("2 seconds pass without a report")
def when_no_report(context):
    context.now += 2.0


@behave.then("all three are waited for")
def then_all_waited_for(context):
    assert len(unconfirmed(context)) == 3, unconfirmed(context)


def ordered(context, number, *, seconds_ago):
    at = context.clock.now().timestamp() - seconds_ago
    return messages.Rollout(
        service=f"s-{number}",
        version="v2",
        duration_s=12.0,
        ordered_at=at,
        number=number,
    )


@behave.given(
    "a control host that found an order of {seconds:d} seconds before in its log"
)
def given_found(context, seconds):
    context.clock = clock.ManualClock()
    context.times = rollout_controller.RolloutTimes(clock=context.clock)
    context.found = ordered(context, 1, seconds_ago=seconds)
    context.times.retain([context.found])


@behave.then("the order is {seconds:d} seconds old for it")
def then_old(context, seconds):
    assert abs(context.times.elapsed(context.found) - seconds) < 0.01


@behave.when("another order comes while it is up")
def when_another(context):
    context.clock.advance(20.0)
    context.another = ordered(context, 2, seconds_ago=7)
    context.times.retain([context.found, context.another])


@behave.then("that order is 0 seconds old for it, whatever the wall clock says")
def then_new(context):
    assert context.times.elapsed(context.another) < 0.01


@behave.given(
    "a roll-out of 12 seconds in phase {phase:w}, {elapsed:g} seconds after the order"
)
def given_in_phase(context, phase, elapsed):
    context.rollout = rollout_of(phase=phase)
    context.view = phases.View(
        elapsed=elapsed,
        in_phase=3.0,
        pooled_for=10.0,
        answers_in_phase=30,
        judged=verdict.Verdict(answers=30),
        target_slots=8,
        other_slots=12,
        unconfirmed=0,
    )


def change_view(context, **changed):
    context.view = dataclasses.replace(context.view, **changed)


@behave.when("{count:d} answers are sound")
def when_sound(context, count):
    change_view(context, judged=verdict.Verdict(answers=count))


@behave.when("no upstream of the new version is ready")
def when_none_ready(context):
    change_view(context, target_slots=0)


@behave.when("the others are all gone")
def when_others_gone(context):
    change_view(context, other_slots=0)


@behave.when("the version is suspect")
def when_suspect(context):
    change_view(context, judged=verdict.Verdict(answers=30, bad=4, ratio=5.0))


@behave.when("the version is bad")
def when_bad(context):
    judged = verdict.Verdict(answers=30, bad=12, ratio=15.0, is_bad=True)
    change_view(context, judged=judged)


@behave.when(
    "the leader has led for {seconds:g} seconds and knows of {count:d} answers"
)
def when_new_leader(context, seconds, count):
    judged = verdict.Verdict(answers=count)
    change_view(context, pooled_for=seconds, judged=judged)


@behave.when("it bore the load for {seconds:g} seconds")
def when_bore(context, seconds):
    change_view(context, in_phase=seconds)


@behave.when("a host has not confirmed for {seconds:g} seconds")
def when_not_confirmed(context, seconds):
    change_view(context, in_phase=seconds, unconfirmed=1)


@behave.when("all hosts have confirmed")
def when_all_confirmed(context):
    change_view(context, in_phase=0.3)


@behave.then("it stays")
def then_stays(context):
    assert phases.next_step(context.rollout, context.view) is None


@behave.then("it goes on to {phase:w}")
def then_goes_on(context, phase):
    step = phases.next_step(context.rollout, context.view)
    assert step is not None and step.phase == phase, step


@behave.when("each upstream of the new version fails twice in a row")
def when_ejected(context):
    now = context.tier.clock.monotonic()
    for upstream in context.tier.router.fleet.upstreams_by_id.values():
        if upstream.entry.version == "v2":
            for _ in range(4):
                upstream.record_fault(now)
            assert upstream.was_ejected
