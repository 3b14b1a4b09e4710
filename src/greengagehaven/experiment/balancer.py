"""The balancer in front of the entry hosts: who gets a zone's new connections."""

from collections import abc

from greengagehaven.experiment import events_loop, host

PERIOD_S = 1.0
MISSES = 2
"""Questions in a row without a yes that take a host out of rotation."""


class Balancer:
    """Asks hosts whether they are ready.

    :param hosts: all entry hosts.
    """

    def __init__(self, *, hosts: abc.Sequence[host.Host], loop: events_loop.Loop):
        self._hosts = hosts
        self._loop = loop
        self._misses_by_id = {each.id: 0 for each in hosts}

    def ask(self) -> None:
        """Ask every host, and again after a period."""
        for each in self._hosts:
            is_ready = each.is_up and not each.is_frozen and not each.router.is_cut_off
            missed = 0 if is_ready else self._misses_by_id[each.id] + 1
            self._misses_by_id[each.id] = missed
        self._loop.after(PERIOD_S, self.ask)

    def rotation(self, zone: str) -> list[host.Host]:
        """Return the hosts that a zone's new connections go to."""
        own = [each for each in self._hosts if each.zone == zone]
        ready = self._ready(own)
        if ready:
            return ready if 2 * len(ready) >= len(own) else own
        others = [each for each in self._hosts if each.zone != zone]
        return self._ready(others) or own or others

    def _ready(self, hosts: abc.Iterable[host.Host]) -> list[host.Host]:
        return [each for each in hosts if self._misses_by_id[each.id] < MISSES]
