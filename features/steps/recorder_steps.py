"""Steps about recorders that store their grants on disk."""

import asyncio

import behave

from greengagehaven import clock, exceptions
from greengagehaven.daemons import recorder_host
from greengagehaven.protocol import claims, codec

ADDRESSES_BY_ID = {"c-1": "a:1", "c-2": "a:2", "c-3": "a:3"}
RECORDER_SET = "c-1,c-2,c-3"


class FakeDataFolder:
    """A data folder that outlives the recorder and whose writes can fail."""

    def __init__(self):
        self.files_by_name = {}
        self.fails_writes = False

    def path_of(self, name):
        return name

    def read(self, name):
        return self.files_by_name.get(name)

    def append(self, name, data):
        if self.fails_writes:
            raise exceptions.StorageError("no space", path=name)
        self.files_by_name[name] += data

    def replace(self, name, data):
        self.files_by_name[name] = data


class RecorderSite:
    """Three connected recorder hosts; also serves as their peer channel."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.folders_by_id = {each: FakeDataFolder() for each in ADDRESSES_BY_ID}
        self.hosts_by_id = {}
        self.may_be_new_environment = True

    def start(self, recorder_id):
        host = recorder_host.RecorderHost(
            recorder_id=recorder_id,
            addresses_by_id=ADDRESSES_BY_ID,
            channel=self,
            clock=self.clock,
            folder=self.folders_by_id[recorder_id],
            may_be_new=self.may_be_new_environment,
        )
        host.start()
        self.hosts_by_id[recorder_id] = host
        return host

    async def call(self, address, method, body, *, timeout):
        ids_by_address = {
            value: recorder_id for recorder_id, value in ADDRESSES_BY_ID.items()
        }
        host = self.hosts_by_id.get(ids_by_address[address])
        if host is None:
            raise exceptions.PeerError("no answer")
        try:
            return await host.handlers_by_method[method](body)
        except exceptions.StorageError as error:
            raise exceptions.PeerError("handler failed") from error

    async def claim(self, recorder_id, token, key="k"):
        record = claims.Record(record_id=key, fingerprint="f", token=token, run_ms=1000)
        body = codec.encode_msgpack(
            (claims.Claim(recorders=RECORDER_SET, record=record),)
        )
        address = ADDRESSES_BY_ID[recorder_id]
        data = await self.call(address, recorder_host.CLAIMS_METHOD, body, timeout=1.0)
        return codec.decode_msgpack(data, tuple[claims.RecorderReply])[0]


@behave.given("three recorder hosts that have granted a key to t-1")
def given_site(context):
    async def grant():
        for recorder_id in ADDRESSES_BY_ID:
            context.site.start(recorder_id)
        for _ in range(20):
            await asyncio.sleep(0)
        for recorder_id in ADDRESSES_BY_ID:
            reply = await context.site.claim(recorder_id, "t-1")
            assert reply.verdict is claims.Verdict.GRANTED, reply

    context.site = RecorderSite()
    asyncio.run(grant())


@behave.when("all three are restarted from their disks")
def when_restarted(context):
    async def claim_again():
        replies = []
        for recorder_id in ADDRESSES_BY_ID:
            context.site.start(recorder_id)
            replies.append(await context.site.claim(recorder_id, "t-2"))
        return replies

    context.replies = asyncio.run(claim_again())


@behave.then("none of them grants the key to t-2")
def then_held(context):
    verdicts = {reply.verdict for reply in context.replies}
    assert verdicts == {claims.Verdict.HELD}, verdicts
    assert {reply.record.token for reply in context.replies} == {"t-1"}


@behave.when("c-1 has half a record at the end of its journal and c-2 a flipped byte")
def when_damaged(context):
    torn = context.site.folders_by_id["c-1"].files_by_name
    torn["claims"] += torn["claims"][-40:-10]
    damaged = context.site.folders_by_id["c-2"].files_by_name
    data = bytearray(damaged["claims"])
    data[20] ^= 0xFF
    damaged["claims"] = bytes(data)


@behave.then("c-1 starts with its key and c-2 stops with log_damaged")
def then_damage_detected(context):
    async def claim_again():
        context.site.start("c-1")
        await context.site.claim("c-1", "t-3", "l")
        context.site.start("c-1")
        return [
            await context.site.claim("c-1", "t-2"),
            await context.site.claim("c-1", "t-2", "l"),
        ]

    replies = asyncio.run(claim_again())
    assert {reply.verdict for reply in replies} == {claims.Verdict.HELD}, replies
    try:
        context.site.start("c-2")
    except exceptions.LogDamagedError as error:
        assert error.offset is not None
    else:
        raise AssertionError("c-2 started on a damaged journal")


@behave.when("the disk of c-1 fails and t-3 claims another key there")
def when_disk_fails(context):
    async def claim():
        context.site.start("c-1")
        context.site.folders_by_id["c-1"].fails_writes = True
        context.outcomes = []
        for key in ("l", "l", "m"):
            try:
                context.outcomes.append(await context.site.claim("c-1", "t-3", key))
            except exceptions.PeerError as error:
                context.outcomes.append(error)
            context.site.folders_by_id["c-1"].fails_writes = False

    asyncio.run(claim())


@behave.then("c-1 grants neither that key nor any other")
def then_no_grant(context):
    assert all(
        isinstance(outcome, exceptions.PeerError) for outcome in context.outcomes
    ), context.outcomes


@behave.when("c-1 is restarted with an empty disk")
def when_emptied(context):
    async def restart():
        for recorder_id in ("c-2", "c-3"):
            context.site.start(recorder_id)
        context.site.folders_by_id["c-1"] = FakeDataFolder()
        host = context.site.start("c-1")
        context.first_reply = await context.site.claim("c-1", "t-2")
        for _ in range(20):
            await asyncio.sleep(0)
        context.abstains = host.abstains
        context.later_reply = await context.site.claim("c-1", "t-2")
        await host.close()

    asyncio.run(restart())


@behave.then("c-1 first abstains and then holds the key for t-1 too")
def then_copied(context):
    assert context.first_reply.verdict is claims.Verdict.ABSTAINS, context.first_reply
    assert not context.abstains
    assert context.later_reply.verdict is claims.Verdict.HELD, context.later_reply
    assert context.later_reply.record.token == "t-1"


@behave.when("c-1 is restarted with an empty disk while the others are down")
def when_emptied_alone(context):
    async def restart():
        context.site.hosts_by_id.clear()
        context.site.folders_by_id["c-1"] = FakeDataFolder()
        host = context.site.start("c-1")
        for _ in range(20):
            await asyncio.sleep(0)
        context.later_reply = await context.site.claim("c-1", "t-2")
        await host.close()

    asyncio.run(restart())


@behave.then("c-1 still abstains")
def then_still_abstains(context):
    assert context.later_reply.verdict is claims.Verdict.ABSTAINS, context.later_reply
