"""Environments drawn by a seed, so that a policy is not fitted to a few."""

import math

import numpy

WORK_MS = (2.0, 40.0)
SHARDS = (4, 40)
UTILIZATION = (0.1, 0.45)


def draw(seed: int) -> str:
    """Return an environment as TOML; the same seed gives the same text."""
    rng = numpy.random.Generator(numpy.random.PCG64(seed))
    zones = [f"z{number}" for number in range(int(rng.integers(2, 6)))]
    hosts = {zone: int(rng.integers(1, 5)) for zone in zones}
    work = round(math.exp(rng.uniform(*map(math.log, WORK_MS))), 1)
    shards = int(rng.integers(*SHARDS))
    replicas = int(rng.integers(2, 5))
    slots = int(rng.integers(2, 7))
    way = round(rng.uniform(0.3, 3.0), 1)
    pause = round(rng.uniform(3.0, 8.0) * work)
    # So many sweeps a second keep the slots as busy as drawn.
    rate = rng.uniform(*UTILIZATION) * replicas * slots / (work / 1000)
    rate = min(rate, 4000.0 / shards)
    per_s = {zone: round(rate / len(zones), 1) for zone in zones}
    objective = round(4.5 * work + 6 * way + 15)
    least = round(rng.uniform(0.75, 0.97), 2)
    burst = round(0.5 * rate + 10)
    factor = round(rng.uniform(1.3, 2.5), 1)
    return f"""name = "drawn-{seed}"
zones = {zones!r}
hosts_by_zone = {_table(hosts)}
per_s_by_zone = {_table(per_s)}
way_ms = {way}
caller_way_ms = {round(rng.uniform(1.0, 4.0), 1)}
retry_ratio = 0.2
retry_burst = {burst}

[[services]]
name = "shard"
shards = {shards}
replicas = {replicas}
slots = {slots}
queue = {slots * 6}
connections = {max(30, 2 * sum(hosts.values()))}
handshake_ms = {round(rng.uniform(0.5, 8.0), 1)}
pause_ms = {pause}.0
pause_every_s = {round(rng.uniform(2.0, 5.0), 1)}
speeds = [0.8, 1.0, 1.3]

[[kinds]]
name = "sweep"
service = "shard"
is_sweep = true
work_ms = {work}
spread = 0.35
tail = 0.01
tail_factor = 5.0
objective_ms = {objective}.0
deadline_ms = {objective * 10}.0
least_coverage = {least}

[[days]]
name = "calm"
seconds = 15.0

[[days]]
name = "heavy"
seconds = 15.0
troubles = [
  {{ kind = "burst", at = 4.0, for_s = 5.0, factor = {factor} }},
]

[[days]]
name = "troubled"
seconds = 25.0
troubles = [
  {{ kind = "slow", at = 2.0, for_s = 6.0, share = 0.15, factor = 8.0 }},
  {{ kind = "dark", at = 10.0, for_s = 4.0, share = 0.1 }},
  {{ kind = "zone_cut", at = 16.0, for_s = 4.0 }},
]
"""


def _table(values: dict[str, float]) -> str:
    pairs = ", ".join(f"{name} = {value}" for name, value in values.items())
    return f"{{ {pairs} }}"
