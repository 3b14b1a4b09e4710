"""Steps about reading causes from logs."""

import behave
from click import testing

from greengagehaven import cli, log
from greengagehaven.explain import lines, request_report, summary

REQUEST = "r-1"
PLANNED = f"planned request={REQUEST} route=sweep objective_ms=100 plan=x"
HEDGE = f"hedge request={REQUEST} service=s3"
NO_TOKEN = f"hedge_refused request={REQUEST} service=s3"
FAILED = f"attempt_failed request={REQUEST} service=s3 reason=lost"
LOST_UPSTREAM = "upstream_out_of_reach upstream=u-3 service=s3 zone=b reason=connect"


def ended(outcome, *, missing="", took=40, parts=4):
    return (
        f"ended request={REQUEST} route=sweep outcome={outcome} parts={parts} "
        f'missing="{missing}" took_ms={took}'
    )


def refused(code):
    return f"refused request={REQUEST} code={code} host=h table=0"


STORIES = {
    "is answered in full": [PLANNED, ended("answered")],
    "arrives before the host has a table": [refused("not_configured")],
    "matches no route": [refused("not_found")],
    "crashed upstreams before": [refused("quarantined")],
    "lacks a shard out of reach": [
        LOST_UPSTREAM,
        PLANNED,
        ended("partial", missing="s3:no_upstream", parts=3),
    ],
    "lacks a shard that was hedged and slow": [
        PLANNED,
        HEDGE,
        ended("partial", missing="s3:waiting", parts=3),
    ],
    "lacks a shard that was slow and had no hedge": [
        PLANNED,
        ended("partial", missing="s3:waiting", parts=3),
    ],
    "lacks a shard whose hedge had no token": [
        PLANNED,
        NO_TOKEN,
        ended("partial", missing="s3:waiting", parts=3),
    ],
    "lost a reply and had no token for another": [
        PLANNED,
        FAILED,
        ended("upstreams_failed", missing="s3:lost_no_budget", parts=0),
    ],
    "lost both replies of a shard": [
        PLANNED,
        FAILED,
        FAILED,
        ended("upstreams_failed", missing="s3:lost,s4:waiting", parts=0),
    ],
    "is refused as two shards cannot be reached": [
        PLANNED,
        ended("incomplete", missing="s1:waiting,s2:waiting,s3:no_upstream", parts=0),
    ],
    "is answered in full after a hedge, but late": [
        PLANNED,
        HEDGE,
        ended("answered", took=140),
    ],
    "is left by its caller": [PLANNED, ended("caller_left", missing="s3:waiting")],
}


def text_of(events, *, host="", second=0):
    written = []
    for number, event in enumerate(events):
        name, _, rest = event.partition(" ")
        moment = f"2026-01-01T00:00:{second:02}.{number:03}+00:00"
        written.append(f"{host} time={moment} level=info event={name} {rest}\n")
    return written


def start(host):
    return f"started host={host} zone=a"


@behave.given("a log in which a sweep {what}")
def given_log(context, what):
    context.logged = text_of([start("entry-1"), *STORIES[what]])


@behave.given("a log in which two hosts' lines stand behind their names")
def given_two_hosts(context):
    context.logged = [
        line
        for host in ("entry-1", "entry-2")
        for line in text_of([start(host), PLANNED, ended("answered")], host=host)
    ]


@behave.given("lines that are no events stand between, and the last one is cut short")
def given_noise(context):
    noise = ["\n", "a word\n", "time=never event=ended\n", "event=ended request=r-1\n"]
    context.logged = [*noise, *context.logged[:-1], *noise, context.logged[-1]]
    context.logged.append(context.logged[-1][:30])


@behave.given(
    "a log of {whole:d} sweeps answered in full and {partial:d} that lack a shard "
    "out of reach"
)
def given_day(context, whole, partial):
    context.logged = text_of([start("entry-1")])
    stories = ["is answered in full"] * whole
    stories += ["lacks a shard out of reach"] * partial
    for second, told in enumerate(stories, 1):
        written = text_of(STORIES[told], second=second)
        context.logged += [line.replace(REQUEST, f"r-{second}") for line in written]


@behave.when("the log is asked about the sweep")
def when_asked(context):
    context.stories = request_report.find(lines.read(context.logged), REQUEST)


@behave.when("the log is summed up")
def when_summed(context):
    context.summary = summary.Summary()
    for line in lines.read(context.logged):
        context.summary.add(line)


@behave.when("the command is asked about request {request_id} in an empty log")
def when_command(context, request_id):
    runner = testing.CliRunner()
    context.result = runner.invoke(
        cli.greengagehaven, ["explain", request_id], input=""
    )


@behave.then("it ended {fate} by {cause}")
def then_ended(context, fate, cause):
    (told,) = context.stories
    assert (told.fate, told.cause) == (fate, cause), (told.fate, told.cause)


@behave.then("the page names the host, its zone and the upstream out of reach")
def then_page(context):
    (told,) = context.stories
    page = "\n".join(told.format_lines())
    assert "on entry-1 at " in page, page
    assert "zone a" in page, page
    assert "u-3 out of reach for 1 ms" in page, page
    assert log.format_value("s3:no_upstream") in page, page


@behave.then("each host has a page of its own")
def then_two_pages(context):
    assert [told.host for told in context.stories] == ["entry-1", "entry-2"]


@behave.then(
    "{count:d} requests are counted, and {lost:d} of them lost {worth:g} each by "
    "{cause}"
)
def then_summed(context, count, lost, worth, cause):
    assert len(context.summary.ended) == count
    ((key, requests, loss),) = context.summary.lost_by("cause")
    assert key == (cause,), key
    assert requests == lost, requests
    assert abs(loss - lost * worth) < 1e-9, loss


@behave.then("it fails and says that no line names {request_id}")
def then_fails(context, request_id):
    assert context.result.exit_code == 1, context.result.output
    assert f"no line names request {request_id}" in context.result.output
