"""Steps about the clock of the operating system."""

import time
from unittest import mock

import behave

from greengagehaven import clock


@behave.given(
    "a system whose boot clock reads {boot:d} s and whose monotonic clock reads "
    "{monotonic:d} s"
)
def given_clocks(context, boot, monotonic):
    context.readings_by_clock = {
        time.CLOCK_BOOTTIME: float(boot),
        time.CLOCK_MONOTONIC: float(monotonic),
    }
    readings = context.readings_by_clock
    context.patches = [
        mock.patch.object(time, "clock_gettime", readings.__getitem__),
        mock.patch.object(time, "monotonic", lambda: readings[time.CLOCK_MONOTONIC]),
    ]
    context.before = read_system_clock(context)


def read_system_clock(context):
    for patch in context.patches:
        patch.start()
    try:
        return clock.SystemClock().monotonic()
    finally:
        for patch in context.patches:
            patch.stop()


@behave.when("the system is suspended for {seconds:d} s")
def when_suspended(context, seconds):
    context.readings_by_clock[time.CLOCK_BOOTTIME] += seconds


@behave.then("the system clock has advanced by {seconds:d} s")
def then_advanced(context, seconds):
    assert read_system_clock(context) - context.before == seconds
