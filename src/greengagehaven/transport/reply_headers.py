"""Parsers for headers in which an upstream describes itself or its connection."""

from greengagehaven.coordination.routing import events

DEFAULT_KEEP_ALIVE_S = 4.0
KEEP_ALIVE_MARGIN_S = 0.7
MAX_LOAD_DIGITS = 9
"""Digits of a number in a load report; an integer conversion fails above 4,300."""

MIN_WORK_PERCENT = 10.0
MAX_WORK_PERCENT = 10_000.0
"""Least and greatest work time of a load report that is used, in percent of the usual.
Work that takes no time, or forever, would decide every choice of an upstream."""


def parse_keep_alive(value: str | None) -> float:
    """Return the seconds for which an idle connection may be reused.

    Reuse stops before the upstream's timeout ends, so that the upstream does not
    close the connection while a request is being sent.
    """
    seconds = DEFAULT_KEEP_ALIVE_S
    for part in (value or "").split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isdecimal():
            seconds = float(number)
    return max(seconds / 2, seconds - KEEP_ALIVE_MARGIN_S)


def parse_load(value: str | None) -> events.Load | None:
    """Return a load header's value, ``None`` if malformed.

    It is ``RUNNING,WAITING,SLOTS`` or ``RUNNING,WAITING,SLOTS,WORK_PERCENT``. If only
    the fourth value is malformed, the load is returned without it.
    """
    parts = [part.strip() for part in (value or "").split(",")]
    counts = parts[:3]
    if not 3 <= len(parts) <= 4 or not all(_is_count(part) for part in counts):
        return None
    running, waiting, slots = (int(part) for part in counts)
    return events.Load(
        running=running,
        waiting=waiting,
        slots=slots,
        work_percent=_parse_work_percent(parts[3]) if len(parts) == 4 else None,
    )


def _is_count(text: str) -> bool:
    return text.isdecimal() and len(text) <= MAX_LOAD_DIGITS


def _parse_work_percent(text: str) -> float | None:
    try:
        work_percent = float(text)
    except ValueError:
        return None
    is_plausible = MIN_WORK_PERCENT <= work_percent <= MAX_WORK_PERCENT
    return work_percent if is_plausible else None
