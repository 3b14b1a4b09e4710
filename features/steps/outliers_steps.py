"""Steps about upstreams that entry hosts find slow or faulty."""

import behave

from fakes import routing, sweeps
from greengagehaven.coordination.routing import events
from greengagehaven.protocol import watching
from greengagehaven.state import outliers

UPSTREAMS = 30
SLOW = watching.OutlierKind.SLOW
FAULTY = watching.OutlierKind.FAULTY


def outlier_of(upstream_id, *, kind=SLOW, incarnation=1):
    return watching.Outlier(upstream_id=upstream_id, incarnation=incarnation, kind=kind)


@behave.given("an outlier log")
def given_log(context):
    context.log = outliers.OutlierLog()
    context.now = 100.0
    context.announced = 0


def report(context, hosts, upstream_id, times, seconds):
    for index in range(times):
        found = outlier_of(upstream_id)
        host_id = f"h-{index % hosts}"
        context.announced += context.log.record_report(
            found, host_id, context.now, upstreams=UPSTREAMS
        )
        context.now += seconds / times


@behave.when("{hosts:d} hosts report {upstream_id} within {seconds:f} seconds")
def when_reported(context, hosts, upstream_id, seconds):
    report(context, hosts, upstream_id, hosts, seconds)


@behave.when("{hosts:d} host reports {upstream_id} {times:d} times over 1 second")
@behave.when("{hosts:d} hosts report {upstream_id} {times:d} times over 1 second")
def when_reported_times(context, hosts, upstream_id, times):
    report(context, hosts, upstream_id, times, 1.0)


@behave.when("{seconds:d} seconds pass and 1 host reports {upstream_id} once")
def when_later(context, seconds, upstream_id):
    context.now += seconds
    report(context, 1, upstream_id, 1, 0.0)


@behave.when("each of {count:d} upstreams is reported by 2 hosts 4 times over 1 second")
def when_all_reported(context, count):
    for index in range(4):
        for number in range(count):
            report(context, 1, f"u-{number}", 1, 0.0)
            found = outlier_of(f"u-{number}")
            context.announced += context.log.record_report(
                found, f"other-{index}", context.now, upstreams=UPSTREAMS
            )
        context.now += 0.25


@behave.then("no upstream is announced")
def then_none_announced(context):
    assert context.announced == 0


@behave.when("another control host announces {upstream_id}")
def when_received(context, upstream_id):
    context.log.add_remote(outlier_of(upstream_id), context.now)


@behave.then("{upstream_id} is not announced")
def then_not_announced(context, upstream_id):
    assert context.announced == 0
    assert context.log.outliers_since(0, context.now) == ()


@behave.then("{upstream_id} is announced once")
def then_announced_once(context, upstream_id):
    assert context.announced == 1, context.announced


@behave.then("{upstream_id} is announced a second time")
def then_announced_twice(context, upstream_id):
    assert context.announced == 2, context.announced
    assert context.log.outliers_since(1, context.now) == (outlier_of(upstream_id),)


@behave.then("4 seconds later a host that starts to watch gets no outlier")
def then_no_outlier(context):
    context.now += 4.0
    assert context.log.outliers_since(0, context.now) == ()


@behave.then("an entry host gets {upstream_id}, a control host does not")
def then_entry_host_only(context, upstream_id):
    assert context.log.outliers_since(0, context.now) == (outlier_of(upstream_id),)
    assert context.log.outliers_since(0, context.now, local_only=True) == ()


def report_outliers(context, *found):
    context.tier.step(events.OutliersReported(outliers=found))


def chosen_upstream(context):
    """Send a sweep and answer it; return the upstream that it went to."""
    return sweeps.run_sweep(context, 0.012)


@behave.when("other hosts found the upstream of its own zone slow")
def when_own_slow(context):
    assert chosen_upstream(context) == "shard-0-u0"
    report_outliers(context, outlier_of("shard-0-u0"))


@behave.when(
    "other hosts found an earlier incarnation of the upstream of its own zone slow"
)
def when_earlier_slow(context):
    report_outliers(context, outlier_of("shard-0-u0", incarnation=0))


@behave.when("other hosts found all upstreams slow")
def when_all_slow(context):
    report_outliers(context, *(outlier_of(f"shard-0-u{number}") for number in range(3)))


@behave.then("none of the next {count:d} sweeps goes to the upstream of its own zone")
def then_avoided(context, count):
    chosen = [chosen_upstream(context) for _ in range(count)]
    assert "shard-0-u0" not in chosen, chosen


@behave.then("the next sweep goes to the upstream of its own zone")
def then_not_avoided(context):
    assert chosen_upstream(context) == "shard-0-u0"


@behave.then("a sweep is still sent and answered")
def then_still_sent(context):
    chosen_upstream(context)
    (ending,) = context.tier.final_actions_by_number.values()
    assert isinstance(ending, events.AnswerParts), ending


@behave.when("{count:d} sweeps take {usual:d} ms and the next one {ms:d} ms")
def when_next_slow(context, count, usual, ms):
    for _ in range(count):
        sweeps.run_sweep(context, usual / 1000)
    number = context.tier.request("/sweep/1")
    (send,) = context.tier.attempts_of(number)
    context.tier.advance_clock(ms / 1000)
    context.tier.answer_attempt(send)


@behave.when("a sweep is rejected once with free slots")
def when_rejected_once(context):
    context.tier.outliers.clear()
    number = context.tier.request("/sweep/1")
    idle = events.Load(running=0, waiting=0, slots=2)
    send = context.tier.attempts_of(number)[0]
    context.tier.answer_attempt(send, status=503, not_run=True, load=idle)


@behave.then("1 {kind} upstream is reported")
def then_reported(context, kind):
    (found,) = context.tier.outliers
    assert found.kind == kind, found


@behave.when("2 entry hosts report {upstream_id} {times:d} times over 1 second")
def when_entries_report(context, upstream_id, times):
    for number in range(UPSTREAMS):
        context.fleet.announce("b", f"u-{number}")
    context.fleet.run_for(1.0)
    for control in context.fleet.controls_by_zone.values():
        control.sent_entry_count = 0
    for _ in range(times):
        for entry in context.fleet.entries[:2]:
            found = outlier_of(upstream_id)
            context.fleet.loop.call_soon(entry.watcher.reporter.report_outlier, found)
        context.fleet.run_for(1.0 / times)


@behave.then(
    "within {seconds:d} second every entry host knows of outlier {upstream_id}"
)
def then_fleet_knows(context, seconds, upstream_id):
    wanted = outlier_of(upstream_id)
    context.fleet.wait_for(seconds, lambda entry: wanted in entry.outliers)


@behave.given("{count:d} hosts that know that an upstream is slow")
def given_hosts_that_know(context, count):
    context.sending_hosts = 0
    for number in range(count):
        tier = routing.RouterHarness(host_id=f"h-{number}")
        tier.apply_routing_table(
            routing.routing_table(1, routing.sweep_route(["shard-0"]))
        )
        tier.apply_upstream_entries(*sweeps.upstream_entries("shard-0", 3))
        tier.step(events.OutliersReported(outliers=(outlier_of("shard-0-u0"),)))
        (send,) = tier.attempts_of(tier.request("/sweep/1"))
        context.sending_hosts += send.upstream_id == "shard-0-u0"


@behave.then("between {least:d} and {most:d} of them still send to it first")
def then_still_send(context, least, most):
    assert least <= context.sending_hosts <= most, context.sending_hosts
