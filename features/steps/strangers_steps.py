"""Steps for unauthenticated callers and draining at a single entry host."""

import asyncio
import datetime
import json

import behave

from greengagehaven import log
from greengagehaven.daemons import dev, entry
from greengagehaven.transport import http_client

PATHS = (
    ("POST", "/v1/search"),
    ("GET", "/v1/requests/order-1"),
    ("POST", "/v1/announce"),
    ("DELETE", "/v1/announce/u-1?incarnation=1"),
    ("GET", "/metrics"),
    ("GET", "/nowhere"),
)
BODY = json.dumps({"services": ["credits-0"], "kind": "sweep"}).encode()
KEY = {"Authorization": f"Bearer {dev.DEMO_KEY}"}


@behave.given("an entry host with a listener for announcements and a metrics token")
def given_entry(context):
    log.configure(level="CRITICAL")
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)

    async def start():
        context.host = entry.EntryHost(
            entry_settings=entry.EntrySettings(
                host_id="e-1",
                zone="a",
                listen="127.0.0.1:0",
                announce_listen="127.0.0.1:0",
                metrics_token="secret",
                balancer_wait=datetime.timedelta(),
            )
        )
        context.host.apply_document(dev.example_document())
        await context.host.start()

    context.runner.run(start())
    context.add_cleanup(lambda: context.runner.run(context.host.close()))


def _request(context, method, path, body=BODY, headers=None):
    async def send():
        client = http_client.HttpClient(address=context.host.address)
        try:
            return await client.request(method, path, body=body, headers=headers)
        finally:
            client.close()

    return context.runner.run(send())


@behave.when(
    "an unauthenticated caller requests paths that exist and one that does not"
)
def when_unauthenticated(context):
    context.replies = [_request(context, *path) for path in PATHS]


@behave.then("each path gets the same refusal with status 401")
def then_same_refusal(context):
    assert [reply.status for reply in context.replies] == [401] * len(PATHS)
    codes = {json.loads(reply.body)["code"] for reply in context.replies}
    assert codes == {"unauthorized"}, codes


@behave.then("the unauthenticated caller can read liveness and readiness")
def then_liveness(context):
    statuses = [
        _request(context, "GET", path).status for path in ("/healthz", "/readyz")
    ]
    assert statuses == [200, 200], statuses


@behave.when("it drains while a caller sends a search on an open connection")
def when_drains(context):
    async def drain():
        client = http_client.HttpClient(address=context.host.address)
        await client.request("GET", "/healthz")
        draining = asyncio.ensure_future(context.host.drain())
        for _ in range(1000):
            if context.host.server.draining:
                break
            await asyncio.sleep(0.002)
        reply = await client.request("POST", "/v1/search", body=BODY, headers=KEY)
        client.close()
        await draining
        return reply

    context.reply = context.runner.run(drain())


@behave.then("the caller gets status {status:d}, code {code} and ran {ran}")
def then_caller_gets(context, status, code, ran):
    problem = json.loads(context.reply.body)
    got = (context.reply.status, problem["code"], problem["ran"])
    assert got == (status, code, ran), got
