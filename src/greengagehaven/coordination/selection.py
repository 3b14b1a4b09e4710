"""Choice of an upstream among the replicas of a shard.

Power of two choices (Mitzenmacher 2001) over the own view of each upstream:
the cheaper of two random ones, so that hosts that share a view do not all pick
the same upstream.
"""

from collections import abc

from greengagehaven import rng as rng_module
from greengagehaven.coordination import upstream_stats

_CHOICES = 2


def choose(
    upstream_ids: abc.Sequence[str],
    *,
    stats_by_id: abc.Mapping[str, upstream_stats.UpstreamStats],
    rng: rng_module.Rng,
) -> str:
    """Return one of ``upstream_ids`` (not empty).

    :param stats_by_id: own observations; every candidate has an entry.
    """
    if len(upstream_ids) <= _CHOICES:
        sampled = list(upstream_ids)
        rng.shuffle(sampled)
    else:
        sampled = rng.sample(upstream_ids, _CHOICES)
    return min(sampled, key=lambda upstream_id: stats_by_id[upstream_id].cost)
