"""Steps for the soak test with fault injection."""

import asyncio
import os
import pathlib
import re
import shutil
import tempfile

import behave
import msgspec

from greengagehaven import client, exceptions
from greengagehaven.protocol import search
from greengagehaven.soak import callers, fault_proxy, invariants, runner, schedule
from greengagehaven.standin import dataset, upstream

ROOT = pathlib.Path(__file__).parents[2]
SERVICES = ("credits-0", "credits-1")
SNAPSHOT = 42
REPLY_TIMEOUT_S = 0.5
SLOW_RUN_S = 0.2


@behave.given(
    "a soak of the small size with seed {seed:d} in which faults begin for "
    "{seconds:d} seconds"
)
def given_soak(context, seed, seconds):
    context.schedule = schedule.draw(seed, seconds=seconds, entries=2, upstreams=6)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    context.planted_bug = ""


@behave.given("upstreams that answer from an older snapshot than they report")
def given_stale(context):
    context.planted_bug = "stale_rows"


@behave.when("the soak runs")
def when_soak_runs(context):
    soak = runner.Runner(
        fault_schedule=context.schedule,
        folder=context.folder,
        planted_bug=context.planted_bug,
    )
    context.verdict = asyncio.run(soak.run())


@behave.then("callers were answered and no invariant was violated")
def then_no_violation(context):
    assert context.verdict.counts["answers"] > 0, context.verdict
    assert context.verdict.counts["orders"] > 0, context.verdict
    assert not context.verdict.broken, describe_violations(context)


def describe_violations(context):
    """Return the violations and the log lines of the requests that they quote.

    The whole folder is kept in ``data/`` for a trace.
    """
    kept = ROOT / "data" / f"soak-{context.verdict.seed}-{os.getpid()}"
    shutil.copytree(context.folder, kept, dirs_exist_ok=True)
    details = " ".join(each.detail for each in context.verdict.broken)
    request_ids = set(re.findall(r"r-[0-9a-f]{32}", details))
    lines = [
        f"{path.stem} {line}"
        for path in sorted(context.folder.glob("*.log"))
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines()
        if any(request_id in line for request_id in request_ids)
    ]
    return "\n".join([str(context.verdict.broken), *lines, f"kept in {kept}"])


@behave.then("its folder holds the schedule, the verdict and the log of every process")
def then_folder(context):
    names = {path.name for path in context.folder.iterdir()}
    logs = {f"{host}.log" for host in (*schedule.CONTROLS, "e1", "e2")}
    assert names >= {"schedule.json", "verdict.json", *logs}, names


@behave.then("the invariant of {invariant} was violated")
def then_violated(context, invariant):
    assert invariant in {each.promise for each in context.verdict.broken}


@behave.given("an invariant checker of sweeps over two services")
def given_checker(context):
    context.tally = upstream.Counters()
    context.checker = invariants.InvariantChecker(shard_count=1, counters=context.tally)


def make_answer(*, rows_from=SNAPSHOT, services=SERVICES, missing=(), drop=0):
    results = [
        client.Row(service=service, shard=0, row=row)
        for service in services
        for row in dataset.find_rows(dataset.credits_of(service, 0, 1), {}, rows_from)
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
    "a complete answer": {},
    "an answer without a row": {"drop": 1},
    "an answer with rows of another snapshot": {"rows_from": SNAPSHOT - 1},
    "an incomplete answer with correct coverage": {
        "services": SERVICES[:1],
        "missing": SERVICES[1:],
    },
}


@behave.when("the checker observes {observation}")
def when_observed(context, observation):
    if observation in ANSWERS:
        context.checker.check_answer(make_answer(**ANSWERS[observation]), SERVICES)
    else:
        OBSERVE_BY_NAME[observation](context)
    context.checker.check_orders()


def observe_false_coverage(context):
    partial = make_answer(services=SERVICES[:1], missing=SERVICES[1:])
    coverage = search.Coverage(
        answered=1, total=2, complete=True, missing=partial.coverage.missing
    )
    answer = client.Answer(
        request_id="r", snapshot=SNAPSHOT, results=partial.results, coverage=coverage
    )
    context.checker.check_answer(answer, SERVICES)


def observe_second_run(context):
    for _ in range(2):
        context.tally.count_billed_run(("order", "credits-0", "0"))


def observe_false_refusal(context):
    context.tally.count_billed_run(("order", "credits-0", "0"))
    refusal = exceptions.IncompleteError("not run", retry_after=1.0)
    context.checker.record_order("order", refusal)


def observe_work_after_drain(context):
    context.tally.violations_by_name["work_after_drain"] += 1


def observe_older_revision(context):
    context.checker.record_acknowledged(5)
    context.checker.check_revision(4)


OBSERVE_BY_NAME = {
    "an incomplete answer reported as complete": observe_false_coverage,
    "an order that ran twice": observe_second_run,
    "an order that ran and was refused as not run": observe_false_refusal,
    "work after an upstream had left": observe_work_after_drain,
    "an older revision than was accepted": observe_older_revision,
}


@behave.given("a host that refuses an order once and then runs it slowly")
def given_refusing_host(context):
    context.tally = upstream.Counters()
    context.checker = invariants.InvariantChecker(shard_count=1, counters=context.tally)
    context.seen_orders = set()


@behave.when("the callers stop during the second attempt")
def when_callers_stop(context):
    asyncio.run(stop_callers(context))
    context.checker.check_orders()


async def stop_callers(context):
    second_attempt = asyncio.Event()

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        order = re.search(rb"(?i)idempotency-key: (\S+)", head)
        if order and order[1] in context.seen_orders:
            second_attempt.set()
            context.tally.count_billed_run((order[1].decode(), "credits-0", "0"))
            await asyncio.sleep(SLOW_RUN_S)
            writer.write(make_response(200, msgspec.json.encode(make_answer())))
        else:
            context.seen_orders.update(order.groups() if order else ())
            refusal = b'{"code":"incomplete","title":"","status":503,"ran":"no"}'
            writer.write(make_response(503, refusal))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    load = callers.Callers(
        urls_by_id={"e1": f"http://127.0.0.1:{port}"},
        services=SERVICES,
        checker=context.checker,
        is_planned=lambda host_id: False,
        seed=1,
    )
    load.start(1)
    async with asyncio.timeout(10.0):
        await second_attempt.wait()
        await load.stop()
    server.close()


def make_response(status, body):
    head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n"
    return f"{head}Connection: close\r\n\r\n".encode() + body


@behave.then("the checker reports {invariant}")
def then_reported(context, invariant):
    reported = {each.promise for each in context.checker.violations}
    assert reported == (set() if invariant == "nothing" else {invariant}), reported


@behave.given("the schedules of {count:d} seeds")
def given_schedules(context, count):
    context.generate = lambda seed: schedule.draw(
        seed, seconds=60.0, entries=3, upstreams=9
    )
    context.schedules = [context.generate(seed) for seed in range(count)]


@behave.then("each is the same when it is generated again")
def then_same(context):
    for seed, generated in enumerate(context.schedules):
        assert context.generate(seed) == generated
    assert len(set(context.schedules)) == len(context.schedules)


@behave.then(
    "no two control hosts have faults within the time that one needs to recover"
)
def then_one_control_fault_at_a_time(context):
    for generated in context.schedules:
        faults = [each for each in generated.faults if each.target in schedule.CONTROLS]
        for first, second in zip(faults, faults[1:], strict=False):
            assert second.at >= first.at + first.for_s + schedule.CATCH_UP_S - 0.02


@behave.then("no entry host is stopped, killed or paused while it stops or starts")
def then_one_lifecycle_fault_at_a_time(context):
    lifecycle_faults = (
        schedule.FaultKind.KILL_ENTRY,
        schedule.FaultKind.PAUSE_ENTRY,
        schedule.FaultKind.STOP_ENTRY,
    )
    for generated in context.schedules:
        ends = {}
        for each in generated.faults:
            if each.kind in lifecycle_faults:
                assert each.at >= ends.get(each.target, 0.0) - 0.02, (
                    generated.seed,
                    each,
                )
                ends[each.target] = each.at + each.for_s + schedule.RESTART_S


@behave.given("a fault proxy in front of an echo server")
def given_fault_proxy(context):
    context.impairment = None


IMPAIRMENTS_BY_VERB = {
    "passes": fault_proxy.Impairment.NONE,
    "delays": fault_proxy.Impairment.DELAY,
    "cuts": fault_proxy.Impairment.CUT,
    "mutes": fault_proxy.Impairment.MUTE,
    "resets": fault_proxy.Impairment.RESET,
}


@behave.when("the fault proxy {verb:w} traffic")
def when_impaired(context, verb):
    context.impairment = IMPAIRMENTS_BY_VERB[verb]


@behave.then("a client's message {result}")
def then_message(context, result):
    context.received = []
    outcome = asyncio.run(send_message(context))
    is_delivered = bool(context.received)
    expected = {
        "is echoed": ("back", True),
        "is echoed late": ("back", True),
        "is never delivered": ("nothing", False),
        "is delivered but not echoed": ("nothing", True),
        "ends in a connection reset": ("ended", False),
    }[result]
    assert (outcome, is_delivered) == expected, (outcome, is_delivered)


async def send_message(context):
    async def echo(reader, writer):
        data = await reader.read(100)
        if not data:
            return
        context.received.append(data)
        writer.write(data)
        await writer.drain()
        await reader.read(1)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    proxy = fault_proxy.FaultProxy(target=server.sockets[0].getsockname()[:2])
    address, port = (await proxy.start()).split(":")
    proxy.set_impairment(context.impairment)
    try:
        reader, writer = await asyncio.open_connection(address, int(port))
        writer.write(b"word")
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            data = await reader.read(100)
        return "back" if data == b"word" else "ended"
    except TimeoutError:
        return "nothing"
    except OSError:
        return "ended"
    finally:
        await proxy.close()
        server.close()
