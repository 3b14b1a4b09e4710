"""Steps for the lease under which a host accepts keys, on a virtual clock."""

import asyncio
import datetime
import functools

import behave

from fakes import key_lease as fakes
from fakes import routing
from greengagehaven import clock, log
from greengagehaven.coordination.routing import events, key_lease
from greengagehaven.platform import settings
from greengagehaven.protocol import header_names
from greengagehaven.state import routes, teams
from greengagehaven.transport import exchanges, request_head

STEP_S = 0.1
STARTUP_S = 3.0
TEAM = teams.Team(id="north", key_digests=("digest",))


def start(context, **fields):
    context.world = fakes.World(**fields)
    context.running = context.world.running()
    context.running.__enter__()
    context.add_cleanup(context.running.__exit__, None, None, None)
    context.world.run_for(STARTUP_S)


@behave.given("an entry host with a limit for revocations of 5 seconds")
def given_host(context):
    start(context)


@behave.given("an entry host with a limit for revocations of 5 seconds and no teams")
def given_host_without_teams(context):
    start(context, with_teams=False)


@behave.given("an entry host without {what}")
def given_host_without(context, what):
    if what == "teams in its document":
        start(context, with_teams=False)
    else:
        start(context, revoke_within=None)


@behave.when("its calls are answered {seconds:d} seconds late")
def when_answered_late(context, seconds):
    world = context.world
    world.channel.reply_delay = float(seconds)
    context.lease_ends = []
    for _ in range(150):
        world.run_for(STEP_S)
        context.lease_ends.append((world.loop.clock.monotonic(), world.guard.lease))
    context.delay = float(seconds)


@behave.then("its lease ends at most 4.5 seconds after its last answered call was sent")
def then_counted_from_sending(context):
    now, lease = context.lease_ends[-1]
    # Each reply in force took at least the delay, and was held for 1.3 s at most.
    limit = now - context.delay + key_lease.MAX_RENEWAL_PERIOD_S + fakes.LEASE_S
    answered = [
        sent_at
        for control in context.world.controls
        for sent_at, request in control.requests
        if sent_at + context.delay <= now
    ]
    latest = max(answered) + fakes.LEASE_S - fakes.QUORUM_DELAY_S
    assert lease.expires_at <= min(limit, latest + key_lease.MAX_RENEWAL_PERIOD_S)
    assert lease.expires_at <= now + fakes.LEASE_S - context.delay, lease.remaining


@behave.when("{seconds:g} seconds pass for it")
def when_seconds_pass(context, seconds):
    world = context.world
    context.remaining = []
    for _ in range(round(seconds / STEP_S)):
        world.run_for(STEP_S)
        if world.guard.lease is not None:
            context.remaining.append(world.guard.lease.remaining)


@behave.then("its lease never had less than {seconds:g} seconds left")
def then_lease_left(context, seconds):
    assert min(context.remaining) >= seconds, min(context.remaining)


def followed_calls(world):
    """Return when each call to the followed control host was received."""
    (address,) = world.watcher.followed
    (control,) = [each for each in world.controls if each.address == address]
    return [
        (received_at, request)
        for received_at, request in control.requests
        if not request.digests_only
    ]


@behave.then("its calls to the followed control host were at most 1.5 seconds apart")
def then_calls_apart(context):
    times = [received_at for received_at, _ in followed_calls(context.world)]
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert max(gaps) <= 1.5, max(gaps)


@behave.then("it made at most 0.2 calls per second more than without a limit")
def then_few_calls(context):
    def rate(world):
        return sum(len(each.requests) for each in world.controls) / 60

    with_limit = rate(context.world)
    other = fakes.World(revoke_within=None)
    with other.running():
        other.run_for(STARTUP_S + 60.0)
        without_limit = rate(other)
    assert with_limit - without_limit <= 0.2, (with_limit, without_limit)


@behave.then("it admits a request with a key and is ready")
def then_admitted(context):
    assert not context.world.is_refused()
    assert context.world.is_ready()


@behave.when("it is cut off for {seconds:d} seconds")
def when_cut_off(context, seconds):
    context.world.cut_off()
    context.world.run_for(seconds)


@behave.when("it is connected again for {seconds:d} seconds")
def when_connected(context, seconds):
    context.world.network.heal()
    context.world.run_for(seconds)


@behave.then("it refuses requests with a key, is not ready, and serves public routes")
def then_refused(context):
    world = context.world
    assert world.is_refused()
    assert world.is_refused(key="")
    assert not world.is_refused(path="/rany330/x", key="")
    assert not world.is_ready()


@behave.then("the loss was logged once")
def then_loss_logged(context):
    assert context.world.count_lines("key_lease_lost") == 1, context.world.lines


@behave.then("the loss and the return were logged once")
def then_return_logged(context):
    assert context.world.count_lines("key_lease_lost") == 1, context.world.lines
    # The first one is that at the start.
    assert context.world.count_lines("key_lease_acquired") == 2, context.world.lines


@behave.when("it is frozen for {seconds:d} seconds")
def when_frozen(context, seconds):
    world = context.world
    # The replies of the calls in flight were written before the freeze and are read
    # after it.
    world.channel.reply_delay = 0.5
    world.run_for(1.6)
    world.freeze(float(seconds))
    world.channel.reply_delay = 0.0


@behave.then("it refuses the first request with a key")
def then_first_refused(context):
    # Every reply that waited is read before the request.
    context.world.run_for(0.0)
    assert context.world.is_refused()


@behave.then("it admits requests with a key {seconds:d} seconds later")
def then_admitted_later(context, seconds):
    context.world.run_for(seconds)
    assert not context.world.is_refused()


@behave.when("every control host loses its majority for {seconds:d} seconds")
def when_majority_lost(context, seconds):
    for control in context.world.controls:
        control.lose_majority()
    context.world.run_for(seconds)


@behave.when("the leader is lost for 2.5 seconds at {count:d} different moments")
def when_leader_changes(context, count):
    world = context.world
    for number in range(count):
        world.run_for(5.0 + number * 0.037)
        for control in world.controls:
            control.lose_majority()
        world.run_for(2.5)
        for control in world.controls:
            control.regain_majority()


@behave.then("the lease was never lost")
def then_never_lost(context):
    assert context.world.count_lines("key_lease_lost") == 0, context.world.lines


@behave.when(
    "every control host restarts with its state on disk for {seconds:d} seconds"
)
def when_controls_restart(context, seconds):
    for control in context.world.controls:
        control.restart()
    context.world.run_for(seconds)


@behave.when("a document is published that the host can't read, and 6 seconds pass")
def when_unreadable(context):
    context.world.publish(2, b"{}")
    context.world.run_for(6.0)


@behave.when("the control hosts that it doesn't follow are ahead for 6 seconds")
def when_others_ahead(context):
    world = context.world
    context.confirmed = []
    renew = world.gateway.on_configuration_confirmed

    def record(revision, confirmed_at):
        before = world.guard.lease.expires_at
        renew(revision, confirmed_at)
        is_extended = world.guard.lease.expires_at > before
        context.confirmed.append((revision, world.gateway._revision, is_extended))

    world.gateway.on_configuration_confirmed = record
    for control in world.controls:
        if control.address not in world.watcher.followed:
            control.publish(2, fakes.document())
    world.run_for(6.0)


@behave.then("its lease was renewed only by confirmations of revisions in force")
def then_renewed_in_force(context):
    ahead = [each for each in context.confirmed if each[0] > each[1]]
    assert ahead, context.confirmed
    assert not any(is_extended for _, _, is_extended in ahead), ahead


@behave.when(
    "its wall clock steps back by {hours:d} hours and it is cut off for 5 seconds"
)
def when_wall_steps(context, hours):
    context.world.loop.clock.step_wall(-datetime.timedelta(hours=hours))
    context.world.cut_off()
    context.world.run_for(5.0)


@behave.then("a request with an unknown key gets {status:d}")
def then_unknown_key(context, status):
    assert context.world.request(key="unknown").status == status


@behave.when("a document with teams is published, and {seconds:g} seconds pass")
def when_teams_published(context, seconds):
    world = context.world
    assert not world.is_refused()
    # The first calls, before the document was known, started a lease.
    world.run_for(2 * fakes.LEASE_S)
    # Far from the comparisons with other control hosts, which would hide a late call.
    while world.loop.clock.monotonic() - last_comparison(world) > STEP_S:
        world.run_for(STEP_S / 4)
    world.publish(2, fakes.document())
    world.run_for(seconds)


def last_comparison(world):
    return max(
        received_at
        for control in world.controls
        for received_at, request in control.requests
        if request.digests_only
    )


@behave.then(
    "no call after the first reply asks for a confirmation, and calls are held 1.5 s"
)
def then_no_confirmations(context):
    world = context.world
    requests = [request for each in world.controls for _, request in each.requests[1:]]
    if world.guard.lease is None:
        assert not any(request.confirms for request in requests)
    waits = {request.wait_ms for _, request in followed_calls(world)[2:]}
    assert waits == {1500}, waits
    late = [request for _, request in followed_calls(world)[2:]]
    assert not any(request.confirms for request in late)


@behave.then("requests are admitted, and nothing about leases was logged")
def then_admitted_without_lease(context):
    assert not context.world.is_refused()
    assert context.world.is_ready()
    assert not any("key_lease" in line for line in context.world.lines)


@behave.given("a router with a lease and a sweep of a team over {count:d} shards")
def given_router(context, count):
    context.lines = []
    log.configure(level="INFO", sink=context.lines.append)
    context.add_cleanup(log.configure, level="CRITICAL")
    context.tier = routing.RouterHarness(revoke_within=fakes.REVOKE_S, burst=1000.0)
    names = [f"shard-{number}" for number in range(count)]
    table = routing.routing_table(1, routing.sweep_route(names))
    context.tier.apply_routing_table(
        routes.RoutingTable(
            number=1,
            routes=[routing.sweep_route(names)],
            limits_by_service=table.limits_by_service,
            caller_limits=table.caller_limits,
            teams=teams.TeamDirectory([TEAM]),
        )
    )
    for name in names:
        for zone in "ab":
            context.tier.apply_upstream_entries(
                routing.upstream_entry(f"{name}-{zone}", name, zone=zone)
            )
    now = context.tier.clock.monotonic()
    # It expires 20 ms from now, before any shard is hedged.
    confirmed_at = now - fakes.LEASE_S + 0.02
    context.tier.step(events.ConfigurationConfirmed(confirmed_at=confirmed_at))


@behave.when("a sweep straggles until the lease has expired")
def when_straggles(context):
    context.number = context.tier.request("/sweep/1", key_digest="digest")
    context.first_sends = len(context.tier.attempts_of(context.number))
    assert context.first_sends == 2
    context.tier.advance_clock(0.9)


@behave.then("no hedge is sent, and one line for each shard says so")
def then_not_hedged(context):
    sends = context.tier.attempts_of(context.number)
    assert len(sends) == context.first_sends, sends
    withheld = [line for line in context.lines if "event=hedge_withheld " in line]
    assert len(withheld) == context.first_sends, context.lines


@behave.when("the attempts of a sweep fail unsent after the lease has expired")
def when_fail_unsent(context):
    context.tier.starts_attempts = False
    context.number = context.tier.request("/sweep/1", key_digest="digest")
    context.tier.advance_clock(0.03)
    for send in context.tier.attempts_of(context.number):
        context.tier.fail_attempt(send, events.Fault.UNSENT)


@behave.then("no retry is sent, and the caller gets key_lease_expired")
def then_not_retried(context):
    assert len(context.tier.attempts_of(context.number)) == 2
    error = context.tier.final_actions_by_number[context.number].error
    assert error.code == "key_lease_expired" and error.status == 503, error
    assert error.retry_after > 0, error


@behave.when("an attempt waits for its only connection until it may not start any more")
def when_attempt_waits(context):
    asyncio.run(send_waiting_attempts(context))


async def send_waiting_attempts(context):
    async def serve(reader, writer):
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, asyncio.CancelledError):
                writer.close()
                return
            request_id = head.split(b"Request-Id: ")[1].split(b"\r\n")[0]
            context.received.append(request_id.decode())
            await asyncio.sleep(0.05)
            writer.write(
                b"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0\r\n"
                b"Request-Id: " + request_id + b"\r\n\r\n"
            )

    context.received = []
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    system_clock = clock.SystemClock()
    channel = exchanges.ExchangeChannel(
        names=header_names.HeaderNames(), clock=system_clock
    )
    futures = []
    for number, may_start in enumerate((True, False, True)):
        future = asyncio.get_running_loop().create_future()
        futures.append(future)
        exchange = exchanges.Exchange(
            attempt=number,
            address=f"{host}:{port}",
            request_id=f"r-{number}",
            head=request_head.RequestHead(
                method="GET",
                target="/x",
                headers=[("Host", "h"), ("Request-Id", f"r-{number}")],
            ),
            upstream_id="u-1",
            body=b"",
            deadline=system_clock.monotonic() + 5.0,
            on_start=lambda exchange: None,
            on_end=functools.partial(set_outcome, future),
            may_start=lambda may_start=may_start: may_start,
        )
        channel.send(exchange, max_connections=1)
    async with asyncio.timeout(5.0):
        context.outcomes = await asyncio.gather(*futures)
    context.opened = channel.connections_opened
    await channel.close()
    server.close()


def set_outcome(future, exchange, outcome):
    future.set_result(outcome)


@behave.then("it ends as not sent, and the next attempt uses the connection")
def then_not_sent(context):
    first, second, third = context.outcomes
    assert first.is_success and third.is_success, context.outcomes
    assert second.fault is events.Fault.UNSENT, second
    assert context.received == ["r-0", "r-2"], context.received
    assert context.opened == 1


@behave.then("a call of 1 second, held for 3 seconds, confirms nothing after its reply")
def then_held_clamped(context):
    confirmed_at = key_lease.confirmation_time(
        sent_at=10.0, received_at=11.0, held=3.0, staleness=-1.0
    )
    assert confirmed_at == 11.0, confirmed_at


@behave.then("a lease keeps its end when an older confirmation arrives")
def then_kept(context):
    lease = key_lease.KeyLease(revoke_within=5.0, clock=clock.ManualClock(start=10.0))
    assert not lease.is_valid()
    lease.renew(9.0)
    lease.renew(2.0)
    assert lease.expires_at == 13.5 and lease.is_valid(), lease.expires_at


@behave.then("revocations are not limited")
def then_not_limited(context):
    assert not settings.parse(context.settings_text).strict_revoke


@behave.then("revocations are limited to {seconds:d} seconds")
def then_limited(context, seconds):
    node = settings.parse(context.settings_text)
    assert node.strict_revoke and node.revoke_s == seconds, node
