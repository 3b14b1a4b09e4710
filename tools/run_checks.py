"""Run every check of the project and end with ``N passed, N failed``.

Checks: format, linter, layers, documents, behave scenarios, replays. A
scenario that is listed in KNOWN-RED.txt is reported apart and is neither
passed nor failed; one that is listed and passes is a failure, so that the list
is kept true.
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
MAX_KNOWN_RED = 3
PARALLEL_FEATURES = 4
FEATURE_TIMEOUT_S = 600
SHOWN_OUTPUT = 4000
DOCUMENT_CHECKS = (
    ("documents", "tools/check_docs.py"),
    ("settings in the documents", "tools/write_settings.py", "--check"),
    ("capacity in the documents", "tools/capacity.py", "--check"),
)
# The order of a set of strings would differ from run to run.
ENVIRONMENT = {**os.environ, "PYTHONHASHSEED": "0"}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Check:
    """Result of one check; ``output`` is shown where it failed."""

    name: str
    passed: bool
    output: str = ""


def main() -> int:
    """Run all checks; return 0 where none failed."""
    known_red = read_known_red()
    checks = [
        run_command("format", [BIN / "ruff", "format", "--check", "."]),
        run_command("lint", [BIN / "ruff", "check", "."]),
        run_command("layers", [sys.executable, "tools/check_layers.py"]),
    ]
    checks.append(
        Check(
            name="known-red list is short",
            passed=len(known_red) <= MAX_KNOWN_RED,
            output=f"{len(known_red)} lines, at most {MAX_KNOWN_RED}",
        )
    )
    for name, *arguments in DOCUMENT_CHECKS:
        checks.append(run_command(name, [sys.executable, *arguments]))
    checks.extend(run_replays())
    checks.extend(run_features())
    return report(checks, known_red)


def read_known_red() -> set[str]:
    """Return ``feature file | scenario`` of each known fault."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line.split("|") for line in lines if line and line[0] != "#"]
    return {" | ".join(part.strip() for part in entry[:2]) for entry in entries}


def run_command(name: str, command: list) -> Check:
    """Run one command from the root of the repository."""
    done = subprocess.run(
        [str(part) for part in command],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=FEATURE_TIMEOUT_S,
        check=False,
        env=ENVIRONMENT,
    )
    output = done.stdout + done.stderr
    return Check(name=name, passed=done.returncode == 0, output=output)


def run_replays() -> list[Check]:
    """Replay every recorded trace against its stated outcomes."""
    traces = sorted((ROOT / "features/traces").glob("*.jsonl"))
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_FEATURES) as pool:
        return list(pool.map(run_replay, traces))


def run_replay(trace: pathlib.Path) -> Check:
    """Replay one trace."""
    return run_command(
        f"replay {trace.name}", [BIN / "greengagehaven", "replay", trace]
    )


def run_features() -> list[Check]:
    """Run each feature file in a process of its own, a few at a time."""
    features = sorted((ROOT / "features").glob("*.feature"))
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_FEATURES) as pool:
        return [check for checks in pool.map(run_feature, features) for check in checks]


def run_feature(feature: pathlib.Path) -> list[Check]:
    """Return a check for each scenario of a feature file."""
    with tempfile.TemporaryDirectory() as folder:
        outfile = pathlib.Path(folder) / "result.json"
        command = [sys.executable, "-m", "behave", "--format", "json"]
        command += ["--outfile", str(outfile), "--no-capture", str(feature)]
        try:
            done = subprocess.run(
                command,
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=FEATURE_TIMEOUT_S,
                check=False,
                env=ENVIRONMENT,
            )
            results = json.loads(outfile.read_text(encoding="utf-8"))
        except subprocess.TimeoutExpired as error:
            return [Check(name=feature.name, passed=False, output=str(error))]
        except (OSError, ValueError) as error:
            output = f"{error}\n{done.stdout}{done.stderr}"
            return [Check(name=feature.name, passed=False, output=output)]
    output = (done.stdout + done.stderr)[-SHOWN_OUTPUT:]
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
    if not checks or (done.returncode and all(check.passed for check in checks)):
        checks.append(
            Check(name=f"features/{feature.name}", passed=False, output=output)
        )
    return checks


def describe_failure(element: dict) -> str:
    """Return the failed steps of a scenario with their messages."""
    lines = []
    for step in element.get("steps", ()):
        result = step.get("result", {})
        if result.get("status") not in ("passed", None):
            message = result.get("error_message", "")
            text = "\n".join(message) if isinstance(message, list) else message
            lines.append(f"{step['name']}: {result['status']}\n{text}\n")
    return "".join(lines)


def report(checks: list[Check], known_red: set[str]) -> int:
    """Print failures, known faults and the closing line."""
    failed = [check for check in checks if not check.passed]
    red = [check for check in failed if check.name in known_red]
    failed = [check for check in failed if check.name not in known_red]
    passed = [check for check in checks if check.passed]
    healed = [check for check in passed if check.name in known_red]
    for check in failed:
        print(f"FAILED {check.name}\n{check.output}")
    for check in red:
        print(f"KNOWN RED {check.name}")
    for check in healed:
        print(f"FAILED {check.name}: it passes, take it out of {KNOWN_RED.name}")
    broken = len(failed) + len(healed)
    print(f"{len(passed) - len(healed)} passed, {broken} failed")
    return min(broken, 1)


if __name__ == "__main__":
    sys.exit(main())
