"""Steps about the fault soak."""

import asyncio
import pathlib
import tempfile

import behave

from greengagehaven import client, exceptions
from greengagehaven.protocol import search
from greengagehaven.soak import fault_proxy, invariants, runner, schedule
from greengagehaven.standin import register, upstream

SERVICES = ("credits-0", "credits-1")
SNAPSHOT = 42
LOOK_S = 0.5


@behave.given(
    "a soak of the small size with seed {seed:d} in which faults begin for "
    "{seconds:d} seconds"
)
def given_soak(context, seed, seconds):
    context.schedule = schedule.draw(seed, seconds=seconds, entries=2, upstreams=6)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    context.plant = ""


@behave.given("upstreams that answer from an older snapshot than they say")
def given_stale(context):
    context.plant = "stale_rows"


@behave.when("it is played")
def when_played(context):
    played = runner.Runner(
        fault_schedule=context.schedule,
        folder=context.folder,
        planted_bug=context.plant,
    )
    context.verdict = asyncio.run(played.run())


@behave.then("callers were answered and no promise was broken")
def then_sound(context):
    assert context.verdict.counts["answers"] > 0, context.verdict
    assert context.verdict.counts["orders"] > 0, context.verdict
    assert not context.verdict.broken, context.verdict.broken


@behave.then("its folder holds the schedule, the verdict and the log of every process")
def then_folder(context):
    names = {path.name for path in context.folder.iterdir()}
    logs = {f"{host}.log" for host in (*schedule.CONTROLS, "e1", "e2")}
    assert names >= {"schedule.json", "verdict.json", *logs}, names


@behave.then("the promise of {promise} was broken")
def then_broken(context, promise):
    assert promise in {each.promise for each in context.verdict.broken}


@behave.given("a judge of sweeps over two services")
def given_judge(context):
    context.tally = upstream.Tally()
    context.judge = invariants.InvariantChecker(shard_count=1, tally=context.tally)


def make_answer(*, rows_from=SNAPSHOT, services=SERVICES, missing=(), drop=0):
    results = [
        client.Row(service=service, shard=0, row=row)
        for service in services
        for row in register.search(register.credits_of(service, 0, 1), {}, rows_from)
    ]
    coverage = search.Coverage(
        answered=2 - len(missing),
        total=2,
        complete=not missing,
        missing=tuple(
            search.MissingShard(
                service=service, shard=0, reason=search.MissingReason.TIMEOUT
            )
            for service in missing
        ),
    )
    return client.Answer(
        request_id="r",
        snapshot=SNAPSHOT,
        results=tuple(results[: len(results) - drop]),
        coverage=coverage,
    )


ANSWERS = {
    "a whole answer": {},
    "an answer without a row": {"drop": 1},
    "an answer with rows of another snapshot": {"rows_from": SNAPSHOT - 1},
    "an answer that lacks a service and says so": {
        "services": SERVICES[:1],
        "missing": SERVICES[1:],
    },
}


@behave.when("it sees {what}")
def when_sees(context, what):
    if what in ANSWERS:
        context.judge.check_answer(make_answer(**ANSWERS[what]), SERVICES)
    else:
        SIGHTS[what](context)
    context.judge.check_orders()


def unsaid(context):
    told = make_answer(services=SERVICES[:1], missing=SERVICES[1:])
    coverage = search.Coverage(
        answered=1, total=2, complete=True, missing=told.coverage.missing
    )
    answer = client.Answer(
        request_id="r", snapshot=SNAPSHOT, results=told.results, coverage=coverage
    )
    context.judge.check_answer(answer, SERVICES)


def run_twice(context):
    for _ in range(2):
        context.tally.count_billed_run(("order", "credits-0", "0"))


def refused_though_run(context):
    context.tally.count_billed_run(("order", "credits-0", "0"))
    refusal = exceptions.IncompleteError("not run", retry_after=1.0)
    context.judge.record_order("order", refusal)


def after_drain(context):
    context.tally.violations_by_name["work_after_drain"] += 1


def older(context):
    context.judge.record_acknowledged(5)
    context.judge.check_revision(4)


SIGHTS = {
    "an answer that lacks a service unsaid": unsaid,
    "an order that ran twice": run_twice,
    "an order that ran and was refused as not run": refused_though_run,
    "work after an upstream had left": after_drain,
    "an older revision than was accepted": older,
}


@behave.then("it names {promise}")
def then_names(context, promise):
    named = {each.promise for each in context.judge.violations}
    assert named == (set() if promise == "nothing" else {promise}), named


@behave.given("the schedules of {count:d} seeds")
def given_schedules(context, count):
    context.draw = lambda seed: schedule.draw(
        seed, seconds=60.0, entries=3, upstreams=9
    )
    context.schedules = [context.draw(seed) for seed in range(count)]


@behave.then("each is the same when it is drawn again")
def then_same(context):
    for seed, drawn in enumerate(context.schedules):
        assert context.draw(seed) == drawn
    assert len(set(context.schedules)) == len(context.schedules)


@behave.then(
    "no two control hosts are struck within the time that one needs to be back"
)
def then_one_control(context):
    for drawn in context.schedules:
        struck = [each for each in drawn.faults if each.target in schedule.CONTROLS]
        for first, second in zip(struck, struck[1:], strict=False):
            assert second.at >= first.at + first.for_s + schedule.CATCH_UP_S - 0.02


@behave.then("no entry host is stopped, killed or paused while it stops or starts")
def then_left_alone(context):
    life = (
        schedule.FaultKind.KILL_ENTRY,
        schedule.FaultKind.PAUSE_ENTRY,
        schedule.FaultKind.STOP_ENTRY,
    )
    for drawn in context.schedules:
        ends = {}
        for each in drawn.faults:
            if each.kind in life:
                assert each.at >= ends.get(each.target, 0.0) - 0.02, (drawn.seed, each)
                ends[each.target] = each.at + each.for_s + schedule.RESTART_S


@behave.given("a link to a service that echoes")
def given_link(context):
    context.harm = None


HARMS = {
    "passes": fault_proxy.Impairment.NONE,
    "delays": fault_proxy.Impairment.DELAY,
    "cuts": fault_proxy.Impairment.CUT,
    "mutes": fault_proxy.Impairment.MUTE,
    "resets": fault_proxy.Impairment.RESET,
}


@behave.when("the link {harm:w}")
def when_link(context, harm):
    context.harm = HARMS[harm]


@behave.then("a caller's word {what}")
def then_word(context, what):
    context.heard = []
    seen = asyncio.run(send_word(context))
    heard = bool(context.heard)
    expected = {
        "comes back": ("back", True),
        "comes back late": ("back", True),
        "never comes back": ("nothing", False),
        "is heard but not answered": ("nothing", True),
        "ends with a reset": ("ended", False),
    }[what]
    assert (seen, heard) == expected, (seen, heard)


async def send_word(context):
    async def echo(reader, writer):
        data = await reader.read(100)
        if not data:
            return
        context.heard.append(data)
        writer.write(data)
        await writer.drain()
        await reader.read(1)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    link = fault_proxy.FaultProxy(target=server.sockets[0].getsockname()[:2])
    address, port = (await link.start()).split(":")
    link.set_impairment(context.harm)
    try:
        reader, writer = await asyncio.open_connection(address, int(port))
        writer.write(b"word")
        async with asyncio.timeout(LOOK_S):
            data = await reader.read(100)
        return "back" if data == b"word" else "ended"
    except TimeoutError:
        return "nothing"
    except OSError:
        return "ended"
    finally:
        await link.close()
        server.close()
