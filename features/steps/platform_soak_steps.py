"""Steps for the soak of the platform's processes."""

import asyncio

import behave

from fakes import platform_soak

SEED = 5
ENTRIES = 3


@behave.when("control and entry hosts are disturbed in 3 bursts drawn from a seed")
def when_disturbed(context):
    userdata = context.config.userdata
    context.soak = platform_soak.PlatformSoak(
        seed=userdata.getint("seed", SEED), entries=userdata.getint("entries", ENTRIES)
    )
    try:
        asyncio.run(context.soak.run())
    except Exception as error:
        raise AssertionError(context.soak.events) from error


@behave.then("every entry host obeyed the change after each burst within 3 seconds")
def then_obeyed(context):
    assert not context.soak.violations, (
        context.soak.violations[:10],
        context.soak.events,
    )
