"""Steps about usage caps with real daemons on loopback."""

import asyncio
import datetime

import behave

from fakes import platform_deployment, routing, sweeps
from greengagehaven import exceptions, log
from greengagehaven.coordination.routing import events
from greengagehaven.coordination.shared_budgets import demand_shares, report_schedule
from greengagehaven.daemons import usage_reports
from greengagehaven.platform import names
from greengagehaven.state import routes, teams
from greengagehaven.transport import free_ports

KEY = "key-of-the-limited-team"
CAPS = demand_shares.CapSettings(window=5.0, overage=0.1, slack=4.0)
LIMITED = {"name": "north", "apiKeys": [KEY], "ratePerS": 4, "burst": 10}
UNLIMITED = {"name": "north", "apiKeys": [KEY]}
TOLERATED = (4 * 5 + 10) * 1.1 + 4
HEADERS = {names.HEADERS.key: KEY}


def run(context, coroutine):
    return context.runner_loop.run_until_complete(coroutine)


@behave.given("two entry hosts and three control hosts on loopback, with usage caps")
def given_two_hosts(context):
    start_deployment(context)


@behave.given(
    "two entry hosts that reach each other and three control hosts, with usage caps"
)
def given_two_connected_hosts(context):
    start_deployment(context, *(f"127.0.0.1:{port}" for port in free_ports.find(2)))


def start_deployment(context, first_peer_listen=None, second_peer_listen=None):
    context.runner_loop = asyncio.new_event_loop()
    context.lines = []
    log.configure(sink=lambda line: context.lines.append(str(line)))
    context.add_cleanup(close, context)
    starting = start(first_peer_listen, second_peer_listen)
    context.platform = run(context, starting)


async def start(first_peer_listen, second_peer_listen):
    platform = platform_deployment.PlatformDeployment(
        usage_caps=CAPS,
        control_zones=("midt-a", "midt-b", "midt-c"),
        entry_peer_listen=first_peer_listen,
    )
    await platform.start()
    ports = free_ports.find(3)
    platform.second = platform.make_gateway(
        "front-2",
        *(f"127.0.0.1:{port}" for port in ports),
        zone="midt-b",
        peer_listen=second_peer_listen,
    )
    platform.second_address = f"127.0.0.1:{ports[0]}"
    await platform.second.start()
    await platform.add_leafs()
    return platform


def close(context):
    run(context, context.platform.second.close())
    run(context, context.platform.close())
    context.runner_loop.close()
    log.configure(level="CRITICAL")


async def put_and_wait(platform, tenant):
    config = platform_deployment.configuration(tenants=[tenant])
    await platform.put_until_accepted(config)
    for address in (platform.entry_address, platform.second_address):

        async def is_served(address=address):
            path = platform_deployment.SWEEP_PATH + "x"
            # A key that is not known gets 401 as soon as the document is in force.
            headers = {"Host": platform_deployment.HOST}
            reply = await platform.call(address, "GET", path, b"", headers)
            return reply.status == 401

        await platform.wait_until(is_served)
    # Until the first totals arrive, a host admits only a share of its own.
    await asyncio.sleep(report_schedule.IDLE_PERIOD_S + 1.0)


@behave.when(
    "a team sends {count:d} requests at the first entry host, of {limit:d} that its "
    "limit has"
)
def when_first(context, count, limit):
    run(context, put_and_wait(context.platform, LIMITED))
    context.ran_before = served_count(context.platform)
    context.replies = []
    run(context, send(context, count, context.platform.entry_address))


@behave.then("the entry hosts follow different control hosts")
def then_followed(context):
    platform = context.platform
    first, second = platform.gateway.followed, platform.second.followed
    assert first and second and first.isdisjoint(second), (first, second)


@behave.when("the leader of the control hosts stops")
def when_leader_stops(context):
    platform = context.platform
    (leader,) = [each for each in platform.controls if each.is_leader]
    platform.controls.remove(leader)
    run(context, leader.close())


@behave.when("a team has a limit and all control hosts stop")
def when_controls_stop(context):
    platform = context.platform
    run(context, put_and_wait(platform, LIMITED))
    while platform.controls:
        run(context, platform.controls.pop().close())
    run(context, asyncio.sleep(report_schedule.IDLE_PERIOD_S + 1.0))


@behave.when("it sends {count:d} requests at each entry host")
def when_sent_at_each(context, count):
    context.replies = []
    platform = context.platform
    for address in (platform.entry_address, platform.second_address):
        run(context, send(context, count, address))
        run(context, asyncio.sleep(1.0))


@behave.when(
    "it sends {count:d} more at the second entry host {seconds:d} seconds later"
)
def when_second_later(context, count, seconds):
    run(context, asyncio.sleep(seconds))
    run(context, send(context, count, context.platform.second_address))


@behave.when("it sends {count:d} more at the second entry host a second later")
def when_second(context, count):
    run(context, asyncio.sleep(1.0))
    run(context, send(context, count, context.platform.second_address))


@behave.when(
    "a team sends 5 requests a second, of 6 that it may, and one of two hosts ends"
)
def when_host_ends(context):
    run(context, put_and_wait(context.platform, LIMITED))
    context.replies = []
    run(context, send_while_host_ends(context))


async def send_while_host_ends(context):
    """Send through both hosts for 6 s, then through the one that is left for 7 s."""
    platform = context.platform
    interval = 0.2
    for number in range(30):
        is_first = number % 2 == 0
        address = platform.entry_address if is_first else platform.second_address
        await asyncio.gather(send(context, 1, address), asyncio.sleep(interval))
    await platform.second.close()
    for _ in range(35):
        sending = send(context, 1, platform.entry_address)
        await asyncio.gather(sending, asyncio.sleep(interval))


@behave.then("none of its requests was refused")
def then_none_refused(context):
    assert {reply.status for reply in context.replies} == {200}, context.replies


async def send(context, count, address):
    for _ in range(count):
        reply = await context.platform.sweep(HEADERS, address=address)
        context.replies.append(reply)


def served_count(platform):
    return sum(leaf.request_count for leaf in platform.leafs)


@behave.then("all that ran are within the tolerance, and at least {least:d} ran")
def then_within(context, least):
    ran = [reply for reply in context.replies if reply.status == 200]
    assert least <= len(ran) <= TOLERATED, len(ran)


@behave.then("the refused requests got 429 with a Retry-After, and reached no upstream")
def then_refused(context):
    refused = [reply for reply in context.replies if reply.status != 200]
    assert {reply.status for reply in refused} == {429}
    for reply in refused:
        assert 0 < float(reply.headers["Retry-After"]) <= 2 * CAPS.window
    shards = len(platform_deployment.SHARDS)
    ran = len(context.replies) - len(refused)
    sent = served_count(context.platform) - context.ran_before
    # Hedges may add to the requests of a sweep, but none comes from a refused one.
    assert sent >= shards * ran
    assert sent <= 2 * shards * ran


@behave.then(
    "one log line for each refused request names the team and both hosts' usage"
)
def then_lines(context):
    lines = [line for line in context.lines if "code=usage_cap_exceeded" in line]
    refused = [reply for reply in context.replies if reply.status == 429]
    assert len(lines) == len(refused), (len(lines), len(refused))
    assert all("team=north" in line and "limit=30" in line for line in lines)
    assert any("others_offered=40" in line for line in lines), lines[-1]


@behave.then("the metrics name the refused team only")
def then_metrics(context):
    reply = run(
        context,
        context.platform.call(
            context.platform.entry_metrics_address, "GET", "/metrics", b""
        ),
    )
    lines = [
        line
        for line in reply.body.decode().splitlines()
        if line.startswith("greengagehaven_usage_cap_refused_total")
    ]
    assert len(lines) == 1 and 'team="north"' in lines[0], lines


@behave.when("teams without a rate send {count:d} requests")
def when_unlimited(context, count):
    run(context, put_and_wait(context.platform, UNLIMITED))
    context.replies = []
    run(context, send(context, count, context.platform.entry_address))
    assert all(reply.status == 200 for reply in context.replies)


@behave.then("no usage was reported")
def then_no_reports(context):
    reply = run(
        context,
        context.platform.call(
            context.platform.entry_metrics_address, "GET", "/metrics", b""
        ),
    )
    assert usage_reports.REPORT_METHOD not in reply.body.decode()


@behave.given(
    "an entry host's router with a team that may send {count:d} requests in a window"
)
def given_router(context, count):
    caps = demand_shares.CapSettings(window=5.0, overage=0.0, slack=0.0)
    context.tier = routing.RouterHarness(usage_caps=caps)
    team = teams.Team(id="t", key_digests=("d",), rate=count / 5.0)
    route = routing.sweep_route(("s0",))
    table = routing.routing_table(1, route)
    context.tier.apply_routing_table(
        routes.RoutingTable(
            number=table.number,
            routes=table.routes,
            limits_by_service=table.limits_by_service,
            caller_limits=table.caller_limits,
            teams=teams.TeamDirectory((team,)),
        )
    )
    context.tier.apply_upstream_entries(*sweeps.upstream_entries("s0", 2))


@behave.when("the team sends {count:d} requests that no route matches, then one sweep")
def when_unmatched(context, count):
    for number in range(count + 1):
        path = "/sweep/x" if number == count else "/nowhere"
        context.tier.step(
            events.RequestArrived(
                number=number + 1,
                request_id=f"r-{number}",
                host=routing.HOST,
                path=path,
                fingerprint=f"f-{number}",
                time_left=None,
                key_digest="d",
            )
        )
    refused = context.tier.final_actions_by_number
    assert len(refused) == count
    assert all(
        isinstance(each.error, exceptions.NotFoundError) for each in refused.values()
    )


@behave.then("the team's usage shows {count:d} request offered")
def then_offered(context, count):
    limit = context.tier.router.usage_limit
    (usage,) = limit.shares.reports(context.tier.clock.monotonic())
    assert usage.offered == count


@behave.when("the team sends 2 sweeps and the wall clock steps by {hours:d} hours")
def when_wall_clock(context, hours):
    send_sweeps(context, 2)
    context.tier.clock.step_wall(datetime.timedelta(hours=hours))


@behave.then("its next sweep is refused with 429, and one after the window is admitted")
def then_cap_holds(context):
    (refused,) = send_sweeps(context, 1)
    action = context.tier.final_actions_by_number[refused]
    assert action.error.code == "usage_cap_exceeded", action
    context.tier.clock.advance(CAPS.window + 1.0)
    (admitted,) = send_sweeps(context, 1)
    assert context.tier.attempts_of(admitted)


def send_sweeps(context, count):
    numbers = []
    for _ in range(count):
        number = context.tier.next_number
        context.tier.next_number += 1
        context.tier.step(
            events.RequestArrived(
                number=number,
                request_id=f"w-{number}",
                host=routing.HOST,
                path="/sweep/x",
                fingerprint=f"w-{number}",
                time_left=None,
                key_digest="d",
            )
        )
        numbers.append(number)
    return numbers
