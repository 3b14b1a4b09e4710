"""Operators' orders at any control host: carried out by the one that leads."""

import asyncio
import datetime
import hashlib
import secrets
import typing

import msgspec

from greengagehaven import exceptions, log
from greengagehaven.daemons import control
from greengagehaven.protocol import codec, packing
from greengagehaven.protocol import rollouts as messages
from greengagehaven.state import configuration, rollouts

ORDER_METHOD = "control/order"
FORWARD_TIMEOUT_S = 0.9
ORDER_WAIT_S = 0.9
RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.25
OPERATOR = "operator"
CHANGE_ID_BYTES = 8
DIGEST_CHARACTERS = 24
MAX_ROLLOUT_S = 7 * 24 * 3600.0
UNKNOWN_SERVICE = "unknown_service"


class PutDocument(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Put a document in force under the operator's own number."""

    number: int
    document: bytes


class SetZone(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Take an availability zone out of service, or back."""

    change_id: str
    zone: str
    drained: bool


class ReadDocument(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Read the newest document."""


class StartRollout(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Move a service to another version of its software.

    :param duration_s: seconds within which that is to be over.
    """

    service: str
    version: str
    duration_s: float
    change_id: str = ""


class ReadRollout(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Read the last roll-out of a service."""

    service: str


Order = PutDocument | SetZone | ReadDocument | StartRollout | ReadRollout


class OrderReply(msgspec.Struct, frozen=True, kw_only=True):
    """What became of an order.

    :param is_decided: ``False`` where another host has to be asked.
    :param code: of the refusal, empty where it was accepted.
    """

    is_decided: bool
    code: str = ""
    detail: str = ""
    number: int = 0
    document: bytes = b""
    rollout: messages.Rollout | None = None


class Orders:
    """Carries out orders, here or at the control host that leads.

    :param host: the control host.
    """

    def __init__(self, *, host: control.ControlHost) -> None:
        self._host = host

    async def put_document(self, number: int, document: bytes) -> None:
        """Have a document accepted; a quorum has it on disk on return.

        :raises ChangeRefusedError: it is invalid.
        :raises QuorumLostError: it could not be decided in time.
        """
        await self._carry_out(PutDocument(number=number, document=document))

    async def set_zone(self, zone: str, *, drained: bool) -> None:
        """Take an availability zone out of service, or back.

        :raises QuorumLostError: it could not be decided in time.
        """
        change_id = secrets.token_hex(CHANGE_ID_BYTES)
        await self._carry_out(SetZone(change_id=change_id, zone=zone, drained=drained))

    async def read_document(self) -> bytes:
        """Return the document that nobody else can have replaced.

        :raises QuorumLostError: no quorum confirmed it in time.
        :raises NotConfiguredError: there is none yet.
        """
        reply = await self._carry_out(ReadDocument())
        if not reply.document:
            raise exceptions.NotConfiguredError("no document is in force yet")
        return reply.document

    async def start_rollout(
        self, service: str, version: str, *, duration_s: float
    ) -> None:
        """Begin to move a service to another version; a quorum holds the order then.

        The same order sent again is acknowledged again.

        :raises InvalidRequestError: the document in force names no such service.
        :raises ChangeRefusedError: the service is being moved to another version.
        :raises QuorumLostError: it could not be decided in time.
        """
        order = StartRollout(
            service=service,
            version=version,
            duration_s=duration_s,
            change_id=secrets.token_hex(CHANGE_ID_BYTES),
        )
        try:
            await self._carry_out(order)
        except exceptions.ChangeRefusedError as error:
            if error.code != UNKNOWN_SERVICE:
                raise
            raise exceptions.InvalidRequestError(
                place="rollout service", value=service, expected=error.detail
            ) from error

    async def read_rollout(self, service: str) -> messages.Rollout:
        """Return the last roll-out of a service, as nobody else can have replaced it.

        :raises NotFoundError: it had none.
        :raises QuorumLostError: no quorum confirmed it in time.
        """
        reply = await self._carry_out(ReadRollout(service=service))
        if reply.rollout is None:
            raise exceptions.NotFoundError(f"{service} was never rolled out")
        return reply.rollout

    async def handle(self, body: bytes) -> bytes:
        """Answer another control host that took this one for the leader."""
        order = codec.decode_msgpack(packing.unpack(body, place="order"), Order)
        try:
            reply = await self._decide(order)
        except exceptions.ControlError:
            reply = OrderReply(is_decided=False)
        return packing.pack(codec.encode_msgpack(reply))

    async def _carry_out(self, order: Order) -> OrderReply:
        try:
            async with asyncio.timeout(ORDER_WAIT_S):
                reply = await self._ask_until_decided(order)
        except TimeoutError as error:
            raise exceptions.QuorumLostError(
                "no leader with a quorum answered; it may still be accepted"
            ) from error
        if reply.code:
            raise exceptions.ChangeRefusedError(reply.detail, code=reply.code)
        return reply

    async def _ask_until_decided(self, order: Order) -> OrderReply:
        pause = RETRY_PAUSE_S
        while True:
            reply = await self._ask_leader(order)
            if reply.is_decided:
                return reply
            # A change of leader takes about a second. What was decided already
            # is known by its change id, so asking again does no harm.
            await asyncio.sleep(pause)
            pause = min(MAX_RETRY_PAUSE_S, 2 * pause)

    async def _ask_leader(self, order: Order) -> OrderReply:
        try:
            if self._host.is_leader:
                return await self._decide(order)
            address = self._host.leader_address
            if address is None:
                return OrderReply(is_decided=False)
            data = await self._host.channel.call(
                address,
                ORDER_METHOD,
                packing.pack(codec.encode_msgpack(order)),
                timeout=FORWARD_TIMEOUT_S,
            )
            unpacked = packing.unpack(data, place="order reply")
            return codec.decode_msgpack(unpacked, OrderReply)
        except (
            exceptions.ControlError,
            exceptions.PeerError,
            exceptions.InvalidRequestError,
        ) as error:
            log.debug("order_not_decided", error=error.detail)
            return OrderReply(is_decided=False)

    async def _decide(self, order: Order) -> OrderReply:
        match order:
            case ReadDocument():
                state = await self._host.read()
                return OrderReply(
                    is_decided=True, number=state.number, document=state.document
                )
            case ReadRollout():
                state = await self._host.read()
                rollout = rollouts.find(state.rollouts, order.service)
                return OrderReply(is_decided=True, rollout=rollout)
            case StartRollout():
                change: configuration.Change = configuration.RolloutChange(
                    change_id=order.change_id,
                    author=OPERATOR,
                    service=order.service,
                    version=order.version,
                    duration=datetime.timedelta(seconds=order.duration_s),
                )
            case PutDocument():
                change = configuration.DocumentChange(
                    change_id=_document_change_id(order),
                    author=OPERATOR,
                    document=order.document,
                    expected_revision=None,
                    number=order.number,
                )
            case SetZone():
                change = configuration.ZoneChange(
                    change_id=order.change_id,
                    author=OPERATOR,
                    zone=order.zone,
                    drained=order.drained,
                    force=True,
                )
            case _ as never:
                typing.assert_never(never)
        record = await self._host.decide(change)
        if record.accepted:
            return OrderReply(is_decided=True)
        return OrderReply(is_decided=True, code=record.code, detail=record.detail)


def _document_change_id(order: PutDocument) -> str:
    """Return an id that a resend of the same order has too."""
    digest = hashlib.sha256(order.document).hexdigest()
    return f"document-{order.number}-{digest[:DIGEST_CHARACTERS]}"
