"""Switches for the mechanisms of a router.

All are enabled in production. Trials disable some of them to measure their effect.
"""

import dataclasses

from greengagehaven import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Mechanisms:
    """One switch for each mechanism that can be disabled.

    The guarantees on answers depend on none of them: with all of them disabled, a
    request still gets at most one answer, and that answer is intact and correct.
    Answers are only later or fewer. Only trials disable a mechanism.

    :param hedging: send a straggling shard to a second upstream as well.
    :param timely_hedging: hedge early enough for a second reply to meet the objective.
    :param retrying: retry failed attempts on another upstream.
    :param partial_answers: answer a sweep near its objective with the parts it has.
    :param delegation: let other hosts of the zone send a part of a sweep's shards.
    :param aggregation: let a host of a remote zone send the shards of that zone.
    :param consolidation: send shards without an upstream in this zone to one zone.
    :param lending: borrow extra attempts from other hosts of the zone.
    :param hedge_loans: borrow extra attempts also for hedges that a sweep needs to
        reach its minimum coverage.
    :param asking_again: retry on an upstream that rejected the request with slots free.
    :param sharing: report slow and faulty upstreams to other hosts.
    :param lag: answer earlier by the measured lag of timers.
    :param answer_times: answer earlier where the answers of a route were late.
    :param early_refusal: send nothing if too few shards have an upstream.
    :param availability: refuse requests whose shards have no upstream that answers.
    :param sending_away: report not ready while this host is cut off.
    :param probing: probe silent upstreams to find out whether they can be reached.
    :param pace: predict the latency of an upstream from its recent latencies.
    :param load_reports: take into account the load that upstreams report.
    :param work_time: take into account the work time that upstreams report.
    :param overdue: take into account how long the oldest request has been late.
    :param own_zone: prefer upstreams of this zone.
    :param grey: avoid upstreams that fail some of their requests.
    :param ejection: eject upstreams that fail several requests in a row.
    :param crash_checks: detect requests that crash upstreams.
    """

    hedging: bool = True
    timely_hedging: bool = True
    retrying: bool = True
    partial_answers: bool = True
    delegation: bool = True
    aggregation: bool = True
    consolidation: bool = True
    lending: bool = True
    hedge_loans: bool = True
    asking_again: bool = True
    sharing: bool = True
    lag: bool = True
    answer_times: bool = True
    early_refusal: bool = True
    availability: bool = True
    sending_away: bool = True
    probing: bool = True
    pace: bool = True
    load_reports: bool = True
    work_time: bool = True
    overdue: bool = True
    own_zone: bool = True
    grey: bool = True
    ejection: bool = True
    crash_checks: bool = True


NAMES = tuple(field.name for field in dataclasses.fields(Mechanisms))


def all_except(text: str) -> Mechanisms:
    """Return the mechanisms with the given ones disabled.

    :param text: names of mechanisms, separated by commas.
    :raises SettingError: a name is not that of a mechanism.
    """
    disabled = [name.strip() for name in text.split(",") if name.strip()]
    for name in disabled:
        if name not in NAMES:
            raise exceptions.SettingError(
                place="without", value=name, expected=f"one of {', '.join(NAMES)}"
            )
    return Mechanisms(**dict.fromkeys(disabled, False))
