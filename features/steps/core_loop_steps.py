"""Steps about the state that the core loop keeps after a request ended."""

import asyncio

import behave
import msgspec

from greengagehaven import clock, log
from greengagehaven.coordination import events
from greengagehaven.daemons import core_loop, query_metrics
from greengagehaven.protocol import upstream
from greengagehaven.state import directory

REQUEST_ID = "r-1"
QUERY = msgspec.Raw(b"{}")
SHARDS = 3


class LateCore:
    """Core that dispatches a request only after its caller left."""

    def step(self, event):
        if not isinstance(event, events.TimeReached):
            return []
        return [events.Dispatch(batch=tuple(map(sub_request, range(SHARDS))))]


class CollectingChannel:
    """Channel that collects sub-requests until the test ends them."""

    def __init__(self):
        self.dispatched = []

    def dispatch(self, batch, on_outcome):
        self.dispatched += [(each, on_outcome) for each in batch]


def sub_request(number):
    return upstream.SubRequest(
        request_id=REQUEST_ID,
        attempt=number,
        upstream_id="u",
        incarnation=1,
        address="127.0.0.1:1",
        shard_ref=upstream.ShardRef(service="credits-0", shard=number),
        snapshot=1,
        partitioning=1,
        deadline=1.0,
        kind="retire",
        query=QUERY,
    )


@behave.given("a core loop whose core dispatches a non-idempotent request late")
def given_loop(context):
    log.configure(level="CRITICAL")
    context.channel = CollectingChannel()
    context.core_loop = core_loop.CoreLoop(
        core=LateCore(),
        channel=context.channel,
        clock=clock.SystemClock(),
        directory_view=directory.Directory(),
        metrics=query_metrics.QueryMetrics(),
    )


@behave.when("its caller leaves before the dispatch and the sub-requests end")
def when_left(context):
    loop = context.core_loop
    submitted = events.QuerySubmitted(
        request_id=REQUEST_ID,
        subscriber_id="demo",
        services=("credits-0",),
        kind="retire",
        query=QUERY,
        idempotency_key="k",
    )

    async def leave():
        search = asyncio.ensure_future(loop.search(submitted))
        await asyncio.sleep(0)
        search.cancel()
        await asyncio.gather(search, return_exceptions=True)
        loop.submit(events.TimeReached())

    asyncio.run(leave())
    for sent, on_outcome in context.channel.dispatched:
        on_outcome(
            upstream.Failed(
                request_id=sent.request_id,
                attempt=sent.attempt,
                upstream_id=sent.upstream_id,
                reason=upstream.FailureReason.RESET,
                not_run=False,
            )
        )


@behave.then("the core loop dispatched them and keeps nothing of the request")
def then_nothing_kept(context):
    assert len(context.channel.dispatched) == SHARDS
    remaining_state = {
        name: value
        for name, value in vars(context.core_loop).items()
        if isinstance(value, dict) and "_by_" in name and value
    }
    assert not remaining_state, remaining_state
