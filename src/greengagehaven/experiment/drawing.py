"""Random environments, so that policies are not overfitted to the shipped ones."""

import math

import numpy

WORK_RANGE_MS = (2.0, 40.0)
SHARD_RANGE = (4, 40)
UTILIZATION_RANGE = (0.1, 0.45)


def draw(seed: int) -> str:
    """Return a random environment as TOML; the same seed gives the same text."""
    rng = numpy.random.Generator(numpy.random.PCG64(seed))
    zones = [f"z{number}" for number in range(int(rng.integers(2, 6)))]
    hosts_by_zone = {zone: int(rng.integers(1, 5)) for zone in zones}
    work_ms = round(math.exp(rng.uniform(*map(math.log, WORK_RANGE_MS))), 1)
    shards = int(rng.integers(*SHARD_RANGE))
    replicas = int(rng.integers(2, 5))
    slots = int(rng.integers(2, 7))
    way_ms = round(rng.uniform(0.3, 3.0), 1)
    pause_ms = round(rng.uniform(3.0, 8.0) * work_ms)
    # Sweeps per second at which the slots have the utilization drawn.
    rate_per_s = rng.uniform(*UTILIZATION_RANGE) * replicas * slots / (work_ms / 1000)
    rate_per_s = min(rate_per_s, 4000.0 / shards)
    per_s_by_zone = {zone: round(rate_per_s / len(zones), 1) for zone in zones}
    objective_ms = round(4.5 * work_ms + 6 * way_ms + 15)
    least_coverage = round(rng.uniform(0.75, 0.97), 2)
    retry_burst = round(0.5 * rate_per_s + 10)
    burst_factor = round(rng.uniform(1.3, 2.5), 1)
    return f"""name = "drawn-{seed}"
zones = {zones!r}
hosts_by_zone = {_inline_table(hosts_by_zone)}
per_s_by_zone = {_inline_table(per_s_by_zone)}
way_ms = {way_ms}
caller_way_ms = {round(rng.uniform(1.0, 4.0), 1)}
retry_ratio = 0.2
retry_burst = {retry_burst}

[[services]]
name = "shard"
shards = {shards}
replicas = {replicas}
slots = {slots}
queue = {slots * 6}
connections = {max(30, 2 * sum(hosts_by_zone.values()))}
handshake_ms = {round(rng.uniform(0.5, 8.0), 1)}
pause_ms = {pause_ms}.0
pause_every_s = {round(rng.uniform(2.0, 5.0), 1)}
speeds = [0.8, 1.0, 1.3]

[[kinds]]
name = "sweep"
service = "shard"
is_sweep = true
work_ms = {work_ms}
spread = 0.35
tail = 0.01
tail_factor = 5.0
objective_ms = {objective_ms}.0
deadline_ms = {objective_ms * 10}.0
least_coverage = {least_coverage}

[[days]]
name = "calm"
seconds = 15.0

[[days]]
name = "heavy"
seconds = 15.0
troubles = [
  {{ kind = "burst", at = 4.0, for_s = 5.0, factor = {burst_factor} }},
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


def _inline_table(values: dict[str, float]) -> str:
    pairs = ", ".join(f"{name} = {value}" for name, value in values.items())
    return f"{{ {pairs} }}"
