"""Random schedules of faults, reproducible from a seed."""

import enum
import random

import msgspec

CONTROLS = ("c1", "c2", "c3")
ZONES = ("a", "b", "c")
_MIN_GAP_S = 0.3
_MAX_GAP_S = 2.0
_FIRST_FAULT_S = 2.0

CATCH_UP_S = 6.0
"""Seconds after a control host's restart without faults on control hosts."""

RESTART_S = 6.0
"""Maximum seconds of a graceful stop plus a start. A second start could not bind the
ports of the host."""


class FaultKind(enum.StrEnum):
    """What a fault does.

    Each ends after its duration; that of a planned stop begins when the host exited.
    """

    KILL_ENTRY = "kill_entry"
    PAUSE_ENTRY = "pause_entry"
    STOP_ENTRY = "stop_entry"
    KILL_CONTROL = "kill_control"
    PAUSE_CONTROL = "pause_control"
    WIPE_CONTROL = "wipe_control"
    CUT_CALLERS = "cut_callers"
    RESET_CALLERS = "reset_callers"
    DELAY_CALLERS = "delay_callers"
    CUT_UPSTREAM = "cut_upstream"
    MUTE_UPSTREAM = "mute_upstream"
    RESET_UPSTREAM = "reset_upstream"
    DELAY_UPSTREAM = "delay_upstream"
    SLOW_UPSTREAM = "slow_upstream"
    DRAIN_UPSTREAM = "drain_upstream"
    NEW_DOCUMENT = "new_document"


_ENTRY_KINDS = (
    FaultKind.KILL_ENTRY,
    FaultKind.PAUSE_ENTRY,
    FaultKind.STOP_ENTRY,
    FaultKind.CUT_CALLERS,
    FaultKind.RESET_CALLERS,
    FaultKind.DELAY_CALLERS,
)
_PROCESS_KINDS = (FaultKind.KILL_ENTRY, FaultKind.PAUSE_ENTRY, FaultKind.STOP_ENTRY)
_CONTROL_KINDS = (
    FaultKind.KILL_CONTROL,
    FaultKind.PAUSE_CONTROL,
    FaultKind.WIPE_CONTROL,
)
_PLANNED_KINDS = (
    FaultKind.NEW_DOCUMENT,
    FaultKind.STOP_ENTRY,
    FaultKind.DRAIN_UPSTREAM,
)


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault.

    :param at: start, in seconds from the first request.
    :param target: id of a host or upstream, or the ``standing`` of a new document.
    :param for_s: duration in seconds.
    """

    at: float
    kind: FaultKind
    target: str
    for_s: float


class Schedule(msgspec.Struct, frozen=True, kw_only=True):
    """All faults of a run in order, and the seed that they were drawn from.

    :param seconds: time in which faults begin.
    :param entries: number of entry hosts.
    :param upstreams: number of upstreams.
    """

    seed: int
    seconds: float
    entries: int
    upstreams: int
    faults: tuple[Fault, ...]


def draw(seed: int, *, seconds: float, entries: int, upstreams: int) -> Schedule:
    """Return a random schedule; the same arguments give the same schedule.

    At most one control host is down at a time, since three tolerate the loss of one,
    and no entry host is stopped, killed or paused again while it restarts. All other
    faults may overlap.
    """
    rng = random.Random(f"{seed}/{entries}/{upstreams}")
    faults = []
    now_s = _FIRST_FAULT_S
    next_control_fault_at = 0.0
    next_fault_at_by_entry: dict[str, float] = {}
    # Planned kinds are drawn twice as often as the others.
    kinds = [
        kind for kind in FaultKind for _ in range(2 if kind in _PLANNED_KINDS else 1)
    ]
    while now_s < seconds:
        kind = rng.choice(kinds)
        for_s = round(rng.uniform(0.5, 3.0), 2)
        if kind in _CONTROL_KINDS:
            if now_s < next_control_fault_at:
                continue
            # The host must have caught up before the next one goes down.
            next_control_fault_at = now_s + for_s + CATCH_UP_S
        target = _draw_target(kind, rng, entries, upstreams)
        if kind in _PROCESS_KINDS:
            if now_s < next_fault_at_by_entry.get(target, 0.0):
                now_s += _MIN_GAP_S
                continue
            next_fault_at_by_entry[target] = now_s + for_s + RESTART_S
        faults.append(Fault(at=round(now_s, 2), kind=kind, target=target, for_s=for_s))
        now_s += rng.uniform(_MIN_GAP_S, _MAX_GAP_S)
    return Schedule(
        seed=seed,
        seconds=seconds,
        entries=entries,
        upstreams=upstreams,
        faults=tuple(faults),
    )


def _draw_target(
    kind: FaultKind, rng: random.Random, entries: int, upstreams: int
) -> str:
    if kind in _CONTROL_KINDS:
        return rng.choice(CONTROLS)
    if kind in _ENTRY_KINDS:
        return f"e{rng.randrange(entries) + 1}"
    if kind is FaultKind.NEW_DOCUMENT:
        return str(rng.randrange(1, 900))
    return f"u{rng.randrange(upstreams) + 1}"
