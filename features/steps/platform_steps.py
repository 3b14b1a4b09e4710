"""Steps for the platform's formats and for requests through it on loopback."""

import asyncio
import json
import time

import behave

from fakes import platform_deployment
from greengagehaven import exceptions
from greengagehaven.platform import announcements, documents, names, settings
from greengagehaven.state import teams

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


FIRST_KEY = "key-of-the-first-team"
SECOND_KEY = "key-of-the-second-team"


def teams_configuration():
    return [
        {"name": "north", "apiKeys": [FIRST_KEY], "priority": 0, "ratePerS": 21},
        {"name": "south", "apiKeys": [SECOND_KEY]},
    ]


@behave.given("the platform's settings of a control host")
def given_settings(context):
    context.settings_text = SETTINGS


@behave.when("the line {line} is added to the settings")
def when_line(context, line):
    context.settings_text += line + "\n"


@behave.when("the settings' line of {field} is replaced by {line}")
def when_line_replaced(context, field, line):
    lines = context.settings_text.splitlines()
    context.settings_text = "\n".join(
        line if old.startswith(f"{field}=") else old for old in lines
    )


@behave.then("its peer address is {address}")
def then_peer_address(context, address):
    assert settings.parse(context.settings_text).peer_address == address


@behave.then("the peer addresses of its seeds are {first} and {second}")
def then_seeds(context, first, second):
    assert settings.parse(context.settings_text).control_addresses == (first, second)


@behave.then("the settings are refused, naming {field}")
def then_settings_refused(context, field):
    try:
        settings.parse(context.settings_text)
    except exceptions.SettingError as error:
        assert error.place == field, error
    else:
        raise AssertionError("it was accepted")


@behave.given("a configuration of the platform")
def given_configuration(context):
    context.configuration = platform_deployment.configuration()
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
            second["weightedBackends"] = [
                {"backend": platform_deployment.SHARDS[0], "weight": 0}
            ]
        case "a timeout of 0":
            second["timeoutMs"] = 0
        case "a shard named twice":
            first["gather"] = [platform_deployment.SHARDS[0]] * 2
        case "two teams with one key":
            config["tenants"] = teams_configuration()
            config["tenants"][1]["apiKeys"].append(FIRST_KEY)
        case "two teams of one name":
            config["tenants"] = teams_configuration()
            config["tenants"][1]["name"] = config["tenants"][0]["name"]
        case "a team with a negative rate":
            config["tenants"] = teams_configuration()
            config["tenants"][0]["ratePerS"] = -1
        case "two teams":
            config["tenants"] = teams_configuration()
        case "a version that is text":
            config["version"] = "seven"
        case _:
            raise AssertionError(mistake)
    context.data = json.dumps(config).encode()


@behave.then("the configuration is refused")
def then_configuration_refused(context):
    try:
        documents.parse(context.data)
    except exceptions.DocumentError:
        return
    raise AssertionError("it was accepted")


@behave.then("the mistake names {first} and {second}")
def then_mistake_named(context, first, second):
    try:
        documents.parse(context.data)
    except exceptions.DocumentError as error:
        context.mistake = str(error) + "".join(each.detail for each in error.mistakes)
    else:
        raise AssertionError("it was accepted")
    assert first in context.mistake and second in context.mistake, context.mistake


@behave.then("the mistake does not show a key")
def then_key_not_shown(context):
    assert FIRST_KEY not in context.mistake, context.mistake


@behave.then("a key of the first team has priority 0 and one of the second has none")
def then_priorities(context):
    directory = documents.parse(context.data).teams
    found = [
        directory.find(teams.digest_of_key(key.encode()))
        for key in (FIRST_KEY, SECOND_KEY)
    ]
    assert [(team.id, team.priority) for team in found] == [
        ("north", 0),
        ("south", None),
    ], found


@behave.then("a request to {host} for {path} is a sweep over {count:d} shards")
def then_sweep(context, host, path, count):
    route = documents.parse(context.data).find(host, path)
    assert len(route.shards) == count, route
    assert route.is_idempotent


@behave.then("a request to {host} for {path} runs at most once")
def then_at_most_once(context, host, path):
    route = documents.parse(context.data).find(host, path)
    assert not route.is_idempotent, route


@behave.then("a request to {host} for {path} has no route")
def then_no_route(context, host, path):
    assert documents.parse(context.data).find(host, path) is None


@behave.given("a heartbeat of a leaf")
def given_heartbeat(context):
    leaf = platform_deployment.LeafUpstream(
        "i-1", platform_deployment.SHARDS[0], "midt-a"
    )
    leaf.address = "10.128.0.9:8080"
    context.heartbeat = leaf.announcement()


@behave.when("the heartbeat has {fault}")
def when_fault(context, fault):
    match fault:
        case "no service":
            del context.heartbeat["backend"]
        case "an unknown state":
            context.heartbeat["state"] = "dreaming"
        case "an address without a port":
            context.heartbeat["addr"] = "10.128.0.9"
        case "a port above 65535":
            context.heartbeat["addr"] = "10.128.0.9:65536"
        case "a port with a sign":
            context.heartbeat["addr"] = "10.128.0.9:+80"
        case "a port in other digits":
            context.heartbeat["addr"] = "10.128.0.9:\uff18\uff10"
        case "arrays 100000 levels deep":
            context.heartbeat["x"] = []
            context.nested = b"[" * 100_000 + b"]" * 100_000
        case "slots that are text":
            context.heartbeat["slots"] = "two"
        case "a start time that is text":
            context.heartbeat["born"] = "today"
        case "a sequence of 128 bits":
            context.heartbeat["seq"] = 2**127
        case "a start time of 128 bits":
            context.heartbeat["born"] = 2**127
        case "slots of 128 bits":
            context.heartbeat["slots"] = 2**127
        case "a cold start of 1e300 ms":
            context.heartbeat["coldLeftMs"] = 1e300
        case "invalid JSON":
            context.heartbeat = None
        case _:
            raise AssertionError(fault)


@behave.then("it is read as an upstream of service {service} in zone {zone}")
def then_read_as_upstream(context, service, zone):
    entry = announcements.parse_announcement(
        "i-1", json.dumps(context.heartbeat).encode()
    )
    assert (entry.service, entry.availability_zone) == (service, zone), entry


@behave.then("it is refused as a heartbeat")
def then_heartbeat_refused(context):
    data = b"{" if context.heartbeat is None else json.dumps(context.heartbeat).encode()
    data = data.replace(b"[]", getattr(context, "nested", b"[]"))
    try:
        announcements.parse_announcement("i-1", data)
    except exceptions.InvalidRequestError:
        return
    raise AssertionError("it was accepted")


def run(context, coroutine):
    return context.runner_loop.run_until_complete(coroutine)


@behave.given("three control hosts and an entry host of the platform on loopback")
def given_platform(context):
    set_up_platform(context)


@behave.given(
    "three control hosts and an entry host with a limit for revocations of "
    "{seconds:g} s"
)
def given_strict_platform(context, seconds):
    set_up_platform(context, revoke_within=seconds)


def set_up_platform(context, **fields):
    context.runner_loop = asyncio.new_event_loop()
    context.add_cleanup(close_platform, context)
    context.platform = run(context, start_platform(**fields))


async def start_platform(**fields):
    platform = platform_deployment.PlatformDeployment(**fields)
    await platform.start()
    return platform


def close_platform(context):
    stopping = getattr(context, "stopping", None)
    if stopping is not None:
        stopping.cancel()
    run(context, context.platform.close())
    context.runner_loop.close()


@behave.given("two leafs of each of two shards that send heartbeats")
def given_leafs(context):
    run(context, context.platform.add_leafs())


@behave.when("the operator puts a configuration with a sweep over both shards")
def when_put(context):
    run(
        context,
        context.platform.put_until_accepted(platform_deployment.configuration()),
    )


@behave.then("a client's sweep is answered with both parts")
def then_swept(context):
    reply = run(
        context,
        context.platform.sweep_until(
            lambda reply: (
                reply.status == 200
                and reply.headers.get(names.HEADERS.missing_parts) == "0"
            )
        ),
    )
    assert reply.body == platform_deployment.RECORD * 2, reply
    signatures = reply.headers[names.HEADERS.part_signatures].split(", ")
    assert len(set(signatures)) == 2, signatures


@behave.when(
    "another program reports the address of each leaf for a service of its own"
)
def when_reported_by_other(context):
    platform = context.platform

    async def report_all():
        for leaf in platform.leafs:
            other = platform_deployment.LeafUpstream(
                f"agent-{leaf.name}", "metrics-agent", leaf.zone, version="v9"
            )
            other.address = leaf.address
            await platform.announce(other)

    run(context, report_all())


@behave.then("{count:d} sweeps within {seconds:g} seconds are answered with both parts")
def then_all_swept(context, count, seconds):
    async def sweep_all():
        for _ in range(count):
            reply = await context.platform.sweep()
            assert reply.status == 200, reply
            assert reply.headers.get(names.HEADERS.missing_parts) == "0", reply
            await asyncio.sleep(seconds / count)

    run(context, sweep_all())


@behave.then("the configuration is read back at every control host")
def then_read_back(context):
    for operator_address in context.platform.operator_addresses:

        async def request(operator_address=operator_address):
            reply = await context.platform.call(
                operator_address, "GET", names.CONFIG_PATH, b""
            )
            return reply.status == 200 and json.loads(reply.body)["version"] == 7

        run(context, context.platform.wait_until(request))


@behave.when("a leaf of each shard drains")
def when_drains(context):
    context.draining = [leaf for leaf in context.platform.leafs if leaf.zone[-1] == "a"]
    for leaf in context.draining:
        leaf.state = "draining"


@behave.then("the heartbeat that reports it is acknowledged")
def then_acknowledged(context):
    for leaf in context.draining:
        run(context, context.platform.announce(leaf))


@behave.then(
    "from {seconds:d} seconds after that at the latest, no sweep reaches those leafs"
)
def then_not_reached(context, seconds):
    # An entry host that follows another control host than the one that acknowledged
    # gets the change after the acknowledgement.
    deadline = time.monotonic() + seconds
    while True:
        before = [leaf.request_count for leaf in context.draining]
        is_last = time.monotonic() >= deadline
        for _ in range(10):
            reply = run(context, context.platform.sweep())
            assert reply.status == 200, reply
        reached = [leaf.request_count for leaf in context.draining]
        if reached == before:
            return
        assert not is_last, (before, reached)


@behave.when("the operator evacuates the zone of the remaining leafs")
def when_evacuates(context):
    async def request():
        path = names.EVACUATE_PATH + "midt-b"
        operator_address = context.platform.operator_addresses[1]
        return (
            await context.platform.call(operator_address, "POST", path, b"")
        ).status == 200

    run(context, context.platform.wait_until(request))


@behave.then("a client's sweep is refused at once with 503")
def then_refused(context):
    reply = run(
        context, context.platform.sweep_until(lambda reply: reply.status != 200)
    )
    assert reply.status == 503, reply
    assert float(reply.headers["retry-after"]) > 0


@behave.when("two control hosts stop")
def when_two_stop(context):
    for each in context.platform.controls[1:]:
        run(context, each.close())


@behave.then("reading the configuration at the last one returns 503")
def then_read_503(context):
    operator_address = context.platform.operator_addresses[0]

    async def request():
        reply = await context.platform.call(
            operator_address, "GET", names.CONFIG_PATH, b""
        )
        return reply.status == 503

    run(context, context.platform.wait_until(request))


@behave.then("putting another configuration there returns 503")
def then_put_503(context):
    reply = run(
        context, context.platform.put(platform_deployment.configuration(version=8))
    )
    assert reply.status == 503, reply


@behave.when("the entry host begins to drain")
def when_drain_begins(context):
    async def begin():
        # The drain lasts long enough for the requests that the scenario sends.
        context.stopping = asyncio.ensure_future(context.platform.gateway.drain())
        await asyncio.sleep(0)

    run(context, context.platform.sweep_until(lambda reply: reply.status == 200))
    run(context, begin())


@behave.then("it is not ready")
def then_not_ready(context):
    platform = context.platform
    reply = run(context, platform.call(platform.ready, "GET", names.READY_PATH, b""))
    assert reply.status == 503, reply


@behave.then("a client's sweep is answered with both parts and the connection closed")
def then_swept_and_closed(context):
    reply = run(context, context.platform.sweep())
    assert reply.status == 200 and reply.body == platform_deployment.RECORD * 2, reply
    assert reply.headers["connection"] == "close"


@behave.then(
    "an entry host and a control host expose metrics of requests and of control"
)
def then_metrics(context):
    platform = context.platform
    texts = [
        run(context, platform.call(address, "GET", "/metrics", b"")).body.decode()
        for address in (
            platform.entry_metrics_address,
            platform.control_metrics_address,
        )
    ]
    assert 'routed_requests_total{outcome="answered",route="r-1"}' in texts[0], texts
    assert 'routed_seconds_bucket{le="+Inf",route="r-1"}' in texts[0], texts
    assert "greengagehaven_routed_gathers" in texts[0], texts
    assert "greengagehaven_control_log_bytes" in texts[1], texts
    received = 'peer_bytes_total{direction="received",method="roster/watch"}'
    assert received in texts[0], texts


@behave.when("the operator puts a configuration with two teams")
def when_put_teams(context):
    config = platform_deployment.configuration(tenants=teams_configuration())
    run(context, context.platform.put_until_accepted(config))


@behave.when("the operator puts a configuration with two teams and a public sweep")
def when_put_public(context):
    config = platform_deployment.configuration(tenants=teams_configuration())
    config["routes"][0]["public"] = True
    run(context, context.platform.put_until_accepted(config))


@behave.then("a client's sweep with a key of the first team is answered")
def then_answered_with_key(context):
    headers = {names.HEADERS.key: FIRST_KEY, names.HEADERS.team: "south"}
    run(
        context,
        context.platform.sweep_until(
            lambda reply: (
                reply.status == 200
                and reply.headers.get(names.HEADERS.missing_parts) == "0"
            ),
            headers,
        ),
    )


@behave.then("the upstreams see the first team and no key")
def then_team_seen(context):
    assert_team_seen(context, "north")


@behave.then("the upstreams see no team and no key")
def then_no_team_seen(context):
    assert_team_seen(context, None)


def assert_team_seen(context, team):
    seen = [leaf.last_headers for leaf in context.platform.leafs if leaf.last_headers]
    assert seen
    for headers in seen:
        assert headers.get(names.HEADERS.team) == team, headers
        assert not any(FIRST_KEY in value for _, value in headers.items()), headers


@behave.then("a client's sweep without a key gets 401 and reaches no upstream")
def then_no_key(context):
    assert_unauthorized(context, {})


@behave.then("a client's sweep with an unknown key gets 401 and reaches no upstream")
def then_unknown_key(context):
    assert_unauthorized(context, {names.HEADERS.key: "unknown"})


def assert_unauthorized(context, headers):
    def count():
        return sum(leaf.request_count for leaf in context.platform.leafs)

    before = count()
    reply = run(context, context.platform.sweep(headers))
    assert reply.status == 401, reply
    assert count() == before


def lease_metrics(context):
    platform = context.platform
    reply = run(
        context, platform.call(platform.entry_metrics_address, "GET", "/metrics", b"")
    )
    return {
        name: float(value)
        for name, _, value in (
            line.partition(" ") for line in reply.body.decode().splitlines()
        )
        if "key_lease" in name and not name.startswith("#")
    }


@behave.then("its metrics show a lease")
def then_lease_metric(context):
    metrics = lease_metrics(context)
    assert metrics["greengagehaven_routed_key_lease_seconds"] > 0, metrics


@behave.then("its metrics show no lease and the refusal")
def then_no_lease_metric(context):
    before = lease_metrics(context)
    assert before["greengagehaven_routed_key_lease_seconds"] == 0, before
    # The lease may have run out between the admission and the attempts of the first
    # refused request, which is then counted with the attempts.
    names_of_refusals = (
        'greengagehaven_routed_key_lease_refused_total{reason="admission"}',
        'greengagehaven_routed_refusals_total{reason="key_lease_expired"}',
    )
    expected = {**before, **{name: before[name] + 1 for name in names_of_refusals}}
    reply = run(context, context.platform.sweep({names.HEADERS.key: FIRST_KEY}))
    assert reply.status == 503, reply
    after = lease_metrics(context)
    assert after == expected, (before, after)


@behave.then("a client's sweep with a key gets 503 with a time to come back")
def then_lease_refused(context):
    headers = {names.HEADERS.key: FIRST_KEY}
    platform = context.platform
    run(context, platform.sweep_until(lambda reply: reply.status == 503, headers))
    before = sum(leaf.request_count for leaf in platform.leafs)
    reply = run(context, platform.sweep(headers))
    assert reply.status == 503 and float(reply.headers["retry-after"]) > 0, reply
    assert reply.headers["connection"] == "close", reply
    assert sum(leaf.request_count for leaf in platform.leafs) == before


@behave.when("those two control hosts start again")
def when_controls_start(context):
    run(context, context.platform.restart_controls((1, 2)))
