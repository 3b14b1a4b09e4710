"""Steps about the platform's formats and the whole path on loopback."""

import asyncio
import json

import behave

from fakes import leafs
from greengagehaven import exceptions
from greengagehaven.platform import announcements, documents, names, settings

SETTINGS = """\
node=core-midt-a-1
role=control
serves=control
ip=10.1.0.42
zone=midt-a
listen.control=10.1.0.42:8224
internalPorts=7740,7755
dataDir=/data
seeds=10.1.0.42:8224,10.2.0.36:8224
bootstrap=true
heartbeatMs=1200
bounds.retryRatio=0.2
bounds.retryBurst=58
bounds.budgetWindowS=10
bounds.graceS=6
bounds.coldFactor=1.5
bounds.coldSlack=5
"""


@behave.given("the platform's settings of a control host")
def given_settings(context):
    context.settings_text = SETTINGS


@behave.when("the settings gain the line {line}")
def when_line(context, line):
    context.settings_text += line + "\n"


@behave.when("the settings' line of {field} becomes {line}")
def when_line_becomes(context, field, line):
    lines = context.settings_text.splitlines()
    context.settings_text = "\n".join(
        line if old.startswith(f"{field}=") else old for old in lines
    )


@behave.then("its peer address is {address}")
def then_peer_address(context, address):
    assert settings.parse(context.settings_text).peer_address == address


@behave.then("its seeds answer other hosts at {first} and {second}")
def then_seeds(context, first, second):
    assert settings.parse(context.settings_text).control_addresses == (first, second)


@behave.then("the settings are refused, naming {field}")
def then_settings_refused(context, field):
    try:
        settings.parse(context.settings_text)
    except exceptions.SettingError as error:
        assert error.place == field, error
    else:
        raise AssertionError("it was taken")


@behave.given("a configuration of the platform")
def given_configuration(context):
    context.configuration = leafs.configuration()
    context.data = json.dumps(context.configuration).encode()


@behave.when("the configuration has {mistake}")
def when_mistake(context, mistake):
    config = context.configuration
    first, second = config["routes"]
    match mistake:
        case "its last half cut off":
            context.data = context.data[: len(context.data) // 2]
            return
        case "a route to an unknown service":
            second["backend"] = "nobody"
        case "two routes at the same place":
            second["pathPrefix"] = first["pathPrefix"]
        case "weights that add up to 0":
            del second["backend"]
            second["weightedBackends"] = [{"backend": leafs.SHARDS[0], "weight": 0}]
        case "a timeout of 0":
            second["timeoutMs"] = 0
        case "a shard named twice":
            first["gather"] = [leafs.SHARDS[0]] * 2
        case "a version that is text":
            config["version"] = "seven"
        case _:
            raise AssertionError(mistake)
    context.data = json.dumps(config).encode()


@behave.then("the configuration is refused")
def then_configuration_refused(context):
    try:
        documents.read(context.data)
    except exceptions.DocumentError:
        return
    raise AssertionError("it was taken")


@behave.then("a request to {host} for {path} is a sweep over {count:d} shards")
def then_sweep(context, host, path, count):
    route = documents.read(context.data).find(host, path)
    assert len(route.shards) == count, route
    assert route.is_idempotent


@behave.then("a request to {host} for {path} runs once at most")
def then_once(context, host, path):
    route = documents.read(context.data).find(host, path)
    assert not route.is_idempotent, route


@behave.then("a request to {host} for {path} has no route")
def then_no_route(context, host, path):
    assert documents.read(context.data).find(host, path) is None


@behave.given("a beat of a leaf")
def given_beat(context):
    leaf = leafs.Leaf("i-1", leafs.SHARDS[0], "midt-a")
    leaf.address = "10.128.0.9:8080"
    context.beat = leaf.beat()


@behave.when("the beat has {fault}")
def when_fault(context, fault):
    match fault:
        case "no service":
            del context.beat["backend"]
        case "a state of its own":
            context.beat["state"] = "dreaming"
        case "an address without a port":
            context.beat["addr"] = "10.128.0.9"
        case "slots that are text":
            context.beat["slots"] = "two"
        case "a birth that is text":
            context.beat["born"] = "today"
        case "bytes that are no JSON":
            context.beat = None
        case _:
            raise AssertionError(fault)


@behave.then("it names an upstream of service {service} in zone {zone}")
def then_names(context, service, zone):
    entry = announcements.read_beat("i-1", json.dumps(context.beat).encode())
    assert (entry.service, entry.availability_zone) == (service, zone), entry


@behave.then("it names no upstream")
def then_names_none(context):
    data = b"{" if context.beat is None else json.dumps(context.beat).encode()
    try:
        announcements.read_beat("i-1", data)
    except exceptions.InvalidRequestError:
        return
    raise AssertionError("it was taken")


def play(context, coroutine):
    return context.runner_loop.run_until_complete(coroutine)


@behave.given("three control hosts and an entry host of the platform on loopback")
def given_platform(context):
    context.runner_loop = asyncio.new_event_loop()
    context.add_cleanup(close_platform, context)
    context.platform = play(context, start_platform())


async def start_platform():
    platform = leafs.Platform()
    await platform.start()
    return platform


def close_platform(context):
    stopping = getattr(context, "stopping", None)
    if stopping is not None:
        stopping.cancel()
    play(context, context.platform.close())
    context.runner_loop.close()


@behave.given("two leafs of each of two shards that beat")
def given_leafs(context):
    play(context, context.platform.add_leafs())


@behave.when("the operator puts a configuration with a sweep over both shards")
def when_put(context):
    play(context, context.platform.put_until_taken(leafs.configuration()))


@behave.then("a client's sweep is answered with both parts")
def then_swept(context):
    reply = play(
        context,
        context.platform.sweep_until(
            lambda reply: (
                reply.status == 200
                and reply.headers.get(names.HEADERS.missing_parts) == "0"
            )
        ),
    )
    assert reply.body == leafs.RECORD * 2, reply
    signatures = reply.headers[names.HEADERS.part_signatures].split(", ")
    assert len(set(signatures)) == 2, signatures


@behave.then("the configuration is read back at every control host")
def then_read_back(context):
    for door in context.platform.doors:

        async def ask(door=door):
            reply = await context.platform.call(door, "GET", names.CONFIG_PATH, b"")
            return reply.status == 200 and json.loads(reply.body)["version"] == 7

        play(context, context.platform.until(ask))


@behave.when("a leaf of each shard drains")
def when_drains(context):
    context.draining = [leaf for leaf in context.platform.leafs if leaf.zone[-1] == "a"]
    for leaf in context.draining:
        leaf.state = "draining"


@behave.then("the beat that says so is acknowledged")
def then_acknowledged(context):
    for leaf in context.draining:
        play(context, context.platform.beat(leaf))
    context.served = [leaf.served for leaf in context.draining]


@behave.then("no further sweep reaches those leafs")
def then_not_reached(context):
    for _ in range(10):
        reply = play(context, context.platform.sweep())
        assert reply.status == 200, reply
    assert [leaf.served for leaf in context.draining] == context.served


@behave.when("the operator evacuates the zone of the leafs that are left")
def when_evacuates(context):
    async def ask():
        path = names.EVACUATE_PATH + "midt-b"
        door = context.platform.doors[1]
        return (await context.platform.call(door, "POST", path, b"")).status == 200

    play(context, context.platform.until(ask))


@behave.then("a client's sweep is refused at once with 503")
def then_refused(context):
    reply = play(
        context, context.platform.sweep_until(lambda reply: reply.status != 200)
    )
    assert reply.status == 503, reply
    assert float(reply.headers["retry-after"]) > 0


@behave.when("two control hosts stop")
def when_two_stop(context):
    for each in context.platform.controls[1:]:
        play(context, each.close())


@behave.then("reading the configuration at the last one gives 503")
def then_read_503(context):
    door = context.platform.doors[0]

    async def ask():
        reply = await context.platform.call(door, "GET", names.CONFIG_PATH, b"")
        return reply.status == 503

    play(context, context.platform.until(ask))


@behave.then("putting another one there gives 503")
def then_put_503(context):
    reply = play(context, context.platform.put(leafs.configuration(version=8)))
    assert reply.status == 503, reply


@behave.when("the entry host is told to stop")
def when_stops(context):
    async def begin():
        # Long enough for the requests that the scenario still sends.
        context.stopping = asyncio.ensure_future(context.platform.gateway.drain())
        await asyncio.sleep(0)

    play(context, context.platform.sweep_until(lambda reply: reply.status == 200))
    play(context, begin())


@behave.then("it is not ready")
def then_not_ready(context):
    platform = context.platform
    reply = play(context, platform.call(platform.ready, "GET", names.READY_PATH, b""))
    assert reply.status == 503, reply


@behave.then("a client's sweep is answered with both parts and the connection closed")
def then_swept_closed(context):
    reply = play(context, context.platform.sweep())
    assert reply.status == 200 and reply.body == leafs.RECORD * 2, reply
    assert reply.headers["connection"] == "close"


@behave.then("the metrics of an entry host and of a control host tell of both")
def then_metrics(context):
    platform = context.platform
    texts = [
        play(context, platform.call(address, "GET", "/metrics", b"")).body.decode()
        for address in (platform.front_metrics, platform.control_metrics)
    ]
    assert 'routed_requests_total{outcome="answered",route="r-1"}' in texts[0], texts
    assert 'routed_seconds_bucket{le="+Inf",route="r-1"}' in texts[0], texts
    assert "greengagehaven_routed_gathers" in texts[0], texts
    assert "greengagehaven_control_log_bytes" in texts[1], texts
    received = 'peer_bytes_total{direction="received",method="roster/watch"}'
    assert received in texts[0], texts
