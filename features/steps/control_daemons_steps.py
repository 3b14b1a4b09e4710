"""Steps about control hosts as processes."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import behave

from fakes import environment as environments

COMMAND = [sys.executable, "-c", "from greengagehaven import cli; cli.main()"]
PATIENCE_S = 30.0
FIRST_PAYLOAD = 8 + 12 + 2


class Daemons:
    """Three control daemons and the command line against them."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.ports = free_ports(6)
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
            timeout=PATIENCE_S,
            check=False,
        )

    def status(self):
        done = self.run("status", "--json")
        return json.loads(done.stdout) if done.stdout else None

    def wait_for(self, condition):
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end:
            status = self.status()
            if status is not None and condition(status):
                return status
            time.sleep(0.1)
        raise AssertionError(f"it did not come about: {status}")

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


def free_ports(count):
    """Return ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def is_whole(status):
    """Tell whether three voters answer and have applied the same."""
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
    daemons.wait_for(is_whole)


@behave.when("document {number:d} is applied on the command line as change {change}")
def when_applied(context, number, change):
    done = context.daemons.apply(number, change)
    assert done.returncode == 0, done.stderr
    context.result = json.loads(done.stdout)


@behave.when("the daemon that leads is killed")
def when_killed(context):
    status = context.daemons.status()
    leader = next(member for member in status["members"] if member["leader"])
    context.killed = int(leader["host"][1:])
    process = context.daemons.processes[context.killed]
    os.kill(process.pid, signal.SIGKILL)
    process.wait()
    process.stderr.close()


@behave.then("document {number:d} applied again as change {change} has the same result")
def then_same_result(context, number, change):
    context.daemons.wait_for(lambda status: status["quorum"] == "ok")
    done = context.daemons.apply(number, change)
    assert done.returncode == 0, done.stderr
    assert json.loads(done.stdout) == context.result


@behave.then(
    "document {number:d} applied on revision 0 is refused with the winner's name"
)
def then_conflict(context, number):
    done = context.daemons.apply(number, "second", "--expect-revision", "0")
    assert done.returncode == 1, done
    assert "operator took revision 1 with change first" in done.stderr, done.stderr


@behave.when("the killed daemon starts again")
def when_started(context):
    context.daemons.start(context.killed)


@behave.then("status shows three control hosts at the same revision and exits 0")
def then_whole(context):
    context.daemons.wait_for(is_whole)
    done = context.daemons.run("status")
    assert done.returncode == 0, done.stdout


@behave.when("one daemon is told to stop")
def when_stopped(context):
    context.process = context.daemons.processes[context.killed]
    os.kill(context.process.pid, signal.SIGTERM)


@behave.then("it exits {code:d}")
def then_exits(context, code):
    assert context.process.wait(PATIENCE_S) == code
    context.process.stderr.close()


@behave.when("a byte in the middle of its log is damaged and it starts again")
def when_log_damaged(context):
    path = context.daemons.folder / f"c{context.killed}" / "log"
    data = bytearray(path.read_bytes())
    data[FIRST_PAYLOAD] ^= 1
    path.write_bytes(bytes(data))
    context.process = context.daemons.start(context.killed)


@behave.then("it exits {code:d} with one line that names the file and the offset")
def then_names_offset(context, code):
    _, errors = context.process.communicate(timeout=PATIENCE_S)
    assert context.process.returncode == code, errors
    lines = [line for line in errors.splitlines() if "log_damaged" in line]
    assert len(lines) == 1, errors
    assert f"c{context.killed}/log at byte" in lines[0], errors
    assert "Traceback" not in errors, errors
