"""Calls between entry hosts that find the control hosts again.

The list of control hosts of an entry host comes from its settings and from the control
hosts themselves. A host that missed the replacement of all of them hears from none, and
its settings may be old too. Other entry hosts are a source of their own.
"""

import asyncio
from collections import abc

from greengagehaven import exceptions, log
from greengagehaven.coordination import control_contact, peers
from greengagehaven.protocol import codec, watching

METHOD = "hosts/control-hosts"
CHECK_PERIOD_S = 0.5
CALL_TIMEOUT_S = 0.7


class ContactRecovery:
    """Asks other entry hosts for control hosts while it hears from none, and answers.

    :param channel: calls to other hosts.
    :param contact: contact of this host with the control hosts.
    :param entry_addresses: returns the peer addresses of the other entry hosts.
    :param on_found: receives the addresses of control hosts.
    :param held_revision: returns the configuration revision that this host holds.
    """

    def __init__(
        self,
        *,
        channel: peers.PeerChannel,
        contact: control_contact.ControlContact,
        entry_addresses: abc.Callable[[], tuple[str, ...]],
        on_found: abc.Callable[[tuple[str, ...]], None],
        held_revision: abc.Callable[[], int],
    ) -> None:
        self._channel = channel
        self._contact = contact
        self._entry_addresses = entry_addresses
        self._on_found = on_found
        self._held_revision = held_revision

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handler of each method."""
        return {METHOD: self.handle}

    async def handle(self, _body: bytes) -> bytes:
        """Return the control hosts that this host hears from."""
        return codec.encode_msgpack(
            watching.ControlHosts(
                addresses=self._contact.current_addresses,
                revision=self._held_revision(),
            )
        )

    async def run(self) -> None:
        """Check the contact until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            addresses = self._contact.hosts_to_ask(self._entry_addresses())
            await asyncio.gather(*(self._ask(address) for address in addresses))
            self._contact.update(held_revision=self._held_revision())

    async def _ask(self, address: str) -> None:
        self._contact.on_asked()
        try:
            data = await self._channel.call(
                address, METHOD, b"", timeout=CALL_TIMEOUT_S
            )
            reply = codec.decode_msgpack(data, watching.ControlHosts)
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            log.info("control_hosts_request_failed", host=address, error=error.detail)
            if isinstance(error, exceptions.PeerRefusedError):
                # A host of a release without this method is reachable all the same.
                self._contact.on_entry_host_reply(is_in_contact=False, revision=0)
            return
        log.info(
            "control_hosts_received",
            host=address,
            addresses=",".join(reply.addresses),
            revision=reply.revision,
            own_revision=self._held_revision(),
        )
        self._contact.on_entry_host_reply(
            is_in_contact=bool(reply.addresses), revision=reply.revision
        )
        self._on_found(reply.addresses)
