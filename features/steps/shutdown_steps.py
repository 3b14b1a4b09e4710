"""Steps for graceful stops of daemons."""

import asyncio
import io
import os
import re
import signal

import behave

import greengagehaven
from greengagehaven import exceptions, log
from greengagehaven.daemons import dev, lifecycle

SERVICES = ("credits-0", "credits-1")
CALLERS_PER_HOST = 4
DRAIN_GRACE_S = 0.6


class Load:
    """Callers that search continuously until they are stopped."""

    def __init__(self, environment):
        self.environment = environment
        self.is_stopped = False
        self.answers = []
        self.errors = []

    def start(self):
        hosts = self.environment.entries
        self.tasks = [
            asyncio.ensure_future(self.call(host))
            for host in hosts
            for _ in range(CALLERS_PER_HOST)
        ]

    async def call(self, host):
        url = f"http://{host.address}"
        async with greengagehaven.Session(url, key=dev.DEMO_KEY) as session:
            while not self.is_stopped:
                try:
                    self.answers.append(await session.search(SERVICES, "sweep"))
                except exceptions.ConnectError:
                    return
                except exceptions.GreengagehavenError as error:
                    self.errors.append(error)
                await asyncio.sleep(0.01)

    async def stop(self):
        self.is_stopped = True
        await asyncio.gather(*self.tasks)


class FakeDaemon:
    def __init__(self, in_flight, ending):
        self.in_flight = in_flight
        self.ending = ending
        self.draining = asyncio.Event()
        self.last_signal_sent = asyncio.Event()

    async def drain(self):
        self.draining.set()
        await self.last_signal_sent.wait()
        # Time for the last signal to take effect.
        await asyncio.sleep(0.05)
        if self.ending == "never ends":
            await asyncio.Event().wait()
        if self.ending == "fails":
            raise OSError("a fault in a drain")
        self.in_flight = 0
        return 0

    async def close(self):
        pass


@behave.given("an environment on loopback under a steady load")
def given_load(context):
    log.configure(level="CRITICAL")
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    options = {"drain_grace": DRAIN_GRACE_S}
    context.dev = dev.DevEnvironment(
        dev_settings=dev.DevSettings(
            entry_port=0, operator_port=0, services=SERVICES, upstream_options=options
        )
    )
    context.add_cleanup(lambda: context.runner.run(context.dev.close()))

    async def start():
        await context.dev.start()
        await context.dev.wait_for_upstreams()
        context.load = Load(context.dev)
        context.load.start()
        await asyncio.sleep(0.2)

    context.runner.run(start())


@behave.when("the first entry host drains")
def when_entry_drains(context):
    async def drain():
        left = await context.dev.entries[0].drain()
        await context.load.stop()
        return left

    assert context.runner.run(drain()) == 0


@behave.when("one upstream of each service drains")
def when_upstreams_drain(context):
    upstreams_by_id = context.dev.upstreams_by_id

    async def drain():
        chosen = [upstreams_by_id[f"{service}-a0"] for service in SERVICES]
        lefts = await asyncio.gather(*(each.drain() for each in chosen))
        await asyncio.sleep(0.1)
        await context.load.stop()
        return sum(lefts)

    assert context.runner.run(drain()) == 0


@behave.then("no search of the load was interrupted")
def then_none_interrupted(context):
    interrupted = [
        error
        for error in context.load.errors
        if not isinstance(error, exceptions.DrainingError)
    ]
    assert len(context.load.answers) > CALLERS_PER_HOST
    assert not interrupted, interrupted


@behave.then("every answer of the load was complete")
def then_all_complete(context):
    assert all(answer.coverage.complete for answer in context.load.answers)


@behave.then("the drained host accepts no new connection")
def then_no_connection(context):
    url = f"http://{context.dev.entries[0].address}"
    try:
        context.runner.run(greengagehaven.search(url, SERVICES, "sweep", key="x"))
    except exceptions.ConnectError:
        return
    raise AssertionError("a drained host accepted a connection")


@behave.then("no upstream got work after its drain")
def then_no_work_after(context):
    assert context.dev.tally.violations_by_name["work_after_drain"] == 0


@behave.given("a daemon whose drain {ends} and {count:d} requests in flight")
def given_daemon(context, ends, count):
    context.daemon = (count, ends)


@behave.when("it gets {names}")
def when_signalled(context, names):
    numbers = [signal.Signals[name] for name in names.split(", ")]
    sink = io.StringIO()
    log.configure(level="INFO", sink=sink)

    async def run():
        daemon = FakeDaemon(*context.daemon)
        running = asyncio.ensure_future(lifecycle.run(daemon))
        await asyncio.sleep(0)
        os.kill(os.getpid(), numbers[0])
        await asyncio.wait_for(daemon.draining.wait(), 10)
        for number in numbers[1:]:
            os.kill(os.getpid(), number)
            await asyncio.sleep(0.01)
        daemon.last_signal_sent.set()
        return await asyncio.wait_for(running, 10)

    ignored = (*lifecycle.STOP_SIGNALS, lifecycle.ABORT_SIGNAL)
    handlers = {number: signal.getsignal(number) for number in ignored}
    try:
        context.code = asyncio.run(run())
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
    context.lines = sink.getvalue().splitlines()


@behave.then("it exits with code {code:d} and logs that {count:d} were left")
def then_exits(context, code, count):
    assert context.code == code
    assert f"event=stopped left={count}" in context.lines[-1], context.lines


@behave.then("it logs {names} and the times of its drain and closing")
def then_further_signals(context, names):
    _, *further, last = context.lines
    for name, line in zip(names.split(", "), further, strict=True):
        pattern = rf"event=stop_signal signal={name} since_stop_ms=\d+ in_flight=3$"
        assert re.search(pattern, line), context.lines
    assert re.search(r" drain_ms=\d+ close_ms=\d+$", last), context.lines


@behave.then("it logs the time of its drain")
def then_drain_time(context):
    assert len(context.lines) == 2, context.lines
    assert re.search(r" drain_ms=\d+$", context.lines[1]), context.lines
