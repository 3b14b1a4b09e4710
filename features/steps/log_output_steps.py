"""Steps about the output of log lines."""

import datetime
import os

import behave

from greengagehaven import clock, log
from greengagehaven.transport import log_output

EVENT = "ordinary"
FAILURE = "failure"
READ_BYTES = 1 << 20


class Message(str):
    """What loguru hands to a sink."""

    __slots__ = ("record",)


def message(event, level, number):
    moment = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    line = Message(log.format_line(moment, level.lower(), event, {"n": number}))
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


@behave.given("a log output whose reader {manner}")
def given_output(context, manner):
    context.reading, writing = os.pipe()
    os.set_blocking(context.reading, False)
    context.add_cleanup(os.close, context.reading)
    context.add_cleanup(os.close, writing)
    context.clock = clock.ManualClock()
    context.reads = manner == "reads all"
    context.output = log_output.LogOutput(descriptor=writing, clock=context.clock)
    context.read = b""


def write(context, event, level, number):
    context.output.write(message(event, level, number))
    if context.reads:
        context.read += read_all(context.reading)


@behave.when("{count:d} ordinary lines are logged over {seconds:d} seconds")
def when_lines(context, count, seconds):
    for number in range(count):
        write(context, EVENT, "INFO", number)
        context.clock.advance(seconds / count)


@behave.when(
    "{count:d} ordinary lines and {failures:d} failures are logged within a second"
)
def when_burst(context, count, failures):
    for number in range(count):
        write(context, EVENT, "INFO", number)
        context.clock.advance(1 / count)
        if number % (count // failures) == 0:
            write(context, FAILURE, "WARNING", number)


@behave.then("no line was waited for")
def then_not_waited(context):
    """A write that had waited would not have come back to this step."""


@behave.then("the lines that found no room are counted by event")
def then_counted(context):
    dropped = context.output.dropped_by_event[EVENT]
    assert dropped > 0
    assert dropped + context.output.accepted_line_count == 20000


@behave.when("the reader reads on")
def when_reads_on(context):
    context.clock.advance(log_output.REPORT_PERIOD_S)
    while True:
        context.output.flush()
        data = read_all(context.reading)
        if not data:
            return
        context.read += data


@behave.then("it finds whole lines only, and how many were dropped")
def then_whole(context):
    lines = context.read.decode().split("\n")
    assert lines.pop() == ""
    assert all(line.startswith("time=") for line in lines)
    counts = [line for line in lines if "event=lines_dropped" in line]
    total = sum(int(line.rpartition("=")[2].strip('"')) for line in counts)
    assert total == context.output.dropped_by_event[EVENT], (total, counts)


@behave.then("all {count:d} failures are read")
def then_failures(context, count):
    assert context.read.count(b"event=failure") == count


@behave.then("fewer than {count:d} ordinary lines are read")
def then_fewer(context, count):
    assert 0 < context.read.count(b"event=ordinary") < count
