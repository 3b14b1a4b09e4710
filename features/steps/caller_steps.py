"""Steps for callers of daemons that run in this process, on loopback."""

import asyncio
import http.server
import itertools
import json
import threading

import behave
import hypothesis
from hypothesis import strategies

import greengagehaven
from greengagehaven import exceptions, log
from greengagehaven.daemons import dev
from greengagehaven.transport import http_client

SERVICES = ("credits-0", "credits-1")
BODY = {"services": list(SERVICES), "kind": "sweep"}
RETIRE_BODY = {
    "services": ["credits-0"],
    "kind": "retire",
    "query": {"key": "credits-0:1"},
}
KEY = {"Authorization": f"Bearer {dev.DEMO_KEY}"}
REQUESTS_BY_MISTAKE = {
    "a wrong key": (BODY, {"Authorization": "Bearer wrong"}),
    "no key": (BODY, {}),
    "bad JSON": (b'{"services": [', KEY),
    "an unknown field": ({**BODY, "snapshot": 3}, KEY),
    "an unknown service": ({**BODY, "services": ["nowhere"]}, KEY),
    "an unknown kind": ({**BODY, "kind": "guess"}, KEY),
    "no service": ({**BODY, "services": []}, KEY),
    "a zero deadline": (BODY, {**KEY, "Request-Timeout-Ms": "0"}),
    "no idempotency key": (RETIRE_BODY, KEY),
}


@behave.given("a development environment on loopback")
def given_environment(context):
    _given_environment(context, upstream_count=3)


@behave.given("a development environment on loopback without upstreams")
def given_bare_environment(context):
    _given_environment(context, upstream_count=0)


def _given_environment(context, upstream_count):
    log.configure(level="CRITICAL")
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    settings = dev.DevSettings(
        entry_port=0,
        operator_port=0,
        services=SERVICES,
        upstream_count=upstream_count,
    )
    context.dev = dev.DevEnvironment(dev_settings=settings)
    context.add_cleanup(lambda: context.runner.run(context.dev.close()))
    context.runner.run(_start(context.dev))


async def _start(environment):
    await environment.start()
    await environment.wait_for_upstreams()


async def _request(environment, method, path, body, headers):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    client = http_client.HttpClient(address=environment.entries[0].address)
    try:
        return await client.request(method, path, body=data, headers=headers)
    finally:
        client.close()


def _search(context, **options):
    url = f"http://{context.dev.entries[0].address}"
    search = greengagehaven.search(url, SERVICES, "sweep", key=dev.DEMO_KEY, **options)
    return context.runner.run(search)


@behave.when("the client searches credits-0 and credits-1 by sweep")
def when_client_searches(context):
    context.answer = _search(context)


@behave.then("the answer is complete, of one snapshot, with rows of both services")
def then_answer_complete(context):
    answer = context.answer
    assert answer.coverage.complete and answer.coverage.total == len(SERVICES)
    assert {result.service for result in answer.results} == set(SERVICES)
    assert {result.row["snapshot"] for result in answer.results} == {answer.snapshot}


@behave.when("a search is sent with {mistake}")
def when_search_with_mistake(context, mistake):
    body, headers = REQUESTS_BY_MISTAKE[mistake]
    request = _request(context.dev, "POST", "/v1/search", body, headers)
    context.reply = context.runner.run(request)


@behave.then("it is refused with status {status:d}, code {code} and ran no")
def then_refused(context, status, code):
    problem = json.loads(context.reply.body)
    got = (context.reply.status, problem["code"], problem["ran"])
    assert got == (status, code, "no"), context.reply
    assert context.reply.headers["content-type"] == "application/problem+json"
    assert context.dev.tally.runs == 0


@behave.then("the environment still answers")
def then_still_answers(context):
    assert _search(context).coverage.complete


@behave.when("the same billed request is sent through every entry host")
def when_billed_everywhere(context):
    async def send(host, delay):
        await asyncio.sleep(delay)
        async with greengagehaven.Session(
            f"http://{host.address}", key=dev.DEMO_KEY
        ) as session:
            try:
                return await session.search(
                    RETIRE_BODY["services"],
                    RETIRE_BODY["kind"],
                    RETIRE_BODY["query"],
                    idempotency_key="order-1",
                )
            except exceptions.RequestError as error:
                return error

    async def send_all():
        first = await send(context.dev.entries[0], 0)
        rest = [send(host, 0) for host in context.dev.entries]
        return [first, *await asyncio.gather(*rest)]

    context.answers = context.runner.run(send_all())


@behave.then("the answers are the same and the upstreams ran it once")
def then_ran_once(context):
    first = context.answers[0]
    assert not isinstance(first, Exception), first
    assert first.coverage.complete
    for answer in context.answers:
        assert answer.results == first.results, answer
    assert context.dev.tally.runs == 1
    assert context.dev.tally.doubled == 0


@behave.when("arbitrary announcements are posted many times")
def when_arbitrary_announcements(context):
    context.replies = []
    valid = {
        "id": "u-1",
        "incarnation": 1,
        "sequence": 1,
        "address": "127.0.0.1:9",
        "availability_zone": "a",
        "state": "starting",
        "slots": 2,
        "max_connections": 25,
        "snapshots": [41],
        "shards": [
            {"service": "other", "shard": 0, "shard_count": 1, "partitioning": 3}
        ],
    }
    values = (
        strategies.sampled_from([0, -1, "127.0.0.1", "host:80", "127.0.0.1:0", ""])
        | strategies.none()
        | strategies.integers()
        | strategies.text(max_size=20)
        | strategies.lists(strategies.integers(), max_size=3)
    )
    changes = strategies.dictionaries(
        strategies.sampled_from(sorted(valid)), values, min_size=1, max_size=2
    )
    # Each announcement has its own id, as one for a known upstream could be
    # refused for that reason alone.
    numbers = itertools.count(2)
    bodies = changes.map(
        lambda change: json.dumps(
            {**valid, "id": f"u-{next(numbers)}", **change}
        ).encode()
    )

    @hypothesis.settings(
        database=None, derandomize=True, max_examples=200, deadline=None
    )
    @hypothesis.given(bodies | strategies.binary(max_size=100))
    def post(body):
        request = _request(context.dev, "POST", "/v1/announce", body, {})
        context.replies.append(context.runner.run(request))

    post()


@behave.then("each gets an error code or a lease")
def then_coded_or_lease(context):
    assert len(context.replies) >= 100
    for reply in context.replies:
        body = json.loads(reply.body)
        is_lease = reply.status == 200 and body["lease_ms"] > 0
        has_error_code = 400 <= reply.status < 500 and body["code"]
        assert is_lease or has_error_code, reply


@behave.then("every upstream in the directory is valid")
def then_directory_valid(context):
    for host in context.dev.entries:
        for announcement in host.directory.upstreams_by_id.values():
            _, _, port = announcement.address.rpartition(":")
            assert int(port) > 0 and announcement.slots > 0, announcement
            assert announcement.id, announcement


class _ThirdPartyHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        body = json.dumps({"rows": [{"from": "http.server"}]}).encode()
        self.send_response(200)
        for name in ("Request-Id", "Attempt", "Service", "Shard", "Snapshot"):
            self.send_header(name, self.headers[name])
        self.send_header("Partitioning", self.headers["Partitioning"])
        self.send_header("Load", "in_flight=1, queued=0")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


@behave.when("an upstream on http.server announces credits-0")
def when_third_party_upstream(context):
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _ThirdPartyHandler)
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    announcement = {
        "id": "foreign-1",
        "incarnation": 1733180000,
        "sequence": 7,
        "address": f"127.0.0.1:{server.server_port}",
        "availability_zone": "a",
        "state": "ready",
        "slots": 2,
        "max_connections": 25,
        "snapshots": [41, 42],
        "shards": [
            {"service": "credits-0", "shard": 0, "shard_count": 1, "partitioning": 3}
        ],
        "load": {"in_flight": 1, "queued": 0},
    }
    request = _request(context.dev, "POST", "/v1/announce", announcement, {})
    reply = context.runner.run(request)
    lease = json.loads(reply.body)
    assert (reply.status, lease["lease_ms"], lease["renew_ms"]) == (200, 3000, 1000)


@behave.then("a search of credits-0 is answered completely with its rows")
def then_third_party_rows(context):
    url = f"http://{context.dev.entries[0].address}"
    search = greengagehaven.search(url, ["credits-0"], "sweep", key=dev.DEMO_KEY)
    answer = context.runner.run(search)
    assert answer.coverage.complete and answer.snapshot == 42, answer
    assert [result.row for result in answer.results] == [{"from": "http.server"}]
