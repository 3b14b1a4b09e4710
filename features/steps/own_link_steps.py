"""Steps about parts that wait for each other on a host's own link."""

import behave

from fakes import load, routing
from greengagehaven import log

GAP_S = 1.0
SPREAD = 0.35


@behave.given(
    "sweeps of {shards:d} parts of {size} bytes over a link of {rate} bytes a second"
)
def given_sweeps(context, shards, size, rate):
    names = [f"shard-{number}" for number in range(shards)]
    context.tier = routing.RoutingTier(burst=1000.0)
    route = routing.sweep_route(names, least_coverage=0.95)
    context.tier.put_table(routing.table(1, route))
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
