"""Bodies of the platform's requests and responses about roll-outs."""

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


def parse_order(data: bytes) -> orders.StartRollout:
    """Return the order in the body of a request.

    :raises InvalidRequestError: the body is malformed or has an invalid field.
    """
    order = codec.decode_json(data, _Order, place="rollout")
    for field, value in (
        ("rollout.backend", order.backend),
        ("rollout.targetVersion", order.target_version),
    ):
        if not value:
            raise exceptions.InvalidRequestError(
                place=field, value=value, expected="a name"
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


def encode_state(rollout: rollouts.Rollout) -> bytes:
    """Return the response body with the state of a roll-out."""
    state = _STATES_BY_PHASE.get(rollout.phase, _RUNNING)
    return codec.encode_json(_State(state=state, target_version=rollout.version))
