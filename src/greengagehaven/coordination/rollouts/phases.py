"""When a roll-out goes on to its next phase.

The load it answers: a version that must be proved with few requests and be in force
for all of them within the time ordered. The canary has most of that time; the move
itself takes what cold upstreams and the confirmation of all hosts need.
"""

import dataclasses

from greengagehaven.coordination.rollouts import verdict
from greengagehaven.protocol import rollouts

DONE_AT = 0.8
"""Share of the time ordered at which a roll-out without fault is to be over."""

MOVE_S = 1.9
"""Seconds that the move takes from the canary's end: the load is borne for a moment,
and all hosts confirm. It begins as late as that allows, since some versions turn bad
after a while."""

EARLIEST_SHIFT_AT = 0.5
"""Share of the time before which nothing is moved, however short it is."""

MIN_ANSWERS = 12
"""Answers without which the canary goes on for longer."""

LATEST_SHIFT_AT = 0.75
"""Share after which a version of which little is known is moved to as well; a service
that nobody asks would never get further."""

UNPROVEN_AT = 0.9
"""Share after which a suspect version is given up."""

LATEST_RETIRE_AT = 0.85
"""Share of the time after which the others are retired though the version has borne the
whole load for few answers only."""

LOAD_S = 1.0
LOAD_SHARE = 0.1
"""Seconds and share of the time for which it bears that load at least; some versions
fail under load only."""

POOLED_S = 1.0
"""Seconds for which reports have come in before anything is concluded from their want;
a host that has just begun to lead knows of few answers and hosts."""

CONFIRM_S = 1.5
"""Seconds that a host which does not confirm is waited for. It is cut off, and its
requests to upstreams that stop are retried."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class View:
    """What the leader knows of a roll-out.

    :param elapsed: seconds since the order.
    :param in_phase: seconds since the phase began.
    :param pooled_for: seconds for which this host has led and taken all reports.
    :param answers_in_phase: of the target version since then.
    :param judged: what the answers say.
    :param target_slots: requests that warm upstreams of the target version run at once.
    :param other_slots: the same of live upstreams of other versions.
    :param unconfirmed: hosts that have not said that no request of theirs is at an
        upstream of another version and none will be.
    """

    elapsed: float
    in_phase: float
    pooled_for: float
    answers_in_phase: int
    judged: verdict.Verdict
    target_slots: int
    other_slots: int
    unconfirmed: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """The next phase, and why."""

    phase: rollouts.Phase
    reason: str


def next_step(rollout: rollouts.Rollout, view: View) -> Step | None:
    """Return the next phase of a roll-out, ``None`` while it stays in its phase."""
    if view.judged.is_bad:
        return Step(phase=rollouts.Phase.ROLLED_BACK, reason="bad")
    if view.elapsed >= rollout.duration_s:
        return Step(phase=rollouts.Phase.ROLLED_BACK, reason="out_of_time")
    if view.judged.is_suspect and view.elapsed >= UNPROVEN_AT * rollout.duration_s:
        return Step(phase=rollouts.Phase.ROLLED_BACK, reason="unproven")
    if view.pooled_for < POOLED_S:
        return None
    match rollout.phase:
        case rollouts.Phase.CANARY:
            return _after_canary(rollout, view)
        case rollouts.Phase.SHIFTED:
            return _after_shift(rollout, view)
        case rollouts.Phase.RETIRING:
            return _after_retiring(view)
    return None


def _after_canary(rollout: rollouts.Rollout, view: View) -> Step | None:
    shifted = rollouts.Phase.SHIFTED
    if view.judged.is_suspect or not view.target_slots:
        return None
    if not view.other_slots:
        return Step(phase=shifted, reason="others_gone")
    if 2 * view.target_slots < view.other_slots:
        return None
    share = view.elapsed / rollout.duration_s
    shift_at = max(EARLIEST_SHIFT_AT, DONE_AT - MOVE_S / rollout.duration_s)
    if share >= shift_at and view.judged.answers >= MIN_ANSWERS:
        return Step(phase=shifted, reason="proved")
    if share >= LATEST_SHIFT_AT:
        return Step(phase=shifted, reason="few_answers")
    return None


def _after_shift(rollout: rollouts.Rollout, view: View) -> Step | None:
    least = min(LOAD_S, LOAD_SHARE * rollout.duration_s)
    if view.judged.is_suspect or not view.target_slots or view.in_phase < least:
        return None
    if view.answers_in_phase >= MIN_ANSWERS:
        return Step(phase=rollouts.Phase.RETIRING, reason="bears_load")
    if view.elapsed >= LATEST_RETIRE_AT * rollout.duration_s:
        return Step(phase=rollouts.Phase.RETIRING, reason="few_answers")
    return None


def _after_retiring(view: View) -> Step | None:
    if not view.unconfirmed:
        return Step(phase=rollouts.Phase.DONE, reason="confirmed")
    if view.in_phase >= CONFIRM_S:
        return Step(phase=rollouts.Phase.DONE, reason="unconfirmed_hosts")
    return None
