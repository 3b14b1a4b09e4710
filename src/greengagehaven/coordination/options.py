"""Settings of the query path."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Options:
    """Settings of the decision core; ``measure`` uses them to disable mechanisms.

    :param hedging: send another attempt if the first one is slow.
    :param hedge_budget: hedges and probes per first attempt.
    :param hedge_quantile: quantile of the observed latency after which an
        attempt is hedged.
    :param retry_budget: retries per first attempt.
    :param retry_limits: keep retries within their budget; if off, every
        retryable failure is retried.
    :param shared_limits: share an upstream's slots and connections among the
        live hosts; if off, each host uses all of them for itself.
    :param slow_start: limit the load of new and cold upstreams.
    :param ejection: avoid upstreams that fail or are slow.
    :param zone_preference: prefer upstreams of the host's own zone.
    :param fairness: queue sub-requests fairly by subscriber; if off, by arrival.
    :param standing: queue sub-requests by the priority of their kind.
    :param at_most_once: run a non-idempotent request only after a majority of
        recorders granted its key; if off, a resend through another host runs
        again.
    :param quarantine: stop requests that crash upstreams.
    :param connection_checks: retire connections that may be dead.
    :param max_waiting: maximum number of sub-requests queued on one host.
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
