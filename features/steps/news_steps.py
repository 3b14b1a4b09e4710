"""Steps for roster updates from control hosts to entry hosts, on a virtual clock."""

import asyncio
import random

import behave

from fakes import control_fakes, routing
from greengagehaven import exceptions
from greengagehaven.coordination import control_host_selection
from greengagehaven.daemons import publisher, registrar, roster_feed, watcher
from greengagehaven.protocol import codec, watching
from greengagehaven.state import configuration_history, roster

SILENCE_TIMEOUT_S = 1000.0
STARTUP_S = 3.0
STEP_S = 0.05


class ControlHost:
    """A control host with a roster and its feed; it watches the other control hosts."""

    def __init__(self, fleet, zone):
        self.address = f"control-{zone}:1"
        self.age = 0.0
        self.ignores_entries = False
        self.sent_entry_count = 0
        self._channel = fleet.network.channel_of(self.address)
        clock = fleet.loop.clock
        self.roster = roster.Roster(
            host_name=self.address, silence_timeout=SILENCE_TIMEOUT_S
        )
        self.feed = roster_feed.RosterFeed(
            roster=self.roster,
            configuration=publisher.ConfigurationPublisher(
                history=configuration_history.ConfigurationHistory(),
                staleness=lambda: self.age,
                clock=clock,
            ),
            control_addresses=lambda: tuple(fleet.addresses),
            clock=clock,
            zone=zone,
        )
        self.registrar = registrar.Registrar(
            feed=self.feed, min_control_hosts=lambda: 1
        )
        self.watcher = watcher.Watcher(
            channel=self._channel,
            host_id=self.address,
            availability_zone=zone,
            is_entry=False,
            control_addresses=fleet.addresses,
            own_address=self.address,
            follows_configuration=False,
            control_host_selector=control_host_selection.AllControlHosts(),
            sink=self,
            clock=clock,
            rng=random.Random(zone),
        )
        fleet.network.handlers_by_address[self.address] = {
            roster_feed.WATCH_METHOD: self._handle,
            roster_feed.OUTLIERS_METHOD: self.feed.handle_outliers,
        }

    async def _handle(self, body):
        data = await self.feed.handle(body)
        if codec.decode_msgpack(body, watching.WatchRequest).is_entry:
            reply = codec.decode_msgpack(data, watching.WatchReply)
            updates = (reply.entries, reply.packed_entries, reply.outliers)
            self.sent_entry_count += sum(map(len, updates))
        return data

    def on_upstream_entries(self, entries):
        if not self.ignores_entries:
            self.feed.merge(entries)

    def on_outliers(self, outliers):
        self.feed.merge_outliers(outliers)

    def on_entry_host_count(self, count):
        """Does nothing: a control host counts its own watchers."""


class EntryHost:
    """An entry host that stores what its watcher receives."""

    def __init__(self, fleet, zone, number):
        host_id = f"entry-{zone}-{number}"
        self.stages_by_id = {}
        self.host_count = 0
        self.outliers = []
        clock = fleet.loop.clock
        self.watcher = watcher.Watcher(
            channel=fleet.network.channel_of(host_id),
            host_id=host_id,
            availability_zone=zone,
            is_entry=True,
            control_addresses=fleet.addresses[:2],
            control_host_selector=control_host_selection.SameZoneControlHost(
                zone=zone, clock=clock
            ),
            sink=self,
            clock=clock,
            rng=random.Random(number),
        )

    def on_upstream_entries(self, entries):
        self.stages_by_id |= {entry.id: entry.stage for entry in entries}

    def on_entry_host_count(self, count):
        self.host_count = count

    def on_hosts(self, hosts):
        """Does nothing: no delegation in these scenarios."""

    def on_outliers(self, outliers):
        self.outliers.extend(outliers)

    def on_crashes(self, crashes):
        """Does nothing: no crashes in these scenarios."""


class Fleet:
    """Control hosts in several zones and entry hosts in one zone."""

    def __init__(self, control_zones, zone, count):
        self.loop = control_fakes.VirtualLoop()
        self.network = control_fakes.Network()
        self.addresses = [f"control-{name}:1" for name in control_zones]
        self.controls_by_zone = {
            name: ControlHost(self, name) for name in control_zones
        }
        self.entries = [EntryHost(self, zone, number) for number in range(count)]
        self.loop.run_until_complete(self._start())

    async def _start(self):
        for control in self.controls_by_zone.values():
            control.watcher.start()
        for entry in self.entries:
            entry.watcher.start()
        await asyncio.sleep(STARTUP_S)

    def run_for(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def announce(self, zone, upstream_id, *, sequence=1, stage=watching.Stage.READY):
        announcement = routing.upstream_entry(
            upstream_id, "service", zone=zone, sequence=sequence, stage=stage
        )
        receiver = self.controls_by_zone[zone].registrar
        return self.loop.create_task(receiver.announce(announcement))

    def wait_for(self, seconds, condition):
        """Run until a condition holds on all entry hosts.

        :param seconds: timeout.
        """
        deadline = self.loop.time() + seconds
        while self.loop.time() < deadline:
            if all(condition(entry) for entry in self.entries):
                return
            self.run_for(STEP_S)
        raise AssertionError([entry.stages_by_id for entry in self.entries])

    def close(self):
        self.loop.run_until_complete(self._close())
        self.loop.close()

    async def _close(self):
        for host in (*self.controls_by_zone.values(), *self.entries):
            await host.watcher.close()


@behave.given(
    "control hosts in zones {first}, {second} and {third}, "
    "and {count:d} entry hosts in zone {zone}"
)
def given_fleet(context, first, second, third, count, zone):
    context.fleet = Fleet((first, second, third), zone, count)
    context.add_cleanup(context.fleet.close)


@behave.given("{count:d} upstreams announce themselves in zone {zone} over 1 second")
def given_announced(context, count, zone):
    announce_all(context, count, zone, 1)
    context.fleet.run_for(1.0)


@behave.when(
    "{count:d} upstreams announce themselves in zone {zone} over {seconds:d} seconds"
)
def when_announced(context, count, zone, seconds):
    announce_all(context, count, zone, seconds)


def announce_all(context, count, zone, seconds):
    for number in range(count):
        context.fleet.announce(zone, f"u-{number}")
        context.fleet.run_for(seconds / count)


@behave.when("the control host of zone {zone} is partitioned")
def when_control_partitioned(context, zone):
    context.fleet.network.cut_off(context.fleet.controls_by_zone[zone].address)


@behave.when("the control host of zone {zone} loses contact with the others")
def when_contact_lost(context, zone):
    control = context.fleet.controls_by_zone[zone]
    control.age = 5.0
    control.ignores_entries = True


@behave.when("the control host of zone {zone} stops receiving entries")
def when_entries_ignored(context, zone):
    context.fleet.controls_by_zone[zone].ignores_entries = True


@behave.when("every control host loses contact with the others")
def when_all_contact_lost(context):
    for control in context.fleet.controls_by_zone.values():
        control.age = 5.0


@behave.when("an upstream of zone {zone} drains")
def when_drains(context, zone):
    context.drained_at = context.fleet.loop.time()
    context.draining = context.fleet.announce(
        zone, "u-0", sequence=2, stage=watching.Stage.DRAINING
    )


@behave.when("{seconds:d} seconds pass for control and entry hosts")
def when_seconds_pass(context, seconds):
    context.fleet.run_for(seconds)


@behave.then("within {seconds:d} seconds every entry host knows {count:d} upstreams")
def then_known(context, seconds, count):
    context.fleet.wait_for(seconds, lambda entry: len(entry.stages_by_id) == count)


@behave.then("within {seconds:d} seconds every entry host knows that it drains")
def then_drains(context, seconds):
    drains = watching.Stage.DRAINING
    context.fleet.wait_for(
        seconds, lambda entry: entry.stages_by_id.get("u-0") is drains
    )
    error = context.draining.done() and context.draining.exception()
    assert not error or isinstance(error, exceptions.QuorumLostError)


@behave.then(
    "the control hosts of zones {first} and {second} told the entry hosts "
    "of no upstream"
)
def then_told_nothing(context, first, second):
    controls = context.fleet.controls_by_zone
    told = {zone: controls[zone].sent_entry_count for zone in (first, second)}
    assert not any(told.values()), told


@behave.then("{count:d} control host sent upstreams to the entry hosts")
def then_count_told(context, count):
    told = [host.sent_entry_count for host in context.fleet.controls_by_zone.values()]
    assert sum(number > 0 for number in told) == count, told


@behave.then("every entry host has a count of {count:d} entry hosts")
def then_hosts_counts(context, count):
    counts = [entry.host_count for entry in context.fleet.entries]
    assert counts == [count] * len(counts), counts


@behave.then("its announcement is answered within {seconds:f} seconds")
def then_announcement_answered(context, seconds):
    context.fleet.loop.run_until_complete(context.draining)
    elapsed = context.fleet.loop.time() - context.drained_at
    assert elapsed <= seconds, elapsed


@behave.given(
    "2 rosters that received the same {count:d} upstreams in a different order"
)
def given_rosters(context, count):
    entries = [
        routing.upstream_entry(f"u-{number}", "s").as_change()
        for number in range(count)
    ]
    context.rosters = []
    for order in (entries, entries[::-1]):
        one = roster.Roster(host_name="c", silence_timeout=SILENCE_TIMEOUT_S)
        for entry in order:
            one.merge(entry, 0.0)
        context.rosters.append(one)


@behave.when("the first receives a renewal of one upstream")
def when_renewed(context):
    held = context.rosters[0].items_by_id["u-3"].entry
    renewal = routing.upstream_entry("u-3", "s", sequence=2).with_holder(held.holder)
    # The renewal was announced to another control host.
    context.rosters[0].merge(renewal.as_renewal_of(held), 1.0)


@behave.when("the first receives the draining of one upstream")
def when_one_drains(context):
    context.drained = routing.upstream_entry(
        "u-4", "s", sequence=5, stage=watching.Stage.DRAINING
    ).as_change()
    context.rosters[0].merge(context.drained, 2.0)


@behave.when("the second receives the same draining")
def when_second_receives(context):
    context.rosters[1].merge(context.drained, 3.0)


@behave.then("their digests are the same")
def then_same(context):
    first, second = context.rosters
    assert first.digest == second.digest != 0


@behave.then("their digests differ")
def then_differ(context):
    first, second = context.rosters
    assert first.digest != second.digest


@behave.then(
    "a host that does not follow {others:d} control hosts compares with each every "
    "{seconds:f} s"
)
def then_compares(context, others, seconds):
    assert abs(control_host_selection.compare_period(others) - seconds) < 1e-9
