"""Steps for the contact of an entry host with the control hosts."""

import asyncio
import random
from unittest import mock

import behave

from fakes import control_fakes
from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.coordination import control_contact
from greengagehaven.daemons import contact_recovery

ADDRESS = "control-1:1"
SEED_ADDRESS = "control-2:1"
REMOVED_ADDRESS = "control-3:1"
ENTRY_ADDRESSES = tuple(f"entry-{number}:1" for number in range(5))
STEP_S = 0.5


@behave.given(
    "an entry host that holds revision {revision:d} and hears from a control host"
)
def given_contact(context, revision):
    context.clock = clocks.ManualClock()
    context.revision = revision
    context.contact = control_contact.ControlContact(
        clock=context.clock, rng=random.Random(1)
    )
    context.contact.on_revision(revision)
    context.contact.on_reply(ADDRESS, has_quorum=True, members=[ADDRESS])
    context.asked = []
    update(context)
    patch = mock.patch.object(control_contact, "log")
    context.logged = patch.start()
    context.add_cleanup(patch.stop)


def update(context):
    context.contact.update(held_revision=context.revision)


@behave.when("{seconds:d} seconds pass without a reply")
def when_silent(context, seconds):
    pass_time(context, seconds)


@behave.when(
    "{seconds:d} seconds pass with replies of a control host that reaches no majority"
)
def when_without_majority(context, seconds):
    pass_time(
        context,
        seconds,
        lambda: context.contact.on_reply("control-2:1", has_quorum=False),
    )


def pass_time(context, seconds, on_step=lambda: None):
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)
        on_step()
        update(context)


@behave.when("a control host with revision {revision:d} replies")
def when_replies(context, revision):
    context.contact.on_revision(revision)
    context.contact.on_reply(ADDRESS, has_quorum=True)
    update(context)


@behave.then("it reports that it lost contact at revision {revision:d}")
def then_lost(context, revision):
    context.logged.warning.assert_called_once()
    (event,), fields = context.logged.warning.call_args
    assert event == "control_contact_lost", event
    assert (fields["revision"], fields["current"]) == (revision, 0), fields
    assert context.contact.is_lost


@behave.then(
    "it reports that it regained contact, with {revision:d} as the newest revision"
)
def then_regained(context, revision):
    (event,), fields = context.logged.info.call_args
    assert event == "control_contact_regained", event
    assert (fields["newest_revision"], fields["current"]) == (revision, 1), fields
    assert not context.contact.is_lost


@behave.given("it calls a control host that was removed and one that the settings name")
def given_calls(context):
    context.contact.set_seeds([SEED_ADDRESS])
    for address in (ADDRESS, SEED_ADDRESS, REMOVED_ADDRESS):
        context.contact.on_watched(address)


@behave.when("{seconds:d} seconds pass with replies of a member")
def when_member_replies(context, seconds):
    pass_time(
        context, seconds, lambda: context.contact.on_reply(ADDRESS, has_quorum=True)
    )


@behave.when(
    "{seconds:d} seconds pass without a reply, and the other entry hosts {answer}"
)
def when_others(context, seconds, answer):
    known = () if answer == "are not known" else ENTRY_ADDRESSES

    def ask():
        for address in context.contact.hosts_to_ask(known):
            context.asked.append(address)
            context.contact.on_asked()
            if answer != "do not answer":
                context.contact.on_entry_host_reply(
                    is_in_contact=answer == "hear from a control host", revision=7
                )

    pass_time(context, seconds, ask)


@behave.then("the entry host counts as isolated: {answer}")
def then_isolated(context, answer):
    assert context.contact.is_isolated is (answer == "yes")


@behave.then("each of the {count:d} others was asked, and {calls:d} calls were made")
def then_asked(context, count, calls):
    assert len(set(context.asked)) == count, context.asked
    assert len(context.asked) == calls, context.asked


@behave.then("it forgets no control host")
def then_none_forgotten(context):
    assert context.contact.removed_addresses() == ()


@behave.then("it forgets the control host that was removed")
def then_forgotten(context):
    assert context.contact.removed_addresses() == (REMOVED_ADDRESS,)


class RefusingChannel:
    """Refuses every call, as a host does that does not know its method."""

    async def call(self, address, method, body, *, timeout):
        raise exceptions.PeerRefusedError(f"{address} {method}: 404")


@behave.given("an entry host whose calls to other entry hosts are refused")
def given_refused(context):
    context.loop = control_fakes.VirtualLoop()
    context.add_cleanup(context.loop.close)
    context.contact = control_contact.ControlContact(
        clock=context.loop.clock, rng=random.Random(1)
    )
    context.recovery = contact_recovery.ContactRecovery(
        channel=RefusingChannel(),
        contact=context.contact,
        entry_addresses=lambda: ENTRY_ADDRESSES,
        on_found=lambda addresses: None,
        held_revision=lambda: 7,
    )


@behave.when("{seconds:d} seconds pass for its contact recovery")
def when_recovering(context, seconds):
    async def play():
        task = asyncio.ensure_future(context.recovery.run())
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.loop.run_until_complete(play())
    assert context.contact.is_lost
