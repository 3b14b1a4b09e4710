"""Steps about the roster of upstreams and the feed that hands it on."""

import asyncio
import random

import behave

from fakes import control as control_fakes
from fakes import routing
from greengagehaven import clock, exceptions
from greengagehaven.daemons import publisher, registrar, roster_feed, roster_file
from greengagehaven.protocol import codec, control, watching
from greengagehaven.state import published, roster

SILENCE_S = 5.0
SWEEP_S = 0.5
TURNS = 20


class Listener:
    """A roster on a manual clock."""

    def __init__(self, holder="c1"):
        self.clock = clock.ManualClock(start=100.0)
        self.roster = roster.Roster(holder=holder, silence=SILENCE_S)

    def hear(self, upstream_id, stage, incarnation, sequence, address=None):
        said = routing.entry(
            upstream_id,
            "service",
            incarnation=incarnation,
            sequence=sequence,
            stage=watching.Stage(stage),
            address=address,
        )
        self.held = self.roster.version
        return self.roster.announce(said, self.clock.monotonic())

    def stage_of(self, upstream_id):
        held = self.roster.held_by_id.get(upstream_id)
        return None if held is None else str(held.entry.stage)

    def since(self, version):
        return self.roster.since(version, self.clock.monotonic())


@behave.given(
    "a roster that heard {upstream_id} ready in incarnation {incarnation:d} "
    "with sequence {sequence:d} at {address}"
)
def given_roster_at(context, upstream_id, incarnation, sequence, address):
    context.listener = Listener()
    context.listener.hear(upstream_id, "ready", incarnation, sequence, address)


@behave.given(
    "a roster that heard {upstream_id} ready in incarnation {incarnation:d} "
    "with sequence {sequence:d}"
)
def given_roster(context, upstream_id, incarnation, sequence):
    context.listener = Listener()
    context.listener.hear(upstream_id, "ready", incarnation, sequence)


@behave.given(
    "the roster heard {upstream_id} {stage} in incarnation {incarnation:d} "
    "with sequence {sequence:d}"
)
def given_heard(context, upstream_id, stage, incarnation, sequence):
    context.listener.hear(upstream_id, stage, incarnation, sequence)


@behave.when(
    "the roster hears {upstream_id} {stage} in incarnation {incarnation:d} "
    "with sequence {sequence:d} at {address}"
)
def when_hears_at(context, upstream_id, stage, incarnation, sequence, address):
    context.listener.hear(upstream_id, stage, incarnation, sequence, address)


@behave.when(
    "the roster hears {upstream_id} {stage} in incarnation {incarnation:d} "
    "with sequence {sequence:d}"
)
def when_hears(context, upstream_id, stage, incarnation, sequence):
    context.listener.hear(upstream_id, stage, incarnation, sequence)


@behave.given("the roster hears the goodbye of {upstream_id}")
def given_goodbye(context, upstream_id):
    listener = context.listener
    gone = listener.roster.held_by_id[upstream_id].entry.as_gone()
    listener.roster.announce(gone, listener.clock.monotonic())


@behave.given(
    "another roster that heard {upstream_id} draining in incarnation "
    "{incarnation:d} with sequence {sequence:d}"
)
def given_other(context, upstream_id, incarnation, sequence):
    context.other = Listener("c2")
    context.other.hear(upstream_id, "draining", incarnation, sequence)


@behave.when("{count:d} seconds pass without an announcement")
def when_silence(context, count):
    for _ in range(int(count / SWEEP_S)):
        context.listener.clock.advance(SWEEP_S)
        context.listener.roster.sweep(context.listener.clock.monotonic())


@behave.when("the host stands still for {count:d} seconds")
def when_frozen(context, count):
    listener = context.listener
    listener.roster.sweep(listener.clock.monotonic())
    listener.clock.advance(count)
    listener.roster.sweep(listener.clock.monotonic())


@behave.when("each merges what the other knows")
def when_merged(context):
    context.changes = merge_both(context)


@behave.then("both rosters have {upstream_id} as {stage}")
def then_stage_in_both(context, upstream_id, stage):
    for listener in (context.listener, context.other):
        assert listener.stage_of(upstream_id) == stage


@behave.then("merging once more changes nothing")
def then_nothing_more(context):
    assert merge_both(context) == []


def merge_both(context):
    pairs = (
        (context.listener, context.other),
        (context.other, context.listener),
    )
    changed = []
    for one, other in pairs:
        now = one.clock.monotonic()
        changed += [entry for entry in other.since(0) if one.roster.merge(entry, now)]
    return changed


@behave.then("the roster does not know {upstream_id}")
def then_unknown(context, upstream_id):
    assert context.listener.stage_of(upstream_id) is None


@behave.then("the roster has {upstream_id} as {stage}")
def then_stage(context, upstream_id, stage):
    assert context.listener.stage_of(upstream_id) == stage


@behave.then("nothing is told to watchers that held its last version")
def then_nothing_told(context):
    assert context.listener.since(context.listener.held) == ()


@behave.then("a watcher from version 0 is told of {count:d} upstreams")
def then_told(context, count):
    assert len(context.listener.since(0)) == count


def keep(listener, seconds, *, is_full=False):
    disk = control_fakes.MemoryFolder(rng=random.Random(1))
    disk.is_full = is_full
    kept = roster_file.RosterFile(
        roster=listener.roster, open_folder=lambda: disk, clock=listener.clock
    )
    for _ in range(int(seconds / SWEEP_S)):
        listener.clock.advance(SWEEP_S)
        kept.save()
    return disk


def start_anew(context, disk):
    context.listener = Listener()
    roster_file.RosterFile(
        roster=context.listener.roster,
        open_folder=lambda: disk,
        clock=context.listener.clock,
    ).load()


@behave.when("its host starts on a disk that takes no new folder, and then does")
def when_no_folder(context):
    disk = control_fakes.MemoryFolder(rng=random.Random(1))
    refusals = [exceptions.StorageError("No space left on device", path="roster")]

    def open_folder():
        if refusals:
            raise refusals.pop()
        return disk

    listener = context.listener
    kept = roster_file.RosterFile(
        roster=listener.roster, open_folder=open_folder, clock=listener.clock
    )
    kept.load()
    for _ in range(8):
        listener.clock.advance(SWEEP_S)
        kept.save()
    start_anew(context, disk)


@behave.when("its host keeps it for {seconds:d} seconds and starts anew")
def when_kept(context, seconds):
    start_anew(context, keep(context.listener, seconds))


@behave.when(
    "its host keeps it for {seconds:d} seconds and starts anew with a file that {what}"
)
def when_kept_badly(context, seconds, what):
    disk = keep(context.listener, seconds)
    data = disk.read(roster_file.FILE_NAME)
    if what == "is gone":
        disk.remove(roster_file.FILE_NAME)
    else:
        disk.replace(roster_file.FILE_NAME, data[: len(data) // 2])
    start_anew(context, disk)


@behave.when("its host keeps it for {seconds:d} seconds on a full disk")
def when_kept_full(context, seconds):
    keep(context.listener, seconds, is_full=True)


@behave.then("a watcher that held the last version is told of {upstream_id}")
def then_told_of(context, upstream_id):
    listener = context.listener
    (entry,) = listener.since(listener.held)
    assert entry.id == upstream_id, entry


class Feed:
    """A feed with watchers that hold what they are told when the test says."""

    def __init__(self, least_controls):
        self.clock = clock.SystemClock()
        self.feed = roster_feed.RosterFeed(
            roster=roster.Roster(holder="c1", silence=SILENCE_S),
            configuration=publisher.Publisher(
                published=published.Published(), age=lambda: 0.0, clock=self.clock
            ),
            control_addresses=tuple,
            clock=self.clock,
        )
        self.registrar = registrar.Registrar(
            feed=self.feed, least_controls=lambda: least_controls
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
        ready = routing.entry("u-1", "service")
        await self.registrar.announce(ready)
        for host_id in ("entry-1", "entry-2"):
            if host_id in self.feeds_by_host:
                await self.watch(host_id)
        draining = routing.entry(
            "u-1", "service", sequence=2, stage=watching.Stage.DRAINING
        )
        telling = asyncio.ensure_future(self.registrar.announce(draining))
        await asyncio.sleep(0)
        return telling


@behave.given("a feed that entry-1 and entry-2 watch")
def given_feed(context):
    context.hosts = ("entry-1", "entry-2")
    context.least_controls = 0


@behave.given("a feed of which 1 other control host has to know")
def given_feed_quorum(context):
    context.hosts = ("entry-1",)
    context.least_controls = 1


@behave.when("u-1 drains and entry-1 takes the news")
def when_drains(context):
    context.told = asyncio.run(drain_u1(context))


async def drain_u1(context):
    """Return whether u-1 is told after each host took the news."""
    feed = Feed(context.least_controls)
    for host_id in context.hosts:
        await feed.watch(host_id)
    telling = await feed.drain()
    told = []
    for host_id in context.hosts:
        # The first call brings the news, the second one says that it is held.
        await feed.watch(host_id)
        await feed.watch(host_id)
        for _ in range(TURNS):
            await asyncio.sleep(0)
        told.append(telling.done())
    context.error = None
    try:
        await telling
    except exceptions.QuorumLostError as error:
        context.error = error
    return told


@behave.when("entry-2 takes the news")
def when_second_takes(context):
    assert len(context.told) == 2


@behave.then("u-1 is not yet told that it may leave")
def then_not_told(context):
    assert context.told[0] is False


@behave.then("u-1 is told that it may leave")
def then_may_leave(context):
    assert context.told[1] is True
    assert context.error is None


@behave.then("u-1 is refused with quorum_lost")
def then_refused(context):
    assert context.error is not None


@behave.given("news of a configuration with {count:d} routes")
def given_news(context, count):
    routes = [
        {"name": f"r-{number}", "host": "register.example", "backend": f"s-{number}"}
        for number in range(count)
    ]
    document = codec.encode_json({"version": 7, "routes": routes})
    context.news = control.FollowReply(revision=7, age_ms=0, deltas=(document,))
    context.packed = watching.pack_configuration(context.news)


@behave.then("it is packed to less than a fifth")
def then_packed(context):
    assert len(context.packed) * 5 < len(codec.encode_msgpack(context.news))


@behave.then("a watcher reads the same news from it")
def then_same_news(context):
    assert watching.unpack_configuration(context.packed) == context.news


@behave.then("what is left of it is refused as invalid_request")
def then_cut_short(context):
    check_cut_short(watching.unpack_configuration, context.packed)


def check_cut_short(unpack, packed):
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
        entry = routing.entry(
            f"i-{rng.getrandbits(40):010x}", service, address=f"10.1.64.{number}:8606"
        )
        feed.announce(entry)


@behave.when("a host begins to watch it")
def when_begins(context):
    context.data, context.reply = asyncio.run(context.feed.watch("entry-1"))


@behave.then("it is told of all {count:d} in less than {size:d} KB")
def then_told_of_all(context, count, size):
    told = watching.unpack_entries(context.reply.packed_entries)
    assert len({entry.id for entry in told}) == count
    assert len(context.data) < size * 1024, len(context.data)


@behave.then("what is left of the upstreams is refused as invalid_request")
def then_entries_cut_short(context):
    check_cut_short(watching.unpack_entries, context.reply.packed_entries)


@behave.given("a feed that a host watches")
def given_watched(context):
    context.feed = Feed(least_controls=0)


class WatchingHost:
    """Asks a feed on and on, and keeps each reply that brings news."""

    def __init__(self, feed):
        self.feed = feed
        self.feed_id = ""
        self.version = 0
        self.told = []
        self.has_heard = asyncio.Event()

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
                self.told.append(entries)
            self.has_heard.set()


async def count_replies(feed, entries):
    host = WatchingHost(feed)
    task = asyncio.ensure_future(host.watch())
    await asyncio.sleep(0)
    for entry in entries:
        feed.announce(entry)
        await asyncio.sleep(0)
    while host.version < feed.roster.version:
        host.has_heard.clear()
        await host.has_heard.wait()
    task.cancel()
    return host.told


@behave.when("{count:d} upstreams start one after the other")
def when_start(context, count):
    entries = [routing.entry(f"u{number}", "s") for number in range(count)]
    context.told = asyncio.run(count_replies(context.feed.feed, entries))


@behave.when("an upstream drains while {count:d} others start")
def when_drains_beside(context, count):
    entries = [routing.entry(f"u{number}", "s") for number in range(count)]
    drains = routing.entry("u0", "s", sequence=2, stage=watching.Stage.DRAINING)
    context.told = asyncio.run(count_replies(context.feed.feed, [*entries, drains]))


@behave.then("the host is told of all {count:d} in at most {replies:d} replies")
def then_in_replies(context, count, replies):
    told = {entry.id for entries in context.told for entry in entries}
    assert len(told) == count, told
    assert len(context.told) <= replies, len(context.told)


@behave.then("the last news tells that it drains")
def then_last_drains(context):
    stages_by_id = {entry.id: entry.stage for news in context.told for entry in news}
    assert stages_by_id["u0"] is watching.Stage.DRAINING


@behave.given("a control host that heard of an upstream that is cold for 3 seconds")
def given_cold(context):
    context.own_roster = roster.Roster(holder="c1", silence=SILENCE_S)
    context.now = 0.0
    assert context.own_roster.announce(routing.entry("u", "s", cold_left_ms=3000), 0.0)


def announce_later(context, seconds, cold_left_ms):
    context.now += seconds
    entry = routing.entry(
        "u", "s", sequence=2 + round(context.now), cold_left_ms=cold_left_ms
    )
    context.is_news = context.own_roster.announce(entry, context.now)


@behave.when("{seconds:d} seconds pass and it announces itself as warm")
def when_warm(context, seconds):
    announce_later(context, seconds, 0)


@behave.when("{seconds:d} second passes and it announces itself as cold again")
def when_cold_again(context, seconds):
    announce_later(context, seconds, 3000)


@behave.then("nothing changed for the other hosts")
def then_nothing_changed(context):
    assert not context.is_news


@behave.then("the other hosts are told")
def then_told(context):
    assert context.is_news


@behave.when("a host asks on that counts in the versions of an earlier run")
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
        # A turn of the loop or two, no time that passes.
        answer = asyncio.ensure_future(
            context.feed.feed.handle(codec.encode_msgpack(request))
        )
        for _ in range(5):
            await asyncio.sleep(0)
        context.is_answered = answer.done()
        return await answer

    context.reply = codec.decode_msgpack(asyncio.run(ask()), watching.WatchReply)


@behave.then("it is told of all {count:d} upstreams at once")
def then_told_at_once(context, count):
    assert context.is_answered
    assert len(watching.unpack_entries(context.reply.packed_entries)) == count


def heard(context, upstream_id, service, *, incarnation=1):
    entry = routing.entry(upstream_id, service, incarnation=incarnation)
    context.found.announce(entry, context.now)


@behave.given("a roster that hears u-1 of service s-1 and u-2 of service s-1")
def given_two_of_service(context):
    context.found = roster.Roster(holder="c-1", silence=5.0)
    context.now = 100.0
    heard(context, "u-1", "s-1")
    heard(context, "u-2", "s-1")
    assert len(context.found.of_service("s-1")) == 2


@behave.when("u-1 starts again as one of service s-2")
def when_other_service(context):
    heard(context, "u-1", "s-2", incarnation=2)


@behave.when("u-2 leaves and is forgotten")
def when_forgotten(context):
    gone = context.found.held_by_id["u-2"].entry.as_gone()
    context.found.merge(gone, context.now)
    context.now += roster.GONE_KEPT_S + 1
    heard(context, "u-1", "s-2", incarnation=3)
    context.found.forget_gone(context.now)
    assert "u-2" not in context.found.held_by_id


@behave.then("the roster finds u-1 under s-2 and nobody under s-1")
def then_found(context):
    assert context.found.of_service("s-1") == []
    (held,) = context.found.of_service("s-2")
    assert held.entry.id == "u-1"
