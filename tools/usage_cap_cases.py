"""Run random cases of usage caps in simulated time and print the errors by fault.

python tools/usage_cap_cases.py FIRST_SEED LAST_SEED
"""

import collections
import dataclasses
import pathlib
import sys

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


def main(arguments: list[str]) -> int:
    """Run the cases of a range of seeds."""
    first, last = map(int, arguments)
    errors_by_fault: dict[str, Errors] = collections.defaultdict(Errors)
    for seed in range(first, last + 1):
        case = usage_cap_simulation.random_case(seed)
        result = usage_cap_simulation.Simulation(case).run()
        errors_by_fault[case.fault].add(result)
        if result.over > 1e-9 or result.refused_within:
            print(case, result)
    for fault, errors in sorted(errors_by_fault.items()):
        print(fault, errors)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
