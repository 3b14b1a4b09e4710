"""The operator's calls about roll-outs on the platform."""

import msgspec

from greengagehaven import exceptions
from greengagehaven.daemons import orders
from greengagehaven.protocol import codec, rollouts

_STATES_BY_PHASE = {
    rollouts.Phase.DONE: "done",
    rollouts.Phase.ROLLED_BACK: "rolled_back",
}
_RUNNING = "running"


class _Order(msgspec.Struct, frozen=True, rename="camel"):
    backend: str
    target_version: str
    duration_s: float = msgspec.field(name="durationS")


class _State(msgspec.Struct, frozen=True, rename="camel"):
    state: str
    target_version: str


def read_order(data: bytes) -> orders.StartRollout:
    """Return the order that a call names.

    :raises InvalidRequestError: it names none.
    """
    order = codec.decode_json(data, _Order, place="rollout")
    for place, value in (
        ("rollout.backend", order.backend),
        ("rollout.targetVersion", order.target_version),
    ):
        if not value:
            raise exceptions.InvalidRequestError(
                place=place, value=value, expected="a name"
            )
    if not 0 < order.duration_s < orders.MAX_ROLLOUT_S:
        raise exceptions.InvalidRequestError(
            place="rollout.durationS",
            value=order.duration_s,
            expected=f"seconds above 0 and below {orders.MAX_ROLLOUT_S}",
        )
    return orders.StartRollout(
        service=order.backend,
        version=order.target_version,
        duration_s=order.duration_s,
    )


def write_state(rollout: rollouts.Rollout) -> bytes:
    """Return the body that tells how far a roll-out has come."""
    state = _STATES_BY_PHASE.get(rollout.phase, _RUNNING)
    return codec.encode_json(_State(state=state, target_version=rollout.version))
