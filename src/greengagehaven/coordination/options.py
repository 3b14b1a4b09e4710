"""Switches and bounds of the mechanisms of the query path."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Options:
    """What the decision core does; ``measure`` turns mechanisms off by it.

    :param hedging: send a second attempt when the first one straggles.
    :param hedge_budget: hedges as a share of first attempts.
    :param hedge_quantile: quantile of the observed latency after which an
        attempt counts as straggling.
    :param retry_budget: retries as a share of first attempts.
    :param retry_limits: keep retries within their budget; off, every failure
        that may be retried is.
    :param shared_limits: divide an upstream's slots and connections among the
        live hosts; off, each host takes all of them.
    :param slow_start: give a fresh or cold upstream little work at first.
    :param ejection: pass over upstreams that fail or straggle.
    :param zone_preference: prefer upstreams of the host's own zone.
    :param fairness: order waiting work by subscriber; off, by arrival.
    :param standing: order waiting work by standing of its kind.
    :param at_most_once: run a non-idempotent request only with the grants of a
        majority of recorders; off, a resend through another host runs again.
    :param quarantine: stop requests that bring upstreams down.
    :param connection_checks: retire connections that may have gone silent.
    :param max_waiting: sub-requests that may wait on one host.
    """

    hedging: bool = True
    hedge_budget: float = 0.05
    hedge_quantile: float = 0.95
    retry_budget: float = 0.1
    retry_limits: bool = True
    shared_limits: bool = True
    slow_start: bool = True
    ejection: bool = True
    zone_preference: bool = True
    fairness: bool = True
    standing: bool = True
    at_most_once: bool = True
    quarantine: bool = True
    connection_checks: bool = True
    max_waiting: int = 20_000


DEFAULT = Options()
