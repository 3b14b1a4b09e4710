"""Steps about parts that wait for each other on a host's own link."""

import behave

from fakes import load, routing
from greengagehaven import log
from greengagehaven.coordination.routing import events

GAP_S = 1.0
STILL_S = 0.1
BUSY_S = 0.12


@behave.given(
    "sweeps of {shards:d} parts of {size} bytes over a link of {rate} bytes a second"
)
def given_sweeps(context, shards, size, rate):
    names = [f"shard-{number}" for number in range(shards)]
    context.tier = routing.RoutingTier(burst=1000.0)
    route = routing.sweep_route(names, least_coverage=0.95)
    single = routing.single_route((names[0], 1.0))
    context.tier.put_table(routing.table(1, route, single))
    for name in names:
        for zone in "abc":
            context.tier.put(routing.entry(f"{name}-{zone}", name, zone=zone))
    context.link = load.Link(
        size=int(size.replace(",", "")), rate=int(rate.replace(",", ""))
    )


@behave.given("upstreams that take {work:d} ms")
def given_work(context, work):
    context.load = load.Load(
        tier=context.tier, link=context.link, work_of=lambda send, now: work / 1000
    )


@behave.given("upstreams that take {work:d} ms, of which each {nth:d}th stands still")
def given_pauses(context, work, nth):
    context.still = 0

    def work_of(send, now):
        is_first = send.attempt not in context.hedges
        context.asked += 1
        if is_first and context.asked % nth == 0:
            context.still += 1
            return STILL_S
        return work / 1000

    context.asked, context.hedges = 0, set()
    context.load = load.Load(tier=context.tier, link=context.link, work_of=work_of)


@behave.when("{count:d} sweeps are played")
def when_sweeps_played(context, count):
    context.load.play(count=count, gap_s=GAP_S)


@behave.when("{count:d} sweeps are played while another reply comes each {gap:d} ms")
def when_played_busy(context, count, gap):
    for _ in range(count):
        context.load.play(count=1, gap_s=0.0)
        for _ in range(round(BUSY_S * 1000 / gap)):
            context.load.run_until(context.load.now + gap / 1000)
            other = context.tier.request("/single/1")
            (send,) = context.tier.attempts_of(other)
            context.load.skip(send)
            context.tier.reply(send)
        context.load.run_until(context.load.now + GAP_S)


@behave.then("at most twice as many shards were hedged as stood still")
def then_few_hedges(context):
    numbers = context.load.started_by_number
    sends = [send for _, send in context.load.sends if send.number in numbers]
    hedges = len(sends) - len(numbers) * 36
    assert context.still and 0 < hedges <= 2 * context.still, (hedges, context.still)


@behave.then("at least {share:g} of the sweeps were answered within {most:d} ms")
def then_within(context, share, most):
    assert context.load.share_within(most / 1000) >= share, sorted(
        context.load.latencies
    )


@behave.when("a sweep arrives and a helper reports all but {count:d} of its shards")
def when_most_reported(context, count):
    tier = context.tier
    number = tier.request("/sweep/1")
    delegate = tier.delegated[0]
    done, left = delegate.sends[:-count], delegate.sends[-count:]
    context.seen = len(tier.attempts_of(number))
    context.left = left
    context.number = number
    tier.pass_time(0.03)
    ended = tuple(
        events.AttemptEnded(
            attempt=send.attempt,
            outcome=events.Replied(
                status=200, is_success=True, took=0.012, is_merged=True
            ),
        )
        for send in done
    )
    still = tuple(send.attempt for send in left)
    tier.step(events.AttemptsReported(ended=ended, open=still))


@behave.then("these {count:d} are hedged at once, and no other")
def then_hedged(context, count):
    hedges = context.tier.attempts_of(context.number)[context.seen :]
    assert len(hedges) == count, hedges
    services = {send.upstream_id.rpartition("-")[0] for send in hedges}
    assert services == {send.upstream_id.rpartition("-")[0] for send in context.left}


@behave.when("{count:d} sweep is played")
def when_played(context, count):
    context.lines = []
    log.configure(sink=context.lines.append)
    context.load.play(count=count, gap_s=GAP_S)
    log.configure(level="CRITICAL")


@behave.then(
    "the line of its end tells {size:d} bytes between {first:d} and {last:d} ms"
)
def then_told(context, size, first, last):
    (line,) = [line for line in context.lines if "event=ended" in line]
    fields = dict(pair.split("=", 1) for pair in line.split() if "=" in pair)
    assert int(fields["bytes"]) == size, line
    assert int(fields["first_ms"]) == first, line
    assert int(fields["last_ms"]) == last, line
