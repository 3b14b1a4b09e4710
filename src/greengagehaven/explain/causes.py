"""The one cause for which a request was not answered whole and on time."""

import collections
import enum
from collections import abc

from greengagehaven.explain import lines


class Fate(enum.StrEnum):
    """How a request ended, as its caller sees it."""

    ON_TIME = "on_time"
    LATE = "late"
    PARTIAL = "partial"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


class Cause(enum.StrEnum):
    """Why it was not answered whole and on time.

    ``STARTING``: the host had no table of routes yet. ``NO_ROUTE``: none matches.
    ``CONVICTED``: it crashes upstreams. ``OUT_OF_REACH``: no upstream of a shard
    could be reached. ``LOST``: a reply got lost, ``GARBLED``: it could not be
    used, ``REJECTED``: an upstream ran none of it, ``FAILED``: one failed it.
    ``NO_BUDGET``: no token was left for another attempt. ``SLOW``: an upstream
    took too long though another was asked too, ``SLOW_ALONE``: none was.
    ``CALLER_LEFT``: nobody waited any more.
    """

    NONE = "none"
    STARTING = "starting"
    NO_ROUTE = "no_route"
    CONVICTED = "convicted"
    OUT_OF_REACH = "out_of_reach"
    LOST = "lost"
    GARBLED = "garbled"
    REJECTED = "rejected"
    FAILED = "failed"
    NO_BUDGET = "no_budget"
    SLOW = "slow"
    SLOW_ALONE = "slow_alone"
    CALLER_LEFT = "caller_left"
    UNKNOWN = "unknown"


_CAUSES_BY_CODE = {
    "not_configured": Cause.STARTING,
    "not_found": Cause.NO_ROUTE,
    "suspended": Cause.CONVICTED,
    "quarantined": Cause.CONVICTED,
}

_FATES_BY_OUTCOME = {
    "partial": Fate.PARTIAL,
    "caller_left": Fate.LEFT,
    "incomplete": Fate.REFUSED,
    "upstream_error": Fate.FAILED,
    "upstreams_failed": Fate.FAILED,
    "deadline_exceeded": Fate.FAILED,
}


def fate_of(ending: lines.Line, objective_ms: float) -> Fate:
    """Return how a request ended.

    :param ending: its line ``ended`` or ``refused``.
    :param objective_ms: within which it should have been answered, 0 if unknown.
    """
    if ending.event == "refused":
        return Fate.REFUSED
    fate = _FATES_BY_OUTCOME.get(ending.fields.get("outcome", ""), Fate.ON_TIME)
    is_late = 0 < objective_ms < ending.number("took_ms")
    return Fate.LATE if fate is Fate.ON_TIME and is_late else fate


def cause_of(history: abc.Sequence[lines.Line], fate: Fate) -> Cause:
    """Return the one cause.

    :param history: all lines of the request, in order, the last one its end.
    """
    if fate is Fate.ON_TIME:
        return Cause.NONE
    if fate is Fate.LEFT:
        return Cause.CALLER_LEFT
    ending = history[-1]
    if ending.event == "refused":
        code = ending.fields.get("code", "")
        return _CAUSES_BY_CODE.get(code, Cause.UNKNOWN)
    missing = _missing(ending)
    if fate is not Fate.PARTIAL:
        # What was still waiting when the others had failed is not why.
        failed = {name: why for name, why in missing.items() if why != "waiting"}
        missing = failed or missing
    if not missing:
        return _cause_of_delay(history)
    causes = collections.Counter(
        _cause_of_missing(service, reason, history)
        for service, reason in missing.items()
    )
    return causes.most_common(1)[0][0]


def _missing(ending: lines.Line) -> dict[str, str]:
    pairs = ending.fields.get("missing", "").split(",")
    return dict(pair.split(":", 1) for pair in pairs if ":" in pair)


def _cause_of_missing(
    service: str, reason: str, history: abc.Sequence[lines.Line]
) -> Cause:
    if reason == "waiting":
        return _cause_of_waiting(service, history)
    if reason.endswith("_no_budget"):
        return Cause.NO_BUDGET
    if reason.startswith(("no_upstream", "connect", "silent")):
        return Cause.OUT_OF_REACH
    if reason.startswith(("lost", "unsent")):
        return Cause.LOST
    if reason.startswith("garbled"):
        return Cause.GARBLED
    if reason.startswith(("status_503", "status_429", "status_421", "crowded")):
        return Cause.REJECTED
    return Cause.FAILED if reason.startswith("status_") else Cause.UNKNOWN


def _cause_of_waiting(service: str, history: abc.Sequence[lines.Line]) -> Cause:
    events = {line.event for line in history if line.fields.get("service") == service}
    if "hedge_refused" in events:
        return Cause.NO_BUDGET
    if "attempt_failed" in events:
        return Cause.LOST
    return Cause.SLOW if "hedge" in events else Cause.SLOW_ALONE


def _cause_of_delay(history: abc.Sequence[lines.Line]) -> Cause:
    """Return why an answer that lacks nothing came late."""
    failed = [line for line in history if line.event == "attempt_failed"]
    if failed:
        reason = failed[-1].fields.get("reason", "")
        return _cause_of_missing("", reason, history)
    if any(line.event == "hedge_refused" for line in history):
        return Cause.NO_BUDGET
    is_hedged = any(line.event == "hedge" for line in history)
    return Cause.SLOW if is_hedged else Cause.SLOW_ALONE
