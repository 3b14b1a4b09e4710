"""Steps for the roster of upstreams and the feed that distributes it."""

import asyncio
import random

import behave

from fakes import control_fakes, routing
from greengagehaven import clock, exceptions
from greengagehaven.daemons import publisher, registrar, roster_feed, roster_file
from greengagehaven.protocol import codec, control, watching
from greengagehaven.state import configuration_history, roster

SERVICE = "service"
OTHER_SERVICE = "other-service"
SILENCE_TIMEOUT_S = 5.0
SWEEP_INTERVAL_S = 0.5
LOOP_ITERATIONS = 20


class ManualRoster:
    """A roster on a manual clock."""

    def __init__(self, holder="c1"):
        self.clock = clock.ManualClock(start=100.0)
        self.configured_services = {SERVICE, OTHER_SERVICE}
        self.roster = roster.Roster(
            host_name=holder,
            silence_timeout=SILENCE_TIMEOUT_S,
            configured_services=lambda: self.configured_services,
        )

    def announce(
        self,
        upstream_id,
        stage,
        incarnation,
        sequence,
        address=None,
        *,
        service=SERVICE,
    ):
        announcement = routing.upstream_entry(
            upstream_id,
            service,
            incarnation=incarnation,
            sequence=sequence,
            stage=watching.Stage(stage),
            address=address,
        )
        self.previous_version = self.roster.version
        return self.roster.apply_announcement(announcement, self.clock.monotonic())

    def stage_of(self, upstream_id):
        held = self.roster.items_by_id.get(upstream_id)
        return None if held is None else str(held.entry.stage)

    def since(self, version):
        return self.roster.entries_since(version, self.clock.monotonic())


@behave.given(
    "a roster that received {upstream_id} as ready in incarnation {incarnation:d} "
    "with sequence {sequence:d} at {address}"
)
def given_roster_at(context, upstream_id, incarnation, sequence, address):
    context.manual_roster = ManualRoster()
    context.manual_roster.announce(upstream_id, "ready", incarnation, sequence, address)


@behave.given(
    "a roster that received {upstream_id} as ready in incarnation {incarnation:d} "
    "with sequence {sequence:d}"
)
def given_roster(context, upstream_id, incarnation, sequence):
    context.manual_roster = ManualRoster()
    context.manual_roster.announce(upstream_id, "ready", incarnation, sequence)


@behave.given(
    "the roster received {upstream_id} as {stage} in incarnation {incarnation:d} "
    "with sequence {sequence:d}"
)
def given_received(context, upstream_id, stage, incarnation, sequence):
    context.manual_roster.announce(upstream_id, stage, incarnation, sequence)


@behave.given("the service of u-1 is configured")
@behave.when("the service of u-1 is configured")
def given_service_configured(context):
    context.manual_roster.configured_services = {SERVICE}


@behave.given("no service is configured")
def given_none_configured(context):
    context.manual_roster.configured_services = set()


@behave.when("the other service is configured")
def when_other_configured(context):
    context.manual_roster.configured_services = {OTHER_SERVICE}


@behave.when("both services are configured")
def when_both_configured(context):
    context.manual_roster.configured_services = {SERVICE, OTHER_SERVICE}


@behave.when(
    "the roster receives {upstream_id} of another service in incarnation "
    "{incarnation:d} at {address}"
)
def when_receives_other(context, upstream_id, incarnation, address):
    when_receives_other_again(context, upstream_id, incarnation, 1, address)


@behave.when(
    "the roster receives {upstream_id} of another service in incarnation "
    "{incarnation:d} and sequence {sequence:d} at {address}"
)
def when_receives_other_again(context, upstream_id, incarnation, sequence, address):
    context.manual_roster.announce(
        upstream_id, "ready", incarnation, sequence, address, service=OTHER_SERVICE
    )


@behave.when(
    "the roster receives {upstream_id} as {stage} in incarnation {incarnation:d} "
    "with sequence {sequence:d} at {address}"
)
def when_receives_at(context, upstream_id, stage, incarnation, sequence, address):
    context.manual_roster.announce(upstream_id, stage, incarnation, sequence, address)


@behave.when(
    "the roster receives {upstream_id} as {stage} in incarnation {incarnation:d} "
    "with sequence {sequence:d}"
)
def when_receives(context, upstream_id, stage, incarnation, sequence):
    context.manual_roster.announce(upstream_id, stage, incarnation, sequence)


@behave.given("the roster receives the deregistration of {upstream_id}")
def given_deregistration(context, upstream_id):
    manual_roster = context.manual_roster
    gone = manual_roster.roster.items_by_id[upstream_id].entry.as_gone()
    manual_roster.roster.apply_announcement(gone, manual_roster.clock.monotonic())


@behave.given(
    "another roster that received {upstream_id} as draining in incarnation "
    "{incarnation:d} with sequence {sequence:d}"
)
def given_other(context, upstream_id, incarnation, sequence):
    context.other = ManualRoster("c2")
    context.other.announce(upstream_id, "draining", incarnation, sequence)


@behave.given("{count:d} seconds have passed without an announcement")
@behave.when("{count:d} seconds pass without an announcement")
def when_silence(context, count):
    for _ in range(int(count / SWEEP_INTERVAL_S)):
        context.manual_roster.clock.advance(SWEEP_INTERVAL_S)
        context.manual_roster.roster.mark_silent(
            context.manual_roster.clock.monotonic()
        )


@behave.when("the host is suspended for {count:d} seconds")
def when_suspended(context, count):
    manual_roster = context.manual_roster
    manual_roster.roster.mark_silent(manual_roster.clock.monotonic())
    manual_roster.clock.advance(count)
    manual_roster.roster.mark_silent(manual_roster.clock.monotonic())


@behave.when("each merges the entries of the other")
def when_merged(context):
    context.changes = merge_both(context)


@behave.then("both rosters have {upstream_id} as {stage}")
def then_stage_in_both(context, upstream_id, stage):
    for manual_roster in (context.manual_roster, context.other):
        assert manual_roster.stage_of(upstream_id) == stage


@behave.then("merging again changes nothing")
def then_nothing_more(context):
    assert merge_both(context) == []


def merge_both(context):
    pairs = (
        (context.manual_roster, context.other),
        (context.other, context.manual_roster),
    )
    changed = []
    for one, other in pairs:
        now = one.clock.monotonic()
        changed += [entry for entry in other.since(0) if one.roster.merge(entry, now)]
    return changed


@behave.then("the roster does not know {upstream_id}")
def then_unknown(context, upstream_id):
    assert context.manual_roster.stage_of(upstream_id) is None


@behave.then("the roster has {upstream_id} as {stage}")
def then_stage(context, upstream_id, stage):
    assert context.manual_roster.stage_of(upstream_id) == stage


@behave.then("a watcher at the previous version is sent nothing")
def then_nothing_sent(context):
    assert context.manual_roster.since(context.manual_roster.previous_version) == ()


@behave.then("a watcher at version 0 is sent {count:d} upstreams")
def then_told(context, count):
    assert len(context.manual_roster.since(0)) == count


def save(manual_roster, seconds, *, is_full=False):
    disk = control_fakes.MemoryFolder(rng=random.Random(1))
    disk.is_full = is_full
    store = roster_file.RosterFile(
        roster=manual_roster.roster, open_folder=lambda: disk, clock=manual_roster.clock
    )
    for _ in range(int(seconds / SWEEP_INTERVAL_S)):
        manual_roster.clock.advance(SWEEP_INTERVAL_S)
        store.save()
    return disk


def restart(context, disk):
    context.manual_roster = ManualRoster()
    roster_file.RosterFile(
        roster=context.manual_roster.roster,
        open_folder=lambda: disk,
        clock=context.manual_roster.clock,
    ).load()


@behave.when("its host starts on a disk that at first fails to create the folder")
def when_no_folder(context):
    disk = control_fakes.MemoryFolder(rng=random.Random(1))
    refusals = [exceptions.StorageError("No space left on device", path="roster")]

    def open_folder():
        if refusals:
            raise refusals.pop()
        return disk

    manual_roster = context.manual_roster
    store = roster_file.RosterFile(
        roster=manual_roster.roster, open_folder=open_folder, clock=manual_roster.clock
    )
    store.load()
    for _ in range(8):
        manual_roster.clock.advance(SWEEP_INTERVAL_S)
        store.save()
    restart(context, disk)


@behave.when("its host saves it for {seconds:d} seconds and restarts")
def when_saved(context, seconds):
    restart(context, save(context.manual_roster, seconds))


@behave.when(
    "its host saves it for {seconds:d} seconds and restarts with a file that {what}"
)
def when_saved_damaged(context, seconds, what):
    disk = save(context.manual_roster, seconds)
    data = disk.read(roster_file.FILE_NAME)
    if what == "is missing":
        disk.remove(roster_file.FILE_NAME)
    else:
        disk.replace(roster_file.FILE_NAME, data[: len(data) // 2])
    restart(context, disk)


@behave.when("its host saves it for {seconds:d} seconds on a full disk")
def when_saved_full(context, seconds):
    save(context.manual_roster, seconds, is_full=True)


@behave.then("a watcher at the previous version is sent {upstream_id}")
def then_upstream_sent(context, upstream_id):
    manual_roster = context.manual_roster
    (entry,) = manual_roster.since(manual_roster.previous_version)
    assert entry.id == upstream_id, entry


class Feed:
    """A feed whose watchers send each request when the test says so."""

    def __init__(self, least_controls):
        self.clock = clock.SystemClock()
        self.feed = roster_feed.RosterFeed(
            roster=roster.Roster(host_name="c1", silence_timeout=SILENCE_TIMEOUT_S),
            configuration=publisher.ConfigurationPublisher(
                history=configuration_history.ConfigurationHistory(),
                staleness=lambda: 0.0,
                clock=self.clock,
            ),
            control_addresses=tuple,
            clock=self.clock,
        )
        self.registrar = registrar.Registrar(
            feed=self.feed, min_control_hosts=lambda: least_controls
        )
        self.feeds_by_host = {}

    async def watch(self, host_id):
        feed, version = self.feeds_by_host.get(host_id, ("", 0))
        request = watching.WatchRequest(
            host_id=host_id,
            availability_zone="a",
            is_entry=True,
            feed=feed,
            held_version=version,
        )
        data = await self.feed.handle(codec.encode_msgpack(request))
        reply = codec.decode_msgpack(data, watching.WatchReply)
        self.feeds_by_host[host_id] = (reply.feed, reply.version)
        return data, reply

    async def drain(self):
        ready = routing.upstream_entry("u-1", "service")
        await self.registrar.announce(ready)
        for host_id in ("entry-1", "entry-2"):
            if host_id in self.feeds_by_host:
                await self.watch(host_id)
        draining = routing.upstream_entry(
            "u-1", "service", sequence=2, stage=watching.Stage.DRAINING
        )
        announcing = asyncio.ensure_future(self.registrar.announce(draining))
        await asyncio.sleep(0)
        return announcing


@behave.given("a feed that entry-1 and entry-2 watch")
def given_feed(context):
    context.hosts = ("entry-1", "entry-2")
    context.least_controls = 0


@behave.given("a feed that needs 1 other control host to confirm")
def given_feed_quorum(context):
    context.hosts = ("entry-1",)
    context.least_controls = 1


@behave.when("u-1 drains and entry-1 confirms the update")
def when_drains(context):
    context.answered = asyncio.run(drain_u1(context))


async def drain_u1(context):
    """Return whether u-1 has its answer after each host confirmed the update."""
    feed = Feed(context.least_controls)
    for host_id in context.hosts:
        await feed.watch(host_id)
    announcing = await feed.drain()
    answered = []
    for host_id in context.hosts:
        # The first call returns the update, the second one confirms it.
        await feed.watch(host_id)
        await feed.watch(host_id)
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        answered.append(announcing.done())
    context.error = None
    try:
        await announcing
    except exceptions.QuorumLostError as error:
        context.error = error
    return answered


@behave.when("entry-2 confirms the update")
def when_second_confirms(context):
    assert len(context.answered) == 2


@behave.then("the announcement of u-1 is not yet answered")
def then_not_answered(context):
    assert context.answered[0] is False


@behave.then("the announcement of u-1 is answered")
def then_answered(context):
    assert context.answered[1] is True
    assert context.error is None


@behave.then("the announcement of u-1 is refused with quorum_lost")
def then_refused(context):
    assert context.error is not None


@behave.given("an update with a configuration of {count:d} routes")
def given_update(context, count):
    routes = [
        {"name": f"r-{number}", "host": "register.example", "backend": f"s-{number}"}
        for number in range(count)
    ]
    document = codec.encode_json({"version": 7, "routes": routes})
    context.update = control.FollowReply(revision=7, age_ms=0, deltas=(document,))
    context.packed = watching.pack_configuration(context.update)


@behave.then("it is compressed to less than a fifth")
def then_compressed(context):
    assert len(context.packed) * 5 < len(codec.encode_msgpack(context.update))


@behave.then("a watcher decompresses the same update")
def then_same_update(context):
    assert watching.unpack_configuration(context.packed) == context.update


@behave.then("a truncated update is refused as invalid_request")
def then_truncated_refused(context):
    check_truncated(watching.unpack_configuration, context.packed)


def check_truncated(unpack, packed):
    for size in (0, 10, len(packed) - 1):
        try:
            unpack(packed[:size])
        except exceptions.InvalidRequestError as error:
            assert error.code == "invalid_request", error
        else:
            raise AssertionError(size)


@behave.given("a feed whose roster has {count:d} upstreams")
def given_many(context, count):
    context.feed = Feed(least_controls=0)
    asyncio.run(announce_many(context.feed.feed, count))


async def announce_many(feed, count):
    rng = random.Random(1)
    for number in range(count):
        service = f"s{rng.randrange(16**5):05x}"
        entry = routing.upstream_entry(
            f"i-{rng.getrandbits(40):010x}", service, address=f"10.1.64.{number}:8606"
        )
        feed.announce(entry)


@behave.when("a host starts to watch it")
def when_watch_starts(context):
    context.data, context.reply = asyncio.run(context.feed.watch("entry-1"))


@behave.then("it is sent all {count:d} in less than {size:d} KB")
def then_all_sent(context, count, size):
    received = watching.unpack_entries(context.reply.packed_entries)
    assert len({entry.id for entry in received}) == count
    assert len(context.data) < size * 1024, len(context.data)


@behave.then("a truncated list of upstreams is refused as invalid_request")
def then_truncated_entries_refused(context):
    check_truncated(watching.unpack_entries, context.reply.packed_entries)


@behave.given("a feed that a host watches")
def given_watched(context):
    context.feed = Feed(least_controls=0)


class WatchingHost:
    """Watches a feed and stores the entries of each reply that has some."""

    def __init__(self, feed):
        self.feed = feed
        self.feed_id = ""
        self.version = 0
        self.received = []
        self.has_reply = asyncio.Event()

    async def watch(self):
        while True:
            request = watching.WatchRequest(
                host_id="entry-1",
                availability_zone="a",
                is_entry=True,
                feed=self.feed_id,
                held_version=self.version,
                wait_ms=1000,
            )
            data = await self.feed.handle(codec.encode_msgpack(request))
            reply = codec.decode_msgpack(data, watching.WatchReply)
            self.feed_id, self.version = reply.feed, reply.version
            entries = reply.entries
            if reply.packed_entries:
                entries = watching.unpack_entries(reply.packed_entries)
            if entries:
                self.received.append(entries)
            self.has_reply.set()


async def count_replies(feed, entries):
    host = WatchingHost(feed)
    task = asyncio.ensure_future(host.watch())
    await asyncio.sleep(0)
    for entry in entries:
        feed.announce(entry)
        await asyncio.sleep(0)
    while host.version < feed.roster.version:
        host.has_reply.clear()
        await host.has_reply.wait()
    task.cancel()
    return host.received


@behave.when("{count:d} upstreams start one after the other")
def when_start(context, count):
    entries = [routing.upstream_entry(f"u{number}", "s") for number in range(count)]
    context.replies = asyncio.run(count_replies(context.feed.feed, entries))


@behave.when("an upstream drains while {count:d} others start")
def when_drains_beside(context, count):
    entries = [routing.upstream_entry(f"u{number}", "s") for number in range(count)]
    drains = routing.upstream_entry(
        "u0", "s", sequence=2, stage=watching.Stage.DRAINING
    )
    context.replies = asyncio.run(count_replies(context.feed.feed, [*entries, drains]))


@behave.then("the host is sent all {count:d} in at most {replies:d} replies")
def then_in_replies(context, count, replies):
    received = {entry.id for entries in context.replies for entry in entries}
    assert len(received) == count, received
    assert len(context.replies) <= replies, len(context.replies)


@behave.then("the last update reports that it drains")
def then_last_drains(context):
    stages_by_id = {
        entry.id: entry.stage for entries in context.replies for entry in entries
    }
    assert stages_by_id["u0"] is watching.Stage.DRAINING


@behave.given("a control host that received an upstream as cold for 3 seconds")
def given_cold(context):
    context.cold_roster = roster.Roster(
        host_name="c1", silence_timeout=SILENCE_TIMEOUT_S
    )
    context.now = 0.0
    assert context.cold_roster.apply_announcement(
        routing.upstream_entry("u", "s", cold_left_ms=3000), 0.0
    )


def announce_later(context, seconds, cold_left_ms):
    context.now += seconds
    entry = routing.upstream_entry(
        "u", "s", sequence=2 + round(context.now), cold_left_ms=cold_left_ms
    )
    context.is_change = context.cold_roster.apply_announcement(entry, context.now)


@behave.when("{seconds:d} seconds pass and it announces itself as warm")
def when_warm(context, seconds):
    announce_later(context, seconds, 0)


@behave.when("{seconds:d} second passes and it announces itself as cold again")
def when_cold_again(context, seconds):
    announce_later(context, seconds, 3000)


@behave.when(
    "{seconds:d} seconds pass and it announces itself as cold for another {left:d} ms"
)
def when_still_cold(context, seconds, left):
    announce_later(context, seconds, left)


@behave.then("they are told that it is cold for another {left:d} ms")
def then_told_cold(context, left):
    (entry,) = context.cold_roster.entries_since(0, context.now)
    assert entry.cold_left_ms == left, entry


@behave.then("the other hosts are sent nothing")
def then_others_sent_nothing(context):
    assert not context.is_change


@behave.then("the other hosts are sent the change")
def then_told(context):
    assert context.is_change


@behave.when("a host watches with a version of an earlier run")
def when_earlier_run(context):
    request = watching.WatchRequest(
        host_id="entry-1",
        availability_zone="a",
        is_entry=True,
        feed="earlier",
        held_version=500,
        wait_ms=1500,
    )

    async def ask():
        # Some iterations of the event loop; no time passes.
        answer = asyncio.ensure_future(
            context.feed.feed.handle(codec.encode_msgpack(request))
        )
        for _ in range(5):
            await asyncio.sleep(0)
        context.is_answered = answer.done()
        return await answer

    context.reply = codec.decode_msgpack(asyncio.run(ask()), watching.WatchReply)


@behave.then("it is sent all {count:d} upstreams at once")
def then_told_at_once(context, count):
    assert context.is_answered
    assert len(watching.unpack_entries(context.reply.packed_entries)) == count


def announce(context, upstream_id, service, *, incarnation=1):
    entry = routing.upstream_entry(upstream_id, service, incarnation=incarnation)
    context.indexed_roster.apply_announcement(entry, context.now)


@behave.given("a roster with u-1 of service s-1 and u-2 of service s-1")
def given_two_of_service(context):
    context.indexed_roster = roster.Roster(host_name="c-1", silence_timeout=5.0)
    context.now = 100.0
    announce(context, "u-1", "s-1")
    announce(context, "u-2", "s-1")
    assert len(context.indexed_roster.items_of_service("s-1")) == 2


@behave.when("u-1 restarts in service s-2")
def when_other_service(context):
    announce(context, "u-1", "s-2", incarnation=2)


@behave.when("u-2 leaves and is evicted")
def when_evicted(context):
    gone = context.indexed_roster.items_by_id["u-2"].entry.as_gone()
    context.indexed_roster.merge(gone, context.now)
    context.now += roster.GONE_RETENTION_S + 1
    announce(context, "u-1", "s-2", incarnation=3)
    context.indexed_roster.evict_gone(context.now)
    assert "u-2" not in context.indexed_roster.items_by_id


@behave.then("the roster has only u-1 under s-2 and nothing under s-1")
def then_found(context):
    assert context.indexed_roster.items_of_service("s-1") == []
    (held,) = context.indexed_roster.items_of_service("s-2")
    assert held.entry.id == "u-1"
