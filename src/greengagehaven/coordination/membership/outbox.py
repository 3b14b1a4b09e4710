"""Actions of one step of the membership core, and its outgoing messages."""

import typing

from greengagehaven.coordination.membership import (
    calls,
    cluster_view,
    core_events,
    rumors,
)
from greengagehaven.protocol import membership

CALL_TIMEOUT_S = 1.0
MAX_PIGGYBACK_BYTES = 1_024


class Outbox:
    """Collects actions and composes exchanges.

    :param view: this host's view of the cluster.
    :param rumors: records to piggyback.
    """

    def __init__(
        self, *, view: cluster_view.ClusterView, rumors: rumors.Rumors
    ) -> None:
        self._view = view
        self._rumors = rumors
        self._calls = calls.PendingCalls()
        self._actions: list[core_events.Action] = []
        self.now = 0.0

    def add(self, action: core_events.Action) -> None:
        """Add an action to be executed after this step."""
        self._actions.append(action)

    def log_event(self, event: str, **fields: object) -> None:
        """Add a log event."""
        self._actions.append(core_events.LogEvent(event=event, fields=fields))

    def take_actions(self) -> list[core_events.Action]:
        """Return and clear the actions of this step."""
        actions, self._actions = self._actions, []
        return actions

    def call(
        self,
        purpose: calls.Purpose,
        host: membership.HostRecord | str,
        message: membership.Exchange | membership.SyncRequest | None = None,
        *,
        timeout: float = CALL_TIMEOUT_S,
        relay: membership.HostRecord | None = None,
    ) -> None:
        """Add a call; by default, send an exchange with zone digests and rumors.

        :param host: the target, or its address if its id is unknown.
        :param timeout: seconds to wait for the answer.
        :param relay: host that relays the message, ``None`` for no relay.
        """
        is_known = isinstance(host, membership.HostRecord)
        address = host.address if is_known else host
        if message is None:
            message = self.compose(host.id if is_known else "")
        action = self._calls.start(
            purpose,
            address,
            message,
            timeout=timeout,
            relay_address=None if relay is None else relay.address,
        )
        self._actions.append(action)

    def end_call(self, call_id: int) -> calls.Purpose | None:
        """Remove a call; return its purpose, ``None`` if the id is unknown."""
        return self._calls.end(call_id)

    def is_pending(self, purpose: calls.Purpose) -> bool:
        """Return whether a call with an equal purpose is pending."""
        return self._calls.is_pending(purpose)

    def compose(
        self, target_id: str, *, with_zone_digests: bool = True, **fields: typing.Any
    ) -> membership.Exchange:
        """Return an exchange with rumors, ``fields`` and, by default, zone digests.

        A target that is considered suspect or dead receives its own record, so that it
        can refute it.
        """
        hosts, upstreams = rumors.split_by_type(self._rumors.take(MAX_PIGGYBACK_BYTES))
        target = self._view.hosts.get(target_id)
        if target is not None and target.status is not membership.HostStatus.ALIVE:
            hosts = (target, *hosts)
        fields["hosts"] = (*fields.get("hosts", ()), *hosts)
        fields["upstreams"] = (*fields.get("upstreams", ()), *upstreams)
        return self.compose_plain(
            target_id, with_zone_digests=with_zone_digests, **fields
        )

    def compose_plain(
        self, target_id: str, *, with_zone_digests: bool = False, **fields: typing.Any
    ) -> membership.Exchange:
        """Return an exchange with ``fields`` and no rumors.

        Zone digests are larger than most records, so by default they are sent only with
        probes and contacts, which are frequent enough to detect differences.
        """
        return membership.Exchange(
            sender=self._view.hosts.own,
            target_id=target_id,
            zone_digests=self._view.build_zone_digests(self.now)
            if with_zone_digests
            else (),
            **fields,
        )

    def requested_records(self, exchange: membership.Exchange) -> dict[str, typing.Any]:
        """Return the records that an exchange requests, as fields."""
        hosts = (self._view.hosts.get(each) for each in exchange.wanted_hosts)
        found = (self._view.upstreams.get(each) for each in exchange.wanted_upstreams)
        return {
            "hosts": tuple(record for record in hosts if record is not None),
            "upstreams": tuple(record for record in found if record is not None),
        }
