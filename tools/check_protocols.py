"""Check that classes have the methods of the protocols that they are passed as.

A test with a stand-in for the other side passes whatever the real one is called.
"""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent
COMMAND = ("-m", "mypy", "--check-untyped-defs", "src/greengagehaven")
MISMATCH = re.compile(
    r"is missing following \".*\" protocol member|following member\(s\) of .* conflicts"
)
FATAL_EXIT_CODE = 2


def main() -> int:
    """Print every mismatch; return 1 if there are any, otherwise 0."""
    completed = subprocess.run(
        [sys.executable, *COMMAND],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    if completed.returncode >= FATAL_EXIT_CODE:
        print(completed.stdout + completed.stderr)
        return 1
    lines = completed.stdout.splitlines()
    mismatches = [number for number, line in enumerate(lines) if MISMATCH.search(line)]
    for number in mismatches:
        print("\n".join(lines[max(0, number - 1) : number + 2]))
    return min(len(mismatches), 1)


if __name__ == "__main__":
    sys.exit(main())
