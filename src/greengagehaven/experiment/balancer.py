"""Load balancer in front of the entry hosts, which prefers the zone of the caller."""

from collections import abc

from greengagehaven.experiment import event_loop, host

HEALTH_CHECK_PERIOD_S = 1.0

UNHEALTHY_THRESHOLD = 2
"""Consecutive failed health checks after which a host gets no new connections."""


class Balancer:
    """Checks the health of hosts and selects those that get new connections.

    :param hosts: all entry hosts.
    """

    def __init__(self, *, hosts: abc.Sequence[host.Host], loop: event_loop.Loop):
        self._hosts = hosts
        self._loop = loop
        self._failed_checks_by_id = {each.id: 0 for each in hosts}

    def check_hosts(self) -> None:
        """Check every host, and again after each period."""
        for each in self._hosts:
            is_ready = each.is_up and not each.is_frozen and not each.router.is_cut_off
            failed_checks = 0 if is_ready else self._failed_checks_by_id[each.id] + 1
            self._failed_checks_by_id[each.id] = failed_checks
        self._loop.call_later(HEALTH_CHECK_PERIOD_S, self.check_hosts)

    def select_hosts(self, zone: str) -> list[host.Host]:
        """Return the hosts that new connections from a zone go to.

        Hosts of the zone are preferred. If less than half of them are ready, all of
        them are used (panic threshold); if none is, ready hosts of other zones, and
        if those have none either, all hosts of the zone.
        """
        own = [each for each in self._hosts if each.zone == zone]
        ready = self._ready_hosts(own)
        if ready:
            return ready if 2 * len(ready) >= len(own) else own
        others = [each for each in self._hosts if each.zone != zone]
        return self._ready_hosts(others) or own or others

    def _ready_hosts(self, hosts: abc.Iterable[host.Host]) -> list[host.Host]:
        return [
            each
            for each in hosts
            if self._failed_checks_by_id[each.id] < UNHEALTHY_THRESHOLD
        ]
