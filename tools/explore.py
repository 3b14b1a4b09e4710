"""Test the replicated log under many more random schedules than CI runs.

Runs random walks, each reproducible by its seed, and hypothesis state machines, on
clusters of 3 and 5 hosts. Prints how many ran, the number of operations of each
kind, and every seed that failed.
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

CLUSTER_SIZES = (3, 5)
SEEDS_PER_JOB = 250


def main() -> int:
    """Run all schedules; return 1 if any of them failed, otherwise 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--schedules", type=int, default=20_000)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--examples", type=int, default=400, help="hypothesis")
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    started = time.monotonic()
    counts: collections.Counter[str] = collections.Counter()
    failures: list[str] = []
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        jobs = [
            pool.submit(walk_seeds, size, seed, min(SEEDS_PER_JOB, last - seed))
            for size in CLUSTER_SIZES
            for last in [options.first_seed + options.schedules // len(CLUSTER_SIZES)]
            for seed in range(options.first_seed, last, SEEDS_PER_JOB)
        ]
        if options.examples:
            jobs += [
                pool.submit(run_machine, size, seed, options.examples // 4)
                for size in CLUSTER_SIZES
                for seed in range(options.first_seed, options.first_seed + 4)
            ]
        for job in concurrent.futures.as_completed(jobs):
            job_counts, job_failures = job.result()
            counts.update(job_counts)
            failures += job_failures
    for failure in failures:
        print(f"FAILED {failure}")
    for name, count in sorted(counts.items()):
        print(f"{name}: {count}")
    seconds = time.monotonic() - started
    print(f"{len(failures)} failed, {seconds:.0f} s")
    return min(len(failures), 1)


def walk_seeds(size: int, first: int, count: int) -> tuple[dict[str, int], list[str]]:
    """Run one random walk for each of ``count`` seeds from ``first`` on.

    Returns the counts of operations and the descriptions of the failures.
    """
    counts: collections.Counter[str] = collections.Counter()
    failures = []
    for seed in range(first, first + count):
        try:
            cluster = raft.run_schedule(seed, size=size)
        except Exception as error:
            failures.append(f"walk seed {seed}, {size} hosts: {error!r:.300}")
            continue
        counts.update(cluster.counts)
        counts[f"schedules over {size} hosts"] += 1
        counts["changes acknowledged"] += cluster.acknowledged_count
        counts["terms with a leader"] += len(cluster.leaders_by_term)
    return counts, failures


def run_machine(
    size: int, seed: int, examples: int
) -> tuple[dict[str, int], list[str]]:
    """Run a hypothesis state machine.

    Returns the number of examples and the descriptions of the failures.
    """
    machine = (
        raft_machine.RaftMachine
        if size == CLUSTER_SIZES[0]
        else raft_machine.FiveHostRaftMachine
    )
    try:
        raft_machine.run(machine, seed=seed, examples=examples)
    except Exception as error:
        return {}, [f"hypothesis seed {seed}, {size} hosts: {error!r:.300}"]
    return {f"hypothesis examples over {size} hosts": examples}, []


if __name__ == "__main__":
    sys.exit(main())
