"""Steps for the non-blocking output of log lines."""

import datetime
import os
import signal
import socket
import subprocess
import sys
import time

import behave

from greengagehaven import clock, log
from greengagehaven.transport import free_ports, log_output

ORDINARY_EVENT = "ordinary"
FAILURE_EVENT = "failure"
READ_BYTES = 1 << 20
COMMAND = [sys.executable, "-c", "from greengagehaven import cli; cli.main()"]
START_TIMEOUT_S = 30.0
SETTLE_S = 1.0
EXIT_TIMEOUT_S = 20.0


class Message(str):
    """A log line as loguru passes it to a sink."""

    __slots__ = ("record",)


def make_message(event, level, number):
    timestamp = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    line = Message(log.format_line(timestamp, level.lower(), event, {"n": number}))
    line.record = {
        "message": event,
        "level": type("Level", (), {"name": level}),
        "extra": {},
    }
    return line


def read_all(descriptor):
    data = b""
    while True:
        try:
            data += os.read(descriptor, READ_BYTES)
        except BlockingIOError:
            return data


@behave.given("a log output whose reader {behaviour}")
def given_output(context, behaviour):
    context.reading, writing = os.pipe()
    os.set_blocking(context.reading, False)
    context.add_cleanup(os.close, context.reading)
    context.add_cleanup(os.close, writing)
    context.clock = clock.ManualClock()
    context.reads_all = behaviour == "reads all"
    context.output = log_output.LogOutput(descriptor=writing, clock=context.clock)
    context.read = b""


def write(context, event, level, number):
    context.output.write(make_message(event, level, number))
    if context.reads_all:
        context.read += read_all(context.reading)


@behave.when("{count:d} ordinary lines are logged over {seconds:d} seconds")
def when_lines(context, count, seconds):
    for number in range(count):
        write(context, ORDINARY_EVENT, "INFO", number)
        context.clock.advance(seconds / count)


@behave.when(
    "{count:d} ordinary lines and {failures:d} failures are logged within a second"
)
def when_burst(context, count, failures):
    for number in range(count):
        write(context, ORDINARY_EVENT, "INFO", number)
        context.clock.advance(1 / count)
        if number % (count // failures) == 0:
            write(context, FAILURE_EVENT, "WARNING", number)


@behave.then("no write blocked")
def then_not_blocked(context):
    """Do nothing: a blocked write would have kept this step from running."""


@behave.then("the dropped lines are counted by event")
def then_dropped_counted(context):
    dropped = context.output.dropped_by_event[ORDINARY_EVENT]
    assert dropped > 0
    assert dropped + context.output.accepted_line_count == 20000


@behave.when("the reader resumes reading")
def when_reading_resumes(context):
    context.clock.advance(log_output.REPORT_PERIOD_S)
    while True:
        context.output.flush()
        data = read_all(context.reading)
        if not data:
            return
        context.read += data


@behave.then("it reads complete lines only, and the count of dropped lines")
def then_complete_lines(context):
    lines = context.read.decode().split("\n")
    assert lines.pop() == ""
    assert all(line.startswith("time=") for line in lines)
    counts = [line for line in lines if "event=lines_dropped" in line]
    total = sum(int(line.rpartition("=")[2].strip('"')) for line in counts)
    assert total == context.output.dropped_by_event[ORDINARY_EVENT], (total, counts)


@behave.then("all {count:d} failures are read")
def then_failures(context, count):
    assert context.read.count(b"event=failure") == count


@behave.then("fewer than {count:d} ordinary lines are read")
def then_fewer(context, count):
    assert 0 < context.read.count(b"event=ordinary") < count


@behave.given("a daemon whose standard error is a full pipe")
def given_daemon(context):
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    try:
        while True:
            os.write(writing, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writing, True)
    (port,) = free_ports.find(1)
    arguments = ["standin", "--id", "u-1", "--zone", "a", "--service", "logged"]
    arguments += ["--listen", f"127.0.0.1:{port}", "--entry", "127.0.0.1:1"]
    context.daemon = subprocess.Popen([*COMMAND, *arguments], stderr=writing)
    context.add_cleanup(os.close, reading)
    context.add_cleanup(context.daemon.kill)
    os.close(writing)
    wait_until_listening(port)


def wait_until_listening(port):
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except ConnectionRefusedError:
            time.sleep(0.05)
    raise AssertionError("the daemon does not listen")


@behave.when("it is sent SIGTERM while nobody reads its log")
def when_sigterm(context):
    # It logs that it is ready after it listens.
    time.sleep(SETTLE_S)
    context.daemon.send_signal(signal.SIGTERM)


@behave.then("it exits with 0 while nobody reads its log")
def then_exits(context):
    assert context.daemon.wait(timeout=EXIT_TIMEOUT_S) == 0, context.daemon.returncode
