"""Explore schedules of the replicated log, many more than CI runs.

Random walks (named by a seed) and hypothesis state machines, over 3 and 5
hosts. Prints how many ran, what was done in them, and each seed that failed.
"""

import argparse
import collections
import concurrent.futures
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "features"))

from fakes import raft, raft_machine  # noqa: E402

SIZES = (3, 5)
CHUNK = 250


def main() -> int:
    """Run the exploration; return 1 where an invariant was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--schedules", type=int, default=20_000)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--examples", type=int, default=400, help="hypothesis")
    parser.add_argument("--processes", type=int, default=4)
    chosen = parser.parse_args()
    started = time.monotonic()
    counts: collections.Counter[str] = collections.Counter()
    failures: list[str] = []
    with concurrent.futures.ProcessPoolExecutor(chosen.processes) as pool:
        jobs = [
            pool.submit(walk_seeds, size, seed, min(CHUNK, last - seed))
            for size in SIZES
            for last in [chosen.first_seed + chosen.schedules // len(SIZES)]
            for seed in range(chosen.first_seed, last, CHUNK)
        ]
        if chosen.examples:
            jobs += [
                pool.submit(run_machine, size, seed, chosen.examples // 4)
                for size in SIZES
                for seed in range(chosen.first_seed, chosen.first_seed + 4)
            ]
        for job in concurrent.futures.as_completed(jobs):
            done, failed = job.result()
            counts.update(done)
            failures += failed
    for failure in failures:
        print(f"FAILED {failure}")
    for name, count in sorted(counts.items()):
        print(f"{name}: {count}")
    seconds = time.monotonic() - started
    print(f"{len(failures)} failed, {seconds:.0f} s")
    return min(len(failures), 1)


def walk_seeds(size: int, first: int, count: int) -> tuple[dict[str, int], list[str]]:
    """Walk ``count`` seeds; return what was done and what failed."""
    counts: collections.Counter[str] = collections.Counter()
    failures = []
    for seed in range(first, first + count):
        try:
            cluster = raft.walk(seed, size=size)
        except Exception as error:
            failures.append(f"walk seed {seed}, {size} hosts: {error!r:.300}")
            continue
        counts.update(cluster.counts)
        counts[f"schedules over {size} hosts"] += 1
        counts["changes acknowledged"] += cluster.acknowledged
        counts["terms with a leader"] += len(cluster.leaders_by_term)
    return counts, failures


def run_machine(
    size: int, seed: int, examples: int
) -> tuple[dict[str, int], list[str]]:
    """Run a hypothesis machine; return what was done and what failed."""
    machine = raft_machine.RaftMachine if size == SIZES[0] else raft_machine.FiveHosts
    try:
        raft_machine.run(machine, seed=seed, examples=examples)
    except Exception as error:
        return {}, [f"hypothesis seed {seed}, {size} hosts: {error!r:.300}"]
    return {f"hypothesis examples over {size} hosts": examples}, []


if __name__ == "__main__":
    sys.exit(main())
