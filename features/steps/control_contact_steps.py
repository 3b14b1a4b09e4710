"""Steps for the contact of an entry host with the control hosts."""

from unittest import mock

import behave

from greengagehaven import clock as clocks
from greengagehaven.coordination import control_contact

ADDRESS = "control-1:1"
STEP_S = 0.5


@behave.given(
    "an entry host that holds revision {revision:d} and hears from a control host"
)
def given_contact(context, revision):
    context.clock = clocks.ManualClock()
    context.revision = revision
    context.contact = control_contact.ControlContact(clock=context.clock)
    context.contact.on_revision(revision)
    context.contact.on_reply(ADDRESS, has_quorum=True)
    update(context)
    patch = mock.patch.object(control_contact, "log")
    context.logged = patch.start()
    context.add_cleanup(patch.stop)


def update(context):
    context.contact.update(held_revision=context.revision, known_count=3)


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
