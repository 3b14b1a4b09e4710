"""Steps about clients that send ahead and do not read their answers."""

import asyncio

import behave

from fakes import unread_crowd


@behave.when("a crowd sends {kind} ahead to the listener for {listener}, unread")
def when_unread(context, kind, listener):
    context.played = asyncio.run(unread_crowd.play(listener=listener, kind=kind))


@behave.when(
    "a crowd sends {kind} ahead to the listener for {listener}, hardly reading"
)
def when_hardly_read(context, kind, listener):
    context.played = asyncio.run(
        unread_crowd.play(listener=listener, kind=kind, reads=True)
    )


@behave.then("the process runs, within the memory and descriptors of its machine")
def then_within(context):
    exit_code, peak_mb, descriptors, _ = context.played
    print(f"{context.scenario.name}: {peak_mb:.0f} MB, {descriptors} descriptors")
    assert exit_code is None, exit_code
    assert peak_mb <= unread_crowd.MAX_MEMORY_MB, peak_mb
    assert descriptors <= unread_crowd.MAX_DESCRIPTORS, descriptors


@behave.then("an ordinary request is answered")
def then_answered(context):
    assert context.played[3] == 200, context.played
