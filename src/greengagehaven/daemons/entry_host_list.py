"""The entry hosts that control hosts name to an entry host."""

from greengagehaven import clock as clocks
from greengagehaven.daemons import change_handler
from greengagehaven.protocol import watching

LIFETIME_S = 15.0
"""Seconds for which the entry hosts that a control host named are counted."""


class EntryHostList:
    """Merges what several control hosts say about the entry hosts.

    :param sink: receives the merged list and count.
    :param clock: monotonic time.
    """

    def __init__(
        self, *, sink: change_handler.ChangeHandler, clock: clocks.Clock
    ) -> None:
        self._sink = sink
        self._clock = clock
        self._hosts_by_control_address: dict[
            str, tuple[float, tuple[watching.HostEntry, ...]]
        ] = {}
        self._counts_by_control_address: dict[str, tuple[float, int]] = {}
        self._reported_hosts: tuple[watching.HostEntry, ...] = ()

    @property
    def hosts(self) -> tuple[watching.HostEntry, ...]:
        """Return the entry hosts that were named last."""
        return self._reported_hosts

    def forget(self, control_address: str) -> None:
        """Forget what a control host said that is no longer called."""
        self._hosts_by_control_address.pop(control_address, None)
        self._counts_by_control_address.pop(control_address, None)

    def apply_hosts(
        self, control_address: str, hosts: tuple[watching.HostEntry, ...]
    ) -> None:
        """Pass on the entry hosts that any control host named recently.

        Older lists expire: a control host that is gone would keep naming hosts that
        may be gone as well, and each of those costs a sweep a hedge now and then.

        :param hosts: empty if they are the same as before.
        """
        now = self._clock.monotonic()
        _, previous = self._hosts_by_control_address.get(control_address, (now, ()))
        self._hosts_by_control_address[control_address] = now, hosts or previous
        known = {
            host.id: host
            for heard_at, named in self._hosts_by_control_address.values()
            if now - heard_at < LIFETIME_S
            for host in named
        }
        hosts = tuple(known[host_id] for host_id in sorted(known))
        if hosts != self._reported_hosts:
            self._reported_hosts = hosts
            self._sink.on_entry_hosts(hosts)

    def apply_count(self, control_address: str, count: int) -> None:
        """Pass on the greatest count that any control host named recently."""
        now = self._clock.monotonic()
        self._counts_by_control_address[control_address] = (now, count)
        # A control host that has just started does not know all entry hosts yet.
        # Counting too few would make this host's share of a limit too large and
        # break the limit; counting too many does not.
        recent_counts = [
            reported
            for reported_at, reported in self._counts_by_control_address.values()
            if now - reported_at < LIFETIME_S
        ]
        self._sink.on_entry_host_count(max(recent_counts))
