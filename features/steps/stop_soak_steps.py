"""Steps for the soak of stops."""

import asyncio

import behave

from fakes import stop_soak

SEED = 1
ENTRIES = 3
SECONDS = 35


@behave.when("entry hosts are stopped under load as a seed says")
def when_stopped(context):
    userdata = context.config.userdata
    context.soak = stop_soak.StopSoak(
        seed=userdata.getint("seed", SEED),
        entries=userdata.getint("entries", ENTRIES),
        seconds=userdata.getint("seconds", SECONDS),
    )
    try:
        asyncio.run(context.soak.run())
    except Exception as error:
        raise AssertionError(context.soak.report()) from error
    print(context.soak.summary())


@behave.then("no request was cut, run twice or given the response of another")
def then_answered(context):
    assert not context.soak.faults, context.soak.report()


@behave.then("every process ended in time with exit code 0 and none left")
def then_ended(context):
    assert not context.soak.end_faults, context.soak.report()
