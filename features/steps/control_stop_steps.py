"""Steps about a control host that is stopped while changes go on."""

import itertools
import os
import signal
import threading
import time

import behave

from fakes import environment as environments
from greengagehaven import exceptions
from greengagehaven.commands import client
from greengagehaven.protocol import operator

OPERATORS = 3
PAUSE_S = 0.02
PATIENCE_S = 30.0
NEWEST = 1000
CHANGES = 20


class Operators:
    """Threads that change the document until they are told to stop."""

    def __init__(self, addresses):
        self.addresses = addresses
        self.revisions_by_change_id = {}
        self.refusals = []
        self.is_over = False
        self.threads = [
            threading.Thread(target=self.change, args=(number,))
            for number in range(OPERATORS)
        ]
        for thread in self.threads:
            thread.start()

    def change(self, number):
        mine = self.addresses[number:] + self.addresses[:number]
        control = client.ControlClient(addresses=mine)
        for count in itertools.count():
            if self.is_over or count * OPERATORS >= NEWEST:
                return
            body = operator.DocumentBody(
                change_id=f"stop-{number}-{count}",
                document=environments.document_with(count % 50),
            )
            try:
                result = control.post("/v1/changes", body, operator.ChangeBody)
                self.revisions_by_change_id[body.change_id] = result.revision
            except exceptions.ControlUnreachableError:
                pass
            except exceptions.GreengagehavenError as error:
                self.refusals.append(error)
            time.sleep(PAUSE_S)

    def wait_for_more(self):
        """Wait until some more changes are acknowledged."""
        wanted = len(self.revisions_by_change_id) + CHANGES
        end = time.monotonic() + PATIENCE_S
        while len(self.revisions_by_change_id) < wanted:
            assert time.monotonic() < end, "no more changes are acknowledged"
            time.sleep(PAUSE_S)

    def stop(self):
        self.is_over = True
        for thread in self.threads:
            thread.join()


@behave.given("operators who change the document without a pause")
def given_operators(context):
    addresses = [context.daemons.operator(number) for number in range(3)]
    context.operators = Operators(addresses)
    context.add_cleanup(context.operators.stop)
    context.operators.wait_for_more()


@behave.when("the control daemon that leads is told to stop under this load")
def when_leader_stopped(context):
    members = context.daemons.status()["members"]
    leader = next(member for member in members if member["leader"])
    context.killed = int(leader["host"][1:])
    context.process = context.daemons.processes[context.killed]
    os.kill(context.process.pid, signal.SIGTERM)


@behave.then("the other control daemons go on to take changes")
def then_others_go_on(context):
    context.operators.wait_for_more()


@behave.then("every acknowledged change stands in the history under its revision")
def then_nothing_lost(context):
    context.operators.stop()
    assert not context.operators.refusals, context.operators.refusals
    addresses = [context.daemons.operator(number) for number in range(3)]
    lines = client.ControlClient(addresses=addresses).get(
        "/v1/history", tuple[operator.AuditLine, ...], limit=NEWEST
    )
    kept = {line.change_id: line.revision for line in lines}
    acknowledged = context.operators.revisions_by_change_id
    lost = {
        change_id: revision
        for change_id, revision in acknowledged.items()
        if kept.get(change_id) != revision
    }
    assert not lost, (len(acknowledged), lost)
