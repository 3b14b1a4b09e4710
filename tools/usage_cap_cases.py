"""Run random cases of usage caps in simulated time and print the errors by fault.

python tools/usage_cap_cases.py FIRST_SEED LAST_SEED [--overlapping]
"""

import collections
import concurrent.futures
import dataclasses
import pathlib
import sys

import click

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "features"))

from fakes import usage_cap_simulation  # noqa: E402


@dataclasses.dataclass(kw_only=True)
class Errors:
    """Errors of all cases with one fault."""

    cases: int = 0
    over_cases: int = 0
    largest_over: float = 0.0
    within_cases: int = 0
    within_requests: int = 0
    with_room_requests: int = 0
    offered: int = 0
    refused: int = 0

    def add(self, result: usage_cap_simulation.Result) -> None:
        """Add the result of one case."""
        self.cases += 1
        self.over_cases += result.over > 1e-9
        self.largest_over = max(self.largest_over, result.over)
        self.within_cases += bool(result.refused_within)
        self.within_requests += result.refused_within
        self.with_room_requests += result.refused_with_room
        self.offered += result.offered
        self.refused += result.offered - result.admitted


def run_case(
    seed: int, overlapping: bool
) -> tuple[usage_cap_simulation.Case, usage_cap_simulation.Result]:
    """Draw and run the case of a seed."""
    make_case = usage_cap_simulation.random_case
    if overlapping:
        make_case = usage_cap_simulation.overlapping_case
    case = make_case(seed)
    return case, usage_cap_simulation.Simulation(case).run()


def describe_fault(case: usage_cap_simulation.Case) -> str:
    """Return the kind of a case's fault, or that it has several."""
    kinds = sorted({each.kind for each in case.faults}) or [case.fault]
    return kinds[0] if len(kinds) == 1 else "several"


@click.command()
@click.argument("first", type=int)
@click.argument("last", type=int)
@click.option("--overlapping", is_flag=True, help="Draw overlapping faults.")
@click.option("--jobs", default=1, show_default=True, help="Processes to use.")
def main(first: int, last: int, overlapping: bool, jobs: int) -> None:
    """Run the cases with seeds FIRST to LAST."""
    errors_by_fault: dict[str, Errors] = collections.defaultdict(Errors)
    seeds = range(first, last + 1)
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for case, result in pool.map(run_case, seeds, [overlapping] * len(seeds)):
            errors_by_fault[describe_fault(case)].add(result)
            if result.over > 1e-9 or result.refused_within:
                print(case, result, flush=True)
    for fault, errors in sorted(errors_by_fault.items()):
        print(fault, errors)


if __name__ == "__main__":
    main()
