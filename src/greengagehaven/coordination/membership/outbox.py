"""What one step of the core wants done, and the messages it sends."""

import typing

from greengagehaven.coordination.membership import calls, knowledge, rumors, signals
from greengagehaven.protocol import membership

CALL_TIMEOUT_S = 1.0
PIGGYBACK_BYTES = 1_024


class Outbox:
    """Collects actions and composes exchanges.

    :param knowledge: what this host knows.
    :param rumors: news to piggyback.
    """

    def __init__(
        self, *, knowledge: knowledge.Knowledge, rumors: rumors.Rumors
    ) -> None:
        self._known = knowledge
        self._rumors = rumors
        self._calls = calls.Calls()
        self._actions: list[signals.Action] = []
        self.now = 0.0

    def add(self, action: signals.Action) -> None:
        """Have an action done after this step."""
        self._actions.append(action)

    def note(self, event: str, **fields: object) -> None:
        """Have an event logged."""
        self._actions.append(signals.Noted(event=event, fields=fields))

    def take(self) -> list[signals.Action]:
        """Return the actions of this step and forget them."""
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
        """Send a message, by default an exchange with marks and rumors.

        :param host: the target or, where its id is not known, its address.
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
        """Return what a call was for; it is over."""
        return self._calls.end(call_id)

    def is_under_way(self, purpose: calls.Purpose) -> bool:
        """Tell whether a call for just this purpose is under way."""
        return self._calls.is_under_way(purpose)

    def compose(
        self, target_id: str, *, marked: bool = True, **fields: typing.Any
    ) -> membership.Exchange:
        """Return an exchange with rumors, ``fields`` and, by default, marks.

        A target that is held for suspect or dead is told so; only then can it
        refute.
        """
        hosts, upstreams = rumors.split(self._rumors.take(PIGGYBACK_BYTES))
        target = self._known.hosts.get(target_id)
        if target is not None and target.status is not membership.HostStatus.ALIVE:
            hosts = (target, *hosts)
        fields["hosts"] = (*fields.get("hosts", ()), *hosts)
        fields["upstreams"] = (*fields.get("upstreams", ()), *upstreams)
        return self.plain(target_id, marked=marked, **fields)

    def plain(
        self, target_id: str, *, marked: bool = False, **fields: typing.Any
    ) -> membership.Exchange:
        """Return an exchange with ``fields`` only.

        Marks take more bytes than most news; they go with probes and contacts,
        which are frequent enough to find differences.
        """
        return membership.Exchange(
            sender=self._known.hosts.own,
            target_id=target_id,
            marks=self._known.marks(self.now) if marked else (),
            **fields,
        )

    def records_for(self, exchange: membership.Exchange) -> dict[str, typing.Any]:
        """Return the records that an exchange asks for, as fields."""
        hosts = (self._known.hosts.get(each) for each in exchange.wanted_hosts)
        found = (self._known.upstreams.get(each) for each in exchange.wanted_upstreams)
        return {
            "hosts": tuple(record for record in hosts if record is not None),
            "upstreams": tuple(record for record in found if record is not None),
        }
