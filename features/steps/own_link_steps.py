"""Steps about replies that queue on a host's own link."""

import behave

from fakes import load, routing
from greengagehaven import log
from greengagehaven.coordination.routing import events

GAP_S = 1.0
STALL_S = 0.1
BUSY_S = 0.12


@behave.given(
    "sweeps of {shards:d} parts of {size} bytes over a link of {rate} bytes a second"
)
def given_sweeps(context, shards, size, rate):
    names = [f"shard-{number}" for number in range(shards)]
    context.tier = routing.RouterHarness(burst=1000.0)
    route = routing.sweep_route(names, least_coverage=0.95)
    single = routing.single_route((names[0], 1.0))
    context.tier.apply_routing_table(routing.routing_table(1, route, single))
    for name in names:
        for zone in "abc":
            context.tier.apply_upstream_entries(
                routing.upstream_entry(f"{name}-{zone}", name, zone=zone)
            )
    context.link = load.NetworkLink(
        size=int(size.replace(",", "")), rate=int(rate.replace(",", ""))
    )


@behave.given("upstreams that take {work:d} ms")
def given_work(context, work):
    context.load = load.Load(
        tier=context.tier, link=context.link, work_of=lambda send, now: work / 1000
    )


@behave.given(
    "upstreams that take {work:d} ms, of which every {nth:d}th request stalls"
)
def given_stalls(context, work, nth):
    context.stall_count = 0

    def work_of(send, now):
        is_first = send.attempt not in context.hedges
        context.request_count += 1
        if is_first and context.request_count % nth == 0:
            context.stall_count += 1
            return STALL_S
        return work / 1000

    context.request_count, context.hedges = 0, set()
    context.load = load.Load(tier=context.tier, link=context.link, work_of=work_of)


@behave.when("{count:d} sweeps are simulated")
def when_sweeps_simulated(context, count):
    context.load.run(count=count, gap_s=GAP_S)


@behave.when(
    "{count:d} sweeps are simulated while another reply arrives every {gap:d} ms"
)
def when_simulated_busy(context, count, gap):
    for _ in range(count):
        context.load.run(count=1, gap_s=0.0)
        for _ in range(round(BUSY_S * 1000 / gap)):
            context.load.run_until(context.load.now + gap / 1000)
            other = context.tier.request("/single/1")
            (send,) = context.tier.attempts_of(other)
            context.load.exclude(send)
            context.tier.answer_attempt(send)
        context.load.run_until(context.load.now + GAP_S)


@behave.then("at most twice as many shards were hedged as stalled")
def then_few_hedges(context):
    numbers = context.load.started_by_number
    sends = [send for _, send in context.load.sends if send.number in numbers]
    hedges = len(sends) - len(numbers) * 36
    assert context.stall_count and 0 < hedges <= 2 * context.stall_count, (
        hedges,
        context.stall_count,
    )


@behave.then("at least {share:g} of the sweeps were answered within {most:d} ms")
def then_within(context, share, most):
    assert context.load.fraction_within(most / 1000) >= share, sorted(
        context.load.latencies
    )


@behave.when("a sweep arrives and a helper reports all but {count:d} of its shards")
def when_most_reported(context, count):
    tier = context.tier
    number = tier.request("/sweep/1")
    delegate = tier.delegated[0]
    reported, unreported = delegate.sends[:-count], delegate.sends[-count:]
    context.sent_before = len(tier.attempts_of(number))
    context.unreported = unreported
    context.number = number
    tier.advance_clock(0.03)
    ended = tuple(
        events.AttemptEnded(
            attempt=send.attempt,
            outcome=events.Replied(
                status=200, is_success=True, took=0.012, is_merged=True
            ),
        )
        for send in reported
    )
    straggling = tuple(send.attempt for send in unreported)
    tier.step(events.AttemptsReported(ended=ended, straggling=straggling))


@behave.then("these {count:d} are hedged immediately, and no others")
def then_hedged(context, count):
    hedges = context.tier.attempts_of(context.number)[context.sent_before :]
    assert len(hedges) == count, hedges
    services = {send.upstream_id.rpartition("-")[0] for send in hedges}
    assert services == {
        send.upstream_id.rpartition("-")[0] for send in context.unreported
    }


@behave.when("{count:d} sweep is simulated")
def when_sweep_simulated(context, count):
    context.log_lines = []
    log.configure(sink=context.log_lines.append)
    context.load.run(count=count, gap_s=GAP_S)
    log.configure(level="CRITICAL")


@behave.then(
    "the log line of its end says {size:d} bytes between {first:d} and {last:d} ms"
)
def then_logged(context, size, first, last):
    (line,) = [line for line in context.log_lines if "event=ended" in line]
    fields = dict(pair.split("=", 1) for pair in line.split() if "=" in pair)
    assert int(fields["bytes"]) == size, line
    assert int(fields["first_ms"]) == first, line
    assert int(fields["last_ms"]) == last, line
