"""Operators' commands (``orders``), accepted by any control host and run by the leader.

A host that is not the leader sends the order to the leader and retries through an
election; change ids make the retries idempotent.

Operators resend an order to another host when they get no response, and orders carry
nothing that tells a resend from a new one. A copy that was delayed, in a host that was
suspended or on a connection that stalled, must not undo the orders that followed. So an
order is dropped if its client has left, and the leader rejects it if another change has
come into force since it was received.
"""

import asyncio
import datetime
import hashlib
import secrets
import typing

import msgspec

from greengagehaven import exceptions, log
from greengagehaven.daemons import control_host
from greengagehaven.protocol import codec, compression
from greengagehaven.protocol import rollouts as messages
from greengagehaven.state import configuration, rollouts

ORDER_METHOD = "control/order"
FORWARD_TIMEOUT_S = 0.9
ORDER_TIMEOUT_S = 0.9
CLIENT_CHECK_S = 0.02
"""Time in which the close of a connection that stalled follows the order on it."""

INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.25
OPERATOR_AUTHOR = "operator"
RANDOM_CHANGE_ID_BYTES = 8
CHANGE_ID_DIGEST_CHARACTERS = 24
MAX_ROLLOUT_S = 7 * 24 * 3600.0
UNKNOWN_SERVICE = "unknown_service"


class PutDocument(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Apply a document under the number that the operator gave it."""

    number: int
    document: bytes


class SetZone(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Drain an availability zone or restore it.

    :param expected_revision: as in ``configuration.ZoneChange``.
    """

    change_id: str
    zone: str
    drained: bool
    expected_revision: int | None = None


class ReadDocument(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Read the document that is in force."""


class StartRollout(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Start a roll-out of another software version of a service.

    :param duration_s: seconds within which the roll-out should end.
    :param expected_revision: as in ``configuration.ZoneChange``.
    """

    service: str
    version: str
    duration_s: float
    change_id: str = ""
    expected_revision: int | None = None


class ReadRollout(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Read the latest roll-out of a service."""

    service: str


Order = PutDocument | SetZone | ReadDocument | StartRollout | ReadRollout


class OrderReply(msgspec.Struct, frozen=True, kw_only=True):
    """Result of an order.

    :param is_decided: ``False`` if this host could not decide it as the leader; the
        sender retries.
    :param code: error code of the refusal, empty if it was accepted.
    :param revision: the revision in force if the order expected an earlier one.
    """

    is_decided: bool
    code: str = ""
    detail: str = ""
    number: int = 0
    document: bytes = b""
    rollout: messages.Rollout | None = None
    revision: int | None = None


class OrderExecutor:
    """Runs orders, on this host if it is the leader, else on the leader.

    :param host: the control host.
    """

    def __init__(self, *, host: control_host.ControlHost) -> None:
        self._host = host

    async def put_document(self, number: int, document: bytes) -> None:
        """Apply a document; a quorum has it on disk on return.

        :raises ChangeRefusedError: it is invalid.
        :raises QuorumLostError: no quorum confirmed it in time; it may still be.
        """
        await self._execute(PutDocument(number=number, document=document))

    async def set_zone(self, zone: str, *, drained: bool) -> None:
        """Drain an availability zone or restore it.

        :raises QuorumLostError: no quorum confirmed it in time; it may still be.
        """
        change_id = secrets.token_hex(RANDOM_CHANGE_ID_BYTES)
        await self._execute_unless_late(
            SetZone(change_id=change_id, zone=zone, drained=drained)
        )

    async def read_document(self) -> bytes:
        """Return the document in force, by a linearizable read.

        :raises QuorumLostError: no quorum confirmed it in time.
        :raises NotConfiguredError: there is none yet.
        """
        reply = await self._execute(ReadDocument())
        if not reply.document:
            raise exceptions.NotConfiguredError("no document is in force yet")
        return reply.document

    async def start_rollout(
        self, service: str, version: str, *, duration_s: float
    ) -> None:
        """Start a roll-out; a quorum has the order on disk on return.

        Sending the same order again is idempotent.

        :raises InvalidRequestError: the document in force has no such service.
        :raises ChangeRefusedError: a roll-out of another version is in progress.
        :raises QuorumLostError: no quorum confirmed it in time; it may still be.
        """
        order = StartRollout(
            service=service,
            version=version,
            duration_s=duration_s,
            change_id=secrets.token_hex(RANDOM_CHANGE_ID_BYTES),
        )
        try:
            await self._execute_unless_late(order)
        except exceptions.ChangeRefusedError as error:
            if error.code != UNKNOWN_SERVICE:
                raise
            raise exceptions.InvalidRequestError(
                place="rollout service", value=service, expected=error.detail
            ) from error

    async def read_rollout(self, service: str) -> messages.Rollout:
        """Return the latest roll-out of a service, by a linearizable read.

        :raises NotFoundError: it never had one.
        :raises QuorumLostError: no quorum confirmed it in time.
        """
        reply = await self._execute(ReadRollout(service=service))
        if reply.rollout is None:
            raise exceptions.NotFoundError(f"service {service} has had no roll-out")
        return reply.rollout

    async def handle(self, body: bytes) -> bytes:
        """Return the reply to an order that another control host sent to the leader."""
        order = codec.decode_msgpack(compression.decompress(body, place="order"), Order)
        try:
            reply = await self._execute_as_leader(order)
        except exceptions.RevisionChangedError as error:
            reply = OrderReply(is_decided=False, revision=error.revision)
        except exceptions.ControlError:
            reply = OrderReply(is_decided=False)
        return compression.compress(codec.encode_msgpack(reply))

    async def _execute_unless_late(self, order: SetZone | StartRollout) -> None:
        """Execute an order that would have an effect again if it were repeated.

        The handler that awaits this is cancelled once the client closes its connection.
        """
        revision = self._host.current.revision
        await asyncio.sleep(CLIENT_CHECK_S)
        await self._execute(msgspec.structs.replace(order, expected_revision=revision))

    async def _execute(self, order: Order) -> OrderReply:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                reply = await self._retry_until_decided(order)
        except TimeoutError as error:
            raise exceptions.QuorumLostError(
                "no leader with a quorum answered; the order may still be accepted"
            ) from error
        if reply.code:
            raise exceptions.ChangeRefusedError(reply.detail, code=reply.code)
        return reply

    async def _retry_until_decided(self, order: Order) -> OrderReply:
        # The event loop's clock stops while the host is suspended; this one does not.
        clock = self._host.clock
        end = clock.monotonic() + ORDER_TIMEOUT_S
        delay = INITIAL_RETRY_DELAY_S
        while clock.monotonic() < end:
            reply = await self._try_execute(order)
            if reply.is_decided:
                return reply
            if reply.revision is not None and isinstance(order, SetZone | StartRollout):
                # This host lagged behind, or another change was made at the same time.
                # The client still waits, so the order applies to the present revision.
                order = msgspec.structs.replace(order, expected_revision=reply.revision)
                continue
            # An election takes about a second. The change id makes a retry
            # idempotent.
            await asyncio.sleep(delay)
            delay = min(MAX_RETRY_DELAY_S, 2 * delay)
        raise TimeoutError

    async def _try_execute(self, order: Order) -> OrderReply:
        try:
            if self._host.is_leader:
                return await self._execute_as_leader(order)
            address = self._host.leader_address
            if address is None:
                return OrderReply(is_decided=False)
            packed_reply = await self._host.channel.call(
                address,
                ORDER_METHOD,
                compression.compress(codec.encode_msgpack(order)),
                timeout=FORWARD_TIMEOUT_S,
            )
            body = compression.decompress(packed_reply, place="order reply")
            return codec.decode_msgpack(body, OrderReply)
        except exceptions.RevisionChangedError as error:
            return OrderReply(is_decided=False, revision=error.revision)
        except (
            exceptions.ControlError,
            exceptions.PeerError,
            exceptions.InvalidRequestError,
        ) as error:
            log.debug("order_not_decided", error=error.detail)
            return OrderReply(is_decided=False)

    async def _execute_as_leader(self, order: Order) -> OrderReply:
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
                    author=OPERATOR_AUTHOR,
                    service=order.service,
                    version=order.version,
                    duration=datetime.timedelta(seconds=order.duration_s),
                    expected_revision=order.expected_revision,
                )
            case PutDocument():
                change = configuration.DocumentChange(
                    change_id=_document_change_id(order),
                    author=OPERATOR_AUTHOR,
                    document=order.document,
                    expected_revision=None,
                    number=order.number,
                )
            case SetZone():
                change = configuration.ZoneChange(
                    change_id=order.change_id,
                    author=OPERATOR_AUTHOR,
                    zone=order.zone,
                    drained=order.drained,
                    force=True,
                    expected_revision=order.expected_revision,
                )
            case _ as never:
                typing.assert_never(never)
        record = await self._host.propose_audited(change)
        if record.accepted:
            return OrderReply(is_decided=True)
        return OrderReply(is_decided=True, code=record.code, detail=record.detail)


def _document_change_id(order: PutDocument) -> str:
    """Return a change id derived from the order, the same for each resend."""
    digest = hashlib.sha256(order.document).hexdigest()
    return f"document-{order.number}-{digest[:CHANGE_ID_DIGEST_CHARACTERS]}"
