"""Steps for finding the causes of request outcomes in logs."""

import behave
from click import testing

from greengagehaven import cli, log
from greengagehaven.explain import lines, request_report, summary

REQUEST = "r-1"
PLANNED = f"planned request={REQUEST} route=sweep objective_ms=100 plan=x"
HEDGE = f"hedge request={REQUEST} service=s3"
HEDGE_REFUSED = f"hedge_refused request={REQUEST} service=s3"
ATTEMPT_FAILED = f"attempt_failed request={REQUEST} service=s3 reason=lost"
UPSTREAM_OUT_OF_REACH = (
    "upstream_out_of_reach upstream=u-3 service=s3 zone=b reason=connect"
)

CONTACT_LOST = "control_contact_lost age_ms=14999 known=3 current=0 revision=1"
KEY_LEASE_LOST = "key_lease_lost confirmed_ms=5299 noticed_ms=799"


def ended(outcome, *, missing="", took=40, parts=4):
    return (
        f"ended request={REQUEST} route=sweep outcome={outcome} parts={parts} "
        f'missing="{missing}" took_ms={took}'
    )


def refused(code):
    return f"refused request={REQUEST} code={code} host=h table=0"


EVENTS_BY_CASE = {
    "is answered completely": [PLANNED, ended("answered")],
    "arrives before the host has a route table": [refused("not_configured")],
    "matches no route": [refused("not_found")],
    "matches no route of an old configuration": [CONTACT_LOST, refused("not_found")],
    "has an unknown key": [refused("unauthorized")],
    "arrives after the key lease expired": [
        KEY_LEASE_LOST,
        refused("key_lease_expired"),
    ],
    "loses the key lease before its attempts are sent": [
        PLANNED,
        ended("key_lease_expired", missing="s3:unsent_no_key_lease", parts=0),
    ],
    "misses a shard that the key lease kept from a hedge": [
        PLANNED,
        f"hedge_withheld request={REQUEST} service=s3",
        ended("partial", missing="s3:waiting", parts=3),
    ],
    "crashed upstreams before": [refused("quarantined")],
    "is above its team's limit over all hosts": [refused("usage_cap_exceeded")],
    "misses an unreachable shard": [
        UPSTREAM_OUT_OF_REACH,
        PLANNED,
        ended("partial", missing="s3:no_upstream", parts=3),
    ],
    "misses a shard that was hedged and slow": [
        PLANNED,
        HEDGE,
        ended("partial", missing="s3:waiting", parts=3),
    ],
    "misses a shard that was slow and not hedged": [
        PLANNED,
        ended("partial", missing="s3:waiting", parts=3),
    ],
    "misses a shard whose hedge had no budget": [
        PLANNED,
        HEDGE_REFUSED,
        ended("partial", missing="s3:waiting", parts=3),
    ],
    "lost a reply and had no budget for a retry": [
        PLANNED,
        ATTEMPT_FAILED,
        ended("upstreams_failed", missing="s3:lost_no_budget", parts=0),
    ],
    "lost both replies of a shard": [
        PLANNED,
        ATTEMPT_FAILED,
        ATTEMPT_FAILED,
        ended("upstreams_failed", missing="s3:lost,s4:waiting", parts=0),
    ],
    "is refused as too many shards are missing": [
        PLANNED,
        ended("incomplete", missing="s1:waiting,s2:waiting,s3:no_upstream", parts=0),
    ],
    "is refused as two shards have no upstream that answers": [
        PLANNED,
        ended(
            "incomplete", missing="s1:waiting,s2:unavailable,s3:unavailable", parts=0
        ),
    ],
    "is answered completely after a hedge, but late": [
        PLANNED,
        HEDGE,
        ended("answered", took=140),
    ],
    "is abandoned by its caller": [PLANNED, ended("caller_left", missing="s3:waiting")],
}


def format_log(events, *, host="", second=0):
    log_lines = []
    for number, event in enumerate(events):
        name, _, rest = event.partition(" ")
        timestamp = f"2026-01-01T00:00:{second:02}.{number:03}+00:00"
        log_lines.append(f"{host} time={timestamp} level=info event={name} {rest}\n")
    return log_lines


def started(host):
    return f"started host={host} zone=a"


@behave.given("a log in which a sweep {case}")
def given_log(context, case):
    context.logged = format_log([started("entry-1"), *EVENTS_BY_CASE[case]])


@behave.given("a log in which each line of two hosts is prefixed with the host name")
def given_two_hosts(context):
    context.logged = [
        line
        for host in ("entry-1", "entry-2")
        for line in format_log([started(host), PLANNED, ended("answered")], host=host)
    ]


@behave.given("lines that are no events are mixed in, and the last one is truncated")
def given_noise(context):
    noise = ["\n", "a word\n", "time=never event=ended\n", "event=ended request=r-1\n"]
    context.logged = [*noise, *context.logged[:-1], *noise, context.logged[-1]]
    context.logged.append(context.logged[-1][:30])


@behave.given(
    "a log of {complete:d} sweeps answered completely and {partial:d} that miss "
    "an unreachable shard"
)
def given_day(context, complete, partial):
    context.logged = format_log([started("entry-1")])
    cases = ["is answered completely"] * complete
    cases += ["misses an unreachable shard"] * partial
    for second, case in enumerate(cases, 1):
        log_lines = format_log(EVENTS_BY_CASE[case], second=second)
        context.logged += [line.replace(REQUEST, f"r-{second}") for line in log_lines]


@behave.when("the sweep is looked up in the log")
def when_looked_up(context):
    context.reports = request_report.find(lines.read(context.logged), REQUEST)


@behave.when("the log is summarized")
def when_summarized(context):
    context.summary = summary.Summary()
    for line in lines.read(context.logged):
        context.summary.add(line)


@behave.when("the command looks up request {request_id} in an empty log")
def when_command(context, request_id):
    runner = testing.CliRunner()
    context.result = runner.invoke(
        cli.greengagehaven, ["explain", request_id], input=""
    )


@behave.then("its outcome is {outcome} and its cause {cause}")
def then_outcome(context, outcome, cause):
    (report,) = context.reports
    assert (report.fate, report.cause) == (outcome, cause), (report.fate, report.cause)


@behave.then("the report names the host, its zone and the unreachable upstream")
def then_report(context):
    (report,) = context.reports
    text = "\n".join(report.format_lines())
    assert "on entry-1 at " in text, text
    assert "zone a" in text, text
    assert "u-3 out of reach for 1 ms" in text, text
    assert log.format_value("s3:no_upstream") in text, text


@behave.then("each host has a report of its own")
def then_two_reports(context):
    assert [report.host for report in context.reports] == ["entry-1", "entry-2"]


@behave.then(
    "{count:d} requests are counted, and {lost:d} of them lost {loss_each:g} each "
    "due to {cause}"
)
def then_summarized(context, count, lost, loss_each, cause):
    assert len(context.summary.ended) == count
    ((key, requests, loss),) = context.summary.lost_by("cause")
    assert key == (cause,), key
    assert requests == lost, requests
    assert abs(loss - lost * loss_each) < 1e-9, loss


@behave.then("it fails and reports that no line names {request_id}")
def then_fails(context, request_id):
    assert context.result.exit_code == 1, context.result.output
    assert f"no line names request {request_id}" in context.result.output


@behave.then("the report says that the host was without a key lease for {ms:d} ms")
def then_without_lease(context, ms):
    (report,) = context.reports
    # The refusal is logged 1 ms after the loss in this log.
    assert f"without a key lease for {ms} ms" in report.state_lines, report.state_lines


@behave.then("the report says that the host was without contact for {ms:d} ms")
def then_without_contact(context, ms):
    (report,) = context.reports
    expected = f"without contact to the control hosts for {ms} ms"
    assert expected in report.state_lines, report.state_lines
