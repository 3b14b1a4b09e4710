"""Steps about experiments in simulated time."""

import dataclasses
import os
import pathlib
import subprocess
import sys
import tomllib
from unittest import mock

import behave
import hypothesis
import msgspec
from click import testing
from hypothesis import strategies

from greengagehaven import cli, exceptions
from greengagehaven.coordination.routing import (
    events,
    extra_attempt_budget,
    mechanisms,
    refusals,
    router,
)
from greengagehaven.experiment import (
    checks,
    drawing,
    environment,
    event_loop,
    host,
    report,
    running,
    simulation,
    upstreams,
)

SERVICE = environment.Service(name="s", slots=1, queue=18)


def make_upstream(loop, service=SERVICE):
    return upstreams.Upstream(
        id="s-0-u0",
        service=service,
        zone="a",
        speed=1.0,
        pause_phase=0.0,
        loop=loop,
        draw=lambda: 1.0,
    )


@behave.given("a simulated upstream of 1 slot and a queue of 18 for work of 10 ms")
def given_one_slot(context):
    context.loop = event_loop.Loop()
    context.upstream = make_upstream(context.loop)


@behave.when("{count:d} jobs arrive at once")
def when_jobs(context, count):
    context.ended = []

    def on_end(outcome):
        context.ended.append((round(context.loop.time * 1000), outcome.status))

    for _ in range(count):
        context.upstream.submit(upstreams.Job(work=0.01, on_end=on_end))
    context.loop.run_until(10.0)


@behave.then("19 end 10 ms apart from 10 ms on, and 1 is rejected")
def then_ended(context):
    assert context.ended[0] == (0, 503), context.ended
    assert context.ended[1:] == [(10 * (n + 1), 200) for n in range(19)], context.ended


@behave.given("a simulated upstream that pauses for 100 ms each 1000 ms from its start")
def given_pausing(context):
    service = environment.Service(name="s", pause_ms=100.0, pause_every_s=1.0)
    context.upstream = make_upstream(event_loop.Loop(), service)


@behave.then("work of {work:d} ms that begins at {start:d} ms ends at {end:d} ms")
def then_work_ends(context, work, start, end):
    ended = context.upstream.completion_time(start / 1000, work / 1000)
    assert abs(ended - end / 1000) < 1e-9, ended


@behave.given("events at arbitrary times")
def given_arbitrary_times(context):
    context.moments = strategies.lists(
        strategies.floats(0, 10, allow_nan=False), max_size=30
    )


@behave.then("they are called in the order of their times, then of their scheduling")
def then_in_order(context):
    @hypothesis.settings(
        database=None, derandomize=True, max_examples=200, deadline=None
    )
    @hypothesis.given(context.moments)
    def check(moments):
        loop = event_loop.Loop()
        called = []
        for number, moment in enumerate(moments):
            loop.call_at(moment, lambda *pair: called.append(pair), moment, number)
        loop.run_until(20.0)
        assert called == sorted(zip(moments, range(len(moments)), strict=True))

    check()


@behave.given("the environment {name:w}")
def given_environment(context, name):
    context.declared = environment.load(pathlib.Path(name))
    context.patches = []


@behave.given("the grown environment of {place:w}")
def given_grown(context, place):
    given_environment(context, f"{place}-grown")


@behave.given("the environment that is generated from seed {seed:d}")
def given_drawn(context, seed):
    context.declared = environment.read(tomllib.loads(drawing.draw(seed)))
    context.patches = []


@behave.given("an environment of two zones whose second has no upstreams")
def given_two_zones(context):
    context.declared = environment.read(
        {
            "name": "two",
            "zones": ["a", "b"],
            "hosts_by_zone": {"a": 1, "b": 1},
            "per_s_by_zone": {"a": 20.0, "b": 20.0},
            "services": [{"name": "s", "shards": 3, "replicas": 1, "slots": 8}],
            "kinds": [
                {
                    "name": "sweep",
                    "service": "s",
                    "is_sweep": True,
                    "deadline_ms": 400.0,
                    "attempts": 1,
                    "returns": 0,
                }
            ],
            "days": [
                {
                    "name": "cut",
                    "seconds": 10.0,
                    "troubles": [
                        {"kind": "zone_cut", "at": 3.0, "for_s": 4.0, "zone": "b"}
                    ],
                }
            ],
        }
    )


def make_world(context, day, seed, without=""):
    return simulation.Simulation(
        declared=context.declared,
        day=context.declared.day(day),
        seed=seed,
        enabled_mechanisms=mechanisms.all_except(without),
    )


@behave.when(
    "its day is played in which the second zone is cut off for {seconds:d} seconds"
)
def when_zone_cut(context, seconds):
    context.world = make_world(context, "cut", 1, "sending_away")
    for each in context.world.upstreams_by_id.values():
        each.zone = "a"
    context.world.run()


@behave.then("only callers of the second zone are refused, and only in those seconds")
def then_only_second(context):
    failed = [each for each in context.world.callers if each.earned < 1.0]
    assert {each.zone for each in failed} == {"b"}, failed
    sent_times = [each.sent_at - simulation.WARMUP_S for each in failed]
    # A caller that is cut off while its answer is in transit started slightly earlier;
    # a probe detects within half a second that the zone is reachable again.
    assert min(sent_times) > 2.9 and max(sent_times) < 7.6, (
        min(sent_times),
        max(sent_times),
    )
    during = [
        each
        for each in context.world.callers
        if each.zone == "b" and 3.0 < each.sent_at - simulation.WARMUP_S < 6.9
    ]
    assert all(each.earned < 1.0 for each in during)


@behave.when("its {day} day is played twice with seed {seed:d}")
def when_twice(context, day, seed):
    context.day = context.declared.day(day)
    context.results = [make_world(context, day, seed).run() for _ in range(2)]


@behave.then("both results are the same bytes")
def then_same(context):
    first, second = map(msgspec.json.encode, context.results)
    assert first == second


@behave.when("its {day} day is played in {count:d} processes that hash differently")
def when_played_in_processes(context, day, count):
    program = str(pathlib.Path(sys.executable).parent / "greengagehaven")
    command = [program, "experiment", "run", "small", "--day", day]
    command += ["--seeds", "1", "--json"]
    context.results = [
        subprocess.run(
            command,
            capture_output=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": str(number + 1)},
        ).stdout
        for number in range(count)
    ]


@behave.then("all results are the same bytes")
def then_all_same(context):
    assert len(context.results[0]) > 0
    assert len(set(context.results)) == 1, context.results


@behave.when("its {day} day is played with and without {mechanism}")
def when_with_and_without(context, day, mechanism):
    context.worlds = [make_world(context, day, 1, name) for name in ("", mechanism)]
    for each in context.worlds:
        each.run()


@behave.then("the callers' kinds, zones and times are the same")
def then_same_callers(context):
    first, second = (
        [(each.kind.name, each.zone, each.sent_at) for each in played.callers]
        for played in context.worlds
    )
    assert first == second


@behave.given("a faulty router that {fault}")
def given_faulty_router(context, fault):
    context.patches = [
        mock.patch.object(*patched) for patched in FAULTS_BY_TEXT[fault]()
    ]


def ignore_budget():
    return [
        (extra_attempt_budget.ExtraAttemptBudget, "try_spend", lambda *_, **__: True)
    ]


def send_to_all():
    return [(router.Router, "_on_arrived", make_sending_to_more("/sweep/"))]


def send_orders_to_all():
    return [(router.Router, "_on_arrived", make_sending_to_more("/order/"))]


def make_sending_to_more(prefix):
    """Return a router method that sends requests under a path to two more upstreams."""
    original = router.Router._on_arrived

    def on_arrived(self, arrived, actions):
        original(self, arrived, actions)
        if not arrived.path.startswith(prefix):
            return
        for send in [each for each in actions if isinstance(each, events.Send)]:
            service = send.upstream_id.rpartition("-")[0]
            for number in range(2):
                other = f"{service}-u{number}"
                actions.append(
                    msgspec.structs.replace(
                        send,
                        attempt=send.attempt * 10 + 10**9 + number,
                        upstream_id=other,
                        address=other,
                    )
                )

    return on_arrived


def report_false_coverage():
    original = host.Host._carry_out

    def carry_out(self, action):
        if isinstance(action, events.AnswerParts):
            action = dataclasses.replace(action, missing=action.missing + 1)
        original(self, action)

    return [(host.Host, "_carry_out", carry_out)]


def answer_twice():
    original = host.Host._carry_out

    def carry_out(self, action):
        original(self, action)
        if isinstance(action, events.AnswerParts):
            original(self, action)

    return [(host.Host, "_carry_out", carry_out)]


def refuse_after_run():
    def refuse(self, routed):
        return exceptions.IncompleteError("as if nothing had run", retry_after=0.1)

    return [
        (refusals.Refusals, "failure_error", refuse),
        (refusals.Refusals, "timeout_error", refuse),
    ]


FAULTS_BY_TEXT = {
    "ignores its budget": ignore_budget,
    "sends to all upstreams": send_to_all,
    "sends orders to all upstreams": send_orders_to_all,
    "reports a false coverage": report_false_coverage,
    "answers twice": answer_twice,
    "refuses what has run": refuse_after_run,
}


@behave.when("its {day} day is played with seed {seed:d}")
def when_played(context, day, seed):
    for patch in context.patches:
        patch.start()
    try:
        context.result = make_world(context, day, seed).run()
        context.error = None
    except checks.PromiseBrokenError as error:
        context.error = error
    finally:
        for patch in context.patches:
            patch.stop()


@behave.then("the run stops and reports {message} and the seed")
def then_reported(context, message):
    assert context.error is not None, "no invariant violation was detected"
    assert message in context.error.detail, context.error.detail
    assert "seed 1" in context.error.detail, context.error.detail


@behave.given(
    "an environment with an unknown field, an impossible share and an unknown zone"
)
def given_errors(context):
    text = (environment.SHIPPED_FOLDER / "small.toml").read_text()
    text = text.replace("way_ms = 1.0\n", "way_ms = 1.0\ncolour = 3\n", 1)
    text = text.replace("least_coverage = 0.8", "least_coverage = 8.0")
    context.declared_text = text.replace("c = 10.0", "x = 10.0")


@behave.then("reading it reports all three with their locations")
def then_all_errors_reported(context):
    seen = []
    for text in (
        context.declared_text,
        context.declared_text.replace("colour = 3", ""),
    ):
        try:
            environment.read(tomllib.loads(text))
        except environment.InvalidEnvironmentError as error:
            seen += error.mistakes
    reported = "\n".join(seen)
    assert "environment.colour: unknown field" in reported, reported
    assert "kinds[0].least_coverage: expected a share up to 1" in reported, reported
    assert "per_s_by_zone.x: unknown zone" in reported, reported


@behave.then("callers got more than {share:g} of their worth")
def then_earned(context, share):
    assert context.error is None, context.error
    assert context.result.earned > share, context.result.earned


@behave.when("its {day} day is played with 2 seeds with and without {mechanism}")
def when_paired(context, day, mechanism):
    earned = {
        name: [make_world(context, day, seed, name).run().earned for seed in (1, 2)]
        for name in ("", mechanism)
    }
    context.gains = [
        with_it - without
        for with_it, without in zip(earned[""], earned[mechanism], strict=True)
    ]


@behave.then("callers got at least {gain:g} more of their worth with it")
def then_gained(context, gain):
    assert sum(context.gains) / len(context.gains) >= gain, context.gains


@behave.when("the experiment command {words} is given")
def when_command(context, words):
    context.command_result = testing.CliRunner().invoke(
        cli.greengagehaven, ["experiment", *words.split()]
    )


@behave.then("it prints one result of the calm day as JSON")
def then_result(context):
    (result,) = msgspec.json.decode(context.command_result.stdout)
    assert result["day"] == "calm" and result["callers"] > 300, result


@behave.then("it prints one difference as JSON")
def then_difference(context):
    difference = msgspec.json.decode(context.command_result.stdout)[0]
    assert difference["seeds"] == 2, difference
    assert difference["low"] <= difference["mean"] <= difference["high"], difference


@behave.then("it fails with {code}")
def then_fails(context, code):
    assert context.command_result.exit_code == 1, context.command_result.output
    assert code in context.command_result.output, context.command_result.output


@behave.then("its output is a valid environment")
def then_environment(context):
    declared = environment.read(tomllib.loads(context.command_result.stdout))
    assert declared.name == "drawn-5"


@behave.when("a report is rendered from each")
def when_report(context):
    differences = [running.compare("same", context.results, context.results)]
    context.reports = [
        report.render([each], differences, context.day) for each in context.results
    ]


@behave.then("both reports are the same, contain two plots and load nothing external")
def then_reports_equal(context):
    first, second = context.reports
    assert first == second
    assert first.count("data:image/png;base64,") == 2
    assert "http" not in first.replace("data:image", "")
