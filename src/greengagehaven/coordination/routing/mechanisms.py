"""Which mechanisms a router uses; all of them, but in trials of what each is worth."""

import dataclasses

from greengagehaven import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Mechanisms:
    """One switch for each mechanism that can be left out.

    No rule on callers' answers hangs on any of them: without all of them answers are
    still single, whole and true, just late or fewer. Only trials turn one off.

    :param hedging: ask another upstream where one straggles.
    :param timely_hedging: hedge while a second answer may still meet the objective.
    :param retrying: ask another one where one failed.
    :param partial_answers: answer near the objective with enough parts.
    :param delegation: let other hosts of the zone ask a part of a sweep's shards.
    :param aggregation: let a host of the upstreams' zone ask those of another zone.
    :param consolidation: ask the shards that the own zone lacks in one other zone.
    :param lending: borrow room for retries from other hosts of the zone.
    :param asking_again: ask an upstream again that rejected a request with slots free.
    :param sharing: tell other hosts of upstreams that are slow or faulty.
    :param lag: take the measured lag of timers off that moment.
    :param early_refusal: send nothing where too few shards have an upstream.
    :param sending_away: say not ready where this host is cut off.
    :param probing: find out of what is silent whether it is out of reach.
    :param pace: expect of an upstream the latency that it had lately.
    :param load_reports: count what an upstream says of its load.
    :param overdue: count how long its oldest request has been late.
    :param own_zone: let another zone cost something.
    :param grey: avoid an upstream that fails some of its requests.
    :param ejection: set one aside that fails several in a row.
    :param crash_checks: find out which requests crash upstreams.
    """

    hedging: bool = True
    timely_hedging: bool = True
    retrying: bool = True
    partial_answers: bool = True
    delegation: bool = True
    aggregation: bool = True
    consolidation: bool = True
    lending: bool = True
    asking_again: bool = True
    sharing: bool = True
    lag: bool = True
    early_refusal: bool = True
    sending_away: bool = True
    probing: bool = True
    pace: bool = True
    load_reports: bool = True
    overdue: bool = True
    own_zone: bool = True
    grey: bool = True
    ejection: bool = True
    crash_checks: bool = True


NAMES = tuple(field.name for field in dataclasses.fields(Mechanisms))


def without(text: str) -> Mechanisms:
    """Return all mechanisms but those named, parted by commas.

    :raises SettingError: a name is none of a mechanism.
    """
    left_out = [name.strip() for name in text.split(",") if name.strip()]
    for name in left_out:
        if name not in NAMES:
            raise exceptions.SettingError(
                place="without", value=name, expected=f"one of {', '.join(NAMES)}"
            )
    return Mechanisms(**dict.fromkeys(left_out, False))
