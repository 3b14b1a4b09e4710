"""Discovery of an existing Raft group, and admission to its membership."""

import asyncio

import msgspec

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.coordination.raft import core, membership_change
from greengagehaven.protocol import codec, control
from greengagehaven.state import records

IDENTIFY_METHOD = "control/identify"
JOIN_METHOD = "control/join"
CALL_TIMEOUT_S = 1.0
CANDIDATE_LIFETIME_S = 5.0


class Admission:
    """Finds the group of the other control hosts and asks its leader for membership.

    :param channel: calls to other hosts.
    :param own_member: member record that this host asks for; its id may change.
    :param peer_addresses: the other control hosts.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        channel: peers.PeerChannel,
        own_member: records.Member,
        peer_addresses: tuple[str, ...],
        clock: clocks.Clock,
    ) -> None:
        self.own_member = own_member
        self._channel = channel
        self._founders = peer_addresses
        self._peer_addresses = peer_addresses
        self._clock = clock
        self._candidates_by_id: dict[str, tuple[float, records.Member]] = {}

    def set_peer_addresses(self, addresses: tuple[str, ...]) -> None:
        """Join through these control hosts from now on."""
        self._peer_addresses = addresses

    async def find_group_id(self, *, bootstrap: bool) -> str | None:
        """Return the id of the other hosts' group, or "" to create a new group.

        A group is created only if every other control host replies that it has
        none, and only by the host with the lowest address. Otherwise a host that
        lost its disk during a partition would create a second group, and two
        leaders would accept changes. For the same reason these are the control hosts
        named at the start: later settings may differ between hosts.

        :return: ``None`` if neither can be decided yet.
        """
        addresses = tuple(dict.fromkeys((*self._founders, *self._peer_addresses)))
        replies = await asyncio.gather(
            *(self._identify(address) for address in addresses)
        )
        for reply in replies:
            if reply is not None and reply.group_id:
                return reply.group_id
        has_lowest_address = all(
            self.own_member.address < other for other in self._founders
        )
        founders_replied = None not in replies[: len(self._founders)]
        if bootstrap and has_lowest_address and founders_replied:
            return ""
        return None

    async def request_membership(self, membership: records.Membership) -> None:
        """Ask the leader to add this host to the membership.

        :param membership: the newest one that this host knows. Its members are asked as
            well, as the control hosts in the settings may have been replaced.
        """
        request = codec.encode_msgpack(
            control.JoinRequest(
                member_id=self.own_member.id,
                host=self.own_member.host,
                address=self.own_member.address,
                voter=self.own_member.voter,
            )
        )
        tried = set()
        pending = [member.address for member in membership.members]
        pending += self._peer_addresses
        while pending:
            address = pending.pop(0)
            if address in tried or address == self.own_member.address:
                continue
            tried.add(address)
            try:
                data = await self._channel.call(
                    address, JOIN_METHOD, request, timeout=CALL_TIMEOUT_S
                )
                reply = codec.decode_msgpack(data, control.JoinReply)
            except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
                log.debug("join_failed", peer=address, error=error.detail)
                continue
            if reply.leader_address == address:
                return
            if reply.leader_address:
                pending.insert(0, reply.leader_address)

    def is_admitted(self, membership: records.Membership) -> bool:
        """Return whether the membership contains this host's member record."""
        return self.own_member in membership.members

    def add_candidate(self, request: control.JoinRequest) -> None:
        """Record, as the leader, that a host asked for membership."""
        member = records.Member(
            id=request.member_id,
            host=request.host,
            address=request.address,
            voter=request.voter,
        )
        self._candidates_by_id[member.id] = (self._clock.monotonic(), member)

    def next_membership(self, raft: core.Raft) -> records.Membership | None:
        """Return the next membership that the leader should propose, if any."""
        oldest = self._clock.monotonic() - CANDIDATE_LIFETIME_S
        self._candidates_by_id = {
            member_id: candidate
            for member_id, candidate in self._candidates_by_id.items()
            if candidate[0] >= oldest
        }
        candidates = tuple(member for _, member in self._candidates_by_id.values())
        return membership_change.next_membership(raft, candidates)

    def set_member_id(self, member_id: str) -> None:
        """Adopt the member id that is stored on this host's disk."""
        self.own_member = msgspec.structs.replace(self.own_member, id=member_id)

    async def _identify(self, address: str) -> control.IdentifyReply | None:
        try:
            data = await self._channel.call(
                address, IDENTIFY_METHOD, b"", timeout=CALL_TIMEOUT_S
            )
            return codec.decode_msgpack(data, control.IdentifyReply)
        except (exceptions.PeerError, exceptions.InvalidRequestError):
            return None
