"""Roll-outs as the configuration holds them: the last one of each service."""

from greengagehaven.protocol import rollouts

MAX_ROLLOUTS = 4096
"""Services whose last roll-out is kept; the oldest that are over go first."""

RESEND_S = 12.0
"""Seconds after an order in which the same order is taken for its resend; operators
resend for at most six."""

NEXT_PHASES = {
    rollouts.Phase.CANARY: (rollouts.Phase.SHIFTED, rollouts.Phase.ROLLED_BACK),
    rollouts.Phase.SHIFTED: (rollouts.Phase.RETIRING, rollouts.Phase.ROLLED_BACK),
    rollouts.Phase.RETIRING: (rollouts.Phase.DONE, rollouts.Phase.ROLLED_BACK),
}


def find(held: tuple[rollouts.Rollout, ...], service: str) -> rollouts.Rollout | None:
    """Return the last roll-out of a service, ``None`` where there was none."""
    return next((each for each in held if each.service == service), None)


def put(
    held: tuple[rollouts.Rollout, ...], changed: rollouts.Rollout
) -> tuple[rollouts.Rollout, ...]:
    """Return the roll-outs with one put in place of its service's last one."""
    kept = [each for each in held if each.service != changed.service]
    while len(kept) >= MAX_ROLLOUTS:
        over = [each for each in kept if each.phase.is_final]
        kept.remove(min(over or kept, key=lambda each: each.number))
    return (*kept, changed)


def running(held: tuple[rollouts.Rollout, ...]) -> tuple[rollouts.Rollout, ...]:
    """Return the roll-outs that are in progress."""
    return tuple(each for each in held if not each.phase.is_final)


def is_repeated(
    last: rollouts.Rollout | None, version: str, *, ordered_at: float
) -> bool:
    """Tell whether an order asks for what its service's last roll-out is.

    An order whose acknowledgement was lost is sent again. Taken for a new one, it would
    give a version a second chance that was just rolled back.
    """
    if last is None or last.version != version:
        return False
    if last.phase is not rollouts.Phase.ROLLED_BACK:
        return True
    return abs(ordered_at - last.ordered_at) < RESEND_S
