"""Run every check of the project and print ``N passed, N failed`` as the last line.

The checks are format, lint, layers, protocols, documentation, replays and behave
scenarios. A failing scenario that is listed in KNOWN-RED.txt is reported separately
and counts neither as passed nor as failed. A listed scenario that passes counts as
failed, so that entries are removed once the fault is fixed.
"""

import concurrent.futures
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
BIN = pathlib.Path(sys.executable).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_PARALLEL_PROCESSES = 4
COMMAND_TIMEOUT_S = 600
MAX_OUTPUT_CHARS = 4000
# Fills the processors and sockets of the machine, so that it runs apart from others.
SEPARATE_FEATURES = frozenset({"unread_crowd.feature"})
DOCUMENTATION_CHECKS = (
    ("documents", "tools/check_docs.py"),
    ("settings in the documents", "tools/write_settings.py", "--check"),
    ("capacity in the documents", "tools/capacity.py", "--check"),
)
# Without a fixed hash seed, the iteration order of sets of strings varies by run.
ENVIRONMENT = {**os.environ, "PYTHONHASHSEED": "0"}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Check:
    """The result of one check; ``output`` is printed if it failed."""

    name: str
    passed: bool
    output: str = ""


def main() -> int:
    """Run all checks; return 0 if none failed, otherwise 1."""
    known_red = read_known_red()
    checks = [
        run_command("format", [BIN / "ruff", "format", "--check", "."]),
        run_command("lint", [BIN / "ruff", "check", "."]),
        run_command("layers", [sys.executable, "tools/check_layers.py"]),
        run_command("protocols", [sys.executable, "tools/check_protocols.py"]),
    ]
    for name, *arguments in DOCUMENTATION_CHECKS:
        checks.append(run_command(name, [sys.executable, *arguments]))
    checks.extend(run_replays())
    checks.extend(run_features())
    return report(checks, known_red)


def read_known_red() -> set[str]:
    """Return ``feature file | scenario`` for each entry of KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line.split("|") for line in lines if line and line[0] != "#"]
    return {" | ".join(part.strip() for part in entry[:2]) for entry in entries}


def run_command(name: str, command: list) -> Check:
    """Run a command from the repository root; it passes if it exits with 0."""
    completed = subprocess.run(
        [str(part) for part in command],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
        env=ENVIRONMENT,
    )
    output = completed.stdout + completed.stderr
    return Check(name=name, passed=completed.returncode == 0, output=output)


def run_replays() -> list[Check]:
    """Replay every trace and check the outcomes that it expects."""
    traces = sorted((ROOT / "features/traces").glob("*.jsonl"))
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_PROCESSES) as pool:
        return list(pool.map(run_replay, traces))


def run_replay(trace: pathlib.Path) -> Check:
    """Replay one trace and check the outcomes that it expects."""
    return run_command(
        f"replay {trace.name}", [BIN / "greengagehaven", "replay", trace]
    )


def run_features() -> list[Check]:
    """Run each feature file in its own process, most of them several in parallel."""
    features = sorted((ROOT / "features").glob("*.feature"))
    separate = [each for each in features if each.name in SEPARATE_FEATURES]
    parallel = [each for each in features if each.name not in SEPARATE_FEATURES]
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_PROCESSES) as pool:
        results = [*pool.map(run_feature, parallel), *map(run_feature, separate)]
    return [check for checks in results for check in checks]


def run_feature(feature: pathlib.Path) -> list[Check]:
    """Run a feature file; return a check for each of its scenarios.

    A check for the whole file is added if it has no scenarios, or if behave failed
    although every scenario passed.
    """
    with tempfile.TemporaryDirectory() as folder:
        outfile = pathlib.Path(folder) / "result.json"
        command = [sys.executable, "-m", "behave", "--format", "json"]
        command += ["--outfile", str(outfile), "--no-capture", str(feature)]
        try:
            completed = subprocess.run(
                command,
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=COMMAND_TIMEOUT_S,
                check=False,
                env=ENVIRONMENT,
            )
            results = json.loads(outfile.read_text(encoding="utf-8"))
        except subprocess.TimeoutExpired as error:
            return [Check(name=feature.name, passed=False, output=str(error))]
        except (OSError, ValueError) as error:
            output = f"{error}\n{completed.stdout}{completed.stderr}"
            return [Check(name=feature.name, passed=False, output=output)]
    output = (completed.stdout + completed.stderr)[-MAX_OUTPUT_CHARS:]
    checks = [
        Check(
            name=f"features/{feature.name} | {element['name']}",
            passed=element["status"] == "passed",
            output=describe_failure(element) + output,
        )
        for result in results
        for element in result.get("elements", ())
        if element["type"] == "scenario"
    ]
    if not checks or (completed.returncode and all(check.passed for check in checks)):
        checks.append(
            Check(name=f"features/{feature.name}", passed=False, output=output)
        )
    return checks


def describe_failure(element: dict) -> str:
    """Return the steps of a scenario that did not pass, with their messages."""
    lines = []
    for step in element.get("steps", ()):
        result = step.get("result", {})
        if result.get("status") not in ("passed", None):
            message = result.get("error_message", "")
            text = "\n".join(message) if isinstance(message, list) else message
            lines.append(f"{step['name']}: {result['status']}\n{text}\n")
    return "".join(lines)


def report(checks: list[Check], known_red: set[str]) -> int:
    """Print the failures, the known failures and the totals; return 1 on failure."""
    failed = [check for check in checks if not check.passed]
    known_failures = [check for check in failed if check.name in known_red]
    failed = [check for check in failed if check.name not in known_red]
    passed = [check for check in checks if check.passed]
    unexpected_passes = [check for check in passed if check.name in known_red]
    for check in failed:
        print(f"FAILED {check.name}\n{check.output}")
    for check in known_failures:
        print(f"KNOWN RED {check.name}")
    for check in unexpected_passes:
        print(f"FAILED {check.name}: it passes, remove it from {KNOWN_RED.name}")
    failure_count = len(failed) + len(unexpected_passes)
    print(f"{len(passed) - len(unexpected_passes)} passed, {failure_count} failed")
    return min(failure_count, 1)


if __name__ == "__main__":
    sys.exit(main())
