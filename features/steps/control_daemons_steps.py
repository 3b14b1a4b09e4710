"""Steps for control hosts that run as separate processes."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import behave

from fakes import environment as environments
from greengagehaven.transport import free_ports

COMMAND = [sys.executable, "-c", "from greengagehaven import cli; cli.main()"]
TIMEOUT_S = 30.0
FIRST_PAYLOAD_OFFSET = 8 + 12 + 2


class Daemons:
    """Starts three control daemons and runs commands against them."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.ports = free_ports.find(6)
        self.processes = {}

    def operator(self, number):
        return f"127.0.0.1:{self.ports[number]}"

    def peer(self, number):
        return f"127.0.0.1:{self.ports[3 + number]}"

    def start(self, number):
        arguments = ["control", "--bootstrap", "--host-id", f"c{number}"]
        arguments += ["--data-folder", str(self.folder / f"c{number}")]
        arguments += ["--operator-address", self.operator(number)]
        arguments += ["--peer-address", self.peer(number), "--peer-token", "t"]
        for other in range(3):
            if other != number:
                arguments += ["--peer", self.peer(other)]
        self.processes[number] = subprocess.Popen(
            [*COMMAND, *arguments], stderr=subprocess.PIPE, text=True
        )
        return self.processes[number]

    def run(self, *arguments, numbers=(0, 1, 2)):
        controls = [item for n in numbers for item in ("--control", self.operator(n))]
        return subprocess.run(
            [*COMMAND, *arguments, *controls],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )

    def status(self):
        completed = self.run("status", "--json")
        return json.loads(completed.stdout) if completed.stdout else None

    def wait_for(self, condition):
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            status = self.status()
            if status is not None and condition(status):
                return status
            time.sleep(0.1)
        raise AssertionError(f"the condition did not become true: {status}")

    def apply(self, number, change_id, *options):
        path = self.folder / f"document-{number}.toml"
        path.write_bytes(environments.document_with(number))
        arguments = ["apply", str(path), "--json", "--change-id", change_id]
        return self.run(*arguments, *options)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
            process.stderr.close()


def is_consistent(status):
    """Return whether three voters answer and have the same revision."""
    members = status["members"]
    return (
        status["quorum"] == "ok"
        and len(members) == 3
        and all(member["voter"] and member["answers"] for member in members)
        and {member["revision"] for member in members} == {status["revision"]}
    )


@behave.given("three control daemons on loopback")
def given_daemons(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.daemons = daemons = Daemons(folder.name)
    context.add_cleanup(daemons.close)
    for number in range(3):
        daemons.start(number)
    daemons.wait_for(is_consistent)


@behave.when("document {number:d} is applied on the command line as change {change}")
def when_applied(context, number, change):
    completed = context.daemons.apply(number, change)
    assert completed.returncode == 0, completed.stderr
    context.result = json.loads(completed.stdout)


@behave.when("the leading daemon is killed")
def when_killed(context):
    status = context.daemons.status()
    leader = next(member for member in status["members"] if member["leader"])
    context.stopped = int(leader["host"][1:])
    process = context.daemons.processes[context.stopped]
    os.kill(process.pid, signal.SIGKILL)
    process.wait()
    process.stderr.close()


@behave.then("document {number:d} applied again as change {change} has the same result")
def then_same_result(context, number, change):
    context.daemons.wait_for(lambda status: status["quorum"] == "ok")
    completed = context.daemons.apply(number, change)
    assert completed.returncode == 0, completed.stderr
    assert json.loads(completed.stdout) == context.result


@behave.then(
    "document {number:d} applied on revision 0 is refused "
    "with the name of the accepted change"
)
def then_conflict(context, number):
    completed = context.daemons.apply(number, "second", "--expect-revision", "0")
    assert completed.returncode == 1, completed
    assert "operator took revision 1 with change first" in completed.stderr, (
        completed.stderr
    )


@behave.when("the stopped daemon starts again")
def when_started(context):
    context.daemons.start(context.stopped)


@behave.then("status shows three control hosts at the same revision and exits 0")
def then_consistent(context):
    context.daemons.wait_for(is_consistent)
    completed = context.daemons.run("status")
    assert completed.returncode == 0, completed.stdout


@behave.when("that daemon is sent SIGTERM")
def when_stopped(context):
    context.process = context.daemons.processes[context.stopped]
    os.kill(context.process.pid, signal.SIGTERM)


@behave.then("it exits {code:d}")
def then_exits(context, code):
    assert context.process.wait(TIMEOUT_S) == code
    context.process.stderr.close()


@behave.when("a byte in the middle of its log is corrupted and it starts again")
def when_log_corrupted(context):
    path = context.daemons.folder / f"c{context.stopped}" / "log"
    data = bytearray(path.read_bytes())
    data[FIRST_PAYLOAD_OFFSET] ^= 1
    path.write_bytes(bytes(data))
    context.process = context.daemons.start(context.stopped)


@behave.then("it exits {code:d} with one line that names the file and the offset")
def then_names_offset(context, code):
    _, errors = context.process.communicate(timeout=TIMEOUT_S)
    assert context.process.returncode == code, errors
    lines = [line for line in errors.splitlines() if "log_damaged" in line]
    assert len(lines) == 1, errors
    assert f"c{context.stopped}/log at byte" in lines[0], errors
    assert "Traceback" not in errors, errors
