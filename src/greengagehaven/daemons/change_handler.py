"""Interface of the receiver of changes that a watcher gets from control hosts."""

import typing

from greengagehaven.protocol import watching
from greengagehaven.state import configuration


class ChangeHandler(typing.Protocol):
    """Receives changes of the roster, the configuration and the hosts."""

    def on_upstream_entries(self, entries: tuple[watching.UpstreamEntry, ...]) -> None:
        """Merge entries of a control host's roster."""

    def on_configuration(self, state: configuration.ConfigurationState) -> None:
        """Put a newer configuration in force."""

    def on_entry_host_count(self, count: int) -> None:
        """Update the number of entry hosts."""

    def on_crashes(self, crashes: tuple[watching.Crash, ...]) -> None:
        """Handle crashes that other entry hosts reported."""

    def on_outliers(self, outliers: tuple[watching.Outlier, ...]) -> None:
        """Handle upstreams that several entry hosts found slow or faulty."""

    def on_configuration_confirmed(self, revision: int, confirmed_at: float) -> None:
        """Handle that a majority of the control hosts confirmed a revision.

        :param confirmed_at: lower bound of the time of confirmation.
        """

    def on_entry_hosts(self, hosts: tuple[watching.HostEntry, ...]) -> None:
        """Update the entry hosts of this zone, and some of each other zone."""
