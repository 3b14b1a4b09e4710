"""Steps for membership, the upstream directory and network partitions."""

import datetime

import behave

from fakes import network
from greengagehaven import exceptions
from greengagehaven.coordination import connections, ownership
from greengagehaven.coordination.membership import core_events, upstreams
from greengagehaven.protocol import upstream

SAMPLE_S = 0.1
SEED = 7


def hosts_in_zone(context, zone):
    return {each for each in context.network.hosts_by_id if each.startswith(zone)}


def hosts_serving(context, upstream_id):
    return {
        host_id
        for host_id, host in context.network.hosts_by_id.items()
        if upstream_id in host.directory.upstreams_by_id
    }


def zones_served(context, host):
    ids = host.directory.upstreams_by_id
    return {context.upstreams_by_id[upstream_id].zone for upstream_id in ids}


def check_throughout(context, seconds, check):
    """Run the check repeatedly over a period, not only at its end."""
    for _ in range(round(seconds / SAMPLE_S)):
        context.network.run(SAMPLE_S)
        check()


def check_serving_all(context, hosts, upstream_ids):
    for host_id in hosts:
        missing = upstream_ids - context.network.hosts_by_id[host_id].upstream_ids
        assert not missing, f"{host_id} misses {missing}"


def live_upstream_ids(context):
    return {each.id for each in context.upstreams_by_id.values() if each.is_running}


@behave.given('the zones "{zones}" of three membership hosts each, started from seeds')
def given_zones(context, zones, retention=None):
    context.network = network.Network(
        seed=SEED, retention=retention or upstreams.Retention()
    )
    context.upstreams_by_id = {}
    context.seeds = tuple(f"{zone}1" for zone in zones.split())
    for number in (1, 2, 3):
        for zone in zones.split():
            context.network.start_host(f"{zone}{number}", zone, seeds=context.seeds)
    context.network.run(3)


@behave.given(
    "tombstones are kept for {kept:d} s and news of silent zones for {stale:d} s"
)
def given_retention(context, kept, stale):
    retention = upstreams.Retention(
        tombstones=datetime.timedelta(seconds=kept),
        stale=datetime.timedelta(seconds=stale),
    )
    count = len(context.upstreams_by_id) // 3
    given_zones(context, "a b c", retention)
    given_upstreams(context, count)


@behave.given(
    "{count:d} directory upstreams in each zone that announce to any host of it"
)
def given_upstreams(context, count):
    for zone in ("a", "b", "c"):
        hosts = tuple(sorted(hosts_in_zone(context, zone)))
        for number in range(count):
            each = network.Upstream(
                context.network, f"u-{zone}{number}", zone, hosts=hosts
            )
            context.upstreams_by_id[each.id] = each
    context.network.run(5)


@behave.given("{count:d} further directory upstreams in each zone")
def given_further_upstreams(context, count):
    for zone in ("a", "b", "c"):
        hosts = tuple(sorted(hosts_in_zone(context, zone)))
        for number in range(100, 100 + count):
            each = network.Upstream(
                context.network, f"u-{zone}{number}", zone, hosts=hosts
            )
            context.upstreams_by_id[each.id] = each
    context.network.run(5)


@behave.when("all directory upstreams load snapshot {snapshot:d} within {seconds:d} s")
def when_snapshot_loaded(context, snapshot, seconds):
    context.network.calls_by_host.clear()
    context.calls_since = context.network.clock.monotonic()
    count = len(context.upstreams_by_id)
    for each in context.upstreams_by_id.values():
        each.snapshots = (*each.snapshots, snapshot)
        each.announce()
        context.network.run(seconds / count)


@behave.then(
    "after {seconds:d} s every host knows snapshot {snapshot:d} "
    "of all directory upstreams"
)
def then_snapshot_known(context, seconds, snapshot):
    context.network.run(seconds)
    for host_id, host in context.network.hosts_by_id.items():
        outdated = [
            known.id
            for known in host.directory.upstreams_by_id.values()
            if snapshot not in known.snapshots
        ]
        assert not outdated, f"{host_id} has outdated records of {outdated}"
        assert len(host.directory.upstreams_by_id) == len(context.upstreams_by_id)


@behave.then("meanwhile no host made more than {limit:d} membership calls a second")
def then_few_calls(context, limit):
    elapsed = context.network.clock.monotonic() - context.calls_since
    for host_id, count in context.network.calls_by_host.items():
        assert count / elapsed <= limit, f"{host_id} made {count} in {elapsed} s"


@behave.when("{seconds:g} s pass for membership")
def when_time_passes(context, seconds):
    context.network.run(seconds)


@behave.when('membership host "{host_id}" dies')
def when_host_dies(context, host_id):
    context.network.kill(host_id)


@behave.when('membership hosts "{host_ids}" die')
def when_hosts_die(context, host_ids):
    for host_id in host_ids.split():
        context.network.kill(host_id)


@behave.when('membership host "{host_id}" starts again with incarnation {number:d}')
def when_host_starts(context, host_id, number):
    context.network.start_host(
        host_id, host_id[0], seeds=context.seeds, incarnation=number
    )


@behave.when('membership host "{host_id}" restarts')
def when_host_restarts(context, host_id):
    context.network.kill(host_id)
    context.network.run(1)
    context.network.start_host(host_id, host_id[0], seeds=context.seeds)


@behave.when('membership host "{host_id}" leaves')
def when_host_leaves(context, host_id):
    context.network.step(host_id, core_events.LeaveRequested())
    context.network.kill(host_id)


@behave.when('membership host "{host_id}" is frozen for {seconds:d} s')
def when_host_frozen(context, host_id, seconds):
    host = context.network.freeze(host_id)
    context.network.run(seconds)
    context.network.thaw(host_id, host)


@behave.when(
    'membership host "{host_id}" stands still while "{upstream_id}" withdraws '
    "and {seconds:d} s pass"
)
def when_host_frozen_during_withdrawal(context, host_id, upstream_id, seconds):
    host = context.network.freeze(host_id)
    context.upstreams_by_id[upstream_id].withdraw("b2")
    context.network.run(seconds)
    context.network.thaw(host_id, host)


@behave.when('the link between "{one}" and "{other}" is cut both ways')
def when_link_cut(context, one, other):
    context.network.cut({one}, {other})
    context.network.cut({other}, {one})


@behave.when(
    "one membership message in {loss:d} is lost and one in {duplication:d} duplicated"
)
def when_lossy(context, loss, duplication):
    context.network.loss = 1 / loss
    context.network.duplication = 1 / duplication
    context.network.jitter_s = 0.02


@behave.when('membership host "{host_id}" posts the notices "{texts}"')
def when_notices_posted(context, host_id, texts):
    for text in texts.split():
        context.network.step(host_id, core_events.NoticePosted(payload=text.encode()))


@behave.when('zone "{zone}" is cut off')
def when_zone_cut(context, zone):
    inside = hosts_in_zone(context, zone)
    outside = set(context.network.hosts_by_id) - inside
    context.network.cut(inside, outside)
    context.network.cut(outside, inside)


@behave.when('messages from zone "{zone}" to the others are lost')
def when_zone_cut_one_way(context, zone):
    inside = hosts_in_zone(context, zone)
    context.network.cut(inside, set(context.network.hosts_by_id) - inside)


@behave.when('zone "{one}" and zone "{other}" are cut off from each other')
def when_two_zones_cut(context, one, other):
    context.network.cut(hosts_in_zone(context, one), hosts_in_zone(context, other))
    context.network.cut(hosts_in_zone(context, other), hosts_in_zone(context, one))


@behave.when('host "{host_id}" is cut off from all others')
def when_host_cut(context, host_id):
    others = set(context.network.hosts_by_id) - {host_id}
    context.network.cut({host_id}, others)
    context.network.cut(others, {host_id})
    for each in context.upstreams_by_id.values():
        each.hosts = tuple(host for host in each.hosts if host != host_id)


@behave.when('hosts "{host_ids}" are cut off from all others')
def when_hosts_cut(context, host_ids):
    inside = set(host_ids.split())
    outside = set(context.network.hosts_by_id) - inside
    context.network.cut(inside, outside)
    context.network.cut(outside, inside)


@behave.when("every link between hosts is cut")
def when_all_cut(context):
    hosts = set(context.network.hosts_by_id)
    context.network.cut(hosts, hosts)


@behave.when('host "{host_id}" loses its links inside the zone')
def when_links_lost(context, host_id):
    peers = hosts_in_zone(context, host_id[0]) - {host_id}
    context.network.cut({host_id}, peers)
    context.network.cut(peers, {host_id})


@behave.when(
    'a new upstream "{upstream_id}" announces itself once, at host "{host_id}"'
)
def when_announced_once(context, upstream_id, host_id):
    each = network.Upstream(context.network, upstream_id, host_id[0], hosts=(host_id,))
    each.stop()
    home_id = context.network.hosts_by_id[host_id].core.view.homes.home_host_id(
        upstream_id
    )
    assert home_id != host_id, "choose another id: this host is its home host"


@behave.when("the zones are joined again")
def when_healed(context):
    context.network.heal()
    context.healed_at = context.network.clock.monotonic()
    context.network.calls_by_host.clear()


@behave.when('the directory upstream "{upstream_id}" withdraws at host "{host_id}"')
def when_withdraws(context, upstream_id, host_id):
    context.upstreams_by_id[upstream_id].withdraw(host_id)


@behave.when('the directory upstream "{upstream_id}" stops renewing')
def when_renewals_stop(context, upstream_id):
    context.upstreams_by_id[upstream_id].stop()


@behave.when(
    'a late copy of the last announcement of "{upstream_id}" reaches host "{host}"'
)
def when_late_copy(context, upstream_id, host):
    announcement = context.upstreams_by_id[upstream_id].announcement()
    context.network.announce(host, announcement)


@behave.when(
    'the directory upstream "{upstream_id}" announces that it drains, '
    'at host "{host_id}"'
)
def when_drains(context, upstream_id, host_id):
    each = context.upstreams_by_id[upstream_id]
    context.earlier = each.announcement()
    each.state = upstream.UpstreamState.DRAINING
    each.announce(host_id)


@behave.when(
    'an announcement of "{upstream_id}" from before that reaches hosts "{hosts}"'
)
def when_earlier_arrives(context, upstream_id, hosts):
    context.network.announce(hosts.split()[0], context.earlier)
    context.network.run(0.5)
    for host_id in hosts.split()[1:]:
        context.network.announce(host_id, context.earlier)


@behave.when(
    'a delayed change of "{upstream_id}" arrives after the renewal that reverted it'
)
def when_delayed_change(context, upstream_id):
    each = context.upstreams_by_id[upstream_id]
    each.sequence += 1
    each.state = upstream.UpstreamState.STARTING
    delayed = each.announcement()
    each.state = upstream.UpstreamState.READY
    each.announce()
    context.network.run(0.5)
    others = [host for host in each.hosts if host != home_host_id(context, upstream_id)]
    # No more renewals: from here only the home host holds the newer state.
    each.stop()
    context.network.announce(others[0], delayed)


@behave.when(
    'the directory upstream "{upstream_id}" restarts with incarnation {number:d}'
)
def when_restarts(context, upstream_id, number):
    known = context.upstreams_by_id[upstream_id]
    known.stop()
    context.upstreams_by_id[upstream_id] = network.Upstream(
        context.network,
        upstream_id,
        known.zone,
        hosts=known.hosts,
        incarnation=number,
        address=known.address,
    )


@behave.when(
    'a withdrawal of incarnation {number:d} of "{upstream_id}" reaches host "{host_id}"'
)
def when_old_withdrawal(context, number, upstream_id, host_id):
    event = core_events.UpstreamWithdrew(upstream_id=upstream_id, incarnation=number)
    context.network.step(host_id, event)


@behave.when('the directory upstream "{upstream_id}" moves to zone "{zone}"')
def when_moves(context, upstream_id, zone):
    context.upstreams_by_id[upstream_id].stop()
    context.upstreams_by_id[upstream_id] = network.Upstream(
        context.network,
        upstream_id,
        zone,
        hosts=tuple(sorted(hosts_in_zone(context, zone))),
        incarnation=200,
    )


@behave.when('another upstream claims "{upstream_id}" from a second address')
def when_claimed(context, upstream_id):
    known = context.upstreams_by_id[upstream_id]
    context.first_address = known.address
    impostor = network.Upstream(
        context.network, "other", known.zone, hosts=known.hosts, address="127.0.0.1:9"
    )
    impostor.stop()
    impostor.id = upstream_id
    impostor.sequence = known.sequence + 5
    context.refusals = []
    for host_id in known.hosts:
        try:
            context.network.announce(host_id, impostor.announcement())
        except exceptions.UpstreamConflictError as error:
            context.refusals.append(error.code)


@behave.when('the home host of "{upstream_id}" dies')
def when_home_dies(context, upstream_id):
    context.network.kill(home_host_id(context, upstream_id))


def home_host_id(context, upstream_id):
    zone = context.upstreams_by_id[upstream_id].zone
    host = context.network.hosts_by_id[min(hosts_in_zone(context, zone))]
    return host.core.view.homes.home_host_id(upstream_id)


@behave.when("the wall clock of the hosts jumps by {seconds:d} s")
def when_clock_jumps(context, seconds):
    context.network.step_wall(seconds)


@behave.when(
    'the directory upstreams of zone "{zone}" announce to hosts of "{zones}" only'
)
def when_other_hosts(context, zone, zones):
    hosts = set().union(*(hosts_in_zone(context, each) for each in zones.split()))
    for each in context.upstreams_by_id.values():
        if each.zone == zone:
            each.hosts = tuple(sorted(hosts))


@behave.then("after {seconds:g} s every membership host counts {count:d} hosts")
def then_count_after(context, seconds, count):
    context.network.run(seconds)
    check_count(context, count)


@behave.then("every membership host counts {count:d} hosts")
def check_count(context, count):
    for host_id, host in context.network.hosts_by_id.items():
        assert len(host.zones_by_host_id) == count, (
            f"{host_id} counts {host.zones_by_host_id}"
        )


@behave.then('after {seconds:g} s no membership host takes "{host_id}" for live')
def then_dead(context, seconds, host_id):
    context.network.run(seconds)
    for other_id, host in context.network.hosts_by_id.items():
        record = host.core.view.hosts.get(host_id)
        assert not record.is_live, f"{other_id} holds {record}"


@behave.then("every membership host takes all others for live")
def then_all_live(context):
    ids = set(context.network.hosts_by_id)
    for host_id, host in context.network.hosts_by_id.items():
        records = host.core.view.hosts.records_by_id.values()
        live = {record.id for record in records if record.is_live}
        assert live == ids, f"{host_id} misses {ids - live}"


@behave.then("after {seconds:g} s every membership host takes all others for live")
def then_all_live_after(context, seconds):
    context.network.run(seconds)
    then_all_live(context)


@behave.then("no membership host was ever suspected")
def then_never_suspected(context):
    for host_id, host in context.network.hosts_by_id.items():
        assert "host_suspected" not in host.log, host_id


@behave.then('some host serves "{upstream_id}"')
def then_some_serve(context, upstream_id):
    assert hosts_serving(context, upstream_id)


@behave.then(
    'after {seconds:g} s only hosts "{host_ids}" may know that "{upstream_id}" left, '
    "and none serves it"
)
def then_none_serves(context, seconds, host_ids, upstream_id):
    context.network.run(seconds)
    knowing = {
        host_id
        for host_id, host in context.network.hosts_by_id.items()
        if host.core.view.upstreams.get(upstream_id).is_gone
    }
    assert knowing <= set(host_ids.split()), knowing
    assert not hosts_serving(context, upstream_id), hosts_serving(context, upstream_id)


@behave.then('membership host "{host_id}" never declared anybody dead')
def then_never_declared(context, host_id):
    assert "host_dead" not in context.network.hosts_by_id[host_id].log


@behave.then('every other membership host got the notices "{texts}" once')
def then_notices(context, texts):
    expected = sorted(text.encode() for text in texts.split())
    for host_id, host in context.network.hosts_by_id.items():
        got = sorted(payload for _, payload in host.notices)
        assert host_id == "c3" or got == expected, f"{host_id} got {got}"


@behave.then("over {seconds:d} s no upstream record is sent between hosts")
def then_no_record_sent(context, seconds):
    before = context.network.upstream_records
    context.network.run(seconds)
    sent = context.network.upstream_records - before
    assert sent == 0, sent


@behave.then('after {seconds:g} s no host serves "{upstream_id}"')
def then_not_served(context, seconds, upstream_id):
    context.network.run(seconds)
    assert not hosts_serving(context, upstream_id), hosts_serving(context, upstream_id)


@behave.then('over {seconds:d} s no host ever serves "{upstream_id}"')
def then_never_served(context, seconds, upstream_id):
    def check():
        assert not hosts_serving(context, upstream_id), hosts_serving(
            context, upstream_id
        )

    check_throughout(context, seconds, check)


@behave.then(
    'over {seconds:d} s every host that serves "{upstream_id}" knows that it drains'
)
def then_drains(context, seconds, upstream_id):
    context.network.run(0.3)

    def check():
        for host in context.network.hosts_by_id.values():
            known = host.directory.upstreams_by_id[upstream_id]
            assert known.state is upstream.UpstreamState.DRAINING, known

    check_throughout(context, seconds, check)


@behave.then(
    'after {seconds:g} s every host knows the current state of "{upstream_id}"'
)
def then_current_state_known(context, seconds, upstream_id):
    context.network.run(seconds)
    for host_id, host in context.network.hosts_by_id.items():
        known = host.directory.upstreams_by_id[upstream_id]
        expected = context.upstreams_by_id[upstream_id].state
        assert known.state is expected, f"{host_id} holds {known}"


@behave.then(
    'after {seconds:g} s every host serves incarnation {number:d} of "{upstream_id}"'
)
def then_incarnation(context, seconds, number, upstream_id):
    context.network.run(seconds)
    for host_id, host in context.network.hosts_by_id.items():
        known = host.directory.upstreams_by_id[upstream_id]
        assert known.incarnation == number, f"{host_id} holds {known}"


@behave.then('after {seconds:g} s every host serves "{upstream_id}" in zone "{zone}"')
def then_in_zone(context, seconds, upstream_id, zone):
    context.network.run(seconds)
    for host_id, host in context.network.hosts_by_id.items():
        known = host.directory.upstreams_by_id[upstream_id]
        assert known.availability_zone == zone, f"{host_id} holds {known}"


@behave.then('after {seconds:g} s every host serves "{upstream_id}"')
def then_served(context, seconds, upstream_id):
    context.network.run(seconds)
    missing = set(context.network.hosts_by_id) - hosts_serving(context, upstream_id)
    assert not missing, missing


@behave.then('the claim is refused with "{code}"')
def then_refused(context, code):
    assert context.refusals == [code] * 3, context.refusals


@behave.then(
    'over {seconds:d} s every host serves "{upstream_id}" at its first address'
)
def then_first_address(context, seconds, upstream_id):
    def check():
        for host in context.network.hosts_by_id.values():
            known = host.directory.upstreams_by_id[upstream_id]
            assert known.address == context.first_address, known

    check_throughout(context, seconds, check)


@behave.then("over {seconds:d} s every host serves all directory upstreams")
def then_all_served(context, seconds):
    check_throughout(
        context,
        seconds,
        lambda: check_serving_all(
            context, context.network.hosts_by_id, set(context.upstreams_by_id)
        ),
    )


@behave.then("after {seconds:g} s every host serves all directory upstreams")
def then_all_served_after(context, seconds):
    context.network.run(seconds)
    ids = set(context.upstreams_by_id)
    check_serving_all(context, context.network.hosts_by_id, ids)


@behave.then(
    'over {seconds:d} s every host but "{host_id}" serves all live directory upstreams'
)
def then_others_serve(context, seconds, host_id):
    hosts = set(context.network.hosts_by_id) - {host_id}
    ids = live_upstream_ids(context)
    check_throughout(context, seconds, lambda: check_serving_all(context, hosts, ids))


@behave.then("over {seconds:d} s every host serves the upstreams of its own zone")
def then_own_zone_served(context, seconds):
    def check():
        for host_id in context.network.hosts_by_id:
            own = {
                each.id
                for each in context.upstreams_by_id.values()
                if each.zone == host_id[0] and each.is_running
            }
            check_serving_all(context, {host_id}, own)

    check_throughout(context, seconds, check)


@behave.then('hosts of zone "{zone}" count hosts of "{zones}"')
def then_zones_counted(context, zone, zones):
    expected = set().union(*(hosts_in_zone(context, each) for each in zones.split()))
    for host_id in hosts_in_zone(context, zone):
        counted = set(context.network.hosts_by_id[host_id].zones_by_host_id)
        assert counted == expected, f"{host_id} counts {counted}"


@behave.then('hosts of zone "{zone}" serve only upstreams of "{zones}"')
def then_zones_served(context, zone, zones):
    for host_id in hosts_in_zone(context, zone):
        served = zones_served(context, context.network.hosts_by_id[host_id])
        assert served == set(zones.split()), f"{host_id} serves {served}"


@behave.then(
    'after {seconds:g} s hosts of zone "{zone}" serve only upstreams of "{zones}"'
)
def then_zones_served_after(context, seconds, zone, zones):
    context.network.run(seconds)
    then_zones_served(context, zone, zones)


@behave.then("every host knows the same")
def then_views_equal(context):
    views = {
        host_id: tuple(
            host.core.view.zone_digests.of_zone(zone) for zone in ("a", "b", "c")
        )
        for host_id, host in context.network.hosts_by_id.items()
    }
    assert len(set(views.values())) == 1, views


@behave.then("after {seconds:g} s every host knows the same")
def then_views_equal_after(context, seconds):
    context.network.run(seconds)
    then_views_equal(context)


@behave.then(
    "after the healing no host made more than {limit:d} membership calls a second"
)
def then_few_calls_after_healing(context, limit):
    elapsed = context.network.clock.monotonic() - context.healed_at
    for host_id, count in context.network.calls_by_host.items():
        assert count / elapsed <= limit, f"{host_id} made {count} in {elapsed} s"


class HostLimits:
    """Ownership and connection limits of one host, updated from its membership."""

    def __init__(self, context, host_id) -> None:
        self._host = context.network.hosts_by_id[host_id]
        self.owners = ownership.Ownership(host_id=host_id, zone=host_id[0])
        self._limits = connections.ConnectionLimits(
            clock=context.network.clock, owners=self.owners
        )
        self._applied: dict[str, str] = {}

    def limit(self, upstream_id):
        if self._host.zones_by_host_id != self._applied:
            self._applied = self._host.zones_by_host_id
            self.owners.set_hosts(self._applied)
            self._limits.set_hosts(self._applied)
        known = self._host.directory.upstreams_by_id.get(upstream_id)
        return 0 if known is None else self._limits.limit(known)


def limits_by_host_id(context):
    """Return the limits of the running hosts; a restarted host has new ones."""
    for host_id, host in context.network.hosts_by_id.items():
        if context.hosts_with_limits.get(host_id) is not host:
            context.hosts_with_limits[host_id] = host
            context.limits_by_host_id[host_id] = HostLimits(context, host_id)
    return {
        each: context.limits_by_host_id[each] for each in context.network.hosts_by_id
    }


def sum_of_limits(context, upstream_id):
    return sum(each.limit(upstream_id) for each in limits_by_host_id(context).values())


@behave.given("every directory upstream announces to hosts of all zones")
def given_all_zones(context):
    for each in context.upstreams_by_id.values():
        each.hosts = tuple(sorted(context.network.hosts_by_id))
        # Some caps are so small that two hosts using one share exceed them.
        each.max_connections = 4 if each.id.endswith("0") else 25


@behave.given("each membership host keeps to its connection limits")
def given_limits(context):
    context.hosts_with_limits = {}
    context.limits_by_host_id = {}
    check_throughout(context, 5, lambda: sum_of_limits(context, "u-a0"))


@behave.then("over {seconds:d} s connections stay within every cap")
def then_within_caps(context, seconds):
    def check():
        for each in context.upstreams_by_id.values():
            cap = each.announcement().max_connections
            total = sum_of_limits(context, each.id)
            assert total <= cap, f"{each.id} may get {total} connections of {cap}"

    check_throughout(context, seconds, check)


@behave.then("each directory upstream has one owner that may connect")
def then_one_owner(context):
    for upstream_id in context.upstreams_by_id:
        limits = [
            each.limit(upstream_id) for each in limits_by_host_id(context).values()
        ]
        assert sum(limit > 0 for limit in limits) == 1, (upstream_id, limits)


@behave.when(
    "every membership host posts a usage report each {interval:d} ms for {seconds:d} s"
)
def when_reports_posted(context, interval, seconds):
    context.network.calls_by_host.clear()
    context.calls_since = context.network.clock.monotonic()
    for _ in range(seconds * 1000 // interval):
        now = context.network.clock.monotonic()
        for host_id in context.network.hosts_by_id:
            event = core_events.NoticePosted(payload=repr(now).encode(), is_report=True)
            context.network.step(host_id, event)
        context.network.run(interval / 1000)


@behave.then(
    "every membership host got a report of every other within the last {seconds:d} s"
)
def then_reports_recent(context, seconds):
    now = context.network.clock.monotonic()
    for host_id, host in context.network.hosts_by_id.items():
        latest = {source: float(payload) for source, payload in host.notices}
        recent = {each for each, posted in latest.items() if now - posted <= seconds}
        missing = set(context.network.hosts_by_id) - recent - {host_id}
        assert not missing, f"{host_id} has no recent report of {missing}"


@behave.then(
    "no membership host made more than {limit:d} calls a second for the reports"
)
def then_calls_for_reports(context, limit):
    then_few_calls(context, limit)
