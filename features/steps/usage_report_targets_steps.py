"""Steps about the control hosts that get reports of usage."""

import behave

from greengagehaven.coordination.shared_budgets import report_schedule

NOW = 100.0


def names(text):
    return tuple(text.split(", "))


@behave.given("an entry host that follows {followed} of the control hosts {controls}")
def given_follower(context, followed, controls):
    context.schedule = report_schedule.ReportSchedule()
    context.followed = followed
    context.others = tuple(name for name in names(controls) if name != followed)


@behave.given("an entry host that follows all control hosts, {controls}")
def given_follower_of_all(context, controls):
    context.schedule = report_schedule.ReportSchedule()
    context.followed, context.others = names(controls), ()
    context.now = NOW


@behave.when("no control host has answered its reports for {seconds:g} s")
def when_unanswered(context, seconds):
    send(context)
    context.now += seconds


@behave.when("{control} answers the next report")
def when_answered(context, control):
    send(context)
    context.schedule.on_reply(context.now, control=control)
    context.now += 0.1
    send(context)


def send(context):
    context.schedule.on_sent(context.now, has_usage=True, is_near_target=True)


def targets_of_all(context):
    return context.schedule.targets(context.followed, context.others, context.now)


@behave.then("its reports go to {first}, and to each other control host in turn")
def then_targets_in_turn(context, first):
    found = {targets_of_all(context) for _ in context.followed[1:]}
    expected = {(first, other) for other in context.followed if other != first}
    assert found == expected, found


@behave.then("its reports go to {control} while it answers")
def then_targets_answering(context, control):
    for _ in range(4):
        context.schedule.on_reply(context.now, control=control)
        context.now += 0.2
        assert targets_of_all(context) == (control,)
        send(context)


@behave.then("reports that it relays go to {control}")
def then_relayed(context, control):
    found = context.schedule.answering_control(context.followed, context.now)
    assert found == control, found


@behave.when("{control} replies that it does not reach {others}")
def when_unreachable(context, control, others):
    context.schedule.record_unreachable(control, names(others), NOW)


@behave.when("{control} replies that it reaches all")
def when_reaches_all(context, control):
    context.schedule.record_unreachable(control, (), NOW)


def targets(context):
    return context.schedule.targets((context.followed,), context.others, NOW)


@behave.then("its reports go to {controls}")
def then_targets(context, controls):
    found = {targets(context) for _ in range(4)}
    assert found == {names(controls)}, found


@behave.then("its reports alternate between {turns}, and always go to {always}")
def then_targets_by_turns(context, turns, always):
    found = {targets(context) for _ in range(4)}
    assert found == {(always, turn) for turn in names(turns)}, found
