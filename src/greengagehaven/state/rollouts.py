"""Rollouts as stored in the configuration: the latest one of each service."""

from greengagehaven.protocol import rollouts

MAX_ROLLOUTS = 4096
"""Maximum number of rollouts kept, one per service; the oldest finished ones are
evicted first."""

RESEND_WINDOW_S = 12.0
"""Seconds after a rollout request within which an identical request counts as a
resend; operators resend for at most six seconds."""

NEXT_PHASES = {
    rollouts.Phase.CANARY: (rollouts.Phase.SHIFTED, rollouts.Phase.ROLLED_BACK),
    rollouts.Phase.SHIFTED: (rollouts.Phase.RETIRING, rollouts.Phase.ROLLED_BACK),
    rollouts.Phase.RETIRING: (rollouts.Phase.DONE, rollouts.Phase.ROLLED_BACK),
}


def find(
    current: tuple[rollouts.Rollout, ...], service: str
) -> rollouts.Rollout | None:
    """Return the latest rollout of a service, ``None`` if it had none."""
    return next((each for each in current if each.service == service), None)


def with_rollout(
    current: tuple[rollouts.Rollout, ...], changed: rollouts.Rollout
) -> tuple[rollouts.Rollout, ...]:
    """Return the rollouts with ``changed`` replacing that of its service."""
    others = [each for each in current if each.service != changed.service]
    while len(others) >= MAX_ROLLOUTS:
        finished = [each for each in others if each.phase.is_final]
        others.remove(min(finished or others, key=lambda each: each.number))
    return (*others, changed)


def running(current: tuple[rollouts.Rollout, ...]) -> tuple[rollouts.Rollout, ...]:
    """Return the rollouts that are in progress."""
    return tuple(each for each in current if not each.phase.is_final)


def is_resend(
    last: rollouts.Rollout | None, version: str, *, ordered_at: float
) -> bool:
    """Return whether a rollout request repeats the latest rollout of its service.

    A request whose acknowledgement was lost is sent again. If it were taken for a new
    request, a version that was just rolled back would be rolled out a second time.

    :param last: the latest rollout of the service.
    :param ordered_at: Unix time of the request in seconds.
    """
    if last is None or last.version != version:
        return False
    if last.phase is not rollouts.Phase.ROLLED_BACK:
        return True
    return abs(ordered_at - last.ordered_at) < RESEND_WINDOW_S
