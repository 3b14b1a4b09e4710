"""Which faults strike when, drawn by a seed."""

import enum
import random

import msgspec

CONTROLS = ("c1", "c2", "c3")
ZONES = ("a", "b", "c")
LEAST_GAP_S = 0.3
MOST_GAP_S = 2.0
QUIET_START_S = 2.0

CATCH_UP_S = 6.0
"""Seconds that a control host is left alone after it is back."""

RESTART_S = 6.0
"""Seconds that a stop in order and a start take at most; a host that is told to stop
twice ends at once, as it should, and one that is started twice cannot bind."""


class Kind(enum.StrEnum):
    """What a fault does; each ends after its time but the planned stop."""

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
    Kind.KILL_ENTRY,
    Kind.PAUSE_ENTRY,
    Kind.STOP_ENTRY,
    Kind.CUT_CALLERS,
    Kind.RESET_CALLERS,
    Kind.DELAY_CALLERS,
)
_LIFE_KINDS = (Kind.KILL_ENTRY, Kind.PAUSE_ENTRY, Kind.STOP_ENTRY)
_CONTROL_KINDS = (Kind.KILL_CONTROL, Kind.PAUSE_CONTROL, Kind.WIPE_CONTROL)
_PLANNED = (Kind.NEW_DOCUMENT, Kind.STOP_ENTRY, Kind.DRAIN_UPSTREAM)


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault.

    :param at: seconds from the first request.
    :param target: host or upstream.
    """

    at: float
    kind: Kind
    target: str
    for_s: float


class Schedule(msgspec.Struct, frozen=True, kw_only=True):
    """All faults of a run, in order, and the seed that drew them.

    :param seconds: after which no fault begins.
    """

    seed: int
    seconds: float
    entries: int
    upstreams: int
    faults: tuple[Fault, ...]


def draw(seed: int, *, seconds: float, entries: int, upstreams: int) -> Schedule:
    """Draw a schedule; the same arguments give the same one.

    One control host at a time is down, since three bear the loss of one, and no host
    is struck again while it stops or starts; all else overlaps as it comes.
    """
    rng = random.Random(f"{seed}/{entries}/{upstreams}")
    faults = []
    moment = QUIET_START_S
    control_free_at = 0.0
    free_at_by_entry: dict[str, float] = {}
    kinds = [kind for kind in Kind for _ in range(2 if kind in _PLANNED else 1)]
    while moment < seconds:
        kind = rng.choice(kinds)
        for_s = round(rng.uniform(0.5, 3.0), 2)
        if kind in _CONTROL_KINDS:
            if moment < control_free_at:
                continue
            # It has to be caught up again before another one goes.
            control_free_at = moment + for_s + CATCH_UP_S
        target = _target(kind, rng, entries, upstreams)
        if kind in _LIFE_KINDS:
            if moment < free_at_by_entry.get(target, 0.0):
                moment += LEAST_GAP_S
                continue
            free_at_by_entry[target] = moment + for_s + RESTART_S
        faults.append(Fault(at=round(moment, 2), kind=kind, target=target, for_s=for_s))
        moment += rng.uniform(LEAST_GAP_S, MOST_GAP_S)
    return Schedule(
        seed=seed,
        seconds=seconds,
        entries=entries,
        upstreams=upstreams,
        faults=tuple(faults),
    )


def _target(kind: Kind, rng: random.Random, entries: int, upstreams: int) -> str:
    if kind in _CONTROL_KINDS:
        return rng.choice(CONTROLS)
    if kind in _ENTRY_KINDS:
        return f"e{rng.randrange(entries) + 1}"
    if kind is Kind.NEW_DOCUMENT:
        return str(rng.randrange(1, 900))
    return f"u{rng.randrange(upstreams) + 1}"
